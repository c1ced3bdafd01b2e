"""Reservations of targets: which steps get one, and what else runs there meanwhile.

Guards against idle targets that are reserved for work which never starts there.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest

from cornelturn.jobs.model import (
    JobSpec,
    Recurrence,
    Resources,
    Run,
    Step,
    StepId,
)
from cornelturn.jobs.progress import Progress
from cornelturn.jobs.rows import JobRow, job_key
from cornelturn.model.routes import JobQueue
from cornelturn.scheduling.planner import Planner
from cornelturn.scheduling.pool import PoolScheduler
from cornelturn.scheduling.reservations import MAX_REFUSED_STEPS
from cornelturn.scheduling.step_opening import OPEN_AHEAD
from cornelturn.targets.address import TargetAddress
from cornelturn.targets.model import (
    Executed,
    ListedTarget,
    StartOrder,
    TargetLife,
    TargetReport,
)

USUAL = JobQueue("usual", "host", "/usual/", "pool", priority=1, slack_ms=60_000)
URGENT = JobQueue(
    "urgent", "host", "/urgent/", "pool", priority=0, max_attempts=4, slack_ms=60_000
)
LIVES = [TargetLife(f"t-{number}", 1) for number in range(2)]
CPU, MEMORY = 64_000, 262_144
LONG, LARGE, SHORT = "1" * 16, "2" * 16, "3" * 16
LONG_STEP = Step(2, Resources(8_000, 1_024), 60_000, max_per_target=1)
LARGE_STEP = Step(1, Resources(60_000, 1_024), 60_000)
SHORT_STEP = Step(1, Resources(1_000, 1_024), 1_000)
TOO_LARGE = Resources(60_000, 300_000)


@pytest.fixture
def scheduler() -> PoolScheduler:
    """Return the scheduler of two targets, each with 8 of 64 cores in use for 60 s."""
    scheduler = PoolScheduler("pool", 1)
    listed = [
        ListedTarget(
            life=life,
            pool="pool",
            address=TargetAddress.loopback(1),
            data_centre="dc",
            rack="r1",
            labels=frozenset(),
            capacity=Resources(CPU, MEMORY),
            is_draining=False,
        )
        for life in LIVES
    ]
    scheduler.update_targets(listed, 0)
    for life in LIVES:
        scheduler.handle_report(TargetReport(life, 0, (), ()), 0, 0)
    scheduler.mark_loaded(0)
    add(scheduler, LONG, LONG_STEP, USUAL)
    assert len(start_planned(scheduler, 0)) == 2
    return scheduler


def add(
    scheduler: PoolScheduler,
    job: str,
    step: Step,
    queue: JobQueue,
    progress: Progress | None = None,
) -> None:
    spec = JobSpec(job, queue.name, "pool", "text", (step,))
    row = JobRow(spec, progress or Progress())
    scheduler.add_job(job_key(queue.name, job), row, 1, queue, 0)


def start_planned(
    scheduler: PoolScheduler, now_ms: int = 1
) -> list[tuple[TargetLife, Run]]:
    """Start all planned runs, and return target and run of each."""
    started: list[tuple[TargetLife, Run]] = []
    for planned in scheduler.plan(now_ms):
        assert isinstance(planned.order, StartOrder)
        scheduler.handle_order_result(planned.life, planned.order, Executed(), now_ms)
        started.append((planned.life, planned.order.run))
    return started


def started_jobs(scheduler: PoolScheduler, now_ms: int = 1) -> list[str]:
    return [run.task.job for _, run in start_planned(scheduler, now_ms)]


def reserved_steps(scheduler: PoolScheduler) -> set[StepId]:
    reservations = scheduler.planner.reservations.by_target.values()
    return {reservation.step for reservation in reservations}


@pytest.mark.parametrize(
    "hopeless",
    [
        replace(LARGE_STEP, need=TOO_LARGE),
        replace(LARGE_STEP, need=Resources(60_000, 1, 1)),
        replace(LARGE_STEP, required_label="missing"),
        replace(LARGE_STEP, count=3, is_gang=True),
        replace(LARGE_STEP, count=3, is_gang=True, max_per_target=1),
    ],
)
def test_step_that_never_fits_holds_no_reservation(scheduler, hopeless):
    for number in (5, 6):
        add(scheduler, f"{number:016x}", hopeless, URGENT)
    add(scheduler, SHORT, replace(SHORT_STEP, estimated_ms=90_000), USUAL)
    assert started_jobs(scheduler) == [SHORT]
    assert not reserved_steps(scheduler)


def test_step_behind_hopeless_ones_gets_a_reservation(scheduler):
    for number in (5, 6):
        add(scheduler, f"{number:016x}", replace(LARGE_STEP, need=TOO_LARGE), URGENT)
    add(scheduler, LARGE, LARGE_STEP, URGENT)
    assert started_jobs(scheduler) == []
    assert reserved_steps(scheduler) == {StepId(LARGE, 0, 0)}


def test_step_whose_task_has_failed_holds_no_reservation(scheduler):
    failed = Progress(failed={(0, 0, 0): {1}})
    for number in (5, 6):
        add(scheduler, f"{number:016x}", LARGE_STEP, URGENT, failed)
    add(scheduler, SHORT, replace(SHORT_STEP, estimated_ms=90_000), USUAL)
    assert started_jobs(scheduler) == [SHORT]
    assert not reserved_steps(scheduler)


def test_step_with_a_task_that_has_not_failed_holds_a_reservation(scheduler):
    failed = Progress(failed={(0, 0, 0): {1}})
    add(scheduler, LARGE, replace(LARGE_STEP, count=2), URGENT, failed)
    scheduler.plan(1)
    assert reserved_steps(scheduler) == {StepId(LARGE, 0, 0)}


def test_reserved_targets_run_short_tasks_only(scheduler):
    add(scheduler, LARGE, replace(LARGE_STEP, count=2), URGENT)
    add(scheduler, "4" * 16, LARGE_STEP, URGENT)
    add(scheduler, SHORT, SHORT_STEP, USUAL)
    add(scheduler, "5" * 16, replace(SHORT_STEP, estimated_ms=60_001), USUAL)
    add(scheduler, "6" * 16, replace(SHORT_STEP, estimated_ms=0), USUAL)
    assert started_jobs(scheduler) == [SHORT]
    assert len(reserved_steps(scheduler)) == 2


def test_many_long_occurrences_do_not_keep_short_tasks_of_others_from_reserved_targets(
    scheduler,
):
    """Guards against a bound on refused steps that one job alone can reach."""
    add(scheduler, LARGE, replace(LARGE_STEP, count=2), URGENT)
    add(scheduler, "4" * 16, LARGE_STEP, URGENT)
    long_steps = (replace(SHORT_STEP, estimated_ms=10_000_000),) * 5
    assert len(long_steps) * OPEN_AHEAD > MAX_REFUSED_STEPS
    recurrence = Recurrence(OPEN_AHEAD, 0, 0)
    spec = JobSpec("5" * 16, URGENT.name, "pool", "text", long_steps, recurrence)
    row = JobRow(spec, Progress())
    scheduler.add_job(job_key(URGENT.name, spec.id), row, 1, URGENT, 0)
    add(scheduler, SHORT, SHORT_STEP, USUAL)
    assert started_jobs(scheduler) == [SHORT]
    assert len(reserved_steps(scheduler)) == 2


def test_steps_that_run_as_long_as_a_refused_one_are_not_tried(scheduler, monkeypatch):
    """Guards against plans that try each waiting step on reserved targets in vain."""
    add(scheduler, LARGE, replace(LARGE_STEP, count=2), URGENT)
    add(scheduler, "4" * 16, LARGE_STEP, URGENT)
    for number in range(20):
        long_step = replace(SHORT_STEP, estimated_ms=60_001 + number)
        add(scheduler, f"{number:016x}", long_step, USUAL)
    tried: Counter[str] = Counter()
    start_step = Planner._start_step

    def count_try(planner, step_try, *args):
        tried[step_try.job.spec.id] += 1
        return start_step(planner, step_try, *args)

    monkeypatch.setattr(Planner, "_start_step", count_try)
    assert started_jobs(scheduler) == []
    assert tried.keys() - {LARGE, "4" * 16} == {f"{0:016x}"}
    monkeypatch.undo()
    add(scheduler, SHORT, replace(SHORT_STEP, count=200), USUAL)
    assert set(started_jobs(scheduler, 2)) == {SHORT}


def test_plan_continues_after_the_job_of_a_reservation_has_ended(scheduler):
    add(scheduler, LARGE, LARGE_STEP, URGENT)
    add(scheduler, SHORT, replace(SHORT_STEP, count=4), USUAL)
    (first,) = scheduler.plan(1, max_starts=1)
    assert first.order.run.task.job == SHORT
    assert scheduler.has_more_starts()
    assert reserved_steps(scheduler) == {StepId(LARGE, 0, 0)}
    row = JobRow(
        JobSpec(LARGE, URGENT.name, "pool", "text", (LARGE_STEP,)),
        Progress(is_cancelled=True),
    )
    scheduler.add_job(job_key(URGENT.name, LARGE), row, 2, URGENT, 1)
    assert LARGE not in scheduler.jobs
    assert len(scheduler.plan(2)) == 3
    assert not reserved_steps(scheduler)


def test_task_that_would_end_after_the_reservation_is_due_does_not_start(scheduler):
    add(scheduler, LARGE, LARGE_STEP, URGENT)
    add(scheduler, "4" * 16, LARGE_STEP, URGENT)
    add(scheduler, SHORT, SHORT_STEP, USUAL)
    assert started_jobs(scheduler, 59_500) == []


def test_short_task_prefers_a_target_without_reservation(scheduler):
    add(scheduler, LARGE, LARGE_STEP, URGENT)
    scheduler.plan(1)
    (reserved,) = scheduler.planner.reservations.by_target
    add(scheduler, SHORT, SHORT_STEP, USUAL)
    ((life, _),) = start_planned(scheduler, 2)
    assert life != reserved
