"""End-to-end tests of job entries on a fake clock, checked by what workers observe."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from cornelturn.ownership.messages import RowWrite
from cornelturn.platform.standin.documents import configuration, job_id, phases
from cornelturn.platform.standin.rows import StoreFault
from cornelturn.tests.job_fleet import JobFleet, submit_jobs, wait_until_completed


def owner_of(fleet: JobFleet, pool: str = "phone") -> str:
    return fleet.owners()[pool]


def test_jobs_run_their_steps_in_order(play):
    async def scenario(fleet: JobFleet) -> None:
        await wait_until_completed(fleet, await submit_jobs(fleet, 6))

    fleet = play(scenario)
    assert set(fleet.checker.start_counts.values()) == {1}


def test_same_id_submitted_at_several_entries_is_one_job(play):
    async def scenario(fleet: JobFleet) -> None:
        for entry in fleet.entries:
            assert await fleet.submit(entry, "phone", job_id(1), phases(2)) == 200
        await wait_until_completed(fleet, [job_id(1)])
        assert await fleet.submit("entry-0", "phone", job_id(1), phases(2)) == 200
        await asyncio.sleep(3)

    assert set(play(scenario).checker.start_counts.values()) == {1}


def test_invalid_input_gets_an_error_status_and_starts_nothing(play):
    async def scenario(fleet: JobFleet) -> None:
        path = f"/phone/{job_id(1)}"
        bad = (
            b"{",
            b"\xff",
            b"[]",
            b'{"spec":1,"phases":[{"count":1}]}',
            b'{"spec":"x","phases":[]}',
            b'{"spec":"x","phases":[{"count":-1}]}',
            b'{"spec":"x","phases":[{"count":1,"after":[0]}]}',
            # Larger than a row of the store.
            b'{"spec":"x","phases":[{"count":1,"image":"' + b"x" * 70_000 + b'"}]}',
        )
        for body in bad:
            assert (await fleet.call("entry-0", "POST", path, body))[0] == 400
        large = b" " * 300_000
        assert (await fleet.call("entry-0", "POST", path, large))[0] == 413
        assert (await fleet.call("entry-0", "POST", "/phone/xyz", b"{}"))[0] == 400
        assert (await fleet.call("entry-0", "POST", "/none/xyz", b"{}"))[0] == 404
        assert await fleet.job_state("entry-0", "phone", job_id(1)) == "410"

    assert not play(scenario).checker.start_counts


def test_cancelled_job_stops_and_stays_cancelled(play):
    async def scenario(fleet: JobFleet) -> None:
        steps = phases(2, is_lasting=True, max_unavailable=1)
        assert await fleet.submit("entry-0", "phone", job_id(1), steps) == 200
        await fleet.wait_until(lambda: sum(fleet.checker.start_counts.values()) == 2)
        path = f"/phone/{job_id(1)}"
        assert (await fleet.call("entry-1", "DELETE", path))[0] == 200
        await fleet.wait_until(
            lambda: not any(fleet.checker.workers_by_task.values()), 3.0
        )
        assert await fleet.job_state("entry-2", "phone", job_id(1)) == "cancelled"

    play(scenario)


def test_pending_counts_jobs_that_have_not_started(play):
    async def scenario(fleet: JobFleet) -> None:
        fleet.run_ms = 20_000
        for number in range(5):
            job = job_id(number)
            assert await fleet.submit("entry-0", "phone", job, phases(1, cpu=8_000))
        await asyncio.sleep(2)
        for entry in fleet.entries:
            status, body = await fleet.call(entry, "GET", "/phone/")
            assert (status, body) == (200, {"pending": 3})

    play(scenario)


def test_killed_owner_loses_no_job_and_repeats_no_run(play):
    async def scenario(fleet: JobFleet) -> None:
        fleet.run_ms = 2_000
        jobs = await submit_jobs(fleet, 8)
        await asyncio.sleep(0.7)
        fleet.kill_entry(owner_of(fleet))
        jobs += await submit_jobs(fleet, 3, first=50)
        await wait_until_completed(fleet, jobs)

    fleet = play(scenario)
    assert set(fleet.checker.start_counts.values()) == {1}


def test_owner_that_resumes_after_a_freeze_starts_nothing_twice(play):
    async def scenario(fleet: JobFleet) -> None:
        fleet.run_ms = 1_500
        jobs = await submit_jobs(fleet, 8)
        await asyncio.sleep(0.3)
        frozen = owner_of(fleet)
        fleet.pause_entry(frozen)
        await asyncio.sleep(5)
        fleet.resume_entry(frozen)
        await wait_until_completed(fleet, jobs)

    play(scenario)


def test_jobs_complete_after_all_entries_are_killed_and_restarted(play):
    async def scenario(fleet: JobFleet) -> None:
        fleet.run_ms = 1_500
        jobs = await submit_jobs(fleet, 8)
        await asyncio.sleep(0.4)
        for name in list(fleet.entries):
            fleet.kill_entry(name)
        await asyncio.sleep(1)
        for number in range(3):
            await fleet.add_entry(f"entry-{number}")
        await fleet.wait_until(lambda: len(fleet.owners()) == 2)
        await wait_until_completed(fleet, jobs)

    play(scenario)


def test_isolated_worker_keeps_its_tasks_until_its_lease_lapses(play):
    async def scenario(fleet: JobFleet) -> None:
        fleet.run_ms = 4_000
        jobs = await submit_jobs(fleet, 4)
        await asyncio.sleep(0.5)
        fleet.isolate_worker("phone-0")
        await wait_until_completed(fleet, jobs)

    play(scenario)


def test_jobs_complete_after_the_owner_is_killed_while_a_worker_is_isolated(play):
    async def scenario(fleet: JobFleet) -> None:
        fleet.run_ms = 4_000
        jobs = await submit_jobs(fleet, 4)
        await asyncio.sleep(0.5)
        fleet.isolate_worker("phone-0")
        await asyncio.sleep(0.3)
        fleet.kill_entry(owner_of(fleet))
        await wait_until_completed(fleet, jobs)

    play(scenario, entries=4)


@pytest.mark.parametrize("fault", [StoreFault.BUSY, StoreFault.SILENT])
def test_store_outage_refuses_new_jobs_at_once_and_runs_accepted_ones(play, fault):
    async def scenario(fleet: JobFleet) -> None:
        jobs = await submit_jobs(fleet, 3)
        await asyncio.sleep(0.1)
        fleet.store.fault = fault
        started_ms = fleet.now_ms()
        status = await fleet.submit("entry-0", "phone", job_id(90), phases(1))
        assert status in (503, 504)
        assert fleet.now_ms() - started_ms < 4_000
        await asyncio.sleep(3)
        assert len(fleet.checker.completed) == 15
        fleet.store.fault = StoreFault.NONE
        await wait_until_completed(fleet, jobs)

    play(scenario)


def test_lost_answers_of_the_store_start_nothing_twice(play):
    async def scenario(fleet: JobFleet) -> None:
        jobs = await submit_jobs(fleet, 4)
        fleet.store.fault = StoreFault.LOST_ANSWERS
        await asyncio.sleep(3)
        fleet.store.fault = StoreFault.NONE
        await wait_until_completed(fleet, jobs)

    play(scenario)


def test_discarded_store_history_loses_nothing(play):
    async def scenario(fleet: JobFleet) -> None:
        jobs = await submit_jobs(fleet, 3)
        fleet.store.discard_history()
        jobs += await submit_jobs(fleet, 3, first=10)
        fleet.store.put("op", "config", configuration(2))
        fleet.store.discard_history()
        await wait_until_completed(fleet, jobs)
        for entry in fleet.entries.values():
            assert entry.operator_watch.current.version == 2

    play(scenario)


def test_start_orders_executed_late_run_once(play):
    async def scenario(fleet: JobFleet) -> None:
        fleet.workers["phone-0"].start_delay_ms = 4_000
        jobs = await submit_jobs(fleet, 4)
        await asyncio.sleep(6)
        fleet.workers["phone-0"].start_delay_ms = 0
        await wait_until_completed(fleet, jobs)

    play(scenario)


def test_configuration_is_in_force_everywhere_in_time_and_never_reverts(play):
    async def scenario(fleet: JobFleet) -> None:
        fleet.store.put("op", "config", configuration(9, ("phone",)))
        await asyncio.sleep(1)
        for entry in fleet.entries:
            assert (await fleet.call(entry, "GET", "/mail/"))[0] == 404
        fleet.store.put("op", "config", configuration(5))
        await asyncio.sleep(1)
        for entry in fleet.entries:
            assert (await fleet.call(entry, "GET", "/mail/"))[0] == 404

    play(scenario)


def test_wave_takes_every_machine_down_once_within_its_cap(play):
    async def scenario(fleet: JobFleet) -> None:
        jobs = await submit_jobs(fleet, 4)
        machines = [f"m-phone-{number}" for number in range(3)]
        wave = {
            "rollout_batch": 1,
            "machines": machines,
            "duration_s": 20,
            "cap": 1,
        }
        fleet.store.put("op", "wave/1", msgspec.json.encode(wave))
        await asyncio.sleep(18)
        assert fleet.store.read_value("status", "wave/1") == b'{"state":"completed"}'
        for name in machines:
            assert fleet.machines.machines[name].upkeep_count == 1
        assert fleet.machines.max_down == 1
        await wait_until_completed(fleet, jobs)

    play(scenario, workers=3)


def test_planned_stop_hands_its_pools_over_at_once(play):
    async def scenario(fleet: JobFleet) -> None:
        fleet.run_ms = 1_000
        jobs = await submit_jobs(fleet, 6)
        await asyncio.sleep(0.3)
        leaving = owner_of(fleet)
        stopping = asyncio.create_task(fleet.entries[leaving].stop())
        await asyncio.sleep(1)
        assert owner_of(fleet) != leaving
        await stopping
        del fleet.entries[leaving]
        await wait_until_completed(fleet, jobs)

    fleet = play(scenario)
    assert set(fleet.checker.start_counts.values()) == {1}


def test_small_jobs_are_on_time_while_large_ones_fill_the_pool(play):
    async def scenario(fleet: JobFleet) -> None:
        large = [job_id(number) for number in range(2)]
        small = [job_id(100 + number) for number in range(8)]
        for job in large:
            await fleet.submit("entry-0", "phone", job, phases(24, cpu=4_000))
        for job in small:
            await fleet.submit("entry-1", "phone", job, phases(2))
        due_s = 1.6 * 0.3 + 0.6
        for job in small:
            await fleet.wait_for_state("phone", job, "completed", due_s)
        await wait_until_completed(fleet, large)

    play(scenario, workers=1)


def test_queue_with_a_hint_refuses_all_jobs(play):
    async def scenario(fleet: JobFleet) -> None:
        document = msgspec.json.decode(configuration(2))
        document["routes"][0]["hint"] = {"decision_ms": 5}
        fleet.store.put("op", "config", msgspec.json.encode(document))
        await asyncio.sleep(1)
        status = await fleet.submit("entry-0", "phone", job_id(1), phases(1))
        assert status == 503
        assert await fleet.job_state("entry-0", "phone", job_id(1)) == "410"

    assert not play(scenario).checker.start_counts


def test_target_gets_no_start_before_the_duty_row_of_its_pool_lists_it(play):
    async def scenario(fleet: JobFleet) -> None:
        fleet.run_ms = 5_000
        owned = fleet.entries[fleet.owners()["phone"]].duties.owned_pools["phone"].owner
        written = asyncio.Event()
        record = owned.target_record.record_targets

        async def record_late(*args: object) -> RowWrite:
            await written.wait()
            return await record(*args)

        owned.target_record.record_targets = record_late
        late = await fleet.add_worker("phone-late", "phone")
        for number in range(4):
            job = job_id(number)
            assert await fleet.submit("entry-0", "phone", job, phases(1, cpu=8_000))
        await asyncio.sleep(3)
        assert not late.runs
        written.set()
        await asyncio.sleep(1)
        assert late.runs

    play(scenario)


def test_worker_that_fails_every_run_fails_no_job_in_a_full_pool(play):
    async def scenario(fleet: JobFleet) -> None:
        fleet.workers["phone-0"].should_fail = lambda run: True
        fleet.workers["phone-0"].run_duration_ms = lambda run: 5
        jobs = [job_id(number) for number in range(24)]
        for job in jobs:
            assert await fleet.submit("entry-0", "phone", job, phases(4)) == 200
        await wait_until_completed(fleet, jobs)

    play(scenario, workers=4)
