"""Jobs with many due occurrences: what a pass costs, counted in calls.

Guards against an owner that is busy with one job until its lease is lost.
"""

from __future__ import annotations

import gc
import sys
import weakref
from collections.abc import Callable
from dataclasses import replace

import pytest

from cornelturn.jobs.model import (
    Step,
    TaskId,
)
from cornelturn.jobs.progress import Progress
from cornelturn.jobs.rows import decode_job, encode_job
from cornelturn.store.limits import StoreLimits
from cornelturn.tests.due_occurrences import (
    FEW,
    JOB,
    MANY,
    SLOTS,
    STEP,
    add,
    end,
    make_scheduler,
    occurrences,
    recurrent_row,
    start_planned,
)


def count_calls(work: Callable[[], object]) -> int:
    """Return how many functions some work calls, those of libraries included.

    No garbage is collected meanwhile: a collection calls the weak-reference callbacks
    and finalizers of garbage that earlier tests left, two calls for each task.
    """
    calls = 0

    def note(frame: object, event: str, argument: object) -> None:
        nonlocal calls
        calls += event in ("call", "c_call")

    was_enabled = gc.isenabled()
    gc.disable()
    sys.setprofile(note)
    try:
        work()
    finally:
        sys.setprofile(None)
        if was_enabled:
            gc.enable()
    return calls


class Node:
    """An object that refers to itself, so that only a collection frees it."""

    def __init__(self) -> None:
        self.itself = self


def test_count_leaves_out_collections_of_garbage():
    # Guards against costs that seem to grow when a collection falls into a count:
    # 1,478 tasks left by earlier tests add 2,956 calls to the 5,838 of a first plan.
    freed: list[weakref.ref[Node]] = []

    freed_counts: list[int] = []

    def leave_garbage() -> None:
        references = [weakref.ref(Node(), freed.append) for _ in range(10_000)]
        assert len(references) == 10_000
        freed_counts.append(len(freed))

    count_calls(leave_garbage)
    assert freed_counts == [0]
    assert gc.isenabled()


def cost_of_an_end(due: int, *steps: Step) -> int:
    """Return the calls for an end, the next plan, the load and the counts."""
    scheduler = make_scheduler()
    add(scheduler, recurrent_row(due, *steps))
    runs = start_planned(scheduler)
    scheduler.pool_load(0)

    def handle_end() -> None:
        end(scheduler, 1, runs[0])
        scheduler.plan(2)
        scheduler.pool_load(0)
        scheduler.pending_by_queue()
        scheduler.jobs[JOB].count_waiting()
        scheduler.jobs[JOB].remaining_work()

    return count_calls(handle_end)


@pytest.mark.parametrize(
    "steps",
    [(STEP,), (STEP, replace(STEP, after=(0,))), (replace(STEP, max_per_target=1),)],
)
def test_cost_of_an_end_does_not_grow_with_the_due_occurrences(steps):
    assert cost_of_an_end(MANY, *steps) <= 1.2 * cost_of_an_end(FEW, *steps)


def cost_of_an_end_with_waiting_second_steps(occurrence_count: int) -> int:
    """Return the calls for an end while the second steps fill the pool and wait."""
    done = {(number, 0): {0} for number in range(occurrence_count)}
    row = recurrent_row(
        occurrence_count, STEP, replace(STEP, after=(0,)), progress=Progress(done=done)
    )
    # The rows of the default size would keep most of the second steps from opening.
    scheduler = make_scheduler(limits=StoreLimits(10_000_000, 20_000_000))
    add(scheduler, row)
    runs = start_planned(scheduler)
    scheduler.pool_load(0)

    def handle_end() -> None:
        end(scheduler, 1, runs[1])
        scheduler.plan(2)
        scheduler.pool_load(0)

    return count_calls(handle_end)


def test_cost_of_an_end_does_not_grow_with_the_opened_steps():
    many = cost_of_an_end_with_waiting_second_steps(5_000)
    assert many <= 1.2 * cost_of_an_end_with_waiting_second_steps(50)


def test_cost_of_the_first_plan_does_not_grow_with_the_due_occurrences():
    def first_plan(due: int) -> int:
        scheduler = make_scheduler()

        def plan() -> None:
            add(scheduler, recurrent_row(due))
            scheduler.plan(1)

        return count_calls(plan)

    assert first_plan(MANY) <= 1.2 * first_plan(FEW)


def test_cost_of_an_end_of_a_cancelled_job_does_not_grow_with_its_former_runs():
    def cost(occurrence_count: int) -> int:
        scheduler = make_scheduler()
        add(scheduler, recurrent_row(occurrence_count + SLOTS))
        runs = start_planned(scheduler)
        for sequence in range(1, occurrence_count + 1):
            end(scheduler, sequence, runs.pop(0))
            runs += start_planned(scheduler, sequence)
        row = recurrent_row(occurrence_count + SLOTS)
        add(scheduler, replace(row, progress=Progress(is_cancelled=True)), 9)
        scheduler.plan(1)
        return count_calls(lambda: end(scheduler, occurrence_count + 1, runs[0]))

    assert cost(500) <= 1.2 * cost(10)


@pytest.mark.parametrize("steps", [(STEP,), (STEP, replace(STEP, after=(0,)))])
def test_cost_of_a_row_does_not_grow_with_the_done_occurrences(steps):
    # Guards against turns of 150 ms for writing the row of a job, and of 1.5 s for
    # taking it up, with 90,000 done occurrences.
    def cost(done_count: int) -> tuple[int, int]:
        done = {
            (occurrence, number): {0}
            for occurrence in range(done_count)
            for number in range(len(steps))
        }
        row = recurrent_row(done_count + 100, *steps, progress=Progress(done=done))
        text = encode_job(row)
        scheduler = make_scheduler()

        def take_up() -> None:
            add(scheduler, decode_job("key", text).unwrap())

        taken_up = count_calls(take_up)
        runs = start_planned(scheduler)
        assert occurrences(runs) == list(range(done_count, done_count + SLOTS))
        end(scheduler, 1, runs[0])
        return taken_up, count_calls(scheduler.start_writes)

    few, many = cost(FEW), cost(MANY)
    assert many[0] <= 1.2 * few[0]
    assert many[1] <= 1.2 * few[1]


def test_completion_is_found_without_going_through_all_steps():
    spec = recurrent_row(MANY).spec
    progress = Progress(done={(number, 0): {0} for number in range(MANY - 1)})
    assert not progress.is_complete(spec)
    assert count_calls(lambda: progress.is_complete(spec)) <= 10
    progress.add_done(TaskId(JOB, MANY - 1, 0, 0))
    assert progress.is_complete(spec)
