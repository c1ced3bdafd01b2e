"""Simulated days of 43 entries and five pools with faults, monitored for stalls."""

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
"""Number of workers of each pool."""

RUN_MS = 900
JOBS = 40
LOAD_S = 16.0
LASTING_JOBS = 5
ROLL_BATCH_SIZE = 4
"""Number of entries that a rolling restart stops together."""

DELISTING_DELAY_S = 3.0
"""How long a lost worker stays on the list of servers."""

CHECK_INTERVAL_S = 0.2
MAX_STALL_MS = 3_000
"""How long work may stall although its pool has free workers."""

MAX_LASTING_PAUSE_MS = 6_000
"""Time for which a lasting task may pause after a run; `MAX_STALL_MS` is added."""

RECOVERY_MS = 4_000
"""Time to recover after the last fault, before stalls of lasting tasks count."""

FINISH_GRACE_S = 14.0
"""Time after the load and the faults before stalls of jobs count as violations."""

END_LIMIT_S = 60.0


@dataclass(frozen=True)
class Trouble:
    """A fault that is injected on a simulated day.

    Parameters
    ----------
    start_s, duration_s : float
        When it begins, and how long it lasts if it ends.
    kind : str
        What happens: one of `KINDS`.
    share : float
        Share of the machines affected, for the kinds that take one.
    """

    start_s: float
    duration_s: float
    kind: str
    share: float = 0.2


KINDS = (
    "freeze_owners",
    "cut_store",
    "cut_all",
    "kill_owners",
    "kill_most",
    "kill_all",
    "rolling_restart",
    "isolate_workers",
    "isolate_workers_kill_owner",
    "isolate_workers_freeze_owner",
    "crash_workers",
    "lose_workers",
    "lose_workers_lose_owner",
    "lose_owners",
    "delay_worker_starts",
    "store_busy",
    "store_silent",
    "store_answers_lost",
    "store_silent_workers_delisted",
    "store_parts_unavailable",
    "discard_history",
)


@dataclass(frozen=True)
class Stall:
    """Work that did not progress although its pool had free workers.

    Parameters
    ----------
    work : str
        Id of the job or of the lasting task.
    """

    work: str
    pool: str
    since_ms: int
    duration_ms: int


