"""Tests the scheduling decisions of the owner of a pool, without sockets."""

from __future__ import annotations

from dataclasses import replace

import pytest

from cornelturn.jobs.model import (
    EndKind,
    Recurrence,
    Resources,
    Run,
    RunEnd,
    Step,
    TaskId,
)
from cornelturn.jobs.progress import Progress
from cornelturn.jobs.rows import job_key
from cornelturn.peering.messages import OpenRuns
from cornelturn.scheduling.pool import PoolScheduler
from cornelturn.targets.model import (
    ActiveRun,
    Executed,
    StartOrder,
    TargetLife,
)
from cornelturn.tests.pool_jobs import (
    JOB,
    LIFE,
    OTHER_LIFE,
    QUEUE,
    add,
    job_row,
    planned_starts,
    report,
    run_to_end,
    target,
    write_all,
)


def test_old_version_of_a_finished_job_starts_nothing(make_scheduler):
    scheduler = make_scheduler()
    row = job_row(Step(1, Resources(1_000, 1)))
    add(scheduler, row, version=5)
    (run,) = planned_starts(scheduler)
    run_to_end(scheduler, run)
    write_all(scheduler, version=9)
    assert not scheduler.jobs
    add(scheduler, job_row(Step(1, Resources(1_000, 1))), version=5, now_ms=4)
    assert planned_starts(scheduler, 4) == []


def test_history_after_the_load_starts_nothing_of_final_jobs(make_scheduler):
    scheduler = make_scheduler()
    done = Progress(done={(0, 0): {0}})
    add(scheduler, job_row(Step(1, Resources(1_000, 1)), progress=done), version=9)
    add(scheduler, job_row(Step(1, Resources(1_000, 1))), version=5, now_ms=4)
    assert planned_starts(scheduler, 4) == []


def test_adopted_runs_of_final_jobs_keep_their_capacity_until_they_end(make_scheduler):
    scheduler = make_scheduler(generation=2)
    cancelled = Progress(is_cancelled=True)
    step = Step(1, Resources(8_000, 1))
    add(scheduler, job_row(step, progress=cancelled), version=9)
    stray = Run(TaskId(JOB, 0, 0, 0), 1)
    scheduler.handle_report(report(LIFE, active=(ActiveRun(stray, "", 10),)), 1, 1)
    add(scheduler, job_row(step, job="00000000000000bb"), version=10)
    assert planned_starts(scheduler, 2) == []
    end = RunEnd(1, stray, EndKind.STOPPED)
    scheduler.handle_report(report(LIFE, ended=(end,)), 3, 3)
    assert len(planned_starts(scheduler, 4)) == 1


def test_step_waits_for_the_steps_it_depends_on(make_scheduler):
    scheduler = make_scheduler()
    row = job_row(
        Step(2, Resources(1_000, 1)), Step(1, Resources(1_000, 1), after=(0,))
    )
    add(scheduler, row, version=1)
    first = planned_starts(scheduler)
    assert [run.task.step for run in first] == [0, 0]
    run_to_end(scheduler, first[0], 1)
    assert planned_starts(scheduler, 3) == []
    run_to_end(scheduler, first[1], 2)
    assert [run.task.step for run in planned_starts(scheduler, 4)] == [1]


def test_ends_are_acknowledged_only_once_written(make_scheduler):
    scheduler = make_scheduler()
    add(scheduler, job_row(Step(2, Resources(1_000, 1))), version=1)
    first, _ = planned_starts(scheduler)
    run_to_end(scheduler, first)
    view = scheduler.targets[LIFE]
    assert scheduler.ends.acknowledge(view) == 0
    write_all(scheduler, version=2)
    assert scheduler.ends.acknowledge(view) == 1


def test_end_of_a_gang_without_lost_members_is_recorded(make_scheduler):
    """Guards against the removal of waiting tasks that the gang does not have."""
    scheduler = make_scheduler()
    gang = Step(2, Resources(3_000, 1), is_gang=True)
    rest = Step(1, Resources(1_000, 1), after=(0,))
    add(scheduler, job_row(gang, rest), version=1)
    run, _ = planned_starts(scheduler)
    run_to_end(scheduler, run)
    assert [started.task.step for started in planned_starts(scheduler, 4)] == [1]


