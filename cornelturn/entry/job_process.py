"""An entry that takes jobs in and schedules them: its tasks and their wiring."""

from __future__ import annotations

import asyncio
import time
import traceback
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from blacksheep import Application

from cornelturn.clock import (
    MILLISECONDS_PER_SECOND,
    NANOSECONDS_PER_MILLISECOND,
    Clock,
    to_seconds,
)
from cornelturn.entry.job_settings import JobEntrySettings, split_address
from cornelturn.entry.joining import new_incarnation, shared_key
from cornelturn.entry.routing_spread import RoutingSpread
from cornelturn.entry.watches import OperatorWatch, TargetWatch
from cornelturn.events.background import start_background
from cornelturn.events.job_metrics import JobMetrics
from cornelturn.events.log import log_event, log_warning
from cornelturn.events.loop_lag import watch_loop_lag
from cornelturn.events.mailbox import post_every
from cornelturn.events.process_work import ProcessPart, tell_process_work
from cornelturn.events.task_times import attributed_to
from cornelturn.events.work_times import WorkTimes
from cornelturn.fleet.cordons import Cordons, first_number
from cornelturn.fleet.machine_owner import LoadTold, MachineOwner, WaveSeen
from cornelturn.fleet.machines import MachineOrders, Machines
from cornelturn.fleet.resizing import Resizing
from cornelturn.fleet.upkeep import Upkeep
from cornelturn.http.routes import (
    add_health_routes,
    add_metrics_route,
    new_application,
)
from cornelturn.http.server import HttpServer
from cornelturn.jobs.relay import StoreRelay
from cornelturn.jobs.service import JobService
from cornelturn.model.documents import Documents
from cornelturn.model.routes import RoutingTable
from cornelturn.model.upkeep import UpkeepWave
from cornelturn.ownership.duties import FLEET_DUTY, HeldTarget, entry_key
from cornelturn.ownership.keeper import (
    LOOK_INTERVAL_S,
    SETTLE_MS,
    UNCONFIRMED_MS,
    DutyKeeper,
)
from cornelturn.ownership.messages import (
    DutiesReleased,
    DutyEvent,
    DutyLost,
    DutyReleased,
    DutyTaken,
    HandOverDue,
    HolderAsked,
    HolderGone,
    HolderStopped,
    LookDue,
    TargetsRecorded,
)
from cornelturn.peering.codec import Batch, Codec
from cornelturn.peering.hub import (
    BatchArrived,
    BeatDue,
    Hub,
    LiveEntries,
    PeersNamed,
    ReceivedMessage,
    SendTo,
    SendToAll,
    StandingChanged,
)
from cornelturn.peering.links import Listener
from cornelturn.peering.membership import Membership
from cornelturn.peering.messages import (
    CordonWanted,
    DutiesChanged,
    InnerMessage,
    JobChanged,
    PeerAddress,
    PoolClaimed,
    PoolCounts,
    PoolGivenUp,
    PoolLoad,
    RoutingAnnounced,
    RoutingSent,
    RoutingWanted,
    StoreAsked,
    StoreTold,
    TargetsChanged,
)
from cornelturn.scheduling.messages import (
    Cordoned,
    JobRowsRead,
    OwnerStopped,
    TargetsListed,
)
from cornelturn.scheduling.owner import PoolOwner
from cornelturn.scheduling.takeover import barrier_ms
from cornelturn.store.port import RowStore
from cornelturn.store.probing import probe
from cornelturn.store.prompt import PromptStore
from cornelturn.store.rows import Put, Row
from cornelturn.targets.model import ListedTarget
from cornelturn.targets.session import Calls

GOODBYE_S = 0.2
"""Time for the messages of a stopping entry to leave before its farewell."""

BEAT_INTERVAL_S = 1.0
"""Shortest interval of heartbeats to a peer."""

IDLE_BEATS = 8
"""Heartbeats in that interval to peers that this entry neither sends to nor serves,
for at most 9 KB a second of control traffic."""

PEER_SILENT_MS = 2_500
"""Time after which a peer is not given duties: two lost heartbeats and a margin."""

STOP_MARGIN_MS = 1_000
"""Time left of the grace for the process to end by itself."""

RELEASE_RETRY_S = 0.3
"""Pause after a duty could not be released, since the store did not answer."""

