"""Starts that fail, are declined or are never answered.

Guards against tasks that run twice or never again, and against starts on targets that
fail.
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
from cornelturn.scheduling.planner import RETRY_DELAY_MS
from cornelturn.scheduling.pool import PoolScheduler
from cornelturn.targets.model import (
    ActiveRun,
    Declined,
    Executed,
    StartOrder,
    StopOrder,
    TargetLife,
    Unanswered,
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


def test_job_fails_after_its_attempts_on_different_targets(make_scheduler):
    other = TargetLife("t-2", 1)
    scheduler = make_scheduler(target(LIFE), target(other))
    add(scheduler, job_row(Step(1, Resources(1_000, 1))), version=1)
    target_names: list[str] = []
    for sequence in (1, 2):
        (order,) = scheduler.plan(sequence * 10)
        target_names.append(order.life.name)
        scheduler.handle_order_result(
            order.life, order.order, Executed(), sequence * 10
        )
        end = RunEnd(1, order.order.run, EndKind.FAILED)
        scheduler.handle_report(
            report(order.life, ended=(end,)), sequence * 10 + 1, sequence * 10 + 2
        )
    assert sorted(target_names) == ["t-1", "t-2"]
    assert scheduler.plan(99) == []
    assert scheduler.jobs[JOB].progress.is_failed


def test_start_that_is_never_answered_goes_to_another_target(make_scheduler):
    scheduler = make_scheduler(target(LIFE), target(OTHER_LIFE))
    add(scheduler, job_row(Step(1, Resources(1_000, 1))), version=1)
    (first,) = scheduler.plan(0)
    order, now_ms = first.order, 0
    while isinstance(order, StartOrder):
        scheduler.handle_order_result(first.life, order, Unanswered("timeout"), now_ms)
        now_ms += 200
        (again,) = scheduler.plan(now_ms)
        order = again.order
    scheduler.handle_order_result(first.life, order, Executed(), now_ms)
    scheduler.handle_report(report(first.life), now_ms + 1, now_ms + 2)
    assert planned_targets(scheduler, now_ms + 3) != [first.life.name]


@pytest.mark.parametrize("reason", ["503", "429", "room"])
def test_start_in_doubt_that_is_declined_again_is_stopped_first(make_scheduler, reason):
    scheduler = make_scheduler(target(LIFE), target(OTHER_LIFE))
    add(scheduler, job_row(Step(1, Resources(1_000, 1))), version=1)
    (first,) = scheduler.plan(0)
    scheduler.handle_order_result(first.life, first.order, Unanswered("timeout"), 0)
    (again,) = scheduler.plan(200)
    scheduler.handle_order_result(again.life, again.order, Declined(reason), 200)
    (stop,) = scheduler.plan(201)
    assert (stop.life, stop.order) == (first.life, StopOrder(first.order.run))
    scheduler.handle_order_result(stop.life, stop.order, Executed(), 202)
    scheduler.handle_report(report(first.life), 203, 204)
    assert planned_targets(scheduler, 205) != [first.life.name]
    assert scheduler.jobs[JOB].task(first.order.run.task).last_run_number > 1


@pytest.mark.parametrize("is_lasting", [False, True])
def test_target_that_declines_gets_no_start_during_the_retry_delay(
    make_scheduler, is_lasting
):
    scheduler = make_scheduler()
    add(
        scheduler,
        job_row(Step(1, Resources(1_000, 1), is_lasting=is_lasting)),
        version=1,
    )
    (first,) = scheduler.plan(0)
    scheduler.handle_order_result(first.life, first.order, Declined("503"), 2)
    assert planned_starts(scheduler, 3) == []
    assert planned_starts(scheduler, 2 + RETRY_DELAY_MS - 1) == []
    (run,) = planned_starts(scheduler, 2 + RETRY_DELAY_MS)
    assert run.number == 2


def fail(scheduler: PoolScheduler, order, sequence: int, now_ms: int) -> None:
    scheduler.handle_order_result(order.life, order.order, Executed(), now_ms)
    end = RunEnd(sequence, order.order.run, EndKind.FAILED)
    scheduler.handle_report(report(order.life, ended=(end,)), now_ms, now_ms + 1)


def fill(scheduler: PoolScheduler, *lives: TargetLife) -> None:
    """Fill each target with a run of an unknown job, which takes all its capacity."""
    for number, life in enumerate(lives):
        run = Run(TaskId(f"{number:016x}", 0, 0, 0), 1)
        scheduler.handle_report(report(life, active=(ActiveRun(run, "", 1),)), 0, 0)


def test_task_that_failed_waits_for_another_target_while_others_start(make_scheduler):
    scheduler = make_scheduler(target(LIFE), target(OTHER_LIFE))
    fill(scheduler, OTHER_LIFE)
    scheduler.plan(0)
    add(scheduler, job_row(Step(1, Resources(1_000, 1))), version=1)
    (order,) = scheduler.plan(10)
    assert order.life == LIFE
    fail(scheduler, order, 1, 20)
    later = "00000000000000bb"
    add(scheduler, job_row(Step(1, Resources(1_000, 1)), job=later), version=2)
    assert [run.task.job for run in planned_starts(scheduler, 30)] == [later]
    assert [run.task.job for run in planned_starts(scheduler, 3_000)] == [JOB]


def fail_jobs(scheduler: PoolScheduler, jobs: list[str], step: Step) -> None:
    """Start a run of each job on the only target that is not full; let it fail."""
    for number, job in enumerate(jobs):
        add(scheduler, job_row(step, job=job), version=number + 1, now_ms=number * 10)
        order = next(
            planned
            for planned in scheduler.plan(number * 10)
            if isinstance(planned.order, StartOrder)
        )
        fail(scheduler, order, number + 1, number * 10 + 1)


def test_failing_target_gets_no_start_while_healthy_ones_are_full(make_scheduler):
    healthy = [TargetLife(f"t-{number}", 1) for number in (2, 3, 4)]
    scheduler = make_scheduler(target(LIFE), *(target(life) for life in healthy))
    fill(scheduler, *healthy)
    scheduler.plan(0)
    fail_jobs(
        scheduler,
        [f"{number:016x}" for number in (20, 21, 22)],
        Step(1, Resources(1, 1)),
    )
    add(scheduler, job_row(Step(1, Resources(1_000, 1))), version=9, now_ms=100)
    assert planned_starts(scheduler, 100) == []


def test_targets_are_used_when_too_many_of_them_fail(make_scheduler):
    scheduler = make_scheduler(target(LIFE), target(OTHER_LIFE))
    fill(scheduler, OTHER_LIFE)
    scheduler.plan(0)
    fail_jobs(
        scheduler,
        [f"{number:016x}" for number in (20, 21, 22)],
        Step(1, Resources(1, 1)),
    )
    add(scheduler, job_row(Step(1, Resources(1_000, 1))), version=9, now_ms=100)
    assert len(planned_starts(scheduler, 100)) == 1


def test_target_is_not_avoided_for_failures_of_one_job(make_scheduler):
    scheduler = make_scheduler()
    add(scheduler, job_row(Step(4, Resources(1_000, 1))), version=1)
    for sequence, order in enumerate(scheduler.plan(0), 1):
        fail(scheduler, order, sequence, sequence)
    assert scheduler.targets[LIFE].avoided_until_ms == 0
