"""Order in which a dispatcher serves its queues, and when a queue gets a free slot."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from cornelturn.routing.decisions import GrantReason, LoanRequest
from cornelturn.routing.loans import LOAN_MAX_RUN_MS
from cornelturn.routing.member_queue import WaitingTicket
from cornelturn.routing.shares import QueueState, required_free_slots
from cornelturn.routing.targets import TargetTable


def queues_by_priority(
    queues: Iterable[QueueState], total_slots: int
) -> list[QueueState]:
    """Return the queues with waiting tickets in the order of service."""
    waiting = [state for state in queues if len(state.waiting)]
    waiting.sort(
        key=lambda state: (
            not state.is_within_guarantee(1, total_slots),
            state.queue.work_class,
            state.used_slots / state.guarantee(total_slots),
        )
    )
    return waiting


def grant_reason(
    state: QueueState,
    head: WaitingTicket,
    queues: Collection[QueueState],
    targets: TargetTable,
    now_ms: int,
) -> GrantReason | None:
    """Return why a ticket of a queue may get free slots, None if it may not.

    Parameters
    ----------
    queues : collection of QueueState
        All queues of the pool.
    """
    total = targets.total_slots
    if state.is_within_guarantee(head.width, total) or state.used_slots == 0:
        return GrantReason.GUARANTEE
    others = [other for other in queues if other is not state]
    run_ms = state.quantiles(head.ticket.member).p90_ms
    required_slots = required_free_slots(others, run_ms, total, now_ms)
    if targets.total_open_slots - head.width >= required_slots:
        return GrantReason.IDLE_SHARE
    return None


def may_lend(
    request: LoanRequest,
    width: int,
    queues: Collection[QueueState],
    targets: TargetTable,
    now_ms: int,
) -> bool:
    """Return whether a ticket of another pool may get free slots."""
    if request.p99_ms > LOAN_MAX_RUN_MS:
        return False
    if any(len(state.waiting) for state in queues):
        return False
    required_slots = required_free_slots(
        list(queues), request.p90_ms, targets.total_slots, now_ms
    )
    return targets.total_open_slots - width >= required_slots
