"""An entry that accepts and schedules jobs: its tasks and their connections."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any

from cornelturn.clock import NANOSECONDS_PER_MILLISECOND, Clock, to_seconds
from cornelturn.entry.duty_tasks import DutyTasks
from cornelturn.entry.job_listeners import JobListeners, new_job_listeners
from cornelturn.entry.job_membership import JOB_HEARTBEAT_INTERVAL_S, job_membership
from cornelturn.entry.job_ports import Ports
from cornelturn.entry.job_settings import JobEntrySettings
from cornelturn.entry.joining import new_incarnation, shared_key
from cornelturn.entry.message_delivery import MessageDelivery
from cornelturn.entry.organisation_figures import EntryFigures, new_entry_figures
from cornelturn.entry.periodic_reports import start_reports
from cornelturn.entry.routing_spread import RoutingDistributor
from cornelturn.entry.watches import OperatorWatch, TargetWatch
from cornelturn.events.background import format_error
from cornelturn.events.job_metrics import JobMetrics
from cornelturn.events.log import log_event, log_warning
from cornelturn.events.mailbox import post_every
from cornelturn.events.process_work import ProcessPart
from cornelturn.events.task_times import attributed_to
from cornelturn.events.work_times import WorkTimes
from cornelturn.fleet.machine_owner import WaveRequested
from cornelturn.jobs.relay import StoreRelay
from cornelturn.jobs.service import JobService
from cornelturn.model.routes import RoutingState, RoutingTable
from cornelturn.model.upkeep import UpkeepWave
from cornelturn.ownership.duties import FLEET_DUTY, entry_key, required_duties
from cornelturn.ownership.keeper import SETTLE_MS, DutyKeeper
from cornelturn.peering.codec import Batch, Codec
from cornelturn.peering.hub import (
    BatchReceived,
    HeartbeatsDue,
    Hub,
    LiveEntries,
    LocalStatusChanged,
    PeersDiscovered,
    SendTo,
    SendToAll,
)
from cornelturn.peering.links import Listener
from cornelturn.peering.messages import (
    InnerMessage,
    JobChanged,
    PeerAddress,
    PoolCounts,
    PoolLoad,
)
from cornelturn.store.probing import probe
from cornelturn.store.retrying import RetryingStore

GOODBYE_DELAY_S = 0.2
"""Time for the last messages of a stopping entry to be sent before its goodbye."""

STOP_MARGIN_MS = 1_000
"""Part of the grace period that is left for the process to exit by itself."""

DUTY_RELEASE_MARGIN_MS = 1_000
"""Time before that margin in which duties are released at the latest."""

BALANCER_NOTICE_MS = 2_500
"""Time in which the load balancer notices that an entry is not ready: two health
checks, one second apart, and a margin."""


@dataclass(slots=True)
class JobEntry:
    """All tasks of one entry.

    Parameters
    ----------
    label : str
        Identifies this start where several entries run in one process.
    failed : Event
        Set when a newer incarnation has replaced this entry, or a task has failed.
    is_joined : bool
        Whether it has an incarnation, and the parts that need one.
    """

    settings: JobEntrySettings
    ports: Ports
    clock: Clock
    metrics: JobMetrics = field(default_factory=JobMetrics)
    work_times: WorkTimes = field(default_factory=WorkTimes)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    failed: asyncio.Event = field(default_factory=asyncio.Event)
    is_stopping: bool = False
    is_joined: bool = False
    callers_port: int = 0
    label: str = ""
    own: PeerAddress = field(init=False)
    hub: Hub = field(init=False)
    keeper: DutyKeeper = field(init=False)
    delivery: MessageDelivery = field(init=False)
    duties: DutyTasks = field(init=False)
    relay: StoreRelay = field(init=False)
    service: JobService = field(init=False)
    figures: EntryFigures = field(init=False)
    operator_watch: OperatorWatch = field(init=False)
    routing_distributor: RoutingDistributor = field(init=False)
    target_watch: TargetWatch = field(init=False)
    listeners: JobListeners = field(init=False)

    def __post_init__(self) -> None:
        unix_ms = time.time_ns() // NANOSECONDS_PER_MILLISECOND
        self.duties = DutyTasks(
            self.ports,
            self.clock,
            self.metrics,
            context=self,
            routing=self.current_routing,
            unix_offset_ms=unix_ms - self.clock.now_ms(),
            owner_settings=self.settings.owner_settings(),
        )

    async def start(self) -> None:
        """Start the listeners, then join the other entries in the background."""
        store, documents = self.ports.store, self.ports.documents
        self.relay = StoreRelay(
            RetryingStore(store),
            self.send,
            self._peers,
            self._send_job_change,
            self.settings.store_limits,
        )
        self.service = JobService(
            store,
            self.clock,
            self._send_job_change,
            self.metrics,
            self._pool_generation,
            fallback=self.relay,
            pool_owner=self._pool_holder,
            limits=self.settings.store_limits,
            organisations=lambda: self.current_routing().organisations,
            routing=self.current_routing,
        )
        self.figures = new_entry_figures(self)
        self.operator_watch = OperatorWatch(
            store, documents, self.clock, self._handle_configuration, self._handle_wave
        )
        self.routing_distributor = RoutingDistributor(
            self.operator_watch, self.send, self.send_all, self._peers
        )
        self.target_watch = TargetWatch(
            store,
            documents,
            lambda: bool(self.duties.owned_pools),
            self.duties.update_targets,
        )
        await self._listen()
        self.spawn(self.operator_watch.run(), ProcessPart.OPERATOR)
        self.spawn(self.routing_distributor.run(), ProcessPart.OPERATOR)
        probing = probe(store, entry_key(self.settings.name), self.clock)
        self.spawn(probing, ProcessPart.KEEPER)
        self.spawn(self._join(), ProcessPart.KEEPER)

    async def stop(self) -> None:
        """Release the duties, serve until the load balancer has noticed, and stop."""
        self.is_stopping = True
        limit_ms = self.settings.bounds.grace_ms - STOP_MARGIN_MS
        try:
            async with asyncio.timeout(to_seconds(limit_ms)):
                await self._shut_down(limit_ms - DUTY_RELEASE_MARGIN_MS)
        except TimeoutError:
            log_warning("stop_cut_short", entry=self.settings.name)
        for task in (*self.tasks, *self.duties.hand_over_tasks):
            task.cancel()
        log_event("entry_stopped", entry=self.settings.name)

    async def _shut_down(self, max_wait_ms: int) -> None:
        if self.is_joined:
            await asyncio.gather(
                self._stop_serving(), self._release_and_leave(max_wait_ms)
            )
        else:
            await self._stop_serving()

    async def _stop_serving(self) -> None:
        await asyncio.sleep(to_seconds(BALANCER_NOTICE_MS))
        await self.listeners.stop()

    def is_ready(self) -> bool:
        """Return whether the load balancer should send callers to this entry."""
        return (
            self.is_joined
            and not self.is_stopping
            and self.operator_watch.current is not None
            and self.keeper.member_rows.revision is not None
            and self.ports.store.is_serving()
        )

    async def _listen(self) -> None:
        self.listeners = new_job_listeners(
            self.settings,
            self.ports.callers_application(self.service, self._routing_state),
            self.metrics,
            is_ready=self.is_ready,
            read_limits=lambda: self.current_routing().limits,
            read_organisations=self.figures.show,
        )
        with attributed_to(self.work_times.part(ProcessPart.READY)):
            await self.listeners.start_monitoring()
        with attributed_to(self.work_times.part(ProcessPart.FRONT)):
            self.callers_port = await self.listeners.start_callers()

    # Joining

    async def _join(self) -> None:
        """Take an incarnation, and start the tasks that need the other entries."""
        store = self.ports.store
        incarnation = await new_incarnation(store, self.settings.name)
        codec = Codec(self.settings.name, incarnation, await shared_key(store))
        listener = Listener(self.settings.inner_address, codec, self._receive_batch)
        self.own = PeerAddress(self.settings.name, incarnation, listener.open())
        self._create_joined_parts(codec)
        self.is_joined = True
        self._start_joined_tasks(listener)
        self._publish_local_status()
        self.keeper.schedule.request_renewal()
        # Otherwise the first renewal after `SETTLE_MS` may be almost a second late.
        asyncio.get_running_loop().call_later(
            to_seconds(SETTLE_MS), self.keeper.schedule.request_renewal
        )
        log_event(
            "entry_started",
            entry=self.own.name,
            incarnation=incarnation,
            data_centre=self.settings.data_centre,
            inner=self.own.address,
        )

    def _create_joined_parts(self, codec: Codec) -> None:
        """Create the parts that need the address and the incarnation of this entry."""
        self.hub = Hub(
            membership=job_membership(self.own),
            codec=codec,
            clock=self.clock,
            message_counter=self.metrics.inner_messages,
            deliver=lambda received: self.delivery.deliver(received),
            publish=self._handle_entries_changed,
            on_superseded=self._handle_superseded,
        )
        self.keeper = DutyKeeper(
            own=self.own,
            store=self.ports.store,
            clock=self.clock,
            required_duties=self._required_duties,
            reachable_entries=lambda: self.hub.live.ready,
            on_peers_read=lambda peers: self.hub.mailbox.post(PeersDiscovered(peers)),
            on_event=self.duties.handle_event,
            processor=self.settings.processor,
        )
        self.duties.keeper = self.keeper
        self.delivery = MessageDelivery(
            self.keeper,
            self.duties,
            self.relay,
            self.service,
            self.figures,
            self.routing_distributor,
            self.send,
            self.refresh_targets,
        )

    def _start_joined_tasks(self, listener: Listener) -> None:
        """Start the hub, the keeper, the watch of targets and the reports of work."""
        heartbeats = post_every(
            self.hub.mailbox, HeartbeatsDue(), JOB_HEARTBEAT_INTERVAL_S
        )
        for work in (listener.run(), self.hub.run(), heartbeats):
            self.spawn(work, ProcessPart.HUB)
        keeper = self.keeper
        self.spawn(keeper.run(), ProcessPart.KEEPER)
        self.spawn(keeper.schedule.renew_periodically(), ProcessPart.KEEPER)
        self.spawn(keeper.authority.maintain(), ProcessPart.KEEPER)
        self.spawn(self.target_watch.run(), ProcessPart.TARGETS)
        self.service.rows.earlier.start_loading()
        start_reports(self)

    # Messages

    def _receive_batch(self, batch: Batch) -> None:
        self.hub.mailbox.post(BatchReceived(batch))

    def send(self, entry: str, message: InnerMessage) -> None:
        """Send a message to an entry."""
        self.hub.mailbox.post(SendTo(entry, message))

    def _peers(self) -> frozenset[str]:
        return self.hub.live.peers if self.is_joined else frozenset()

    def send_all(self, message: InnerMessage) -> None:
        """Send a message to all other entries."""
        self.hub.mailbox.post(SendToAll(message))

    def _send_job_change(self, job_change: JobChanged) -> None:
        if self.is_joined:
            self.duties.send_to_holder(job_change.pool, job_change)

    def _pool_generation(self, pool: str) -> int:
        return self.keeper.duty_rows.generation(pool) if self.is_joined else 0

    def _pool_holder(self, pool: str) -> str:
        return self.keeper.duty_rows.holder(pool) if self.is_joined else ""

    def publish_pool_status(self, message: PoolCounts | PoolLoad) -> None:
        """Send the status of a pool to its recipients, including this entry."""
        match message:
            case PoolCounts():
                self.figures.publish_counts(message)
                self.service.update_counts(message)
            case PoolLoad():
                self.duties.send_to_holder(FLEET_DUTY, message)

    def _handle_configuration(self, version: int) -> None:
        if self.is_joined:
            self.routing_distributor.announce(version)
            self._publish_local_status()

    def _publish_local_status(self) -> None:
        """Set the version in force and the readiness that heartbeats report."""
        current = self.operator_watch.current
        version = current.version if current is not None else 0
        self.hub.mailbox.post(LocalStatusChanged(version, (), not self.is_stopping))

    def refresh_targets(self) -> None:
        """Read the list of targets immediately."""
        self.target_watch.refresh_requested.set()

    def _handle_wave(self, wave: UpkeepWave) -> None:
        self.duties.machines.add_wave(WaveRequested(wave, self.clock.now_ms()))

    def _handle_entries_changed(self, live: LiveEntries) -> None:
        self.keeper.schedule.request_delayed_reconcile()

    # Duties

    def _required_duties(self) -> frozenset[str]:
        table = self.operator_watch.current
        if table is None or self.is_stopping:
            return frozenset()
        return required_duties(table)

    def _routing_state(self) -> RoutingState:
        return RoutingState(
            self.operator_watch.current,
            self.routing_distributor.announced_versions.newest_version,
            self.clock.now_ms() - self.operator_watch.confirmed_ms,
        )

    def current_routing(self) -> RoutingTable:
        """Return the configuration in force, an empty one before the first."""
        return self.operator_watch.current or RoutingTable(0)

    async def _release_and_leave(self, max_wait_ms: int) -> None:
        """Release the duties and send a goodbye to the other entries."""
        # Other entries then leave no free duties to this entry, which takes none.
        self._publish_local_status()
        await self.duties.release_all(max_wait_ms)
        await asyncio.sleep(GOODBYE_DELAY_S)
        await self.hub.send_goodbye()

    def _handle_superseded(self) -> None:
        log_warning("superseded", entry=self.settings.name)
        self.failed.set()

    # Tasks

    def spawn(
        self, work: Coroutine[Any, Any, None], part: ProcessPart
    ) -> asyncio.Task[None]:
        """Start a task for the lifetime of the entry; its failure ends the process."""
        with attributed_to(self.work_times.part(part)):
            task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._handle_task_end)
        return task

    def _handle_task_end(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        error = task.exception()
        log_warning("invariant_broken", error=repr(error), trace=format_error(error))
        self.failed.set()