def test_done_gang_has_no_waiting_task_for_a_member_that_was_lost(make_scheduler):
    """Guards against demand for a start that is not due any more."""
    scheduler = make_scheduler()
    gang = Step(2, Resources(3_000, 1), is_gang=True)
    rest = Step(1, Resources(1_000, 1), after=(0,))
    add(scheduler, job_row(gang, rest), version=1)
    lost, done = planned_starts(scheduler)
    for run in (lost, done):
        scheduler.handle_order_result(LIFE, StartOrder(run, "text"), Executed(), 1)
    ends = (RunEnd(1, lost, EndKind.LAPSED), RunEnd(2, done, EndKind.DONE))
    scheduler.handle_report(report(LIFE, ended=ends), 2, 3)
    assert scheduler.jobs[JOB].count_waiting_of(0) == 0


def test_done_task_does_not_wait_because_its_run_was_given_up(make_scheduler):
    """Guards against demand for a start that is not due any more."""
    scheduler = make_scheduler()
    rest = Step(1, Resources(1_000, 1), after=(0,))
    add(scheduler, job_row(Step(2, Resources(1_000, 1)), rest), version=1)
    missing, other = planned_starts(scheduler)
    for run in (missing, other):
        scheduler.handle_order_result(LIFE, StartOrder(run, "text"), Executed(), 1)
    active = (ActiveRun(other, "", 10),)
    scheduler.handle_report(report(LIFE, active=active), 2, 3)
    assert scheduler.jobs[JOB].count_waiting_of(0) == 1
    ended = (RunEnd(1, missing, EndKind.DONE),)
    scheduler.handle_report(report(LIFE, active=active, ended=ended), 4, 5)
    assert scheduler.jobs[JOB].count_waiting_of(0) == 0


@pytest.mark.parametrize("is_gang", [False, True])
def test_task_that_is_done_in_a_later_row_does_not_wait(make_scheduler, is_gang):
    """Guards against demand for work that another owner has seen end."""
    scheduler = make_scheduler()
    step = Step(2, Resources(5_000, 1), is_gang=is_gang)
    rest = Step(1, Resources(1_000, 1), after=(0,))
    add(scheduler, job_row(step, rest), version=1)
    assert scheduler.jobs[JOB].count_waiting_of(0) == 2
    done = Progress(done={(0, 0): {0, 1}})
    add(scheduler, job_row(step, rest, progress=done), version=2)
    assert scheduler.jobs[JOB].count_waiting_of(0) == 0
    assert [run.task.step for run in planned_starts(scheduler)] == [1]


def test_gang_starts_whole_or_not_at_all(make_scheduler):
    scheduler = make_scheduler()
    gang = Step(3, Resources(3_000, 1), is_gang=True)
    add(scheduler, job_row(gang), version=1)
    assert planned_starts(scheduler) == []
    assert scheduler.targets[LIFE].used == Resources()
    scheduler.update_targets([target(LIFE), target(TargetLife("t-2", 1))], 1)
    scheduler.handle_report(report(TargetLife("t-2", 1)), 1, 1)
    assert {run.number for run in planned_starts(scheduler, 2)} == {1}


def test_end_that_is_listed_at_a_takeover_is_not_run_again(make_scheduler):
    scheduler = PoolScheduler("pool", 2)
    scheduler.update_targets([target(LIFE)], 0)
    ended, other = (Run(TaskId(JOB, 0, 0, index), 1) for index in (0, 1))
    end = RunEnd(7, ended, EndKind.DONE)
    scheduler.handle_report(report(LIFE, ended=(end,)), 0, 0)
    add(scheduler, job_row(Step(2, Resources(1_000, 1))), version=1)
    scheduler.mark_loaded(1)
    assert [run.task for run in planned_starts(scheduler, 2)] == [other.task]


def test_lost_lasting_task_starts_before_a_backlog_of_batch_tasks(
    make_scheduler,
):
    scheduler = make_scheduler()
    lasting = Step(1, Resources(8_000, 1), estimated_ms=90_000, is_lasting=True)
    add(scheduler, job_row(lasting, job="00000000000000bb"), version=1)
    (lost,) = planned_starts(scheduler)
    scheduler.handle_order_result(LIFE, StartOrder(lost, "text"), Executed(), 1)
    late_ms = 100_000
    add(
        scheduler, job_row(Step(8, Resources(1_000, 1), 500)), version=2, now_ms=late_ms
    )
    end = RunEnd(1, lost, EndKind.FAILED)
    scheduler.handle_report(report(LIFE, ended=(end,)), late_ms, late_ms)
    assert [run.task for run in planned_starts(scheduler, late_ms)] == [lost.task]


