"""Recognition of recurring load peaks, and moves of machines ahead of them."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Ok

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
from cornelturn.capacity.sizing import MOVE_LEAD_MS, RELEASE_AFTER_MS, PoolSizer
from cornelturn.clock import Clock, loop_clock
from cornelturn.events.job_metrics import JobMetrics
from cornelturn.fleet.cordons import CordonRequests
from cornelturn.fleet.machine_owner import LoadReported, MachineOwner
from cornelturn.fleet.machines import MachineOrders, MachineResult
from cornelturn.fleet.resizing import Resizing
from cornelturn.fleet.upkeep import Upkeep
from cornelturn.jobs.model import Resources
from cornelturn.model.routes import JobPool, RoutingTable
from cornelturn.model.upkeep import Machine, MachineState
from cornelturn.peering.messages import PoolLoad, TargetLoad
from cornelturn.store.rows import Put
from cornelturn.tests.network import FakeTimeLoop
from cornelturn.tests.test_sizing import BASE_SIZES as POOL_SIZES
from cornelturn.tests.test_sizing import (
    IDLE_SIZE,
    STANDBY_SIZE,
    STEP_MS,
    PoolSimulation,
)

SAMPLE_MS = 200
HEIGHT = 9.0
IDLE = 0.5
LEARNT_PEAKS = 7
"""Peaks after which the predictions of exactly recurring peaks are used."""


def feed(
    add: Callable[[float, int], object],
    begins_ms: Iterable[int],
    from_ms: int,
    to_ms: int,
) -> list[object]:
    """Add the demand of square peaks and return what each call returned."""
    peaks = [(begin_ms, begin_ms + PEAK_MS) for begin_ms in begins_ms]
    return [
        add(HEIGHT if any(a <= now_ms < b for a, b in peaks) else IDLE, now_ms)
        for now_ms in range(from_ms, to_ms, SAMPLE_MS)
    ]


def events_of(peaks: RecurringPeaks, begins_ms: list[int], to_ms: int):
    """Return the events of a demand with square peaks."""
    found = feed(peaks.add, begins_ms, 0, to_ms)
    return [event for events in found for event in events]


def exact_peaks(count: int) -> list[int]:
    """Return the beginnings of peaks that recur exactly."""
    return [10_000 + number * INTERVAL_MS for number in range(count)]


def learn() -> RecurringPeaks:
    """Return peaks that recurred exactly, 5 s before the next one."""
    peaks = RecurringPeaks()
    events_of(peaks, exact_peaks(LEARNT_PEAKS), exact_peaks(8)[-1] - 5_000)
    return peaks


@pytest.fixture
def learnt() -> RecurringPeaks:
    """Return peaks that recurred exactly, 5 s before the next one."""
    return learn()


def near_peak(learnt: RecurringPeaks, phone_demand: float = IDLE) -> PoolSimulation:
    """Return two pools 5 s before a predicted peak of mail."""
    simulation = PoolSimulation(now_ms=exact_peaks(8)[-1] - 10_000)
    simulation.demand["phone"] = phone_demand
    simulation.run(4_000)
    simulation.sizing.forecasts["mail"].peaks = learnt
    simulation.run(1_000)
    return simulation


@pytest.fixture
def pools(learnt) -> PoolSimulation:
    """Return two idle pools 5 s before a predicted peak of mail."""
    return near_peak(learnt)


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


def test_standby_machines_move_ahead_and_return_after_a_missed_peak(pools):
    pools.run(5_000)
    assert pools.size("mail") == round(HEIGHT)
    pools.run(MAX_MARGIN_MS + 2_000)
    assert pools.size("mail") == IDLE_SIZE
    assert pools.size("phone") == IDLE_SIZE


def test_peak_that_has_not_begun_takes_no_machine_that_another_pool_uses(pools):
    pools.standby = frozenset()
    for number in range(6, 10):
        pools.put_machine(f"phone-{number}", "phone")
    for _ in range(16):
        plan = pools.step()
        assert plan.cordoned == plan.moves == ()


def test_surplus_of_another_pool_is_released_for_a_peak_after_the_usual_pause(learnt):
    pools = near_peak(learnt, phone_demand=4.9)
    pools.pinned = {name for name in pools.machines if name.startswith("spare")}
    while not pools.sizing.is_peak_near(pools.now_ms + STEP_MS):
        pools.step()
    pools.demand["phone"] = IDLE
    assert pools.step().cordoned == ()
    pools.run(RELEASE_AFTER_MS - STEP_MS)
    assert {machine.pool for machine in pools.step().cordoned} == {"phone"}


def test_without_standby_as_many_idle_machines_move_ahead_as_a_peak_needs(pools):
    pools.standby = frozenset()
    pools.has_idle_targets = True
    for number in range(6, 16):
        pools.put_machine(f"phone-{number}", "phone")
    while pools.now_ms < exact_peaks(8)[-1] + STEP_MS:
        plan = pools.step()
        assert len(plan.cordoned) + len(plan.moves) <= round(HEIGHT) - IDLE_SIZE
    assert pools.size("mail") == round(HEIGHT)
    assert pools.size("phone") == IDLE_SIZE + 10 - (round(HEIGHT) - IDLE_SIZE)


def test_pool_whose_targets_do_not_answer_gets_no_machines_for_a_peak(pools):
    while not pools.sizing.is_peak_near(pools.now_ms + STEP_MS):
        pools.step()
    machines = pools.machines.values()
    pools.silent = {machine.name for machine in machines if machine.pool == "mail"}
    assert pools.step().moves == ()
    assert pools.sizing.is_peak_near(pools.now_ms)


def test_waiting_work_gets_standby_machines_before_a_peak_that_is_due(pools):
    machines = pools.machines.values()
    spare = [machine.name for machine in machines if machine.pool == "spare"]
    pools.pinned = set(spare[4:])
    while not pools.sizing.is_peak_near(pools.now_ms + STEP_MS):
        pools.step()
    pools.demand["phone"] = 100.0
    assert [move.pool for move in pools.step().moves] == ["phone"] * 4


def test_machines_that_wait_for_a_peak_go_to_a_pool_whose_work_waits(learnt):
    pools = near_peak(learnt, phone_demand=4.9)
    machines = pools.machines.values()
    while pools.size("mail") < HEIGHT:
        pools.step()
    pools.pinned = {machine.name for machine in machines if machine.pool == "spare"}
    size = pools.size("phone")
    pools.demand["phone"] = size + 1.0
    pools.sizing.forecasts["phone"].trend.samples.clear()
    cordoned = pools.step().cordoned
    assert {machine.pool for machine in cordoned} == {"mail"}
    assert len(cordoned) == 1


def test_surplus_is_released_without_pause_when_a_predicted_peak_ends(pools):
    begin_ms = exact_peaks(8)[-1]
    pools.run(begin_ms - pools.now_ms)
    pools.demand["mail"] = HEIGHT
    pools.run(PEAK_MS - 500)
    pools.demand["mail"] = IDLE
    assert {machine.pool for machine in pools.step().cordoned} == {"mail"}


def test_pool_does_not_grow_for_a_predicted_peak_that_ends_before_a_move(pools):
    pools.run(exact_peaks(8)[-1] - pools.now_ms)
    pools.demand["mail"] = HEIGHT
    pools.run(PEAK_MS - MOVE_LEAD_MS + SAMPLE_MS)
    pools.demand["mail"] = 2 * HEIGHT
    assert pools.step().moves == ()


def test_next_owner_of_the_machines_begins_without_predictions(pools):
    load = pools.load("mail")
    successor = PoolSizer(base_sizes=dict(POOL_SIZES))
    successor.record_load(load, pools.now_ms)
    assert not successor.is_peak_near(pools.now_ms + 3_000)


@dataclass
class IdleMachines:
    """Machines of an idle pool and on standby; moves to the pool never end.

    Parameters
    ----------
    listing_times_ms, move_times_ms : list of int
        Times at which the machines were listed, and ordered to the pool.
    """

    clock: Clock
    listing_times_ms: list[int] = field(default_factory=list)
    move_times_ms: list[int] = field(default_factory=list)
    pools: dict[str, str] = field(
        default_factory=lambda: {f"m-{number}": "spare" for number in range(12)}
    )

    async def list_all(self):
        self.listing_times_ms.append(self.clock.now_ms())
        return Ok(
            [Machine(f"own-{n}", "mail", MachineState.UP, f"t-{n}") for n in range(3)]
            + [
                Machine(name, pool, STATES[pool], "")
                for name, pool in self.pools.items()
            ]
        )

    async def move(self, machine: str, pool: str, fence: int) -> MachineResult:
        self.move_times_ms.append(self.clock.now_ms())
        self.pools[machine] = pool
        return MachineResult.DONE


STATES = {"spare": MachineState.UP, "mail": MachineState.MOVING}


def idle_load() -> PoolLoad:
    """Return the load of a pool of three machines that keeps them all."""
    targets = tuple(TargetLoad(f"t-{n}", 0, 0, False) for n in range(3))
    size = Resources(3 * 64_000)
    return PoolLoad(
        "mail", 1, 0, targets, Resources(16_000), Resources(), size, 3, 3, Resources()
    )


def test_owner_of_idle_machines_moves_them_ahead_and_counts_the_missed_peak(learnt):
    begin_ms = exact_peaks(8)[-1]
    start_ms = begin_ms - 4_900
    clock = Clock(lambda: loop_clock().read_ns() + start_ms * 1_000_000)
    machines, metrics = IdleMachines(clock), JobMetrics()
    sizing = PoolSizer(base_sizes={"mail": 3})
    sizing.forecasts["mail"] = PoolForecast(peaks=learnt)
    store = None
    owner = MachineOwner(
        orders=MachineOrders(machines, 1, lambda: True),
        upkeep=Upkeep(store, clock, lambda wave, is_over: Put("", "")),
        resizing=Resizing(store, clock, sizing, metrics, has_base=True),
        cordons=CordonRequests(0),
        clock=clock,
        send=lambda message: None,
        routing_table=lambda: RoutingTable(
            1, pools=(JobPool("mail"), JobPool("spare", is_standby=True))
        ),
    )

    async def scenario() -> None:
        task = asyncio.create_task(owner.run())
        while clock.now_ms() < begin_ms + 3_000:
            owner.mailbox.post(LoadReported(idle_load(), clock.now_ms()))
            await asyncio.sleep(SAMPLE_MS / 1_000)
        task.cancel()

    with asyncio.Runner(loop_factory=FakeTimeLoop) as runner:
        runner.run(scenario())
    assert len(machines.move_times_ms) == round(HEIGHT) - 3
    assert max(machines.move_times_ms) <= begin_ms - MOVE_LEAD_MS
    labels = {"pool": "mail", "outcome": "missed"}
    sample = metrics.registry.get_sample_value
    assert sample("cornelturn_peak_predictions_total", labels) == 1


def test_recognised_peaks_are_counted_once():
    metrics = JobMetrics()
    resizing = Resizing(store=None, clock=Clock(), metrics=metrics)
    pools = PoolSimulation()

    def add(demand: float, now_ms: int) -> None:
        pools.demand["mail"] = demand
        resizing.record_load(pools.load("mail"), now_ms)

    feed(add, exact_peaks(LEARNT_PEAKS), 0, exact_peaks(8)[-1])
    sample = metrics.registry.get_sample_value
    assert sample("cornelturn_peaks_recognised_total", {"pool": "mail"}) == 1


@settings(derandomize=True, deadline=None, max_examples=60)
@given(
    demand_before=st.floats(0, 12),
    demand=st.sampled_from([0.5, 2.0]) | st.floats(0, 20),
    spare_count=st.integers(0, STANDBY_SIZE),
    steps=st.integers(14, 24),
)
def test_peak_that_is_due_changes_no_plan_for_other_pools(
    demand_before, demand, spare_count, steps
):
    plans_for_phone = []
    for peaks in (RecurringPeaks(), learn()):
        pools = PoolSimulation(now_ms=exact_peaks(8)[-1] - 10_000)
        pools.demand["phone"] = demand_before
        pools.run(4_000 + steps * STEP_MS)
        spare = [name for name in pools.machines if name.startswith("spare")]
        pools.pinned = set(spare[spare_count:])
        pools.sizing.forecasts["mail"].peaks = peaks
        pools.demand["phone"] = demand
        plan = pools.step()
        plans_for_phone.append(
            (
                [move.machine.name for move in plan.moves if move.pool == "phone"],
                [item.name for item in plan.cordoned if item.pool == "phone"],
            )
        )
    assert plans_for_phone[0] == plans_for_phone[1]
