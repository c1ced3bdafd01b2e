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
    ReportKind,
    Ticket,
)
from cornelturn.model.work import Queue
from cornelturn.routing.decisions import (
    Decision,
    GrantDecision,
    HealthChange,
    LoanAnswer,
    LoanRequest,
    RefusalDecision,
)
from cornelturn.routing.health import HealthState
from cornelturn.routing.member_queue import WaitingTicket
from cornelturn.routing.shares import QueueState, slots_to_keep
from cornelturn.routing.targets import TargetTable

START_WITHIN_MS = 2_000
GRANT_LEASE_MS = 5_000
HEDGE_FACTOR = 1.5
MIN_HEDGE_MS = 50
TRIAL_INTERVAL_MS = 5_000
MIN_HOLD_OFF_MS = 20
MAX_HOLD_OFF_MS = 500
HOLD_OFF_FRACTION = 0.1
WAIT_MARGIN = 1.25
MAX_WAITING_PER_QUEUE = 50_000
MAX_LOANS_PENDING = 16
LOAN_MAX_RUN_MS = 10_000
LOAN_HOLD_OFF_MS = 50
LOAN_ANSWER_TIMEOUT_MS = 500
POISON_MEMORY = 1_024


@dataclass(slots=True)
class RunningGrant:
    """A slot in use."""

    ticket: Ticket
    front: str
    target: str
    width: int
    queue: str
    granted_ms: int
    confirmed_ms: int
    hold_until_ms: int
    charged_ms: float


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
    max_ejected: int = 1
    targets: TargetTable = field(init=False)
    queues: dict[str, QueueState] = field(default_factory=dict)
    grants: dict[AttemptId, RunningGrant] = field(default_factory=dict)
    expiries: list[WaitingTicket] = field(default_factory=list)
    loans: dict[AttemptId, int] = field(default_factory=dict)
    failed_at: dict[str, str] = field(default_factory=dict)
    expected_fronts: set[str] = field(default_factory=set)
    recover_until_ms: int = 0
    lent: int = 0
    hold: TargetHold | None = None
    arrivals: int = 0

    def __post_init__(self) -> None:
        self.targets = TargetTable(self.rng)

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

    def mark_leaving(self, target: str) -> None:
        """Give a target no new work from now on."""
        known = self.targets.targets.get(target)
        if known is not None:
            known.is_leaving = True
            self.targets.refresh(target)

    # Recovery

    def start_recovery(self, fronts: set[str], now_ms: int, limit_ms: int) -> None:
        """Grant nothing until every live front reported, `limit_ms` at most."""
        self.expected_fronts = set(fronts)
        self.recover_until_ms = now_ms + limit_ms

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
    ) -> list[Decision]:
        """Bring the view of one front up to date: lost messages lose nothing."""
        self.expected_fronts.discard(front)
        for grant in held:
            self._confirm(front, grant, now_ms)
        reported = {one.ticket.attempt for one in held}
        self._release_unreported(front, incarnation, reported, now_ms)
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
        if ticket.attempt in self.grants:
            return [self._repeat_grant(front, ticket.attempt)]
        width = self.targets.width_of(ticket.size)
        if width is None:
            reason = NotRunReason.NO_FITTING_TARGET
            if not self.targets.targets:
                reason = NotRunReason.NO_TARGET
            return [self._refuse(front, ticket, reason)]
        waiting = self._make_waiting(front, ticket, width, state, now_ms)
        refusal = self._admission(state, waiting, now_ms)
        if refusal is not None:
            return [refusal]
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
        grant = self.grants.get(report.attempt)
        if grant is None or grant.target != report.target:
            return []
        self._release(report.attempt, grant)
        self._learn(grant, report)
        decisions = self._judge_target(grant, report, now_ms)
        return decisions + self._pump(now_ms)

    def tick(self, now_ms: int) -> list[Decision]:
        """Expire tickets, ejections and grants whose front is silent."""
        decisions = self._expire_waiting(now_ms)
        self._expire_loans(now_ms)
        decisions += self._start_trials(now_ms)
        self._release_silent(now_ms)
        return decisions + self._pump(now_ms)

    # Loans between pools

    def lend(self, request: LoanRequest, now_ms: int) -> list[Decision]:
        """Grant one idle slot to a ticket of another pool, or decline at once."""
        ticket = request.ticket
        width = self.targets.width_of(ticket.size)
        is_known = ticket.attempt in self.grants
        if not is_known and (
            width is None or not self._may_lend(request, width, now_ms)
        ):
            return [self._loan_answer(request, False)]
        answer = self._loan_answer(request, True)
        if is_known:
            return [answer]
        target = self.targets.choose(width, ticket.avoid)
        if target is None:
            return [self._loan_answer(request, False)]
        self.lent += width
        grant = self._occupy(
            request.front, ticket, "", target, width, request.p99_ms, now_ms
        )
        return [self._grant_decision(grant, request.p90_ms, 0, "loan"), answer]

    def loan_answered(self, answer: LoanAnswer, now_ms: int) -> list[Decision]:
        """Drop a ticket that another pool granted, or keep it waiting here."""
        for state in self.queues.values():
            waiting = state.waiting.tickets.get(answer.attempt)
            if waiting is None:
                continue
            self._end_loan(state, answer.attempt)
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
        run_ms = state.quantiles(ticket.member).median_ms if state.is_learnt() else 0
        self.arrivals += 1
        return WaitingTicket(
            latest_start_ms=round(deadline_ms - run_ms),
            order=self.arrivals,
            ticket=ticket,
            front=front,
            deadline_ms=deadline_ms,
            width=width,
        )

    def _admission(
        self, state: QueueState, waiting: WaitingTicket, now_ms: int
    ) -> RefusalDecision | None:
        ticket = waiting.ticket
        if waiting.deadline_ms <= now_ms:
            return self._refuse(waiting.front, ticket, NotRunReason.DEADLINE_PASSED)
        if len(state.waiting) >= MAX_WAITING_PER_QUEUE:
            return self._refuse(
                waiting.front, ticket, NotRunReason.QUEUE_FULL, MAX_HOLD_OFF_MS
            )
        if not state.is_learnt():
            return None
        slack_ms = waiting.latest_start_ms - now_ms
        if slack_ms < 0 and now_ms >= state.next_trial_ms:
            state.next_trial_ms = now_ms + TRIAL_INTERVAL_MS
            waiting.latest_start_ms = waiting.deadline_ms
            return None
        wait_ms = self._expected_wait_ms(state, waiting)
        p90_ms = state.quantiles(ticket.member).p90_ms
        safe_slack_ms = waiting.deadline_ms - now_ms - p90_ms
        if slack_ms >= 0 and (wait_ms == 0 or wait_ms <= safe_slack_ms):
            return None
        hold_off_ms = 0 if slack_ms < 0 else self._hold_off_ms(slack_ms)
        return self._refuse(
            waiting.front, ticket, NotRunReason.DEADLINE_UNREACHABLE, hold_off_ms
        )

    def _expected_wait_ms(self, state: QueueState, waiting: WaitingTicket) -> float:
        member = waiting.ticket.member
        members = max(state.waiting.active_members(), 1)
        fair_bound = (state.waiting.backlog(member) + 1) * members
        ahead = min(len(state.waiting), fair_bound)
        if ahead == 0:
            return 0.0
        slots = max(state.guarantee(self.targets.total_slots), state.used, 1)
        run_ms = state.quantiles(member).mean_ms
        return ahead * waiting.width * run_ms / slots * WAIT_MARGIN

    def _hold_off_ms(self, slack_ms: int) -> int:
        wanted = round(slack_ms * HOLD_OFF_FRACTION)
        return min(max(wanted, MIN_HOLD_OFF_MS), MAX_HOLD_OFF_MS)

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
        return decisions + self._ask_for_loans(now_ms)

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
    ) -> str | None:
        total = self.targets.total_slots
        if state.is_within_guarantee(head.width, total) or state.used == 0:
            return "guarantee"
        others = [one for one in self.queues.values() if one is not state]
        run_ms = state.quantiles(head.ticket.member).p90_ms
        kept = slots_to_keep(others, run_ms, total, now_ms)
        if self.targets.total_open - head.width >= kept:
            return "idle_share"
        return None

    def _grant_waiting(
        self,
        state: QueueState,
        head: WaitingTicket,
        target: str,
        reason: str,
        now_ms: int,
    ) -> GrantDecision:
        quantiles = state.quantiles(head.ticket.member)
        state.waiting.take(head, head.width * quantiles.median_ms)
        state.waiting_width -= head.width
        state.used += head.width
        self._end_loan(state, head.ticket.attempt)
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
        self.targets.occupy(target, width)
        grant = RunningGrant(
            ticket=ticket,
            front=front,
            target=target,
            width=width,
            queue=queue,
            granted_ms=now_ms,
            confirmed_ms=now_ms,
            hold_until_ms=now_ms + p99_ms,
            charged_ms=0.0,
        )
        self.grants[ticket.attempt] = grant
        return grant

    def _grant_decision(
        self, running: RunningGrant, expected_ms: int, hedge_ms: int, reason: str
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
        running = self.grants[attempt]
        if running.target not in self.targets.targets:
            return self._refuse(front, running.ticket, NotRunReason.NO_TARGET)
        return self._grant_decision(running, 0, 0, "repeated")

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
                self._grant_waiting(state, head, hold.target, "held_target", now_ms)
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

    def _loan_answer(self, request: LoanRequest, is_granted: bool) -> LoanAnswer:
        return LoanAnswer(
            request.home,
            self.pool,
            request.ticket.attempt,
            is_granted,
            0 if is_granted else LOAN_HOLD_OFF_MS,
        )

    def _ask_for_loans(self, now_ms: int) -> list[Decision]:
        decisions: list[Decision] = []
        for state in self.queues.values():
            if not len(state.waiting) or not state.queue.overflow:
                continue
            lender = state.next_lender(now_ms)
            if lender is not None:
                decisions += self._loan_requests(state, lender, now_ms)
        return decisions

    def _loan_requests(
        self, state: QueueState, lender: str, now_ms: int
    ) -> list[Decision]:
        decisions: list[Decision] = []
        for waiting in state.waiting.tickets.values():
            if state.loans_pending >= MAX_LOANS_PENDING:
                break
            quantiles = state.quantiles(waiting.ticket.member)
            if waiting.is_lent or quantiles.p99_ms > LOAN_MAX_RUN_MS:
                continue
            waiting.is_lent = True
            state.loans_pending += 1
            self.loans[waiting.ticket.attempt] = now_ms + LOAN_ANSWER_TIMEOUT_MS
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

    def _end_loan(self, state: QueueState, attempt: AttemptId) -> None:
        if self.loans.pop(attempt, None) is not None:
            state.loans_pending -= 1
            waiting = state.waiting.tickets.get(attempt)
            if waiting is not None:
                waiting.is_lent = False

    def _expire_loans(self, now_ms: int) -> None:
        late = [one for one, until_ms in self.loans.items() if until_ms <= now_ms]
        for attempt in late:
            for state in self.queues.values():
                if attempt in state.waiting.tickets:
                    self._end_loan(state, attempt)

    # Ends of attempts

    def _release(self, attempt: AttemptId, grant: RunningGrant) -> None:
        del self.grants[attempt]
        self.targets.vacate(grant.target, grant.width)
        state = self.queues.get(grant.queue)
        if state is not None:
            state.used -= grant.width
        elif not grant.queue:
            self.lent -= grant.width

    def _learn(self, grant: RunningGrant, report: Report) -> None:
        state = self.queues.get(grant.queue)
        if state is None:
            return
        if report.kind is ReportKind.COMPLETED:
            state.record_run(grant.ticket.member, report.run_ms)
        extra_ms = (report.run_ms - grant.charged_ms) * grant.width
        state.waiting.correct(grant.ticket.member, extra_ms)

    def _judge_target(
        self, grant: RunningGrant, report: Report, now_ms: int
    ) -> list[Decision]:
        target = self.targets.targets.get(grant.target)
        if target is None:
            return []
        health = target.health
        request = grant.ticket.request
        match report.kind:
            case ReportKind.COMPLETED:
                was_trial = health.state is HealthState.TRIAL
                health.record_success(request)
                self.targets.refresh(grant.target)
                if was_trial:
                    return [self._health_change(grant.target, "serving", "trial_ok")]
            case ReportKind.LEAVING:
                self.mark_leaving(grant.target)
                return [self._health_change(grant.target, "leaving", "target_said")]
            case ReportKind.FAILED | ReportKind.UNKNOWN | ReportKind.UNREACHABLE:
                return self._judge_failure(grant, report, now_ms)
            case ReportKind.CANCELLED | ReportKind.NOT_STARTED:
                pass
        return []

    def _judge_failure(
        self, grant: RunningGrant, report: Report, now_ms: int
    ) -> list[Decision]:
        request = grant.ticket.request
        earlier = self.failed_at.get(request)
        if earlier is not None and earlier != grant.target:
            blamed = self.targets.targets.get(earlier)
            if blamed is not None:
                blamed.health.forgive(request)
            return []
        self.failed_at[request] = grant.target
        if len(self.failed_at) > POISON_MEMORY:
            self.failed_at.pop(next(iter(self.failed_at)))
        health = self.targets.targets[grant.target].health
        health.record_failure(request)
        if not health.is_failing() or not self._may_eject(grant.target):
            return []
        health.eject(now_ms)
        self.targets.refresh(grant.target)
        return [self._health_change(grant.target, "ejected", report.kind.value)]

    def _may_eject(self, name: str) -> bool:
        out = sum(
            target.free_slots() == 0 and target.used == 0
            for other, target in self.targets.targets.items()
            if other != name
        )
        return out < self.max_ejected

    def _health_change(self, target: str, state: str, reason: str) -> HealthChange:
        return HealthChange(self.pool, target, state, reason)

    # Expiry

    def _remove_waiting(
        self, state: QueueState, attempt: AttemptId
    ) -> WaitingTicket | None:
        waiting = state.waiting.tickets.get(attempt)
        if waiting is None:
            return None
        self._end_loan(state, attempt)
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

    def _start_trials(self, now_ms: int) -> list[Decision]:
        decisions: list[Decision] = []
        for name, target in self.targets.targets.items():
            health = target.health
            is_due = health.ejected_until_ms <= now_ms
            if health.state is HealthState.EJECTED and is_due:
                health.start_trial()
                self.targets.refresh(name)
                decisions.append(self._health_change(name, "trial", "time"))
        return decisions

    def _release_silent(self, now_ms: int) -> None:
        lapsed = [
            attempt
            for attempt, grant in self.grants.items()
            if grant.confirmed_ms + GRANT_LEASE_MS <= now_ms
            and grant.hold_until_ms <= now_ms
        ]
        for attempt in lapsed:
            self._release(attempt, self.grants[attempt])

    def _release_unreported(
        self, front: str, incarnation: int, reported: set[AttemptId], now_ms: int
    ) -> None:
        """Release what the front no longer holds.

        Grants of an earlier incarnation of the front stay: their targets may
        still be running them.
        """
        missing = [
            attempt
            for attempt, grant in self.grants.items()
            if grant.front == front
            and attempt.incarnation == incarnation
            and attempt not in reported
            and grant.granted_ms + START_WITHIN_MS <= now_ms
        ]
        for attempt in missing:
            self._release(attempt, self.grants[attempt])

    def _confirm(self, front: str, held: HeldGrant, now_ms: int) -> None:
        known = self.grants.get(held.ticket.attempt)
        if known is not None:
            known.confirmed_ms = now_ms
            return
        if held.target not in self.targets.targets:
            return
        state = self.queues.get(held.ticket.queue)
        queue = held.ticket.queue if state is not None else ""
        if state is not None:
            state.used += held.width
        else:
            self.lent += held.width
        grant = self._occupy(
            front, held.ticket, queue, held.target, held.width, 0, now_ms
        )
        grant.granted_ms = now_ms - held.running_ms

    def _refuse(
        self, front: str, ticket: Ticket, reason: NotRunReason, hold_off_ms: int = 0
    ) -> RefusalDecision:
        refusal = Refusal(ticket.attempt, reason, hold_off_ms=hold_off_ms)
        return RefusalDecision(front, refusal, ticket.queue, ticket.member)
