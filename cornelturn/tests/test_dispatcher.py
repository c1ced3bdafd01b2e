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
class DispatcherDriver:
    """A dispatcher with a clock that the test sets, and the grants it has made."""

    dispatcher: Dispatcher
    now_ms: int = 0
    sequence: int = 0
    grants: list[GrantDecision] = field(default_factory=list)

    def ticket(self, queue: str = "lookup", member: str = "mill", **fields) -> Ticket:
        self.sequence += 1
        attempt = AttemptId(FRONT, 1, self.sequence)
        deadline_left_ms = 2_000 if queue == "lookup" else 600_000
        ticket = Ticket(
            attempt, f"request-{self.sequence}", queue, member, deadline_left_ms
        )
        return replace(ticket, **fields)

    def add_ticket(self, *args, **fields) -> list[Decision]:
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


MakeDriver = Callable[..., DispatcherDriver]


@pytest.fixture
def make_driver() -> MakeDriver:
    """Return a function that builds a dispatcher for a number of targets."""

    def make(
        targets: int = 2, queues: tuple[Queue, ...] = (LOOKUP, COLLECTION)
    ) -> DispatcherDriver:
        dispatcher = Dispatcher("phone", random.Random(1))
        dispatcher.set_queues(queues)
        dispatcher.set_instances(make_instances("phone", targets), set(), 0)
        return DispatcherDriver(dispatcher)

    return make


def refusals(decisions: list[Decision]) -> list[NotRunReason]:
    return [
        decision.refusal.reason
        for decision in decisions
        if isinstance(decision, RefusalDecision)
    ]


def test_ticket_that_cannot_run_is_refused_immediately(make_driver: MakeDriver) -> None:
    driver = make_driver()
    assert refusals(driver.add_ticket("nonsense")) == [NotRunReason.UNKNOWN_QUEUE]
    huge = driver.add_ticket(size=Size(cores=65))
    assert refusals(huge) == [NotRunReason.NO_FITTING_TARGET]
    late = driver.add_ticket(deadline_left_ms=0)
    assert refusals(late) == [NotRunReason.DEADLINE_PASSED]
    assert driver.used_slots() == 0


def test_repeated_messages_change_nothing(make_driver: MakeDriver) -> None:
    driver = make_driver()
    ticket = driver.ticket()
    first = driver.dispatcher.add_ticket(FRONT, ticket, 0)
    again = driver.dispatcher.add_ticket(FRONT, ticket, 0)
    assert first[0].grant.target == again[0].grant.target
    assert driver.used_slots() == 1
    driver.report(first[0])
    driver.report(first[0])
    unknown_report = Report(
        AttemptId("x", 1, 1), "phone", "phone-0", ReportKind.COMPLETED
    )
    driver.dispatcher.handle_report(unknown_report, 0)
    assert driver.used_slots() == 0


def test_members_share_slots_equally_when_one_floods(make_driver: MakeDriver) -> None:
    driver = make_driver(1, (replace(LOOKUP, share=1.0),))
    for _ in range(40):
        driver.add_ticket(member="flood")
    for _ in range(8):
        driver.add_ticket(member="quiet")
    for granted in driver.grants[:8]:
        driver.report(granted)
    members = [granted.member for granted in driver.grants[8:16]]
    assert members.count("quiet") == members.count("flood") == 4


def test_earliest_deadline_first_within_a_member(make_driver: MakeDriver) -> None:
    driver = make_driver(1, (replace(LOOKUP, share=1.0),))
    for _ in range(8):
        driver.add_ticket()
    driver.add_ticket(deadline_left_ms=1_900)
    driver.add_ticket(deadline_left_ms=900)
    driver.report(driver.grants[0])
    assert driver.grants[8].grant.attempt.sequence == 10


def test_long_work_leaves_the_slots_that_urgent_work_needs(
    make_driver: MakeDriver,
) -> None:
    driver = make_driver()
    for _ in range(40):
        driver.add_ticket("collection")
    assert driver.used_slots() == 8
    for _ in range(8):
        driver.add_ticket("lookup")
    assert [granted.queue for granted in driver.grants[8:]] == ["lookup"] * 8


def test_flood_of_urgent_work_leaves_the_guarantee_of_the_others(
    make_driver: MakeDriver,
) -> None:
    driver = make_driver(1, (LOOKUP, COLLECTION))
    for _ in range(12):
        driver.add_ticket("lookup")
    for _ in range(4):
        driver.add_ticket("collection")
    for granted in list(driver.grants):
        driver.report(granted)
    running = driver.dispatcher.queues["collection"].used_slots
    assert running == 4


def test_successor_grants_nothing_until_every_front_has_reported(
    make_driver: MakeDriver,
) -> None:
    driver = make_driver(1)
    driver.dispatcher.start_recovery({FRONT, "entry-2"}, 0, 1_000)
    running = [
        HeldGrant(driver.ticket(), "phone-0", 1, running_ms=100) for _ in range(8)
    ]
    assert driver.add_ticket() == []
    first = driver.dispatcher.apply_inventory(FRONT, 1, (), tuple(running), 0)
    assert first == []
    second = driver.dispatcher.apply_inventory("entry-2", 1, (), (), 0)
    assert second == []
    assert driver.used_slots() == 8


