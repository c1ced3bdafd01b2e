"""What the owner of a pool knows about the approval of targets for steps."""

from __future__ import annotations

from dataclasses import dataclass, field

from cornelturn.advice.messages import ApprovalRequest
from cornelturn.jobs.model import StepId
from cornelturn.targets.model import TargetLife

START_MARGIN_MS = 400
"""Time for a start to reach its target: a ticket is not used that much before its end.
An order normally takes a few milliseconds; a slow link adds some hundred."""

MAX_MARGIN_SHARE = 1 / 4
"""Largest part of a ticket's validity that this margin takes."""

FIRST_PAUSE_MS = 200
MAX_PAUSE_MS = 5_000
"""Pauses before a step is asked about again after a failed call; they double."""


@dataclass(frozen=True, slots=True)
class Ticket:
    """A ticket, and the time from which it is no longer used."""

    text: str
    end_ms: int


@dataclass(slots=True)
class StepAdvice:
    """What is known about the approval of targets for one step.

    Parameters
    ----------
    tickets : dict
        Tickets of the approved targets; one of an earlier life is never found.
    approved, refused : set of str
        Names of the targets that may run the step, and of those that may not. This
        never changes, whatever the life of the target.
    failures : int
        Failed calls since the last answer.
    next_ask_ms : int
        Before this time the step is not asked about.
    """

    tickets: dict[TargetLife, Ticket] = field(default_factory=dict)
    approved: set[str] = field(default_factory=set)
    refused: set[str] = field(default_factory=set)
    failures: int = 0
    next_ask_ms: int = 0

    def ticket(self, life: TargetLife, now_ms: int) -> str:
        """Return the valid ticket of a target, empty if there is none."""
        ticket = self.tickets.get(life)
        return ticket.text if ticket is not None and ticket.end_ms > now_ms else ""

    def has_ticket(self, now_ms: int) -> bool:
        """Return whether any ticket is valid."""
        return any(ticket.end_ms > now_ms for ticket in self.tickets.values())

    def accept(
        self, request: ApprovalRequest, tickets: dict[str, str], sent_ms: int
    ) -> None:
        """Take up an answer; names that were not asked about are ignored."""
        margin_ms = min(START_MARGIN_MS, round(request.validity_ms * MAX_MARGIN_SHARE))
        end_ms = sent_ms + request.validity_ms - margin_ms
        for life in request.lives:
            text = tickets.get(life.name, "")
            if text:
                self.approved.add(life.name)
                self.refused.discard(life.name)
                self.tickets[life] = Ticket(text, end_ms)
            elif life.name not in self.approved:
                self.refused.add(life.name)

    def note_failure(self, now_ms: int) -> None:
        """Wait before the step is asked about again."""
        pause_ms = FIRST_PAUSE_MS << min(self.failures, 10)
        self.failures += 1
        self.next_ask_ms = now_ms + min(pause_ms, MAX_PAUSE_MS)


@dataclass(slots=True)
class PoolAdvice:
    """What is known about the steps of a pool that need approval.

    Parameters
    ----------
    by_job : dict
        What is known about each step, by job.
    named_count, approved_count : int
        Targets named in answered calls, and the approved ones among them.
    """

    by_job: dict[str, dict[StepId, StepAdvice]] = field(default_factory=dict)
    named_count: int = 0
    approved_count: int = 0

    def step(self, step_id: StepId) -> StepAdvice:
        """Return what is known about a step, nothing yet for a new one."""
        steps = self.by_job.setdefault(step_id.job, {})
        advice = steps.get(step_id)
        if advice is None:
            advice = steps[step_id] = StepAdvice()
        return advice

    def find(self, step_id: StepId) -> StepAdvice | None:
        """Return what is known about a step, None if it was never asked about."""
        steps = self.by_job.get(step_id.job)
        return steps.get(step_id) if steps is not None else None

    def has_ticket(self, step_id: StepId, now_ms: int) -> bool:
        """Return whether a step has a valid ticket for any target."""
        advice = self.find(step_id)
        return advice is not None and advice.has_ticket(now_ms)

    def ticket(self, step_id: StepId, life: TargetLife, now_ms: int) -> str:
        """Return the valid ticket for a step on a target, empty if there is none."""
        advice = self.find(step_id)
        return advice.ticket(life, now_ms) if advice is not None else ""

    def void(self, step_id: StepId, life: TargetLife, now_ms: int) -> None:
        """Forget a ticket that its target has rejected."""
        advice = self.find(step_id)
        if advice is not None:
            advice.tickets.pop(life, None)
            advice.note_failure(now_ms)

    def accept(
        self, request: ApprovalRequest, tickets: dict[str, str], sent_ms: int
    ) -> None:
        """Take up an answer of the service."""
        self.step(request.step).accept(request, tickets, sent_ms)
        self.named_count += len(request.lives)
        self.approved_count += sum(life.name in tickets for life in request.lives)

    def approved_share(self) -> float:
        """Return the expected share of approved targets, one half at first."""
        return (self.approved_count + 1) / (self.named_count + 2)

    def forget_job(self, job: str) -> None:
        """Forget the steps of a job."""
        self.by_job.pop(job, None)
