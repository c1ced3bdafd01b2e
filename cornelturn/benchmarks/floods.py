"""What the other work keeps during floods, against two baselines.

Run ``python -m cornelturn.benchmarks.floods``.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

from cornelturn.benchmarks.simulation import (
    BaselineFleet,
    DispatchedFleet,
    Flow,
    Tally,
    make_trace,
)
from cornelturn.model.work import Queue, WorkClass
from cornelturn.requests.limits import HoldOffKey

SEED = 20_261_204
LENGTH_MS = 300_000
FLOOD_START_MS = 60_000
FLOOD_END_MS = 240_000
FLOOD_FACTOR = 5.0
TARGETS = 6
MEMBERS = ("mill", "hospital", "port", "school")

LOOKUP = Queue("lookup", "phone", WorkClass.URGENT, True, 0.4, 2_000, 300)
RECHECK = Queue("recheck", "phone", WorkClass.STANDARD, True, 0.2, 10_000, 800)
COLLECTION = Queue("collection", "phone", WorkClass.LONG, False, 0.4, 600_000, 10_000)
QUEUES = (LOOKUP, RECHECK, COLLECTION)
MEAN_SLOTS = {"lookup": 12.0, "recheck": 6.0, "collection": 12.0}


@dataclass(frozen=True, slots=True)
class Flood:
    """A flood of one queue, of one of its members, or of none."""

    name: str
    queue: str = ""
    member: str = ""


FLOODS = (
    Flood("none"),
    Flood("least urgent", "collection"),
    Flood("standard", "recheck"),
    Flood("most urgent", "lookup"),
    Flood("one member", "lookup", "mill"),
)


def flows(flood: Flood) -> list[Flow]:
    """Return the flows of all queues under a flood."""
    found: list[Flow] = []
    for queue in QUEUES:
        mean = MEAN_SLOTS[queue.name] / (queue.run_ms / 1_000)
        base = Flow(queue, MEMBERS, lambda _, rate=mean: rate, queue.run_ms)
        found.append(base)
        if queue.name == flood.queue:
            members = (flood.member,) if flood.member else MEMBERS
            extra = replace(base, members=members, rate=_flood_rate(mean))
            found.append(extra)
    return found


def _flood_rate(mean: float) -> Callable[[int], float]:
    def rate(at_ms: int) -> float:
        is_on = FLOOD_START_MS <= at_ms < FLOOD_END_MS
        return mean * (FLOOD_FACTOR - 1) if is_on else 0.0

    return rate


def play(flood: Flood, system: str, seed: int = SEED) -> Tally:
    """Play a flood on one of the systems and return what became of it."""
    trace = make_trace(flows(flood), LENGTH_MS, seed)
    match system:
        case "static":
            return BaselineFleet(TARGETS, True).run(trace, LENGTH_MS)
        case "least":
            return BaselineFleet(TARGETS, False).run(trace, LENGTH_MS)
        case _:
            return DispatchedFleet({"phone": TARGETS}, QUEUES).run(trace, LENGTH_MS)


def member_gap(tally: Tally, queue: str, members: tuple[str, ...]) -> float:
    """Return the largest gap of slot time from the equal share, as a part of it."""
    used = [tally.slot_ms[HoldOffKey(queue, member)] for member in members]
    mean = sum(used) / len(used)
    return max(abs(one - mean) for one in used) / mean


def main() -> None:
    """Print the figures of all floods and systems."""
    print(f"seed {SEED}, {TARGETS * 8} slots, flood {FLOOD_FACTOR:g} x mean")
    print("flood          system      lookup on time   kept: lookup recheck collection")
    for system in ("static", "least", "cornelturn"):
        calm = play(FLOODS[0], system)
        for flood in FLOODS:
            tally = play(flood, system)
            kept = [
                f"{tally.on_time[name] / max(calm.on_time[name], 1):7.1%}"
                for name in MEAN_SLOTS
            ]
            share = tally.share_on_time("lookup")
            print(f"{flood.name:14s} {system:11s} {share:14.1%}   {' '.join(kept)}")
    calm, flooded = (play(one, "cornelturn") for one in (FLOODS[0], FLOODS[4]))
    others = [HoldOffKey("lookup", one) for one in MEMBERS if one != "mill"]
    kept = sum(flooded.by_member[one] for one in others)
    before = sum(calm.by_member[one] for one in others)
    print(f"one member floods, kept by the other members: {kept / before:.1%}")
    flooded = play(FLOODS[3], "cornelturn")
    gap = member_gap(flooded, "lookup", MEMBERS)
    print(f"members, all with demand beyond their share: largest gap {gap:.1%}")


if __name__ == "__main__":
    main()
