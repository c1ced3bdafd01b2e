"""Stand-in for a worker: it carries out orders and lists active runs and ends."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from review.lib.http import Request, Server

LISTED_ENDS = 500
"""Ends in one answer; the others are returned again later."""

HOLD_MAX_MS = 10_000
STOP_S = 0.05


@dataclass
class TaskRun:
    """A run; ``ends_s`` is its length, None if it lasts."""

    task: str
    number: int
    started_s: float
    length_s: float | None
    timer: asyncio.TimerHandle | None = None


@dataclass
class End:
    """The end of a run."""

    number: int
    task: str
    run: int
    how: str
    at_s: float
    acked_s: float | None = None
    has_lapsed_since: bool = False


class History:
    """What workers have seen of each task, and the starts that broke TWICE."""

    def __init__(self) -> None:
        self.started_s = time.monotonic()
        self.running: dict[str, set[tuple[str, int]]] = {}
        self.done: dict[str, list[End]] = {}
        self.starts: list[tuple[float, str, int, str]] = []
        self.together: list[str] = []
        self.lines: list[str] = []

    def note(self, text: str) -> None:
        """Add a line to the record."""
        self.lines.append(f"{time.monotonic() - self.started_s:8.3f} {text}")

    def begun(self, task: str, run: int, worker: str) -> None:
        """Note a start."""
        others = self.running.setdefault(task, set())
        if others:
            text = f"{task} run {run} on {worker} beside {sorted(others)}"
            self.together.append(text)
            self.note(f"TOGETHER {text}")
        others.add((worker, run))
        self.starts.append((time.monotonic(), task, run, worker))
        self.note(f"run {task}#{run} on {worker}")

    def ended(self, end: End, worker: str) -> None:
        """Note an end."""
        self.running.get(end.task, set()).discard((worker, end.run))
        if end.how == "done":
            self.done.setdefault(end.task, []).append(end)
        self.note(f"end {end.task}#{end.run} on {worker}: {end.how} ({end.number})")

    def starts_after_done(self) -> list[str]:
        """Return the starts after an end `done` that was taken note of."""
        return [
            f"{task} run {run} on {worker} at {at_s - self.started_s:.3f} s, after run "
            f"{end.run} ended done at {end.at_s - self.started_s:.3f} s, taken note of "
            f"at {end.acked_s - self.started_s:.3f} s"
            for at_s, task, run, worker in self.starts
            for end in self.done.get(task, ())
            if end.at_s < at_s and end.acked_s is not None and not end.has_lapsed_since
        ]


@dataclass
class Worker:
    """One life of a worker."""

    name: str
    history: History
    length_s: Callable[[str, int], float | None]
    how: Callable[[str, int], str] = lambda task, run: "done"
    born: int = field(default_factory=lambda: round(time.time() * 1000))
    runs: dict[tuple[str, int], TaskRun] = field(default_factory=dict)
    ends: list[End] = field(default_factory=list)
    end_count: int = 0
    most_ends: int = 0
    fence: int = 0
    closed: dict[str, int] = field(default_factory=dict)
    lease_ms: int = 0
    lease_timer: asyncio.TimerHandle | None = None
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    is_up: bool = True

    def __post_init__(self) -> None:
        self.started_s = time.monotonic()
        self.server = Server(self.handle)

    def clock_ms(self) -> int:
        """Return the steady clock, which starts with this life."""
        return round((time.monotonic() - self.started_s) * 1000)

    async def handle(self, request: Request) -> tuple[int, object]:
        """Answer a call."""
        if request.headers.get("cornelturn-expect-instance") != self.name:
            return 421, {}
        body = request.body
        if body.get("fence_token", 0) < self.fence:
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        self.fence = body.get("fence_token", 0)
        match request.path:
            case "/run-start":
                reason = self._start(body)
                if reason:
                    return 409, {"clock_ms": self.clock_ms(), "reason": reason}
                return 200, {"clock_ms": self.clock_ms()}
            case "/run-stop":
                self._stop(body["task_id"], body["run_id"])
                return 200, {"clock_ms": self.clock_ms()}
            case "/hold":
                return 200, await self._hold(body)
        return 400, {}

    def _start(self, body: dict) -> str:
        task, number = body["task_id"], body["run_id"]
        if (task, number) in self.runs:
            return ""
        if number <= self.closed.get(task, 0):
            self._extend(body["deadline_ms"])
            return "old"
        if body["deadline_ms"] <= self.clock_ms():
            return "late"
        self._extend(body["deadline_ms"])
        run = TaskRun(task, number, time.monotonic(), self.length_s(task, number))
        self.runs[task, number] = run
        self.history.begun(task, number, self.name)
        if run.length_s is not None:
            how = self.how(task, number)
            loop = asyncio.get_running_loop()
            run.timer = loop.call_later(run.length_s, self._end, run, how)
        return ""

    def _stop(self, task: str, number: int) -> None:
        self.closed[task] = max(number, self.closed.get(task, 0))
        run = self.runs.get((task, number))
        if run is not None:
            asyncio.get_running_loop().call_later(STOP_S, self._end, run, "stopped")

    def _end(self, run: TaskRun, how: str) -> None:
        if self.runs.get((run.task, run.number)) is not run:
            return
        del self.runs[run.task, run.number]
        if run.timer is not None:
            run.timer.cancel()
        self.closed[run.task] = max(run.number, self.closed.get(run.task, 0))
        self.end_count += 1
        end = End(self.end_count, run.task, run.number, how, time.monotonic())
        self.ends.append(end)
        self.most_ends = max(self.most_ends, len(self.ends))
        self.history.ended(end, self.name)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def _extend(self, deadline_ms: int) -> None:
        deadline_ms = min(deadline_ms, self.clock_ms() + HOLD_MAX_MS)
        self.lease_ms = max(self.lease_ms, deadline_ms)
        if self.lease_timer is not None:
            self.lease_timer.cancel()
        left_s = (self.lease_ms - self.clock_ms()) / 1000
        loop = asyncio.get_running_loop()
        self.lease_timer = loop.call_later(max(left_s, 0), self._lapse)

    def _lapse(self) -> None:
        self.history.note(f"lease of {self.name} lapsed")
        for end in self.ends:
            end.has_lapsed_since = True
        for run in list(self.runs.values()):
            self._end(run, "lapsed")

    async def _hold(self, body: dict) -> dict:
        if "deadline_ms" in body:
            self._extend(body["deadline_ms"])
        acked = body.get("ack_seq", -1)
        for end in self.ends:
            if end.number <= acked:
                end.acked_s = time.monotonic()
        self.ends = [end for end in self.ends if end.number > acked]
        if not self.ends and body.get("wait_ms"):
            try:
                async with asyncio.timeout(body["wait_ms"] / 1000):
                    await self.changed.wait()
            except TimeoutError:
                pass
        return {
            "clock_ms": self.clock_ms(),
            "born": self.born,
            "active": [
                [run.task, run.number, "", self._percent(run), 0]
                for run in self.runs.values()
            ],
            "finished": [
                [end.number, end.task, end.run, end.how, ""]
                for end in self.ends[:LISTED_ENDS]
            ],
        }

    def _percent(self, run: TaskRun) -> int:
        if run.length_s is None:
            return 100
        return min(99, round(100 * (time.monotonic() - run.started_s) / run.length_s))

    def crash(self, is_dark: bool = False) -> None:
        """End everything without a report; if dark, connections hang from then on."""
        self.is_up = False
        if self.lease_timer is not None:
            self.lease_timer.cancel()
        for run in list(self.runs.values()):
            if run.timer is not None:
                run.timer.cancel()
            self.history.running.get(run.task, set()).discard((self.name, run.number))
            self.history.note(f"lost {run.task}#{run.number} with {self.name}")
        self.runs.clear()
        if is_dark:
            self.server.go_dark()
        else:
            self.server.close()
