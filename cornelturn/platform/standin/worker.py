"""Stand-in of a worker: starts what it is told, holds leases, lists ends."""

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
from cornelturn.platform.standin.answers import json_answer
from cornelturn.platform.standin.judge import Judge
from cornelturn.platform.targets import (
    EXPECT_HEADER,
    WireHold,
    WireRefusal,
    WireReport,
    WireStart,
    WireStop,
)

STOP_MS = 50
"""Time that a run needs to stop."""


@dataclass(slots=True)
class RunningTask:
    """A run on a worker."""

    run: Run
    need: Resources
    started_ms: int
    length_ms: int | None
    timer: asyncio.TimerHandle | None = None


@dataclass(slots=True)
class WorkerStandin:
    """One life of a worker.

    Parameters
    ----------
    length_ms : callable
        Returns how long a run takes, None for ever.
    fails : callable
        Returns whether a run fails.
    late_ms : int
        Time after which starts are carried out without an answer, 0 for none.
    label : str
        Name of this life, for those that run several.
    """

    name: str
    service: str
    capacity: Resources
    judge: Judge
    born_ms: int
    length_ms: Callable[[Run], int | None]
    fails: Callable[[Run], bool] = lambda run: False
    late_ms: int = 0
    address: str = ""
    label: str = ""
    is_draining: bool = False
    rack: str = "r1"
    fence: int = 0
    lease_ms: int = 0
    is_dead: bool = False
    runs: dict[Run, RunningTask] = field(default_factory=dict)
    ends: list[RunEnd] = field(default_factory=list)
    count: int = 0
    barred: dict[object, int] = field(default_factory=dict)
    lease_timer: asyncio.TimerHandle | None = None
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def application(self) -> Application:
        """Return the application of the worker."""
        app = new_application()
        add_route(app, "POST", "/run-start", self.start)
        add_route(app, "POST", "/run-stop", self.stop)
        add_route(app, "POST", "/hold", self.hold)
        return app

    def entry(self) -> bytes:
        """Return what the worker says of itself in the list."""
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
        """End everything at once and answer nothing."""
        self.is_dead = True
        for one in list(self.runs.values()):
            self._remove(one, False)

    async def start(self, request: Request) -> Response:
        """Start a run."""
        if not self._is_meant(request):
            return json_answer(421, {})
        wire = msgspec.json.decode(await request.read() or b"", type=WireStart)
        if self.late_ms:
            await asyncio.sleep(to_seconds(self.late_ms))
            self._start(wire)
            await asyncio.sleep(MILLISECONDS_PER_SECOND)
        reason = self._start(wire)
        if reason:
            return json_answer(409, WireRefusal(reason, self.now_ms()))
        return json_answer(200, {"clock_ms": self.now_ms()})

    async def stop(self, request: Request) -> Response:
        """Stop a run, or bar it."""
        if not self._is_meant(request):
            return json_answer(421, {})
        wire = msgspec.json.decode(await request.read() or b"", type=WireStop)
        if wire.fence_token < self.fence:
            return json_answer(409, WireRefusal("fence", self.now_ms()))
        self.fence = wire.fence_token
        run = Run(parse_task_id(wire.task_id), wire.run_id)
        self._bar(run)
        one = self.runs.get(run)
        if one is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(to_seconds(STOP_MS), self._end, one, EndKind.STOPPED)
        return json_answer(200, {"clock_ms": self.now_ms()})

    async def hold(self, request: Request) -> Response:
        """Renew the lease and list what runs and what has ended."""
        if not self._is_meant(request):
            return json_answer(421, {})
        wire = msgspec.json.decode(await request.read() or b"", type=WireHold)
        if wire.fence_token < self.fence:
            return json_answer(409, WireRefusal("fence", self.now_ms()))
        self.fence = wire.fence_token
        if wire.deadline_ms is not None:
            self._extend(wire.deadline_ms)
        for end in self.ends:
            if end.sequence <= wire.ack_seq:
                self.judge.took_note(end.run, end.kind is EndKind.DONE)
        self.ends = [end for end in self.ends if end.sequence > wire.ack_seq]
        if not self.ends and wire.wait_ms:
            await self._wait(wire.wait_ms)
        return json_answer(200, self._report())

    def now_ms(self) -> int:
        """Return the worker's steady clock."""
        loop = asyncio.get_running_loop()
        return round(loop.time() * MILLISECONDS_PER_SECOND) - self.born_ms

    def _is_meant(self, request: Request) -> bool:
        return header_text(request, EXPECT_HEADER) == self.name

    def _start(self, wire: WireStart) -> str:
        if wire.fence_token < self.fence:
            return "fence"
        self.fence = wire.fence_token
        run = Run(parse_task_id(wire.task_id), wire.run_id)
        if run in self.runs:
            return ""
        if run.number <= self.barred.get(run.task, 0):
            return "old"
        if wire.deadline_ms <= self.now_ms() or self.is_dead:
            return "late"
        self._extend(wire.deadline_ms)
        self._begin(run)
        return ""

    def _begin(self, run: Run) -> None:
        job = self.judge.jobs.get(run.task.job)
        need = job.steps[run.task.step].counted_need() if job else Resources()
        one = RunningTask(run, need, self.now_ms(), self.length_ms(run))
        self.runs[run] = one
        used = Resources()
        for held in self.runs.values():
            used = used.plus(held.need)
        self.judge.started(run, self.name, used, self.capacity, self.now_ms())
        if one.length_ms is not None:
            kind = EndKind.FAILED if self.fails(run) else EndKind.DONE
            loop = asyncio.get_running_loop()
            delay_s = to_seconds(one.length_ms)
            one.timer = loop.call_later(delay_s, self._end, one, kind)

    def _end(self, one: RunningTask, kind: EndKind) -> None:
        if self.runs.get(one.run) is not one:
            return
        self._remove(one, kind is EndKind.DONE)
        self._bar(one.run)
        self.count += 1
        self.ends.append(RunEnd(self.count, one.run, kind))
        self.changed.set()

    def _remove(self, one: RunningTask, is_done: bool) -> None:
        del self.runs[one.run]
        if one.timer is not None:
            one.timer.cancel()
        self.judge.ended(one.run, self.name, is_done)

    def _bar(self, run: Run) -> None:
        self.barred[run.task] = max(self.barred.get(run.task, 0), run.number)

    def _extend(self, deadline_ms: int) -> None:
        self.lease_ms = max(self.lease_ms, deadline_ms)
        if self.lease_timer is not None:
            self.lease_timer.cancel()
        left_s = to_seconds(self.lease_ms - self.now_ms())
        loop = asyncio.get_running_loop()
        self.lease_timer = loop.call_later(left_s, self._lapse)

    def _lapse(self) -> None:
        for one in list(self.runs.values()):
            self._end(one, EndKind.LAPSED)

    async def _wait(self, wait_ms: int) -> None:
        self.changed.clear()
        try:
            async with asyncio.timeout(to_seconds(wait_ms)):
                await self.changed.wait()
        except TimeoutError:
            return

    def _report(self) -> WireReport:
        active = tuple(
            (str(run.task), run.number, "", self._percent(one), 0)
            for run, one in self.runs.items()
        )
        ended = tuple(
            (end.sequence, str(end.run.task), end.run.number, end.kind.value, "")
            for end in self.ends
        )
        return WireReport(self.now_ms(), active, ended, self.born_ms)

    def _percent(self, one: RunningTask) -> int:
        if one.length_ms is None:
            return 100
        elapsed_ms = self.now_ms() - one.started_ms
        return min(99, round(100 * elapsed_ms / max(1, one.length_ms)))
