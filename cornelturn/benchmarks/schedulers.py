"""Scheduler of a pool of idle targets, and jobs for it."""

from __future__ import annotations

from cornelturn.jobs.model import JobSpec, Resources, Step
from cornelturn.jobs.progress import Progress
from cornelturn.jobs.rows import JobRow, job_key
from cornelturn.model.routes import JobQueue
from cornelturn.scheduling.pool import PoolScheduler
from cornelturn.targets.model import ListedTarget, TargetLife, TargetReport

TARGETS = 307


def new_scheduler() -> PoolScheduler:
    """Return a scheduler whose targets have all reported that they are idle."""
    scheduler = PoolScheduler("pool", 1)
    lives = [TargetLife(f"t-{number:03}", 1) for number in range(TARGETS)]
    capacity = Resources(8_000, 64_000)
    scheduler.update_targets(
        [
            ListedTarget(life, "pool", "", "dc", "r1", frozenset(), capacity, False)
            for life in lives
        ],
        0,
    )
    for life in lives:
        scheduler.handle_report(TargetReport(life, 0, (), ()), 0, 0)
    scheduler.mark_loaded(0)
    return scheduler


def add_job(scheduler: PoolScheduler, queue: JobQueue, number: int, step: Step) -> None:
    """Add a job of one step."""
    job = f"{number:016x}"
    row = JobRow(JobSpec(job, queue.name, "pool", "", (step,)), Progress())
    scheduler.add_job(job_key(queue.name, job), row, 1, queue, 0)
