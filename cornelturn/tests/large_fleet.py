"""Simulated days of 43 entries and five pools with faults, monitored for stalls."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field
from typing import Any

import pytest

from cornelturn.jobs.model import JobSpec, StepId
from cornelturn.platform.standin.documents import job_id, phases
from cornelturn.tests.fleet_troubles import Trouble, TroubleInjector
from cornelturn.tests.job_fleet import JobFleet
from cornelturn.tests.network import FakeTimeLoop, Network
from cornelturn.tests.progress_monitor import ProgressMonitor

LARGE_POOLS = ("employment", "licensing", "references", "education", "backoffice")
LARGE_ENTRIES = 6
ENTRIES = 43
LARGE_CORES = 2.15
SMALL_CORES = 0.516
LARGE_LINK_BYTES_S = 12_500_000.0
SMALL_LINK_BYTES_S = 625_000.0
WORKERS = 8
"""Number of workers of each pool."""

RUN_MS = 900
JOBS = 40
LOAD_S = 16.0
LASTING_JOBS = 5
FINISH_GRACE_S = 14.0
"""Time after the load and the faults before stalls of jobs count as violations."""

END_LIMIT_S = 60.0


@dataclass(repr=False)
class LargeDay:
    """One simulated day on a large fleet.

    Parameters
    ----------
    active_troubles : int
        Number of troubles in progress.
    """

    fleet: JobFleet
    rng: random.Random
    monitor: ProgressMonitor = field(init=False)
    injector: TroubleInjector = field(init=False)
    active_troubles: int = 0

    def __post_init__(self) -> None:
        self.monitor = ProgressMonitor(self.fleet)
        self.injector = TroubleInjector(self.fleet, self.rng)

    async def play(self, troubles: list[Trouble]) -> None:
        """Run the load and the troubles, then wait until all accepted jobs are over."""
        await self.fleet.start(ENTRIES, WORKERS)
        monitoring = asyncio.create_task(self.monitor.run())
        injections = [
            asyncio.create_task(self._run_trouble(trouble)) for trouble in troubles
        ]
        await self._load()
        await asyncio.gather(*injections)
        finishing = asyncio.create_task(self._wait_until_all_over())
        await asyncio.wait({finishing}, timeout=FINISH_GRACE_S)
        self.monitor.is_finishing = True
        self.monitor.finishing_since_ms = self.fleet.now_ms()
        async with asyncio.timeout(END_LIMIT_S):
            await finishing
        monitoring.cancel()

    # Clients

    async def _load(self) -> None:
        """Submit all jobs, and wait until each client has an answer or gave up."""
        clients = []
        for number in range(JOBS):
            pool = LARGE_POOLS[number % len(LARGE_POOLS)]
            client = self._submit(job_id(number), pool, self._steps(number))
            clients.append(asyncio.create_task(client))
            await asyncio.sleep(LOAD_S / JOBS)
        await asyncio.gather(*clients)

    def _steps(self, number: int) -> list[dict[str, Any]]:
        if number < LASTING_JOBS:
            return phases(4, is_lasting=True, max_unavailable=1)
        return phases(3, 1)

    async def _submit(self, job: str, pool: str, steps: list[dict[str, Any]]) -> None:
        """Submit a job as clients do, retrying when there is no answer."""
        for _ in range(4):
            entry = self.any_entry()
            if entry is not None:
                try:
                    async with asyncio.timeout(3.0):
                        if await self.fleet.submit(entry, pool, job, steps) == 200:
                            self.monitor.accepted[job] = pool
                            return
                except (TimeoutError, ConnectionError):
                    pass
            await asyncio.sleep(0.5)

    async def _wait_until_all_over(self) -> None:
        for job, pool in self.monitor.accepted.items():
            await self._wait_until_over(job, pool)

    async def _wait_until_over(self, job: str, pool: str) -> None:
        spec = self.fleet.checker.jobs[job]
        while True:
            entry = self.any_entry()
            if entry is not None:
                state = await self.fleet.job_state(entry, pool, job)
                assert state not in ("410", "failed", "cancelled"), (job, state)
                if state == "completed" or self._is_lasting_job_running(spec):
                    return
            await asyncio.sleep(0.5)

    def _is_lasting_job_running(self, spec: JobSpec) -> bool:
        running = self.fleet.checker.workers_by_task
        step = StepId(spec.id, 0, 0)
        tasks = [step.task(index) for index in range(spec.steps[0].count)]
        return spec.steps[0].is_lasting and all(running.get(task) for task in tasks)

    def any_entry(self) -> str | None:
        """Return a random entry that serves callers, None if none does."""
        running = [
            name
            for name, entry in self.fleet.entries.items()
            if entry.callers_port and not self.fleet.is_paused(name)
        ]
        return self.rng.choice(running) if running else None

    # Troubles

    async def _run_trouble(self, trouble: Trouble) -> None:
        await asyncio.sleep(trouble.start_s)
        self.active_troubles += 1
        self.monitor.fault_free_since_ms = None
        await self.injector.inject(trouble)
        self.active_troubles -= 1
        if not self.active_troubles:
            self.monitor.fault_free_since_ms = self.fleet.now_ms()


def play_large_day(troubles: list[Trouble], seed: int) -> LargeDay:
    """Simulate a day and return its final state."""
    runner = asyncio.Runner(loop_factory=FakeTimeLoop)
    with runner, pytest.MonkeyPatch.context() as monkeypatch:
        rng = random.Random(seed)
        network = Network(runner.get_loop(), rng)
        network.patch(monkeypatch)
        names = [f"entry-{number}" for number in range(ENTRIES)]
        large = set(names[:LARGE_ENTRIES])
        fleet = JobFleet(
            network,
            run_ms=RUN_MS,
            pools=LARGE_POOLS,
            processors={
                name: LARGE_CORES if name in large else SMALL_CORES for name in names
            },
            link_bytes_s={
                name: LARGE_LINK_BYTES_S if name in large else SMALL_LINK_BYTES_S
                for name in names
            },
        )
        day = LargeDay(fleet, rng)
        runner.run(_play_and_stop(day, troubles))
    return day


async def _play_and_stop(day: LargeDay, troubles: list[Trouble]) -> None:
    try:
        await day.play(troubles)
    finally:
        await day.fleet.stop()


def hold_to_the_rules(day: LargeDay) -> None:
    """Fail if a rule was violated, or work stalled for too long."""
    violations, stalls = day.fleet.checker.violations, day.monitor.violations
    assert violations == []
    assert stalls == {}
