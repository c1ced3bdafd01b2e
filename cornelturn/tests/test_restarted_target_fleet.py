"""A fleet in which a target restarts at its address, and its open connections hang.

The later life keeps the name and the address, so it would execute orders that its owner
means for the ended one, and those of owners of earlier versions it does execute.
"""

from __future__ import annotations

import asyncio

import pytest

from cornelturn.ownership.messages import HandOverDue
from cornelturn.platform.standin.documents import job_id, phases
from cornelturn.platform.targets import WorkerConnection
from cornelturn.targets.model import TargetLife
from cornelturn.targets.session import LEASE_MS
from cornelturn.tests.job_fleet import JobFleet, wait_until_completed

JOBS = [job_id(number) for number in range(1, 7)]
LATER_JOBS = [job_id(number) for number in range(7, 13)]
"""With the others as many tasks as the targets have cores."""

RUN_MS = 2_000
REPORT_OVERDUE_S = 0.3
"""Time for which the owner waits for a report of the ended life; it notices later."""

LONG_RUN_MS = 20_000
AGE_S = 4.0
"""Age of a life; by its clock, the later life gets a lease that is as much longer."""

LAPSED_S = 12.0
"""More than the longest lease that a target grants."""


@pytest.fixture
def any_life_gets_orders(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let owners start runs and grant leases on any life at the address of a target.

    Owners of earlier versions do so.
    """
    monkeypatch.setattr(WorkerConnection, "_is_own", lambda connection, report: True)


async def submit_jobs_at_restart(
    fleet: JobFleet, run_ms: int = RUN_MS, age_s: float = 1.0
) -> None:
    """Restart a worker, and submit jobs before its owner notices."""
    fleet.run_ms = run_ms
    await asyncio.sleep(age_s)
    await fleet.lose_and_restart_worker("phone-0")
    for job in JOBS:
        assert await fleet.submit("entry-0", "phone", job, phases(2)) == 200
    await asyncio.sleep(REPORT_OVERDUE_S)


async def start_jobs_on_restarted_worker(
    fleet: JobFleet, run_ms: int = RUN_MS, age_s: float = 1.0
) -> None:
    """Restart a worker, and let its owner start runs there before it notices."""
    await submit_jobs_at_restart(fleet, run_ms, age_s)
    assert fleet.workers["phone-0"].runs


def lease_ms(fleet: JobFleet, name: str) -> int:
    """Return how long the lease of a worker lasts by its own clock."""
    worker = fleet.workers[name]
    return worker.lease_deadline_ms - worker.now_ms()


@pytest.mark.usefixtures("any_life_gets_orders")
def test_owner_does_not_repeat_runs_of_a_restarted_target(play):
    async def day(fleet: JobFleet) -> None:
        await start_jobs_on_restarted_worker(fleet)
        await asyncio.sleep(RUN_MS / 1_000)
        fleet.list_worker("phone-0")
        await wait_until_completed(fleet, JOBS)

    fleet = play(day, entries=4, workers=3)
    assert set(fleet.checker.start_counts.values()) == {1}


@pytest.mark.usefixtures("any_life_gets_orders")
def test_next_owner_does_not_repeat_runs_of_a_restarted_target(play):
    async def day(fleet: JobFleet) -> None:
        await start_jobs_on_restarted_worker(fleet)
        entry = fleet.entries[fleet.owners()["phone"]]
        owner = entry.duties.owned_pools["phone"].owner
        entry.duties.handle_event(HandOverDue("phone"))
        await fleet.wait_until(
            lambda: fleet.owners().get("phone") and owner.is_stopping
        )
        await asyncio.sleep(RUN_MS / 1_000)
        fleet.list_worker("phone-0")
        await wait_until_completed(fleet, JOBS)

    fleet = play(day, entries=4, workers=3)
    assert set(fleet.checker.start_counts.values()) == {1}


@pytest.mark.usefixtures("any_life_gets_orders")
@pytest.mark.parametrize("is_noticed", [True, False])
def test_next_owner_does_not_repeat_runs_of_a_restarted_target_out_of_reach(
    play, is_noticed
):
    async def day(fleet: JobFleet) -> None:
        await start_jobs_on_restarted_worker(fleet, LONG_RUN_MS, AGE_S)
        worker = fleet.workers["phone-0"]
        entry = fleet.entries.pop(fleet.owners()["phone"])
        owner = entry.duties.owned_pools["phone"].owner
        if is_noticed:
            life = TargetLife(worker.name, worker.born_ms)
            await fleet.wait_until(lambda: life in owner.target_record.recorded)
        fleet.isolate_worker(worker.name)
        await entry.stop()
        await asyncio.sleep(LAPSED_S)

    play(day, entries=4, workers=3)


@pytest.mark.usefixtures("any_life_gets_orders")
def test_next_owner_waits_for_the_leases_of_a_restart_that_only_the_list_shows(play):
    async def day(fleet: JobFleet) -> None:
        await start_jobs_on_restarted_worker(fleet, LONG_RUN_MS, AGE_S)
        entry = fleet.entries.pop(fleet.owners()["phone"])
        fleet.isolate_worker("phone-0")
        await entry.stop()
        fleet.list_worker("phone-0")
        await asyncio.sleep(LAPSED_S)

    play(day, entries=4, workers=3)


def test_successor_of_a_killed_owner_does_not_repeat_runs_of_a_restarted_target(play):
    """Guards against a lease by the clock of the ended life, longer than is waited."""

    async def day(fleet: JobFleet) -> None:
        await submit_jobs_at_restart(fleet, LONG_RUN_MS, AGE_S)
        assert lease_ms(fleet, "phone-0") <= LEASE_MS
        fleet.isolate_worker("phone-0")
        fleet.kill_entry(fleet.owners()["phone"])
        await asyncio.sleep(LAPSED_S)

    play(day, entries=4, workers=3)


@pytest.mark.parametrize("after_ms", [0, 300, 1_000])
def test_lease_of_a_restarted_target_is_by_its_own_clock_whenever_its_owner_is_killed(
    play, after_ms
):
    async def day(fleet: JobFleet) -> None:
        await submit_jobs_at_restart(fleet, LONG_RUN_MS, AGE_S)
        fleet.list_worker("phone-0")
        for job in LATER_JOBS:
            assert await fleet.submit("entry-0", "phone", job, phases(2)) == 200
        await fleet.wait_until(lambda: bool(fleet.workers["phone-0"].runs))
        await asyncio.sleep(after_ms / 1_000)
        assert 0 < lease_ms(fleet, "phone-0") <= LEASE_MS
        fleet.isolate_worker("phone-0")
        fleet.kill_entry(fleet.owners()["phone"])
        await asyncio.sleep(LAPSED_S)

    play(day, entries=4, workers=3)
