"""Jobs with many due occurrences: what a pass starts, and in which order.

Guards against occurrences that are left out or started twice, and against a different
start order.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from cornelturn.jobs.model import (
    JobSpec,
    Recurrence,
    Resources,
    Run,
    TaskId,
)
from cornelturn.jobs.progress import Progress
from cornelturn.jobs.rows import JobRow, job_key
from cornelturn.model.routes import RoutingTable
from cornelturn.scheduling.pool import PoolScheduler
from cornelturn.targets.model import (
    ActiveRun,
    TargetReport,
)
from cornelturn.tests.due_occurrences import (
    JOB,
    LIFE,
    MANY,
    OTHER,
    QUEUE,
    SLOTS,
    STEP,
    add,
    end,
    make_scheduler,
    occurrences,
    recurrent_row,
    start_planned,
)


@pytest.fixture
def scheduler() -> PoolScheduler:
    """Return the scheduler of a pool with one target, which has room for 8 tasks."""
    return make_scheduler()


def test_more_occurrences_begun_than_fit_in_the_row_are_completed(scheduler):
    # Guards against LOST: an earlier version may have begun more than the row has room
    # for, so that no further step would open.
    done = {(number, 0): {0} for number in range(3_000)}
    second = replace(STEP, after=(0,))
    add(scheduler, recurrent_row(3_000, STEP, second, progress=Progress(done=done)))
    sequence = 0
    while runs := start_planned(scheduler, sequence + 1):
        for run in runs:
            sequence += 1
            end(scheduler, sequence, run)
    assert sequence == 3_000


def test_all_due_occurrences_start_once_and_in_order(scheduler):
    add(scheduler, recurrent_row(50))
    active = start_planned(scheduler)
    assert occurrences(active) == list(range(SLOTS))
    started = list(active)
    sequence = 0
    while active:
        sequence += 1
        end(scheduler, sequence, active.pop(0))
        starts = start_planned(scheduler, sequence)
        active += starts
        started += starts
    assert occurrences(started) == list(range(50))
    assert scheduler.jobs[JOB].is_final()


def test_all_due_tasks_count_as_waiting(scheduler):
    add(scheduler, recurrent_row(1_000, replace(STEP, count=2)))
    assert scheduler.jobs[JOB].count_waiting() == 2_000
    assert scheduler.pool_load(0).waiting == Resources(2_000_000, 2_000)
    start_planned(scheduler)
    assert scheduler.jobs[JOB].count_waiting() == 2_000 - SLOTS
    assert scheduler.pool_load(0).waiting.cpu == (2_000 - SLOTS) * 1_000


def test_cancelled_job_has_no_waiting_tasks(scheduler):
    row = recurrent_row(1_000)
    add(scheduler, row)
    add(scheduler, replace(row, progress=Progress(is_cancelled=True)), version=2)
    assert scheduler.plan(1) == []
    assert scheduler.pool_load(0).waiting == Resources()


def test_next_owner_starts_only_what_is_neither_done_nor_running():
    done = {(number, 0): {0} for number in (*range(100), 102, 300)}
    scheduler = make_scheduler(generation=2)
    add(scheduler, recurrent_row(400, progress=Progress(done=done)))
    running = tuple(
        ActiveRun(Run(TaskId(JOB, number, 0, 0), 1), "", 10) for number in (101, 250)
    )
    scheduler.handle_report(TargetReport(LIFE, 0, running, ()), 1, 1)
    assert scheduler.jobs[JOB].count_waiting() == 400 - 104
    assert occurrences(start_planned(scheduler)) == [100, 103, 104, 105, 106, 107]


def test_second_steps_start_before_later_occurrences(scheduler):
    add(scheduler, recurrent_row(100, STEP, replace(STEP, after=(0,))))
    runs = start_planned(scheduler)
    end(scheduler, 1, runs[3])
    (started,) = start_planned(scheduler, 2)
    assert (started.task.occurrence, started.task.step) == (3, 1)


def test_steps_open_after_ends_in_a_newer_row(scheduler):
    steps = (STEP, replace(STEP, after=(0,)))
    add(scheduler, recurrent_row(20, *steps))
    scheduler.set_cordoned({LIFE.name})
    done = {(number, 0): {0} for number in range(16)}
    add(scheduler, recurrent_row(20, *steps, progress=Progress(done=done)), version=2)
    scheduler.set_cordoned(())
    tasks = [run.task for run in start_planned(scheduler)]
    assert [(task.occurrence, task.step) for task in tasks] == [
        (number, 1) for number in range(SLOTS)
    ]
    assert scheduler.jobs[JOB].count_waiting() == 16 - SLOTS + 4


def test_plan_orders_a_limited_number_of_starts_and_is_continued(scheduler):
    add(scheduler, recurrent_row(10))
    counts: list[int] = []
    for _ in range(3):
        counts.append(len(scheduler.plan(1, max_starts=3)))
        assert scheduler.has_more_starts() is (len(counts) < 3)
    assert counts == [3, 3, 2]


@pytest.mark.parametrize("is_fenced", [False, True])
def test_plan_is_not_continued_without_targets_or_authority(scheduler, is_fenced):
    add(scheduler, recurrent_row(10))
    scheduler.plan(1, max_starts=3)
    assert scheduler.has_more_starts()
    scheduler.set_cordoned({LIFE.name})
    scheduler.is_fenced = is_fenced
    assert scheduler.plan(2, max_starts=3) == []
    assert not scheduler.has_more_starts()


def test_job_that_comes_first_starts_before_the_due_occurrences(scheduler):
    add(scheduler, recurrent_row(1_000, replace(STEP, estimated_ms=10_000)))
    other = JobRow(JobSpec(OTHER, QUEUE.name, "pool", "text", (STEP,)), Progress())
    add(scheduler, other)
    assert [run.task.job for run in start_planned(scheduler)] == [OTHER] + [JOB] * 7


@pytest.mark.parametrize("due", [10, 1_000, 10_000, 100_000])
@pytest.mark.parametrize("done_share", [0.0, 0.9])
def test_small_jobs_of_the_same_queue_start_while_occurrences_are_due(due, done_share):
    # Guards against waits of seconds, while a job with due occurrences fills the pool
    # and comes first as soon as its first occurrence is done.
    scheduler = make_scheduler()
    done = {(number, 0): {0} for number in range(round(due * done_share))}
    add(scheduler, recurrent_row(due, progress=Progress(done=done)))
    active: list[tuple[int, Run]] = []
    waits_ms: dict[str, int] = {}
    sequence = 0
    for now_ms in range(0, 2_000, 10):
        while active and active[0][0] <= now_ms:
            sequence += 1
            end(scheduler, sequence, active.pop(0)[1])
        if now_ms % 50 == 0 and now_ms < 1_500:
            job = f"{now_ms:016x}"
            waits_ms[job] = 2_000
            spec = JobSpec(job, QUEUE.name, "pool", "text", (STEP,))
            key = job_key(QUEUE.name, job)
            row = JobRow(spec, Progress())
            scheduler.add_job(key, row, now_ms + 1, QUEUE, now_ms)
        for run in start_planned(scheduler, now_ms):
            active.append((now_ms + STEP.estimated_ms, run))
            waits_ms[run.task.job] = now_ms - int(run.task.job, 16)
        waiting = sum(job.count_waiting() for job in scheduler.jobs.values())
        assert len(active) == SLOTS or waiting == 0
    del waits_ms[JOB]
    assert max(waits_ms.values()) <= 500


def test_jobs_of_few_due_occurrences_come_before_those_of_many(scheduler):
    # Guards against a job that comes last for occurrences that are not due yet.
    add(scheduler, recurrent_row(1_000))
    spec = replace(recurrent_row(1_000).spec, id=OTHER)
    row = JobRow(replace(spec, recurrence=Recurrence(1_000, 0, 10)), Progress())
    scheduler.add_job(job_key(QUEUE.name, OTHER), row, 1, QUEUE, 0)
    started = [run.task.job for run in start_planned(scheduler, 15)]
    assert started == [OTHER] * 2 + [JOB] * 6


def test_occurrences_on_time_start_before_late_ones_and_as_soon_as_others(scheduler):
    # Guards against a job that lags and starts only occurrences that are late already.
    queue = replace(QUEUE, slack_factor=0, slack_ms=600)
    spec = recurrent_row(1_000).spec
    spec = replace(spec, recurrence=Recurrence(1_000, 0, 10))
    scheduler.add_job(job_key(QUEUE.name, JOB), JobRow(spec, Progress()), 1, queue, 0)
    scheduler.set_cordoned({LIFE.name})
    scheduler.plan(1)
    scheduler.plan(995)
    large = JobSpec(OTHER, QUEUE.name, "pool", "text", (replace(STEP, count=70),))
    row = JobRow(large, Progress())
    scheduler.add_job(job_key(QUEUE.name, OTHER), row, 2, queue, 995)
    scheduler.set_cordoned(())
    # On time are those due in the last 500 ms: 100 ms of the objective are run time.
    started = start_planned(scheduler, 995)
    assert [run.task.job for run in started] == [JOB] * SLOTS
    assert occurrences(started) == list(range(50, 50 + SLOTS))
    # Once none is on time, the other job precedes them; its objective ends at 1,595.
    for sequence, run in enumerate(started, 1):
        end(scheduler, sequence, run)
    job = scheduler.jobs[JOB]
    assert job.forecast(995).outlooks.late_count == 50
    done = {(number, 0): {0} for number in range(50, 100)}
    add(scheduler, JobRow(spec, Progress(done=done)), 3)
    started = start_planned(scheduler, 999)
    assert [run.task.job for run in started] == [OTHER] * SLOTS


def test_late_occurrences_that_a_new_objective_puts_on_time_start(scheduler):
    # Guards against occurrences that are never opened: the search for those on time
    # had begun after them when the configuration gave their queue more time.
    queue = replace(QUEUE, slack_factor=0, slack_ms=600)
    spec = replace(recurrent_row(100).spec, recurrence=Recurrence(100, 0, 10))
    scheduler.add_job(job_key(QUEUE.name, JOB), JobRow(spec, Progress()), 1, queue, 0)
    active = start_planned(scheduler, 995)
    assert occurrences(active)[0] > 0
    scheduler.update_routing(RoutingTable(2, (replace(queue, slack_ms=60_000),)), 995)
    started = list(active)
    sequence = 0
    while active:
        sequence += 1
        end(scheduler, sequence, active.pop(0))
        starts = start_planned(scheduler, 995 + sequence)
        active += starts
        started += starts
    assert sorted(occurrences(started)) == list(range(100))


def test_keys_of_waiting_steps_change_rarely_while_occurrences_are_due(scheduler):
    # Guards against new keys for all waiting steps at each of many ends.
    add(scheduler, recurrent_row(1_000))
    job = scheduler.jobs[JOB]
    active = start_planned(scheduler)
    works = {job.remaining_work()}
    for sequence in range(1, 1_001):
        end(scheduler, sequence, active.pop(0))
        active += start_planned(scheduler, sequence)
        works.add(job.remaining_work())
    assert min(works) == 0
    assert len(works) <= 2 + 7 + 8


def test_recurrence_with_passing_time_opens_what_becomes_due(scheduler):
    row = recurrent_row(100)
    spec = replace(row.spec, recurrence=Recurrence(100, 0, 10))
    add(scheduler, replace(row, spec=spec))
    assert occurrences(start_planned(scheduler, 5)) == [0]
    assert occurrences(start_planned(scheduler, 25)) == [1, 2]
    assert scheduler.jobs[JOB].count_waiting() == 0


def test_failed_runs_of_completed_occurrences_are_forgotten():
    # Guards against progress that grows with all failures of a long recurrence, while
    # the row, and so the next owner, lacks those of done tasks.
    spec = recurrent_row(MANY).spec
    progress, former = Progress(), Progress()
    for number in range(50):
        task = TaskId(JOB, number, 0, 0)
        progress.add_failed(task, 1)
        former.add_failed(task, 1)
        progress.add_done(task)
        progress.compact(spec, {number})
    assert set(progress.failed) == {(0, 0, 0)}
    assert progress.merge(former) == set()
    assert set(progress.failed) == {(0, 0, 0)}
    former.merge(progress)
    assert former == progress
