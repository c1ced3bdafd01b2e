"""Tests what the owner of a pool starts, reserves and reports under a quota."""

from __future__ import annotations

import pytest

from cornelturn.events.job_metrics import JobMetrics
from cornelturn.jobs.model import JobSpec, Resources, Step
from cornelturn.jobs.progress import Progress
from cornelturn.jobs.rows import JobRow, job_key
from cornelturn.model.organisations import Organisation
from cornelturn.model.routes import RoutingTable
from cornelturn.ownership.duties import HeldTarget
from cornelturn.peering.quota_messages import AllottedAmount, QuotaGrant, QuotaReport
from cornelturn.quota.amounts import NOTHING, UNBOUNDED, Amount
from cornelturn.scheduling.owner import adopted_target
from cornelturn.scheduling.pool import PoolScheduler
from cornelturn.scheduling.quota_reporting import (
    REFRESH_INTERVAL_MS,
    REPORT_INTERVAL_MS,
    URGENT_INTERVAL_MS,
    QuotaReporter,
)
from cornelturn.scheduling.takeover import Takeover
from cornelturn.targets.model import StartOrder, TargetLife
from cornelturn.tests.test_reserved_targets import FIRST, QUEUE, SECOND, scheduler

__all__ = ["scheduler"]

CORE = Resources(1_000, 1)


@pytest.fixture
def capped(scheduler: PoolScheduler) -> PoolScheduler:
    """Return the scheduler of a pool, with an organisation of a cap of 4 cores."""
    scheduler.update_routing(routing(1, Resources(4_000)), 0)
    scheduler.quota.set_broker(1)
    return scheduler


@pytest.fixture
def sent() -> list[QuotaReport]:
    """Return the list of the reports that were sent."""
    return []


@pytest.fixture
def reporter(capped: PoolScheduler, sent: list[QuotaReport]) -> QuotaReporter:
    """Return the reporter of a pool whose takeover is over."""
    capped.mark_all_jobs_read()
    takeover = Takeover(1, 0, True)
    return QuotaReporter(capped, takeover, sent.append, lambda: 1, JobMetrics())


def routing(version: int, cap: Resources) -> RoutingTable:
    return RoutingTable(version, organisations=(Organisation("org", cap=cap),))


def add(
    scheduler: PoolScheduler, number: int, step: Step, organisation: str = "org"
) -> None:
    job = f"{number:016x}"
    spec = JobSpec(job, QUEUE.name, "pool", "text", (step,), organisation=organisation)
    key = job_key(QUEUE.name, job)
    scheduler.add_job(key, JobRow(spec, Progress()), 1, QUEUE, 0)


def grant(scheduler: PoolScheduler, number: int, cpu: int) -> None:
    amounts = (AllottedAmount("org", Amount(cpu)),)
    scheduler.quota.accept(QuotaGrant("pool", 1, 1, number, 1, amounts))


def started(scheduler: PoolScheduler, now_ms: int = 1) -> list[str]:
    orders = scheduler.plan(now_ms)
    return [
        order.order.run.task.job
        for order in orders
        if isinstance(order.order, StartOrder)
    ]


def test_nothing_starts_without_an_allotment_and_others_are_not_held_up(capped):
    for number in range(10):
        add(capped, number, Step(1, CORE, 1))
    add(capped, 99, Step(2, CORE, 60_000), organisation="")
    assert started(capped) == [f"{99:016x}"] * 2


def test_starts_stay_within_the_allotment_and_go_on_when_a_run_ends(capped):
    add(capped, 1, Step(10, CORE, 1))
    grant(capped, 1, 3_000)
    assert len(started(capped)) == 3
    assert started(capped) == []
    view = next(view for view in capped.targets.values() if view.runs)
    capped.release_run(view, next(iter(view.runs)), 2)
    assert len(started(capped)) == 1
    grant(capped, 2, 4_000)
    assert len(started(capped)) == 1


def test_small_task_starts_where_a_larger_one_does_not_fit_the_allotment(capped):
    add(capped, 1, Step(1, Resources(4_000, 1), 1))
    add(capped, 2, Step(1, CORE, 60_000))
    grant(capped, 1, 2_000)
    assert started(capped) == [f"{2:016x}"]


