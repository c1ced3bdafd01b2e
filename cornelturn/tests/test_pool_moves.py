"""Pools that grow and shrink with their load, in fleets on a fake clock.

Guards against moves that come too late for the demand, or that interrupt runs.
"""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from cornelturn.platform.standin.documents import SPARE_POOL, job_id, phases
from cornelturn.tests.job_fleet import JobFleet, submit_jobs, wait_until_completed

SPARES = 4
WORKERS = 4

RISING_DEMAND_JOBS = 6
"""Jobs that each need a tenth of an idle pool, submitted every 0.1 s."""


def pool_size(fleet: JobFleet, pool: str) -> int:
    """Return the number of machines of a pool."""
    return sum(machine.pool == pool for machine in fleet.machines.machines.values())


async def submit_overload(fleet: JobFleet, count: int) -> list[str]:
    """Submit jobs that demand three times the capacity of the pool."""
    jobs = [job_id(1_000 + number) for number in range(count)]
    for job in jobs:
        assert await fleet.submit("entry-0", "phone", job, phases(6, cpu=4_000)) == 200
    return jobs


def test_idle_pools_release_machines_and_an_overloaded_one_gets_them(play):
    async def scenario(fleet: JobFleet) -> None:
        await fleet.wait_until(lambda: pool_size(fleet, SPARE_POOL) == SPARES + WORKERS)
        assert (pool_size(fleet, "phone"), pool_size(fleet, "mail")) == (2, 2)
        fleet.run_ms = 1_500
        jobs = await submit_overload(fleet, 12)
        await fleet.wait_until(lambda: pool_size(fleet, "phone") >= WORKERS, 3)
        await wait_until_completed(fleet, jobs)
        await fleet.wait_until(lambda: pool_size(fleet, "phone") == 2)

    fleet = play(scenario, workers=WORKERS, spares=SPARES)
    assert fleet.interrupted_run_count == 0
    assert set(fleet.checker.start_counts.values()) == {1}


def test_idle_pool_whose_demand_rises_gets_machines_before_it_is_full(play):
    async def scenario(fleet: JobFleet) -> None:
        await fleet.wait_until(lambda: pool_size(fleet, SPARE_POOL) == SPARES + WORKERS)
        await asyncio.sleep(3)
        fleet.run_ms = 1_500
        before = fleet.machines.move_count
        for number in range(RISING_DEMAND_JOBS):
            steps = phases(1, cpu=1_600)
            assert await fleet.submit("entry-0", "phone", job_id(number), steps) == 200
            await asyncio.sleep(0.1)
        assert fleet.machines.move_count > before

    fleet = play(scenario, workers=WORKERS, spares=SPARES)
    assert fleet.interrupted_run_count == 0


def test_lasting_tasks_are_moved_before_their_machines_leave(play):
    async def scenario(fleet: JobFleet) -> None:
        steps = phases(4, is_lasting=True, max_unavailable=1)
        assert await fleet.submit("entry-0", "phone", job_id(1), steps) == 200
        await fleet.wait_until(lambda: pool_size(fleet, "phone") == 2)
        await asyncio.sleep(3)
        running = [run for run in fleet.checker.workers_by_task.values() if run]
        assert len(running) == 4

    fleet = play(scenario, workers=WORKERS, spares=SPARES)
    assert fleet.interrupted_run_count == 0


def test_lasting_tasks_kept_apart_keep_their_machines(play):
    async def scenario(fleet: JobFleet) -> None:
        steps = phases(3, is_lasting=True, max_unavailable=1, max_per_target=1)
        assert await fleet.submit("entry-0", "phone", job_id(1), steps) == 200
        await asyncio.sleep(8)
        assert pool_size(fleet, "phone") == WORKERS

    fleet = play(scenario, workers=WORKERS, spares=SPARES)
    assert fleet.interrupted_run_count == 0


def test_overloaded_pool_gets_machines_though_the_machine_owner_is_killed(play):
    async def scenario(fleet: JobFleet) -> None:
        fleet.run_ms = 1_500
        await fleet.wait_until(lambda: pool_size(fleet, "phone") == 2)
        jobs = await submit_overload(fleet, 12)
        await fleet.wait_until(lambda: fleet.machines.move_count > WORKERS)
        holder = next(
            name
            for name, entry in fleet.entries.items()
            if entry.duties.machines.owner is not None
        )
        fleet.kill_entry(holder)
        await wait_until_completed(fleet, jobs)
        jobs = await submit_jobs(fleet, 3, first=50)
        await wait_until_completed(fleet, jobs)
        await fleet.wait_until(lambda: pool_size(fleet, "phone") == 2)

    fleet = play(scenario, workers=WORKERS, spares=SPARES, entries=4)
    assert fleet.interrupted_run_count == 0


@pytest.mark.parametrize("late_ms", [1_000, 1_400, 2_500])
def test_machine_orders_executed_late_interrupt_no_run(play, late_ms):
    async def scenario(fleet: JobFleet) -> None:
        fleet.machines.order_delay_ms = late_ms
        fleet.run_ms = 900
        lasting = phases(4, is_lasting=True, max_unavailable=1)
        assert await fleet.submit("entry-0", "phone", job_id(1), lasting) == 200
        machines = [f"m-phone-{number}" for number in range(8)]
        wave = {
            "rollout_batch": 1,
            "machines": machines,
            "duration_s": 40,
            "cap": 4,
        }
        fleet.store.put("op", "wave/1", msgspec.json.encode(wave))
        for number in range(100):
            job = job_id(10 + number)
            steps = phases(3, cpu=3_000)
            assert await fleet.submit("entry-1", "phone", job, steps) == 200
            await asyncio.sleep(0.25)

    fleet = play(scenario, workers=8, spares=SPARES)
    assert fleet.interrupted_run_count == 0
