"""Targets with more ends than one report lists, as after an outage of the store.

A run that has ended after those that are listed is neither active nor among them; it
must not be taken for lost.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from cornelturn.jobs.model import EndKind, Resources, Run, RunEnd, Step
from cornelturn.platform.standin.documents import job_id, phases
from cornelturn.platform.targets import MAX_LISTED_ENDS
from cornelturn.scheduling.evacuation import STALL_TIMEOUT_MS
from cornelturn.scheduling.owner import PoolOwner
from cornelturn.scheduling.pool import PoolScheduler
from cornelturn.scheduling.takeover import FIRST_REPORTS_TIMEOUT_MS, Takeover
from cornelturn.targets.model import ActiveRun, Executed, StartOrder, StopOrder
from cornelturn.tests.job_fleet import JobFleet, wait_until_completed
from cornelturn.tests.pool_jobs import (
    LIFE,
    add,
    job_row,
    planned_starts,
    report,
    target,
    write_all,
)
from cornelturn.tests.test_unwritten_ends import ReadOnlyJobs

JOBS = [job_id(number) for number in range(1, 9)]
TASKS = 100
OUTAGE_S = 3.0


@pytest.fixture
def scheduler() -> PoolScheduler:
    """Return a scheduler with one reachable target."""
    scheduler = PoolScheduler("pool", 1)
    scheduler.update_targets([target(LIFE)], 0)
    scheduler.handle_report(report(LIFE), 0, 0)
    scheduler.mark_loaded(0)
    return scheduler


@pytest.fixture
def run(scheduler: PoolScheduler) -> Run:
    """Return a run that its target has listed as active."""
    add(scheduler, job_row(Step(1, Resources(1_000, 1))), version=1)
    (run,) = planned_starts(scheduler)
    scheduler.handle_order_result(LIFE, StartOrder(run, "text"), Executed(), 1)
    scheduler.handle_report(report(LIFE, active=(ActiveRun(run, "", 1),)), 2, 2)
    return run


def partial_report(clock_ms: int = 0):
    return replace(report(LIFE), clock_ms=clock_ms, is_complete=False)


def test_run_that_a_partial_report_leaves_out_is_not_started_again(scheduler, run):
    scheduler.handle_report(partial_report(), 3, 4)
    assert planned_starts(scheduler, 4) == []
    end = RunEnd(1, run, EndKind.DONE)
    scheduler.handle_report(report(LIFE, ended=(end,)), 5, 6)
    write_all(scheduler, version=2)
    assert not scheduler.jobs


def test_run_that_a_complete_report_leaves_out_is_started_again(scheduler, run):
    scheduler.handle_report(partial_report(), 3, 4)
    scheduler.handle_report(report(LIFE), 5, 6)
    assert len(planned_starts(scheduler, 6)) == 1


def test_run_that_a_partial_report_leaves_out_is_not_stalled(scheduler, run):
    scheduler.handle_report(partial_report(STALL_TIMEOUT_MS + 1), 3, 4)
    orders = [planned.order for planned in scheduler.plan(4)]
    assert StopOrder(run) not in orders


def test_partial_report_may_hide_runs_from_the_next_owner(scheduler):
    scheduler.handle_report(partial_report(), 3, 4)
    assert scheduler.may_hide_runs(scheduler.targets[LIFE])


def test_takeover_holds_jobs_back_until_all_ends_are_listed():
    takeover = Takeover(10, 5_000, True, {LIFE})
    assert not takeover.note_report(LIFE, is_complete=False)
    takeover.finish_scan(takeover.next_scan({LIFE}, FIRST_REPORTS_TIMEOUT_MS))
    takeover.finish_scan(takeover.next_scan({LIFE}, 5_000))
    assert takeover.may_have_run("job", 10, False)
    assert not takeover.is_settled()
    assert takeover.note_report(LIFE, is_complete=True)
    assert not takeover.may_have_run("job", 10, False)
    assert takeover.is_settled()


def test_takeover_does_not_wait_for_the_ends_of_a_life_that_is_over():
    takeover = Takeover(10, 5_000, True, {LIFE})
    takeover.note_report(LIFE, is_complete=False)
    takeover.finish_scan(takeover.next_scan(set(), 1))
    assert not takeover.may_have_run("job", 10, False)


def pool_owner(fleet: JobFleet) -> PoolOwner:
    entry = fleet.entries[fleet.owners()["phone"]]
    return entry.duties.owned_pools["phone"].owner


async def run_jobs_without_writing_their_ends(fleet: JobFleet) -> None:
    """Run jobs until a worker has more ends than it lists."""
    await asyncio.sleep(1)
    owner = pool_owner(fleet)
    owner.commits.store = ReadOnlyJobs(owner.store)
    for job in JOBS:
        steps = phases(TASKS, cpu=50)
        assert await fleet.submit("entry-0", "phone", job, steps) == 200
    worker = fleet.workers["phone-0"]
    await fleet.wait_until(lambda: len(worker.ends) > MAX_LISTED_ENDS)
    await asyncio.sleep(OUTAGE_S)


def test_task_whose_end_is_not_listed_yet_runs_once(play):
    async def day(fleet: JobFleet) -> None:
        await run_jobs_without_writing_their_ends(fleet)
        assert set(fleet.checker.start_counts.values()) == {1}
        owner = pool_owner(fleet)
        owner.commits.store = owner.store
        await wait_until_completed(fleet, JOBS)

    fleet = play(day, workers=1)
    assert set(fleet.checker.start_counts.values()) == {1}


def test_task_whose_end_the_next_owner_sees_late_runs_once(play):
    async def day(fleet: JobFleet) -> None:
        await run_jobs_without_writing_their_ends(fleet)
        fleet.kill_entry(fleet.owners()["phone"])
        await fleet.wait_until(lambda: "phone" in fleet.owners())
        await wait_until_completed(fleet, JOBS)

    fleet = play(day, workers=1)
    assert set(fleet.checker.start_counts.values()) == {1}
