"""Group commit of rows from several callers, and submissions through a pool owner."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

import pytest
from result import Err, Ok, Result

from cornelturn.jobs.gathering import NOT_SENT, PartWriter
from cornelturn.jobs.rows import MAX_TRANSACTION_ROWS
from cornelturn.jobs.submissions import SubmissionWriter
from cornelturn.store.health import MIN_RESPONSE_TIMEOUT_MS, CallKind
from cornelturn.store.retrying import STORE_UNREACHABLE, TIMED_OUT, RetryingStore
from cornelturn.store.rows import (
    ABSENT,
    CallTooLarge,
    Committed,
    Put,
    Row,
    TableConflict,
    TableError,
    TableUnavailable,
    version_of,
)
from cornelturn.tests.network import FakeTimeLoop

COMMIT_S = 0.02
LIMIT_S = 2.0
REFUSED = Err(TableUnavailable("status 429", is_in_doubt=False))
TOO_LARGE = Err(CallTooLarge("status 413"))
LOST = Err(TableUnavailable("reset", is_in_doubt=True))


def put(number: int, expected: int = ABSENT) -> Put:
    return Put(f"jobs/q.1/{number}", f"text {number}", expected)


@dataclass
class PartStore:
    """Store with one part, which runs one transaction at a time.

    Parameters
    ----------
    failures : list
        Results of the next transactions, None to commit and return the real result.
    applies_lost : bool
        Whether transactions are committed whose answer is lost.
    """

    rows: dict[str, Row] = field(default_factory=dict)
    transactions: list[tuple[str, ...]] = field(default_factory=list)
    failures: list[Result[Committed, TableError] | None] = field(default_factory=list)
    applies_lost: bool = True
    timeout_ms: int = MIN_RESPONSE_TIMEOUT_MS
    is_unavailable: bool = False
    max_text: int = 100_000
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    async def commit(self, *puts: Put) -> Result[Committed, TableError]:
        async with self.lock:
            await asyncio.sleep(COMMIT_S)
        self.transactions.append(tuple(put.key for put in puts))
        if max(len(put.value) for put in puts) > self.max_text:
            return TOO_LARGE
        failure = self.failures.pop(0) if self.failures else None
        if failure is None:
            return self.apply(puts)
        if failure == LOST and self.applies_lost:
            self.apply(puts)
        return failure

    def apply(self, puts: tuple[Put, ...]) -> Result[Committed, TableError]:
        current = {put.key: self.rows.get(put.key) for put in puts}
        keys = tuple(
            put.key for put in puts if version_of(current[put.key]) != put.expected
        )
        if keys:
            present = tuple(row for row in current.values() if row is not None)
            return Err(TableConflict(keys, present))
        version = 100 + len(self.transactions)
        for put in puts:
            self.rows[put.key] = Row(put.key, version, "", put.value)
        return Ok(Committed(version))

    async def read(self, key: str):
        return Ok(self.rows.get(key))

    def is_unreachable(self) -> bool:
        return self.is_unavailable

    def is_serving(self) -> bool:
        return not self.is_unavailable

    def is_probe_needed(self) -> bool:
        return self.is_unavailable

    def response_timeout_ms(self, kind: CallKind) -> int:
        return self.timeout_ms


@pytest.fixture
def store() -> PartStore:
    """Return a store with an empty part."""
    return PartStore()


@pytest.fixture
def writer(store: PartStore) -> PartWriter:
    """Return a writer of the store's rows."""
    return PartWriter(RetryingStore(store))


async def write(
    writer: PartWriter, *puts: Put, limit_s: float = LIMIT_S
) -> list[Result[Committed, TableError]]:
    return await asyncio.gather(*(writer.commit(put, limit_s) for put in puts))


async def test_rows_waiting_for_a_part_share_a_transaction(store, writer):
    results = await write(writer, *(put(number) for number in range(20)))
    assert all(result.is_ok() for result in results)
    assert [len(keys) for keys in store.transactions] == [1, 19]
    assert len(store.rows) == 20
    assert writer.parts == {}


async def test_transaction_has_at_most_the_rows_that_the_store_accepts(store, writer):
    results = await write(writer, *(put(number) for number in range(100)))
    assert all(result.is_ok() for result in results)
    assert max(map(len, store.transactions)) == MAX_TRANSACTION_ROWS


async def test_row_refused_for_its_size_does_not_block_the_rest_of_its_batch(
    store, writer
):
    """Guards against a batch that is refused as a whole for one of its rows."""
    store.max_text = 20
    large = Put(put(2).key, "x" * 30, ABSENT)
    results = await write(writer, put(0), put(1), large, put(3))
    assert [result.is_ok() for result in results] == [True, True, False, True]
    assert results[2] == TOO_LARGE
    assert writer.parts == {}


async def test_transaction_is_split_below_the_limit_of_a_call(store, writer):
    """Guards against a batch of large rows that the store refuses as too long."""
    large = [Put(put(number).key, "x" * 60_000, ABSENT) for number in range(40)]
    results = await write(writer, *large)
    assert all(result.is_ok() for result in results)
    assert max(map(len, store.transactions)) * 80_000 < 1_000_000