def test_successor_grants_after_the_limit_when_a_front_never_reports(
    make_driver: MakeDriver,
) -> None:
    driver = make_driver(1)
    driver.dispatcher.start_recovery({FRONT, "frozen"}, 0, 1_000)
    driver.add_ticket()
    driver.now_ms = 1_000
    assert len(driver.record(driver.dispatcher.tick(1_000))) == 1


def test_slot_of_a_lost_report_is_released_by_the_next_inventory(
    make_driver: MakeDriver,
) -> None:
    driver = make_driver(1)
    driver.add_ticket()
    driver.dispatcher.apply_inventory(FRONT, 1, (), (), START_WITHIN_MS - 1)
    assert driver.used_slots() == 1
    driver.dispatcher.apply_inventory(FRONT, 1, (), (), START_WITHIN_MS)
    assert driver.used_slots() == 0


def test_slots_of_a_dead_front_stay_in_use_for_the_run_time(
    make_driver: MakeDriver,
) -> None:
    driver = make_driver(1)
    driver.add_ticket("collection")
    driver.dispatcher.remove_front(FRONT)
    driver.dispatcher.apply_inventory(FRONT, 2, (), (), 100_000)
    driver.dispatcher.tick(GRANT_LEASE_MS + 1)
    assert driver.used_slots() == 1
    p99_ms = round(driver.dispatcher.queues["collection"].quantiles("mill").p99_ms)
    driver.dispatcher.tick(p99_ms)
    assert driver.used_slots() == 0


def test_cancelled_tickets_are_never_granted(
    make_driver: MakeDriver,
) -> None:
    driver = make_driver(1, (replace(LOOKUP, share=1.0),))
    for _ in range(100):
        driver.add_ticket()
    for sequence in range(9, 101):
        driver.dispatcher.cancel_ticket(AttemptId(FRONT, 1, sequence), 0)
    for granted in list(driver.grants):
        driver.report(granted)
    assert len(driver.grants) == 8
    assert driver.used_slots() == 0


def test_expired_tickets_are_refused_not_granted(make_driver: MakeDriver) -> None:
    driver = make_driver(1, (replace(LOOKUP, share=1.0),))
    for _ in range(10):
        driver.add_ticket()
    decisions = driver.dispatcher.tick(2_001)
    assert refusals(decisions) == [NotRunReason.DEADLINE_UNREACHABLE] * 2


@pytest.mark.parametrize("factor", [0.1, 10])
def test_run_time_is_learned_when_the_declared_one_is_wrong_by_a_factor_of_ten(
    make_driver: MakeDriver, factor: float
) -> None:
    declared = replace(LOOKUP, share=1.0, run_ms=round(300 * factor))
    driver = make_driver(1, (declared,))
    for number in range(32):
        decisions = driver.add_ticket()
        assert refusals(decisions) == []
        driver.report(driver.grants[number], run_ms=300)
    quantiles = driver.dispatcher.queues["lookup"].quantiles("mill")
    assert 280 < quantiles.median_ms < 320


def test_flooding_member_is_refused_with_hold_off_and_others_are_not(
    make_driver: MakeDriver,
) -> None:
    driver = make_driver(1, (replace(LOOKUP, share=1.0),))
    for number in range(16):
        driver.add_ticket()
        driver.report(driver.grants[number])
    decisions = [
        decision for _ in range(200) for decision in driver.add_ticket(member="flood")
    ]
    refused = [
        decision for decision in decisions if isinstance(decision, RefusalDecision)
    ]
    assert refused
    assert all(decision.refusal.hold_off_ms > 0 for decision in refused)
    assert refusals(driver.add_ticket(member="quiet")) == []


def test_fast_failing_target_is_ejected_and_readmitted_by_a_trial(
    make_driver: MakeDriver,
) -> None:
    driver = make_driver(2)
    changes: list[HealthChange] = []
    while not changes:
        driver.add_ticket()
        granted = driver.grants[-1]
        is_failing = granted.grant.target == "phone-0"
        kind = ReportKind.FAILED if is_failing else ReportKind.COMPLETED
        decisions = driver.report(granted, kind)
        changes += [
            decision for decision in decisions if isinstance(decision, HealthChange)
        ]
    assert changes[0].target == "phone-0"
    assert changes[0].change is TargetChange.EJECTED
    driver.dispatcher.tick(FIRST_EJECTION_MS)
    driver.now_ms = FIRST_EJECTION_MS
    driver.add_ticket("collection")
    assert driver.grants[-1].grant.target != "phone-0"
    driver.add_ticket()
    assert driver.grants[-1].grant.target == "phone-0"
    ended = driver.report(driver.grants[-1])
    assert any(isinstance(decision, HealthChange) for decision in ended)
    assert driver.dispatcher.targets.by_name["phone-0"].open_slots() == 8


