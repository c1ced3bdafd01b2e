"""Data of the callers' operations: submissions, their results and request status."""

from __future__ import annotations

from dataclasses import dataclass, field

from cornelturn.model.outcome import Outcome
from cornelturn.model.work import Queue, Size
from cornelturn.requests.records import RequestRecord
from cornelturn.requests.target_client import ForwardedHeader


@dataclass(frozen=True, slots=True)
class Submission:
    """A request as a caller submits it.

    Parameters
    ----------
    key : str
        Idempotency key, empty if the caller gave none.
    deadline_ms : int
        Time from arrival to the deadline.
    """

    member: str
    queue: Queue
    payload: bytes
    content_type: str
    deadline_ms: int
    key: str = ""
    size: Size = field(default_factory=Size)
    headers: tuple[ForwardedHeader, ...] = ()


@dataclass(frozen=True, slots=True)
class Answered:
    """The request has an outcome."""

    request: str
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class Accepted:
    """The request is stored and will be driven to its outcome."""

    request: str


@dataclass(frozen=True, slots=True)
class InProgress:
    """A request with the same key has no outcome yet."""

    request: str


@dataclass(frozen=True, slots=True)
class KeyReused:
    """The key was used for a request with another queue or payload."""

    request: str


SubmitResult = Answered | Accepted | InProgress | KeyReused


@dataclass(frozen=True, slots=True)
class RequestStatus:
    """Record of a request, with its outcome if it has ended."""

    record: RequestRecord
    outcome: Outcome | None


@dataclass(frozen=True, slots=True)
class NoSuchRequest:
    """The member has no such request."""


@dataclass(frozen=True, slots=True)
class StatusUnavailable:
    """The table service or the object store is unavailable."""


StatusResult = RequestStatus | NoSuchRequest | StatusUnavailable
