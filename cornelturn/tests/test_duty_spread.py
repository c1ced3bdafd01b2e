"""Which entries carry the duties of a fleet, from its start on."""

from __future__ import annotations

import asyncio
from collections import Counter

import pytest

from cornelturn.ownership.duties import FLEET_DUTY, decode_duty, duty_key
from cornelturn.tests.job_fleet import POOLS, SPARE, JobFleet

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
