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

TEXT_CONTENT_TYPE = b"text/plain"


class TargetFault(StrEnum):
    """Fault of a target.

    With CRASH_ANSWER, a request runs to its end but is never answered; with STALE, it
    is answered with the answer to the previous request.
    """

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
    """State of one request at a target."""

    runs: int = 0
    state: str = "running"
    answer: bytes = b""
    remaining_ms: float = 0.0
    queue: str = ""
    body: bytes = b""


@dataclass(slots=True)
class TargetStandin:
    """Runs requests by sleeping, and counts how often each request started.

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
    peak_running: int = 0
    reboots: int = 0
    interrupted_by_reboot: int = 0
    last_answer: Response | None = None
    checkpoint_requested: asyncio.Event = field(default_factory=asyncio.Event)
    server: HttpServer | None = None

    async def start(self) -> str:
        """Serve and return the base URL."""
        self.server = HttpServer(self._application(), self.host, self.port)
        port = await self.server.start()
        return f"http://{self.host}:{port}"

    async def stop(self) -> None:
        """Stop without waiting for requests in progress."""
        if self.server is not None:
            self.server.abort()
            await self.server.stop()

    def starts(self) -> dict[str, int]:
        """Return how often each request started."""
        return {request: task.runs for request, task in self.tasks.items()}

    def _application(self) -> Application:
        app = new_application()
        add_route(app, "POST", "/run/{queue}", self._run)
        add_route(app, "GET", "/tasks/{request_id}", self._get_task)
        add_route(app, "GET", "/tasks", self._get_task_count)
        add_route(app, "POST", "/checkpoint", self._checkpoint)
        add_route(app, "GET", "/health", self._get_health)
        add_route(app, "POST", "/reboot", self._reboot)
        add_route(app, "GET", "/statistics", self._get_statistics)
        add_route(app, "PUT", "/faults/{fault}", self._put_fault)
        return app

    async def _run(self, request: Request) -> Response:
        queue = path_value(request, "queue")
        if self.fault is TargetFault.LEAVING:
            return Response(503, [(b"Leaving", b"true")])
        request_id = header_text(request, b"Request-Id")
        body = await request.read() or b""
        record = self.tasks.setdefault(request_id, TaskRecord())
        record.runs += 1
        self.running += 1
        self.peak_running = max(self.peak_running, self.running)
        try:
            return await self._run_and_answer(request, queue, body, record)
        finally:
            self.running -= 1

    async def _run_and_answer(
        self, request: Request, queue: str, body: bytes, record: TaskRecord
    ) -> Response:
        if self.fault is TargetFault.SILENT:
            await asyncio.Event().wait()
        if self.fault is TargetFault.FAIL:
            record.state = "failed"
            return Response(500, content=Content(TEXT_CONTENT_TYPE, b"target failed"))
        record.queue = queue
        record.body = body
        record.remaining_ms = int(header_text(request, b"Run-Ms") or self.run_ms)
        if not await self._run_to_end(record):
            return Response(503, [(b"Checkpointed", b"true")])
        headers = [(b"Attempt-Id", header_text(request, b"Attempt-Id").encode())]
        if self.fault is TargetFault.CRASH_ANSWER:
            await asyncio.Event().wait()
        answer = Response(200, headers, Content(TEXT_CONTENT_TYPE, record.answer))
        self.last_answer, previous_answer = answer, self.last_answer
        if self.fault is TargetFault.STALE and previous_answer is not None:
            return previous_answer
        return answer

    async def _run_to_end(self, record: TaskRecord) -> bool:
        """Sleep until the run ends; return False if a checkpoint interrupts it."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        wait_tasks = {
            asyncio.ensure_future(asyncio.sleep(record.remaining_ms / 1_000)),
            asyncio.ensure_future(self.checkpoint_requested.wait()),
        }
        try:
            await asyncio.wait(wait_tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in wait_tasks:
                task.cancel()
        record.remaining_ms -= (loop.time() - started_s) * 1_000
        if record.remaining_ms > 0 and self.checkpoint_requested.is_set():
            record.state = "checkpointed"
            return False
        record.answer = b"%s:%s" % (record.queue.encode(), record.body)
        record.state = "completed"
        return True

    async def _checkpoint(self, request: Request) -> Response:
        self.checkpoint_requested.set()
        return Response(200)

    async def _get_task_count(self, request: Request) -> Response:
        return json_response(200, TaskCount(self.running))

    async def _resume(self, record: TaskRecord) -> None:
        self.running += 1
        record.state = "running"
        await self._run_to_end(record)
        self.running -= 1

    async def _get_task(self, request: Request) -> Response:
        record = self.tasks.get(path_value(request, "request_id"))
        if record is None:
            return Response(404)
        view = TaskView(
            record.state, record.runs, record.answer, TEXT_CONTENT_TYPE.decode()
        )
        return json_response(200, view)

    async def _get_health(self, request: Request) -> Response:
        return Response(200 if self.fault is not TargetFault.FAIL else 503)

    async def _reboot(self, request: Request) -> Response:
        self.reboots += 1
        self.interrupted_by_reboot += self.running
        self.checkpoint_requested.clear()
        for record in self.tasks.values():
            if record.state == "checkpointed":
                asyncio.ensure_future(self._resume(record))
        return Response(200)

    async def _get_statistics(self, request: Request) -> Response:
        view = RunStatistics(self.starts(), self.running, self.peak_running)
        return json_response(200, view)

    async def _put_fault(self, request: Request) -> Response:
        self.fault = TargetFault(path_value(request, "fault"))
        return Response(200)
