"""Stand-in of the platform's store of rows, with its faults."""

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
from cornelturn.platform.standin.answers import json_answer
from cornelturn.platform.store import (
    PAGE_ROWS,
    WireParts,
    WireRow,
    WireRows,
    WireTransaction,
)

FOREVER_S = 3_600.0

MOST_WAITING_S = 1.0
"""Transactions of a part that may wait, by the time that they take."""

RowKey = tuple[str, str, str]


class StoreFault(StrEnum):
    """What the store does wrong."""

    NONE = "none"
    BUSY = "busy"
    SILENT = "silent"
    LOST_ANSWERS = "lost_answers"
    LOST_WRITES = "lost_writes"
    """Writes are done and not answered; readings are answered."""
    SILENT_FEED = "silent_feed"
    """Readings that wait for changes get no answer; all else is done."""


@dataclass(slots=True)
class StoredRow:
    """A row and the version of its last write."""

    value: str
    version: int


@dataclass(slots=True)
class StoreStandin:
    """Rows in memory with a history of their changes.

    Parameters
    ----------
    fault : StoreFault
        What goes wrong with all calls.
    late_ms : int
        Time after which a write whose answer is lost takes effect.
    answer_ms : int
        Time of each answer.
    part_ms : int
        Time that a part needs for a transaction; it handles one after another.
    free_s : dict
        When each part has handled all that it has taken, on the clock of the loop.
    turned_away : int
        Transactions that a full part did not take.
    asked : Counter
        Transactions that have come, by table and key of their first row.
    refused : set
        Tables and parts whose rows are neither read nor written one by one; changes
        are still told.
    silent : set
        Tables and parts whose rows are read and written only after ``silent_ms``.
    """

    fault: StoreFault = StoreFault.NONE
    late_ms: int = 0
    answer_ms: int = 0
    part_ms: int = 0
    free_s: dict[str, float] = field(default_factory=dict)
    turned_away: int = 0
    asked: Counter[tuple[str, str]] = field(default_factory=Counter)
    refused: set[tuple[str, str]] = field(default_factory=set)
    silent: set[tuple[str, str]] = field(default_factory=set)
    silent_ms: int = 5_000
    rows: dict[RowKey, StoredRow] = field(default_factory=dict)
    history: list[WireRow] = field(default_factory=list)
    version: int = 0
    kept_from: int = 0
    calls: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def application(self) -> Application:
        """Return the application of the store."""
        app = new_application()
        add_route(app, "POST", "/rows-tx", self.transact)
        add_route(app, "GET", "/rows-get", self.get)
        add_route(app, "GET", "/rows-parts", self.parts)
        add_route(app, "GET", "/rows-feed", self.feed)
        return app

    def put(self, table: str, key: str, value: bytes, part: str = "") -> None:
        """Write a row as the operator or a worker does."""
        text = base64.b64encode(value).decode()
        self._apply((WireRow(table, part, key, value=text),), ())

    def value(self, table: str, key: str, part: str = "") -> bytes | None:
        """Return the value of a row."""
        row = self.rows.get((table, part, key))
        return base64.b64decode(row.value) if row is not None else None

    def drop(self, table: str, key: str, part: str = "") -> None:
        """Remove a row as the platform does."""
        self._apply((), (WireRow(table, part, key),))

    def forget_history(self) -> None:
        """Discard the history of all changes so far."""
        self.kept_from = self.version
        self.history.clear()

    async def transact(self, request: Request) -> Response:
        """Apply all entries or none of them."""
        self.calls += 1
        body = await request.read() or b""
        first = _first(msgspec.json.decode(body, type=WireTransaction))
        self.asked[first.table_name, first.key] += 1
        if (first.table_name, first.part) in self.refused:
            return json_answer(503, {})
        await self._silence(first.table_name, first.part)
        match self.fault:
            case StoreFault.BUSY:
                return json_answer(503, {})
            case StoreFault.SILENT:
                await asyncio.sleep(FOREVER_S)
            case StoreFault.LOST_ANSWERS | StoreFault.LOST_WRITES:
                await asyncio.sleep(to_seconds(self.late_ms))
                self._transact(body)
                await asyncio.sleep(FOREVER_S)
            case StoreFault.NONE | StoreFault.SILENT_FEED:
                return await self._transact_in_turn(body)

    async def get(self, request: Request) -> Response:
        """Return the rows of a part."""
        fault = await self._reading()
        if fault is not None:
            return fault
        table, part = query_value(request, "table_name"), query_value(request, "part")
        if (table, part) in self.refused:
            return json_answer(503, {})
        await self._silence(table, part)
        source = query_value(request, "source")
        limit = int(query_value(request, "limit", str(PAGE_ROWS)))
        names = sorted(
            key[2] for key in self.rows if key[:2] == (table, part) and key[2] >= source
        )
        rows = tuple(self._wire((table, part, name)) for name in names[:limit])
        return json_answer(200, WireRows(rows, len(names) > limit, self.version))

    async def parts(self, request: Request) -> Response:
        """Return the parts of a table."""
        fault = await self._reading()
        if fault is not None:
            return fault
        table = query_value(request, "table_name")
        found = sorted({key[1] for key in self.rows if key[0] == table})
        return json_answer(200, WireParts(tuple(found)))

    async def feed(self, request: Request) -> Response:
        """Return the changes of a table, waiting for the first."""
        fault = await self._reading()
        if fault is not None:
            return fault
        table = query_value(request, "table_name")
        after = int(query_value(request, "after", "0"))
        deadline_s = to_seconds(int(query_value(request, "wait_ms", "0")))
        if deadline_s and self.fault is StoreFault.SILENT_FEED:
            await asyncio.sleep(FOREVER_S)
        loop = asyncio.get_running_loop()
        end_s = loop.time() + deadline_s
        while True:
            if after < self.kept_from:
                return json_answer(410, {})
            first = bisect_right(self.history, after, key=lambda row: row.row_version)
            rows = tuple(row for row in self.history[first:] if row.table_name == table)
            left_s = end_s - loop.time()
            if rows or left_s <= 0:
                return json_answer(200, WireRows(rows, False, self.version))
            self.changed.clear()
            try:
                async with asyncio.timeout(left_s):
                    await self.changed.wait()
            except TimeoutError:
                continue

    async def _reading(self) -> Response | None:
        self.calls += 1
        match self.fault:
            case StoreFault.BUSY:
                return json_answer(503, {})
            case StoreFault.SILENT | StoreFault.LOST_ANSWERS:
                await asyncio.sleep(FOREVER_S)
        await self._answer_time()
        return None

    async def _silence(self, table: str, part: str) -> None:
        if (table, part) in self.silent:
            await asyncio.sleep(to_seconds(self.silent_ms))

    async def _answer_time(self) -> None:
        if self.answer_ms:
            await asyncio.sleep(to_seconds(self.answer_ms))

    async def _transact_in_turn(self, body: bytes) -> Response:
        """Apply a transaction after those of its part that came before."""
        if self.part_ms:
            part = _first(msgspec.json.decode(body, type=WireTransaction)).part
            now_s = asyncio.get_running_loop().time()
            begin_s = max(now_s, self.free_s.get(part, now_s))
            if begin_s - now_s > MOST_WAITING_S:
                self.turned_away += 1
                await self._answer_time()
                return json_answer(429, {})
            self.free_s[part] = begin_s + to_seconds(self.part_ms)
            await asyncio.sleep(self.free_s[part] - now_s)
        answer = self._transact(body)
        await self._answer_time()
        return answer

    def _transact(self, body: bytes) -> Response:
        wire = msgspec.json.decode(body, type=WireTransaction)
        named = [row_key(one) for one in wire.precondition]
        for one in wire.precondition:
            held = self.rows.get(row_key(one))
            if (held.version if held is not None else 0) != one.row_version:
                rows = tuple(self._wire(key) for key in named if key in self.rows)
                return json_answer(412, WireRows(rows, False, self.version))
        self._apply(wire.write, wire.remove)
        return json_answer(200, WireRows((), False, self.version))

    def _apply(
        self, writes: tuple[WireRow, ...], removals: tuple[WireRow, ...]
    ) -> None:
        self.version += 1
        for one in writes:
            self.rows[row_key(one)] = StoredRow(one.value or "", self.version)
            self.history.append(self._wire(row_key(one)))
        for one in removals:
            if self.rows.pop(row_key(one), None) is not None:
                gone = WireRow(*row_key(one), row_version=self.version, deleted=True)
                self.history.append(gone)
        self.changed.set()

    def _wire(self, key: RowKey) -> WireRow:
        row = self.rows[key]
        return WireRow(*key, value=row.value, row_version=row.version)


def _first(wire: WireTransaction) -> WireRow:
    """Return the first row of a transaction."""
    return next(row for row in (*wire.precondition, *wire.write, *wire.remove))


def row_key(wire: WireRow) -> RowKey:
    """Return table, part and key of a row."""
    return wire.table_name, wire.part, wire.key
