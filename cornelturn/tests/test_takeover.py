"""Decisions while a pool changes hands."""

from __future__ import annotations

from cornelturn.scheduling.takeover import FIRST_REPORTS_MS, Takeover, barrier_ms
from cornelturn.targets.model import TargetLife
from cornelturn.targets.session import LEASE_MS

DARK = TargetLife("t-1", 1)


def test_jobs_are_read_once_all_targets_have_reported():
    takeover = Takeover(10, 5_000, True, {DARK})
    assert not takeover.may_read(FIRST_REPORTS_MS - 1)
    takeover.unsettled.discard(DARK)
    assert takeover.may_read(1)


def test_dark_target_holds_jobs_of_the_earlier_owner_alone():
    takeover = Takeover(10, 5_000, True, {DARK})
    assert not takeover.is_settled({DARK}, 4_999)
    assert takeover.may_have_run(10, False)
    assert takeover.may_have_run(11, True)
    assert not takeover.may_have_run(11, False)


def test_owner_that_may_live_holds_all_jobs():
    takeover = Takeover(10, 5_000, False, {DARK})
    assert takeover.may_have_run(11, False)


def test_target_that_ended_holds_nothing():
    takeover = Takeover(10, 5_000, True, {DARK})
    assert takeover.is_settled(set(), 1)


def test_barrier_outlasts_the_lease_on_the_slowest_clock():
    assert barrier_ms(True, 12_000) * 0.98 > LEASE_MS
    assert barrier_ms(False, 12_000) > barrier_ms(True, 12_000) + 12_000
