"""The smallest fleet for the rotating load, with overflow to none, spare and all.

Run ``python -m cornelturn.benchmarks.rotation``.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from cornelturn.benchmarks.simulation import (
    SLOTS,
    DispatchedFleet,
    Flow,
    Tally,
    make_trace,
)
from cornelturn.model.work import Queue, WorkClass

SEED = 20_261_204
POOLS = ("phone", "collections", "boards", "archive", "back-office")
SPARE = "back-office"
MEMBERS = ("mill", "hospital", "port")
MEAN_SLOTS = 12.0
BURST_FACTOR = 5.0
QUIET_FACTOR = 0.05
BURST_MS = 10_000
ROUNDS = 3
LENGTH_MS = BURST_MS * len(POOLS) * ROUNDS
RUN_MS = 300
DEADLINE_MS = 2_000
WANTED_ON_TIME = 0.99


@dataclass(frozen=True, slots=True)
class Layout:
    """Targets of each pool, and of the spare."""

    pool: int
    spare: int

    def sizes(self) -> dict[str, int]:
        """Return the targets by pool."""
        return {name: self.spare if name == SPARE else self.pool for name in POOLS}

    def slots(self) -> int:
        """Return the slots in all."""
        return SLOTS * sum(self.sizes().values())


@dataclass(frozen=True, slots=True)
class Played:
    """What a layout did with the load.

    Parameters
    ----------
    worst : float
        Smallest part on time over the queues.
    spare_owner : float
        Part on time of the queue that owns the spare pool.
    loans : int
        Slots lent.
    """

    worst: float
    spare_owner: float
    loans: int


def overflow_of(pool: str, policy: str) -> tuple[str, ...]:
    """Return the pools that may help a pool, in order."""
    match policy:
        case "spare":
            return () if pool == SPARE else (SPARE,)
        case "all":
            start = POOLS.index(pool)
            return tuple(POOLS[start + 1 :] + POOLS[:start])
        case _:
            return ()


def queues(policy: str) -> tuple[Queue, ...]:
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
            overflow_of(pool, policy),
        )
        for pool in POOLS
    )


def _rate(place: int) -> Callable[[int], float]:
    mean = MEAN_SLOTS / (RUN_MS / 1_000)

    def rate(at_ms: int) -> float:
        is_burst = at_ms // BURST_MS % len(POOLS) == place
        return mean * (BURST_FACTOR if is_burst else QUIET_FACTOR)

    return rate


def play(policy: str, layout: Layout, seed: int = SEED) -> Played:
    """Play the rotating load on a layout."""
    own = queues(policy)
    flows = [Flow(one, MEMBERS, _rate(at), RUN_MS) for at, one in enumerate(own)]
    trace = make_trace(flows, LENGTH_MS, seed)
    fleet = DispatchedFleet(layout.sizes(), own)
    tally: Tally = fleet.run(trace, LENGTH_MS + 2 * DEADLINE_MS)
    shares = {one.pool: tally.share_on_time(one.name) for one in own}
    return Played(min(shares.values()), shares[SPARE], fleet.loans)


def smallest(policy: str) -> tuple[Layout, Played]:
    """Return the smallest layout that serves the load on time."""
    least = math.ceil(MEAN_SLOTS * BURST_FACTOR / SLOTS)
    for layout in _candidates(policy, least):
        played = play(policy, layout)
        if played.worst >= WANTED_ON_TIME:
            return layout, played
    raise AssertionError(f"no layout found for overflow to {policy}")


def _candidates(policy: str, least: int) -> list[Layout]:
    if policy == "none":
        return [Layout(size, size) for size in range(least - 1, least + 6)]
    if policy == "all":
        return [Layout(size, size) for size in range(1, least + 6)]
    found = [
        Layout(pool, spare)
        for pool in range(1, least + 1)
        for spare in range(1, least + 4)
        if 4 * pool + spare >= least
    ]
    return sorted(found, key=lambda one: (one.slots(), one.pool))


def main() -> None:
    """Print the smallest fleets."""
    mean = MEAN_SLOTS * len(POOLS) * (BURST_FACTOR + 4 * QUIET_FACTOR) / len(POOLS)
    print(f"seed {SEED}, demand at any moment {mean:g} slots of work on average")
    print("overflow  slots  spare slots  worst on time  owner of spare  loans")
    for policy in ("none", "spare", "all"):
        layout, played = smallest(policy)
        buffer = layout.slots() - mean
        print(
            f"{policy:8s} {layout.slots():6d} {buffer:12.0f} {played.worst:14.2%} "
            f"{played.spare_owner:15.2%} {played.loans:6d}   "
            f"{layout.pool} a pool, {layout.spare} spare"
        )


if __name__ == "__main__":
    main()
