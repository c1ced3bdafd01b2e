"""Moves of machines ahead of recurring load peaks.

Guards against work that waits while a predicted peak begins, and against predictions
that take machines from pools that use them or keep machines that nobody uses.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Ok

from cornelturn.benchmarks.recurring_peaks import (
    PEAK_MS,
)
from cornelturn.capacity.forecast import PoolForecast
from cornelturn.capacity.peaks import (
    MAX_MARGIN_MS,
    RecurringPeaks,
)
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
from cornelturn.tests.square_peaks import (
    HEIGHT,
    IDLE,
    LEARNT_PEAKS,
    SAMPLE_MS,
    exact_peaks,
    feed,
    learn,
)
from cornelturn.tests.test_sizing import BASE_SIZES as POOL_SIZES
from cornelturn.tests.test_sizing import (
    IDLE_SIZE,
    STANDBY_SIZE,
    STEP_MS,
    PoolSimulation,
)


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


def test_shortage_of_a_pool_gives_no_recent_surplus_to_a_peak(learnt):
    """Guards against a pool that loses machines which it needed a moment ago.

    While a pool has a shortage, others are asked for their surplus without a pause.
    """
    pools = near_peak(learnt)
    pools.standby = frozenset()
    pools.has_idle_targets = True
    pools.sizing.base_sizes["chat"] = IDLE_SIZE
    for number in range(IDLE_SIZE):
        pools.put_machine(f"chat-{number}", "chat")
    for number in range(6, 12):
        pools.put_machine(f"phone-{number}", "phone")
    pools.demand |= {"chat": IDLE, "phone": 6.5}
    while not pools.sizing.is_peak_near(pools.now_ms + STEP_MS):
        pools.step()
    pools.demand |= {"chat": IDLE_SIZE + 1.0, "phone": IDLE}
    pools.sizing.forecasts["chat"].trend.samples.clear()
    assert {machine.pool for machine in pools.step().cordoned} == {"phone"}
    pools.sizing.forecasts["chat"].trend.samples.clear()
    assert {move.pool for move in pools.step().moves} == {"chat"}


def test_pool_without_targets_shows_no_end_of_a_peak(pools):
    """Guards against wrong lengths and misses: its demand in machines is not known."""
    begin_ms = exact_peaks(8)[-1]
    pools.run(begin_ms - pools.now_ms)
    pools.demand["mail"] = HEIGHT
    pools.run(2_000)
    pools.sizing.take_peak_events()
    peaks = pools.sizing.forecasts["mail"].peaks
    lengths_ms, confidence = list(peaks.lengths_ms), peaks.confidence()
    machines = pools.machines.values()
    pools.silent = {machine.name for machine in machines if machine.pool == "mail"}
    pools.run(1_000)
    pools.silent = set()
    pools.run(1_000)
    assert pools.sizing.take_peak_events() == []
    assert list(peaks.lengths_ms) == lengths_ms
    assert peaks.confidence() == confidence


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
