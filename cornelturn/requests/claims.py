"""Conditional writes of request rows, so that a request starts at most once.

Of several drivers of one request, only the one whose commit succeeds may start it.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field, replace

from result import Err, Ok

from cornelturn.clock import to_seconds
from cornelturn.events.background import start_background
from cornelturn.events.log import log_event, log_warning
from cornelturn.model.outcome import Completed, NotRun, NotRunReason, Outcome
from cornelturn.model.ticket import Grant
from cornelturn.requests.records import (
    MAX_INLINE_BYTES,
    Blob,
    RequestRecord,
    RequestState,
    decode_record,
    encode_record,
    record_open_key,
    request_key,
    with_outcome,
)
from cornelturn.store.objects import Objects
from cornelturn.store.rows import (
    ABSENT,
    Delete,
    Operation,
    Put,
    Row,
    TableConflict,
    TableUnavailable,
)
from cornelturn.store.table import COMMIT_LIMIT_MS, Table

SETTLE_RETRY_DELAY_MS = 500
SETTLE_LIMIT_MS = 30_000
REFUSE_LIMIT_MS = 500


@dataclass(frozen=True, slots=True)
class Claimed:
    """The row was written; its driver may act on it.

    Parameters
    ----------
    record : RequestRecord
        Record as written.
    version : int
        Version of the row.
    """

    record: RequestRecord
    version: int


@dataclass(frozen=True, slots=True)
class ClaimLost:
    """Another writer has changed the row; nothing may be sent."""


@dataclass(frozen=True, slots=True)
class ClaimUnavailable:
    """The table did not answer; nothing may be sent."""

    detail: str


ClaimResult = Claimed | ClaimLost | ClaimUnavailable


@dataclass(frozen=True, slots=True)
class RecordRead:
    """A record with the version of its row; None if there is no row."""

    record: RequestRecord | None
    version: int


@dataclass(slots=True)
class Claims:
    """Reads and writes the rows of requests, and their payloads and answers.

    Parameters
    ----------
    settling_tasks : set of asyncio.Task
        Background tasks that write outcomes until the table service accepts them.
    """

    table: Table
    objects: Objects
    settling_tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def read_record(
        self, member: str, request: str
    ) -> RecordRead | ClaimUnavailable:
        """Read the row of a request."""
        match await self.table.read(request_key(member, request)):
            case Ok(None):
                return RecordRead(None, ABSENT)
            case Ok(Row(version=version, value=value)):
                return RecordRead(decode_record(value), version)
            case Err(TableUnavailable(detail)):
                return ClaimUnavailable(detail)

    async def write_open(
        self, record: RequestRecord, version: int, limit_ms: int = COMMIT_LIMIT_MS
    ) -> ClaimResult:
        """Write a record that is open, and its entry in the list of its driver."""
        key = request_key(record.member, record.request)
        return await self._write(
            record,
            limit_ms,
            Put(key, encode_record(record), version),
            Put(record_open_key(record), ""),
        )

    async def claim_start(
        self, record: RequestRecord, version: int, grant: Grant, limit_ms: int
    ) -> ClaimResult:
        """Claim the start of a request at a target, before any byte is sent to it."""
        started = replace(
            record,
            state=RequestState.STARTED,
            attempt=str(grant.attempt),
            target=grant.target,
            target_address=grant.address,
        )
        return await self.write_open(started, version, limit_ms)

    async def record_refusal(
        self, record: RequestRecord, version: int, refusal: NotRun
    ) -> ClaimResult:
        """Record that a request was refused, before the refusal is returned.

        A claim of another submission with the same key that has not reached the table
        yet will fail.
        """
        final = with_outcome(record, refusal, Blob(), False)
        put = Put(
            request_key(record.member, record.request), encode_record(final), version
        )
        return await self._write(final, REFUSE_LIMIT_MS, put)

    async def adopt(
        self, record: RequestRecord, version: int, driver: str, incarnation: int
    ) -> ClaimResult:
        """Take over a request from a driver whose lease has lapsed."""
        adopted = replace(record, driver=driver, driver_incarnation=incarnation)
        key = request_key(record.member, record.request)
        return await self._write(
            adopted,
            COMMIT_LIMIT_MS,
            Put(key, encode_record(adopted), version),
            Delete(record_open_key(record)),
            Put(record_open_key(adopted), ""),
        )

    def record_outcome(
        self, claimed: Claimed, outcome: Outcome, is_on_time: bool
    ) -> None:
        """Record an outcome in the background, with retries until the table has it."""
        start_background(
            self.settling_tasks, self._record_outcome(claimed, outcome, is_on_time)
        )

    def resolve_in_doubt(self, record: RequestRecord, version: int) -> None:
        """Record in the background that a request did not run.

        Its last write got no answer, so nothing was sent.
        """
        start_background(self.settling_tasks, self._resolve_in_doubt(record, version))

    async def load_blob(self, blob: Blob) -> bytes | None:
        """Return the bytes of a blob, None if the object store is unavailable."""
        if not blob.object_key:
            return blob.inline
        match await self.objects.get(blob.object_key):
            case Ok(body):
                return body
            case Err(error):
                log_warning(
                    "object_unavailable", key=blob.object_key, detail=error.detail
                )
                return None

    async def store_blob(self, key: str, body: bytes) -> Blob | None:
        """Return a blob of some bytes, None if the object store is unavailable.

        Bytes above `MAX_INLINE_BYTES` are written to the object store under `key`.
        """
        if len(body) <= MAX_INLINE_BYTES:
            return Blob(body)
        match await self.objects.put(key, body):
            case Ok(_):
                return Blob(b"", key)
            case Err(error):
                log_warning("object_unavailable", key=key, detail=error.detail)
                return None

    async def wait_settled(self) -> None:
        """Wait until all outcomes are written or superseded."""
        while self.settling_tasks:
            await asyncio.wait(set(self.settling_tasks))

    async def _write(
        self, record: RequestRecord, limit_ms: int, *operations: Operation
    ) -> ClaimResult:
        match await self.table.commit(*operations, limit_ms=limit_ms):
            case Ok(committed):
                return Claimed(record, committed.revision)
            case Err(TableConflict()):
                return ClaimLost()
            case Err(TableUnavailable(detail)):
                return ClaimUnavailable(detail)

    async def _record_outcome(
        self, claimed: Claimed, outcome: Outcome, is_on_time: bool
    ) -> None:
        record = claimed.record
        answer: Blob | None = Blob()
        while isinstance(outcome, Completed):
            key = f"answer-{record.member}-{record.request}"
            answer = await self.store_blob(key, outcome.body)
            if answer is not None:
                break
            await asyncio.sleep(to_seconds(SETTLE_RETRY_DELAY_MS))
        final = with_outcome(record, outcome, answer, is_on_time)
        await self._commit_final(record, final, claimed.version)

    async def _commit_final(
        self, open_record: RequestRecord, final: RequestRecord, version: int
    ) -> None:
        key = request_key(final.member, final.request)
        while True:
            result = await self.table.commit(
                Put(key, encode_record(final), version),
                Delete(record_open_key(open_record)),
                limit_ms=SETTLE_LIMIT_MS,
            )
            match result:
                case Ok(_):
                    log_event(
                        "request_recorded", request=final.request, state=final.state
                    )
                    return
                case Err(TableConflict()):
                    log_warning("record_superseded", request=final.request)
                    return
                case Err(TableUnavailable()):
                    await asyncio.sleep(to_seconds(SETTLE_RETRY_DELAY_MS))

    async def _resolve_in_doubt(self, record: RequestRecord, version: int) -> None:
        """Record "not run" after a commit that may or may not have taken effect.

        A row still at the earlier version is overwritten, which makes the commit
        fail if it arrives later. A row that another driver has written stays.
        """
        not_run = NotRun(NotRunReason.TABLE_UNAVAILABLE, "claim not answered")
        while True:
            read = await self.read_record(record.member, record.request)
            match read:
                case ClaimUnavailable():
                    await asyncio.sleep(to_seconds(SETTLE_RETRY_DELAY_MS))
                    continue
                case RecordRead(stored, stored_version):
                    pass
            is_ours = stored is not None and _has_same_writer(stored, record)
            if stored_version != version and not is_ours:
                return
            final = with_outcome(record, not_run, Blob(), False)
            await self._commit_final(record, final, stored_version)
            return


def _has_same_writer(stored: RequestRecord, record: RequestRecord) -> bool:
    return (
        stored.is_open()
        and stored.attempt == record.attempt
        and stored.is_driven_by(record.driver, record.driver_incarnation)
    )
