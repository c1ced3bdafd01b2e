"""Starts and ends the tasks of an entry's duties: pools, the machines, the quota."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from cornelturn.clock import Clock
from cornelturn.entry.duty_context import EntryContext
from cornelturn.entry.job_ports import Ports
from cornelturn.entry.machine_duty import MachineDuty
from cornelturn.entry.quota_duty import QuotaDuty
from cornelturn.events.background import format_error, start_background
from cornelturn.events.job_metrics import JobMetrics
from cornelturn.events.log import log_event, log_warning
from cornelturn.events.process_work import ProcessPart
from cornelturn.fleet.machine_owner import LoadReported, MachineOwner
from cornelturn.model.routes import RoutingTable
from cornelturn.ownership.authority import MAX_READ_AGE_MS
from cornelturn.ownership.duties import FLEET_DUTY, QUOTA_DUTY, HeldTarget
from cornelturn.ownership.keeper import RELEASE_RETRY_S, DutyKeeper
from cornelturn.ownership.messages import (
    DutyEvent,
    DutyLost,
    DutyTaken,
    HandOverDue,
    OutageQueryDue,
    PredecessorAnswered,
    PredecessorQueryDue,
    PredecessorsInactive,
    ProbeDuty,
    RecordTargets,
    ReleaseAllDuties,
    ReleaseDuty,
    RowWrite,
)
from cornelturn.ownership.reconcile_schedule import RENEW_INTERVAL_S
from cornelturn.peering.messages import (
    DutiesChanged,
    InnerMessage,
    OutageAsked,
    PoolClaimed,
    PoolGivenUp,
    PoolLoad,
)
from cornelturn.peering.quota_messages import QuotaReport
from cornelturn.quota.broker import QuotaBroker
from cornelturn.scheduling.messages import (
    OwnerMessage,
    ResumeRequested,
    StopRequested,
    TargetsListed,
)
from cornelturn.scheduling.owner import PoolOwner
from cornelturn.scheduling.owner_settings import OwnerSettings
from cornelturn.scheduling.takeover import barrier_ms
from cornelturn.targets.model import ListedTarget

DutyOwner = PoolOwner | MachineOwner | QuotaBroker


@dataclass(slots=True)
class OwnedPool:
    """The owner of a pool and its task.

    Parameters
    ----------
    release_lock : Lock
        Held during an attempt to release the pool; the owner resumes if it fails.
    """

    owner: PoolOwner
    task: asyncio.Task[None]
    release_lock: asyncio.Lock = field(default_factory=asyncio.Lock)


@dataclass(slots=True)
class DutyTasks:
    """Starts the task of each duty that this entry takes, and ends it when it is lost.

    Parameters
    ----------
    routing : callable
        Returns the configuration in force.
    unix_offset_ms : int
        Unix time minus the time of the process's clock.
    owner_settings : OwnerSettings
        Settings of the owners of pools.
    keeper : DutyKeeper
        Set once the entry has joined the others; it owns no duty before that.
    fleet_wide : dict
        The duties that are not a pool, by name, in the order of their release.
    given_up_pools : dict
        Runs that were open when this entry lost a pool, by pool.
    hand_over_tasks : set of Task
        Tasks that release duties for another entry to take.
    is_releasing : bool
        Whether all duties are being released because the entry stops.
    """

    ports: Ports
    clock: Clock
    metrics: JobMetrics
    context: EntryContext
    routing: Callable[[], RoutingTable]
    unix_offset_ms: int
    owner_settings: OwnerSettings
    owned_pools: dict[str, OwnedPool] = field(default_factory=dict)
    machines: MachineDuty = field(init=False)
    quota: QuotaDuty = field(init=False)
    fleet_wide: dict[str, MachineDuty | QuotaDuty] = field(init=False)
    given_up_pools: dict[str, PoolGivenUp] = field(default_factory=dict)
    hand_over_tasks: set[asyncio.Task[None]] = field(default_factory=set)
    targets: tuple[ListedTarget, ...] = ()
    is_releasing: bool = False
    keeper: DutyKeeper = field(init=False)

    def __post_init__(self) -> None:
        self.quota = QuotaDuty(
            self.clock,
            self.metrics,
            self.routing,
            self.context.send,
            lambda message: self.context.figures.publish_caps(message),
        )
        self.machines = MachineDuty(
            self.ports, self.clock, self.metrics, self.routing, self.send_to_holder
        )
        self.fleet_wide = {QUOTA_DUTY: self.quota, FLEET_DUTY: self.machines}

    def count(self) -> int:
        """Return the number of duties that this entry holds."""
        fleet_wide = sum(duty.owner is not None for duty in self.fleet_wide.values())
        return len(self.owned_pools) + fleet_wide

    # Messages to the owners

    def send_to_owner(self, pool: str, message: OwnerMessage) -> None:
        """Send a message to the owner of a pool, if it runs in this entry."""
        owned = self.owned_pools.get(pool)
        if owned is not None:
            owned.owner.mailbox.post(message)

    def update_load(self, load: PoolLoad) -> None:
        """Send the load of a pool to the owner of the machines."""
        self.machines.post(LoadReported(load, self.clock.now_ms()))

    def update_targets(self, targets: tuple[ListedTarget, ...]) -> None:
        """Send the list of targets to all current and later owners of pools."""
        self.targets = targets
        for owned in self.owned_pools.values():
            owned.owner.mailbox.post(TargetsListed(targets))

    # Changes of duties

    def handle_event(self, event: DutyEvent) -> None:
        """Handle an event of the duty keeper."""
        match event:
            case DutyTaken(duty=duty, generation=generation) if self.is_releasing:
                # The response to the write that took the duty was lost. Release the
                # duty, so that another entry can take it immediately.
                release = self._release_duty(duty, generation)
                start_background(self.hand_over_tasks, release)
            case DutyTaken(duty=duty):
                if duty in self.fleet_wide:
                    self._start_fleet_wide_owner(event)
                else:
                    self._start_pool_owner(event)
                self.context.send_all(DutiesChanged())
            case DutyLost(duty):
                self._save_open_runs(duty)
                self._end_task(duty)
            case PredecessorsInactive(duty) | PredecessorAnswered(duty):
                self.send_to_owner(duty, event)
            case PredecessorQueryDue(duty, holder, generation):
                self.context.send(holder, PoolClaimed(duty, generation))
            case OutageQueryDue(asked_ms):
                incarnation = self.keeper.own.incarnation
                self.context.send_all(OutageAsked(incarnation, asked_ms))
            case HandOverDue(duty):
                start_background(self.hand_over_tasks, self._hand_over_pool(duty))
        self.metrics.duties.set(self.count())

    def _start_pool_owner(self, taken: DutyTaken) -> None:
        self._end_task(taken.duty)
        owner = PoolOwner(
            ownership=taken,
            store=self.ports.store,
            clock=self.clock,
            barrier_ms=barrier_ms(taken.has_no_active_predecessor, MAX_READ_AGE_MS),
            unix_offset_ms=self.unix_offset_ms,
            connect_target=self.ports.connect_target,
            routing=self.routing,
            record_targets=partial(self._record_targets, taken.generation),
            may_act=self.keeper.authority.may_act,
            publish=self.context.publish_pool_status,
            send_quota_report=self._send_quota_report,
            broker_generation=lambda: self.quota.broker_generation(taken, self.keeper),
            figures_wanted=self.context.figures.is_wanted,
            connect_approvals=self.ports.connect_approvals,
            metrics=self.metrics,
            settings=self.owner_settings,
        )
        work = self._run_owner(taken.duty, owner)
        task = self.context.spawn(work, ProcessPart.OWNER)
        self.owned_pools[taken.duty] = OwnedPool(owner, task)
        if self.targets:
            owner.mailbox.post(TargetsListed(self.targets))
        self.context.refresh_targets()

    def _send_quota_report(self, report: QuotaReport) -> None:
        self.send_to_holder(QUOTA_DUTY, report)

    async def _run_owner(self, duty: str, owner: DutyOwner) -> None:
        """Run an owner; an unexpected error ends it alone, and its duty is released.

        The next owner reads the state of the duty anew.
        """
        try:
            await owner.run()
        except Exception as error:
            trace = format_error(error)
            log_warning("owner_failed", duty=duty, error=repr(error), trace=trace)
            if self._forget_owner(duty, owner):
                release = self._release_duty(duty, owner.generation)
                start_background(self.hand_over_tasks, release)

    def _forget_owner(self, duty: str, owner: DutyOwner) -> bool:
        """Forget an owner that has ended; return whether it still had the duty."""
        if duty in self.fleet_wide:
            return self.fleet_wide[duty].forget(owner)
        owned = self.owned_pools.get(duty)
        if owned is None or owned.owner is not owner:
            return False
        del self.owned_pools[duty]
        return True

    def _start_fleet_wide_owner(self, taken: DutyTaken) -> None:
        duty = self.fleet_wide[taken.duty]
        owner = duty.new_owner(taken, self.keeper)
        work = self._run_owner(taken.duty, owner)
        duty.start(owner, self.context.spawn(work, duty.part))

    def _end_task(self, duty: str) -> None:
        """Cancel the task of a duty, if there is one."""
        if duty in self.fleet_wide:
            self.fleet_wide[duty].end()
            return
        ended = self.owned_pools.pop(duty, None)
        if ended is not None:
            ended.task.cancel()

    def send_to_holder(self, duty: str, message: InnerMessage) -> None:
        """Send a message to the entry that holds a duty, if any does."""
        holder = self.keeper.duty_rows.holder(duty)
        if holder:
            self.context.send(holder, message)

    async def _record_targets(
        self,
        generation: int,
        duty: str,
        targets: tuple[HeldTarget, ...],
        is_settled: bool,
    ) -> RowWrite:
        return await self.keeper.mailbox.ask(
            lambda reply: RecordTargets(duty, generation, targets, is_settled, reply)
        )

    # Release and takeover

    def give_up_pool(self, pool: str, generation: int, successor: str) -> None:
        """Stop acting on a pool taken by another entry, and send it the open runs."""
        owned = self.owned_pools.get(pool)
        if owned is not None and owned.owner.ownership.generation < generation:
            log_warning("duty_claimed", duty=pool, holder=successor)
            self.keeper.held.give_up(pool)
            self.handle_event(DutyLost(pool))
        given_up = self.given_up_pools.get(pool)
        if given_up is not None:
            self.context.send(successor, given_up)

    def _save_open_runs(self, pool: str) -> None:
        """Save the open runs of a pool, which the successor may request."""
        owned = self.owned_pools.get(pool)
        if owned is not None:
            runs = owned.owner.scheduler.open_runs()
            generation = owned.owner.ownership.generation
            self.given_up_pools[pool] = PoolGivenUp(pool, generation, runs)

    async def _hand_over_pool(self, duty: str) -> None:
        """Release a pool for a better suited entry, or keep it if that fails."""
        owned = self.owned_pools.get(duty)
        if owned is None or self.is_releasing:
            return
        if not await self._try_release_pool(duty, owned):
            log_warning("duty_not_handed_over", duty=duty)

    async def _try_release_pool(self, duty: str, owned: OwnedPool) -> bool:
        """Try to release a pool; attempts for the same pool run one after another.

        Returns
        -------
        bool
            Whether this entry no longer owns the pool.
        """
        async with owned.release_lock:
            return self.owned_pools.get(
                duty
            ) is not owned or await self._stop_and_release_pool(duty, owned)

    async def _is_writable(self, duty: str) -> bool:
        """Return whether the store accepts a write of the unchanged row of a duty."""
        probed = await self.keeper.mailbox.ask(lambda reply: ProbeDuty(duty, reply))
        return probed is RowWrite.WRITTEN

    async def _stop_and_release_pool(self, duty: str, owned: OwnedPool) -> bool:
        """Stop scheduling a pool, write its state and release its duty.

        If the row of the duty can't be written, the owner resumes and the pool is kept,
        because leases of targets expire once the owner is gone.
        """
        stopped = asyncio.ensure_future(owned.owner.mailbox.ask(StopRequested))
        await asyncio.wait((stopped, owned.task), return_when=asyncio.FIRST_COMPLETED)
        if self.owned_pools.get(duty) is not owned or not stopped.done():
            stopped.cancel()
            return True
        if not stopped.result():
            owned.owner.mailbox.post(ResumeRequested())
            return False
        self._save_open_runs(duty)
        self._end_task(duty)
        await self._release_duty(duty, owned.owner.generation)
        return True

    async def _release_duty(self, duty: str, generation: int) -> None:
        """Write that no entry holds a duty, with retries until the row is written."""
        while not await self.keeper.mailbox.ask(
            lambda reply: ReleaseDuty(duty, generation, reply)
        ):
            await asyncio.sleep(RELEASE_RETRY_S)
        self.context.send_all(DutiesChanged())

    async def release_all(self, max_wait_ms: int) -> None:
        """Stop scheduling, write the state of the pools and release all duties.

        Parameters
        ----------
        max_wait_ms : int
            How long pools continue to be scheduled while the store rejects rows of
            their jobs. While it rejects the row of a pool there is no such limit, as no
            other entry can take that pool.
        """
        self.is_releasing = True
        wait_end_ms = self.clock.now_ms() + max_wait_ms
        pools = list(self.owned_pools.items())
        await asyncio.gather(
            self._release_fleet_wide(),
            *(self._release_pool_with_retries(*pool, wait_end_ms) for pool in pools),
        )
        await self.keeper.mailbox.ask(ReleaseAllDuties)
        self.context.send_all(DutiesChanged())

    async def _release_fleet_wide(self) -> None:
        """Release the upkeep of the fleet and the quota, if this entry holds them."""
        for name, duty in self.fleet_wide.items():
            if duty.owner is not None:
                generation = duty.owner.generation
                duty.end()
                await self._release_duty(name, generation)

    async def _release_pool_with_retries(
        self, duty: str, owned: OwnedPool, wait_end_ms: int
    ) -> None:
        """Keep scheduling a pool until the store accepts its row, then release it.

        While the store rejects rows of the pool's jobs, its next owner could not read
        them either.
        """
        is_logged = False
        while self.owned_pools.get(duty) is owned and not owned.task.done():
            is_wait_over = self.clock.now_ms() >= wait_end_ms
            is_readable = is_wait_over or not owned.owner.has_refused_rows()
            is_due = is_readable and self.ports.store.is_serving()
            is_writable = is_due and await self._is_writable(duty)
            if is_writable and await self._try_release_pool(duty, owned):
                return
            if not is_logged:
                is_logged = True
                log_event("duty_kept", duty=duty)
            # The next read of the rows may show a write that was not confirmed.
            await asyncio.sleep(RENEW_INTERVAL_S if is_due else RELEASE_RETRY_S)
