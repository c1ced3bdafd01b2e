"""Random losses of one owner after another, beside targets out of reach.

``SERIES=500 python -m pytest properties/test_interrupted_takeovers.py`` draws more.
"""

from __future__ import annotations

import asyncio
import os
import random
from dataclasses import dataclass
from enum import StrEnum, auto

import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from cornelturn.jobs.rows import JOBS_TABLE
from cornelturn.platform.standin.documents import job_id, phases
from cornelturn.platform.standin.rows import StoreFault
from cornelturn.tests.job_fleet import JobFleet
from cornelturn.tests.network import FakeTimeLoop, Network

SERIES = int(os.environ.get("SERIES", "25"))
ENTRIES = 6
WORKERS = 3
JOBS = 5
POOL = "phone"
RUN_MS = 20_000
"""Longer than a series, so that a run ends early only with its lease."""

RECONNECTED_S = 9.0
"""Time for all leases to lapse and for all targets to report."""

MAX_LATE_WRITE_MS = 2_000


class Loss(StrEnum):
    """A fault that hits the current owner of the pool, or what it depends on."""

    STOP = auto()
    KILL = auto()
    FREEZE = auto()
    CUT_FROM_STORE = auto()
    ISOLATE_TARGET = auto()
    RECONNECT_TARGETS = auto()
    STORE_BUSY = auto()
    STORE_ANSWERS_LOST = auto()
    STORE_SERVES = auto()
    JOBS_SLOW = auto()


@dataclass(frozen=True)
class Step:
    """A fault and the pause after it.

    Parameters
    ----------
    target : int
        Index of the target, if the fault hits one.
    """

    loss: Loss
    pause_s: float
    target: int


STEPS = st.lists(
    st.builds(
        Step,
        loss=st.sampled_from([*Loss, Loss.STOP, Loss.STOP, Loss.KILL]),
        pause_s=st.floats(0.0, 2.0).map(lambda value: round(value, 2)),
        target=st.integers(0, WORKERS - 1),
    ),
    min_size=2,
    max_size=7,
)


async def play(fleet: JobFleet, first_target: int, steps: list[Step]) -> None:
    """Start long runs, cut a target off, then play the steps."""
    await fleet.start(ENTRIES, WORKERS)
    for number in range(JOBS):
        await fleet.submit("entry-0", POOL, job_id(number), phases(1, cpu=4_000))
    await asyncio.sleep(0.5)
    fleet.isolate_worker(f"{POOL}-{first_target}")
    stops: list[asyncio.Task[None]] = []
    for step in steps:
        inject(fleet, step, stops)
        await asyncio.sleep(step.pause_s)
    fleet.store.fault = StoreFault.NONE
    fleet.store.slow_parts.clear()
    await asyncio.sleep(RECONNECTED_S)
    for number in range(WORKERS):
        fleet.reconnect_worker(f"{POOL}-{number}")
    await asyncio.sleep(RECONNECTED_S)


def inject(fleet: JobFleet, step: Step, stops: list[asyncio.Task[None]]) -> None:
    """Inject a fault; one entry at least goes on."""
    holders = fleet.holders(POOL)
    holder = holders[-1] if holders and len(fleet.entries) > 1 else None
    match step.loss:
        case Loss.STOP if holder is not None:
            stops.append(asyncio.create_task(fleet.entries.pop(holder).stop()))
        case Loss.KILL if holder is not None:
            fleet.kill_entry(holder)
        case Loss.FREEZE if holder is not None:
            label = fleet.entries[holder].label
            fleet.network.loop.paused.add(label)
            loop = asyncio.get_running_loop()
            loop.call_later(4.0, fleet.network.loop.resume, label)
        case Loss.CUT_FROM_STORE if holder is not None:
            fleet.disconnect_from_store(holder)
        case Loss.ISOLATE_TARGET:
            fleet.isolate_worker(f"{POOL}-{step.target}")
        case Loss.RECONNECT_TARGETS:
            for number in range(WORKERS):
                fleet.reconnect_worker(f"{POOL}-{number}")
        case Loss.STORE_BUSY:
            fleet.store.fault = StoreFault.BUSY
        case Loss.STORE_ANSWERS_LOST:
            fleet.store.fault = StoreFault.LOST_ANSWERS
            fleet.store.lost_write_delay_ms = step.target * MAX_LATE_WRITE_MS // 2
        case Loss.STORE_SERVES:
            fleet.store.fault = StoreFault.NONE
        case Loss.JOBS_SLOW:
            parts = {key[:2] for key in fleet.store.rows if key[0] == JOBS_TABLE}
            fleet.store.slow_parts.update(parts)


async def play_and_stop(fleet: JobFleet, first_target: int, steps: list[Step]) -> None:
    try:
        await play(fleet, first_target, steps)
    finally:
        await fleet.stop()


@settings(
    max_examples=SERIES,
    deadline=None,
    derandomize="SERIES" not in os.environ,
    suppress_health_check=list(HealthCheck),
    phases=(Phase.explicit, Phase.reuse, Phase.generate),
    print_blob=True,
)
@given(
    first_target=st.integers(0, WORKERS - 1), steps=STEPS, seed=st.integers(0, 1_000)
)
def test_runs_are_not_repeated_while_owners_are_lost_in_series(
    first_target: int, steps: list[Step], seed: int
) -> None:
    runner = asyncio.Runner(loop_factory=FakeTimeLoop)
    with runner, pytest.MonkeyPatch.context() as monkeypatch:
        network = Network(runner.get_loop(), random.Random(seed))
        network.patch(monkeypatch)
        fleet = JobFleet(network, run_ms=RUN_MS)
        runner.run(play_and_stop(fleet, first_target, steps))
    assert fleet.checker.violations == []
