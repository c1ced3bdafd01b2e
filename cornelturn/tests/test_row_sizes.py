"""Rows and calls of the store that would exceed its limits in size."""

from __future__ import annotations

import random
from dataclasses import dataclass

import msgspec
from result import Err

from cornelturn.jobs.model import JobSpec, Resources, Step, TaskId
from cornelturn.jobs.progress import Progress
from cornelturn.jobs.rows import JobRow, encode_job, job_key, part_of
from cornelturn.platform.store import _encode_transaction
from cornelturn.store.rows import CallTooLarge, Put
from cornelturn.tests.test_group_commit import (
    QUEUE,
    TASKS,
    SlowStore,
    run_jobs,
    small_specs,
)

ROW_BYTES = 65_536
CALL_BYTES = 1_000_000


@dataclass
class LimitedStore(SlowStore):
    """A store that refuses calls and rows beyond its limits.

    Parameters
    ----------
    row_bytes : int
        Largest value of a row.
    refused : int
        Number of refused calls.
    """

    row_bytes: int = ROW_BYTES
    refused: int = 0

    async def commit(self, *operations: Put):
        size = len(msgspec.json.encode(_encode_transaction(operations)))
        largest = max(len(put.value.encode()) for put in operations)
        if size > CALL_BYTES or largest > self.row_bytes:
            self.refused += 1
            return Err(CallTooLarge("status 413"))
        return await SlowStore.commit(self, *operations)


def one_part_specs(count: int, text: str, steps: tuple[Step, ...]) -> list[JobSpec]:
    """Return jobs whose rows are in one part."""
    specs = [
        JobSpec(f"{number:016x}", QUEUE.name, "pool", text, steps)
        for number in range(20 * count)
    ]
    part = part_of(job_key(QUEUE.name, specs[0].id))
    return [s for s in specs if part_of(job_key(QUEUE.name, s.id)) == part][:count]


async def test_commit_of_large_rows_is_split_below_the_limit_of_a_call() -> None:
    """Guards against a commit that is too long, refused and repeated for ever."""
    store = LimitedStore()
    specs = one_part_specs(30, "x" * 60_000, (Step(4, Resources(100, 100)),))
    await run_jobs(store, specs)
    assert store.refused == 0
    assert store.done_tasks() == {spec.id: 4 for spec in specs}


def test_progress_of_a_wide_job_fits_its_row_in_any_order_of_ends() -> None:
    """Guards against a list of done tasks that outgrows the row of its job."""
    spec = JobSpec("1" * 16, QUEUE.name, "pool", "x" * 4_000, (Step(10_000),) * 2)
    progress = Progress()
    tasks = [
        TaskId(spec.id, 0, step, index) for step in (0, 1) for index in range(10_000)
    ]
    random.Random(7).shuffle(tasks)
    for number, task in enumerate(tasks):
        progress.add_done(task)
        if number % 500 == 0:
            text = encode_job(JobRow(spec, progress))
            assert len(text.encode()) <= ROW_BYTES


async def test_row_refused_for_its_size_affects_only_its_own_job() -> None:
    """Guards against a refused row that stops the whole pool.

    The limit of the store is lower than the owner has been told.
    """
    large = JobSpec(
        "f" * 16, QUEUE.name, "pool", "x" * 2_000, (Step(40, Resources(100)),)
    )
    store = LimitedStore(row_bytes=2_000)
    small = small_specs()
    await run_jobs(store, [*small, large])
    done = store.done_tasks()
    assert {spec.id: done.get(spec.id) for spec in small} == {
        spec.id: TASKS for spec in small
    }
