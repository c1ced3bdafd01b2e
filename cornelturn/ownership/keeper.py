"""The task that renews the lease of this entry and takes and releases duties."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from result import Err, Ok

from cornelturn.clock import Clock
from cornelturn.events.mailbox import Mailbox, answer
from cornelturn.ownership.duties import VersionedDuty
from cornelturn.ownership.duty_rows import DutyRows
from cornelturn.ownership.duty_taking import DutyTaking
from cornelturn.ownership.evidence import HolderEvidence
from cornelturn.ownership.hand_overs import HandOvers
from cornelturn.ownership.held_duties import HeldDuties
from cornelturn.ownership.held_rows import HeldRows
from cornelturn.ownership.lease_authority import LeaseAuthority
from cornelturn.ownership.member_leases import LEASE_RETENTION_MS, MemberLeases
from cornelturn.ownership.member_rows import MemberRows
from cornelturn.ownership.messages import (
    DutyEvent,
    KeeperMessage,
    PoolSizesReported,
    ProbeDuty,
    ReconcileDue,
    RecordTargets,
    ReleaseAllDuties,
    ReleaseDuty,
)
from cornelturn.ownership.predecessors import Predecessors
from cornelturn.ownership.reconcile_schedule import ReconcileSchedule
from cornelturn.peering.messages import PeerAddress
from cornelturn.store.port import RowStore

SETTLE_MS = 700
"""Time after the start in which an entry takes no duty, so that it sees the entries
that start with it: processes start within half a second of each other."""

RELEASE_RETRY_S = 0.3
"""Pause before the retry of a release that the store did not accept."""


@dataclass(slots=True)
class DutyKeeper:
    """Keeps the lease of this entry and the duties that it holds.

    Parameters
    ----------
    required_duties : callable
        Returns the duties that some entry should hold.
    reachable_entries : callable
        Returns the entries whose heartbeats arrive here.
    on_peers_read : callable
        Called with the addresses of all entries that have not stopped.
    on_event : callable
        Called with each event of a duty, and with queries to send.
    processor : float
        Cores that this entry may use.
    held : HeldDuties
        Duties that this entry holds.
    predecessors : Predecessors
        Predecessors in the duties that this entry holds.
    authority : LeaseAuthority
        Lease of this entry, and its authority to act.
    evidence : HolderEvidence
        What the leases prove about predecessors.
    taking : DutyTaking
        Choice of the duties to take.
    hand_overs : HandOvers
        Choice of the duties to hand over.
    schedule : ReconcileSchedule
        When the lease is renewed and the rows are read.
    members : MemberLeases
        Leases of all entries.
    duty_rows : DutyRows
        Rows of all duties.
    held_rows : HeldRows
        Writes to the rows of the duties that this entry holds.
    started_ms : int
        When this entry began to keep its lease; it takes no duty for `SETTLE_MS`.
    is_releasing : bool
        Whether this entry stops, so that it takes no more duties.
    """

    own: PeerAddress
    store: RowStore
    clock: Clock
    required_duties: Callable[[], frozenset[str]]
    reachable_entries: Callable[[], frozenset[str]]
    on_peers_read: Callable[[tuple[PeerAddress, ...]], None]
    on_event: Callable[[DutyEvent], None]
    processor: float = 1.0
    mailbox: Mailbox[KeeperMessage] = field(default_factory=Mailbox)
    schedule: ReconcileSchedule = field(init=False)
    members: MemberLeases = field(init=False)
    member_rows: MemberRows = field(init=False)
    duty_rows: DutyRows = field(init=False)
    predecessors: Predecessors = field(init=False)
    held: HeldDuties = field(init=False)
    authority: LeaseAuthority = field(init=False)
    taking: DutyTaking = field(init=False)
    hand_overs: HandOvers = field(init=False)
    held_rows: HeldRows = field(init=False)
    evidence: HolderEvidence = field(
        default_factory=lambda: HolderEvidence(LEASE_RETENTION_MS)
    )
    started_ms: int = 0
    is_releasing: bool = False

    def __post_init__(self) -> None:
        self.schedule = ReconcileSchedule(self.mailbox)
        self.members = MemberLeases(
            self.own,
            self.store,
            self.processor,
            self.reachable_entries,
            self.on_peers_read,
        )
        self._create_rows()
        self._create_authority()
        self._create_choices()

    def _create_rows(self) -> None:
        """Create the local copy of the rows, and what is known by it."""
        self.member_rows = MemberRows(
            self.store,
            self.clock,
            self.evidence.record_deletions,
            self.evidence.record_full_read,
        )
        self.duty_rows = DutyRows(self.store, self.member_rows)
        self.predecessors = Predecessors(
            self.duty_rows, self.members.watch, self.evidence
        )
        self.held = HeldDuties(
            self.own, self.duty_rows, self.predecessors, self.schedule, self.on_event
        )

    def _create_authority(self) -> None:
        """Create the lease of this entry, and the writes that it allows."""
        self.authority = LeaseAuthority(
            self.own,
            self.store,
            self.clock,
            self.processor,
            self.evidence,
            self.held,
            self.schedule,
            self.on_event,
        )
        self.held_rows = HeldRows(
            self.own, self.duty_rows, self.predecessors, self.held, self.schedule
        )

    def _create_choices(self) -> None:
        """Create the choices of the duties to take and to hand over."""
        self.taking = DutyTaking(
            self.own,
            self.clock,
            self.required_duties,
            self.members,
            self.duty_rows,
            self.predecessors,
            self.held,
        )
        self.hand_overs = HandOvers(
            self.own, self.members, self.duty_rows, self.held, self.on_event
        )

    @property
    def known_duties(self) -> dict[str, VersionedDuty]:
        """Return the duties as last read, by name."""
        return self.duty_rows.known

    async def run(self) -> None:
        """Process messages until cancelled."""
        self.started_ms = self.clock.now_ms()
        self.authority.acting.start(self.started_ms)
        async for message in self.mailbox.messages():
            match message:
                case ReconcileDue(is_renewal):
                    await self._reconcile(is_renewal)
                case RecordTargets(reply=reply):
                    answer(reply, await self.held_rows.record_targets(message))
                case PoolSizesReported(machines):
                    self.held_rows.pool_sizes = machines
                    await self.held_rows.write_pool_sizes()
                case ProbeDuty():
                    self.held_rows.start_probe(message)
                case ReleaseDuty(duty, generation, reply):
                    is_held = self.held.generations.get(duty) == generation
                    answer(reply, not is_held or await self.held_rows.release(duty))
                case ReleaseAllDuties(reply):
                    await self._release_all_duties()
                    answer(reply, None)

    def report_outage(self) -> bool:
        """Return whether to report an outage to an entry that asks for reports."""
        return not self.is_releasing and self.authority.report_outage()

    def has_read_since(self, revision: int) -> bool:
        """Return whether the rows are known up to a revision of the store."""
        known = self.member_rows.revision
        return known is not None and known >= revision

    async def _reconcile(self, is_renewal: bool) -> None:
        if self.is_releasing:
            return
        self.schedule.record_start(is_renewal=is_renewal)
        if is_renewal:
            await self.authority.renew(self.member_rows.revision)
        match await self.member_rows.refresh():
            case Ok(sent_ms):
                self.authority.record_read(sent_ms)
            case Err(detail):
                self.members.watch.mark_interruption(self.clock.now_ms())
                self.authority.record_failed_read(detail)
                return
        now_ms = self.clock.now_ms()
        self.members.observe(self.member_rows.rows.values(), now_ms)
        self.authority.update(self.members.watch.leases, self.member_rows.revision)
        self.duty_rows.refresh()
        self.predecessors.record_replaced_holders(now_ms)
        self.held.update()
        self.held.report_inactive_predecessors(now_ms)
        if self.authority.is_renewed and now_ms - self.started_ms >= SETTLE_MS:
            await self.taking.take_free(now_ms)
            self.hand_overs.balance(now_ms)
        await self.held_rows.write_pool_sizes()
        self.held.query_predecessors()
        await self.members.delete_stale(now_ms)
        self._schedule_lapse_check()

    def _schedule_lapse_check(self) -> None:
        """Request a reconcile at the next lapse of the lease of a holder of duties."""
        now_ms = self.clock.now_ms()
        holders = {known.row.holder for known in self.known_duties.values()}
        lapse_ms = self.members.next_lapse_ms(holders, now_ms)
        self.schedule.set_lapse_timer(lapse_ms, now_ms)

    async def _release_all_duties(self) -> None:
        """Release all duties, so that others need not wait for the lease to lapse.

        A successor cannot ask a stopped entry for the runs it left behind, so the write
        of each row is retried until the store accepts it.
        """
        self.is_releasing = True
        for duty in list(self.held.generations):
            while not await self.held_rows.release(duty):
                await asyncio.sleep(RELEASE_RETRY_S)
        await self.authority.lease.end()