async def test_existing_row_does_not_block_the_rest_of_its_batch(store, writer):
    old = Row(put(3).key, 7, "", "first")
    store.rows[old.key] = old
    results = await write(writer, *(put(number) for number in range(6)))
    assert results[3] == Err(TableConflict((old.key,), (old,)))
    assert all(result.is_ok() for result in results[:3] + results[4:])
    assert store.rows[old.key] == old


async def test_second_submission_of_an_id_finds_the_first(store, writer):
    first, second, other = await write(writer, put(1), put(1), put(2))
    assert first.is_ok() and other.is_ok()
    assert second.err_value.rows == (store.rows[put(1).key],)


async def test_batch_committed_without_an_answer_is_found_by_reading(store, writer):
    store.failures = [None, LOST]
    results = await write(writer, *(put(number) for number in range(3)))
    conflicts = [Err(TableConflict((key,), (row,))) for key, row in store.rows.items()]
    assert results[0].is_ok()
    assert results[1:] == conflicts[1:]


async def test_batch_in_doubt_is_settled_row_by_row(store, writer):
    row = Row(put(2).key, 7, "", "first")
    store.rows[row.key] = row
    store.failures, store.applies_lost = [None, LOST, LOST, LOST], False
    results = await write(writer, *(put(number) for number in range(4)))
    assert results[1:] == [
        Err(TIMED_OUT),
        Err(TableConflict((row.key,), (row,))),
        Err(TIMED_OUT),
    ]


async def test_row_that_was_not_sent_is_refused_and_not_in_doubt(store, writer):
    first = asyncio.create_task(writer.commit(put(0), LIMIT_S))
    await asyncio.sleep(0)
    assert await writer.commit(put(1), COMMIT_S / 4) == Err(NOT_SENT)
    assert (await first).is_ok()
    await asyncio.sleep(3 * COMMIT_S)
    assert put(1).key not in store.rows


async def test_refused_write_is_retried_while_its_caller_has_time(store, writer):
    store.failures = [REFUSED]
    assert (await write(writer, put(0)))[0].is_ok()
    store.failures = [REFUSED]
    assert await write(writer, put(1), limit_s=0.05) == [REFUSED]


def test_caller_waits_no_longer_than_with_a_transaction_of_its_own():
    async def calls() -> None:
        store = PartStore(timeout_ms=40)
        writer = PartWriter(RetryingStore(store))
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        writes = [asyncio.create_task(writer.commit(put(0), LIMIT_S))]
        await asyncio.sleep(COMMIT_S / 2)
        for number in (1, 2, 3):
            writes.append(asyncio.create_task(writer.commit(put(number), LIMIT_S)))
        await asyncio.gather(*writes)
        assert loop.time() - started_s == pytest.approx(3 * COMMIT_S)
        assert [len(keys) for keys in store.transactions] == [1, 1, 2]

    with asyncio.Runner(loop_factory=FakeTimeLoop) as runner:
        runner.run(calls())


@dataclass
class PoolOwner:
    """Pool owner that returns the same result for each write."""

    result: Result[Committed, TableError]
    requests: list[tuple[str, Put]] = field(default_factory=list)

    async def gather(self, entry: str, put: Put, limit_s: float):
        self.requests.append((entry, put))
        return self.result


def submission_writer(store: PartStore, result) -> SubmissionWriter:
    return SubmissionWriter(
        RetryingStore(store, PoolOwner(result)), lambda pool: "owner"
    )


async def test_fast_store_is_written_directly(store):
    writer = submission_writer(store, Ok(Committed(7)))
    assert (await writer.commit("pool", put(1), 2_000)).is_ok()
    assert writer.retrying_store.fallback.requests == []


async def test_slow_store_is_written_through_the_pool_owner(store):
    store.timeout_ms = 800
    writer = submission_writer(store, Ok(Committed(7)))
    assert await writer.commit("pool", put(1), 2_000) == Ok(Committed(7))
    assert writer.retrying_store.fallback.requests == [("owner", put(1))]
    assert store.transactions == []


async def test_write_in_doubt_at_the_owner_is_settled_by_reading(store):
    store.timeout_ms = 800
    writer = submission_writer(store, Err(TIMED_OUT))
    row = Row(put(1).key, 9, "", "text")
    store.rows[row.key] = row
    result = await writer.commit("pool", put(1), 2_000)
    assert result == Err(TableConflict((row.key,), (row,)))
    assert store.transactions == []


@pytest.mark.parametrize("owner_result", [Err(TIMED_OUT), Err(STORE_UNREACHABLE)])
async def test_write_that_the_owner_did_not_do_is_retried_while_time_remains(
    store, owner_result
):
    store.timeout_ms = 800
    writer = submission_writer(store, owner_result)
    assert (await writer.commit("pool", put(1), 2_000)).is_ok()
    assert await writer.commit("pool", put(2), 500) == owner_result
    assert put(2).key not in store.rows
