"""What entries that own nothing spend, by part and by the number of entries.

Run ``python -m cornelturn.benchmarks.idle_entries``. The entries run in one loop whose
time jumps from timer to timer, with connections in memory: what sockets cost is left
out. Times are of the loop, so other load on the machine adds to them.
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
    """Return the mean milliseconds of a second, by part, of entries without duties."""
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
    """Return the seconds of each part of an entry since its start."""
    registry = entry.metrics.registry
    name = "cornelturn_process_work_seconds_total"
    return Counter(
        {
            part: registry.get_sample_value(name, {"part": part}) or 0.0
            for part in ProcessPart
        }
    )


def run_idle_fleet(entry_count: int) -> dict[str, float]:
    """Play a fleet that is asked for nothing."""
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
    """Print the parts for each number of entries."""
    print("entries", *(f"{part:>9}" for part in ProcessPart))
    for entry_count in ENTRY_COUNTS:
        parts = run_idle_fleet(entry_count)
        print(f"{entry_count:7}", *(f"{parts[part]:9.2f}" for part in ProcessPart))


if __name__ == "__main__":
    main()
