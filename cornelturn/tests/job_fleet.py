"""A fleet for tests: real entries and stand-ins of the platform in one event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

import msgspec
from blacksheep import Content, Request

from cornelturn.clock import NANOSECONDS_PER_MILLISECOND, Clock
from cornelturn.entry.job_process import JobEntry
from cornelturn.entry.job_settings import JobEntrySettings, TimeBounds
from cornelturn.jobs.model import Resources, Run
from cornelturn.jobs.rows import JobRow, encode_job
from cornelturn.platform.documents import decode_job_body
from cornelturn.platform.entry import platform_ports
from cornelturn.platform.standin.approvals import ApprovalsStandin
from cornelturn.platform.standin.documents import (
    HOST,
    POOLS,
    SPARE_POOL,
    configuration,
    job_id,
    phases,
    queue_path_prefix,
)
from cornelturn.platform.standin.machines import MachineRecord, MachinesStandin
from cornelturn.platform.standin.rows import StoreStandin
from cornelturn.platform.standin.rule_checker import RuleChecker
from cornelturn.platform.standin.worker import WorkerStandin
from cornelturn.platform.store import split_key
from cornelturn.tests.network import Network, owner_context

CAPACITY = Resources(8_000, 64_000, 0)
NANOSECONDS_PER_SECOND = 1_000 * NANOSECONDS_PER_MILLISECOND
HEARTBEAT_S = 1.0

COMPLETION_LIMIT_S = 40.0
"""Time limit of jobs: 12 s until a holder that may be alive is given up, 6 s until its
leases end, and two steps of 4 s."""


@dataclass(repr=False)
class JobFleet:
    """The stand-ins and the entries, each an owner of tasks in the loop of the network.

    Parameters
    ----------
    run_ms : int
        Duration of a run.
    processor : float
        Cores of the entries that are started from now on, unless ``processors`` has
        their name.
    processors, link_bytes_s : dict
        Cores of some entries, and the bytes per second that their links receive.
    starts : int
        Number of starts so far; makes the label of each start unique.
    interrupted_run_count : int
        Number of runs that orders for machines have ended.
    bounds : TimeBounds
        Durations and factors of the entries that are started from now on.
    approval_pools : frozenset of str
        Pools whose queues need approval.
    """

    network: Network
    run_ms: int = 300
    processor: float = 1.0
    pools: tuple[str, ...] = POOLS
    processors: dict[str, float] = field(default_factory=dict)
    link_bytes_s: dict[str, float] = field(default_factory=dict)
    store: StoreStandin = field(default_factory=StoreStandin)
    checker: RuleChecker = field(default_factory=RuleChecker)
    workers: dict[str, WorkerStandin] = field(default_factory=dict)
    entries: dict[str, JobEntry] = field(default_factory=dict)
    settings: dict[str, JobEntrySettings] = field(default_factory=dict)
    machines: MachinesStandin = field(init=False)
    approvals: ApprovalsStandin = field(init=False)
    approval_pools: frozenset[str] = frozenset()
    bounds: TimeBounds = field(default_factory=TimeBounds)
    approval_address: str = ""
    store_address: str = ""
    machines_address: str = ""
    starts: int = 0
    interrupted_run_count: int = 0

    async def start(self, entries: int = 3, workers: int = 2, spares: int = 0) -> None:
        """Start everything and wait until the entries are ready.

        Parameters
        ----------
        spares : int
            Number of machines that are switched off.
        """
        self.machines = MachinesStandin(self.remove_worker, self.replace_worker)
        self.store_address = await self._start_server("store", self.store.application())
        self.machines_address = await self._start_server(
            "machines", self.machines.application()
        )
        self.approvals = ApprovalsStandin(
            self.now_ms, lambda worker: self.workers[worker].born_ms
        )
        if self.approval_pools:
            self.approval_address = await self._start_server(
                "approvals", self.approvals.application()
            )
        self.machines.standby_pools = {SPARE_POOL}
        for number in range(spares):
            machine = MachineRecord(f"m-{SPARE_POOL}-{number}", SPARE_POOL, "")
            self.machines.machines[machine.name] = machine
        times = self.approvals.times
        self.store.put(
            "op", "config", configuration(1, self.pools, self.approval_pools, times)
        )
        for pool in self.pools:
            for number in range(workers):
                await self.add_worker(f"{pool}-{number}", pool)
        for number in range(entries):
            await self.add_entry(f"entry-{number}")
        await self.wait_until(
            lambda: all(entry.is_ready() for entry in self.entries.values())
        )
        await self.wait_until(lambda: len(self.owners()) == len(self.pools))
        # An owner starts no run on a target before the row of its duty lists it.
        if workers:
            await self.wait_until(
                lambda: all(self._has_schedulable_target(pool) for pool in self.pools)
            )

    async def add_worker(
        self, name: str, pool: str, machine: str = ""
    ) -> WorkerStandin:
        """Start a worker and add it to the list, by default on a new machine."""
        worker = WorkerStandin(
            name=name,
            service=pool,
            capacity=CAPACITY,
            checker=self.checker,
            born_ms=self.now_ms() + 1,
            run_duration_ms=self.run_duration_ms,
        )
        if pool in self.approval_pools:
            worker.is_ticket_valid = self.approvals.check_ticket
        self.starts += 1
        worker.label = f"{name}.{self.starts}"
        worker.address = await self._start_server(worker.label, worker.application())
        self.workers[name] = worker
        self.store.put("servers", name, worker.row_value())
        if not machine:
            record = MachineRecord(f"m-{name}", pool, name)
            self.machines.machines.setdefault(record.name, record)
        return worker

    async def add_entry(self, name: str) -> None:
        """Start an entry, or restart it."""
        settings = JobEntrySettings(
            name=name,
            data_centre="dc-1",
            inner_address="tcp://127.0.0.1:0",
            metrics_address="127.0.0.1:0",
            callers_address="127.0.0.1:0",
            ready_address="127.0.0.1:0",
            store_address=self.store_address,
            machines_address=self.machines_address,
            approval_address=self.approval_address,
            processor=self.processors.get(name, self.processor),
            bounds=self.bounds,
        )
        clock = Clock(lambda: round(self.network.loop.time() * NANOSECONDS_PER_SECOND))
        self.starts += 1
        entry = JobEntry(settings, platform_ports(settings), clock)
        self.entries[name] = entry
        if name in self.link_bytes_s:
            self.network.link_bytes_s[f"{name}.{self.starts}"] = self.link_bytes_s[name]
        # Each start is a separate owner, so that a killed process stays dead.
        await self._run_as(f"{name}.{self.starts}", entry.start())
        entry.label = f"{name}.{self.starts}"

    def kill_entry(self, name: str) -> None:
        """Kill the process of an entry without a shutdown."""
        self.network.kill(self.entries.pop(name).label)

    def pause_entry(self, name: str) -> None:
        """Suspend all tasks of an entry."""
        self.network.loop.paused.add(self.entries[name].label)

    def resume_entry(self, name: str) -> None:
        """Resume a paused entry."""
        self.network.loop.resume(self.entries[name].label)

    def is_paused(self, name: str) -> bool:
        """Return whether an entry is paused."""
        return self.entries[name].label in self.network.loop.paused

    def isolate_worker(self, worker: str) -> None:
        """Cut a worker off from the network while it keeps running."""
        url = f"http://{self.workers[worker].address}"
        self.network.servers[url].is_unreachable = True

    def is_isolated(self, worker: str) -> bool:
        """Return whether a worker is cut off from the network."""
        return self.network.servers[
            f"http://{self.workers[worker].address}"
        ].is_unreachable

    async def restart_worker(self, name: str) -> None:
        """Crash a worker and restart it under the same name, without its state."""
        old = self.workers[name]
        old.crash()
        self.network.kill(old.label)
        await self.add_worker(name, old.service)

    async def lose_and_restart_worker(self, name: str) -> None:
        """Cut the power of a worker, then start it again at its address.

        Its open connections hang, and the list goes on showing the ended life.
        """
        old = self.workers[name]
        row = old.row_value()
        old.crash()
        self.network.loop.paused.add(old.label)
        later = await self.add_worker(name, old.service)
        server = self.network.servers.pop(f"http://{later.address}")
        self.network.servers[f"http://{old.address}"] = server
        later.address = old.address
        self.store.put("servers", name, row)

    def list_worker(self, name: str) -> None:
        """Let the list show the current life of a worker."""
        self.store.put("servers", name, self.workers[name].row_value())

    def disconnect_from_store(self, name: str) -> frozenset[str]:
        """Cut an entry off from the store only; return the pair that is cut."""
        return self._disconnect(self.entries[name].label, "store")

    def disconnect_from_worker(self, name: str, worker: str) -> frozenset[str]:
        """Cut an entry off from one worker only; return the pair that is cut."""
        return self._disconnect(self.entries[name].label, self.workers[worker].label)

    def _disconnect(self, *labels: str) -> frozenset[str]:
        pair = frozenset(labels)
        self.network.cut_pairs.add(pair)
        return pair

    def reconnect_worker(self, worker: str) -> None:
        """Reconnect a worker that was cut off."""
        url = f"http://{self.workers[worker].address}"
        self.network.servers[url].is_unreachable = False

    def remove_worker(self, name: str) -> None:
        """End a worker because of an order for its machine; remove it from the list."""
        self.interrupted_run_count += len(self.workers[name].runs)
        self.workers[name].crash()
        self.network.kill(self.workers[name].label)
        self.store.remove("servers", name)

    def replace_worker(self, machine: str) -> str:
        """Start a new worker on a machine; it is listed a moment later."""
        old = self.machines.machines[machine]
        self.starts += 1
        name = f"{machine}.{self.starts}"
        asyncio.create_task(self.add_worker(name, old.pool, machine))
        return name

    def owners(self) -> dict[str, str]:
        """Return the entry that schedules each pool and has loaded its jobs."""
        return {
            pool: name
            for name, entry in self.entries.items()
            for pool, owned in entry.duties.owned_pools.items()
            if owned.owner.scheduler.is_loaded and pool in self.pools
        }

    def holders(self, pool: str) -> list[str]:
        """Return the entries that hold a pool's duty, or have not released it yet."""
        return [
            name
            for name, entry in self.entries.items()
            if pool in entry.duties.owned_pools
        ]

    def _has_schedulable_target(self, pool: str) -> bool:
        return any(
            view.is_schedulable()
            for entry in self.entries.values()
            if pool in entry.duties.owned_pools
            for view in entry.duties.owned_pools[pool].owner.scheduler.targets.values()
        )

    async def submit(
        self,
        entry: str,
        pool: str,
        job: str,
        steps: list[dict[str, Any]],
        spec: str = "text",
        deadline_ms: int | None = None,
    ) -> int:
        """Submit a job to an entry and return the HTTP status."""
        body = msgspec.json.encode({"spec": spec, "phases": steps})
        decoded_spec = decode_job_body(body, job, f"q-{pool}", pool)
        if decoded_spec.is_ok():
            self.checker.jobs[job] = decoded_spec.ok_value
        path = f"{queue_path_prefix(pool)}{job}"
        status, _ = await self.call(entry, "POST", path, body, deadline_ms)
        return status

    async def job_state(self, entry: str, pool: str, job: str) -> str:
        """Return the state of a job, or the HTTP status if the query fails."""
        status, body = await self.call(entry, "GET", f"{queue_path_prefix(pool)}{job}")
        return body["state"] if status == 200 else str(status)

    def store_job(self, key: str, row: JobRow) -> None:
        """Put the row of a job into the store."""
        table, part, name = split_key(key)
        self.store.put(table, name, encode_job(row).encode(), part)
        self.checker.jobs[row.spec.id] = row.spec

    async def call(
        self,
        entry: str,
        method: str,
        path: str,
        body: bytes | None = None,
        deadline_ms: int | None = None,
        key: str = "",
    ) -> tuple[int, dict[str, Any]]:
        """Send a request to an entry as a client does; return status and body.

        Parameters
        ----------
        key : str
            Key of the caller's organisation, empty to send none.
        """
        url = f"http://127.0.0.1:{self.entries[entry].callers_port}"
        headers = [(b"host", HOST.encode())]
        if key:
            headers.append((b"authorization", f"Token {key}".encode()))
        if deadline_ms is not None:
            headers.append((b"cornelturn-deadline-ms", str(deadline_ms).encode()))
        request = Request(method, path.encode(), headers)
        if body is not None:
            request = request.with_content(Content(b"application/json", body))
        answer = await self.network.servers[url].serve(request)
        data = await answer.read() or b"{}"
        return answer.status, msgspec.json.decode(data)

    async def wait_for_state(
        self, pool: str, job: str, expected: str, limit_s: float = 20.0
    ) -> None:
        """Wait until a job has the expected state, as the first entry reports it."""

        async def has_state() -> bool:
            return await self.job_state(next(iter(self.entries)), pool, job) == expected

        async with asyncio.timeout(limit_s):
            while not await has_state():
                await asyncio.sleep(0.1)

    async def wait_until(self, condition, limit_s: float = 20.0) -> None:
        """Wait until a condition holds."""
        async with asyncio.timeout(limit_s):
            while not condition():
                await asyncio.sleep(0.05)

    def run_duration_ms(self, run: Run) -> int | None:
        """Return the duration of a run, None if its task is a lasting one."""
        job = self.checker.jobs.get(run.task.job)
        is_lasting = job is not None and job.steps[run.task.step].is_lasting
        return None if is_lasting else self.run_ms

    def now_ms(self) -> int:
        """Return the time of the loop in milliseconds."""
        return round(self.network.loop.time() * 1_000)

    async def stop(self) -> None:
        """Abort all servers and resume paused entries, so that the loop can end."""
        self.network.dead.update(entry.label for entry in self.entries.values())
        for server in self.network.servers.values():
            server.abort()
        for owner in list(self.network.loop.paused):
            self.network.loop.resume(owner)

    async def _start_server(self, owner: str, application) -> str:
        server = self.network.server(application, "127.0.0.1", 0)
        server.owner = owner
        port = await self._run_as(owner, server.start())
        return f"127.0.0.1:{port}"

    async def _run_as(self, owner: str, work: Coroutine[Any, Any, Any]) -> Any:
        return await asyncio.create_task(work, context=owner_context(owner))


async def submit_jobs(fleet: JobFleet, count: int, first: int = 0) -> list[str]:
    jobs = [job_id(first + number) for number in range(count)]
    entries = list(fleet.entries)
    for number, job in enumerate(jobs):
        entry = entries[number % len(entries)]
        assert await fleet.submit(entry, "phone", job, phases(3, 2)) == 200
    return jobs


async def call_at_interval(
    call: Callable[[], Awaitable[None]], interval_s: float, duration_s: float
) -> None:
    """Start calls at a fixed interval for some time, and wait for all of them."""
    loop = asyncio.get_running_loop()
    end_s, calls = loop.time() + duration_s, []
    while loop.time() < end_s:
        calls.append(asyncio.create_task(call()))
        await asyncio.sleep(interval_s)
    await asyncio.gather(*calls)


async def wait_until_completed(fleet: JobFleet, jobs: list[str]) -> None:
    for job in jobs:
        await fleet.wait_for_state("phone", job, "completed", COMPLETION_LIMIT_S)
