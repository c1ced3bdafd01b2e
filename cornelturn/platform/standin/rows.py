"""Stand-in for the platform's row store, with injectable faults."""

from __future__ import annotations

import asyncio
import base64
from bisect import bisect_right
from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum

import msgspec
from blacksheep import Application, Request, Response

from cornelturn.clock import to_seconds
from cornelturn.http.routes import add_route, new_application, query_value
from cornelturn.platform.page_size import MAX_PAGE_ROWS
from cornelturn.platform.standin.answers import json_response
from cornelturn.platform.store import WireParts, WireRow, WireRows, WireTransaction

NO_ANSWER_S = 3_600.0

MAX_QUEUED_S = 1.0
"""Longest wait in the queue of a part; later transactions are rejected."""

RowKey = tuple[str, str, str]


class StoreFault(StrEnum):
    """Fault of the store that applies to all calls."""

    NONE = "none"
    BUSY = "busy"
    SILENT = "silent"
    LOST_ANSWERS = "lost_answers"
    LOST_WRITES = "lost_writes"
    """Writes are applied and not answered; reads are answered."""
    SILENT_FEED = "silent_feed"
    """Reads that wait for changes are not answered; all other calls work."""


@dataclass(slots=True)
class StoredRow:
    """A row and the version of its last write."""

    value: str
    version: int


