"""Submissions while each answer of the store takes many times as long as usual.

Guards against a transaction for each submission: a part runs one at a time, so a slow
store would accept few jobs.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, field

from cornelturn.clock import to_seconds
from cornelturn.jobs.rows import SHARDS
from cornelturn.platform.standin.documents import job_id, phases
from cornelturn.tests.job_fleet import JobFleet, wait_until_completed

SLOWDOWN = 83
ANSWER_MS = 4
PART_MS = 3
CALLS_PER_S = 60
SLOW_PERIOD_S = 3.0
ENTRIES = 6
DEADLINE_MS = 3_000


@dataclass
class Callers:
    """Clients that submit jobs at all entries in turn, and the answers they got."""

    fleet: JobFleet
    number: int = 1_000
    statuses: Counter[int] = field(default_factory=Counter)
    took_ms: list[int] = field(default_factory=list)
    accepted: list[str] = field(default_factory=list)

    async def call_for(self, seconds: float) -> None:
        """Submit jobs at a steady rate and wait for all answers."""
        calls = []
        for _ in range(round(seconds * CALLS_PER_S)):
            self.number += 1
            calls.append(asyncio.create_task(self._submit(self.number)))
            await asyncio.sleep(1 / CALLS_PER_S)
        await asyncio.gather(*calls)

    async def _submit(self, number: int) -> None:
        started_ms = self.fleet.now_ms()
        entry = list(self.fleet.entries)[number % len(self.fleet.entries)]
        job = job_id(number)
        status = await self.fleet.submit(
            entry, "phone", job, phases(1), deadline_ms=DEADLINE_MS
        )
        self.statuses[status] += 1
        self.took_ms.append(self.fleet.now_ms() - started_ms)
        if status == 200:
            self.accepted.append(job)


def slow_down(fleet: JobFleet, factor: int) -> None:
    fleet.store.answer_delay_ms = factor * ANSWER_MS
    fleet.store.transaction_ms = factor * PART_MS


def test_slow_store_accepts_more_jobs_than_single_row_transactions_allow(play):
    async def scenario(fleet: JobFleet) -> None:
        before = Callers(fleet)
        slow_down(fleet, 1)
        await before.call_for(2.0)
        assert set(before.statuses) == {200}
        callers = Callers(fleet, number=2_000)
        slow_down(fleet, SLOWDOWN)
        await callers.call_for(SLOW_PERIOD_S)
        slow_down(fleet, 1)
        max_single_writes = SHARDS * SLOW_PERIOD_S / to_seconds(SLOWDOWN * PART_MS)
        assert callers.statuses[200] > max_single_writes
        assert max(callers.took_ms) < DEADLINE_MS
        await wait_until_completed(fleet, before.accepted + callers.accepted)

    fleet = play(scenario, entries=ENTRIES, workers=4)
    assert set(fleet.checker.start_counts.values()) == {1}
