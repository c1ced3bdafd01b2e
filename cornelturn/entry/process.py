"""The entry process: builds its tasks, and starts and stops them in order."""

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
from cornelturn.entry.builder import PartsBuilder
from cornelturn.entry.dispatching import TICK_INTERVAL_S, TickDue
from cornelturn.entry.parts import EntryParts
from cornelturn.entry.wiring import Wiring
from cornelturn.events.log import log_event, log_warning
from cornelturn.events.mailbox import post_every
from cornelturn.events.metrics import Metrics
from cornelturn.fleet.bootstrap import bootstrap
from cornelturn.fleet.configuration import (
    POLL_INTERVAL_S,
    PollDue,
)
from cornelturn.fleet.controller import (
    STEP_INTERVAL_S,
    StepDue,
)
from cornelturn.fleet.lease import (
    RENEW_INTERVAL_S,
    LeaseReleased,
    RenewDue,
)
from cornelturn.fleet.registry import (
    LIST_INTERVAL_S,
    SCAN_INTERVAL_S,
    ListDue,
    ScanDue,
)
from cornelturn.http.auth import TokenHolder
from cornelturn.http.callers import CallersApi
from cornelturn.http.connection_guard import ConnectionGuard
from cornelturn.http.operator_views import EntryView
from cornelturn.http.operators import OperatorsApi
from cornelturn.http.process_budget import derive_limits
from cornelturn.http.server import HttpServer, TlsFiles
from cornelturn.model.configuration import Configuration
from cornelturn.model.routes import CallerLimits
from cornelturn.peering.codec import Codec
from cornelturn.peering.hub import (
    HeartbeatsDue,
    PeersDiscovered,
)
from cornelturn.peering.links import Listener
from cornelturn.peering.membership import HEARTBEAT_INTERVAL_MS
from cornelturn.peering.messages import PeerAddress
from cornelturn.reports.source import ReportBuilder
from cornelturn.requests.front import (
    INVENTORY_INTERVAL_S,
    InventoryDue,
)
from cornelturn.requests.retention import SWEEP_INTERVAL_S, SweepDue
from cornelturn.requests.usage import WRITE_INTERVAL_S, UsageWriteDue
from cornelturn.settings.models import EntrySettings, ListenerSettings

JOIN_POLL_S = 0.02
MIN_JOIN_WAIT_MS = 600
"""Shortest time for which a joining entry waits for configurations of its peers."""

BOOTSTRAP_RETRY_S = 0.5


