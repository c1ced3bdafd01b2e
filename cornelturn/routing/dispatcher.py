"""The dispatcher of one pool: who gets which slot, and when."""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field

from cornelturn.model.fleet import Instance
from cornelturn.model.outcome import NotRunReason
from cornelturn.model.ticket import (
    AttemptId,
    Grant,
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
from cornelturn.routing.judge import TargetJudge
from cornelturn.routing.ledger import LENT, START_WITHIN_MS, GrantLedger, RunningGrant
from cornelturn.routing.loans import LOAN_MAX_RUN_MS, LoanBook, loan_answer
from cornelturn.routing.member_queue import WaitingTicket
from cornelturn.routing.shares import QueueState, slots_to_keep
from cornelturn.routing.targets import TargetTable

HEDGE_FACTOR = 1.5
MIN_HEDGE_MS = 50


@dataclass(slots=True)
class TargetHold:
    """A target that takes no new work until a wide ticket fits on it."""

    attempt: AttemptId
    target: str


@dataclass(slots=True)
class PoolDispatcher:
    """Orders the tickets of all fronts and grants the slots of one pool.

    Order: queues within their guarantee before those beyond it, then class, then
    the queue that uses the least of its guarantee; within a queue the member who
    was served least; within a member the earliest deadline.

    All methods take the current time in milliseconds and return decisions.
    """

    pool: str
    rng: random.Random
    targets: TargetTable = field(init=False)
    judge: TargetJudge = field(init=False)
    loans: LoanBook = field(init=False)
    ledger: GrantLedger = field(init=False)
    queues: dict[str, QueueState] = field(default_factory=dict)
    expiries: list[WaitingTicket] = field(default_factory=list)
    expected_fronts: set[str] = field(default_factory=set)
    recover_until_ms: int = 0
    recovery: int = 0
    hold: TargetHold | None = None
    arrivals: int = 0

    def __post_init__(self) -> None:
        self.targets = TargetTable(self.rng)
        self.judge = TargetJudge(self.pool, self.targets)
        self.loans = LoanBook(self.pool)
        self.ledger = GrantLedger(self.targets, self.queues)

    # Configuration

    def set_queues(self, queues: tuple[Queue, ...]) -> None:
        """Adopt the queues of a configuration; a removed queue keeps its tickets."""
        for queue in queues:
            state = self.queues.get(queue.name)
            if state is None:
                self.queues[queue.name] = QueueState(queue)
            else:
                state.queue = queue
                state.run_times.prior_ms = queue.run_ms
        wanted = {queue.name for queue in queues}
        for name in list(self.queues):
            state = self.queues[name]
            if name not in wanted and not len(state.waiting) and not state.used:
                del self.queues[name]

    def set_instances(
        self, instances: list[Instance], leaving: set[str], now_ms: int
    ) -> list[Decision]:
        """Adopt the instances of the pool and those marked as leaving."""
        present = {instance.name for instance in instances}
        for name in list(self.targets.targets):
            if name not in present:
                self.targets.drop(name)
        for instance in instances:
            self.targets.put(instance)
            self.targets.targets[instance.name].is_leaving = instance.name in leaving
            self.targets.refresh(instance.name)
        return self._pump(now_ms)

    # Recovery

    def start_recovery(
        self, fronts: set[str], now_ms: int, limit_ms: int, recovery: int = 0
    ) -> None:
        """Grant nothing until every live front reported, `limit_ms` at most.

        Parameters
        ----------
        recovery : int
            Number that the reports must name; others may be older than the grants
            of another dispatcher.
        """
        self.expected_fronts = set(fronts)
        self.recover_until_ms = now_ms + limit_ms
        self.recovery = recovery

    def is_recovering(self, now_ms: int) -> bool:
        """Return whether slots may still be in use that no front reported."""
        return bool(self.expected_fronts) and now_ms < self.recover_until_ms

    def inventory(
        self,
        front: str,
        incarnation: int,
        waiting: tuple[Ticket, ...],
        held: tuple[HeldGrant, ...],
        now_ms: int,
        recovery: int = 0,
    ) -> list[Decision]:
        """Bring the view of one front up to date: lost messages lose nothing."""
        if recovery == self.recovery:
            self.expected_fronts.discard(front)
        for grant in held:
            self.ledger.confirm(front, grant, now_ms)
        reported = {one.ticket.attempt for one in held}
        self.ledger.release_unreported(front, incarnation, reported, now_ms)
        decisions: list[Decision] = []
        for ticket in waiting:
            decisions += self.offer(front, ticket, now_ms)
        return decisions + self._pump(now_ms)

    def front_lost(self, front: str) -> None:
        """Forget the waiting tickets of a front that is gone.

        Its grants stay until their run time has passed, since the targets may
        still be running them.
        """
        self.expected_fronts.discard(front)
        for state in self.queues.values():
            gone = [
                one.ticket.attempt
                for one in state.waiting.tickets.values()
                if one.front == front
            ]
            for attempt in gone:
                self._remove_waiting(state, attempt)

    # Requests

    def offer(self, front: str, ticket: Ticket, now_ms: int) -> list[Decision]:
        """Take in a ticket; a repeated one changes nothing."""
        state = self.queues.get(ticket.queue)
        if state is None:
            return [self._refuse(front, ticket, NotRunReason.UNKNOWN_QUEUE)]
        if ticket.attempt in state.waiting.tickets:
            return []
        if ticket.attempt in self.ledger.grants:
            return [self._repeat_grant(front, ticket.attempt)]
        width = self.targets.width_of(ticket.size)
        if width is None:
            reason = NotRunReason.NO_FITTING_TARGET
            if not self.targets.targets:
                reason = NotRunReason.NO_TARGET
            return [self._refuse(front, ticket, reason)]
        waiting = self._make_waiting(front, ticket, width, state, now_ms)
        problem = admit(state, waiting, self.targets.total_slots, now_ms)
        if problem is not None:
            return [self._refuse(front, ticket, problem.reason, problem.hold_off_ms)]
        self._enqueue(state, waiting, now_ms)
        return self._pump(now_ms)

    def cancel(self, attempt: AttemptId, now_ms: int) -> list[Decision]:
        """Forget a waiting ticket; a granted one ends with its report."""
        for state in self.queues.values():
            if self._remove_waiting(state, attempt) is not None:
                break
        return self._pump(now_ms)

    def report(self, report: Report, now_ms: int) -> list[Decision]:
        """Take back a slot and learn from how the attempt ended."""
        grant = self.ledger.grants.get(report.attempt)
        if grant is None or grant.target != report.target:
            return []
        self.ledger.release(report.attempt)
        self.ledger.learn(grant, report)
        decisions = self.judge.judge(grant.ticket.request, report, now_ms)
        return decisions + self._pump(now_ms)

    def tick(self, now_ms: int) -> list[Decision]:
        """Expire tickets, ejections and grants whose front is silent."""
        decisions = self._expire_waiting(now_ms)
        self.loans.expire(list(self.queues.values()), now_ms)
        decisions += self.judge.start_trials(now_ms)
        self.ledger.release_silent(now_ms)
        return decisions + self._pump(now_ms)

    # Loans between pools

    def lend(self, request: LoanRequest, now_ms: int) -> list[Decision]:
        """Grant one idle slot to a ticket of another pool, or decline at once."""
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
        grant = self._occupy(
            request.front, ticket, LENT, target, width, request.p99_ms, now_ms
        )
        return [
            self._grant_decision(grant, request.p90_ms, 0, GrantReason.LOAN),
            answer,
        ]

    def loan_answered(self, answer: LoanAnswer, now_ms: int) -> list[Decision]:
        """Drop a ticket that another pool granted, or keep it waiting here."""
        for state in self.queues.values():
            waiting = state.waiting.tickets.get(answer.attempt)
            if waiting is None:
                continue
            self.loans.end(state, answer.attempt)
            if answer.is_granted:
                self._remove_waiting(state, answer.attempt)
            else:
                until_ms = now_ms + answer.hold_off_ms
                state.lender_hold_until_ms[answer.lender] = until_ms
        return self._pump(now_ms)

    # Admission

    def _make_waiting(
        self, front: str, ticket: Ticket, width: int, state: QueueState, now_ms: int
    ) -> WaitingTicket:
        deadline_ms = now_ms + ticket.deadline_left_ms
        self.arrivals += 1
        return WaitingTicket(
            latest_start_ms=latest_start_ms(state, ticket.member, deadline_ms),
            order=self.arrivals,
            ticket=ticket,
            front=front,
            deadline_ms=deadline_ms,
            width=width,
        )

    def _enqueue(self, state: QueueState, waiting: WaitingTicket, now_ms: int) -> None:
        state.waiting.push(waiting)
        state.waiting_width += waiting.width
        guarantee = state.guarantee(self.targets.total_slots)
        asked = state.used + state.waiting_width
        state.demand.observe(asked, guarantee, now_ms)
        heapq.heappush(self.expiries, waiting)

    # Granting

    def _pump(self, now_ms: int) -> list[Decision]:
        if self.is_recovering(now_ms):
            return []
        decisions = self._grant_held_target(now_ms)
        while self.targets.total_open > 0 or self.targets.trials:
            granted = self._grant_next(now_ms)
            if granted is None:
                break
            decisions.append(granted)
        return decisions + self.loans.ask(list(self.queues.values()), now_ms)

    def _grant_next(self, now_ms: int) -> GrantDecision | None:
        for state in self._queues_in_order():
            head = state.waiting.head()
            if head is None:
                continue
            reason = self._permission(state, head, now_ms)
            if reason is None:
                continue
            target = self._choose_target(state, head)
            if target is None and head.width > 1:
                self._hold_target(head)
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

    def _queues_in_order(self) -> list[QueueState]:
        total = self.targets.total_slots
        waiting = [state for state in self.queues.values() if len(state.waiting)]
        waiting.sort(
            key=lambda state: (
                not state.is_within_guarantee(1, total),
                state.queue.work_class,
                state.used / state.guarantee(total),
            )
        )
        return waiting

    def _permission(
        self, state: QueueState, head: WaitingTicket, now_ms: int
    ) -> GrantReason | None:
        total = self.targets.total_slots
        if state.is_within_guarantee(head.width, total) or state.used == 0:
            return GrantReason.GUARANTEE
        others = [one for one in self.queues.values() if one is not state]
        run_ms = state.quantiles(head.ticket.member).p90_ms
        kept = slots_to_keep(others, run_ms, total, now_ms)
        if self.targets.total_open - head.width >= kept:
            return GrantReason.IDLE_SHARE
        return None

    def _grant_waiting(
        self,
        state: QueueState,
        head: WaitingTicket,
        target: str,
        reason: GrantReason,
        now_ms: int,
    ) -> GrantDecision:
        quantiles = state.quantiles(head.ticket.member)
        state.waiting.take(head, head.width * quantiles.median_ms)
        state.waiting_width -= head.width
        self.loans.end(state, head.ticket.attempt)
        grant = self._occupy(
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
        return self._grant_decision(grant, round(quantiles.median_ms), hedge_ms, reason)

    def _occupy(
        self,
        front: str,
        ticket: Ticket,
        queue: str,
        target: str,
        width: int,
        p99_ms: int,
        now_ms: int,
    ) -> RunningGrant:
        grant = RunningGrant(
            ticket=ticket,
            front=front,
            target=target,
            width=width,
            queue=queue,
            granted_ms=now_ms,
            confirmed_ms=now_ms,
            hold_until_ms=now_ms + p99_ms,
        )
        self.ledger.occupy(grant)
        return grant

    def _grant_decision(
        self,
        running: RunningGrant,
        expected_ms: int,
        hedge_ms: int,
        reason: GrantReason,
    ) -> GrantDecision:
        ticket = running.ticket
        grant = Grant(
            attempt=ticket.attempt,
            pool=self.pool,
            target=running.target,
            address=self.targets.targets[running.target].instance.address,
            width=running.width,
            start_within_ms=START_WITHIN_MS,
            expected_ms=expected_ms,
            hedge_after_ms=hedge_ms,
        )
        return GrantDecision(running.front, grant, ticket.queue, ticket.member, reason)

    def _repeat_grant(self, front: str, attempt: AttemptId) -> Decision:
        running = self.ledger.grants[attempt]
        if running.target not in self.targets.targets:
            return self._refuse(front, running.ticket, NotRunReason.NO_TARGET)
        return self._grant_decision(running, 0, 0, GrantReason.REPEATED)

    # Wide tickets

    def _hold_target(self, head: WaitingTicket) -> None:
        if self.hold is not None:
            return
        name = self.targets.emptiest()
        if name is not None:
            self.hold = TargetHold(head.ticket.attempt, name)
            self._set_held(name, True)

    def _grant_held_target(self, now_ms: int) -> list[Decision]:
        if self.hold is None:
            return []
        hold = self.hold
        target = self.targets.targets.get(hold.target)
        for state in self.queues.values():
            head = state.waiting.head()
            if head is None or head.ticket.attempt != hold.attempt:
                continue
            if target is None or target.is_leaving:
                break
            if target.free_slots() < head.width:
                return []
            self._drop_hold()
            return [
                self._grant_waiting(
                    state, head, hold.target, GrantReason.HELD_TARGET, now_ms
                )
            ]
        self._drop_hold()
        return []

    def _drop_hold(self) -> None:
        name = self.hold.target
        self.hold = None
        if name in self.targets.targets:
            self._set_held(name, False)

    def _set_held(self, name: str, is_held: bool) -> None:
        self.targets.targets[name].is_held = is_held
        self.targets.refresh(name)

    # Loans

    def _may_lend(self, request: LoanRequest, width: int, now_ms: int) -> bool:
        if self.is_recovering(now_ms) or request.p99_ms > LOAN_MAX_RUN_MS:
            return False
        states = list(self.queues.values())
        if any(len(state.waiting) for state in states):
            return False
        kept = slots_to_keep(states, request.p90_ms, self.targets.total_slots, now_ms)
        return self.targets.total_open - width >= kept

    # Expiry

    def _remove_waiting(
        self, state: QueueState, attempt: AttemptId
    ) -> WaitingTicket | None:
        waiting = state.waiting.tickets.get(attempt)
        if waiting is None:
            return None
        self.loans.end(state, attempt)
        state.waiting.remove(attempt)
        state.waiting_width -= waiting.width
        return waiting

    def _expire_waiting(self, now_ms: int) -> list[Decision]:
        decisions: list[Decision] = []
        while self.expiries and (
            self.expiries[0].is_gone or self.expiries[0].latest_start_ms < now_ms
        ):
            waiting = heapq.heappop(self.expiries)
            if waiting.is_gone:
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
