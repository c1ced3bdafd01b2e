"""Where the owner of a pool starts tasks, and for whom it reserves room.

Guards against starts on targets that are full, leave the pool or don't suit the step,
and against steps that never get room.
"""

from __future__ import annotations

import pytest

from cornelturn.jobs.model import (
    EndKind,
    Resources,
    Run,
    RunEnd,
    Step,
    TaskId,
)
from cornelturn.targets.model import (
    ActiveRun,
    Executed,
    StartOrder,
    StopOrder,
    TargetLife,
)
from cornelturn.tests.pool_jobs import (
    JOB,
    LIFE,
    OTHER_LIFE,
    add,
    job_row,
    planned_starts,
    planned_targets,
    report,
    target,
)


def test_capacity_is_never_exceeded(make_scheduler):
    scheduler = make_scheduler()
    add(scheduler, job_row(Step(12, Resources(3_000, 1))), version=1)
    assert len(planned_starts(scheduler)) == 2


def test_draining_target_gets_no_start(make_scheduler):
    scheduler = make_scheduler(target(LIFE), target(OTHER_LIFE))
    scheduler.update_targets([target(LIFE, is_draining=True), target(OTHER_LIFE)], 1)
    add(scheduler, job_row(Step(4, Resources(1_000, 1))), version=1)
    assert planned_targets(scheduler, 2) == ["t-2"] * 4


def test_cordoned_target_gets_no_start(make_scheduler):
    scheduler = make_scheduler(target(LIFE), target(OTHER_LIFE))
    scheduler.targets[LIFE].is_cordoned = True
    add(scheduler, job_row(Step(4, Resources(1_000, 1))), version=1)
    assert planned_targets(scheduler, 2) == ["t-2"] * 4


def test_tasks_start_only_on_labelled_targets_and_within_the_limit_for_each(
    make_scheduler,
):
    labelled = target(OTHER_LIFE, labels=frozenset({"b", "r2"}))
    scheduler = make_scheduler(target(LIFE), labelled)
    step = Step(3, Resources(1_000, 1), required_label="b", max_per_target=2)
    add(scheduler, job_row(step), version=1)
    assert planned_targets(scheduler) == ["t-2", "t-2"]


def test_one_lasting_task_is_unavailable_at_a_time_during_an_evacuation(make_scheduler):
    scheduler = make_scheduler(target(LIFE), target(OTHER_LIFE))
    step = Step(4, Resources(1_000, 1), is_lasting=True, max_unavailable=1)
    add(scheduler, job_row(step), version=1)
    runs: dict[TargetLife, list[Run]] = {LIFE: [], OTHER_LIFE: []}
    for planned in scheduler.plan(0):
        scheduler.handle_order_result(planned.life, planned.order, Executed(), 1)
        runs[planned.life].append(planned.order.run)
    for life, target_runs in runs.items():
        active = tuple(ActiveRun(run, "", 100, 0) for run in target_runs)
        scheduler.handle_report(report(life, active), 2, 3)
    scheduler.targets[OTHER_LIFE].is_cordoned = True
    for now_ms in (4, 5, 6):
        stops = [
            planned for planned in scheduler.plan(now_ms) if planned.life == OTHER_LIFE
        ]
        assert len(stops) == (1 if now_ms == 4 else 0)
        assert all(isinstance(stop.order, StopOrder) for stop in stops)


def test_first_task_starts_though_smaller_ones_would_fill_all_freed_capacity(
    make_scheduler,
):
    scheduler = make_scheduler()
    small = job_row(Step(40, Resources(1_000, 1), 500))
    add(scheduler, small, version=1)
    running = planned_starts(scheduler)
    for run in running:
        scheduler.handle_order_result(LIFE, StartOrder(run, "text"), Executed(), 1)
    lasting = job_row(
        Step(1, Resources(8_000, 1), is_lasting=True), job="00000000000000bb"
    )
    add(scheduler, lasting, version=2)
    started: list[str] = []
    for number, run in enumerate(running):
        end = RunEnd(number + 1, run, EndKind.DONE)
        scheduler.handle_report(report(LIFE, ended=(end,)), 0, 3)
        started += [start.task.job for start in planned_starts(scheduler, 3)]
    assert started == ["00000000000000bb"]


@pytest.mark.parametrize("is_lasting", [False, True])
def test_step_that_fits_on_no_target_reserves_none(make_scheduler, is_lasting):
    scheduler = make_scheduler(target(LIFE))
    large = Step(1, Resources(9_000, 1), estimated_ms=1, is_lasting=is_lasting)
    add(scheduler, job_row(large, job="00000000000000bb"), version=1)
    add(scheduler, job_row(Step(1, Resources(1_000, 1), estimated_ms=500)), version=2)
    assert [run.task.job for run in planned_starts(scheduler)] == [JOB]


def test_target_is_reserved_where_the_step_will_fit(make_scheduler):
    scheduler = make_scheduler(target(LIFE, cpu=16_000), target(OTHER_LIFE, cpu=8_000))
    filler = job_row(Step(10, Resources(1_000, 1)), job="00000000000000cc")
    add(scheduler, filler, version=1)
    runs = [Run(TaskId("00000000000000cc", 0, 0, index), 1) for index in range(10)]
    active = tuple(ActiveRun(run, "", 1) for run in runs)
    scheduler.handle_report(report(LIFE, active=active), 0, 0)
    large = Step(1, Resources(12_000, 1), estimated_ms=1)
    add(scheduler, job_row(large, job="00000000000000bb"), version=2)
    add(
        scheduler,
        job_row(Step(1, Resources(1_000, 1), estimated_ms=500_000)),
        version=3,
    )
    assert planned_targets(scheduler, 1) == [OTHER_LIFE.name]
