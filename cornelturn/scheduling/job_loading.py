"""Loads the jobs of a pool that its owner has taken over, and unblocks them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok

from cornelturn.clock import Clock
from cornelturn.events.log import log_warning
from cornelturn.jobs.progress import Progress
from cornelturn.jobs.rows import JobRow, decode_job, may_be_of_pool
from cornelturn.model.routes import JobQueue, RoutingTable
from cornelturn.scheduling.group_commit import part_of
from cornelturn.scheduling.job_reading import JobReader
from cornelturn.scheduling.messages import JobsLoaded
from cornelturn.scheduling.pool import PoolScheduler
from cornelturn.scheduling.takeover import Takeover
from cornelturn.scheduling.takeover_log import TakeoverLog
from cornelturn.store.rows import Row
from cornelturn.targets.model import TargetLife


@dataclass(slots=True)
class JobLoader:
    """Adds rows of jobs to the scheduler; blocks jobs that a predecessor may still run.

    Parameters
    ----------
    revision : int
        Revision of the table at which the pool was taken.
    routing : callable
        Returns the configuration in force.
    """

    scheduler: PoolScheduler
    takeover: Takeover
    log: TakeoverLog
    reader: JobReader
    clock: Clock
    revision: int
    routing: Callable[[], RoutingTable]

    def start_due_scan(self, now_ms: int) -> None:
        """Start a scan if one is due; the last waits until no lease can hide a run."""
        was_partly_listed = bool(self.takeover.partly_listed)
        scan = self.takeover.next_scan(self.scheduler.targets, now_ms)
        if was_partly_listed and not self.takeover.partly_listed:
            self.unblock_jobs()
        if scan is not None:
            self.log.scan_started(scan, now_ms)
            self.reader.start_scan(scan)

    def finish_scan(self, loaded: JobsLoaded, now_ms: int) -> None:
        """Add rows of jobs, and unblock jobs that no predecessor may still run."""
        scheduler, scan = self.scheduler, loaded.scan
        self.takeover.add_read_parts(scan, loaded.parts)
        if loaded.is_complete:
            self.takeover.finish_scan(scan)
        self._add_rows(loaded.rows, now_ms)
        if loaded.is_complete:
            scheduler.is_fully_loaded = True
            if self.takeover.is_over:
                scheduler.mark_all_jobs_read()
        if not scheduler.is_loaded:
            scheduler.mark_loaded(now_ms)
        self.unblock_jobs()
        self.log.scan_finished(loaded.is_complete, now_ms)

    def note_reported(
        self, life: TargetLife, is_complete: bool = True, cause: str = "reported"
    ) -> None:
        """Record that a target has listed its runs and ends, or that it has none."""
        if self.takeover.note_report(life, is_complete):
            self.log.target_settled(life, cause, self.clock.now_ms())
            self.unblock_jobs()

    def unblock_jobs(self) -> None:
        """Unblock the jobs that no predecessor may still run."""
        blocked = [job for job in self.scheduler.jobs.values() if job.is_blocked]
        hidden = {
            job.spec.id
            for job in blocked
            if self._may_have_run(job.spec.id, job.key, job.version, job.progress)
        }
        self.scheduler.unblock_jobs(hidden)

    def _may_have_run(
        self, job: str, key: str, version: int, progress: Progress
    ) -> bool:
        """Return whether a predecessor may still run tasks of a job."""
        has_progress = bool(progress.done or progress.failed)
        return self.takeover.may_have_run(job, version, has_progress, part_of(key))

    def add_watched(
        self, rows: tuple[Row, ...], now_ms: int, waited_ms: int = 0
    ) -> None:
        """Add changes of rows that were made since the pool was taken.

        Parameters
        ----------
        waited_ms : int
            Time since the caller of the job was first refused, for a single row.
        """
        self._add_rows(self._without_deleted(rows), now_ms, waited_ms)

    def add_scanned(self, rows: tuple[Row, ...], now_ms: int) -> None:
        """Add rows of a scan; jobs stay blocked until their parts count as read."""
        self._add_rows(rows, now_ms)

    def _add_rows(self, rows: tuple[Row, ...], now_ms: int, waited_ms: int = 0) -> None:
        routing = self.routing()
        for row in rows:
            if is_finished_row(self.scheduler, row):
                continue
            if not may_be_of_pool(row.value, self.scheduler.pool):
                continue
            match decode_job(row.key, row.value):
                case Ok(job) if job.spec.pool == self.scheduler.pool:
                    queue = routing.queue_of(job.spec.queue_reference())
                    self._add_job(row, job, queue, now_ms, waited_ms)
                case Ok(job) if not job.is_submitted():
                    queue = routing.queue_of(job.spec.queue_reference())
                    if queue is not None and queue.pool == self.scheduler.pool:
                        self.scheduler.finished.rows.note(
                            row.key, job.spec.id, row.version, now_ms
                        )
                case Err(error):
                    log_warning("row_unreadable", key=error.key, detail=error.detail)

    def _add_job(
        self, row: Row, job: JobRow, queue: JobQueue | None, now_ms: int, waited_ms: int
    ) -> None:
        """Add a job of the pool, blocked if a predecessor may still run it."""
        is_older = job.generation < self.scheduler.generation
        may_have_run = is_older and self._may_have_run(
            job.spec.id, row.key, row.version, job.progress
        )
        self.scheduler.add_job(
            row.key, job, row.version, queue, now_ms, may_have_run, waited_ms
        )

    def _without_deleted(self, rows: tuple[Row, ...]) -> tuple[Row, ...]:
        """Leave out changes of jobs whose rows were deleted before this ownership.

        The scan of the takeover reads all rows up to its revision that still exist, and
        jobs of that time are blocked until it has read their part.
        """
        revision, jobs = self.revision, self.scheduler.jobs
        return tuple(
            row for row in rows if row.version > revision or _job_of(row) in jobs
        )


def is_finished_row(scheduler: PoolScheduler, row: Row) -> bool:
    """Return whether a row is known to be the last one of a finished job."""
    job = _job_of(row)
    finished_version = scheduler.finished.version(job)
    return job not in scheduler.jobs and row.version <= finished_version


def _job_of(row: Row) -> str:
    """Return the job of a row, which is the last part of its key."""
    return row.key.rpartition("/")[2]
