"""Simulates entries that renew and read leases, and the end of one holder.

Each entry has a clock of its own. The store loses and delays calls.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from itertools import count

from cornelturn.fleet.lease import LeaseRow, LeaseWatch, decode_lease, encode_lease
from cornelturn.ownership.authority import ActingAuthority
from cornelturn.ownership.duties import entry_key, is_entry_key
from cornelturn.ownership.evidence import HolderEvidence
from cornelturn.ownership.member_leases import ENTRY_LEASE_MS, MAX_RECONCILE_GAP_MS
from cornelturn.peering.messages import PeerAddress
from cornelturn.store.rows import Row
from properties.holder_faults import END_MS, Fault

HOLDER = "entry-0"
RECONCILE_INTERVAL_MS = 1_000
QUERY_INTERVAL_MS = 250
SAMPLE_MS = 10
CALL_LIMIT_MS = 1_500
RETENTION_MS = 6_500
"""Time without a renewal after which a row may be deleted; shorter than in a fleet."""

SLOWEST_CLOCK_RATE = 0.98


@dataclass(frozen=True)
class LastRenewal:
    """The renewal that the row of an entry shows."""

    incarnation: int
    at_ms: float


@dataclass
class World:
    """The true time, the store, and the queue of pending calls.

    Parameters
    ----------
    changes : list
        Each change of a row, None for one that was deleted, with its revision.
    taken : int or None
        Revision at which the duty was taken.
    acted_ms : float
        True time at which the holder was last able to act.
    bounds_ms : list of float
        Computed bounds, in true time, after which the holder does not act.
    """

    rng: random.Random
    now_ms: float = 0
    revision: int = 0
    changes: list[tuple[int, str, Row | None]] = field(default_factory=list)
    rows: dict[str, Row | None] = field(default_factory=dict)
    entries: dict[str, Entry] = field(default_factory=dict)
    renewed: dict[str, LastRenewal] = field(default_factory=dict)
    faults: list[Fault] = field(default_factory=list)
    queue: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    order: count[int] = field(default_factory=count)
    taken: int | None = None
    acted_ms: float = 0
    bounds_ms: list[float] = field(default_factory=list)

    def after(self, delay_ms: float, call: Callable[[], None]) -> None:
        """Schedule a call."""
        at_ms = self.now_ms + delay_ms
        heapq.heappush(self.queue, (at_ms, next(self.order), call))

    def is_on(self, kind: str, number: int) -> bool:
        """Return whether a fault of a kind affects an entry now."""
        return any(
            fault.kind == kind
            and number in fault.affected
            and fault.at_ms <= self.now_ms < fault.at_ms + fault.for_ms
            for fault in self.faults
        )

    def row(self, key: str) -> Row | None:
        """Return the current row of a key."""
        return self.rows.get(key)

    def write(self, key: str, value: str | None) -> int:
        """Write or delete a row."""
        self.revision += 1
        row = None if value is None else Row(key, self.revision, "", value)
        self.changes.append((self.revision, key, row))
        self.rows[key] = row
        return self.revision

    def delete_stale_rows(self) -> None:
        """Delete rows that were not renewed for long, except that of the holder."""
        for key, last in list(self.renewed.items()):
            is_stale = self.now_ms - last.at_ms > RETENTION_MS
            if is_stale and key != entry_key(HOLDER) and self.rng.random() < 0.3:
                self.write(key, None)
                del self.renewed[key]

    def play(self) -> None:
        """Run the pending calls until the end."""
        while self.queue and self.now_ms < END_MS:
            self.now_ms, _, call = heapq.heappop(self.queue)
            call()
            self.sample_holder()

    def sample_holder(self) -> None:
        """Record whether the holder can act now."""
        holder = self.entries[HOLDER]
        is_awake = not self.is_on("freeze", holder.number)
        may_act = holder.authority.may_act(holder.clock_ms())
        if holder.is_holder and is_awake and may_act:
            self.acted_ms = self.now_ms


@dataclass
class Entry:
    """One entry: its clock, its lease and the outage reports that it gives."""

    world: World
    number: int
    incarnation: int
    rate: float
    offset_ms: int
    is_holder: bool = False
    is_running: bool = True
    authority: ActingAuthority = field(default_factory=ActingAuthority)
    evidence: HolderEvidence = field(
        default_factory=lambda: HolderEvidence(RETENTION_MS)
    )
    watch: LeaseWatch = field(
        default_factory=lambda: LeaseWatch(
            lease_ms=ENTRY_LEASE_MS, max_gap_ms=MAX_RECONCILE_GAP_MS
        )
    )
    rows: dict[str, Row] = field(default_factory=dict)
    revision: int | None = None
    renewals: int = 0
    is_history_lost: bool = False

    @property
    def name(self) -> str:
        return f"entry-{self.number}"

    @property
    def key(self) -> str:
        return entry_key(self.name)

    def clock_ms(self) -> int:
        return self.offset_ms + int(self.world.now_ms * self.rate)

    def true_ms(self, clock_ms: int) -> float:
        return (clock_ms - self.offset_ms) / self.rate

    def start(self) -> None:
        self.authority.start(self.clock_ms())
        self.reconcile()
        self.query_outage_reports()

    def unless_frozen(self, call: Callable[[], None]) -> None:
        """Make a call now, or once this entry is no longer frozen."""
        if not self.is_running:
            return
        if self.world.is_on("freeze", self.number):
            self.world.after(50, lambda: self.unless_frozen(call))
            return
        call()

    def later(self, delay_ms: float, call: Callable[[], None]) -> None:
        self.world.after(delay_ms, lambda: self.unless_frozen(call))

    def reconcile(self) -> None:
        """Renew the lease, then read the rows."""
        world, rng = self.world, self.world.rng
        began_ms = world.now_ms
        self.renewals += 1
        number, sent_ms = self.renewals, self.clock_ms()
        self.authority.record_renewal_sent(number, sent_ms)
        lease = LeaseRow(
            PeerAddress(self.name, self.incarnation, ""),
            number,
            revision=self.revision or 0,
            untold_ms=self.authority.time_since_outage_report_ms(sent_ms),
            stood_since=self.evidence.row_exists_since(sent_ms),
            read_since=self.evidence.read_since_revision,
            left=dict(self.evidence.departed),
        )

        def then() -> None:
            self.read(lambda: self.schedule_reconcile(began_ms))

        if world.is_on("cut_store", self.number):
            self.later(CALL_LIMIT_MS, then)
            return
        if world.is_on("lost_writes", self.number):
            self.later(60, then)
            return
        travel_ms = rng.randint(1, 60)
        if world.is_on("late_store", self.number):
            travel_ms = rng.randint(1, 3_000)

        before = self.previous_lease() if number == 1 else None

        def commit() -> None:
            if before is not None and world.row(self.key) is not before:
                return
            revision = world.write(self.key, encode_lease(lease))
            world.renewed[self.key] = LastRenewal(self.incarnation, world.now_ms)
            is_lost = travel_ms >= CALL_LIMIT_MS
            if not is_lost and not world.is_on("lost_answers", self.number):
                self.later(rng.randint(1, 60), lambda: acknowledged(revision))

        def acknowledged(revision: int) -> None:
            self.evidence.record_renewal(sent_ms, revision, self.clock_ms())
            if before is not None:
                lease = decode_lease(before.value).unwrap()
                self.evidence.record_replaced_lease(lease, before.version)

        world.after(travel_ms, commit)
        self.later(min(travel_ms + 61, CALL_LIMIT_MS), then)

    def previous_lease(self) -> Row | None:
        """Return the row of an earlier incarnation, if the store can be read."""
        world = self.world
        return None if world.is_on("cut_store", self.number) else world.row(self.key)

    def schedule_reconcile(self, began_ms: float) -> None:
        past_ms = self.world.now_ms - began_ms
        self.later(max(1, RECONCILE_INTERVAL_MS - past_ms), self.reconcile)

    def read(self, then: Callable[[], None]) -> None:
        """Read the changes, which arrive after a delay."""
        world, rng = self.world, self.world.rng
        is_late = world.is_on("late_store", self.number)
        travel_ms = rng.randint(1, 1_200 if is_late else 50)
        if world.is_on("cut_store", self.number):
            self.later(CALL_LIMIT_MS, lambda: self.read_failed(then))
            return

        def served() -> None:
            page, revision = list(world.changes), world.revision
            is_taken = world.taken is not None and world.taken <= revision
            back_ms = rng.randint(1, 50)
            self.later(
                back_ms, lambda: self.page_arrived(page, revision, is_taken, then)
            )

        world.after(travel_ms, served)

    def read_failed(self, then: Callable[[], None]) -> None:
        self.watch.mark_interruption(self.clock_ms())
        then()

    def page_arrived(
        self,
        page: list[tuple[int, str, Row | None]],
        revision: int,
        is_taken: bool,
        then: Callable[[], None],
    ) -> None:
        """Process a page as the keeper of duties does."""
        self.world.delete_stale_rows()
        now_ms = self.clock_ms()
        if self.revision is None or self.is_history_lost:
            self.apply_full_read(page, revision)
        else:
            self.apply_changes(page, revision)
        leases = tuple(row for row in self.rows.values() if is_entry_key(row.key))
        self.watch.observe(leases, now_ms)
        lapsed = frozenset(lease.row.key for lease in self.watch.lapsed(now_ms))
        self.evidence.observe(self.watch.leases)
        names = frozenset(lease.peer.name for lease in self.watch.leases.values())
        self.authority.others = names - {self.name}
        own = self.watch.leases.get(self.key)
        if own is not None and own.peer.incarnation == self.incarnation:
            self.authority.confirm_renewal(own.renewals)
        if is_taken:
            self.is_holder = False
        if self.name != HOLDER:
            self.take_over(lapsed)
        then()

    def apply_full_read(
        self, page: list[tuple[int, str, Row | None]], revision: int
    ) -> None:
        """Apply a read of all rows, which misses rows written and deleted before it."""
        last = {key: row for _, key, row in page}
        self.rows = {key: row for key, row in last.items() if row is not None}
        self.revision = revision
        self.is_history_lost = False
        self.evidence.record_full_read(revision)

    def apply_changes(
        self, page: list[tuple[int, str, Row | None]], revision: int
    ) -> None:
        """Apply the changes since the last read."""
        last = {key: row for at, key, row in page if at > self.revision}
        deleted = [key for key, row in last.items() if row is None]
        self.rows.update({key: row for key, row in last.items() if row is not None})
        for key in deleted:
            self.rows.pop(key, None)
        self.revision = revision
        self.evidence.record_deletions(deleted, revision)

    def take_over(self, lapsed: frozenset[str]) -> None:
        """Take the duty of a lapsed holder, and compute the bound on its last act."""
        world = self.world
        holder = world.entries[HOLDER]
        if world.taken is None:
            if holder.key in lapsed and not world.is_on("cut_store", self.number):
                world.taken = world.write("members/duty.pool/duty", "")
            return
        if world.taken > self.revision:
            return
        seen = self.watch.leases.get(holder.key)
        if seen is None or seen.peer.incarnation != holder.incarnation:
            return
        last_ms = self.evidence.last_possible_act_ms(holder.key, self.watch.leases)
        if last_ms is not None:
            world.bounds_ms.append(self.true_ms(last_ms))

    def query_outage_reports(self) -> None:
        """Ask the others for outage reports, if any are needed."""
        now_ms = self.clock_ms()
        if self.is_holder and self.authority.needs_outage_reports(now_ms):
            for other in list(self.world.entries.values()):
                if other is not self:
                    self.send(
                        other,
                        lambda other=other: other.receive_outage_query(self, now_ms),
                    )
        self.later(QUERY_INTERVAL_MS, self.query_outage_reports)

    def receive_outage_query(self, asker: Entry, asked_ms: int) -> None:
        if self.authority.report_outage(self.clock_ms()):
            self.send(asker, lambda: asker.receive_outage_report(self.name, asked_ms))

    def receive_outage_report(self, name: str, asked_ms: int) -> None:
        self.authority.add_outage_report(name, asked_ms, self.clock_ms())

    def send(self, other: Entry, call: Callable[[], None]) -> None:
        """Send a message unless a fault cuts the links of just one of the two."""
        world = self.world
        here = world.is_on("cut_links", self.number)
        if here != world.is_on("cut_links", other.number):
            return
        slow_ms = world.rng.choice((5, 40, 40, 1_200))
        world.after(world.rng.randint(1, slow_ms), lambda: other.unless_frozen(call))


def play(number: int, faults: list[Fault], seed: int) -> World:
    """Simulate the end of one holder and return the world after it."""
    rng = random.Random(seed)
    world = World(rng, faults=faults)
    incarnations, numbers = count(1), count(number)

    def add(entry_number: int, latest_ms: int) -> None:
        entry = Entry(
            world,
            entry_number,
            next(incarnations),
            rng.choice((SLOWEST_CLOCK_RATE, 1.0, rng.uniform(SLOWEST_CLOCK_RATE, 1.0))),
            rng.randint(0, 10_000_000),
            is_holder=entry_number == 0,
        )
        world.entries[entry.name] = entry
        begin = entry.start
        world.after(rng.randint(0, latest_ms), lambda: entry.unless_frozen(begin))

    def apply_fault(kind: str, entry_number: int) -> None:
        entry = world.entries.get(f"entry-{entry_number}")
        if entry_number == 0 or entry is None:
            return
        match kind:
            case "lose_history":
                entry.is_history_lost = True
            case "stop":
                entry.is_running = False
            case "restart":
                entry.is_running = False
                add(entry_number, 900)
            case "join":
                add(next(numbers), 900)

    latest_ms = rng.choice((900, 900, 5_000))
    for entry_number in range(number):
        add(entry_number, latest_ms if entry_number else 900)
    for fault in faults:
        for entry_number in fault.affected:
            begin = partial(apply_fault, fault.kind, entry_number)
            world.after(fault.at_ms, begin)
    for at_ms in range(0, END_MS, SAMPLE_MS):
        world.after(at_ms, lambda: None)
    world.play()
    return world
