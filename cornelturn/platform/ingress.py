"""The interface of the platform's clients: paths, bodies and statuses."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import unquote

import msgspec
from blacksheep import Application, Content, Request, Response
from result import Err, Ok

from cornelturn.clock import MILLISECONDS_PER_SECOND
from cornelturn.events.log import log_event
from cornelturn.http.routes import (
    add_route,
    header_number,
    header_text,
    new_application,
)
from cornelturn.jobs.service import (
    Accepted,
    CancelOutcome,
    Found,
    InDoubt,
    JobService,
    NoSuchJob,
    Pending,
    PendingOutcome,
    Refused,
    StateOutcome,
    SubmitOutcome,
    Unavailable,
)
from cornelturn.model.routes import CallerLimits, FoundQueue, RoutingKnowledge
from cornelturn.platform.documents import (
    WirePending,
    WireState,
    decode_job_body,
)

JOB_ID_DIGITS = 16
HEX_DIGITS = frozenset("0123456789abcdef")
START_RETRY_MS = 1_000
"""When a client may come again to an entry that has no configuration yet."""

BEHIND_RETRY_MS = 1_000
"""When a client may come again to an entry that gets a newer configuration."""

CALLER_SHARE = 0.8
"""Part of a client's time in which an entry answers: a job whose row is on its way to
a slow store must not be handed in again, so another entry would be of no use."""

NOT_SERVED_MS = 60_000
"""When a client may come again to a queue that this version does not serve."""


class WireError(msgspec.Struct, frozen=True):
    """Body of an answer that reports a problem."""

    error: str


@dataclass(slots=True)
class Ingress:
    """Handlers of the platform's clients.

    Parameters
    ----------
    routing : callable
        Returns the configuration in force with what is known of newer ones.
    """

    service: JobService
    routing: Callable[[], RoutingKnowledge]

    def application(self) -> Application:
        """Return the application of the listener."""
        app = new_application()
        for method in ("GET", "POST", "DELETE"):
            add_route(app, method, "/*", self.handle)
        return app

    async def handle(self, request: Request) -> Response:
        """Answer one request."""
        known = self.routing()
        table = known.table
        if table is None:
            return problem(503, "no configuration yet", START_RETRY_MS)
        path = unquote(request.url.path.decode("latin-1"))
        host = header_text(request, b"host")
        found = table.find(host, path)
        if found is None:
            return _no_such_queue(host, path, known)
        match request.method:
            case "POST":
                return await self._submit(request, found, table.limits)
            case "GET" if not found.rest:
                queue = found.queue
                outcome = await self.service.pending(queue.name, queue.pool)
                return _pending_response(outcome)
            case "GET" if is_job_id(found.rest):
                outcome = await self.service.state(
                    found.queue.name, found.rest, limit_ms(request)
                )
                return _state_response(outcome)
            case "DELETE" if is_job_id(found.rest):
                outcome = await self.service.cancel(
                    found.queue.name, found.rest, limit_ms(request)
                )
                return _cancel_response(outcome)
            case _:
                return problem(410, "no such job")

    async def _submit(
        self, request: Request, found: FoundQueue, limits: CallerLimits
    ) -> Response:
        if not is_job_id(found.rest):
            return problem(400, "expected a job id of 16 hexadecimal digits")
        body = await read_limited(request, limits.max_body_bytes)
        if body is None:
            return problem(413, f"expected at most {limits.max_body_bytes} bytes")
        queue = found.queue
        if queue.needs_advice:
            return problem(503, "queues with advice are not served", NOT_SERVED_MS)
        match decode_job_body(body, found.rest, queue.name, queue.pool):
            case Ok(spec):
                outcome = await self.service.submit(spec, limit_ms(request))
                return _submit_response(outcome)
            case Err(error):
                return problem(400, error.detail)


def _no_such_queue(host: str, path: str, known: RoutingKnowledge) -> Response:
    """Return the answer where the configuration in force names no queue."""
    log_event(
        "no_such_queue",
        host=host,
        path=path,
        version=known.table.version,
        told_version=known.told_version,
        age_ms=known.age_ms,
    )
    if known.is_behind():
        return problem(503, "a newer configuration is on its way", BEHIND_RETRY_MS)
    return problem(404, "no such queue")


def is_job_id(text: str) -> bool:
    """Return whether a text has the form of a job's name."""
    return len(text) == JOB_ID_DIGITS and HEX_DIGITS.issuperset(text)


def limit_ms(request: Request) -> int | None:
    """Return the time that this entry may take, None if the client sets none."""
    deadline_ms = header_number(request, b"cornelturn-deadline-ms")
    return round(deadline_ms * CALLER_SHARE) if deadline_ms is not None else None


async def read_limited(request: Request, limit: int) -> bytes | None:
    """Return the body of a request, None if it is longer than a limit."""
    declared = header_number(request, b"content-length")
    if declared is not None and declared > limit:
        return None
    parts: list[bytes] = []
    size = 0
    async for part in request.stream():
        size += len(part)
        if size > limit:
            return None
        parts.append(part)
    return b"".join(parts)


def problem(status: int, text: str, retry_after_ms: int = 0) -> Response:
    """Return an answer that reports a problem."""
    response = _json(status, WireError(text))
    if retry_after_ms:
        seconds = math.ceil(retry_after_ms / MILLISECONDS_PER_SECOND)
        response.add_header(b"Retry-After", str(seconds).encode())
    return response


def _json(status: int, body: msgspec.Struct) -> Response:
    content = Content(b"application/json", msgspec.json.encode(body))
    return Response(status, content=content)


def _submit_response(outcome: SubmitOutcome) -> Response:
    match outcome:
        case Accepted():
            return Response(200, content=Content(b"application/json", b"{}"))
        case Refused(retry_after_ms):
            return problem(503, "not accepted", retry_after_ms)
        case InDoubt():
            return problem(504, "not known whether accepted")


def _state_response(outcome: StateOutcome) -> Response:
    match outcome:
        case Found(state):
            return _json(200, WireState(state.value))
        case NoSuchJob():
            return problem(410, "no such job")
        case Unavailable(retry_after_ms):
            return problem(503, "store unavailable", retry_after_ms)


def _cancel_response(outcome: CancelOutcome) -> Response:
    match outcome:
        case Accepted():
            return Response(200, content=Content(b"application/json", b"{}"))
        case NoSuchJob():
            return problem(410, "no such job")
        case Unavailable(retry_after_ms):
            return problem(503, "store unavailable", retry_after_ms)
        case InDoubt():
            return problem(504, "not known whether cancelled")


def _pending_response(outcome: PendingOutcome) -> Response:
    match outcome:
        case Pending(count):
            return _json(200, WirePending(count))
        case Unavailable(retry_after_ms):
            return problem(503, "count unknown", retry_after_ms)
