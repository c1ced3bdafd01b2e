"""Schedulers of a pool, their targets and jobs, without sockets."""

from __future__ import annotations

from cornelturn.jobs.model import (
    EndKind,
    JobSpec,
    Resources,
    Run,
    RunEnd,
    Step,
)
from cornelturn.jobs.progress import Progress
from cornelturn.jobs.rows import JobRow, job_key
from cornelturn.model.routes import JobQueue
from cornelturn.scheduling.pool import PoolScheduler
from cornelturn.targets.address import TargetAddress
from cornelturn.targets.model import (
    ActiveRun,
    Executed,
    ListedTarget,
    StartOrder,
    TargetLife,
    TargetReport,
)

QUEUE = JobQueue("lookups", "host", "/lookups/", "pool", max_attempts=2)
LIFE = TargetLife("t-1", 1)
OTHER_LIFE = TargetLife("t-2", 1)
JOB = "00000000000000aa"


def target(life: TargetLife, cpu: int = 8_000, **changes) -> ListedTarget:
    values = {
        "life": life,
        "pool": "pool",
        "address": TargetAddress.loopback(1),
        "data_centre": "dc",
        "rack": "r1",
        "labels": frozenset({"a", "r1"}),
        "capacity": Resources(cpu, 64_000, 0),
        "is_draining": False,
    }
    return ListedTarget(**(values | changes))


def job_row(*steps: Step, job: str = JOB, progress: Progress | None = None) -> JobRow:
    spec = JobSpec(job, QUEUE.name, "pool", "text", steps)
    return JobRow(spec, progress or Progress())


def add(scheduler: PoolScheduler, row: JobRow, version: int, now_ms: int = 0) -> None:
    key = job_key(QUEUE.name, row.spec.id)
    scheduler.add_job(key, row, version, QUEUE, now_ms)


def report(
    life: TargetLife,
    active: tuple[ActiveRun, ...] = (),
    ended: tuple[RunEnd, ...] = (),
) -> TargetReport:
    return TargetReport(life, 0, active, ended)


def planned_starts(scheduler: PoolScheduler, now_ms: int = 0) -> list[Run]:
    orders = scheduler.plan(now_ms)
    return [
        planned.order.run for planned in orders if isinstance(planned.order, StartOrder)
    ]


def planned_targets(scheduler: PoolScheduler, now_ms: int = 0) -> list[str]:
    """Return the names of the targets on which runs are ordered to start."""
    orders = scheduler.plan(now_ms)
    return [
        planned.life.name for planned in orders if isinstance(planned.order, StartOrder)
    ]


def write_all(scheduler: PoolScheduler, version: int, now_ms: int = 0) -> None:
    for write in scheduler.start_writes():
        scheduler.finish_write(write, version, now_ms)


def run_to_end(scheduler: PoolScheduler, run: Run, sequence: int = 1) -> None:
    scheduler.handle_order_result(LIFE, StartOrder(run, "text"), Executed(), 1)
    end = RunEnd(sequence, run, EndKind.DONE)
    scheduler.handle_report(report(LIFE, ended=(end,)), 2, 3)


def new_scheduler(*targets: ListedTarget, generation: int = 1) -> PoolScheduler:
    """Return a scheduler with reachable targets and all rows read."""
    scheduler = PoolScheduler("pool", generation)
    scheduler.update_targets(targets or (target(LIFE),), 0)
    for life in list(scheduler.targets):
        scheduler.handle_report(report(life), 0, 0)
    scheduler.mark_loaded(0)
    return scheduler
