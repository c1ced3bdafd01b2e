"""Pools that follow their load, in whole fleets under a fake clock."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from cornelturn.tests.job_fleet import (
    SPARE,
    JobFleet,
    all_complete,
    job_id,
    phases,
    submit_some,
)

SPARES = 4
WORKERS = 4

RISE_JOBS = 6
"""Jobs of a tenth of an idle pool each, one each tenth of a second."""


def size(fleet: JobFleet, pool: str) -> int:
    """Return how many machines a pool has."""
    return sum(one.pool == pool for one in fleet.machines.machines.values())


async def flood(fleet: JobFleet, count: int) -> list[str]:
    """Hand in jobs that ask for three times what the pool holds."""
    jobs = [job_id(1_000 + number) for number in range(count)]
    for job in jobs:
        assert await fleet.submit("entry-0", "phone", job, phases(6, cpu=4_000)) == 200
    return jobs


def test_idle_pools_give_machines_back_and_a_flooded_one_gets_them(play):
    async def day(fleet: JobFleet) -> None:
        await fleet.until(lambda: size(fleet, SPARE) == SPARES + WORKERS)
        assert (size(fleet, "phone"), size(fleet, "mail")) == (2, 2)
        fleet.run_ms = 1_500
        jobs = await flood(fleet, 12)
        await fleet.until(lambda: size(fleet, "phone") >= WORKERS, 3)
        await all_complete(fleet, jobs)
        await fleet.until(lambda: size(fleet, "phone") == 2)

    fleet = play(day, workers=WORKERS, spares=SPARES)
    assert fleet.runs_cut == 0
    assert set(fleet.judge.starts.values()) == {1}


def test_idle_pool_whose_demand_rises_gets_machines_before_it_is_full(play):
    async def day(fleet: JobFleet) -> None:
        await fleet.until(lambda: size(fleet, SPARE) == SPARES + WORKERS)
        await asyncio.sleep(3)
        fleet.run_ms = 1_500
        before = fleet.machines.moves
        for number in range(RISE_JOBS):
            steps = phases(1, cpu=1_600)
            assert await fleet.submit("entry-0", "phone", job_id(number), steps) == 200
            await asyncio.sleep(0.1)
        assert fleet.machines.moves > before

    fleet = play(day, workers=WORKERS, spares=SPARES)
    assert fleet.runs_cut == 0


def test_lasting_tasks_are_moved_before_their_machines_go(play):
    async def day(fleet: JobFleet) -> None:
        steps = phases(4, long_running=True, max_unavailable=1)
        assert await fleet.submit("entry-0", "phone", job_id(1), steps) == 200
        await fleet.until(lambda: size(fleet, "phone") == 2)
        await asyncio.sleep(3)
        running = [one for one in fleet.judge.running.values() if one]
        assert len(running) == 4

    fleet = play(day, workers=WORKERS, spares=SPARES)
    assert fleet.runs_cut == 0


def test_lasting_tasks_kept_apart_keep_their_machines(play):
    async def day(fleet: JobFleet) -> None:
        steps = phases(3, long_running=True, max_unavailable=1, anti_affinity=1)
        assert await fleet.submit("entry-0", "phone", job_id(1), steps) == 200
        await asyncio.sleep(8)
        assert size(fleet, "phone") == WORKERS

    fleet = play(day, workers=WORKERS, spares=SPARES)
    assert fleet.runs_cut == 0


def test_owner_of_the_machines_killed_in_a_flood(play):
    async def day(fleet: JobFleet) -> None:
        fleet.run_ms = 1_500
        await fleet.until(lambda: size(fleet, "phone") == 2)
        jobs = await flood(fleet, 12)
        await fleet.until(lambda: fleet.machines.moves > WORKERS)
        holder = next(
            name
            for name, one in fleet.entries.items()
            if one.duties.machines is not None
        )
        fleet.kill(holder)
        await all_complete(fleet, jobs)
        jobs = await submit_some(fleet, 3, first=50)
        await all_complete(fleet, jobs)
        await fleet.until(lambda: size(fleet, "phone") == 2)

    fleet = play(day, workers=WORKERS, spares=SPARES, entries=4)
    assert fleet.runs_cut == 0


@pytest.mark.parametrize("late_ms", [1_000, 1_400, 2_500])
def test_orders_that_are_carried_out_late_end_no_run(play, late_ms):
    async def day(fleet: JobFleet) -> None:
        fleet.machines.late_ms = late_ms
        fleet.run_ms = 900
        lasting = phases(4, long_running=True, max_unavailable=1)
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

    fleet = play(day, workers=8, spares=SPARES)
    assert fleet.runs_cut == 0
