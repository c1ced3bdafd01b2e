"""Outcomes of the operations on jobs, as callers are told of them."""

from __future__ import annotations

from dataclasses import dataclass

from cornelturn.jobs.model import JobState

STORE_RETRY_MS = 1_000
"""Delay after which a caller may retry while the store is unavailable: its outages
last seconds, and another entry may reach it."""


@dataclass(frozen=True, slots=True)
class Accepted:
    """The job is stored."""


@dataclass(frozen=True, slots=True)
class Refused:
    """The job is not stored, and this request will not store it later."""

    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class InDoubt:
    """It is unknown whether the change is stored; the caller may retry it."""


@dataclass(frozen=True, slots=True)
class IdTaken:
    """A job of another organisation has the id; the submitted one is not stored."""


@dataclass(frozen=True, slots=True)
class TooLarge:
    """The job is not stored, as its state can never fit in a row of the store."""

    detail: str


@dataclass(frozen=True, slots=True)
class Found:
    """The state of the job according to its row."""

    state: JobState


@dataclass(frozen=True, slots=True)
class NoSuchJob:
    """No such job has been submitted."""


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The store does not answer."""

    retry_after_ms: int = STORE_RETRY_MS


@dataclass(frozen=True, slots=True)
class Pending:
    """Number of jobs of a queue of which no task has started."""

    count: int


@dataclass(frozen=True, slots=True)
class Overloaded:
    """The job is not stored, as it could not be served in time.

    Parameters
    ----------
    is_over_rate : bool
        Whether its organisation submits more than its rate.
    """

    retry_after_ms: int
    is_over_rate: bool


SubmitOutcome = Accepted | Refused | Overloaded | InDoubt | IdTaken | TooLarge
StateOutcome = Found | NoSuchJob | Unavailable
CancelOutcome = Accepted | NoSuchJob | Unavailable | InDoubt
PendingOutcome = Pending | Unavailable
