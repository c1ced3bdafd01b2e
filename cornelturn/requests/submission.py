"""A request as it arrives, and what can be told of it."""

from __future__ import annotations

from dataclasses import dataclass, field

from cornelturn.model.outcome import Outcome
from cornelturn.model.work import Queue, Size
from cornelturn.requests.records import RequestRecord
from cornelturn.requests.target_client import ForwardedHeader


@dataclass(frozen=True, slots=True)
class Submission:
    """A request as it arrives.

    Parameters
    ----------
    key : str
        Idempotency key, empty if the caller gave none.
    deadline_ms : int
        Time until the deadline.
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
    """The outcome of a request."""

    request: str
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class Accepted:
    """The request is kept and will be driven to its outcome."""

    request: str


@dataclass(frozen=True, slots=True)
class InProgress:
    """A request with the same key has not come to its outcome yet."""

    request: str


@dataclass(frozen=True, slots=True)
class KeyReused:
    """The key stands for a request with another queue or payload."""

    request: str


SubmitResult = Answered | Accepted | InProgress | KeyReused


@dataclass(frozen=True, slots=True)
class RequestStatus:
    """State of a recorded request, with its outcome once there is one."""

    record: RequestRecord
    outcome: Outcome | None


@dataclass(frozen=True, slots=True)
class NoSuchRequest:
    """There is no such request of this member."""


@dataclass(frozen=True, slots=True)
class StatusUnavailable:
    """The table service did not answer."""


StatusResult = RequestStatus | NoSuchRequest | StatusUnavailable
