"""Stand-in for a worker: executes orders, enforces its lease and reports ends."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
from blacksheep import Application, Request, Response

from cornelturn.clock import MILLISECONDS_PER_SECOND, to_seconds
from cornelturn.http.routes import add_route, header_text, new_application
from cornelturn.jobs.model import EndKind, Resources, Run, RunEnd, parse_task_id
from cornelturn.platform.documents import WireCapacity, WireWorker
from cornelturn.platform.standin.answers import json_response
from cornelturn.platform.standin.rule_checker import RuleChecker
from cornelturn.platform.targets import (
    EXPECTED_INSTANCE_HEADER,
    MAX_LISTED_ENDS,
    WireHold,
    WireRefusal,
    WireReport,
    WireStart,
    WireStop,
)

STOP_DURATION_MS = 50
"""Time that a run takes to stop."""

UNANSWERED_S = 1_000.0
"""How long a late start stays unanswered; longer than any caller waits."""


@dataclass(slots=True)
class RunningTask:
    """A run on a worker; ``duration_ms`` is None if it never ends by itself."""

    run: Run
    need: Resources
    started_ms: int
    duration_ms: int | None
    timer: asyncio.TimerHandle | None = None


@dataclass(slots=True)
class WorkerStandin:
    """One life of a worker; a restarted worker is a new object.

    Parameters
    ----------
    run_duration_ms : callable
        Returns the duration of a run, None if it never ends by itself.
    should_fail : callable
        Returns whether a run fails.
    is_ticket_valid : callable
        Returns whether a run may start here with a ticket.
    start_delay_ms : int
        Delay after which starts are executed without a response; 0 answers at once.
    label : str
        Unique name of this life, for tests in which a worker has several.
    """

    name: str
    service: str
    capacity: Resources
    checker: RuleChecker
    born_ms: int
    run_duration_ms: Callable[[Run], int | None]
    should_fail: Callable[[Run], bool] = lambda run: False
    is_ticket_valid: Callable[[Run, str, str], bool] = lambda run, name, ticket: True
    start_delay_ms: int = 0
    address: str = ""
    label: str = ""
    is_draining: bool = False
    rack: str = "r1"
    fence_token: int = 0
    lease_deadline_ms: int = 0
    has_crashed: bool = False
    runs: dict[Run, RunningTask] = field(default_factory=dict)
    ends: list[RunEnd] = field(default_factory=list)
    end_count: int = 0
    last_closed_run: dict[object, int] = field(default_factory=dict)
    lease_timer: asyncio.TimerHandle | None = None
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def application(self) -> Application:
        """Return the web application of the worker."""
        app = new_application()
        add_route(app, "POST", "/run-start", self.start)
        add_route(app, "POST", "/run-stop", self.stop)
        add_route(app, "POST", "/hold", self.hold)
        return app

    def row_value(self) -> bytes:
        """Return the value of the worker's row in the list of workers."""
        capacity = WireCapacity(
            self.capacity.cpu, self.capacity.mem_mb, self.capacity.gpu
        )
        state = "draining" if self.is_draining else "ready"
        wire = WireWorker(
            service=self.service,
            addr=self.address,
            state=state,
            capacity=capacity,
            zone="dc-1",
            labels=("a", self.rack),
            born=self.born_ms,
        )
        return msgspec.json.encode(wire)

    def crash(self) -> None:
        """End all runs at once without reporting them, and start no more."""
        self.has_crashed = True
        for task in list(self.runs.values()):
            self._remove(task, False)

    async def start(self, request: Request) -> Response:
        """Start a run."""
        if not self._is_addressed_here(request):
            return json_response(421, {})
        wire = msgspec.json.decode(await request.read() or b"", type=WireStart)
        if self.start_delay_ms:
            await asyncio.sleep(to_seconds(self.start_delay_ms))
            self._start(wire)
            await asyncio.sleep(UNANSWERED_S)
        reason = self._start(wire)
        if reason:
            return json_response(409, WireRefusal(reason, self.now_ms()))
        return json_response(200, {"clock_ms": self.now_ms()})

    async def stop(self, request: Request) -> Response:
        """Stop a run; reject its start if that arrives later."""
        if not self._is_addressed_here(request):
            return json_response(421, {})
        wire = msgspec.json.decode(await request.read() or b"", type=WireStop)
        if wire.fence_token < self.fence_token:
            return json_response(409, WireRefusal("fence", self.now_ms()))
        self.fence_token = wire.fence_token
        run = Run(parse_task_id(wire.task_id), wire.run_id)
        self._close_run(run)
        task = self.runs.get(run)
        if task is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(
                to_seconds(STOP_DURATION_MS), self._end, task, EndKind.STOPPED
            )
        return json_response(200, {"clock_ms": self.now_ms()})

    async def hold(self, request: Request) -> Response:
        """Renew the lease and return the active and ended runs."""
        if not self._is_addressed_here(request):
            return json_response(421, {})
        wire = msgspec.json.decode(await request.read() or b"", type=WireHold)
        if wire.fence_token < self.fence_token:
            return json_response(409, WireRefusal("fence", self.now_ms()))
        self.fence_token = wire.fence_token
        if wire.deadline_ms is not None:
            self._extend_lease(wire.deadline_ms)
        for end in self.ends:
            if end.sequence <= wire.ack_seq:
                self.checker.record_acknowledgement(end.run, end.kind is EndKind.DONE)
        self.ends = [end for end in self.ends if end.sequence > wire.ack_seq]
        if not self.ends and wire.wait_ms:
            await self._wait_for_end(wire.wait_ms)
        return json_response(200, self._report())

    def now_ms(self) -> int:
        """Return the worker's monotonic clock, which starts at its birth."""
        loop = asyncio.get_running_loop()
        return round(loop.time() * MILLISECONDS_PER_SECOND) - self.born_ms

    def _is_addressed_here(self, request: Request) -> bool:
        return header_text(request, EXPECTED_INSTANCE_HEADER) == self.name

    def _start(self, wire: WireStart) -> str:
        if wire.fence_token < self.fence_token:
            return "fence"
        self.fence_token = wire.fence_token
        run = Run(parse_task_id(wire.task_id), wire.run_id)
        if run in self.runs:
            return ""
        if run.number <= self.last_closed_run.get(run.task, 0):
            return "old"
        if wire.deadline_ms <= self.now_ms() or self.has_crashed:
            return "late"
        if not self.is_ticket_valid(run, self.name, wire.ticket):
            return "ticket"
        self._extend_lease(wire.deadline_ms)
        self._begin(run)
        return ""

    def _begin(self, run: Run) -> None:
        job = self.checker.jobs.get(run.task.job)
        need = job.steps[run.task.step].counted_need() if job else Resources()
        task = RunningTask(run, need, self.now_ms(), self.run_duration_ms(run))
        self.runs[run] = task
        used = Resources()
        for other in self.runs.values():
            used = used.plus(other.need)
        self.checker.record_start(run, self.name, used, self.capacity, self.now_ms())
        if task.duration_ms is not None:
            kind = EndKind.FAILED if self.should_fail(run) else EndKind.DONE
            loop = asyncio.get_running_loop()
            delay_s = to_seconds(task.duration_ms)
            task.timer = loop.call_later(delay_s, self._end, task, kind)

    def _end(self, task: RunningTask, kind: EndKind) -> None:
        if self.runs.get(task.run) is not task:
            return
        self._remove(task, kind is EndKind.DONE)
        self._close_run(task.run)
        self.end_count += 1
        self.ends.append(RunEnd(self.end_count, task.run, kind))
        self.changed.set()

    def _remove(self, task: RunningTask, is_done: bool) -> None:
        del self.runs[task.run]
        if task.timer is not None:
            task.timer.cancel()
        self.checker.record_end(task.run, self.name, is_done)

    def _close_run(self, run: Run) -> None:
        self.last_closed_run[run.task] = max(
            self.last_closed_run.get(run.task, 0), run.number
        )

    def _extend_lease(self, deadline_ms: int) -> None:
        self.lease_deadline_ms = max(self.lease_deadline_ms, deadline_ms)
        if self.lease_timer is not None:
            self.lease_timer.cancel()
        remaining_s = to_seconds(self.lease_deadline_ms - self.now_ms())
        loop = asyncio.get_running_loop()
        self.lease_timer = loop.call_later(remaining_s, self._expire_lease)

    def _expire_lease(self) -> None:
        for task in list(self.runs.values()):
            self._end(task, EndKind.LAPSED)

    async def _wait_for_end(self, wait_ms: int) -> None:
        self.changed.clear()
        try:
            async with asyncio.timeout(to_seconds(wait_ms)):
                await self.changed.wait()
        except TimeoutError:
            return

    def _report(self) -> WireReport:
        active = tuple(
            (str(run.task), run.number, "", self._percent(task), 0)
            for run, task in self.runs.items()
        )
        ended = tuple(
            (end.sequence, str(end.run.task), end.run.number, end.kind.value, "")
            for end in self.ends[:MAX_LISTED_ENDS]
        )
        return WireReport(self.now_ms(), active, ended, self.born_ms)

    def _percent(self, task: RunningTask) -> int:
        if task.duration_ms is None:
            return 100
        elapsed_ms = self.now_ms() - task.started_ms
        return min(99, round(100 * elapsed_ms / max(1, task.duration_ms)))
