"""Takeovers while the store refuses some parts of the jobs: no task runs twice.

``OUTAGE_DAYS=200 python -m pytest properties/test_unreadable_parts.py`` simulates more
days.
"""

from __future__ import annotations

import asyncio
import os
import random

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from cornelturn.jobs.rows import JOBS_TABLE, queue_parts
from cornelturn.platform.standin.documents import id_of_queue
from cornelturn.tests.job_fleet import JobFleet
from cornelturn.tests.network import FakeTimeLoop, Network
from properties.test_random_days import LOAD_S, RUN_MS, Day, Trouble

OUTAGE_DAYS = int(os.environ.get("OUTAGE_DAYS", "8"))

KINDS = (
    "kill",
    "freeze",
    "stop",
    "cut_from_worker",
    "isolate_worker",
    "restart_worker",
    "delay_worker_starts",
    "cancel",
    "repeat",
)

TROUBLES = st.lists(
    st.builds(
        Trouble,
        start_s=st.floats(2.0, LOAD_S).map(lambda value: round(value, 1)),
        duration_s=st.floats(0.5, 6.0).map(lambda value: round(value, 1)),
        kind=st.sampled_from(KINDS),
        index=st.integers(0, 2),
    ),
    min_size=1,
    max_size=5,
)

OUTAGES = st.lists(
    st.tuples(
        st.floats(1.0, LOAD_S).map(lambda value: round(value, 1)),
        st.floats(2.0, 8.0).map(lambda value: round(value, 1)),
        st.sets(
            st.sampled_from(queue_parts(id_of_queue("phone"))), min_size=1, max_size=8
        ),
        st.booleans(),
    ),
    min_size=1,
    max_size=2,
)


async def refuse_parts(
    fleet: JobFleet, start_s: float, duration_s: float, parts: set[str], is_slow: bool
) -> None:
    """Refuse calls to some parts of the jobs for a time, or leave them unanswered."""
    await asyncio.sleep(start_s)
    affected = {(JOBS_TABLE, part) for part in parts}
    outage = fleet.store.slow_parts if is_slow else fleet.store.unavailable_parts
    outage.update(affected)
    await asyncio.sleep(duration_s)
    outage.difference_update(affected)


async def play(day: Day, troubles: list[Trouble], outages: list[tuple]) -> None:
    refusals = [
        asyncio.create_task(refuse_parts(day.fleet, *outage)) for outage in outages
    ]
    try:
        await day.play(troubles)
    finally:
        for refusal in refusals:
            refusal.cancel()
        await day.fleet.stop()


@settings(
    max_examples=OUTAGE_DAYS,
    deadline=None,
    derandomize="OUTAGE_DAYS" not in os.environ,
    suppress_health_check=list(HealthCheck),
    print_blob=True,
)
@given(troubles=TROUBLES, outages=OUTAGES, seed=st.integers(0, 1_000))
def test_rules_hold_while_owners_cannot_read_some_jobs(
    troubles: list[Trouble], outages: list[tuple], seed: int
) -> None:
    runner = asyncio.Runner(loop_factory=FakeTimeLoop)
    with runner, pytest.MonkeyPatch.context() as monkeypatch:
        rng = random.Random(seed)
        network = Network(runner.get_loop(), rng)
        network.patch(monkeypatch)
        fleet = JobFleet(network, run_ms=RUN_MS)
        runner.run(play(Day(fleet, rng), troubles, outages))
    assert fleet.checker.violations == []
