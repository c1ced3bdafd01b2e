"""Store calls with a deadline, retries and a fallback, for a caller that waits."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any, Protocol

from result import Err, Ok, Result

from cornelturn.clock import to_seconds
from cornelturn.events.background import start_background
from cornelturn.store.health import (
    MAX_RESPONSE_TIMEOUT_MS,
    MIN_RESPONSE_TIMEOUT_MS,
    CallKind,
)
from cornelturn.store.port import RowStore
from cornelturn.store.rows import (
    CallTooLarge,
    Committed,
    Put,
    Row,
    TableConflict,
    TableError,
    TableUnavailable,
    version_of,
)

DEFAULT_LIMIT_TIMEOUTS = 3
"""Default time limit in response timeouts: one for the call and each of two retries."""

MAX_RETRIES = DEFAULT_LIMIT_TIMEOUTS - 1

MAX_FAILED_CALLS = 3
"""Failed calls, some of them in doubt, after which the caller gets the error."""

STORE_UNREACHABLE = TableUnavailable("the store is unreachable", is_in_doubt=False)
TIMED_OUT = TableUnavailable("no response in time")

StoreResult = Result[Any, TableError]

CommitFunction = Callable[[Put], Coroutine[Any, Any, Result[Committed, TableError]]]


class FallbackStore(Protocol):
    """Another route to the store, for while it does not serve this entry."""

    async def commit(self, put: Put, limit_s: float) -> Result[Committed, TableError]:
        """Write a row if its version is as expected."""

    async def read(
        self, key: str, limit_s: float
    ) -> Result[Row | None, TableUnavailable]:
        """Return a row."""

    async def gather(
        self, entry: str, put: Put, limit_s: float
    ) -> Result[Committed, TableError]:
        """Have another entry write a row, in one commit with others of its part."""


@dataclass(slots=True)
class RetryingStore:
    """Returns the result of a call, or an error if there is none by a deadline.

    Nothing is sent to an unreachable store. A slow store is awaited until the deadline
    of the caller; if it becomes unreachable while a write is in flight, the wait ends
    after the maximum response timeout. The fallback is used while the store is
    unreachable or refuses calls. An overdue call is retried on a new connection, a
    conditional commit only after reading its row; the first result counts. Calls that
    are still in flight then go on, so that their response times are still measured.

    Parameters
    ----------
    fallback : FallbackStore or None
        Route to the store while it does not serve this entry.
    running : set of Task
        Calls in flight.
    """

    store: RowStore
    fallback: FallbackStore | None = None
    running: set[asyncio.Task[Any]] = field(default_factory=set)

    async def commit(
        self,
        put: Put,
        limit_ms: int | None = None,
        retry_commit: CommitFunction | None = None,
    ) -> Result[Committed, TableError]:
        """Write a row if its version is as expected.

        A conflict may be with an earlier attempt of this same write.

        Parameters
        ----------
        limit_ms : int or None
            Time limit of the caller, None for the default one.
        retry_commit : callable or None
            Writes the row again if a read shows that the first commit has not changed
            it, None to commit in the same way again.
        """
        deadline_s = self._deadline_s(CallKind.WRITE, limit_ms)
        result = await self._call_with_retries(
            CallKind.WRITE,
            lambda: self.store.commit(put),
            lambda is_only_write: self._check_and_commit(
                (put,), retry_commit, is_only_write
            ),
            deadline_s,
        )
        if not self._is_fallback_due(result):
            return result
        return _combined(
            result, await self.fallback.commit(put, _remaining_s(deadline_s))
        )

    async def commit_all(
        self, puts: tuple[Put, ...], limit_ms: int
    ) -> Result[Committed, TableError]:
        """Write all rows, which must be in one part, or none, as `commit` writes one.

        The fallback is not used.
        """
        return await self._call_with_retries(
            CallKind.WRITE,
            lambda: self.store.commit(*puts),
            lambda is_only_write: self._check_and_commit(puts, None, is_only_write),
            self._deadline_s(CallKind.WRITE, limit_ms),
        )

    def is_serving(self) -> bool:
        """Return whether the store executes calls of this entry."""
        return self.store.is_serving()

    def response_timeout_ms(self, kind: CallKind) -> int:
        """Return the time after which the response to a call is overdue."""
        return self.store.response_timeout_ms(kind)

    def is_degraded(self) -> bool:
        """Return whether writes are slow, or calls are overdue or refused."""
        response_timeout_ms = self.response_timeout_ms(CallKind.WRITE)
        return (
            response_timeout_ms > MIN_RESPONSE_TIMEOUT_MS
            or self.store.is_probe_needed()
        )

    async def read(
        self, key: str, limit_ms: int | None = None
    ) -> Result[Row | None, TableUnavailable]:
        """Return a row."""
        deadline_s = self._deadline_s(CallKind.READ, limit_ms)
        result = await self._call_with_retries(
            CallKind.READ,
            lambda: self.store.read(key),
            lambda _: self.store.read(key),
            deadline_s,
        )
        if not self._is_fallback_due(result):
            return result
        return await self.fallback.read(key, _remaining_s(deadline_s))

    def _deadline_s(self, kind: CallKind, limit_ms: int | None) -> float:
        """Return the deadline of a call, on the clock of the event loop."""
        default_ms = DEFAULT_LIMIT_TIMEOUTS * self.store.response_timeout_ms(kind)
        time_limit_ms = default_ms if limit_ms is None else limit_ms
        return asyncio.get_running_loop().time() + to_seconds(time_limit_ms)

    def _is_fallback_due(self, result: StoreResult) -> bool:
        if self.fallback is None or self.store.is_serving():
            return False
        match result:
            case Err(CallTooLarge()):
                return False
            case Err(TableUnavailable()):
                return True
            case _:
                return False

    async def _check_and_commit(
        self,
        puts: tuple[Put, ...],
        retry_commit: CommitFunction | None,
        is_only_write: bool,
    ) -> Result[Committed, TableError] | None:
        """Write rows again unless the first of them is no longer as expected.

        If reading it is slow too, the previous write is slow rather than lost, and
        another one would only add load to its part.

        Parameters
        ----------
        is_only_write : bool
            Whether no previous write is in flight.

        Returns
        -------
        Ok, Err or None
            None to wait for the previous write instead.
        """
        first = puts[0]
        loop = asyncio.get_running_loop()
        slow_after_s = loop.time() + to_seconds(MIN_RESPONSE_TIMEOUT_MS)
        match await self.store.read(first.key):
            case Ok(row) if version_of(row) == first.expected:
                if not is_only_write and loop.time() > slow_after_s:
                    return None
                if retry_commit is not None:
                    return await retry_commit(first)
                return await self.store.commit(*puts)
            case Ok(row):
                return await self._find_conflicts(first, row, puts[1:])
            case Err(error):
                return Err(error)

    async def _find_conflicts(
        self, first: Put, row: Row | None, others: tuple[Put, ...]
    ) -> Result[Committed, TableError]:
        """Return the conflict of a commit whose first row is no longer as expected."""
        results = await asyncio.gather(*(self.store.read(put.key) for put in others))
        keys, rows = [first.key], [row]
        for put, result in zip(others, results, strict=True):
            match result:
                case Ok(other) if version_of(other) != put.expected:
                    keys.append(put.key)
                    rows.append(other)
                case Err(error):
                    return Err(error)
        present = tuple(row for row in rows if row is not None)
        return Err(TableConflict(tuple(keys), present))

    async def _call_with_retries(
        self,
        kind: CallKind,
        first: Callable[[], Coroutine[Any, Any, StoreResult]],
        retry: Callable[[bool], Coroutine[Any, Any, StoreResult | None]],
        deadline_s: float,
    ) -> StoreResult:
        if self.store.is_unreachable():
            return Err(STORE_UNREACHABLE)
        loop = asyncio.get_running_loop()
        response_timeout_s = to_seconds(self.store.response_timeout_ms(kind))
        pending = {start_background(self.running, first())}
        unreachable_deadline_s = loop.time() + to_seconds(MAX_RESPONSE_TIMEOUT_MS)
        retries = 0
        errors: list[TableUnavailable] = []
        while True:
            remaining_s = deadline_s - loop.time()
            done, pending = await asyncio.wait(
                pending,
                timeout=min(response_timeout_s, remaining_s),
                return_when=asyncio.FIRST_COMPLETED,
            )
            for result in (task.result() for task in done):
                match result:
                    case None:
                        continue
                    case Err(CallTooLarge()):
                        # The store refuses every attempt for the same reason.
                        return result
                    case Err(TableUnavailable() as error):
                        errors.append(error)
                    case _:
                        return result
            if not pending and (error := _final_error(errors)) is not None:
                return Err(error)
            # A timer may fire slightly before its time.
            if loop.time() >= deadline_s or (
                not done and remaining_s <= response_timeout_s
            ):
                return Err(TIMED_OUT)
            if is_unreachable := self.store.is_unreachable():
                if kind is CallKind.READ or not pending:
                    return Err(TIMED_OUT)
                deadline_s = min(deadline_s, unreachable_deadline_s)
            is_retry_due = not (done or is_unreachable) and retries < MAX_RETRIES
            if is_retry_due or not pending:
                retries += 1
                pending.add(start_background(self.running, retry(not pending)))


def _remaining_s(deadline_s: float) -> float:
    return deadline_s - asyncio.get_running_loop().time()


def _combined(own: StoreResult, other: StoreResult) -> StoreResult:
    """Return the result of a write that was tried directly and by the fallback."""
    match other:
        case Err(TableUnavailable()) if own.err_value.is_in_doubt:
            return own
        case _:
            return other


def _final_error(errors: list[TableUnavailable]) -> TableUnavailable | None:
    """Return the error to report when all calls failed, None to try again."""
    in_doubt = [error for error in errors if error.is_in_doubt]
    if errors and not in_doubt:
        return errors[-1]
    return in_doubt[-1] if len(errors) >= MAX_FAILED_CALLS else None
