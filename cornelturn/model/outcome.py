"""Outcomes of a request as its caller sees them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class NotRunReason(StrEnum):
    """Why a request did not run."""

    QUEUE_FULL = "queue_full"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_PASSED = "deadline_passed"
    NO_FITTING_TARGET = "no_fitting_target"
    NO_TARGET = "no_target"
    TABLE_UNAVAILABLE = "table_unavailable"
    UNKNOWN_QUEUE = "unknown_queue"
    CANCELLED = "cancelled"
    SHUTTING_DOWN = "shutting_down"
    TARGET_UNREACHABLE = "target_unreachable"


@dataclass(frozen=True, slots=True)
class Completed:
    """The target answered in full.

    Parameters
    ----------
    body : bytes
        Body of the answer.
    content_type : str
        Media type of the answer.
    target : str
        Instance that ran the request.
    run_ms : int
        Time between the first byte sent and the last byte received.
    """

    body: bytes
    content_type: str
    target: str
    run_ms: int


@dataclass(frozen=True, slots=True)
class NotRun:
    """No byte of the request reached any target."""

    reason: NotRunReason
    detail: str = ""
    retry_after_ms: int = 0


@dataclass(frozen=True, slots=True)
class Failed:
    """The request started and the target reported a failure."""

    detail: str
    target: str = ""


@dataclass(frozen=True, slots=True)
class Unknown:
    """Whether the request ran is unknown.

    It was sent and no answer came, or the row of its key could not be read.
    """

    detail: str
    target: str = ""
    retry_after_ms: int = 0


Outcome = Completed | NotRun | Failed | Unknown


def outcome_name(outcome: Outcome) -> str:
    """Return the name of an outcome in the callers' API."""
    match outcome:
        case Completed():
            return "completed"
        case NotRun():
            return "not_run"
        case Failed():
            return "failed"
        case Unknown():
            return "unknown"
