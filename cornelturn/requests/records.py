"""Rows of non-idempotent and durable requests: their fields, keys and encoding.

They outlast the entry that drives a request, so that another one can take it over.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import StrEnum
from hashlib import sha256

import msgspec

from cornelturn.model.outcome import (
    Completed,
    Failed,
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
)
from cornelturn.model.work import Size

REQUEST_PREFIX = "request/"
OPEN_PREFIX = "open/"
MAX_INLINE_BYTES = 32 * 1024
DIGEST_LENGTH = 32


class RequestState(StrEnum):
    """State of a request according to its row."""

    ACCEPTED = "accepted"
    STARTED = "started"
    COMPLETED = "completed"
    NOT_RUN = "not_run"
    FAILED = "failed"
    UNKNOWN = "unknown"


OPEN_STATES = (RequestState.ACCEPTED, RequestState.STARTED)


@dataclass(frozen=True, slots=True)
class Blob:
    """Bytes in the row, or in the object store if `object_key` is set."""

    inline: bytes = b""
    object_key: str = ""


@dataclass(frozen=True, slots=True)
class RequestRecord:
    """Row of a non-idempotent or durable request.

    Parameters
    ----------
    request, member, queue : str
        Identity of the request.
    state : RequestState
        State of the request.
    fingerprint : str
        Digest of queue and payload, to detect a key that is reused for another request.
    driver : str
        Entry that drives the request to its outcome.
    driver_incarnation : int
        Incarnation of the driver.
    is_durable : bool
        Whether it was accepted to run later; the payload is stored then.
    deadline_ms : int
        Time from acceptance to deadline.
    size : Size
        Declared size.
    payload : Blob
        Payload of a durable request.
    content_type : str
        Media type of the payload; once completed, that of the answer.
    attempt, target, target_address : str
        Attempt that started it, and its target.
    answer : Blob
        Answer of the target.
    reason, detail : str
        Why it did not run, failed, or has an unknown outcome.
    run_ms : int
        Run time.
    is_on_time : bool
        Whether it completed before its deadline.
    """

    request: str
    member: str
    queue: str
    state: RequestState
    fingerprint: str
    driver: str
    driver_incarnation: int
    is_durable: bool = False
    deadline_ms: int = 0
    size: Size = field(default_factory=Size)
    payload: Blob = field(default_factory=Blob)
    content_type: str = "application/octet-stream"
    attempt: str = ""
    target: str = ""
    target_address: str = ""
    answer: Blob = field(default_factory=Blob)
    reason: str = ""
    detail: str = ""
    run_ms: int = 0
    is_on_time: bool = False

    def is_open(self) -> bool:
        """Return whether the request has no outcome yet."""
        return self.state in OPEN_STATES

    def is_driven_by(self, entry: str, incarnation: int) -> bool:
        """Return whether an incarnation of an entry drives the request."""
        return self.driver == entry and self.driver_incarnation == incarnation


def request_key(member: str, request: str) -> str:
    """Return the key of the row of a request."""
    return f"{REQUEST_PREFIX}{member}/{request}"


def open_key(driver: str, incarnation: int, member: str, request: str) -> str:
    """Return the key of the row that lists a request under its driver."""
    return f"{open_prefix(driver, incarnation)}{member}/{request}"


def open_prefix(driver: str, incarnation: int) -> str:
    """Return the prefix of the keys that list an incarnation's open requests."""
    return f"{OPEN_PREFIX}{driver}/{incarnation}/"


def record_open_key(record: RequestRecord) -> str:
    """Return the key of the row that lists the record under its present driver."""
    return open_key(
        record.driver, record.driver_incarnation, record.member, record.request
    )


def request_id_of(member: str, key: str) -> str:
    """Return the request id derived from an idempotency key of a member."""
    return sha256(f"{member}\0{key}".encode()).hexdigest()[:DIGEST_LENGTH]


def fingerprint_of(queue: str, payload: bytes) -> str:
    """Return a digest of the queue and the payload of a request."""
    return sha256(queue.encode() + b"\0" + payload).hexdigest()[:DIGEST_LENGTH]


def encode_record(record: RequestRecord) -> str:
    """Return the JSON text of a record."""
    return msgspec.json.encode(record).decode()


def decode_record(text: str) -> RequestRecord:
    """Return the record of a JSON text.

    Raises
    ------
    msgspec.DecodeError
        If the row was not written by this program.
    """
    return msgspec.json.decode(text, type=RequestRecord)


def with_outcome(
    record: RequestRecord, outcome: Outcome, answer: Blob, is_on_time: bool
) -> RequestRecord:
    """Return the record with its outcome."""
    match outcome:
        case Completed(_, content_type, target, run_ms):
            return replace(
                record,
                state=RequestState.COMPLETED,
                content_type=content_type,
                target=target,
                run_ms=run_ms,
                answer=answer,
                is_on_time=is_on_time,
            )
        case NotRun(reason, detail):
            return replace(
                record, state=RequestState.NOT_RUN, reason=reason.value, detail=detail
            )
        case Failed(detail, target):
            return replace(
                record, state=RequestState.FAILED, detail=detail, target=target
            )
        case Unknown(detail, target):
            return replace(
                record, state=RequestState.UNKNOWN, detail=detail, target=target
            )


def outcome_of(record: RequestRecord, body: bytes) -> Outcome | None:
    """Return the recorded outcome, None while the request is open."""
    match record.state:
        case RequestState.COMPLETED:
            return Completed(body, record.content_type, record.target, record.run_ms)
        case RequestState.NOT_RUN:
            return NotRun(NotRunReason(record.reason), record.detail)
        case RequestState.FAILED:
            return Failed(record.detail, record.target)
        case RequestState.UNKNOWN:
            return Unknown(record.detail, record.target)
        case RequestState.ACCEPTED | RequestState.STARTED:
            return None
