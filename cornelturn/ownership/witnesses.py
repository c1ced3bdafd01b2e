"""Decisions about when a silent holder has surely given its last order.

An entry acts without the store only while more than half of all say that they have
none (`cornelturn.ownership.standing`). Each writes into its lease how long it has said
nothing of the kind, and which revision it had read: so whoever reads the leases of half
of the entries knows until when a holder can have acted that renews its lease no more.

The half is one of the entries that the holder counted. So each lease also says since
which revision its row has stood, and which rows were deleted since: an entry that has
just started builds on the word of those that were there.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from math import ceil

from cornelturn.fleet.lease import SeenLease
from cornelturn.ownership.duties import is_entry_key
from cornelturn.ownership.standing import SUPPORT_MS, UNSUPPORTED_MS
from cornelturn.targets.session import CLOCK_RATE

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
        Revision since which the row of this entry has stood; 0 if it may not stand.
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
        if not self._stands(now_ms):
            self.stood_since = revision
        self.renewals.append(OwnRenewal(sent_ms, revision))

    def since(self, now_ms: int) -> int:
        """Return since when this entry was there and has read all; 0 if not known."""
        if not self._stands(now_ms):
            return 0
        return max(self.stood_since, self.read_since)

    def _stands(self, now_ms: int) -> bool:
        """Return whether nobody can have deleted the row of this entry."""
        if not self.stood_since or not self.renewals:
            return False
        return now_ms - self.renewals[-1].sent_ms < self.forget_ms * CLOCK_RATE

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
        last_ms = lease.unchanged_since_ms + ceil(UNSUPPORTED_MS / CLOCK_RATE)
        proof = next((one for one in self.renewals if one.sent_ms >= last_ms), None)
        if proof is None:
            return None
        silent_ms = last_ms - ceil(SUPPORT_MS / CLOCK_RATE)
        read = max(proof.revision, self.read_since)
        witnesses = {
            key: one
            for key, one in leases.items()
            if key != holder
            and 0 < one.since <= lease.revision
            and one.revision >= read
            and one.unchanged_since_ms - one.untold_ms * CLOCK_RATE <= silent_ms
        }
        others = leases.keys() - witnesses.keys()
        for left in (self.left, *(one.left for one in witnesses.values())):
            others |= {key for key, at in left.items() if at > lease.revision}
        return last_ms if len(witnesses) >= len(others) else None
