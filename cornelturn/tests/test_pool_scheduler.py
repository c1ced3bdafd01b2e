"""Tests the scheduling decisions of the owner of a pool, without sockets."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import pytest

from cornelturn.jobs.model import (
    EndKind,
    JobSpec,
    Recurrence,
    Resources,
    Run,
    RunEnd,
    Step,
    TaskId,
)
from cornelturn.jobs.progress import Progress
from cornelturn.jobs.rows import JobRow, job_key
from cornelturn.model.routes import JobQueue
from cornelturn.peering.messages import OpenRuns
from cornelturn.scheduling.planner import RETRY_DELAY_MS
from cornelturn.scheduling.pool import PoolScheduler
from cornelturn.targets.model import (
    ActiveRun,
    Declined,
    Executed,
    ListedTarget,
    StartOrder,
    StopOrder,
    TargetLife,
    TargetReport,
    Unanswered,
)

QUEUE = JobQueue("lookups", "host", "/lookups/", "pool", max_attempts=2)
LIFE = TargetLife("t-1", 1)
OTHER_LIFE = TargetLife("t-2", 1)
JOB = "00000000000000aa"


def target(life: TargetLife, cpu: int = 8_000, **changes) -> ListedTarget:
    values = {
        "life": life,
        "pool": "pool",
        "address": "127.0.0.1:1",
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


def write_all(scheduler: PoolScheduler, version: int, now_ms: int = 0) -> None:
    for write in scheduler.start_writes():
        scheduler.finish_write(write, version, now_ms)


@pytest.fixture
def make_scheduler() -> Callable[..., PoolScheduler]:
    """Return a factory of schedulers with reachable targets and all rows read."""

    def make(*targets: ListedTarget, generation: int = 1) -> PoolScheduler:
        scheduler = PoolScheduler("pool", generation)
        scheduler.update_targets(targets or (target(LIFE),), 0)
        for life in list(scheduler.targets):
            scheduler.handle_report(report(life), 0, 0)
        scheduler.mark_loaded(0)
        return scheduler

    return make


def run_to_end(scheduler: PoolScheduler, run: Run, sequence: int = 1) -> None:
    scheduler.handle_order_result(LIFE, StartOrder(run, "text"), Executed(), 1)
    end = RunEnd(sequence, run, EndKind.DONE)
    scheduler.handle_report(report(LIFE, ended=(end,)), 2, 3)


def test_old_version_of_a_finished_job_starts_nothing(make_scheduler):
    scheduler = make_scheduler()
    row = job_row(Step(1, Resources(1_000, 1)))
    add(scheduler, row, version=5)
    (run,) = planned_starts(scheduler)
    run_to_end(scheduler, run)
    write_all(scheduler, version=9)
    assert not scheduler.jobs
    add(scheduler, job_row(Step(1, Resources(1_000, 1))), version=5, now_ms=4)
    assert planned_starts(scheduler, 4) == []


def test_history_after_the_load_starts_nothing_of_final_jobs(make_scheduler):
    scheduler = make_scheduler()
    done = Progress(done={(0, 0): {0}})
    add(scheduler, job_row(Step(1, Resources(1_000, 1)), progress=done), version=9)
    add(scheduler, job_row(Step(1, Resources(1_000, 1))), version=5, now_ms=4)
    assert planned_starts(scheduler, 4) == []


def test_adopted_runs_of_final_jobs_keep_their_capacity_until_they_end(make_scheduler):
    scheduler = make_scheduler(generation=2)
    cancelled = Progress(is_cancelled=True)
    step = Step(1, Resources(8_000, 1))
    add(scheduler, job_row(step, progress=cancelled), version=9)
    stray = Run(TaskId(JOB, 0, 0, 0), 1)
    scheduler.handle_report(report(LIFE, active=(ActiveRun(stray, "", 10),)), 1, 1)
    add(scheduler, job_row(step, job="00000000000000bb"), version=10)
    assert planned_starts(scheduler, 2) == []
    end = RunEnd(1, stray, EndKind.STOPPED)
    scheduler.handle_report(report(LIFE, ended=(end,)), 3, 3)
    assert len(planned_starts(scheduler, 4)) == 1


def test_step_waits_for_the_steps_it_depends_on(make_scheduler):
    scheduler = make_scheduler()
    row = job_row(
        Step(2, Resources(1_000, 1)), Step(1, Resources(1_000, 1), after=(0,))
    )
    add(scheduler, row, version=1)
    first = planned_starts(scheduler)
    assert [run.task.step for run in first] == [0, 0]
    run_to_end(scheduler, first[0], 1)
    assert planned_starts(scheduler, 3) == []
    run_to_end(scheduler, first[1], 2)
    assert [run.task.step for run in planned_starts(scheduler, 4)] == [1]


def test_capacity_is_never_exceeded(make_scheduler):
    scheduler = make_scheduler()
    add(scheduler, job_row(Step(12, Resources(3_000, 1))), version=1)
    assert len(planned_starts(scheduler)) == 2


def test_ends_are_acknowledged_only_once_written(make_scheduler):
    scheduler = make_scheduler()
    add(scheduler, job_row(Step(2, Resources(1_000, 1))), version=1)
    first, _ = planned_starts(scheduler)
    run_to_end(scheduler, first)
    view = scheduler.targets[LIFE]
    assert scheduler.ends.acknowledge(view) == 0
    write_all(scheduler, version=2)
    assert scheduler.ends.acknowledge(view) == 1


def test_job_fails_after_its_attempts_on_different_targets(make_scheduler):
    other = TargetLife("t-2", 1)
    scheduler = make_scheduler(target(LIFE), target(other))
    add(scheduler, job_row(Step(1, Resources(1_000, 1))), version=1)
    target_names: list[str] = []
    for sequence in (1, 2):
        (order,) = scheduler.plan(sequence * 10)
        target_names.append(order.life.name)
        scheduler.handle_order_result(
            order.life, order.order, Executed(), sequence * 10
        )
        end = RunEnd(1, order.order.run, EndKind.FAILED)
        scheduler.handle_report(
            report(order.life, ended=(end,)), sequence * 10 + 1, sequence * 10 + 2
        )
    assert sorted(target_names) == ["t-1", "t-2"]
    assert scheduler.plan(99) == []
    assert scheduler.jobs[JOB].progress.is_failed


def test_end_of_a_gang_without_lost_members_is_recorded(make_scheduler):
    """Guards against the removal of waiting tasks that the gang does not have."""
    scheduler = make_scheduler()
    gang = Step(2, Resources(3_000, 1), is_gang=True)
    rest = Step(1, Resources(1_000, 1), after=(0,))
    add(scheduler, job_row(gang, rest), version=1)
    run, _ = planned_starts(scheduler)
    run_to_end(scheduler, run)
    assert [started.task.step for started in planned_starts(scheduler, 4)] == [1]


def test_done_gang_has_no_waiting_task_for_a_member_that_was_lost(make_scheduler):
    """Guards against demand for a start that is not due any more."""
    scheduler = make_scheduler()
    gang = Step(2, Resources(3_000, 1), is_gang=True)
    rest = Step(1, Resources(1_000, 1), after=(0,))
    add(scheduler, job_row(gang, rest), version=1)
    lost, done = planned_starts(scheduler)
    for run in (lost, done):
        scheduler.handle_order_result(LIFE, StartOrder(run, "text"), Executed(), 1)
    ends = (RunEnd(1, lost, EndKind.LAPSED), RunEnd(2, done, EndKind.DONE))
    scheduler.handle_report(report(LIFE, ended=ends), 2, 3)
    assert scheduler.jobs[JOB].count_waiting_of(0) == 0


def test_done_task_does_not_wait_because_its_run_was_given_up(make_scheduler):
    """Guards against demand for a start that is not due any more."""
    scheduler = make_scheduler()
    rest = Step(1, Resources(1_000, 1), after=(0,))
    add(scheduler, job_row(Step(2, Resources(1_000, 1)), rest), version=1)
    missing, other = planned_starts(scheduler)
    for run in (missing, other):
        scheduler.handle_order_result(LIFE, StartOrder(run, "text"), Executed(), 1)
    active = (ActiveRun(other, "", 10),)
    scheduler.handle_report(report(LIFE, active=active), 2, 3)
    assert scheduler.jobs[JOB].count_waiting_of(0) == 1
    ended = (RunEnd(1, missing, EndKind.DONE),)
    scheduler.handle_report(report(LIFE, active=active, ended=ended), 4, 5)
    assert scheduler.jobs[JOB].count_waiting_of(0) == 0


@pytest.mark.parametrize("is_gang", [False, True])
def test_task_that_is_done_in_a_later_row_does_not_wait(make_scheduler, is_gang):
    """Guards against demand for work that another owner has seen end."""
    scheduler = make_scheduler()
    step = Step(2, Resources(5_000, 1), is_gang=is_gang)
    rest = Step(1, Resources(1_000, 1), after=(0,))
    add(scheduler, job_row(step, rest), version=1)
    assert scheduler.jobs[JOB].count_waiting_of(0) == 2
    done = Progress(done={(0, 0): {0, 1}})
    add(scheduler, job_row(step, rest, progress=done), version=2)
    assert scheduler.jobs[JOB].count_waiting_of(0) == 0
    assert [run.task.step for run in planned_starts(scheduler)] == [1]


def test_gang_starts_whole_or_not_at_all(make_scheduler):
    scheduler = make_scheduler()
    gang = Step(3, Resources(3_000, 1), is_gang=True)
    add(scheduler, job_row(gang), version=1)
    assert planned_starts(scheduler) == []
    assert scheduler.targets[LIFE].used == Resources()
    scheduler.update_targets([target(LIFE), target(TargetLife("t-2", 1))], 1)
    scheduler.handle_report(report(TargetLife("t-2", 1)), 1, 1)
    assert {run.number for run in planned_starts(scheduler, 2)} == {1}


def test_end_that_is_listed_at_a_takeover_is_not_run_again(make_scheduler):
    scheduler = PoolScheduler("pool", 2)
    scheduler.update_targets([target(LIFE)], 0)
    ended, other = (Run(TaskId(JOB, 0, 0, index), 1) for index in (0, 1))
    end = RunEnd(7, ended, EndKind.DONE)
    scheduler.handle_report(report(LIFE, ended=(end,)), 0, 0)
    add(scheduler, job_row(Step(2, Resources(1_000, 1))), version=1)
    scheduler.mark_loaded(1)
    assert [run.task for run in planned_starts(scheduler, 2)] == [other.task]


def planned_targets(scheduler: PoolScheduler, now_ms: int = 0) -> list[str]:
    """Return the names of the targets on which runs are ordered to start."""
    orders = scheduler.plan(now_ms)
    return [
        planned.life.name for planned in orders if isinstance(planned.order, StartOrder)
    ]


def test_draining_target_gets_no_start(make_scheduler):
    scheduler = make_scheduler(target(LIFE), target(OTHER_LIFE))
    scheduler.update_targets([target(LIFE, is_draining=True), target(OTHER_LIFE)], 1)
    add(scheduler, job_row(Step(4, Resources(1_000, 1))), version=1)
    assert planned_targets(scheduler, 2) == ["t-2"] * 4


def test_cordoned_target_gets_no_start(make_scheduler):
    scheduler = make_scheduler(target(LIFE), target(OTHER_LIFE))
    scheduler.targets[LIFE].is_cordoned = True
    add(scheduler, job_row(Step(4, Resources(1_000, 1))), version=1)
    assert planned_targets(scheduler, 2) == ["t-2"] * 4


def test_tasks_start_only_on_labelled_targets_and_within_the_limit_for_each(
    make_scheduler,
):
    labelled = target(OTHER_LIFE, labels=frozenset({"b", "r2"}))
    scheduler = make_scheduler(target(LIFE), labelled)
    step = Step(3, Resources(1_000, 1), required_label="b", max_per_target=2)
    add(scheduler, job_row(step), version=1)
    assert planned_targets(scheduler) == ["t-2", "t-2"]


def test_one_lasting_task_is_unavailable_at_a_time_during_an_evacuation(make_scheduler):
    scheduler = make_scheduler(target(LIFE), target(OTHER_LIFE))
    step = Step(4, Resources(1_000, 1), is_lasting=True, max_unavailable=1)
    add(scheduler, job_row(step), version=1)
    runs: dict[TargetLife, list[Run]] = {LIFE: [], OTHER_LIFE: []}
    for planned in scheduler.plan(0):
        scheduler.handle_order_result(planned.life, planned.order, Executed(), 1)
        runs[planned.life].append(planned.order.run)
    for life, target_runs in runs.items():
        active = tuple(ActiveRun(run, "", 100, 0) for run in target_runs)
        scheduler.handle_report(report(life, active), 2, 3)
    scheduler.targets[OTHER_LIFE].is_cordoned = True
    for now_ms in (4, 5, 6):
        stops = [
            planned for planned in scheduler.plan(now_ms) if planned.life == OTHER_LIFE
        ]
        assert len(stops) == (1 if now_ms == 4 else 0)
        assert all(isinstance(stop.order, StopOrder) for stop in stops)


def test_lost_lasting_task_starts_before_a_backlog_of_batch_tasks(
    make_scheduler,
):
    scheduler = make_scheduler()
    lasting = Step(1, Resources(8_000, 1), estimated_ms=90_000, is_lasting=True)
    add(scheduler, job_row(lasting, job="00000000000000bb"), version=1)
    (lost,) = planned_starts(scheduler)
    scheduler.handle_order_result(LIFE, StartOrder(lost, "text"), Executed(), 1)
    late_ms = 100_000
    add(
        scheduler, job_row(Step(8, Resources(1_000, 1), 500)), version=2, now_ms=late_ms
    )
    end = RunEnd(1, lost, EndKind.FAILED)
    scheduler.handle_report(report(LIFE, ended=(end,)), late_ms, late_ms)
    assert [run.task for run in planned_starts(scheduler, late_ms)] == [lost.task]


def test_job_that_is_already_late_starts_after_one_that_can_be_on_time(
    make_scheduler,
):
    scheduler = make_scheduler()
    queue = replace(QUEUE, slack_ms=600)
    for version, job, sent_ms, count in ((1, "aa", 0, 1), (2, "bb", 1_000, 2)):
        row = job_row(Step(count, Resources(4_000, 1), 1_000), job=job)
        scheduler.add_job(job_key(QUEUE.name, job), row, version, queue, sent_ms)
    assert [run.task.job for run in planned_starts(scheduler, 1_100)] == ["bb", "bb"]


def test_first_task_starts_though_smaller_ones_would_fill_all_freed_capacity(
    make_scheduler,
):
    scheduler = make_scheduler()
    small = job_row(Step(40, Resources(1_000, 1), 500))
    add(scheduler, small, version=1)
    running = planned_starts(scheduler)
    for run in running:
        scheduler.handle_order_result(LIFE, StartOrder(run, "text"), Executed(), 1)
    lasting = job_row(
        Step(1, Resources(8_000, 1), is_lasting=True), job="00000000000000bb"
    )
    add(scheduler, lasting, version=2)
    started: list[str] = []
    for number, run in enumerate(running):
        end = RunEnd(number + 1, run, EndKind.DONE)
        scheduler.handle_report(report(LIFE, ended=(end,)), 0, 3)
        started += [start.task.job for start in planned_starts(scheduler, 3)]
    assert started == ["00000000000000bb"]


@pytest.mark.parametrize("is_lasting", [False, True])
def test_step_that_fits_on_no_target_reserves_none(make_scheduler, is_lasting):
    scheduler = make_scheduler(target(LIFE))
    large = Step(1, Resources(9_000, 1), estimated_ms=1, is_lasting=is_lasting)
    add(scheduler, job_row(large, job="00000000000000bb"), version=1)
    add(scheduler, job_row(Step(1, Resources(1_000, 1), estimated_ms=500)), version=2)
    assert [run.task.job for run in planned_starts(scheduler)] == [JOB]


def test_target_is_reserved_where_the_step_will_fit(make_scheduler):
    scheduler = make_scheduler(target(LIFE, cpu=16_000), target(OTHER_LIFE, cpu=8_000))
    filler = job_row(Step(10, Resources(1_000, 1)), job="00000000000000cc")
    add(scheduler, filler, version=1)
    runs = [Run(TaskId("00000000000000cc", 0, 0, index), 1) for index in range(10)]
    active = tuple(ActiveRun(run, "", 1) for run in runs)
    scheduler.handle_report(report(LIFE, active=active), 0, 0)
    large = Step(1, Resources(12_000, 1), estimated_ms=1)
    add(scheduler, job_row(large, job="00000000000000bb"), version=2)
    add(
        scheduler,
        job_row(Step(1, Resources(1_000, 1), estimated_ms=500_000)),
        version=3,
    )
    assert planned_targets(scheduler, 1) == [OTHER_LIFE.name]


def test_start_that_is_never_answered_goes_to_another_target(make_scheduler):
    scheduler = make_scheduler(target(LIFE), target(OTHER_LIFE))
    add(scheduler, job_row(Step(1, Resources(1_000, 1))), version=1)
    (first,) = scheduler.plan(0)
    order, now_ms = first.order, 0
    while isinstance(order, StartOrder):
        scheduler.handle_order_result(first.life, order, Unanswered("timeout"), now_ms)
        now_ms += 200
        (again,) = scheduler.plan(now_ms)
        order = again.order
    scheduler.handle_order_result(first.life, order, Executed(), now_ms)
    scheduler.handle_report(report(first.life), now_ms + 1, now_ms + 2)
    assert planned_targets(scheduler, now_ms + 3) != [first.life.name]


@pytest.mark.parametrize("reason", ["503", "429", "room"])
def test_start_in_doubt_that_is_declined_again_is_stopped_first(make_scheduler, reason):
    scheduler = make_scheduler(target(LIFE), target(OTHER_LIFE))
    add(scheduler, job_row(Step(1, Resources(1_000, 1))), version=1)
    (first,) = scheduler.plan(0)
    scheduler.handle_order_result(first.life, first.order, Unanswered("timeout"), 0)
    (again,) = scheduler.plan(200)
    scheduler.handle_order_result(again.life, again.order, Declined(reason), 200)
    (stop,) = scheduler.plan(201)
    assert (stop.life, stop.order) == (first.life, StopOrder(first.order.run))
    scheduler.handle_order_result(stop.life, stop.order, Executed(), 202)
    scheduler.handle_report(report(first.life), 203, 204)
    assert planned_targets(scheduler, 205) != [first.life.name]
    assert scheduler.jobs[JOB].task(first.order.run.task).last_run_number > 1


@pytest.mark.parametrize("is_lasting", [False, True])
def test_target_that_declines_gets_no_start_during_the_retry_delay(
    make_scheduler, is_lasting
):
    scheduler = make_scheduler()
    add(
        scheduler,
        job_row(Step(1, Resources(1_000, 1), is_lasting=is_lasting)),
        version=1,
    )
    (first,) = scheduler.plan(0)
    scheduler.handle_order_result(first.life, first.order, Declined("503"), 2)
    assert planned_starts(scheduler, 3) == []
    assert planned_starts(scheduler, 2 + RETRY_DELAY_MS - 1) == []
    (run,) = planned_starts(scheduler, 2 + RETRY_DELAY_MS)
    assert run.number == 2


def test_occurrences_start_when_they_are_due(make_scheduler):
    scheduler = make_scheduler()
    row = job_row(Step(1, Resources(1_000, 1)))
    spec = replace(row.spec, recurrence=Recurrence(3, 100, 50))
    add(scheduler, replace(row, spec=spec), version=1)
    runs_by_time = {
        now_ms: planned_starts(scheduler, now_ms) for now_ms in (99, 100, 149, 150, 300)
    }
    due = {
        now_ms: [run.task.occurrence for run in runs]
        for now_ms, runs in runs_by_time.items()
    }
    assert due == {99: [], 100: [0], 149: [], 150: [1], 300: [2]}


def test_due_occurrence_starts_before_late_jobs(make_scheduler):
    scheduler = make_scheduler()
    row = job_row(Step(1, Resources(8_000, 1)), job="00000000000000bb")
    spec = replace(row.spec, recurrence=Recurrence(2, 60_000, 1_000))
    add(scheduler, replace(row, spec=spec), version=1)
    add(scheduler, job_row(Step(1, Resources(8_000, 1), 1)), version=2, now_ms=50_000)
    assert [run.task.job for run in planned_starts(scheduler, 60_000)] == [
        "00000000000000bb"
    ]


def test_open_runs_are_reported_to_the_successor(make_scheduler):
    scheduler = make_scheduler()
    add(scheduler, job_row(Step(1, Resources(1_000, 1))), version=1)
    (run,) = planned_starts(scheduler)
    assert scheduler.open_runs() == (OpenRuns(LIFE, (run.task.job,)),)


def test_ended_lives_are_returned_once(make_scheduler):
    scheduler = make_scheduler(target(LIFE), target(OTHER_LIFE))
    scheduler.end_life(OTHER_LIFE, "other_life", 1)
    assert scheduler.take_ended_lives() == [OTHER_LIFE]
    assert scheduler.take_ended_lives() == []


def test_pool_load_counts_blocked_jobs_as_waiting(make_scheduler):
    scheduler = make_scheduler()
    row = job_row(Step(4, Resources(1_000, 1)))
    key = job_key(QUEUE.name, row.spec.id)
    scheduler.add_job(key, row, 1, QUEUE, 0, may_have_run=True)
    assert planned_starts(scheduler) == []
    assert scheduler.pool_load(0).waiting == Resources(4_000, 4)


def test_pool_load_shows_blocked_demand_until_it_may_start(make_scheduler):
    scheduler = make_scheduler()
    row = job_row(Step(12, Resources(1_000, 1)))
    key = job_key(QUEUE.name, row.spec.id)
    scheduler.add_job(key, row, 1, QUEUE, 0, may_have_run=True)
    assert scheduler.pool_load(0).held_back == Resources(12_000, 12)
    scheduler.unblock_jobs()
    planned_starts(scheduler)
    load = scheduler.pool_load(0)
    assert load.waiting != Resources()
    assert load.held_back == Resources()


def fail(scheduler: PoolScheduler, order, sequence: int, now_ms: int) -> None:
    scheduler.handle_order_result(order.life, order.order, Executed(), now_ms)
    end = RunEnd(sequence, order.order.run, EndKind.FAILED)
    scheduler.handle_report(report(order.life, ended=(end,)), now_ms, now_ms + 1)


def fill(scheduler: PoolScheduler, *lives: TargetLife) -> None:
    """Fill each target with a run of an unknown job, which takes all its capacity."""
    for number, life in enumerate(lives):
        run = Run(TaskId(f"{number:016x}", 0, 0, 0), 1)
        scheduler.handle_report(report(life, active=(ActiveRun(run, "", 1),)), 0, 0)


def test_task_that_failed_waits_for_another_target_while_others_start(make_scheduler):
    scheduler = make_scheduler(target(LIFE), target(OTHER_LIFE))
    fill(scheduler, OTHER_LIFE)
    scheduler.plan(0)
    add(scheduler, job_row(Step(1, Resources(1_000, 1))), version=1)
    (order,) = scheduler.plan(10)
    assert order.life == LIFE
    fail(scheduler, order, 1, 20)
    later = "00000000000000bb"
    add(scheduler, job_row(Step(1, Resources(1_000, 1)), job=later), version=2)
    assert [run.task.job for run in planned_starts(scheduler, 30)] == [later]
    assert [run.task.job for run in planned_starts(scheduler, 3_000)] == [JOB]


def fail_jobs(scheduler: PoolScheduler, jobs: list[str], step: Step) -> None:
    """Start a run of each job on the only target that is not full; let it fail."""
    for number, job in enumerate(jobs):
        add(scheduler, job_row(step, job=job), version=number + 1, now_ms=number * 10)
        order = next(
            planned
            for planned in scheduler.plan(number * 10)
            if isinstance(planned.order, StartOrder)
        )
        fail(scheduler, order, number + 1, number * 10 + 1)


def test_failing_target_gets_no_start_while_healthy_ones_are_full(make_scheduler):
    healthy = [TargetLife(f"t-{number}", 1) for number in (2, 3, 4)]
    scheduler = make_scheduler(target(LIFE), *(target(life) for life in healthy))
    fill(scheduler, *healthy)
    scheduler.plan(0)
    fail_jobs(
        scheduler,
        [f"{number:016x}" for number in (20, 21, 22)],
        Step(1, Resources(1, 1)),
    )
    add(scheduler, job_row(Step(1, Resources(1_000, 1))), version=9, now_ms=100)
    assert planned_starts(scheduler, 100) == []


def test_targets_are_used_when_too_many_of_them_fail(make_scheduler):
    scheduler = make_scheduler(target(LIFE), target(OTHER_LIFE))
    fill(scheduler, OTHER_LIFE)
    scheduler.plan(0)
    fail_jobs(
        scheduler,
        [f"{number:016x}" for number in (20, 21, 22)],
        Step(1, Resources(1, 1)),
    )
    add(scheduler, job_row(Step(1, Resources(1_000, 1))), version=9, now_ms=100)
    assert len(planned_starts(scheduler, 100)) == 1


def test_target_is_not_avoided_for_failures_of_one_job(make_scheduler):
    scheduler = make_scheduler()
    add(scheduler, job_row(Step(4, Resources(1_000, 1))), version=1)
    for sequence, order in enumerate(scheduler.plan(0), 1):
        fail(scheduler, order, sequence, sequence)
    assert scheduler.targets[LIFE].avoided_until_ms == 0


def test_row_of_a_later_generation_fences_the_owner(make_scheduler):
    scheduler = make_scheduler(generation=1)
    row = job_row(Step(1, Resources(1_000, 1)))
    add(scheduler, replace(row, generation=2), version=1)
    add(scheduler, row, version=2)
    assert scheduler.is_fenced
    assert planned_starts(scheduler) == []
