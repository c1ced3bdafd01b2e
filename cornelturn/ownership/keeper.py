"""The task that renews the lease of this entry and takes and releases duties."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from result import Err, Ok, Result

from cornelturn.clock import Clock
from cornelturn.events.background import start_background
from cornelturn.events.mailbox import Mailbox, answer
from cornelturn.ownership.duties import (
    FLEET_DUTY,
    Holder,
    VersionedDuty,
)
from cornelturn.ownership.duty_rows import DutyRows
from cornelturn.ownership.duty_taking import DutyTaking
from cornelturn.ownership.evidence import HolderEvidence
from cornelturn.ownership.hand_overs import HandOvers
from cornelturn.ownership.held_duties import HeldDuties
from cornelturn.ownership.keeper_log import (
    log_duty_released,
    log_row_written,
)
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
    RowWrite,
)
from cornelturn.ownership.predecessors import Predecessors
from cornelturn.ownership.reconcile_schedule import ReconcileSchedule
from cornelturn.peering.messages import PeerAddress
from cornelturn.store.port import RowStore
from cornelturn.store.rows import (
    Committed,
    TableConflict,
    TableError,
)

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
    pool_sizes : dict
        Machines of each pool before any move, as reported by the owner of the machines.
    probe_tasks : set of Task
        Writes of unchanged rows; renewals do not wait for them.
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
    evidence: HolderEvidence = field(
        default_factory=lambda: HolderEvidence(LEASE_RETENTION_MS)
    )
    pool_sizes: dict[str, int] = field(default_factory=dict)
    probe_tasks: set[asyncio.Task[None]] = field(default_factory=set)
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
                    answer(reply, await self._record_targets(message))
                case PoolSizesReported(machines):
                    self.pool_sizes = machines
                    await self._write_pool_sizes()
                case ProbeDuty():
                    start_background(self.probe_tasks, self._probe_duty(message))
                case ReleaseDuty(duty, generation, reply):
                    is_held = self.held.generations.get(duty) == generation
                    answer(reply, not is_held or await self._release_duty(duty))
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
        await self._write_pool_sizes()
        self.held.query_predecessors()
        await self.members.delete_stale(now_ms)
        self._schedule_lapse_check()

    def _schedule_lapse_check(self) -> None:
        """Request a reconcile at the next lapse of the lease of a holder of duties."""
        now_ms = self.clock.now_ms()
        holders = {known.row.holder for known in self.known_duties.values()}
        lapse_ms = self.members.next_lapse_ms(holders, now_ms)
        self.schedule.set_lapse_timer(lapse_ms, now_ms)

    async def _write_pool_sizes(self) -> None:
        """Write the pool sizes to the row of the fleet's upkeep, for all entries."""
        known = self.known_duties.get(FLEET_DUTY)
        if (
            FLEET_DUTY not in self.held.generations
            or known is None
            or not self.pool_sizes
        ):
            return
        if known.row.sizes != self.pool_sizes:
            row = replace(known.row, sizes=self.pool_sizes)
            await self.duty_rows.commit(FLEET_DUTY, row, known.version)

    async def _record_targets(self, command: RecordTargets) -> RowWrite:
        duty = command.duty
        known = self.known_duties.get(duty)
        generation = self.held.generations.get(duty)
        if (
            known is None
            or not generation == command.generation == known.row.generation
        ):
            return RowWrite.NOT_WRITTEN
        row = replace(
            known.row,
            targets=command.targets,
            is_settled=command.is_settled,
            earlier=(() if command.is_settled else self.predecessors.by_duty.get(duty)),
        )
        result = await self.duty_rows.commit(duty, row, known.version)
        outcome = self._write_outcome(result)
        version = self.known_duties[duty].version
        log_row_written(duty, known.row, row, version, outcome)
        return outcome

    def _write_outcome(self, result: Result[Committed, TableError]) -> RowWrite:
        """Return the outcome of a write; on a conflict, request a read of the rows."""
        match result:
            case Ok(_):
                return RowWrite.WRITTEN
            case Err(TableConflict()):
                self.schedule.request_reconcile()
                return RowWrite.NOT_WRITTEN
            case Err(error):
                return RowWrite.IN_DOUBT if error.is_in_doubt else RowWrite.NOT_WRITTEN

    async def _probe_duty(self, probe: ProbeDuty) -> None:
        """Write the row of a duty unchanged."""
        known = self.known_duties.get(probe.duty)
        if known is None or probe.duty not in self.held.generations:
            answer(probe.reply, RowWrite.NOT_WRITTEN)
            return
        result = await self.duty_rows.probe(probe.duty, known)
        answer(probe.reply, self._write_outcome(result))

    async def _release_duty(self, duty: str) -> bool:
        """Release a duty; return whether its row no longer names this entry."""
        known = self.known_duties.get(duty)
        if known is None or duty not in self.held.generations:
            return True
        own_holder = Holder(self.own.name, self.own.incarnation, known.row.generation)
        row = replace(known.row, holder="", incarnation=0, released_by=own_holder)
        match await self.duty_rows.commit(duty, row, known.version):
            case Ok(_):
                log_duty_released(duty, row, is_written=True)
                self.held.record_released(duty)
                return True
            case Err(TableConflict(rows=rows)):
                self.duty_rows.apply(rows)
                if self.duty_rows.holder(duty) == self.own.name:
                    return False
                self.held.give_up(duty)
                return True
            case Err(_):
                log_duty_released(duty, row, is_written=False)
                return False

    async def _release_all_duties(self) -> None:
        """Release all duties, so that others need not wait for the lease to lapse.

        A successor cannot ask a stopped entry for the runs it left behind, so the write
        of each row is retried until the store accepts it.
        """
        self.is_releasing = True
        for duty in list(self.held.generations):
            while not await self._release_duty(duty):
                await asyncio.sleep(RELEASE_RETRY_S)
        await self.authority.lease.end()
