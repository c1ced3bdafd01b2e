"""Whether a ticket may wait: refusal at once of what cannot end in time."""

from __future__ import annotations

from dataclasses import dataclass

from cornelturn.model.outcome import NotRunReason
from cornelturn.routing.member_queue import WaitingTicket
from cornelturn.routing.shares import QueueState

TRIAL_INTERVAL_MS = 5_000
MIN_HOLD_OFF_MS = 20
MAX_HOLD_OFF_MS = 500
HOLD_OFF_FRACTION = 0.1
WAIT_SAFETY_FACTOR = 1.25
MAX_WAITING_PER_QUEUE = 50_000


@dataclass(frozen=True, slots=True)
class AdmissionRefusal:
    """Why a ticket may not wait, and how long its front refuses its like."""

    reason: NotRunReason
    hold_off_ms: int = 0


def latest_start_ms(state: QueueState, member: str, deadline_ms: int) -> int:
    """Return the last moment at which a ticket is as likely on time as late."""
    if not state.has_run_times():
        return deadline_ms
    return round(deadline_ms - state.quantiles(member).median_ms)


def admit(
    state: QueueState, waiting: WaitingTicket, total_slots: int, now_ms: int
) -> AdmissionRefusal | None:
    """Return why a ticket must be refused now, None if it may wait.

    A queue whose every request seems too late still lets one through now and
    then, since what was learnt may be out of date.
    """
    if waiting.deadline_ms <= now_ms:
        return AdmissionRefusal(NotRunReason.DEADLINE_PASSED)
    if len(state.waiting) >= MAX_WAITING_PER_QUEUE:
        return AdmissionRefusal(NotRunReason.QUEUE_FULL, MAX_HOLD_OFF_MS)
    if not state.has_run_times():
        return None
    slack_ms = waiting.latest_start_ms - now_ms
    if slack_ms < 0:
        return _admit_trial(state, waiting, now_ms)
    wait_ms = expected_wait_ms(state, waiting, total_slots)
    p90_ms = state.quantiles(waiting.ticket.member).p90_ms
    if wait_ms == 0 or wait_ms <= waiting.deadline_ms - now_ms - p90_ms:
        return None
    hold_off_ms = min(
        max(round(slack_ms * HOLD_OFF_FRACTION), MIN_HOLD_OFF_MS), MAX_HOLD_OFF_MS
    )
    return AdmissionRefusal(NotRunReason.DEADLINE_UNREACHABLE, hold_off_ms)


def expected_wait_ms(
    state: QueueState, waiting: WaitingTicket, total_slots: int
) -> float:
    """Return how long a ticket would wait behind those that go first.

    Fair sharing between members bounds what one member's backlog can put in
    front of another's ticket.
    """
    member = waiting.ticket.member
    members = max(state.waiting.active_member_count(), 1)
    fair_bound = (state.waiting.ticket_count(member) + 1) * members
    ahead = min(len(state.waiting), fair_bound)
    slots = max(state.guarantee(total_slots), state.used_slots, 1)
    run_ms = state.quantiles(member).mean_ms
    return ahead * waiting.width * run_ms / slots * WAIT_SAFETY_FACTOR


def _admit_trial(
    state: QueueState, waiting: WaitingTicket, now_ms: int
) -> AdmissionRefusal | None:
    if now_ms < state.next_trial_at_ms:
        return AdmissionRefusal(NotRunReason.DEADLINE_UNREACHABLE)
    state.next_trial_at_ms = now_ms + TRIAL_INTERVAL_MS
    waiting.latest_start_ms = waiting.deadline_ms
    return None
