"""Tests the decisions on filling work beside serving work, without sockets."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cornelturn.interference.controller import (
    START_LEVEL,
    DecreaseCause,
    PaceController,
    PacingBounds,
    ServingFigure,
)
from cornelturn.interference.factors import (
    MAX_FACTOR,
    ImagePair,
    PairFactors,
    Sample,
)
from cornelturn.interference.run_pace import CONFIRM_MS, RETRY_MS, RunPace
from cornelturn.jobs.model import CPU_UNITS_PER_CORE, Resources, Run, Step, TaskId
from cornelturn.jobs.progress import Progress
from cornelturn.model.decoding import MAX_AMOUNT
from cornelturn.scheduling.pool import PoolScheduler
from cornelturn.targets.model import (
    ActiveRun,
    Executed,
    PaceOrder,
    StartOrder,
    StopOrder,
    TargetLife,
    TargetReport,
    Unanswered,
)
from cornelturn.tests.pool_jobs import LIFE, OTHER_LIFE, add, job_row, target

SERVING_JOB, FILLING_JOB = "00000000000000a1", "00000000000000a2"
WEB = Step(1, Resources(1_000, 1), is_lasting=True, image="web", tail_limit_ms=200)
FILL = Step(1, Resources(2_000, 1), 1_000, image="fill", is_filling=True)
RUN = Run(TaskId(SERVING_JOB, 0, 0, 0), 1)


@pytest.fixture
def scheduler() -> PoolScheduler:
    """Return a scheduler with one reachable target."""
    scheduler = PoolScheduler("pool", 1)
    scheduler.update_targets([target(LIFE)], 0)
    scheduler.handle_report(TargetReport(LIFE, 0, (), ()), 0, 0)
    scheduler.mark_loaded(0)
    return scheduler


@pytest.fixture
def controller() -> PaceController:
    """Return a controller of one serving run beside four cores of filling work."""
    controller = PaceController(PacingBounds(), 0)
    controller.update_runs(frozenset({RUN}), {"fill": 4_000}, 0)
    return controller


def start(scheduler: PoolScheduler, job: str, step: Step, now_ms: int) -> Run:
    """Start the task of a job, with all orders answered."""
    add(scheduler, job_row(step, job=job), version=1, now_ms=now_ms)
    started = settle(scheduler, now_ms, StartOrder)
    return started[0].run


def settle(scheduler: PoolScheduler, now_ms: int, kind: type) -> list:
    """Carry out all orders that are due, and return those of a kind."""
    orders: list = []
    while planned := scheduler.plan(now_ms):
        for item in planned:
            scheduler.handle_order_result(item.life, item.order, Executed(), now_ms)
        orders += [item.order for item in planned if isinstance(item.order, kind)]
    return orders


def report(scheduler: PoolScheduler, now_ms: int, tail_ms: int, *runs: Run) -> None:
    """Report a serving run and filling runs at 10 percent that use no processor."""
    active = [ActiveRun(runs[0], "", 100, tail_ms)]
    active += [ActiveRun(run, "", 10, 0) for run in runs[1:]]
    scheduler.handle_report(
        TargetReport(LIFE, now_ms, tuple(active), ()), now_ms, now_ms
    )


@pytest.mark.parametrize("cpu", [8_000_000, MAX_AMOUNT], ids=str)
def test_filling_task_larger_than_any_target_leaves_the_pool_at_work(scheduler, cpu):
    """Fails if one hopeless filling task ends the plan, and with it each owner."""
    start(scheduler, SERVING_JOB, WEB, 0)
    large = replace(FILL, need=Resources(cpu, 1))
    add(scheduler, job_row(large, job=FILLING_JOB), version=1, now_ms=1)
    scheduler.plan(1)
    usual = Step(2, Resources(1_000, 1), 300)
    add(scheduler, job_row(usual, job="00000000000000a3"), version=1, now_ms=2)
    assert len(settle(scheduler, 2, StartOrder)) == usual.count


@given(
    factor=st.floats(0, MAX_FACTOR), cores=st.floats(0, MAX_AMOUNT / CPU_UNITS_PER_CORE)
)
def test_expected_growth_is_finite_for_any_cores(factor, cores):
    """Fails if a cost overflows for a number that a caller may send."""
    pair = ImagePair("web", "fill")
    growth = PairFactors(factors={pair: factor}).growth(*pair, cores)
    assert 1 <= growth < math.inf


def test_stopped_filling_run_is_not_stalled_until_it_may_work_again(scheduler):
    """Fails if a run that may not work is stopped, or one that may never is."""
    serving = start(scheduler, SERVING_JOB, WEB, 0)
    filling = start(scheduler, FILLING_JOB, FILL, 1)
    for now_ms in range(400, 30_000, 400):
        report(scheduler, now_ms, 300, serving, filling)
        assert settle(scheduler, now_ms, StopOrder) == []
    assert scheduler.targets[LIFE].runs[filling].pace == 0
    stops: list = []
    for now_ms in range(30_000, 60_000, 400):
        report(scheduler, now_ms, 20, serving, filling)
        stops += settle(scheduler, now_ms, StopOrder)
    assert [order.run for order in stops] == [filling]


def test_run_without_progress_is_stalled_once_nothing_serves_beside_it(scheduler):
    """Fails if a run counts as slowed for ever after its pace was restored."""
    serving = start(scheduler, SERVING_JOB, WEB, 0)
    filling = start(scheduler, FILLING_JOB, FILL, 1)
    for now_ms in range(400, 4_000, 400):
        report(scheduler, now_ms, 300, serving, filling)
        settle(scheduler, now_ms, StopOrder)
    cancelled = Progress(is_cancelled=True)
    add(scheduler, job_row(WEB, job=SERVING_JOB, progress=cancelled), 2, 4_000)
    stops: list = []
    for now_ms in range(4_400, 40_000, 400):
        scheduler.handle_report(
            TargetReport(LIFE, now_ms, (ActiveRun(filling, "", 10),), ()),
            now_ms,
            now_ms,
        )
        stops += settle(scheduler, now_ms, StopOrder)
    assert filling in [order.run for order in stops]
    assert LIFE not in scheduler.pacing.targets


def test_filling_run_gets_its_pace_once_its_start_is_answered(scheduler):
    """Fails if a run that starts beside a serving run works at its full pace."""
    start(scheduler, SERVING_JOB, WEB, 0)
    add(scheduler, job_row(FILL, job=FILLING_JOB), version=1)
    (order,) = scheduler.plan(1)
    assert isinstance(order.order, StartOrder)
    scheduler.handle_order_result(LIFE, order.order, Executed(), 2)
    paced = [item.order for item in scheduler.plan(2)]
    assert paced == [PaceOrder(order.order.run, round(START_LEVEL))]


def test_run_that_works_on_at_its_former_pace_gets_its_pace_again(scheduler):
    """Fails if a confirmed pace is trusted although the reports show another one."""
    serving = start(scheduler, SERVING_JOB, WEB, 0)
    filling = start(scheduler, FILLING_JOB, FILL, 1)
    orders: list = []
    for now_ms in range(400, 6_000, 400):
        loads = (ActiveRun(serving, "", 100, 300), ActiveRun(filling, "", 10, 2_000))
        scheduler.handle_report(TargetReport(LIFE, now_ms, loads, ()), now_ms, now_ms)
        orders += settle(scheduler, now_ms, PaceOrder)
    assert [order.percent for order in orders[-2:]] == [0, 0]


def test_reports_of_shared_targets_only_are_more_frequent(scheduler):
    """Fails if figures are up to 900 ms older, or all targets report more often."""
    start(scheduler, FILLING_JOB, FILL, 0)
    assert scheduler.pacing.report_wait_ms(LIFE, 900) == 900
    start(scheduler, SERVING_JOB, WEB, 1)
    assert scheduler.pacing.report_wait_ms(LIFE, 900) == 400


def test_filling_task_goes_where_it_disturbs_least(scheduler):
    """Fails if a target with a serving run is preferred, or the learnt pair ignored."""
    serving = start(scheduler, SERVING_JOB, WEB, 0)
    other = TargetLife("t-3", 1)
    scheduler.update_targets([target(life) for life in (LIFE, OTHER_LIFE, other)], 1)
    for life in (OTHER_LIFE, other):
        scheduler.handle_report(TargetReport(life, 0, (), ()), 1, 1)
    assert serving in scheduler.targets[LIFE].runs
    start(scheduler, FILLING_JOB, FILL, 2)
    assert not scheduler.neighbours.is_shared(LIFE)

    database = Step(
        2, Resources(1_000, 1), is_lasting=True, image="db", tail_limit_ms=200
    )
    add(scheduler, job_row(database, job="00000000000000a3"), version=1, now_ms=3)
    settle(scheduler, 3, StartOrder)
    factors = scheduler.pacing.factors.factors
    factors[ImagePair("web", "fill")], factors[ImagePair("db", "fill")] = 0.6, 0.1
    add(scheduler, job_row(FILL, job="00000000000000a4"), version=1, now_ms=4)
    settle(scheduler, 4, StartOrder)
    assert not scheduler.neighbours.is_shared(LIFE)


def test_overload_that_a_decrease_does_not_end_stops_filling_work(controller):
    """Fails if repeated halving is left to bring the pace down."""
    now_ms = 0
    while controller.level > 0:
        now_ms += 400
        controller.observe({RUN: ServingFigure(220, 200)}, now_ms)
    assert now_ms <= 4_000 / 2


def test_level_falls_at_once_when_the_load_jumps(controller):
    """Fails if the mean of the figures hides a jump."""
    for now_ms in range(400, 20_000, 400):
        controller.observe({RUN: ServingFigure(60, 200)}, now_ms)
    assert controller.level == 100
    change = controller.observe({RUN: ServingFigure(190, 200)}, 20_000)
    assert change.cause is DecreaseCause.JUMP
    assert controller.level <= 80


def test_short_filling_tasks_in_series_do_not_hold_the_level_down(controller):
    """Fails if each start in the place of an ended task counts as something new."""
    for now_ms in range(400, 20_000, 400):
        cores = 4_000 if now_ms % 800 else 3_000
        controller.update_runs(frozenset({RUN}), {"fill": cores}, now_ms)
        controller.observe({RUN: ServingFigure(60, 200)}, now_ms)
    assert controller.level == 100
    controller.update_runs(frozenset({RUN}), {"fill": 8_000}, 20_000)
    assert controller.level == 50


def test_late_report_stops_filling_work(controller):
    """Fails if old figures are trusted for longer than a part of the allowed time."""
    controller.observe({RUN: ServingFigure(60, 200)}, 400)
    assert controller.check(1_700) is None
    assert controller.check(1_800).cause is DecreaseCause.NO_REPORT
    assert controller.level == 0


def test_decrease_does_not_wait_for_the_answer_to_an_earlier_order():
    """Fails if a raise in flight delays a decrease, or may come after it unnoticed."""
    pace = RunPace(wanted=80, confirmed=30)
    assert pace.next_order(0) == 80
    pace.wanted = 0
    assert pace.next_order(10) == 0
    pace.settle(80, Executed(), 20)
    pace.settle(0, Executed(), 30)
    assert pace.next_order(30) == 0


def test_order_without_an_answer_is_repeated_and_confirmed_later():
    """Fails if an order that was carried out late replaces the one after it."""
    pace = RunPace(wanted=0, confirmed=30)
    assert pace.next_order(0) == 0
    pace.settle(0, Unanswered("timeout"), 700)
    assert pace.next_order(700 + RETRY_MS - 1) is None
    assert pace.next_order(700 + RETRY_MS) == 0
    pace.settle(0, Executed(), 900)
    assert pace.next_order(901) is None
    assert pace.next_order(700 + CONFIRM_MS) == 0


def test_factors_of_pairs_are_told_apart():
    """Fails if a harmful pair is not told from a harmless one with the same images."""
    factors = PairFactors()
    true = {("web", "hog"): 0.5, ("web", "calm"): 0.02, ("db", "hog"): 0.02}
    for number in range(200):
        for (serving, filling), factor in true.items():
            life = TargetLife(f"{serving}-{filling}", 1)
            cores = 2.0 if number % 2 else 0.0
            tail_ms = round(1_000 * (1 + factor) ** cores)
            sample = Sample(tail_ms, {filling: cores})
            factors.learn(life, RUN, serving, sample)
    learnt = {pair: factors.factor(ImagePair(*pair)) for pair in true}
    assert learnt["web", "hog"] > 5 * max(learnt["web", "calm"], learnt["db", "hog"])
