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
SUSTAINED_MS = 600_000
TARGET_UTILISATION = 0.8
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
    at_ms: int | None = None
    short_since_ms: int | None = None

    def observe(self, slots: float, now_ms: int) -> None:
        """Take in the demand of now."""
        if self.at_ms is None:
            self.average = slots
        else:
            weight = 1 - math.exp(-(now_ms - self.at_ms) / DEMAND_TIME_CONSTANT_MS)
            self.average += (slots - self.average) * weight
        self.at_ms = now_ms

    def instances_needed(self, slots_per_instance: int) -> int:
        """Return how many instances carry the average demand."""
        return math.ceil(self.average / (slots_per_instance * TARGET_UTILISATION))


@dataclass(slots=True)
class SizePlanner:
    """Wanted sizes of the pools.

    A preset that names the size of a pool fixes it. The other pools keep their
    size unless one of them has been short of instances for `SUSTAINED_MS` while
    another can spare one and still keep a margin: then one instance moves. Bursts
    of seconds are met by loans of slots, never by moves.
    """

    demands: dict[str, SustainedDemand] = field(default_factory=dict)

    def observe(self, demand: PoolDemand, now_ms: int) -> None:
        """Take in the demand of a pool."""
        known = self.demands.setdefault(demand.pool, SustainedDemand())
        known.observe(demand.slots, now_ms)

    def wanted(
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
        wanted = Counter({name: current[name] for name in names})
        preset = configuration.preset_in_force()
        fixed = {size.pool: size.instances for size in preset.sizes} if preset else {}
        wanted.update({pool: size - wanted[pool] for pool, size in fixed.items()})
        free = [name for name in names if name not in fixed]
        short = self._sustained_short(free, current, slots, now_ms)
        giver = self._most_spare(free, current, slots)
        if short is not None and giver is not None and short != giver:
            wanted[short] += 1
            wanted[giver] -= 1
        return wanted

    def _sustained_short(
        self, pools: list[str], current: Counter[str], slots: int, now_ms: int
    ) -> str | None:
        found: str | None = None
        for pool in pools:
            demand = self.demands.get(pool)
            if demand is None:
                continue
            if demand.instances_needed(slots) <= current[pool]:
                demand.short_since_ms = None
                continue
            if demand.short_since_ms is None:
                demand.short_since_ms = now_ms
            if now_ms - demand.short_since_ms >= SUSTAINED_MS:
                found = found or pool
        return found

    def _most_spare(
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
    wanted: Counter[str],
    is_idle: Callable[[str], bool],
    limit: int = MAX_MOVES_IN_PROGRESS,
) -> list[Move]:
    """Return the moves to start now.

    The number of moves in all is the sum of what pools lack, the fewest possible:
    an instance only ever goes from a pool with too many to one with too few.

    Parameters
    ----------
    instances : list of Instance
        All instances; those on the move count for where they go.
    wanted : Counter of str
        Wanted number of instances by pool.
    is_idle : callable
        Tells whether an instance runs nothing; idle ones go first.
    limit : int
        Moves in progress at a time.
    """
    sizes = Counter(one.move_to or one.pool for one in instances)
    in_progress = sum(bool(one.move_to) for one in instances)
    available = [one for one in instances if one.state is InstanceState.IN_SERVICE]
    placed = list(instances)
    moves: list[Move] = []
    while in_progress + len(moves) < limit:
        lacking = [pool for pool in wanted if sizes[pool] < wanted[pool]]
        giving = [pool for pool in wanted if sizes[pool] > wanted[pool]]
        if not lacking or not giving:
            break
        destination = max(lacking, key=lambda pool: wanted[pool] - sizes[pool])
        source = max(giving, key=lambda pool: sizes[pool] - wanted[pool])
        chosen = _choose(available, placed, source, destination, is_idle)
        if chosen is None:
            break
        available.remove(chosen)
        sizes[source] -= 1
        sizes[destination] += 1
        moves.append(Move(chosen.name, source, destination))
    return moves


def _choose(
    available: list[Instance],
    placed: list[Instance],
    source: str,
    destination: str,
    is_idle: Callable[[str], bool],
) -> Instance | None:
    """Return the instance whose move leaves both pools spread best."""
    from_domains = Counter(one.data_centre for one in placed if one.pool == source)
    to_domains = Counter(one.data_centre for one in placed if one.pool == destination)
    candidates = [one for one in available if one.pool == source]
    return min(
        candidates,
        key=lambda one: (
            not is_idle(one.name),
            to_domains[one.data_centre] - from_domains[one.data_centre],
            one.name,
        ),
        default=None,
    )
