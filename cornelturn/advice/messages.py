"""Requests for approval of targets, and the answers of the service."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from cornelturn.jobs.model import StepId
from cornelturn.targets.model import TargetLife


@dataclass(frozen=True, slots=True)
class Approved:
    """The service has answered; the other targets named may not run the step.

    Parameters
    ----------
    tickets : dict
        Ticket of each approved target, by its name.
    """

    tickets: dict[str, str]


@dataclass(frozen=True, slots=True)
class Busy:
    """Too many calls wait at the service."""


@dataclass(frozen=True, slots=True)
class Failed:
    """No answer arrived in time, or it was malformed."""

    detail: str


ApprovalResult = Approved | Busy | Failed


@dataclass(frozen=True, slots=True)
class ApprovalRequest:
    """Request for approval of targets for a step.

    Parameters
    ----------
    lives : tuple of TargetLife
        Lives of the targets named; a ticket is attributed to the life named.
    validity_ms : int
        How long a ticket is valid.
    timeout_ms : int
        Time limit of the call.
    """

    step: StepId
    lives: tuple[TargetLife, ...]
    validity_ms: int
    timeout_ms: int


@dataclass(frozen=True, slots=True)
class ApprovalSettled:
    """A request was answered or has failed.

    Parameters
    ----------
    sent_ms : int
        When it was sent; no ticket of the answer was issued before.
    """

    request: ApprovalRequest
    result: ApprovalResult
    sent_ms: int


class ApprovalService(Protocol):
    """Connection to the service that approves targets."""

    async def ask(
        self, step: StepId, names: tuple[str, ...], timeout_ms: int
    ) -> ApprovalResult:
        """Ask once, without a retry, which targets may run a step."""

    async def close(self) -> None:
        """Close the connection."""


ConnectApprovals = Callable[[], ApprovalService]
