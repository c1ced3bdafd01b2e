"""Tests of owners, as processes, that are stopped or killed one after another."""

from __future__ import annotations

import asyncio
from signal import SIGKILL, SIGTERM, Signals

import pytest

from cornelturn.jobs.model import TaskId
from cornelturn.platform.standin.worker import WorkerStandin
from cornelturn.tests.conftest import StartPlatform
from cornelturn.tests.platform_processes import PlatformProcesses

RUN_MS = 60_000
"""Duration of a run; longer than its lease lasts without the owner."""

REPORT_S = 0.2
"""Time in which an owner receives the report of a target that has its token."""


async def start_runs(fleet: PlatformProcesses) -> WorkerStandin:
    """Submit jobs and return the worker with the most runs."""
    await fleet.submit(jobs=6, tasks=2)
    await fleet.wait_until(lambda: any(w.runs for w in fleet.workers.values()))
    return max(fleet.workers.values(), key=lambda worker: len(worker.runs))


async def assert_runs_follow_each_other(
    fleet: PlatformProcesses, tasks: set[TaskId]
) -> None:
    """Assert that tasks start a second time, each after its first run has ended."""
    starts = fleet.checker.start_counts
    await fleet.wait_until(lambda: all(starts[task] == 2 for task in tasks))
    assert fleet.checker.violations == []


# A target that has not reported to the second owner was dropped from the pool's row.
@pytest.mark.parametrize(
    "signals",
    [(SIGTERM,), (SIGTERM,) * 2, (SIGTERM,) * 3, (SIGKILL, SIGTERM)],
    ids=["stop", "two-stops", "three-stops", "kill-and-stop"],
)
async def test_stops_in_series_start_no_task_beside_its_run_on_an_unreachable_target(
    start_platform: StartPlatform, signals: tuple[Signals, ...]
) -> None:
    fleet = await start_platform(entries=4, workers=3, run_ms=RUN_MS)
    hidden = await start_runs(fleet)
    tasks = {run.task for run in hidden.runs}
    fleet.cut_off(hidden.name)
    for number in signals:
        await fleet.end_owner(number)
        await fleet.wait_until(fleet.is_loaded)
    await assert_runs_follow_each_other(fleet, tasks)


# A target that reported before the second owner had read its jobs was dropped too.
async def test_stop_before_the_jobs_are_read_starts_no_task_beside_its_run(
    start_platform: StartPlatform,
) -> None:
    fleet = await start_platform(entries=4, workers=3, run_ms=RUN_MS)
    hidden = await start_runs(fleet)
    fleet.delay_jobs()
    await fleet.end_owner(SIGTERM)
    generation = fleet.duty().generation
    await fleet.wait_until(lambda: hidden.fence_token == generation)
    await asyncio.sleep(REPORT_S)
    tasks = {run.task for run in hidden.runs}
    fleet.cut_off(hidden.name)
    assert not fleet.is_loaded()
    await fleet.end_owner(SIGTERM)
    fleet.store.slow_parts.clear()
    await assert_runs_follow_each_other(fleet, tasks)
