"""What a dispatcher decides, as data; others encode and send it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from cornelturn.model.ticket import AttemptId, Grant, Refusal, Ticket


class GrantReason(StrEnum):
    """Why a ticket was granted its slot."""

    GUARANTEE = "guarantee"
    IDLE_SHARE = "idle_share"
    LOAN = "loan"
    RESERVED_TARGET = "held_target"
    REPEATED = "repeated"


class TargetChange(StrEnum):
    """What became of a target."""

    SERVING = "serving"
    EJECTED = "ejected"
    TRIAL = "trial"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class GrantDecision:
    """Tell a front that its attempt may use a target."""

    front: str
    grant: Grant
    queue: str
    member: str
    reason: GrantReason


@dataclass(frozen=True, slots=True)
class RefusalDecision:
    """Tell a front that its attempt holds no slot."""

    front: str
    refusal: Refusal
    queue: str
    member: str


@dataclass(frozen=True, slots=True)
class LoanRequest:
    """Ask the dispatcher of another pool for one slot for one ticket.

    Parameters
    ----------
    home : str
        Pool that asks.
    lender : str
        Pool that is asked.
    front : str
        Entry whose front waits.
    ticket : Ticket
        The ticket.
    p90_ms, p99_ms : int
        Learnt run time of the ticket.
    """

    home: str
    lender: str
    front: str
    ticket: Ticket
    p90_ms: int
    p99_ms: int


@dataclass(frozen=True, slots=True)
class LoanAnswer:
    """Tell the pool that asked whether the ticket was granted a slot."""

    home: str
    lender: str
    attempt: AttemptId
    is_granted: bool
    hold_off_ms: int = 0


@dataclass(frozen=True, slots=True)
class HealthChange:
    """A target was ejected, put on trial or re-admitted."""

    pool: str
    target: str
    change: TargetChange
    reason: str


Decision = GrantDecision | RefusalDecision | LoanRequest | LoanAnswer | HealthChange
