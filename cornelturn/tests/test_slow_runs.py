"""Long runs, whose reported percent stays the same for many reports.

Guards against healthy tasks that are stopped as stalled again and again, and against
stalled ones that are never stopped.
"""

from __future__ import annotations

from dataclasses import dataclass

import pytest

from cornelturn.jobs.model import EndKind, Resources, Run, RunEnd, Step, TaskId
from cornelturn.scheduling.pool import PoolScheduler
from cornelturn.scheduling.target_view import RunState
from cornelturn.scheduling.views import Checkpoint
from cornelturn.targets.model import (
    ActiveRun,
    Executed,
    StartOrder,
    StopOrder,
    TargetReport,
)
from cornelturn.tests.pool_jobs import LIFE, add, job_row, target

REPORT_MS = 250
CLOCK_AHEAD_MS = 7_777


@dataclass(slots=True)
class Machine:
    """A target that runs one task at a steady rate, and reports it.

    Parameters
    ----------
    task_ms : int
        Run time of the task.
    stuck_at : int
        Percent at which runs stop making progress.
    stops : list of int
        Times at which runs were ordered to stop.
    """

    scheduler: PoolScheduler
    task_ms: int
    stuck_at: int = 100
    run: Run | None = None
    started_ms: int = 0
    sequence: int = 0
    stops: list[int] | None = None

    def play(self, until_ms: int) -> list[int]:
        """Run until a time or until the task is done; return the times of the stops."""
        self.stops = []
        for now_ms in range(0, until_ms, REPORT_MS):
            self._report(now_ms)
            for planned in self.scheduler.plan(now_ms):
                self._execute(planned.order, now_ms)
            if self.scheduler.jobs["00000000000000aa"].is_final():
                break
        return self.stops

    def _report(self, now_ms: int) -> None:
        active: tuple[ActiveRun, ...] = ()
        ended: tuple[RunEnd, ...] = ()
        if self.run is not None:
            percent = min(100 * (now_ms - self.started_ms) // self.task_ms, 100)
            if percent >= 100 and self.stuck_at >= 100:
                self.sequence += 1
                ended = (RunEnd(self.sequence, self.run, EndKind.DONE),)
                self.run = None
            else:
                active = (ActiveRun(self.run, "", min(percent, self.stuck_at)),)
        report = TargetReport(LIFE, now_ms + CLOCK_AHEAD_MS, active, ended)
        self.scheduler.handle_report(report, now_ms, now_ms)

    def _execute(self, order: StartOrder | StopOrder, now_ms: int) -> None:
        self.scheduler.handle_order_result(LIFE, order, Executed(), now_ms)
        if isinstance(order, StartOrder):
            self.run, self.started_ms = order.run, now_ms
            return
        self.stops.append(now_ms)
        self.sequence += 1
        end = RunEnd(self.sequence, self.run, EndKind.STOPPED)
        self.run = None
        report = TargetReport(LIFE, now_ms + CLOCK_AHEAD_MS, (), (end,))
        self.scheduler.handle_report(report, now_ms, now_ms)


@pytest.fixture
def scheduler() -> PoolScheduler:
    """Return a scheduler with one reachable target."""
    scheduler = PoolScheduler("pool", 1)
    scheduler.update_targets([target(LIFE)], 0)
    scheduler.handle_report(TargetReport(LIFE, CLOCK_AHEAD_MS, (), ()), 0, 0)
    scheduler.mark_loaded(0)
    return scheduler


def machine(scheduler: PoolScheduler, task_ms: int, declared_ms: int, stuck_at=100):
    add(scheduler, job_row(Step(1, Resources(1_000, 1), declared_ms)), version=1)
    return Machine(scheduler, task_ms, stuck_at)


@pytest.mark.parametrize("task_ms", [100_000, 160_000, 600_000, 1_000_000])
@pytest.mark.parametrize("declared_share", [1, 1 / 5, 0])
def test_healthy_task_is_not_stopped_however_long_it_is(
    scheduler, task_ms, declared_share
):
    slow = machine(scheduler, task_ms, round(declared_share * task_ms))
    assert slow.play(2 * task_ms) == []
    assert scheduler.jobs["00000000000000aa"].is_final()


def test_task_declared_far_too_short_ends_after_a_few_stops(scheduler):
    slow = machine(scheduler, 1_000_000, 1_000)
    assert len(slow.play(2_000_000)) <= 4
    assert scheduler.jobs["00000000000000aa"].is_final()


@pytest.mark.parametrize(
    ("task_ms", "declared_ms", "stuck_at", "earliest_ms", "latest_ms"),
    [
        (1_000, 1_000, 50, 2_000, 2_500),
        (200_000, 200_000, 10, 26_000, 27_500),
        (200_000, 0, 10, 26_000, 27_500),
        (10_000, 10_000, 0, 3_000, 3_500),
    ],
)
def test_stalled_run_is_stopped_after_three_times_its_own_rate(
    scheduler, task_ms, declared_ms, stuck_at, earliest_ms, latest_ms
):
    stuck = machine(scheduler, task_ms, declared_ms, stuck_at)
    assert earliest_ms <= stuck.play(60_000)[0] <= latest_ms


@pytest.mark.parametrize("first_change_ms", [250, 1_000, 3_750])
def test_one_change_does_not_tell_the_rate_of_a_resumed_run(scheduler, first_change_ms):
    add(scheduler, job_row(Step(1, Resources(1_000, 1), 400_000)), version=1)
    (planned,) = scheduler.plan(0)
    run = planned.order.run
    scheduler.jobs["00000000000000aa"].task(run.task).checkpoint = Checkpoint("half")
    scheduler.handle_order_result(LIFE, planned.order, Executed(), 0)
    for now_ms in range(250, 40_000, REPORT_MS):
        changes = max(0, now_ms - 250 - first_change_ms) // 4_000 + (
            now_ms - 250 >= first_change_ms
        )
        report = TargetReport(LIFE, now_ms, (ActiveRun(run, "", 50 + changes),), ())
        scheduler.handle_report(report, now_ms, now_ms)
        assert scheduler.plan(now_ms) == []


