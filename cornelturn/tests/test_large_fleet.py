"""Simulated days of 43 entries of two sizes and five pools, with faults in series.

Each test runs a sequence of faults after which no accepted work may stay stalled.
"""

from __future__ import annotations

from cornelturn.tests.fleet_troubles import Trouble
from cornelturn.tests.large_fleet import hold_to_the_rules, play_large_day

SEED = 1
OTHER_SEED = 3
THIRD_SEED = 13


def test_owners_lost_one_after_another_leave_no_job_stalled():
    troubles = [
        Trouble(1.0, 2.0, "freeze_owners"),
        Trouble(8.0, 2.0, "isolate_workers_kill_owner"),
        Trouble(9.0, 2.0, "store_busy"),
        Trouble(13.0, 1.0, "kill_all"),
    ]
    hold_to_the_rules(play_large_day(troubles, SEED))


def test_entry_that_owns_two_pools_is_lost_once():
    troubles = [Trouble(9.4, 1.0, "rolling_restart"), Trouble(9.8, 1.0, "lose_owners")]
    hold_to_the_rules(play_large_day(troubles, SEED))


def test_owners_lost_for_good_and_successors_killed_leave_no_work_stalled():
    troubles = [
        Trouble(1.7, 1.8, "lose_workers", 0.2),
        Trouble(3.4, 5.3, "lose_workers_lose_owner", 0.1),
        Trouble(4.2, 4.7, "lose_owners"),
        Trouble(4.3, 2.8, "store_silent"),
        Trouble(11.9, 4.9, "isolate_workers", 0.4),
        Trouble(12.3, 2.9, "kill_owners", 0.4),
    ]
    hold_to_the_rules(play_large_day(troubles, SEED))


def test_owner_lost_while_most_entries_start_again_leaves_no_work_stalled():
    troubles = [
        Trouble(1.1, 1.8, "lose_workers_lose_owner"),
        Trouble(6.8, 2.3, "kill_most"),
        Trouble(8.6, 1.0, "lose_workers_lose_owner", 0.1),
    ]
    hold_to_the_rules(play_large_day(troubles, OTHER_SEED))


def test_owner_lost_while_entries_stop_in_turn_leaves_no_work_stalled():
    troubles = [
        Trouble(7.4, 4.3, "rolling_restart", 0.4),
        Trouble(8.6, 4.5, "lose_workers_lose_owner", 0.4),
        Trouble(8.8, 2.0, "isolate_workers_kill_owner"),
        Trouble(13.1, 3.3, "isolate_workers_freeze_owner", 0.1),
    ]
    hold_to_the_rules(play_large_day(troubles, THIRD_SEED))
