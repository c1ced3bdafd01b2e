"""Decisions on the size of pools, for load that exceeds a pool for some seconds.

A pool whose tasks wait grows at once, out of machines that are off or that another
pool can spare. A pool whose demand has fitted into fewer machines for a while gives
the surplus back, down to the share of its base that it holds as a buffer. While pools
ask for more than there is, each gets its share. No sockets: what is known comes in
with the time, moves and cordons come out as data.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from math import ceil, floor

from cornelturn.jobs.model import Resources
from cornelturn.model.upkeep import Machine, MachineState, MoveOrder
from cornelturn.peering.messages import PoolLoad, TargetLoad

GROWTH_UTILISATION = 0.9
"""Fill above which a pool grows; tasks wait for each other from there on."""

TREND_WINDOW_MS = 800
"""Span over which the trend of a demand is taken: several readings of it."""

MOVE_LEAD_MS = 1_800
"""Time from the order of a move to the first task on the machine: the move itself and
the first answer of the new target."""

MAX_FLEET_SHARE = 2 / 3
"""Share of all machines that a pool may grow to; bounds what a wrong guess costs."""

REBALANCE_THRESHOLD = 0.8
"""Part of its fair size below which a pool gets machines that others use; a move
takes seconds of a machine, so smaller differences stay."""

BUSY_UTILISATION = 0.4
"""Expected fill of a pool above which it may lack machines soon."""

RELEASE_UTILISATION = 0.75
"""Fill that the machines kept after a release may have; the rest is the buffer."""

RELEASE_AFTER_MS = 1_000
"""How long a surplus lasts before it is released while no pool lacks machines: longer
than a pause between jobs, shorter than what a move costs in seconds of a machine."""

BUFFER_SHARE = 0.2
"""Share of its base that an idle pool holds, for the time until others arrive."""

MAX_HALF_BASE_BUFFER = 6
"""Machines up to which an idle pool holds half of its base: in a small pool a few jobs
fill the rest."""

NO_TARGET_TIMEOUT_MS = 1_000
"""How long a pool without a target that takes work is waited for: a new owner hears
from its targets sooner, and a lease lapses later."""

MOVE_TIMEOUT_MS = 6_000
"""Time after which a move that did not show up is given up."""

REFUSED_MOVE_RETRY_MS = 2_000
"""Pause before a machine is tried again that was refused."""


@dataclass(slots=True)
class DemandTrend:
    """Recent demand of a pool, in machines.

    Parameters
    ----------
    readings : deque
        Times and demands, oldest first.
    """

    samples: deque[tuple[int, float]] = field(default_factory=deque)

    def add(self, demand: float, now_ms: int) -> None:
        """Take in a reading."""
        self.samples.append((now_ms, demand))
        while now_ms - self.samples[0][0] > TREND_WINDOW_MS:
            self.samples.popleft()

    def forecast(self, lead_ms: int) -> float:
        """Return the demand some time ahead if it goes on to rise as it does."""
        first_ms, first_demand = self.samples[0]
        last_ms, last_demand = self.samples[-1]
        if last_ms <= first_ms:
            return last_demand
        rise_per_ms = max(0.0, last_demand - first_demand) / (last_ms - first_ms)
        return last_demand + rise_per_ms * lead_ms


@dataclass(frozen=True, slots=True)
class SizingPlan:
    """What is to be done now.

    Parameters
    ----------
    moves : tuple of MoveOrder
        Machines that run nothing and go now.
    emptied : tuple of Machine
        Machines that get no new work, since they are to go.
    """

    moves: tuple[MoveOrder, ...] = ()
    cordoned: tuple[Machine, ...] = ()


@dataclass(frozen=True, slots=True)
class SizingInputs:
    """What a decision on sizes knows.

    Parameters
    ----------
    machines : tuple of Machine
        All machines.
    fixed : set of str
        Machines that must not be moved now, since their upkeep is due.
    leaving : set of str
        Machines that are being emptied for their upkeep.
    standby : frozenset of str
        Pools whose machines are off.
    pools, targets : dict
        Loads by name, as told lately; a cordon that may lapse counts as none.
    """

    machines: tuple[Machine, ...]
    pinned: set[str]
    upkeep_draining: set[str]
    standby: frozenset[str]
    pool_loads: dict[str, PoolLoad]
    target_loads: dict[str, TargetLoad]


@dataclass(slots=True)
class PoolSizer:
    """Sizes of the pools over time.

    Parameters
    ----------
    base : dict
        Machines that each pool holds while its demand is ordinary.
    coming : dict
        Machines on their way, with their pool and when they were sent.
    surplus_since : dict
        Since when a pool has had more machines than it needs.
    empty_since : dict
        Since when a pool has had no target that takes work.
    barred : dict
        Until when a machine is left alone.
    leaving : set of str
        Machines that are being emptied to go.
    trends : dict
        Recent demand of each pool.
    told : dict
        Last load of each pool that its trend holds.
    """

    base_sizes: dict[str, int] = field(default_factory=dict)
    in_transit: dict[str, tuple[str, int]] = field(default_factory=dict)
    surplus_since_ms: dict[str, int] = field(default_factory=dict)
    blocked_until_ms: dict[str, int] = field(default_factory=dict)
    no_target_since_ms: dict[str, int] = field(default_factory=dict)
    draining: set[str] = field(default_factory=set)
    trends: dict[str, DemandTrend] = field(default_factory=dict)
    last_loads: dict[str, PoolLoad] = field(default_factory=dict)

    def record_load(self, load: PoolLoad, now_ms: int) -> None:
        """Take in the load of a pool; a load that is known already adds nothing."""
        if self.last_loads.get(load.pool) is load:
            return
        self.last_loads[load.pool] = load
        self.trends.setdefault(load.pool, DemandTrend()).add(demand_of(load), now_ms)

    def may_grow_soon(self, load: PoolLoad) -> bool:
        """Return whether a pool that was told of may lack machines soon."""
        expected = self.trends[load.pool].forecast(MOVE_LEAD_MS)
        return expected > load.open_targets * BUSY_UTILISATION

    def plan(self, inputs: SizingInputs, now_ms: int) -> SizingPlan:
        """Return the moves and cordons that are due."""
        self._discard_finished_moves(inputs, now_ms)
        self._update_trends(inputs, now_ms)
        fair = self._fair_sizes(inputs, MOVE_LEAD_MS, now_ms)
        shortages = {
            pool: min(
                self._shortage(inputs, load, now_ms),
                max(0, fair[pool] - self._allocated_count(inputs, load)),
            )
            for pool, load in self._working_pools(inputs)
        }
        moves = assign_machines(shortages, self._movable_standby(inputs, now_ms))
        has_shortage = any(shortages.values())
        cordoned: list[Machine] = []
        if inputs.standby or has_shortage:
            pause_ms = 0 if has_shortage else RELEASE_AFTER_MS
            for _, load in self._working_pools(inputs):
                cordoned += self._machines_to_release(inputs, load, pause_ms, now_ms)
        max_count = sum(shortages.values()) - len(cordoned)
        cordoned += self._machines_to_rebalance(inputs, cordoned, max_count, now_ms)
        drained = [
            machine
            for machine in cordoned
            if inputs.target_loads[machine.target].is_empty()
        ]
        moves += assign_machines(shortages, drained)
        standby_pool = min(inputs.standby, default="")
        if standby_pool:
            moves += [MoveOrder(machine, standby_pool) for machine in drained]
        self.draining = {machine.name for machine in cordoned}
        moved = {move.machine.name for move in moves}
        still_cordoned = [machine for machine in cordoned if machine.name not in moved]
        still_cordoned += self._unconfirmed_moves(inputs)
        return SizingPlan(tuple(moves), tuple(still_cordoned))

    def record_move(self, move: MoveOrder, now_ms: int) -> None:
        """Note that a machine is, or may be, on its way."""
        self.in_transit[move.machine.name] = (move.pool, now_ms)

    def record_refusal(self, machine: str, now_ms: int) -> None:
        """Note that a machine stays where it is for now."""
        self.in_transit.pop(machine, None)
        self.blocked_until_ms[machine] = now_ms + REFUSED_MOVE_RETRY_MS

    def is_settled(self) -> bool:
        """Return whether no machine is on its way or to be emptied."""
        return not self.in_transit and not self.draining

    def _unconfirmed_moves(self, inputs: SizingInputs) -> list[Machine]:
        """Return the machines that stand where they were, but may go at any moment."""
        return [
            machine
            for machine in inputs.machines
            if machine.name in self.in_transit
            and machine.target
            and machine.pool != self.in_transit[machine.name][0]
        ]

    def _working_pools(self, inputs: SizingInputs) -> list[tuple[str, PoolLoad]]:
        """Return the pools that work, with their loads."""
        return [
            item
            for item in sorted(inputs.pool_loads.items())
            if item[0] not in inputs.standby
        ]

    def _discard_finished_moves(self, inputs: SizingInputs, now_ms: int) -> None:
        """Forget the moves that are over, and those that never showed up."""
        machine_by_name = {machine.name: machine for machine in inputs.machines}
        for name, (pool, sent_ms) in list(self.in_transit.items()):
            machine = machine_by_name.get(name)
            has_arrived = (
                machine is not None
                and machine.pool == pool
                and (machine.target in inputs.target_loads or pool in inputs.standby)
            )
            if has_arrived or now_ms - sent_ms > MOVE_TIMEOUT_MS:
                del self.in_transit[name]

    def _movable_standby(self, inputs: SizingInputs, now_ms: int) -> list[Machine]:
        """Return the machines that are off and may be sent somewhere."""
        return [
            machine
            for machine in inputs.machines
            if machine.pool in inputs.standby
            and machine.state in (MachineState.UP, MachineState.DOWN)
            and self._is_movable(inputs, machine, now_ms)
        ]

    def _is_movable(self, inputs: SizingInputs, machine: Machine, now_ms: int) -> bool:
        return (
            machine.name not in inputs.pinned
            and machine.name not in self.in_transit
            and self.blocked_until_ms.get(machine.name, 0) <= now_ms
        )

    def _in_transit_count(self, pool: str) -> int:
        return sum(1 for sent_to, _ in self.in_transit.values() if sent_to == pool)

    def _reachable_count(self, inputs: SizingInputs, pool: str) -> int:
        """Return how many machines of a pool have a reachable target and stay.

        The owner of the pool writes down new targets before they take work, so for a
        moment these are more than its open targets.
        """
        draining = inputs.upkeep_draining | self.draining
        return sum(
            1
            for machine in inputs.machines
            if machine.pool == pool
            and machine.target in inputs.target_loads
            and machine.name not in draining
        )

    def _allocated_count(self, inputs: SizingInputs, load: PoolLoad) -> int:
        """Return how many machines a pool has, those on their way included."""
        reachable = max(load.open_targets, self._reachable_count(inputs, load.pool))
        return reachable + self._in_transit_count(load.pool)

    def _fair_sizes(
        self, inputs: SizingInputs, lead_ms: int, now_ms: int
    ) -> dict[str, int]:
        """Return how many machines each pool may have beside what the others want.

        What tasks that are held back would take comes after all that can start.
        """
        demanded: dict[str, int] = {}
        usable: dict[str, int] = {}
        total = len(self._movable_standby(inputs, now_ms))
        for pool, load in self._working_pools(inputs):
            total += len(self._releasable(inputs, pool)) + self._in_transit_count(pool)
            expected = ceil(self.trends[pool].forecast(lead_ms))
            min_size = max(self._buffer_size(load), load.least_targets)
            demanded[pool] = max(min_size, min(expected, self._max_size(inputs, load)))
            held_back = floor(machines_for(load, load.held_back))
            usable[pool] = max(min_size, demanded[pool] - held_back)
        fair = fair_sizes(usable, self.base_sizes, total)
        held_back_sizes = {pool: demanded[pool] - usable[pool] for pool in demanded}
        extra = fair_sizes(held_back_sizes, self.base_sizes, total - sum(fair.values()))
        return {pool: fair[pool] + extra[pool] for pool in fair}

    def _machines_to_rebalance(
        self, inputs: SizingInputs, cordoned: list[Machine], max_count: int, now_ms: int
    ) -> list[Machine]:
        """Return the machines that pools give to others which have far less.

        What waits now decides, since a trend may end while machines are emptied.

        Parameters
        ----------
        emptied : list of Machine
            Machines that go anyway.
        most : int
            How many more are lacked.
        """
        fair = self._fair_sizes(inputs, 0, now_ms)
        allocated = {
            pool: self._allocated_count(inputs, load)
            for pool, load in self._working_pools(inputs)
        }
        min_sizes = {
            pool: self._min_size(load) for pool, load in self._working_pools(inputs)
        }
        missing_count = sum(
            fair[pool] - count
            for pool, count in allocated.items()
            if count < fair[pool] * REBALANCE_THRESHOLD
        )
        missing_count = min(missing_count - len(cordoned), max_count)
        cordoned_names = {machine.name for machine in cordoned}
        selected: list[Machine] = []
        for pool in sorted(allocated, key=lambda pool: fair[pool] - allocated[pool]):
            releasable = [
                machine
                for machine in self._releasable(inputs, pool)
                if machine.name not in cordoned_names
            ]
            retained = max(fair[pool], min_sizes[pool])
            surplus = min(len(releasable) - retained, missing_count - len(selected))
            movable = [
                machine
                for machine in releasable
                if self._is_movable(inputs, machine, now_ms)
            ]
            movable.sort(key=lambda machine: self._release_order(inputs, machine))
            selected += movable[: max(0, surplus)]
        return selected

    def _releasable(self, inputs: SizingInputs, pool: str) -> list[Machine]:
        """Return the machines of a pool that work and may be given away."""
        return [
            machine
            for machine in inputs.machines
            if machine.pool == pool
            and machine.state is MachineState.UP
            and machine.target in inputs.target_loads
            and machine.name not in self.in_transit
            and machine.name not in inputs.upkeep_draining
        ]

    def _max_size(self, inputs: SizingInputs, load: PoolLoad) -> int:
        """Return how many machines a pool may have."""
        base = self.base_sizes.get(load.pool, load.open_targets)
        return max(base, round(len(inputs.machines) * MAX_FLEET_SHARE))

    def _shortage(self, inputs: SizingInputs, load: PoolLoad, now_ms: int) -> int:
        """Return how many machines a pool lacks."""
        if load.pool in self.no_target_since_ms:
            elapsed_ms = now_ms - self.no_target_since_ms[load.pool]
            demanded = (
                self._buffer_size(load) if elapsed_ms >= NO_TARGET_TIMEOUT_MS else 0
            )
            return max(0, demanded - self._in_transit_count(load.pool))
        allocated = self._allocated_count(inputs, load)
        expected = self.trends[load.pool].forecast(MOVE_LEAD_MS)
        if expected <= allocated * GROWTH_UTILISATION:
            return 0
        return max(0, min(ceil(expected), self._max_size(inputs, load)) - allocated)

    def _update_trends(self, inputs: SizingInputs, now_ms: int) -> None:
        for pool, load in self._working_pools(inputs):
            self.record_load(load, now_ms)
            if load.open_targets:
                self.no_target_since_ms.pop(pool, None)
            else:
                self.no_target_since_ms.setdefault(pool, now_ms)

    def _machines_to_release(
        self, inputs: SizingInputs, load: PoolLoad, pause_ms: int, now_ms: int
    ) -> list[Machine]:
        """Return the machines that a pool gives back.

        Parameters
        ----------
        pause_ms : int
            How long its surplus has to have lasted.
        """
        pool = load.pool
        releasable = self._releasable(inputs, pool)
        surplus = len(releasable) - self._retained_size(load)
        if (
            surplus <= 0
            or self._in_transit_count(pool)
            or self._shortage(inputs, load, now_ms)
        ):
            self.surplus_since_ms.pop(pool, None)
            return []
        since_ms = self.surplus_since_ms.setdefault(pool, now_ms)
        if now_ms - since_ms < pause_ms:
            return []
        movable = [
            machine
            for machine in releasable
            if self._is_movable(inputs, machine, now_ms)
        ]
        movable.sort(key=lambda machine: self._release_order(inputs, machine))
        return movable[:surplus]

    def _retained_size(self, load: PoolLoad) -> int:
        """Return how many machines a pool keeps."""
        demanded = ceil(demand_of(load) / RELEASE_UTILISATION)
        return max(demanded, self._buffer_size(load), self._min_size(load))

    def _min_size(self, load: PoolLoad) -> int:
        """Return how many machines a pool keeps for tasks that are kept apart."""
        base = self.base_sizes.get(load.pool, load.open_targets)
        return min(base, load.least_targets)

    def _buffer_size(self, load: PoolLoad) -> int:
        """Return how many machines an idle pool holds."""
        base = self.base_sizes.get(load.pool, load.open_targets)
        return max(ceil(base * BUFFER_SHARE), min(ceil(base / 2), MAX_HALF_BASE_BUFFER))

    def _release_order(
        self, inputs: SizingInputs, machine: Machine
    ) -> tuple[bool, int, int, str]:
        load = inputs.target_loads[machine.target]
        return machine.name not in self.draining, load.lasting, load.runs, machine.name


def demand_of(load: PoolLoad) -> float:
    """Return how many machines of the pool's mean size its demand takes."""
    return machines_for(load, load.held.plus(load.waiting))


