"""Limits of a front on retries, hedges and members, and the learned run times."""

from __future__ import annotations

import random

from cornelturn.requests.limits import (
    BACKOFF_MAX_MS,
    BUDGET_BASE_TOKENS,
    BUDGET_REFILL_INTERVAL_MS,
    HEDGE_FRACTION,
    RETRY_FRACTION,
    Budget,
    HoldOffKey,
    HoldOffs,
    backoff_ms,
)
from cornelturn.routing.run_times import PRIOR_SAMPLES, WINDOW_SAMPLES, RunTimes


def test_retries_stay_a_fraction_of_first_tries() -> None:
    for fraction in (RETRY_FRACTION, HEDGE_FRACTION):
        budget = Budget(fraction)
        spent = 0
        for _ in range(1_000):
            budget.record_first_attempt(now_ms=0)
            spent += budget.try_spend(now_ms=0)
        assert spent <= 1_000 * fraction + BUDGET_BASE_TOKENS


def test_budget_without_traffic_refills_up_to_its_floor() -> None:
    budget = Budget(HEDGE_FRACTION)
    while budget.try_spend(now_ms=0):
        pass
    wait_ms = budget.refill_wait_ms(now_ms=0)
    assert 0 < wait_ms <= BUDGET_REFILL_INTERVAL_MS
    assert not budget.try_spend(now_ms=wait_ms - 1)
    assert budget.try_spend(now_ms=wait_ms)
    assert not budget.try_spend(now_ms=wait_ms)
    hour_ms = 3_600_000
    assert (
        sum(budget.try_spend(now_ms=hour_ms) for _ in range(100)) == BUDGET_BASE_TOKENS
    )


def test_gate_closes_for_one_member_and_opens_by_time() -> None:
    hold_offs = HoldOffs()
    hold_offs.start(HoldOffKey("lookup", "flood"), 100, now_ms=0)
    assert hold_offs.remaining_ms(HoldOffKey("lookup", "flood"), 40) == 60
    assert hold_offs.remaining_ms(HoldOffKey("lookup", "quiet"), 40) == 0
    assert hold_offs.remaining_ms(HoldOffKey("lookup", "flood"), 100) == 0


def test_backoff_grows_to_its_bound_with_jitter() -> None:
    rng = random.Random(1)
    pauses = {tries: backoff_ms(tries, rng) for tries in range(20)}
    assert all(1 <= pause <= BACKOFF_MAX_MS for pause in pauses.values())
    assert len({backoff_ms(10, rng) for _ in range(50)}) > 10


def test_run_times_follow_a_change_within_two_windows() -> None:
    times = RunTimes(prior_ms=3_000)
    assert times.quantiles().median_ms == 3_000
    for _ in range(PRIOR_SAMPLES):
        times.record(300)
    assert 290 < times.quantiles().median_ms < 310
    for _ in range(2 * WINDOW_SAMPLES):
        times.record(900)
    assert 880 < times.quantiles().median_ms < 920
