"""Which entries hold the duties of a fleet, from its start on."""

from __future__ import annotations

import asyncio
from collections import Counter

import pytest

from cornelturn.ownership.duties import FLEET_DUTY, decode_duty, duty_key
from cornelturn.platform.standin.documents import POOLS, SPARE_POOL
from cornelturn.platform.standin.rows import StoreFault
from cornelturn.tests.job_fleet import JobFleet, submit_jobs, wait_until_completed

LARGE = 2.0
SMALL = 0.5

HAND_OVER_S = 10.0
"""Time for some reads of the rows: one finds a new entry, one each duty handed over."""

DUTIES = (*POOLS, SPARE_POOL, FLEET_DUTY)

MIXED_POOLS = ("employment", "licensing", "references", "education")
MIXED_PROCESSORS = {
    f"entry-{number}": 2.15 if number < 2 else 0.516 for number in range(8)
}
LARGE_ENTRIES = frozenset({"entry-0", "entry-1"})

TAKEOVER_S = 6.0
"""Time for a lease to lapse and for the reconcile after that to take the pools."""

SIZES_S = 3.0
"""The list of machines is read every 2 s, then the row is written."""

CUT_S = 8.0

RECOVERY_S = 10.0
"""Time for some reads of the rows: two find that an entry renews its lease again, then
one in 2 s for each duty handed over."""


def holder(fleet: JobFleet, duty: str) -> str:
    """Return the entry that holds a duty."""
    table, part, key = duty_key(duty).split("/")
    row = fleet.store.read_value(table, key, part)
    return decode_duty(row.decode()).unwrap().holder if row is not None else ""


def pool_sizes(fleet: JobFleet) -> dict[str, int]:
    """Return the pool sizes that the row of the fleet's upkeep lists."""
    table, part, key = duty_key(FLEET_DUTY).split("/")
    return decode_duty(fleet.store.read_value(table, key, part).decode()).unwrap().sizes


def duty_counts(fleet: JobFleet) -> Counter[str]:
    """Return how many duties each entry holds."""
    return Counter(holder(fleet, duty) for duty in DUTIES)


def play_mixed(play, day) -> None:
    """Play a day in a fleet of two large entries and six small ones."""
    play(
        day,
        pools=MIXED_POOLS,
        processors=MIXED_PROCESSORS,
        entries=len(MIXED_PROCESSORS),
        workers=8,
    )


@pytest.mark.parametrize("entries", [4, 6, 9])
def test_entries_that_start_together_share_the_duties(play, entries):
    async def day(fleet: JobFleet) -> None:
        await asyncio.sleep(2)
        assert sum(duty_counts(fleet).values()) == len(DUTIES)
        assert max(duty_counts(fleet).values()) == 1

    play(day, entries=entries)


def test_duties_go_to_the_entries_with_the_largest_processors(play):
    async def day(fleet: JobFleet) -> None:
        first = list(fleet.entries)
        for size, processor in (("small", SMALL), ("large", LARGE)):
            fleet.processor = processor
            for number in range(4):
                await fleet.add_entry(f"{size}-{number}")
        await asyncio.sleep(4)
        for name in first:
            fleet.kill_entry(name)
        await asyncio.sleep(6)
        assert set(duty_counts(fleet)) == {f"large-{number}" for number in range(4)}

    play(day, entries=3)


def test_pools_move_to_entries_that_join_later_and_no_run_starts_twice(play):
    async def day(fleet: JobFleet) -> None:
        fleet.run_ms = 1_500
        jobs = await submit_jobs(fleet, 8)
        fleet.processor = LARGE
        for number in range(4):
            await fleet.add_entry(f"large-{number}")
        await asyncio.sleep(1.5)
        jobs += await submit_jobs(fleet, 8, first=50)
        await asyncio.sleep(HAND_OVER_S)
        owners = {holder(fleet, pool) for pool in POOLS}
        assert all(name.startswith("large") for name in owners)
        assert len(owners) == len(POOLS)
        await wait_until_completed(fleet, jobs)

    fleet = play(day, entries=1)
    assert set(fleet.checker.start_counts.values()) == {1}


def test_owner_of_the_machines_keeps_them_while_it_lives(play):
    async def day(fleet: JobFleet) -> None:
        owner = holder(fleet, FLEET_DUTY)
        fleet.processor = LARGE
        for number in range(4):
            await fleet.add_entry(f"large-{number}")
        await asyncio.sleep(HAND_OVER_S)
        assert holder(fleet, FLEET_DUTY) == owner

    play(day, entries=1)


