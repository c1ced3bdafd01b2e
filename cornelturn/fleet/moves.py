"""Plan the fewest moves of instances that bring the pools to their desired sizes."""

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
    """Move of an instance from one pool to another."""

    instance: str
    source: str
    destination: str


@dataclass(frozen=True, slots=True)
class PoolDemand:
    """Slots that the queues of a pool requested, averaged over seconds."""

    pool: str
    slots: float


@dataclass(slots=True)
class SustainedDemand:
    """Exponentially smoothed demand of one pool, and since when the pool is short."""

    average: float = 0.0
    observed_ms: int | None = None
    short_since_ms: int | None = None

    def observe(self, slots: float, now_ms: int) -> None:
        """Add a sample of the demand."""
        if self.observed_ms is None:
            self.average = slots
        else:
            weight = 1 - math.exp(
                -(now_ms - self.observed_ms) / DEMAND_TIME_CONSTANT_MS
            )
            self.average += (slots - self.average) * weight
        self.observed_ms = now_ms

    def instances_needed(self, slots_per_instance: int) -> int:
        """Return the number of instances that the average demand requires."""
        return math.ceil(self.average / (slots_per_instance * PLANNED_UTILISATION))


@dataclass(slots=True)
class SizePlanner:
    """Computes the desired sizes of the pools.

    A preset that names a pool fixes its size. The other pools keep their size unless
    one of them has been short of instances for `SUSTAINED_SHORTAGE_MS` while another
    can spare one and still keep a margin: then one instance moves. With this
    hysteresis, bursts of seconds are met by loans of slots, never by moves.
    """

    demands: dict[str, SustainedDemand] = field(default_factory=dict)

    def observe(self, demand: PoolDemand, now_ms: int) -> None:
        """Record the demand of a pool."""
        demand_history = self.demands.setdefault(demand.pool, SustainedDemand())
        demand_history.observe(demand.slots, now_ms)

    def desired_sizes(
        self,
        configuration: Configuration,
        current: Counter[str],
        slots: int,
        now_ms: int,
    ) -> Counter[str]:
        """Return the desired number of instances of every pool.

        Parameters
        ----------
        configuration : Configuration
            Configuration in force.
        current : Counter of str
            Number of instances by pool.
        slots : int
            Slots per instance.
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

    The total number of moves is the sum of the shortages, which is the minimum: an
    instance only moves from a pool with too many instances to one with too few.

    Parameters
    ----------
    instances : list of Instance
        All instances; one that is moving counts for its destination.
    desired_sizes : Counter of str
        Desired number of instances by pool.
    is_idle : callable
        Returns whether an instance runs nothing; idle instances move first.
    max_in_progress : int
        Maximum number of moves in progress.
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
    """Return the instance whose move spreads both pools best over data centres.

    Idle instances are preferred.
    """
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
