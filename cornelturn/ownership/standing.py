"""Decisions about how long an entry may act that cannot read the rows of its duties.

It acts by itself for a short time after its last renewal that it has read back. From
then on it acts only while more than half of all entries, itself included, have just
said that they cannot read the rows either, without a gap: a successor that knows of a
gap knows that nothing is ordered any more (`cornelturn.ownership.witnesses`).
"""

from __future__ import annotations

from dataclasses import dataclass, field

RENEWAL_VALIDITY_MS = 2_400
"""Time since the last confirmed renewal in which an entry acts by itself."""

OUTAGE_REPORT_VALIDITY_MS = 2_000
"""Time for which the word of another entry counts, from when it was asked."""

OUTAGE_THRESHOLD_MS = 1_200
"""Time without a confirmed renewal after which an entry says that it has no store."""

QUERY_LEAD_MS = 1_200
"""Time before the end of its power to act from which an entry asks the others."""

MAX_PENDING_RENEWALS = 64
"""Renewals without a confirmation that are remembered."""


@dataclass(slots=True)
class ActingAuthority:
    """How long one entry may act, and what it has told the others about the store.

    Parameters
    ----------
    others : frozenset of str
        The other entries, as last read.
    confirmed_ms : int
        When the last renewal was sent that was read back from the store.
    may_act_until_ms : int
        End of the time in which this entry may act.
    outage_reported_ms : int
        When it last told anyone that it has no store.
    pending_renewals : dict
        When each renewal was sent that has not been read back, by its number.
    reports : dict
        When each entry was asked that said that it has no store.
    """

    others: frozenset[str] = frozenset()
    confirmed_ms: int = 0
    may_act_until_ms: int = 0
    outage_reported_ms: int = 0
    pending_renewals: dict[int, int] = field(default_factory=dict)
    reports: dict[str, int] = field(default_factory=dict)

    def start(self, now_ms: int) -> None:
        """Note that the entry has just started, and has told nobody anything."""
        self.confirmed_ms = self.outage_reported_ms = now_ms

    def record_renewal_sent(self, number: int, now_ms: int) -> None:
        """Note that a renewal is about to be sent."""
        self.pending_renewals[number] = now_ms
        if len(self.pending_renewals) > MAX_PENDING_RENEWALS:
            del self.pending_renewals[min(self.pending_renewals)]

    def confirm_renewal(self, number: int) -> None:
        """Note that rows were read that show a renewal, and all written before it."""
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

    def needs_outage_reports(self, now_ms: int) -> bool:
        """Return whether the others are to be asked whether they have the store.

        Once its time is over only the store gives the entry its power back.
        """
        left_ms = self.may_act_until_ms - now_ms
        return 0 < left_ms < QUERY_LEAD_MS and self._reports_needed() > 0

    def add_outage_report(self, peer: str, asked_ms: int, now_ms: int) -> None:
        """Take in that an entry had no store after it was asked."""
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
        """Return whether this entry has no store, to be told to one that asks."""
        if now_ms - self.confirmed_ms <= OUTAGE_THRESHOLD_MS:
            return False
        self.outage_reported_ms = now_ms
        return True

    def since_outage_report_ms(self, now_ms: int) -> int:
        """Return for how long this entry has not said that it has no store."""
        return now_ms - self.outage_reported_ms

    def _reports_needed(self) -> int:
        """Return how many others make more than half of all, with this entry."""
        return (len(self.others) + 1) // 2
