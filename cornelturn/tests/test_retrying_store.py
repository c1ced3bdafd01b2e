"""Results of store calls with retries, a deadline and a fallback through peers."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

import pytest
from result import Err, Ok, Result

from cornelturn.store.health import CallKind
from cornelturn.store.retrying import (
    DEFAULT_LIMIT_TIMEOUTS,
    STORE_UNREACHABLE,
    TIMED_OUT,
    RetryingStore,
)
from cornelturn.store.rows import (
    ABSENT,
    CallTooLarge,
    Committed,
    Put,
    Row,
    TableConflict,
    TableUnavailable,
)
from cornelturn.tests.network import FakeTimeLoop

PUT = Put("jobs/q/1", "text", ABSENT)
COMMITTED = Ok(Committed(7))
TOO_LARGE = Err(CallTooLarge("status 413"))
REFUSED = Err(TableUnavailable("status 503", is_in_doubt=False))
RESET = Err(TableUnavailable("reset", is_in_doubt=True))


@dataclass
class FakeStore:
    """A store, or a fallback route to it, with one result for all writes."""

    result: Result[Committed, TableUnavailable]
    row: Row | None = None
    is_healthy: bool = True
    is_down: bool = False
    writes: list[Put] = field(default_factory=list)

    async def commit(self, put: Put, limit_s: float = 0.0):
        self.writes.append(put)
        return self.result

    async def read(self, key: str, limit_s: float = 0.0):
        return Ok(self.row)

    def is_unreachable(self) -> bool:
        return self.is_down

    def is_serving(self) -> bool:
        return self.is_healthy and not self.is_down

    def response_timeout_ms(self, kind: CallKind) -> int:
        return 200


@pytest.mark.parametrize(
    ("store", "fallback", "expected"),
    [
        (FakeStore(REFUSED), FakeStore(COMMITTED), REFUSED),
        (FakeStore(REFUSED, is_healthy=False), FakeStore(COMMITTED), COMMITTED),
        (
            FakeStore(REFUSED, is_healthy=False),
            FakeStore(Err(STORE_UNREACHABLE)),
            Err(STORE_UNREACHABLE),
        ),
        (
            FakeStore(REFUSED, is_healthy=False),
            FakeStore(Err(TIMED_OUT)),
            Err(TIMED_OUT),
        ),
        (FakeStore(RESET, is_healthy=False), FakeStore(COMMITTED), COMMITTED),
        (FakeStore(RESET, is_healthy=False), FakeStore(Err(STORE_UNREACHABLE)), RESET),
        (
            FakeStore(COMMITTED, is_down=True),
            FakeStore(Err(STORE_UNREACHABLE)),
            Err(STORE_UNREACHABLE),
        ),
        (FakeStore(COMMITTED, is_down=True), FakeStore(Err(TIMED_OUT)), Err(TIMED_OUT)),
    ],
)
async def test_write_is_refused_only_if_no_store_can_have_applied_it(
    store, fallback, expected
):
    assert await RetryingStore(store, fallback).commit(PUT) == expected


async def test_write_refused_for_its_size_is_sent_to_no_other_store():
    """Guards against a row that is too large and is passed on from peer to peer."""
    store, fallback = FakeStore(TOO_LARGE, is_healthy=False), FakeStore(COMMITTED)
    assert await RetryingStore(store, fallback).commit(PUT) == TOO_LARGE
    assert not fallback.writes


async def test_nothing_is_sent_to_an_unreachable_store():
    store = FakeStore(COMMITTED, is_down=True)
    assert await RetryingStore(store).commit(PUT) == Err(STORE_UNREACHABLE)
    assert not store.writes


async def test_row_of_an_interrupted_write_is_a_conflict():
    row = Row(PUT.key, 9, "", "text")
    store = FakeStore(RESET, row)
    match await RetryingStore(store).commit(PUT):
        case Err(TableConflict(rows=rows)):
            assert rows == (row,)
            assert len(store.writes) == 1
        case other:
            pytest.fail(f"expected a conflict, found {other}")


@dataclass
class SlowStore(FakeStore):
    """A store whose writes take many times its response timeout."""

    async def commit(self, put: Put, limit_s: float = 0.0):
        self.writes.append(put)
        await asyncio.sleep(0.07)
        return self.result

    def response_timeout_ms(self, kind: CallKind) -> int:
        return 10


async def test_slow_write_is_awaited_until_the_deadline():
    store = SlowStore(COMMITTED)
    assert await RetryingStore(store).commit(PUT, 500) == COMMITTED
    assert len(store.writes) <= DEFAULT_LIMIT_TIMEOUTS


async def test_overdue_missing_row_is_written_by_the_retry_function():
    store, retry_store = SlowStore(COMMITTED), FakeStore(Ok(Committed(9)))
    assert await RetryingStore(store).commit(PUT, 500, retry_store.commit) == Ok(
        Committed(9)
    )
    assert len(store.writes) == 1


@dataclass
class SilentStore(FakeStore):
    """A store that never responds to a write."""

    async def commit(self, put: Put, limit_s: float = 0.0):
        self.writes.append(put)
        assert len(self.writes) <= DEFAULT_LIMIT_TIMEOUTS
        await asyncio.Event().wait()


def test_early_timer_causes_no_extra_retry():
    async def calls() -> None:
        for _ in range(100):
            await asyncio.sleep(0.0137)
            assert await RetryingStore(SilentStore(COMMITTED)).commit(
                PUT, 1_200
            ) == Err(TIMED_OUT)

    # The loop adds rounded times, so that timers fire slightly before their time.
    with asyncio.Runner(loop_factory=FakeTimeLoop) as runner:
        runner.run(calls())
