"""Commits of rows that no longer exist.

Guards against an owner that repeats such a commit without a pause.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass, field

import pytest
from result import Err, Ok, Result

from cornelturn.clock import Clock
from cornelturn.jobs.model import JobSpec, Resources, Step
from cornelturn.jobs.progress import Progress
from cornelturn.jobs.rows import JOBS_TABLE, JobRow, encode_job, job_key
from cornelturn.platform.standin.documents import id_of_queue, job_id, phases
from cornelturn.platform.store import split_key
from cornelturn.scheduling.job_commits import STORE_RETRY_S, JobCommits
from cornelturn.scheduling.messages import CommitFinished
from cornelturn.scheduling.pool import PoolScheduler
from cornelturn.store.rows import Put, Row, TableConflict, TableUnavailable
from cornelturn.tests.job_fleet import JobFleet

RUN_MS = 1_000
KEY = job_key(id_of_queue("phone"), job_id(1))


def test_job_whose_row_was_deleted_ends_and_others_go_on(play):
    async def day(fleet: JobFleet) -> None:
        fleet.run_ms = RUN_MS
        assert await fleet.submit("entry-0", "phone", job_id(1), phases(2, 1)) == 200
        starts = fleet.checker.start_counts
        await fleet.wait_until(lambda: sum(starts.values()) == 2)
        owner = fleet.entries[fleet.owners()["phone"]].duties.owned_pools["phone"].owner
        await asyncio.sleep(0.3)
        table, part, name = split_key(KEY)
        fleet.store.remove(table, name, part)
        calls = fleet.store.transaction_counts
        before = calls[JOBS_TABLE, name]
        await asyncio.sleep(2 * RUN_MS / 1_000)
        assert 1 <= calls[JOBS_TABLE, name] - before <= 4
        assert job_id(1) not in owner.scheduler.jobs
        assert not any(worker.runs for worker in fleet.workers.values())
        assert await fleet.submit("entry-0", "phone", job_id(2), phases(1)) == 200
        await fleet.wait_for_state("phone", job_id(2), "completed")

    play(day)


@dataclass
class ConflictingStore:
    """A store that answers a commit with a conflict, without rows, and then a read."""

    read_result: Result[Row | None, TableUnavailable]
    keys: tuple[str, ...] = (KEY,)
    reads: list[str] = field(default_factory=list)

    async def commit(self, *puts: Put) -> Err[TableConflict]:
        return Err(TableConflict(self.keys))

    async def read(self, key: str) -> Result[Row | None, TableUnavailable]:
        self.reads.append(key)
        return self.read_result


@dataclass
class Commits:
    """Commits of a job with a change that is not written."""

    store: ConflictingStore
    finished: list[CommitFinished] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.scheduler = PoolScheduler("pool", 1)
        steps = (Step(1, Resources(1, 1)),)
        self.spec = JobSpec(job_id(1), "q-phone", "pool", "text", steps)
        row = JobRow(self.spec, Progress())
        self.scheduler.add_job(KEY, row, 5, None, 0)
        self.job = self.scheduler.jobs[self.spec.id]
        self.job.changes += 1
        self.scheduler.mark_unwritten(self.job)
        self.tasks: list[asyncio.Task[None]] = []
        self.commits = JobCommits(
            self.scheduler, self.store, Clock(), self.start, self.finished.append
        )

    def start(self, work: Coroutine[None, None, None]) -> None:
        self.tasks.append(asyncio.create_task(work))

    async def commit(self) -> float:
        """Commit the row, take up the outcome, and return how long it took."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        self.commits.start_due(1_000, is_urgent=True)
        await asyncio.gather(*self.tasks)
        self.commits.finish(self.finished.pop(), 1_000)
        return loop.time() - started_s


@pytest.mark.parametrize("keys", [(KEY,), ()])
async def test_job_ends_only_once_a_read_shows_that_its_row_is_gone(keys):
    commits = Commits(ConflictingStore(Ok(None), keys))
    await commits.commit()
    assert commits.store.reads == [KEY]
    assert commits.job.is_final()
    assert commits.spec.id not in commits.scheduler.jobs
    assert commits.scheduler.dirty_jobs() == []


async def test_row_that_a_read_finds_after_all_is_merged():
    commits = Commits(ConflictingStore(Ok(None)))
    text = encode_job(JobRow(commits.spec, Progress(is_cancelled=True)))
    commits.store.read_result = Ok(Row(KEY, 7, "", text))
    await commits.commit()
    assert commits.job.version == 7
    assert commits.job.progress.is_cancelled
    assert commits.scheduler.dirty_jobs() == [commits.job]


async def test_commit_is_repeated_after_a_pause_if_the_row_cannot_be_read():
    commits = Commits(ConflictingStore(Err(TableUnavailable("no answer"))))
    assert await commits.commit() >= 0.9 * STORE_RETRY_S
    assert not commits.job.is_final()
    assert commits.scheduler.dirty_jobs() == [commits.job]


async def test_row_without_a_conflict_is_not_read():
    commits = Commits(ConflictingStore(Ok(None), ("jobs/q-phone.0/other",)))
    await commits.commit()
    assert commits.store.reads == []
    assert commits.scheduler.dirty_jobs() == [commits.job]
