"""Tests the steps that the quota refuses, together with the order of fair shares."""

from __future__ import annotations

from itertools import count

import pytest

from cornelturn.events.job_metrics import JobMetrics
from cornelturn.fairness.order import MAX_HEAP_FACTOR, MIN_HEAP_SIZE
from cornelturn.fairness.rates import MIN_BURST_JOBS
from cornelturn.jobs.model import JobSpec, Resources, Step
from cornelturn.jobs.progress import Progress
from cornelturn.jobs.rows import JobRow, job_key
from cornelturn.model.organisations import Organisation
from cornelturn.model.routes import RoutingTable
from cornelturn.peering.quota_messages import AllottedAmount, QuotaGrant, QuotaReport
from cornelturn.quota.amounts import Amount
from cornelturn.quota.ledger import QuotaLedger
from cornelturn.scheduling.pool import PoolScheduler
from cornelturn.scheduling.quota_reporting import (
    REPORT_INTERVAL_MS,
    URGENT_INTERVAL_MS,
    QuotaReporter,
)
from cornelturn.scheduling.takeover import Takeover
from cornelturn.targets.model import StartOrder, TargetReport
from cornelturn.tests.test_reserved_targets import (
    FIRST,
    QUEUE,
    SECOND,
    listed,
    scheduler,
)

__all__ = ["scheduler"]

CORE = Resources(1_000, 1)
CAP = Resources(8_000)
CORES = 16


@pytest.fixture
def capped(scheduler: PoolScheduler) -> PoolScheduler:
    """Return the scheduler of a pool of 16 cores, of which `org` may use 8."""
    scheduler.update_routing(routing(1), 0)
    scheduler.quota.set_broker(1)
    scheduler.mark_all_jobs_read()
    return scheduler


def routing(version: int, weight: float = 1.0) -> RoutingTable:
    organisations = (Organisation("org", weight, CAP), Organisation("free", weight))
    return RoutingTable(version, organisations=organisations)


def add(
    scheduler: PoolScheduler,
    number: int,
    step: Step,
    organisation: str = "org",
    now_ms: int = 0,
) -> str:
    job = f"{number:016x}"
    spec = JobSpec(job, QUEUE.name, "pool", "text", (step,), organisation=organisation)
    row = JobRow(spec, Progress())
    scheduler.add_job(job_key(QUEUE.name, job), row, 1, QUEUE, now_ms)
    return job


def grant(scheduler: PoolScheduler, cpu: int, version: int = 1) -> None:
    gate = scheduler.quota
    amounts = (AllottedAmount("org", Amount(cpu)),)
    gate.accept(QuotaGrant("pool", 1, 1, gate.grant_number + 1, version, amounts))


def started(scheduler: PoolScheduler, now_ms: int = 1) -> list[str]:
    return [
        item.order.run.task.job
        for item in scheduler.plan(now_ms)
        if isinstance(item.order, StartOrder)
    ]


def release_first(scheduler: PoolScheduler, organisation: str, now_ms: int) -> None:
    """Let the task of a run wait again."""
    view, run = next(
        (view, run)
        for view in scheduler.targets.values()
        for run, run_view in view.runs.items()
        if run_view.organisation == organisation
    )
    scheduler.release_run(view, run, now_ms)


def running_cpu(scheduler: PoolScheduler) -> int:
    return scheduler.usage.of("org").cpu


class Exchange:
    """The owner of a pool, and a broker whose messages arrive at once."""

    def __init__(
        self, scheduler: PoolScheduler, ledger: QuotaLedger | None = None
    ) -> None:
        self.scheduler = scheduler
        self.ledger = ledger or QuotaLedger(1)
        self.ledger.set_organisations(1, routing(1).organisations)
        self.now_ms = 0
        self.reporter = QuotaReporter(
            scheduler, Takeover(1, 0, True), self.report, lambda: 1, JobMetrics()
        )

    def report(self, report: QuotaReport) -> None:
        self.ledger.add_report(report, self.now_ms)

    def turn(self, now_ms: int) -> list[str]:
        """Plan and report; return the jobs that started."""
        self.now_ms = now_ms
        jobs = started(self.scheduler, now_ms)
        self.reporter.report_due(now_ms)
        return jobs

    def advance(self, now_ms: int) -> list[str]:
        """Take a turn, and take up the grants of the broker."""
        jobs = self.turn(now_ms)
        self.ledger.set_pools({"pool": 1}, now_ms)
        for allotted in self.ledger.plan(now_ms):
            self.reporter.accept(allotted)
        return jobs


def test_work_within_the_rate_is_readmitted_before_work_beyond_it(capped):
    """Guards against an order of refused steps that leaves out the rate."""
    burst = round(MIN_BURST_JOBS)
    for number in range(burst):
        add(capped, number, Step(1, CORE, 9_000))
    beyond = add(capped, burst, Step(1, CORE, 1))
    assert started(capped) == []
    assert capped.jobs[beyond].is_beyond_rate
    grant(capped, 1_000)
    (first,) = started(capped)
    assert first != beyond


def test_readmission_does_not_look_at_each_refused_step(capped, monkeypatch):
    """Guards against a plan that grows with the waiting steps too large to start."""
    for number in range(300):
        add(capped, number, Step(1, Resources(4_000, 1), 1))
    started(capped)
    checks = count()
    gate_class = type(capped.quota)
    request_start = gate_class.request_start

    def counted(self, organisation, need):
        next(checks)
        return request_start(self, organisation, need)

    monkeypatch.setattr(gate_class, "request_start", counted)
    grant(capped, 2_000)
    assert started(capped) == []
    assert next(checks) < 10


