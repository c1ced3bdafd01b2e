"""Which entries carry the duties of a fleet, from its start on."""

from __future__ import annotations

import asyncio
from collections import Counter

import pytest

from cornelturn.ownership.duties import FLEET_DUTY, decode_duty, duty_key
from cornelturn.tests.job_fleet import POOLS, SPARE, JobFleet

LARGE = 2.0
SMALL = 0.5

DUTIES = (*POOLS, SPARE, FLEET_DUTY)


def holder(fleet: JobFleet, duty: str) -> str:
    """Return the entry that holds a duty."""
    table, part, key = duty_key(duty).split("/")
    row = fleet.store.value(table, key, part)
    return decode_duty(row.decode()).holder if row is not None else ""


def holders(fleet: JobFleet) -> Counter[str]:
    """Return how many duties each entry holds."""
    return Counter(holder(fleet, duty) for duty in DUTIES)


@pytest.mark.parametrize("entries", [4, 6, 9])
def test_entries_that_start_together_share_the_duties(play, entries):
    async def day(fleet: JobFleet) -> None:
        await asyncio.sleep(2)
        assert sum(holders(fleet).values()) == len(DUTIES)
        assert max(holders(fleet).values()) == 1

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
            fleet.kill(name)
        await asyncio.sleep(6)
        assert set(holders(fleet)) == {f"large-{number}" for number in range(4)}

    play(day, entries=3)
