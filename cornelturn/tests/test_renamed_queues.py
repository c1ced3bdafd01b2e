"""Queues that get other names while callers use the same host and path prefix.

Guards against a job that is filed under the name of its queue: after a new name it is
not known any more, and the same request runs it a second time.
"""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from cornelturn.jobs.model import JobSpec, Resources, Step
from cornelturn.jobs.progress import Progress
from cornelturn.jobs.rows import JobRow, job_key
from cornelturn.platform.standin.documents import (
    configuration,
    job_id,
    phases,
    queue_path_prefix,
)
from cornelturn.tests.job_fleet import JobFleet, submit_jobs, wait_until_completed

APPLY_S = 2.0
SETTLE_S = 3.0
RUN_MS = 300
PENDING_AGE_S = 3.0
EARLIER_JOB = job_id(900)


async def rename(fleet: JobFleet, version: int, **names: str) -> None:
    """Give the queues of some pools other names, and wait until they are in force."""
    document = msgspec.json.decode(configuration(version))
    for route in document["routes"]:
        route["name"] = names.get(route["service"], route["name"])
    fleet.store.put("op", "config", msgspec.json.encode(document))
    await asyncio.sleep(APPLY_S)


async def assert_known_and_not_repeated(fleet: JobFleet, pool: str, jobs) -> None:
    """Check that finished jobs are known, and that their requests run nothing."""
    starts = dict(fleet.checker.start_counts)
    for job in jobs:
        assert await fleet.job_state("entry-0", pool, job) == "completed"
        assert await fleet.submit("entry-0", pool, job, phases(3, 2)) == 200
    await asyncio.sleep(SETTLE_S)
    assert dict(fleet.checker.start_counts) == starts


@pytest.mark.parametrize(
    "names",
    [("other",), ("other", "q-phone", "other"), ("a", "b", "c")],
    ids=["once", "there, back and there", "three times"],
)
def test_finished_jobs_of_a_renamed_queue_stay_known_and_run_once(play, names):
    async def day(fleet: JobFleet) -> None:
        jobs: list[str] = []
        for number, name in enumerate(names):
            jobs += await submit_jobs(fleet, 2, first=10 * number)
            await wait_until_completed(fleet, jobs)
            await rename(fleet, number + 2, phone=name)
        await assert_known_and_not_repeated(fleet, "phone", jobs)

    fleet = play(day, entries=3, workers=2)
    assert fleet.checker.violations == []


def test_queues_that_exchange_their_names_keep_their_own_jobs(play):
    async def day(fleet: JobFleet) -> None:
        jobs = await submit_jobs(fleet, 2)
        await wait_until_completed(fleet, jobs)
        await rename(fleet, 2, phone="q-mail", mail="q-phone")
        await assert_known_and_not_repeated(fleet, "phone", jobs)
        assert await fleet.job_state("entry-0", "mail", jobs[0]) == "410"

    assert play(day, entries=2, workers=2).checker.violations == []


def test_unfinished_jobs_of_a_renamed_queue_are_counted_finished_and_cancelled(play):
    async def day(fleet: JobFleet) -> None:
        fleet.run_ms = RUN_MS
        endless, hopeless = job_id(1), job_id(2)
        lasting = phases(2, is_lasting=True)
        assert await fleet.submit("entry-0", "phone", endless, lasting) == 200
        large = phases(1, cpu=10**6)
        assert await fleet.submit("entry-0", "phone", hopeless, large) == 200
        jobs = await submit_jobs(fleet, 2, first=10)
        await rename(fleet, 2, phone="other")
        await wait_until_completed(fleet, jobs)
        await asyncio.sleep(PENDING_AGE_S)
        prefix = queue_path_prefix("phone")
        assert await fleet.call("entry-1", "GET", prefix) == (200, {"pending": 1})
        status, _ = await fleet.call("entry-1", "DELETE", f"{prefix}{endless}")
        assert status == 200
        await asyncio.sleep(SETTLE_S)
        assert not any(worker.runs for worker in fleet.workers.values())

    assert play(day, entries=2, workers=2).checker.violations == []


def earlier_row(step: Step, progress: Progress) -> tuple[str, JobRow]:
    """Return the key and row of a job as earlier versions of this software wrote it."""
    spec = JobSpec(EARLIER_JOB, "q-phone", "phone", "text", (step,))
    return job_key(spec.queue, spec.id), JobRow(spec, progress)


@pytest.mark.parametrize("is_renamed", [False, True])
def test_finished_job_with_a_row_of_an_earlier_version_does_not_run_again(
    play, is_renamed
):
    async def day(fleet: JobFleet) -> None:
        step = Step(1, Resources(1_000, 1))
        fleet.store_job(*earlier_row(step, Progress(done={(0, 0): {0}})))
        # An entry that starts after the update finds the row.
        await fleet.add_entry("entry-9")
        await fleet.wait_until(lambda: fleet.entries["entry-9"].is_ready())
        if is_renamed:
            await rename(fleet, 2, phone="other")
        state = await fleet.job_state("entry-9", "phone", EARLIER_JOB)
        assert state == "completed"
        status = await fleet.submit("entry-9", "phone", EARLIER_JOB, phases(1))
        assert status == 200
        await asyncio.sleep(SETTLE_S)
        assert not fleet.checker.start_counts

    assert play(day, entries=1, workers=2).checker.violations == []


@pytest.mark.parametrize("is_renamed", [False, True])
def test_lasting_job_with_a_row_of_an_earlier_version_can_be_cancelled(
    play, is_renamed
):
    async def day(fleet: JobFleet) -> None:
        step = Step(2, Resources(1_000, 1), is_lasting=True)
        fleet.store_job(*earlier_row(step, Progress()))
        await fleet.add_entry("entry-9")
        await fleet.wait_until(lambda: len(fleet.checker.start_counts) == 2)
        if is_renamed:
            await rename(fleet, 2, phone="other")
        path = f"{queue_path_prefix('phone')}{EARLIER_JOB}"
        status, _ = await fleet.call("entry-9", "DELETE", path)
        assert status == 200
        await asyncio.sleep(SETTLE_S)
        assert not any(worker.runs for worker in fleet.workers.values())

    assert play(day, entries=1, workers=2).checker.violations == []
