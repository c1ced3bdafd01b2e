"""Recognition and prediction of recurring load peaks.

Guards against predictions for demand that does not recur, and against confidence that
outlasts a missed prediction.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import pytest

from cornelturn.benchmarks.recurring_peaks import (
    BASE_SIZES,
    INTERVAL_MS,
    PEAK_MS,
    Load,
    PeakSimulation,
    TrendOnly,
    exact_begins,
    jittered_begins,
    make_load,
    random_begins,
)
from cornelturn.capacity.forecast import PoolForecast
from cornelturn.capacity.peaks import (
    MAX_MARGIN_MS,
    PeaksRecognised,
    PredictionHit,
    PredictionMissed,
    RecurringPeaks,
)
from cornelturn.capacity.plan import SizingPlan
from cornelturn.capacity.sizing import MOVE_LEAD_MS, PoolSizer
from cornelturn.tests.square_peaks import (
    HEIGHT,
    IDLE,
    LEARNT_PEAKS,
    SAMPLE_MS,
    events_of,
    exact_peaks,
    feed,
    learn,
)
from cornelturn.tests.test_sizing import BASE_SIZES as POOL_SIZES
from cornelturn.tests.test_sizing import (
    STEP_MS,
    PoolSimulation,
)


@pytest.fixture
def learnt() -> RecurringPeaks:
    """Return peaks that recurred exactly, 5 s before the next one."""
    return learn()


@dataclass(frozen=True)
class Runs:
    """The same load played by the trend alone and with recurring peaks."""

    trend: PeakSimulation
    peaks: PeakSimulation


def play(load: Load) -> Runs:
    """Play a load by the trend alone and with recurring peaks."""
    runs = Runs(
        PeakSimulation(load, new_forecast=TrendOnly),
        PeakSimulation(load, new_forecast=PoolForecast),
    )
    runs.trend.run()
    runs.peaks.run()
    return runs


@pytest.fixture(scope="module")
def exact_runs() -> Runs:
    """Return runs with peaks that recur exactly and stop in the end."""
    return play(make_load("exact", lambda first: exact_begins(first)[:9], 9))


@pytest.mark.xdist_group("exact_runs")
def test_machines_are_there_when_an_exactly_recurring_peak_begins(exact_runs):
    waited = exact_runs.peaks.waiting_per_peak(LEARNT_PEAKS)
    assert waited < exact_runs.trend.waiting_per_peak(LEARNT_PEAKS) / 4


@pytest.mark.xdist_group("exact_runs")
def test_peaks_that_stop_cost_one_missed_prediction_and_no_more(exact_runs):
    assert exact_runs.peaks.used_misses() == len(BASE_SIZES)
    for pool in BASE_SIZES:
        assert exact_runs.peaks.size(pool) == exact_runs.trend.size(pool)


def test_peaks_with_jitter_wait_no_longer_than_by_the_trend():
    source = random.Random(1)
    runs = play(make_load("", lambda first: jittered_begins(first, source, 0.1), 11))
    assert runs.peaks.waiting_per_peak() < runs.trend.waiting_per_peak()
    assert runs.peaks.machine_seconds < runs.trend.machine_seconds * 1.05


def test_peaks_that_shift_are_recognised_again_after_one_miss(learnt):
    learnt_to_ms = exact_peaks(8)[-1] - 5_000
    shifted = [begin_ms + 7_000 for begin_ms in exact_peaks(13)[7:]]
    found = feed(learnt.add, shifted, learnt_to_ms, shifted[-1])
    kinds = [type(event) for events in found for event in events]
    assert kinds[:1] == [PredictionMissed]
    assert kinds.count(PredictionMissed) == 1
    assert PeaksRecognised in kinds


def plans(
    new_forecast: Callable[[], PoolForecast], demands: Iterable[float]
) -> list[SizingPlan]:
    """Return the plans for a pool with these demands at successive steps."""
    sizing = PoolSizer(base_sizes=dict(POOL_SIZES), new_forecast=new_forecast)
    pools, made = PoolSimulation(sizing), []
    for demand in demands:
        pools.demand["mail"] = demand
        made.append(pools.step())
    return made


def square_demands(begins_ms: list[int]) -> list[float]:
    """Return the demand of square peaks at each step of a decision."""
    peaks = [(begin_ms, begin_ms + PEAK_MS) for begin_ms in begins_ms]
    return [
        HEIGHT if any(a <= now_ms < b for a, b in peaks) else IDLE
        for now_ms in range(0, begins_ms[-1] + 2 * PEAK_MS, STEP_MS)
    ]


@pytest.mark.parametrize(
    "demands",
    [
        pytest.param([HEIGHT] * 400, id="constant"),
        pytest.param(square_demands([10_000]), id="one peak"),
        pytest.param(
            [random.Random(1).expovariate(1 / 4) for _ in range(2_000)], id="noise"
        ),
        *(
            pytest.param(
                square_demands(random_begins(10_000, random.Random(seed))),
                id=f"random peaks {seed}",
            )
            for seed in range(5)
        ),
    ],
)
def test_plans_for_demand_that_does_not_recur_are_those_of_the_trend(demands):
    assert plans(PoolForecast, demands) == plans(TrendOnly, demands)


def test_plans_for_demand_that_recurs_differ_from_those_of_the_trend():
    demands = square_demands(exact_peaks(LEARNT_PEAKS + 1))
    assert plans(PoolForecast, demands) != plans(TrendOnly, demands)


def test_spikes_that_are_too_short_for_a_move_are_no_peaks():
    peaks = RecurringPeaks()
    for now_ms in range(0, 200_000, SAMPLE_MS):
        is_spike = now_ms % INTERVAL_MS < 3 * SAMPLE_MS
        assert peaks.add(HEIGHT if is_spike else IDLE, now_ms) == []


def test_peak_that_goes_on_for_longer_than_learnt_may_grow_again(learnt):
    begin_ms = exact_peaks(8)[-1]
    feed(learnt.add, [], begin_ms - 5_000, begin_ms)
    ending_ms = []
    for now_ms in range(begin_ms, begin_ms + 3 * PEAK_MS, SAMPLE_MS):
        learnt.add(HEIGHT, now_ms)
        if learnt.is_ending(MOVE_LEAD_MS, now_ms):
            ending_ms.append(now_ms - begin_ms)
    assert min(ending_ms) >= PEAK_MS - MOVE_LEAD_MS
    assert max(ending_ms) <= PEAK_MS + MAX_MARGIN_MS


def test_two_intervals_alone_give_no_confidence():
    peaks = RecurringPeaks()
    events = events_of(peaks, exact_peaks(3), exact_peaks(4)[-1] - 1_000)
    assert events == [PredictionHit(0, is_used=False)]
    assert peaks.confidence() == 0


def test_miss_ends_the_use_of_predictions_at_once(learnt):
    begin_ms = exact_peaks(8)[-1]
    assert learnt.demand_after(MOVE_LEAD_MS, begin_ms - MOVE_LEAD_MS) > 0.9 * HEIGHT
    feed(learnt.add, [], begin_ms - 5_000, begin_ms + 5_000)
    assert learnt.confidence() == 0


def test_machines_wait_for_a_missed_peak_for_the_time_of_a_move_at_most(learnt):
    begin_ms = exact_peaks(8)[-1]
    due_ms = [
        now_ms
        for now_ms in range(begin_ms - 5_000, begin_ms + 5_000, 50)
        if learnt.demand_after(MOVE_LEAD_MS, now_ms)
    ]
    arrival_ms = due_ms[0] + MOVE_LEAD_MS
    assert begin_ms - MAX_MARGIN_MS <= arrival_ms < begin_ms
    assert due_ms[-1] - arrival_ms <= MOVE_LEAD_MS


def test_missing_loads_are_neither_a_hit_nor_a_miss(learnt):
    begin_ms = exact_peaks(8)[-1]
    confidence = learnt.confidence()
    assert learnt.add(HEIGHT, begin_ms + 3_000) == []
    assert learnt.confidence() == confidence
    assert learnt.demand_after(MOVE_LEAD_MS, begin_ms + 3_000) == 0


def test_rise_of_a_predicted_peak_is_extrapolated_to_its_height_only(learnt):
    begin_ms = exact_peaks(8)[-1]
    forecast = PoolForecast(peaks=learnt)
    feed(forecast.add, [], begin_ms - 5_000, begin_ms)
    forecast.add(HEIGHT / 2, begin_ms)
    assert forecast.trend.forecast(MOVE_LEAD_MS) > HEIGHT
    assert forecast.trend_after(MOVE_LEAD_MS) == HEIGHT
    forecast.add(2 * HEIGHT, begin_ms + SAMPLE_MS)
    assert forecast.trend_after(MOVE_LEAD_MS) == 2 * HEIGHT


def test_rise_of_a_peak_that_outlasts_its_length_is_extrapolated_in_full(learnt):
    """Guards against a prediction that limits growth long after the predicted peak."""
    begin_ms = exact_peaks(8)[-1]
    forecast = PoolForecast(peaks=learnt)
    feed(forecast.add, [], begin_ms - 5_000, begin_ms)
    over_ms = begin_ms + PEAK_MS + MAX_MARGIN_MS + SAMPLE_MS
    for now_ms in range(begin_ms, over_ms, SAMPLE_MS):
        forecast.add(HEIGHT / 2, now_ms)
    forecast.add(HEIGHT - 1, over_ms)
    assert forecast.trend.forecast(MOVE_LEAD_MS) > HEIGHT
    assert forecast.trend_after(MOVE_LEAD_MS) == forecast.trend.forecast(MOVE_LEAD_MS)
