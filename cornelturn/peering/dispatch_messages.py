"""Messages between fronts and the dispatchers of pools."""

from __future__ import annotations

from dataclasses import dataclass

from cornelturn.model.ticket import AttemptId, Grant, HeldGrant, Refusal, Report, Ticket
from cornelturn.routing.decisions import LoanAnswer, LoanRequest


@dataclass(frozen=True, slots=True)
class Offer:
    """A ticket for the dispatcher of a pool."""

    pool: str
    ticket: Ticket


@dataclass(frozen=True, slots=True)
class Cancel:
    """The front no longer waits for a grant."""

    pool: str
    attempt: AttemptId


@dataclass(frozen=True, slots=True)
class Granted:
    """A grant for the front that offered the ticket."""

    grant: Grant


@dataclass(frozen=True, slots=True)
class Refused:
    """A refusal for the front that offered the ticket."""

    refusal: Refusal


@dataclass(frozen=True, slots=True)
class Reported:
    """The end of an attempt, for the dispatcher that granted it."""

    report: Report


@dataclass(frozen=True, slots=True)
class Inventory:
    """All tickets of a front that wait or run at one pool.

    Parameters
    ----------
    recovery : int
        Number of the recovery that requested it, 0 if it was not requested.
    """

    pool: str
    waiting: tuple[Ticket, ...]
    held: tuple[HeldGrant, ...]
    recovery: int = 0


@dataclass(frozen=True, slots=True)
class InventoryWanted:
    """Request of the dispatcher of a pool for the inventory of a front.

    Parameters
    ----------
    recovery : int
        Number of the recovery; the answer repeats it.
    """

    pool: str
    recovery: int = 0


@dataclass(frozen=True, slots=True)
class LoanAsked:
    """A request for a loan, for the dispatcher of the lending pool."""

    request: LoanRequest


@dataclass(frozen=True, slots=True)
class LoanAnswered:
    """The answer of a lending pool to a request for a loan."""

    answer: LoanAnswer
