"""Tests the decisions during the takeover of a pool."""

from __future__ import annotations

from cornelturn.peering.messages import OpenRuns
from cornelturn.scheduling.takeover import (
    FIRST_REPORTS_TIMEOUT_MS,
    JobScan,
    Takeover,
    barrier_ms,
)
from cornelturn.targets.model import TargetLife
from cornelturn.targets.session import LEASE_MS

SILENT = TargetLife("t-1", 1)
LATER_LIFE = TargetLife("t-1", 600)


def test_jobs_are_read_once_when_all_targets_have_reported():
    takeover = Takeover(10, 5_000, True, {SILENT})
    assert takeover.next_scan({SILENT}, FIRST_REPORTS_TIMEOUT_MS - 1) is None
    takeover.unreported.discard(SILENT)
    assert takeover.next_scan({SILENT}, 1) == JobScan(True, True)
    assert takeover.next_scan({SILENT}, 2) is None


def test_jobs_are_read_again_after_the_lease_of_a_silent_target():
    takeover = Takeover(10, 5_000, True, {SILENT})
    assert takeover.next_scan({SILENT}, FIRST_REPORTS_TIMEOUT_MS) == JobScan(
        True, False
    )
    assert takeover.next_scan({SILENT}, 4_999) is None
    assert takeover.next_scan({SILENT}, 5_000) == JobScan(False, True)


def test_rows_read_before_the_last_report_unblock_no_job():
    takeover = Takeover(10, 5_000, True, {SILENT})
    first = takeover.next_scan({SILENT}, FIRST_REPORTS_TIMEOUT_MS)
    takeover.unreported.discard(SILENT)
    last = takeover.next_scan({SILENT}, FIRST_REPORTS_TIMEOUT_MS + 1)
    takeover.finish_scan(first)
    assert takeover.may_have_run("job", 10, False)
    takeover.finish_scan(last)
    assert not takeover.may_have_run("job", 10, False)


def test_silent_target_blocks_only_jobs_of_the_earlier_owner():
    takeover = Takeover(10, 5_000, True, {SILENT})
    assert takeover.may_have_run("job", 10, False)
    assert takeover.may_have_run("job", 11, True)
    assert not takeover.may_have_run("job", 11, False)


def test_target_may_hide_runs_until_it_has_reported_or_its_leases_have_lapsed():
    takeover = Takeover(10, 5_000, True, {SILENT})
    assert takeover.may_hide_runs(SILENT, 4_999)
    assert not takeover.may_hide_runs(SILENT, 5_000)
    takeover.note_report(SILENT, is_complete=False)
    assert takeover.may_hide_runs(SILENT, 5_000)
    takeover.note_report(SILENT, is_complete=True)
    assert not takeover.may_hide_runs(SILENT, 0)


def test_earlier_owner_that_may_still_act_blocks_all_jobs():
    takeover = Takeover(10, 5_000, False, {SILENT})
    assert takeover.may_have_run("job", 11, False)


def test_parts_that_the_last_scan_has_read_block_no_job():
    takeover = Takeover(10, 5_000, False, set())
    scan = takeover.next_scan(set(), 1)
    takeover.add_read_parts(scan, {"jobs/q.1"})
    assert not takeover.may_have_run("job", 10, True, "jobs/q.1")
    assert takeover.may_have_run("job", 10, True, "jobs/q.2")


def test_parts_read_before_the_last_report_unblock_no_job():
    takeover = Takeover(10, 5_000, True, {SILENT})
    first = takeover.next_scan({SILENT}, FIRST_REPORTS_TIMEOUT_MS)
    takeover.add_read_parts(first, {"jobs/q.1"})
    assert takeover.may_have_run("job", 10, False, "jobs/q.1")


def test_parts_read_after_a_hand_over_block_only_hidden_jobs():
    takeover = Takeover(10, 5_000, False, {SILENT})
    takeover.predecessor_answered((OpenRuns(SILENT, ("dark",)),), now_ms=1)
    scan = takeover.next_scan({SILENT}, FIRST_REPORTS_TIMEOUT_MS)
    takeover.add_read_parts(scan, {"jobs/q.1"})
    assert takeover.may_have_run("dark", 10, False, "jobs/q.1")
    assert not takeover.may_have_run("other", 10, True, "jobs/q.1")
    assert takeover.may_have_run("other", 10, True, "jobs/q.2")


def test_target_that_restarts_while_the_last_scan_reads_jobs_blocks_them():
    takeover = Takeover(10, 5_000, True, {SILENT})
    takeover.note_report(SILENT, is_complete=True)
    scan = takeover.next_scan({SILENT}, FIRST_REPORTS_TIMEOUT_MS)
    takeover.replace_lives({SILENT: LATER_LIFE})
    assert takeover.may_hide_runs(LATER_LIFE, FIRST_REPORTS_TIMEOUT_MS)
    takeover.finish_scan(scan)
    assert not takeover.is_settled()
    assert takeover.may_have_run("job", 10, False)


def test_target_whose_life_ended_blocks_no_job():
    takeover = Takeover(10, 5_000, True, {SILENT})
    assert takeover.next_scan(set(), 1) == JobScan(True, True)


def test_barrier_outlasts_the_lease_on_the_slowest_clock():
    assert barrier_ms(True, 12_000) * 0.98 > LEASE_MS
    assert barrier_ms(False, 12_000) > barrier_ms(True, 12_000) + 12_000
