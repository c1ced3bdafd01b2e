"""What the log says of takeovers: lists of names are bounded, and losses are named."""

from __future__ import annotations

import pytest

from cornelturn.events.log import MAX_LISTED_NAMES, render_names
from cornelturn.jobs.model import Run, TaskId
from cornelturn.ownership.duties import HeldTarget
from cornelturn.scheduling.owner import adopted_target
from cornelturn.scheduling.pool import PoolScheduler
from cornelturn.scheduling.takeover import JobScan, Takeover
from cornelturn.scheduling.takeover_log import TakeoverLog
from cornelturn.targets.model import ActiveRun, TargetLife, TargetReport

POOL = "pool-0"
REPORTED, SILENT = TargetLife("t-1", 1), TargetLife("t-2", 1)


@pytest.fixture
def takeover_log() -> TakeoverLog:
    """Return the log of a takeover that waits for one target of two."""
    scheduler = PoolScheduler(POOL, 2)
    lives = (REPORTED, SILENT)
    targets = [adopted_target(POOL, HeldTarget(life, "")) for life in lives]
    scheduler.update_targets(targets, 0)
    return TakeoverLog(scheduler, Takeover(10, 5_000, True, {SILENT}))


def test_list_of_names_is_bounded():
    names = [f"t-{number:03}" for number in range(MAX_LISTED_NAMES + 88)]
    text = render_names(names)
    assert text.startswith("t-000,t-001,")
    assert text.endswith(f",t-{MAX_LISTED_NAMES - 1:03},+88")
    assert render_names([]) == "-"


def test_target_that_has_not_reported_is_named_when_it_leaves_the_row(
    takeover_log: TakeoverLog, events: pytest.LogCaptureFixture
):
    takeover_log.row_due({REPORTED, SILENT}, 400)
    takeover_log.row_due({SILENT}, 400)
    assert "targets_dropped" not in events.text
    takeover_log.row_due({REPORTED}, 400)
    assert "event=targets_dropped pool=pool-0 generation=2 is_loaded=false" in (
        events.text
    )
    assert "unsettled=t-2 unread=- barrier_ms=5000 after_ms=400" in events.text


def test_target_whose_reported_runs_wait_for_jobs_is_named_when_it_leaves_the_row(
    takeover_log: TakeoverLog, events: pytest.LogCaptureFixture
):
    run = Run(TaskId("job", 0, 0, 0), 1)
    report = TargetReport(REPORTED, 0, (ActiveRun(run, "", 0),), ())
    takeover_log.scheduler.handle_report(report, 10, 20)
    takeover_log.row_due({SILENT}, 400)
    assert "unsettled=- unread=t-1 barrier_ms=5000 after_ms=400" in events.text


def test_nothing_is_lost_from_the_row_once_a_takeover_is_over(
    takeover_log: TakeoverLog, events: pytest.LogCaptureFixture
):
    takeover_log.takeover.finish_scan(JobScan(False, True))
    takeover_log.row_due(set(), 6_000)
    assert "targets_dropped" not in events.text


def test_targets_that_the_last_scan_does_not_wait_for_are_named(
    takeover_log: TakeoverLog, events: pytest.LogCaptureFixture
):
    takeover_log.scan_started(JobScan(True, False), 300)
    assert "targets_given_up" not in events.text
    takeover_log.scan_started(JobScan(False, True), 5_100)
    assert "targets=1 names=t-2 barrier_ms=5000 after_ms=5100" in events.text
