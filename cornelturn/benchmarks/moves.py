"""Counts instance moves under a rotating load and a preset change, with the minimum.

Run ``python -m cornelturn.benchmarks.moves``.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from dataclasses import replace

from cornelturn.benchmarks.simulation import SLOTS_PER_TARGET, make_instances
from cornelturn.fleet.moves import PoolDemand, SizePlanner, plan_moves
from cornelturn.model.configuration import Configuration
from cornelturn.model.fleet import Instance, Pool, PoolSize, Preset

POOLS = ("phone", "collections", "boards", "archive", "back-office")
INSTANCES_PER_POOL = 6
MEAN_SLOTS = 12.0
BURST_MS = 10_000
DURATION_MS = 3_600_000
PLANNING_INTERVAL_MS = 10_000
PEAK_PRESET = Preset("peak", (PoolSize("phone", 9), PoolSize("back-office", 3)))


def demand_slots(pool_index: int, at_ms: int) -> float:
    """Return the demand of a pool under the rotating load, in slots."""
    is_burst = at_ms // BURST_MS % len(POOLS) == pool_index
    return MEAN_SLOTS * (5 if is_burst else 0.05)


def count_moves(desired_sizes: Callable[[list[Instance], int], Counter[str]]) -> int:
    """Simulate an hour of the rotating load and return the number of moves."""
    instances = [
        instance
        for pool in POOLS
        for instance in make_instances(pool, INSTANCES_PER_POOL)
    ]
    move_count = 0
    for at_ms in range(0, DURATION_MS, PLANNING_INTERVAL_MS):
        for move in plan_moves(
            instances, desired_sizes(instances, at_ms), lambda _: True
        ):
            move_count += 1
            instances = [
                replace(instance, pool=move.destination)
                if instance.name == move.instance
                else instance
                for instance in instances
            ]
    return move_count


def count_moves_with_hysteresis(configuration: Configuration) -> int:
    """Return the number of moves that `SizePlanner` makes."""
    planner = SizePlanner()

    def desired_sizes(instances: list[Instance], at_ms: int) -> Counter[str]:
        for index, pool in enumerate(POOLS):
            planner.observe(PoolDemand(pool, demand_slots(index, at_ms)), at_ms)
        sizes = Counter(instance.pool for instance in instances)
        return planner.desired_sizes(configuration, sizes, SLOTS_PER_TARGET, at_ms)

    return count_moves(desired_sizes)


def count_moves_without_hysteresis() -> int:
    """Return the number of moves of a planner that follows the current demand."""

    def desired_sizes(instances: list[Instance], at_ms: int) -> Counter[str]:
        needed = [
            math.ceil(demand_slots(index, at_ms) / SLOTS_PER_TARGET)
            for index in range(len(POOLS))
        ]
        spare = len(instances) - sum(needed)
        sizes = Counter(dict(zip(POOLS, needed, strict=True)))
        for index in range(spare):
            sizes[POOLS[index % len(POOLS)]] += 1
        return sizes

    return count_moves(desired_sizes)


def main() -> None:
    """Print the number of moves of each planner."""
    pools = tuple(Pool(name, 1) for name in POOLS)
    ordinary = Configuration(1, "ordinary", pools, (), (Preset("ordinary"),))
    peak = Configuration(1, "peak", pools, (), (PEAK_PRESET,))
    print("one hour of the rotating load, bursts met by loans: fewest moves 0")
    print(f"with hysteresis {count_moves_with_hysteresis(ordinary)}")
    print(f"without hysteresis {count_moves_without_hysteresis()}")
    print(
        "change to a preset that wants 3 more: fewest 3, "
        f"made {count_moves_with_hysteresis(peak)}"
    )


if __name__ == "__main__":
    main()
