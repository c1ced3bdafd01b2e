"""Plays bursts of urgent jobs on a full pool, for each way to make room for them.

Run ``python -m cornelturn.benchmarks.urgent_work [CASE [ALTERNATIVE]]``; both are named
by the beginning of their names.
"""

from __future__ import annotations

import sys
from math import ceil, inf

from cornelturn.benchmarks.urgent_load import (
    DURATION_MS,
    TARGETS,
    Alternative,
    Case,
    play,
)
from cornelturn.events.log import configure_logging
from cornelturn.jobs.model import Resources, Step
from cornelturn.preemption.decision import PreemptionSettings

SEEDS = (1, 2)
START_LIMIT_MS = 2_100

GANG = Step(4, Resources(48_000, 100), 1_100, is_gang=True)
WHOLE_TARGET = Step(1, Resources(60_000, 100), 1_100)
WIDE_LOAD = 0.25

CASES = (
    Case("short 0.8", 0.0, 0.8),
    Case("short 1.0", 0.0, 1.0),
    Case("short 1.5", 0.0, 1.5),
    Case("short 1.0 at once", 0.0, 1.0, burst_ms=0),
    Case("some long 0.8", 0.3, 0.8),
    Case("some long 1.0", 0.3, 1.0),
    Case("some long 1.5", 0.3, 1.5),
    Case("some long 1.0 at once", 0.3, 1.0, burst_ms=0),
    Case("all long 0.1", 1.0, 0.1),
    Case("all long 0.8", 1.0, 0.8),
    Case("all long 1.0", 1.0, 1.0),
    Case("all long 1.5", 1.0, 1.5),
    Case("all long 1.0 at once", 1.0, 1.0, burst_ms=0),
    Case("checkpointing long 0.8", 1.0, 0.8, is_checkpointing=True),
    Case("checkpointing long 1.0", 1.0, 1.0, is_checkpointing=True),
    Case("gangs, short", 0.0, WIDE_LOAD, urgent_step=GANG),
    Case("gangs, some long", 0.3, WIDE_LOAD, urgent_step=GANG),
    Case("gangs, all long", 1.0, WIDE_LOAD, urgent_step=GANG),
    Case("targets, short", 0.0, WIDE_LOAD, urgent_step=WHOLE_TARGET),
    Case("targets, some long", 0.3, WIDE_LOAD, urgent_step=WHOLE_TARGET),
    Case("targets, all long", 1.0, WIDE_LOAD, urgent_step=WHOLE_TARGET),
)

ALTERNATIVES = (
    Alternative("urgent alone", other_load=0.0),
    Alternative("order"),
    Alternative("headroom 0.1", headroom=0.1),
    Alternative("headroom 0.3", headroom=0.3),
    Alternative("held room", preemption=PreemptionSettings(True, 0.0)),
    Alternative("stops 0.25/s", preemption=PreemptionSettings(True, 0.25)),
    Alternative("any stop 0.5/s", preemption=PreemptionSettings(True, 0.5, inf)),
)


def percentile(values: list[int], share: float) -> int:
    """Return the smallest of sorted values that is not below a share of them."""
    return values[max(0, ceil(share * len(values)) - 1)]


def main() -> None:
    """Print the times to the first start, the jobs on time and the lost work."""
    configure_logging("error")
    wanted, alternatives = (*sys.argv[1:], "", "")[:2]
    print(f"{TARGETS} targets, {DURATION_MS} ms, seeds {SEEDS}")
    print(
        f"{'case':24}{'alternative':16}{'p50':>6}{'p95':>6}{'p99':>6}{'worst':>7}"
        f"{'over':>6}{'urgent':>8}{'other':>7}{'lost':>8}{'stops':>7}"
    )
    for case in CASES:
        if not case.name.startswith(wanted):
            continue
        for alternative in ALTERNATIVES:
            if not alternative.name.startswith(alternatives):
                continue
            loads = [play(case, alternative, seed) for seed in SEEDS]
            starts = sorted(ms for load in loads for ms in load.urgent_starts_ms())
            over = sum(ms > START_LIMIT_MS for ms in starts) / len(starts)
            urgent, other = (
                sum(load.on_time_of(flag) for load in loads) / len(loads)
                for flag in (True, False)
            )
            lost = sum(load.lost_core_ms for load in loads) / len(loads) / 1_000
            stops = sum(load.stops for load in loads) / len(loads)
            print(
                f"{case.name:24}{alternative.name:16}"
                f"{percentile(starts, 0.5):6}{percentile(starts, 0.95):6}"
                f"{percentile(starts, 0.99):6}{starts[-1]:7}{over:6.2f}"
                f"{urgent:8.3f}{other:7.3f}{lost:8.0f}{stops:7.0f}",
                flush=True,
            )


if __name__ == "__main__":
    main()
