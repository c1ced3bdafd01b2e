"""A fleet in which a task and its copy outlive the owner that started them."""

from __future__ import annotations

from cornelturn.jobs.model import Run, TaskId
from cornelturn.platform.standin.documents import job_id, phases
from cornelturn.tests.job_fleet import JobFleet, wait_until_completed

JOB = job_id(1)
TASK = TaskId(JOB, 0, 0, 0)
COPY_MS = 9_000


def test_successor_keeps_both_runs_and_starts_no_third(play):
    """Guards against a takeover that stops the copy, or copies the task again."""

    def run_ms(run: Run) -> int:
        if run.task != TASK:
            return 400
        return COPY_MS if run.number % 2 == 0 else 3 * COPY_MS

    async def scenario(fleet: JobFleet) -> None:
        for worker in fleet.workers.values():
            worker.run_duration_ms = run_ms
        steps = phases(6, 1, cpu=2_000, may_run_copies=True)
        assert await fleet.submit("entry-0", "phone", JOB, steps) == 200
        running = fleet.checker.workers_by_task
        await fleet.wait_until(lambda: len(running.get(TASK, ())) == 2)
        former = fleet.owners()["phone"]
        fleet.kill_entry(former)
        await fleet.wait_until(lambda: fleet.owners().get("phone", former) != former)
        assert len(running[TASK]) == 2
        await wait_until_completed(fleet, [JOB])
        await fleet.wait_until(lambda: not running[TASK])

    fleet = play(scenario, entries=3, workers=4)
    assert fleet.checker.start_counts[TASK] == 2