def test_gang_starts_whole_or_not_at_all(capped):
    add(capped, 1, Step(3, CORE, 1, is_gang=True))
    grant(capped, 1, 2_000)
    assert started(capped) == []
    grant(capped, 2, 3_000)
    assert len(started(capped)) == 3


def test_refused_work_holds_no_reservation_and_is_no_demand_for_machines(capped):
    add(capped, 1, Step(1, Resources(9_000, 1), 1))
    add(capped, 2, Step(4, CORE, 1))
    started(capped)
    started(capped)
    assert capped.planner.reservations.by_target == {}
    assert capped.pool_load(0).waiting == Resources()
    capped.update_routing(RoutingTable(2), 0)
    started(capped)
    assert capped.pool_load(0).waiting.cpu == 9_000


def test_report_says_what_runs_and_waits_at_once_when_a_start_is_refused(
    capped, reporter, sent
):
    reporter.report_due(1_000)
    assert [report.uses for report in sent] == [()]
    add(capped, 1, Step(10, CORE, 1))
    reporter.report_due(1_000 + URGENT_INTERVAL_MS)
    assert len(sent) == 1
    started(capped)
    reporter.report_due(1_000 + URGENT_INTERVAL_MS)
    (use,) = sent[1].uses
    assert (use.waiting, use.unit) == (Amount(10_000, 10), Amount(1_000, 1))


def test_unchanged_report_is_repeated_rarely(capped, reporter, sent):
    for now_ms in range(0, 3_000, REPORT_INTERVAL_MS):
        reporter.report_due(now_ms)
    assert len(sent) == 3_000 // REFRESH_INTERVAL_MS


def test_work_that_waits_for_machines_asks_for_no_allotment(capped, reporter, sent):
    """An allotment for it would be idle while other pools could use it."""
    add(capped, 1, Step(16, CORE, 1), organisation="")
    assert len(started(capped)) == 16
    add(capped, 2, Step(10, CORE, 1))
    started(capped)
    reporter.report_due(0)
    assert sent[0].uses == ()


def test_report_without_a_known_broker_is_not_sent(capped, reporter, sent):
    capped.quota.broker_generation = 0
    reporter.broker_generation = lambda: 0
    reporter.report_due(0)
    assert sent == []


def test_targets_that_have_not_reported_count_with_their_capacity(
    capped, reporter, sent
):
    capped.has_read_all_jobs = False
    reporter.takeover.unreported.add(FIRST)
    grant(capped, 1, 4_000)
    add(capped, 1, Step(1, CORE, 1))
    reporter.update_unknown()
    reporter.report_due(0)
    assert sent[0].unknown == Amount(8_000, 64_000)
    assert started(capped) == []
    reporter.takeover.unreported.clear()
    reporter.update_unknown()
    reporter.report_due(REPORT_INTERVAL_MS)
    assert sent[1].unknown == NOTHING
    assert len(started(capped)) == 1


def test_target_of_unknown_capacity_may_run_anything(capped, reporter, sent):
    life = TargetLife("t-3", 1)
    listed = adopted_target("pool", HeldTarget(life, "127.0.0.1:1"))
    capped.update_targets(
        [listed, *(capped.targets[known].listed for known in (FIRST, SECOND))], 0
    )
    capped.has_read_all_jobs = False
    reporter.takeover.unreported.add(life)
    reporter.update_unknown()
    reporter.report_due(0)
    assert sent[0].unknown == UNBOUNDED


def test_cap_that_is_added_counts_what_runs_already(scheduler):
    add(scheduler, 1, Step(6, CORE, 1))
    assert len(started(scheduler)) == 6
    add(scheduler, 2, Step(2, CORE, 1))
    scheduler.update_routing(routing(2, Resources(4_000)), 0)
    assert started(scheduler) == []
    scheduler.update_demand()
    (use,) = scheduler.quota_demand.uses()
    assert use.running == Amount(6_000, 6)


def test_metrics_show_each_organisation_until_the_pool_is_lost(capped, reporter):
    grant(capped, 1, 4_000)
    add(capped, 1, Step(1, CORE, 1))
    started(capped)
    reporter.report_due(0)
    labels = {"organisation": "org", "pool": "pool", "resource": "cpu"}
    registry = reporter.metrics.registry
    name = "cornelturn_organisation_running"
    assert registry.get_sample_value(name, labels) == 1_000
    reporter.close()
    assert registry.get_sample_value(name, labels) is None
