"""The entry process: builds its tasks, starts them in order, stops in order."""

from __future__ import annotations

import asyncio
import random
import time
import traceback
from collections.abc import Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from result import Err, Ok

from cornelturn.clock import Clock, to_seconds
from cornelturn.entry.dispatching import TICK_INTERVAL_S, Dispatching, TickDue
from cornelturn.events.log import log_event, log_warning
from cornelturn.events.mailbox import post_every
from cornelturn.events.metrics import Metrics
from cornelturn.fleet.bootstrap import bootstrap
from cornelturn.fleet.configuration import (
    POLL_INTERVAL_S,
    ConfigurationKeeper,
    ConfigurationReceived,
    PollDue,
)
from cornelturn.fleet.controller import (
    STEP_INTERVAL_S,
    Controller,
    EntriesChanged,
    StepDue,
)
from cornelturn.fleet.disruption import Disruptions
from cornelturn.fleet.drain_runner import DrainRunner, TargetCalls
from cornelturn.fleet.fencing import Fences
from cornelturn.fleet.lease import (
    RENEW_INTERVAL_S,
    LeaseKeeper,
    LeaseReleased,
    RenewDue,
    SeenLease,
)
from cornelturn.fleet.mover import Mover, demand_key, encode_demand
from cornelturn.fleet.moves import PoolDemand
from cornelturn.fleet.operations import FleetOperations
from cornelturn.fleet.registry import (
    LIST_INTERVAL_S,
    SCAN_INTERVAL_S,
    FleetView,
    InstanceRegistry,
    LeavingHeard,
    ListDue,
    ScanDue,
)
from cornelturn.fleet.wave_rows import WaveRows
from cornelturn.fleet.wave_runner import WaveRunner
from cornelturn.http.auth import TokenHolder
from cornelturn.http.callers import CallersApi
from cornelturn.http.operator_views import EntryView
from cornelturn.http.operators import OperatorsApi
from cornelturn.http.server import HttpServer, TlsFiles
from cornelturn.model.configuration import Configuration
from cornelturn.model.fleet import Instance
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
from cornelturn.peering.membership import HEARTBEAT_INTERVAL_MS, Membership, PeerState
from cornelturn.peering.messages import (
    Cancel,
    ConfigurationPushed,
    ConfigurationWanted,
    FleetChanged,
    Granted,
    Heartbeat,
    InnerMessage,
    InstanceLeaving,
    Inventory,
    InventoryWanted,
    LoanAnswered,
    LoanAsked,
    Offer,
    PeerAddress,
    Refused,
    Reported,
)
from cornelturn.platform.instances import Instances
from cornelturn.platform.objects import Objects
from cornelturn.platform.rows import Put
from cornelturn.platform.table import Table
from cornelturn.reports.source import ReportSource
from cornelturn.requests.attempts import Attempts
from cornelturn.requests.claims import Claims
from cornelturn.requests.front import (
    INVENTORY_INTERVAL_S,
    Front,
    FrontReceived,
    InventoryDue,
    OwnersChanged,
)
from cornelturn.requests.once import OnceRunner
from cornelturn.requests.recovery import LeaseLapsed, Recovery
from cornelturn.requests.repeatable import RepeatableRunner
from cornelturn.requests.service import RequestService
from cornelturn.requests.target_client import (
    TargetClient,
    checkpoint_tasks,
    count_running,
    is_healthy,
)
from cornelturn.requests.usage import WRITE_INTERVAL_S, UsageCounter, UsageWriteDue
from cornelturn.settings.models import EntrySettings, ListenerSettings

JOIN_POLL_S = 0.02
JOIN_LISTEN_MS = 600
BOOTSTRAP_RETRY_S = 0.5


@dataclass(frozen=True, slots=True)
class Addresses:
    """Where the listeners of an entry are bound."""

    callers: str
    operators: str
    inner: str


