"""Random faults on simulated fleets: the rules hold and accepted jobs end.

``DAYS=200 python -m pytest properties/test_random_days.py`` simulates more days.
"""

from __future__ import annotations

import asyncio
import os
import random
from dataclasses import dataclass

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from cornelturn.platform.standin.documents import job_id, phases
from cornelturn.platform.standin.rows import StoreFault
from cornelturn.tests.job_fleet import JobFleet
from cornelturn.tests.network import FakeTimeLoop, Network

DAYS = int(os.environ.get("DAYS", "12"))
ENTRIES = 3
WORKERS = 3
PHONE_WORKERS = tuple(f"phone-{number}" for number in range(WORKERS))
JOBS = 8
RUN_MS = 900
LOAD_S = 12.0
FINISH_LIMIT_S = 60.0
"""Covers 12 s for a holder that may be alive and 6 s for leases, both twice."""


@dataclass(frozen=True)
class Trouble:
    """A fault or a call that is injected on a simulated day.

    Parameters
    ----------
    start_s, duration_s : float
        When it begins, and how long it lasts if it ends.
    kind : str
        What happens: one of `KINDS`.
    index : int
        Index of the entry, the worker or the job affected.
    """

    start_s: float
    duration_s: float
    kind: str
    index: int


KINDS = (
    "kill",
    "kill_all",
    "freeze",
    "stop",
    "cut_from_store",
    "cut_from_worker",
    "isolate_worker",
    "restart_worker",
    "delay_worker_starts",
    "store_busy",
    "store_silent",
    "store_answers_lost",
    "discard_history",
    "cancel",
    "repeat",
)

TROUBLES = st.lists(
    st.builds(
        Trouble,
        start_s=st.floats(0.2, LOAD_S).map(lambda value: round(value, 1)),
        duration_s=st.floats(0.5, 6.0).map(lambda value: round(value, 1)),
        kind=st.sampled_from(KINDS),
        index=st.integers(0, 2),
    ),
    min_size=1,
    max_size=6,
)


