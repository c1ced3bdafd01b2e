"""HTTP interface for the platform's clients: paths, bodies and status codes."""

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
    IdTaken,
    InDoubt,
    JobService,
    NoSuchJob,
    Overloaded,
    Pending,
    PendingOutcome,
    Refused,
    StateOutcome,
    SubmitOutcome,
    TooLarge,
    Unavailable,
)
from cornelturn.model.organisations import key_digest
from cornelturn.model.routes import CallerLimits, QueueMatch, RoutingState
from cornelturn.organisations.access import (
    Caller,
    KeyMissing,
    KeyUndecided,
    KeyUnknown,
    Refusal,
    authenticate,
)
from cornelturn.platform.documents import (
    WirePending,
    WireState,
    decode_job_body,
)

JOB_ID_DIGITS = 16
HEX_DIGITS = frozenset("0123456789abcdef")
NO_CONFIGURATION_RETRY_MS = 1_000
"""Retry delay sent while the entry has no configuration yet."""

STALE_CONFIGURATION_RETRY_MS = 1_000
"""Retry delay sent while the entry waits for a newer configuration."""

DEADLINE_SHARE = 0.8
"""Fraction of a client's deadline that an entry may use. No time is left for a retry at
another entry: a job whose row is on its way to a slow store must not be submitted
again."""

AUTHENTICATION_SCHEME = "Token"
LOGGED_DIGEST_CHARS = 12
"""Characters of a key's digest in the log; enough to tell the keys of one configuration
apart."""

NOT_SERVED_RETRY_MS = 60_000
"""Retry delay sent for a queue that this version does not serve."""


class WireError(msgspec.Struct, frozen=True):
    """Response body of an error."""

    error: str


@dataclass(slots=True)
class Ingress:
    """Request handlers for the platform's clients.

    Parameters
    ----------
    read_routing : callable
        Returns the current configuration and what is known about newer ones.
    has_approvals : bool
        Whether the service that approves targets is configured.
    """

    service: JobService
    read_routing: Callable[[], RoutingState]
    has_approvals: bool = False

    def application(self) -> Application:
        """Return the web application of the listener."""
        app = new_application()
        for method in ("GET", "POST", "DELETE"):
            add_route(app, method, "/*", self.handle)
        return app

    async def handle(self, request: Request) -> Response:
        """Handle one request."""
        routing = self.read_routing()
        table = routing.table
        if table is None:
            return problem_response(
                503, "no configuration yet", NO_CONFIGURATION_RETRY_MS
            )
        path = unquote(request.url.path.decode("latin-1"))
        host = header_text(request, b"host")
        matched = table.find_queue(host, path)
        if matched is None:
            return _no_queue_response(host, path, routing)
        key = key_of(request)
        match authenticate(routing, matched.queue, key):
            case Caller() as caller:
                return await self._handle_call(request, matched, caller, table.limits)
            case refusal:
                self.service.metrics.refused_keys.labels(type(refusal).__name__).inc()
                _log_refused_key(matched.queue.name, key, refusal, routing)
                return _refusal_response(refusal)

    async def _handle_call(
        self,
        request: Request,
        matched: QueueMatch,
        caller: Caller,
        limits: CallerLimits,
    ) -> Response:
        match request.method:
            case "POST":
                return await self._submit(request, matched, caller, limits)
            case "GET" if not matched.path_rest:
                queue = matched.queue
                outcome = await self.service.pending(queue.id(), queue.pool)
                return _pending_response(outcome)
            case "GET" if is_job_id(matched.path_rest):
                outcome = await self.service.state(
                    matched.queue.id(),
                    matched.path_rest,
                    answer_limit_ms(request),
                    caller,
                )
                return _state_response(outcome)
            case "DELETE" if is_job_id(matched.path_rest):
                outcome = await self.service.cancel(
                    matched.queue.id(),
                    matched.path_rest,
                    answer_limit_ms(request),
                    caller,
                )
                return _cancel_response(outcome)
            case _:
                return problem_response(410, "no such job")

    async def _submit(
        self,
        request: Request,
        matched: QueueMatch,
        caller: Caller,
        limits: CallerLimits,
    ) -> Response:
        if not is_job_id(matched.path_rest):
            return problem_response(400, "expected a job id of 16 hexadecimal digits")
        body = await read_body(request, limits.max_body_bytes)
        if body is None:
            return problem_response(
                413, f"expected at most {limits.max_body_bytes} bytes"
            )
        queue = matched.queue
        if queue.approval is not None and not self.has_approvals:
            return problem_response(
                503, "queues with advice are not served", NOT_SERVED_RETRY_MS
            )
        decoded_job = decode_job_body(
            body,
            matched.path_rest,
            queue.name,
            queue.pool,
            caller.organisation,
            queue.id(),
        )
        match decoded_job:
            case Ok(spec):
                outcome = await self.service.submit(
                    spec, matched.versioned_queue(), answer_limit_ms(request)
                )
                return _submit_response(outcome)
            case Err(error):
                return problem_response(400, error.detail)