@pytest.mark.parametrize("fault", [StoreFault.LOST_ANSWERS, StoreFault.BUSY])
def test_hand_over_while_the_store_fails_loses_and_repeats_no_run(play, fault):
    async def day(fleet: JobFleet) -> None:
        fleet.run_ms = 1_500
        jobs = await submit_jobs(fleet, 8)
        fleet.processor = LARGE
        for number in range(4):
            await fleet.add_entry(f"large-{number}")
        await fleet.wait_until(lambda: duty_counts(fleet)["entry-0"] < len(DUTIES) - 1)
        fleet.store.fault = fault
        await asyncio.sleep(3)
        fleet.store.fault = StoreFault.NONE
        jobs += await submit_jobs(fleet, 8, first=50)
        await asyncio.sleep(HAND_OVER_S)
        assert all(holder(fleet, pool).startswith("large") for pool in POOLS)
        await wait_until_completed(fleet, jobs)

    fleet = play(day, entries=1)
    assert set(fleet.checker.start_counts.values()) == {1}


def test_entry_that_stops_during_a_hand_over_releases_all_duties(play):
    async def day(fleet: JobFleet) -> None:
        jobs = await submit_jobs(fleet, 8)
        fleet.processor = LARGE
        for number in range(4):
            await fleet.add_entry(f"large-{number}")
        leaving = fleet.entries["entry-0"]
        async with asyncio.timeout(HAND_OVER_S):
            while not leaving.duties.hand_over_tasks:
                await asyncio.sleep(0.001)
        await leaving.stop()
        del fleet.entries["entry-0"]
        await asyncio.sleep(1)
        assert duty_counts(fleet)["entry-0"] == 0
        await wait_until_completed(fleet, jobs)

    play(day, entries=1)


def pool_holders(fleet: JobFleet) -> set[str]:
    """Return the entries that hold the pools of a mixed fleet."""
    return {holder(fleet, pool) for pool in MIXED_POOLS}


def test_pools_of_lost_large_entries_go_to_the_large_one_that_is_left(play):
    async def day(fleet: JobFleet) -> None:
        await asyncio.sleep(3)
        assert pool_holders(fleet) == LARGE_ENTRIES
        lost = max(LARGE_ENTRIES, key=lambda name: len(pools_of(fleet, name)))
        (survivor,) = LARGE_ENTRIES - {lost}
        cut = fleet.disconnect_from_store(lost)
        await asyncio.sleep(TAKEOVER_S)
        assert pool_holders(fleet) == {survivor}
        fleet.network.cut_pairs.discard(cut)
        await asyncio.sleep(RECOVERY_S)
        assert pool_holders(fleet) == LARGE_ENTRIES

    play_mixed(play, day)


def test_pools_return_to_large_entries_that_reach_the_store_again(play):
    async def day(fleet: JobFleet) -> None:
        await asyncio.sleep(3)
        cuts = [fleet.disconnect_from_store(name) for name in sorted(LARGE_ENTRIES)]
        await asyncio.sleep(CUT_S)
        assert not pool_holders(fleet) & LARGE_ENTRIES
        fleet.network.cut_pairs.discard(cuts[0])
        await asyncio.sleep(RECOVERY_S)
        assert pool_holders(fleet) == {"entry-0"}
        assert await holder_changes(fleet, RECOVERY_S) == 0

    play_mixed(play, day)


def test_row_of_the_machines_names_the_sizes_of_pools_that_run_something(play):
    async def day(fleet: JobFleet) -> None:
        await asyncio.sleep(SIZES_S)
        assert pool_sizes(fleet) == dict.fromkeys(POOLS, 2)
        await fleet.add_worker("phone-2", "phone")
        fleet.kill_entry(holder(fleet, FLEET_DUTY))
        await asyncio.sleep(TAKEOVER_S)
        assert holder(fleet, FLEET_DUTY) in fleet.entries
        assert pool_sizes(fleet) == dict.fromkeys(POOLS, 2)

    play(day, entries=3, workers=2, spares=2)


def pools_of(fleet: JobFleet, entry: str) -> list[str]:
    """Return the pools that an entry holds."""
    return [pool for pool in MIXED_POOLS if holder(fleet, pool) == entry]


async def holder_changes(fleet: JobFleet, for_s: float) -> int:
    """Return how many duties change their holder within a time."""
    duties = (*MIXED_POOLS, SPARE_POOL, FLEET_DUTY)
    before = [holder(fleet, duty) for duty in duties]
    await asyncio.sleep(for_s)
    after = [holder(fleet, duty) for duty in duties]
    return sum(old != new for old, new in zip(before, after, strict=True))
