"""Owners that lose a pool while its takeover is in progress."""

from __future__ import annotations

import asyncio

from cornelturn.jobs.rows import JOBS_TABLE
from cornelturn.platform.standin.documents import job_id, phases
from cornelturn.platform.standin.worker import WorkerStandin
from cornelturn.scheduling.owner import PoolOwner
from cornelturn.tests.job_fleet import JobFleet

POOL = "phone"
JOBS = 4
RUN_MS = 20_000
STARTED_S = 0.5
"""Time to start and report runs; machines move out of idle pools later."""

STOP_DELAY_S = 1.0
"""Time in which the next owner renews the leases of the targets that it reaches."""

RESTARTED_S = 8.0
"""More than the lease of a worker, after which its runs are started elsewhere."""


def pool_owner(fleet: JobFleet) -> PoolOwner | None:
    """Return the owner of the pool, whether it has loaded the jobs or not."""
    holders = fleet.holders(POOL)
    if len(holders) != 1:
        return None
    return fleet.entries[holders[0]].duties.owned_pools[POOL].owner


async def start_long_runs(fleet: JobFleet) -> WorkerStandin:
    """Start runs on all workers of the pool, and return one of these workers."""
    fleet.run_ms = RUN_MS
    for number in range(JOBS):
        steps = phases(1, cpu=4_000)
        assert await fleet.submit("entry-0", POOL, job_id(number), steps) == 200
    await asyncio.sleep(STARTED_S)
    workers = fleet.workers.values()
    return next(worker for worker in workers if worker.service == POOL and worker.runs)


def idle_worker(fleet: JobFleet) -> WorkerStandin:
    """Return a worker of the pool without runs."""
    workers = fleet.workers.values()
    return next(
        worker for worker in workers if worker.service == POOL and not worker.runs
    )


def delay_reads_of_jobs(fleet: JobFleet) -> None:
    """Let the store take long to read the rows of jobs."""
    parts = {key[:2] for key in fleet.store.rows if key[0] == JOBS_TABLE}
    fleet.store.slow_parts.update(parts)


def test_runs_reported_before_the_pool_is_loaded_are_not_repeated_after_a_stop(play):
    async def day(fleet: JobFleet) -> None:
        worker = await start_long_runs(fleet)
        delay_reads_of_jobs(fleet)
        fleet.kill_entry(fleet.owners()[POOL])
        await fleet.wait_until(lambda: pool_owner(fleet) is not None)
        scheduler = pool_owner(fleet).scheduler
        reported = scheduler.early_reports
        await fleet.wait_until(
            lambda: any(life.name == worker.name for life in reported)
        )
        fleet.isolate_worker(worker.name)
        assert not scheduler.is_loaded
        stopped = fleet.entries.pop(fleet.holders(POOL)[0])
        stopping = asyncio.create_task(stopped.stop())
        await fleet.wait_until(lambda: fleet.holders(POOL))
        fleet.store.slow_parts.clear()
        await asyncio.sleep(RESTARTED_S)
        await stopping

    play(day, entries=4, workers=3)


def test_leases_of_an_owner_that_stops_are_waited_for_though_one_before_it_was_killed(
    play,
):
    async def day(fleet: JobFleet) -> None:
        worker = await start_long_runs(fleet)
        fleet.isolate_worker(idle_worker(fleet).name)
        fleet.kill_entry(fleet.owners()[POOL])
        await fleet.wait_until(lambda: fleet.holders(POOL))
        (holder,) = fleet.holders(POOL)
        for name, entry in fleet.entries.items():
            if not entry.duties.count():
                fleet.disconnect_from_store(name)
        await asyncio.sleep(STOP_DELAY_S)
        fleet.isolate_worker(worker.name)
        await fleet.entries.pop(holder).stop()
        await fleet.wait_until(lambda: fleet.holders(POOL))
        fleet.network.cut_pairs.clear()
        await asyncio.sleep(RESTARTED_S)

    play(day, pools=(POOL,), entries=8, workers=4)
