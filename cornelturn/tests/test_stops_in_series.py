"""Planned stops of one owner after another, beside a target out of reach."""

from __future__ import annotations

import asyncio

import pytest

from cornelturn.platform.standin.documents import job_id, phases
from cornelturn.tests.job_fleet import JobFleet

RUN_MS = 20_000
"""Longer than each test, so that a run ends early only with its lease."""

STOP_GAP_S = 0.3
"""Less than the lease of a target, so that the last takeover begins within it."""

OBSERVED_S = 3.0
"""Less than the lease of a target that no later owner reaches."""

RECONNECTED_S = 8.0
"""Time for a target to report again, and for all leases to have lapsed."""

FULL_CPU = 4_000
"""Half of the capacity of a target, so that each job has a run of its own."""


async def start_runs(fleet: JobFleet) -> str:
    """Start long runs on all targets of a pool and return one of these targets."""
    fleet.run_ms = RUN_MS
    for number in range(6):
        steps = phases(1, cpu=FULL_CPU)
        assert await fleet.submit("entry-0", "phone", job_id(number), steps) == 200
    await asyncio.sleep(2)
    return next(
        worker.name
        for worker in fleet.workers.values()
        if worker.service == "phone" and worker.runs
    )


async def stop_owner(fleet: JobFleet) -> None:
    """Stop the owner of the pool as planned and wait until the next one has loaded."""
    await fleet.entries.pop(fleet.owners()["phone"]).stop()
    await fleet.wait_until(lambda: "phone" in fleet.owners())


@pytest.mark.parametrize("stops", [1, 2, 3])
def test_planned_stops_in_series_do_not_repeat_runs_of_an_unreachable_target(
    play, stops
):
    async def day(fleet: JobFleet) -> None:
        unreachable = await start_runs(fleet)
        fleet.isolate_worker(unreachable)
        for _ in range(stops):
            await stop_owner(fleet)
            await asyncio.sleep(STOP_GAP_S)
        await asyncio.sleep(OBSERVED_S)
        fleet.reconnect_worker(unreachable)
        await asyncio.sleep(RECONNECTED_S)

    play(day, entries=5, workers=3)
