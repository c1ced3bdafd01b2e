"""Tickets, grants, refusals and reports that fronts and dispatchers exchange."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from cornelturn.model.outcome import NotRunReason
from cornelturn.model.work import Size


@dataclass(frozen=True, slots=True, order=True)
class AttemptId:
    """Identifier of an attempt, unique across all incarnations of all entries."""

    entry: str
    incarnation: int
    sequence: int

    def __str__(self) -> str:
        return f"{self.entry}.{self.incarnation}.{self.sequence}"


@dataclass(frozen=True, slots=True)
class Ticket:
    """Demand for one slot; the payload stays at the front.

    Parameters
    ----------
    attempt : AttemptId
        Attempt that the grant will serve.
    request : str
        Request to which the attempt belongs.
    queue : str
        Queue of the request.
    member : str
        Member who sent the request.
    deadline_left_ms : int
        Time left until the deadline, at the time of sending.
    size : Size
        Declared size.
    avoid : tuple of str
        Instances that must not be granted.
    """

    attempt: AttemptId
    request: str
    queue: str
    member: str
    deadline_left_ms: int
    size: Size = field(default_factory=Size)
    avoid: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Grant:
    """Permission to use one target for one attempt.

    Parameters
    ----------
    attempt : AttemptId
        Attempt that the grant serves.
    pool : str
        Pool whose dispatcher granted the slot; the report is sent to it.
    target : str
        Name of the granted instance.
    address : str
        Base URL of the target.
    width : int
        Number of slots that the attempt holds.
    start_within_ms : int
        Time within which the attempt must start.
    expected_ms : int
        Median run time.
    hedge_after_ms : int
        Run time after which a second attempt is worth starting.
    """

    attempt: AttemptId
    pool: str
    target: str
    address: str
    width: int
    start_within_ms: int
    expected_ms: int
    hedge_after_ms: int


@dataclass(frozen=True, slots=True)
class Refusal:
    """Refusal of a ticket; the attempt holds no slot.

    Parameters
    ----------
    hold_off_ms : int
        Time for which the front refuses requests of this queue and member without
        sending a ticket.
    """

    attempt: AttemptId
    reason: NotRunReason
    detail: str = ""
    hold_off_ms: int = 0


class ReportKind(StrEnum):
    """How an attempt that held a slot ended."""

    COMPLETED = "completed"
    FAILED = "failed"
    UNKNOWN = "unknown"
    CANCELLED = "cancelled"
    UNREACHABLE = "unreachable"
    LEAVING = "leaving"
    NOT_STARTED = "not_started"


@dataclass(frozen=True, slots=True)
class Report:
    """End of an attempt that held a slot.

    Parameters
    ----------
    attempt : AttemptId
        Attempt that ended.
    pool : str
        Pool whose dispatcher granted the slot.
    target : str
        Instance that was granted.
    kind : ReportKind
        How it ended.
    run_ms : int
        Run time at the target.
    """

    attempt: AttemptId
    pool: str
    target: str
    kind: ReportKind
    run_ms: int = 0


@dataclass(frozen=True, slots=True)
class HeldGrant:
    """A running grant, as its front reports it to a new dispatcher of the pool."""

    ticket: Ticket
    target: str
    width: int
    running_ms: int
