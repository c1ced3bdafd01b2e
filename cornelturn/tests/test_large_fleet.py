"""Days of 43 entries in two sizes with five pools, and trouble in series."""

from __future__ import annotations

from cornelturn.tests.large_fleet import LargeDay, Trouble, play_large_day

SEED = 1


def hold_to_the_rules(day: LargeDay) -> None:
    assert day.fleet.judge.violations == []
    assert not day.watch.broken


def test_owners_lost_one_after_another_leave_no_job_standing_still():
    troubles = [
        Trouble(1.0, 2.0, "freeze_owners"),
        Trouble(8.0, 2.0, "dark_workers_kill_owner"),
        Trouble(9.0, 2.0, "store_busy"),
        Trouble(13.0, 1.0, "kill_all"),
    ]
    hold_to_the_rules(play_large_day(troubles, SEED))