def test_oversized_step_is_tried_again_when_the_owner_learns_the_version(capped):
    """Guards against a step that a later version admits without any other change."""
    grant(capped, CAP.cpu, version=2)
    job = add(capped, 1, Step(2, Resources(5_000, 1), 1, is_gang=True))
    for _ in range(2):
        assert started(capped) == []
    capped.update_routing(routing(2), 2)
    assert started(capped, 2) == [job] * 2


def test_organisation_without_an_allotment_gets_one_in_a_full_pool(capped):
    """Guards against work that never starts, as others take each freed core first."""
    exchange = Exchange(capped)
    numbers = count(1)
    for _ in range(CORES + 8):
        add(capped, next(numbers), Step(1, CORE, 1), "free")
    exchange.advance(0)
    for _ in range(CORES):
        add(capped, next(numbers), Step(1, CORE, 1))
    for now_ms in range(20, 2_000, 20):
        release_first(capped, "free", now_ms)
        exchange.advance(now_ms)
        assert running_cpu(capped) <= CAP.cpu
        if running_cpu(capped) == CAP.cpu:
            break
    assert running_cpu(capped) == CAP.cpu


def test_full_pool_gets_its_part_of_a_cap_that_another_pool_uses(scheduler):
    """Guards against one start only for each exchange with the broker."""
    other = PoolScheduler("other", 1)
    other.update_targets([listed(FIRST), listed(SECOND)], 0)
    for life in (FIRST, SECOND):
        other.handle_report(TargetReport(life, 0, (), ()), 0, 0)
    other.mark_loaded(0)
    table = routing(1, weight=1_000.0)
    ledger = QuotaLedger(1)
    exchanges = {}
    for pool in (scheduler, other):
        pool.update_routing(table, 0)
        pool.quota.set_broker(1)
        pool.mark_all_jobs_read()
        exchanges[pool.pool] = Exchange(pool, ledger)
    small = Step(400, Resources(100, 1), 1)
    add(scheduler, 1, small, "free")
    started(scheduler)
    for pool in (scheduler, other):
        add(pool, 2, small)
    for now_ms in range(20, 4_000, 20):
        for _ in range(8):
            release_first(scheduler, "free", now_ms)
        for pool, count_ended in ((other, 4), (scheduler, 1)):
            for _ in range(count_ended):
                if running_cpu(pool):
                    release_first(pool, "org", now_ms)
        for exchange in exchanges.values():
            exchange.turn(now_ms)
        ledger.set_pools({"pool": 1, "other": 1}, now_ms)
        for allotted in ledger.plan(now_ms):
            exchanges[allotted.pool].reporter.accept(allotted)
        assert running_cpu(scheduler) + running_cpu(other) <= CAP.cpu
    assert running_cpu(scheduler) == running_cpu(other) == CAP.cpu // 2


def test_step_that_is_never_tried_holds_no_reservation_without_an_allotment(capped):
    """Guards against targets reserved for steps larger than any free capacity."""
    for number in range(2):
        add(capped, number, Step(1, Resources(7_000, 1), 1), "free")
    assert len(started(capped)) == 2
    for number in range(2, 4):
        add(capped, number, Step(1, Resources(8_000, 1), 1))
    small = add(capped, 9, Step(1, CORE, 60_000), "free")
    assert started(capped) == [small]
    assert capped.planner.reservations.by_target == {}


def test_large_step_gets_an_allotment_and_a_reservation_in_a_full_pool(capped):
    """Guards against a large step that small ones of others keep from any target."""
    exchange = Exchange(capped)
    numbers = count(1)
    for _ in range(CORES):
        add(capped, next(numbers), Step(1, CORE, 1), "free")
    exchange.advance(0)
    large = add(capped, next(numbers), Step(1, Resources(8_000, 1), 1))
    jobs: list[str] = []
    for now_ms in range(20, 4_000, 20):
        release_first(capped, "free", now_ms)
        jobs += exchange.advance(now_ms)
        if large in jobs:
            break
    assert large in jobs


def test_unchanged_report_is_not_computed_at_each_turn(capped, monkeypatch):
    """Guards against work for each message while nothing is to be reported."""
    exchange = Exchange(capped)
    exchange.advance(0)
    computed = count()
    report = QuotaReporter._report

    def counted(self):
        next(computed)
        return report(self)

    monkeypatch.setattr(QuotaReporter, "_report", counted)
    for now_ms in range(1, 900):
        exchange.reporter.report_due(now_ms)
    assert next(computed) <= 900 // REPORT_INTERVAL_MS
    capped.quota.refused_since_report.add("org")
    for now_ms in range(900, 960):
        exchange.reporter.report_due(now_ms)
    assert next(computed) <= 900 // REPORT_INTERVAL_MS + 60 // URGENT_INTERVAL_MS + 2


def test_heaps_of_shares_stay_small_while_refused_steps_come_and_go(capped):
    """Guards against a heap that grows with each step that is added and refused."""
    capped.update_routing(routing(2, weight=1_000.0), 0)
    for number in range(2):
        add(capped, number, Step(1, Resources(9_000, 1), 1), "free")
    for number in range(2, 200):
        add(capped, number, Step(1, CORE, 1))
        started(capped)
    order = capped.waiting_steps.fair
    for queue in order.all_steps.tiers.values():
        assert len(queue.heap) <= MAX_HEAP_FACTOR * len(queue.steps) + MIN_HEAP_SIZE