@dataclass(frozen=True, slots=True)
class ListenerAddresses:
    """Addresses to which the listeners of an entry are bound."""

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
    failed : Event
        Set when a newer incarnation has replaced this entry, or a task has failed.
    """

    settings: EntrySettings
    clock: Clock = field(default_factory=Clock)
    metrics: Metrics = field(default_factory=Metrics)
    rng: random.Random = field(default_factory=random.SystemRandom)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    failed: asyncio.Event = field(default_factory=asyncio.Event)
    own: PeerAddress = field(init=False)
    listener: Listener = field(init=False)
    parts: EntryParts = field(init=False)
    wiring: Wiring = field(init=False)
    callers_server: HttpServer = field(init=False)
    operators_server: HttpServer = field(init=False)

    async def start(self) -> ListenerAddresses:
        """Start all tasks; return when the listeners accept connections."""
        incarnation = time.time_ns() // 1_000_000
        codec = Codec(
            self.settings.name, incarnation, bytes.fromhex(self.settings.inner.key)
        )
        self.wiring = Wiring(self._spawn)
        self.listener = Listener(
            self.settings.inner.address, codec, self.wiring.receive_batch
        )
        inner = self.listener.open()
        self.own = PeerAddress(self.settings.name, incarnation, inner)
        self.parts = EntryParts(self.own, self.clock, self.metrics)
        self.wiring.parts = self.parts
        PartsBuilder(
            self.settings, self.parts, self.wiring, self.rng, self._handle_superseded
        ).build(codec)
        self._build_listeners()
        self._start_tasks()
        callers_port = await self.callers_server.start()
        operators_port = await self.operators_server.start()
        self._spawn(self._join())
        addresses = ListenerAddresses(
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
        """Stop after the requests in progress have ended, within the drain limit."""
        self.wiring.is_stopping = True
        limits = self.settings.limits
        log_event("entry_stopping", entry=self.own.name)
        self.wiring.publish_local_status()
        await asyncio.sleep(to_seconds(limits.balancer_notice_ms))
        await self.callers_server.stop()
        await self.parts.request_service.wait_until_idle(limits.drain_limit_ms)
        await self.parts.usage.write()
        await self._release_lease()
        await self.parts.hub.send_goodbye()
        await self.operators_server.stop()
        await self._end_tasks()
        log_event("entry_stopped", entry=self.own.name)

    async def abort(self) -> None:
        """Stop at once like a crash: requests are cut and the lease is not released."""
        self.callers_server.abort()
        self.operators_server.abort()
        await self._end_tasks()

    async def wait_ready(self) -> None:
        """Wait until this entry takes part in dispatching."""
        while not self.is_ready():
            await asyncio.sleep(JOIN_POLL_S)

    def is_ready(self) -> bool:
        """Return whether the load balancer should send requests to this entry."""
        return self.parts.hub.local_status.is_ready and not self.wiring.is_stopping

    def configuration(self) -> Configuration:
        """Return the configuration in force at this entry."""
        return self.parts.configuration_manager.current

    def _build_listeners(self) -> None:
        settings = self.settings
        members = tuple(
            TokenHolder(member.name, member.token_sha256) for member in settings.members
        )
        callers = CallersApi(
            service=self.parts.request_service,
            members=members,
            configuration=self.configuration,
            is_ready=self.is_ready,
            max_body_bytes=settings.limits.max_body_bytes,
            max_deadline_ms=settings.limits.max_deadline_ms,
        )
        guard = self._connection_guard()
        self.callers_server = _server(settings.callers, callers.application(), guard)
        operators = OperatorsApi(
            metrics=self.metrics,
            operations=self.parts.operations,
            reports=ReportBuilder(self.parts.table, self.parts.operations),
            operators=(TokenHolder("operators", settings.operators.token_sha256),),
            list_peers=lambda: list(self.parts.hub.membership.peers.values()),
            own_view=self._own_view,
            is_ready=self.is_ready,
        )
        self.operators_server = _server(
            settings.operators, operators.application(), guard
        )

    def _connection_guard(self) -> ConnectionGuard:
        limits = self.settings.limits
        caller_limits = CallerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms,
            limits.idle_timeout_ms,
        )
        return ConnectionGuard(
            derive_limits(limits.memory_mb, limits.max_fds),
            lambda: caller_limits,
            self.metrics.refused_connections,
        )

    def _own_view(self) -> EntryView:
        return EntryView(
            self.own.name,
            self.own.incarnation,
            "self",
            self.is_ready(),
            self.parts.configuration_manager.current.generation,
        )

    # Tasks

    def _start_tasks(self) -> None:
        for work in (
            self.listener.run(),
            self.parts.hub.run(),
            self.parts.table.run(),
            self.parts.front.run(),
            self.parts.dispatch_task.run(),
            self.parts.configuration_manager.run(),
            self.parts.registry.run(),
            self.parts.lease.run(),
            self.parts.recovery.run(),
            self.parts.usage.run(),
            self.parts.retention.run(),
            self.parts.controller.run(),
        ):
            self._spawn(work)
        self._start_timers()
        self.parts.lease.mailbox.post(RenewDue())
        self.parts.configuration_manager.mailbox.post(PollDue())
        self.parts.registry.mailbox.post(ScanDue())
        self.parts.registry.mailbox.post(ListDue())
        seeds = tuple(
            PeerAddress(peer.name, 0, peer.address)
            for peer in self.settings.inner.peers
        )
        self.parts.hub.mailbox.post(PeersDiscovered(seeds))

    def _start_timers(self) -> None:
        parts = self.parts
        heartbeat_interval_s = to_seconds(HEARTBEAT_INTERVAL_MS)
        for timer in (
            post_every(parts.hub.mailbox, HeartbeatsDue(), heartbeat_interval_s),
            post_every(parts.dispatch_task.mailbox, TickDue(), TICK_INTERVAL_S),
            post_every(parts.front.mailbox, InventoryDue(), INVENTORY_INTERVAL_S),
            post_every(parts.configuration_manager.mailbox, PollDue(), POLL_INTERVAL_S),
            post_every(parts.registry.mailbox, ScanDue(), SCAN_INTERVAL_S),
            post_every(parts.registry.mailbox, ListDue(), LIST_INTERVAL_S),
            post_every(parts.lease.mailbox, RenewDue(), RENEW_INTERVAL_S),
            post_every(parts.controller.mailbox, StepDue(), STEP_INTERVAL_S),
            post_every(parts.retention.mailbox, SweepDue(), SWEEP_INTERVAL_S),
            post_every(parts.usage.mailbox, UsageWriteDue(), WRITE_INTERVAL_S),
        ):
            self._spawn(timer)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        task.add_done_callback(self._handle_task_end)
        self.tasks.add(task)

    def _handle_task_end(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        error = task.exception()
        frame = traceback.extract_tb(error.__traceback__)[-1]
        place = f"{Path(frame.filename).name}:{frame.lineno}"
        log_warning("invariant_broken", error=repr(error), place=place)
        self.failed.set()

    async def _end_tasks(self) -> None:
        self.listener.close()
        running = list(self.tasks)
        for task in running:
            task.cancel()
        for driving_task in list(self.parts.request_driver.tasks.values()):
            driving_task.cancel()
        for following_task in list(self.parts.request_service.following_tasks):
            following_task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
        await self.parts.target_client.close()
        await self.parts.objects.close()
        await self.parts.platform.close()

    # Joining and leaving

    async def _join(self) -> None:
        """Become ready once the newest reachable configuration is in force here."""
        await self._bootstrap()
        started_ms = self.clock.now_ms()
        while not self._has_joined(started_ms):
            await asyncio.sleep(JOIN_POLL_S)
        self.wiring.publish_local_status(is_ready=True)
        log_event(
            "entry_ready",
            entry=self.own.name,
            generation=self.parts.configuration_manager.current.generation,
        )

    def _has_joined(self, started_ms: int) -> bool:
        has_waited = self.clock.now_ms() - started_ms >= MIN_JOIN_WAIT_MS
        has_configuration = (
            self.parts.configuration_manager.has_read_table
            or self.parts.configuration_manager.is_confirmed_by_peer
        )
        return (
            has_waited
            and has_configuration
            and self.parts.configuration_manager.current.generation > 0
        )

    async def _bootstrap(self) -> None:
        path = self.settings.configuration_file
        while path is not None:
            match await bootstrap(path, self.parts.table, self.parts.platform):
                case Ok(is_first):
                    log_event("bootstrap", file=path, first=is_first)
                    self.parts.configuration_manager.mailbox.post(PollDue())
                    self.parts.registry.mailbox.post(ScanDue())
                    return
                case Err(problem):
                    log_warning("bootstrap_failed", problem=problem)
                    if self.parts.configuration_manager.current.generation > 0:
                        return
                    await asyncio.sleep(BOOTSTRAP_RETRY_S)

    async def _release_lease(self) -> None:
        if (
            not self.parts.request_driver.tasks
            and not self.parts.request_service.following_tasks
        ):
            await self.parts.lease.mailbox.ask(LeaseReleased)

    def _handle_superseded(self) -> None:
        log_warning("superseded", entry=self.own.name)
        self.failed.set()


def _server(
    settings: ListenerSettings, application: Any, guard: ConnectionGuard
) -> HttpServer:
    tls = settings.tls
    files = TlsFiles(tls.certificate, tls.key) if tls is not None else None
    return HttpServer(application, settings.host, settings.port, files, guard)


def _url(settings: ListenerSettings, port: int) -> str:
    scheme = "https" if settings.tls is not None else "http"
    return f"{scheme}://{settings.host}:{port}"
