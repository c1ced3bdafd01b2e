"""What clients get while the store is unavailable to all entries or to one."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, field

import pytest

from cornelturn.platform.standin.documents import job_id, phases
from cornelturn.platform.standin.rows import StoreFault
from cornelturn.store.probing import PROBE_INTERVAL_S
from cornelturn.tests.job_fleet import (
    JobFleet,
    call_at_interval,
    submit_jobs,
    wait_until_completed,
)

CLIENTS_INTERVAL_S = 0.05

MAX_RESPONSE_MS = 700
"""A quarter of the latency objective of the clients' short jobs."""

CANCEL_S = 4.0
"""Time within which a cancelled job must stop."""

WRITE_DELAY_MS = 3_000
"""Delay after which the store carries out a write that it has not answered."""

FEED_READ_S = 3.0
"""Longer than a read of the change feed and the pause before the next one."""

REFUSAL_S = 4.0

STATES = {"queued", "running", "completed"}


@dataclass
class SubmittingClients:
    """Clients that submit jobs at one entry, and the results they got."""

    fleet: JobFleet
    entry: str
    number: int = 1_000
    statuses: Counter[int] = field(default_factory=Counter)
    longest_ms: int = 0
    accepted: list[str] = field(default_factory=list)

    async def run_for(self, seconds: float) -> None:
        """Submit jobs at a constant rate and wait for all responses."""
        await call_at_interval(self._submit, CLIENTS_INTERVAL_S, seconds)

    async def _submit(self) -> None:
        self.number += 1
        job = job_id(self.number)
        began_ms = self.fleet.now_ms()
        status = await self.fleet.submit(self.entry, "phone", job, phases(1))
        self.statuses[status] += 1
        self.longest_ms = max(self.longest_ms, self.fleet.now_ms() - began_ms)
        if status == 200:
            self.accepted.append(job)


async def run_clients(fleet: JobFleet, entry: str, seconds: float) -> SubmittingClients:
    """Submit jobs at one entry for some time and return the results."""
    clients = SubmittingClients(fleet, entry)
    await clients.run_for(seconds)
    return clients


def test_clients_do_not_wait_for_an_unresponsive_store(play):
    async def scenario(fleet: JobFleet) -> None:
        jobs = await submit_jobs(fleet, 3)
        fleet.store.fault = StoreFault.SILENT
        first = await run_clients(fleet, "entry-0", 1.0)
        assert set(first.statuses) <= {503, 504}
        assert first.longest_ms <= MAX_RESPONSE_MS
        later = await run_clients(fleet, "entry-0", 4.0)
        assert set(later.statuses) == {503}
        assert later.longest_ms < 20
        began_ms = fleet.now_ms()
        assert await fleet.job_state("entry-0", "phone", jobs[0]) == "503"
        path = f"/phone/{jobs[0]}"
        assert (await fleet.call("entry-0", "DELETE", path))[0] == 503
        assert (await fleet.call("entry-0", "GET", "/phone/"))[0] == 200
        assert fleet.now_ms() - began_ms < 40
        fleet.store.fault = StoreFault.NONE
        await asyncio.sleep(0.5)
        again = await run_clients(fleet, "entry-0", 1.0)
        assert set(again.statuses) == {200}
        await wait_until_completed(fleet, jobs + again.accepted)

    play(scenario)


@pytest.mark.parametrize("fault", [StoreFault.SILENT, StoreFault.BUSY])
def test_entry_is_ready_exactly_while_the_store_serves_it(play, fault):
    async def scenario(fleet: JobFleet) -> None:
        fleet.store.fault = fault
        clients = asyncio.create_task(run_clients(fleet, "entry-0", 4.0))
        await asyncio.sleep(0.7)
        assert not fleet.entries["entry-0"].is_ready()
        await asyncio.sleep(2.8)
        fleet.store.fault = StoreFault.NONE
        await asyncio.sleep(0.5)
        assert fleet.entries["entry-0"].is_ready()
        await clients

    play(scenario)


