"""Runs that make no progress, as reports show them early and late."""

from __future__ import annotations

import pytest

from cornelturn.jobs.model import Resources, Run, Step
from cornelturn.scheduling.evacuation import STALL_TIMEOUT_MS
from cornelturn.scheduling.pool import PoolScheduler
from cornelturn.targets.model import (
    ActiveRun,
    Executed,
    StartOrder,
    StopOrder,
    TargetReport,
)
from cornelturn.tests.test_pool_scheduler import LIFE, add, job_row, starts, target


@pytest.fixture
def scheduler() -> PoolScheduler:
    """Return a scheduler whose one target answers."""
    made = PoolScheduler("pool", 1)
    made.update_targets([target(LIFE)], 0)
    made.handle_report(TargetReport(LIFE, 0, (), ()), 0, 0)
    made.mark_loaded(0)
    return made


def start_one(scheduler: PoolScheduler) -> Run:
    add(scheduler, job_row(Step(1, Resources(1_000, 1))), version=1)
    (run,) = starts(scheduler)
    scheduler.handle_order_result(LIFE, StartOrder(run, "text"), Executed(), 1)
    return run


def show(scheduler: PoolScheduler, run: Run, percent: int, clock_ms: int) -> None:
    """Report the progress of a run as of a time on the clock of its target."""
    active = (ActiveRun(run, "", percent),)
    report = TargetReport(LIFE, clock_ms, active, ())
    scheduler.handle_report(report, clock_ms, clock_ms)


def stops(scheduler: PoolScheduler, now_ms: int) -> list[Run]:
    orders = scheduler.plan(now_ms)
    return [one.order.run for one in orders if isinstance(one.order, StopOrder)]


def test_run_is_not_taken_for_stuck_while_no_report_of_it_arrives(scheduler):
    run = start_one(scheduler)
    assert stops(scheduler, 2 * STALL_TIMEOUT_MS) == []
    show(scheduler, run, 10, 100)
    assert stops(scheduler, 3 * STALL_TIMEOUT_MS) == []


def test_run_that_shows_no_progress_in_later_reports_moves(scheduler):
    run = start_one(scheduler)
    show(scheduler, run, 10, 100)
    show(scheduler, run, 10, 99 + STALL_TIMEOUT_MS)
    assert stops(scheduler, 99 + STALL_TIMEOUT_MS) == []
    show(scheduler, run, 10, 100 + STALL_TIMEOUT_MS)
    assert stops(scheduler, 100 + STALL_TIMEOUT_MS) == [run]


def test_run_that_goes_on_stays(scheduler):
    run = start_one(scheduler)
    for number in range(4):
        show(scheduler, run, 10 + number, 100 + number * STALL_TIMEOUT_MS)
        assert stops(scheduler, 100 + number * STALL_TIMEOUT_MS) == []


def test_stuck_run_moves_when_its_target_answers_again(scheduler):
    run = start_one(scheduler)
    show(scheduler, run, 10, 100)
    scheduler.contact_lost(LIFE, 99_999)
    assert stops(scheduler, 200 + STALL_TIMEOUT_MS) == []
    show(scheduler, run, 10, 300 + STALL_TIMEOUT_MS)
    assert stops(scheduler, 300 + STALL_TIMEOUT_MS) == [run]
    assert stops(scheduler, 301 + STALL_TIMEOUT_MS) == []


def test_late_contact_loss_puts_a_stop_off_until_the_next_report(scheduler):
    run = start_one(scheduler)
    show(scheduler, run, 10, 100)
    show(scheduler, run, 10, 100 + STALL_TIMEOUT_MS)
    scheduler.contact_lost(LIFE, 99_999)
    assert stops(scheduler, 100 + STALL_TIMEOUT_MS) == []
    show(scheduler, run, 10, 200 + STALL_TIMEOUT_MS)
    assert stops(scheduler, 200 + STALL_TIMEOUT_MS) == [run]