def machines_for(load: PoolLoad, need: Resources) -> float:
    """Return how many machines of the pool's mean size some need takes."""
    capacity = load.capacity
    shares = (
        demanded / available
        for demanded, available in (
            (need.cpu, capacity.cpu),
            (need.mem_mb, capacity.mem_mb),
            (need.gpu, capacity.gpu),
        )
        if available > 0
    )
    return load.open_targets * max(shares, default=0.0)


def fair_sizes(
    demanded: dict[str, int], base_sizes: dict[str, int], total: int
) -> dict[str, int]:
    """Share machines out by the bases of the pools, to none more than it wants.

    Parameters
    ----------
    wanted : dict
        How many machines each pool could use.
    base : dict
        Machines of each pool while its demand is ordinary.
    total : int
        Machines that there are.
    """
    fair: dict[str, int] = {}
    remaining = total
    unsatisfied = dict(demanded)
    while unsatisfied:
        weights = {pool: max(1, base_sizes.get(pool, 1)) for pool in unsatisfied}
        share = remaining / sum(weights.values())
        satisfied = [
            pool for pool in unsatisfied if unsatisfied[pool] <= share * weights[pool]
        ]
        if not satisfied:
            return fair | {pool: int(share * weights[pool]) for pool in unsatisfied}
        for pool in satisfied:
            fair[pool] = unsatisfied.pop(pool)
            remaining -= fair[pool]
    return fair


def assign_machines(
    shortages: dict[str, int], machines: list[Machine]
) -> list[MoveOrder]:
    """Send machines to pools that lack some, to the neediest first.

    Parameters
    ----------
    lacking : dict
        How many machines each pool lacks; falls by those that are sent.
    machines : list of Machine
        Machines that may go; those that are sent are taken out.
    """
    moves: list[MoveOrder] = []
    for pool in sorted(shortages, key=lambda pool: (-shortages[pool], pool)):
        count = min(shortages[pool], len(machines))
        moves += [MoveOrder(machine, pool) for machine in machines[:count]]
        del machines[:count]
        shortages[pool] -= count
    return moves
