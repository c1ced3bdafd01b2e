"""Rows that several callers write, gathered into one transaction a part at a time.

The store handles the transactions of a part one after another, and turns away what
would wait for long. A row that has to wait for its part goes into the next
transaction with all others that wait.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Any

from result import Err, Ok, Result

from cornelturn.clock import MILLISECONDS_PER_SECOND, to_seconds
from cornelturn.events.background import start_background
from cornelturn.jobs.rows import MAX_ROWS, part_of
from cornelturn.store.health import CallKind
from cornelturn.store.prompt import LATE, PromptStore
from cornelturn.store.rows import (
    Committed,
    Put,
    TableConflict,
    TableError,
    TableUnavailable,
    version_of,
)

MAX_TEXT_BYTES = 512 * 1024
"""Text of all rows in one transaction, which grows by a third on the wire."""

MOST_ON_THEIR_WAY = 2
"""Transactions of a part: it can take one while the answer to another travels."""

SPACING_PATIENCES = 0.25
"""Time between the starts of two transactions of a part, if one is on its way."""

MOST_TRIES = 3
"""Transactions of one row that may be turned away before its caller is told."""

RETRY_MS = 100
"""Pause after a transaction that was turned away."""

NOT_SENT = TableUnavailable("the part is busy", is_in_doubt=False)


@dataclass(slots=True, eq=False)
class WaitingPut:
    """A row to write, and the caller who waits for the outcome.

    Parameters
    ----------
    end_s : float
        When the caller has to be told, on the clock of the loop.
    is_sent : bool
        Whether a transaction with it may have reached the store.
    tries : int
        Transactions with it that were turned away.
    """

    put: Put
    end_s: float
    outcome: asyncio.Future[Result[Committed, TableError]]
    is_sent: bool = False
    tries: int = 0

    def settle(self, result: Result[Committed, TableError]) -> None:
        """Tell the caller, who may have left."""
        if not self.outcome.done():
            self.outcome.set_result(result)


@dataclass(slots=True)
class PartState:
    """Transactions of a part.

    Parameters
    ----------
    waiting : list of WaitingPut
        Rows that are in no transaction yet.
    on_their_way : int
        Transactions without an answer.
    next_s : float
        When the next one may start beside these, on the clock of the loop.
    timer : TimerHandle or None
        Starts it then.
    """

    waiting: list[WaitingPut] = field(default_factory=list)
    on_their_way: int = 0
    next_s: float = 0.0
    timer: asyncio.TimerHandle | None = None


@dataclass(slots=True)
class PartWriter:
    """Writes the rows of each part together, a few transactions at a time."""

    store: PromptStore
    parts: dict[str, PartState] = field(default_factory=dict)
    running: set[asyncio.Task[Any]] = field(default_factory=set)

    async def commit(self, put: Put, limit_s: float) -> Result[Committed, TableError]:
        """Write a row if its version is as expected.

        A conflict may be with this very write.
        """
        loop = asyncio.get_running_loop()
        part = part_of(put.key)
        waiting = WaitingPut(put, loop.time() + limit_s, loop.create_future())
        self.parts.setdefault(part, PartState()).waiting.append(waiting)
        self._start(part)
        await asyncio.wait((waiting.outcome,), timeout=limit_s)
        if waiting.outcome.done():
            return waiting.outcome.result()
        # From here on no transaction takes it up any more.
        waiting.settle(Err(LATE if waiting.is_sent else NOT_SENT))
        return waiting.outcome.result()

    def _start(self, part: str) -> None:
        """Start the next transaction of a part, now or when it may start."""
        state = self.parts[part]
        loop = asyncio.get_running_loop()
        if state.timer is not None or state.on_their_way == MOST_ON_THEIR_WAY:
            return
        if state.on_their_way and loop.time() < state.next_s:
            state.timer = loop.call_at(state.next_s, self._timer_fired, part)
        elif batch := _take(state):
            spacing_ms = SPACING_PATIENCES * self.store.patience_ms(CallKind.WRITE)
            state.next_s = loop.time() + to_seconds(spacing_ms)
            state.on_their_way += 1
            start_background(self.running, self._write_batch(part, batch))
        elif not state.on_their_way:
            del self.parts[part]

    def _timer_fired(self, part: str) -> None:
        state = self.parts[part]
        state.timer = None
        # It may fire a little early.
        state.next_s = asyncio.get_running_loop().time()
        self._start(part)

    async def _write_batch(self, part: str, batch: list[WaitingPut]) -> None:
        try:
            await self._write(part, batch)
        finally:
            self.parts[part].on_their_way -= 1
            self._start(part)

    async def _write(self, part: str, batch: list[WaitingPut]) -> None:
        for one in batch:
            one.is_sent = True
        now_s = asyncio.get_running_loop().time()
        limit_ms = _milliseconds(max(one.end_s for one in batch) - now_s)
        puts = tuple(one.put for one in batch)
        match await self.store.commit_all(puts, limit_ms):
            case Ok(committed):
                for one in batch:
                    one.settle(Ok(committed))
            case Err(TableConflict() as conflict):
                self._settle_conflict(part, batch, conflict)
            case Err(error) if error.is_in_doubt:
                await asyncio.gather(*(self._settle_doubt(one) for one in batch))
            case Err(error):
                await self._refused(part, batch, error)

    def _settle_conflict(
        self, part: str, batch: list[WaitingPut], conflict: TableConflict
    ) -> None:
        """Tell whose row stands in the way; the others go first the next time."""
        rows = {row.key: row for row in conflict.rows}
        others = [one for one in batch if one.put.key not in conflict.keys]
        if len(others) == len(batch):
            others = []
        self.parts[part].waiting[:0] = others
        for one in batch:
            if one not in others:
                row = rows.get(one.put.key)
                found = (row,) if row is not None else ()
                one.settle(Err(TableConflict((one.put.key,), found)))

    async def _settle_doubt(self, one: WaitingPut) -> None:
        """Read the row of a write that may have been done."""
        left_s = one.end_s - asyncio.get_running_loop().time()
        if left_s <= 0:
            return one.settle(Err(LATE))
        match await self.store.read(one.put.key, _milliseconds(left_s)):
            case Ok(row) if row is not None and version_of(row) != one.put.expected:
                one.settle(Err(TableConflict((one.put.key,), (row,))))
            case _:
                one.settle(Err(LATE))

    async def _refused(
        self, part: str, batch: list[WaitingPut], error: TableUnavailable
    ) -> None:
        """Try again while that has a chance and the callers have time."""
        pause_s = to_seconds(RETRY_MS)
        retry_s = asyncio.get_running_loop().time() + pause_s
        may_retry = self.store.is_serving()
        again: list[WaitingPut] = []
        for one in batch:
            one.tries += 1
            if may_retry and one.tries < MOST_TRIES and one.end_s > retry_s:
                one.is_sent = False
                again.append(one)
            else:
                one.settle(Err(error))
        self.parts[part].waiting[:0] = again
        if again:
            await asyncio.sleep(pause_s)


def _take(state: PartState) -> list[WaitingPut]:
    """Return the next rows to write, each key once, and keep the rest."""
    batch: dict[str, WaitingPut] = {}
    left: list[WaitingPut] = []
    size = 0
    for one in state.waiting:
        if one.outcome.done():
            continue
        size += len(one.put.value.encode())
        is_full = len(batch) == MAX_ROWS or (batch and size > MAX_TEXT_BYTES)
        if is_full or one.put.key in batch:
            left.append(one)
        else:
            batch[one.put.key] = one
    state.waiting = left
    return list(batch.values())


def _milliseconds(duration_s: float) -> int:
    return round(duration_s * MILLISECONDS_PER_SECOND)
