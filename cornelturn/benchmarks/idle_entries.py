"""Measures the time that entries without duties spend, by part and fleet size.

Run ``python -m cornelturn.benchmarks.idle_entries``. The entries share an event
loop whose time jumps from timer to timer, with in-memory connections, so the cost of
sockets is left out. The measured times are wall-clock times of the event loop, so other
load on the machine adds to them.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from statistics import fmean

import pytest

from cornelturn.clock import MILLISECONDS_PER_SECOND
from cornelturn.entry.job_process import JobEntry
from cornelturn.events.process_work import ProcessPart
from cornelturn.events.task_times import create_timed_task
from cornelturn.tests.job_fleet import JobFleet
from cornelturn.tests.network import FakeTimeLoop, Network

SEED = 20_261_204
ENTRY_COUNTS = (9, 18, 43)
WARM_UP_S = 5.0
MEASURED_S = 10.0


async def measure_idle_parts(fleet: JobFleet, entry_count: int) -> dict[str, float]:
    """Return the mean time of entries without duties, by part, in ms per second."""
    await fleet.start(entries=entry_count)
    await asyncio.sleep(WARM_UP_S)
    before = {name: part_times_s(entry) for name, entry in fleet.entries.items()}
    await asyncio.sleep(MEASURED_S)
    idle = {
        name: part_times_s(entry) - before[name]
        for name, entry in fleet.entries.items()
        if not entry.duties.count()
    }
    await fleet.stop()
    return {
        part: fmean(times_s[part] for times_s in idle.values())
        / MEASURED_S
        * MILLISECONDS_PER_SECOND
        for part in ProcessPart
    }


def part_times_s(entry: JobEntry) -> Counter[str]:
    """Return the time that an entry has spent in each part since it started."""
    registry = entry.metrics.registry
    name = "cornelturn_process_work_seconds_total"
    return Counter(
        {
            part: registry.get_sample_value(name, {"part": part}) or 0.0
            for part in ProcessPart
        }
    )


def run_idle_fleet(entry_count: int) -> dict[str, float]:
    """Run a fleet without load and return the time by part, in ms per second."""
    with (
        pytest.MonkeyPatch.context() as monkeypatch,
        asyncio.Runner(loop_factory=FakeTimeLoop) as runner,
    ):
        loop = runner.get_loop()
        loop.set_task_factory(create_timed_task)
        network = Network(loop, random.Random(SEED))
        network.patch(monkeypatch)
        return runner.run(measure_idle_parts(JobFleet(network), entry_count))


def main() -> None:
    """Print the time by part for each number of entries."""
    print("entries", *(f"{part:>9}" for part in ProcessPart))
    for entry_count in ENTRY_COUNTS:
        parts = run_idle_fleet(entry_count)
        print(f"{entry_count:7}", *(f"{parts[part]:9.2f}" for part in ProcessPart))


if __name__ == "__main__":
    main()
