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
    WirePace,
    WireRefusal,
    WireReport,
    WireStart,
    WireStop,
)

STOP_DURATION_MS = 50
"""Time that a run takes to stop."""

PACE_DELAY_MS = 100
"""Time after which an order of a pace takes effect."""

UNANSWERED_S = 1_000.0
"""How long a late start stays unanswered; longer than any caller waits."""


@dataclass(slots=True)
class RunningTask:
    """A run on a worker.

    Parameters
    ----------
    duration_ms : int or None
        Duration at the full pace, None if it never ends by itself.
    pace : int
        Share at which it works, in percent.
    worked_ms, paced_ms : float
        Work done until the pace last changed, and when that was.
    """

    run: Run
    need: Resources
    started_ms: int
    duration_ms: int | None
    end_kind: EndKind = EndKind.DONE
    timer: asyncio.TimerHandle | None = None
    pace: int = 100
    worked_ms: float = 0.0
    paced_ms: int = 0

    def worked_until(self, now_ms: int) -> float:
        """Return the work done so far, as its duration at the full pace."""
        return self.worked_ms + (now_ms - self.paced_ms) * self.pace / 100


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
    run_load : callable
        Returns the load of a run that a report states.
    pace_faults : list of int or None
        Delays after which the next orders of a pace are executed without a response;
        None loses the order.
    paces : list of tuple
        Runs and paces of the orders that were executed, with their times.
    is_answering : bool
        Whether reports and orders of a pace are answered; they are always executed.
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
    run_load: Callable[[WorkerStandin, RunningTask], int] = lambda worker, task: 0
    pace_faults: list[int | None] = field(default_factory=list)
    paces: list[tuple[int, Run, int]] = field(default_factory=list)
    is_answering: bool = True
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
        add_route(app, "POST", "/pace", self.pace)
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

    async def pace(self, request: Request) -> Response:
        """Set the share at which a run works; it takes effect a little later."""
        if not self._is_addressed_here(request):
            return json_response(421, {})
        wire = msgspec.json.decode(await request.read() or b"", type=WirePace)
        if self.pace_faults:
            delay_ms = self.pace_faults.pop(0)
            if delay_ms is not None:
                await asyncio.sleep(to_seconds(delay_ms))
                self._order_pace(wire)
            await asyncio.sleep(UNANSWERED_S)
        reason = self._order_pace(wire)
        await self._lose_answer()
        if reason:
            return json_response(409, WireRefusal(reason, self.now_ms()))
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
        await self._lose_answer()
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
        now_ms = self.now_ms()
        duration_ms = self.run_duration_ms(run)
        task = RunningTask(run, need, now_ms, duration_ms, paced_ms=now_ms)
        self.runs[run] = task
        used = Resources()
        for other in self.runs.values():
            used = used.plus(other.need)
        self.checker.record_start(run, self.name, used, self.capacity, self.now_ms())
        if duration_ms is not None and self.should_fail(run):
            task.end_kind = EndKind.FAILED
        self._schedule_end(task)

    def _schedule_end(self, task: RunningTask) -> None:
        if task.timer is not None:
            task.timer.cancel()
        if task.duration_ms is None or not task.pace:
            return
        remaining_ms = (task.duration_ms - task.worked_ms) * 100 / task.pace
        loop = asyncio.get_running_loop()
        task.timer = loop.call_later(
            to_seconds(max(0, remaining_ms)), self._end, task, task.end_kind
        )

    def _order_pace(self, wire: WirePace) -> str:
        """Take an order of a pace; return why it is refused, empty if it is not."""
        if wire.fence_token < self.fence_token:
            return "fence"
        self.fence_token = wire.fence_token
        run = Run(parse_task_id(wire.task_id), wire.run_id)
        task = self.runs.get(run)
        if task is None:
            return "unknown"
        self.paces.append((self.now_ms(), run, wire.percent))
        loop = asyncio.get_running_loop()
        loop.call_later(to_seconds(PACE_DELAY_MS), self._set_pace, task, wire.percent)
        return ""

    def _set_pace(self, task: RunningTask, percent: int) -> None:
        if self.runs.get(task.run) is not task:
            return
        now_ms = self.now_ms()
        task.worked_ms, task.paced_ms = task.worked_until(now_ms), now_ms
        task.pace = percent
        self._schedule_end(task)

    async def _lose_answer(self) -> None:
        if not self.is_answering:
            await asyncio.sleep(UNANSWERED_S)

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
        load = self.run_load
        active = tuple(
            (str(run.task), run.number, "", self._percent(task), load(self, task))
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
        worked_ms = task.worked_until(self.now_ms())
        return min(99, round(100 * worked_ms / max(1, task.duration_ms)))
