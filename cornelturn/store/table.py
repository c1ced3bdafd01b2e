"""Client of the table service: a task that owns the connections to it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

import msgspec
from result import Err, Ok, Result

from cornelturn.clock import Clock, to_seconds
from cornelturn.events.background import start_background
from cornelturn.events.log import log_warning
from cornelturn.events.mailbox import Mailbox, answer
from cornelturn.events.metrics import Metrics
from cornelturn.model.decoding import DocumentError, try_decode
from cornelturn.store.channel import Channel
from cornelturn.store.http_client import HttpResponse, quoted
from cornelturn.store.rows import (
    Committed,
    Operation,
    Page,
    Put,
    Row,
    TableConflict,
    TableError,
    TableUnavailable,
)
from cornelturn.store.wire import (
    WireCommitted,
    WireConflict,
    WirePage,
    WireRow,
    WireTransaction,
    wire_operation,
)

CALL_TIMEOUT_MS = 1_000
COMMIT_LIMIT_MS = 3_000
OPERATOR_READ_LIMIT_MS = COMMIT_LIMIT_MS
"""Time limit of a read for an operator, the same as that of a commit."""

RETRY_PAUSE_S = 0.05
MAX_OPERATIONS = 64
MAX_GROUPS_IN_FLIGHT = 4

COMMITTED_DECODER = msgspec.json.Decoder(WireCommitted)
CONFLICT_DECODER = msgspec.json.Decoder(WireConflict)
ROW_DECODER = msgspec.json.Decoder(WireRow)
PAGE_DECODER = msgspec.json.Decoder(WirePage)

CommitResult = Result[Committed, TableError]
ReadResult = Result[Row | None, TableUnavailable]
ScanResult = Result[Page, TableUnavailable]


@dataclass(frozen=True, slots=True)
class CommitRequest:
    """Message: apply all operations or none."""

    operations: tuple[Operation, ...]
    limit_ms: int
    reply: asyncio.Future[CommitResult]


@dataclass(frozen=True, slots=True)
class ReadRequest:
    """Message: read one row."""

    key: str
    limit_ms: int
    reply: asyncio.Future[ReadResult]


@dataclass(frozen=True, slots=True)
class ScanRequest:
    """Message: read the rows below a prefix that changed after a revision."""

    prefix: str
    after: int
    reply: asyncio.Future[ScanResult]


@dataclass(frozen=True, slots=True)
class GroupAttempted:
    """Message: a group commit was attempted; `to_retry` must be sent again."""

    to_retry: tuple[PendingCommit, ...]


@dataclass(frozen=True, slots=True)
class CommitLimitReached:
    """Message: the time limit of a commit has passed."""


TableMessage = (
    CommitRequest | ReadRequest | ScanRequest | GroupAttempted | CommitLimitReached
)


@dataclass(slots=True, eq=False)
class PendingCommit:
    """A commit without a result yet, with the token that marks its rows."""

    request: CommitRequest
    token: str
    deadline_ms: int
    was_sent: bool = False


@dataclass(slots=True)
class Table:
    """Client of the table service.

    Commits that are pending at the same time are sent as one transaction. When a
    response is lost the commit is sent again; as it is conditional it takes effect
    once, and the token in the rows identifies the commit that wrote them.

    Parameters
    ----------
    base_url : str
        Address of the service.
    writer : str
        Unique name of this incarnation of the entry, part of every token.
    """

    base_url: str
    writer: str
    clock: Clock
    metrics: Metrics
    mailbox: Mailbox[TableMessage] = field(default_factory=Mailbox)
    pending: list[PendingCommit] = field(default_factory=list)
    groups_in_flight: int = 0
    is_in_doubt_next: bool = False
    sequence: int = 0
    calls: set[asyncio.Task[None]] = field(default_factory=set)

    async def commit(
        self, *operations: Operation, limit_ms: int = COMMIT_LIMIT_MS
    ) -> CommitResult:
        """Apply all operations or none, retrying for up to `limit_ms` milliseconds."""
        return await self.mailbox.ask(
            lambda reply: CommitRequest(operations, limit_ms, reply)
        )

    async def read(self, key: str, limit_ms: int = CALL_TIMEOUT_MS) -> ReadResult:
        """Read one row, None if it does not exist, within `limit_ms` milliseconds.

        A failed read is retried; an attempt takes a second at most.
        """
        return await self.mailbox.ask(lambda reply: ReadRequest(key, limit_ms, reply))

    async def scan(self, prefix: str, after: int = 0) -> ScanResult:
        """Read the rows below a prefix that changed after a revision."""
        return await self.mailbox.ask(lambda reply: ScanRequest(prefix, after, reply))

    async def run(self) -> None:
        """Handle messages until cancelled."""
        channel = Channel(self.base_url, CALL_TIMEOUT_MS)
        try:
            async for message in self.mailbox.messages():
                self._handle(channel, message)
        finally:
            for task in self.calls:
                task.cancel()
            await channel.close()

    def _handle(self, channel: Channel, message: TableMessage) -> None:
        match message:
            case CommitRequest():
                self.pending.append(self._accept_commit(message))
                self._start_groups(channel)
            case CommitLimitReached():
                self._expire()
            case GroupAttempted(to_retry):
                self.groups_in_flight -= 1
                self.pending += to_retry
                self._expire()
                self._start_groups(channel)
            case ReadRequest():
                start_background(self.calls, self._answer_read(channel, message))
            case ScanRequest():
                start_background(self.calls, self._answer_scan(channel, message))

    def _accept_commit(self, request: CommitRequest) -> PendingCommit:
        self.sequence += 1
        deadline_ms = self.clock.now_ms() + request.limit_ms
        loop = asyncio.get_running_loop()
        loop.call_later(
            to_seconds(request.limit_ms + 1), self.mailbox.post, CommitLimitReached()
        )
        return PendingCommit(request, f"{self.writer}.{self.sequence}", deadline_ms)

    # Commits

    def _start_groups(self, channel: Channel) -> None:
        while self.pending and self.groups_in_flight < MAX_GROUPS_IN_FLIGHT:
            group = self._next_group()
            self.groups_in_flight += 1
            start_background(self.calls, self._commit_group(channel, group))

    def _next_group(self) -> list[PendingCommit]:
        """Return one commit in doubt, or new ones with different keys, alternately.

        A commit that may have taken effect is sent alone: if it conflicted with
        itself while responses are lost, it would delay all others of its group.
        """
        in_doubt = [commit for commit in self.pending if commit.was_sent]
        new = [commit for commit in self.pending if not commit.was_sent]
        if in_doubt and (self.is_in_doubt_next or not new):
            self.is_in_doubt_next = False
            group = in_doubt[:1]
        else:
            self.is_in_doubt_next = True
            group = _first_disjoint(new)
        self.pending = [commit for commit in self.pending if commit not in group]
        return group

    def _expire(self) -> None:
        """Fail the commits whose time limit has passed, sent or not."""
        now_ms = self.clock.now_ms()
        unexpired: list[PendingCommit] = []
        for pending in self.pending:
            if now_ms < pending.deadline_ms:
                unexpired.append(pending)
                continue
            limit_ms = pending.request.limit_ms
            error = TableUnavailable(f"no answer within {limit_ms} ms")
            answer(pending.request.reply, Err(error))
        self.pending = unexpired

    async def _commit_group(self, channel: Channel, group: list[PendingCommit]) -> None:
        """Attempt a group once; retries queue with all others, so none is delayed."""
        to_retry: list[PendingCommit] = []
        try:
            to_retry = await self._try_group(channel, group)
        finally:
            self.mailbox.post(GroupAttempted(tuple(to_retry)))

    async def _try_group(
        self, channel: Channel, group: list[PendingCommit]
    ) -> list[PendingCommit]:
        """Send a group once and return the commits that must be sent again."""
        result = await self._send_group(channel, group)
        match result:
            case Ok(Committed() as committed):
                for pending in group:
                    answer(pending.request.reply, Ok(committed))
                return []
            case Err(TableConflict(keys)):
                return await self._resolve_conflicts(channel, group, set(keys))
            case Err(TableUnavailable() as error):
                log_warning(
                    "table_unavailable", detail=error.detail, commits=len(group)
                )
                await asyncio.sleep(RETRY_PAUSE_S)
                return group

    async def _send_group(
        self, channel: Channel, group: list[PendingCommit]
    ) -> CommitResult:
        operations = tuple(
            wire_operation(operation, pending.token)
            for pending in group
            for operation in pending.request.operations
        )
        body = msgspec.json.encode(WireTransaction(operations))
        remaining_ms = min(commit.deadline_ms for commit in group) - self.clock.now_ms()
        timeout_ms = max(1, min(CALL_TIMEOUT_MS, remaining_ms))
        result = await channel.call("POST", "/v1/transactions", timeout_ms, body)
        match result:
            case Err(error):
                self._count_call("commit", "unavailable")
                for pending in group:
                    pending.was_sent = pending.was_sent or error.was_sent
                return Err(TableUnavailable(error.detail))
            case Ok(response):
                return self._commit_result(response, group)

    def _commit_result(
        self, response: HttpResponse, group: list[PendingCommit]
    ) -> CommitResult:
        match response.status:
            case 200:
                committed = try_decode(COMMITTED_DECODER.decode, response.body)
                result: CommitResult = committed.map(
                    lambda body: Committed(body.revision)
                )
            case 409:
                conflict = try_decode(CONFLICT_DECODER.decode, response.body)
                result = conflict.and_then(lambda body: Err(TableConflict(body.failed)))
            case status:
                result = Err(DocumentError(f"expected status 200, found {status}"))
        match result:
            case Ok(_):
                self._count_call("commit", "ok")
            case Err(TableConflict()):
                self._count_call("commit", "conflict")
            case Err(error):
                self._count_call("commit", "unavailable")
                for pending in group:
                    pending.was_sent = True
                return Err(TableUnavailable(error.detail))
        return result

    async def _resolve_conflicts(
        self, channel: Channel, group: list[PendingCommit], keys: set[str]
    ) -> list[PendingCommit]:
        to_retry: list[PendingCommit] = []
        for pending in group:
            own = {operation.key for operation in pending.request.operations}
            if own.isdisjoint(keys):
                to_retry.append(pending)
                continue
            result = await self._resolve_in_doubt(channel, pending, own & keys)
            if result is None:
                to_retry.append(pending)
            else:
                answer(pending.request.reply, result)
        return to_retry

    async def _resolve_in_doubt(
        self, channel: Channel, pending: PendingCommit, keys: set[str]
    ) -> CommitResult | None:
        """Return the result of a conflicting commit, None if it must be sent again.

        The conflict may be with an earlier attempt of the commit itself: the rows then
        have its token.
        """
        if not pending.was_sent:
            return Err(TableConflict(tuple(sorted(keys))))
        puts = [
            operation
            for operation in pending.request.operations
            if isinstance(operation, Put)
        ]
        for operation in puts:
            match await self._read(channel, operation.key):
                case Ok(row):
                    if row is not None and row.token == pending.token:
                        return Ok(Committed(row.version))
                case Err(error):
                    if self.clock.now_ms() < pending.deadline_ms:
                        await asyncio.sleep(RETRY_PAUSE_S)
                        return None
                    return Err(error)
        return Err(TableConflict(tuple(sorted(keys))))

    # Reads

    async def _answer_read(self, channel: Channel, request: ReadRequest) -> None:
        last_retry_ms = self.clock.now_ms() + request.limit_ms - CALL_TIMEOUT_MS
        result = await self._read(channel, request.key)
        while result.is_err() and self.clock.now_ms() < last_retry_ms:
            await asyncio.sleep(RETRY_PAUSE_S)
            result = await self._read(channel, request.key)
        answer(request.reply, result)

    async def _read(self, channel: Channel, key: str) -> ReadResult:
        result = await channel.call(
            "GET", f"/v1/rows/{quoted(key)}", CALL_TIMEOUT_MS, may_retry=True
        )
        match result:
            case Ok(HttpResponse(status=200, body=body)):
                decoded_body = try_decode(ROW_DECODER.decode, body)
                if decoded_body.is_ok():
                    self._count_call("read", "ok")
                    return decoded_body.map(_row)
                detail = decoded_body.err_value.detail
            case Ok(HttpResponse(status=404)):
                self._count_call("read", "ok")
                return Ok(None)
            case Ok(response):
                detail = f"expected status 200 or 404, found {response.status}"
            case Err(error):
                detail = error.detail
        self._count_call("read", "unavailable")
        return Err(TableUnavailable(detail))

    async def _answer_scan(self, channel: Channel, request: ScanRequest) -> None:
        path = f"/v1/rows?prefix={quoted(request.prefix)}&after={request.after}"
        result = await channel.call("GET", path, CALL_TIMEOUT_MS, may_retry=True)
        match result:
            case Ok(HttpResponse(status=200, body=body)):
                decoded_body = try_decode(PAGE_DECODER.decode, body)
                if decoded_body.is_ok():
                    self._count_call("scan", "ok")
                    answer(request.reply, decoded_body.map(_page))
                    return
                detail = decoded_body.err_value.detail
            case Ok(response):
                detail = f"expected status 200, found {response.status}"
            case Err(error):
                detail = error.detail
        self._count_call("scan", "unavailable")
        answer(request.reply, Err(TableUnavailable(detail)))

    def _count_call(self, name: str, result: str) -> None:
        self.metrics.table_calls.labels(name, result).inc()


def _first_disjoint(commits: list[PendingCommit]) -> list[PendingCommit]:
    """Return the first commits with different keys, up to the size of a group."""
    group: list[PendingCommit] = []
    keys: set[str] = set()
    count = 0
    for pending in commits:
        own = {operation.key for operation in pending.request.operations}
        size = count + len(pending.request.operations)
        if not group or (size <= MAX_OPERATIONS and keys.isdisjoint(own)):
            group.append(pending)
            count = size
        keys |= own
    return group


def _row(wire: WireRow) -> Row:
    return Row(wire.key, wire.version, wire.token, wire.value)


def _page(wire: WirePage) -> Page:
    rows = tuple(_row(row) for row in wire.rows)
    return Page(wire.revision, rows, wire.deleted)
