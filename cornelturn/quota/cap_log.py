"""Log of the organisations that reach their cap, and of those that may go on."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from cornelturn.events.log import log_event
from cornelturn.quota.ledger import QuotaLedger

LOG_INTERVAL_MS = 10_000
"""Shortest interval between two lines on one organisation. Work that starts and ends at
the cap would else log several lines a second."""

MAX_CHECKED_POSITIONS = 600
"""Number of pools, over all organisations, that one update looks at, to bound its
time."""


@dataclass(slots=True)
class CapLog:
    """Logs changes between below the cap and at it, one line for each organisation.

    Parameters
    ----------
    at_cap : dict
        Organisations that were last logged, and whether they were at the cap.
    logged_ms : dict
        When that was.
    unchecked : deque of str
        Organisations that the next updates look at, before they begin anew.
    """

    at_cap: dict[str, bool] = field(default_factory=dict)
    logged_ms: dict[str, int] = field(default_factory=dict)
    unchecked: deque[str] = field(default_factory=deque)

    def update(self, ledger: QuotaLedger, now_ms: int) -> None:
        """Log the changes of the organisations that are next."""
        for name in self.at_cap.keys() - ledger.caps.keys():
            del self.at_cap[name]
            self.logged_ms.pop(name, None)
        for name in self._take_next(ledger, now_ms):
            cap = ledger.caps[name]
            is_at_cap = ledger.is_at_cap(name, now_ms)
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

    def _take_next(self, ledger: QuotaLedger, now_ms: int) -> list[str]:
        """Return the organisations to look at now, except those that were just logged.

        A round ends with the call that comes to its end, so that each organisation is
        returned once at most.
        """
        if not self.unchecked:
            self.unchecked.extend(ledger.caps)
        names: list[str] = []
        positions = 0
        while self.unchecked and positions < MAX_CHECKED_POSITIONS:
            name = self.unchecked.popleft()
            logged_ms = self.logged_ms.get(name)
            is_recent = logged_ms is not None and now_ms - logged_ms < LOG_INTERVAL_MS
            if name in ledger.caps and not is_recent:
                positions += ledger.count_positions(name)
                names.append(name)
        return names
