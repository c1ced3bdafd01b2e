"""Decisions about how long an entry may act without reading the rows of its duties.

For a short time after the last renewal that it has read back, an entry may act without
the others. Beyond that it may act only while outage reports of more than half of all
entries, itself included, cover the time without a gap: they could not read the rows
either. A successor that finds a gap concludes that the entry has stopped giving orders
(`cornelturn.ownership.evidence`).
"""

from __future__ import annotations

from dataclasses import dataclass, field

RENEWAL_VALIDITY_MS = 2_400
"""Time after sending a confirmed renewal in which an entry needs no outage report."""

MAX_READ_AGE_MS = 12_000
"""Time for which a holder acts without having read its row, if others cannot reach the
store either: longer than the outages of the store in which nobody can take over."""

OUTAGE_REPORT_VALIDITY_MS = 2_000
"""Time for which an outage report counts, from when its sender was asked."""

OUTAGE_THRESHOLD_MS = 1_200
"""Time without a confirmed renewal after which an entry reports an outage."""

QUERY_LEAD_MS = 1_200
"""Time before the authority of an entry expires from which it asks the others."""

MAX_PENDING_RENEWALS = 64
"""Number of unconfirmed renewals that are remembered."""


@dataclass(slots=True)
class ActingAuthority:
    """Time in which one entry may act, and the outage reports that extend it.

    Parameters
    ----------
    others : frozenset of str
        The other entries, as last read.
    confirmed_ms : int
        When the last renewal was sent that has been read back from the store.
    may_act_until_ms : int
        End of the time in which this entry may act.
    outage_reported_ms : int
        When this entry last reported an outage, or when it started.
    pending_renewals : dict
        Send time of each renewal that has not been read back, by its number.
    reports : dict
        When each entry that reported an outage was asked.
    """

    others: frozenset[str] = frozenset()
    confirmed_ms: int = 0
    may_act_until_ms: int = 0
    outage_reported_ms: int = 0
    pending_renewals: dict[int, int] = field(default_factory=dict)
    reports: dict[str, int] = field(default_factory=dict)

    def start(self, now_ms: int) -> None:
        """Record the start of the entry, which has reported no outage yet."""
        self.confirmed_ms = self.outage_reported_ms = now_ms

    def record_renewal_sent(self, number: int, now_ms: int) -> None:
        """Record that a renewal is about to be sent."""
        self.pending_renewals[number] = now_ms
        if len(self.pending_renewals) > MAX_PENDING_RENEWALS:
            del self.pending_renewals[min(self.pending_renewals)]

    def confirm_renewal(self, number: int) -> None:
        """Record that a renewal was read back, with all rows written before it."""
        sent_ms = self.pending_renewals.get(number)
        if sent_ms is None:
            return
        self.pending_renewals = {
            pending_number: pending_sent_ms
            for pending_number, pending_sent_ms in self.pending_renewals.items()
            if pending_number > number
        }
        self.confirmed_ms = max(self.confirmed_ms, sent_ms)
        self.may_act_until_ms = max(
            self.may_act_until_ms, sent_ms + RENEWAL_VALIDITY_MS
        )

    def may_act(self, now_ms: int) -> bool:
        """Return whether the entry may give orders and leases."""
        return now_ms < self.may_act_until_ms or not self._reports_needed()

    def is_extended(self, now_ms: int) -> bool:
        """Return whether only outage reports let the entry act."""
        is_unconfirmed = now_ms - self.confirmed_ms >= RENEWAL_VALIDITY_MS
        return is_unconfirmed and now_ms < self.may_act_until_ms

    def reporters(self, now_ms: int) -> frozenset[str]:
        """Return the entries whose outage reports still count."""
        return frozenset(
            peer
            for peer, asked_ms in self.reports.items()
            if now_ms - asked_ms < OUTAGE_REPORT_VALIDITY_MS
        )

    def needs_outage_reports(self, now_ms: int) -> bool:
        """Return whether to ask the others for outage reports.

        Once the authority has expired, only a confirmed renewal restores it.
        """
        left_ms = self.may_act_until_ms - now_ms
        return 0 < left_ms < QUERY_LEAD_MS and self._reports_needed() > 0

    def add_outage_report(self, peer: str, asked_ms: int, now_ms: int) -> None:
        """Add the outage report of an entry, which counts from when it was asked."""
        if now_ms >= self.may_act_until_ms:
            return
        self.reports[peer] = max(asked_ms, self.reports.get(peer, asked_ms))
        report_times_ms = sorted(
            (
                report_asked_ms
                for reporter, report_asked_ms in self.reports.items()
                if reporter in self.others
            ),
            reverse=True,
        )
        reports_needed = self._reports_needed()
        if 0 < reports_needed <= len(report_times_ms):
            self.may_act_until_ms = max(
                self.may_act_until_ms,
                report_times_ms[reports_needed - 1] + OUTAGE_REPORT_VALIDITY_MS,
            )

    def report_outage(self, now_ms: int) -> bool:
        """Return whether this entry is to report an outage, and record that it does."""
        if now_ms - self.confirmed_ms <= OUTAGE_THRESHOLD_MS:
            return False
        self.outage_reported_ms = now_ms
        return True

    def time_since_outage_report_ms(self, now_ms: int) -> int:
        """Return the time since this entry last reported an outage, or started."""
        return now_ms - self.outage_reported_ms

    def _reports_needed(self) -> int:
        """Return how many others form a majority of all entries with this one."""
        return (len(self.others) + 1) // 2
