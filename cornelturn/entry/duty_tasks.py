"""The tasks that carry the duties of an entry: owners of pools and of the machines."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any, Protocol

from cornelturn.clock import Clock
from cornelturn.entry.job_ports import Ports
from cornelturn.events.background import start_background
from cornelturn.events.job_metrics import JobMetrics
from cornelturn.events.log import log_event, log_warning
from cornelturn.events.process_work import ProcessPart
from cornelturn.fleet.cordons import CordonRequests, initial_request_number
from cornelturn.fleet.machine_owner import (
    LoadReported,
    MachineMessage,
    MachineOwner,
    WaveRequested,
)
from cornelturn.fleet.machines import MachineOrders
from cornelturn.fleet.resizing import Resizing
from cornelturn.fleet.upkeep import Upkeep
from cornelturn.model.routes import RoutingTable
from cornelturn.ownership.duties import FLEET_DUTY, HeldTarget
from cornelturn.ownership.keeper import (
    MAX_READ_AGE_MS,
    RELEASE_RETRY_S,
    RENEW_INTERVAL_S,
    DutyKeeper,
)
from cornelturn.ownership.messages import (
    DutyEvent,
    DutyLost,
    DutyTaken,
    HandOverDue,
    OutageQueryDue,
    PoolSizesReported,
    PredecessorAnswered,
    PredecessorQueryDue,
    PredecessorsInactive,
    ProbeDuty,
    RecordTargets,
    ReleaseAllDuties,
    ReleaseDuty,
    RowWrite,
)
from cornelturn.peering.messages import (
    DutiesChanged,
    InnerMessage,
    OutageAsked,
    PoolClaimed,
    PoolCounts,
    PoolGivenUp,
    PoolLoad,
)
from cornelturn.scheduling.messages import (
    OwnerMessage,
    ResumeRequested,
    StopRequested,
    TargetsListed,
)
from cornelturn.scheduling.owner import PoolOwner
from cornelturn.scheduling.takeover import barrier_ms
from cornelturn.targets.model import ListedTarget


class EntryContext(Protocol):
    """What the tasks need of the entry that runs them."""

    def send(self, entry: str, message: InnerMessage) -> None:
        """Send a message to an entry."""

    def send_all(self, message: InnerMessage) -> None:
        """Send a message to all other entries."""

    def publish_pool_status(self, message: PoolCounts | PoolLoad) -> None:
        """Tell of a pool to whom it concerns, this entry included."""

    def spawn(
        self, work: Coroutine[Any, Any, None], part: ProcessPart
    ) -> asyncio.Task[None]:
        """Start a task that ends with the entry."""

    def refresh_targets(self) -> None:
        """Have the list of targets read at once."""


@dataclass(slots=True)
class OwnedPool:
    """The task that owns a pool.

    Parameters
    ----------
    release_lock : Lock
        Held while the pool is being given back; a failed try lets its owner go on.
    """

    owner: PoolOwner
    task: asyncio.Task[None]
    release_lock: asyncio.Lock = field(default_factory=asyncio.Lock)


@dataclass(slots=True)
class OwnedMachines:
    """The task that owns the machines."""

    owner: MachineOwner
    task: asyncio.Task[None]


@dataclass(slots=True)
class DutyTasks:
    """Starts and ends the tasks of the duties that this entry takes and loses.

    Parameters
    ----------
    routing : callable
        Returns the configuration in force.
    unix_offset_ms : int
        Unix time less the process's clock.
    keeper : DutyKeeper
        Set once the entry has joined the others; it owns nothing before.
    given_up_pools : dict
        What goes on without this entry, by pool that it has lost.
    hand_over_tasks : set of Task
        Duties that are on their way to another entry.
    is_releasing : bool
        Whether all duties are being given back, since the entry stops.
    """

    ports: Ports
    clock: Clock
    metrics: JobMetrics
    context: EntryContext
    routing: Callable[[], RoutingTable]
    unix_offset_ms: int
    owned_pools: dict[str, OwnedPool] = field(default_factory=dict)
    machines: OwnedMachines | None = None
    given_up_pools: dict[str, PoolGivenUp] = field(default_factory=dict)
    hand_over_tasks: set[asyncio.Task[None]] = field(default_factory=set)
    waves: dict[int, WaveRequested] = field(default_factory=dict)
    targets: tuple[ListedTarget, ...] = ()
    is_releasing: bool = False
    keeper: DutyKeeper = field(init=False)

    def count(self) -> int:
        """Return how many duties this entry carries."""
        return len(self.owned_pools) + (self.machines is not None)

    # What the owners are told

    def send_to_owner(self, pool: str, message: OwnerMessage) -> None:
        """Pass a message on to the owner of a pool, if it runs here."""
        owned = self.owned_pools.get(pool)
        if owned is not None:
            owned.owner.mailbox.post(message)

    def update_load(self, load: PoolLoad) -> None:
        """Pass the load of a pool on to the owner of the machines."""
        self._send_to_machine_owner(LoadReported(load, self.clock.now_ms()))

    def add_wave(self, message: WaveRequested) -> None:
        """Pass a wave of upkeep on to the owner of the machines, now or later."""
        self.waves.setdefault(message.wave.number, message)
        self._send_to_machine_owner(message)

    def update_targets(self, targets: tuple[ListedTarget, ...]) -> None:
        """Pass the list of targets on to all owners of pools, now and later."""
        self.targets = targets
        for owned in self.owned_pools.values():
            owned.owner.mailbox.post(TargetsListed(targets))

    def _send_to_machine_owner(self, message: MachineMessage) -> None:
        if self.machines is not None:
            self.machines.owner.mailbox.post(message)

    # Duties taken and lost

    def handle_event(self, event: DutyEvent) -> None:
        """Do what a change of duties asks for."""
        match event:
            case DutyTaken(duty=duty) if self.is_releasing:
                # A take whose answer was lost; the row goes to another entry at once.
                start_background(self.hand_over_tasks, self._release_duty(duty))
            case DutyTaken(duty=duty) if duty == FLEET_DUTY:
                self._start_machine_owner(event)
                self.context.send_all(DutiesChanged())
            case DutyTaken():
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
            open_calls=self.ports.open_calls,
            routing=self.routing,
            record_targets=self._record_targets,
            may_act=self.keeper.may_act,
            broadcast=self.context.publish_pool_status,
            metrics=self.metrics,
        )
        task = self.context.spawn(owner.run(), ProcessPart.OWNER)
        self.owned_pools[taken.duty] = OwnedPool(owner, task)
        if self.targets:
            owner.mailbox.post(TargetsListed(self.targets))
        self.context.refresh_targets()

    def _start_machine_owner(self, taken: DutyTaken) -> None:
        self._end_task(taken.duty)
        store, clock = self.ports.store, self.clock
        orders = MachineOrders(
            self.ports.machines, taken.generation, self.keeper.may_act, self.metrics
        )
        owner = MachineOwner(
            orders=orders,
            upkeep=Upkeep(store, clock, self.ports.wave_status),
            resizing=Resizing(store, clock),
            cordons=CordonRequests(initial_request_number(taken.generation)),
            clock=clock,
            send=lambda message: self.send_to_holder(message.pool, message),
            routing_table=self.routing,
            on_base_sizes=lambda machines: self.keeper.mailbox.post(
                PoolSizesReported(machines)
            ),
        )
        for message in self.waves.values():
            owner.mailbox.post(message)
        task = self.context.spawn(owner.run(), ProcessPart.MACHINES)
        self.machines = OwnedMachines(owner, task)

    def _end_task(self, duty: str) -> None:
        """End the task of a duty."""
        ended: OwnedPool | OwnedMachines | None
        if duty == FLEET_DUTY:
            ended, self.machines = self.machines, None
        else:
            ended = self.owned_pools.pop(duty, None)
        if ended is not None:
            ended.task.cancel()

    def send_to_holder(self, duty: str, message: InnerMessage) -> None:
        """Send a message to the entry that holds a duty, if any does."""
        holder = self.keeper.holder(duty)
        if holder:
            self.context.send(holder, message)

    async def _record_targets(
        self, duty: str, targets: tuple[HeldTarget, ...], is_settled: bool
    ) -> RowWrite:
        return await self.keeper.mailbox.ask(
            lambda reply: RecordTargets(duty, targets, is_settled, reply)
        )

    # Duties that others take over

    def give_up_pool(self, pool: str, generation: int, successor: str) -> None:
        """Act no more on a pool that another entry has taken, and tell it so."""
        owned = self.owned_pools.get(pool)
        if owned is not None and owned.owner.ownership.generation < generation:
            log_warning("duty_claimed", duty=pool, holder=successor)
            self.keeper.give_up(pool)
            self.handle_event(DutyLost(pool))
        given_up = self.given_up_pools.get(pool)
        if given_up is not None:
            self.context.send(successor, given_up)

    def _save_open_runs(self, pool: str) -> None:
        """Keep what goes on without this entry, for the successor to ask."""
        owned = self.owned_pools.get(pool)
        if owned is not None:
            runs = owned.owner.scheduler.open_runs()
            generation = owned.owner.ownership.generation
            self.given_up_pools[pool] = PoolGivenUp(pool, generation, runs)

    async def _hand_over_pool(self, duty: str) -> None:
        """Give a pool to an entry that carries it better, or keep it."""
        owned = self.owned_pools.get(duty)
        if owned is None or self.is_releasing:
            return
        if not await self._try_release_pool(duty, owned):
            log_warning("duty_not_handed_over", duty=duty)

    async def _try_release_pool(self, duty: str, owned: OwnedPool) -> bool:
        """Give a pool back, one try at a time.

        Returns
        -------
        bool
            Whether this entry owns the pool no more.
        """
        async with owned.release_lock:
            return self.owned_pools.get(
                duty
            ) is not owned or await self._stop_and_release_pool(duty, owned)

    async def _is_writable(self, duty: str) -> bool:
        """Return whether the store takes the row of a duty, written as it stands."""
        probed = await self.keeper.mailbox.ask(lambda reply: ProbeDuty(duty, reply))
        return probed is RowWrite.WRITTEN

    async def _stop_and_release_pool(self, duty: str, owned: OwnedPool) -> bool:
        """Stop scheduling a pool, write what is known and release its duty, or go on.

        The pool stays if its row can't be written: leases end once the owner is gone.
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
        await self._release_duty(duty)
        return True

    async def _release_duty(self, duty: str) -> None:
        """Write that nobody holds a duty."""
        while not await self.keeper.mailbox.ask(lambda reply: ReleaseDuty(duty, reply)):
            await asyncio.sleep(RELEASE_RETRY_S)
        self.context.send_all(DutiesChanged())

    async def release_all(self, max_wait_ms: int) -> None:
        """Stop scheduling, write what is known and give the duties back.

        Parameters
        ----------
        max_wait_ms : int
            How long pools are scheduled on while the store refuses rows of their jobs.
            While it refuses the row of a pool, nobody else can take that.
        """
        self.is_releasing = True
        wait_end_ms = self.clock.now_ms() + max_wait_ms
        pools = list(self.owned_pools.items())
        await asyncio.gather(
            self._release_machines(),
            *(self._release_pool_with_retries(*pool, wait_end_ms) for pool in pools),
        )
        await self.keeper.mailbox.ask(ReleaseAllDuties)
        self.context.send_all(DutiesChanged())

    async def _release_machines(self) -> None:
        if self.machines is not None:
            self._end_task(FLEET_DUTY)
            await self._release_duty(FLEET_DUTY)

    async def _release_pool_with_retries(
        self, duty: str, owned: OwnedPool, wait_end_ms: int
    ) -> None:
        """Schedule a pool on until the store takes its row.

        While rows of its jobs are refused its next owner could not read them either.
        """
        is_logged = False
        while self.owned_pools.get(duty) is owned and not owned.task.done():
            is_over = self.clock.now_ms() >= wait_end_ms
            is_readable = is_over or not owned.owner.has_refused_rows()
            is_due = is_readable and self.ports.store.is_serving()
            is_writable = is_due and await self._is_writable(duty)
            if is_writable and await self._try_release_pool(duty, owned):
                return
            if not is_logged:
                is_logged = True
                log_event("duty_kept", duty=duty)
            # A write without an answer may be read by the next look.
            await asyncio.sleep(RENEW_INTERVAL_S if is_due else RELEASE_RETRY_S)
