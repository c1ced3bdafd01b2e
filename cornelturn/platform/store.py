"""HTTP client of the platform's row store."""

from __future__ import annotations

import asyncio
import base64
from collections.abc import Callable
from dataclasses import dataclass, field
from urllib.parse import urlencode

import msgspec
from result import Err, Ok, Result

from cornelturn.clock import Clock, loop_clock
from cornelturn.events.log import log_event
from cornelturn.model.decoding import Count, try_decode
from cornelturn.platform.page_size import PageSize, PageTransfer, TablePages
from cornelturn.store.channel import Channel
from cornelturn.store.health import CallKind, SentCall, StoreHealth
from cornelturn.store.http_client import CallError, HttpResponse
from cornelturn.store.http_connection import CallResult, Timing, ignore_status
from cornelturn.store.port import FeedError, HistoryLost
from cornelturn.store.rows import (
    ABSENT,
    CallTooLarge,
    Check,
    Committed,
    Delete,
    Operation,
    Page,
    Put,
    Row,
    TableConflict,
    TableError,
    TableUnavailable,
)

CALL_TIMEOUT_MS = 1_500
"""Timeout of a call; a transaction normally takes a few milliseconds."""

NOT_APPLIED_STATUSES = (400, 403, 413, 429, 503)
"""Statuses that guarantee that the store has not applied the call."""

OVERLOAD_STATUSES = (429, 503)
"""Statuses with which the store rejects calls of this kind for the moment."""

SLOW_READ_MS = 500
"""Duration of a read, beyond the requested wait, above which it is logged."""


class WireRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """A row in the platform's format; ``value`` is base64, absent in a deletion."""

    table_name: str
    part: str
    key: str
    value: str | None = None
    row_version: Count | None = None
    deleted: bool = False


class WireTransaction(msgspec.Struct, frozen=True):
    """Request body of a transaction."""

    precondition: tuple[WireRow, ...]
    write: tuple[WireRow, ...]
    remove: tuple[WireRow, ...]


class WireRows(msgspec.Struct, frozen=True):
    """Response that holds rows; ``row_version`` is the newest version of the store."""

    rows: tuple[WireRow, ...] = ()
    has_more: bool = False
    row_version: Count = 0


class WireParts(msgspec.Struct, frozen=True):
    """Response that holds the names of a table's parts."""

    parts: tuple[str, ...] = ()
    has_more: bool = False


ROWS_DECODER = msgspec.json.Decoder(WireRows)
PARTS_DECODER = msgspec.json.Decoder(WireParts)


