"""Decisions on the sizes of pools."""

from __future__ import annotations

from dataclasses import dataclass, field

import pytest

from cornelturn.capacity.demand import DemandTrend
from cornelturn.capacity.plan import SizingInputs, SizingPlan
from cornelturn.capacity.shares import fair_sizes
from cornelturn.capacity.sizing import MOVE_LEAD_MS, PoolSizer
from cornelturn.capacity.transit import MOVE_TIMEOUT_MS
from cornelturn.jobs.model import Resources
from cornelturn.model.upkeep import Machine, MachineState
from cornelturn.peering.messages import PoolLoad, TargetLoad

MACHINE_MILLICORES = 64_000
STEP_MS = 250
BASE_SIZES = {"mail": 6, "phone": 6}
STANDBY_SIZE = 6
IDLE_SIZE = 3
"""Machines that either pool keeps while idle: half of its small base size."""


@dataclass
class PoolSimulation:
    """Simulation of two pools and a standby pool; tests set the demand in machines.

    A move takes `MOVE_LEAD_MS`. A cordoned target is empty at the next step.
    """

    sizing: PoolSizer = field(
        default_factory=lambda: PoolSizer(base_sizes=dict(BASE_SIZES))
    )
    machines: dict[str, Machine] = field(default_factory=dict)
    arriving: dict[str, tuple[str, int]] = field(default_factory=dict)
    cordoned: set[str] = field(default_factory=set)
    demand: dict[str, float] = field(
        default_factory=lambda: dict.fromkeys(BASE_SIZES, 0.5)
    )
    held_back: dict[str, float] = field(default_factory=dict)
    least_targets: int = 0
    pinned: set[str] = field(default_factory=set)
    standby: frozenset[str] = frozenset({"spare"})
    silent: set[str] = field(default_factory=set)
    unrecorded: set[str] = field(default_factory=set)
    has_idle_targets: bool = False
    now_ms: int = 0
    moves: int = 0

    def __post_init__(self) -> None:
        for pool, count in {**BASE_SIZES, "spare": STANDBY_SIZE}.items():
            for number in range(count):
                self.put_machine(f"{pool}-{number}", pool)

    def put_machine(self, name: str, pool: str) -> None:
        """Put a machine into a pool; in a standby pool it has no target."""
        target = "" if pool in self.standby else f"t-{name}-{self.now_ms}"
        self.machines[name] = Machine(name, pool, MachineState.UP, target)

    def size(self, pool: str) -> int:
        """Return how many machines of a pool are up."""
        return sum(
            machine.pool == pool and machine.state is MachineState.UP
            for machine in self.machines.values()
        )

    def silent_machines_of(self, pool: str) -> list[str]:
        """Return the machines of a pool that are up but unreachable."""
        return [
            machine.name
            for machine in self.machines.values()
            if machine.pool == pool and machine.name in self.silent
        ]

    def unrecorded_machines_of(self, pool: str) -> list[Machine]:
        """Return machines of a pool that answer but may not accept work yet."""
        machines = [self.machines[name] for name in self.unrecorded]
        return [
            machine for machine in machines if machine.pool == pool and machine.target
        ]

    def run(self, duration_ms: int) -> None:
        """Simulate a period of time."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.step()

    def step(self) -> SizingPlan:
        """Make one sizing decision and apply it."""
        self.now_ms += STEP_MS
        for name, (pool, due_ms) in list(self.arriving.items()):
            if due_ms <= self.now_ms:
                del self.arriving[name]
                self.put_machine(name, pool)
        plan = self.sizing.plan(self.inputs(), self.now_ms)
        for move in plan.moves:
            self.moves += 1
            self.sizing.transits.record_move(move, self.now_ms)
            self.arriving[move.machine.name] = (move.pool, self.now_ms + MOVE_LEAD_MS)
            self.machines[move.machine.name] = Machine(
                move.machine.name, move.pool, MachineState.MOVING, ""
            )
        self.cordoned = {machine.target for machine in plan.cordoned}
        return plan

    def inputs(self) -> SizingInputs:
        """Return the input of the sizing decision."""
        reachable = [
            machine
            for machine in self.machines.values()
            if machine.target and machine.name not in self.silent
        ]
        targets = {
            machine.target: TargetLoad(
                machine.target,
                runs=int(
                    machine.target not in self.cordoned and not self.has_idle_targets
                ),
                lasting=0,
                is_cordoned=machine.target in self.cordoned,
            )
            for machine in reachable
        }
        return SizingInputs(
            machines=tuple(self.machines.values()),
            pinned=self.pinned,
            upkeep_draining=set(),
            standby=self.standby,
            pool_loads={pool: self.load(pool) for pool in self.demand},
            target_loads=targets,
        )

    def load(self, pool: str) -> PoolLoad:
        """Return the load of a pool as its owner reports it."""
        count = self.size(pool) - len(self.silent_machines_of(pool))
        count -= len(self.unrecorded_machines_of(pool))
        capacity = Resources(MACHINE_MILLICORES * count)
        total = round(MACHINE_MILLICORES * self.demand[pool])
        held = min(total, capacity.cpu)
        held_back = round(MACHINE_MILLICORES * self.held_back.get(pool, 0.0))
        return PoolLoad(
            pool=pool,
            generation=1,
            cordon=1,
            targets=(),
            held=Resources(held),
            waiting=Resources(total - held + held_back),
            capacity=capacity,
            open_targets=count,
            least_targets=self.least_targets,
            held_back=Resources(held_back),
        )


@pytest.fixture
def pools() -> PoolSimulation:
    """Return two idle pools."""
    return PoolSimulation()


def test_small_idle_pools_keep_half_of_their_base_size(pools):
    pools.run(10_000)
    assert (pools.size("mail"), pools.size("phone")) == (IDLE_SIZE, IDLE_SIZE)
    assert pools.size("spare") == STANDBY_SIZE + 6


def test_large_idle_pool_keeps_a_fifth_of_its_base_size(pools):
    pools.sizing.base_sizes["mail"] = 40
    for number in range(6, 40):
        pools.put_machine(f"mail-{number}", "mail")
    pools.run(10_000)
    assert pools.size("mail") == 8


def test_idle_pool_of_few_machines_releases_at_most_one(pools):
    pools.sizing.base_sizes = {"mail": 3, "phone": 1}
    pools.run(10_000)
    assert (pools.size("mail"), pools.size("phone")) == (2, 1)


def test_pool_at_its_peak_grows_beyond_its_base_size_and_releases_afterwards(pools):
    pools.run(5_000)
    pools.demand["mail"] = 9.0
    pools.run(3_000)
    assert pools.size("mail") >= 9
    pools.demand["mail"] = 0.5
    pools.run(6_000)
    assert pools.size("mail") == IDLE_SIZE


def test_rising_demand_is_met_before_tasks_wait(pools):
    pools.run(5_000)
    pools.demand["mail"] = 1.5
    pools.step()
    pools.demand["mail"] = 2.0
    plan = pools.step()
    assert [move.pool for move in plan.moves] == ["mail"] * len(plan.moves)
    assert plan.moves


def test_steady_demand_moves_nothing(pools):
    pools.demand["mail"] = 4.0
    pools.run(8_000)
    moves_before = pools.moves
    pools.run(30_000)
    assert pools.moves == moves_before


def test_growth_stops_at_two_thirds_of_the_fleet(pools):
    pools.demand["mail"] = 100.0
    pools.run(20_000)
    assert pools.size("mail") == 12


def test_pool_grows_beyond_twice_its_base_while_most_machines_are_idle(pools):
    for number in range(STANDBY_SIZE, 4 * STANDBY_SIZE):
        pools.put_machine(f"spare-{number}", "spare")
    pools.run(5_000)
    pools.demand["mail"] = 17.0
    pools.run(6_000)
    assert pools.size("mail") >= 17


def test_rise_reported_between_two_decisions_is_used(pools):
    pools.run(5_000)
    for reading in range(4):
        pools.demand["mail"] = 0.5 + 0.3 * reading
        pools.sizing.record_load(pools.load("mail"), pools.now_ms + 200 * reading)
    pools.now_ms += 3 * 200
    assert pools.sizing.may_grow_soon(pools.sizing.last_loads["mail"])
    assert [move.pool for move in pools.step().moves][:1] == ["mail"]


def test_released_machines_go_only_to_pools_with_a_shortage(pools):
    pools.run(5_000)
    pools.demand["phone"] = 9.0
    pools.run(5_000)
    assert pools.size("phone") >= 9
    machines = pools.machines.values()
    pools.pinned = {machine.name for machine in machines if machine.pool == "spare"}
    pools.demand["mail"] = 3.5
    pools.run(2_000)
    pools.demand["phone"] = 0.5
    pools.run(4_000)
    assert (pools.size("mail"), pools.size("phone")) == (4, IDLE_SIZE)


def test_surplus_goes_immediately_to_a_pool_with_a_shortage(pools):
    pools.run(5_000)
    pools.demand["phone"] = 9.0
    pools.run(6_000)
    machines = pools.machines.values()
    pools.pinned = {machine.name for machine in machines if machine.pool == "spare"}
    pools.demand.update(phone=0.5, mail=8.0)
    pools.run(2 * STEP_MS + MOVE_LEAD_MS + STEP_MS)
    assert pools.size("mail") >= 8


def test_pool_at_its_peak_gets_machines_of_an_overloaded_pool(pools):
    pools.run(5_000)
    pools.demand["mail"] = 100.0
    pools.run(6_000)
    assert pools.size("mail") == 12
    pools.demand["phone"] = 8.0
    pools.run(4_000)
    assert pools.size("phone") >= 8
    assert pools.size("mail") >= 9


def test_machines_for_held_back_jobs_go_to_a_pool_whose_jobs_can_start(pools):
    pools.run(5_000)
    pools.demand["mail"] = 11.0
    pools.run(6_000)
    assert pools.size("mail") >= 11
    pools.demand.update(mail=0.5, phone=12.0)
    pools.held_back["mail"] = 10.5
    pools.run(6_000)
    assert pools.size("phone") >= 11


def test_machines_for_held_back_jobs_stay_while_no_pool_has_a_shortage(pools):
    pools.run(5_000)
    pools.demand["mail"] = 11.0
    pools.run(6_000)
    pools.demand["mail"] = 0.5
    pools.held_back["mail"] = 10.5
    pools.run(6_000)
    assert pools.size("mail") >= 11


def test_two_overloaded_pools_stop_moving_machines_once_shares_are_fair(pools):
    pools.run(5_000)
    pools.demand.update(mail=100.0, phone=90.0)
    pools.run(8_000)
    moves_before = pools.moves
    pools.run(20_000)
    assert pools.moves == moves_before
    assert abs(pools.size("mail") - pools.size("phone")) <= 2


def test_fair_sizes_follow_the_base_sizes_and_never_exceed_the_demand():
    demanded = {"mail": 100, "phone": 90, "post": 3}
    base_sizes = {"mail": 20, "phone": 10, "post": 10}
    assert fair_sizes(demanded, base_sizes, 63) == {"mail": 40, "phone": 20, "post": 3}


def test_arrived_machines_count_before_they_accept_work(pools):
    pools.run(5_000)
    pools.demand["mail"] = 6.0
    while not pools.arriving:
        pools.step()
    pools.unrecorded = set(pools.arriving)
    moves_before = pools.moves
    pools.run(MOVE_LEAD_MS + 2 * STEP_MS)
    assert pools.size("mail") >= 6
    assert pools.moves == moves_before


def test_pool_keeps_as_many_targets_as_its_separated_tasks_need(pools):
    pools.least_targets = 5
    pools.run(10_000)
    assert pools.size("mail") == 5


def test_machines_due_for_upkeep_are_not_moved(pools):
    pools.pinned = {f"mail-{number}" for number in range(6)}
    pools.run(10_000)
    assert pools.size("mail") == 6
    assert pools.size("phone") == IDLE_SIZE


def test_pool_without_any_machine_gets_its_buffer(pools):
    for number in range(6):
        del pools.machines[f"mail-{number}"]
    pools.run(4_000)
    assert pools.size("mail") == IDLE_SIZE


def test_pool_whose_machines_all_went_silent_gets_its_buffer(pools):
    pools.run(5_000)
    machines = pools.machines.values()
    pools.silent = {machine.name for machine in machines if machine.pool == "mail"}
    pools.run(4_000)
    assert pools.size("mail") - len(pools.silent_machines_of("mail")) == IDLE_SIZE


def test_without_standby_pools_an_idle_pool_gives_machines_to_a_busy_one(pools):
    pools.standby = frozenset()
    for number in range(STANDBY_SIZE):
        del pools.machines[f"spare-{number}"]
    pools.run(5_000)
    assert pools.size("mail") == 6
    pools.demand["mail"] = 8.0
    pools.run(6_000)
    assert pools.size("mail") >= 8
    assert pools.size("phone") >= 3


def test_machine_is_not_retried_soon_after_a_refused_move(pools):
    pools.demand["mail"] = 7.5
    refused_machine = pools.sizing.plan(pools.inputs(), 0).moves[0].machine.name
    pools.sizing.transits.record_refusal(refused_machine, 0)
    retried = {
        move.machine.name for move in pools.sizing.plan(pools.inputs(), 250).moves
    }
    assert refused_machine not in retried


def test_machine_with_an_unanswered_move_stays_cordoned(pools):
    plan = pools.sizing.plan(pools.inputs(), 0)
    while not plan.moves:
        plan = pools.step()
    move = plan.moves[0]
    pools.machines[move.machine.name] = move.machine
    del pools.arriving[move.machine.name]
    assert move.machine in pools.step().cordoned


def test_move_of_a_machine_that_disappears_is_given_up(pools):
    pools.demand["mail"] = 9.0
    while not pools.arriving:
        pools.step()
    lost_machine = next(iter(pools.arriving))
    del pools.arriving[lost_machine]
    del pools.machines[lost_machine]
    pools.run(MOVE_TIMEOUT_MS)
    pools.demand["mail"] = 0.5
    pools.run(6_000)
    assert pools.size("mail") == IDLE_SIZE
    assert pools.sizing.is_settled()


def test_falling_demand_is_not_extrapolated():
    trend = DemandTrend()
    trend.add(5.0, 0)
    trend.add(3.0, 500)
    assert trend.forecast(1_000) == 3.0
