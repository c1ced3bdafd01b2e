"""A process with the workers of a pool, as PROTOCOL.md describes them.

The text of a job says in JSON how its tasks behave: `work_ms`, absent for tasks that
last; `gang`, the number of members of a gang; `saves`, whether tasks save checkpoints.
Lines on standard input change the workers. The process prints one JSON line for its
addresses, and one for each event at a worker: starts, stops, ends, and ends that were
taken note of.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import sys
import time
from dataclasses import dataclass, field

import msgspec
from blacksheep import Application, Request, Response

from cornelturn.http.routes import add_route, header_text, new_application
from cornelturn.http.server import HttpServer
from cornelturn.platform.standin.answers import json_response

MAX_LISTED_ENDS = 500
MAX_LEASE_MS = 10_000
"""`hold_max_ms` of the settings."""
STOP_S = 0.05
"""Time that a stop takes; `stop_grace_ms` is 200."""
CHECKPOINT_MS = 1_000
"""`checkpoint_s` of the settings."""
RESTORE_MS = 250
"""`restore_ms` of the settings."""
NO_ANSWER_S = 1_000.0
GANG_TIMEOUT_S = 3.0
"""`gang_timeout_ms` of the settings."""
INSTANCE_HEADER = b"Cornelturn-Expect-Instance"


@dataclass(slots=True)
class Gang:
    """A run of a gang, whose members work while all of them are present.

    Parameters
    ----------
    resumed_ms : int
        Work at which the run resumed.
    """

    size: int
    work_ms: int
    resumed_ms: int
    members: list[ActiveRun] = field(default_factory=list)
    works_since_s: float | None = None
    timer: asyncio.TimerHandle | None = None


@dataclass(slots=True)
class ActiveRun:
    """A run; ``work_ms`` is None for a task that lasts.

    Parameters
    ----------
    resumed_ms : int
        Work at which it resumed.
    """

    worker: Worker
    task: str
    number: int
    work_ms: int | None
    saves: bool
    resumed_ms: int = 0
    started_s: float = 0.0
    timer: asyncio.TimerHandle | None = None
    gang: Gang | None = None

    def worked_ms(self) -> int:
        """Return how much of its work is done."""
        since_s = self.started_s
        if self.gang is not None:
            if self.gang.works_since_s is None:
                return self.resumed_ms
            since_s = self.gang.works_since_s
        passed_ms = int((asyncio.get_running_loop().time() - since_s) * 1_000)
        return min(self.work_ms, self.resumed_ms + max(0, passed_ms))

    def saved(self, now: bool = False) -> str:
        """Return the checkpoint that it has saved, and saves now at a stop."""
        if not self.saves:
            return ""
        worked_ms = self.worked_ms()
        if not now:
            worked_ms -= worked_ms % CHECKPOINT_MS
            worked_ms = max(worked_ms, self.resumed_ms)
        return f"{worked_ms:08x}{self.task[8:16]}" if worked_ms else ""


GANGS: dict[tuple[str, int], Gang] = {}
"""Runs of gangs, by step and run."""


@dataclass(slots=True)
class Worker:
    """One life of a worker."""

    name: str
    started_s: float = field(default_factory=time.monotonic)
    born: int = field(default_factory=lambda: time.time_ns() // 1_000_000)
    fence: int = 0
    lease_end_ms: int = 0
    lease_timer: asyncio.TimerHandle | None = None
    runs: dict[str, ActiveRun] = field(default_factory=dict)
    ends: list[tuple[int, str, int, str, str]] = field(default_factory=list)
    end_count: int = 0
    closed: dict[str, int] = field(default_factory=dict)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    has_crashed: bool = False

    def application(self) -> Application:
        """Return the web application of the worker."""
        app = new_application()
        add_route(app, "POST", "/run-start", self.start)
        add_route(app, "POST", "/run-stop", self.stop)
        add_route(app, "POST", "/hold", self.hold)
        return app

    def clock_ms(self) -> int:
        """Return the steady clock of the worker."""
        return 1 + int((time.monotonic() - self.started_s) * 1_000)

    def emit(self, event: str, **fields: object) -> None:
        """Print an event."""
        line = {"t": round(time.monotonic(), 4), "worker": self.name, "event": event}
        sys.stdout.write(json.dumps(line | fields) + "\n")

    async def _read(self, request: Request) -> dict:
        body = await request.read() or b"{}"
        await self._fall_silent()
        return msgspec.json.decode(body)

    async def _fall_silent(self) -> None:
        """Answer nothing after a crash, as a machine without power."""
        if self.has_crashed:
            await asyncio.sleep(NO_ANSWER_S)

    def _refuse(self, reason: str) -> Response:
        return json_response(409, {"clock_ms": self.clock_ms(), "reason": reason})

    def _done(self) -> Response:
        return json_response(200, {"clock_ms": self.clock_ms()})

    def _is_meant(self, request: Request) -> bool:
        expected = header_text(request, INSTANCE_HEADER)
        return not expected or expected == self.name

    async def start(self, request: Request) -> Response:
        """Start a run."""
        if not self._is_meant(request):
            return json_response(421, {})
        return self._start(await self._read(request))

    def _start(self, order: dict) -> Response:
        token = order.get("fence_token", 0)
        if token < self.fence:
            return self._refuse("fence")
        self.fence = token
        task, number = order["task_id"], order["run_id"]
        active = self.runs.get(task)
        if active is not None and active.number == number:
            return self._done()
        if number <= self.closed.get(task, 0):
            return self._refuse("old")
        if order["deadline_ms"] <= self.clock_ms():
            return self._refuse("late")
        self._extend_lease(order["deadline_ms"])
        self._begin(task, number, order)
        return self._done()

    def _begin(self, task: str, number: int, order: dict) -> None:
        behaviour = json.loads(order.get("spec") or "{}")
        checkpoint = order.get("checkpoint", "")
        resumed_ms = int(checkpoint[:8], 16) if checkpoint else 0
        loop = asyncio.get_running_loop()
        run = ActiveRun(
            self,
            task,
            number,
            behaviour.get("work_ms"),
            behaviour.get("saves", False),
            resumed_ms,
            loop.time() + (RESTORE_MS / 1_000 if checkpoint else 0),
        )
        self.runs[task] = run
        self.emit(
            "start",
            task=task,
            run=number,
            token=order.get("fence_token", 0),
            checkpoint=checkpoint,
        )
        if size := behaviour.get("gang"):
            self._join(run, size)
        elif run.work_ms is not None:
            left_s = (run.work_ms - resumed_ms) / 1_000 + run.started_s - loop.time()
            run.timer = loop.call_later(max(0.0, left_s), self._end, run, "done")

    def _join(self, run: ActiveRun, size: int) -> None:
        """Let a member join its gang, which works once all are present."""
        loop = asyncio.get_running_loop()
        key = (run.task.rpartition(".")[0], run.number)
        gang = GANGS.get(key)
        if gang is None:
            gang = GANGS[key] = Gang(size, run.work_ms, run.resumed_ms)
            gang.timer = loop.call_later(GANG_TIMEOUT_S, self._end_all, gang, "alone")
        run.gang = gang
        gang.members.append(run)
        if len(gang.members) == size:
            gang.timer.cancel()
            gang.works_since_s = loop.time()
            left_s = (gang.work_ms - gang.resumed_ms) / 1_000
            gang.timer = loop.call_later(left_s, self._end_all, gang, "done")

    @staticmethod
    def _end_all(gang: Gang, how: str) -> None:
        """End all members of a gang that are present."""
        gang.timer.cancel()
        for member in list(gang.members):
            gang.members.remove(member)
            member.worker._end(member, how)

    def crash(self) -> None:
        """End without a trace; the other members of its gangs end as broken."""
        self.emit("crash")
        self.has_crashed = True
        lost, self.runs = list(self.runs.values()), {}
        for run in lost:
            if run.timer is not None:
                run.timer.cancel()
            if run.gang is not None and run in run.gang.members:
                run.gang.members.remove(run)
                self._end_all(run.gang, "broken")

    def restart(self) -> None:
        """Start again under the same id, knowing nothing of before."""
        self.has_crashed = False
        self.started_s = time.monotonic()
        self.born = time.time_ns() // 1_000_000
        self.fence = self.lease_end_ms = self.end_count = 0
        self.runs, self.ends, self.closed = {}, [], {}
        if self.lease_timer is not None:
            self.lease_timer.cancel()
        self.emit("restart", born=self.born)

    async def stop(self, request: Request) -> Response:
        """Stop a run, and bar its start."""
        if not self._is_meant(request):
            return json_response(421, {})
        order = await self._read(request)
        token = order.get("fence_token", 0)
        if token < self.fence:
            return self._refuse("fence")
        self.fence = token
        task, number = order["task_id"], order["run_id"]
        self.emit("stop", task=task, run=number, token=token)
        self.closed[task] = max(self.closed.get(task, 0), number)
        run = self.runs.get(task)
        if run is not None and run.number == number:
            loop = asyncio.get_running_loop()
            loop.call_later(STOP_S, self._end, run, "stopped")
        return self._done()

    async def hold(self, request: Request) -> Response:
        """Renew the lease, forget ends that were taken note of, and list the others."""
        if not self._is_meant(request):
            return json_response(421, {})
        order = await self._read(request)
        token = order.get("fence_token", 0)
        if token < self.fence:
            return self._refuse("fence")
        self.fence = token
        if order.get("deadline_ms") is not None:
            self._extend_lease(order["deadline_ms"])
        acknowledged = order.get("ack_seq", 0)
        noted = [end for end in self.ends if end[0] <= acknowledged]
        if noted:
            self.ends = [end for end in self.ends if end[0] > acknowledged]
            self.emit("noted", upto=acknowledged, ends=len(noted))
        wait_ms = min(order.get("wait_ms", 0), 2_000)
        if wait_ms and not self.ends:
            self.changed.clear()
            try:
                async with asyncio.timeout(wait_ms / 1_000):
                    await self.changed.wait()
            except TimeoutError:
                pass
            await self._fall_silent()
        return json_response(
            200,
            {
                "clock_ms": self.clock_ms(),
                "born": self.born,
                "active": [self._row(run) for run in self.runs.values()],
                "finished": self.ends[:MAX_LISTED_ENDS],
            },
        )

    def _row(self, run: ActiveRun) -> tuple[str, int, str, int, int]:
        if run.work_ms is None:
            return run.task, run.number, "", 100, 0
        percent = 100 * run.worked_ms() // run.work_ms
        return run.task, run.number, run.saved(), min(99, percent), 0

    def _end(self, run: ActiveRun, how: str) -> None:
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        if run.timer is not None:
            run.timer.cancel()
        self.closed[run.task] = max(self.closed.get(run.task, 0), run.number)
        self.end_count += 1
        saved = "" if how == "done" or run.work_ms is None else run.saved(now=True)
        self.ends.append((self.end_count, run.task, run.number, how, saved))
        self.emit(
            "end",
            task=run.task,
            run=run.number,
            how=how,
            seq=self.end_count,
            saved=saved,
        )
        self.changed.set()
        if run.gang is not None and run in run.gang.members:
            run.gang.members.remove(run)
            self._end_all(run.gang, "broken")

    def _extend_lease(self, deadline_ms: int) -> None:
        limit_ms = self.clock_ms() + MAX_LEASE_MS
        self.lease_end_ms = max(self.lease_end_ms, min(deadline_ms, limit_ms))
        if self.lease_timer is not None:
            self.lease_timer.cancel()
        left_s = (self.lease_end_ms - self.clock_ms()) / 1_000
        loop = asyncio.get_running_loop()
        self.lease_timer = loop.call_later(max(0.0, left_s), self._lapse)

    def _lapse(self) -> None:
        for run in list(self.runs.values()):
            self._end(run, "lapsed")


async def serve(arguments: argparse.Namespace) -> None:
    """Serve the workers until standard input ends; lines there change their state."""
    workers: dict[str, Worker] = {}
    servers: list[HttpServer] = []
    rows = []
    for number in range(arguments.workers):
        name = f"i-{random.getrandbits(32):08x}"
        worker = Worker(name)
        server = HttpServer(worker.application(), "127.0.0.1", 0)
        port = await server.start()
        servers.append(server)
        workers[name] = worker
        rows.append({"name": name, "port": port, "born": worker.born, "n": number})
    print(json.dumps({"event": "workers", "workers": rows}), flush=True)
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    flushing = asyncio.create_task(flush_often())
    while line := await reader.readline():
        change = json.loads(line)
        if crashed := change.get("crash"):
            workers[crashed].crash()
        if restarted := change.get("restart"):
            workers[restarted].restart()
    flushing.cancel()
    for server in servers:
        server.abort()


async def flush_often() -> None:
    """Pass events on a few times a second."""
    while True:
        await asyncio.sleep(0.05)
        sys.stdout.flush()


def main() -> None:
    """Read the arguments and serve."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--workers", type=int, required=True)
    asyncio.run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
