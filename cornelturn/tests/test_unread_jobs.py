"""Tests a new owner that gets reports of jobs whose rows it has not read yet."""

from __future__ import annotations

import pytest

from cornelturn.jobs.model import EndKind, JobSpec, Resources, Run, RunEnd, Step, TaskId
from cornelturn.jobs.progress import Progress
from cornelturn.jobs.rows import JobRow, decode_job, job_key
from cornelturn.model.routes import JobQueue
from cornelturn.scheduling.pool import PoolScheduler
from cornelturn.scheduling.run_numbers import RUN_NUMBERS_PER_GENERATION
from cornelturn.targets.address import TargetAddress
from cornelturn.targets.model import (
    ActiveRun,
    ListedTarget,
    StartOrder,
    StopOrder,
    TargetLife,
    TargetReport,
)

QUEUE = JobQueue("lookups", "host", "/lookups/", "pool", max_attempts=2)
LIFE = TargetLife("t-1", 1)
JOB = "00000000000000aa"
OTHER_JOB = "00000000000000bb"
RUN = Run(TaskId(JOB, 0, 0, 0), 1)
LISTED = ListedTarget(
    life=LIFE,
    pool="pool",
    address=TargetAddress.loopback(1),
    data_centre="dc",
    rack="r1",
    labels=frozenset(),
    capacity=Resources(8_000, 64_000, 0),
    is_draining=False,
)


@pytest.fixture
def scheduler() -> PoolScheduler:
    """Return the scheduler of a second owner after its first scan of the rows."""
    scheduler = PoolScheduler("pool", 2)
    scheduler.update_targets([LISTED], 0)
    scheduler.mark_loaded(0)
    return scheduler


def add(scheduler: PoolScheduler, job: str = JOB, progress=None) -> None:
    spec = JobSpec(job, QUEUE.name, "pool", "text", (Step(1, Resources(1_000, 1)),))
    row = JobRow(spec, progress or Progress())
    scheduler.add_job(job_key(QUEUE.name, job), row, 1, QUEUE, 2)


def report(scheduler: PoolScheduler, now_ms: int, active=(), ended=()) -> None:
    target_report = TargetReport(LIFE, now_ms, active, ended)
    scheduler.handle_report(target_report, now_ms, now_ms)


def orders(scheduler: PoolScheduler, kind: type, now_ms: int) -> list[Run]:
    planned = scheduler.plan(now_ms)
    return [given.order.run for given in planned if isinstance(given.order, kind)]


def acknowledged(scheduler: PoolScheduler) -> list[int]:
    return [ends.sequence for ends in scheduler.take_acknowledgements()]


def test_end_is_not_acknowledged_before_the_row_of_its_job_is_read(scheduler):
    end = RunEnd(1, RUN, EndKind.DONE)
    report(scheduler, 1, ended=(end,))
    assert 1 not in acknowledged(scheduler)
    add(scheduler)
    report(scheduler, 3, ended=(end,))
    assert orders(scheduler, StartOrder, 4) == []
    for write in scheduler.start_writes():
        scheduler.finish_write(write, 9, 5)
    assert acknowledged(scheduler) == [1]


def test_ends_after_one_of_an_unread_job_are_read_later_too(scheduler):
    add(scheduler, OTHER_JOB)
    other = Run(TaskId(OTHER_JOB, 0, 0, 0), 1)
    ended = (RunEnd(1, RUN, EndKind.DONE), RunEnd(2, other, EndKind.DONE))
    report(scheduler, 1, (ActiveRun(other, "", 10),))
    report(scheduler, 2, ended=ended)
    assert orders(scheduler, StartOrder, 3) == []
    add(scheduler)
    report(scheduler, 4, ended=ended)
    assert orders(scheduler, StartOrder, 5) == []


def test_run_of_an_unread_job_continues_once_its_row_is_read(scheduler):
    report(scheduler, 1, (ActiveRun(RUN, "", 10),))
    assert orders(scheduler, StopOrder, 1) == []
    add(scheduler)
    report(scheduler, 3, (ActiveRun(RUN, "", 20),))
    assert scheduler.plan(3) == []


