"""Dispatcher of a pool: decides which waiting ticket gets which slot, and when."""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field

from cornelturn.model.fleet import Instance
from cornelturn.model.outcome import NotRunReason
from cornelturn.model.ticket import (
    AttemptId,
    HeldGrant,
    Refusal,
    Report,
    Ticket,
)
from cornelturn.model.work import Queue
from cornelturn.routing.admission import admit, latest_start_ms
from cornelturn.routing.decisions import (
    Decision,
    GrantDecision,
    GrantReason,
    LoanAnswer,
    LoanRequest,
    RefusalDecision,
)
from cornelturn.routing.grants import grant_decision
from cornelturn.routing.health_monitor import HealthMonitor
from cornelturn.routing.ledger import (
    LENT_QUEUE,
    GrantLedger,
)
from cornelturn.routing.loans import PendingLoans, loan_answer
from cornelturn.routing.member_queue import WaitingTicket
from cornelturn.routing.service_order import grant_reason, may_lend, queues_by_priority
from cornelturn.routing.shares import QueueState
from cornelturn.routing.target_reservation import TargetReservation
from cornelturn.routing.targets import TargetTable

HEDGE_FACTOR = 1.5
MIN_HEDGE_MS = 50


@dataclass(slots=True)
class PoolDispatcher:
    """Orders the tickets of all fronts and grants the slots of one pool.

    Order of service: queues within their guarantee before those beyond it, then by
    work class, then the queue that uses the smallest part of its guarantee; within
    a queue the member that was served least; within a member the ticket
    with the earliest latest start.

    Methods that depend on time take the current time in milliseconds. Those that may
    grant or refuse return the decisions for the caller to send.
    """

    pool: str
    rng: random.Random
    targets: TargetTable = field(init=False)
    health_monitor: HealthMonitor = field(init=False)
    pending_loans: PendingLoans = field(init=False)
    ledger: GrantLedger = field(init=False)
    reservation: TargetReservation = field(init=False)
    queues: dict[str, QueueState] = field(default_factory=dict)
    expiry_heap: list[WaitingTicket] = field(default_factory=list)
    expected_fronts: set[str] = field(default_factory=set)
    recovery_deadline_ms: int = 0
    recovery: int = 0
    arrival_count: int = 0

    def __post_init__(self) -> None:
        self.targets = TargetTable(self.rng)
        self.health_monitor = HealthMonitor(self.pool, self.targets)
        self.pending_loans = PendingLoans(self.pool)
        self.ledger = GrantLedger(self.targets, self.queues)
        self.reservation = TargetReservation(self.targets)

    # Configuration

    def set_queues(self, queues: tuple[Queue, ...]) -> None:
        """Apply the queues of a configuration.

        A removed queue takes no more tickets. It stays while it has waiting tickets or
        slots in use.
        """
        for queue in queues:
            state = self.queues.get(queue.name)
            if state is None:
                self.queues[queue.name] = QueueState(queue)
            else:
                state.queue = queue
                state.run_times.prior_ms = queue.run_ms
        configured = {queue.name for queue in queues}
        for name, state in self.queues.items():
            state.is_removed = name not in configured
        self._forget_removed_queues()

    def _forget_removed_queues(self) -> None:
        for name, state in list(self.queues.items()):
            if state.is_removed and not len(state.waiting) and not state.used_slots:
                del self.queues[name]

    def set_instances(
        self, instances: list[Instance], leaving: set[str], now_ms: int
    ) -> list[Decision]:
        """Apply the list of instances of the pool, and which of them are leaving."""
        present = {instance.name for instance in instances}
        for name in list(self.targets.by_name):
            if name not in present:
                self.targets.remove(name)
        for instance in instances:
            self.targets.put(instance)
            self.targets.by_name[instance.name].is_leaving = instance.name in leaving
            self.targets.refresh(instance.name)
        return self._grant_open_slots(now_ms)

    # Recovery

    def start_recovery(
        self, fronts: set[str], now_ms: int, limit_ms: int, recovery: int = 0
    ) -> None:
        """Grant nothing until every live front has reported, for at most `limit_ms`.

        Parameters
        ----------
        recovery : int
            Number that an inventory must carry to count. An inventory with another
            number may predate grants of another dispatcher.
        """
        self.expected_fronts = set(fronts)
        self.recovery_deadline_ms = now_ms + limit_ms
        self.recovery = recovery

    def is_recovering(self, now_ms: int) -> bool:
        """Return whether slots may be in use that no front has reported yet."""
        return bool(self.expected_fronts) and now_ms < self.recovery_deadline_ms

    def apply_inventory(
        self,
        front: str,
        incarnation: int,
        waiting: tuple[Ticket, ...],
        held: tuple[HeldGrant, ...],
        now_ms: int,
        recovery: int = 0,
    ) -> list[Decision]:
        """Reconcile with the waiting tickets and grants that a front reports.

        This repairs the effect of lost offers, grants and reports.
        """
        if recovery == self.recovery:
            self.expected_fronts.discard(front)
        for grant in held:
            self.ledger.confirm(front, grant, now_ms)
        reported = {grant.ticket.attempt for grant in held}
        self.ledger.release_unreported(front, incarnation, reported, now_ms)
        decisions: list[Decision] = []
        for ticket in waiting:
            decisions += self.add_ticket(front, ticket, now_ms)
        return decisions + self._grant_open_slots(now_ms)

    def remove_front(self, front: str) -> None:
        """Discard the waiting tickets of a front that has failed or left.

        Its grants stay until their expected run time has passed, since the targets
        may still be running them.
        """
        self.expected_fronts.discard(front)
        for state in self.queues.values():
            attempts = [
                waiting.ticket.attempt
                for waiting in state.waiting.tickets.values()
                if waiting.front == front
            ]
            for attempt in attempts:
                self._remove_waiting(state, attempt)

    # Requests

    def add_ticket(self, front: str, ticket: Ticket, now_ms: int) -> list[Decision]:
        """Queue a ticket or refuse it; a duplicate only gets its grant repeated."""
        state = self.queues.get(ticket.queue)
        if state is not None and ticket.attempt in state.waiting.tickets:
            return []
        if ticket.attempt in self.ledger.grants:
            return [self._repeat_grant(front, ticket.attempt)]
        if state is None or state.is_removed:
            return [self._refuse(front, ticket, NotRunReason.UNKNOWN_QUEUE)]
        width = self.targets.width_of(ticket.size)
        if width is None:
            reason = NotRunReason.NO_FITTING_TARGET
            if not self.targets.by_name:
                reason = NotRunReason.NO_TARGET
            return [self._refuse(front, ticket, reason)]
        waiting = self._make_waiting_ticket(front, ticket, width, state, now_ms)
        refusal = admit(state, waiting, self.targets.total_slots, now_ms)
        if refusal is not None:
            return [self._refuse(front, ticket, refusal.reason, refusal.hold_off_ms)]
        self._enqueue(state, waiting, now_ms)
        return self._grant_open_slots(now_ms)

    def cancel_ticket(self, attempt: AttemptId, now_ms: int) -> list[Decision]:
        """Remove a waiting ticket; a granted one is released by its report."""
        for state in self.queues.values():
            if self._remove_waiting(state, attempt) is not None:
                break
        return self._grant_open_slots(now_ms)

    def handle_report(self, report: Report, now_ms: int) -> list[Decision]:
        """Release the slots of an attempt and record its run time and outcome.

        A report without a matching grant, such as a duplicate, is ignored.
        """
        grant = self.ledger.grants.get(report.attempt)
        if grant is None or grant.target != report.target:
            return []
        self.ledger.release(report.attempt)
        self.ledger.record_result(grant, report)
        decisions = self.health_monitor.record_report(
            grant.ticket.request, report, now_ms
        )
        return decisions + self._grant_open_slots(now_ms)

    def tick(self, now_ms: int) -> list[Decision]:
        """Expire tickets, loan requests, ejections and grants of silent fronts."""
        decisions = self._expire_waiting(now_ms)
        self.pending_loans.expire(list(self.queues.values()), now_ms)
        decisions += self.health_monitor.start_trials(now_ms)
        self.ledger.release_expired(now_ms)
        return decisions + self._grant_open_slots(now_ms)

    # Loans between pools

    def handle_loan_request(self, request: LoanRequest, now_ms: int) -> list[Decision]:
        """Grant an idle slot to a ticket of another pool, or decline immediately."""
        ticket = request.ticket
        width = self.targets.width_of(ticket.size)
        is_known = ticket.attempt in self.ledger.grants
        if not is_known and (
            width is None or not self._may_lend(request, width, now_ms)
        ):
            return [loan_answer(request, False)]
        answer = loan_answer(request, True)
        if is_known:
            return [answer]
        target = self.targets.choose(width, ticket.avoid)
        if target is None:
            return [loan_answer(request, False)]
        grant = self.ledger.occupy(
            request.front, ticket, LENT_QUEUE, target, width, request.p99_ms, now_ms
        )
        return [
            grant_decision(
                self.pool, self.targets, grant, request.p90_ms, 0, GrantReason.LOAN
            ),
            answer,
        ]

    def handle_loan_answer(self, answer: LoanAnswer, now_ms: int) -> list[Decision]:
        """Remove a ticket that another pool granted; if declined it keeps waiting."""
        for state in self.queues.values():
            waiting = state.waiting.tickets.get(answer.attempt)
            if waiting is None:
                continue
            self.pending_loans.discard(state, answer.attempt)
            if answer.is_granted:
                self._remove_waiting(state, answer.attempt)
            else:
                until_ms = now_ms + answer.hold_off_ms
                state.lender_retry_at_ms[answer.lender] = until_ms
        return self._grant_open_slots(now_ms)

    # Admission

    def _make_waiting_ticket(
        self, front: str, ticket: Ticket, width: int, state: QueueState, now_ms: int
    ) -> WaitingTicket:
        deadline_ms = now_ms + ticket.deadline_left_ms
        self.arrival_count += 1
        return WaitingTicket(
            latest_start_ms=latest_start_ms(state, ticket.member, deadline_ms),
            arrival_number=self.arrival_count,
            ticket=ticket,
            front=front,
            deadline_ms=deadline_ms,
            width=width,
        )

    def _enqueue(self, state: QueueState, waiting: WaitingTicket, now_ms: int) -> None:
        state.waiting.push(waiting)
        state.waiting_slots += waiting.width
        guarantee = state.guarantee(self.targets.total_slots)
        requested_slots = state.used_slots + state.waiting_slots
        state.demand.observe(requested_slots, guarantee, now_ms)
        heapq.heappush(self.expiry_heap, waiting)

    # Granting

    def _grant_open_slots(self, now_ms: int) -> list[Decision]:
        if self.is_recovering(now_ms):
            return []
        decisions = self._grant_reserved_target(now_ms)
        while self.targets.total_open_slots > 0 or self.targets.trial_targets:
            granted = self._grant_next(now_ms)
            if granted is None:
                break
            decisions.append(granted)
        return decisions + self.pending_loans.request_loans(
            list(self.queues.values()), now_ms
        )

    def _grant_next(self, now_ms: int) -> GrantDecision | None:
        for state in queues_by_priority(self.queues.values(), self.targets.total_slots):
            head = state.waiting.head()
            if head is None:
                continue
            queues = self.queues.values()
            reason = grant_reason(state, head, queues, self.targets, now_ms)
            if reason is None:
                continue
            target = self._choose_target(state, head)
            if target is None and head.width > 1:
                self.reservation.reserve(head.ticket.attempt)
                continue
            if target is None:
                target = self.targets.choose(head.width, ())
            if target is not None:
                return self._grant_waiting(state, head, target, reason, now_ms)
        return None

    def _choose_target(self, state: QueueState, head: WaitingTicket) -> str | None:
        avoid = head.ticket.avoid
        trial: str | None = None
        if state.queue.idempotent and head.width == 1:
            trial = self.targets.choose_trial(avoid)
        return trial or self.targets.choose(head.width, avoid)

    def _grant_waiting(
        self,
        state: QueueState,
        head: WaitingTicket,
        target: str,
        reason: GrantReason,
        now_ms: int,
    ) -> GrantDecision:
        quantiles = state.quantiles(head.ticket.member)
        state.waiting.serve(head, head.width * quantiles.median_ms)
        state.waiting_slots -= head.width
        self.pending_loans.discard(state, head.ticket.attempt)
        grant = self.ledger.occupy(
            head.front,
            head.ticket,
            state.queue.name,
            target,
            head.width,
            round(quantiles.p99_ms),
            now_ms,
        )
        grant.charged_ms = quantiles.median_ms
        hedge_ms = max(round(quantiles.p90_ms * HEDGE_FACTOR), MIN_HEDGE_MS)
        return grant_decision(
            self.pool, self.targets, grant, round(quantiles.median_ms), hedge_ms, reason
        )

    def _repeat_grant(self, front: str, attempt: AttemptId) -> Decision:
        running = self.ledger.grants[attempt]
        if running.target not in self.targets.by_name:
            return self._refuse(front, running.ticket, NotRunReason.NO_TARGET)
        return grant_decision(
            self.pool, self.targets, running, 0, 0, GrantReason.REPEATED
        )

    # Tickets that need several slots

    def _grant_reserved_target(self, now_ms: int) -> list[Decision]:
        reservation = self.reservation
        if reservation.attempt is None:
            return []
        name = reservation.target
        target = self.targets.by_name.get(name)
        for state in self.queues.values():
            head = state.waiting.head()
            if head is None or head.ticket.attempt != reservation.attempt:
                continue
            if target is None or target.is_leaving:
                break
            if target.free_slots() < head.width:
                return []
            reservation.clear()
            return [
                self._grant_waiting(
                    state, head, name, GrantReason.RESERVED_TARGET, now_ms
                )
            ]
        reservation.clear()
        return []

    # Loans

    def _may_lend(self, request: LoanRequest, width: int, now_ms: int) -> bool:
        if self.is_recovering(now_ms):
            return False
        return may_lend(request, width, self.queues.values(), self.targets, now_ms)

    # Expiry

    def _remove_waiting(
        self, state: QueueState, attempt: AttemptId
    ) -> WaitingTicket | None:
        waiting = state.waiting.tickets.get(attempt)
        if waiting is None:
            return None
        self.pending_loans.discard(state, attempt)
        state.waiting.remove(attempt)
        state.waiting_slots -= waiting.width
        return waiting

    def _expire_waiting(self, now_ms: int) -> list[Decision]:
        decisions: list[Decision] = []
        while self.expiry_heap and (
            self.expiry_heap[0].is_removed
            or self.expiry_heap[0].latest_start_ms < now_ms
        ):
            waiting = heapq.heappop(self.expiry_heap)
            if waiting.is_removed:
                continue
            state = self.queues[waiting.ticket.queue]
            self._remove_waiting(state, waiting.ticket.attempt)
            decisions.append(
                self._refuse(
                    waiting.front,
                    waiting.ticket,
                    NotRunReason.DEADLINE_UNREACHABLE,
                )
            )
        return decisions

    def _refuse(
        self, front: str, ticket: Ticket, reason: NotRunReason, hold_off_ms: int = 0
    ) -> RefusalDecision:
        refusal = Refusal(ticket.attempt, reason, hold_off_ms=hold_off_ms)
        return RefusalDecision(front, refusal, ticket.queue, ticket.member)
