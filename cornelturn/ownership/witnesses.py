"""Decisions about when a silent holder has surely given its last order.

An entry acts without the store only while more than half of all say that they have
none (`cornelturn.ownership.standing`). Each writes into its lease how long it has said
nothing of the kind, and which revision it had read: so whoever reads the leases of half
of the entries knows until when a holder can have acted that renews its lease no more.

The half is one of the entries that the holder counted. So each lease also says since
which revision its row has stood, and which rows were deleted since it has read all: an
entry that has just started builds on the word of those that were there.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from math import ceil

from cornelturn.fleet.lease import LeaseRow, SeenLease
from cornelturn.ownership.duties import is_entry_key
from cornelturn.ownership.standing import SUPPORT_MS, UNSUPPORTED_MS
from cornelturn.targets.session import MIN_CLOCK_RATE

MAX_RENEWALS = 16
"""Renewals of this entry that are remembered: those of the last seconds matter."""


@dataclass(frozen=True, slots=True)
class OwnRenewal:
    """A renewal of this entry: whoever has read its revision did so after `sent_ms`."""

    sent_ms: int
    revision: int


@dataclass(slots=True)
class Witnesses:
    """What the rows of all entries prove about a silent holder.

    Parameters
    ----------
    forget_ms : int
        Time without a renewal after which the row of an entry may be deleted.
    stood_since : int
        Revision since which the row of this entry has stood; 0 if it has not yet.
    read_since : int
        Revision since which this entry has read all changes.
    left : dict
        Revision by which the row of an entry was seen to be gone, by its key; all that
        left after `read_since` and have not come back.
    """

    forget_ms: int
    renewals: deque[OwnRenewal] = field(
        default_factory=lambda: deque(maxlen=MAX_RENEWALS)
    )
    stood_since: int = 0
    read_since: int = 0
    left: dict[str, int] = field(default_factory=dict)

    def renewed(self, sent_ms: int, revision: int, now_ms: int) -> None:
        """Note a renewal of this entry that the store has just acknowledged."""
        if not self.stands_since(now_ms):
            self.stood_since = revision
        self.renewals.append(OwnRenewal(sent_ms, revision))

    def followed(self, before: LeaseRow, version: int) -> None:
        """Note that the first renewal has replaced the row of the life before.

        Parameters
        ----------
        version : int
            Version of that row, which has stood until then.
        """
        self.stood_since = before.stood_since or version

    def stands_since(self, now_ms: int) -> int:
        """Return since when the row of this entry has stood; 0 if it may not stand.

        Nobody can have deleted it before long, nor before a renewal that was sent until
        now is carried out late.
        """
        if not self.renewals:
            return 0
        is_recent = now_ms - self.renewals[-1].sent_ms < self.forget_ms // 2
        return self.stood_since if is_recent else 0

    def read_all(self, revision: int) -> None:
        """Note that all rows were read anew: some may have come and gone unseen."""
        self.read_since = revision

    def gone(self, keys: Iterable[str], revision: int) -> None:
        """Note which rows were deleted."""
        for key in filter(is_entry_key, keys):
            self.left[key] = revision

    def observe(self, leases: Mapping[str, SeenLease]) -> None:
        """Take in the leases that were read.

        An entry that left before the oldest lease was written counts for none of them.
        """
        oldest = min((one.revision for one in leases.values()), default=0)
        for key, at in list(self.left.items()):
            if key in leases:
                del self.left[key]
            elif at <= oldest:
                del self.left[key]
                self.read_since = max(self.read_since, at)

    def last_act_ms(self, holder: str, leases: Mapping[str, SeenLease]) -> int | None:
        """Return until when a holder can have acted, None if that is not known.

        The revision up to which the rows were read must show that it was replaced.

        Parameters
        ----------
        holder : str
            Key of its lease.
        leases : mapping
            Leases as last read, by their keys.
        """
        lease = leases.get(holder)
        if lease is None:
            return None
        left = self._left_since(lease.revision, leases)
        if left is None:
            return None
        needed = ceil(len(leases.keys() | left) / 2)
        others = [
            one for key, one in leases.items() if key != holder and key not in left
        ]
        last_ms = lease.unchanged_since_ms + ceil(UNSUPPORTED_MS / MIN_CLOCK_RATE)
        while True:
            silent_ms = self._silent_since_ms(last_ms, lease.revision, others, needed)
            if silent_ms is None:
                return None
            supported_ms = ceil(silent_ms + SUPPORT_MS / MIN_CLOCK_RATE)
            if supported_ms <= last_ms:
                return last_ms
            last_ms = supported_ms

    def _silent_since_ms(
        self, until_ms: int, revision: int, others: list[SeenLease], needed: int
    ) -> float | None:
        """Return since when half of the entries have told a holder nothing.

        Parameters
        ----------
        until_ms : int
            Time until which they must have told nothing.
        revision : int
            Revision that the holder had read last: it counted who was there then.
        others : list of SeenLease
            Leases of all entries but the holder.
        needed : int
            Half of the entries that it may have counted.
        """
        proof = next((one for one in self.renewals if one.sent_ms >= until_ms), None)
        if proof is None:
            return None
        silent_ms = sorted(
            one.unchanged_since_ms - one.untold_ms * MIN_CLOCK_RATE
            for one in others
            if 0 < one.stood_since <= revision and one.revision >= proof.revision
        )
        return silent_ms[needed - 1] if len(silent_ms) >= needed else None

    def _left_since(
        self, revision: int, leases: Mapping[str, SeenLease]
    ) -> set[str] | None:
        """Return all entries that have left after a revision, if they are known.

        Those that this entry has not seen leave are known to one that has read all
        changes from that revision on, until this one began to.
        """
        known = [
            one.left
            for one in leases.values()
            if 0 < one.read_since <= revision and one.revision >= self.read_since
        ]
        if not known:
            return None
        return {
            key
            for left in (self.left, *known)
            for key, at in left.items()
            if at > revision
        }
