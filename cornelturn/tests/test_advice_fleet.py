"""Fleet tests of a queue whose targets a service must approve.

No worker may get a start without a valid ticket, whatever happens to the answers.
"""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from cornelturn.platform.documents import decode_job_body
from cornelturn.platform.standin.documents import configuration, job_id, phases
from cornelturn.tests.job_fleet import JobFleet, wait_until_completed

PHONE = frozenset({"phone"})
JOB_PLAIN = job_id(99)


@pytest.fixture
def play_approved(play):
    """Return a function that plays a script with a queue that needs approval.

    It fails if any start lacked a valid ticket.
    """

    def run(script, **sizes: int) -> JobFleet:
        fleet = play(script, approval_pools=PHONE, **sizes)
        assert fleet.approvals.rejected_starts == 0
        return fleet

    return run


async def submit(fleet: JobFleet, *numbers: int, widths=(3, 2)) -> list[str]:
    jobs = [job_id(number) for number in numbers]
    for job in jobs:
        assert await fleet.submit("entry-0", "phone", job, phases(*widths)) == 200
    return jobs


def test_job_is_completed_on_approved_workers_only(play_approved):
    async def scenario(fleet: JobFleet) -> None:
        fleet.approvals.is_approved = lambda step, worker: worker == "phone-1"
        jobs = await submit(fleet, 1)
        await fleet.wait_until(lambda: fleet.checker.start_counts)
        assert not fleet.workers["phone-0"].runs
        await wait_until_completed(fleet, jobs)

    fleet = play_approved(scenario)
    assert {call.phase for call in fleet.approvals.calls} == {
        f"{job_id(1)}.0.0",
        f"{job_id(1)}.0.1",
    }


def test_second_step_starts_without_waiting_for_the_service(play_approved):
    async def scenario(fleet: JobFleet) -> None:
        fleet.run_ms = 2_000
        jobs = await submit(fleet, 1, widths=(1, 1))
        await fleet.wait_until(lambda: len(fleet.approvals.calls) == 2)
        runs = [run for worker in fleet.workers.values() for run in worker.runs]
        assert [run.task.step for run in runs] == [0]
        await wait_until_completed(fleet, jobs)

    calls = play_approved(scenario).approvals.calls
    assert [call.phase[-1] for call in calls] == ["0", "1"]


@pytest.mark.parametrize("fault", ["lost_answers", "busy_answers", "malformed_answers"])
def test_steps_are_asked_about_again_after_a_failed_call(play_approved, fault):
    """A call that fails must not leave its step waiting, nor start it unapproved."""

    async def scenario(fleet: JobFleet) -> None:
        setattr(fleet.approvals, fault, 3)
        await wait_until_completed(fleet, await submit(fleet, 1, 2))

    assert len(play_approved(scenario).approvals.calls) >= 7


def test_other_queue_of_the_pool_starts_while_the_service_is_silent(play_approved):
    """Steps with equal needs share a place in the start order unless kept apart."""

    async def scenario(fleet: JobFleet) -> None:
        fleet.approvals.lost_answers = 1_000
        document = msgspec.json.decode(
            configuration(2, approval_pools=PHONE, times=fleet.approvals.times)
        )
        route = document["routes"][1]
        document["routes"].append(
            route | {"name": "q-plain", "path_prefix": "/plain/", "service": "phone"}
        )
        fleet.store.put("op", "config", msgspec.json.encode(document))
        for worker in fleet.workers.values():
            worker.is_ticket_valid = lambda run, name, ticket: run.task.job == JOB_PLAIN
        await asyncio.sleep(1)
        await submit(fleet, *range(10))
        body = msgspec.json.encode({"spec": "text", "phases": phases(4, 2)})
        spec = decode_job_body(body, JOB_PLAIN, "q-plain", "phone").unwrap()
        fleet.checker.jobs[JOB_PLAIN] = spec
        path = f"/plain/{JOB_PLAIN}"
        assert (await fleet.call("entry-0", "POST", path, body))[0] == 200
        await asyncio.sleep(3)
        assert (await fleet.call("entry-0", "GET", path))[1] == {"state": "completed"}

    started = play_approved(scenario).checker.start_counts
    assert {task.job for task in started} == {JOB_PLAIN}


def test_burst_of_steps_is_served_one_call_at_a_time(play_approved):
    async def scenario(fleet: JobFleet) -> None:
        await wait_until_completed(fleet, await submit(fleet, *range(12)))

    fleet = play_approved(scenario, workers=4)
    assert fleet.approvals.most_waiting == 1
    assert len(fleet.approvals.calls) <= 30


def test_restarted_worker_gets_no_start_with_a_ticket_of_its_earlier_life(
    play_approved,
):
    async def scenario(fleet: JobFleet) -> None:
        fleet.approvals.is_approved = lambda step, worker: worker == "phone-0"
        fleet.run_ms = 1_500
        jobs = await submit(fleet, 1, widths=(12,))
        await fleet.wait_until(lambda: len(fleet.checker.start_counts) == 8)
        await fleet.restart_worker("phone-0")
        await wait_until_completed(fleet, jobs)

    play_approved(scenario)


def test_next_owner_asks_again_after_the_loss_of_the_owner(play_approved):
    """Tickets die with their owner; the steps must not wait for them for ever."""

    async def scenario(fleet: JobFleet) -> None:
        owner = fleet.owners()["phone"]
        entry = next(name for name in fleet.entries if name != owner)
        job = job_id(1)
        assert await fleet.submit(entry, "phone", job, phases(2, 1)) == 200
        await fleet.wait_until(lambda: fleet.approvals.answer_count)
        fleet.kill_entry(owner)
        await wait_until_completed(fleet, [job])

    fleet = play_approved(scenario)
    assert len(fleet.approvals.calls) >= 3


def test_tickets_that_end_while_the_pool_is_full_are_renewed(play_approved):
    async def scenario(fleet: JobFleet) -> None:
        fleet.run_ms = 4_000
        await wait_until_completed(fleet, await submit(fleet, 1, widths=(40,)))

    play_approved(scenario)


def test_step_whose_targets_are_all_refused_is_not_asked_about_forever(play_approved):
    async def scenario(fleet: JobFleet) -> None:
        fleet.approvals.is_approved = lambda step, worker: worker == "phone-new"
        jobs = await submit(fleet, 1, widths=(1,))
        await asyncio.sleep(10)
        named = [name for call in fleet.approvals.calls for name in call.workers]
        assert sorted(named) == ["phone-0", "phone-1"]
        assert not fleet.checker.start_counts
        await fleet.add_worker("phone-new", "phone")
        await wait_until_completed(fleet, jobs)

    assert play_approved(scenario).approvals.calls[-1].workers == ("phone-new",)