def _no_queue_response(host: str, path: str, routing: RoutingState) -> Response:
    """Log and return the response to a path that matches no queue."""
    log_event(
        "no_such_queue",
        host=host,
        path=path,
        version=routing.table.version,
        told_version=routing.announced_version,
        age_ms=routing.confirmed_age_ms,
    )
    if routing.is_outdated():
        return problem_response(
            503, "a newer configuration is on its way", STALE_CONFIGURATION_RETRY_MS
        )
    return problem_response(404, "no such queue")


def _log_refused_key(
    queue: str, key: str, refusal: Refusal, routing: RoutingState
) -> None:
    """Log a refused call with the digest of its key, which itself stays secret."""
    log_event(
        "key_refused",
        queue=queue,
        reason=type(refusal).__name__,
        digest=key_digest(key)[:LOGGED_DIGEST_CHARS] if key else "",
        version=routing.table.version,
        told_version=routing.announced_version,
        age_ms=routing.confirmed_age_ms,
    )


def _refusal_response(refusal: Refusal) -> Response:
    match refusal:
        case KeyMissing():
            response = problem_response(401, "expected a key")
        case KeyUnknown():
            response = problem_response(401, "unknown key")
        case KeyUndecided():
            return problem_response(
                503, "the configuration may be outdated", STALE_CONFIGURATION_RETRY_MS
            )
    response.add_header(b"WWW-Authenticate", AUTHENTICATION_SCHEME.encode())
    return response


def key_of(request: Request) -> str:
    """Return the key of a call, empty if it carries none of the expected scheme."""
    scheme, _, key = header_text(request, b"authorization").partition(" ")
    return key.strip() if scheme.lower() == AUTHENTICATION_SCHEME.lower() else ""


def is_job_id(text: str) -> bool:
    """Return whether a text has the form of a job id."""
    return len(text) == JOB_ID_DIGITS and HEX_DIGITS.issuperset(text)


def answer_limit_ms(request: Request) -> int | None:
    """Return the time limit of the response, None if the client sets no deadline."""
    deadline_ms = header_number(request, b"cornelturn-deadline-ms")
    return round(deadline_ms * DEADLINE_SHARE) if deadline_ms is not None else None


async def read_body(request: Request, limit: int) -> bytes | None:
    """Read the body of a request; return None if it exceeds the limit in bytes."""
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


def problem_response(status: int, text: str, retry_after_ms: int = 0) -> Response:
    """Return a response that reports an error.

    ``retry_after_ms`` is sent in whole seconds, rounded up; 0 sends no such header.
    """
    response = _json_response(status, WireError(text))
    if retry_after_ms:
        seconds = math.ceil(retry_after_ms / MILLISECONDS_PER_SECOND)
        response.add_header(b"Retry-After", str(seconds).encode())
    return response


def _json_response(status: int, body: msgspec.Struct) -> Response:
    content = Content(b"application/json", msgspec.json.encode(body))
    return Response(status, content=content)


def _submit_response(outcome: SubmitOutcome) -> Response:
    match outcome:
        case Accepted():
            return Response(200, content=Content(b"application/json", b"{}"))
        case TooLarge(detail):
            return problem_response(400, detail)
        case Refused(retry_after_ms):
            return problem_response(503, "not accepted", retry_after_ms)
        case Overloaded(retry_after_ms, is_over_rate=True):
            return problem_response(429, "over the rate", retry_after_ms)
        case Overloaded(retry_after_ms):
            return problem_response(503, "could not be served in time", retry_after_ms)
        case InDoubt():
            return problem_response(504, "not known whether accepted")
        case IdTaken():
            return problem_response(409, "the job id is in use")


def _state_response(outcome: StateOutcome) -> Response:
    match outcome:
        case Found(state):
            return _json_response(200, WireState(state.value))
        case NoSuchJob():
            return problem_response(410, "no such job")
        case Unavailable(retry_after_ms):
            return problem_response(503, "store unavailable", retry_after_ms)


def _cancel_response(outcome: CancelOutcome) -> Response:
    match outcome:
        case Accepted():
            return Response(200, content=Content(b"application/json", b"{}"))
        case NoSuchJob():
            return problem_response(410, "no such job")
        case Unavailable(retry_after_ms):
            return problem_response(503, "store unavailable", retry_after_ms)
        case InDoubt():
            return problem_response(504, "not known whether cancelled")


def _pending_response(outcome: PendingOutcome) -> Response:
    match outcome:
        case Pending(count):
            return _json_response(200, WirePending(count))
        case Unavailable(retry_after_ms):
            return problem_response(503, "count unknown", retry_after_ms)
