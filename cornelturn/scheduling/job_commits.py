"""Writes the rows of a pool's jobs, and takes up the outcome of each commit."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from result import Err, Ok

from cornelturn.clock import Clock, to_seconds
from cornelturn.events.log import log_event, log_warning
from cornelturn.jobs.rows import decode_job
from cornelturn.scheduling.group_commit import GroupCommits, part_of
from cornelturn.scheduling.messages import CommitFinished, WritesDue
from cornelturn.scheduling.pool import PoolScheduler
from cornelturn.scheduling.row_writing import JobWrite
from cornelturn.scheduling.views import JobView
from cornelturn.store.port import RowStore
from cornelturn.store.rows import CallTooLarge, TableConflict

STORE_RETRY_S = 0.3
"""Pause after a failed call of the store."""


@dataclass(slots=True)
class JobCommits:
    """Has at most one commit in flight for each part of the table.

    Parameters
    ----------
    start : callable
        Runs a call of the store in the background.
    post : callable
        Receives its result, or that delayed rows are due, as a message to the owner.
    is_wakeup_scheduled : bool
        Whether a message for the time when delayed rows are due is on its way.
    """

    scheduler: PoolScheduler
    store: RowStore
    clock: Clock
    start: Callable[[Coroutine[Any, Any, None]], None]
    post: Callable[[CommitFinished | WritesDue], None]
    groups: GroupCommits = field(default_factory=GroupCommits)
    is_wakeup_scheduled: bool = False

    def start_due(self, now_ms: int, is_urgent: bool) -> None:
        """Start the commits that are due; urgent ones do not wait for the interval."""
        dirty = self.scheduler.dirty_jobs()
        for group in self.groups.start_commits(dirty, now_ms, is_urgent):
            writes = self.scheduler.rows.start_call(group.jobs)
            self.start(self._commit(group.part, writes))
        self._schedule_wakeup(now_ms)

    def wakeup_received(self) -> None:
        """Record that the message for delayed rows has arrived."""
        self.is_wakeup_scheduled = False

    def finish(self, finished: CommitFinished, now_ms: int) -> None:
        """Take up the outcome of a commit."""
        self.groups.commit_finished(finished.part)
        if finished.is_too_large:
            self.groups.separate(finished.writes)
        elif finished.version is not None:
            self.groups.rejoin(finished.writes)
        if finished.is_too_large and len(finished.writes) == 1:
            self.scheduler.rows.refuse_write(finished.writes[0])
        elif finished.version is not None:
            for write in finished.writes:
                self.scheduler.finish_write(write, finished.version, now_ms)
        else:
            self._finish_failed(finished, now_ms)

    def _finish_failed(self, finished: CommitFinished, now_ms: int) -> None:
        """Take up for each row of a failed commit what the store has in its place."""
        rows = {row.key: row for row in finished.rows}
        for write in finished.writes:
            if write.put.key in finished.deleted:
                self.scheduler.rows.end_deleted(write, now_ms)
                continue
            row = rows.get(write.put.key)
            match decode_job(row.key, row.value) if row is not None else None:
                case Ok(job):
                    self.scheduler.fail_write(write, job, row.version, now_ms)
                case _:
                    self.scheduler.fail_write(write, None, 0, now_ms)

    def is_serving(self) -> bool:
        """Return whether the store answered the last commit of each part."""
        return not self.groups.refused_parts

    def has_refused_rows(self) -> bool:
        """Return whether rows lack changes because the store refuses their parts."""
        refused_parts = self.groups.refused_parts
        return bool(refused_parts) and any(
            part_of(job.key) in refused_parts for job in self.unwritten_jobs()
        )

    def unwritten_jobs(self) -> list[JobView]:
        """Return the jobs with changes that are not in the store."""
        jobs = self.scheduler.jobs.values()
        return [job for job in jobs if job.changes > job.written_changes]

    def _schedule_wakeup(self, now_ms: int) -> None:
        """Schedule a message for the time when delayed rows are due."""
        due_ms = self.groups.due_ms
        if due_ms is None or self.is_wakeup_scheduled:
            return
        self.is_wakeup_scheduled = True
        loop = asyncio.get_running_loop()
        loop.call_later(to_seconds(due_ms - now_ms), self.post, WritesDue())

    async def _commit(self, part: str, writes: tuple[JobWrite, ...]) -> None:
        scheduler = self.scheduler
        started_ms = self.clock.now_ms()
        result = await self.store.commit(*(write.put for write in writes))
        took_ms = self.clock.now_ms() - started_ms
        scheduler.metrics.write_latency.labels(scheduler.pool).observe(
            to_seconds(took_ms)
        )
        match result:
            case Ok(committed):
                self.groups.commit_accepted(part)
                self.post(CommitFinished(part, writes, committed.revision))
            case Err(TableConflict() as conflict):
                self.groups.commit_accepted(part)
                self.post(await self._resolve_conflict(part, writes, conflict))
            case Err(CallTooLarge() as error):
                self.groups.commit_accepted(part)
                log_warning(
                    "call_too_large", part=part, rows=len(writes), detail=error.detail
                )
                await asyncio.sleep(STORE_RETRY_S)
                self.post(CommitFinished(part, writes, None, is_too_large=True))
            case Err(error):
                self.groups.commit_refused(part)
                log_event("jobs_not_written", jobs=len(writes), detail=error.detail)
                await asyncio.sleep(STORE_RETRY_S)
                self.post(CommitFinished(part, writes, None))

    async def _resolve_conflict(
        self, part: str, writes: tuple[JobWrite, ...], conflict: TableConflict
    ) -> CommitFinished:
        """Return the outcome of a commit that conflicts with rows of others.

        A conflicting row that the answer lacks is read again: that it was deleted ends
        its job, so it must be certain.
        """
        known = {row.key for row in conflict.rows}
        conflicting = [
            write.put.key
            for write in writes
            if write.put.key not in known
            and (write.put.key in conflict.keys or not conflict.keys)
        ]
        rows, deleted, failures = list(conflict.rows), [], 0
        for key in conflicting:
            match await self.store.read(key):
                case Ok(None):
                    deleted.append(key)
                case Ok(row):
                    rows.append(row)
                case Err(error):
                    failures += 1
                    log_event("jobs_not_written", jobs=1, detail=error.detail)
        if failures:
            await asyncio.sleep(STORE_RETRY_S)
        return CommitFinished(
            part, writes, None, tuple(rows), deleted=frozenset(deleted)
        )
