"""Decisions on the sizes of pools, for load peaks that last a few seconds.

A pool whose tasks wait grows immediately, with machines that are off or that another
pool does not need. A pool whose demand has fitted on fewer machines for a while
releases the surplus, down to a buffer that is a share of its base size. While the pools
demand more machines than there are, each gets its fair share. The module does no I/O:
it takes loads and the time, and returns moves and cordons as data.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from math import ceil, floor

from cornelturn.capacity.demand import demand_of, machines_for
from cornelturn.capacity.forecast import PoolForecast
from cornelturn.capacity.peaks import PeakEvent
from cornelturn.capacity.plan import SizingInputs, SizingPlan
from cornelturn.capacity.shares import assign_machines, fair_sizes
from cornelturn.capacity.transit import MachineTransits
from cornelturn.model.upkeep import Machine, MachineState, MoveOrder
from cornelturn.peering.messages import PoolLoad

GROWTH_UTILISATION = 0.9
"""Utilisation above which a pool grows; beyond it tasks wait for each other."""

MOVE_LEAD_MS = 1_800
"""Time from the order of a move to the first task on the machine: the move itself plus
the first answer of the new target."""

MAX_FLEET_SHARE = 2 / 3
"""Share of all machines that a pool may grow to; limits the cost of a bad forecast."""

REBALANCE_THRESHOLD = 0.8
"""Fraction of its fair size below which a pool gets machines that other pools use. A
move costs seconds of a machine, so smaller differences are left."""

BUSY_UTILISATION = 0.4
"""Expected utilisation of a pool above which it may soon need more machines."""

RELEASE_UTILISATION = 0.75
"""Utilisation of the machines that remain after a release; the rest is the buffer."""

RELEASE_AFTER_MS = 1_000
"""Time that a surplus lasts before it is released while no pool has a shortage: longer
than a pause between jobs, shorter than the machine time that a move costs."""

BUFFER_SHARE = 0.2
"""Share of its base size that an idle pool keeps, to serve load until others arrive."""

MAX_HALF_BASE_BUFFER = 6
"""Machines up to which an idle pool keeps half of its base size, since a few jobs fill
the rest of a small pool."""

NO_TARGET_TIMEOUT_MS = 1_000
"""Time for which a pool may have no target that accepts work before it gets machines.
After a change of owner the targets answer sooner; a lease lapses later."""


@dataclass(slots=True)
class PoolSizer:
    """Decides the sizes of the pools from their loads over time.

    Parameters
    ----------
    base_sizes : dict
        Machines that each pool has at ordinary demand.
    transits : MachineTransits
        Machines that are being moved, and those that must not be moved.
    surplus_since_ms : dict
        Time since which a pool has had more machines than it needs.
    no_target_since_ms : dict
        Time since which a pool has had no target that accepts work.
    draining : set of str
        Machines that are being drained before a move.
    forecasts : dict
        Recent demand of each pool and its recurring peaks.
    last_loads : dict
        Last load of each pool that was added to its forecast.
    new_forecast : callable
        Returns the forecast of a pool that has no load yet.
    last_peak_ms : int or None
        Time of the last plan in which a recurring peak was due.
    """

    base_sizes: dict[str, int] = field(default_factory=dict)
    transits: MachineTransits = field(default_factory=MachineTransits)
    surplus_since_ms: dict[str, int] = field(default_factory=dict)
    no_target_since_ms: dict[str, int] = field(default_factory=dict)
    draining: set[str] = field(default_factory=set)
    forecasts: dict[str, PoolForecast] = field(default_factory=dict)
    last_loads: dict[str, PoolLoad] = field(default_factory=dict)
    new_forecast: Callable[[], PoolForecast] = PoolForecast
    last_peak_ms: int | None = None

    def record_load(self, load: PoolLoad, now_ms: int) -> None:
        """Add the load of a pool to its forecast; the same load is added only once."""
        if self.last_loads.get(load.pool) is load:
            return
        self.last_loads[load.pool] = load
        if load.pool not in self.forecasts:
            self.forecasts[load.pool] = self.new_forecast()
        self.forecasts[load.pool].add(
            demand_of(load), now_ms, has_targets=load.open_targets > 0
        )

    def take_peak_events(self) -> list[tuple[str, PeakEvent]]:
        """Return what the peaks of each pool have shown since the last call."""
        return [
            (pool, event)
            for pool, forecast in self.forecasts.items()
            for event in forecast.take_events()
        ]

    def may_grow_soon(self, load: PoolLoad) -> bool:
        """Return whether a pool with a recorded load may soon need more machines."""
        expected = self.forecasts[load.pool].trend_after(MOVE_LEAD_MS)
        return expected > load.open_targets * BUSY_UTILISATION

    def is_peak_near(self, now_ms: int) -> bool:
        """Return whether a recurring peak is due, or was so until just now."""
        last_ms = self.last_peak_ms
        return self._is_peak_due(now_ms) or (
            last_ms is not None and now_ms - last_ms <= RELEASE_AFTER_MS
        )

    def plan(self, inputs: SizingInputs, now_ms: int) -> SizingPlan:
        """Return the moves and cordons that are due."""
        self.transits.discard_finished(inputs, now_ms)
        self._update_forecasts(inputs, now_ms)
        if self._is_peak_due(now_ms):
            self.last_peak_ms = now_ms
        fair = self._fair_sizes(inputs, MOVE_LEAD_MS, now_ms)
        shortages = {
            pool: min(
                self._shortage(inputs, load, now_ms),
                max(0, fair[pool] - self._allocated_count(inputs, load)),
            )
            for pool, load in self._working_pools(inputs)
        }
        standby_machines = self._movable_standby(inputs, now_ms)
        moves = assign_machines(shortages, standby_machines)
        has_shortage = any(shortages.values())
        # Demand that is there comes first: peaks that have not begun get what is left.
        peak_shortages = self._peak_shortages(inputs, moves, now_ms)
        moves += assign_machines(peak_shortages, standby_machines)
        cordoned: list[Machine] = []
        pause_ms = 0 if has_shortage else RELEASE_AFTER_MS
        has_peaks = any(item.recurs() for item in self.forecasts.values())
        if inputs.standby or has_shortage or has_peaks:
            for _, load in self._working_pools(inputs):
                missing_count = sum(shortages.values()) - len(cordoned)
                cordoned += self._machines_to_release(
                    inputs, load, pause_ms, missing_count, now_ms
                )
        if not inputs.standby and not has_shortage:
            cordoned = self._idle_machines(inputs, cordoned)
            cordoned = cordoned[: sum(peak_shortages.values())]
        max_count = sum(shortages.values()) - len(cordoned)
        cordoned += self._machines_to_rebalance(inputs, cordoned, max_count, now_ms)
        drained = [
            machine
            for machine in cordoned
            if inputs.target_loads[machine.target].is_empty()
        ]
        moves += assign_machines(shortages, drained)
        standby_pool = min(inputs.standby, default="")
        # During a shortage the surplus is drained without a pause. Without a standby
        # pool, what the shortage leaves of it stays in its pool.
        if standby_pool or not has_shortage:
            moves += assign_machines(peak_shortages, drained)
        if standby_pool:
            moves += [MoveOrder(machine, standby_pool) for machine in drained]
        self.draining = {machine.name for machine in cordoned}
        moved = {move.machine.name for move in moves}
        still_cordoned = [machine for machine in cordoned if machine.name not in moved]
        still_cordoned += self.transits.unconfirmed(inputs)
        return SizingPlan(tuple(moves), tuple(still_cordoned))

    def is_settled(self) -> bool:
        """Return whether no machine is in transit or being drained."""
        return not self.transits.in_transit and not self.draining

    def _working_pools(self, inputs: SizingInputs) -> list[tuple[str, PoolLoad]]:
        """Return the pools that are not on standby, with their loads."""
        return [
            item
            for item in sorted(inputs.pool_loads.items())
            if item[0] not in inputs.standby
        ]

    def _movable_standby(self, inputs: SizingInputs, now_ms: int) -> list[Machine]:
        """Return the standby machines that may be moved to another pool."""
        return [
            machine
            for machine in inputs.machines
            if machine.pool in inputs.standby
            and machine.state in (MachineState.UP, MachineState.DOWN)
            and self.transits.is_movable(inputs, machine, now_ms)
        ]

    def _reachable_count(self, inputs: SizingInputs, pool: str) -> int:
        """Return how many machines of a pool have a reachable target and are to stay.

        The owner of the pool records new targets before they accept work, so for a
        moment there are more of these than open targets.
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
        """Return how many machines a pool has, including those in transit to it."""
        reachable = max(load.open_targets, self._reachable_count(inputs, load.pool))
        return reachable + self.transits.count(load.pool)

    def _fair_sizes(
        self, inputs: SizingInputs, lead_ms: int, now_ms: int
    ) -> dict[str, int]:
        """Return how many machines each pool may have, given the demand of the others.

        The demand of held-back tasks is met after that of all tasks that can start.
        """
        demanded: dict[str, int] = {}
        usable: dict[str, int] = {}
        total = len(self._movable_standby(inputs, now_ms))
        for pool, load in self._working_pools(inputs):
            total += len(self._releasable(inputs, pool)) + self.transits.count(pool)
            expected = ceil(self.forecasts[pool].trend_after(lead_ms))
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
        """Return machines that pools yield to pools far below their fair size.

        The current demand decides, without forecast, since a trend may end while the
        machines are drained.

        Parameters
        ----------
        cordoned : list of Machine
            Machines that are to leave their pools anyway.
        max_count : int
            Number of machines by which the shortages exceed these.
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
            selected += self._first_movable(inputs, releasable, surplus, now_ms)
        return selected

    def _first_movable(
        self, inputs: SizingInputs, machines: list[Machine], max_count: int, now_ms: int
    ) -> list[Machine]:
        """Return the machines that a pool releases first, at most a number of them."""
        movable = [
            machine
            for machine in machines
            if self.transits.is_movable(inputs, machine, now_ms)
        ]
        movable.sort(key=lambda machine: self._release_order(inputs, machine))
        return movable[: max(0, max_count)]

    def _releasable(self, inputs: SizingInputs, pool: str) -> list[Machine]:
        """Return the machines of a pool that are up and that it could release."""
        return [
            machine
            for machine in inputs.machines
            if machine.pool == pool
            and machine.state is MachineState.UP
            and machine.target in inputs.target_loads
            and machine.name not in self.transits.in_transit
            and machine.name not in inputs.upkeep_draining
        ]

    def _max_size(self, inputs: SizingInputs, load: PoolLoad) -> int:
        """Return the largest number of machines that a pool may have."""
        base = self.base_sizes.get(load.pool, load.open_targets)
        return max(base, round(len(inputs.machines) * MAX_FLEET_SHARE))

    def _shortage(self, inputs: SizingInputs, load: PoolLoad, now_ms: int) -> int:
        """Return how many machines a pool is short of."""
        if load.pool in self.no_target_since_ms:
            elapsed_ms = now_ms - self.no_target_since_ms[load.pool]
            demanded = (
                self._buffer_size(load) if elapsed_ms >= NO_TARGET_TIMEOUT_MS else 0
            )
            return max(0, demanded - self.transits.count(load.pool))
        forecast = self.forecasts[load.pool]
        if forecast.is_peak_ending(MOVE_LEAD_MS, now_ms):
            return 0
        allocated = self._allocated_count(inputs, load)
        expected = forecast.trend_after(MOVE_LEAD_MS)
        if expected <= allocated * GROWTH_UTILISATION:
            return 0
        return max(0, min(ceil(expected), self._max_size(inputs, load)) - allocated)

    def _is_peak_due(self, now_ms: int) -> bool:
        return any(
            forecast.peak_after(MOVE_LEAD_MS, now_ms)
            or forecast.is_peak_ending(MOVE_LEAD_MS, now_ms)
            for forecast in self.forecasts.values()
        )

    def _peak_shortages(
        self, inputs: SizingInputs, moves: list[MoveOrder], now_ms: int
    ) -> dict[str, int]:
        """Return how many machines each pool lacks for a recurring peak that is due.

        Parameters
        ----------
        moves : list of MoveOrder
            Moves that are ordered now.
        """
        shortages: dict[str, int] = {}
        for pool, load in self._working_pools(inputs):
            ordered = sum(1 for move in moves if move.pool == pool)
            allocated = self._allocated_count(inputs, load) + ordered
            if load.open_targets:
                missing_count = self._peak_size(inputs, load, now_ms) - allocated
                shortages[pool] = max(0, missing_count)
        return shortages

    def _peak_size(self, inputs: SizingInputs, load: PoolLoad, now_ms: int) -> int:
        """Return the machines for a recurring peak that is due, 0 if none is."""
        expected = self.forecasts[load.pool].peak_after(MOVE_LEAD_MS, now_ms)
        return min(ceil(expected), self._max_size(inputs, load))

    def _idle_machines(
        self, inputs: SizingInputs, machines: list[Machine]
    ) -> list[Machine]:
        """Return those of the machines that run nothing."""
        return [
            machine
            for machine in machines
            if inputs.target_loads[machine.target].runs == 0
        ]

    def _update_forecasts(self, inputs: SizingInputs, now_ms: int) -> None:
        for pool, load in self._working_pools(inputs):
            self.record_load(load, now_ms)
            if load.open_targets:
                self.no_target_since_ms.pop(pool, None)
            else:
                self.no_target_since_ms.setdefault(pool, now_ms)

    def _machines_to_release(
        self,
        inputs: SizingInputs,
        load: PoolLoad,
        pause_ms: int,
        missing_count: int,
        now_ms: int,
    ) -> list[Machine]:
        """Return the machines that a pool releases.

        Parameters
        ----------
        pause_ms : int
            Time for which the surplus must have lasted.
        missing_count : int
            Machines that other pools lack now; they get those that wait for a peak.
        """
        pool = load.pool
        releasable = self._releasable(inputs, pool)
        surplus = len(releasable) - self._retained_size(load)
        if (
            surplus <= 0
            or self.transits.count(pool)
            or self._shortage(inputs, load, now_ms)
        ):
            self.surplus_since_ms.pop(pool, None)
            return []
        since_ms = self.surplus_since_ms.setdefault(pool, now_ms)
        is_ending = self.forecasts[pool].is_peak_ending(MOVE_LEAD_MS, now_ms)
        if now_ms - since_ms < pause_ms and not is_ending:
            return []
        for_peak = self._peak_size(inputs, load, now_ms) - self._retained_size(load)
        surplus -= min(surplus, max(0, for_peak - max(0, missing_count)))
        return self._first_movable(inputs, releasable, surplus, now_ms)

    def _retained_size(self, load: PoolLoad) -> int:
        """Return how many machines a pool keeps when it releases its surplus."""
        demanded = ceil(demand_of(load) / RELEASE_UTILISATION)
        return max(demanded, self._buffer_size(load), self._min_size(load))

    def _min_size(self, load: PoolLoad) -> int:
        """Return how many machines a pool keeps for its placement constraints."""
        base = self.base_sizes.get(load.pool, load.open_targets)
        return min(base, load.least_targets)

    def _buffer_size(self, load: PoolLoad) -> int:
        """Return how many machines an idle pool keeps."""
        base = self.base_sizes.get(load.pool, load.open_targets)
        return max(ceil(base * BUFFER_SHARE), min(ceil(base / 2), MAX_HALF_BASE_BUFFER))

    def _release_order(
        self, inputs: SizingInputs, machine: Machine
    ) -> tuple[bool, bool, int, int, int, str]:
        """Return the sort key: those that drain already first, then the slowest.

        Those on a rack that work wants come last, even if they drain.
        """
        load = inputs.target_loads[machine.target]
        is_kept = machine.name not in self.draining
        order = load.speed, load.lasting, load.runs, machine.name
        return load.is_wanted, is_kept, *order
