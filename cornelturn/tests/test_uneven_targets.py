"""Estimates of the speed of targets, and placement by them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import pytest

from cornelturn.benchmarks.uneven_targets import Case, play
from cornelturn.capacity.plan import SizingInputs
from cornelturn.capacity.sizing import PoolSizer
from cornelturn.jobs.model import EndKind, Resources, Run, RunEnd, Step, TaskId
from cornelturn.jobs.rows import job_key
from cornelturn.model.upkeep import Machine, MachineState
from cornelturn.peering.messages import TargetLoad
from cornelturn.scheduling.pool import PoolScheduler
from cornelturn.scheduling.run_progress import ProgressWindow
from cornelturn.speed.estimates import HALF_LIFE_MS, SlowTarget, SpeedEstimates
from cornelturn.speed.observations import CompletedRun, RunningRun
from cornelturn.speed.slow_placement import SlowPlacement, WaitingWork
from cornelturn.targets.model import Executed, StartOrder, TargetLife
from cornelturn.tests.pool_jobs import QUEUE, add, job_row, report, target

SLOW, FAST, OTHER = (TargetLife(f"t-{number}", 1) for number in range(3))
JOBS = ("00000000000000aa", "00000000000000bb")


@pytest.fixture
def estimates() -> SpeedEstimates:
    """Return estimates that know a step whose tasks take 1 s at full speed."""
    estimates = SpeedEstimates()
    for index, life in enumerate((FAST, OTHER, FAST, OTHER)):
        estimates.observe(completed(life, index, 1_000), 0)
    return estimates


def completed(life: TargetLife, index: int, took_ms: int, step=0, image="", job="j"):
    run = Run(TaskId(job, 0, step, index), 1)
    return CompletedRun(run, life, took_ms, image, 1_000)


def slow_down(estimates: SpeedEstimates, now_ms: int) -> None:
    for index in (10, 11):
        estimates.observe(completed(SLOW, index, 2_000), now_ms)


def test_one_slow_run_does_not_make_a_target_slow(estimates):
    """Guards against a target that is left idle as one of its tasks is long."""
    estimates.observe(completed(SLOW, 10, 5_000), 0)
    assert estimates.speed(SLOW) == 1.0
    estimates.observe(completed(SLOW, 11, 2_000), 0)
    assert estimates.speed(SLOW) == 0.5
    assert estimates.speed(FAST) == estimates.speed(OTHER) == 1.0


def test_target_is_found_slow_before_its_runs_end(estimates):
    """Guards against waiting for the ends of runs that take five times as long."""
    for index in (10, 11):
        run = Run(TaskId("j", 0, 0, index), 1)
        estimates.observe(RunningRun(run, SLOW, gained=8, elapsed_ms=900), 900)
    assert estimates.speed(SLOW) < 0.75


@pytest.mark.parametrize(
    ("gained", "elapsed_ms"), [(0, 500), (0, 600), (40, 900), (49, 1_000)]
)
def test_progress_of_a_healthy_run_that_is_half_a_second_old_is_not_slow(
    estimates, gained, elapsed_ms
):
    """Guards against old progress that is taken for slow progress."""
    for index in (10, 11):
        run = Run(TaskId("j", 0, 0, index), 1)
        estimates.observe(RunningRun(run, SLOW, gained, elapsed_ms), 900)
    assert estimates.speed(SLOW) == 1.0


def test_late_reports_do_not_make_a_target_of_short_tasks_slow():
    """Guards against a delay of a report that is taken for a slow run."""
    estimates = SpeedEstimates()
    for index, life in enumerate((FAST, OTHER, SLOW, SLOW)):
        took_ms = 240 if life == SLOW else 100
        estimates.observe(completed(life, index, took_ms), 0)
    assert estimates.speed(SLOW) == 1.0


def test_target_that_is_fast_again_counts_as_fast_after_two_runs(estimates):
    """Guards against an idle target whose disturbance is over."""
    slow_down(estimates, 1_000)
    for index in (20, 21):
        assert estimates.speed(SLOW) == 0.5
        estimates.observe(completed(SLOW, index, 1_000), 1_500)
    assert estimates.speed(SLOW) == 1.0
    assert [change.cause for change in estimates.take_changes()] == ["runs", "runs"]


def test_estimate_decays_without_runs_and_is_kept_longer_after_a_relapse(estimates):
    """Guards against a target that is never tried again, or too often."""
    slow_down(estimates, 0)
    estimates.decay(HALF_LIFE_MS // 2)
    assert 0.5 < estimates.speed(SLOW) < 0.75
    estimates.decay(HALF_LIFE_MS)
    assert estimates.speed(SLOW) == 1.0
    slow_down(estimates, 3_000)
    estimates.decay(3_000 + HALF_LIFE_MS)
    assert estimates.speed(SLOW) < 0.75
    estimates.decay(3_000 + 2 * HALF_LIFE_MS)
    assert estimates.speed(SLOW) == 1.0


@pytest.mark.parametrize(("usual_ms", "gained"), [(0, 0), (50_000, -2), (50_000, -40)])
def test_speed_is_positive_whatever_targets_report(usual_ms, gained):
    """Guards against a division by zero, which would end the owner of the pool."""
    estimates = SpeedEstimates()
    for index, life in enumerate((FAST, OTHER)):
        estimates.observe(completed(life, index, usual_ms), 0)
    for index in (10, 11):
        run = Run(TaskId("j", 0, 0, index), 1)
        if usual_ms:
            estimates.observe(RunningRun(run, SLOW, gained, elapsed_ms=900), 900)
        else:
            estimates.observe(completed(SLOW, index, 300), 900)
    assert 0 < estimates.speed(SLOW) < 0.75


def test_progress_that_falls_back_says_nothing_about_the_target():
    """Guards against a target that counts as slow as its run began anew."""
    window = ProgressWindow()
    window.note(0, 0, 0)
    assert window.note(40, 1_000, 0) == (40, 1_000)
    assert window.note(2, 1_500, 0) is None
    assert window.note(42, 2_500, 0) == (40, 1_000)


def test_steps_on_one_target_are_compared_by_their_image():
    """Guards against targets whose steps run nowhere else, and badly declared ones."""
    estimates = SpeedEstimates()
    for step, took_ms in enumerate((600, 900, 1_000, 1_300)):
        life = (FAST, OTHER)[step % 2]
        estimates.observe(completed(life, 0, took_ms, step, "image"), 0)
    for index in range(4):
        estimates.observe(completed(SLOW, index, 2_600, 10, "image"), 0)
    assert estimates.speed(SLOW) == 1.0
    estimates.observe(completed(SLOW, 0, 2_600, 11, "image"), 0)
    assert estimates.speed(SLOW) == 0.5


def test_work_waits_only_if_it_would_be_late_and_sooner_elsewhere():
    """Guards against work that waits in vain or without need."""
    placement = SlowPlacement()
    late = WaitingWork(cpu=1_000, run_ms=1_000, continue_by_ms=500)
    assert not placement.must_wait(late, 0.5, 0), "no room is released elsewhere"
    placement.releases.add(10_000, 0)
    assert placement.must_wait(late, 0.5, 0)
    relaxed = WaitingWork(cpu=1_000, run_ms=1_000, continue_by_ms=1_500)
    assert not placement.must_wait(relaxed, 0.5, 0)
    placement.ahead_cpu = 10_000
    assert not placement.must_wait(late, 0.5, 0), "others come first"


@pytest.fixture
def make_pool() -> Callable[..., PoolScheduler]:
    """Return a factory of pools with a slow target, which is the fullest one."""

    def make(fast_cpu: int) -> PoolScheduler:
        scheduler = PoolScheduler("pool", 1)
        listed = [target(SLOW, 4_000), target(FAST, fast_cpu), target(OTHER, fast_cpu)]
        scheduler.update_targets(listed, 0)
        for item in listed:
            scheduler.handle_report(report(item.life), 0, 0)
        scheduler.mark_loaded(0)
        scheduler.speeds.estimates.slow[SLOW] = SlowTarget(0.5, 0.5, 0, 60_000)
        return scheduler

    return make


def starts(scheduler: PoolScheduler, now_ms: int) -> list[tuple[str, TargetLife]]:
    orders = scheduler.plan(now_ms)
    return [(item.order.run.task.job, item.life) for item in orders]


def test_slow_target_is_used_only_when_the_others_are_full(make_pool):
    """Guards against starts on a slow target beside room at full speed."""
    scheduler = make_pool(fast_cpu=4_000)
    add(scheduler, job_row(Step(5, Resources(2_000, 1), 1_000)), version=1)
    lives = [life for _, life in starts(scheduler, 0)]
    assert lives[:4].count(SLOW) == 0
    assert lives[4] == SLOW


def test_work_with_time_left_starts_on_a_slow_target_before_late_work(make_pool):
    """Guards against an idle slow target while work that tolerates it waits."""
    scheduler = make_pool(fast_cpu=2_000)
    add(scheduler, job_row(Step(2, Resources(2_000, 1), 1_000), job="f" * 16), 1)
    assert SLOW not in [life for _, life in starts(scheduler, 0)]
    scheduler.speeds.placement.releases.add(20_000, 0)
    for job, slack_ms in zip(JOBS, (500, 60_000), strict=False):
        queue = replace(QUEUE, slack_factor=1.0, slack_ms=slack_ms)
        row = job_row(Step(1, Resources(2_000, 1), 1_000), job=job)
        scheduler.add_job(job_key(queue.name, job), row, 1, queue, 0)
    assert starts(scheduler, 0) == [(JOBS[1], SLOW)]


def test_work_that_fits_no_other_target_starts_on_a_slow_one(make_pool):
    """Guards against work that waits for targets that can never run it."""
    scheduler = make_pool(fast_cpu=1_000)
    scheduler.speeds.placement.releases.add(20_000, 0)
    queue = replace(QUEUE, slack_factor=1.0, slack_ms=500)
    row = job_row(Step(1, Resources(2_000, 1), 1_000), job=JOBS[0])
    scheduler.add_job(job_key(queue.name, JOBS[0]), row, 1, queue, 0)
    assert starts(scheduler, 0) == [(JOBS[0], SLOW)]


def test_runs_of_an_earlier_owner_say_nothing_by_their_length():
    """Guards against a successor that counts their time from its own takeover."""
    scheduler = PoolScheduler("pool", 2)
    lives = (FAST, OTHER, SLOW)
    scheduler.update_targets([target(life) for life in lives], 0)
    add(scheduler, job_row(Step(6, Resources(1_000, 1), 1_000)), version=1)
    scheduler.mark_loaded(0)
    for index in range(6):
        run = Run(TaskId(JOBS[0], 0, 0, index), 1)
        life = lives[index // 2]
        end = RunEnd(1 + index % 2, run, EndKind.DONE)
        scheduler.handle_report(
            report(life, ended=(end,)), 0, 100 + 5_000 * (index > 3)
        )
    assert not scheduler.speeds.estimates.slow
    assert not scheduler.speeds.estimates.step_times.groups


def test_scheduler_learns_from_the_ends_that_targets_report(make_pool):
    """Guards against estimates that reports do not reach, or that are not passed on."""
    scheduler = make_pool(fast_cpu=4_000)
    scheduler.speeds.forget(SLOW)
    add(scheduler, job_row(Step(12, Resources(1_000, 1), 1_000)), version=1)
    ends: dict[TargetLife, list[RunEnd]] = {}
    for item in scheduler.plan(0):
        assert isinstance(item.order, StartOrder)
        scheduler.handle_order_result(item.life, item.order, Executed(), 0)
        of_life = ends.setdefault(item.life, [])
        of_life.append(RunEnd(len(of_life) + 1, item.order.run, EndKind.DONE))
    for life, at_ms in ((FAST, 1_000), (OTHER, 1_000), (SLOW, 2_000)):
        scheduler.handle_report(report(life, ended=tuple(ends[life])), 0, at_ms)
    assert scheduler.speeds.estimates.speed(SLOW) == 0.5
    speeds = {load.target: load.speed for load in scheduler.pool_load(0).targets}
    assert speeds == {SLOW.name: 50, FAST.name: 100, OTHER.name: 100}


def test_slow_targets_leave_a_pool_first():
    """Guards against a pool that gives up targets at full speed and keeps slow ones."""
    loads = {
        "t-a": TargetLoad("t-a", 0, 0, False),
        "t-b": TargetLoad("t-b", 9, 1, False, 50),
    }
    inputs = SizingInputs((), set(), set(), frozenset(), {}, loads)
    machines = [Machine(name, "pool", MachineState.UP, f"t-{name}") for name in "ab"]
    sizer = PoolSizer()
    machines.sort(key=lambda machine: sizer._release_order(inputs, machine))
    assert [machine.name for machine in machines] == ["b", "a"]


@pytest.mark.parametrize(
    ("case", "gain"),
    [
        (Case("calm", 6, 0.5, 0.5), 0.1),
        (Case("at capacity", 6, 1.0, 0.5), 0.01),
        (Case("calm, for seconds", 6, 0.5, 0.5, is_lasting=False), 0.01),
    ],
    ids=lambda value: getattr(value, "name", None),
)
def test_more_jobs_are_on_time_with_a_target_at_half_its_speed(case, gain):
    """Guards against a placement by speed that does not help jobs."""
    without, with_part = (
        sum(play(case, seed, is_enabled=value).on_time() for seed in (1, 2)) / 2
        for value in (False, True)
    )
    assert with_part >= without + gain
