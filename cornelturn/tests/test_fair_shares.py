"""Order among organisations in one pool, without sockets."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace

import pytest

from cornelturn.fairness.shares import dominant_share
from cornelturn.jobs.model import EndKind, Resources, Step
from cornelturn.targets.model import (
    TargetLife,
    TargetReport,
)
from cornelturn.tests.fair_pool import WEIGHTS, listed_target


@pytest.mark.parametrize(
    ("held", "capacity", "share"),
    [
        (Resources(2, 1, 0), Resources(8, 8, 0), 0.25),
        (Resources(1, 6, 0), Resources(8, 8, 0), 0.75),
        (Resources(1, 1, 1), Resources(8, 8, 2), 0.5),
        (Resources(1, 1, 1), Resources(0, 0, 0), 0.0),
    ],
)
def test_dominant_share_is_the_largest_of_the_resources_that_exist(
    held, capacity, share
):
    assert dominant_share(held, capacity) == share


def test_backlogged_organisations_hold_the_pool_by_weight(make_pool):
    """Guards against shares that ignore the weights or the ends of runs."""
    pool = make_pool(70)
    for organisation in WEIGHTS:
        pool.add(organisation, Step(2_000, Resources(1_000, 1), 100))
    for round_number in range(40):
        pool.plan(round_number)
        assert len(pool.running) == 70
        pool.end(5, round_number)
    pool.plan(40)
    held = pool.scheduler.usage.held
    assert {name: held[name].cpu for name in WEIGHTS} == {
        "one": 10_000,
        "two": 20_000,
        "four": 40_000,
    }


def test_shares_are_compared_at_each_pick(make_pool):
    """Guards against an order that is fixed when the pass begins."""
    pool = make_pool(6, {"one": 1.0, "two": 1.0})
    for _ in range(6):
        pool.add("one")
    for _ in range(6):
        pool.add("two")
    # Two of six cores are guaranteed to each, and two to jobs without an organisation.
    assert pool.started() == ["one", "one", "two", "two", "one", "two"]


def test_organisations_below_their_share_start_the_least_work_first(make_pool):
    """Guards against an order by share that makes short jobs late without need."""
    pool = make_pool(12, {"one": 1.0, "two": 1.0})
    pool.add("two", Step(2, Resources(1_000, 1), 500))
    pool.plan()
    pool.add("one", Step(2, Resources(1_000, 1), 900))
    pool.add("two", Step(2, Resources(1_000, 1), 100))
    assert pool.started() == ["two", "two", "one", "one"]


def test_an_organisation_below_its_share_precedes_shorter_work_of_one_above_it(
    make_pool,
):
    """Guards against shares that an organisation with short jobs takes from others."""
    pool = make_pool(12, {"one": 1.0, "two": 1.0})
    pool.add("two", Step(4, Resources(1_000, 1), 500))
    pool.plan()
    pool.add("one", Step(2, Resources(1_000, 1), 900))
    pool.add("two", Step(2, Resources(1_000, 1), 100))
    assert pool.started() == ["one", "one", "two", "two"]


def test_jobs_that_are_partly_done_go_on_before_others_start(make_pool):
    """Guards against jobs that are late because their later steps wait for a share."""
    pool = make_pool(12, {"one": 1.0, "two": 1.0})
    first = Step(4, Resources(1_000, 1), 500)
    pool.add("one", first, replace(first, after=(0,)))
    pool.add("one", replace(first, estimated_ms=2_000))
    pool.plan()
    pool.end(4, 10)
    pool.add("two", replace(first, estimated_ms=100), now_ms=10)
    assert pool.started(10) == ["one"] * 4 + ["two"] * 4


def test_partly_done_jobs_wait_once_their_organisation_has_twice_its_share(make_pool):
    """Guards against jobs in progress that keep an organisation from its share."""
    pool = make_pool(12, {"one": 1.0, "two": 1.0})
    first = Step(4, Resources(1_000, 1), 500)
    pool.add("one", first, replace(first, after=(0,)))
    pool.add("one", replace(first, count=8, estimated_ms=2_000))
    pool.plan()
    pool.end(4, 10)
    pool.add("two", replace(first, estimated_ms=100), now_ms=10)
    assert pool.started(10) == ["two"] * 4


def test_wide_steps_of_partly_done_jobs_share_the_pool_by_weight(make_pool):
    """Guards against wide jobs in progress that take more than their weight."""
    pool = make_pool(12, {"one": 1.0, "two": 1.0})
    pool.add("one", Step(40, Resources(1_000, 1), 100))
    pool.plan()
    pool.add("two", Step(20, Resources(1_000, 1), 100))
    pool.end(6, 10)
    assert pool.started(10) == ["two"] * 6


def test_an_organisation_alone_gets_the_whole_pool(make_pool):
    """Guards against capacity that is held free for absent organisations."""
    pool = make_pool(32)
    for _ in range(40):
        pool.add("one")
    assert len(pool.plan()) == 32


def test_small_work_of_any_organisation_fills_what_large_work_leaves(make_pool):
    """Guards against idle capacity behind a step that does not fit."""
    pool = make_pool(8)
    pool.add("two", Step(1, Resources(5_000, 1), 100))
    pool.plan()
    for organisation in ("one", "four"):
        pool.add(organisation, Step(1, Resources(9_000, 1), 100))
    for _ in range(4):
        pool.add("two")
    assert pool.started() == ["two", "two", "two"]


def test_lasting_steps_start_first_whatever_the_share(make_pool):
    pool = make_pool(2, {"one": 1.0, "two": 1.0})
    pool.add("one")
    pool.plan()
    pool.add("two")
    pool.add("one", Step(1, Resources(1_000, 1), is_lasting=True))
    assert pool.started() == ["one"]


def test_public_jobs_are_one_organisation_with_the_mean_weight(make_pool):
    pool = make_pool(80, {"low": 1.0, "high": 3.0})
    for organisation in ("low", "high", ""):
        pool.add(organisation, Step(500, Resources(1_000, 1), 100))
    rng = random.Random(1)
    held: Counter[str] = Counter()
    for round_number in range(60):
        pool.plan(round_number)
        if round_number >= 20:
            usage = pool.scheduler.usage.held
            held.update({name: used.cpu for name, used in usage.items()})
        rng.shuffle(pool.running)
        pool.end(5, round_number)
    total = sum(held.values())
    assert held["low"] == pytest.approx(total / 6, rel=0.1)
    assert held[""] == pytest.approx(total * 2 / 6, rel=0.1)


def test_a_step_with_a_failed_task_is_tried_in_later_plans(make_pool):
    """Guards against steps that a pass removes and no plan adds again."""
    pool = make_pool(4)
    pool.add("one", Step(2, Resources(1_000, 1), 100))
    pool.plan()
    pool.end(1, 10, EndKind.FAILED)
    pool.scheduler.update_targets(
        [listed_target(pool.life, 4_000), listed_target(TargetLife("t-2", 1), 0)], 10
    )
    pool.scheduler.handle_report(TargetReport(TargetLife("t-2", 1), 0, (), ()), 10, 10)
    assert pool.plan(20) == []
    assert pool.plan(40) == []
    assert len(pool.plan(5_000)) == 1


@pytest.mark.parametrize("arrived_ms", [8_000, 0])
def test_targets_are_reserved_in_the_order_among_organisations(make_pool, arrived_ms):
    """Guards against reservations that all go to one organisation.

    The second one is among jobs on time, or among late ones.
    """
    pool = make_pool(8, {"one": 1.0, "two": 1.0})
    other = TargetLife("t-2", 1)
    lives = [listed_target(life, 8_000) for life in (pool.life, other)]
    pool.scheduler.update_targets(lives, 0)
    pool.scheduler.handle_report(TargetReport(other, 0, (), ()), 0, 0)
    for organisation in ("one", "two"):
        pool.add(organisation, Step(1, Resources(5_000, 1), 100), now_ms=8_000)
    assert len(pool.plan(8_000)) == 2
    large = Step(1, Resources(6_000, 1), 100)
    first = pool.add("one", large, now_ms=8_000)
    jobs = [pool.add(name, large, now_ms=arrived_ms) for name in ("one", "two")]
    assert pool.plan(8_001) == []
    reservations = pool.scheduler.planner.reservations.by_target.values()
    reserved = {reservation.step.job for reservation in reservations}
    assert reserved == {first, jobs[1]}


def test_large_steps_leave_turns_to_other_organisations(make_pool):
    """Guards against one pick that fills a pool with the tasks of one step."""
    pool = make_pool(100, {"one": 1.0, "two": 1.0})
    for organisation in ("one", "two"):
        pool.add(organisation, Step(1_000, Resources(1_000, 1), 100))
    assert Counter(pool.started()) == {"one": 64, "two": 36}
