"""A fleet whose pool owner lacks the configuration of a queue that has jobs."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import msgspec
import pytest

from cornelturn.jobs.model import JobState, Run
from cornelturn.jobs.rows import JOBS_TABLE, decode_job, job_key, part_of
from cornelturn.model.queue_identity import queue_id
from cornelturn.platform.documents import decode_job_body
from cornelturn.platform.standin.documents import (
    HOST,
    configuration,
    job_id,
    phases,
)
from cornelturn.tests.job_fleet import JobFleet

JOB = job_id(1)
QUEUE = "q-late"
PREFIX = "/late/"
MAX_ATTEMPTS = 4
RUN_MS = 100
LONG_RUN_MS = 4_000
FINAL_LIMIT_S = 60.0
OPEN_READ_S = 2.1
"""Time in which a read of the store ends that is open before a cut."""


@dataclass(slots=True)
class FailingTasks:
    """Lets the first runs of each task fail.

    Parameters
    ----------
    failures : int
        Number of runs of each task that fail.
    """

    fleet: JobFleet
    failures: int

    def should_fail(self, run: Run) -> bool:
        """Return whether a run that has just started fails."""
        return self.fleet.checker.start_counts[run.task] <= self.failures


@pytest.fixture
def late_configuration() -> bytes:
    """Return a second configuration, which has one queue more than the first."""
    document = msgspec.json.decode(configuration(2))
    route = document["routes"][0]
    document["routes"].append(
        route | {"name": QUEUE, "path_prefix": PREFIX, "max_attempts": MAX_ATTEMPTS}
    )
    return msgspec.json.encode(document)


def let_tasks_fail(fleet: JobFleet, failures: int) -> None:
    for worker in fleet.workers.values():
        worker.should_fail = FailingTasks(fleet, failures).should_fail


async def submit_late_job(fleet: JobFleet, entry: str) -> None:
    """Submit the job to the new queue until an entry that knows it accepts it."""
    body = msgspec.json.encode({"spec": "text", "phases": phases(3)})
    spec = decode_job_body(body, JOB, QUEUE, "phone").unwrap()
    fleet.checker.jobs[JOB] = spec
    status = 0
    while status != 200:
        status, _ = await fleet.call(entry, "POST", f"{PREFIX}{JOB}", body)
        await asyncio.sleep(0.02)


def stored_state(fleet: JobFleet) -> JobState:
    """Return the state of the job according to its row."""
    key = job_key(queue_id(HOST, PREFIX), JOB)
    part = part_of(key).removeprefix(f"{JOBS_TABLE}/")
    row = decode_job(key, fleet.store.read_value(JOBS_TABLE, JOB, part).decode())
    return row.unwrap().progress.state(row.unwrap().spec)


async def wait_until_final(fleet: JobFleet) -> JobState:
    await fleet.wait_until(lambda: stored_state(fleet).is_final(), FINAL_LIMIT_S)
    return stored_state(fleet)


def test_job_of_a_queue_that_its_owner_learns_of_later_keeps_its_attempts(
    play, late_configuration
):
    # Guards against LOST: judged by a default, it failed after one run (review/4).
    async def day(fleet: JobFleet) -> None:
        fleet.run_ms = RUN_MS
        let_tasks_fail(fleet, 1)
        owner = fleet.owners()["phone"]
        other = next(name for name in fleet.entries if name != owner)
        pair = fleet.disconnect_from_store(owner)
        await asyncio.sleep(OPEN_READ_S)
        # The read of changes that the owner has begun meanwhile gets no answer.
        fleet.network.cut_pairs.discard(pair)
        fleet.store.put("op", "config", late_configuration)
        await submit_late_job(fleet, other)
        assert fleet.entries[owner].operator_watch.current.version == 1
        assert await wait_until_final(fleet) is JobState.COMPLETED

    play(day, entries=3, workers=3)


def test_job_of_a_removed_queue_keeps_its_attempts_under_the_next_owner(
    play, late_configuration
):
    # Guards against LOST: the next owner judged it by a default.
    async def day(fleet: JobFleet) -> None:
        fleet.run_ms = LONG_RUN_MS
        let_tasks_fail(fleet, MAX_ATTEMPTS - 1)
        fleet.store.put("op", "config", late_configuration)
        await submit_late_job(fleet, "entry-0")
        fleet.store.put("op", "config", configuration(3))
        await asyncio.sleep(1)
        fleet.kill_entry(fleet.owners()["phone"])
        assert await wait_until_final(fleet) is JobState.COMPLETED

    play(day, entries=3, workers=3)


def test_job_of_a_removed_queue_fails_once_it_has_used_up_its_attempts(
    play, late_configuration
):
    async def day(fleet: JobFleet) -> None:
        fleet.run_ms = RUN_MS
        let_tasks_fail(fleet, MAX_ATTEMPTS)
        fleet.store.put("op", "config", late_configuration)
        await submit_late_job(fleet, "entry-0")
        fleet.store.put("op", "config", configuration(3))
        assert await wait_until_final(fleet) is JobState.FAILED

    fleet = play(day, entries=3, workers=3)
    assert max(fleet.checker.start_counts.values()) == MAX_ATTEMPTS
