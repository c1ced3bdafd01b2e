"""The machine owner is lost while its order for an upkeep is not answered yet.

Guards against a new owner that takes down more machines than the wave allows, since
the lost one could not store that the upkeep had begun.
"""

from __future__ import annotations

import asyncio

import msgspec

from cornelturn.tests.job_fleet import JobFleet

UPKEEP_MS = 8_000
ANSWER_DELAY_MS = 300
WORKERS = 8


def test_limit_of_a_wave_holds_though_its_owner_is_lost_as_an_upkeep_begins(play):
    async def scenario(fleet: JobFleet) -> None:
        fleet.machines.upkeep_ms = UPKEEP_MS
        fleet.machines.order_delay_ms = ANSWER_DELAY_MS
        machines = [f"m-phone-{number}" for number in range(WORKERS)]
        wave = {"rollout_batch": 1, "machines": machines, "duration_s": 20, "cap": 1}
        fleet.store.put("op", "wave/1", msgspec.json.encode(wave))
        owner = machine_owner(fleet)
        await fleet.wait_until(
            lambda: fleet.entries[owner].duties.machines.owner.orders_in_flight
        )
        fleet.kill_entry(owner)
        await asyncio.sleep(20)
        assert fleet.machines.max_down == 1

    play(scenario, entries=4, workers=WORKERS)


def machine_owner(fleet: JobFleet) -> str:
    """Return the entry that is the machine owner."""
    return next(
        name
        for name, entry in fleet.entries.items()
        if entry.duties.machines.owner is not None
    )
