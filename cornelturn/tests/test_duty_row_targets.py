"""Writes of the row of a duty that other messages and events overtake."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest
from result import Err, Result

from cornelturn.benchmarks.peers import LeaseStore, peer_address
from cornelturn.clock import ManualTime
from cornelturn.model.routes import RoutingTable
from cornelturn.ownership.duties import (
    DutyRow,
    HeldTarget,
    Holder,
    duty_key,
    encode_duty,
)
from cornelturn.ownership.keeper import SETTLE_MS, DutyKeeper
from cornelturn.ownership.messages import (
    DutyTaken,
    PredecessorsInactive,
    ReconcileDue,
    RecordTargets,
    ReleaseDuty,
    RowWrite,
)
from cornelturn.scheduling.owner import PoolOwner
from cornelturn.scheduling.takeover import barrier_ms
from cornelturn.store.rows import (
    Committed,
    Operation,
    Put,
    TableError,
    TableUnavailable,
)
from cornelturn.targets.model import (
    Lease,
    Order,
    OrderResult,
    ReportResult,
    TargetLife,
    Unanswered,
)
from cornelturn.targets.session import LifeEnded

POOL = "pool-0"
LIFE, OTHER_LIFE = TargetLife("t-1", 1), TargetLife("t-2", 1)
LATER_LIFE = TargetLife(LIFE.name, 600)
FIRST_TARGETS = (HeldTarget(LIFE, "10.0.0.1:80"),)
BOTH_TARGETS = (*FIRST_TARGETS, HeldTarget(OTHER_LIFE, "10.0.0.2:80"))
NO_ANSWER = Unanswered("no answer in this test")

RECONCILED_S = 0.1
WRITTEN_S = 0.05
"""Less than the interval of the ticks, which write the row again."""


class SilentConnection:
    """Connection to a target that does not answer."""

    async def send_order(self, order: Order, lease: Lease) -> OrderResult:
        return NO_ANSWER

    async def fetch_report(
        self, lease: Lease, acknowledged: int, wait_ms: int
    ) -> ReportResult:
        return Err(NO_ANSWER)

    async def close(self) -> None:
        return


class ServingStore(LeaseStore):
    """Store that executes all calls, and loses the answer to the next commit if told.

    Parameters
    ----------
    is_answer_lost : bool
        Whether the answer to the next commit is lost.
    """

    is_answer_lost: bool = False

    def is_serving(self) -> bool:
        return True

    async def commit(self, *operations: Operation) -> Result[Committed, TableError]:
        committed = await super().commit(*operations)
        if not self.is_answer_lost:
            return committed
        self.is_answer_lost = False
        return Err(TableUnavailable("no answer in time"))


@pytest.fixture
def store() -> ServingStore:
    """Return a store without duties and without other entries."""
    return ServingStore(1)


@pytest.fixture
def keeper(store: ServingStore, manual_time: ManualTime) -> DutyKeeper:
    """Return the keeper of the only entry of a fleet with one pool."""
    return DutyKeeper(
        own=peer_address(0),
        store=store,
        clock=manual_time.clock(),
        required_duties=lambda: frozenset({POOL}),
        reachable_entries=frozenset,
        on_peers_read=lambda _: None,
        on_event=lambda _: None,
    )


@pytest.fixture
def recorded_names() -> list[set[str]]:
    """Return the list to which each write of the row adds the names in it."""
    return []


@pytest.fixture
def owner(
    store: ServingStore, manual_time: ManualTime, recorded_names: list[set[str]]
) -> PoolOwner:
    """Return the second owner of a pool with two targets that do not answer."""

    async def record(
        duty: str, targets: tuple[HeldTarget, ...], is_settled: bool
    ) -> RowWrite:
        recorded_names.append({held.life.name for held in targets})
        return RowWrite.WRITTEN

    return PoolOwner(
        ownership=DutyTaken(POOL, 2, 10, BOTH_TARGETS, False),
        store=store,
        clock=manual_time.clock(),
        barrier_ms=barrier_ms(False, 12_000),
        unix_offset_ms=0,
        connect_target=lambda _: SilentConnection(),
        routing=lambda: RoutingTable(1),
        record_targets=record,
        may_act=lambda: True,
        publish=lambda _: None,
    )


def test_row_of_a_duty_taken_again_keeps_its_targets_despite_a_write_from_before(
    runner: asyncio.Runner,
    manual_time: ManualTime,
    store: ServingStore,
    keeper: DutyKeeper,
):
    async def day() -> None:
        task = asyncio.create_task(keeper.run())
        await asyncio.sleep(0)
        manual_time.advance_ms(SETTLE_MS)
        keeper.mailbox.post(ReconcileDue())
        await asyncio.sleep(RECONCILED_S)
        assert keeper.held.generations == {POOL: 1}
        released_by = Holder("other", 1, 2)
        released = DutyRow("", 0, 2, BOTH_TARGETS, released_by=released_by)
        await store.commit(Put(duty_key(POOL), encode_duty(released)))
        keeper.mailbox.post(ReconcileDue())
        reply = asyncio.get_running_loop().create_future()
        # An owner posts this while the keeper waits for the store.
        keeper.mailbox.post(RecordTargets(POOL, 1, FIRST_TARGETS, True, reply))
        await asyncio.sleep(RECONCILED_S)
        task.cancel()
        row = keeper.known_duties[POOL].row
        assert row.generation == 3
        assert (row.targets, row.is_settled) == (BOTH_TARGETS, False)

    runner.run(day())


def test_retry_of_a_release_does_not_release_the_duty_that_was_taken_again(
    runner: asyncio.Runner,
    manual_time: ManualTime,
    store: ServingStore,
    keeper: DutyKeeper,
):
    async def day() -> None:
        task = asyncio.create_task(keeper.run())
        await asyncio.sleep(0)
        manual_time.advance_ms(SETTLE_MS)
        keeper.mailbox.post(ReconcileDue())
        await asyncio.sleep(RECONCILED_S)
        store.is_answer_lost = True
        assert not await keeper.mailbox.ask(lambda reply: ReleaseDuty(POOL, 1, reply))
        keeper.mailbox.post(ReconcileDue())
        await asyncio.sleep(RECONCILED_S)
        assert keeper.held.generations == {POOL: 2}
        await keeper.mailbox.ask(lambda reply: ReleaseDuty(POOL, 1, reply))
        task.cancel()
        assert keeper.held.generations == {POOL: 2}

    runner.run(day())


def test_row_names_a_target_whose_life_ends_before_a_due_write_is_sent(
    runner: asyncio.Runner, owner: PoolOwner, recorded_names: list[set[str]]
):
    async def day() -> None:
        owner.mailbox.post(PredecessorsInactive(POOL, 11, 0))
        owner.mailbox.post(LifeEnded(LIFE, LATER_LIFE))
        task = asyncio.create_task(owner.run())
        await asyncio.sleep(WRITTEN_S)
        task.cancel()
        assert recorded_names
        assert [names for names in recorded_names if LIFE.name not in names] == []

    runner.run(day())


def test_owner_starts_though_the_row_names_two_lives_of_a_target(
    runner: asyncio.Runner, owner: PoolOwner
):
    async def day() -> None:
        lives = (
            HeldTarget(LIFE, "10.0.0.1:80", has_inherited_lease=True),
            HeldTarget(LATER_LIFE, "10.0.0.1:80"),
        )
        ownership = replace(owner.ownership, targets=lives)
        task = asyncio.create_task(replace(owner, ownership=ownership).run())
        await asyncio.sleep(WRITTEN_S)
        assert not task.done()
        task.cancel()

    runner.run(day())
