"""Hand-overs and takeovers of a duty, and which answers of predecessors count."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator

import pytest

from cornelturn.benchmarks.peers import LeaseStore, peer_address
from cornelturn.clock import ManualTime
from cornelturn.fleet.lease import LeaseRow, encode_lease
from cornelturn.ownership.duties import (
    DutyRow,
    Holder,
    duty_key,
    encode_duty,
    entry_key,
)
from cornelturn.ownership.keeper import DutyKeeper
from cornelturn.ownership.member_leases import MAX_RECONCILE_GAP_MS
from cornelturn.ownership.messages import (
    DutyEvent,
    DutyTaken,
    HandOverDue,
    PredecessorAnswered,
    ReconcileDue,
)
from cornelturn.peering.messages import PoolGivenUp
from cornelturn.store.rows import Put
from cornelturn.tests.network import FakeTimeLoop

INTERVAL_MS = 1_000
POOL = "pool-0"
OWN, LARGE = peer_address(0), peer_address(1)


@pytest.fixture
def store() -> LeaseStore:
    """Return a store in which a small entry holds a pool."""
    lease_store = LeaseStore(2)
    row = DutyRow(OWN.name, OWN.incarnation, 1, is_settled=True)
    lease_store._put(Put(duty_key(POOL), encode_duty(row)))
    return lease_store


@pytest.fixture
def events() -> list[DutyEvent]:
    """Return the list of the events that the keeper emits."""
    return []


@pytest.fixture
def keeper(
    store: LeaseStore, manual_time: ManualTime, events: list[DutyEvent]
) -> DutyKeeper:
    """Return the keeper of the small entry, which reaches a large one."""
    return DutyKeeper(
        own=OWN,
        store=store,
        clock=manual_time.clock(),
        required_duties=lambda: frozenset({POOL}),
        reachable_entries=lambda: frozenset({LARGE.name}),
        on_peers_read=lambda _: None,
        on_event=events.append,
        processor=0.5,
    )


@pytest.fixture
def runner() -> Iterator[asyncio.Runner]:
    """Return a runner with a fake clock."""
    with asyncio.Runner(loop_factory=FakeTimeLoop) as fake_runner:
        yield fake_runner


def renew_large(store: LeaseStore, renewals: int) -> None:
    """Write the lease of the large entry."""
    lease = encode_lease(LeaseRow(LARGE, renewals, processor=2.0))
    store._put(Put(entry_key(LARGE.name), lease))


def answer_as_predecessor(keeper: DutyKeeper, generation: int) -> None:
    """Deliver the answer of a predecessor that left no runs behind."""
    keeper.held.receive_predecessor_answer(PoolGivenUp(POOL, generation, ()))


async def reconcile(keeper: DutyKeeper, manual_time: ManualTime, after_ms: int) -> None:
    """Advance the clock, then have the keeper reconcile with the rows."""
    manual_time.advance_ms(after_ms)
    keeper.mailbox.post(ReconcileDue())
    await asyncio.sleep(INTERVAL_MS / 1_000)


def test_duty_is_not_handed_over_to_an_entry_not_seen_to_renew_its_lease(
    runner: asyncio.Runner,
    keeper: DutyKeeper,
    store: LeaseStore,
    manual_time: ManualTime,
    events: list[DutyEvent],
):
    async def day() -> None:
        task = asyncio.create_task(keeper.run())
        renew_large(store, 1)
        for _ in range(4):
            await reconcile(keeper, manual_time, INTERVAL_MS)
        for _ in range(2):
            await reconcile(keeper, manual_time, MAX_RECONCILE_GAP_MS + 500)
        assert HandOverDue(POOL) not in events
        for renewals in range(2, 5):
            renew_large(store, renewals)
            await reconcile(keeper, manual_time, INTERVAL_MS)
        assert HandOverDue(POOL) in events
        task.cancel()

    runner.run(day())


def test_answer_of_an_older_generation_is_ignored(
    keeper: DutyKeeper, events: list[DutyEvent]
):
    keeper.predecessors.holders_to_query[POOL] = Holder(
        LARGE.name, LARGE.incarnation, generation=5
    )
    answer_as_predecessor(keeper, 4)
    assert events == []
    answer_as_predecessor(keeper, 5)
    answer_as_predecessor(keeper, 5)
    assert events == [PredecessorAnswered(POOL, ())]


def test_duty_that_was_given_up_is_not_taken_back_from_an_old_row(
    runner: asyncio.Runner,
    keeper: DutyKeeper,
    manual_time: ManualTime,
    events: list[DutyEvent],
):
    async def day() -> None:
        task = asyncio.create_task(keeper.run())
        await reconcile(keeper, manual_time, 0)
        assert POOL in keeper.held.generations
        keeper.held.give_up(POOL)
        events.clear()
        await reconcile(keeper, manual_time, INTERVAL_MS // 10)
        assert not any(isinstance(event, DutyTaken) for event in events)
        task.cancel()

    runner.run(day())


@pytest.mark.parametrize("is_settled", [False, True])
def test_only_a_settled_holder_is_queried(
    runner: asyncio.Runner,
    keeper: DutyKeeper,
    store: LeaseStore,
    manual_time: ManualTime,
    is_settled: bool,
):
    async def day() -> None:
        row = DutyRow(LARGE.name, LARGE.incarnation, 5, is_settled=is_settled)
        store._put(Put(duty_key(POOL), encode_duty(row)))
        task = asyncio.create_task(keeper.run())
        for _ in range(4):
            await reconcile(keeper, manual_time, INTERVAL_MS)
        assert POOL in keeper.held.generations
        assert (POOL in keeper.predecessors.holders_to_query) == is_settled
        task.cancel()

    runner.run(day())


def test_free_duty_does_not_wait_for_an_entry_that_lapsed_before_a_long_gap(
    runner: asyncio.Runner,
    keeper: DutyKeeper,
    store: LeaseStore,
    manual_time: ManualTime,
):
    async def day() -> None:
        held_by_large = DutyRow(LARGE.name, LARGE.incarnation, 1, is_settled=True)
        store._put(Put(duty_key(POOL), encode_duty(held_by_large)))
        renew_large(store, 1)
        task = asyncio.create_task(keeper.run())
        await reconcile(keeper, manual_time, 0)
        while LARGE.name not in lapsed_entries(keeper, manual_time):
            assert POOL not in keeper.held.generations
            await reconcile(keeper, manual_time, INTERVAL_MS)
        keeper.held.give_up(POOL)
        free = DutyRow("", 0, 5, is_settled=True)
        store._put(Put(duty_key(POOL), encode_duty(free)))
        await reconcile(keeper, manual_time, MAX_RECONCILE_GAP_MS + INTERVAL_MS)
        assert POOL in keeper.held.generations
        task.cancel()

    runner.run(day())


def lapsed_entries(keeper: DutyKeeper, manual_time: ManualTime) -> set[str]:
    """Return the entries whose lease has lapsed."""
    leases = keeper.members.watch.lapsed(manual_time.clock().now_ms())
    return {lease.peer.name for lease in leases}
