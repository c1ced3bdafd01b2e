"""Writes of some duty rows without an answer do not affect the other duties."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import pytest
from result import Err

from cornelturn.ownership.duties import duty_key
from cornelturn.store.port import RowStore
from cornelturn.store.rows import Operation, TableUnavailable
from cornelturn.tests.job_fleet import JobFleet

CALL_LIMIT_S = 1.5
"""Time after which a call to the store is abandoned."""

TAKEOVER_S = 8.0
"""Time for a lease to lapse, one write without an answer, and the pause after it."""

SILENT_S = 8.0
SAMPLE_S = 0.05


@dataclass
class SilentRows:
    """A store that does not answer writes of some rows."""

    store: RowStore
    keys: frozenset[str]

    def __getattr__(self, name: str):
        return getattr(self.store, name)

    async def commit(self, *operations: Operation):
        if operations[0].key not in self.keys:
            return await self.store.commit(*operations)
        await asyncio.sleep(CALL_LIMIT_S)
        return Err(TableUnavailable("no answer in time"))


@pytest.mark.parametrize("number", [0, 1])
def test_unanswered_write_of_one_duty_does_not_block_the_others(play, number):
    async def day(fleet: JobFleet) -> None:
        lost, survivor = fleet.entries
        keeper = fleet.entries[survivor].keeper
        free = sorted(map(duty_key, fleet.entries[lost].keeper.held.generations))
        assert len(free) > 1
        silent = frozenset({free[number]})
        keeper.duty_rows.store = SilentRows(keeper.store, silent)
        fleet.kill_entry(lost)
        others = set(free) - silent
        await fleet.wait_until(
            lambda: others <= set(map(duty_key, keeper.held.generations)), TAKEOVER_S
        )

    play(day, entries=2)


def test_unanswered_writes_do_not_stop_work_on_held_duties(play):
    async def day(fleet: JobFleet) -> None:
        lost, survivor = fleet.entries
        keeper = fleet.entries[survivor].keeper
        assert keeper.held.generations
        free = frozenset(map(duty_key, fleet.entries[lost].keeper.held.generations))
        assert len(free) > 1
        keeper.duty_rows.store = SilentRows(keeper.store, free)
        fleet.kill_entry(lost)
        for _ in range(round(SILENT_S / SAMPLE_S)):
            await asyncio.sleep(SAMPLE_S)
            assert keeper.authority.may_act()
        keeper.duty_rows.store = keeper.store
        await fleet.wait_until(
            lambda: free <= set(map(duty_key, keeper.held.generations))
        )

    play(day, entries=2)
