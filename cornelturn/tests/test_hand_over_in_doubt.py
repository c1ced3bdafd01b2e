"""A pool stays with its owner if the hand-over was refused or not answered."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from result import Err

from cornelturn.ownership.duties import decode_duty, duty_key
from cornelturn.ownership.messages import HandOverDue, RowWrite
from cornelturn.scheduling.messages import TargetRecordFinished
from cornelturn.store.port import RowStore
from cornelturn.store.rows import Operation, TableUnavailable
from cornelturn.targets.model import TargetLife
from cornelturn.tests.job_fleet import JobFleet, submit_jobs

POOL = "phone"
ROW_WRITE_S = 0.5
"""Time to write a row. Joining or leaving targets would cause a later write anyway."""


@dataclass
class LostAnswer:
    """A store that applies the next write of a pool's row but loses the answer."""

    store: RowStore
    is_lost: bool = False

    def __getattr__(self, name: str):
        return getattr(self.store, name)

    async def commit(self, *operations: Operation):
        result = await self.store.commit(*operations)
        if self.is_lost or operations[0].key != duty_key(POOL):
            return result
        self.is_lost = True
        return Err(TableUnavailable("no answer in time"))


@dataclass
class RefusedRow:
    """A store that refuses writes of the row of a pool."""

    store: RowStore
    refusals: int = 0

    def __getattr__(self, name: str):
        return getattr(self.store, name)

    async def commit(self, *operations: Operation):
        if operations[0].key != duty_key(POOL):
            return await self.store.commit(*operations)
        self.refusals += 1
        return Err(TableUnavailable("status 503", is_in_doubt=False))


async def targets_in_row(store: RowStore) -> set[TargetLife]:
    """Return the targets that the row of the pool lists."""
    row = (await store.read(duty_key(POOL))).unwrap()
    return {target.life for target in decode_duty(row.value).unwrap().targets}


def test_pool_kept_after_an_unanswered_release_uses_only_targets_in_its_row(play):
    async def day(fleet: JobFleet) -> None:
        entry = fleet.entries[fleet.owners()[POOL]]
        owner = entry.duties.owned_pools[POOL].owner
        await asyncio.sleep(1)
        store = entry.keeper.store
        entry.keeper.duty_rows.store = faulty_store = LostAnswer(store)
        entry.duties.handle_event(HandOverDue(POOL))
        await fleet.wait_until(lambda: faulty_store.is_lost and not owner.is_stopping)
        assert owner.target_record.recorded <= await targets_in_row(store)
        await submit_jobs(fleet, 4)
        await asyncio.sleep(ROW_WRITE_S)
        assert owner.target_record.recorded
        assert owner.target_record.recorded <= await targets_in_row(store)

    play(day, entries=4, workers=4)


def test_pool_whose_hand_over_was_refused_keeps_all_targets(play):
    async def day(fleet: JobFleet) -> None:
        entry = fleet.entries[fleet.owners()[POOL]]
        owner = entry.duties.owned_pools[POOL].owner
        await asyncio.sleep(1)
        all_targets = owner.target_record.recorded
        entry.keeper.duty_rows.store = refusing_store = RefusedRow(entry.keeper.store)
        entry.duties.handle_event(HandOverDue(POOL))
        await fleet.wait_until(
            lambda: refusing_store.refusals and not owner.is_stopping
        )
        assert all_targets
        assert owner.target_record.recorded == all_targets

    play(day, entries=4, workers=4)


def test_answer_to_an_earlier_write_does_not_cover_one_in_doubt(play):
    async def day(fleet: JobFleet) -> None:
        entry = fleet.entries[fleet.owners()[POOL]]
        owner = entry.duties.owned_pools[POOL].owner
        await asyncio.sleep(1)
        all_targets, one_target = (
            owner.target_record.recorded,
            frozenset(sorted(owner.target_record.recorded)[:1]),
        )
        owner.mailbox.post(TargetRecordFinished(all_targets, True, RowWrite.WRITTEN))
        owner.mailbox.post(TargetRecordFinished(one_target, True, RowWrite.IN_DOUBT))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert owner.target_record.recorded == one_target

    play(day, entries=1, workers=4)
