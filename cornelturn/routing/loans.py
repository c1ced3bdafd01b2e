"""Loans of idle slots between pools, one ticket at a time.

A loan ends with the attempt that uses it, so no slot has to be returned. A lender that
crashes restores its loans from the inventories of the fronts.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from cornelturn.model.ticket import AttemptId
from cornelturn.routing.decisions import Decision, LoanAnswer, LoanRequest
from cornelturn.routing.shares import QueueState

MAX_PENDING_LOANS = 16
LOAN_MAX_RUN_MS = 10_000
LOAN_HOLD_OFF_MS = 50
LOAN_ANSWER_TIMEOUT_MS = 500


@dataclass(slots=True)
class PendingLoans:
    """Loan requests of a pool that have not been answered yet.

    Parameters
    ----------
    pool : str
        Pool that requests the slots.
    answer_due_ms : dict
        Time at which the request for each attempt times out.
    """

    pool: str
    answer_due_ms: dict[AttemptId, int] = field(default_factory=dict)

    def request_loans(self, states: list[QueueState], now_ms: int) -> list[Decision]:
        """Return loan requests for the waiting tickets that may run in another pool."""
        decisions: list[Decision] = []
        for state in states:
            if not len(state.waiting) or not state.queue.overflow:
                continue
            lender = state.next_lender(now_ms)
            if lender is not None:
                decisions += self._request_from(state, lender, now_ms)
        return decisions

    def discard(self, state: QueueState, attempt: AttemptId) -> None:
        """Discard a request that was answered or is no longer needed."""
        if self.answer_due_ms.pop(attempt, None) is None:
            return
        state.pending_loan_count -= 1
        waiting = state.waiting.tickets.get(attempt)
        if waiting is not None:
            waiting.is_loan_pending = False

    def expire(self, states: list[QueueState], now_ms: int) -> None:
        """Discard requests whose answer is overdue; their tickets keep waiting."""
        overdue = [
            attempt
            for attempt, due_ms in self.answer_due_ms.items()
            if due_ms <= now_ms
        ]
        for attempt in overdue:
            for state in states:
                if attempt in state.waiting.tickets:
                    self.discard(state, attempt)

    def _request_from(
        self, state: QueueState, lender: str, now_ms: int
    ) -> list[Decision]:
        decisions: list[Decision] = []
        for waiting in state.waiting.tickets.values():
            if state.pending_loan_count >= MAX_PENDING_LOANS:
                break
            quantiles = state.quantiles(waiting.ticket.member)
            if waiting.is_loan_pending or quantiles.p99_ms > LOAN_MAX_RUN_MS:
                continue
            waiting.is_loan_pending = True
            state.pending_loan_count += 1
            self.answer_due_ms[waiting.ticket.attempt] = now_ms + LOAN_ANSWER_TIMEOUT_MS
            decisions.append(
                LoanRequest(
                    home=self.pool,
                    lender=lender,
                    front=waiting.front,
                    ticket=waiting.ticket,
                    p90_ms=round(quantiles.p90_ms),
                    p99_ms=round(quantiles.p99_ms),
                )
            )
        return decisions


def loan_answer(request: LoanRequest, is_granted: bool) -> LoanAnswer:
    """Build the answer to a loan request."""
    hold_off_ms = 0 if is_granted else LOAN_HOLD_OFF_MS
    return LoanAnswer(
        request.home, request.lender, request.ticket.attempt, is_granted, hold_off_ms
    )