@dataclass(slots=True)
class PlatformStore:
    """The platform's row store, addressed by keys of the form ``table/part/name``.

    Parameters
    ----------
    address : str
        IP address and port of the store.
    pages : dict
        Size of the pages of each table.
    """

    address: str
    clock: Clock = field(default_factory=loop_clock)
    health: StoreHealth = field(default_factory=StoreHealth)
    pages: dict[str, TablePages] = field(default_factory=dict)
    write_channel: Channel = field(init=False)
    read_channel: Channel = field(init=False)

    def __post_init__(self) -> None:
        url = f"http://{self.address}"
        self.write_channel = Channel(url, CALL_TIMEOUT_MS)
        self.read_channel = Channel(url, CALL_TIMEOUT_MS)

    async def commit(self, *operations: Operation) -> Result[Committed, TableError]:
        """Apply all operations atomically; they must share a part."""
        body = msgspec.json.encode(_encode_transaction(operations))
        match await self._timed_call(CallKind.WRITE, "/rows-tx", body):
            case Ok(HttpResponse(status=200, body=data)):
                return _decode_rows(data).map(lambda rows: Committed(rows.row_version))
            case Ok(HttpResponse(status=412, body=data)):
                return _decode_rows(data).and_then(
                    lambda rows: Err(_conflict(operations, rows))
                )
            case Ok(HttpResponse(status=413)):
                return Err(CallTooLarge("status 413"))
            case Ok(other):
                is_in_doubt = other.status not in NOT_APPLIED_STATUSES
                detail = f"status {other.status}"
                return Err(TableUnavailable(detail, is_in_doubt))
            case Err(error):
                return Err(TableUnavailable(error.detail, is_in_doubt=error.was_sent))

    async def read(self, key: str) -> Result[Row | None, TableUnavailable]:
        """Return a row, None if there is none under the key."""
        table, part, name = split_key(key)
        query = {"table_name": table, "part": part, "source": name, "limit": 1}
        return (await self._get_rows(query)).map(
            lambda rows: next(
                (row_from_wire(row) for row in rows.rows if row.key == name), None
            )
        )

    async def scan(self, table: str, part: str) -> Result[Page, TableUnavailable]:
        """Return all rows of a part; the pages are not read at the same revision."""
        scanned: list[Row] = []
        source = ""
        revision: int | None = None
        while True:
            match await self._get_page(table, part, source):
                case Err() as failed:
                    return failed
                case Ok(rows):
                    pass
            scanned += [row_from_wire(row) for row in rows.rows]
            revision = rows.row_version if revision is None else revision
            if not rows.has_more or not rows.rows:
                return Ok(Page(revision, tuple(scanned)))
            source = rows.rows[-1].key + "\0"

    async def parts(self, table: str) -> Result[list[str], TableUnavailable]:
        """Return the names of the parts of a table that hold rows."""
        names: list[str] = []
        query = {"table_name": table}
        while True:
            match await self._get("/rows-parts", query):
                case Err(error):
                    return Err(error)
                case Ok(response):
                    pass
            match try_decode(PARTS_DECODER.decode, response.body):
                case Err(error):
                    return Err(TableUnavailable(error.detail))
                case Ok(page):
                    pass
            names += page.parts
            if not page.has_more or not page.parts:
                return Ok(names)
            query["after"] = page.parts[-1]

    async def changes(
        self, table: str, after: int, wait_ms: int
    ) -> Result[Page, FeedError]:
        """Return the rows changed after a revision; wait up to ``wait_ms`` for one."""
        query = {"table_name": table, "after": after, "wait_ms": wait_ms}
        path = f"/rows-feed?{urlencode(query)}"
        started_ms = self.clock.now_ms()
        if wait_ms:
            result = await self._get_untimed(path, wait_ms + CALL_TIMEOUT_MS)
        else:
            result = await self._timed_call(CallKind.READ, path)
        _report_slow_read(
            "changes", table, self.clock.now_ms() - started_ms, result, wait_ms
        )
        match result:
            case Ok(HttpResponse(status=200, body=body)):
                return _decode_rows(body).map(_changes_page)
            case Ok(HttpResponse(status=410)):
                return Err(HistoryLost())
            case Ok(other):
                return Err(TableUnavailable(f"status {other.status}"))
            case Err(error):
                return Err(TableUnavailable(error.detail))

    def is_unreachable(self) -> bool:
        """Return whether a call would currently get no response."""
        return self.health.is_unreachable(self.clock.now_ms())

    def is_serving(self) -> bool:
        """Return whether the store currently executes calls."""
        return self.health.is_serving(self.clock.now_ms())

    def is_probe_needed(self) -> bool:
        """Return whether only another call can establish the state of the store."""
        now_ms = self.clock.now_ms()
        return self.health.has_overdue_call(now_ms) or not self.health.is_serving(
            now_ms
        )

    def response_timeout_ms(self, kind: CallKind) -> int:
        """Return the time after which the response to a call is overdue."""
        return self.health.response_times[kind].response_timeout_ms()

    async def close(self) -> None:
        """Close the connections."""
        await self.write_channel.close()
        await self.read_channel.close()

    async def _get_untimed(
        self,
        path: str,
        limit_ms: int,
        on_start: Callable[[int], None] = ignore_status,
    ) -> CallResult:
        """Send a read whose duration says nothing about the health of the store."""
        timing = Timing(CALL_TIMEOUT_MS, on_start)
        return await self.read_channel.call(
            "GET", path, limit_ms, may_retry=True, timing=timing
        )

    async def _timed_call(
        self, kind: CallKind, path: str, body: bytes | None = None
    ) -> CallResult:
        """Send a request, and record in the health when and how its response begins.

        While a response is overdue, idle connections are dropped: they may be dead for
        good while new ones work.
        """
        is_read = kind is CallKind.READ
        channel, method = (
            (self.read_channel, "GET") if is_read else (self.write_channel, "POST")
        )
        started_ms = self.clock.now_ms()
        if self.health.has_overdue_call(started_ms):
            channel.close_idle()
        sent = self.health.record_sent(kind, started_ms)
        timing = Timing(
            CALL_TIMEOUT_MS if is_read else 0,
            lambda status: self._record_status(sent, status),
        )
        try:
            result = await channel.call(
                method, path, CALL_TIMEOUT_MS, body, may_retry=is_read, timing=timing
            )
        except asyncio.CancelledError:
            self.health.record_cancelled(sent)
            raise
        if isinstance(result, Err) and not result.err_value.is_timeout:
            self.health.record_connection_failure(sent)
        return result

    def _record_status(self, sent: SentCall, status: int) -> None:
        if status in OVERLOAD_STATUSES:
            self.health.record_refused(sent)
        else:
            self.health.record_answered(sent, self.clock.now_ms())

    async def _get_page(
        self, table: str, part: str, source: str
    ) -> Result[WireRows, TableUnavailable]:
        """Return the next rows of a part, as many as the link transfers briefly."""
        pages = self.pages.setdefault(table, TablePages())
        size = pages.size
        if not size.is_known(self.clock.now_ms()):
            async with pages.first:
                if not size.is_known(self.clock.now_ms()):
                    return await self._get_sized_page(table, part, source, size)
        return await self._get_sized_page(table, part, source, size)

    async def _get_sized_page(
        self, table: str, part: str, source: str, size: PageSize
    ) -> Result[WireRows, TableUnavailable]:
        """Return the next rows of a part, and adapt the size of the next pages."""
        limit = size.rows_to_request(self.clock.now_ms())
        query = {"table_name": table, "part": part, "limit": limit}
        if source:
            query["source"] = source
        started_ms = self.clock.now_ms()

        def note_start(_: int) -> None:
            nonlocal started_ms
            started_ms = self.clock.now_ms()

        result = await self._get("/rows-get", query, on_start=note_start)
        now_ms = self.clock.now_ms()
        match result.and_then(lambda response: _decode_rows(response.body)):
            case Ok(page) as read:
                size_bytes = len(result.ok_value.body)
                arrived = PageTransfer(
                    limit, len(page.rows), size_bytes, now_ms - started_ms
                )
                size.record_page(arrived, now_ms)
                return read
            case failed:
                size.record_failure(now_ms)
                return failed

    async def _get_rows(
        self,
        query: dict[str, str | int],
    ) -> Result[WireRows, TableUnavailable]:
        result = await self._get("/rows-get", query, is_timed=True)
        return result.and_then(lambda response: _decode_rows(response.body))

    async def _get(
        self,
        path: str,
        query: dict[str, str | int],
        is_timed: bool = False,
        on_start: Callable[[int], None] = ignore_status,
    ) -> Result[HttpResponse, TableUnavailable]:
        """Send a read, and log it if it was slow.

        Parameters
        ----------
        is_timed : bool
            Whether the response is so short that its duration depends on the store
            alone, and counts for the health of the store.
        on_start : callable
            Called when the response to a read that is not timed starts.
        """
        full = f"{path}?{urlencode(query)}"
        started_ms = self.clock.now_ms()
        if is_timed:
            result = await self._timed_call(CallKind.READ, full)
        else:
            result = await self._get_untimed(full, CALL_TIMEOUT_MS, on_start)
        table = str(query["table_name"])
        _report_slow_read("rows", table, self.clock.now_ms() - started_ms, result)
        match result:
            case Ok(HttpResponse(status=200) as response):
                return Ok(response)
            case Ok(other):
                return Err(TableUnavailable(f"status {other.status}"))
            case Err(error):
                return Err(TableUnavailable(error.detail))


