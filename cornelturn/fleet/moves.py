"""Moves of instances between pools: the fewest that reach the wanted sizes."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from cornelturn.model.configuration import Configuration
from cornelturn.model.fleet import Instance, InstanceState

MOVE_REASON = "move"
DEMAND_TIME_CONSTANT_MS = 300_000
SUSTAINED_SHORTAGE_MS = 600_000
PLANNED_UTILISATION = 0.8
SPARE_INSTANCES = 1
MAX_MOVES_IN_PROGRESS = 2


@dataclass(frozen=True, slots=True)
class Move:
    """One instance goes from a pool to another."""

    instance: str
    source: str
    destination: str


@dataclass(frozen=True, slots=True)
class PoolDemand:
    """Slots that the queues of a pool asked for, averaged over seconds."""

    pool: str
    slots: float


@dataclass(slots=True)
class SustainedDemand:
    """Demand of one pool, smoothed, with hysteresis on the size it justifies."""

    average: float = 0.0
    observed_ms: int | None = None
    short_since_ms: int | None = None

    def observe(self, slots: float, now_ms: int) -> None:
        """Take in the demand of now."""
        if self.observed_ms is None:
            self.average = slots
        else:
            weight = 1 - math.exp(
                -(now_ms - self.observed_ms) / DEMAND_TIME_CONSTANT_MS
            )
            self.average += (slots - self.average) * weight
        self.observed_ms = now_ms

    def instances_needed(self, slots_per_instance: int) -> int:
        """Return how many instances carry the average demand."""
        return math.ceil(self.average / (slots_per_instance * PLANNED_UTILISATION))


@dataclass(slots=True)
class SizePlanner:
    """Wanted sizes of the pools.

    A preset that names the size of a pool fixes it. The other pools keep their
    size unless one of them has been short of instances for
    `SUSTAINED_SHORTAGE_MS` while another can spare one and still keep a margin: then
    one instance moves. Bursts of seconds are met by loans of slots, never by moves.
    """

    demands: dict[str, SustainedDemand] = field(default_factory=dict)

    def observe(self, demand: PoolDemand, now_ms: int) -> None:
        """Take in the demand of a pool."""
        demand_history = self.demands.setdefault(demand.pool, SustainedDemand())
        demand_history.observe(demand.slots, now_ms)

    def desired_sizes(
        self,
        configuration: Configuration,
        current: Counter[str],
        slots: int,
        now_ms: int,
    ) -> Counter[str]:
        """Return the wanted number of instances of every pool.

        Parameters
        ----------
        configuration : Configuration
            Configuration in force.
        current : Counter of str
            Instances by pool.
        slots : int
            Slots of one instance.
        now_ms : int
            Current time.
        """
        names = [pool.name for pool in configuration.pools]
        desired_sizes = Counter({name: current[name] for name in names})
        preset = configuration.preset_in_force()
        fixed = {size.pool: size.instances for size in preset.sizes} if preset else {}
        desired_sizes.update(
            {pool: size - desired_sizes[pool] for pool, size in fixed.items()}
        )
        free = [name for name in names if name not in fixed]
        short = self._pool_short_of_instances(free, current, slots, now_ms)
        donor = self._pool_with_most_spare(free, current, slots)
        if short is not None and donor is not None and short != donor:
            desired_sizes[short] += 1
            desired_sizes[donor] -= 1
        return desired_sizes

    def _pool_short_of_instances(
        self, pools: list[str], current: Counter[str], slots: int, now_ms: int
    ) -> str | None:
        short_pool: str | None = None
        for pool in pools:
            demand = self.demands.get(pool)
            if demand is None:
                continue
            if demand.instances_needed(slots) <= current[pool]:
                demand.short_since_ms = None
                continue
            if demand.short_since_ms is None:
                demand.short_since_ms = now_ms
            if now_ms - demand.short_since_ms >= SUSTAINED_SHORTAGE_MS:
                short_pool = short_pool or pool
        return short_pool

    def _pool_with_most_spare(
        self, pools: list[str], current: Counter[str], slots: int
    ) -> str | None:
        spare = {
            pool: current[pool] - self.demands[pool].instances_needed(slots)
            for pool in pools
            if pool in self.demands
        }
        best = max(spare, key=lambda pool: (spare[pool], pool), default=None)
        if best is None or spare[best] <= SPARE_INSTANCES:
            return None
        return best


def plan_moves(
    instances: list[Instance],
    desired_sizes: Counter[str],
    is_idle: Callable[[str], bool],
    max_in_progress: int = MAX_MOVES_IN_PROGRESS,
) -> list[Move]:
    """Return the moves to start now.

    The number of moves in all is the sum of what pools lack, the fewest possible:
    an instance only ever goes from a pool with too many to one with too few.

    Parameters
    ----------
    instances : list of Instance
        All instances; those on the move count for where they go.
    desired_sizes : Counter of str
        Wanted number of instances by pool.
    is_idle : callable
        Tells whether an instance runs nothing; idle ones go first.
    max_in_progress : int
        Moves in progress at a time.
    """
    sizes = Counter(instance.move_to or instance.pool for instance in instances)
    in_progress = sum(bool(instance.move_to) for instance in instances)
    available = [
        instance for instance in instances if instance.state is InstanceState.IN_SERVICE
    ]
    placed = list(instances)
    moves: list[Move] = []
    while in_progress + len(moves) < max_in_progress:
        short_pools = [
            pool for pool in desired_sizes if sizes[pool] < desired_sizes[pool]
        ]
        donors = [pool for pool in desired_sizes if sizes[pool] > desired_sizes[pool]]
        if not short_pools or not donors:
            break
        destination = max(
            short_pools, key=lambda pool: desired_sizes[pool] - sizes[pool]
        )
        source = max(donors, key=lambda pool: sizes[pool] - desired_sizes[pool])
        chosen = _choose_instance(available, placed, source, destination, is_idle)
        if chosen is None:
            break
        available.remove(chosen)
        sizes[source] -= 1
        sizes[destination] += 1
        moves.append(Move(chosen.name, source, destination))
    return moves


def _choose_instance(
    available: list[Instance],
    placed: list[Instance],
    source: str,
    destination: str,
    is_idle: Callable[[str], bool],
) -> Instance | None:
    """Return the instance whose move leaves both pools spread best."""
    from_domains = Counter(
        instance.data_centre for instance in placed if instance.pool == source
    )
    to_domains = Counter(
        instance.data_centre for instance in placed if instance.pool == destination
    )
    candidates = [instance for instance in available if instance.pool == source]
    return min(
        candidates,
        key=lambda instance: (
            not is_idle(instance.name),
            to_domains[instance.data_centre] - from_domains[instance.data_centre],
            instance.name,
        ),
        default=None,
    )
