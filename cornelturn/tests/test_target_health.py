"""When a target is taken out because of its outcomes."""

from __future__ import annotations

import pytest

from cornelturn.routing.health import MIN_FAILURES, TargetHealth


@pytest.fixture
def health() -> TargetHealth:
    """Return the health of a target that has served ten requests."""
    found = TargetHealth()
    for number in range(10):
        found.record_success(f"good-{number}")
    return found


def test_failures_of_several_requests_in_a_row_are_enough(health: TargetHealth):
    for number in range(MIN_FAILURES):
        assert not health.is_failing()
        health.record_failure(f"bad-{number}")
    assert health.is_failing()


def test_one_request_that_keeps_failing_is_not(health: TargetHealth):
    for _ in range(2 * MIN_FAILURES):
        health.record_failure("bad")
    assert not health.is_failing()


def test_failures_between_successes_are_not(health: TargetHealth):
    for number in range(MIN_FAILURES):
        health.record_failure(f"bad-{number}")
        health.record_success(f"later-{number}")
    assert not health.is_failing()
