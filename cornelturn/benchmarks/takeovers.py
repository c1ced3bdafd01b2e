"""Measures the takeover of a pool after its owner was killed, by finished jobs.

The rows of finished jobs are within their retention. Times are given from the moment
when the successor takes the pool: until the first scan has read all jobs, and until a
job submitted then is done. They are simulated and contain what the link transfers at
12.5 MB/s, but no processor time. The processor time of the successor, and its longest
turn, are measured. Run ``python -m cornelturn.benchmarks.takeovers``.
"""

from __future__ import annotations

import asyncio
import random
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass

import pytest

from cornelturn.clock import MILLISECONDS_PER_SECOND, to_seconds
from cornelturn.events.log import configure_logging
from cornelturn.jobs.model import JobSpec, Resources, Step
from cornelturn.jobs.progress import Progress
from cornelturn.jobs.rows import JobRow, encode_job, job_key
from cornelturn.ownership.messages import DutyTaken
from cornelturn.platform.standin.documents import job_id, phases
from cornelturn.platform.store import split_key
from cornelturn.scheduling.owner import MAX_TURN_MS, PoolOwner
from cornelturn.tests.job_fleet import JobFleet
from cornelturn.tests.network import CURRENT_OWNER, FakeTimeLoop, Network

SEED = 20_261_207
ROW_COUNTS = (0, 5_000, 50_000)
LINK_BYTES_S = 12_500_000
SPEC_BYTES = 600
"""Text of a job; with two steps its row has 770 bytes."""

POOL = "phone"
PAUSED_S: dict[DutyTaken, float] = {}
"""Processor time at the last pause of each owner."""

LIMIT_S = 120.0


class TimedLoop(FakeTimeLoop):
    """Event loop that measures the processor time of the callbacks of one owner.

    Parameters
    ----------
    measured : str
        Label of the owner, empty to measure none.
    """

    def __init__(self) -> None:
        super().__init__()
        self.measured = ""
        self.total_s = self.longest_s = 0.0

    def _run_or_defer(self, callback: Callable[..., None], args: tuple) -> None:
        if not self.measured or CURRENT_OWNER.get() != self.measured:
            super()._run_or_defer(callback, args)
            return
        started_s = time.process_time()
        super()._run_or_defer(callback, args)
        spent_s = time.process_time() - started_s
        self.total_s += spent_s
        self.longest_s = max(self.longest_s, spent_s)


@dataclass(frozen=True, slots=True)
class TakeoverCost:
    """Cost of one takeover.

    Parameters
    ----------
    read_ms, done_ms : float
        Simulated time until all jobs are read, and until the submitted job is done.
    processor_ms, longest_turn_ms : float
        Processor time of the successor until then, and of its longest turn.
    """

    read_ms: float
    done_ms: float
    processor_ms: float
    longest_turn_ms: float


async def pause_if_due(owner: PoolOwner) -> None:
    """Pause as `PoolOwner` does, by processor time: the fake clock stands still."""
    now_s = time.process_time()
    if now_s - PAUSED_S.get(owner.ownership, 0.0) >= to_seconds(MAX_TURN_MS):
        await asyncio.sleep(0)
        PAUSED_S[owner.ownership] = time.process_time()


def store_finished_jobs(fleet: JobFleet, count: int) -> None:
    """Put rows of finished jobs into the store."""
    steps = (Step(1, Resources(1_000, 1)), Step(1, Resources(1_000, 1), after=(0,)))
    progress = Progress(done={(0, 0): {0}, (0, 1): {0}})
    for number in range(count):
        spec = JobSpec(job_id(number), f"q-{POOL}", POOL, "x" * SPEC_BYTES, steps)
        table, part, name = split_key(job_key(spec.queue, spec.id))
        text = encode_job(JobRow(spec, progress))
        fleet.store.put(table, name, text.encode(), part)


def successor(fleet: JobFleet) -> PoolOwner | None:
    """Return the owner of the pool, None if there is none."""
    for entry in fleet.entries.values():
        if POOL in entry.duties.owned_pools:
            return entry.duties.owned_pools[POOL].owner
    return None


async def measure_takeover(fleet: JobFleet, rows: int) -> TakeoverCost:
    """Kill the owner of a pool with some finished jobs, and measure its successor."""
    store_finished_jobs(fleet, rows)
    await fleet.start()
    await asyncio.sleep(1)
    fleet.network.default_link_bytes_s = LINK_BYTES_S
    fleet.kill_entry(fleet.owners()[POOL])
    await fleet.wait_until(lambda: successor(fleet) is not None, LIMIT_S)
    loop, taken_ms = fleet.network.loop, fleet.now_ms()
    owner = successor(fleet)
    entry = next(
        entry for entry in fleet.entries.values() if POOL in entry.duties.owned_pools
    )
    loop.measured = entry.label
    submitting = asyncio.create_task(
        fleet.submit(next(iter(fleet.entries)), POOL, job_id(rows), phases(1))
    )
    await fleet.wait_until(lambda: owner.takeover.is_over, LIMIT_S)
    read_ms = fleet.now_ms() - taken_ms
    assert await submitting == 200
    await fleet.wait_for_state(POOL, job_id(rows), "completed", LIMIT_S)
    done_ms = fleet.now_ms() - taken_ms
    loop.measured = ""
    await fleet.stop()
    return TakeoverCost(
        read_ms,
        done_ms,
        loop.total_s * MILLISECONDS_PER_SECOND,
        loop.longest_s * MILLISECONDS_PER_SECOND,
    )


def run_takeover(rows: int) -> TakeoverCost:
    """Return the cost of a takeover with some rows of finished jobs."""
    with (
        pytest.MonkeyPatch.context() as monkeypatch,
        asyncio.Runner(loop_factory=TimedLoop) as runner,
    ):
        network = Network(runner.get_loop(), random.Random(SEED))
        network.patch(monkeypatch)
        monkeypatch.setattr(PoolOwner, "_pause_if_due", pause_if_due)
        return runner.run(measure_takeover(JobFleet(network), rows))


def main() -> None:
    """Print the cost for each number of rows."""
    configure_logging("error", sys.stderr)
    print("   rows  read ms  done ms  processor ms  longest turn ms")
    for rows in ROW_COUNTS:
        cost = run_takeover(rows)
        print(
            f"{rows:7} {cost.read_ms:8.0f} {cost.done_ms:8.0f}"
            f" {cost.processor_ms:13.0f} {cost.longest_turn_ms:16.1f}",
            flush=True,
        )


if __name__ == "__main__":
    main()
