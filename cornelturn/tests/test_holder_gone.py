"""Takeovers from holders that still run, answer, stop or stay silent."""

from __future__ import annotations

import asyncio

import pytest

from cornelturn.fleet.lease import LeaseRow
from cornelturn.ownership.duties import Holder, has_given_up
from cornelturn.peering.messages import OpenRuns, PeerAddress
from cornelturn.platform.standin.documents import job_id, phases
from cornelturn.platform.standin.rows import StoreFault
from cornelturn.scheduling.takeover import JobScan, Takeover, barrier_ms
from cornelturn.targets.model import TargetLife
from cornelturn.tests.job_fleet import JobFleet, submit_jobs, wait_until_completed

UNREACHABLE = TargetLife("t-1", 1)
REACHABLE = TargetLife("t-2", 1)
COMPLETION_S = 4.0
"""Time for a query of the holder, one a second, a read of the jobs, and two steps."""

RECONCILED_S = 0.2
"""Time for all entries to read the rows after a takeover."""

OBSERVED_S = 3.0
"""Less than the lease of a worker that the successor does not reach."""

HOLDER = Holder("a", incarnation=3, generation=5)
FROZEN_S = 5.0
JOBS_RESUMED_S = 11.0
"""Time for two reads of the rows, a lease of 5 s and two steps of a job."""

TASK_RESUMED_S = 9.0
"""A lasting task may pause for 6 s, and 3 s more until it runs again."""

LARGE_CORES = 8.0
MACHINE_MOVES_S = 6.0
"""Time for machines to move to the pool that is short of them."""

MAX_IDLE_S = 3.0
"""Longest time without a start while there is free capacity."""

DEAD_HOLDER_S = 12.0
"""Nearly as long as a holder may act that has lost the store."""


def lease(incarnation: int, **given_up: int) -> LeaseRow:
    return LeaseRow(PeerAddress("a", incarnation, ""), 1, given_up)


def test_holder_has_given_up_once_its_lease_lists_its_generation():
    assert not has_given_up("phone", HOLDER, lease(3))
    assert not has_given_up("phone", HOLDER, lease(3, phone=4))
    assert not has_given_up("phone", HOLDER, lease(3, mail=5))
    assert has_given_up("phone", HOLDER, lease(3, phone=5))
    assert has_given_up("phone", HOLDER, lease(4))
    assert not has_given_up("phone", HOLDER, lease(2, phone=5))


def test_inactive_predecessor_shortens_the_wait_to_one_lease():
    takeover = Takeover(10, barrier_ms(False, 12_000), False, {UNREACHABLE})
    assert takeover.next_scan({UNREACHABLE}, 1_000) == JobScan(True, False)
    takeover.predecessors_inactive(revision=20, since_ms=2_000)
    lease_ms = barrier_ms(True, 0)
    assert takeover.next_scan({UNREACHABLE}, 1_999 + lease_ms) is None
    assert takeover.next_scan({UNREACHABLE}, 2_000 + lease_ms) == JobScan(False, True)


def test_jobs_newer_than_the_inactive_predecessor_are_not_held_back():
    takeover = Takeover(10, barrier_ms(False, 12_000), False, {UNREACHABLE})
    assert takeover.may_have_run("job", 21, False)
    takeover.predecessors_inactive(revision=20, since_ms=2_000)
    assert takeover.may_have_run("job", 20, False)
    assert not takeover.may_have_run("job", 21, False)


def test_late_proof_of_inactivity_does_not_prolong_the_wait():
    takeover = Takeover(10, 5_000, False, {UNREACHABLE})
    takeover.predecessors_inactive(revision=20, since_ms=4_000)
    assert takeover.barrier_ms == 5_000


def test_predecessor_answer_lists_jobs_an_unreachable_worker_may_still_run():
    takeover = Takeover(10, barrier_ms(False, 12_000), False, {UNREACHABLE, REACHABLE})
    takeover.unreported.discard(REACHABLE)
    assert takeover.next_scan({UNREACHABLE}, 1_000) == JobScan(True, False)
    runs = (OpenRuns(UNREACHABLE, ("dark",)), OpenRuns(REACHABLE, ("other",)))
    takeover.predecessor_answered(runs, now_ms=2_000)
    assert takeover.may_have_run("new", 21, False)
    scan = takeover.next_scan({UNREACHABLE}, 2_001)
    assert scan == JobScan(False, False, is_after_handover=True)
    takeover.finish_scan(scan)
    assert takeover.may_have_run("dark", 5, False)
    assert not takeover.may_have_run("other", 5, True)
    assert not takeover.may_have_run("new", 21, False)