def test_job_that_is_already_late_starts_after_one_that_can_be_on_time(
    make_scheduler,
):
    scheduler = make_scheduler()
    queue = replace(QUEUE, slack_ms=600)
    for version, job, sent_ms, count in ((1, "aa", 0, 1), (2, "bb", 1_000, 2)):
        row = job_row(Step(count, Resources(4_000, 1), 1_000), job=job)
        scheduler.add_job(job_key(QUEUE.name, job), row, version, queue, sent_ms)
    assert [run.task.job for run in planned_starts(scheduler, 1_100)] == ["bb", "bb"]


def test_occurrences_start_when_they_are_due(make_scheduler):
    scheduler = make_scheduler()
    row = job_row(Step(1, Resources(1_000, 1)))
    spec = replace(row.spec, recurrence=Recurrence(3, 100, 50))
    add(scheduler, replace(row, spec=spec), version=1)
    runs_by_time = {
        now_ms: planned_starts(scheduler, now_ms) for now_ms in (99, 100, 149, 150, 300)
    }
    due = {
        now_ms: [run.task.occurrence for run in runs]
        for now_ms, runs in runs_by_time.items()
    }
    assert due == {99: [], 100: [0], 149: [], 150: [1], 300: [2]}


def test_due_occurrence_starts_before_late_jobs(make_scheduler):
    scheduler = make_scheduler()
    row = job_row(Step(1, Resources(8_000, 1)), job="00000000000000bb")
    spec = replace(row.spec, recurrence=Recurrence(2, 60_000, 1_000))
    add(scheduler, replace(row, spec=spec), version=1)
    add(scheduler, job_row(Step(1, Resources(8_000, 1), 1)), version=2, now_ms=50_000)
    assert [run.task.job for run in planned_starts(scheduler, 60_000)] == [
        "00000000000000bb"
    ]


def test_open_runs_are_reported_to_the_successor(make_scheduler):
    scheduler = make_scheduler()
    add(scheduler, job_row(Step(1, Resources(1_000, 1))), version=1)
    (run,) = planned_starts(scheduler)
    assert scheduler.open_runs() == (OpenRuns(LIFE, (run.task.job,)),)


def test_ended_lives_are_returned_once(make_scheduler):
    scheduler = make_scheduler(target(LIFE), target(OTHER_LIFE))
    scheduler.end_life(OTHER_LIFE, "other_life", 1)
    assert scheduler.take_ended_lives() == [OTHER_LIFE]
    assert scheduler.take_ended_lives() == []


def test_pool_load_counts_blocked_jobs_as_waiting(make_scheduler):
    scheduler = make_scheduler()
    row = job_row(Step(4, Resources(1_000, 1)))
    key = job_key(QUEUE.name, row.spec.id)
    scheduler.add_job(key, row, 1, QUEUE, 0, may_have_run=True)
    assert planned_starts(scheduler) == []
    assert scheduler.pool_load(0).waiting == Resources(4_000, 4)


def test_pool_load_shows_blocked_demand_until_it_may_start(make_scheduler):
    scheduler = make_scheduler()
    row = job_row(Step(12, Resources(1_000, 1)))
    key = job_key(QUEUE.name, row.spec.id)
    scheduler.add_job(key, row, 1, QUEUE, 0, may_have_run=True)
    assert scheduler.pool_load(0).held_back == Resources(12_000, 12)
    scheduler.unblock_jobs()
    planned_starts(scheduler)
    load = scheduler.pool_load(0)
    assert load.waiting != Resources()
    assert load.held_back == Resources()


def test_row_of_a_later_generation_fences_the_owner(make_scheduler):
    scheduler = make_scheduler(generation=1)
    row = job_row(Step(1, Resources(1_000, 1)))
    add(scheduler, replace(row, generation=2), version=1)
    add(scheduler, row, version=2)
    assert scheduler.is_fenced
    assert planned_starts(scheduler) == []
