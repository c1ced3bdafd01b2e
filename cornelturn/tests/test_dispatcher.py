"""Decisions of the dispatcher of a pool: admission, order, health and loans."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import pytest

from cornelturn.benchmarks.simulation import make_instances
from cornelturn.model.outcome import NotRunReason
from cornelturn.model.ticket import (
    AttemptId,
    HeldGrant,
    Report,
    ReportKind,
    Ticket,
)
from cornelturn.model.work import Queue, Size, WorkClass
from cornelturn.routing.decisions import (
    Decision,
    GrantDecision,
    HealthChange,
    LoanAnswer,
    LoanRequest,
    RefusalDecision,
    TargetChange,
)
from cornelturn.routing.dispatcher import PoolDispatcher as Dispatcher
from cornelturn.routing.health import FIRST_EJECTION_MS, MIN_FAILURES, HealthState
from cornelturn.routing.ledger import GRANT_LEASE_MS, START_WITHIN_MS

LOOKUP = Queue("lookup", "phone", WorkClass.URGENT, True, 0.5, 2_000, 300)
COLLECTION = Queue("collection", "phone", WorkClass.LONG, False, 0.5, 600_000, 60_000)
FRONT = "entry-1"


@dataclass
class Bench:
    """A dispatcher with a clock that the test sets, and the grants it has made."""

    dispatcher: Dispatcher
    now_ms: int = 0
    sequence: int = 0
    grants: list[GrantDecision] = field(default_factory=list)

    def ticket(self, queue: str = "lookup", member: str = "mill", **fields) -> Ticket:
        self.sequence += 1
        attempt = AttemptId(FRONT, 1, self.sequence)
        deadline_left_ms = 2_000 if queue == "lookup" else 600_000
        made = Ticket(
            attempt, f"request-{self.sequence}", queue, member, deadline_left_ms
        )
        return replace(made, **fields)

    def offer(self, *args, **fields) -> list[Decision]:
        return self.record(
            self.dispatcher.add_ticket(FRONT, self.ticket(*args, **fields), self.now_ms)
        )

    def record(self, decisions: list[Decision]) -> list[Decision]:
        self.grants += [
            decision for decision in decisions if isinstance(decision, GrantDecision)
        ]
        return decisions

    def report(
        self,
        granted: GrantDecision,
        kind: ReportKind = ReportKind.COMPLETED,
        run_ms: int = 300,
    ) -> list[Decision]:
        grant = granted.grant
        report = Report(grant.attempt, grant.pool, grant.target, kind, run_ms)
        return self.record(self.dispatcher.handle_report(report, self.now_ms))

    def used_slots(self) -> int:
        return sum(
            target.used_slots for target in self.dispatcher.targets.by_name.values()
        )


MakeBench = Callable[..., Bench]


@pytest.fixture
def make_bench() -> MakeBench:
    """Return a function that builds a dispatcher for a number of targets."""

    def make(
        targets: int = 2, queues: tuple[Queue, ...] = (LOOKUP, COLLECTION)
    ) -> Bench:
        dispatcher = Dispatcher("phone", random.Random(1))
        dispatcher.set_queues(queues)
        dispatcher.set_instances(make_instances("phone", targets), set(), 0)
        return Bench(dispatcher)

    return make


def refusals(decisions: list[Decision]) -> list[NotRunReason]:
    return [
        decision.refusal.reason
        for decision in decisions
        if isinstance(decision, RefusalDecision)
    ]


def test_ticket_that_cannot_run_is_refused_immediately(make_bench: MakeBench) -> None:
    bench = make_bench()
    assert refusals(bench.offer("nonsense")) == [NotRunReason.UNKNOWN_QUEUE]
    huge = bench.offer(size=Size(cores=65))
    assert refusals(huge) == [NotRunReason.NO_FITTING_TARGET]
    late = bench.offer(deadline_left_ms=0)
    assert refusals(late) == [NotRunReason.DEADLINE_PASSED]
    assert bench.used_slots() == 0


def test_repeated_messages_change_nothing(make_bench: MakeBench) -> None:
    bench = make_bench()
    ticket = bench.ticket()
    first = bench.dispatcher.add_ticket(FRONT, ticket, 0)
    again = bench.dispatcher.add_ticket(FRONT, ticket, 0)
    assert first[0].grant.target == again[0].grant.target
    assert bench.used_slots() == 1
    bench.report(first[0])
    bench.report(first[0])
    stray = Report(AttemptId("x", 1, 1), "phone", "phone-0", ReportKind.COMPLETED)
    bench.dispatcher.handle_report(stray, 0)
    assert bench.used_slots() == 0


def test_members_share_slots_equally_when_one_floods(make_bench: MakeBench) -> None:
    bench = make_bench(1, (replace(LOOKUP, share=1.0),))
    for _ in range(40):
        bench.offer(member="flood")
    for _ in range(8):
        bench.offer(member="quiet")
    for granted in bench.grants[:8]:
        bench.report(granted)
    members = [granted.member for granted in bench.grants[8:16]]
    assert members.count("quiet") == members.count("flood") == 4


def test_earliest_deadline_first_within_a_member(make_bench: MakeBench) -> None:
    bench = make_bench(1, (replace(LOOKUP, share=1.0),))
    for _ in range(8):
        bench.offer()
    bench.offer(deadline_left_ms=1_900)
    bench.offer(deadline_left_ms=900)
    bench.report(bench.grants[0])
    assert bench.grants[8].grant.attempt.sequence == 10


def test_long_work_leaves_the_slots_that_urgent_work_needs(
    make_bench: MakeBench,
) -> None:
    bench = make_bench()
    for _ in range(40):
        bench.offer("collection")
    assert bench.used_slots() == 8
    for _ in range(8):
        bench.offer("lookup")
    assert [granted.queue for granted in bench.grants[8:]] == ["lookup"] * 8


def test_flood_of_urgent_work_leaves_the_guarantee_of_the_others(
    make_bench: MakeBench,
) -> None:
    bench = make_bench(1, (LOOKUP, COLLECTION))
    for _ in range(12):
        bench.offer("lookup")
    for _ in range(4):
        bench.offer("collection")
    for granted in list(bench.grants):
        bench.report(granted)
    running = bench.dispatcher.queues["collection"].used_slots
    assert running == 4


def test_successor_grants_nothing_until_every_front_has_reported(
    make_bench: MakeBench,
) -> None:
    bench = make_bench(1)
    bench.dispatcher.start_recovery({FRONT, "entry-2"}, 0, 1_000)
    running = [
        HeldGrant(bench.ticket(), "phone-0", 1, running_ms=100) for _ in range(8)
    ]
    assert bench.offer() == []
    first = bench.dispatcher.apply_inventory(FRONT, 1, (), tuple(running), 0)
    assert first == []
    second = bench.dispatcher.apply_inventory("entry-2", 1, (), (), 0)
    assert second == []
    assert bench.used_slots() == 8


def test_successor_grants_after_the_limit_when_a_front_never_reports(
    make_bench: MakeBench,
) -> None:
    bench = make_bench(1)
    bench.dispatcher.start_recovery({FRONT, "frozen"}, 0, 1_000)
    bench.offer()
    bench.now_ms = 1_000
    assert len(bench.record(bench.dispatcher.tick(1_000))) == 1


def test_slot_of_a_lost_report_is_released_by_the_next_inventory(
    make_bench: MakeBench,
) -> None:
    bench = make_bench(1)
    bench.offer()
    bench.dispatcher.apply_inventory(FRONT, 1, (), (), START_WITHIN_MS - 1)
    assert bench.used_slots() == 1
    bench.dispatcher.apply_inventory(FRONT, 1, (), (), START_WITHIN_MS)
    assert bench.used_slots() == 0


def test_slots_of_a_dead_front_stay_in_use_for_the_run_time(
    make_bench: MakeBench,
) -> None:
    bench = make_bench(1)
    bench.offer("collection")
    bench.dispatcher.remove_front(FRONT)
    bench.dispatcher.apply_inventory(FRONT, 2, (), (), 100_000)
    bench.dispatcher.tick(GRANT_LEASE_MS + 1)
    assert bench.used_slots() == 1
    p99_ms = round(bench.dispatcher.queues["collection"].quantiles("mill").p99_ms)
    bench.dispatcher.tick(p99_ms)
    assert bench.used_slots() == 0


def test_cancelled_tickets_are_never_granted(
    make_bench: MakeBench,
) -> None:
    bench = make_bench(1, (replace(LOOKUP, share=1.0),))
    for _ in range(100):
        bench.offer()
    for sequence in range(9, 101):
        bench.dispatcher.cancel_ticket(AttemptId(FRONT, 1, sequence), 0)
    for granted in list(bench.grants):
        bench.report(granted)
    assert len(bench.grants) == 8
    assert bench.used_slots() == 0


def test_expired_tickets_are_refused_not_granted(make_bench: MakeBench) -> None:
    bench = make_bench(1, (replace(LOOKUP, share=1.0),))
    for _ in range(10):
        bench.offer()
    decisions = bench.dispatcher.tick(2_001)
    assert refusals(decisions) == [NotRunReason.DEADLINE_UNREACHABLE] * 2


@pytest.mark.parametrize("factor", [0.1, 10])
def test_run_time_is_learned_when_the_declared_one_is_wrong_by_a_factor_of_ten(
    make_bench: MakeBench, factor: float
) -> None:
    declared = replace(LOOKUP, share=1.0, run_ms=round(300 * factor))
    bench = make_bench(1, (declared,))
    for number in range(32):
        decisions = bench.offer()
        assert refusals(decisions) == []
        bench.report(bench.grants[number], run_ms=300)
    quantiles = bench.dispatcher.queues["lookup"].quantiles("mill")
    assert 280 < quantiles.median_ms < 320


def test_flooding_member_is_refused_with_hold_off_and_others_are_not(
    make_bench: MakeBench,
) -> None:
    bench = make_bench(1, (replace(LOOKUP, share=1.0),))
    for number in range(16):
        bench.offer()
        bench.report(bench.grants[number])
    decisions = [
        decision for _ in range(200) for decision in bench.offer(member="flood")
    ]
    refused = [
        decision for decision in decisions if isinstance(decision, RefusalDecision)
    ]
    assert refused
    assert all(decision.refusal.hold_off_ms > 0 for decision in refused)
    assert refusals(bench.offer(member="quiet")) == []


def test_fast_failing_target_is_ejected_and_readmitted_by_a_trial(
    make_bench: MakeBench,
) -> None:
    bench = make_bench(2)
    changes: list[HealthChange] = []
    while not changes:
        bench.offer()
        granted = bench.grants[-1]
        is_failing = granted.grant.target == "phone-0"
        kind = ReportKind.FAILED if is_failing else ReportKind.COMPLETED
        decisions = bench.report(granted, kind)
        changes += [
            decision for decision in decisions if isinstance(decision, HealthChange)
        ]
    assert changes[0].target == "phone-0"
    assert changes[0].change is TargetChange.EJECTED
    bench.dispatcher.tick(FIRST_EJECTION_MS)
    bench.now_ms = FIRST_EJECTION_MS
    bench.offer("collection")
    assert bench.grants[-1].grant.target != "phone-0"
    bench.offer()
    assert bench.grants[-1].grant.target == "phone-0"
    ended = bench.report(bench.grants[-1])
    assert any(isinstance(decision, HealthChange) for decision in ended)
    assert bench.dispatcher.targets.by_name["phone-0"].open_slots() == 8


def test_ejections_stay_within_the_limit(make_bench: MakeBench) -> None:
    bench = make_bench(3)
    for _ in range(200):
        bench.offer()
        bench.report(bench.grants[-1], ReportKind.FAILED)
    targets = bench.dispatcher.targets.by_name.values()
    ejected = [target for target in targets if target.open_slots() == 0]
    assert len(ejected) == bench.dispatcher.health_monitor.max_ejected


def test_ejected_target_that_still_runs_work_counts_towards_the_limit(
    make_bench: MakeBench,
) -> None:
    bench = make_bench(2)
    for _ in range(16):
        bench.offer()
    for granted in bench.grants[:14]:
        bench.report(granted, ReportKind.UNREACHABLE)
    targets = bench.dispatcher.targets.by_name.values()
    ejected = [
        target for target in targets if target.health.state is HealthState.EJECTED
    ]
    assert len(ejected) == bench.dispatcher.health_monitor.max_ejected


def test_poisonous_request_ejects_no_target(make_bench: MakeBench) -> None:
    bench = make_bench(2)
    for _ in range(4 * MIN_FAILURES):
        ticket = bench.ticket(request="poison")
        bench.record(bench.dispatcher.add_ticket(FRONT, ticket, 0))
        bench.report(bench.grants[-1], ReportKind.FAILED)
    assert bench.dispatcher.targets.total_open_slots == 16


def test_leaving_target_gets_no_new_work(make_bench: MakeBench) -> None:
    bench = make_bench(2)
    bench.offer()
    bench.report(bench.grants[0], ReportKind.LEAVING)
    leaving_target = bench.grants[0].grant.target
    for _ in range(8):
        bench.offer()
    assert leaving_target not in {granted.grant.target for granted in bench.grants[1:]}


def test_wide_ticket_is_not_starved_by_narrow_ones(make_bench: MakeBench) -> None:
    bench = make_bench(1, (replace(LOOKUP, share=1.0),))
    for _ in range(8):
        bench.offer()
    bench.offer(size=Size(cores=32), deadline_left_ms=1_000)
    for _ in range(20):
        bench.offer()
    for granted in bench.grants[:8]:
        bench.report(granted)
    widths = [granted.grant.width for granted in bench.grants[8:]]
    assert widths[0] == 4


def test_loan_is_requested_granted_and_released(make_bench: MakeBench) -> None:
    home = make_bench(1, (replace(LOOKUP, share=1.0, overflow=("office",)),))
    lender = make_bench(1, ())
    for _ in range(8):
        home.offer()
    asked = [decision for decision in home.offer() if isinstance(decision, LoanRequest)]
    granted, answer = lender.record(lender.dispatcher.handle_loan_request(asked[0], 0))
    assert answer.is_granted
    home.dispatcher.handle_loan_answer(answer, 0)
    assert len(home.dispatcher.queues["lookup"].waiting) == 0
    lender.report(granted)
    assert lender.used_slots() == lender.dispatcher.ledger.lent_slots == 0


def test_loan_is_declined_for_long_work_and_while_own_work_waits(
    make_bench: MakeBench,
) -> None:
    lender = make_bench(1, (replace(LOOKUP, share=1.0),))
    ticket = lender.ticket()
    asked = LoanRequest("home", "phone", FRONT, ticket, p90_ms=300, p99_ms=500)
    long = replace(asked, p99_ms=60_000)
    assert lender.dispatcher.handle_loan_request(long, 0) == [
        LoanAnswer("home", "phone", ticket.attempt, False, 50)
    ]
    for _ in range(9):
        lender.offer()
    assert lender.dispatcher.handle_loan_request(asked, 0)[0].is_granted is False


def test_unanswered_loan_leaves_the_ticket_waiting_at_home(
    make_bench: MakeBench,
) -> None:
    home = make_bench(1, (replace(LOOKUP, share=1.0, overflow=("office",)),))
    for _ in range(9):
        home.offer()
    home.dispatcher.tick(600)
    home.report(home.grants[0])
    assert len(home.grants) == 9
    assert home.dispatcher.queues["lookup"].pending_loan_count == 0