@dataclass
class Day:
    """One simulated day on a fleet."""

    fleet: JobFleet
    rng: random.Random

    async def play(self, troubles: list[Trouble]) -> None:
        await self.fleet.start(ENTRIES, WORKERS)
        injections = [asyncio.create_task(self.inject(trouble)) for trouble in troubles]
        accepted = await self.load()
        await asyncio.gather(*injections)
        self.fleet.store.fault = StoreFault.NONE
        await self.fleet.wait_until(lambda: bool(self.fleet.entries), 10.0)
        for job in accepted:
            await self.wait_until_over(job)

    async def load(self) -> list[str]:
        """Submit jobs as clients do, retrying when there is no answer."""
        accepted: list[str] = []
        for number in range(JOBS):
            job = job_id(number)
            if await self.submit(job):
                accepted.append(job)
            await asyncio.sleep(LOAD_S / JOBS)
        return accepted

    async def submit(self, job: str) -> bool:
        for _ in range(4):
            entry = self.any_entry()
            if entry is not None:
                try:
                    async with asyncio.timeout(3.0):
                        steps = phases(2, 1)
                        if await self.fleet.submit(entry, "phone", job, steps) == 200:
                            return True
                except (TimeoutError, ConnectionError):
                    pass
            await asyncio.sleep(0.5)
        return False

    async def wait_until_over(self, job: str) -> None:
        async with asyncio.timeout(FINISH_LIMIT_S):
            while True:
                entry = self.any_entry()
                if entry is not None:
                    state = await self.fleet.job_state(entry, "phone", job)
                    assert state != "410"
                    if state in ("completed", "cancelled"):
                        return
                await asyncio.sleep(0.5)

    async def inject(self, trouble: Trouble) -> None:
        await asyncio.sleep(trouble.start_s)
        fleet = self.fleet
        entry = f"entry-{trouble.index}"
        worker = f"phone-{trouble.index}"
        match trouble.kind:
            case "kill" if entry in fleet.entries:
                fleet.kill_entry(entry)
                await asyncio.sleep(trouble.duration_s)
                await self.restart(entry)
            case "kill_all":
                names = list(fleet.entries)
                for name in names:
                    fleet.kill_entry(name)
                await asyncio.sleep(trouble.duration_s)
                for name in names:
                    await self.restart(name)
            case "freeze" if entry in fleet.entries:
                label = fleet.entries[entry].label
                fleet.network.loop.paused.add(label)
                await asyncio.sleep(trouble.duration_s)
                if label not in fleet.network.dead:
                    fleet.network.loop.resume(label)
            case "stop" if entry in fleet.entries:
                leaving = fleet.entries.pop(entry)
                await leaving.stop()
                fleet.network.kill(leaving.label)
                await self.restart(entry)
            case "cut_from_store" if entry in fleet.entries:
                cut = fleet.disconnect_from_store(entry)
                await asyncio.sleep(trouble.duration_s)
                fleet.network.cut_pairs.discard(cut)
            case "cut_from_worker" if entry in fleet.entries:
                cut = fleet.disconnect_from_worker(
                    entry, self.rng.choice(PHONE_WORKERS)
                )
                await asyncio.sleep(trouble.duration_s)
                fleet.network.cut_pairs.discard(cut)
            case "isolate_worker":
                fleet.isolate_worker(worker)
                await asyncio.sleep(trouble.duration_s)
                fleet.reconnect_worker(worker)
            case "restart_worker":
                await fleet.restart_worker(worker)
            case "delay_worker_starts":
                fleet.workers[worker].start_delay_ms = 3_000
                await asyncio.sleep(trouble.duration_s)
                fleet.workers[worker].start_delay_ms = 0
            case "store_busy" | "store_silent" | "store_answers_lost":
                fleet.store.fault = {
                    "store_busy": StoreFault.BUSY,
                    "store_silent": StoreFault.SILENT,
                    "store_answers_lost": StoreFault.LOST_ANSWERS,
                }[trouble.kind]
                fleet.store.lost_write_delay_ms = self.rng.choice((0, 2_000))
                await asyncio.sleep(trouble.duration_s)
                fleet.store.fault = StoreFault.NONE
            case "discard_history":
                fleet.store.discard_history()
            case "cancel":
                await self.call_for_job("DELETE", job_id(trouble.index))
            case "repeat":
                await self.submit(job_id(trouble.index))

    async def call_for_job(self, method: str, job: str) -> None:
        entry = self.any_entry()
        if entry is not None:
            await self.fleet.call(entry, method, f"/phone/{job}")

    async def restart(self, entry: str) -> None:
        """Start an entry again unless another trouble has done so already."""
        if entry not in self.fleet.entries:
            await self.fleet.add_entry(entry)

    def any_entry(self) -> str | None:
        paused = self.fleet.network.loop.paused
        running = [
            name
            for name, entry in self.fleet.entries.items()
            if entry.label not in paused and entry.callers_port
        ]
        return self.rng.choice(running) if running else None


def play_day(troubles: list[Trouble], seed: int) -> JobFleet:
    """Simulate a day and return the fleet in its final state."""
    runner = asyncio.Runner(loop_factory=FakeTimeLoop)
    with runner, pytest.MonkeyPatch.context() as monkeypatch:
        rng = random.Random(seed)
        network = Network(runner.get_loop(), rng)
        network.patch(monkeypatch)
        fleet = JobFleet(network, run_ms=RUN_MS)
        runner.run(_play_and_stop(Day(fleet, rng), troubles))
    return fleet


async def _play_and_stop(day: Day, troubles: list[Trouble]) -> None:
    try:
        await day.play(troubles)
    finally:
        await day.fleet.stop()


@settings(
    max_examples=DAYS,
    deadline=None,
    derandomize="DAYS" not in os.environ,
    suppress_health_check=list(HealthCheck),
    print_blob=True,
)
@given(troubles=TROUBLES, seed=st.integers(0, 1_000))
def test_rules_hold_on_random_days(troubles: list[Trouble], seed: int) -> None:
    fleet = play_day(troubles, seed)
    assert fleet.checker.violations == []
