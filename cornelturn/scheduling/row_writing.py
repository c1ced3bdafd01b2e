"""Rows of a pool's jobs as they are written, within the limits of the store in size."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from cornelturn.events.log import log_warning
from cornelturn.jobs.rows import JobRow, LeftOut, encode_ended, fit_job
from cornelturn.scheduling.state import PoolState
from cornelturn.scheduling.views import JobView
from cornelturn.store.limits import CallSize, value_bytes
from cornelturn.store.rows import Put


@dataclass(frozen=True, slots=True)
class JobWrite:
    """A row to write, with the number of changes that it includes."""

    job: str
    put: Put
    changes: int


@dataclass(slots=True)
class RowWriting:
    """Starts writes of rows, and ends the jobs whose rows cannot be written."""

    state: PoolState

    def start_write(self, job: JobView) -> JobWrite:
        """Return the write of a job's row; it is in flight until finished or failed."""
        write = self._write(job)
        job.is_writing = True
        return write

    def start_call(self, jobs: Iterable[JobView]) -> tuple[JobWrite, ...]:
        """Return the writes of the first jobs whose rows fit in one call.

        The other jobs stay dirty, and go into a later call.
        """
        call_size = CallSize(self.state.store_limits)
        writes: list[JobWrite] = []
        for job in jobs:
            write = self._write(job)
            if not call_size.add(write.put):
                break
            job.is_writing = True
            writes.append(write)
        return tuple(writes)

    def refuse_write(self, write: JobWrite) -> None:
        """Record that the store refused a row that was alone in its call for its size.

        The job ends, with a row in short form. If that is refused as well, the ends of
        its runs count as written: targets can then forget those of other jobs.
        """
        job = self.state.jobs.get(write.job)
        if job is None:
            return
        job.is_writing = False
        self.state.mark_unwritten(job)
        job.row_refusals += 1
        if job.row_refusals == 1:
            self._note_left_out(job, LeftOut.PROGRESS, write.put.value)

    def end_deleted(self, write: JobWrite, now_ms: int) -> None:
        """Record that the row of a job has been deleted, and end the job.

        Rows are deleted only some time after their jobs are final. A new row would run
        the job again, so its remaining runs are stopped and nothing more is written;
        targets may forget their ends.
        """
        job = self.state.jobs.get(write.job)
        if job is None:
            return
        job.is_writing = False
        log_warning(
            "row_deleted",
            job=job.spec.id,
            pool=self.state.pool,
            version=job.version,
            is_final=job.is_final(),
        )
        if not job.is_final():
            job.progress.is_cancelled = True
        job.written_changes = job.changes
        self.state.refresh_job(job, now_ms)

    def _write(self, job: JobView) -> JobWrite:
        row = JobRow(
            job.spec,
            job.progress,
            self.state.generation,
            job.versioned_queue(),
            job.encoded_spec,
        )
        if job.row_refusals:
            text = encode_ended(row)
        else:
            fitted = fit_job(row, self.state.store_limits.max_row_bytes())
            text = fitted.text
            if fitted.left_out is not job.left_out:
                self._note_left_out(job, fitted.left_out, text)
        return JobWrite(job.spec.id, Put(job.key, text, job.version), job.changes)

    def _note_left_out(self, job: JobView, left_out: LeftOut, text: str) -> None:
        """Record what the row of a job lacks; without its progress, the job ends."""
        job.left_out = left_out
        if left_out is LeftOut.NOTHING:
            return
        self.state.metrics.rows_too_large.labels(self.state.pool, left_out).inc()
        log_warning(
            "row_too_large",
            job=job.spec.id,
            pool=self.state.pool,
            left_out=left_out,
            bytes=value_bytes(text),
            limit=self.state.store_limits.max_row_bytes(),
            refusals=job.row_refusals,
        )
        if left_out is LeftOut.PROGRESS and not job.is_final():
            job.progress.is_failed = True
            job.changes += 1
            job.waiting_tasks.clear()
            job.opened_steps.is_closed = True
            self.state.mark_changed(job)
            self.state.mark_unwritten(job)
            self.state.stop_job_runs(job)
