"""Refusals by entries of a fleet, and what happens when the owner of a pool is lost."""

from __future__ import annotations

from collections import Counter

import msgspec

from cornelturn.admission.pool_knowledge import MAX_REPORT_AGE_MS
from cornelturn.jobs.rows import job_key, part_of
from cornelturn.platform.documents import decode_job_body
from cornelturn.platform.standin.documents import (
    configuration,
    id_of_queue,
    job_id,
    phases,
)
from cornelturn.tests.job_fleet import JobFleet
from cornelturn.tests.test_organisations import adopt, keyed_configuration

KEY = "key-of-a"
JOBS = 120
SIZES = {"entries": 2, "workers": 2}


async def submit(fleet: JobFleet, entry: str, number: int, key: str) -> int:
    """Submit a job of 8 tasks and return the status."""
    job = job_id(number)
    body = msgspec.json.encode({"spec": "text", "phases": phases(8)})
    spec = decode_job_body(body, job, "q-phone", "phone").unwrap()
    fleet.checker.jobs[job] = spec
    path = f"/phone/{job}"
    status, _ = await fleet.call(entry, "POST", path, body, key=key)
    return status


async def flood(fleet: JobFleet, key: str, first: int = 0) -> dict[str, int]:
    """Submit many more jobs than the pool can serve; return the status of each."""
    entries = list(fleet.entries)
    return {
        job_id(number): await submit(fleet, entries[number % len(entries)], number, key)
        for number in range(first, first + JOBS)
    }


def is_stored(fleet: JobFleet, job: str) -> bool:
    part = part_of(job_key(id_of_queue("phone"), job)).removeprefix("jobs/")
    return fleet.store.read_value("jobs", job, part) is not None


async def wait_for_reports(fleet: JobFleet) -> None:
    await fleet.wait_until(
        lambda: all(
            "phone" in entry.service.admission.pools for entry in fleet.entries.values()
        )
    )


def test_flood_is_refused_in_part_and_nothing_of_it_is_stored(play):
    # Guards against refused jobs that run, and accepted ones that are refused when
    # they are sent again.
    async def day(fleet: JobFleet) -> None:
        await adopt(fleet, keyed_configuration(2, KEY))
        await wait_for_reports(fleet)
        statuses = await flood(fleet, KEY)
        counts = Counter(statuses.values())
        assert set(counts) <= {200, 429, 503}
        assert counts[200] > 10
        assert counts[429] > 10
        for job, status in statuses.items():
            assert is_stored(fleet, job) is (status == 200)
        accepted = [int(job, 16) for job in statuses if statuses[job] == 200]
        for entry in fleet.entries:
            for number in accepted[-5:]:
                assert await submit(fleet, entry, number, KEY) == 200

    play(day, **SIZES)


def test_jobs_are_accepted_while_the_owner_of_their_pool_is_lost(play):
    # Guards against refusals by the last report of an owner that is gone.
    async def day(fleet: JobFleet) -> None:
        await adopt(fleet, keyed_configuration(2, KEY))
        await wait_for_reports(fleet)
        assert 429 in (await flood(fleet, KEY)).values()
        owner = fleet.owners()["phone"]
        fleet.kill_entry(owner)
        (entry,) = fleet.entries
        known = fleet.entries[entry].service.admission.pools["phone"]
        generation = known.generation
        await fleet.wait_until(lambda: known.age_ms(fleet.now_ms()) > MAX_REPORT_AGE_MS)
        assert await submit(fleet, entry, 1_000, KEY) == 200
        await fleet.wait_until(lambda: known.generation > generation)
        assert known.is_recent(fleet.now_ms())

    play(day, **SIZES)


def test_fleet_without_organisations_accepts_all(play):
    # Guards against changes for deployments that have no organisations.
    async def day(fleet: JobFleet) -> None:
        await adopt(fleet, configuration(2))
        assert set((await flood(fleet, "")).values()) == {200}
        for entry in fleet.entries.values():
            assert not entry.service.admission.pools
            assert all(
                received.counts.backlog is None
                for received in entry.service.counts.by_pool.values()
            )

    play(day, **SIZES)
