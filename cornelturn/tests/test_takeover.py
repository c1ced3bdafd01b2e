"""Decisions while a pool changes hands."""

from __future__ import annotations

from cornelturn.scheduling.takeover import (
    FIRST_REPORTS_TIMEOUT_MS,
    JobScan,
    Takeover,
    barrier_ms,
)
from cornelturn.targets.model import TargetLife
from cornelturn.targets.session import LEASE_MS

DARK = TargetLife("t-1", 1)


def test_jobs_are_read_once_when_all_targets_have_reported():
    takeover = Takeover(10, 5_000, True, {DARK})
    assert takeover.next_scan({DARK}, FIRST_REPORTS_TIMEOUT_MS - 1) is None
    takeover.unreported.discard(DARK)
    assert takeover.next_scan({DARK}, 1) == JobScan(True, True)
    assert takeover.next_scan({DARK}, 2) is None


def test_dark_target_has_jobs_read_again_after_its_lease():
    takeover = Takeover(10, 5_000, True, {DARK})
    assert takeover.next_scan({DARK}, FIRST_REPORTS_TIMEOUT_MS) == JobScan(True, False)
    assert takeover.next_scan({DARK}, 4_999) is None
    assert takeover.next_scan({DARK}, 5_000) == JobScan(False, True)


def test_rows_read_before_the_last_report_settle_nothing():
    takeover = Takeover(10, 5_000, True, {DARK})
    first = takeover.next_scan({DARK}, FIRST_REPORTS_TIMEOUT_MS)
    takeover.unreported.discard(DARK)
    last = takeover.next_scan({DARK}, FIRST_REPORTS_TIMEOUT_MS + 1)
    takeover.finish_scan(first)
    assert takeover.may_have_run("job", 10, False)
    takeover.finish_scan(last)
    assert not takeover.may_have_run("job", 10, False)


def test_dark_target_holds_jobs_of_the_earlier_owner_alone():
    takeover = Takeover(10, 5_000, True, {DARK})
    assert takeover.may_have_run("job", 10, False)
    assert takeover.may_have_run("job", 11, True)
    assert not takeover.may_have_run("job", 11, False)


def test_owner_that_may_live_holds_all_jobs():
    takeover = Takeover(10, 5_000, False, {DARK})
    assert takeover.may_have_run("job", 11, False)


def test_target_that_ended_holds_nothing():
    takeover = Takeover(10, 5_000, True, {DARK})
    assert takeover.next_scan(set(), 1) == JobScan(True, True)


def test_barrier_outlasts_the_lease_on_the_slowest_clock():
    assert barrier_ms(True, 12_000) * 0.98 > LEASE_MS
    assert barrier_ms(False, 12_000) > barrier_ms(True, 12_000) + 12_000
