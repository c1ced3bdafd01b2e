"""Moves on the rotating load and on a change of preset, against the fewest.

Run ``python -m cornelturn.benchmarks.moves``.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from dataclasses import replace

from cornelturn.benchmarks.simulation import SLOTS, make_instances
from cornelturn.fleet.moves import PoolDemand, SizePlanner, plan_moves
from cornelturn.model.configuration import Configuration
from cornelturn.model.fleet import Instance, Pool, PoolSize, Preset

POOLS = ("phone", "collections", "boards", "archive", "back-office")
PER_POOL = 6
MEAN_SLOTS = 12.0
BURST_MS = 10_000
LENGTH_MS = 3_600_000
STEP_MS = 10_000
PEAK = Preset("peak", (PoolSize("phone", 9), PoolSize("back-office", 3)))


def demand(pool: int, at_ms: int) -> float:
    """Return the demand of a pool in slots on the rotating load."""
    is_burst = at_ms // BURST_MS % len(POOLS) == pool
    return MEAN_SLOTS * (5 if is_burst else 0.05)


def play(wanted: Callable[[list[Instance], int], Counter[str]]) -> int:
    """Play an hour of the rotating load and return the moves made."""
    instances = [one for pool in POOLS for one in make_instances(pool, PER_POOL)]
    made = 0
    for at_ms in range(0, LENGTH_MS, STEP_MS):
        for move in plan_moves(instances, wanted(instances, at_ms), lambda _: True):
            made += 1
            instances = [
                replace(one, pool=move.destination)
                if one.name == move.instance
                else one
                for one in instances
            ]
    return made


def with_hysteresis(configuration: Configuration) -> int:
    """Return the moves of the planner that the product uses."""
    planner = SizePlanner()

    def wanted(instances: list[Instance], at_ms: int) -> Counter[str]:
        for at, pool in enumerate(POOLS):
            planner.observe(PoolDemand(pool, demand(at, at_ms)), at_ms)
        sizes = Counter(one.pool for one in instances)
        return planner.desired_sizes(configuration, sizes, SLOTS, at_ms)

    return play(wanted)


def without_hysteresis() -> int:
    """Return the moves of a planner that follows the demand of the moment."""

    def wanted(instances: list[Instance], at_ms: int) -> Counter[str]:
        needed = [math.ceil(demand(at, at_ms) / SLOTS) for at in range(len(POOLS))]
        spare = len(instances) - sum(needed)
        sizes = Counter(dict(zip(POOLS, needed, strict=True)))
        for at in range(spare):
            sizes[POOLS[at % len(POOLS)]] += 1
        return sizes

    return play(wanted)


def main() -> None:
    """Print the moves."""
    pools = tuple(Pool(name, 1) for name in POOLS)
    ordinary = Configuration(1, "ordinary", pools, (), (Preset("ordinary"),))
    peak = Configuration(1, "peak", pools, (), (PEAK,))
    print("one hour of the rotating load, bursts met by loans: fewest moves 0")
    print(f"with hysteresis {with_hysteresis(ordinary)}")
    print(f"without hysteresis {without_hysteresis()}")
    print(
        f"change to a preset that wants 3 more: fewest 3, made {with_hysteresis(peak)}"
    )


if __name__ == "__main__":
    main()
