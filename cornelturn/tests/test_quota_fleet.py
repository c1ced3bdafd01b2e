"""Tests the cap of an organisation in a fleet of entries, by what workers run."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import pytest

from cornelturn.jobs.model import Resources
from cornelturn.model.organisations import Organisation
from cornelturn.ownership.duties import QUOTA_DUTY
from cornelturn.platform import ingress
from cornelturn.platform.documents import decode_job_body
from cornelturn.platform.standin.documents import job_id, phases
from cornelturn.tests.job_fleet import JobFleet
from cornelturn.tests.test_duty_spread import holder

CAP = 6
"""Cap in cores; each task needs one, and each pool has 16."""

ORGANISATION = "org"


@dataclass
class CapWatch:
    """Sets the cap at all entries and watches what runs in all pools."""

    fleet: JobFleet
    cap: int = CAP
    version: int = 1
    highest: int = 0
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def running(self, pool: str = "") -> int:
        """Return the number of runs in a pool, or in all of them."""
        return sum(
            len(worker.runs)
            for worker in self.fleet.workers.values()
            if pool in ("", worker.service)
        )

    def set_cap(self, cap: int) -> None:
        """Publish another cap; entries take it up at once."""
        self.cap, self.version = cap, self.version + 1

    async def watch(self) -> None:
        """Keep the cap set and record the highest number of runs."""
        while True:
            for entry in self.fleet.entries.values():
                table = entry.operator_watch.current
                if table is not None and table.version < self.version + 1:
                    cap = Resources(self.cap * 1_000)
                    entry.operator_watch.current = replace(
                        table,
                        version=self.version + 1,
                        organisations=(Organisation(ORGANISATION, cap=cap),),
                    )
            self.highest = max(self.highest, self.running())
            await asyncio.sleep(0.02)

    def broker(self) -> str:
        """Return the entry that holds the duty of the broker."""
        return holder(self.fleet, QUOTA_DUTY)

    async def start(self) -> None:
        """Start to watch, and wait for the broker to know all pools."""
        self.tasks.add(asyncio.create_task(self.watch()))
        await self.wait_for_broker()

    async def wait_for_broker(self, limit_s: float = 20.0) -> None:
        """Wait until an entry that is alive is the broker and all pools reported."""

        def is_open() -> bool:
            entry = self.fleet.entries.get(self.broker())
            broker = entry.duties.quota.owner if entry is not None else None
            return broker is not None and broker.ledger.is_open

        await self.fleet.wait_until(is_open, limit_s)

    async def submit(self, pool: str, job: int, count: int) -> None:
        """Submit a job of the organisation."""
        entry = next(iter(self.fleet.entries))
        steps = phases(count)
        assert await self.fleet.submit(entry, pool, job_id(job), steps) == 200

    async def wait_for_runs(self, pool: str, count: int, limit_s: float = 1.0) -> None:
        """Wait until a number of tasks run in a pool."""
        await self.fleet.wait_until(lambda: self.running(pool) == count, limit_s)


Script = Callable[[CapWatch], object]


@pytest.fixture
def play_capped(play, monkeypatch) -> Callable[..., None]:
    """Return a function that plays a script with jobs of one capped organisation.

    The runs of all pools must stay within the cap plus one task.
    """

    def decode(*args: object) -> object:
        return decode_job_body(*args).map(
            lambda spec: replace(spec, organisation=ORGANISATION)
        )

    monkeypatch.setattr(ingress, "decode_job_body", decode)

    def run(script: Script, **sizes: int) -> None:
        highest: list[int] = []

        async def scenario(fleet: JobFleet) -> None:
            watch = CapWatch(fleet)
            await watch.start()
            try:
                await script(watch)
            finally:
                for task in watch.tasks:
                    task.cancel()
                highest.append(watch.highest)

        play(scenario, **sizes)
        assert highest[0] <= CAP + 1

    return run


def test_demand_in_one_pool_only_reaches_the_cap_within_a_second(play_capped):
    async def script(watch: CapWatch) -> None:
        await watch.submit("phone", 1, 200)
        await watch.wait_for_runs("phone", CAP)
        await asyncio.sleep(2)
        assert watch.running() >= CAP - 1

    play_capped(script)


def test_allotments_follow_demand_that_moves_from_pool_to_pool(play_capped):
    async def script(watch: CapWatch) -> None:
        for number in range(4):
            pool = ("phone", "mail")[number % 2]
            await watch.submit(pool, number, 60)
            await watch.wait_for_runs(pool, CAP)
            await asyncio.sleep(4)

    play_capped(script)


def test_pool_with_new_demand_gets_its_part_of_a_cap_that_is_used_up(play_capped):
    async def script(watch: CapWatch) -> None:
        await watch.submit("phone", 1, 400)
        await watch.wait_for_runs("phone", CAP)
        await watch.submit("mail", 2, 400)
        await watch.wait_for_runs("mail", CAP // 2, 2)
        await asyncio.sleep(1)
        assert watch.running("mail") >= CAP // 2 - 1

    play_capped(script)


def test_owners_go_on_without_a_broker_and_obey_the_next_one(play_capped):
    async def script(watch: CapWatch) -> None:
        fleet = watch.fleet
        await watch.submit("phone", 1, 200)
        await watch.wait_for_runs("phone", CAP)
        assert watch.broker() not in fleet.owners().values()
        fleet.kill_entry(watch.broker())
        await asyncio.sleep(1)
        assert watch.running("phone") >= CAP - 1
        await watch.wait_for_broker()
        await watch.submit("mail", 2, 100)
        await watch.wait_for_runs("mail", CAP // 2, 2)

    play_capped(script, entries=5)


def test_resumed_broker_grants_nothing(play_capped):
    async def script(watch: CapWatch) -> None:
        fleet, paused = watch.fleet, watch.broker()
        assert paused not in fleet.owners().values()
        await watch.submit("phone", 1, 400)
        await watch.wait_for_runs("phone", CAP)
        fleet.pause_entry(paused)
        await fleet.wait_until(lambda: watch.broker() != paused)
        await watch.wait_for_broker()
        await watch.submit("mail", 2, 400)
        fleet.resume_entry(paused)
        await watch.wait_for_runs("mail", CAP // 2, 3)
        await asyncio.sleep(3)

    play_capped(script, entries=5)


def test_runs_of_a_lost_owner_count_for_the_other_pool(play_capped):
    async def script(watch: CapWatch) -> None:
        fleet = watch.fleet
        fleet.run_ms = 20_000
        await watch.submit("phone", 1, 50)
        await watch.wait_for_runs("phone", CAP)
        fleet.kill_entry(fleet.owners()["phone"])
        await watch.submit("mail", 2, 50)
        await asyncio.sleep(15)
        assert watch.running("mail") <= 1

    play_capped(script, entries=5)


def test_lowered_cap_starts_nothing_and_raised_one_starts_at_once(play_capped):
    async def script(watch: CapWatch) -> None:
        fleet = watch.fleet
        fleet.run_ms = 5_000
        await watch.submit("phone", 1, 100)
        await watch.wait_for_runs("phone", CAP)
        watch.set_cap(2)
        await asyncio.sleep(1)
        assert watch.running() == CAP
        await asyncio.sleep(7)
        assert watch.running() == 2
        watch.set_cap(CAP)
        await watch.wait_for_runs("phone", CAP, 2)

    play_capped(script)


def test_fleet_without_caps_has_no_broker_and_no_report(play):
    async def scenario(fleet: JobFleet) -> None:
        assert await fleet.submit("entry-0", "phone", job_id(1), phases(20)) == 200
        await fleet.wait_for_state("phone", job_id(1), "completed")
        assert holder(fleet, QUOTA_DUTY) == ""
        for entry in fleet.entries.values():
            for owned in entry.duties.owned_pools.values():
                assert owned.owner.quota_reporter.number == 0

    play(scenario)


def test_broker_and_owner_killed_together_leave_the_cap_intact(play_capped):
    """Neither the next broker nor the next owner knows what the others allotted."""

    async def script(watch: CapWatch) -> None:
        fleet = watch.fleet
        fleet.run_ms = 6_000
        await watch.submit("phone", 1, 60)
        await watch.wait_for_runs("phone", CAP)
        await watch.submit("mail", 2, 60)
        for name in {watch.broker(), fleet.owners()["phone"]}:
            fleet.kill_entry(name)
        await watch.wait_for_broker()
        await asyncio.sleep(20)
        assert watch.running("phone") >= 1
        assert watch.running("mail") >= 1
        assert watch.running() >= CAP - 1

    play_capped(script, entries=5)


def test_cut_off_worker_counts_until_its_leases_have_lapsed(play_capped):
    async def script(watch: CapWatch) -> None:
        fleet = watch.fleet
        fleet.run_ms = 30_000
        await watch.submit("phone", 1, 60)
        await watch.wait_for_runs("phone", CAP)
        busiest = max(
            ("phone-0", "phone-1"), key=lambda name: len(fleet.workers[name].runs)
        )
        fleet.isolate_worker(busiest)
        fleet.kill_entry(fleet.owners()["phone"])
        await watch.submit("mail", 2, 60)
        await asyncio.sleep(20)
        assert watch.running() == CAP

    play_capped(script, entries=5)


@pytest.mark.parametrize("entries", [1, 2])
def test_few_entries_hold_the_broker_and_the_pools(play_capped, entries):
    async def script(watch: CapWatch) -> None:
        await watch.submit("phone", 1, 100)
        await watch.wait_for_runs("phone", CAP)
        if entries > 1:
            watch.fleet.kill_entry(watch.broker())
            await watch.wait_for_broker()
            await watch.submit("mail", 2, 60)
            await watch.wait_for_runs("mail", CAP // 2, 12)

    play_capped(script, entries=entries)


@pytest.mark.parametrize("kill", ["phone", "mail"])
def test_owner_killed_while_allotments_move(play_capped, kill):
    async def script(watch: CapWatch) -> None:
        fleet = watch.fleet
        for number in range(6):
            pool = ("phone", "mail")[number % 2]
            await watch.submit(pool, number, 40)
            await asyncio.sleep(0.3)
            if number == 3:
                fleet.kill_entry(fleet.owners()[kill])
        await asyncio.sleep(20)
        assert watch.running() == 0

    play_capped(script, entries=5)
