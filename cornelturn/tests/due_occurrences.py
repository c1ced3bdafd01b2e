"""Schedulers of a pool with one target, and jobs with many due occurrences."""

from __future__ import annotations

from cornelturn.jobs.model import (
    EndKind,
    JobSpec,
    Recurrence,
    Resources,
    Run,
    RunEnd,
    Step,
)
from cornelturn.jobs.progress import Progress
from cornelturn.jobs.rows import JobRow, job_key
from cornelturn.model.routes import JobQueue
from cornelturn.scheduling.pool import PoolScheduler
from cornelturn.store.limits import DEFAULT_LIMITS, StoreLimits
from cornelturn.targets.address import TargetAddress
from cornelturn.targets.model import (
    Executed,
    ListedTarget,
    StartOrder,
    TargetLife,
    TargetReport,
)

QUEUE = JobQueue("lookups", "host", "/lookups/", "pool", slack_ms=60_000)
LIFE = TargetLife("t-1", 1)
JOB, OTHER = "00000000000000aa", "00000000000000bb"
FEW, MANY = 200, 20_000
SLOTS = 8
STEP = Step(1, Resources(1_000, 1), 100)


def make_scheduler(
    generation: int = 1, limits: StoreLimits = DEFAULT_LIMITS
) -> PoolScheduler:
    scheduler = PoolScheduler("pool", generation, store_limits=limits)
    listed = ListedTarget(
        life=LIFE,
        pool="pool",
        address=TargetAddress.loopback(1),
        data_centre="dc",
        rack="r1",
        labels=frozenset(),
        capacity=Resources(SLOTS * 1_000, 64_000),
        is_draining=False,
    )
    scheduler.update_targets([listed], 0)
    scheduler.handle_report(TargetReport(LIFE, 0, (), ()), 0, 0)
    scheduler.mark_loaded(0)
    return scheduler


def recurrent_row(due: int, *steps: Step, progress: Progress | None = None) -> JobRow:
    spec = JobSpec(
        JOB, QUEUE.name, "pool", "text", steps or (STEP,), Recurrence(due, 0, 0)
    )
    return JobRow(spec, progress or Progress())


def add(scheduler: PoolScheduler, row: JobRow, version: int = 1) -> None:
    key = job_key(QUEUE.name, row.spec.id)
    scheduler.add_job(key, row, version, QUEUE, 0)


def start_planned(scheduler: PoolScheduler, now_ms: int = 1) -> list[Run]:
    """Start all planned runs, and return them."""
    runs: list[Run] = []
    for planned in scheduler.plan(now_ms):
        assert isinstance(planned.order, StartOrder)
        scheduler.handle_order_result(planned.life, planned.order, Executed(), now_ms)
        runs.append(planned.order.run)
    return runs


def end(scheduler: PoolScheduler, sequence: int, run: Run) -> None:
    report = TargetReport(LIFE, 0, (), (RunEnd(sequence, run, EndKind.DONE),), False)
    scheduler.handle_report(report, 0, sequence)


def occurrences(runs: list[Run]) -> list[int]:
    return [run.task.occurrence for run in runs]
