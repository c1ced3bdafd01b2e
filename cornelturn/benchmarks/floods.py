"""Compares how well work is isolated from floods of requests, with two baselines.

Run ``python -m cornelturn.benchmarks.floods``.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

from cornelturn.benchmarks.simulation import (
    BaselineFleet,
    DispatchedFleet,
    Flow,
    OutcomeCounts,
    make_trace,
)
from cornelturn.model.work import Queue, WorkClass
from cornelturn.requests.limits import HoldOffKey

SEED = 20_261_204
DURATION_MS = 300_000
FLOOD_START_MS = 60_000
FLOOD_END_MS = 240_000
FLOOD_FACTOR = 5.0
TARGET_COUNT = 6
MEMBERS = ("mill", "hospital", "port", "school")

LOOKUP = Queue("lookup", "phone", WorkClass.URGENT, True, 0.4, 2_000, 300)
RECHECK = Queue("recheck", "phone", WorkClass.STANDARD, True, 0.2, 10_000, 800)
COLLECTION = Queue("collection", "phone", WorkClass.LONG, False, 0.4, 600_000, 10_000)
QUEUES = (LOOKUP, RECHECK, COLLECTION)
MEAN_SLOTS = {"lookup": 12.0, "recheck": 6.0, "collection": 12.0}


@dataclass(frozen=True, slots=True)
class Flood:
    """A flood of a queue or of one of its members; no flood if the queue is empty."""

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


def make_flows(flood: Flood) -> list[Flow]:
    """Return the flows of all queues during a flood."""
    flows: list[Flow] = []
    for queue in QUEUES:
        mean_rate = MEAN_SLOTS[queue.name] / (queue.run_ms / 1_000)
        flow = Flow(queue, MEMBERS, lambda _, rate=mean_rate: rate, queue.run_ms)
        flows.append(flow)
        if queue.name == flood.queue:
            members = (flood.member,) if flood.member else MEMBERS
            flood_flow = replace(flow, members=members, rate=_flood_rate(mean_rate))
            flows.append(flood_flow)
    return flows


def _flood_rate(mean_rate: float) -> Callable[[int], float]:
    def rate(at_ms: int) -> float:
        is_flooded = FLOOD_START_MS <= at_ms < FLOOD_END_MS
        return mean_rate * (FLOOD_FACTOR - 1) if is_flooded else 0.0

    return rate


def run_flood(flood: Flood, system: str, seed: int = SEED) -> OutcomeCounts:
    """Simulate a flood on one of the systems; return the outcomes of all requests."""
    trace = make_trace(make_flows(flood), DURATION_MS, seed)
    match system:
        case "static":
            return BaselineFleet(TARGET_COUNT, True).run(trace, DURATION_MS)
        case "least":
            return BaselineFleet(TARGET_COUNT, False).run(trace, DURATION_MS)
        case _:
            return DispatchedFleet({"phone": TARGET_COUNT}, QUEUES).run(
                trace, DURATION_MS
            )


def largest_share_deviation(
    counts: OutcomeCounts, queue: str, members: tuple[str, ...]
) -> float:
    """Return the largest deviation from equal slot time, as a share of the mean."""
    used_ms = [counts.slot_ms[HoldOffKey(queue, member)] for member in members]
    mean_ms = sum(used_ms) / len(used_ms)
    return max(abs(member_ms - mean_ms) for member_ms in used_ms) / mean_ms


def main() -> None:
    """Print the outcomes of all floods on all systems."""
    print(f"seed {SEED}, {TARGET_COUNT * 8} slots, flood {FLOOD_FACTOR:g} x mean")
    print("flood          system      lookup on time   kept: lookup recheck collection")
    for system in ("static", "least", "cornelturn"):
        undisturbed = run_flood(FLOODS[0], system)
        for flood in FLOODS:
            counts = run_flood(flood, system)
            ratios = [
                f"{counts.on_time[name] / max(undisturbed.on_time[name], 1):7.1%}"
                for name in MEAN_SLOTS
            ]
            share = counts.share_on_time("lookup")
            print(f"{flood.name:14s} {system:11s} {share:14.1%}   {' '.join(ratios)}")
    undisturbed, flooded = (
        run_flood(flood, "cornelturn") for flood in (FLOODS[0], FLOODS[4])
    )
    other_keys = [
        HoldOffKey("lookup", member) for member in MEMBERS if member != "mill"
    ]
    flooded_count = sum(flooded.by_member[key] for key in other_keys)
    undisturbed_count = sum(undisturbed.by_member[key] for key in other_keys)
    print(
        "one member floods, kept by the other members: "
        f"{flooded_count / undisturbed_count:.1%}"
    )
    flooded = run_flood(FLOODS[3], "cornelturn")
    deviation = largest_share_deviation(flooded, "lookup", MEMBERS)
    print(f"members, all with demand beyond their share: largest gap {deviation:.1%}")


if __name__ == "__main__":
    main()
