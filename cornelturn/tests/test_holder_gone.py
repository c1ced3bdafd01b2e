"""Holders that live on after their duties were taken over, and say so."""

from __future__ import annotations

import asyncio

import pytest

from cornelturn.fleet.lease import LeaseRow
from cornelturn.ownership.duties import Holder, has_given_up
from cornelturn.peering.messages import PeerAddress
from cornelturn.platform.standin.rows import StoreFault
from cornelturn.scheduling.takeover import Reading, Takeover, barrier_ms
from cornelturn.targets.model import TargetLife
from cornelturn.tests.job_fleet import (
    JobFleet,
    all_complete,
    job_id,
    phases,
    submit_some,
)

DARK = TargetLife("t-1", 1)
HOLDER = Holder("a", incarnation=3, generation=5)
FROZEN_S = 5.0
RELEASED_S = 11.0
"""Two looks at the rows, a lease of 5 s and two steps of a job."""

LASTING_S = 9.0
"""A lasting task may pause for 6 s, and stand still for 3 s more."""

OUTWAITED_S = 12.0
"""Nearly as long as a holder acts that has lost the store."""


def lease(incarnation: int, **given_up: int) -> LeaseRow:
    return LeaseRow(PeerAddress("a", incarnation, ""), 1, given_up)


def test_holder_is_gone_once_its_lease_gives_up_its_generation():
    assert not has_given_up("phone", HOLDER, lease(3))
    assert not has_given_up("phone", HOLDER, lease(3, phone=4))
    assert not has_given_up("phone", HOLDER, lease(3, mail=5))
    assert has_given_up("phone", HOLDER, lease(3, phone=5))
    assert has_given_up("phone", HOLDER, lease(4))
    assert not has_given_up("phone", HOLDER, lease(2, phone=5))


def test_holder_that_is_gone_leaves_one_lease_to_wait_for():
    takeover = Takeover(10, barrier_ms(False, 12_000), False, {DARK})
    assert takeover.next_reading({DARK}, 1_000) == Reading(True, False)
    takeover.holder_gone(version=20, now_ms=2_000)
    lease_ms = barrier_ms(True, 0)
    assert takeover.next_reading({DARK}, 1_999 + lease_ms) is None
    assert takeover.next_reading({DARK}, 2_000 + lease_ms) == Reading(False, True)


def test_jobs_after_the_holder_was_gone_are_not_held_back():
    takeover = Takeover(10, barrier_ms(False, 12_000), False, {DARK})
    assert takeover.may_have_run(21, False)
    takeover.holder_gone(version=20, now_ms=2_000)
    assert takeover.may_have_run(20, False)
    assert not takeover.may_have_run(21, False)


def test_holder_that_is_gone_late_prolongs_no_wait():
    takeover = Takeover(10, 5_000, False, {DARK})
    takeover.holder_gone(version=20, now_ms=4_000)
    assert takeover.barrier_ms == 5_000


def test_jobs_go_on_soon_after_a_frozen_holder_wakes_with_a_worker_cut_off(play):
    async def day(fleet: JobFleet) -> None:
        await asyncio.sleep(1)
        frozen = fleet.owners()["phone"]
        fleet.freeze(frozen)
        fleet.darken("phone-0")
        await asyncio.sleep(FROZEN_S)
        fleet.thaw(frozen)
        jobs = await submit_some(fleet, 4)
        async with asyncio.timeout(RELEASED_S):
            await all_complete(fleet, jobs)

    play(day, entries=4)


def test_target_that_left_while_the_store_was_busy_is_not_waited_for_later(play):
    async def day(fleet: JobFleet) -> None:
        await asyncio.sleep(1)
        fleet.store.fault = StoreFault.BUSY
        fleet.end_worker("phone-0")
        await asyncio.sleep(3)
        fleet.store.fault = StoreFault.NONE
        await asyncio.sleep(2)
        fleet.kill(fleet.owners()["phone"])
        jobs = await submit_some(fleet, 4)
        async with asyncio.timeout(RELEASED_S):
            await all_complete(fleet, jobs)

    play(day, entries=4, workers=3)


def test_holders_that_restart_one_after_another_are_waited_for_once(play):
    async def day(fleet: JobFleet) -> None:
        await asyncio.sleep(1)
        fleet.darken("phone-0")
        for _ in range(2):
            owner = fleet.owners()["phone"]
            fleet.kill(owner)
            await fleet.until(lambda: "phone" in fleet.owners())
            await fleet.add_entry(owner)
        jobs = await submit_some(fleet, 4)
        async with asyncio.timeout(RELEASED_S):
            await all_complete(fleet, jobs)

    play(day, entries=4, workers=3)


def test_holder_gone_for_good_is_waited_for_once_whoever_follows_it(play):
    async def day(fleet: JobFleet) -> None:
        await asyncio.sleep(1)
        fleet.darken("phone-0")
        fleet.kill(fleet.owners()["phone"])
        await fleet.until(lambda: "phone" in fleet.owners())
        await asyncio.sleep(OUTWAITED_S)
        second = fleet.owners()["phone"]
        fleet.kill(second)
        await fleet.until(lambda: "phone" in fleet.owners())
        await fleet.add_entry(second)
        jobs = await submit_some(fleet, 4)
        async with asyncio.timeout(RELEASED_S):
            await all_complete(fleet, jobs)

    play(day, entries=4, workers=3)


@pytest.mark.parametrize("returns", [True, False])
def test_lasting_task_stands_still_no_longer_than_allowed_after_a_double_loss(
    play, returns
):
    async def day(fleet: JobFleet) -> None:
        steps = phases(4, long_running=True, max_unavailable=1)
        assert await fleet.submit("entry-0", "phone", job_id(1), steps) == 200
        running = fleet.judge.running
        await fleet.until(lambda: sum(map(len, running.values())) == 4)
        lost = next(one for one in fleet.workers.values() if one.runs)
        owner = fleet.owners()["phone"]
        fleet.darken(lost.name)
        lost.crash()
        fleet.kill(owner)
        async with asyncio.timeout(LASTING_S):
            await asyncio.sleep(1)
            if returns:
                await fleet.add_entry(owner)
            await fleet.until(lambda: sum(map(len, running.values())) == 4)

    play(day, entries=4, workers=3)
