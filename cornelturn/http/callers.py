"""HTTP API for callers: submit requests, read their state and answers, cancel them."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
from blacksheep import Application, Request, Response

from cornelturn.http.auth import TokenHolder, authenticate
from cornelturn.http.problems import (
    Problem,
    bad_request,
    json_response,
    outcome_response,
    problem_response,
)
from cornelturn.http.routes import (
    add_health_routes,
    add_route,
    header_number,
    header_text,
    new_application,
    path_value,
)
from cornelturn.model.configuration import Configuration
from cornelturn.model.decoding import parse_number
from cornelturn.model.outcome import Completed, outcome_name
from cornelturn.model.work import Queue, Size
from cornelturn.requests.records import RequestRecord
from cornelturn.requests.service import RequestService
from cornelturn.requests.submission import (
    Accepted,
    Answered,
    InProgress,
    KeyReused,
    NoSuchRequest,
    RequestStatus,
    StatusResult,
    StatusUnavailable,
    Submission,
    SubmitResult,
)
from cornelturn.requests.target_client import ForwardedHeader

MAX_CORES = 100_000.0
MAX_MEMORY_MB = 100_000_000
FORWARDED_HEADERS = (b"Run-Ms", b"Traceparent")
IDEMPOTENCY_KEY_PATTERN = re.compile(r'^"?[\x21\x23-\x7e]{1,200}"?$')
HEADER_VALUE_PATTERN = re.compile(r"^[\x21-\x7e]([\x20-\x7e]{0,510}[\x21-\x7e])?$")
REQUEST_ID_PATTERN = re.compile(r"^[0-9a-f]{32}$")
RETRY_AFTER_MS = 1_000


class RequestView(msgspec.Struct, frozen=True, omit_defaults=True):
    """Body of GET /requests/{id}."""

    request: str
    queue: str
    state: str
    outcome: str = ""
    reason: str = ""
    detail: str = ""
    target: str = ""
    run_ms: int = 0
    answer: str = ""


@dataclass(frozen=True, slots=True)
class BadInput:
    """Why a request is invalid, as the status and problem of its response."""

    status: int
    title: str
    detail: str


@dataclass(frozen=True, slots=True)
class MemberRequest:
    """A request id and the authenticated member that sent it."""

    member: str
    request: str


@dataclass(slots=True)
class CallersApi:
    """Handlers of the callers' listener.

    Parameters
    ----------
    configuration : callable
        Returns the configuration in force.
    is_ready : callable
        Returns whether the load balancer should send requests to this entry.
    """

    service: RequestService
    members: tuple[TokenHolder, ...]
    configuration: Callable[[], Configuration]
    is_ready: Callable[[], bool]
    max_body_bytes: int
    max_deadline_ms: int

    def application(self) -> Application:
        """Return the application with the routes of the listener."""
        app = new_application()
        add_route(app, "POST", "/queues/{queue}/requests", self.post_request)
        add_route(app, "GET", "/requests/{request_id}", self.get_request)
        add_route(app, "GET", "/requests/{request_id}/answer", self.get_answer)
        add_route(app, "DELETE", "/requests/{request_id}", self.delete_request)
        add_health_routes(app, self.is_ready)
        return app

    async def post_request(self, request: Request) -> Response:
        """Run a request and return its outcome, or accept it and run it later."""
        member = authenticate(request, self.members)
        if member is None:
            return _unauthorized()
        queue = self.configuration().queue(path_value(request, "queue"))
        if queue is None:
            return bad_request(404, "No such queue")
        submission = await self._read_submission(request, member.name, queue)
        if isinstance(submission, BadInput):
            return bad_request(submission.status, submission.title, submission.detail)
        is_durable = _prefers_async(request)
        result = await self.service.submit(submission, is_durable)
        return _submit_response(result)

    async def get_request(self, request: Request) -> Response:
        """Return the state of a request."""
        match self._member_request(request):
            case MemberRequest(member, request_id):
                return _status_response(await self.service.status(member, request_id))
            case response:
                return response

    async def get_answer(self, request: Request) -> Response:
        """Return the answer of a request, or a problem if there is none."""
        match self._member_request(request):
            case MemberRequest(member, request_id):
                status = await self.service.status(member, request_id)
            case response:
                return response
        match status:
            case RequestStatus(_, outcome) if outcome is not None:
                return outcome_response(request_id, outcome)
            case RequestStatus():
                return _in_progress(request_id)
            case _:
                return _status_response(status)

    async def delete_request(self, request: Request) -> Response:
        """Cancel a request that has not started."""
        match self._member_request(request):
            case MemberRequest(member, request_id):
                return _status_response(await self.service.cancel(member, request_id))
            case response:
                return response

    def _member_request(self, request: Request) -> MemberRequest | Response:
        member = authenticate(request, self.members)
        if member is None:
            return _unauthorized()
        request_id = path_value(request, "request_id")
        if not REQUEST_ID_PATTERN.match(request_id):
            return bad_request(404, "No such request")
        return MemberRequest(member.name, request_id)

    async def _read_submission(
        self, request: Request, member: str, queue: Queue
    ) -> Submission | BadInput:
        payload = await self._read_payload(request)
        if isinstance(payload, BadInput):
            return payload
        deadline_ms = _parse_number_header(
            request, b"Request-Timeout-Ms", self.max_deadline_ms
        )
        if isinstance(deadline_ms, BadInput):
            return deadline_ms
        size = _parse_size(request)
        if isinstance(size, BadInput):
            return size
        headers = _forwarded_headers(request)
        if isinstance(headers, BadInput):
            return headers
        content_type = (
            header_text(request, b"Content-Type") or "application/octet-stream"
        )
        if not HEADER_VALUE_PATTERN.match(content_type):
            return BadInput(400, "Bad Content-Type", "expected printable characters")
        key = header_text(request, b"Idempotency-Key")
        if key and not IDEMPOTENCY_KEY_PATTERN.match(key):
            detail = "expected 1 to 200 printable characters"
            return BadInput(400, "Bad Idempotency-Key", detail)
        return Submission(
            member=member,
            queue=queue,
            payload=payload,
            content_type=content_type,
            deadline_ms=deadline_ms or queue.deadline_ms,
            key=key.strip('"'),
            size=size,
            headers=headers,
        )

    async def _read_payload(self, request: Request) -> bytes | BadInput:
        too_large = BadInput(
            413, "Body too large", f"expected {self.max_body_bytes} bytes at most"
        )
        declared = header_number(request, b"Content-Length")
        if declared is not None and declared > self.max_body_bytes:
            return too_large
        body = bytearray()
        async for chunk in request.stream():
            body += chunk
            if len(body) > self.max_body_bytes:
                return too_large
        return bytes(body)


def _parse_number_header(request: Request, name: bytes, maximum: int) -> int | BadInput:
    text = header_text(request, name)
    if not text:
        return 0
    number = parse_number(text)
    if number is None or not 1 <= number <= maximum:
        title = f"Bad {name.decode()}"
        return BadInput(400, title, f"expected 1 to {maximum}, found {text[:40]}")
    return number


def _parse_size(request: Request) -> Size | BadInput:
    memory_mb = _parse_number_header(request, b"Work-Memory-Mb", MAX_MEMORY_MB)
    if isinstance(memory_mb, BadInput):
        return memory_mb
    run_ms = _parse_number_header(request, b"Work-Run-Ms", 7 * 24 * 3_600_000)
    if isinstance(run_ms, BadInput):
        return run_ms
    text = header_text(request, b"Work-Cores")
    try:
        cores = float(text or 0)
    except ValueError:
        cores = -1.0
    if not 0 <= cores <= MAX_CORES:
        return BadInput(
            400, "Bad Work-Cores", f"expected 0 to {MAX_CORES:g}, found {text[:40]}"
        )
    return Size(cores, memory_mb, run_ms)


def _forwarded_headers(request: Request) -> tuple[ForwardedHeader, ...] | BadInput:
    forwarded: list[ForwardedHeader] = []
    for name in FORWARDED_HEADERS:
        text = header_text(request, name)
        if text and not HEADER_VALUE_PATTERN.match(text):
            title = f"Bad {name.decode()}"
            return BadInput(400, title, "expected printable characters")
        if text:
            forwarded.append(ForwardedHeader(name, text.encode()))
    return tuple(forwarded)


def _prefers_async(request: Request) -> bool:
    preferences = header_text(request, b"Prefer").lower().split(",")
    return any(preference.strip() == "respond-async" for preference in preferences)


def _unauthorized() -> Response:
    response = bad_request(401, "Expected a member's bearer token")
    response.add_header(b"WWW-Authenticate", b"Bearer")
    return response


def _submit_response(result: SubmitResult) -> Response:
    match result:
        case Answered(request, outcome):
            return outcome_response(request, outcome)
        case Accepted(request):
            location = f"/requests/{request}".encode()
            headers = [
                (b"Location", location),
                (b"Preference-Applied", b"respond-async"),
                (b"Request-Id", request.encode()),
            ]
            return json_response(
                202, {"request": request, "status": f"/requests/{request}"}, headers
            )
        case InProgress(request):
            return _in_progress(request)
        case KeyReused(request):
            problem = Problem(
                "urn:cornelturn:key-reused",
                "The Idempotency-Key stands for another request",
                422,
                request=request,
            )
            return problem_response(problem)


def _in_progress(request: str) -> Response:
    problem = Problem(
        "urn:cornelturn:in-progress",
        "The request has not come to its outcome yet",
        409,
        request=request,
    )
    return problem_response(problem, RETRY_AFTER_MS)


def _status_response(status: StatusResult) -> Response:
    match status:
        case RequestStatus(record, outcome):
            name = "" if outcome is None else outcome_name(outcome)
            has_answer = isinstance(outcome, Completed)
            return json_response(200, request_view(record, name, has_answer))
        case NoSuchRequest():
            return bad_request(404, "No such request")
        case StatusUnavailable():
            problem = Problem(
                "urn:cornelturn:table-unavailable", "The state cannot be read now", 503
            )
            return problem_response(problem, RETRY_AFTER_MS)


def request_view(record: RequestRecord, outcome: str, has_answer: bool) -> RequestView:
    """Return the view of a record for callers."""
    return RequestView(
        request=record.request,
        queue=record.queue,
        state=record.state.value,
        outcome=outcome,
        reason=record.reason,
        detail=record.detail,
        target=record.target,
        run_ms=record.run_ms,
        answer=f"/requests/{record.request}/answer" if has_answer else "",
    )
