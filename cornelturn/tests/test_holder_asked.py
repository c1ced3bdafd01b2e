"""Jobs from before a takeover, whose holder is cut off from the store alone."""

from __future__ import annotations

import asyncio

from cornelturn.entry.job_process import JobEntry
from cornelturn.ownership.duties import Holder
from cornelturn.scheduling.views import TargetView
from cornelturn.tests.job_fleet import JobFleet, submit_some

FIRST_STEP_MS = 8_000
TAKEN_S = 6.0
"""A lease has lapsed and jobs were read, before the first steps end."""

WRITTEN_S = 0.1
"""A row is written; targets that come or go would have it written later anyway."""

NEXT_STEP_S = 8.0
"""The rest of the first steps, and the second ones; a holder that says nothing is
waited for twice as long."""


def test_job_from_before_a_takeover_goes_on_once_the_holder_was_asked(play):
    async def day(fleet: JobFleet) -> None:
        fleet.run_ms = FIRST_STEP_MS
        jobs = await submit_some(fleet, 2)
        await asyncio.sleep(1)
        holder = fleet.owners()["phone"]
        busy = {view.life.name for view in views(fleet, holder) if view.runs}
        idle = next(view.life.name for view in views(fleet, holder) if not view.runs)
        assert busy
        fleet.darken(idle)
        fleet.cut_from_store(holder)
        fleet.run_ms = 300
        await fleet.until(lambda: set(fleet.holders("phone")) - {holder}, TAKEN_S)
        (successor,) = set(fleet.holders("phone")) - {holder}
        async with asyncio.timeout(NEXT_STEP_S):
            for job in jobs:
                while await fleet.state(successor, "phone", job) != "completed":
                    await asyncio.sleep(0.1)

    fleet = play(day, entries=4, workers=4)
    assert set(fleet.judge.starts.values()) == {1}


def test_row_names_no_holder_before_once_it_was_asked(play):
    async def day(fleet: JobFleet) -> None:
        await asyncio.sleep(1)
        holder = fleet.owners()["phone"]
        fleet.darken(next(view.life.name for view in views(fleet, holder)))
        fleet.cut_from_store(holder)
        await fleet.until(lambda: set(fleet.holders("phone")) - {holder}, TAKEN_S)
        (successor,) = set(fleet.holders("phone")) - {holder}
        entry = fleet.entries[successor]
        owner = entry.duties.owned["phone"].owner
        await fleet.until(lambda: owner.takeover.open_jobs is not None)
        await asyncio.sleep(WRITTEN_S)
        assert earlier(entry) == ()

    play(day, entries=4, workers=4)


def views(fleet: JobFleet, owner: str) -> list[TargetView]:
    """Return the targets of a pool as its owner sees them."""
    owned = fleet.entries[owner].duties.owned["phone"]
    return list(owned.owner.scheduler.targets.values())


def earlier(entry: JobEntry) -> tuple[Holder, ...] | None:
    """Return the holders before that the row of the pool names."""
    return entry.keeper.seen["phone"].row.earlier
