"""Finds the smallest fleet for a rotating load under each overflow policy.

Overflow goes to no other pool, to a spare pool, or to all pools.

Run ``python -m cornelturn.benchmarks.rotation``.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from cornelturn.benchmarks.simulation import (
    SLOTS_PER_TARGET,
    DispatchedFleet,
    Flow,
    OutcomeCounts,
    make_trace,
)
from cornelturn.model.work import Queue, WorkClass

SEED = 20_261_204
POOLS = ("phone", "collections", "boards", "archive", "back-office")
SPARE_POOL = "back-office"
MEMBERS = ("mill", "hospital", "port")
MEAN_SLOTS = 12.0
BURST_FACTOR = 5.0
IDLE_FACTOR = 0.05
BURST_MS = 10_000
ROTATIONS = 3
DURATION_MS = BURST_MS * len(POOLS) * ROTATIONS
RUN_MS = 300
DEADLINE_MS = 2_000
MIN_SHARE_ON_TIME = 0.99


@dataclass(frozen=True, slots=True)
class Layout:
    """Number of targets of each ordinary pool and of the spare pool."""

    pool_targets: int
    spare_targets: int

    def sizes(self) -> dict[str, int]:
        """Return the number of targets by pool."""
        return {
            name: self.spare_targets if name == SPARE_POOL else self.pool_targets
            for name in POOLS
        }

    def total_slots(self) -> int:
        """Return the number of slots of all pools."""
        return SLOTS_PER_TARGET * sum(self.sizes().values())


@dataclass(frozen=True, slots=True)
class LayoutResult:
    """How well a layout served the load.

    Parameters
    ----------
    worst_on_time : float
        Smallest share of requests on time of any queue.
    spare_owner_on_time : float
        Share of requests on time of the spare pool's own queue.
    loans : int
        Number of granted loans.
    """

    worst_on_time: float
    spare_owner_on_time: float
    loans: int


def overflow_pools(pool: str, policy: str) -> tuple[str, ...]:
    """Return the pools to which a pool may overflow, in order."""
    match policy:
        case "spare":
            return () if pool == SPARE_POOL else (SPARE_POOL,)
        case "all":
            start = POOLS.index(pool)
            return tuple(POOLS[start + 1 :] + POOLS[:start])
        case _:
            return ()


def make_queues(policy: str) -> tuple[Queue, ...]:
    """Return one urgent queue for each pool."""
    return tuple(
        Queue(
            f"{pool}-lookup",
            pool,
            WorkClass.URGENT,
            True,
            1.0,
            DEADLINE_MS,
            RUN_MS,
            overflow_pools(pool, policy),
        )
        for pool in POOLS
    )


def _rotating_rate(pool_index: int) -> Callable[[int], float]:
    mean_rate = MEAN_SLOTS / (RUN_MS / 1_000)

    def rate(at_ms: int) -> float:
        is_burst = at_ms // BURST_MS % len(POOLS) == pool_index
        return mean_rate * (BURST_FACTOR if is_burst else IDLE_FACTOR)

    return rate


def run_layout(policy: str, layout: Layout, seed: int = SEED) -> LayoutResult:
    """Simulate the rotating load on a layout."""
    pool_queues = make_queues(policy)
    flows = [
        Flow(queue, MEMBERS, _rotating_rate(index), RUN_MS)
        for index, queue in enumerate(pool_queues)
    ]
    trace = make_trace(flows, DURATION_MS, seed)
    fleet = DispatchedFleet(layout.sizes(), pool_queues)
    counts: OutcomeCounts = fleet.run(trace, DURATION_MS + 2 * DEADLINE_MS)
    shares = {queue.pool: counts.share_on_time(queue.name) for queue in pool_queues}
    return LayoutResult(min(shares.values()), shares[SPARE_POOL], fleet.loans)


def find_smallest_layout(policy: str) -> tuple[Layout, LayoutResult]:
    """Return the smallest layout that serves the load on time, and its result."""
    min_targets = math.ceil(MEAN_SLOTS * BURST_FACTOR / SLOTS_PER_TARGET)
    for layout in _candidates(policy, min_targets):
        result = run_layout(policy, layout)
        if result.worst_on_time >= MIN_SHARE_ON_TIME:
            return layout, result
    raise AssertionError(f"no layout found for overflow to {policy}")


def _candidates(policy: str, min_targets: int) -> list[Layout]:
    if policy == "none":
        return [Layout(size, size) for size in range(min_targets - 1, min_targets + 6)]
    if policy == "all":
        return [Layout(size, size) for size in range(1, min_targets + 6)]
    layouts = [
        Layout(pool_targets, spare_targets)
        for pool_targets in range(1, min_targets + 1)
        for spare_targets in range(1, min_targets + 4)
        if 4 * pool_targets + spare_targets >= min_targets
    ]
    return sorted(
        layouts, key=lambda layout: (layout.total_slots(), layout.pool_targets)
    )


def main() -> None:
    """Print the smallest fleet for each overflow policy."""
    mean_slots = MEAN_SLOTS * len(POOLS) * (BURST_FACTOR + 4 * IDLE_FACTOR) / len(POOLS)
    print(f"seed {SEED}, demand at any moment {mean_slots:g} slots of work on average")
    print("overflow  slots  spare slots  worst on time  owner of spare  loans")
    for policy in ("none", "spare", "all"):
        layout, result = find_smallest_layout(policy)
        spare_slots = layout.total_slots() - mean_slots
        print(
            f"{policy:8s} {layout.total_slots():6d} {spare_slots:12.0f} "
            f"{result.worst_on_time:14.2%} {result.spare_owner_on_time:15.2%} "
            f"{result.loans:6d}   "
            f"{layout.pool_targets} a pool, {layout.spare_targets} spare"
        )


if __name__ == "__main__":
    main()
