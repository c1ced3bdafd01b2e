"""Tests runs without progress, for reports that arrive in time and late."""

from __future__ import annotations

import pytest

from cornelturn.jobs.model import Resources, Run, Step
from cornelturn.scheduling.pool import PoolScheduler
from cornelturn.scheduling.run_progress import STALL_TIMEOUT_MS
from cornelturn.targets.model import (
    ActiveRun,
    Executed,
    StartOrder,
    StopOrder,
    TargetReport,
)
from cornelturn.tests.pool_jobs import (
    LIFE,
    add,
    job_row,
    planned_starts,
    target,
)


@pytest.fixture
def scheduler() -> PoolScheduler:
    """Return a scheduler with one reachable target."""
    scheduler = PoolScheduler("pool", 1)
    scheduler.update_targets([target(LIFE)], 0)
    scheduler.handle_report(TargetReport(LIFE, 0, (), ()), 0, 0)
    scheduler.mark_loaded(0)
    return scheduler


def start_run(scheduler: PoolScheduler) -> Run:
    add(scheduler, job_row(Step(1, Resources(1_000, 1))), version=1)
    (run,) = planned_starts(scheduler)
    scheduler.handle_order_result(LIFE, StartOrder(run, "text"), Executed(), 1)
    return run


def report_progress(
    scheduler: PoolScheduler, run: Run, percent: int, clock_ms: int
) -> None:
    """Report the progress of a run as of a time on the clock of its target."""
    active = (ActiveRun(run, "", percent),)
    report = TargetReport(LIFE, clock_ms, active, ())
    scheduler.handle_report(report, clock_ms, clock_ms)


def planned_stops(scheduler: PoolScheduler, now_ms: int) -> list[Run]:
    orders = scheduler.plan(now_ms)
    return [
        planned.order.run for planned in orders if isinstance(planned.order, StopOrder)
    ]


def test_run_is_not_stalled_while_no_report_of_it_arrives(scheduler):
    run = start_run(scheduler)
    assert planned_stops(scheduler, 2 * STALL_TIMEOUT_MS) == []
    report_progress(scheduler, run, 10, 100)
    assert planned_stops(scheduler, 3 * STALL_TIMEOUT_MS) == []


def test_run_without_progress_in_later_reports_is_stopped(scheduler):
    run = start_run(scheduler)
    report_progress(scheduler, run, 10, 100)
    report_progress(scheduler, run, 10, 99 + STALL_TIMEOUT_MS)
    assert planned_stops(scheduler, 99 + STALL_TIMEOUT_MS) == []
    report_progress(scheduler, run, 10, 100 + STALL_TIMEOUT_MS)
    assert planned_stops(scheduler, 100 + STALL_TIMEOUT_MS) == [run]


def test_run_that_makes_progress_is_not_stopped(scheduler):
    run = start_run(scheduler)
    for number in range(4):
        report_progress(scheduler, run, 10 + number, 100 + number * STALL_TIMEOUT_MS)
        assert planned_stops(scheduler, 100 + number * STALL_TIMEOUT_MS) == []


def test_stalled_run_is_stopped_when_its_target_answers_again(scheduler):
    run = start_run(scheduler)
    report_progress(scheduler, run, 10, 100)
    scheduler.contact_lost(LIFE, 99_999)
    assert planned_stops(scheduler, 200 + STALL_TIMEOUT_MS) == []
    report_progress(scheduler, run, 10, 300 + STALL_TIMEOUT_MS)
    assert planned_stops(scheduler, 300 + STALL_TIMEOUT_MS) == [run]
    assert planned_stops(scheduler, 301 + STALL_TIMEOUT_MS) == []


def test_contact_loss_postpones_a_stop_until_the_next_report(scheduler):
    run = start_run(scheduler)
    report_progress(scheduler, run, 10, 100)
    report_progress(scheduler, run, 10, 100 + STALL_TIMEOUT_MS)
    scheduler.contact_lost(LIFE, 99_999)
    assert planned_stops(scheduler, 100 + STALL_TIMEOUT_MS) == []
    report_progress(scheduler, run, 10, 200 + STALL_TIMEOUT_MS)
    assert planned_stops(scheduler, 200 + STALL_TIMEOUT_MS) == [run]
