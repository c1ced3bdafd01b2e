"""Finds the rows of jobs, those that earlier versions of this software wrote too."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from result import Err, Ok, Result

from cornelturn.events.log import log_warning
from cornelturn.jobs.earlier_rows import EarlierRows
from cornelturn.jobs.model import JobState
from cornelturn.jobs.outcomes import Pending, PendingOutcome, Unavailable
from cornelturn.jobs.rows import JOBS_TABLE, decode_job, job_key, queue_parts
from cornelturn.store.port import RowStore
from cornelturn.store.retrying import RetryingStore
from cornelturn.store.rows import Row, TableError


@dataclass(frozen=True, slots=True)
class RowFinder:
    """Finds the rows of jobs by the id of their queue and their own."""

    store: RowStore
    retrying_store: RetryingStore
    earlier: EarlierRows

    async def find(
        self, queue: str, job: str, limit_ms: int | None
    ) -> Result[Row | None, TableError]:
        """Return the row of a job in any form, None if it has none."""
        match await self.retrying_store.read(job_key(queue, job), limit_ms):
            case Ok(None):
                return await self.find_earlier(queue, job, limit_ms)
            case result:
                return result

    async def find_earlier(
        self, queue: str, job: str, limit_ms: int | None
    ) -> Result[Row | None, TableError]:
        """Return the row of a job in its earlier form, None if it has none."""
        for key in await self.earlier.keys(queue, job):
            result = await self.retrying_store.read(key, limit_ms)
            if result != Ok(None):
                return result
        return Ok(None)

    async def count_pending(self, queue: str) -> PendingOutcome:
        """Count the rows of jobs without any progress."""
        if not self.store.is_serving():
            return Unavailable()
        parts = (*queue_parts(queue), *self.earlier.parts(queue))
        scans = [self.store.scan(JOBS_TABLE, part) for part in parts]
        pages = await asyncio.gather(*scans)
        if any(page.is_err() for page in pages):
            return Unavailable()
        count = 0
        for row in (row for page in pages for row in page.ok_value.rows):
            match decode_job(row.key, row.value):
                case Ok(job_row) if job_row.spec.recurrence is None:
                    count += job_row.progress.state(job_row.spec) is JobState.QUEUED
                case Err(error):
                    log_warning("row_unreadable", key=error.key, detail=error.detail)
        return Pending(count)
