"""Pools of an entry that stops while the store refuses calls to some parts.

Guards against a pool that no entry runs because its release cannot be written, or
because its next owner cannot read some of its jobs.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

import pytest
from result import Err

from cornelturn.jobs.rows import JOBS_TABLE, job_key, queue_parts
from cornelturn.ownership.duties import decode_duty, duty_key, entry_key
from cornelturn.ownership.messages import HandOverDue
from cornelturn.platform.standin.documents import id_of_queue, job_id, phases
from cornelturn.store.port import RowStore
from cornelturn.store.rows import Operation, TableUnavailable
from cornelturn.tests.job_fleet import JobFleet, call_at_interval, wait_until_completed

OUTAGE_S = 4.0
"""Shorter than the grace period of an entry that is stopped."""

LONG_RUN_MS = 9_000
"""Longer than a takeover and the outage together."""

LEASE_OUTAGE_S = 6.0
"""Longer than an entry may act without a renewal of its lease."""

INTERVAL_S = 0.05
ON_TIME_S = 1.5
"""Five times the duration of a run."""

KILL_LIMIT_S = 2.5
FREEZE_LIMIT_S = 4.5
"""Longest time without a start after the owner of a pool was killed or frozen."""

SMALL_CORES = 0.2
"""So few that an entry with all duties has less load per core than one of these with
a single duty."""

SETTLE_S = 4.0
TAKEOVER_S = 1.5
ROW_POLL_S = 1.5
"""Entries read the rows once a second."""

REFUSED_JOB = job_id(1)
REFUSED_KEY = job_key(id_of_queue("phone"), REFUSED_JOB)


@dataclass
class Callers:
    """Clients that submit jobs while the store refuses some parts.

    Parameters
    ----------
    late : list of str
        Accepted jobs that were not completed in time.
    """

    fleet: JobFleet
    number: int = 1_000
    accepted: list[str] = field(default_factory=list)
    late: list[str] = field(default_factory=list)

    async def call_for(self, seconds: float) -> None:
        """Submit jobs at a steady rate and note those that are completed late."""
        await call_at_interval(self._submit, INTERVAL_S, seconds)

    async def _submit(self) -> None:
        self.number += 1
        job = job_id(self.number)
        front = next(iter(self.fleet.entries))
        if await self.fleet.submit(front, "phone", job, phases(1)) != 200:
            return
        self.accepted.append(job)
        await asyncio.sleep(ON_TIME_S)
        if await self.fleet.job_state(front, "phone", job) != "completed":
            self.late.append(job)


@dataclass
class DelayedTakeoverStore:
    """Store that applies the write of a pool's duty row long after it was sent."""

    store: RowStore
    operations: tuple[Operation, ...] = ()
    is_applied: bool = False

    def __getattr__(self, name: str):
        return getattr(self.store, name)

    async def commit(self, *operations: Operation):
        if self.is_applied or operations[0].key != duty_key("phone"):
            return await self.store.commit(*operations)
        self.operations = operations
        return Err(TableUnavailable("no answer in time"))

    async def apply(self) -> None:
        """Apply the delayed write."""
        self.is_applied = True
        assert (await self.store.commit(*self.operations)).is_ok()


@dataclass
class StuckHandOverStore:
    """Store that accepts writes of a pool's duty row, except those without a holder."""

    store: RowStore
    is_stuck: bool = True
    refusals: int = 0

    def __getattr__(self, name: str):
        return getattr(self.store, name)

    async def commit(self, *operations: Operation):
        (first, *_) = operations
        is_duty = first.key == duty_key("phone")
        is_release = is_duty and not decode_duty(first.value).unwrap().holder
        if not self.is_stuck or not is_release:
            return await self.store.commit(*operations)
        self.refusals += 1
        return Err(TableUnavailable("status 503", is_in_doubt=False))


async def row_holder(store: RowStore) -> str:
    """Return the holder in the duty row of the pool."""
    row = (await store.read(duty_key("phone"))).unwrap()
    return decode_duty(row.value).unwrap().holder


def rotated(fleet: JobFleet, last: str) -> list[str]:
    """Return the names of the entries, an entry that callers avoid last."""
    return sorted(fleet.entries, key=lambda name: (name == last, name))