@dataclass(repr=False)
class ProgressMonitor:
    """Measures from outside the fleet how long accepted work is stalled.

    Parameters
    ----------
    accepted : dict
        Pool of each job that was accepted.
    fault_free_since_ms : int, optional
        Since when no trouble is active, None while one is.
    is_finishing : bool
        Whether stalls of jobs count as violations from now on.
    stalled_since_ms : dict
        Since when each job or lasting task is stalled.
    longest_stalls : dict
        The longest stall of each, whether or not it is a violation.
    """

    fleet: JobFleet
    accepted: dict[str, str] = field(default_factory=dict)
    fault_free_since_ms: int | None = 0
    is_finishing: bool = False
    finishing_since_ms: int = 0
    stalled_since_ms: dict[str, int] = field(default_factory=dict)
    last_run_ms: dict[TaskId, int] = field(default_factory=dict)
    longest_stalls: dict[str, Stall] = field(default_factory=dict)
    violations: dict[str, Stall] = field(default_factory=dict)

    async def run(self) -> None:
        """Check all jobs periodically until cancelled."""
        while True:
            self.check()
            await asyncio.sleep(CHECK_INTERVAL_S)

    def check(self) -> None:
        """Check all accepted jobs once."""
        now_ms = self.fleet.now_ms()
        for job, pool in self.accepted.items():
            spec = self.fleet.checker.jobs[job]
            if spec.steps[0].is_lasting:
                self._check_lasting_job(spec, pool, now_ms)
            else:
                self._check_job(spec, pool, now_ms)

    def _check_job(self, spec: JobSpec, pool: str, now_ms: int) -> None:
        waiting = [
            task for task in self._unfinished_tasks(spec) if not self._is_running(task)
        ]
        tasks = self._tasks(spec)
        is_stalled = bool(waiting) and not any(self._is_running(task) for task in tasks)
        start_ms = self._track_stall(
            spec.id, pool, is_stalled and self._has_free_workers(pool), now_ms
        )
        if start_ms is None or not self.is_finishing:
            return
        since_ms = max(start_ms, self.finishing_since_ms)
        if now_ms - since_ms > MAX_STALL_MS:
            self._record_violation(spec.id, pool, start_ms, now_ms)

    def _check_lasting_job(self, spec: JobSpec, pool: str, now_ms: int) -> None:
        for task in self._tasks(spec):
            if self._is_running(task):
                self.last_run_ms[task] = now_ms
            is_stalled = not self._is_running(task) and self._has_free_workers(pool)
            start_ms = self._track_stall(str(task), pool, is_stalled, now_ms)
            if start_ms is None or self.fault_free_since_ms is None:
                continue
            since_ms = max(
                start_ms,
                self.fault_free_since_ms + RECOVERY_MS,
                self.last_run_ms.get(task, 0) + MAX_LASTING_PAUSE_MS,
            )
            if now_ms - since_ms > MAX_STALL_MS:
                self._record_violation(str(task), pool, start_ms, now_ms)

    def _track_stall(
        self, work: str, pool: str, is_stalled: bool, now_ms: int
    ) -> int | None:
        """Record whether work is stalled; return since when, None if it is not."""
        if not is_stalled:
            self.stalled_since_ms.pop(work, None)
            return None
        start_ms = self.stalled_since_ms.setdefault(work, now_ms)
        previous = self.longest_stalls.get(work)
        if previous is None or now_ms - start_ms > previous.duration_ms:
            self.longest_stalls[work] = Stall(work, pool, start_ms, now_ms - start_ms)
        return start_ms

    def _record_violation(
        self, work: str, pool: str, start_ms: int, now_ms: int
    ) -> None:
        self.violations[work] = Stall(work, pool, start_ms, now_ms - start_ms)

    def _tasks(self, spec: JobSpec) -> list[TaskId]:
        return [
            StepId(spec.id, 0, number).task(index)
            for number, step in enumerate(spec.steps)
            for index in range(step.count)
        ]

    def _unfinished_tasks(self, spec: JobSpec) -> list[TaskId]:
        """Return the uncompleted tasks of the first step that has any."""
        done = self.fleet.checker.completed
        open_tasks = []
        for number, step in enumerate(spec.steps):
            tasks = [
                StepId(spec.id, 0, number).task(index) for index in range(step.count)
            ]
            open_tasks += [task for task in tasks if task not in done]
            if open_tasks:
                break
        return open_tasks

    def _is_running(self, task: TaskId) -> bool:
        return bool(self.fleet.checker.workers_by_task.get(task))

    def _has_free_workers(self, pool: str) -> bool:
        """Return whether at least two healthy workers of a pool have free CPU."""
        workers = self.fleet.workers.values()
        free_workers = [
            worker
            for worker in workers
            if worker.service == pool and self._has_free_cpu(worker)
        ]
        return len(free_workers) > 1

    def _has_free_cpu(self, worker: WorkerStandin) -> bool:
        if (
            worker.has_crashed
            or worker.start_delay_ms
            or self.fleet.is_isolated(worker.name)
        ):
            return False
        used = sum(run.need.cpu for run in worker.runs.values())
        return used + 1_000 <= worker.capacity.cpu


