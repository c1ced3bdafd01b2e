"""How often an entry reads and writes the members table."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator

import pytest

from cornelturn.benchmarks.peers import LeaseStore, peer_address, write_duties
from cornelturn.clock import ManualTime
from cornelturn.ownership.keeper import DutyKeeper
from cornelturn.ownership.messages import ReconcileDue
from cornelturn.ownership.reconcile_schedule import RECONCILE_DELAY_S, ReconcileSchedule
from cornelturn.tests.job_fleet import JobFleet
from cornelturn.tests.network import FakeTimeLoop

MAX_START_RENEWALS = 3
"""Renewals of an entry while a fleet starts: the first, one after the settling time,
and a periodic one."""

OUTAGE_S = 12.0
RECOVERY_S = 0.5
MAX_RECOVERY_RENEWALS = 3
"""Renewals shortly after the first answer: one that was in progress, one that became
due meanwhile, and the next periodic one."""


@pytest.fixture
def store() -> LeaseStore:
    """Return a store with the duties of five pools."""
    lease_store = LeaseStore(9)
    write_duties(lease_store)
    return lease_store


@pytest.fixture
def keeper(store: LeaseStore, manual_time: ManualTime) -> DutyKeeper:
    """Return the keeper of an entry, in a fleet without required duties."""
    return DutyKeeper(
        own=peer_address(0),
        store=store,
        clock=manual_time.clock(),
        required_duties=frozenset,
        reachable_entries=frozenset,
        on_peers_read=lambda _: None,
        on_event=lambda _: None,
    )


@pytest.fixture
def runner() -> Iterator[asyncio.Runner]:
    """Return a runner with a fake clock."""
    with asyncio.Runner(loop_factory=FakeTimeLoop) as fake_runner:
        yield fake_runner


@pytest.mark.parametrize(
    "trigger",
    [ReconcileSchedule.request_reconcile, ReconcileSchedule.request_delayed_reconcile],
)
def test_requests_in_quick_succession_cause_one_read_and_no_write(
    runner: asyncio.Runner,
    keeper: DutyKeeper,
    store: LeaseStore,
    trigger: Callable[[ReconcileSchedule], None],
):
    async def day() -> None:
        task = asyncio.create_task(keeper.run())
        keeper.mailbox.post(ReconcileDue())
        await asyncio.sleep(RECONCILE_DELAY_S)
        written, read = store.writes, store.reads
        for _ in range(40):
            trigger(keeper.schedule)
        await asyncio.sleep(2 * RECONCILE_DELAY_S)
        assert (store.writes - written, store.reads - read) == (0, 1)
        trigger(keeper.schedule)
        await asyncio.sleep(2 * RECONCILE_DELAY_S)
        assert (store.writes - written, store.reads - read) == (0, 2)
        task.cancel()

    runner.run(day())


def test_each_periodic_reconcile_renews_the_lease(
    runner: asyncio.Runner, keeper: DutyKeeper, store: LeaseStore
):
    async def day() -> None:
        task = asyncio.create_task(keeper.run())
        for number in range(3):
            keeper.mailbox.post(ReconcileDue())
            await asyncio.sleep(1.0)
            assert store.writes == number + 1
        task.cancel()

    runner.run(day())


def test_row_of_a_duty_is_decoded_once_for_each_change(
    runner: asyncio.Runner, keeper: DutyKeeper, store: LeaseStore
):
    async def day() -> None:
        task = asyncio.create_task(keeper.run())
        keeper.mailbox.post(ReconcileDue())
        await asyncio.sleep(1.0)
        before = dict(keeper.known_duties)
        write_duties(store, 1)
        keeper.mailbox.post(ReconcileDue())
        await asyncio.sleep(1.0)
        changed = {
            duty for duty in before if keeper.known_duties[duty] is not before[duty]
        }
        assert changed == {"pool-0"}
        task.cancel()

    runner.run(day())


def test_start_of_many_entries_does_not_flood_the_store(play):
    async def day(fleet: JobFleet) -> None:
        renewals = [
            entry.keeper.authority.lease.renewals for entry in fleet.entries.values()
        ]
        assert max(renewals) <= MAX_START_RENEWALS

    play(day, entries=20, workers=1)


def test_renewals_delayed_by_an_outage_do_not_pile_up(play):
    async def day(fleet: JobFleet) -> None:
        await asyncio.sleep(2)
        keeper = fleet.entries["entry-0"].keeper
        cut = fleet.disconnect_from_store("entry-0")
        await asyncio.sleep(OUTAGE_S)
        before = keeper.authority.lease.renewals
        fleet.network.cut_pairs.discard(cut)
        await fleet.wait_until(lambda: keeper.authority.is_store_reachable)
        await asyncio.sleep(RECOVERY_S)
        assert keeper.authority.lease.renewals - before <= MAX_RECOVERY_RENEWALS

    play(day, entries=4, workers=3)