BALANCER_NOTICE_MS = 2_500
"""Time in which the balancer notices that an entry is not ready: two questions, a
second apart, and a margin."""


@dataclass(frozen=True, slots=True)
class Ports:
    """What an entry needs of the world outside.

    Parameters
    ----------
    open_calls : callable
        Opens the calls to a target.
    status : callable
        Returns the row in which the operator reads how a wave goes.
    documents : Documents
        Reads the rows of the operator and of the targets.
    callers : callable
        Builds the callers' application.
    """

    store: RowStore
    machines: Machines
    open_calls: Callable[[ListedTarget], Calls]
    status: Callable[[int, bool], Put]
    documents: Documents
    callers: Callable[[JobService, Callable[[], RoutingTable | None]], Application]


def job_membership(own: PeerAddress) -> Membership:
    """Return the membership of an entry that schedules jobs."""
    return Membership(
        own,
        timeout_ms=PEER_SILENT_MS,
        interval_ms=round(BEAT_INTERVAL_S * MILLISECONDS_PER_SECOND),
        idle_beats=IDLE_BEATS,
    )


@dataclass(slots=True)
class Owned:
    """The task that carries a duty."""

    owner: PoolOwner | MachineOwner
    task: asyncio.Task[None]


@dataclass(slots=True)
class JobEntry:
    """All tasks of one entry.

    Parameters
    ----------
    label : str
        Name of this start, for those that run several in one process.
    """

    settings: JobEntrySettings
    ports: Ports
    clock: Clock
    metrics: JobMetrics = field(default_factory=JobMetrics)
    times: WorkTimes = field(default_factory=WorkTimes)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    is_superseded: asyncio.Event = field(default_factory=asyncio.Event)
    owned: dict[str, Owned] = field(default_factory=dict)
    given_up: dict[str, PoolGivenUp] = field(default_factory=dict)
    machine_owner: Owned | None = None
    handing_over: set[asyncio.Task[None]] = field(default_factory=set)
    waves: dict[int, WaveSeen] = field(default_factory=dict)
    targets: tuple[ListedTarget, ...] = ()
    is_stopping: bool = False
    is_joined: bool = False
    unix_offset_ms: int = 0
    callers_port: int = 0
    label: str = ""
    own: PeerAddress = field(init=False)
    hub: Hub = field(init=False)
    keeper: DutyKeeper = field(init=False)
    relay: StoreRelay = field(init=False)
    service: JobService = field(init=False)
    operator: OperatorWatch = field(init=False)
    spread: RoutingSpread = field(init=False)
    target_list: TargetWatch = field(init=False)
    callers: HttpServer = field(init=False)
    ready: HttpServer = field(init=False)
    observed: HttpServer = field(init=False)

    async def start(self) -> None:
        """Start to listen, then join the other entries."""
        unix_ms = time.time_ns() // NANOSECONDS_PER_MILLISECOND
        self.unix_offset_ms = unix_ms - self.clock.now_ms()
        store, documents = self.ports.store, self.ports.documents
        self.relay = StoreRelay(PromptStore(store), self._send, self._peers)
        self.service = JobService(
            store,
            self.clock,
            self._job_changed,
            self.metrics,
            self._generation,
            other_way=self.relay,
            holder=self._holder,
        )
        self.operator = OperatorWatch(store, documents, self._adopted, self._wave)
        self.spread = RoutingSpread(
            self.operator, self._send, self._send_all, self._peers
        )
        self.target_list = TargetWatch(
            store, documents, lambda: bool(self.owned), self._listed
        )
        await self._listen()
        self._spawn(self.operator.run(), ProcessPart.OPERATOR)
        probing = probe(store, entry_key(self.settings.name), self.clock)
        self._spawn(probing, ProcessPart.KEEPER)
        self._spawn(self._join(), ProcessPart.KEEPER)

    async def stop(self) -> None:
        """Give the duties back, serve until the balancer has noticed, and end."""
        self.is_stopping = True
        limit_ms = self.settings.bounds.grace_ms - STOP_MARGIN_MS
        try:
            async with asyncio.timeout(to_seconds(limit_ms)):
                await self._wind_down()
        except TimeoutError:
            log_warning("stop_cut_short", entry=self.settings.name)
        for task in (*self.tasks, *self.handing_over):
            task.cancel()
        log_event("entry_stopped", entry=self.settings.name)

    async def _wind_down(self) -> None:
        notice = asyncio.sleep(to_seconds(BALANCER_NOTICE_MS))
        if self.is_joined:
            await asyncio.gather(notice, self._release())
        else:
            await notice
        await self.callers.stop()
        await self.ready.stop()
        await self.observed.stop()

    def is_ready(self) -> bool:
        """Return whether the balancer should send callers here."""
        return (
            self.is_joined
            and not self.is_stopping
            and self.operator.current is not None
            and self.keeper.revision is not None
            and self.ports.store.is_serving()
        )

    async def _listen(self) -> None:
        settings = self.settings
        callers = self.ports.callers(self.service, lambda: self.operator.current)
        health, metrics = new_application(), new_application()
        add_health_routes(health, self.is_ready)
        add_metrics_route(metrics, self.metrics.registry)
        self.callers = HttpServer(callers, *split_address(settings.callers_address))
        self.ready = HttpServer(health, *split_address(settings.ready_address))
        self.observed = HttpServer(metrics, *split_address(settings.metrics_address))
        with attributed_to(self.times.part(ProcessPart.READY)):
            await self.ready.start()
            await self.observed.start()
        with attributed_to(self.times.part(ProcessPart.FRONT)):
            self.callers_port = await self.callers.start()

    # Joining

    async def _join(self) -> None:
        store = self.ports.store
        incarnation = await new_incarnation(store, self.settings.name)
        key = await shared_key(store)
        codec = Codec(self.settings.name, incarnation, key)
        listener = Listener(self.settings.inner_address, codec, self._arrived)
        self.own = PeerAddress(self.settings.name, incarnation, listener.open())
        self.hub = Hub(
            membership=job_membership(self.own),
            codec=codec,
            clock=self.clock,
            messages=self.metrics.inner_messages,
            deliver=self._deliver,
            publish=self._entries_changed,
            superseded=self._superseded,
        )
        self.keeper = DutyKeeper(
            own=self.own,
            store=self.ports.store,
            clock=self.clock,
            wanted=self._wanted_duties,
            heard=lambda: self.hub.live.peers,
            named=lambda peers: self.hub.mailbox.post(PeersNamed(peers)),
            changed=self._duty_changed,
            processor=self.settings.processor,
        )
        self.is_joined = True
        beats = post_every(self.hub.mailbox, BeatDue(), BEAT_INTERVAL_S)
        looks = post_every(self.keeper.mailbox, LookDue(), LOOK_INTERVAL_S)
        for work in (listener.run(), self.hub.run(), beats):
            self._spawn(work, ProcessPart.HUB)
        for work in (self.keeper.run(), looks):
            self._spawn(work, ProcessPart.KEEPER)
        self._spawn(self.target_list.run(), ProcessPart.TARGETS)
        self._observe()
        self.hub.mailbox.post(StandingChanged(0, (), True))
        self.keeper.mailbox.post(LookDue())
        # The next regular look may come most of a second after the settling time.
        asyncio.get_running_loop().call_later(
            to_seconds(SETTLE_MS), self.keeper.mailbox.post, LookDue()
        )
        log_event(
            "entry_started",
            entry=self.own.name,
            incarnation=incarnation,
            data_centre=self.settings.data_centre,
            inner=self.own.address,
        )

    def _observe(self) -> None:
        """Tell from now on where the time of the process goes."""
        name, times, metrics = self.settings.name, self.times, self.metrics
        for work in (
            watch_loop_lag(name, self.clock, metrics, times),
            tell_process_work(name, times, metrics, self._count_duties),
        ):
            self._spawn(work, ProcessPart.READY)

    # Messages

    def _arrived(self, batch: Batch) -> None:
        self.hub.mailbox.post(BatchArrived(batch))

    def _send(self, entry: str, message: InnerMessage) -> None:
        self.hub.mailbox.post(SendTo(entry, message))

    def _peers(self) -> frozenset[str]:
        return self.hub.live.peers if self.is_joined else frozenset()

    def _send_all(self, message: InnerMessage) -> None:
        self.hub.mailbox.post(SendToAll(message))

    def _deliver(self, received: ReceivedMessage) -> None:
        match received.message:
            case JobChanged(pool, key, text, version):
                self._post_owner(pool, JobRowsRead((Row(key, version, "", text),)))
            case CordonWanted(pool, targets, number):
                self._post_owner(pool, Cordoned(frozenset(targets), number))
            case PoolCounts() as counts:
                self.service.told_counts(counts)
            case PoolLoad() as load:
                if self.machine_owner is not None:
                    told = LoadTold(load, self.clock.now_ms())
                    self.machine_owner.owner.mailbox.post(told)
            case RoutingAnnounced(version):
                self.spread.announced(received.sender, version)
            case RoutingWanted(version):
                self.spread.wanted(received.sender, version)
            case RoutingSent() as sent:
                self.spread.arrived(sent)
            case DutiesChanged():
                self.keeper.want_look()
            case PoolClaimed(pool, generation):
                self._give_up(pool, generation, received.sender)
            case PoolGivenUp() as given_up:
                self.keeper.holder_stopped(given_up)
            case TargetsChanged():
                self.target_list.wanted.set()
            case StoreAsked() as asked:
                self.relay.asked(received.sender, asked)
            case StoreTold() as told:
                self.relay.told(told)

    def _post_owner(self, pool: str, message: object) -> None:
        owned = self.owned.get(pool)
        if owned is not None:
            owned.owner.mailbox.post(message)

    def _job_changed(self, changed: JobChanged) -> None:
        if self.is_joined:
            self._send_to_holder(changed.pool, changed)

    def _generation(self, pool: str) -> int:
        return self.keeper.generation(pool) if self.is_joined else 0

    def _holder(self, pool: str) -> str:
        return self.keeper.holder(pool) if self.is_joined else ""

    def _send_to_holder(self, duty: str, message: InnerMessage) -> None:
        holder = self.keeper.holder(duty)
        if holder:
            self._send(holder, message)

    def _tell(self, message: PoolCounts | PoolLoad) -> None:
        match message:
            case PoolCounts():
                self._send_all(message)
                self.service.told_counts(message)
            case PoolLoad():
                self._send_to_holder(FLEET_DUTY, message)

    def _adopted(self, version: int) -> None:
        if self.is_joined:
            self.spread.adopted(version)

    def _wave(self, wave: UpkeepWave) -> None:
        seen = WaveSeen(wave, self.clock.now_ms())
        self.waves.setdefault(wave.number, seen)
        if self.machine_owner is not None:
            self.machine_owner.owner.mailbox.post(seen)

    def _listed(self, targets: tuple[ListedTarget, ...]) -> None:
        self.targets = targets
        for owned in self.owned.values():
            owned.owner.mailbox.post(TargetsListed(targets))

    def _entries_changed(self, live: LiveEntries) -> None:
        self.keeper.want_look_soon()

    # Duties

    def _wanted_duties(self) -> frozenset[str]:
        table = self.operator.current
        if table is None or self.is_stopping:
            return frozenset()
        return frozenset(pool.name for pool in table.pools) | {FLEET_DUTY}

    def _duty_changed(self, event: DutyEvent) -> None:
        self._follow_duty(event)
        self.metrics.duties.set(self._count_duties())

    def _count_duties(self) -> int:
        return len(self.owned) + (self.machine_owner is not None)

    def _follow_duty(self, event: DutyEvent) -> None:
        match event:
            case DutyTaken(duty=duty) if duty == FLEET_DUTY:
                self._start_machine_owner(event)
            case DutyTaken():
                self._start_owner(event)
            case DutyLost(duty):
                self._note_given_up(duty)
                self._drop(duty)
            case HolderGone(duty) | HolderStopped(duty):
                self._post_owner(duty, event)
            case HolderAsked(duty, holder, generation):
                self._send(holder, PoolClaimed(duty, generation))
            case HandOverDue(duty):
                start_background(self.handing_over, self._hand_over(duty))
        if isinstance(event, DutyTaken):
            self._send_all(DutiesChanged())

    def _routing(self) -> RoutingTable:
        return self.operator.current or RoutingTable(0)

    def _start_owner(self, taken: DutyTaken) -> None:
        self._drop(taken.duty)
        owner = PoolOwner(
            taken=taken,
            store=self.ports.store,
            clock=self.clock,
            barrier_ms=barrier_ms(taken.is_surely_gone, UNCONFIRMED_MS),
            unix_offset_ms=self.unix_offset_ms,
            open_calls=self.ports.open_calls,
            routing=self._routing,
            record=self._record,
            may_act=self.keeper.may_act,
            tell=self._tell,
            metrics=self.metrics,
        )
        task = self._spawn(owner.run(), ProcessPart.OWNER)
        self.owned[taken.duty] = Owned(owner, task)
        if self.targets:
            owner.mailbox.post(TargetsListed(self.targets))
        self.target_list.wanted.set()

    def _start_machine_owner(self, taken: DutyTaken) -> None:
        self._drop(taken.duty)
        store, clock = self.ports.store, self.clock
        orders = MachineOrders(
            self.ports.machines, taken.generation, self.keeper.may_act, self.metrics
        )
        owner = MachineOwner(
            orders=orders,
            upkeep=Upkeep(store, clock, self.ports.status),
            resizing=Resizing(store, clock),
            cordons=Cordons(first_number(taken.generation)),
            clock=clock,
            ask=lambda message: self._send_to_holder(message.pool, message),
            routing=self._routing,
        )
        for seen in self.waves.values():
            owner.mailbox.post(seen)
        task = self._spawn(owner.run(), ProcessPart.MACHINES)
        self.machine_owner = Owned(owner, task)

    def _drop(self, duty: str) -> None:
        if duty == FLEET_DUTY:
            found, self.machine_owner = self.machine_owner, None
        else:
            found = self.owned.pop(duty, None)
        if found is not None:
            found.task.cancel()

    async def _record(
        self, duty: str, targets: tuple[HeldTarget, ...], is_settled: bool
    ) -> bool:
        return await self.keeper.mailbox.ask(
            lambda reply: TargetsRecorded(duty, targets, is_settled, reply)
        )

    def _give_up(self, pool: str, generation: int, successor: str) -> None:
        """Act no more on a pool that another entry has taken, and tell it so."""
        owned = self.owned.get(pool)
        if owned is not None and owned.owner.taken.generation < generation:
            log_warning("duty_claimed", duty=pool, holder=successor)
            self.keeper.give_up(pool)
            self._duty_changed(DutyLost(pool))
        given_up = self.given_up.get(pool)
        if given_up is not None:
            self._send(successor, given_up)

    def _note_given_up(self, pool: str) -> None:
        """Keep what goes on without this entry, for the successor to ask."""
        owned = self.owned.get(pool)
        if owned is not None:
            owner = owned.owner
            runs = owner.scheduler.open_runs()
            given_up = PoolGivenUp(pool, owner.taken.generation, runs)
            self.given_up[pool] = given_up

    async def _hand_over(self, duty: str) -> None:
        """Stop scheduling a pool, write what is known and release its duty."""
        owned = self.owned.get(duty)
        if owned is None or self.is_stopping:
            return
        stopped = asyncio.ensure_future(owned.owner.mailbox.ask(OwnerStopped))
        await asyncio.wait((stopped, owned.task), return_when=asyncio.FIRST_COMPLETED)
        stopped.cancel()
        if self.owned.get(duty) is not owned:
            return
        self._drop(duty)
        while not await self.keeper.mailbox.ask(
            lambda reply: DutyReleased(duty, reply)
        ):
            await asyncio.sleep(RELEASE_RETRY_S)
        self._send_all(DutiesChanged())

    async def _release(self) -> None:
        """Stop scheduling, write what is known and give the duties back."""
        if self.handing_over:
            await asyncio.wait(set(self.handing_over))
        if self.owned:
            await asyncio.gather(
                *(one.owner.mailbox.ask(OwnerStopped) for one in self.owned.values())
            )
        for duty in [*self.owned, FLEET_DUTY]:
            self._drop(duty)
        await self.keeper.mailbox.ask(DutiesReleased)
        self._send_all(DutiesChanged())
        self.hub.mailbox.post(StandingChanged(0, (), False))
        await asyncio.sleep(GOODBYE_S)
        await self.hub.say_goodbye()

    def _superseded(self) -> None:
        log_warning("superseded", entry=self.settings.name)
        self.is_superseded.set()

    # Tasks

    def _spawn(
        self, work: Coroutine[Any, Any, None], part: ProcessPart
    ) -> asyncio.Task[None]:
        with attributed_to(self.times.part(part)):
            task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        error = task.exception()
        text = "".join(traceback.format_exception(error))
        log_warning("invariant_broken", error=repr(error), trace=text)
        self.is_superseded.set()
