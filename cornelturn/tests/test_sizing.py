"""Decisions on the sizes of pools."""

from __future__ import annotations

from dataclasses import dataclass, field

import pytest

from cornelturn.capacity.sizing import (
    MOVE_LEAD_MS,
    MOVE_LIMIT_MS,
    FleetView,
    Sizing,
    SizingPlan,
    Trend,
    fair_sizes,
)
from cornelturn.jobs.model import Resources
from cornelturn.model.upkeep import Machine, MachineState
from cornelturn.peering.messages import PoolLoad, TargetLoad

CORES = 64_000
STEP_MS = 250
BASE = {"mail": 6, "phone": 6}
SPARE = 6
IDLE = 3
"""Machines that either pool holds while it is idle: half of its small base."""


@dataclass
class Pools:
    """Two pools and spare machines, with demands in machines that a test sets.

    Moves take their time; a cordoned target is empty at the next step.
    """

    sizing: Sizing = field(default_factory=lambda: Sizing(base=dict(BASE)))
    machines: dict[str, Machine] = field(default_factory=dict)
    arriving: dict[str, tuple[str, int]] = field(default_factory=dict)
    cordoned: set[str] = field(default_factory=set)
    demand: dict[str, float] = field(default_factory=lambda: dict.fromkeys(BASE, 0.5))
    held_back: dict[str, float] = field(default_factory=dict)
    least: int = 0
    fixed: set[str] = field(default_factory=set)
    standby: frozenset[str] = frozenset({"spare"})
    silent: set[str] = field(default_factory=set)
    unrecorded: set[str] = field(default_factory=set)
    now_ms: int = 0
    moves: int = 0

    def __post_init__(self) -> None:
        for pool, count in {**BASE, "spare": SPARE}.items():
            for number in range(count):
                self.put(f"{pool}-{number}", pool)

    def put(self, name: str, pool: str) -> None:
        """Put a machine into a pool; one that is off has no target."""
        target = "" if pool in self.standby else f"t-{name}-{self.now_ms}"
        self.machines[name] = Machine(name, pool, MachineState.UP, target)

    def size(self, pool: str) -> int:
        """Return how many machines of a pool are up."""
        return sum(
            one.pool == pool and one.state is MachineState.UP
            for one in self.machines.values()
        )

    def silent_in(self, pool: str) -> list[str]:
        """Return the machines of a pool that are up and do not answer."""
        return [
            one.name
            for one in self.machines.values()
            if one.pool == pool and one.name in self.silent
        ]

    def unrecorded_in(self, pool: str) -> list[Machine]:
        """Return the machines of a pool that answer and may not take work yet."""
        machines = [self.machines[name] for name in self.unrecorded]
        return [one for one in machines if one.pool == pool and one.target]

    def run(self, duration_ms: int) -> None:
        """Let time pass."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.step()

    def step(self) -> SizingPlan:
        """Take one decision and carry it out."""
        self.now_ms += STEP_MS
        for name, (pool, due_ms) in list(self.arriving.items()):
            if due_ms <= self.now_ms:
                del self.arriving[name]
                self.put(name, pool)
        plan = self.sizing.plan(self.view(), self.now_ms)
        for move in plan.moves:
            self.moves += 1
            self.sizing.sent(move, self.now_ms)
            self.arriving[move.machine.name] = (move.pool, self.now_ms + MOVE_LEAD_MS)
            self.machines[move.machine.name] = Machine(
                move.machine.name, move.pool, MachineState.MOVING, ""
            )
        self.cordoned = {one.target for one in plan.emptied}
        return plan

    def view(self) -> FleetView:
        """Return what the decision knows."""
        up = [
            one
            for one in self.machines.values()
            if one.target and one.name not in self.silent
        ]
        targets = {
            one.target: TargetLoad(
                one.target,
                runs=0 if one.target in self.cordoned else 1,
                lasting=0,
                is_cordoned=one.target in self.cordoned,
            )
            for one in up
        }
        return FleetView(
            machines=tuple(self.machines.values()),
            fixed=self.fixed,
            leaving=set(),
            standby=self.standby,
            pools={pool: self.load(pool) for pool in self.demand},
            targets=targets,
        )

    def load(self, pool: str) -> PoolLoad:
        """Return the load of a pool, as its owner tells it."""
        count = self.size(pool) - len(self.silent_in(pool))
        count -= len(self.unrecorded_in(pool))
        capacity = Resources(CORES * count)
        total = round(CORES * self.demand[pool])
        held = min(total, capacity.cpu)
        held_back = round(CORES * self.held_back.get(pool, 0.0))
        return PoolLoad(
            pool=pool,
            generation=1,
            cordon=1,
            targets=(),
            held=Resources(held),
            waiting=Resources(total - held + held_back),
            capacity=capacity,
            open_targets=count,
            least_targets=self.least,
            held_back=Resources(held_back),
        )


@pytest.fixture
def pools() -> Pools:
    """Return two idle pools."""
    return Pools()


def test_small_idle_pools_hold_half_of_their_base(pools):
    pools.run(10_000)
    assert (pools.size("mail"), pools.size("phone")) == (IDLE, IDLE)
    assert pools.size("spare") == SPARE + 6


def test_large_idle_pool_holds_a_fifth_of_its_base(pools):
    pools.sizing.base["mail"] = 40
    for number in range(6, 40):
        pools.put(f"mail-{number}", "mail")
    pools.run(10_000)
    assert pools.size("mail") == 8


def test_idle_pool_of_few_machines_goes_on_without_one_of_them(pools):
    pools.sizing.base = {"mail": 3, "phone": 1}
    pools.run(10_000)
    assert (pools.size("mail"), pools.size("phone")) == (2, 1)


def test_pool_in_its_turn_grows_beyond_its_base_and_gives_back(pools):
    pools.run(5_000)
    pools.demand["mail"] = 9.0
    pools.run(3_000)
    assert pools.size("mail") >= 9
    pools.demand["mail"] = 0.5
    pools.run(6_000)
    assert pools.size("mail") == IDLE


def test_rising_demand_is_met_before_tasks_wait(pools):
    pools.run(5_000)
    pools.demand["mail"] = 1.5
    pools.step()
    pools.demand["mail"] = 2.0
    plan = pools.step()
    assert [one.pool for one in plan.moves] == ["mail"] * len(plan.moves)
    assert plan.moves


def test_steady_demand_moves_nothing(pools):
    pools.demand["mail"] = 4.0
    pools.run(8_000)
    before = pools.moves
    pools.run(30_000)
    assert pools.moves == before


def test_growth_ends_at_twice_the_base(pools):
    pools.demand["mail"] = 100.0
    pools.run(20_000)
    assert pools.size("mail") == 12


def test_pool_grows_beyond_twice_its_base_while_most_machines_are_idle(pools):
    for number in range(SPARE, 4 * SPARE):
        pools.put(f"spare-{number}", "spare")
    pools.run(5_000)
    pools.demand["mail"] = 17.0
    pools.run(6_000)
    assert pools.size("mail") >= 17


def test_rise_that_is_told_between_two_decisions_counts(pools):
    pools.run(5_000)
    for told in range(4):
        pools.demand["mail"] = 0.5 + 0.3 * told
        pools.sizing.tell(pools.load("mail"), pools.now_ms + 200 * told)
    pools.now_ms += 3 * 200
    assert pools.sizing.may_grow_soon(pools.sizing.told["mail"])
    assert [move.pool for move in pools.step().moves][:1] == ["mail"]


def test_machines_given_back_go_only_to_where_they_are_lacked(pools):
    pools.run(5_000)
    pools.demand["phone"] = 9.0
    pools.run(5_000)
    assert pools.size("phone") >= 9
    machines = pools.machines.values()
    pools.fixed = {one.name for one in machines if one.pool == "spare"}
    pools.demand["mail"] = 3.5
    pools.run(2_000)
    pools.demand["phone"] = 0.5
    pools.run(4_000)
    assert (pools.size("mail"), pools.size("phone")) == (4, IDLE)


def test_surplus_goes_at_once_to_a_pool_that_lacks_machines(pools):
    pools.run(5_000)
    pools.demand["phone"] = 9.0
    pools.run(6_000)
    machines = pools.machines.values()
    pools.fixed = {one.name for one in machines if one.pool == "spare"}
    pools.demand.update(phone=0.5, mail=8.0)
    pools.run(2 * STEP_MS + MOVE_LEAD_MS + STEP_MS)
    assert pools.size("mail") >= 8


def test_pool_in_its_turn_gets_machines_of_one_that_has_too_much_to_do(pools):
    pools.run(5_000)
    pools.demand["mail"] = 100.0
    pools.run(6_000)
    assert pools.size("mail") == 12
    pools.demand["phone"] = 8.0
    pools.run(4_000)
    assert pools.size("phone") >= 8
    assert pools.size("mail") >= 9


def test_machines_of_jobs_that_are_held_back_help_a_pool_whose_jobs_can_start(pools):
    pools.run(5_000)
    pools.demand["mail"] = 11.0
    pools.run(6_000)
    assert pools.size("mail") >= 11
    pools.demand.update(mail=0.5, phone=12.0)
    pools.held_back["mail"] = 10.5
    pools.run(6_000)
    assert pools.size("phone") >= 11


def test_machines_of_jobs_that_are_held_back_stay_while_no_pool_lacks_any(pools):
    pools.run(5_000)
    pools.demand["mail"] = 11.0
    pools.run(6_000)
    pools.demand["mail"] = 0.5
    pools.held_back["mail"] = 10.5
    pools.run(6_000)
    assert pools.size("mail") >= 11


def test_two_pools_with_too_much_to_do_move_nothing_once_they_share(pools):
    pools.run(5_000)
    pools.demand.update(mail=100.0, phone=90.0)
    pools.run(8_000)
    before = pools.moves
    pools.run(20_000)
    assert pools.moves == before
    assert abs(pools.size("mail") - pools.size("phone")) <= 2


def test_machines_are_shared_by_base_and_none_gets_more_than_it_wants():
    wanted = {"mail": 100, "phone": 90, "post": 3}
    base = {"mail": 20, "phone": 10, "post": 10}
    assert fair_sizes(wanted, base, 63) == {"mail": 40, "phone": 20, "post": 3}


def test_arrived_machines_are_not_ordered_again_before_they_take_work(pools):
    pools.run(5_000)
    pools.demand["mail"] = 6.0
    while not pools.arriving:
        pools.step()
    pools.unrecorded = set(pools.arriving)
    moves = pools.moves
    pools.run(MOVE_LEAD_MS + 2 * STEP_MS)
    assert pools.size("mail") >= 6
    assert pools.moves == moves


def test_pool_keeps_the_targets_that_its_tasks_need_apart(pools):
    pools.least = 5
    pools.run(10_000)
    assert pools.size("mail") == 5


def test_machines_whose_upkeep_is_due_stay(pools):
    pools.fixed = {f"mail-{number}" for number in range(6)}
    pools.run(10_000)
    assert pools.size("mail") == 6
    assert pools.size("phone") == IDLE


def test_pool_without_any_machine_gets_its_buffer(pools):
    for number in range(6):
        del pools.machines[f"mail-{number}"]
    pools.run(4_000)
    assert pools.size("mail") == IDLE


def test_pool_whose_machines_all_went_silent_gets_its_buffer(pools):
    pools.run(5_000)
    machines = pools.machines.values()
    pools.silent = {one.name for one in machines if one.pool == "mail"}
    pools.run(4_000)
    assert pools.size("mail") - len(pools.silent_in("mail")) == IDLE


def test_without_standby_an_idle_pool_helps_a_busy_one(pools):
    pools.standby = frozenset()
    for number in range(SPARE):
        del pools.machines[f"spare-{number}"]
    pools.run(5_000)
    assert pools.size("mail") == 6
    pools.demand["mail"] = 8.0
    pools.run(6_000)
    assert pools.size("mail") >= 8
    assert pools.size("phone") >= 3


def test_refused_machine_is_left_alone_for_a_while(pools):
    pools.demand["mail"] = 7.5
    first = pools.sizing.plan(pools.view(), 0).moves[0].machine.name
    pools.sizing.refused(first, 0)
    again = {move.machine.name for move in pools.sizing.plan(pools.view(), 250).moves}
    assert first not in again


def test_machine_whose_move_was_not_answered_gets_no_work(pools):
    plan = pools.sizing.plan(pools.view(), 0)
    while not plan.moves:
        plan = pools.step()
    move = plan.moves[0]
    pools.machines[move.machine.name] = move.machine
    del pools.arriving[move.machine.name]
    assert move.machine in pools.step().emptied


def test_machine_that_is_lost_on_its_way_is_not_waited_for_for_ever(pools):
    pools.demand["mail"] = 9.0
    while not pools.arriving:
        pools.step()
    lost = next(iter(pools.arriving))
    del pools.arriving[lost]
    del pools.machines[lost]
    pools.run(MOVE_LIMIT_MS)
    pools.demand["mail"] = 0.5
    pools.run(6_000)
    assert pools.size("mail") == IDLE
    assert pools.sizing.is_settled()


def test_trend_of_a_falling_demand_is_not_drawn_on():
    trend = Trend()
    trend.add(5.0, 0)
    trend.add(3.0, 500)
    assert trend.expected(1_000) == 3.0
