"""Jobs of very many tasks that fit nowhere, beside usual ones.

Guards against an owner that stops for seconds, loses its pool and needs more memory
than its machine has, as it creates an entry for each task that waits.
"""

from __future__ import annotations

import tracemalloc
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cornelturn.jobs.model import EndKind, Resources, RunEnd, Step
from cornelturn.scheduling.pool import PoolScheduler
from cornelturn.scheduling.waiting_indices import WaitingIndices
from cornelturn.tests.pool_jobs import (
    LIFE,
    add,
    job_row,
    new_scheduler,
    planned_starts,
    report,
    write_all,
)

MAX_STEPS, MAX_TASKS = 100, 10_000
USUAL_JOB = "00000000000000b1"
USUAL = Step(2, Resources(1_000, 1), 300)
HOPELESS = Step(MAX_TASKS, Resources(1_000_000, 1))
MAX_OWNER_BYTES = 64 << 20
"""A fifth of the 300 MB of a small machine, beside what the process needs itself."""


def hopeless_id(number: int) -> str:
    return f"{0xC0000 + number:016x}"


def add_hopeless(scheduler: PoolScheduler, jobs: int, steps: int, step: Step) -> None:
    for number in range(jobs):
        add(scheduler, job_row(*[step] * steps, job=hopeless_id(number)), version=1)


@pytest.mark.parametrize("is_gang", [False, True])
@pytest.mark.parametrize("is_lasting", [False, True])
@pytest.mark.parametrize(("jobs", "steps"), [(1, MAX_STEPS), (100, 1)])
def test_a_million_hopeless_tasks_need_little_memory(jobs, steps, is_lasting, is_gang):
    scheduler = new_scheduler()
    step = replace(HOPELESS, is_lasting=is_lasting, is_gang=is_gang)
    tracemalloc.start()
    try:
        add_hopeless(scheduler, jobs, steps, step)
        add(scheduler, job_row(USUAL, job=USUAL_JOB), version=2)
        started = planned_starts(scheduler, 1)
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert [run.task.job for run in started] == [USUAL_JOB] * USUAL.count
    assert peak < MAX_OWNER_BYTES


@pytest.mark.parametrize("is_gang", [False, True])
@pytest.mark.parametrize("is_lasting", [False, True])
def test_entries_of_an_owner_follow_the_runs_and_not_the_waiting_tasks(
    is_lasting, is_gang
):
    scheduler = new_scheduler()
    step = replace(HOPELESS, is_lasting=is_lasting, is_gang=is_gang)
    add_hopeless(scheduler, 3, 10, step)
    for now_ms in range(1, 4):
        scheduler.plan(now_ms)
    assert sum(len(job.tasks) for job in scheduler.jobs.values()) <= len(scheduler.jobs)


def test_steps_that_open_after_others_need_no_entry_for_each_task():
    scheduler = new_scheduler()
    later = replace(HOPELESS, is_lasting=True, after=(0,))
    row = job_row(Step(1, Resources(1_000, 1)), *[later] * (MAX_STEPS - 1))
    add(scheduler, row, version=1)
    (run,) = planned_starts(scheduler, 1)
    end = RunEnd(1, run, EndKind.DONE)
    scheduler.handle_report(report(LIFE, ended=(end,)), 2, 2)
    write_all(scheduler, 2, 3)
    scheduler.plan(4)
    (job,) = scheduler.jobs.values()
    assert job.count_waiting() == (MAX_STEPS - 1) * MAX_TASKS
    assert len(job.tasks) <= 1


INDICES = st.integers(0, 30)
CHANGES = st.lists(st.tuples(st.sampled_from(["add", "discard"]), INDICES))


@given(start=st.integers(0, 5), count=st.integers(0, 20), changes=CHANGES)
def test_waiting_indices_equal_a_set_after_any_changes(start, count, changes):
    """Fails if a task is lost, or waits twice, by the order of starts and returns."""
    waiting = WaitingIndices(start, start + count)
    expected = set(range(start, start + count))
    for change, index in changes:
        getattr(waiting, change)(index)
        getattr(expected, change)(index)
        assert list(waiting) == sorted(expected)
        assert len(waiting) == len(expected)
        assert waiting.intersection(range(40)) == expected
