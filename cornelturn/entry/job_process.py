"""An entry that takes jobs in and schedules them: its tasks and their wiring."""

from __future__ import annotations

import asyncio
import time
import traceback
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any

from cornelturn.clock import (
    MILLISECONDS_PER_SECOND,
    NANOSECONDS_PER_MILLISECOND,
    Clock,
    to_seconds,
)
from cornelturn.entry.duty_tasks import DutyTasks
from cornelturn.entry.job_ports import Ports
from cornelturn.entry.job_settings import JobEntrySettings, split_address
from cornelturn.entry.joining import new_incarnation, shared_key
from cornelturn.entry.routing_spread import RoutingSpread
from cornelturn.entry.watches import OperatorWatch, TargetWatch
from cornelturn.events.job_metrics import JobMetrics
from cornelturn.events.log import log_event, log_warning
from cornelturn.events.loop_lag import watch_loop_lag
from cornelturn.events.mailbox import post_every
from cornelturn.events.process_work import ProcessPart, report_process_work
from cornelturn.events.task_times import attributed_to
from cornelturn.events.work_times import WorkTimes
from cornelturn.fleet.machine_owner import WaveRequested
from cornelturn.http.routes import add_health_routes, add_metrics_route, new_application
from cornelturn.http.server import HttpServer
from cornelturn.jobs.relay import StoreRelay
from cornelturn.jobs.service import JobService
from cornelturn.model.routes import RoutingState, RoutingTable
from cornelturn.model.upkeep import UpkeepWave
from cornelturn.ownership.duties import FLEET_DUTY, entry_key
from cornelturn.ownership.keeper import SETTLE_MS, DutyKeeper
from cornelturn.peering.codec import Batch, Codec
from cornelturn.peering.hub import (
    BatchReceived,
    HeartbeatsDue,
    Hub,
    LiveEntries,
    LocalStatusChanged,
    PeersDiscovered,
    ReceivedMessage,
    SendTo,
    SendToAll,
)
from cornelturn.peering.links import Listener
from cornelturn.peering.membership import Membership
from cornelturn.peering.messages import (
    CordonWanted,
    DutiesChanged,
    Heartbeat,
    InnerMessage,
    JobChanged,
    OutageAsked,
    OutageShared,
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
from cornelturn.scheduling.messages import CordonRequest, JobRowsRead
from cornelturn.store.probing import probe
from cornelturn.store.retrying import RetryingStore
from cornelturn.store.rows import Row

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

RELEASE_MS = 1_000
"""Time before that in which duties are given back at the latest."""

BALANCER_NOTICE_MS = 2_500
"""Time in which the balancer notices that an entry is not ready: two questions, a
second apart, and a margin."""


def job_membership(own: PeerAddress) -> Membership:
    """Return the membership of an entry that schedules jobs."""
    return Membership(
        own,
        timeout_ms=PEER_SILENT_MS,
        interval_ms=round(BEAT_INTERVAL_S * MILLISECONDS_PER_SECOND),
        idle_heartbeats=IDLE_BEATS,
    )


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
    is_stopping: bool = False
    is_joined: bool = False
    callers_port: int = 0
    label: str = ""
    own: PeerAddress = field(init=False)
    hub: Hub = field(init=False)
    keeper: DutyKeeper = field(init=False)
    duties: DutyTasks = field(init=False)
    relay: StoreRelay = field(init=False)
    service: JobService = field(init=False)
    operator: OperatorWatch = field(init=False)
    spread: RoutingSpread = field(init=False)
    target_list: TargetWatch = field(init=False)
    callers: HttpServer = field(init=False)
    ready: HttpServer = field(init=False)
    observed: HttpServer = field(init=False)

    def __post_init__(self) -> None:
        unix_ms = time.time_ns() // NANOSECONDS_PER_MILLISECOND
        self.duties = DutyTasks(
            self.ports,
            self.clock,
            self.metrics,
            wiring=self,
            routing=self._routing,
            unix_offset_ms=unix_ms - self.clock.now_ms(),
        )

    async def start(self) -> None:
        """Start to listen, then join the other entries."""
        store, documents = self.ports.store, self.ports.documents
        self.relay = StoreRelay(
            RetryingStore(store), self.send, self._peers, self._job_changed
        )
        self.service = JobService(
            store,
            self.clock,
            self._job_changed,
            self.metrics,
            self._generation,
            fallback=self.relay,
            pool_owner=self._holder,
        )
        self.operator = OperatorWatch(
            store, documents, self.clock, self._adopted, self._wave
        )
        self.spread = RoutingSpread(
            self.operator, self.send, self.send_all, self._peers
        )
        self.target_list = TargetWatch(
            store, documents, lambda: bool(self.duties.owned), self.duties.tell_targets
        )
        await self._listen()
        self.spawn(self.operator.run(), ProcessPart.OPERATOR)
        self.spawn(self.spread.run(), ProcessPart.OPERATOR)
        probing = probe(store, entry_key(self.settings.name), self.clock)
        self.spawn(probing, ProcessPart.KEEPER)
        self.spawn(self._join(), ProcessPart.KEEPER)

    async def stop(self) -> None:
        """Give the duties back, serve until the balancer has noticed, and end."""
        self.is_stopping = True
        limit_ms = self.settings.bounds.grace_ms - STOP_MARGIN_MS
        try:
            async with asyncio.timeout(to_seconds(limit_ms)):
                await self._wind_down(limit_ms - RELEASE_MS)
        except TimeoutError:
            log_warning("stop_cut_short", entry=self.settings.name)
        for task in (*self.tasks, *self.duties.handing_over):
            task.cancel()
        log_event("entry_stopped", entry=self.settings.name)

    async def _wind_down(self, hold_ms: int) -> None:
        if self.is_joined:
            await asyncio.gather(self._stop_serving(), self._release(hold_ms))
        else:
            await self._stop_serving()

    async def _stop_serving(self) -> None:
        await asyncio.sleep(to_seconds(BALANCER_NOTICE_MS))
        await self.callers.stop()
        await self.ready.stop()
        await self.observed.stop()

    def is_ready(self) -> bool:
        """Return whether the balancer should send callers here."""
        return (
            self.is_joined
            and not self.is_stopping
            and self.operator.current is not None
            and self.keeper.member_rows.revision is not None
            and self.ports.store.is_serving()
        )

    async def _listen(self) -> None:
        settings = self.settings
        callers = self.ports.callers(self.service, self._knowledge)
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
            message_counter=self.metrics.inner_messages,
            deliver=self._deliver,
            publish=self._entries_changed,
            on_superseded=self._superseded,
        )
        self.keeper = DutyKeeper(
            own=self.own,
            store=self.ports.store,
            clock=self.clock,
            required_duties=self._wanted_duties,
            reachable_entries=lambda: self.hub.live.ready,
            on_peers_read=lambda peers: self.hub.mailbox.post(PeersDiscovered(peers)),
            on_event=self.duties.follow,
            processor=self.settings.processor,
        )
        self.duties.keeper = self.keeper
        self.is_joined = True
        beats = post_every(self.hub.mailbox, HeartbeatsDue(), BEAT_INTERVAL_S)
        for work in (listener.run(), self.hub.run(), beats):
            self.spawn(work, ProcessPart.HUB)
        keeper = self.keeper
        for work in (
            keeper.run(),
            keeper.renew_periodically(),
            keeper.maintain_authority(),
        ):
            self.spawn(work, ProcessPart.KEEPER)
        self.spawn(self.target_list.run(), ProcessPart.TARGETS)
        self._observe()
        self._tell_standing()
        self.keeper.request_renewal()
        # The next regular look may come most of a second after the settling time.
        asyncio.get_running_loop().call_later(
            to_seconds(SETTLE_MS), self.keeper.request_renewal
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
            report_process_work(name, times, metrics, self.duties.count),
        ):
            self.spawn(work, ProcessPart.READY)

    # Messages

    def _arrived(self, batch: Batch) -> None:
        self.hub.mailbox.post(BatchReceived(batch))

    def send(self, entry: str, message: InnerMessage) -> None:
        """Send a message to an entry."""
        self.hub.mailbox.post(SendTo(entry, message))

    def _peers(self) -> frozenset[str]:
        return self.hub.live.peers if self.is_joined else frozenset()

    def send_all(self, message: InnerMessage) -> None:
        """Send a message to all other entries."""
        self.hub.mailbox.post(SendToAll(message))

    def _deliver(self, received: ReceivedMessage) -> None:
        match received.message:
            case Heartbeat(generation=version):
                self.spread.announced(received.sender, version)
            case JobChanged(pool, key, text, version):
                rows = (Row(key, version, "", text),)
                self.duties.tell_owner(pool, JobRowsRead(rows))
            case CordonWanted(pool, targets, number):
                self.duties.tell_owner(pool, CordonRequest(frozenset(targets), number))
            case PoolCounts() as counts:
                self.service.update_counts(counts)
            case PoolLoad() as load:
                self.duties.tell_load(load)
            case RoutingAnnounced(version):
                self.spread.announced(received.sender, version)
            case RoutingWanted(version):
                self.spread.wanted(received.sender, version)
            case RoutingSent() as sent:
                self.spread.arrived(sent)
            case DutiesChanged():
                self.keeper.request_reconcile()
            case PoolClaimed(pool, generation):
                self.duties.give_up(pool, generation, received.sender)
            case PoolGivenUp() as given_up:
                self.keeper.receive_predecessor_answer(given_up)
            case OutageAsked() as asked:
                self._share_outage(received.sender, asked)
            case OutageShared() as shared:
                self.keeper.receive_outage_report(received.sender, shared)
            case TargetsChanged():
                self.want_targets()
            case StoreAsked() as asked:
                self.relay.handle_request(received.sender, asked)
            case StoreTold() as told:
                self.relay.handle_reply(told)

    def _share_outage(self, sender: str, asked: OutageAsked) -> None:
        if self.keeper.report_outage():
            self.send(sender, OutageShared(asked.incarnation, asked.asked_ms))

    def _job_changed(self, changed: JobChanged) -> None:
        if self.is_joined:
            self.duties.send_to_holder(changed.pool, changed)

    def _generation(self, pool: str) -> int:
        return self.keeper.generation(pool) if self.is_joined else 0

    def _holder(self, pool: str) -> str:
        return self.keeper.holder(pool) if self.is_joined else ""

    def tell(self, message: PoolCounts | PoolLoad) -> None:
        """Tell of a pool to whom it concerns, this entry included."""
        match message:
            case PoolCounts():
                self.send_all(message)
                self.service.update_counts(message)
            case PoolLoad():
                self.duties.send_to_holder(FLEET_DUTY, message)

    def _adopted(self, version: int) -> None:
        if self.is_joined:
            self.spread.adopted(version)
            self._tell_standing()

    def _tell_standing(self) -> None:
        """Have heartbeats tell the version in force, and whether this entry stops."""
        current = self.operator.current
        version = current.version if current is not None else 0
        self.hub.mailbox.post(LocalStatusChanged(version, (), not self.is_stopping))

    def want_targets(self) -> None:
        """Have the list of targets read at once."""
        self.target_list.wanted.set()

    def _wave(self, wave: UpkeepWave) -> None:
        self.duties.tell_wave(WaveRequested(wave, self.clock.now_ms()))

    def _entries_changed(self, live: LiveEntries) -> None:
        self.keeper.schedule_reconcile()

    # Duties

    def _wanted_duties(self) -> frozenset[str]:
        table = self.operator.current
        if table is None or self.is_stopping:
            return frozenset()
        return frozenset(pool.name for pool in table.pools) | {FLEET_DUTY}

    def _knowledge(self) -> RoutingState:
        return RoutingState(
            self.operator.current,
            self.spread.sources.version,
            self.clock.now_ms() - self.operator.confirmed_ms,
        )

    def _routing(self) -> RoutingTable:
        return self.operator.current or RoutingTable(0)

    async def _release(self, hold_ms: int) -> None:
        """Give the duties back and take leave of the other entries."""
        # Nobody leaves a duty to an entry that takes none any more.
        self._tell_standing()
        await self.duties.release(hold_ms)
        await asyncio.sleep(GOODBYE_S)
        await self.hub.send_goodbye()

    def _superseded(self) -> None:
        log_warning("superseded", entry=self.settings.name)
        self.is_superseded.set()

    # Tasks

    def spawn(
        self, work: Coroutine[Any, Any, None], part: ProcessPart
    ) -> asyncio.Task[None]:
        """Start a task that ends with the entry; an error of it ends the process."""
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
