"""Takeover from a holder that is cut off from the store but answers queries."""

from __future__ import annotations

import asyncio

from cornelturn.entry.job_process import JobEntry
from cornelturn.ownership.duties import Holder
from cornelturn.scheduling.target_view import TargetView
from cornelturn.tests.job_fleet import JobFleet, submit_jobs

FIRST_STEP_MS = 8_000
TAKEOVER_S = 6.0
"""Time for a lease to lapse and the jobs to be read, before the first steps end."""

ROW_WRITE_S = 0.1
"""Time to write a row. Joining or leaving targets would cause a later write anyway."""

COMPLETION_S = 8.0
"""Time for the rest of the first steps and for the second ones. The wait for a holder
that does not answer is twice as long."""


def test_job_from_before_a_takeover_continues_once_the_predecessor_answered(play):
    async def day(fleet: JobFleet) -> None:
        fleet.run_ms = FIRST_STEP_MS
        jobs = await submit_jobs(fleet, 2)
        await asyncio.sleep(1)
        holder = fleet.owners()["phone"]
        busy = {view.life.name for view in target_views(fleet, holder) if view.runs}
        idle = next(
            view.life.name for view in target_views(fleet, holder) if not view.runs
        )
        assert busy
        fleet.isolate_worker(idle)
        fleet.disconnect_from_store(holder)
        fleet.run_ms = 300
        await fleet.wait_until(
            lambda: set(fleet.holders("phone")) - {holder}, TAKEOVER_S
        )
        (successor,) = set(fleet.holders("phone")) - {holder}
        async with asyncio.timeout(COMPLETION_S):
            for job in jobs:
                while await fleet.job_state(successor, "phone", job) != "completed":
                    await asyncio.sleep(0.1)

    fleet = play(day, entries=4, workers=4)
    assert set(fleet.checker.start_counts.values()) == {1}


def test_row_lists_no_predecessor_once_it_answered(play):
    async def day(fleet: JobFleet) -> None:
        await asyncio.sleep(1)
        holder = fleet.owners()["phone"]
        fleet.isolate_worker(
            next(view.life.name for view in target_views(fleet, holder))
        )
        fleet.disconnect_from_store(holder)
        await fleet.wait_until(
            lambda: set(fleet.holders("phone")) - {holder}, TAKEOVER_S
        )
        (successor,) = set(fleet.holders("phone")) - {holder}
        entry = fleet.entries[successor]
        owner = entry.duties.owned_pools["phone"].owner
        await fleet.wait_until(lambda: owner.takeover.open_jobs is not None)
        await asyncio.sleep(ROW_WRITE_S)
        assert recorded_predecessors(entry) == ()

    play(day, entries=4, workers=4)


def target_views(fleet: JobFleet, owner: str) -> list[TargetView]:
    """Return the targets of the pool in the view of its owner."""
    owned = fleet.entries[owner].duties.owned_pools["phone"]
    return list(owned.owner.scheduler.targets.values())


def recorded_predecessors(entry: JobEntry) -> tuple[Holder, ...] | None:
    """Return the predecessors that the row of the pool lists."""
    return entry.keeper.known_duties["phone"].row.earlier