def test_ejections_stay_within_the_limit(make_driver: MakeDriver) -> None:
    driver = make_driver(3)
    for _ in range(200):
        driver.add_ticket()
        driver.report(driver.grants[-1], ReportKind.FAILED)
    targets = driver.dispatcher.targets.by_name.values()
    ejected = [target for target in targets if target.open_slots() == 0]
    assert len(ejected) == driver.dispatcher.health_monitor.max_ejected


def test_ejected_target_that_still_runs_work_counts_towards_the_limit(
    make_driver: MakeDriver,
) -> None:
    driver = make_driver(2)
    for _ in range(16):
        driver.add_ticket()
    for granted in driver.grants[:14]:
        driver.report(granted, ReportKind.UNREACHABLE)
    targets = driver.dispatcher.targets.by_name.values()
    ejected = [
        target for target in targets if target.health.state is HealthState.EJECTED
    ]
    assert len(ejected) == driver.dispatcher.health_monitor.max_ejected


def test_poisonous_request_ejects_no_target(make_driver: MakeDriver) -> None:
    driver = make_driver(2)
    for _ in range(4 * MIN_FAILURES):
        ticket = driver.ticket(request="poison")
        driver.record(driver.dispatcher.add_ticket(FRONT, ticket, 0))
        driver.report(driver.grants[-1], ReportKind.FAILED)
    assert driver.dispatcher.targets.total_open_slots == 16


def test_leaving_target_gets_no_new_work(make_driver: MakeDriver) -> None:
    driver = make_driver(2)
    driver.add_ticket()
    driver.report(driver.grants[0], ReportKind.LEAVING)
    leaving_target = driver.grants[0].grant.target
    for _ in range(8):
        driver.add_ticket()
    assert leaving_target not in {granted.grant.target for granted in driver.grants[1:]}


def test_wide_ticket_is_not_starved_by_narrow_ones(make_driver: MakeDriver) -> None:
    driver = make_driver(1, (replace(LOOKUP, share=1.0),))
    for _ in range(8):
        driver.add_ticket()
    driver.add_ticket(size=Size(cores=32), deadline_left_ms=1_000)
    for _ in range(20):
        driver.add_ticket()
    for granted in driver.grants[:8]:
        driver.report(granted)
    widths = [granted.grant.width for granted in driver.grants[8:]]
    assert widths[0] == 4


def test_loan_is_requested_granted_and_released(make_driver: MakeDriver) -> None:
    home = make_driver(1, (replace(LOOKUP, share=1.0, overflow=("office",)),))
    lender = make_driver(1, ())
    for _ in range(8):
        home.add_ticket()
    requests = [
        decision for decision in home.add_ticket() if isinstance(decision, LoanRequest)
    ]
    granted, answer = lender.record(
        lender.dispatcher.handle_loan_request(requests[0], 0)
    )
    assert answer.is_granted
    home.dispatcher.handle_loan_answer(answer, 0)
    assert len(home.dispatcher.queues["lookup"].waiting) == 0
    lender.report(granted)
    assert lender.used_slots() == lender.dispatcher.ledger.lent_slots == 0


def test_loan_is_declined_for_long_work_and_while_own_work_waits(
    make_driver: MakeDriver,
) -> None:
    lender = make_driver(1, (replace(LOOKUP, share=1.0),))
    ticket = lender.ticket()
    request = LoanRequest("home", "phone", FRONT, ticket, p90_ms=300, p99_ms=500)
    long = replace(request, p99_ms=60_000)
    assert lender.dispatcher.handle_loan_request(long, 0) == [
        LoanAnswer("home", "phone", ticket.attempt, False, 50)
    ]
    for _ in range(9):
        lender.add_ticket()
    assert lender.dispatcher.handle_loan_request(request, 0)[0].is_granted is False


def test_unanswered_loan_leaves_the_ticket_waiting_at_home(
    make_driver: MakeDriver,
) -> None:
    home = make_driver(1, (replace(LOOKUP, share=1.0, overflow=("office",)),))
    for _ in range(9):
        home.add_ticket()
    home.dispatcher.tick(600)
    home.report(home.grants[0])
    assert len(home.grants) == 9
    assert home.dispatcher.queues["lookup"].pending_loan_count == 0


def test_removed_queue_takes_no_ticket_while_it_serves_its_last_ones(
    make_driver: MakeDriver,
) -> None:
    driver = make_driver()
    driver.add_ticket("lookup")
    driver.dispatcher.set_queues((COLLECTION,))
    (refusal,) = driver.add_ticket("lookup")
    assert refusal.refusal.reason is NotRunReason.UNKNOWN_QUEUE
    (granted,) = driver.grants
    driver.report(granted)
    driver.dispatcher.set_queues((COLLECTION,))
    assert set(driver.dispatcher.queues) == {"collection"}
