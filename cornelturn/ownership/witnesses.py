"""Decisions about when a silent holder has surely given its last order.

An entry acts without the store only while more than half of all say that they have
none (`cornelturn.ownership.standing`). Each writes into its lease how long it has said
nothing of the kind, and which revision it had read: so whoever reads the leases of half
of the entries knows until when a holder can have acted that renews its lease no more.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Iterable, Mapping
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


@dataclass(frozen=True, slots=True)
class Presence:
    """Since which revision the row of an incarnation has been there without a break."""

    incarnation: int
    since: int


@dataclass(slots=True)
class Witnesses:
    """What the rows of all entries prove about a silent holder.

    Parameters
    ----------
    present : dict
        Entries that are there without a break, by the key of their lease.
    left : dict
        Revision at which the row of an entry was seen to be gone, by its key.
    read_ms : int or None
        When the rows were last read.
    gap_ms : int
        Time between two readings after which a row may have been away unseen.
    """

    gap_ms: int
    renewals: deque[OwnRenewal] = field(
        default_factory=lambda: deque(maxlen=MAX_RENEWALS)
    )
    present: dict[str, Presence] = field(default_factory=dict)
    left: dict[str, int] = field(default_factory=dict)
    read_ms: int | None = None

    def renewed(self, sent_ms: int, revision: int) -> None:
        """Note a renewal of this entry that the store has acknowledged."""
        self.renewals.append(OwnRenewal(sent_ms, revision))

    def forget(self) -> None:
        """Note that rows may have come and gone unseen."""
        self.present.clear()

    def gone(self, keys: Iterable[str], revision: int) -> None:
        """Note which rows were deleted."""
        for key in filter(is_entry_key, keys):
            self.present.pop(key, None)
            self.left[key] = revision

    def observe(
        self,
        leases: Mapping[str, SeenLease],
        lapsed: Collection[str],
        revision: int,
        now_ms: int,
    ) -> None:
        """Take in the leases that were read.

        Parameters
        ----------
        lapsed : collection of str
            Keys of those that have lapsed: their rows may be deleted at any time.
        """
        if self.read_ms is None or now_ms - self.read_ms > self.gap_ms:
            self.forget()
        self.read_ms = now_ms
        fresh: dict[str, Presence] = {}
        for key, lease in leases.items():
            self.left.pop(key, None)
            known = self.present.get(key)
            if known is None or known.incarnation != lease.peer.incarnation:
                known = Presence(lease.peer.incarnation, revision)
            if key not in lapsed:
                fresh[key] = known
        self.present = fresh

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
        witnesses = {
            key
            for key, one in leases.items()
            if key != holder
            and self._is_known_to(lease, key)
            and one.revision >= proof.revision
            and one.unchanged_since_ms - one.untold_ms * CLOCK_RATE <= silent_ms
        }
        others = leases.keys() - witnesses
        others |= {key for key, at in self.left.items() if at > lease.revision}
        return last_ms if len(witnesses) >= len(others) else None

    def _is_known_to(self, lease: SeenLease, key: str) -> bool:
        """Return whether the entry of a lease has counted another one all the time."""
        found = self.present.get(key)
        return found is not None and found.since <= lease.revision
