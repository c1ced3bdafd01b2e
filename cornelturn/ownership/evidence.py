"""Upper bounds on when a silent holder last acted, from the leases of all entries.

An entry acts without the store only while more than half of all entries, itself
included, report an outage (`cornelturn.ownership.authority`). Each lease states how
long its entry has reported none and which revision it had read. So the leases of half
of the entries bound the time until which a holder that no longer renews its lease can
have acted.

That half must be of the entries that the holder counted. So each lease also states the
revision since which its row has existed, and the rows deleted since its entry has read
all changes: an entry that has just started relies on those that ran before it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from math import ceil

from cornelturn.fleet.lease import LeaseRow, ObservedLease
from cornelturn.ownership.authority import (
    OUTAGE_REPORT_VALIDITY_MS,
    RENEWAL_VALIDITY_MS,
)
from cornelturn.ownership.duties import is_entry_key
from cornelturn.targets.session import MIN_CLOCK_RATE

MAX_OWN_RENEWALS = 16
"""Number of own renewals that are remembered: only the last few seconds matter."""


@dataclass(frozen=True, slots=True)
class OwnRenewal:
    """A renewal of this entry; whoever has read its revision did so after `sent_ms`."""

    sent_ms: int
    revision: int


@dataclass(slots=True)
class HolderEvidence:
    """What the rows of all entries prove about a silent holder.

    Parameters
    ----------
    retention_ms : int
        Time without a renewal after which the row of an entry may be deleted.
    row_since_revision : int
        Revision since which the row of this entry has existed; 0 before its first
        renewal.
    read_since_revision : int
        Revision since which this entry has read all changes.
    departed : dict
        Revision by which the row of an entry had been deleted, by its key: of all rows
        deleted after `read_since_revision` that have not been written again.
    """

    retention_ms: int
    renewals: deque[OwnRenewal] = field(
        default_factory=lambda: deque(maxlen=MAX_OWN_RENEWALS)
    )
    row_since_revision: int = 0
    read_since_revision: int = 0
    departed: dict[str, int] = field(default_factory=dict)

    def record_renewal(self, sent_ms: int, revision: int, now_ms: int) -> None:
        """Record a renewal of this entry that the store has just acknowledged."""
        if not self.row_exists_since(now_ms):
            self.row_since_revision = revision
        self.renewals.append(OwnRenewal(sent_ms, revision))

    def record_replaced_lease(self, replaced: LeaseRow, version: int) -> None:
        """Record that the first renewal has replaced the row of an earlier incarnation.

        Parameters
        ----------
        version : int
            Version of that row, which existed until the renewal replaced it.
        """
        self.row_since_revision = replaced.stood_since or version

    def row_exists_since(self, now_ms: int) -> int:
        """Return the revision since which the row of this entry exists, 0 if unknown.

        Within half of the retention time after a renewal nobody can have deleted the
        row. The other half is a margin for a renewal that is sent now and carried out
        late: it still finds the row.
        """
        if not self.renewals:
            return 0
        is_recent = now_ms - self.renewals[-1].sent_ms < self.retention_ms // 2
        return self.row_since_revision if is_recent else 0

    def record_full_read(self, revision: int) -> None:
        """Record a read of all rows; rows written and deleted before it went unseen."""
        self.read_since_revision = revision

    def record_deletions(self, keys: Iterable[str], revision: int) -> None:
        """Record the leases among deleted rows."""
        for key in filter(is_entry_key, keys):
            self.departed[key] = revision

    def observe(self, leases: Mapping[str, ObservedLease]) -> None:
        """Drop departures of entries that have returned, or that are too old to matter.

        A row deleted before the oldest lease was written counts for none of them.
        """
        oldest_revision = min((lease.revision for lease in leases.values()), default=0)
        for key, departed_revision in list(self.departed.items()):
            if key in leases:
                del self.departed[key]
            elif departed_revision <= oldest_revision:
                del self.departed[key]
                self.read_since_revision = max(
                    self.read_since_revision, departed_revision
                )

    def last_possible_act_ms(
        self, holder_key: str, leases: Mapping[str, ObservedLease]
    ) -> int | None:
        """Return the latest time at which a holder can have acted, None if unknown.

        The rows must have been read up to a revision at which it had been replaced.

        Parameters
        ----------
        holder_key : str
            Key of the lease of the holder.
        leases : mapping
            Leases as last read, by their keys.
        """
        lease = leases.get(holder_key)
        if lease is None:
            return None
        departed = self._departed_since(lease.revision, leases)
        if departed is None:
            return None
        half_count = ceil(len(leases.keys() | departed) / 2)
        other_leases = [
            other_lease
            for key, other_lease in leases.items()
            if key != holder_key and key not in departed
        ]
        last_act_ms = lease.unchanged_since_ms + ceil(
            RENEWAL_VALIDITY_MS / MIN_CLOCK_RATE
        )
        while True:
            silent_since_ms = self._no_report_since_ms(
                last_act_ms, lease.revision, other_leases, half_count
            )
            if silent_since_ms is None:
                return None
            acted_until_ms = ceil(
                silent_since_ms + OUTAGE_REPORT_VALIDITY_MS / MIN_CLOCK_RATE
            )
            if acted_until_ms <= last_act_ms:
                return last_act_ms
            last_act_ms = acted_until_ms

    def _no_report_since_ms(
        self,
        until_ms: int,
        revision: int,
        other_leases: list[ObservedLease],
        half_count: int,
    ) -> float | None:
        """Return since when half of the entries reported no outage, None if unknown.

        Parameters
        ----------
        until_ms : int
            Time until which they must have reported none.
        revision : int
            Revision that the holder had read last; it counted the entries of that time.
        other_leases : list of ObservedLease
            Leases of all entries but the holder.
        half_count : int
            Half of the number of entries that it may have counted.
        """
        own_renewal = next(
            (renewal for renewal in self.renewals if renewal.sent_ms >= until_ms), None
        )
        if own_renewal is None:
            return None
        times_ms = sorted(
            lease.unchanged_since_ms - lease.untold_ms * MIN_CLOCK_RATE
            for lease in other_leases
            if 0 < lease.stood_since <= revision
            and lease.revision >= own_renewal.revision
        )
        return times_ms[half_count - 1] if len(times_ms) >= half_count else None

    def _departed_since(
        self, revision: int, leases: Mapping[str, ObservedLease]
    ) -> set[str] | None:
        """Return the keys of leases deleted after a revision, None if some are unknown.

        Deletions that this entry has not seen are known from the lease of an entry that
        had read all changes from that revision until this one began to read them.
        """
        known = [
            lease.left
            for lease in leases.values()
            if 0 < lease.read_since <= revision
            and lease.revision >= self.read_since_revision
        ]
        if not known:
            return None
        return {
            key
            for departures in (self.departed, *known)
            for key, departed_revision in departures.items()
            if departed_revision > revision
        }