@dataclass(slots=True)
class EntryProcess:
    """All tasks of one entry.

    Parameters
    ----------
    settings : EntrySettings
        Validated settings.
    """

    settings: EntrySettings
    clock: Clock = field(default_factory=Clock)
    metrics: Metrics = field(default_factory=Metrics)
    rng: random.Random = field(default_factory=random.SystemRandom)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    is_stopping: bool = False
    is_superseded: asyncio.Event = field(default_factory=asyncio.Event)
    own: PeerAddress = field(init=False)
    listener: Listener = field(init=False)
    hub: Hub = field(init=False)
    table: Table = field(init=False)
    objects: Objects = field(init=False)
    platform: Instances = field(init=False)
    targets: TargetClient = field(init=False)
    front: Front = field(init=False)
    service: RequestService = field(init=False)
    dispatching: Dispatching = field(init=False)
    keeper: ConfigurationKeeper = field(init=False)
    registry: InstanceRegistry = field(init=False)
    lease: LeaseKeeper = field(init=False)
    recovery: Recovery = field(init=False)
    disruptions: Disruptions = field(init=False)
    operations: FleetOperations = field(init=False)
    controller: Controller = field(init=False)
    usage: UsageCounter = field(init=False)
    callers: HttpServer = field(init=False)
    operators: HttpServer = field(init=False)

    async def start(self) -> Addresses:
        """Start all tasks and return when the listeners accept."""
        incarnation = time.time_ns() // 1_000_000
        codec = Codec(
            self.settings.name, incarnation, bytes.fromhex(self.settings.inner.key)
        )
        self.listener = Listener(self.settings.inner.address, codec, self._arrived)
        inner = self.listener.open()
        self.own = PeerAddress(self.settings.name, incarnation, inner)
        self._build(codec)
        self._start_tasks()
        callers_port = await self.callers.start()
        operators_port = await self.operators.start()
        self._spawn(self._join())
        addresses = Addresses(
            _url(self.settings.callers, callers_port),
            _url(self.settings.operators, operators_port),
            inner,
        )
        log_event(
            "entry_started",
            entry=self.own.name,
            incarnation=incarnation,
            callers=addresses.callers,
            operators=addresses.operators,
            inner=addresses.inner,
        )
        return addresses

    async def stop(self) -> None:
        """Stop without cutting any request that is in progress."""
        self.is_stopping = True
        limits = self.settings.limits
        log_event("entry_stopping", entry=self.own.name)
        self._tell_standing()
        await asyncio.sleep(to_seconds(limits.balancer_notice_ms))
        await self.callers.stop()
        await self.service.settle(limits.drain_limit_ms)
        await self.usage.write()
        await self._release_lease()
        await self.hub.say_goodbye()
        await self.operators.stop()
        await self._end_tasks()
        log_event("entry_stopped", entry=self.own.name)

    async def abort(self) -> None:
        """Stop at once, as a crash would."""
        self.callers.abort()
        self.operators.abort()
        await self._end_tasks()

    async def wait_ready(self) -> None:
        """Wait until this entry takes part in dispatching."""
        while not self.is_ready():
            await asyncio.sleep(JOIN_POLL_S)

    def is_ready(self) -> bool:
        """Return whether the balancer should send requests here."""
        return self.hub.standing.is_ready and not self.is_stopping

    def configuration(self) -> Configuration:
        """Return the configuration in force here."""
        return self.keeper.current

    # Building

    def _build(self, codec: Codec) -> None:
        self._build_platform()
        self.hub = Hub(
            membership=Membership(self.own),
            codec=codec,
            clock=self.clock,
            metrics=self.metrics,
            deliver=self._deliver,
            publish=self._publish_entries,
            superseded=self._superseded,
        )
        self.dispatching = Dispatching(
            entry=self.own.name,
            clock=self.clock,
            metrics=self.metrics,
            rng=self.rng,
            send=self._send,
            target_leaving=self._target_leaving,
            tell_demand=self._tell_demand,
        )
        self._build_requests()
        self._build_fleet()
        self._build_listeners()

    def _build_platform(self) -> None:
        urls = self.settings.platform
        writer = f"{self.own.name}.{self.own.incarnation}"
        self.table = Table(urls.table, writer, self.clock, self.metrics)
        self.objects = Objects(urls.objects)
        self.platform = Instances(urls.instances)

    def _build_requests(self) -> None:
        name, incarnation = self.own.name, self.own.incarnation
        self.front = Front(name, self.clock, self._send)
        self.targets = TargetClient(self.clock)
        claims = Claims(self.table, self.objects)
        attempts = Attempts(name, incarnation, self.clock, self.front, self.targets)
        self.usage = UsageCounter(name, incarnation, self.table)
        self.service = RequestService(
            entry=name,
            incarnation=incarnation,
            clock=self.clock,
            front=self.front,
            claims=claims,
            repeatable=RepeatableRunner(self.clock, attempts, self.rng),
            once=OnceRunner(self.clock, attempts, claims, self.targets),
            usage=self.usage,
            metrics=self.metrics,
        )
        self.recovery = Recovery(
            self.own,
            self.table,
            self.clock,
            claims,
            self.service,
            self.configuration,
        )

    def _build_fleet(self) -> None:
        self.keeper = ConfigurationKeeper(
            self.table, self.metrics, self._send, self._send_all, self._adopted
        )
        self.registry = InstanceRegistry(
            self.table,
            self.platform,
            self._send_all,
            self._publish_fleet,
            self._tell_standing,
        )
        self.disruptions = Disruptions(self.table, self.registry.is_up)
        self.operations = FleetOperations(
            self.table,
            self.keeper,
            self.registry,
            self.disruptions,
            self._fleet_changed,
        )
        self._build_controller()
        self.lease = LeaseKeeper(
            own=self.own,
            table=self.table,
            clock=self.clock,
            named=lambda peers: self.hub.mailbox.post(PeersNamed(peers)),
            lapsed=self._lease_lapsed,
            superseded=self._superseded,
        )

    def _build_controller(self) -> None:
        fences = Fences(self.own.name, self.own.incarnation, self.table)
        waves = WaveRows(self.table)
        drains = DrainRunner(
            clock=self.clock,
            fences=fences,
            disruptions=self.disruptions,
            waves=waves,
            calls=TargetCalls(
                count_running, checkpoint_tasks, is_healthy, self.platform.reboot
            ),
            is_drained=self._is_drained,
            listed=self.registry.listed_instance,
            changed=self._fleet_changed,
        )
        wave_runner = WaveRunner(
            self.clock, fences, self.disruptions, waves, drains, self._fleet_changed
        )
        mover = Mover(
            self.clock,
            self.table,
            fences,
            self.disruptions,
            self.registry.listed_instance,
            self._fleet_changed,
        )
        self.controller = Controller(
            self.own.name, fences, waves, wave_runner, drains, mover
        )

    def _build_listeners(self) -> None:
        settings = self.settings
        members = tuple(
            TokenHolder(one.name, one.token_sha256) for one in settings.members
        )
        callers = CallersApi(
            service=self.service,
            members=members,
            configuration=self.configuration,
            is_ready=self.is_ready,
            max_body_bytes=settings.limits.max_body_bytes,
            max_deadline_ms=settings.limits.max_deadline_ms,
        )
        self.callers = _server(settings.callers, callers.application())
        operators = OperatorsApi(
            metrics=self.metrics,
            operations=self.operations,
            reports=ReportSource(self.table, self.operations),
            operators=(TokenHolder("operators", settings.operators.token_sha256),),
            peers=lambda: list(self.hub.membership.peers.values()),
            own=self._own_view,
            is_ready=self.is_ready,
        )
        self.operators = _server(settings.operators, operators.application())

    def _own_view(self) -> EntryView:
        return EntryView(
            self.own.name,
            self.own.incarnation,
            "self",
            self.is_ready(),
            self.keeper.current.generation,
        )

    # Tasks

    def _start_tasks(self) -> None:
        for work in (
            self.listener.run(),
            self.hub.run(),
            self.table.run(),
            self.front.run(),
            self.dispatching.run(),
            self.keeper.run(),
            self.registry.run(),
            self.lease.run(),
            self.recovery.run(),
            self.usage.run(),
            self.controller.run(),
        ):
            self._spawn(work)
        self._start_timers()
        self.lease.mailbox.post(RenewDue())
        self.keeper.mailbox.post(PollDue())
        self.registry.mailbox.post(ScanDue())
        self.registry.mailbox.post(ListDue())
        seeds = tuple(
            PeerAddress(one.name, 0, one.address) for one in self.settings.inner.peers
        )
        self.hub.mailbox.post(PeersNamed(seeds))

    def _start_timers(self) -> None:
        beat_s = to_seconds(HEARTBEAT_INTERVAL_MS)
        self._spawn(post_every(self.hub.mailbox, BeatDue(), beat_s))
        self._spawn(post_every(self.dispatching.mailbox, TickDue(), TICK_INTERVAL_S))
        self._spawn(
            post_every(self.front.mailbox, InventoryDue(), INVENTORY_INTERVAL_S)
        )
        self._spawn(post_every(self.keeper.mailbox, PollDue(), POLL_INTERVAL_S))
        self._spawn(post_every(self.registry.mailbox, ScanDue(), SCAN_INTERVAL_S))
        self._spawn(post_every(self.registry.mailbox, ListDue(), LIST_INTERVAL_S))
        self._spawn(post_every(self.lease.mailbox, RenewDue(), RENEW_INTERVAL_S))
        self._spawn(post_every(self.controller.mailbox, StepDue(), STEP_INTERVAL_S))
        self._spawn(post_every(self.usage.mailbox, UsageWriteDue(), WRITE_INTERVAL_S))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        task.add_done_callback(self._task_ended)
        self.tasks.add(task)

    def _task_ended(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        error = task.exception()
        frame = traceback.extract_tb(error.__traceback__)[-1]
        place = f"{Path(frame.filename).name}:{frame.lineno}"
        log_warning("invariant_broken", error=repr(error), place=place)
        self.is_superseded.set()

    async def _end_tasks(self) -> None:
        self.listener.close()
        running = list(self.tasks)
        for task in running:
            task.cancel()
        for driving in list(self.service.driving.values()):
            driving.cancel()
        for following in list(self.service.following):
            following.cancel()
        await asyncio.gather(*running, return_exceptions=True)
        await self.targets.close()
        await self.objects.close()
        await self.platform.close()

    # Joining and leaving

    async def _join(self) -> None:
        """Take part once the highest configuration that can be reached is here."""
        await self._bootstrap()
        started_ms = self.clock.now_ms()
        while not self._has_joined(started_ms):
            await asyncio.sleep(JOIN_POLL_S)
        self._tell_standing(is_ready=True)
        log_event(
            "entry_ready",
            entry=self.own.name,
            generation=self.keeper.current.generation,
        )

    def _has_joined(self, started_ms: int) -> bool:
        has_listened = self.clock.now_ms() - started_ms >= JOIN_LISTEN_MS
        is_known = self.keeper.has_read_table or self.keeper.has_heard_peer
        return has_listened and is_known and self.keeper.current.generation > 0

    async def _bootstrap(self) -> None:
        path = self.settings.configuration_file
        while path is not None:
            match await bootstrap(path, self.table, self.platform):
                case Ok(is_first):
                    log_event("bootstrap", file=path, first=is_first)
                    self.keeper.mailbox.post(PollDue())
                    self.registry.mailbox.post(ScanDue())
                    return
                case Err(problem):
                    log_warning("bootstrap_failed", problem=problem)
                    if self.keeper.current.generation > 0:
                        return
                    await asyncio.sleep(BOOTSTRAP_RETRY_S)

    def _tell_standing(self, is_ready: bool | None = None) -> None:
        wanted = self.hub.standing.is_ready if is_ready is None else is_ready
        self.hub.mailbox.post(
            StandingChanged(
                self.keeper.current.generation,
                tuple(sorted(self.registry.marks.names())),
                wanted and not self.is_stopping,
                self.registry.revision,
            )
        )

    async def _release_lease(self) -> None:
        if not self.service.driving and not self.service.following:
            await self.lease.mailbox.ask(LeaseReleased)

    def _fleet_changed(self) -> None:
        self.registry.mailbox.post(ScanDue())
        self._send_all(FleetChanged())

    def _is_drained(self, instance: Instance, revision: int) -> bool:
        """Return whether no live entry can still start work on an instance."""
        dispatcher = self.dispatching.dispatchers.get(instance.pool)
        if dispatcher is None or dispatcher.is_recovering(self.clock.now_ms()):
            return False
        target = dispatcher.targets.targets.get(instance.name)
        if target is None or target.used > 0:
            return False
        return all(
            view.fleet_revision >= revision
            for view in self.hub.membership.peers.values()
            if view.state is PeerState.ALIVE and view.is_ready
        )

    def _superseded(self) -> None:
        log_warning("superseded", entry=self.own.name)
        self.is_superseded.set()

    # Messages between the tasks

    def _send(self, entry: str, message: InnerMessage) -> None:
        self.hub.mailbox.post(SendTo(entry, message))

    def _send_all(self, message: InnerMessage) -> None:
        self.hub.mailbox.post(SendToAll(message))

    def _arrived(self, batch: Batch) -> None:
        self.hub.mailbox.post(BatchArrived(batch))

    def _deliver(self, received: ReceivedMessage) -> None:
        match received.message:
            case Granted() | Refused() | InventoryWanted():
                self.front.mailbox.post(
                    FrontReceived(received.sender, received.message)
                )
            case (
                Offer()
                | Cancel()
                | Reported()
                | Inventory()
                | LoanAsked()
                | LoanAnswered()
            ):
                self.dispatching.mailbox.post(received)
            case ConfigurationPushed() | ConfigurationWanted():
                self.keeper.mailbox.post(
                    ConfigurationReceived(received.sender, received.message)
                )
            case Heartbeat(leaving=leaving):
                self.keeper.mailbox.post(
                    ConfigurationReceived(received.sender, received.message)
                )
                if leaving:
                    self.registry.mailbox.post(LeavingHeard(leaving, False))
            case FleetChanged():
                self.registry.mailbox.post(ScanDue())
            case InstanceLeaving(instance):
                self.registry.mailbox.post(LeavingHeard((instance,), False))

    def _publish_entries(self, live: LiveEntries) -> None:
        self.front.mailbox.post(OwnersChanged(live.ready))
        self.dispatching.mailbox.post(live)
        self.controller.mailbox.post(EntriesChanged(live.ready))

    def _publish_fleet(self, view: FleetView) -> None:
        self.dispatching.mailbox.post(view)
        self.controller.mailbox.post(view)
        self._tell_standing()

    def _adopted(self, configuration: Configuration) -> None:
        self.dispatching.mailbox.post(configuration)
        self.controller.mailbox.post(configuration)
        self._tell_standing()

    def _target_leaving(self, target: str) -> None:
        self.registry.mailbox.post(LeavingHeard((target,), True))

    def _tell_demand(self, demand: PoolDemand) -> None:
        put = Put(demand_key(demand.pool), encode_demand(demand))
        self._spawn(self._write(put))

    async def _write(self, put: Put) -> None:
        await self.table.commit(put)

    def _lease_lapsed(self, lease: SeenLease) -> None:
        if self.hub.live.ready:
            self.recovery.mailbox.post(LeaseLapsed(lease))


def _server(settings: ListenerSettings, application: Any) -> HttpServer:
    tls = settings.tls
    files = TlsFiles(tls.certificate, tls.key) if tls is not None else None
    return HttpServer(application, settings.host, settings.port, files)


def _url(settings: ListenerSettings, port: int) -> str:
    scheme = "https" if settings.tls is not None else "http"
    return f"{scheme}://{settings.host}:{port}"
