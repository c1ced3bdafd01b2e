"""Responses for outcomes and problems, as problem details (RFC 9457) and JSON."""

from __future__ import annotations

import math

import msgspec
from blacksheep import Content, Response

from cornelturn.clock import MILLISECONDS_PER_SECOND
from cornelturn.model.outcome import (
    Completed,
    Failed,
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
    outcome_name,
)

PROBLEM_MEDIA_TYPE = b"application/problem+json"
JSON_MEDIA_TYPE = b"application/json"

REASON_STATUS = {
    NotRunReason.QUEUE_FULL: 429,
    NotRunReason.DEADLINE_UNREACHABLE: 503,
    NotRunReason.DEADLINE_PASSED: 504,
    NotRunReason.NO_FITTING_TARGET: 422,
    NotRunReason.NO_TARGET: 503,
    NotRunReason.TABLE_UNAVAILABLE: 503,
    NotRunReason.UNKNOWN_QUEUE: 404,
    NotRunReason.CANCELLED: 409,
    NotRunReason.SHUTTING_DOWN: 503,
    NotRunReason.TARGET_UNREACHABLE: 503,
}


class Problem(msgspec.Struct, frozen=True, omit_defaults=True):
    """Body of a response that reports a problem (RFC 9457).

    Parameters
    ----------
    type, title, status, detail : str or int
        As RFC 9457 defines them.
    outcome : str
        not_run, failed or unknown.
    reason : str
        Why the request did not run.
    request : str
        Id of the request.
    """

    type: str
    title: str
    status: int
    detail: str = ""
    outcome: str = ""
    reason: str = ""
    request: str = ""


def problem_response(problem: Problem, retry_after_ms: int = 0) -> Response:
    """Return the response for a problem."""
    headers: list[tuple[bytes, bytes]] = []
    if retry_after_ms > 0:
        seconds = max(1, math.ceil(retry_after_ms / MILLISECONDS_PER_SECOND))
        headers.append((b"Retry-After", str(seconds).encode()))
    if problem.request:
        headers.append((b"Request-Id", problem.request.encode()))
    content = Content(PROBLEM_MEDIA_TYPE, msgspec.json.encode(problem))
    return Response(problem.status, headers, content)


def bad_request(status: int, title: str, detail: str = "") -> Response:
    """Return the response to a request that was rejected without any effect."""
    problem = Problem(
        "about:blank", title, status, detail, outcome="not_run", reason="bad_request"
    )
    return problem_response(problem)


def outcome_response(request: str, outcome: Outcome) -> Response:
    """Return the response for the outcome of a request."""
    name = outcome_name(outcome)
    problem_type = f"urn:cornelturn:outcome:{name}"
    match outcome:
        case Completed(body, content_type, target, run_ms):
            headers = [
                (b"Request-Id", request.encode()),
                (b"Outcome", name.encode()),
                (b"Target", target.encode()),
                (b"Run-Ms", str(run_ms).encode()),
            ]
            media_type = content_type.encode() or b"application/octet-stream"
            return Response(200, headers, Content(media_type, body))
        case NotRun(reason, detail, retry_after_ms):
            status = REASON_STATUS[reason]
            title = "The request did not run"
            problem = Problem(
                problem_type, title, status, detail, name, reason.value, request
            )
            return problem_response(problem, retry_after_ms)
        case Failed(detail):
            title = "The target failed"
            problem = Problem(problem_type, title, 502, detail, name, request=request)
            return problem_response(problem)
        case Unknown(detail, _, retry_after_ms):
            title = "Whether the request ran is not known"
            problem = Problem(problem_type, title, 504, detail, name, request=request)
            return problem_response(problem, retry_after_ms)


def json_response(
    status: int, body: object, headers: list[tuple[bytes, bytes]] | None = None
) -> Response:
    """Return a JSON response."""
    return Response(
        status, headers or [], Content(JSON_MEDIA_TYPE, msgspec.json.encode(body))
    )
