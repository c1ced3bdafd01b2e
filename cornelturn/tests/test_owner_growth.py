"""Tests the cost of plans at the size that the capacity page plans for.

The cost is measured in calls instead of time, so that the limits hold on any machine.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable

import pytest

from cornelturn.jobs.model import EndKind, JobSpec, Resources, Run, RunEnd, Step
from cornelturn.jobs.progress import Progress
from cornelturn.jobs.rows import JobRow, job_key
from cornelturn.model.routes import JobQueue
from cornelturn.scheduling.avoidance import TargetAvoidance
from cornelturn.scheduling.evacuation import Evacuation
from cornelturn.scheduling.pool import PoolScheduler
from cornelturn.scheduling.views import JobView
from cornelturn.targets.address import TargetAddress
from cornelturn.targets.model import (
    ActiveRun,
    Executed,
    ListedTarget,
    StartOrder,
    TargetLife,
    TargetReport,
)

TARGETS_OF_A_POOL = 307
BACKLOG_JOBS = 500
MAX_CHECKS = math.ceil(math.log2(TARGETS_OF_A_POOL))
QUEUE = JobQueue("lookups", "host", "/lookups/", "pool", slack_ms=60_000)
SLOT = Resources(1_000, 100)
TARGET_SLOTS = 8

CountCalls = Callable[[type, str], None]


@pytest.fixture
def calls() -> Counter[str]:
    """Return the number of calls by method name."""
    return Counter()


@pytest.fixture
def count_calls(monkeypatch: pytest.MonkeyPatch, calls: Counter[str]) -> CountCalls:
    """Return a function that starts to count the calls of a method."""

    def start(kind: type, name: str) -> None:
        method = getattr(kind, name)

        def counted(*args, **options):
            calls[name] += 1
            return method(*args, **options)

        monkeypatch.setattr(kind, name, counted)

    return start


@pytest.fixture
def scheduler() -> PoolScheduler:
    """Return the scheduler of a pool of the planned size, without jobs."""
    scheduler = PoolScheduler("pool", 1)
    listed = [make_target(number) for number in range(TARGETS_OF_A_POOL)]
    scheduler.update_targets(listed, 0)
    for target in listed:
        scheduler.handle_report(TargetReport(target.life, 0, (), ()), 0, 0)
    scheduler.mark_loaded(0)
    return scheduler


def make_target(number: int) -> ListedTarget:
    return ListedTarget(
        life=TargetLife(f"t-{number:03d}", 1),
        pool="pool",
        address=TargetAddress.loopback(1),
        data_centre="dc",
        rack="r1",
        labels=frozenset({"a", "r1"}),
        capacity=SLOT.times(TARGET_SLOTS),
        is_draining=False,
    )


def add_job(scheduler: PoolScheduler, number: int, tasks: int) -> None:
    job = f"{number:016x}"
    row = JobRow(
        JobSpec(job, QUEUE.name, "pool", "text", (Step(tasks, SLOT),)), Progress()
    )
    scheduler.add_job(job_key(QUEUE.name, job), row, number, QUEUE, 0)


def fill(scheduler: PoolScheduler) -> Run:
    """Fill the pool, add a backlog, and return the first run."""
    for number in range(1, TARGETS_OF_A_POOL + 1):
        add_job(scheduler, number, TARGET_SLOTS)
    orders = scheduler.plan(0)
    assert len(orders) == TARGETS_OF_A_POOL * TARGET_SLOTS
    for planned in orders:
        scheduler.handle_order_result(planned.life, planned.order, Executed(), 1)
    for number in range(BACKLOG_JOBS):
        add_job(scheduler, TARGETS_OF_A_POOL + 1 + number, TARGET_SLOTS)
    assert scheduler.plan(2) == []
    return orders[0].order.run


def test_start_of_a_task_checks_few_targets(scheduler, calls, count_calls):
    add_job(scheduler, 1, 1)
    count_calls(Resources, "fits_in")
    assert len(scheduler.plan(0)) == 1
    assert calls["fits_in"] <= MAX_CHECKS


def test_plan_without_changes_evaluates_no_waiting_job(scheduler, calls, count_calls):
    fill(scheduler)
    count_calls(Resources, "fits_in")
    count_calls(JobView, "remaining_work")
    count_calls(JobView, "forecast")
    count_calls(Progress, "state")
    assert scheduler.plan(3) == []
    assert not calls


def test_end_of_a_task_checks_few_targets_and_jobs(scheduler, calls, count_calls):
    run = fill(scheduler)
    (life,) = (life for life, view in scheduler.targets.items() if run in view.runs)
    end = RunEnd(1, run, EndKind.STOPPED)
    count_calls(Resources, "fits_in")
    count_calls(JobView, "remaining_work")
    count_calls(Progress, "state")
    scheduler.handle_report(TargetReport(life, 0, (), (end,)), 1, 3)
    (order,) = scheduler.plan(4)
    assert isinstance(order.order, StartOrder)
    assert calls["fits_in"] <= MAX_CHECKS
    assert calls["remaining_work"] <= 2
    assert calls["state"] <= MAX_CHECKS


class CountedRuns(dict):
    """Runs of a target, with a count of how often they are listed."""

    listings = 0

    def values(self):
        self.listings += 1
        return super().values()

    def __iter__(self):
        self.listings += 1
        return super().__iter__()


def test_plan_without_changes_lists_the_runs_of_no_target(scheduler):
    fill(scheduler)
    for view in scheduler.targets.values():
        view.runs = CountedRuns(view.runs)
    assert scheduler.plan(3) == []
    assert sum(view.runs.listings for view in scheduler.targets.values()) == 0


def test_writes_check_only_changed_jobs(scheduler, calls, count_calls):
    run = fill(scheduler)
    (life,) = (life for life, view in scheduler.targets.items() if run in view.runs)
    count_calls(JobView, "is_dirty")
    assert scheduler.start_writes() == []
    assert not calls
    end = RunEnd(1, run, EndKind.DONE)
    scheduler.handle_report(TargetReport(life, 0, (), (end,)), 1, 3)
    assert [write.job for write in scheduler.start_writes()] == [run.task.job]
    assert calls["is_dirty"] == 1


def test_pool_load_without_changes_counts_no_waiting_job_again(
    scheduler, calls, count_calls
):
    fill(scheduler)
    before = scheduler.pool_load(0)
    assert before.waiting == SLOT.times(TARGET_SLOTS * BACKLOG_JOBS)
    count_calls(Resources, "times")
    assert scheduler.pool_load(0) == before
    assert not calls


def test_targets_without_new_ends_get_no_acknowledgement(scheduler):
    run = fill(scheduler)
    (life,) = (life for life, view in scheduler.targets.items() if run in view.runs)
    assert scheduler.take_acknowledgements() == []
    end = RunEnd(1, run, EndKind.DONE)
    scheduler.handle_report(TargetReport(life, 0, (), (end,)), 1, 3)
    assert [ends.sequence for ends in scheduler.take_acknowledgements()] == [0]
    for write in scheduler.start_writes():
        scheduler.finish_write(write, 2_000, 4)
    assert [ends.sequence for ends in scheduler.take_acknowledgements()] == [1]
    assert scheduler.take_acknowledgements() == []


def test_plans_during_an_evacuation_count_no_lasting_task_again(
    scheduler, calls, count_calls
):
    apart = Step(24, SLOT, is_lasting=True, max_per_target=1, max_unavailable=2)
    job = "a" * 16
    row = JobRow(JobSpec(job, QUEUE.name, "pool", "text", (apart,)), Progress())
    scheduler.add_job(job_key(QUEUE.name, job), row, 1, QUEUE, 0)
    orders = scheduler.plan(0)
    for planned in orders:
        scheduler.handle_order_result(planned.life, planned.order, Executed(), 1)
        active = (ActiveRun(planned.order.run, "", 100),)
        scheduler.handle_report(TargetReport(planned.life, 1, active, ()), 2, 2)
    count_calls(Evacuation, "_is_available")
    scheduler.set_cordoned(frozenset(planned.life.name for planned in orders))
    assert len(scheduler.plan(3)) == apart.max_unavailable
    calls_before = calls["_is_available"]
    for _ in range(10):
        assert scheduler.plan(4) == []
    assert (
        calls["_is_available"]
        == calls_before
        <= apart.count * (1 + apart.max_unavailable)
    )


def test_avoided_targets_are_counted_once_a_plan(scheduler, calls, count_calls):
    for view in list(scheduler.targets.values())[: TARGETS_OF_A_POOL // 4]:
        view.avoided_until_ms = 6_000
    add_job(scheduler, 1, BACKLOG_JOBS)
    count_calls(TargetAvoidance, "count_avoided")
    assert len(scheduler.plan(1)) == BACKLOG_JOBS
    assert calls["count_avoided"] <= 1
