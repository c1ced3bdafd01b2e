"""Promotion of late work of starved organisations, across changes of the order."""

from __future__ import annotations

import pytest

from cornelturn.fairness.starvation import STARVED_AFTER_MS
from cornelturn.tests.fair_pool import Pool

WEIGHTS = {"one": 1.0, "two": 20.0}
FIRST_MS = 60_000


@pytest.fixture
def full_pool() -> Pool:
    """Return a pool whose only core is taken while late work of `one` waits."""
    pool = Pool(1_000, WEIGHTS).load()
    pool.add("two", now_ms=FIRST_MS)
    assert pool.started(FIRST_MS) == ["two"]
    pool.add("one")
    return pool


def plan_until(pool: Pool, first_ms: int, last_ms: int) -> None:
    for now_ms in range(first_ms, last_ms, 100):
        assert pool.plan(now_ms) == []


def test_promotion_ends_with_the_fair_order(full_pool):
    """Guards against a promotion that outlasts the order for which it was made."""
    promoted_ms = FIRST_MS + STARVED_AFTER_MS + 2_000
    plan_until(full_pool, FIRST_MS, promoted_ms)
    full_pool.configure({}, version=2)
    plan_until(full_pool, promoted_ms, promoted_ms + 200)
    full_pool.configure(WEIGHTS, version=3)
    back_ms = promoted_ms + 200
    full_pool.add("two", now_ms=back_ms)
    plan_until(full_pool, back_ms, back_ms + 200)
    full_pool.end(1, back_ms + 200)
    assert full_pool.started(back_ms + 200) == ["two"]


def test_time_before_the_static_order_does_not_count_as_starvation(full_pool):
    """Guards against a promotion for a wait in the static order."""
    paused_ms = FIRST_MS + 1_500
    plan_until(full_pool, FIRST_MS, paused_ms)
    full_pool.configure({}, version=2)
    back_ms = paused_ms + STARVED_AFTER_MS
    plan_until(full_pool, paused_ms, back_ms)
    full_pool.configure(WEIGHTS, version=3)
    full_pool.add("two", now_ms=back_ms)
    plan_until(full_pool, back_ms, back_ms + 200)
    full_pool.end(1, back_ms + 200)
    assert full_pool.started(back_ms + 200) == ["two"]