def test_rows_read_before_the_predecessor_answered_release_no_job():
    takeover = Takeover(10, barrier_ms(False, 12_000), False, {UNREACHABLE})
    first = takeover.next_scan({UNREACHABLE}, 1_000)
    takeover.predecessor_answered((), now_ms=1_001)
    takeover.finish_scan(first)
    assert takeover.may_have_run("new", 21, False)


def test_predecessor_answer_shortens_the_wait_to_one_lease():
    takeover = Takeover(10, barrier_ms(False, 12_000), False, {UNREACHABLE})
    takeover.predecessor_answered((OpenRuns(UNREACHABLE, ("dark",)),), now_ms=100)
    assert takeover.next_scan({UNREACHABLE}, 250) == JobScan(True, False, True)
    lease_ms = barrier_ms(True, 0)
    assert takeover.next_scan({UNREACHABLE}, 99 + lease_ms) is None
    assert takeover.next_scan({UNREACHABLE}, 100 + lease_ms) == JobScan(
        False, True, True
    )


def test_owner_cut_off_only_from_the_store_holds_no_jobs_back(play):
    async def day(fleet: JobFleet) -> None:
        fleet.run_ms = 8_000
        await submit_jobs(fleet, 2)
        await asyncio.sleep(1)
        holder = fleet.owners()["phone"]
        fleet.isolate_worker("phone-0")
        fleet.disconnect_from_store(holder)
        await fleet.wait_until(lambda: set(fleet.holders("phone")) - {holder})
        fleet.run_ms = 300
        (successor,) = set(fleet.holders("phone")) - {holder}
        assert await fleet.submit(successor, "phone", job_id(900), phases(3, 2)) == 200
        await fleet.wait_for_state("phone", job_id(900), "completed", COMPLETION_S)

    fleet = play(day, entries=4, workers=4)
    assert set(fleet.checker.start_counts.values()) <= {1}


def test_jobs_after_a_takeover_from_a_dead_owner_wait_for_no_unreachable_worker(play):
    async def day(fleet: JobFleet) -> None:
        await asyncio.sleep(1)
        fleet.isolate_worker("phone-0")
        fleet.kill_entry(fleet.owners()["phone"])
        await fleet.wait_until(lambda: fleet.holders("phone"))
        await asyncio.sleep(RECONCILED_S)
        entry = next(iter(fleet.entries))
        assert await fleet.submit(entry, "phone", job_id(900), phases(3, 2)) == 200
        await fleet.wait_for_state("phone", job_id(900), "completed", COMPLETION_S)

    play(day, entries=4, workers=4)


def test_run_whose_end_a_cut_off_owner_could_not_write_is_not_repeated(play):
    async def day(fleet: JobFleet) -> None:
        fleet.run_ms = 1_000
        await asyncio.sleep(1)
        holder = fleet.owners()["phone"]
        (job,) = await submit_jobs(fleet, 1)
        fleet.disconnect_from_store(holder)
        for entry in set(fleet.entries) - {holder}:
            fleet.disconnect_from_worker(entry, "phone-0")
        await fleet.wait_until(lambda: set(fleet.holders("phone")) - {holder})
        await asyncio.sleep(OBSERVED_S)
        assert set(fleet.checker.start_counts.values()) == {1}
        fleet.network.cut_pairs.clear()
        await wait_until_completed(fleet, [job])

    fleet = play(day, entries=4, workers=4)
    assert set(fleet.checker.start_counts.values()) == {1}


def test_jobs_resume_soon_after_a_frozen_holder_wakes_with_a_worker_cut_off(play):
    async def day(fleet: JobFleet) -> None:
        await asyncio.sleep(1)
        frozen = fleet.owners()["phone"]
        fleet.pause_entry(frozen)
        fleet.isolate_worker("phone-0")
        await asyncio.sleep(FROZEN_S)
        fleet.resume_entry(frozen)
        jobs = await submit_jobs(fleet, 4)
        async with asyncio.timeout(JOBS_RESUMED_S):
            await wait_until_completed(fleet, jobs)

    play(day, entries=4)


def test_target_that_left_while_the_store_was_busy_is_not_waited_for_later(play):
    async def day(fleet: JobFleet) -> None:
        await asyncio.sleep(1)
        fleet.store.fault = StoreFault.BUSY
        fleet.remove_worker("phone-0")
        await asyncio.sleep(3)
        fleet.store.fault = StoreFault.NONE
        await asyncio.sleep(2)
        fleet.kill_entry(fleet.owners()["phone"])
        jobs = await submit_jobs(fleet, 4)
        async with asyncio.timeout(JOBS_RESUMED_S):
            await wait_until_completed(fleet, jobs)

    play(day, entries=4, workers=3)


