"""An outage of the store that delays a hand-over ends no run."""

from __future__ import annotations

import asyncio

import pytest

from cornelturn.ownership.messages import HandOverDue
from cornelturn.platform.standin.rows import StoreFault
from cornelturn.tests.job_fleet import JobFleet, submit_jobs, wait_until_completed

RUN_MS = 12_000
OUTAGE_S = 6.0


@pytest.mark.parametrize("has_hand_over", [False, True])
def test_store_outage_during_a_hand_over_ends_no_run(play, has_hand_over):
    async def scenario(fleet: JobFleet) -> None:
        fleet.run_ms = RUN_MS
        jobs = await submit_jobs(fleet, 2)
        await asyncio.sleep(1)
        entry = fleet.entries[fleet.owners()["phone"]]
        fleet.store.fault = StoreFault.SILENT
        if has_hand_over:
            entry.duties.handle_event(HandOverDue("phone"))
        await asyncio.sleep(OUTAGE_S)
        fleet.store.fault = StoreFault.NONE
        await wait_until_completed(fleet, jobs)

    fleet = play(scenario, entries=4, workers=4)
    assert set(fleet.checker.start_counts.values()) == {1}