@dataclass(repr=False)
class LargeDay:
    """One simulated day on a large fleet.

    Parameters
    ----------
    active_troubles : int
        Number of troubles in progress.
    """

    fleet: JobFleet
    rng: random.Random
    monitor: ProgressMonitor = field(init=False)
    active_troubles: int = 0

    def __post_init__(self) -> None:
        self.monitor = ProgressMonitor(self.fleet)

    async def play(self, troubles: list[Trouble]) -> None:
        """Run the load and the troubles, then wait until all accepted jobs are over."""
        await self.fleet.start(ENTRIES, WORKERS)
        monitoring = asyncio.create_task(self.monitor.run())
        injections = [
            asyncio.create_task(self._run_trouble(trouble)) for trouble in troubles
        ]
        await self._load()
        await asyncio.gather(*injections)
        finishing = asyncio.create_task(self._wait_until_all_over())
        await asyncio.wait({finishing}, timeout=FINISH_GRACE_S)
        self.monitor.is_finishing = True
        self.monitor.finishing_since_ms = self.fleet.now_ms()
        async with asyncio.timeout(END_LIMIT_S):
            await finishing
        monitoring.cancel()

    # Clients

    async def _load(self) -> None:
        """Submit all jobs, and wait until each client has an answer or gave up."""
        clients = []
        for number in range(JOBS):
            pool = LARGE_POOLS[number % len(LARGE_POOLS)]
            client = self._submit(job_id(number), pool, self._steps(number))
            clients.append(asyncio.create_task(client))
            await asyncio.sleep(LOAD_S / JOBS)
        await asyncio.gather(*clients)

    def _steps(self, number: int) -> list[dict[str, Any]]:
        if number < LASTING_JOBS:
            return phases(4, is_lasting=True, max_unavailable=1)
        return phases(3, 1)

    async def _submit(self, job: str, pool: str, steps: list[dict[str, Any]]) -> None:
        """Submit a job as clients do, retrying when there is no answer."""
        for _ in range(4):
            entry = self.any_entry()
            if entry is not None:
                try:
                    async with asyncio.timeout(3.0):
                        if await self.fleet.submit(entry, pool, job, steps) == 200:
                            self.monitor.accepted[job] = pool
                            return
                except (TimeoutError, ConnectionError):
                    pass
            await asyncio.sleep(0.5)

    async def _wait_until_all_over(self) -> None:
        for job, pool in self.monitor.accepted.items():
            await self._wait_until_over(job, pool)

    async def _wait_until_over(self, job: str, pool: str) -> None:
        spec = self.fleet.checker.jobs[job]
        while True:
            entry = self.any_entry()
            if entry is not None:
                state = await self.fleet.job_state(entry, pool, job)
                assert state not in ("410", "failed", "cancelled"), (job, state)
                if state == "completed" or self._is_lasting_job_running(spec):
                    return
            await asyncio.sleep(0.5)

    def _is_lasting_job_running(self, spec: JobSpec) -> bool:
        running = self.fleet.checker.workers_by_task
        step = StepId(spec.id, 0, 0)
        tasks = [step.task(index) for index in range(spec.steps[0].count)]
        return spec.steps[0].is_lasting and all(running.get(task) for task in tasks)

    def any_entry(self) -> str | None:
        """Return a random entry that serves callers, None if none does."""
        running = [
            name
            for name, entry in self.fleet.entries.items()
            if entry.callers_port and not self._is_frozen(name)
        ]
        return self.rng.choice(running) if running else None

    def _is_frozen(self, name: str) -> bool:
        return self.fleet.entries[name].label in self.fleet.network.loop.paused

    # Troubles

    async def _run_trouble(self, trouble: Trouble) -> None:
        await asyncio.sleep(trouble.start_s)
        self.active_troubles += 1
        self.monitor.fault_free_since_ms = None
        await self._inject(trouble)
        self.active_troubles -= 1
        if not self.active_troubles:
            self.monitor.fault_free_since_ms = self.fleet.now_ms()

    async def _inject(self, trouble: Trouble) -> None:
        match trouble.kind:
            case "freeze_owners":
                await self._freeze_owners(trouble)
            case "cut_store":
                await self._cut(
                    self._sample_entries(trouble.share), ["store"], trouble.duration_s
                )
            case "cut_all":
                others = [entry.label for entry in self.fleet.entries.values()]
                names = self._sample_entries(trouble.share)
                await self._cut(
                    names, ["store", "machines", *others], trouble.duration_s
                )
            case "kill_owners":
                await self._kill(
                    sorted(set(self.fleet.owners().values())), trouble.duration_s
                )
            case "kill_most":
                await self._kill(self._sample_entries(0.6), trouble.duration_s)
            case "kill_all":
                await self._kill(list(self.fleet.entries), trouble.duration_s)
            case "rolling_restart":
                await self._restart_in_batches(trouble.duration_s)
            case "isolate_workers":
                await self._isolate_workers(trouble)
            case "isolate_workers_kill_owner":
                isolating = asyncio.create_task(self._isolate_workers(trouble))
                await asyncio.sleep(0.2)
                await self._kill(self._active_owners()[:1], trouble.duration_s)
                await isolating
            case "isolate_workers_freeze_owner":
                isolating = asyncio.create_task(self._isolate_workers(trouble))
                await asyncio.sleep(0.2)
                await self._freeze(self._active_owners()[:1], trouble.duration_s)
                await isolating
            case "crash_workers":
                for name in self._sample_workers(trouble.share):
                    await self.fleet.restart_worker(name)
            case "lose_workers":
                await self._lose_workers(trouble.share)
            case "lose_workers_lose_owner":
                losing = asyncio.create_task(self._lose_workers(trouble.share))
                await asyncio.sleep(0.2)
                self._lose_owners(1)
                await losing
            case "lose_owners":
                self._lose_owners(2)
            case "delay_worker_starts":
                await self._delay_worker_starts(trouble)
            case "store_parts_unavailable":
                await self._refuse_parts(trouble)
            case "discard_history":
                self.fleet.store.discard_history()
            case _:
                await self._fail_store(trouble)

    async def _refuse_parts(self, trouble: Trouble) -> None:
        """Make some parts of the store's tables unavailable; the others are served."""
        store = self.fleet.store
        parts = {(table, part) for table, part, _ in store.rows if part}
        for pool in LARGE_POOLS:
            parts.update((JOBS_TABLE, part) for part in queue_parts(f"q-{pool}"))
        refused = self.rng.sample(sorted(parts), round(len(parts) * trouble.share))
        store.unavailable_parts.update(refused)
        await asyncio.sleep(trouble.duration_s)
        store.unavailable_parts.difference_update(refused)

    async def _freeze_owners(self, trouble: Trouble) -> None:
        """Freeze the owner of a pool, then its successor, three times in a row."""
        pool = self.rng.choice(LARGE_POOLS)
        freezing = []
        for _ in range(3):
            owner = self.fleet.owners().get(pool)
            if owner is not None and not self._is_frozen(owner):
                freezing.append(
                    asyncio.create_task(self._freeze([owner], trouble.duration_s))
                )
            await asyncio.sleep(trouble.duration_s)
        await asyncio.gather(*freezing)

    async def _freeze(self, names: list[str], duration_s: float) -> None:
        network = self.fleet.network
        labels = [self.fleet.entries[name].label for name in names]
        network.loop.paused.update(labels)
        await asyncio.sleep(duration_s)
        for label in labels:
            if label not in network.dead:
                network.loop.resume(label)

    async def _cut(
        self, names: list[str], others: list[str], duration_s: float
    ) -> None:
        entries = self.fleet.entries
        labels = [entries[name].label for name in names]
        pairs = {frozenset((label, other)) for label in labels for other in others}
        pairs = {pair for pair in pairs if len(pair) == 2}
        self.fleet.network.cut_pairs |= pairs
        await asyncio.sleep(duration_s)
        self.fleet.network.cut_pairs -= pairs

    async def _kill(self, names: list[str], duration_s: float) -> None:
        names = [name for name in names if name in self.fleet.entries]
        for name in names:
            self.fleet.kill_entry(name)
        await asyncio.sleep(duration_s)
        for name in names:
            await self._restart(name)

    async def _restart(self, name: str) -> None:
        """Start an entry again unless another trouble has done so already."""
        if name not in self.fleet.entries:
            await self.fleet.add_entry(name)

    async def _restart_in_batches(self, gap_s: float) -> None:
        """Stop and restart all entries in batches."""
        names = list(self.fleet.entries)
        stops = []
        for first in range(0, len(names), ROLL_BATCH_SIZE):
            for name in names[first : first + ROLL_BATCH_SIZE]:
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

    async def _isolate_workers(self, trouble: Trouble) -> None:
        names = self._sample_workers(trouble.share)
        for name in names:
            self.fleet.isolate_worker(name)
        await asyncio.sleep(trouble.duration_s)
        for name in names:
            self.fleet.reconnect_worker(name)

    async def _lose_workers(self, share: float) -> None:
        """Lose workers permanently: isolated and crashed at once, delisted later."""
        names = self._sample_workers(share)
        for name in names:
            self.fleet.isolate_worker(name)
            self.fleet.workers[name].crash()
        await asyncio.sleep(DELISTING_DELAY_S)
        for name in names:
            self.fleet.store.remove("servers", name)

    def _lose_owners(self, count: int) -> None:
        for name in list(dict.fromkeys(self._active_owners()))[:count]:
            self.fleet.kill_entry(name)

    async def _delay_worker_starts(self, trouble: Trouble) -> None:
        workers = [
            self.fleet.workers[name] for name in self._sample_workers(trouble.share)
        ]
        for worker in workers:
            worker.start_delay_ms = 3_000
        await asyncio.sleep(trouble.duration_s)
        for worker in workers:
            worker.start_delay_ms = 0

    async def _fail_store(self, trouble: Trouble) -> None:
        store = self.fleet.store
        store.lost_write_delay_ms = self.rng.choice((0, 2_000))
        store.fault = {
            "store_busy": StoreFault.BUSY,
            "store_silent": StoreFault.SILENT,
            "store_answers_lost": StoreFault.LOST_ANSWERS,
            "store_silent_workers_delisted": StoreFault.SILENT,
        }[trouble.kind]
        lapsed = (
            self._sample_workers(trouble.share)
            if trouble.kind == "store_silent_workers_delisted"
            else []
        )
        for name in lapsed:
            store.remove("servers", name)
        await asyncio.sleep(trouble.duration_s)
        store.fault = StoreFault.NONE
        await asyncio.sleep(1.0 if lapsed else 0.0)
        for name in lapsed:
            if not self.fleet.workers[name].has_crashed:
                store.put("servers", name, self.fleet.workers[name].row_value())

    def _active_owners(self) -> list[str]:
        return [
            owner
            for owner in self.fleet.owners().values()
            if not self._is_frozen(owner)
        ]

    def _sample_entries(self, share: float) -> list[str]:
        """Return a random share of the entries, with up to two owners among them."""
        owners = self._active_owners()
        names = [name for name in self.fleet.entries if name not in owners]
        count = max(1, round(share * len(self.fleet.entries)))
        chosen = self.rng.sample(names, min(len(names), count))
        sampled_owners = self.rng.sample(owners, min(len(owners), 2))
        return sorted({*sampled_owners, *chosen[: max(0, count - len(sampled_owners))]})

    def _sample_workers(self, share: float) -> list[str]:
        names = [
            name
            for name, worker in self.fleet.workers.items()
            if not worker.has_crashed
        ]
        return self.rng.sample(names, max(1, round(share * len(names))))


def play_large_day(troubles: list[Trouble], seed: int) -> LargeDay:
    """Simulate a day and return its final state."""
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
    """Fail if a rule was violated, or work stalled for too long."""
    violations, stalls = day.fleet.checker.violations, day.monitor.violations
    assert violations == []
    assert stalls == {}
