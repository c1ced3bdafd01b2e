"""Which request outcomes cause the ejection of a target."""

from __future__ import annotations

import pytest

from cornelturn.routing.health import MIN_FAILURES, TargetHealth


@pytest.fixture
def health() -> TargetHealth:
    """Return the health of a target that has served ten requests."""
    target_health = TargetHealth()
    for number in range(10):
        target_health.record_success(f"good-{number}")
    return target_health


def test_consecutive_failures_of_distinct_requests_justify_ejection(
    health: TargetHealth,
):
    for number in range(MIN_FAILURES):
        assert not health.is_failing()
        health.record_failure(f"bad-{number}")
    assert health.is_failing()


def test_repeated_failures_of_one_request_do_not_justify_ejection(health: TargetHealth):
    for _ in range(2 * MIN_FAILURES):
        health.record_failure("bad")
    assert not health.is_failing()


def test_failures_between_successes_do_not_justify_ejection(health: TargetHealth):
    for number in range(MIN_FAILURES):
        health.record_failure(f"bad-{number}")
        health.record_success(f"later-{number}")
    assert not health.is_failing()
