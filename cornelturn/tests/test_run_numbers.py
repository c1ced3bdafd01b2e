"""Tests that an owner's run numbers are higher than all that targets know of a task."""

from __future__ import annotations

import pytest

from cornelturn.jobs.model import EndKind, JobSpec, Resources, Run, RunEnd, Step, TaskId
from cornelturn.jobs.progress import Progress
from cornelturn.jobs.rows import JobRow, job_key
from cornelturn.model.routes import JobQueue
from cornelturn.scheduling import run_numbers
from cornelturn.scheduling.pool import PoolScheduler
from cornelturn.scheduling.run_numbers import (
    RUN_NUMBERS_PER_GENERATION,
    RunNumbersUsedUp,
    last_run_number,
    next_run_number,
)
from cornelturn.targets.address import TargetAddress
from cornelturn.targets.model import (
    ActiveRun,
    Declined,
    Executed,
    ListedTarget,
    OrderResult,
    StartOrder,
    TargetLife,
    TargetReport,
    Unanswered,
)

JOB = "00000000000000aa"
TASK = TaskId(JOB, 0, 0, 0)
QUEUE = JobQueue("lookups", "host", "/lookups/", "pool", max_attempts=4)
LIFE = TargetLife("t-1", 1)
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


def owner(generation: int) -> PoolScheduler:
    """Return the scheduler of an owner that has read a job with one lasting task."""
    scheduler = PoolScheduler("pool", generation)
    scheduler.update_targets([LISTED], 0)
    scheduler.mark_loaded(0)
    step = Step(1, Resources(1_000, 1), is_lasting=True)
    row = JobRow(JobSpec(JOB, QUEUE.name, "pool", "text", (step,)), Progress())
    scheduler.add_job(job_key(QUEUE.name, JOB), row, 1, QUEUE, 0)
    scheduler.handle_report(TargetReport(LIFE, 0, (), ()), 0, 0)
    return scheduler


def start(
    scheduler: PoolScheduler, now_ms: int, result: OrderResult | None = None
) -> Run:
    """Let the target answer the start that is due, and return its run."""
    (given,) = scheduler.plan(now_ms)
    assert isinstance(given.order, StartOrder)
    answer = result or Executed()
    scheduler.handle_order_result(LIFE, given.order, answer, now_ms)
    return given.order.run


def fail(scheduler: PoolScheduler, run: Run, sequence: int) -> None:
    end = RunEnd(sequence, run, EndKind.FAILED)
    scheduler.handle_report(TargetReport(LIFE, 0, (), (end,)), sequence, sequence)


def release(scheduler: PoolScheduler, now_ms: int) -> None:
    """Report no run, so that a refused one is over."""
    scheduler.handle_report(TargetReport(LIFE, now_ms, (), ()), now_ms, now_ms)


def test_numbers_rise_over_a_change_of_owners_after_many_runs():
    # Guards against LOST: the next owner began with numbers used before (review/2).
    scheduler, run = owner(1), Run(TASK, 0)
    for sequence in range(1, 1_201):
        run = start(scheduler, sequence)
        fail(scheduler, run, sequence)
    assert start(owner(2), 1).number > run.number


def test_owner_uses_no_number_of_its_successor(monkeypatch):
    monkeypatch.setattr(run_numbers, "RUN_NUMBERS_PER_GENERATION", 3)
    scheduler = owner(2)
    for sequence in range(1, 4):
        fail(scheduler, start(scheduler, sequence), sequence)
    with pytest.raises(RunNumbersUsedUp):
        scheduler.plan(4)
    assert start(owner(3), 1).number == 7


def test_first_number_is_past_those_that_earlier_versions_gave():
    for generation in range(2, 100):
        earlier_last = generation * 1_000 + 100_000
        assert next_run_number(generation, 0) > earlier_last


def test_numbers_fit_in_json():
    assert last_run_number(1 << 32) < 1 << 53


def test_refusal_of_a_first_start_leaves_the_refused_numbers_in_one_step():
    scheduler = owner(1)
    refused = start(scheduler, 1, Declined("old"))
    release(scheduler, 2)
    number = start(scheduler, 3).number
    assert number > refused.number + RUN_NUMBERS_PER_GENERATION // 3
    assert number < last_run_number(1) - RUN_NUMBERS_PER_GENERATION // 3


def test_further_refusals_use_up_single_numbers():
    scheduler = owner(1)
    numbers = []
    for now_ms in range(1, 20, 2):
        numbers.append(start(scheduler, now_ms, Declined("old")).number)
        release(scheduler, now_ms + 1)
    assert numbers[-1] - numbers[1] == len(numbers) - 2


def test_refusal_after_a_start_without_an_answer_uses_up_one_number():
    # The start that was not answered has run and ended there.
    scheduler = owner(1)
    run = start(scheduler, 1, Unanswered("late"))
    (given,) = scheduler.plan(1_000)
    scheduler.handle_order_result(LIFE, given.order, Declined("old"), 1_001)
    fail(scheduler, run, 1)
    assert start(scheduler, 1_002).number == run.number + 1


def test_number_beyond_those_of_the_owner_is_left_out():
    scheduler = owner(1)
    run = Run(TASK, last_run_number(1) + 1)
    active = (ActiveRun(run, "", 100),)
    scheduler.handle_report(TargetReport(LIFE, 0, active, ()), 1, 1)
    fail(scheduler, run, 1)
    assert start(scheduler, 2).number == 1
