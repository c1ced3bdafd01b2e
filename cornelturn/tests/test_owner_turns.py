"""Turns of an owner with much to do, on a simulated network.

Guards against starts that are forgotten when a plan leaves some out.
"""

from __future__ import annotations

from cornelturn.platform.standin.documents import job_id, phases
from cornelturn.scheduling.owner import MAX_STARTS_PER_PLAN
from cornelturn.tests.job_fleet import JobFleet, wait_until_completed

TASKS = 3 * MAX_STARTS_PER_PLAN + 1


def test_all_starts_of_a_large_step_are_ordered(play):
    async def scenario(fleet: JobFleet) -> None:
        entry = next(iter(fleet.entries))
        steps = phases(TASKS, cpu=1)
        assert await fleet.submit(entry, "phone", job_id(1), steps) == 200
        await wait_until_completed(fleet, [job_id(1)])

    fleet = play(scenario, entries=3, workers=2)
    assert fleet.checker.violations == []
    assert sum(fleet.checker.start_counts.values()) == TASKS
