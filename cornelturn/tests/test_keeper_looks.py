"""How often an entry reads and writes the table of members."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator

import pytest

from cornelturn.benchmarks.peers import LeaseStore, hold_duties, peer
from cornelturn.clock import ManualTime
from cornelturn.ownership.keeper import LOOK_DELAY_S, DutyKeeper
from cornelturn.ownership.messages import LookDue
from cornelturn.tests.job_fleet import JobFleet
from cornelturn.tests.network import FakeTimeLoop

START_RENEWALS = 3
"""Renewals of an entry while a fleet starts: the first, one once it has settled, and
a regular one."""

HELD_UP_S = 12.0
MOMENT_S = 0.5
HELD_UP_RENEWALS = 3
"""Renewals within a moment of the first answer: one that was on its way, one that
has become due, and one that follows."""


@pytest.fixture
def store() -> LeaseStore:
    """Return a store with the duties of five pools."""
    found = LeaseStore(9)
    hold_duties(found)
    return found


@pytest.fixture
def keeper(store: LeaseStore, manual_time: ManualTime) -> DutyKeeper:
    """Return the keeper of an entry that wants no duty."""
    return DutyKeeper(
        own=peer(0),
        store=store,
        clock=manual_time.clock(),
        wanted=frozenset,
        heard=frozenset,
        named=lambda _: None,
        changed=lambda _: None,
    )


@pytest.fixture
def runner() -> Iterator[asyncio.Runner]:
    """Return a runner with a fake clock."""
    with asyncio.Runner(loop_factory=FakeTimeLoop) as found:
        yield found


@pytest.mark.parametrize("wish", [DutyKeeper.want_look, DutyKeeper.want_look_soon])
def test_wishes_of_one_moment_are_met_by_one_look_without_a_write(
    runner: asyncio.Runner,
    keeper: DutyKeeper,
    store: LeaseStore,
    wish: Callable[[DutyKeeper], None],
):
    async def day() -> None:
        task = asyncio.create_task(keeper.run())
        keeper.mailbox.post(LookDue())
        await asyncio.sleep(LOOK_DELAY_S)
        written, read = store.writes, store.reads
        for _ in range(40):
            wish(keeper)
        await asyncio.sleep(2 * LOOK_DELAY_S)
        assert (store.writes - written, store.reads - read) == (0, 1)
        wish(keeper)
        await asyncio.sleep(2 * LOOK_DELAY_S)
        assert (store.writes - written, store.reads - read) == (0, 2)
        task.cancel()

    runner.run(day())


def test_each_regular_look_renews_the_lease(
    runner: asyncio.Runner, keeper: DutyKeeper, store: LeaseStore
):
    async def day() -> None:
        task = asyncio.create_task(keeper.run())
        for number in range(3):
            keeper.mailbox.post(LookDue())
            await asyncio.sleep(1.0)
            assert store.writes == number + 1
        task.cancel()

    runner.run(day())


def test_row_of_a_duty_is_decoded_once_for_each_change(
    runner: asyncio.Runner, keeper: DutyKeeper, store: LeaseStore
):
    async def day() -> None:
        task = asyncio.create_task(keeper.run())
        keeper.mailbox.post(LookDue())
        await asyncio.sleep(1.0)
        before = dict(keeper.seen)
        hold_duties(store, 1)
        keeper.mailbox.post(LookDue())
        await asyncio.sleep(1.0)
        changed = {duty for duty in before if keeper.seen[duty] is not before[duty]}
        assert changed == {"pool-0"}
        task.cancel()

    runner.run(day())


def test_start_of_many_entries_does_not_flood_the_store(play):
    async def day(fleet: JobFleet) -> None:
        renewals = [entry.keeper.renewals for entry in fleet.entries.values()]
        assert max(renewals) <= START_RENEWALS

    play(day, entries=20, workers=1)


def test_renewals_that_an_outage_has_held_up_are_made_once(play):
    async def day(fleet: JobFleet) -> None:
        await asyncio.sleep(2)
        keeper = fleet.entries["entry-0"].keeper
        cut = fleet.cut_from_store("entry-0")
        await asyncio.sleep(HELD_UP_S)
        before = keeper.renewals
        fleet.network.cut.discard(cut)
        await fleet.until(lambda: keeper.is_reachable)
        await asyncio.sleep(MOMENT_S)
        assert keeper.renewals - before <= HELD_UP_RENEWALS

    play(day, entries=4, workers=3)
