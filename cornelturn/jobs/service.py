"""Operations on jobs for callers: submit, cancel, state and count of pending jobs.

They are independent of the transport, so that another front end can use them.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from result import Err, Ok, Result

from cornelturn.admission.controller import Admission, Admitted, Rejected
from cornelturn.clock import Clock
from cornelturn.events.job_metrics import JobMetrics
from cornelturn.events.log import log_event, log_warning
from cornelturn.jobs.counting import PendingCounts
from cornelturn.jobs.earlier_rows import EarlierRows
from cornelturn.jobs.model import JobSpec
from cornelturn.jobs.outcomes import (
    STORE_RETRY_MS,
    Accepted,
    CancelOutcome,
    Found,
    IdTaken,
    InDoubt,
    NoSuchJob,
    Overloaded,
    Pending,
    PendingOutcome,
    Refused,
    StateOutcome,
    SubmitOutcome,
    TooLarge,
    Unavailable,
)
from cornelturn.jobs.progress import Progress
from cornelturn.jobs.row_finding import RowFinder
from cornelturn.jobs.row_room import missing_bytes
from cornelturn.jobs.rows import (
    JobRow,
    UnreadableRow,
    decode_job,
    encode_ended,
    encode_job,
    encode_tombstone,
    fit_job,
    job_key,
)
from cornelturn.jobs.submissions import SubmissionWriter, commit_summary
from cornelturn.model.organisations import Organisation
from cornelturn.model.routes import RoutingTable, VersionedQueue
from cornelturn.organisations.access import ANY_CALLER, Caller, is_other
from cornelturn.peering.messages import JobChanged, PoolCounts
from cornelturn.store.limits import DEFAULT_LIMITS, StoreLimits
from cornelturn.store.port import RowStore
from cornelturn.store.retrying import FallbackStore, RetryingStore
from cornelturn.store.rows import (
    ABSENT,
    CallTooLarge,
    Committed,
    Put,
    Row,
    TableConflict,
    TableError,
)

STORED_CHECK_MS = 40
"""Time limit of the look-up before a refusal, which may take 50 ms in all. Without an
answer the job is accepted: it may be stored already."""

MAX_CANCEL_TRIES = 5
"""Attempts to cancel a job whose row others write, before the caller has to retry."""


@dataclass(slots=True)
class JobService:
    """Submits and cancels jobs and returns their state.

    Parameters
    ----------
    on_job_changed : callable
        Called with every row that this entry has written, or found in its place.
    generation : callable
        Returns the current generation of a pool's ownership.
    fallback : FallbackStore or None
        Alternative path to the store while it does not answer this entry.
    row_count_tasks : dict
        Latest task that counts the rows of a queue, by queue.
    pool_owner : callable
        Returns the entry that owns a pool, as far as this entry knows.
    organisations : callable
        Returns the organisations of the configuration in force; without any, all jobs
        are accepted.
    routing : callable
        Returns the configuration in force.
    admission : Admission
        Decides which jobs are accepted.
    rows : RowFinder
        Finds the rows of jobs.
    """

    store: RowStore
    clock: Clock
    on_job_changed: Callable[[JobChanged], None]
    metrics: JobMetrics = field(default_factory=JobMetrics)
    generation: Callable[[str], int] = lambda pool: 0
    counts: PendingCounts = field(default_factory=PendingCounts)
    row_count_tasks: dict[str, asyncio.Task[PendingOutcome]] = field(
        default_factory=dict
    )
    fallback: FallbackStore | None = None
    pool_owner: Callable[[str], str] = lambda pool: ""
    limits: StoreLimits = DEFAULT_LIMITS
    organisations: Callable[[], tuple[Organisation, ...]] = lambda: ()
    routing: Callable[[], RoutingTable] = lambda: RoutingTable(0)
    admission: Admission = field(default_factory=Admission)
    retrying_store: RetryingStore = field(init=False)
    submissions: SubmissionWriter = field(init=False)
    rows: RowFinder = field(init=False)

    def __post_init__(self) -> None:
        self.retrying_store = RetryingStore(self.store, self.fallback)
        earlier = EarlierRows(self.store, self.routing)
        self.rows = RowFinder(self.store, self.retrying_store, earlier)
        self.submissions = SubmissionWriter(self.retrying_store, self.pool_owner)

    async def submit(
        self, spec: JobSpec, queue: VersionedQueue, limit_ms: int | None = None
    ) -> SubmitOutcome:
        """Store a job unless it is already stored, or could not be served in time.

        Parameters
        ----------
        queue : VersionedQueue
            Its queue; stored with it, as the owner of the pool may not know it yet.
        limit_ms : int or None
            Time that the caller has, None for the default limit of `RetryingStore`.
        """
        started_ms = self.clock.now_ms()
        missing = missing_bytes(spec, queue, self.limits)
        if missing:
            return self._refuse_too_large(spec, missing)
        match await self.rows.find_earlier(spec.queue_key(), spec.id, limit_ms):
            case Ok(None):
                pass
            case Ok(row):
                return self._resolve_conflict(spec.organisation, (row,))
            case Err(_):
                return Refused(STORE_RETRY_MS)
        self.admission.update_organisations(self.organisations())
        match self.admission.decide(spec, queue.queue, started_ms):
            case Rejected() as rejected:
                outcome = await self._refuse_unless_stored(spec, rejected)
                if outcome is not None:
                    return outcome
                waited_ms = 0
            case Admitted(waited_ms):
                pass
        self.admission.note_sent(spec, queue.queue, self.clock.now_ms())
        put = self._new_row(spec, queue)
        result = await self.submissions.commit(spec.pool, put, limit_ms)
        if isinstance(result, Ok):
            revision = result.ok_value.revision
            self.on_job_changed(
                JobChanged(spec.pool, put.key, put.value, revision, waited_ms)
            )
        outcome = self._submit_outcome(spec, result)
        self._record_submit(spec, outcome, result, started_ms)
        return outcome

    def _new_row(self, spec: JobSpec, queue: VersionedQueue) -> Put:
        """Return the write that stores a job unless it has a row."""
        row = JobRow(spec, Progress(), self.generation(spec.pool), queue)
        return Put(job_key(spec.queue_key(), spec.id), encode_job(row), ABSENT)

    def _submit_outcome(
        self, spec: JobSpec, result: Result[Committed, TableError]
    ) -> SubmitOutcome:
        """Return what a caller is told of the result of its write."""
        match result:
            case Ok(_):
                return Accepted()
            case Err(TableConflict(rows=rows)):
                return self._resolve_conflict(spec.organisation, rows)
            case Err(CallTooLarge()):
                return TooLarge("the store refused the row of the job for its size")
            case Err(error) if error.is_in_doubt:
                return InDoubt()
            case Err(_):
                return Refused(STORE_RETRY_MS)

    def _record_submit(
        self,
        spec: JobSpec,
        outcome: SubmitOutcome,
        result: Result[Committed, TableError],
        started_ms: int,
    ) -> None:
        """Count and log a submission."""
        took_ms = self.clock.now_ms() - started_ms
        name = type(outcome).__name__
        self.metrics.record_submit(spec.queue, name, took_ms)
        log_event(
            "submit",
            job=spec.id,
            queue=spec.queue,
            pool=spec.pool,
            organisation=spec.organisation,
            outcome=name,
            took_ms=took_ms,
            store=commit_summary(result),
        )

    async def _refuse_unless_stored(
        self, spec: JobSpec, rejected: Rejected
    ) -> SubmitOutcome | None:
        """Return the outcome of a job that is not admitted.

        A job that is stored already is answered as accepted. None if it is not known
        whether it is, or another request has sent it meanwhile, so that it is to be
        submitted.
        """
        started_ms = self.clock.now_ms()
        key = job_key(spec.queue_key(), spec.id)
        match await self.retrying_store.read(key, STORED_CHECK_MS):
            case Ok(None) if not self.admission.is_sent(spec):
                pass
            case Ok(None) | Err(_):
                return None
            case Ok(row):
                return self._resolve_conflict(spec.organisation, (row,))
        self.admission.note_refused(spec, started_ms)
        retry_after_ms = self.admission.schedule_return_ms(spec, rejected, started_ms)
        reason = rejected.reason().value
        self.admission.refusals[spec.organisation, reason] += 1
        took_ms = self.clock.now_ms() - started_ms
        self.metrics.record_submit(spec.queue, Overloaded.__name__, took_ms)
        self.metrics.refused_jobs.labels(spec.queue, spec.organisation, reason).inc()
        log_event(
            "job_refused",
            job=spec.id,
            queue=spec.queue,
            pool=spec.pool,
            organisation=spec.organisation,
            reason=reason,
            wait_ms=rejected.wait_ms,
            age_ms=rejected.report_age_ms,
            backlog=rejected.backlog,
            retry_after_ms=retry_after_ms,
            took_ms=took_ms,
        )
        return Overloaded(retry_after_ms, rejected.is_over_rate)

    def _refuse_too_large(self, spec: JobSpec, missing: int) -> TooLarge:
        """Log and return the refusal of a job whose state cannot fit in a row."""
        self.metrics.record_submit(spec.queue, TooLarge.__name__, 0)
        limit = self.limits.max_row_bytes()
        log_event(
            "job_too_large",
            job=spec.id,
            queue=spec.queue,
            steps=len(spec.steps),
            missing_bytes=missing,
            limit=limit,
        )
        return TooLarge(
            f"expected a job whose definition, with the state of its largest step, "
            f"takes at most {limit} bytes, found {limit + missing}"
        )

    async def state(
        self,
        queue: str,
        job: str,
        limit_ms: int | None = None,
        caller: Caller = ANY_CALLER,
    ) -> StateOutcome:
        """Return the state of a job that the caller may see, according to its row.

        Parameters
        ----------
        queue : str
            Id of its queue.
        """
        match await self._read(queue, job, limit_ms):
            case Ok(None):
                return NoSuchJob()
            case Ok(job_row) if not _is_visible(job_row, caller):
                return NoSuchJob()
            case Ok(job_row):
                return Found(job_row.progress.state(job_row.spec))
            case _:
                return Unavailable()

    async def cancel(
        self,
        queue: str,
        job: str,
        limit_ms: int | None = None,
        caller: Caller = ANY_CALLER,
    ) -> CancelOutcome:
        """Cancel a job that the caller may see; a final job stays unchanged.

        If the job has no row, a tombstone is stored: it blocks a submission that the
        store may still execute.

        Parameters
        ----------
        queue : str
            Id of its queue.
        """
        for _ in range(MAX_CANCEL_TRIES):
            match await self.rows.find(queue, job, limit_ms):
                case Ok(None):
                    outcome = await self._write_tombstone(queue, job, limit_ms)
                case Ok(row):
                    outcome = await self._cancel_row(row, limit_ms, caller)
                case Err(_):
                    return Unavailable()
            if outcome is not None:
                log_event("cancel", job=job, outcome=type(outcome).__name__)
                return outcome
        return InDoubt()

    async def pending(self, queue: str, pool: str) -> PendingOutcome:
        """Return how many jobs of a queue have not started.

        The rows are counted instead while the counts of an owner that may have jobs of
        the queue are missing or outdated.

        Parameters
        ----------
        queue : str
            Id of the queue.
        pool : str
            Pool to which the queue is routed now.
        """
        count = self.counts.pending(queue, pool, self.clock.now_ms())
        if count is not None:
            return Pending(count)
        task = self.row_count_tasks.get(queue)
        if task is None or task.done():
            task = self.row_count_tasks[queue] = asyncio.create_task(
                self.rows.count_pending(queue)
            )
        return await asyncio.shield(task)

    def update_counts(self, counts: PoolCounts) -> None:
        """Store the counts that the owner of a pool has sent."""
        now_ms = self.clock.now_ms()
        self.counts.update(counts, now_ms)
        self.admission.update_organisations(self.organisations())
        self.admission.update(counts, now_ms)

    async def _read(
        self, queue: str, job: str, limit_ms: int | None
    ) -> Result[JobRow | None, UnreadableRow | TableError]:
        """Return the decoded row of a job, None if it has none."""
        match await self.rows.find(queue, job, limit_ms):
            case Ok(None):
                return Ok(None)
            case Ok(row):
                return decode_job(row.key, row.value)
            case Err(error):
                return Err(error)

    async def _write_tombstone(
        self, queue: str, job: str, limit_ms: int | None
    ) -> CancelOutcome | None:
        """Store a tombstone; return None if the job has been stored meanwhile."""
        put = Put(job_key(queue, job), encode_tombstone(queue, job), ABSENT)
        match await self.retrying_store.commit(put, limit_ms):
            case Ok(_):
                return NoSuchJob()
            case Err(TableConflict()):
                return None
            case Err(error):
                return InDoubt() if error.is_in_doubt else Unavailable()

    async def _cancel_row(
        self, row: Row, limit_ms: int | None, caller: Caller
    ) -> CancelOutcome | None:
        """Cancel a stored job; return None if another writer has changed its row."""
        match decode_job(row.key, row.value):
            case Err(_):
                return Unavailable()
            case Ok(job_row):
                pass
        if not _is_visible(job_row, caller):
            return NoSuchJob()
        if job_row.progress.state(job_row.spec).is_final():
            return Accepted()
        job_row.progress.is_cancelled = True
        text = fit_job(job_row, self.limits.max_row_bytes()).text
        put = Put(row.key, text, row.version)
        result = await self.retrying_store.commit(put, limit_ms)
        match result:
            case Err(CallTooLarge()):
                text = encode_ended(job_row)
                put = Put(row.key, text, row.version)
                result = await self.retrying_store.commit(put, limit_ms)
        match result:
            case Ok(committed):
                self.on_job_changed(
                    JobChanged(job_row.spec.pool, row.key, text, committed.revision)
                )
                return Accepted()
            case Err(TableConflict()):
                return None
            case Err(error):
                return InDoubt() if error.is_in_doubt else Unavailable()

    def _resolve_conflict(
        self, organisation: str, rows: tuple[Row, ...]
    ) -> SubmitOutcome:
        """Return the outcome of a submission whose row already exists.

        The row is reported to the owner: an overdue write of this entry may have stored
        it.
        """
        for row in rows:
            match decode_job(row.key, row.value):
                case Ok(job_row) if not job_row.is_submitted():
                    return Refused(STORE_RETRY_MS)
                case Ok(job_row) if is_other(organisation, job_row.spec.organisation):
                    return IdTaken()
                case Ok(job_row):
                    pool = job_row.spec.pool
                    self.on_job_changed(
                        JobChanged(pool, row.key, row.value, row.version)
                    )
                case Err(error):
                    log_warning("row_unreadable", key=error.key, detail=error.detail)
                    return InDoubt()
        return Accepted()


def _is_visible(job_row: JobRow, caller: Caller) -> bool:
    """Return whether a job was submitted, and the caller may see it."""
    return job_row.is_submitted() and caller.sees(job_row.spec.organisation)
