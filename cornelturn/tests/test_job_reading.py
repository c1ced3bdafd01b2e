"""Reads of a pool's jobs with a long history: what the owner handles at a time."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

import pytest
from result import Ok, Result

from cornelturn.jobs.model import JobSpec, Resources, Step
from cornelturn.jobs.progress import Progress
from cornelturn.jobs.rows import (
    JobRow,
    encode_job,
    encode_tombstone,
    job_key,
    may_be_of_pool,
)
from cornelturn.scheduling.job_loading import is_finished_row
from cornelturn.scheduling.job_reading import MAX_MESSAGE_ROWS, JobReader
from cornelturn.scheduling.messages import JobRowsRead, JobRowsScanned, JobsLoaded
from cornelturn.scheduling.pool import PoolScheduler
from cornelturn.scheduling.takeover import JobScan
from cornelturn.store.rows import Page, Row, TableUnavailable

SPEC = JobSpec("0000000000000001", "q", "pool", "text", (Step(1, Resources(1, 1)),))
FINISHED = JobRow(SPEC, Progress(done={(0, 0): {0}}))


@dataclass
class OnePartStore:
    """A store whose table has one part."""

    count: int

    async def parts(self, table: str) -> Result[list[str], TableUnavailable]:
        return Ok(["q.0"])

    async def scan(self, table: str, part: str) -> Result[Page, TableUnavailable]:
        keys = (f"{table}/{part}/{number:08}" for number in range(self.count))
        return Ok(Page(9, tuple(Row(key, 1, "", "") for key in keys)))


@dataclass
class Messages:
    """Receives the messages of a reader until all rows are loaded."""

    rows: list[Row] = field(default_factory=list)
    sizes: list[int] = field(default_factory=list)
    loaded: asyncio.Future[JobsLoaded] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )

    def post(self, message: JobsLoaded | JobRowsScanned | JobRowsRead) -> None:
        assert not self.loaded.done()
        self.rows += message.rows
        self.sizes.append(len(message.rows))
        if isinstance(message, JobsLoaded):
            self.loaded.set_result(message)


@pytest.mark.parametrize("count", [0, 1, 200, 201, 400, 1_001])
async def test_owner_gets_the_rows_of_a_scan_in_short_messages(count):
    """Guards against turns of seconds, in which an owner's peers find it silent."""
    messages = Messages()
    reader = JobReader(OnePartStore(count), messages.post, lambda error: None)
    reader.start_scan(JobScan(is_first=True, is_settled=True))
    loaded = await messages.loaded
    reader.cancel()
    assert loaded.is_complete
    assert loaded.parts == {"jobs/q.0"}
    assert len({row.key for row in messages.rows}) == len(messages.rows) == count
    assert max(messages.sizes) <= MAX_MESSAGE_ROWS


def test_last_row_of_a_finished_job_is_known_when_it_is_read_again():
    scheduler = PoolScheduler("pool", 1)
    key = job_key("q", SPEC.id)
    assert not is_finished_row(scheduler, Row(key, 5, "", ""))
    scheduler.add_job(key, FINISHED, 5, None, 0)
    assert is_finished_row(scheduler, Row(key, 5, "", ""))
    assert not is_finished_row(scheduler, Row(key, 6, "", ""))


def test_row_of_an_open_job_is_not_a_finished_one():
    scheduler = PoolScheduler("pool", 1)
    key = job_key("q", SPEC.id)
    scheduler.add_job(key, JobRow(SPEC, Progress()), 5, None, 0)
    assert not is_finished_row(scheduler, Row(key, 5, "", ""))


def test_only_rows_of_other_pools_are_left_out():
    assert may_be_of_pool(encode_job(FINISHED), "pool")
    assert not may_be_of_pool(encode_job(FINISHED), "other")
    assert may_be_of_pool(encode_tombstone("q", SPEC.id), "other")
    assert may_be_of_pool("unreadable", "other")
