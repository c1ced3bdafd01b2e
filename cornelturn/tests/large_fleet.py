"""Days of a fleet of 43 entries and five pools, watched for work that stands still."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field
from typing import Any

import pytest

from cornelturn.jobs.model import JobSpec, StepId, TaskId
from cornelturn.jobs.rows import JOBS_TABLE, queue_parts
from cornelturn.platform.standin.rows import StoreFault
from cornelturn.platform.standin.worker import WorkerStandin
from cornelturn.tests.job_fleet import JobFleet, job_id, phases
from cornelturn.tests.network import FakeTimeLoop, Network

LARGE_POOLS = ("employment", "licensing", "references", "education", "backoffice")
LARGE_ENTRIES = 6
ENTRIES = 43
LARGE_CORES = 2.15
SMALL_CORES = 0.516
LARGE_LINK_BYTES_S = 12_500_000.0
SMALL_LINK_BYTES_S = 625_000.0
WORKERS = 8
"""Workers of each pool."""

RUN_MS = 900
JOBS = 40
LOAD_S = 16.0
LASTING_JOBS = 5
STOPPED_ENTRIES = 4
"""Entries that are stopped together."""

LISTED_S = 3.0
"""How long a worker that is lost stays on the list."""

TICK_S = 0.2
STANDSTILL_MS = 3_000
"""How long work may stand still although its pool has room."""

LASTING_PAUSE_MS = 6_000
"""How long after its last run a lasting task must be at work again at the latest."""

CONTACT_MS = 4_000
"""Time after trouble from which the bounds hold."""

FINISH_S = 14.0
"""Time after the end of the load in which what was held up must go on."""

END_S = 60.0


@dataclass(frozen=True)
class Trouble:
    """Something that happens on a day.

    Parameters
    ----------
    at_s, for_s : float
        When it begins, and how long it lasts where it ends.
    kind : str
        What happens.
    share : float
        Part of the machines that it happens to, where that can differ.
    """

    at_s: float
    for_s: float
    kind: str
    share: float = 0.2


KINDS = (
    "freeze_owners",
    "cut_store",
    "cut_all",
    "kill_owners",
    "kill_most",
    "kill_all",
    "roll_term",
    "dark_workers",
    "dark_workers_kill_owner",
    "dark_workers_freeze_owner",
    "crash_workers",
    "lose_workers",
    "lose_workers_lose_owner",
    "lose_owners",
    "late_workers",
    "store_busy",
    "store_silent",
    "store_lost",
    "store_lapse",
    "store_parts",
    "forget_history",
)


@dataclass(frozen=True)
class Standstill:
    """Work that stood still although its pool had room.

    Parameters
    ----------
    what : str
        The job, or its lasting task.
    """

    what: str
    pool: str
    since_ms: int
    for_ms: int


@dataclass(repr=False)
class Watch:
    """Sees from outside how long accepted work stands still.

    Parameters
    ----------
    accepted : dict
        Pool of each job that was accepted.
    calm_ms : int, optional
        Since when nothing is wrong, None while something is.
    is_finish : bool
        Whether jobs must go on from now on.
    still : dict
        Since when a job or a lasting task stands still.
    longest : dict
        The longest time that each stood still, at any time.
    """

    fleet: JobFleet
    accepted: dict[str, str] = field(default_factory=dict)
    calm_ms: int | None = 0
    is_finish: bool = False
    finish_ms: int = 0
    still: dict[str, int] = field(default_factory=dict)
    last_run_ms: dict[TaskId, int] = field(default_factory=dict)
    longest: dict[str, Standstill] = field(default_factory=dict)
    broken: dict[str, Standstill] = field(default_factory=dict)

    async def run(self) -> None:
        """Look for ever."""
        while True:
            self.look()
            await asyncio.sleep(TICK_S)

    def look(self) -> None:
        """Look at all accepted jobs once."""
        now_ms = self.fleet.now_ms()
        for job, pool in self.accepted.items():
            spec = self.fleet.checker.jobs[job]
            if spec.steps[0].is_lasting:
                self._look_at_lasting(spec, pool, now_ms)
            else:
                self._look_at_job(spec, pool, now_ms)

    def _look_at_job(self, spec: JobSpec, pool: str, now_ms: int) -> None:
        waiting = [task for task in self._open_tasks(spec) if not self._runs(task)]
        tasks = self._tasks(spec)
        is_still = bool(waiting) and not any(self._runs(task) for task in tasks)
        start_ms = self._note(spec.id, pool, is_still and self._room(pool), now_ms)
        if start_ms is None or not self.is_finish:
            return
        since_ms = max(start_ms, self.finish_ms)
        if now_ms - since_ms > STANDSTILL_MS:
            self._break(spec.id, pool, start_ms, now_ms)

    def _look_at_lasting(self, spec: JobSpec, pool: str, now_ms: int) -> None:
        for task in self._tasks(spec):
            if self._runs(task):
                self.last_run_ms[task] = now_ms
            has_room = not self._runs(task) and self._room(pool)
            start_ms = self._note(str(task), pool, has_room, now_ms)
            if start_ms is None or self.calm_ms is None:
                continue
            since_ms = max(
                start_ms,
                self.calm_ms + CONTACT_MS,
                self.last_run_ms.get(task, 0) + LASTING_PAUSE_MS,
            )
            if now_ms - since_ms > STANDSTILL_MS:
                self._break(str(task), pool, start_ms, now_ms)

    def _note(self, what: str, pool: str, is_still: bool, now_ms: int) -> int | None:
        """Note whether work stands still; return since when."""
        if not is_still:
            self.still.pop(what, None)
            return None
        start_ms = self.still.setdefault(what, now_ms)
        before = self.longest.get(what)
        if before is None or now_ms - start_ms > before.for_ms:
            self.longest[what] = Standstill(what, pool, start_ms, now_ms - start_ms)
        return start_ms

    def _break(self, what: str, pool: str, start_ms: int, now_ms: int) -> None:
        self.broken[what] = Standstill(what, pool, start_ms, now_ms - start_ms)

    def _tasks(self, spec: JobSpec) -> list[TaskId]:
        return [
            StepId(spec.id, 0, step).task(index)
            for step, one in enumerate(spec.steps)
            for index in range(one.count)
        ]

    def _open_tasks(self, spec: JobSpec) -> list[TaskId]:
        """Return the tasks whose turn has come and that have not ended well."""
        done = self.fleet.checker.completed
        open_tasks = []
        for step, one in enumerate(spec.steps):
            tasks = [StepId(spec.id, 0, step).task(index) for index in range(one.count)]
            open_tasks += [task for task in tasks if task not in done]
            if open_tasks:
                break
        return open_tasks

    def _runs(self, task: TaskId) -> bool:
        return bool(self.fleet.checker.workers_by_task.get(task))

    def _room(self, pool: str) -> bool:
        """Return whether two sound workers of a pool have room for more."""
        workers = self.fleet.workers.values()
        with_room = [one for one in workers if one.service == pool and self._free(one)]
        return len(with_room) > 1

    def _free(self, worker: WorkerStandin) -> bool:
        if (
            worker.has_crashed
            or worker.start_delay_ms
            or self.fleet.is_isolated(worker.name)
        ):
            return False
        used = sum(one.need.cpu for one in worker.runs.values())
        return used + 1_000 <= worker.capacity.cpu


@dataclass(repr=False)
class LargeDay:
    """One day on a large fleet.

    Parameters
    ----------
    troubles : int
        How many troubles go on now.
    """

    fleet: JobFleet
    rng: random.Random
    watch: Watch = field(init=False)
    troubles: int = 0

    def __post_init__(self) -> None:
        self.watch = Watch(self.fleet)

    async def play(self, troubles: list[Trouble]) -> None:
        """Play a day to its end, and wait until all that was accepted is over."""
        await self.fleet.start(ENTRIES, WORKERS)
        watching = asyncio.create_task(self.watch.run())
        happenings = [asyncio.create_task(self._meet(one)) for one in troubles]
        await self._load()
        await asyncio.gather(*happenings)
        ending = asyncio.create_task(self._all_over())
        await asyncio.wait({ending}, timeout=FINISH_S)
        self.watch.is_finish = True
        self.watch.finish_ms = self.fleet.now_ms()
        async with asyncio.timeout(END_S):
            await ending
        watching.cancel()

    # Clients

    async def _load(self) -> None:
        """Hand all jobs in, and wait until each client has an answer or gave up."""
        clients = []
        for number in range(JOBS):
            pool = LARGE_POOLS[number % len(LARGE_POOLS)]
            client = self._submit(job_id(number), pool, self._steps(number))
            clients.append(asyncio.create_task(client))
            await asyncio.sleep(LOAD_S / JOBS)
        await asyncio.gather(*clients)

    def _steps(self, number: int) -> list[dict[str, Any]]:
        if number < LASTING_JOBS:
            return phases(4, long_running=True, max_unavailable=1)
        return phases(3, 1)

    async def _submit(self, job: str, pool: str, steps: list[dict[str, Any]]) -> None:
        """Hand a job in, as clients do that repeat what was not answered."""
        for _ in range(4):
            entry = self.any_entry()
            if entry is not None:
                try:
                    async with asyncio.timeout(3.0):
                        if await self.fleet.submit(entry, pool, job, steps) == 200:
                            self.watch.accepted[job] = pool
                            return
                except (TimeoutError, ConnectionError):
                    pass
            await asyncio.sleep(0.5)

    async def _all_over(self) -> None:
        for job, pool in self.watch.accepted.items():
            await self._is_over(job, pool)

    async def _is_over(self, job: str, pool: str) -> None:
        spec = self.fleet.checker.jobs[job]
        while True:
            entry = self.any_entry()
            if entry is not None:
                state = await self.fleet.job_state(entry, pool, job)
                assert state not in ("410", "failed", "cancelled"), (job, state)
                if state == "completed" or self._lasts(spec):
                    return
            await asyncio.sleep(0.5)

    def _lasts(self, spec: JobSpec) -> bool:
        running = self.fleet.checker.workers_by_task
        step = StepId(spec.id, 0, 0)
        tasks = [step.task(index) for index in range(spec.steps[0].count)]
        return spec.steps[0].is_lasting and all(running.get(task) for task in tasks)

    def any_entry(self) -> str | None:
        """Return an entry that takes calls, None if none does."""
        running = [
            name
            for name, entry in self.fleet.entries.items()
            if entry.callers_port and not self._is_frozen(name)
        ]
        return self.rng.choice(running) if running else None

    def _is_frozen(self, name: str) -> bool:
        return self.fleet.entries[name].label in self.fleet.network.loop.paused

    # Troubles

    async def _meet(self, one: Trouble) -> None:
        await asyncio.sleep(one.at_s)
        self.troubles += 1
        self.watch.calm_ms = None
        await self._happen(one)
        self.troubles -= 1
        if not self.troubles:
            self.watch.calm_ms = self.fleet.now_ms()

    async def _happen(self, one: Trouble) -> None:
        match one.kind:
            case "freeze_owners":
                await self._freeze_owners(one)
            case "cut_store":
                await self._cut(self._some_entries(one.share), ["store"], one.for_s)
            case "cut_all":
                others = [entry.label for entry in self.fleet.entries.values()]
                names = self._some_entries(one.share)
                await self._cut(names, ["store", "machines", *others], one.for_s)
            case "kill_owners":
                await self._kill(sorted(set(self.fleet.owners().values())), one.for_s)
            case "kill_most":
                await self._kill(self._some_entries(0.6), one.for_s)
            case "kill_all":
                await self._kill(list(self.fleet.entries), one.for_s)
            case "roll_term":
                await self._roll(one.for_s)
            case "dark_workers":
                await self._darken(one)
            case "dark_workers_kill_owner":
                dark = asyncio.create_task(self._darken(one))
                await asyncio.sleep(0.2)
                await self._kill(self._owners()[:1], one.for_s)
                await dark
            case "dark_workers_freeze_owner":
                dark = asyncio.create_task(self._darken(one))
                await asyncio.sleep(0.2)
                await self._freeze(self._owners()[:1], one.for_s)
                await dark
            case "crash_workers":
                for name in self._some_workers(one.share):
                    await self.fleet.restart_worker(name)
            case "lose_workers":
                await self._lose_workers(one.share)
            case "lose_workers_lose_owner":
                losing = asyncio.create_task(self._lose_workers(one.share))
                await asyncio.sleep(0.2)
                self._lose_owners(1)
                await losing
            case "lose_owners":
                self._lose_owners(2)
            case "late_workers":
                await self._late(one)
            case "store_parts":
                await self._refuse_parts(one)
            case "forget_history":
                self.fleet.store.discard_history()
            case _:
                await self._fail_store(one)

    async def _refuse_parts(self, one: Trouble) -> None:
        """Have the store refuse some parts of its tables, and serve the others."""
        store = self.fleet.store
        parts = {(table, part) for table, part, _ in store.rows if part}
        for pool in LARGE_POOLS:
            parts.update((JOBS_TABLE, part) for part in queue_parts(f"q-{pool}"))
        refused = self.rng.sample(sorted(parts), round(len(parts) * one.share))
        store.unavailable_parts.update(refused)
        await asyncio.sleep(one.for_s)
        store.unavailable_parts.difference_update(refused)

    async def _freeze_owners(self, one: Trouble) -> None:
        """Freeze an owner, then the one that follows it, three times over."""
        pool = self.rng.choice(LARGE_POOLS)
        freezing = []
        for _ in range(3):
            owner = self.fleet.owners().get(pool)
            if owner is not None and not self._is_frozen(owner):
                freezing.append(asyncio.create_task(self._freeze([owner], one.for_s)))
            await asyncio.sleep(one.for_s)
        await asyncio.gather(*freezing)

    async def _freeze(self, names: list[str], for_s: float) -> None:
        network = self.fleet.network
        labels = [self.fleet.entries[name].label for name in names]
        network.loop.paused.update(labels)
        await asyncio.sleep(for_s)
        for label in labels:
            if label not in network.dead:
                network.loop.resume(label)

    async def _cut(self, names: list[str], others: list[str], for_s: float) -> None:
        entries = self.fleet.entries
        labels = [entries[name].label for name in names]
        pairs = {frozenset((one, two)) for one in labels for two in others}
        pairs = {pair for pair in pairs if len(pair) == 2}
        self.fleet.network.cut |= pairs
        await asyncio.sleep(for_s)
        self.fleet.network.cut -= pairs

    async def _kill(self, names: list[str], for_s: float) -> None:
        names = [name for name in names if name in self.fleet.entries]
        for name in names:
            self.fleet.kill_entry(name)
        await asyncio.sleep(for_s)
        for name in names:
            await self._restart(name)

    async def _restart(self, name: str) -> None:
        """Start an entry again unless another trouble has done so."""
        if name not in self.fleet.entries:
            await self.fleet.add_entry(name)

    async def _roll(self, gap_s: float) -> None:
        """Stop all entries and start them again, some at a time."""
        names = list(self.fleet.entries)
        stops = []
        for first in range(0, len(names), STOPPED_ENTRIES):
            for name in names[first : first + STOPPED_ENTRIES]:
                if name in self.fleet.entries and not self._is_frozen(name):
                    stops.append(asyncio.create_task(self._stop(name)))
            await asyncio.sleep(min(gap_s, 1.0))
        await asyncio.gather(*stops)

    async def _stop(self, name: str) -> None:
        leaving = self.fleet.entries.pop(name, None)
        if leaving is None:
            return
        await leaving.stop()
        self.fleet.network.kill(leaving.label)
        await self._restart(name)

    async def _darken(self, one: Trouble) -> None:
        names = self._some_workers(one.share)
        for name in names:
            self.fleet.isolate_worker(name)
        await asyncio.sleep(one.for_s)
        for name in names:
            self.fleet.reconnect_worker(name)

    async def _lose_workers(self, share: float) -> None:
        """Lose workers for good: they fall silent, and leave the list later."""
        names = self._some_workers(share)
        for name in names:
            self.fleet.isolate_worker(name)
            self.fleet.workers[name].crash()
        await asyncio.sleep(LISTED_S)
        for name in names:
            self.fleet.store.remove("servers", name)

    def _lose_owners(self, count: int) -> None:
        for name in list(dict.fromkeys(self._owners()))[:count]:
            self.fleet.kill_entry(name)

    async def _late(self, one: Trouble) -> None:
        workers = [self.fleet.workers[name] for name in self._some_workers(one.share)]
        for worker in workers:
            worker.start_delay_ms = 3_000
        await asyncio.sleep(one.for_s)
        for worker in workers:
            worker.start_delay_ms = 0

    async def _fail_store(self, one: Trouble) -> None:
        store = self.fleet.store
        store.lost_write_delay_ms = self.rng.choice((0, 2_000))
        store.fault = {
            "store_busy": StoreFault.BUSY,
            "store_silent": StoreFault.SILENT,
            "store_lost": StoreFault.LOST_ANSWERS,
            "store_lapse": StoreFault.SILENT,
        }[one.kind]
        lapsed = self._some_workers(one.share) if one.kind == "store_lapse" else []
        for name in lapsed:
            store.remove("servers", name)
        await asyncio.sleep(one.for_s)
        store.fault = StoreFault.NONE
        await asyncio.sleep(1.0 if lapsed else 0.0)
        for name in lapsed:
            if not self.fleet.workers[name].has_crashed:
                store.put("servers", name, self.fleet.workers[name].list_entry())

    def _owners(self) -> list[str]:
        return [one for one in self.fleet.owners().values() if not self._is_frozen(one)]

    def _some_entries(self, share: float) -> list[str]:
        """Return a part of the entries, owners first."""
        owners = self._owners()
        names = [name for name in self.fleet.entries if name not in owners]
        count = max(1, round(share * len(self.fleet.entries)))
        chosen = self.rng.sample(names, min(len(names), count))
        some_owners = self.rng.sample(owners, min(len(owners), 2))
        return sorted({*some_owners, *chosen[: max(0, count - len(some_owners))]})

    def _some_workers(self, share: float) -> list[str]:
        names = [
            name for name, one in self.fleet.workers.items() if not one.has_crashed
        ]
        return self.rng.sample(names, max(1, round(share * len(names))))


def play_large_day(troubles: list[Trouble], seed: int) -> LargeDay:
    """Play a day and return it as it ended."""
    runner = asyncio.Runner(loop_factory=FakeTimeLoop)
    with runner, pytest.MonkeyPatch.context() as monkeypatch:
        rng = random.Random(seed)
        network = Network(runner.get_loop(), rng)
        network.patch(monkeypatch)
        names = [f"entry-{number}" for number in range(ENTRIES)]
        large = set(names[:LARGE_ENTRIES])
        fleet = JobFleet(
            network,
            run_ms=RUN_MS,
            pools=LARGE_POOLS,
            processors={
                name: LARGE_CORES if name in large else SMALL_CORES for name in names
            },
            link_bytes_s={
                name: LARGE_LINK_BYTES_S if name in large else SMALL_LINK_BYTES_S
                for name in names
            },
        )
        day = LargeDay(fleet, rng)
        runner.run(_play_and_stop(day, troubles))
    return day


async def _play_and_stop(day: LargeDay, troubles: list[Trouble]) -> None:
    try:
        await day.play(troubles)
    finally:
        await day.fleet.stop()


def hold_to_the_rules(day: LargeDay) -> None:
    """Fail if a rule was broken, or work stood still for too long."""
    violations, broken = day.fleet.checker.violations, day.watch.broken
    assert violations == []
    assert broken == {}
