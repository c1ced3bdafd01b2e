"""The leases of all entries, and which entries can hold duties by them."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field

from cornelturn.fleet.lease import LeaseWatch
from cornelturn.ownership.duties import is_entry_key
from cornelturn.ownership.duty_choice import CandidateEntries
from cornelturn.peering.messages import PeerAddress
from cornelturn.routing.rendezvous import rendezvous_owner
from cornelturn.store.port import RowStore
from cornelturn.store.rows import Delete, Row

ENTRY_LEASE_MS = 2_500
"""Time without a renewal after which the duties of an entry are taken over."""

MAX_RECONCILE_GAP_MS = 2_000
"""Time between two reads of the rows beyond which the first proves nothing."""

FIRST_CONTACT_MS = 2_500
"""Time in which a new entry counts as reachable before its first heartbeat arrives:
two heartbeat intervals and a margin."""

LEASE_RETENTION_MS = 20_000
"""Time without a renewal after which the lease of an entry is deleted."""


@dataclass(slots=True)
class MemberLeases:
    """Watches the leases of all entries, and deletes stale ones.

    Parameters
    ----------
    processor : float
        Cores that this entry may use.
    reachable_entries : callable
        Returns the entries whose heartbeats arrive here.
    on_peers_read : callable
        Called with the addresses of all entries that have not stopped.
    watch : LeaseWatch
        The leases as last read.
    first_seen_ms : dict
        When each entry first appeared in the rows.
    """

    own: PeerAddress
    store: RowStore
    processor: float
    reachable_entries: Callable[[], frozenset[str]]
    on_peers_read: Callable[[tuple[PeerAddress, ...]], None]
    watch: LeaseWatch = field(
        default_factory=lambda: LeaseWatch(
            lease_ms=ENTRY_LEASE_MS, max_gap_ms=MAX_RECONCILE_GAP_MS
        )
    )
    first_seen_ms: dict[PeerAddress, int] = field(default_factory=dict)

    def observe(self, rows: Iterable[Row], now_ms: int) -> None:
        """Record the leases among all rows, and publish the addresses of the entries.

        Parameters
        ----------
        rows : iterable
            All rows of a successful read.
        """
        lease_rows = tuple(row for row in rows if is_entry_key(row.key))
        self.watch.observe(lease_rows, now_ms)
        leases = self.watch.leases.values()
        self.first_seen_ms = {
            lease.peer: self.first_seen_ms.get(lease.peer, now_ms) for lease in leases
        }
        self.on_peers_read(tuple(lease.peer for lease in leases if not lease.is_over))

    def next_lapse_ms(self, entries: Collection[str], now_ms: int) -> int | None:
        """Return when the next lease of these entries lapses, None if none does."""
        lapses_ms = (
            self.watch.lapse_ms(lease)
            for lease in self.watch.leases.values()
            if lease.peer.name in entries
        )
        return min((lapse for lapse in lapses_ms if lapse > now_ms), default=None)

    def candidates_to_take(self, now_ms: int) -> CandidateEntries:
        """Return the entries among which free duties are shared out."""
        return self._candidates(
            now_ms, self.reachable_entries() | self._new_entries(now_ms)
        )

    def candidates_for_hand_over(self, now_ms: int) -> CandidateEntries:
        """Return the entries that may receive a duty: only those seen to renew."""
        return self._candidates(
            now_ms, self.reachable_entries() & self.watch.confirmed_entries()
        )

    async def delete_stale(self, now_ms: int) -> None:
        """Delete at most one stale lease; rendezvous hashing picks who deletes it."""
        live_entries = self._live_incarnations(now_ms)
        for lease in self.watch.leases.values():
            is_stale = now_ms - lease.unchanged_since_ms > LEASE_RETENTION_MS
            if (
                is_stale
                and rendezvous_owner(lease.row.key, live_entries) == self.own.name
            ):
                await self.store.commit(Delete(lease.row.key, lease.row.version))
                return

    def _new_entries(self, now_ms: int) -> frozenset[str]:
        """Return the entries whose first heartbeat may not have arrived yet."""
        return frozenset(
            peer.name
            for peer, since_ms in self.first_seen_ms.items()
            if now_ms - since_ms < FIRST_CONTACT_MS
        )

    def _live_incarnations(self, now_ms: int) -> dict[str, int]:
        """Return the incarnation of each entry whose lease is in force, and its own."""
        leases = self.watch.leases.values()
        ended = {lease.peer.name for lease in self.watch.lapsed(now_ms)}
        ended |= {lease.peer.name for lease in leases if lease.is_over}
        incarnations = {
            lease.peer.name: lease.peer.incarnation
            for lease in leases
            if lease.peer.name not in ended
        }
        incarnations[self.own.name] = self.own.incarnation
        return incarnations

    def _candidates(
        self, now_ms: int, reachable_names: frozenset[str]
    ) -> CandidateEntries:
        incarnations = self._live_incarnations(now_ms)
        processors = {
            lease.peer.name: lease.processor for lease in self.watch.leases.values()
        }
        processors[self.own.name] = self.processor
        reachable = frozenset(incarnations) & (reachable_names | {self.own.name})
        return CandidateEntries(incarnations, reachable, processors)
