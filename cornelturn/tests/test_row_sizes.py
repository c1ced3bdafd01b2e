"""Rows and calls of the store that would exceed its limits in size."""

from __future__ import annotations

import random
from dataclasses import dataclass

import msgspec
from result import Err, Ok

from cornelturn.clock import Clock
from cornelturn.jobs.model import JobSpec, JobState, Resources, Step, StepId, TaskId
from cornelturn.jobs.progress import Progress
from cornelturn.jobs.rows import JobRow, decode_job, encode_job, job_key, part_of
from cornelturn.jobs.service import Accepted, Found, JobService, TooLarge
from cornelturn.model.routes import VersionedQueue
from cornelturn.platform.store import _encode_transaction
from cornelturn.scheduling.pool import PoolScheduler
from cornelturn.store.health import CallKind
from cornelturn.store.limits import StoreLimits
from cornelturn.store.rows import CallTooLarge, Put, Row
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
    refused_key : str
        Row that is refused whatever its size.
    refused : int
        Number of refused calls.
    """

    row_bytes: int = ROW_BYTES
    refused_key: str = ""
    refused: int = 0

    async def commit(self, *operations: Put):
        size = len(msgspec.json.encode(_encode_transaction(operations)))
        largest = max(len(put.value.encode()) for put in operations)
        has_refused_row = self.refused_key in {put.key for put in operations}
        if size > CALL_BYTES or largest > self.row_bytes or has_refused_row:
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
    store = LimitedStore(failing_jobs=frozenset({large.id}), row_bytes=2_000)
    await run_jobs_beside(store, large)
    row = store.rows[job_key(QUEUE.name, large.id)]
    job = decode_job(row.key, row.value).unwrap()
    assert job.progress.state(job.spec) is JobState.FAILED


async def test_row_that_is_refused_in_short_form_does_not_hold_up_other_jobs() -> None:
    """Guards against ends that targets keep for ever, with those of other jobs."""
    spec = JobSpec("f" * 16, QUEUE.name, "pool", "", (Step(40, Resources(100)),))
    key = job_key(QUEUE.name, spec.id)
    store = LimitedStore(failing_jobs=frozenset({spec.id}), refused_key=key)
    await run_jobs_beside(store, spec)
    assert store.rows[key].version == 2


async def run_jobs_beside(store: LimitedStore, spec: JobSpec) -> None:
    """Run small jobs beside one whose row is refused; check that they complete."""
    small = small_specs()
    await run_jobs(store, [*small, spec])
    done = store.done_tasks()
    assert {other.id: done.get(other.id) for other in small} == {
        other.id: TASKS for other in small
    }


def test_rows_of_earlier_versions_are_read() -> None:
    """Guards against jobs that are lost when the software is updated."""
    need = '{"cpu":1,"mem_mb":0,"gpu":0}'
    text = (
        f'{{"spec":{{"id":"a","queue":"q","pool":"p","spec":"x","steps":[{{"count":9,'
        f'"need":{need},"after":[]}}],"recurrence":null}},'
        '"steps":[[0,0,[1,2,5],[[3,[1000001,1000002]],[4,[1000001]]]]],"generation":3}'
    )
    row = decode_job("jobs/q.0/a", text).unwrap()
    assert row.progress.done == {(0, 0): {1, 2, 5}}
    assert row.progress.failed == {
        (0, 0, 3): {1_000_001, 1_000_002},
        (0, 0, 4): {1_000_001},
    }
    assert decode_job("jobs/q.0/a", encode_job(row)).unwrap() == row


def test_wide_job_runs_its_steps_as_far_as_its_row_has_room() -> None:
    """Guards against a job that opens more than fits, or that never goes on."""
    step = Step(10_000, Resources(100))
    spec = JobSpec("a" * 16, QUEUE.name, "pool", "x" * 4_000, (step,) * 100)
    scheduler = PoolScheduler("pool", 1)
    key = job_key(QUEUE.name, spec.id)
    scheduler.add_job(key, JobRow(spec, Progress()), 1, QUEUE, 0)
    job = scheduler.jobs[spec.id]
    assert 1 < len(job.opened_steps.opened) < 20
    for number in range(len(spec.steps)):
        assert StepId(spec.id, 0, number) in job.opened_steps
        job.progress.add_step_done(StepId(spec.id, 0, number), step.count)
        scheduler.refresh_job(job, 0, [(0, number)])
    assert job.progress.state(spec) is JobState.COMPLETED


async def test_cancelled_job_whose_row_is_full_gets_a_short_row() -> None:
    """Guards against a job that cannot be cancelled because its row would grow."""
    spec = JobSpec("a" * 16, QUEUE.name, "pool", "x" * 500, (Step(1),))
    text = encode_job(JobRow(spec, Progress()))
    key = job_key(QUEUE.name, spec.id)
    standin = CancelStore({key: Row(key, 2, "", text)}, row_bytes=len(text))
    limits = StoreLimits(row_bytes=len(text))
    service = JobService(standin, Clock(), lambda changed: None, limits=limits)
    assert await service.cancel(QUEUE.name, spec.id) == Accepted()
    assert await service.state(QUEUE.name, spec.id) == Found(JobState.CANCELLED)
    assert standin.refused == 0


async def test_job_that_cannot_fit_is_refused_without_a_write() -> None:
    """Guards against an accepted job whose progress has no room."""
    standin = CancelStore()
    service = JobService(standin, Clock(), lambda changed: None)
    spec = JobSpec("a" * 16, QUEUE.name, "pool", "x" * 64_000, (Step(10_000),))
    outcome = await service.submit(spec, VersionedQueue(QUEUE, 1))
    assert isinstance(outcome, TooLarge)
    assert standin.rows == {}


@dataclass
class CancelStore(LimitedStore):
    """A store that also answers reads."""

    async def read(self, key: str):
        return Ok(self.rows.get(key))

    def is_unreachable(self) -> bool:
        return False

    def response_timeout_ms(self, kind: CallKind) -> int:
        return 1_000
