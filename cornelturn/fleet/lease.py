"""Lease of this entry, and detection of other entries whose lease has lapsed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
from result import Err, Ok, Result

from cornelturn.clock import Clock
from cornelturn.events.log import log_event, log_warning
from cornelturn.events.mailbox import Mailbox
from cornelturn.model.decoding import DocumentError, Int64, try_decode
from cornelturn.peering.messages import PeerAddress
from cornelturn.store.rows import (
    Delete,
    Put,
    Row,
    TableConflict,
    version_of,
)
from cornelturn.store.table import Table

ENTRY_PREFIX = "entry/"
RENEW_INTERVAL_S = 2.0
LEASE_DURATION_MS = 7_000
MAX_OBSERVATION_GAP_MS = 4_000


@dataclass(frozen=True, slots=True)
class LeaseRow:
    """Table row of the lease of an entry.

    Parameters
    ----------
    given_up : dict
        Generation in which this incarnation held a duty that it has lost, by duty; it
        sends no more orders with that generation.
    processor : float
        Number of cores that the entry may use.
    revision : int
        Revision up to which the entry has read the rows.
    untold_ms : int
        Time since the entry last reported to another entry that it cannot reach the
        store.
    stood_since : int
        Revision since which a row of the entry has existed without a gap, from this
        or an earlier incarnation; 0 if unknown.
    read_since : int
        Revision since which the entry has read all changes without a gap.
    left : dict
        Entries that have left since `read_since` and have not returned: a revision at
        which the lease no longer existed, by lease key.
    is_over : bool
        Whether the entry has stopped and released its duties.
    """

    peer: PeerAddress
    renewals: Int64
    given_up: dict[str, Int64] = field(default_factory=dict)
    processor: float = 1.0
    revision: Int64 = 0
    untold_ms: Int64 = 0
    stood_since: Int64 = 0
    read_since: Int64 = 0
    left: dict[str, Int64] = field(default_factory=dict)
    is_over: bool = False


LEASE_DECODER = msgspec.json.Decoder(LeaseRow)


@dataclass(frozen=True, slots=True)
class RenewDue:
    """Timer: renew the lease and read the leases of the other entries."""


@dataclass(frozen=True, slots=True)
class LeaseReleased:
    """Request to delete the lease on shutdown, so that others take over at once."""

    reply: asyncio.Future[None]


LeaseMessage = RenewDue | LeaseReleased


@dataclass(slots=True)
class ObservedLease:
    """Lease of an entry as observed on the clock of this entry.

    Parameters
    ----------
    is_confirmed : bool
        Whether a renewal was observed since the last interruption. A lease without one
        does not count as lapsed yet, but its entry may have stopped long ago.
    renewals, revision, untold_ms, stood_since, read_since, left, is_over
        As in the row.
    """

    row: Row
    peer: PeerAddress
    unchanged_since_ms: int
    processor: float = 1.0
    is_confirmed: bool = False
    renewals: int = 0
    revision: int = 0
    untold_ms: int = 0
    stood_since: int = 0
    read_since: int = 0
    left: dict[str, int] = field(default_factory=dict)
    is_over: bool = False


@dataclass(slots=True)
class LeaseWatch:
    """Detects lapsed leases by durations on the local clock only.

    Time in which the table could not be read does not count, since other entries
    could not renew their leases then either. Neither does time in which this entry did
    not read the leases because it was paused or delayed: renewals that others could
    not make in that time would look like lapses.

    Parameters
    ----------
    lease_ms : int
        Time without a renewal after which a lease has lapsed.
    max_gap_ms : int
        Time between two observations above which the entry counts as paused.
    """

    leases: dict[str, ObservedLease] = field(default_factory=dict)
    observed_ms: int | None = None
    lease_ms: int = LEASE_DURATION_MS
    max_gap_ms: int = MAX_OBSERVATION_GAP_MS

    def observe(self, rows: tuple[Row, ...], now_ms: int) -> None:
        """Record all rows of a successful scan."""
        is_gap = self.observed_ms is None or now_ms - self.observed_ms > self.max_gap_ms
        if is_gap:
            self.mark_interruption(now_ms)
        self.observed_ms = now_ms
        leases: dict[str, ObservedLease] = {}
        for row in rows:
            observed = self.leases.get(row.key)
            if observed is None or observed.row.version != row.version:
                match decode_lease(row.value):
                    case Ok(lease):
                        observed = _observed_lease(row, lease, now_ms, not is_gap)
                    case Err(error):
                        detail = error.detail
                        log_warning("lease_unreadable", key=row.key, detail=detail)
            if observed is not None:
                leases[row.key] = observed
        self.leases = leases

    def mark_interruption(self, now_ms: int) -> None:
        """Restart the durations of leases that have not lapsed, after missed scans."""
        for lease in self.leases.values():
            lease.is_confirmed = False
            if not self._was_lapsed(lease):
                lease.unchanged_since_ms = now_ms

    def _was_lapsed(self, lease: ObservedLease) -> bool:
        """Return whether a lease had lapsed at the last observation."""
        if self.observed_ms is None:
            return False
        return self.observed_ms - lease.unchanged_since_ms >= self.lease_ms

    def confirmed_entries(self) -> frozenset[str]:
        """Return the entries whose lease was renewed since the last interruption."""
        return frozenset(
            lease.peer.name for lease in self.leases.values() if lease.is_confirmed
        )

    def lapse_ms(self, lease: ObservedLease) -> int:
        """Return when a lease lapses unless it is renewed, on the local clock."""
        return lease.unchanged_since_ms + self.lease_ms

    def lapsed(self, now_ms: int) -> list[ObservedLease]:
        """Return the leases that were not renewed in time."""
        return [
            lease for lease in self.leases.values() if now_ms >= self.lapse_ms(lease)
        ]


@dataclass(slots=True)
class LeaseManager:
    """Renews the lease of this entry and reports lapsed leases of others.

    Parameters
    ----------
    on_addresses : callable
        Called with the addresses of all entries that have a lease.
    on_lapsed : callable
        Called with each lapsed lease.
    on_superseded : callable
        Called when the lease of this entry was deleted by another entry.
    """

    own: PeerAddress
    table: Table
    clock: Clock
    on_addresses: Callable[[tuple[PeerAddress, ...]], None]
    on_lapsed: Callable[[ObservedLease], None]
    on_superseded: Callable[[], None]
    mailbox: Mailbox[LeaseMessage] = field(default_factory=Mailbox)
    watch: LeaseWatch = field(default_factory=LeaseWatch)
    version: int | None = None
    is_written: bool = False
    renewals: int = 0

    async def run(self) -> None:
        """Handle messages until the lease is released."""
        async for message in self.mailbox.messages():
            match message:
                case RenewDue():
                    await self._renew()
                    await self._watch_others()
                case LeaseReleased(reply):
                    await self._release()
                    reply.set_result(None)
                    return

    async def _renew(self) -> None:
        if self.version is None:
            await self._read_version()
        if self.version is None:
            return
        self.renewals += 1
        value = encode_lease(LeaseRow(self.own, self.renewals))
        match await self.table.commit(Put(self._key(), value, self.version)):
            case Ok(committed):
                self.version = committed.revision
                self.is_written = True
            case Err(TableConflict()):
                await self._read_version()
            case Err(error):
                self.version = None
                log_warning("lease_not_renewed", entry=self.own.name, error=str(error))

    async def _read_version(self) -> None:
        """Read the version of the lease, since a failed renewal may have taken effect.

        No other entry writes this row; the entry that takes over deletes it.
        """
        self.version = None
        match await self.table.read(self._key()):
            case Ok(None) if self.is_written:
                log_warning("lease_lost", entry=self.own.name)
                self.on_superseded()
            case Ok(row):
                self.version = version_of(row)
                self.is_written = row is not None
            case Err(error):
                log_warning("lease_not_read", entry=self.own.name, detail=error.detail)

    async def _watch_others(self) -> None:
        now_ms = self.clock.now_ms()
        match await self.table.scan(ENTRY_PREFIX):
            case Err(_):
                self.watch.mark_interruption(now_ms)
                return
            case Ok(page):
                self.watch.observe(page.rows, now_ms)
        self.on_addresses(tuple(lease.peer for lease in self.watch.leases.values()))
        for lease in self.watch.lapsed(now_ms):
            if lease.peer != self.own:
                log_event(
                    "lease_lapsed",
                    entry=lease.peer.name,
                    incarnation=lease.peer.incarnation,
                )
                self.on_lapsed(lease)

    async def _release(self) -> None:
        if self.version is not None:
            await self.table.commit(Delete(self._key(), self.version))

    def _key(self) -> str:
        return lease_key(self.own)


def _observed_lease(
    row: Row, lease: LeaseRow, now_ms: int, is_confirmed: bool
) -> ObservedLease:
    return ObservedLease(
        row,
        lease.peer,
        now_ms,
        lease.processor,
        is_confirmed,
        lease.renewals,
        lease.revision,
        lease.untold_ms,
        lease.stood_since,
        lease.read_since,
        lease.left,
        lease.is_over,
    )


def lease_key(peer: PeerAddress) -> str:
    """Return the key of the lease of one incarnation of an entry."""
    return f"{ENTRY_PREFIX}{peer.name}/{peer.incarnation}"


def encode_lease(lease: LeaseRow) -> str:
    """Return the JSON text of a lease."""
    return msgspec.json.encode(lease).decode()


def decode_lease(text: str) -> Result[LeaseRow, DocumentError]:
    """Return the lease of a JSON text."""
    return try_decode(LEASE_DECODER.decode, text)