def test_late_first_report_does_not_hide_a_stall(scheduler):
    add(scheduler, job_row(Step(1, Resources(1_000, 1), 1_000)), version=1)
    (planned,) = scheduler.plan(0)
    run = planned.order.run
    scheduler.handle_order_result(LIFE, planned.order, Executed(), 0)
    for number, percent in enumerate((1, 2, 4, 6, 6, 6, 6, 6, 6, 6)):
        now_ms = 20_000 + number * REPORT_MS
        report = TargetReport(LIFE, now_ms, (ActiveRun(run, "", percent),), ())
        scheduler.handle_report(report, now_ms, now_ms)
    (planned,) = scheduler.plan(now_ms)
    assert planned.order == StopOrder(run)


def test_rate_of_a_resumed_run_does_not_count_its_former_progress(scheduler):
    add(scheduler, job_row(Step(1, Resources(1_000, 1), 300_000)), version=1)
    (planned,) = scheduler.plan(0)
    run = planned.order.run
    scheduler.jobs["00000000000000aa"].task(run.task).checkpoint = Checkpoint("half")
    scheduler.handle_order_result(LIFE, planned.order, Executed(), 0)
    for now_ms in range(250, 4_000, REPORT_MS):
        report = TargetReport(LIFE, now_ms, (ActiveRun(run, "half", 50),), ())
        scheduler.handle_report(report, now_ms, now_ms)
        assert scheduler.plan(now_ms) == []
    assert scheduler.targets[LIFE].runs[run].state is RunState.ACTIVE


@pytest.mark.parametrize(
    ("checkpoint", "expected_ms"), [("", 10.0), ("half", None)], ids=["new", "resumed"]
)
def test_first_report_tells_the_rate_of_a_run_from_its_beginning(
    scheduler, checkpoint, expected_ms
):
    """Guards against rates that are lost, or that count the progress before."""
    add(scheduler, job_row(Step(1, Resources(1_000, 1), 300_000)), version=1)
    (planned,) = scheduler.plan(0)
    run = planned.order.run
    job = scheduler.jobs["00000000000000aa"]
    job.task(run.task).checkpoint = Checkpoint(checkpoint)
    scheduler.handle_order_result(LIFE, planned.order, Executed(), 0)
    report = TargetReport(LIFE, 500, (ActiveRun(run, "", 50),), ())
    scheduler.handle_report(report, 500, 500)
    assert scheduler.targets[LIFE].runs[run].progress.mean_rate_ms == expected_ms


def test_adopted_run_has_no_rate_from_before_its_owner_knew_it():
    """Guards against a run that counts as stalled since it seemed to be faster."""
    scheduler = PoolScheduler("pool", 2)
    scheduler.update_targets([target(LIFE)], 0)
    add(scheduler, job_row(Step(1, Resources(1_000, 1), 300_000)), version=1)
    scheduler.mark_loaded(0)
    run = Run(TaskId("00000000000000aa", 0, 0, 0), 1)
    for now_ms, percent in ((0, 50), (250, 51)):
        report = TargetReport(LIFE, now_ms, (ActiveRun(run, "", percent),), ())
        scheduler.handle_report(report, now_ms, now_ms)
    assert scheduler.targets[LIFE].runs[run].progress.mean_rate_ms is None
