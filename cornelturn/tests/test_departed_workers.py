"""Workers that drain or have left, and entries that start again meanwhile.

Guards against a new owner that uses a worker because an earlier row names it.
"""

from __future__ import annotations

import asyncio

import pytest

from cornelturn.tests.job_fleet import JobFleet, submit_jobs, wait_until_completed

RESTART_S = 1.0
DEPARTED = "phone-0"


def runs_of(fleet: JobFleet, worker: str) -> int:
    """Return the highest sequence number of an end on a worker, plus its runs."""
    standin = fleet.workers[worker]
    return standin.end_count + len(standin.runs)


async def restart_all_entries(fleet: JobFleet) -> None:
    """Kill all entries, and start them again after a moment."""
    names = list(fleet.entries)
    for name in names:
        fleet.kill_entry(name)
    await asyncio.sleep(RESTART_S)
    for name in names:
        await fleet.add_entry(name)


async def restart_owner(fleet: JobFleet) -> None:
    """Kill the owner of the pool, and start it again after a moment."""
    owner = fleet.owners()["phone"]
    fleet.kill_entry(owner)
    await asyncio.sleep(RESTART_S)
    await fleet.add_entry(owner)


def mark_draining(fleet: JobFleet) -> None:
    """Let the worker report in the list that it drains."""
    worker = fleet.workers[DEPARTED]
    worker.is_draining = True
    fleet.store.put("servers", DEPARTED, worker.row_value())


def remove_from_list(fleet: JobFleet) -> None:
    """Remove the worker from the list, though its process still answers."""
    fleet.store.remove("servers", DEPARTED)


@pytest.mark.parametrize("restart", [restart_owner, restart_all_entries])
@pytest.mark.parametrize("depart", [mark_draining, remove_from_list])
def test_departed_worker_gets_no_start_from_entries_that_start_again(
    play, depart, restart
):
    runs = []

    async def scenario(fleet: JobFleet) -> None:
        await wait_until_completed(fleet, await submit_jobs(fleet, 2))
        depart(fleet)
        await asyncio.sleep(1)
        runs.append(runs_of(fleet, DEPARTED))
        await restart(fleet)
        await fleet.wait_until(lambda: "phone" in fleet.owners())
        await wait_until_completed(fleet, await submit_jobs(fleet, 10, first=100))
        runs.append(runs_of(fleet, DEPARTED))

    fleet = play(scenario, entries=3, workers=3)
    before, after = runs
    assert after == before
    assert fleet.checker.violations == []
