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
from cornelturn.entry.builder import PartsBuilder
from cornelturn.entry.dispatching import TICK_INTERVAL_S, TickDue
from cornelturn.entry.parts import Parts
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
from cornelturn.http.operator_views import EntryView
from cornelturn.http.operators import OperatorsApi
from cornelturn.http.server import HttpServer, TlsFiles
from cornelturn.model.configuration import Configuration
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
    is_superseded: asyncio.Event = field(default_factory=asyncio.Event)
    own: PeerAddress = field(init=False)
    listener: Listener = field(init=False)
    parts: Parts = field(init=False)
    wiring: Wiring = field(init=False)
    callers: HttpServer = field(init=False)
    operators: HttpServer = field(init=False)

    async def start(self) -> Addresses:
        """Start all tasks and return when the listeners accept."""
        incarnation = time.time_ns() // 1_000_000
        codec = Codec(
            self.settings.name, incarnation, bytes.fromhex(self.settings.inner.key)
        )
        self.wiring = Wiring(self._spawn)
        self.listener = Listener(
            self.settings.inner.address, codec, self.wiring.arrived
        )
        inner = self.listener.open()
        self.own = PeerAddress(self.settings.name, incarnation, inner)
        self.parts = Parts(self.own, self.clock, self.metrics)
        self.wiring.parts = self.parts
        PartsBuilder(
            self.settings, self.parts, self.wiring, self.rng, self._superseded
        ).build(codec)
        self._build_listeners()
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
        self.wiring.is_stopping = True
        limits = self.settings.limits
        log_event("entry_stopping", entry=self.own.name)
        self.wiring.tell_standing()
        await asyncio.sleep(to_seconds(limits.balancer_notice_ms))
        await self.callers.stop()
        await self.parts.service.wait_until_idle(limits.drain_limit_ms)
        await self.parts.usage.write()
        await self._release_lease()
        await self.parts.hub.send_goodbye()
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
        return self.parts.hub.local_status.is_ready and not self.wiring.is_stopping

    def configuration(self) -> Configuration:
        """Return the configuration in force here."""
        return self.parts.keeper.current

    def _build_listeners(self) -> None:
        settings = self.settings
        members = tuple(
            TokenHolder(one.name, one.token_sha256) for one in settings.members
        )
        callers = CallersApi(
            service=self.parts.service,
            members=members,
            configuration=self.configuration,
            is_ready=self.is_ready,
            max_body_bytes=settings.limits.max_body_bytes,
            max_deadline_ms=settings.limits.max_deadline_ms,
        )
        self.callers = _server(settings.callers, callers.application())
        operators = OperatorsApi(
            metrics=self.metrics,
            operations=self.parts.operations,
            reports=ReportBuilder(self.parts.table, self.parts.operations),
            operators=(TokenHolder("operators", settings.operators.token_sha256),),
            list_peers=lambda: list(self.parts.hub.membership.peers.values()),
            own_view=self._own_view,
            is_ready=self.is_ready,
        )
        self.operators = _server(settings.operators, operators.application())

    def _own_view(self) -> EntryView:
        return EntryView(
            self.own.name,
            self.own.incarnation,
            "self",
            self.is_ready(),
            self.parts.keeper.current.generation,
        )

    # Tasks

    def _start_tasks(self) -> None:
        for work in (
            self.listener.run(),
            self.parts.hub.run(),
            self.parts.table.run(),
            self.parts.front.run(),
            self.parts.dispatching.run(),
            self.parts.keeper.run(),
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
        self.parts.keeper.mailbox.post(PollDue())
        self.parts.registry.mailbox.post(ScanDue())
        self.parts.registry.mailbox.post(ListDue())
        seeds = tuple(
            PeerAddress(one.name, 0, one.address) for one in self.settings.inner.peers
        )
        self.parts.hub.mailbox.post(PeersDiscovered(seeds))

    def _start_timers(self) -> None:
        parts = self.parts
        beat_s = to_seconds(HEARTBEAT_INTERVAL_MS)
        for timer in (
            post_every(parts.hub.mailbox, HeartbeatsDue(), beat_s),
            post_every(parts.dispatching.mailbox, TickDue(), TICK_INTERVAL_S),
            post_every(parts.front.mailbox, InventoryDue(), INVENTORY_INTERVAL_S),
            post_every(parts.keeper.mailbox, PollDue(), POLL_INTERVAL_S),
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
        for driving in list(self.parts.service.driving_tasks.values()):
            driving.cancel()
        for following in list(self.parts.service.following_tasks):
            following.cancel()
        await asyncio.gather(*running, return_exceptions=True)
        await self.parts.targets.close()
        await self.parts.objects.close()
        await self.parts.platform.close()

    # Joining and leaving

    async def _join(self) -> None:
        """Take part once the highest configuration that can be reached is here."""
        await self._bootstrap()
        started_ms = self.clock.now_ms()
        while not self._has_joined(started_ms):
            await asyncio.sleep(JOIN_POLL_S)
        self.wiring.tell_standing(is_ready=True)
        log_event(
            "entry_ready",
            entry=self.own.name,
            generation=self.parts.keeper.current.generation,
        )

    def _has_joined(self, started_ms: int) -> bool:
        has_listened = self.clock.now_ms() - started_ms >= JOIN_LISTEN_MS
        is_known = (
            self.parts.keeper.has_read_table or self.parts.keeper.is_confirmed_by_peer
        )
        return has_listened and is_known and self.parts.keeper.current.generation > 0

    async def _bootstrap(self) -> None:
        path = self.settings.configuration_file
        while path is not None:
            match await bootstrap(path, self.parts.table, self.parts.platform):
                case Ok(is_first):
                    log_event("bootstrap", file=path, first=is_first)
                    self.parts.keeper.mailbox.post(PollDue())
                    self.parts.registry.mailbox.post(ScanDue())
                    return
                case Err(problem):
                    log_warning("bootstrap_failed", problem=problem)
                    if self.parts.keeper.current.generation > 0:
                        return
                    await asyncio.sleep(BOOTSTRAP_RETRY_S)

    async def _release_lease(self) -> None:
        if (
            not self.parts.service.driving_tasks
            and not self.parts.service.following_tasks
        ):
            await self.parts.lease.mailbox.ask(LeaseReleased)

    def _superseded(self) -> None:
        log_warning("superseded", entry=self.own.name)
        self.is_superseded.set()


def _server(settings: ListenerSettings, application: Any) -> HttpServer:
    tls = settings.tls
    files = TlsFiles(tls.certificate, tls.key) if tls is not None else None
    return HttpServer(application, settings.host, settings.port, files)


def _url(settings: ListenerSettings, port: int) -> str:
    scheme = "https" if settings.tls is not None else "http"
    return f"{scheme}://{settings.host}:{port}"
