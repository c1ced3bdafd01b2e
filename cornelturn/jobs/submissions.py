"""Writes of submitted jobs to the store, directly or through the pool owner."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok, Result

from cornelturn.clock import MILLISECONDS_PER_SECOND, to_seconds
from cornelturn.store.health import CallKind
from cornelturn.store.retrying import DEFAULT_LIMIT_TIMEOUTS, TIMED_OUT, RetryingStore
from cornelturn.store.rows import (
    Committed,
    Put,
    TableConflict,
    TableError,
    TableUnavailable,
)

OWNER_TIME_SHARE = 0.8
"""Share of a caller's time that the pool owner gets to write its row."""


@dataclass(slots=True)
class SubmissionWriter:
    """Writes a row directly, or through the owner of its pool while the store is slow.

    A part takes few transactions while the store is slow, so the submissions of all
    entries go to one entry, which writes those of a part in batches. An overdue write
    is also repeated there. This entry retries directly what the owner could not write,
    as long as there is time.

    Parameters
    ----------
    pool_owner : callable
        Returns the entry that owns a pool, as far as this entry knows.
    """

    retrying_store: RetryingStore
    pool_owner: Callable[[str], str]

    async def commit(
        self, pool: str, put: Put, limit_ms: int | None
    ) -> Result[Committed, TableError]:
        """Write a row unless it exists.

        Parameters
        ----------
        limit_ms : int or None
            Time that the caller has, None for the default limit of `RetryingStore`.
        """
        if self.retrying_store.fallback is None:
            return await self.retrying_store.commit(put, limit_ms)
        deadline_s = self._deadline_s(limit_ms)
        if not self.retrying_store.is_degraded():
            return await self.retrying_store.commit(
                put,
                limit_ms,
                lambda retried_put: self._write_through_owner(
                    pool, retried_put, deadline_s
                ),
            )
        result = await self._write_through_owner(pool, put, deadline_s)
        match result:
            case Err(TableUnavailable(is_in_doubt=True)):
                return await self._settle_in_doubt(put, deadline_s)
            case Err(TableUnavailable()) if self._has_time_to_write(deadline_s):
                return await self.retrying_store.commit(put, _remaining_ms(deadline_s))
            case _:
                return result

    async def _settle_in_doubt(
        self, put: Put, deadline_s: float
    ) -> Result[Committed, TableError]:
        """Settle a write that the pool owner may have made, or may still make."""
        match await self.retrying_store.read(put.key, _remaining_ms(deadline_s)):
            case Ok(None) if self._has_time_to_write(deadline_s):
                result = await self.retrying_store.commit(
                    put, _remaining_ms(deadline_s)
                )
            case Ok(row) if row is not None:
                result = Err(TableConflict((put.key,), (row,)))
            case _:
                result = Err(TIMED_OUT)
        match result:
            case Err(TableUnavailable()):
                return Err(TIMED_OUT)
            case _:
                return result

    def _has_time_to_write(self, deadline_s: float) -> bool:
        """Return whether this entry could write and get an answer in time."""
        return _remaining_ms(deadline_s) >= self.retrying_store.response_timeout_ms(
            CallKind.WRITE
        )

    async def _write_through_owner(
        self, pool: str, put: Put, deadline_s: float
    ) -> Result[Committed, TableError]:
        limit_s = OWNER_TIME_SHARE * max(_remaining_s(deadline_s), 0.0)
        return await self.retrying_store.fallback.gather(
            self.pool_owner(pool), put, limit_s
        )

    def _deadline_s(self, limit_ms: int | None) -> float:
        """Return when the caller must have a result, on the clock of the event loop."""
        if limit_ms is None:
            response_timeout_ms = self.retrying_store.response_timeout_ms(
                CallKind.WRITE
            )
            limit_ms = DEFAULT_LIMIT_TIMEOUTS * response_timeout_ms
        return asyncio.get_running_loop().time() + to_seconds(limit_ms)


def _remaining_ms(deadline_s: float) -> int:
    return max(round(_remaining_s(deadline_s) * MILLISECONDS_PER_SECOND), 0)


def _remaining_s(deadline_s: float) -> float:
    return deadline_s - asyncio.get_running_loop().time()


def commit_summary(result: Result[Committed, TableError]) -> str:
    """Return a short text for the result of a commit, for the logs."""
    match result:
        case Ok(_):
            return "ok"
        case Err(TableConflict()):
            return "conflict"
        case Err(error):
            return error.detail
