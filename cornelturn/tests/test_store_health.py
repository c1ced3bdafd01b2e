"""Judgement of the store by how calls go."""

from __future__ import annotations

import pytest

from cornelturn.store.health import (
    FAILURES_IN_A_ROW,
    LEAST_PATIENCE_MS,
    MOST_PATIENCE_MS,
    CallKind,
    StoreHealth,
)


@pytest.fixture
def health() -> StoreHealth:
    """Return a view of a store that has answered in 5 ms so far."""
    health = StoreHealth()
    for number in range(20):
        health.answered(health.sent(CallKind.READ, number * 10), number * 10 + 5)
    return health


def test_store_is_silent_once_a_later_call_is_overdue_too(health: StoreHealth):
    health.sent(CallKind.READ, 1_000)
    assert not health.is_waiting(1_000 + LEAST_PATIENCE_MS)
    assert health.is_waiting(1_001 + LEAST_PATIENCE_MS)
    assert not health.is_silent(9_000)
    health.sent(CallKind.READ, 1_300)
    assert not health.is_silent(1_300 + LEAST_PATIENCE_MS)
    assert health.is_silent(1_301 + LEAST_PATIENCE_MS)


def test_calls_of_one_moment_do_not_make_the_store_silent(health: StoreHealth):
    for _ in range(50):
        health.sent(CallKind.READ, 1_000)
    assert not health.is_silent(1_600)


def test_answer_to_a_later_call_clears_the_store(health: StoreHealth):
    lost = health.sent(CallKind.READ, 1_000)
    later = health.sent(CallKind.READ, 1_300)
    assert health.is_silent(1_600)
    health.answered(later, 1_600)
    assert not health.is_waiting(9_000)
    health.sent(CallKind.READ, 9_000)
    health.answered(lost, 9_010)
    assert health.is_waiting(9_000 + MOST_PATIENCE_MS + 1)


def test_patience_grows_with_a_slow_store_within_a_bound(health: StoreHealth):
    reads = health.times[CallKind.READ]
    assert reads.patience_ms() == LEAST_PATIENCE_MS
    health.answered(health.sent(CallKind.READ, 1_000), 1_400)
    assert reads.patience_ms() > 400
    for number in range(20):
        health.answered(health.sent(CallKind.READ, 2_000 + number), 9_000 + number)
    assert reads.patience_ms() == MOST_PATIENCE_MS


def test_slow_writes_are_waited_for_beside_fast_reads(health: StoreHealth):
    for number in range(20):
        write = health.sent(CallKind.WRITE, 1_000 + number)
        health.answered(health.sent(CallKind.READ, 1_000 + number), 1_005 + number)
        health.answered(write, 1_800 + number)
    assert health.times[CallKind.READ].patience_ms() == LEAST_PATIENCE_MS
    assert health.times[CallKind.WRITE].patience_ms() >= 800
    health.sent(CallKind.WRITE, 3_000)
    assert not health.is_waiting(3_790)


def test_refusals_in_a_row_count_until_a_call_is_carried_out(health: StoreHealth):
    for number in range(FAILURES_IN_A_ROW):
        assert health.is_serving(1_000)
        health.refused(health.sent(CallKind.READ, 1_000 + number))
    assert not health.is_serving(1_010)
    assert not health.is_away(1_010)
    health.answered(health.sent(CallKind.READ, 1_010), 1_015)
    assert health.is_serving(1_015)


def test_store_is_away_after_failed_connections_in_a_row(health: StoreHealth):
    for number in range(FAILURES_IN_A_ROW):
        assert not health.is_away(1_000)
        health.cut_off(health.sent(CallKind.WRITE, 1_000 + number))
    assert health.is_away(1_010)
    health.answered(health.sent(CallKind.READ, 1_010), 1_015)
    assert not health.is_away(1_015)


def test_call_that_nobody_waits_for_tells_nothing(health: StoreHealth):
    health.withdrawn(health.sent(CallKind.READ, 1_000))
    assert not health.is_waiting(9_000)
