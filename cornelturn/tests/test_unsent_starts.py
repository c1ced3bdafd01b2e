"""Hand-overs while a start for a lost target has not been sent."""

from __future__ import annotations

import asyncio

from cornelturn.jobs.model import StepId
from cornelturn.ownership.messages import HandOverDue
from cornelturn.platform.standin.documents import job_id, phases
from cornelturn.tests.job_fleet import JobFleet
from cornelturn.tests.progress_monitor import MAX_LASTING_PAUSE_MS, MAX_STALL_MS

JOB = job_id(1)
TASKS = 3
RUNNING_S = 4.0
"""Longer than an unused connection stays open, so that the next start opens one."""


def running_tasks(fleet: JobFleet) -> int:
    """Return how many tasks of the job run."""
    step = StepId(JOB, 0, 0)
    workers = fleet.checker.workers_by_task
    return sum(bool(workers.get(step.task(index))) for index in range(TASKS))


def test_lasting_task_runs_again_in_time_though_its_start_was_not_sent(play):
    """Guards against a wait for the longest lease, which no start has given."""

    async def day(fleet: JobFleet) -> None:
        steps = phases(TASKS, is_lasting=True, max_unavailable=1)
        assert await fleet.submit("entry-0", "phone", JOB, steps) == 200
        await fleet.wait_until(lambda: running_tasks(fleet) == TASKS)
        await asyncio.sleep(RUNNING_S)
        worker = next(worker for worker in fleet.workers.values() if worker.runs)
        fleet.isolate_worker(worker.name)
        worker.crash()
        lost_ms = fleet.now_ms()
        entry = fleet.entries[fleet.owners()["phone"]]
        owner = entry.duties.owned_pools["phone"].owner
        views = owner.scheduler.targets.values()
        # The last report shows that the run is over, and its task is started again.
        await fleet.wait_until(
            lambda: any(map(owner.scheduler.may_have_restarted, views))
        )
        entry.duties.handle_event(HandOverDue("phone"))
        await fleet.wait_until(lambda: running_tasks(fleet) == TASKS)
        paused_ms = fleet.now_ms() - lost_ms
        assert paused_ms <= MAX_LASTING_PAUSE_MS + MAX_STALL_MS

    play(day, entries=4, workers=3)