@dataclass(slots=True)
class StoreStandin:
    """Store that keeps rows and the history of their changes in memory.

    Parameters
    ----------
    fault : StoreFault
        Fault that applies to all calls.
    lost_write_delay_ms : int
        Delay before a write takes effect whose response is lost.
    answer_delay_ms : int
        Delay of each response.
    transaction_ms : int
        Time that a part needs for a transaction; it executes them one by one.
    part_free_s : dict
        When each part will have executed its queue, on the clock of the event loop.
    rejected_count : int
        Number of transactions rejected because the queue of their part was full.
    transaction_counts : Counter
        Number of transactions received, by table and key of their first row.
    unavailable_parts : set
        Tables and parts whose rows can be neither read nor written; their changes
        are still sent by the feed.
    slow_parts : set
        Tables and parts whose reads and writes take ``slow_part_delay_ms`` longer.
    """

    fault: StoreFault = StoreFault.NONE
    lost_write_delay_ms: int = 0
    answer_delay_ms: int = 0
    transaction_ms: int = 0
    part_free_s: dict[str, float] = field(default_factory=dict)
    rejected_count: int = 0
    transaction_counts: Counter[tuple[str, str]] = field(default_factory=Counter)
    unavailable_parts: set[tuple[str, str]] = field(default_factory=set)
    slow_parts: set[tuple[str, str]] = field(default_factory=set)
    slow_part_delay_ms: int = 5_000
    rows: dict[RowKey, StoredRow] = field(default_factory=dict)
    history: list[WireRow] = field(default_factory=list)
    version: int = 0
    history_start: int = 0
    call_count: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def application(self) -> Application:
        """Return the web application of the store."""
        app = new_application()
        add_route(app, "POST", "/rows-tx", self.transact)
        add_route(app, "GET", "/rows-get", self.get)
        add_route(app, "GET", "/rows-parts", self.parts)
        add_route(app, "GET", "/rows-feed", self.feed)
        return app

    def put(self, table: str, key: str, value: bytes, part: str = "") -> None:
        """Write a row without a condition, as the operator or a worker does."""
        text = base64.b64encode(value).decode()
        self._apply((WireRow(table, part, key, value=text),), ())

    def read_value(self, table: str, key: str, part: str = "") -> bytes | None:
        """Return the value of a row, None if there is no such row."""
        row = self.rows.get((table, part, key))
        return base64.b64decode(row.value) if row is not None else None

    def remove(self, table: str, key: str, part: str = "") -> None:
        """Remove a row as the platform does."""
        self._apply((), (WireRow(table, part, key),))

    def discard_history(self) -> None:
        """Discard the history of all changes so far."""
        self.history_start = self.version
        self.history.clear()

    async def transact(self, request: Request) -> Response:
        """Apply all writes of a transaction or none of them."""
        self.call_count += 1
        body = await request.read() or b""
        first = _first_row(msgspec.json.decode(body, type=WireTransaction))
        self.transaction_counts[first.table_name, first.key] += 1
        if (first.table_name, first.part) in self.unavailable_parts:
            return json_response(503, {})
        await self._delay_slow_part(first.table_name, first.part)
        match self.fault:
            case StoreFault.BUSY:
                return json_response(503, {})
            case StoreFault.SILENT:
                await asyncio.sleep(NO_ANSWER_S)
            case StoreFault.LOST_ANSWERS | StoreFault.LOST_WRITES:
                await asyncio.sleep(to_seconds(self.lost_write_delay_ms))
                self._transact(body)
                await asyncio.sleep(NO_ANSWER_S)
            case StoreFault.NONE | StoreFault.SILENT_FEED:
                return await self._transact_queued(body)

    async def get(self, request: Request) -> Response:
        """Return a page of the rows of a part."""
        fault = await self._apply_read_fault()
        if fault is not None:
            return fault
        table, part = query_value(request, "table_name"), query_value(request, "part")
        if (table, part) in self.unavailable_parts:
            return json_response(503, {})
        await self._delay_slow_part(table, part)
        source = query_value(request, "source")
        limit = int(query_value(request, "limit", str(MAX_PAGE_ROWS)))
        names = sorted(
            key[2] for key in self.rows if key[:2] == (table, part) and key[2] >= source
        )
        rows = tuple(self._wire_row((table, part, name)) for name in names[:limit])
        return json_response(200, WireRows(rows, len(names) > limit, self.version))

    async def parts(self, request: Request) -> Response:
        """Return the names of the parts of a table."""
        fault = await self._apply_read_fault()
        if fault is not None:
            return fault
        table = query_value(request, "table_name")
        names = sorted({key[1] for key in self.rows if key[0] == table})
        return json_response(200, WireParts(tuple(names)))

    async def feed(self, request: Request) -> Response:
        """Return the changes of a table, waiting for the first."""
        fault = await self._apply_read_fault()
        if fault is not None:
            return fault
        table = query_value(request, "table_name")
        after = int(query_value(request, "after", "0"))
        wait_s = to_seconds(int(query_value(request, "wait_ms", "0")))
        if wait_s and self.fault is StoreFault.SILENT_FEED:
            await asyncio.sleep(NO_ANSWER_S)
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + wait_s
        while True:
            if after < self.history_start:
                return json_response(410, {})
            first = bisect_right(self.history, after, key=lambda row: row.row_version)
            rows = tuple(row for row in self.history[first:] if row.table_name == table)
            remaining_s = deadline_s - loop.time()
            if rows or remaining_s <= 0:
                return json_response(200, WireRows(rows, False, self.version))
            self.changed.clear()
            try:
                async with asyncio.timeout(remaining_s):
                    await self.changed.wait()
            except TimeoutError:
                continue

    async def _apply_read_fault(self) -> Response | None:
        self.call_count += 1
        match self.fault:
            case StoreFault.BUSY:
                return json_response(503, {})
            case StoreFault.SILENT | StoreFault.LOST_ANSWERS:
                await asyncio.sleep(NO_ANSWER_S)
        await self._delay_answer()
        return None

    async def _delay_slow_part(self, table: str, part: str) -> None:
        if (table, part) in self.slow_parts:
            await asyncio.sleep(to_seconds(self.slow_part_delay_ms))

    async def _delay_answer(self) -> None:
        if self.answer_delay_ms:
            await asyncio.sleep(to_seconds(self.answer_delay_ms))

    async def _transact_queued(self, body: bytes) -> Response:
        """Apply a transaction after the earlier ones of its part."""
        if self.transaction_ms:
            part = _first_row(msgspec.json.decode(body, type=WireTransaction)).part
            now_s = asyncio.get_running_loop().time()
            begin_s = max(now_s, self.part_free_s.get(part, now_s))
            if begin_s - now_s > MAX_QUEUED_S:
                self.rejected_count += 1
                await self._delay_answer()
                return json_response(429, {})
            self.part_free_s[part] = begin_s + to_seconds(self.transaction_ms)
            await asyncio.sleep(self.part_free_s[part] - now_s)
        answer = self._transact(body)
        await self._delay_answer()
        return answer

    def _transact(self, body: bytes) -> Response:
        wire = msgspec.json.decode(body, type=WireTransaction)
        keys = [row_key(condition) for condition in wire.precondition]
        for condition in wire.precondition:
            row = self.rows.get(row_key(condition))
            if (row.version if row is not None else 0) != condition.row_version:
                rows = tuple(self._wire_row(key) for key in keys if key in self.rows)
                return json_response(412, WireRows(rows, False, self.version))
        self._apply(wire.write, wire.remove)
        return json_response(200, WireRows((), False, self.version))

    def _apply(
        self, writes: tuple[WireRow, ...], removals: tuple[WireRow, ...]
    ) -> None:
        self.version += 1
        for write in writes:
            self.rows[row_key(write)] = StoredRow(write.value or "", self.version)
            self.history.append(self._wire_row(row_key(write)))
        for removal in removals:
            if self.rows.pop(row_key(removal), None) is not None:
                deletion = WireRow(
                    *row_key(removal), row_version=self.version, deleted=True
                )
                self.history.append(deletion)
        self.changed.set()

    def _wire_row(self, key: RowKey) -> WireRow:
        row = self.rows[key]
        return WireRow(*key, value=row.value, row_version=row.version)


def _first_row(wire: WireTransaction) -> WireRow:
    """Return the first row of a transaction."""
    return next(row for row in (*wire.precondition, *wire.write, *wire.remove))


def row_key(wire: WireRow) -> RowKey:
    """Return the table, part and key of a row."""
    return wire.table_name, wire.part, wire.key
