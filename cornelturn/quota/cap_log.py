"""Log of the organisations that reach their cap, and of those that may go on."""

from __future__ import annotations

from dataclasses import dataclass, field

from cornelturn.events.log import log_event
from cornelturn.quota.ledger import QuotaLedger

LOG_INTERVAL_MS = 10_000
"""Shortest interval between two lines on one organisation. Work that starts and ends at
the cap would else log several lines a second."""


@dataclass(slots=True)
class CapLog:
    """Logs changes between below the cap and at it, one line for each organisation.

    Parameters
    ----------
    at_cap : dict
        Organisations that were last logged, and whether they were at the cap.
    logged_ms : dict
        When that was.
    """

    at_cap: dict[str, bool] = field(default_factory=dict)
    logged_ms: dict[str, int] = field(default_factory=dict)

    def update(self, ledger: QuotaLedger, now_ms: int) -> None:
        """Log the changes since the last call."""
        for name in self.at_cap.keys() - ledger.caps.keys():
            del self.at_cap[name]
            self.logged_ms.pop(name, None)
        for name, cap in ledger.caps.items():
            logged_ms = self.logged_ms.get(name)
            if logged_ms is not None and now_ms - logged_ms < LOG_INTERVAL_MS:
                continue
            is_at_cap = ledger.is_at_cap(name)
            if is_at_cap is self.at_cap.get(name, False):
                continue
            self.at_cap[name], self.logged_ms[name] = is_at_cap, now_ms
            running = ledger.running(name)
            if is_at_cap:
                log_event(
                    "organisation_at_cap",
                    organisation=name,
                    running_cpu=running.cpu,
                    running_mem_mb=running.mem_mb,
                    running_gpu=running.gpu,
                    cap_cpu=cap.cpu,
                    cap_mem_mb=cap.mem_mb,
                    cap_gpu=cap.gpu,
                )
            else:
                log_event("organisation_below_cap", organisation=name)
