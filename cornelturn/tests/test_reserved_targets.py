"""Tests targets that are reserved for a large task, so that small ones do not start."""

from __future__ import annotations

import pytest

from cornelturn.jobs.model import EndKind, JobSpec, Resources, Run, RunEnd, Step
from cornelturn.jobs.progress import Progress
from cornelturn.jobs.rows import JobRow, job_key
from cornelturn.model.routes import JobQueue
from cornelturn.scheduling.pool import PoolScheduler
from cornelturn.targets.address import TargetAddress
from cornelturn.targets.model import (
    Executed,
    ListedTarget,
    StartOrder,
    TargetLife,
    TargetReport,
)

QUEUE = JobQueue("lookups", "host", "/lookups/", "pool", slack_ms=60_000)
FIRST, SECOND = TargetLife("t-1", 1), TargetLife("t-2", 1)
CPU = 8_000
LASTING, FILLER, LARGE, SMALL, OTHER_LASTING, OTHER_FILLER = (
    f"{number:016x}" for number in range(1, 7)
)


@pytest.fixture
def scheduler() -> PoolScheduler:
    """Return the scheduler of a pool of two equal targets."""
    scheduler = PoolScheduler("pool", 1)
    scheduler.update_targets([listed(FIRST), listed(SECOND)], 0)
    for life in (FIRST, SECOND):
        scheduler.handle_report(TargetReport(life, 0, (), ()), 0, 0)
    scheduler.mark_loaded(0)
    return scheduler


def listed(life: TargetLife) -> ListedTarget:
    return ListedTarget(
        life=life,
        pool="pool",
        address=TargetAddress.loopback(1),
        data_centre="dc",
        rack="r1",
        labels=frozenset(),
        capacity=Resources(CPU, 64_000),
        is_draining=False,
    )


def add(scheduler: PoolScheduler, job: str, step: Step) -> None:
    row = JobRow(JobSpec(job, QUEUE.name, "pool", "text", (step,)), Progress())
    scheduler.add_job(job_key(QUEUE.name, job), row, 1, QUEUE, 0)


def start_planned(scheduler: PoolScheduler) -> list[tuple[str, Run]]:
    """Start all planned runs, and return target and run of each."""
    started: list[tuple[str, Run]] = []
    for planned in scheduler.plan(1):
        assert isinstance(planned.order, StartOrder)
        scheduler.handle_order_result(planned.life, planned.order, Executed(), 1)
        started.append((planned.life.name, planned.order.run))
    return started


def test_target_without_enough_capacity_beside_lasting_tasks_is_not_reserved(scheduler):
    add(scheduler, LASTING, Step(1, Resources(3_000, 1), is_lasting=True))
    ((lasting_on, _),) = start_planned(scheduler)
    other = SECOND if lasting_on == FIRST.name else FIRST
    add(scheduler, FILLER, Step(13, Resources(1_000, 1), 1))
    runs = start_planned(scheduler)
    assert len(runs) == 13
    ended = [run for name, run in runs if name == lasting_on]
    end_all(scheduler, TargetLife(lasting_on, 1), ended)
    add(scheduler, LARGE, Step(1, Resources(6_000, 1), 1))
    add(scheduler, SMALL, Step(40, Resources(1_000, 1), 60_000))
    assert {name for name, _ in start_planned(scheduler)} == {lasting_on}
    freed = [run for name, run in runs if name == other.name]
    end_all(scheduler, other, freed[:6])
    assert [(name, run.task.job) for name, run in start_planned(scheduler)] == [
        (other.name, LARGE)
    ]


def test_lasting_start_on_a_reserved_target_does_not_change_what_else_may_run_there(
    scheduler,
):
    """Guards against a time of fit that depends on which steps were tried before."""
    add(scheduler, LASTING, Step(1, Resources(CPU, 1), is_lasting=True))
    start_planned(scheduler)
    add(scheduler, FILLER, Step(1, Resources(5_000, 1), 1_000))
    add(scheduler, OTHER_FILLER, Step(1, Resources(1_000, 1), 9_000))
    assert len(start_planned(scheduler)) == 2
    # Beside the new lasting task, the large one fits only once both fillers have ended.
    add(scheduler, OTHER_LASTING, Step(1, Resources(1_000, 1), is_lasting=True))
    add(scheduler, LARGE, Step(1, Resources(7_000, 1), 1))
    add(scheduler, SMALL, Step(1, Resources(1_000, 1), 5_000))
    started = [run.task.job for _, run in start_planned(scheduler)]
    assert started == [OTHER_LASTING]


def end_all(scheduler: PoolScheduler, life: TargetLife, runs: list[Run]) -> None:
    ended = tuple(
        RunEnd(number, run, EndKind.DONE) for number, run in enumerate(runs, 1)
    )
    scheduler.handle_report(TargetReport(life, 0, (), ended), 0, 2)
