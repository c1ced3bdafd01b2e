"""A fleet in which the owner of a pool is lost while it makes room for urgent work."""

from __future__ import annotations

from dataclasses import replace

import msgspec

from cornelturn.jobs.model import Run, TaskId
from cornelturn.preemption.decision import PreemptionSettings
from cornelturn.tests.job_fleet import (
    JobFleet,
    configuration,
    job_id,
    phases,
    wait_until_completed,
)
from cornelturn.tests.test_organisations import adopt

OTHER, URGENT = job_id(1), job_id(2)
OTHER_MS = 12_000


def with_urgent_route() -> bytes:
    """Return a configuration with two queues of one pool, one of them urgent."""
    document = msgspec.json.decode(configuration(2))
    (route,) = (item for item in document["routes"] if item["service"] == "phone")
    urgent = route | {"name": "q-urgent", "path_prefix": "/urgent/"}
    route["priority"] = 1
    document["routes"].append(urgent)
    return msgspec.json.encode(document)


def test_urgent_task_starts_though_the_owner_that_ordered_a_stop_is_lost(play):
    """Guards against room that is lost with its owner, or stops that break a rule."""

    def run_ms(run: Run) -> int:
        return OTHER_MS if run.task.job == OTHER else 300

    async def scenario(fleet: JobFleet) -> None:
        await adopt(fleet, with_urgent_route())
        for worker in fleet.workers.values():
            worker.run_duration_ms = run_ms
        preemption = PreemptionSettings(True, 1.0)
        for entry in fleet.entries.values():
            entry.duties.owner_settings = replace(
                entry.duties.owner_settings, preemption=preemption
            )
            for owned in entry.duties.owned_pools.values():
                owned.owner.scheduler.preemption.settings = preemption
        former = fleet.owners()["phone"]
        pool = fleet.entries[former].duties.owned_pools["phone"].owner.scheduler
        tasks = [TaskId(OTHER, 0, 0, n) for n in range(2 * len(pool.targets))]
        steps = phases(len(tasks), cpu=4_000)
        steps[0]["estimated_ms"] = OTHER_MS
        assert await fleet.submit("entry-0", "phone", OTHER, steps) == 200
        running = fleet.checker.workers_by_task
        await fleet.wait_until(lambda: all(map(running.get, tasks)))
        others = [name for name in fleet.entries if name != former]
        urgent_steps = phases(1, cpu=4_000)
        assert await fleet.submit(others[0], "urgent", URGENT, urgent_steps) == 200
        await fleet.wait_until(lambda: pool.preemption.stops.stopped_ms)
        fleet.kill_entry(former)
        urgent = TaskId(URGENT, 0, 0, 0)
        await fleet.wait_until(lambda: fleet.checker.start_counts[urgent])
        await wait_until_completed(fleet, [OTHER])
        starts = [fleet.checker.start_counts[task] for task in tasks]
        assert sorted(starts) == [1] * (len(tasks) - 1) + [2]

    fleet = play(scenario, entries=3, workers=4)
    assert fleet.checker.start_counts[TaskId(URGENT, 0, 0, 0)] == 1