def test_run_of_an_unread_job_that_is_final_is_stopped(scheduler):
    report(scheduler, 1, (ActiveRun(RUN, "", 10),))
    add(scheduler, progress=Progress(is_cancelled=True))
    assert orders(scheduler, StopOrder, 3) == [RUN]


def test_unknown_runs_and_ends_are_strays_once_all_jobs_are_read(scheduler):
    finished_run = Run(TaskId(OTHER_JOB, 0, 0, 0), 1)
    end = RunEnd(1, finished_run, EndKind.DONE)
    report(scheduler, 1, (ActiveRun(RUN, "", 10),), (end,))
    scheduler.mark_all_jobs_read()
    assert orders(scheduler, StopOrder, 2) == [RUN]
    report(scheduler, 3, (ActiveRun(RUN, "", 10),), (end,))
    assert acknowledged(scheduler) == [1]


def test_end_of_a_final_job_is_acknowledged_at_once(scheduler):
    add(scheduler, OTHER_JOB, Progress(done={(0, 0): {0}}))
    finished_run = Run(TaskId(OTHER_JOB, 0, 0, 0), 1)
    report(scheduler, 3, ended=(RunEnd(1, finished_run, EndKind.DONE),))
    assert acknowledged(scheduler) == [1]


def test_task_whose_end_was_reported_before_its_row_is_not_started_again(scheduler):
    report(scheduler, 1, ended=(RunEnd(1, RUN, EndKind.DONE),))
    add(scheduler)
    assert orders(scheduler, StartOrder, 2) == []


def test_end_of_a_known_job_is_read_though_one_of_an_unread_job_precedes(scheduler):
    add(scheduler, OTHER_JOB)
    other = Run(TaskId(OTHER_JOB, 0, 0, 0), 1)
    ended = (RunEnd(1, RUN, EndKind.DONE), RunEnd(2, other, EndKind.DONE))
    report(scheduler, 1, ended=ended)
    assert orders(scheduler, StartOrder, 2) == []
    assert [write.job for write in scheduler.start_writes()] == [OTHER_JOB]


def test_ends_are_acknowledged_in_order_once_all_rows_are_written(scheduler):
    add(scheduler, OTHER_JOB)
    other = Run(TaskId(OTHER_JOB, 0, 0, 0), 1)
    ended = (RunEnd(1, RUN, EndKind.DONE), RunEnd(2, other, EndKind.DONE))
    report(scheduler, 1, ended=ended)
    for write in scheduler.start_writes():
        scheduler.finish_write(write, 9, 2)
    assert acknowledged(scheduler) == [0]
    add(scheduler)
    assert acknowledged(scheduler) == [0]
    for write in scheduler.start_writes():
        scheduler.finish_write(write, 10, 3)
    assert acknowledged(scheduler) == [2]


def test_failures_reported_before_the_row_of_their_job_use_up_attempts(scheduler):
    ended = tuple(
        RunEnd(number, Run(RUN.task, number), EndKind.FAILED) for number in (1, 2)
    )
    report(scheduler, 1, ended=ended)
    add(scheduler)
    assert orders(scheduler, StartOrder, 2) == []
    (write,) = scheduler.start_writes()
    assert decode_job(write.put.key, write.put.value).unwrap().progress.is_failed


def test_target_with_an_ended_run_of_an_unread_job_gets_tasks(scheduler):
    report(scheduler, 1, (ActiveRun(RUN, "", 10),))
    report(scheduler, 2, ended=(RunEnd(1, RUN, EndKind.DONE),))
    add(scheduler, OTHER_JOB)
    assert orders(scheduler, StartOrder, 3) == [
        Run(TaskId(OTHER_JOB, 0, 0, 0), RUN_NUMBERS_PER_GENERATION + 1)
    ]


def test_run_of_an_unread_job_is_not_evacuated(scheduler):
    report(scheduler, 1, (ActiveRun(RUN, "", 10),))
    scheduler.set_cordoned({LIFE.name})
    assert orders(scheduler, StopOrder, 2) == []
