"""Work times, loop lag and the metrics of an owner's work."""

from __future__ import annotations

import asyncio
import time

import pytest

from cornelturn.clock import Clock
from cornelturn.events.job_metrics import JobMetrics
from cornelturn.events.loop_lag import watch_loop_lag
from cornelturn.events.work_times import WorkTimes
from cornelturn.tests.job_fleet import JobFleet, submit_jobs, wait_until_completed

BLOCKED_S = 0.3


@pytest.fixture
def metrics() -> JobMetrics:
    """Return metrics of an entry."""
    return JobMetrics()


def test_time_of_a_part_accumulates_until_the_reset():
    times = WorkTimes()
    for _ in range(2):
        with times.part("plan"):
            time.sleep(0.01)
    assert times.part("plan").spent_ms() >= 20
    assert times.part("write").spent_ms() == 0
    times.reset()
    assert times.part("plan").spent_ms() == 0


def test_longest_wait_is_kept_until_the_reset():
    times = WorkTimes()
    for waited_ms in (5, 80, 20):
        times.record_wait(waited_ms)
    assert times.longest_wait_ms == 80
    times.reset()
    assert times.longest_wait_ms == 0


async def test_blocked_loop_shows_in_the_metrics(metrics):
    watch = asyncio.create_task(watch_loop_lag("entry-1", Clock(), metrics))
    await asyncio.sleep(0.05)
    time.sleep(BLOCKED_S)
    await asyncio.sleep(0.05)
    watch.cancel()
    lag_s = metrics.registry.get_sample_value("cornelturn_loop_lag_seconds_sum")
    assert lag_s >= BLOCKED_S - 0.1


def test_owner_counts_its_waits_orders_and_writes(play):
    async def day(fleet: JobFleet) -> None:
        await wait_until_completed(fleet, await submit_jobs(fleet, 4))
        await asyncio.sleep(1.5)

    fleet = play(day)
    counts: dict[str, float] = {}
    for entry in fleet.entries.values():
        for name in ("owner_wait", "order", "write"):
            sample = f"cornelturn_{name}_seconds_count"
            registry = entry.metrics.registry
            count = registry.get_sample_value(sample, {"pool": "phone"}) or 0
            counts[name] = counts.get(name, 0) + count
    assert counts["order"] == len(fleet.checker.start_counts)
    assert counts["owner_wait"] > 0
    assert counts["write"] > 0
