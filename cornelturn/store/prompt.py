"""Calls to the store for a caller who waits for the outcome."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any, Protocol

from result import Err, Ok, Result

from cornelturn.clock import to_seconds
from cornelturn.events.background import start_background
from cornelturn.store.health import CallKind
from cornelturn.store.port import RowStore
from cornelturn.store.rows import (
    Committed,
    Put,
    Row,
    TableConflict,
    TableError,
    TableUnavailable,
    version_of,
)

LIMIT_PATIENCES = 3
"""A call, its repetition on a new connection, and the same once more."""

MOST_REPETITIONS = LIMIT_PATIENCES - 1

FAILED_TRIES = 3
"""Calls that may be cut off before the caller is told."""

AWAY = TableUnavailable("the store is away", is_in_doubt=False)
LATE = TableUnavailable("no answer in time")

PromptResult = Result[Any, TableError]


class OtherWay(Protocol):
    """Another way to the store."""

    async def commit(self, put: Put, limit_s: float) -> Result[Committed, TableError]:
        """Write a row if its version is as expected."""

    async def read(
        self, key: str, limit_s: float
    ) -> Result[Row | None, TableUnavailable]:
        """Return a row."""


@dataclass(slots=True)
class PromptStore:
    """Settles a call in a few times the usual answer time, or says that it can't.

    While the store is away nothing is sent to it. The other way is tried while it is
    away, or refuses. A call that is overdue is repeated on a new connection, a
    conditional commit after a look at its row; the first answer counts. What is
    overtaken goes on, so that its answer is still measured.

    Parameters
    ----------
    other_way : OtherWay or None
        How to reach the store while it does not answer this entry.
    running : set of Task
        Calls on their way.
    """

    store: RowStore
    other_way: OtherWay | None = None
    running: set[asyncio.Task[Any]] = field(default_factory=set)

    async def commit(
        self, put: Put, limit_ms: int | None = None
    ) -> Result[Committed, TableError]:
        """Write a row if its version is as expected.

        A conflict may be with this very write.

        Parameters
        ----------
        limit_ms : int or None
            Time that the caller has, None for any.
        """
        end_s = self._end_s(CallKind.WRITE, limit_ms)
        result = await self._settle(
            CallKind.WRITE,
            lambda: self.store.commit(put),
            lambda: self._look_and_commit(put),
            end_s,
        )
        if not self._is_other_way_due(result):
            return result
        return _joined(result, await self.other_way.commit(put, _left_s(end_s)))

    async def read(
        self, key: str, limit_ms: int | None = None
    ) -> Result[Row | None, TableUnavailable]:
        """Return a row."""
        end_s = self._end_s(CallKind.READ, limit_ms)
        result = await self._settle(
            CallKind.READ,
            lambda: self.store.read(key),
            lambda: self.store.read(key),
            end_s,
        )
        if not self._is_other_way_due(result):
            return result
        return await self.other_way.read(key, _left_s(end_s))

    def _end_s(self, kind: CallKind, limit_ms: int | None) -> float:
        """Return when the caller is to be told, on the clock of the loop."""
        most_ms = LIMIT_PATIENCES * self.store.patience_ms(kind)
        wait_ms = most_ms if limit_ms is None else min(most_ms, limit_ms)
        return asyncio.get_running_loop().time() + to_seconds(wait_ms)

    def _is_other_way_due(self, result: PromptResult) -> bool:
        if self.other_way is None or self.store.is_serving():
            return False
        return isinstance(result, Err) and isinstance(
            result.err_value, TableUnavailable
        )

    async def _look_and_commit(self, put: Put) -> Result[Committed, TableError]:
        match await self.store.read(put.key):
            case Ok(row) if version_of(row) == put.expected:
                return await self.store.commit(put)
            case Ok(row):
                return Err(TableConflict((put.key,), (row,) if row is not None else ()))
            case Err(error):
                return Err(error)

    async def _settle(
        self,
        kind: CallKind,
        first: Callable[[], Coroutine[Any, Any, PromptResult]],
        again: Callable[[], Coroutine[Any, Any, PromptResult]],
        end_s: float,
    ) -> PromptResult:
        if self.store.is_away():
            return Err(AWAY)
        loop = asyncio.get_running_loop()
        patience_s = to_seconds(self.store.patience_ms(kind))
        waiting = {start_background(self.running, first())}
        repetitions = 0
        failed: list[TableUnavailable] = []
        while True:
            left_s = end_s - loop.time()
            done, waiting = await asyncio.wait(
                waiting,
                timeout=min(patience_s, left_s),
                return_when=asyncio.FIRST_COMPLETED,
            )
            for result in (task.result() for task in done):
                match result:
                    case Err(TableUnavailable() as error):
                        failed.append(error)
                    case _:
                        return result
            if not waiting and (error := _final(failed)) is not None:
                return Err(error)
            # A timer may fire a little early.
            is_over = loop.time() >= end_s or (not done and left_s <= patience_s)
            if is_over or self.store.is_away():
                return Err(LATE)
            is_repeated = not done and repetitions < MOST_REPETITIONS
            if is_repeated or not waiting:
                repetitions += 1
                waiting.add(start_background(self.running, again()))


def _left_s(end_s: float) -> float:
    return end_s - asyncio.get_running_loop().time()


def _joined(own: PromptResult, other: PromptResult) -> PromptResult:
    """Return the outcome of a write that was tried in two ways."""
    match other:
        case Err(TableUnavailable()) if own.err_value.is_in_doubt:
            return own
        case _:
            return other


def _final(failed: list[TableUnavailable]) -> TableUnavailable | None:
    """Return what to tell of calls that have all failed, None to try again."""
    doubts = [one for one in failed if one.is_in_doubt]
    if not doubts:
        return failed[-1]
    return doubts[-1] if len(failed) >= FAILED_TRIES else None
