"""Decisions of a dispatcher as plain data; the caller encodes and sends them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from cornelturn.model.ticket import AttemptId, Grant, Refusal, Ticket


class GrantReason(StrEnum):
    """Rule under which a ticket was granted a slot."""

    GUARANTEE = "guarantee"
    IDLE_SHARE = "idle_share"
    LOAN = "loan"
    RESERVED_TARGET = "held_target"
    REPEATED = "repeated"


class TargetChange(StrEnum):
    """Change of the availability of a target."""

    SERVING = "serving"
    EJECTED = "ejected"
    TRIAL = "trial"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class GrantDecision:
    """Grant of a target to an attempt, for the front that sent the ticket."""

    front: str
    grant: Grant
    queue: str
    member: str
    reason: GrantReason


@dataclass(frozen=True, slots=True)
class RefusalDecision:
    """Refusal of an attempt, for the front that sent the ticket."""

    front: str
    refusal: Refusal
    queue: str
    member: str


@dataclass(frozen=True, slots=True)
class LoanRequest:
    """Request to the dispatcher of another pool for one slot for one ticket.

    Parameters
    ----------
    home : str
        Pool that requests the slot.
    lender : str
        Pool that is asked to lend it.
    front : str
        Entry whose front waits for the grant.
    ticket : Ticket
        The ticket.
    p90_ms, p99_ms : int
        90th and 99th percentile of the run time expected for the ticket.
    """

    home: str
    lender: str
    front: str
    ticket: Ticket
    p90_ms: int
    p99_ms: int


@dataclass(frozen=True, slots=True)
class LoanAnswer:
    """Answer to the requesting pool: whether the ticket was granted a slot."""

    home: str
    lender: str
    attempt: AttemptId
    is_granted: bool
    hold_off_ms: int = 0


@dataclass(frozen=True, slots=True)
class HealthChange:
    """A target was ejected, put on trial, readmitted or marked as leaving."""

    pool: str
    target: str
    change: TargetChange
    reason: str


Decision = GrantDecision | RefusalDecision | LoanRequest | LoanAnswer | HealthChange
