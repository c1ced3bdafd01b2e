"""Health of the store, derived from the results and times of calls."""

from __future__ import annotations

import pytest

from cornelturn.store.health import (
    FAILURE_THRESHOLD,
    MAX_RESPONSE_TIMEOUT_MS,
    MIN_RESPONSE_TIMEOUT_MS,
    CallKind,
    StoreHealth,
)


@pytest.fixture
def health() -> StoreHealth:
    """Return the health of a store that has always responded in 5 ms."""
    health = StoreHealth()
    for number in range(20):
        health.record_answered(
            health.record_sent(CallKind.READ, number * 10), number * 10 + 5
        )
    return health


def test_store_is_unresponsive_once_a_later_call_is_overdue_too(health: StoreHealth):
    health.record_sent(CallKind.READ, 1_000)
    assert not health.has_overdue_call(1_000 + MIN_RESPONSE_TIMEOUT_MS)
    assert health.has_overdue_call(1_001 + MIN_RESPONSE_TIMEOUT_MS)
    assert not health.is_unresponsive(9_000)
    health.record_sent(CallKind.READ, 1_300)
    assert not health.is_unresponsive(1_300 + MIN_RESPONSE_TIMEOUT_MS)
    assert health.is_unresponsive(1_301 + MIN_RESPONSE_TIMEOUT_MS)


def test_simultaneous_calls_do_not_make_the_store_unresponsive(health: StoreHealth):
    for _ in range(50):
        health.record_sent(CallKind.READ, 1_000)
    assert not health.is_unresponsive(1_600)


def test_response_to_a_later_call_clears_earlier_calls(health: StoreHealth):
    lost = health.record_sent(CallKind.READ, 1_000)
    later = health.record_sent(CallKind.READ, 1_300)
    assert health.is_unresponsive(1_600)
    health.record_answered(later, 1_600)
    assert not health.has_overdue_call(9_000)
    health.record_sent(CallKind.READ, 9_000)
    health.record_answered(lost, 9_010)
    assert health.has_overdue_call(9_000 + MAX_RESPONSE_TIMEOUT_MS + 1)


def test_response_timeout_follows_a_slow_store_up_to_a_maximum(health: StoreHealth):
    reads = health.response_times[CallKind.READ]
    assert reads.response_timeout_ms() == MIN_RESPONSE_TIMEOUT_MS
    health.record_answered(health.record_sent(CallKind.READ, 1_000), 1_400)
    assert reads.response_timeout_ms() > 400
    for number in range(20):
        health.record_answered(
            health.record_sent(CallKind.READ, 2_000 + number), 9_000 + number
        )
    assert reads.response_timeout_ms() == MAX_RESPONSE_TIMEOUT_MS


def test_reads_and_writes_have_separate_timeouts(health: StoreHealth):
    for number in range(20):
        write = health.record_sent(CallKind.WRITE, 1_000 + number)
        health.record_answered(
            health.record_sent(CallKind.READ, 1_000 + number), 1_005 + number
        )
        health.record_answered(write, 1_800 + number)
    assert (
        health.response_times[CallKind.READ].response_timeout_ms()
        == MIN_RESPONSE_TIMEOUT_MS
    )
    assert health.response_times[CallKind.WRITE].response_timeout_ms() >= 800
    health.record_sent(CallKind.WRITE, 3_000)
    assert not health.has_overdue_call(3_790)


def test_consecutive_refusals_count_until_a_call_succeeds(health: StoreHealth):
    for number in range(FAILURE_THRESHOLD):
        assert health.is_serving(1_000)
        health.record_refused(health.record_sent(CallKind.READ, 1_000 + number))
    assert not health.is_serving(1_010)
    assert not health.is_unreachable(1_010)
    health.record_answered(health.record_sent(CallKind.READ, 1_010), 1_015)
    assert health.is_serving(1_015)


def test_store_is_unreachable_after_consecutive_connection_failures(
    health: StoreHealth,
):
    for number in range(FAILURE_THRESHOLD):
        assert not health.is_unreachable(1_000)
        health.record_connection_failure(
            health.record_sent(CallKind.WRITE, 1_000 + number)
        )
    assert health.is_unreachable(1_010)
    health.record_answered(health.record_sent(CallKind.READ, 1_010), 1_015)
    assert not health.is_unreachable(1_015)


def test_cancelled_call_does_not_count(health: StoreHealth):
    health.record_cancelled(health.record_sent(CallKind.READ, 1_000))
    assert not health.has_overdue_call(9_000)