def test_lost_responses_do_not_delay_clients(play):
    async def scenario(fleet: JobFleet) -> None:
        fleet.store.fault = StoreFault.LOST_WRITES
        clients = await run_clients(fleet, "entry-0", 2.0)
        assert set(clients.statuses) == {200}
        assert clients.longest_ms <= MAX_RESPONSE_MS
        fleet.store.fault = StoreFault.NONE
        await wait_until_completed(fleet, clients.accepted)

    fleet = play(scenario)
    assert set(fleet.checker.start_counts.values()) == {1}


def test_entry_without_the_store_serves_clients_through_its_peers(play):
    async def scenario(fleet: JobFleet) -> None:
        isolated = fleet.entries["entry-0"].label
        fleet.network.cut_pairs.add(frozenset((isolated, "store")))
        first = await run_clients(fleet, "entry-0", 1.0)
        assert first.longest_ms <= MAX_RESPONSE_MS
        clients = await run_clients(fleet, "entry-0", 2.0)
        assert set(clients.statuses) == {200}
        assert clients.longest_ms < 50
        job = clients.accepted[0]
        assert await fleet.job_state("entry-0", "phone", job) in STATES
        assert await fleet.job_state("entry-0", "phone", job_id(99_999)) == "410"
        steps = phases(1, is_lasting=True)
        lasting = job_id(50_000)
        assert await fleet.submit("entry-0", "phone", lasting, steps) == 200
        path = f"/phone/{lasting}"
        assert (await fleet.call("entry-0", "DELETE", path))[0] == 200
        assert await fleet.job_state("entry-1", "phone", lasting) == "cancelled"
        assert not fleet.entries["entry-0"].is_ready()
        fleet.network.cut_pairs.clear()
        await wait_until_completed(fleet, first.accepted + clients.accepted)

    fleet = play(scenario)
    assert set(fleet.checker.start_counts.values()) == {1}


def test_cancel_at_an_entry_with_a_stale_owner_reaches_the_current_owner(play):
    async def scenario(fleet: JobFleet) -> None:
        steps = phases(2, is_lasting=True, max_unavailable=1)
        holder = fleet.owners()["phone"]
        front = next(
            entry for entry in fleet.entries if entry not in fleet.owners().values()
        )
        assert await fleet.submit(front, "phone", job_id(1), steps) == 200
        running = fleet.checker.workers_by_task
        await fleet.wait_until(lambda: sum(map(len, running.values())) == 2)
        for entry in (front, holder):
            fleet.disconnect_from_store(entry)
        await fleet.wait_until(
            lambda: fleet.owners().get("phone") not in (None, holder)
        )
        fleet.store.fault = StoreFault.SILENT_FEED
        await asyncio.sleep(FEED_READ_S)
        assert (await fleet.call(front, "DELETE", f"/phone/{job_id(1)}"))[0] == 200
        await fleet.wait_until(lambda: not any(running.values()), CANCEL_S)

    play(scenario, entries=4)


def test_owner_does_not_read_target_rows_from_a_refusing_store(play):
    async def scenario(fleet: JobFleet) -> None:
        jobs = await submit_jobs(fleet, 3)
        fleet.store.fault = StoreFault.BUSY
        fleet.isolate_worker("phone-0")
        await asyncio.sleep(1.0)
        fleet.store.transaction_counts.clear()
        await asyncio.sleep(REFUSAL_S)
        assert (
            fleet.store.transaction_counts["members", "duty"]
            < REFUSAL_S / PROBE_INTERVAL_S
        )
        fleet.store.fault = StoreFault.NONE
        fleet.reconnect_worker("phone-0")
        await wait_until_completed(fleet, jobs)

    play(scenario)


def test_job_cancelled_before_its_delayed_submission_is_stored_never_starts(play):
    async def scenario(fleet: JobFleet) -> None:
        fleet.run_ms = 20_000
        fleet.store.fault = StoreFault.LOST_WRITES
        fleet.store.lost_write_delay_ms = WRITE_DELAY_MS
        assert await fleet.submit("entry-0", "phone", job_id(1), phases(2)) == 504
        fleet.store.fault = StoreFault.NONE
        path = f"/phone/{job_id(1)}"
        assert (await fleet.call("entry-0", "DELETE", path))[0] == 410
        await asyncio.sleep(WRITE_DELAY_MS / 1_000 + CANCEL_S)
        assert not fleet.checker.start_counts
        assert await fleet.job_state("entry-1", "phone", job_id(1)) == "410"

    play(scenario)
