"""Tests ends that an owner could not write before its pool was handed over."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from result import Err

from cornelturn.jobs.rows import JOBS_TABLE
from cornelturn.ownership.messages import HandOverDue
from cornelturn.platform.standin.documents import job_id, phases
from cornelturn.scheduling.owner import PoolOwner
from cornelturn.scheduling.target_view import Contact
from cornelturn.store.port import RowStore
from cornelturn.store.rows import Operation, TableUnavailable
from cornelturn.targets.model import TargetLife
from cornelturn.tests.job_fleet import JobFleet, wait_until_completed

JOB = job_id(1)
UNREACHABLE_S = 3.0
"""Less than the lease of a worker that the successor does not reach."""


@dataclass
class ReadOnlyJobs:
    """A store that refuses all commits of rows of jobs."""

    store: RowStore

    def __getattr__(self, name: str):
        return getattr(self.store, name)

    async def commit(self, *operations: Operation):
        if operations[0].key.startswith(JOBS_TABLE):
            return Err(TableUnavailable("status 429", is_in_doubt=False))
        return await self.store.commit(*operations)


async def run_job_without_writing_its_end(
    fleet: JobFleet, owner: PoolOwner
) -> TargetLife:
    """Run a job whose end its owner cannot write; return the target that ran it."""
    await asyncio.sleep(1)
    owner.commits.store = ReadOnlyJobs(owner.store)
    assert await fleet.submit("entry-0", "phone", JOB, phases(1)) == 200
    views = owner.scheduler.targets
    await fleet.wait_until(lambda: any(view.pending_ends for view in views.values()))
    (job_target,) = (life for life, view in views.items() if view.pending_ends)
    return job_target


def test_end_that_was_not_written_before_a_hand_over_is_not_run_again(play):
    async def day(fleet: JobFleet) -> None:
        entry = fleet.entries[fleet.owners()["phone"]]
        owner = entry.duties.owned_pools["phone"].owner
        job_target = await run_job_without_writing_its_end(fleet, owner)
        for name in fleet.entries:
            fleet.disconnect_from_worker(name, job_target.name)
        entry.duties.handle_event(HandOverDue("phone"))
        await fleet.wait_until(
            lambda: fleet.owners().get("phone") and owner.is_stopping
        )
        await asyncio.sleep(UNREACHABLE_S)
        assert set(fleet.checker.start_counts.values()) == {1}
        fleet.network.cut_pairs.clear()
        await wait_until_completed(fleet, [JOB])

    fleet = play(day, entries=4, workers=4)
    assert set(fleet.checker.start_counts.values()) == {1}


def test_silent_target_with_an_end_that_was_not_written_stays_in_the_row(play):
    async def day(fleet: JobFleet) -> None:
        entry = fleet.entries[fleet.owners()["phone"]]
        owner = entry.duties.owned_pools["phone"].owner
        job_target = await run_job_without_writing_its_end(fleet, owner)
        fleet.isolate_worker(job_target.name)
        view = owner.scheduler.targets[job_target]
        await fleet.wait_until(lambda: view.contact is Contact.SILENT)
        await asyncio.sleep(1)
        named = entry.keeper.known_duties["phone"].row.targets
        assert job_target in {held.life for held in named}

    play(day, workers=4)