def test_holders_that_restart_one_after_another_are_waited_for_once(play):
    async def day(fleet: JobFleet) -> None:
        await asyncio.sleep(1)
        fleet.isolate_worker("phone-0")
        for _ in range(2):
            owner = fleet.owners()["phone"]
            fleet.kill_entry(owner)
            await fleet.wait_until(lambda: "phone" in fleet.owners())
            await fleet.add_entry(owner)
        jobs = await submit_jobs(fleet, 4)
        async with asyncio.timeout(JOBS_RESUMED_S):
            await wait_until_completed(fleet, jobs)

    play(day, entries=4, workers=3)


def test_dead_holder_is_waited_for_once_across_two_takeovers(play):
    async def day(fleet: JobFleet) -> None:
        await asyncio.sleep(1)
        fleet.isolate_worker("phone-0")
        fleet.kill_entry(fleet.owners()["phone"])
        await fleet.wait_until(lambda: "phone" in fleet.owners())
        await asyncio.sleep(DEAD_HOLDER_S)
        second = fleet.owners()["phone"]
        fleet.kill_entry(second)
        await fleet.wait_until(lambda: "phone" in fleet.owners())
        await fleet.add_entry(second)
        jobs = await submit_jobs(fleet, 4)
        async with asyncio.timeout(JOBS_RESUMED_S):
            await wait_until_completed(fleet, jobs)

    play(day, entries=4, workers=3)


@pytest.mark.parametrize("returns", [True, False])
def test_lasting_task_pauses_no_longer_than_allowed_after_a_double_loss(play, returns):
    async def day(fleet: JobFleet) -> None:
        steps = phases(4, is_lasting=True, max_unavailable=1)
        assert await fleet.submit("entry-0", "phone", job_id(1), steps) == 200
        running = fleet.checker.workers_by_task
        await fleet.wait_until(lambda: sum(map(len, running.values())) == 4)
        lost = next(worker for worker in fleet.workers.values() if worker.runs)
        owner = fleet.owners()["phone"]
        fleet.isolate_worker(lost.name)
        lost.crash()
        fleet.kill_entry(owner)
        async with asyncio.timeout(TASK_RESUMED_S):
            await asyncio.sleep(1)
            if returns:
                await fleet.add_entry(owner)
            await fleet.wait_until(lambda: sum(map(len, running.values())) == 4)

    play(day, entries=4, workers=3)


def test_run_of_an_isolated_holder_is_not_started_again(play):
    async def day(fleet: JobFleet) -> None:
        fleet.run_ms = 11_000
        await asyncio.sleep(1)
        holder = fleet.owners()["phone"]
        await submit_jobs(fleet, 6)
        await asyncio.sleep(0.3)
        fleet.disconnect_from_store(holder)
        for entry in set(fleet.entries) - {holder}:
            labels = [fleet.entries[name].label for name in (holder, entry)]
            fleet.network.silence(*labels)
            for worker in [name for name in fleet.workers if name.startswith("phone")]:
                fleet.disconnect_from_worker(entry, worker)
        await asyncio.sleep(10.0)

    fleet = play(day, entries=4, workers=4)
    assert fleet.checker.violations == []


def test_planned_stop_while_the_store_is_briefly_busy_holds_no_jobs_back(play):
    async def day(fleet: JobFleet) -> None:
        await asyncio.sleep(1)
        fleet.isolate_worker("phone-0")
        stopped = fleet.entries.pop(fleet.owners()["phone"])
        fleet.store.fault = StoreFault.BUSY
        stopping = asyncio.create_task(stopped.stop())
        await asyncio.sleep(1)
        fleet.store.fault = StoreFault.NONE
        await stopping
        jobs = await submit_jobs(fleet, 4)
        async with asyncio.timeout(JOBS_RESUMED_S):
            await wait_until_completed(fleet, jobs)

    play(day, entries=4, workers=3)


def test_waiting_jobs_start_after_a_hand_over_with_a_worker_cut_off(play):
    async def day(fleet: JobFleet) -> None:
        fleet.run_ms = 60_000
        for number in range(6):
            steps = phases(1, cpu=8_000)
            assert await fleet.submit("entry-0", "phone", job_id(number), steps) == 200
        await asyncio.sleep(MACHINE_MOVES_S)
        fleet.processors["entry-1"] = LARGE_CORES
        await fleet.add_entry("entry-1")
        cut_off, ended, *_ = (
            worker for worker in fleet.workers.values() if worker.runs
        )
        await fleet.wait_until(lambda: fleet.entries["entry-1"].is_ready())
        fleet.isolate_worker(cut_off.name)
        await fleet.wait_until(lambda: fleet.owners().get("phone") == "entry-1")
        starts = len(fleet.checker.start_counts)
        (run,) = ended.runs
        path = f"/phone/{run.task.job}"
        assert (await fleet.call("entry-1", "DELETE", path))[0] == 200
        await fleet.wait_until(
            lambda: len(fleet.checker.start_counts) > starts, MAX_IDLE_S
        )

    play(day, entries=1)