def part_of(key: str) -> tuple[str, str]:
    """Return the table and part of a key."""
    table, part, _ = key.split("/", 2)
    return table, part


def assert_on_time_and_run_once(fleet: JobFleet, callers: Callers) -> None:
    """Fail if an accepted job was late or ran twice."""
    assert callers.accepted
    assert callers.late == []
    assert set(fleet.checker.start_counts.values()) == {1}


async def stop_owner(fleet: JobFleet, callers: Callers) -> None:
    """Stop the owner of a pool under load, and end the outage before it has stopped."""
    leaving = fleet.entries.pop(fleet.owners()["phone"])
    stopping = asyncio.create_task(leaving.stop())
    await callers.call_for(OUTAGE_S - ON_TIME_S)
    fleet.store.unavailable_parts.clear()
    fleet.store.slow_parts.clear()
    await stopping
    await wait_until_completed(fleet, callers.accepted)


@pytest.mark.parametrize("outage", ["unavailable_parts", "slow_parts"])
def test_pool_keeps_running_while_its_release_cannot_be_written(play, outage):
    callers = []

    async def scenario(fleet: JobFleet) -> None:
        callers.append(Callers(fleet))
        setattr(fleet.store, outage, {part_of(duty_key("phone"))})
        await stop_owner(fleet, callers[0])

    fleet = play(scenario, entries=4, workers=4)
    assert_on_time_and_run_once(fleet, callers[0])


def test_pool_keeps_running_while_no_successor_could_read_its_jobs(play):
    callers = []

    async def scenario(fleet: JobFleet) -> None:
        callers.append(Callers(fleet))
        front = next(iter(fleet.entries))
        assert await fleet.submit(front, "phone", REFUSED_JOB, phases(1)) == 200
        fleet.store.unavailable_parts = {part_of(REFUSED_KEY)}
        await asyncio.sleep(1)
        await stop_owner(fleet, callers[0])
        await wait_until_completed(fleet, [REFUSED_JOB])

    fleet = play(scenario, entries=4, workers=4)
    assert_on_time_and_run_once(fleet, callers[0])


def test_other_duties_of_an_entry_that_keeps_a_pool_are_handed_over(play):
    async def scenario(fleet: JobFleet) -> None:
        fleet.processor = SMALL_CORES
        for name in ("small-0", "small-1"):
            await fleet.add_entry(name)
        await asyncio.sleep(SETTLE_S)
        assert set(fleet.owners().values()) == {"entry-0"}
        fleet.store.unavailable_parts = {part_of(duty_key("phone"))}
        stopping = asyncio.create_task(fleet.entries.pop("entry-0").stop())
        await fleet.wait_until(lambda: "mail" in fleet.owners(), TAKEOVER_S)
        assert "phone" not in fleet.owners()
        fleet.store.unavailable_parts.clear()
        await stopping

    play(scenario, entries=1)


def test_pool_keeps_running_though_its_new_owner_cannot_read_some_parts(play):
    callers = []

    async def scenario(fleet: JobFleet) -> None:
        callers.append(Callers(fleet))
        front = next(iter(fleet.entries))
        assert await fleet.submit(front, "phone", REFUSED_JOB, phases(1)) == 200
        await wait_until_completed(fleet, [REFUSED_JOB])
        fleet.store.unavailable_parts = {part_of(REFUSED_KEY)}
        await stop_owner(fleet, callers[0])

    fleet = play(scenario, entries=4, workers=4)
    assert_on_time_and_run_once(fleet, callers[0])


def test_run_of_an_unreadable_job_continues_beside_new_ones(play):
    callers = []

    async def scenario(fleet: JobFleet) -> None:
        callers.append(Callers(fleet))
        killed = fleet.owners()["phone"]
        run_ms, fleet.run_ms = fleet.run_ms, LONG_RUN_MS
        front = next(name for name in fleet.entries if name != killed)
        assert await fleet.submit(front, "phone", REFUSED_JOB, phases(4)) == 200
        await fleet.wait_until(lambda: len(fleet.checker.start_counts) == 4)
        fleet.run_ms = run_ms
        fleet.store.unavailable_parts = {part_of(REFUSED_KEY)}
        fleet.kill_entry(killed)
        await fleet.wait_until(lambda: "phone" in fleet.owners())
        await callers[0].call_for(OUTAGE_S - ON_TIME_S)
        fleet.store.unavailable_parts.clear()
        await wait_until_completed(fleet, [REFUSED_JOB, *callers[0].accepted])

    fleet = play(scenario, entries=4, workers=6)
    assert callers[0].accepted
    assert set(fleet.checker.start_counts.values()) == {1}


