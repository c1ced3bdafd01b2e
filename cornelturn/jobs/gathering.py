"""Group commit: rows of several callers are written in one transaction of a part.

The store handles the transactions of a part one after another, and refuses those that
would wait for long. A row that has to wait for its part goes into the next transaction,
together with all other waiting rows.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Any

from result import Err, Ok, Result

from cornelturn.clock import MILLISECONDS_PER_SECOND, to_seconds
from cornelturn.events.background import start_background
from cornelturn.events.log import log_warning
from cornelturn.jobs.rows import MAX_TRANSACTION_ROWS, part_of
from cornelturn.store.health import CallKind
from cornelturn.store.limits import DEFAULT_LIMITS, CallSize, StoreLimits
from cornelturn.store.retrying import TIMED_OUT, RetryingStore
from cornelturn.store.rows import (
    CallTooLarge,
    Committed,
    Put,
    TableConflict,
    TableError,
    TableUnavailable,
    version_of,
)

MAX_IN_FLIGHT = 2
"""Maximum transactions in flight for each part: the store can execute one while the
answer to another is on its way."""

SPACING_TIMEOUT_SHARE = 0.25
"""Minimum time between the starts of two transactions of a part, if one is in
flight, as a share of the response timeout of a write."""

MAX_TRIES = 3
"""Refused transactions of one row after which its caller gets the error."""

RETRY_MS = 100
"""Pause after a refused transaction."""

NOT_SENT = TableUnavailable("the part is busy", is_in_doubt=False)


@dataclass(slots=True, eq=False)
class PendingWrite:
    """A row to write, and the future on which its caller waits.

    Parameters
    ----------
    deadline_s : float
        When the caller must have a result, on the clock of the event loop.
    is_sent : bool
        Whether a transaction with the row may have reached the store.
    tries : int
        Refused transactions with the row.
    is_alone : bool
        Whether it must not share a transaction, as one with others was too large.
    """

    put: Put
    deadline_s: float
    outcome: asyncio.Future[Result[Committed, TableError]]
    is_sent: bool = False
    tries: int = 0
    is_alone: bool = False

    def settle(self, result: Result[Committed, TableError]) -> None:
        """Pass the result to the caller unless it no longer waits."""
        if not self.outcome.done():
            self.outcome.set_result(result)


@dataclass(slots=True)
class PartState:
    """State of the transactions of a part.

    Parameters
    ----------
    pending : list of PendingWrite
        Writes that are in no transaction yet.
    in_flight : int
        Number of transactions without an answer.
    next_start_s : float
        When the next transaction may start while others are in flight, on the clock
        of the event loop.
    timer : TimerHandle or None
        Starts the next transaction at that time.
    """

    pending: list[PendingWrite] = field(default_factory=list)
    in_flight: int = 0
    next_start_s: float = 0.0
    timer: asyncio.TimerHandle | None = None


@dataclass(slots=True)
class PartWriter:
    """Writes the rows of each part in batches, a few transactions at a time.

    Parameters
    ----------
    parts : dict
        State of each part that has writes.
    batch_tasks : set of Task
        Transactions in flight, of all parts.
    """

    store: RetryingStore
    limits: StoreLimits = DEFAULT_LIMITS
    parts: dict[str, PartState] = field(default_factory=dict)
    batch_tasks: set[asyncio.Task[Any]] = field(default_factory=set)

    async def commit(self, put: Put, limit_s: float) -> Result[Committed, TableError]:
        """Write a row if its version is as expected.

        A conflict may be with an earlier attempt at this same write.

        Parameters
        ----------
        limit_s : float
            Time that the caller has.
        """
        loop = asyncio.get_running_loop()
        part = part_of(put.key)
        write = PendingWrite(put, loop.time() + limit_s, loop.create_future())
        self.parts.setdefault(part, PartState()).pending.append(write)
        self._start_next(part)
        await asyncio.wait((write.outcome,), timeout=limit_s)
        if write.outcome.done():
            return write.outcome.result()
        # Once its outcome is set, the row goes into no further transaction.
        write.settle(Err(TIMED_OUT if write.is_sent else NOT_SENT))
        return write.outcome.result()

    def _start_next(self, part: str) -> None:
        """Start the next transaction of a part, at once or as soon as it may start."""
        state = self.parts[part]
        loop = asyncio.get_running_loop()
        if state.timer is not None or state.in_flight == MAX_IN_FLIGHT:
            return
        if state.in_flight and loop.time() < state.next_start_s:
            state.timer = loop.call_at(state.next_start_s, self._timer_fired, part)
        elif batch := _take_batch(state, self.limits):
            spacing_ms = SPACING_TIMEOUT_SHARE * self.store.response_timeout_ms(
                CallKind.WRITE
            )
            state.next_start_s = loop.time() + to_seconds(spacing_ms)
            state.in_flight += 1
            start_background(self.batch_tasks, self._run_batch(part, batch))
        elif not state.in_flight:
            del self.parts[part]

    def _timer_fired(self, part: str) -> None:
        state = self.parts[part]
        state.timer = None
        # The event loop may fire the timer slightly early.
        state.next_start_s = asyncio.get_running_loop().time()
        self._start_next(part)

    async def _run_batch(self, part: str, batch: list[PendingWrite]) -> None:
        try:
            await self._write_batch(part, batch)
        finally:
            self.parts[part].in_flight -= 1
            self._start_next(part)

    async def _write_batch(self, part: str, batch: list[PendingWrite]) -> None:
        for write in batch:
            write.is_sent = True
        now_s = asyncio.get_running_loop().time()
        limit_ms = _to_milliseconds(max(write.deadline_s for write in batch) - now_s)
        puts = tuple(write.put for write in batch)
        match await self.store.commit_all(puts, limit_ms):
            case Ok(committed):
                for write in batch:
                    write.settle(Ok(committed))
            case Err(TableConflict() as conflict):
                self._settle_conflict(part, batch, conflict)
            case Err(CallTooLarge() as error):
                self._separate_writes(part, batch, error)
            case Err(error) if error.is_in_doubt:
                await asyncio.gather(*(self._settle_in_doubt(write) for write in batch))
            case Err(error):
                await self._retry_refused(part, batch, error)

    def _settle_conflict(
        self, part: str, batch: list[PendingWrite], conflict: TableConflict
    ) -> None:
        """Settle the conflicting writes; the others go first in the next batch."""
        rows = {row.key: row for row in conflict.rows}
        others = [write for write in batch if write.put.key not in conflict.keys]
        if len(others) == len(batch):
            others = []
        self.parts[part].pending[:0] = others
        for write in batch:
            if write not in others:
                row = rows.get(write.put.key)
                found = (row,) if row is not None else ()
                write.settle(Err(TableConflict((write.put.key,), found)))

    async def _settle_in_doubt(self, write: PendingWrite) -> None:
        """Settle a write that may have been committed, by reading its row."""
        remaining_s = write.deadline_s - asyncio.get_running_loop().time()
        if remaining_s <= 0:
            return write.settle(Err(TIMED_OUT))
        match await self.store.read(write.put.key, _to_milliseconds(remaining_s)):
            case Ok(row) if row is not None and version_of(row) != write.put.expected:
                write.settle(Err(TableConflict((write.put.key,), (row,))))
            case _:
                write.settle(Err(TIMED_OUT))

    def _separate_writes(
        self, part: str, batch: list[PendingWrite], error: CallTooLarge
    ) -> None:
        """Retry the rows of a transaction that was too large, each in one of its own.

        A row that was in one of its own is refused.
        """
        log_warning("call_too_large", part=part, rows=len(batch), detail=error.detail)
        if len(batch) == 1:
            return batch[0].settle(Err(error))
        for write in batch:
            write.is_alone, write.is_sent = True, False
        self.parts[part].pending[:0] = batch

    async def _retry_refused(
        self, part: str, batch: list[PendingWrite], error: TableUnavailable
    ) -> None:
        """Retry refused writes while the store serves and they have tries and time."""
        pause_s = to_seconds(RETRY_MS)
        retry_s = asyncio.get_running_loop().time() + pause_s
        may_retry = self.store.is_serving()
        retried: list[PendingWrite] = []
        for write in batch:
            write.tries += 1
            if may_retry and write.tries < MAX_TRIES and write.deadline_s > retry_s:
                write.is_sent = False
                retried.append(write)
            else:
                write.settle(Err(error))
        self.parts[part].pending[:0] = retried
        if retried:
            await asyncio.sleep(pause_s)


def _take_batch(state: PartState, limits: StoreLimits) -> list[PendingWrite]:
    """Remove and return the next writes, each key once; the rest stays pending."""
    batch: dict[str, PendingWrite] = {}
    remaining: list[PendingWrite] = []
    call_size = CallSize(limits)
    is_full = False
    for write in state.pending:
        if write.outcome.done():
            continue
        if write.put.key in batch or (batch and write.is_alone):
            remaining.append(write)
            continue
        is_full = is_full or not call_size.add(write.put)
        if is_full:
            remaining.append(write)
            continue
        batch[write.put.key] = write
        is_full = write.is_alone or len(batch) == MAX_TRANSACTION_ROWS
    state.pending = remaining
    return list(batch.values())


def _to_milliseconds(duration_s: float) -> int:
    return round(duration_s * MILLISECONDS_PER_SECOND)
