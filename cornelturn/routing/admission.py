"""Admission control: refuses a ticket on arrival if it cannot finish in time."""

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
    """Why a ticket is refused, and how long its front refuses similar tickets."""

    reason: NotRunReason
    hold_off_ms: int = 0


def latest_start_ms(state: QueueState, member: str, deadline_ms: int) -> int:
    """Return the latest start at which a ticket has an even chance to be on time.

    Without observed run times that is the deadline itself.
    """
    if not state.has_run_times():
        return deadline_ms
    return round(deadline_ms - state.quantiles(member).median_ms)


def admit(
    state: QueueState, waiting: WaitingTicket, total_slots: int, now_ms: int
) -> AdmissionRefusal | None:
    """Return why a ticket must be refused now, None if it may wait.

    If every ticket of a queue appears to be too late, one is still admitted every
    `TRIAL_INTERVAL_MS`, since the learned run times may be out of date.
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
    """Return the expected wait in ms behind the tickets that are served earlier.

    Fair sharing between members limits how many tickets of one member's backlog
    are served before another member's ticket.
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
