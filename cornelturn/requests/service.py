"""Operations on requests for callers: submit, status and cancel.

They are independent of the transport, so that another front end can use them.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field, replace
from uuid import uuid4

from cornelturn.clock import Clock, to_seconds
from cornelturn.events.background import start_background
from cornelturn.events.log import log_event
from cornelturn.events.metrics import Metrics
from cornelturn.model.outcome import (
    NotRun,
    NotRunReason,
    Unknown,
    outcome_name,
)
from cornelturn.requests.claims import (
    Claimed,
    ClaimLost,
    Claims,
    ClaimUnavailable,
    RecordRead,
)
from cornelturn.requests.driving import DRIVE_RETRY_DELAY_MS, RequestDriver
from cornelturn.requests.front import Front
from cornelturn.requests.limits import HoldOffKey
from cornelturn.requests.once import AtMostOnceRunner, RunEnded, TakenOver
from cornelturn.requests.outcomes import OutcomeRecorder
from cornelturn.requests.records import (
    RequestRecord,
    RequestState,
    fingerprint_of,
    outcome_of,
    request_id_of,
)
from cornelturn.requests.repeatable import IdempotentRunner
from cornelturn.requests.submission import (
    Accepted,
    Answered,
    InProgress,
    KeyReused,
    NoSuchRequest,
    RequestStatus,
    StatusResult,
    StatusUnavailable,
    Submission,
    SubmitResult,
)
from cornelturn.requests.work import Work
from cornelturn.store.rows import ABSENT

REPLAY_POLL_MIN_MS = 50
REPLAY_POLL_MAX_MS = 1_000
TABLE_RETRY_AFTER_MS = 1_000


@dataclass(slots=True)
class RequestService:
    """Submits and cancels requests, and returns their state.

    Parameters
    ----------
    following_tasks : set of asyncio.Task
        Runs of non-idempotent requests, which continue after the deadline.
    open_requests : int
        Number of submissions in progress.
    """

    entry: str
    incarnation: int
    clock: Clock
    front: Front
    claims: Claims
    idempotent: IdempotentRunner
    at_most_once: AtMostOnceRunner
    driver: RequestDriver
    outcomes: OutcomeRecorder
    metrics: Metrics
    following_tasks: set[asyncio.Task[object]] = field(default_factory=set)
    open_requests: int = 0

    async def submit(self, submission: Submission, is_durable: bool) -> SubmitResult:
        """Run a request and wait for its outcome; store a durable one to run later."""
        started_ms = self.clock.now_ms()
        self.open_requests += 1
        try:
            work = self._create_work(submission, started_ms, is_durable)
            result = await self._submit(work, submission, is_durable)
        finally:
            self.open_requests -= 1
        self._record_result(work, result, started_ms)
        return result

    async def status(self, member: str, request: str) -> StatusResult:
        """Return the state of a request of a member."""
        match await self.claims.read_record(member, request):
            case ClaimUnavailable():
                return StatusUnavailable()
            case RecordRead(None):
                return NoSuchRequest()
            case RecordRead(record):
                pass
        body = await self.claims.load_blob(record.answer)
        if body is None:
            return StatusUnavailable()
        return RequestStatus(record, outcome_of(record, body))

    async def cancel(self, member: str, request: str) -> StatusResult:
        """Cancel a request that has not started; a started one continues."""
        match await self.claims.read_record(member, request):
            case ClaimUnavailable():
                return StatusUnavailable()
            case RecordRead(None):
                return NoSuchRequest()
            case RecordRead(record, version):
                pass
        if record.state is RequestState.ACCEPTED:
            self.driver.stop(request)
            cancelled = NotRun(NotRunReason.CANCELLED)
            self.claims.record_outcome(Claimed(record, version), cancelled, False)
            await self.claims.wait_settled()
        return await self.status(member, request)

    async def wait_until_idle(self, limit_ms: int) -> None:
        """Wait until no request is in progress, at most `limit_ms`."""
        deadline_ms = self.clock.now_ms() + limit_ms
        while self.clock.now_ms() < deadline_ms:
            tasks = {
                *self.driver.tasks.values(),
                *self.following_tasks,
                *self.claims.settling_tasks,
            }
            if not tasks and not self.open_requests:
                return
            if not tasks:
                await asyncio.sleep(to_seconds(REPLAY_POLL_MIN_MS))
                continue
            left_s = to_seconds(deadline_ms - self.clock.now_ms())
            await asyncio.wait(tasks, timeout=max(left_s, 0))

    # Submission

    def _create_work(
        self, submission: Submission, now_ms: int, is_durable: bool
    ) -> Work:
        request = uuid4().hex
        has_key = bool(submission.key) and (
            is_durable or not submission.queue.idempotent
        )
        if has_key:
            request = request_id_of(submission.member, submission.key)
        return Work(
            request=request,
            member=submission.member,
            queue=submission.queue,
            payload=submission.payload,
            content_type=submission.content_type,
            deadline_ms=now_ms + submission.deadline_ms,
            size=submission.size,
            headers=submission.headers,
            has_key=has_key,
        )

    async def _submit(
        self, work: Work, submission: Submission, is_durable: bool
    ) -> SubmitResult:
        refusal = None if is_durable else self._local_refusal(work)
        if work.queue.idempotent and not is_durable:
            if refusal is not None:
                return Answered(work.request, refusal)
            return Answered(work.request, await self.idempotent.run(work))
        record = self._create_record(work, submission.deadline_ms, is_durable)
        version = ABSENT
        if work.has_key or is_durable:
            previous = await self._check_previous(work, record, is_durable)
            if not isinstance(previous, int):
                return previous
            version = previous
        if refusal is not None:
            return await self._refuse(work, record, version, refusal)
        if is_durable:
            return await self._accept(work, record, version)
        return await self._run_once(work, record, version)

    def _local_refusal(self, work: Work) -> NotRun | None:
        """Return a refusal if a dispatcher's hold-off applies to the request."""
        key = HoldOffKey(work.queue.name, work.member)
        hold_off_ms = self.front.hold_offs.remaining_ms(key, self.clock.now_ms())
        if not hold_off_ms:
            return None
        return NotRun(NotRunReason.QUEUE_FULL, "refused locally", hold_off_ms)

    async def _check_previous(
        self, work: Work, record: RequestRecord, is_durable: bool
    ) -> int | SubmitResult:
        """Return the row version at which the request may run.

        If its key was submitted before and did not end as not run, return the result
        of that submission.
        """
        match await self.claims.read_record(work.member, work.request):
            case ClaimUnavailable(detail):
                return Answered(work.request, _table_unavailable_outcome(work, detail))
            case RecordRead(None):
                return ABSENT
            case RecordRead(stored, version):
                pass
        if stored.fingerprint != record.fingerprint:
            return KeyReused(work.request)
        if stored.state is RequestState.NOT_RUN:
            return version
        return await self._replay(work, stored, is_durable)

    async def _refuse(
        self, work: Work, record: RequestRecord, version: int, refusal: NotRun
    ) -> SubmitResult:
        """Refuse a request; with a key, also for the other submissions of that key."""
        if not work.has_key:
            return Answered(work.request, refusal)
        match await self.claims.record_refusal(record, version, refusal):
            case Claimed():
                return Answered(work.request, refusal)
            case ClaimLost():
                return await self._replay(work, record, record.is_durable)
            case ClaimUnavailable(detail):
                return Answered(work.request, _table_unavailable_outcome(work, detail))

    def _create_record(
        self, work: Work, deadline_ms: int, is_durable: bool
    ) -> RequestRecord:
        return RequestRecord(
            request=work.request,
            member=work.member,
            queue=work.queue.name,
            state=RequestState.ACCEPTED,
            fingerprint=fingerprint_of(work.queue.name, work.payload),
            driver=self.entry,
            driver_incarnation=self.incarnation,
            is_durable=is_durable,
            deadline_ms=deadline_ms,
            size=work.size,
            content_type=work.content_type,
        )

    async def _replay(
        self, work: Work, stored: RequestRecord, is_durable: bool
    ) -> SubmitResult:
        """Return the outcome of the first submission for a repeated key."""
        if is_durable:
            return Accepted(work.request)
        pause_ms = REPLAY_POLL_MIN_MS
        record = stored
        while record.is_open():
            left_ms = work.deadline_ms - self.clock.now_ms()
            if left_ms <= 0:
                return InProgress(work.request)
            await asyncio.sleep(to_seconds(min(pause_ms, left_ms)))
            pause_ms = min(pause_ms * 2, REPLAY_POLL_MAX_MS)
            match await self.claims.read_record(work.member, work.request):
                case RecordRead(RequestRecord() as record):
                    pass
                case _:
                    continue
        body = await self.claims.load_blob(record.answer)
        outcome = outcome_of(record, body) if body is not None else None
        if outcome is None:
            return InProgress(work.request)
        return Answered(work.request, outcome)

    async def _accept(
        self, work: Work, record: RequestRecord, version: int
    ) -> SubmitResult:
        key = f"payload-{work.member}-{work.request}"
        payload = await self.claims.store_blob(key, work.payload)
        if payload is None:
            refusal = NotRun(
                NotRunReason.TABLE_UNAVAILABLE, "object store", TABLE_RETRY_AFTER_MS
            )
            return await self._refuse(work, record, version, refusal)
        record = replace(record, payload=payload)
        match await self.claims.write_open(record, version):
            case Claimed() as claimed:
                log_event(
                    "accept",
                    request=work.request,
                    member=work.member,
                    queue=work.queue.name,
                )
                self.driver.drive(work, claimed)
                return Accepted(work.request)
            case ClaimLost():
                return Accepted(work.request)
            case ClaimUnavailable(detail):
                self.claims.resolve_in_doubt(record, version)
                in_doubt = Unknown(f"acceptance not confirmed: {detail}")
                return Answered(work.request, in_doubt)

    async def _run_once(
        self, work: Work, record: RequestRecord, version: int
    ) -> SubmitResult:
        """Run and wait until the deadline; a started run continues after it."""
        run = self._run_and_finish(work, record, version)
        task = start_background(self.following_tasks, run)
        left_s = to_seconds(max(work.deadline_ms - self.clock.now_ms(), 0))
        done, _ = await asyncio.wait(
            {task}, timeout=left_s + to_seconds(DRIVE_RETRY_DELAY_MS)
        )
        if done:
            return task.result()
        late = Unknown("the deadline passed while the request was running")
        return Answered(work.request, late)

    async def _run_and_finish(
        self, work: Work, record: RequestRecord, version: int
    ) -> SubmitResult:
        result = await self.at_most_once.run(work, record, version)
        match result:
            case RunEnded(NotRun() as refusal, None):
                return await self._refuse(work, record, version, refusal)
            case RunEnded(outcome, claimed):
                if claimed is not None:
                    self.outcomes.record(work, claimed, outcome)
                return Answered(work.request, outcome)
            case TakenOver():
                return await self._replay(work, record, is_durable=False)

    # Results

    def _record_result(self, work: Work, result: SubmitResult, started_ms: int) -> None:
        now_ms = self.clock.now_ms()
        elapsed_ms = now_ms - started_ms
        if not isinstance(result, Answered):
            return
        self.outcomes.count(work.queue.name, result.outcome)
        self.metrics.request_latency.labels(work.queue.name).observe(
            to_seconds(elapsed_ms)
        )
        if work.queue.idempotent:
            self.outcomes.count_completion(
                work, result.outcome, now_ms <= work.deadline_ms
            )
        log_event(
            "outcome",
            request=work.request,
            member=work.member,
            queue=work.queue.name,
            outcome=outcome_name(result.outcome),
            ms=elapsed_ms,
        )


def _table_unavailable_outcome(work: Work, detail: str) -> NotRun | Unknown:
    """Return the outcome of a request whose row could not be read or written.

    With a key it is unknown, as an earlier submission of the key may have run.
    """
    if work.has_key:
        hint = f"repeat with the same key: {detail}"
        return Unknown(hint, retry_after_ms=TABLE_RETRY_AFTER_MS)
    return NotRun(NotRunReason.TABLE_UNAVAILABLE, detail, TABLE_RETRY_AFTER_MS)
