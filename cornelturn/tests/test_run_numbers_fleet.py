"""A fleet in which an owner uses up its run numbers for a lasting task."""

from __future__ import annotations

import pytest

from cornelturn.jobs.model import TaskId
from cornelturn.platform.standin.documents import job_id, phases
from cornelturn.scheduling import run_numbers
from cornelturn.tests.job_fleet import JobFleet

JOB = job_id(1)
TASK = TaskId(JOB, 0, 0, 0)
SMALL_RANGE = 20
RUNS = 3 * SMALL_RANGE
RUN_MS = 10
LIMIT_S = 20.0


@pytest.mark.causes_errors
def test_owner_gives_its_pool_up_before_it_uses_numbers_of_the_next(play, monkeypatch):
    # Guards against LOST: numbers beyond its own made targets refuse the next owner.
    monkeypatch.setattr(run_numbers, "RUN_NUMBERS_PER_GENERATION", SMALL_RANGE)

    async def day(fleet: JobFleet) -> None:
        for worker in fleet.workers.values():
            worker.run_duration_ms = lambda run: RUN_MS
            worker.should_fail = lambda run: True
        steps = phases(1, is_lasting=True)
        assert await fleet.submit("entry-0", "phone", JOB, steps) == 200
        starts = fleet.checker.start_counts
        await fleet.wait_until(lambda: starts[TASK] >= RUNS, LIMIT_S)
        # The last of these runs uses up the numbers of its owner too.
        await fleet.wait_until(lambda: "phone" in fleet.owners(), LIMIT_S)
        owner = fleet.entries[fleet.owners()["phone"]].duties.owned_pools["phone"].owner
        assert owner.ownership.generation >= RUNS // SMALL_RANGE

    play(day, entries=3, workers=2)
