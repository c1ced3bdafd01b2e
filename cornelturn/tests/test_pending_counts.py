"""Counts of pending jobs that callers get, and the scans of the store they cost.

Guards against a scan for each caller, and against counts that are outdated or lack the
jobs in the former pool of a queue.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import pytest
from result import Err, Ok

from cornelturn.clock import ManualTime
from cornelturn.jobs.counting import MAX_COUNTS_AGE_MS
from cornelturn.jobs.rows import SHARDS
from cornelturn.jobs.service import JobService, Pending, Unavailable
from cornelturn.peering.messages import PoolCounts, QueueCount
from cornelturn.store.rows import Page, Row, TableUnavailable

CALLERS = 20


@dataclass
class CountingStore:
    """Store that counts the scans of its parts; each takes 50 ms, or is refused."""

    is_refusing: bool = False
    scans: int = 0
    rows: tuple[Row, ...] = ()

    async def scan(self, table: str, part: str):
        self.scans += 1
        await asyncio.sleep(0.05)
        if self.is_refusing:
            return Err(TableUnavailable("status 429", is_in_doubt=False))
        return Ok(Page(1, self.rows))

    def is_unreachable(self) -> bool:
        return False

    def is_serving(self) -> bool:
        return not self.is_refusing


@pytest.fixture
def store() -> CountingStore:
    """Return a store that answers its calls."""
    return CountingStore()


@pytest.fixture
def service(store: CountingStore, manual_time: ManualTime) -> JobService:
    """Return a service without counts from any owner."""
    return JobService(store, manual_time.clock(), on_job_changed=lambda changed: None)


async def test_concurrent_callers_share_one_scan_of_the_queue(service, store):
    calls = (service.pending("q-phone", "phone") for _ in range(CALLERS))
    assert await asyncio.gather(*calls) == [Pending(0)] * CALLERS
    assert store.scans <= SHARDS


async def test_queue_is_not_scanned_while_the_store_refuses_calls(service, store):
    store.is_refusing = True
    assert await service.pending("q-phone", "phone") == Unavailable()
    assert store.scans == 0


@pytest.mark.parametrize("waiting_in_new", [0, 2])
async def test_jobs_in_the_former_pool_of_a_queue_count_as_pending(
    service, waiting_in_new
):
    counts = (QueueCount("q-phone", waiting_in_new),) if waiting_in_new else ()
    service.update_counts(PoolCounts("new", 1, counts))
    service.update_counts(PoolCounts("old", 1, (QueueCount("q-phone", 50),)))
    assert await service.pending("q-phone", "new") == Pending(50 + waiting_in_new)


async def test_rows_are_counted_while_the_counts_of_an_owner_are_outdated(
    service, store, manual_time
):
    service.update_counts(PoolCounts("old", 1, (QueueCount("q-phone", 50),)))
    manual_time.advance_ms(MAX_COUNTS_AGE_MS + 1)
    service.update_counts(PoolCounts("new", 1, ()))
    assert await service.pending("q-phone", "new") == Pending(0)
    assert store.scans == SHARDS


async def test_unreadable_row_is_left_out_of_the_count_with_a_line(
    service, store, caplog
):
    store.rows = (Row("jobs/q-phone.0/a", 1, "", "{"),)
    assert await service.pending("q-phone", "phone") == Pending(0)
    assert "row_unreadable" in caplog.text
