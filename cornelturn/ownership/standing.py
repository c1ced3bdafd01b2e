"""Decisions about how long an entry may act that cannot read the rows of its duties.

It acts by itself for a short time after its last renewal that it has read back. From
then on it acts only while more than half of all entries, itself included, have just
said that they cannot read the rows either, without a gap: a successor that knows of a
gap knows that nothing is ordered any more (`cornelturn.ownership.witnesses`).
"""

from __future__ import annotations

from dataclasses import dataclass, field

UNSUPPORTED_MS = 2_400
"""Time since the last confirmed renewal in which an entry acts by itself."""

SUPPORT_MS = 2_000
"""Time for which the word of another entry counts, from when it was asked."""

OUTAGE_MS = 1_200
"""Time without a confirmed renewal after which an entry says that it has no store."""

ASK_BEFORE_MS = 1_200
"""Time before the end of its power to act from which an entry asks the others."""

MAX_RENEWALS = 64
"""Renewals without a confirmation that are remembered."""


@dataclass(slots=True)
class Standing:
    """How long one entry may act, and what it has told the others about the store.

    Parameters
    ----------
    others : frozenset of str
        The other entries, as last read.
    confirmed_ms : int
        When the last renewal was sent that was read back from the store.
    until_ms : int
        End of the time in which this entry may act.
    told_ms : int
        When it last told anyone that it has no store.
    sent : dict
        When each renewal was sent that has not been read back, by its number.
    support : dict
        When each entry was asked that said that it has no store.
    """

    others: frozenset[str] = frozenset()
    confirmed_ms: int = 0
    until_ms: int = 0
    told_ms: int = 0
    sent: dict[int, int] = field(default_factory=dict)
    support: dict[str, int] = field(default_factory=dict)

    def start(self, now_ms: int) -> None:
        """Note that the entry has just started, and has told nobody anything."""
        self.confirmed_ms = self.told_ms = now_ms

    def renewing(self, number: int, now_ms: int) -> None:
        """Note that a renewal is about to be sent."""
        self.sent[number] = now_ms
        if len(self.sent) > MAX_RENEWALS:
            del self.sent[min(self.sent)]

    def read_back(self, number: int) -> None:
        """Note that rows were read that show a renewal, and all written before it."""
        sent_ms = self.sent.get(number)
        if sent_ms is None:
            return
        self.sent = {one: at for one, at in self.sent.items() if one > number}
        self.confirmed_ms = max(self.confirmed_ms, sent_ms)
        self.until_ms = max(self.until_ms, sent_ms + UNSUPPORTED_MS)

    def may_act(self, now_ms: int) -> bool:
        """Return whether the entry may give orders and leases."""
        return now_ms < self.until_ms or not self._needed()

    def wants_support(self, now_ms: int) -> bool:
        """Return whether the others are to be asked whether they have the store.

        Once its time is over only the store gives the entry its power back.
        """
        left_ms = self.until_ms - now_ms
        return 0 < left_ms < ASK_BEFORE_MS and self._needed() > 0

    def supported(self, peer: str, asked_ms: int, now_ms: int) -> None:
        """Take in that an entry had no store after it was asked."""
        if now_ms >= self.until_ms:
            return
        self.support[peer] = max(asked_ms, self.support.get(peer, asked_ms))
        times_ms = sorted(
            (at for one, at in self.support.items() if one in self.others),
            reverse=True,
        )
        needed = self._needed()
        if 0 < needed <= len(times_ms):
            self.until_ms = max(self.until_ms, times_ms[needed - 1] + SUPPORT_MS)

    def tell(self, now_ms: int) -> bool:
        """Return whether this entry has no store, to be told to one that asks."""
        if now_ms - self.confirmed_ms <= OUTAGE_MS:
            return False
        self.told_ms = now_ms
        return True

    def untold_ms(self, now_ms: int) -> int:
        """Return for how long this entry has not said that it has no store."""
        return now_ms - self.told_ms

    def _needed(self) -> int:
        """Return how many others make more than half of all, with this entry."""
        return (len(self.others) + 1) // 2