def _report_slow_read(
    kind: str, table: str, took_ms: int, result: CallResult, wait_ms: int = 0
) -> None:
    """Log a read that was slow, or failed after a part of its response had arrived.

    Parameters
    ----------
    wait_ms : int
        Time for which the store was allowed to wait for a change.
    """
    match result:
        case Ok(HttpResponse(body=body)) if took_ms > wait_ms + SLOW_READ_MS:
            log_event(
                "reading_slow", kind=kind, table=table, bytes=len(body), took_ms=took_ms
            )
        case Err(CallError(received=received, detail=detail)) if received:
            log_event(
                "reading_given_up",
                kind=kind,
                table=table,
                bytes=received,
                took_ms=took_ms,
                detail=detail,
            )


def split_key(key: str) -> tuple[str, str, str]:
    """Split a key into table, part and name."""
    table, part, name = key.split("/", 2)
    return table, part, name


def _encode_transaction(operations: tuple[Operation, ...]) -> WireTransaction:
    conditions: list[WireRow] = []
    writes: list[WireRow] = []
    removals: list[WireRow] = []
    for operation in operations:
        table, part, name = split_key(operation.key)
        if operation.expected is not None:
            conditions.append(
                WireRow(table, part, name, row_version=operation.expected)
            )
        match operation:
            case Put(value=value):
                text = base64.b64encode(value.encode()).decode()
                writes.append(WireRow(table, part, name, value=text))
            case Delete():
                removals.append(WireRow(table, part, name))
            case Check():
                pass
    return WireTransaction(tuple(conditions), tuple(writes), tuple(removals))


def _decode_rows(data: bytes) -> Result[WireRows, TableUnavailable]:
    return try_decode(ROWS_DECODER.decode, data).map_err(
        lambda error: TableUnavailable(f"response could not be decoded: {error.detail}")
    )


def row_from_wire(wire: WireRow) -> Row:
    """Convert a row; bytes that are not text become an empty, unreadable value."""
    key = f"{wire.table_name}/{wire.part}/{wire.key}"
    try:
        value = base64.b64decode(wire.value or "", validate=True).decode()
    except ValueError:
        value = ""
    return Row(key, wire.row_version or ABSENT, "", value)


def _changes_page(rows: WireRows) -> Page:
    """Return the last change of each key; the history may hold several of a key."""
    last = {(row.table_name, row.part, row.key): row for row in rows.rows}
    present = tuple(row_from_wire(row) for row in last.values() if not row.deleted)
    deleted = tuple(row_from_wire(row).key for row in last.values() if row.deleted)
    return Page(rows.row_version, present, deleted, len(rows.rows) - len(last))


def _conflict(operations: tuple[Operation, ...], rows: WireRows) -> TableConflict:
    present = {
        row.key: row for row in map(row_from_wire, rows.rows) if row.version != ABSENT
    }
    keys = tuple(
        operation.key
        for operation in operations
        if operation.expected is not None
        and operation.expected
        != (present[operation.key].version if operation.key in present else ABSENT)
    )
    return TableConflict(keys, tuple(present.values()))
