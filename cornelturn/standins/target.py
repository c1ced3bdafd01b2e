"""Stand-in for a target instance that runs requests."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from enum import StrEnum

import msgspec
from blacksheep import Application, Content, Request, Response

from cornelturn.http.problems import json_response
from cornelturn.http.routes import add_route, header_text, new_application, path_value
from cornelturn.http.server import HttpServer

TEXT = b"text/plain"


class TargetFault(StrEnum):
    """Faults of a target."""

    NONE = "none"
    FAIL = "fail"
    CRASH_ANSWER = "crash_answer"
    SILENT = "silent"
    LEAVING = "leaving"
    STALE = "stale"


class TaskView(msgspec.Struct, frozen=True):
    """Body of GET /tasks/{request}."""

    state: str
    runs: int
    answer: bytes = b""
    content_type: str = ""


class TaskCount(msgspec.Struct, frozen=True):
    """Body of GET /tasks."""

    running: int


class RunStatistics(msgspec.Struct, frozen=True):
    """Body of GET /statistics."""

    starts: dict[str, int]
    running: int
    peak: int


@dataclass(slots=True)
class TaskRecord:
    """What a target knows of one request."""

    runs: int = 0
    state: str = "running"
    answer: bytes = b""
    left_ms: float = 0.0
    queue: str = ""
    body: bytes = b""


@dataclass(slots=True)
class TargetStandin:
    """Runs requests by sleeping, and counts how often each one started.

    Parameters
    ----------
    name : str
        Name of the instance.
    run_ms : int
        Run time of a request that does not state one in ``Run-Ms``.
    """

    name: str
    host: str = "127.0.0.1"
    port: int = 0
    run_ms: int = 20
    fault: TargetFault = TargetFault.NONE
    tasks: dict[str, TaskRecord] = field(default_factory=dict)
    running: int = 0
    peak: int = 0
    reboots: int = 0
    cut_by_reboot: int = 0
    last: Response | None = None
    checkpoint: asyncio.Event = field(default_factory=asyncio.Event)
    server: HttpServer | None = None

    async def start(self) -> str:
        """Serve and return the base URL."""
        self.server = HttpServer(self._application(), self.host, self.port)
        port = await self.server.start()
        return f"http://{self.host}:{port}"

    async def stop(self) -> None:
        """Stop at once."""
        if self.server is not None:
            self.server.abort()
            await self.server.stop()

    def starts(self) -> dict[str, int]:
        """Return how often each request started."""
        return {request: task.runs for request, task in self.tasks.items()}

    def _application(self) -> Application:
        app = new_application()
        add_route(app, "POST", "/run/{queue}", self._run)
        add_route(app, "GET", "/tasks/{request_id}", self._task)
        add_route(app, "GET", "/tasks", self._task_count)
        add_route(app, "POST", "/checkpoint", self._checkpoint)
        add_route(app, "GET", "/health", self._health)
        add_route(app, "POST", "/reboot", self._reboot)
        add_route(app, "GET", "/statistics", self._statistics)
        add_route(app, "PUT", "/faults/{fault}", self._set_fault)
        return app

    async def _run(self, request: Request) -> Response:
        queue = path_value(request, "queue")
        if self.fault is TargetFault.LEAVING:
            return Response(503, [(b"Leaving", b"true")])
        identity = header_text(request, b"Request-Id")
        body = await request.read() or b""
        record = self.tasks.setdefault(identity, TaskRecord())
        record.runs += 1
        self.running += 1
        self.peak = max(self.peak, self.running)
        try:
            return await self._work(request, queue, body, record)
        finally:
            self.running -= 1

    async def _work(
        self, request: Request, queue: str, body: bytes, record: TaskRecord
    ) -> Response:
        if self.fault is TargetFault.SILENT:
            await asyncio.Event().wait()
        if self.fault is TargetFault.FAIL:
            record.state = "failed"
            return Response(500, content=Content(TEXT, b"target failed"))
        record.queue = queue
        record.body = body
        record.left_ms = int(header_text(request, b"Run-Ms") or self.run_ms)
        if not await self._sleep(record):
            return Response(503, [(b"Checkpointed", b"true")])
        headers = [(b"Attempt-Id", header_text(request, b"Attempt-Id").encode())]
        if self.fault is TargetFault.CRASH_ANSWER:
            await asyncio.Event().wait()
        answer = Response(200, headers, Content(TEXT, record.answer))
        self.last, before = answer, self.last
        if self.fault is TargetFault.STALE and before is not None:
            return before
        return answer

    async def _sleep(self, record: TaskRecord) -> bool:
        """Run to the end; return False if a checkpoint came first."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        waits = {
            asyncio.ensure_future(asyncio.sleep(record.left_ms / 1_000)),
            asyncio.ensure_future(self.checkpoint.wait()),
        }
        try:
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for one in waits:
                one.cancel()
        record.left_ms -= (loop.time() - started_s) * 1_000
        if record.left_ms > 0 and self.checkpoint.is_set():
            record.state = "checkpointed"
            return False
        record.answer = b"%s:%s" % (record.queue.encode(), record.body)
        record.state = "completed"
        return True

    async def _checkpoint(self, request: Request) -> Response:
        self.checkpoint.set()
        return Response(200)

    async def _task_count(self, request: Request) -> Response:
        return json_response(200, TaskCount(self.running))

    async def _resume(self, record: TaskRecord) -> None:
        self.running += 1
        record.state = "running"
        await self._sleep(record)
        self.running -= 1

    async def _task(self, request: Request) -> Response:
        record = self.tasks.get(path_value(request, "request_id"))
        if record is None:
            return Response(404)
        view = TaskView(record.state, record.runs, record.answer, TEXT.decode())
        return json_response(200, view)

    async def _health(self, request: Request) -> Response:
        return Response(200 if self.fault is not TargetFault.FAIL else 503)

    async def _reboot(self, request: Request) -> Response:
        self.reboots += 1
        self.cut_by_reboot += self.running
        self.checkpoint.clear()
        for record in self.tasks.values():
            if record.state == "checkpointed":
                asyncio.ensure_future(self._resume(record))
        return Response(200)

    async def _statistics(self, request: Request) -> Response:
        view = RunStatistics(self.starts(), self.running, self.peak)
        return json_response(200, view)

    async def _set_fault(self, request: Request) -> Response:
        self.fault = TargetFault(path_value(request, "fault"))
        return Response(200)
