"""Calls to the store for a caller who waits for the outcome."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any, Protocol

from result import Err, Ok, Result

from cornelturn.clock import to_seconds
from cornelturn.events.background import start_background
from cornelturn.store.health import LEAST_PATIENCE_MS, MOST_PATIENCE_MS, CallKind
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

Commit = Callable[[Put], Coroutine[Any, Any, Result[Committed, TableError]]]


class OtherWay(Protocol):
    """Another way to the store."""

    async def commit(self, put: Put, limit_s: float) -> Result[Committed, TableError]:
        """Write a row if its version is as expected."""

    async def read(
        self, key: str, limit_s: float
    ) -> Result[Row | None, TableUnavailable]:
        """Return a row."""

    async def gather(
        self, entry: str, put: Put, limit_s: float
    ) -> Result[Committed, TableError]:
        """Have an entry write a row together with others of its part."""


@dataclass(slots=True)
class PromptStore:
    """Settles a call, or says that it can't.

    While the store is away nothing is sent to it. One that is slow is waited for as
    long as the caller has time; a write on its way to one that then seems away, for the
    longest patience. The other way is tried while the store is away, or refuses. A call
    that is overdue is repeated on a new connection, a conditional commit after a look
    at its row; the first answer counts. What is overtaken goes on, so that its answer
    is still measured.

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
        self, put: Put, limit_ms: int | None = None, repeat: Commit | None = None
    ) -> Result[Committed, TableError]:
        """Write a row if its version is as expected.

        A conflict may be with this very write.

        Parameters
        ----------
        limit_ms : int or None
            Time that the caller has, None for any.
        repeat : callable or None
            How to write a row again that a look has not found, None for as before.
        """
        end_s = self._end_s(CallKind.WRITE, limit_ms)
        result = await self._settle(
            CallKind.WRITE,
            lambda: self.store.commit(put),
            lambda is_alone: self._look_and_commit((put,), repeat, is_alone),
            end_s,
        )
        if not self._is_other_way_due(result):
            return result
        return _joined(result, await self.other_way.commit(put, _left_s(end_s)))

    async def commit_all(
        self, puts: tuple[Put, ...], limit_ms: int
    ) -> Result[Committed, TableError]:
        """Write rows of one part, or none of them, as `commit` writes one.

        The other way is not tried.
        """
        return await self._settle(
            CallKind.WRITE,
            lambda: self.store.commit(*puts),
            lambda is_alone: self._look_and_commit(puts, None, is_alone),
            self._end_s(CallKind.WRITE, limit_ms),
        )

    def is_serving(self) -> bool:
        """Return whether the store carries out calls of this entry."""
        return self.store.is_serving()

    def patience_ms(self, kind: CallKind) -> int:
        """Return the time after which the answer to a call is overdue."""
        return self.store.patience_ms(kind)

    def is_strained(self) -> bool:
        """Return whether writes take long, or a call is overdue or refused."""
        patience_ms = self.patience_ms(CallKind.WRITE)
        return patience_ms > LEAST_PATIENCE_MS or self.store.is_probe_wanted()

    async def read(
        self, key: str, limit_ms: int | None = None
    ) -> Result[Row | None, TableUnavailable]:
        """Return a row."""
        end_s = self._end_s(CallKind.READ, limit_ms)
        result = await self._settle(
            CallKind.READ,
            lambda: self.store.read(key),
            lambda _: self.store.read(key),
            end_s,
        )
        if not self._is_other_way_due(result):
            return result
        return await self.other_way.read(key, _left_s(end_s))

    def _end_s(self, kind: CallKind, limit_ms: int | None) -> float:
        """Return when the caller is to be told, on the clock of the loop."""
        most_ms = LIMIT_PATIENCES * self.store.patience_ms(kind)
        wait_ms = most_ms if limit_ms is None else limit_ms
        return asyncio.get_running_loop().time() + to_seconds(wait_ms)

    def _is_other_way_due(self, result: PromptResult) -> bool:
        if self.other_way is None or self.store.is_serving():
            return False
        return isinstance(result, Err) and isinstance(
            result.err_value, TableUnavailable
        )

    async def _look_and_commit(
        self, puts: tuple[Put, ...], repeat: Commit | None, is_alone: bool
    ) -> Result[Committed, TableError] | None:
        """Write rows again unless the first of them is no longer as expected.

        If this look takes long too, the write before is slow and not lost. Another
        one would only keep its part busy.

        Parameters
        ----------
        is_alone : bool
            Whether no write before is on its way.

        Returns
        -------
        Ok, Err or None
            None if the write before is to be waited for.
        """
        first = puts[0]
        loop = asyncio.get_running_loop()
        slow_s = loop.time() + to_seconds(LEAST_PATIENCE_MS)
        match await self.store.read(first.key):
            case Ok(row) if version_of(row) == first.expected:
                if not is_alone and loop.time() > slow_s:
                    return None
                if repeat is not None:
                    return await repeat(first)
                return await self.store.commit(*puts)
            case Ok(row):
                return await self._conflict(first, row, puts[1:])
            case Err(error):
                return Err(error)

    async def _conflict(
        self, first: Put, row: Row | None, others: tuple[Put, ...]
    ) -> Result[Committed, TableError]:
        """Return which rows are no longer as expected, now that one of them is not."""
        found = await asyncio.gather(*(self.store.read(one.key) for one in others))
        keys, rows = [first.key], [row]
        for put, result in zip(others, found, strict=True):
            match result:
                case Ok(other) if version_of(other) != put.expected:
                    keys.append(put.key)
                    rows.append(other)
                case Err(error):
                    return Err(error)
        present = tuple(one for one in rows if one is not None)
        return Err(TableConflict(tuple(keys), present))

    async def _settle(
        self,
        kind: CallKind,
        first: Callable[[], Coroutine[Any, Any, PromptResult]],
        again: Callable[[bool], Coroutine[Any, Any, PromptResult | None]],
        end_s: float,
    ) -> PromptResult:
        if self.store.is_away():
            return Err(AWAY)
        loop = asyncio.get_running_loop()
        patience_s = to_seconds(self.store.patience_ms(kind))
        waiting = {start_background(self.running, first())}
        silent_end_s = loop.time() + to_seconds(MOST_PATIENCE_MS)
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
                    case None:
                        continue
                    case Err(TableUnavailable() as error):
                        failed.append(error)
                    case _:
                        return result
            if not waiting and (error := _final(failed)) is not None:
                return Err(error)
            # A timer may fire a little early.
            if loop.time() >= end_s or (not done and left_s <= patience_s):
                return Err(LATE)
            if is_away := self.store.is_away():
                if kind is CallKind.READ or not waiting:
                    return Err(LATE)
                end_s = min(end_s, silent_end_s)
            is_repeated = not (done or is_away) and repetitions < MOST_REPETITIONS
            if is_repeated or not waiting:
                repetitions += 1
                waiting.add(start_background(self.running, again(not waiting)))


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
    if failed and not doubts:
        return failed[-1]
    return doubts[-1] if len(failed) >= FAILED_TRIES else None