@pytest.mark.parametrize(
    ("stop_acting", "limit_s"),
    [(JobFleet.kill_entry, KILL_LIMIT_S), (JobFleet.pause_entry, FREEZE_LIMIT_S)],
)
def test_lost_pool_resumes_soon_though_half_of_its_parts_cannot_be_read(
    play, stop_acting, limit_s
):
    async def scenario(fleet: JobFleet) -> None:
        callers = Callers(fleet)
        calling = asyncio.create_task(callers.call_for(1.0))
        await calling
        refused_parts = queue_parts(id_of_queue("phone"))[::2]
        fleet.store.unavailable_parts = {(JOBS_TABLE, part) for part in refused_parts}
        lost = fleet.owners()["phone"]
        fleet.entries = {name: fleet.entries[name] for name in rotated(fleet, lost)}
        stop_acting(fleet, lost)
        started = set(fleet.checker.start_counts)
        calling = asyncio.create_task(callers.call_for(limit_s))
        await fleet.wait_until(
            lambda: set(fleet.checker.start_counts) - started, limit_s
        )
        await calling

    play(scenario, entries=4, workers=4)


def test_pool_keeps_running_while_the_store_refuses_the_lease_of_its_owner(play):
    callers = []

    async def scenario(fleet: JobFleet) -> None:
        callers.append(Callers(fleet))
        owner = fleet.owners()["phone"]
        fleet.store.unavailable_parts = {part_of(entry_key(owner))}
        calling = asyncio.create_task(callers[0].call_for(LEASE_OUTAGE_S + ON_TIME_S))
        await asyncio.sleep(LEASE_OUTAGE_S)
        fleet.store.unavailable_parts.clear()
        await calling
        await wait_until_completed(fleet, callers[0].accepted)

    fleet = play(scenario, entries=4, workers=4)
    assert_on_time_and_run_once(fleet, callers[0])


def test_takeover_write_applied_during_a_stop_starts_no_owner(play):
    async def scenario(fleet: JobFleet) -> None:
        killed = fleet.owners()["phone"]
        (name,) = set(fleet.entries) - {killed}
        leaving = fleet.entries[name]
        leaving.keeper.duty_rows.store = delayed = DelayedTakeoverStore(
            leaving.keeper.store
        )
        fleet.kill_entry(killed)
        await fleet.wait_until(lambda: delayed.operations)
        kept_pool = next(iter(leaving.duties.owned_pools))
        fleet.store.unavailable_parts = {part_of(duty_key(kept_pool))}
        stopping = asyncio.create_task(fleet.entries.pop(name).stop())
        await fleet.wait_until(lambda: leaving.duties.is_releasing)
        await delayed.apply()
        assert await row_holder(delayed) == name
        await asyncio.sleep(ROW_POLL_S)
        assert kept_pool in leaving.duties.owned_pools
        assert "phone" not in leaving.duties.owned_pools
        assert await row_holder(delayed) == ""
        fleet.store.unavailable_parts.clear()
        await stopping

    play(scenario, entries=2)


def test_stuck_hand_over_does_not_block_the_release_of_other_pools(play):
    async def scenario(fleet: JobFleet) -> None:
        fleet.processor = SMALL_CORES
        for name in ("small-0", "small-1"):
            await fleet.add_entry(name)
        await asyncio.sleep(SETTLE_S)
        assert set(fleet.owners().values()) == {"entry-0"}
        leaving = fleet.entries.pop("entry-0")
        leaving.keeper.duty_rows.store = stuck = StuckHandOverStore(
            leaving.keeper.store
        )
        leaving.duties.handle_event(HandOverDue("phone"))
        await fleet.wait_until(lambda: stuck.refusals)
        stopping = asyncio.create_task(leaving.stop())
        await fleet.wait_until(lambda: "mail" in fleet.owners(), TAKEOVER_S)
        assert "phone" not in fleet.owners()
        stuck.is_stuck = False
        await stopping

    play(scenario, entries=1)
