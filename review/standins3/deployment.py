"""A small deployment: entries as processes, the platform and the workers as stand-ins.

The stand-ins of the project's own tests serve the store, the machines and the workers
in this process. The entries run with the command of the deploy file.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import sys
import tempfile
from asyncio.subprocess import PIPE, Process
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from cornelturn.http.server import HttpServer
from cornelturn.jobs.model import Resources, Run, StepId
from cornelturn.platform.documents import decode_job_body
from cornelturn.platform.standin.documents import configuration, queue_path_prefix
from cornelturn.platform.standin.machines import MachinesStandin
from cornelturn.platform.standin.rows import StoreStandin
from cornelturn.platform.standin.rule_checker import RuleChecker
from cornelturn.platform.standin.worker import WorkerStandin
from review.standins3.record import Record

POOL = "phone"
HOST = "work.example"
CAPACITY = Resources(cpu=8_000, mem_mb=32_768)
CALLERS_PORT, READY_PORT = 8624, 8622
CLIENT_DEADLINE_MS = 3_000
CLIENT_TRIES = 5
START_LIMIT_S = 20.0
SAMPLE_S = 0.05
FINISH_S = 14.0
IDLE_LIMIT_S = 3.0

SETTINGS = """
node_name = "{name}"
role = "entry"
machine_class = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "dc-1"
region = "region-1"
port_range = [7060, 7075]
seeds = []
bootstrap = true
heartbeat_ms = 1500
commands = "invoke"
[listen]
frontend = "{ip}:8624"
ready = "{ip}:8622"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4100
[platform]
addr = "{store}"
form = "table"
writes_per_s = 800
reads_per_s = 2000
row_bytes = 65536
[cloud_api]
addr = "{machines}"
[bounds]
contact_ms = 3000
drain_ms = 2000
grace_s = 6
hold_max_ms = 10000
stop_grace_ms = 200
gang_timeout_ms = 3000
remote_factor = 2
notice_ms = 4500
migration_s = 1.5
maintenance_s = 2
lease_ms = 3000
rate_window_ms = 100
impact_ms = 4000
status_s = 120
"""


@dataclass
class Entry:
    """An entry process and its log."""

    name: str
    ip: str
    process: Process
    lines: list[str] = field(default_factory=list)
    reader: asyncio.Task[None] | None = None

    async def read(self) -> None:
        """Collect the log until the process ends."""
        async for line in self.process.stdout:
            self.lines.append(line.decode().rstrip())

    def has_logged(self, event: str) -> bool:
        """Return whether the log has an event."""
        return any(f"event={event}" in line for line in self.lines)


@dataclass
class Answer:
    """Status and body of a response; the status is 0 without a complete one."""

    status: int
    body: bytes = b""


@dataclass
class Deployment:
    """Entries, workers of one pool, clients, and the record of what they saw."""

    record: Record
    run_ms: int = 300
    store: StoreStandin = field(default_factory=StoreStandin)
    checker: RuleChecker = field(default_factory=RuleChecker)
    workers: dict[str, WorkerStandin] = field(default_factory=dict)
    entries: dict[str, Entry] = field(default_factory=dict)
    accepted: dict[str, float] = field(default_factory=dict)
    servers: list[HttpServer] = field(default_factory=list)
    tasks: list[asyncio.Task[None]] = field(default_factory=list)
    folder: tempfile.TemporaryDirectory[str] = field(
        default_factory=tempfile.TemporaryDirectory
    )
    store_address: str = ""
    machines_address: str = ""
    network: str = ""

    async def start(
        self, entries: int, workers: int, machines: MachinesStandin | None = None
    ) -> None:
        """Start everything, and return once an entry has loaded the pool."""
        self.network = free_network(entries)
        self.store.put("op", "config", configuration(1, (POOL,)))
        self.store_address = await self._serve(self.store.application())
        machines = machines or MachinesStandin(lambda name: None, lambda name: name)
        self.machines_address = await self._serve(machines.application())
        for number in range(workers):
            await self.add_worker(f"worker-{number}")
        for number in range(entries):
            await self._start_entry(f"entry-{number}", f"{self.network}.{10 + number}")
        async with asyncio.timeout(START_LIMIT_S):
            while not any(
                entry.has_logged("pool_loaded") for entry in self.entries.values()
            ):
                await asyncio.sleep(SAMPLE_S)
            while not await self._are_ready():
                await asyncio.sleep(SAMPLE_S)
        self.tasks.append(asyncio.create_task(self._record_runs()))
        self.record.add(f"started {entries} entries and {workers} workers")

    async def stop(self) -> None:
        """End all processes that were started, and the stand-ins."""
        for task in self.tasks:
            task.cancel()
        for entry in self.entries.values():
            if entry.process.returncode is None:
                entry.process.send_signal(signal.SIGKILL)
            await entry.process.wait()
            entry.reader.cancel()
        for server in self.servers:
            server.abort()
        self.folder.cleanup()

    async def submit(self, job: str, body: dict[str, object]) -> bool:
        """Submit a job as a client does; return whether it was accepted."""
        text = json.dumps(body).encode()
        spec = decode_job_body(text, job, f"q-{POOL}", POOL)
        if spec.is_ok():
            self.checker.jobs[job] = spec.ok_value
        path = f"{queue_path_prefix(POOL)}{job}"
        names = list(self.entries)
        for number in range(CLIENT_TRIES):
            name = names[(int(job, 16) + number) % len(names)]
            answer = await self.call(name, "POST", path, text)
            self.record.add(f"client POST {job} at {name}: {answer.status or 'none'}")
            if 200 <= answer.status < 300:
                self.accepted[job] = asyncio.get_running_loop().time()
                return True
            if answer.status in (400, 404, 413):
                return False
            await asyncio.sleep(0.3)
        return False

    async def submit_usual(self, numbers: range, pause_s: float = 0.0) -> None:
        """Submit jobs of one step, each by a client of its own."""
        async with asyncio.TaskGroup() as clients:
            for number in numbers:
                body = {"spec": "text", "phases": [phase()]}
                clients.create_task(self.submit(job_name(number), body))
                await asyncio.sleep(pause_s)

    async def state(self, job: str) -> str:
        """Ask the entries in turn for the state of a job; empty without an answer."""
        path = f"{queue_path_prefix(POOL)}{job}"
        for name in self.entries:
            answer = await self.call(name, "GET", path)
            self.record.add(
                f"client GET {job} at {name}: {answer.status} {answer.body!r}"
            )
            if answer.status == 200:
                return json.loads(answer.body)["state"]
        return ""

    async def call(
        self, entry: str, method: str, path: str, body: bytes = b""
    ) -> Answer:
        """Send a request over a new connection."""
        try:
            async with asyncio.timeout(CLIENT_DEADLINE_MS / 1_000):
                return await exchange(
                    self.entries[entry].ip, CALLERS_PORT, method, path, body
                )
        except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
            return Answer(0)

    def unfinished(self, job: str) -> bool:
        """Return whether a task of a job that ends by itself has not ended done."""
        return any(
            step.task(index) not in self.checker.completed
            for step, count, is_lasting in self._steps(job)
            for index in range(count)
            if not is_lasting
        )

    def has_run_now(self, job: str) -> bool:
        """Return whether any worker runs a task of a job."""
        return any(
            run.task.job == job
            for worker in self.workers.values()
            for run in worker.runs
        )

    def used_share(self) -> float:
        """Return the share of the pool's processors that runs use."""
        used = sum(
            running.need.cpu
            for worker in self.workers.values()
            for running in worker.runs.values()
        )
        return used / (CAPACITY.cpu * len(self.workers))

    async def find_lost(self, jobs: list[str]) -> list[str]:
        """Return the accepted jobs that break LOST after the end of the traffic.

        From `finish_s` on, such a job has nothing running for 3 s, though it is not
        done, a task's turn has come, and under half of the service's capacity is in
        use, so that there is room for it twice over.
        """
        await asyncio.sleep(FINISH_S)
        loop = asyncio.get_running_loop()
        idle_since = {job: loop.time() for job in jobs}
        end_s = loop.time() + IDLE_LIMIT_S + 1.0
        lost: set[str] = set()
        while loop.time() < end_s:
            now_s = loop.time()
            for job in jobs:
                is_owed = self.unfinished(job) and not self.has_run_now(job)
                if not is_owed or self.used_share() >= 0.5:
                    idle_since[job] = now_s
                elif now_s - idle_since[job] > IDLE_LIMIT_S:
                    lost.add(job)
            await asyncio.sleep(SAMPLE_S)
        return sorted(lost)

    def note_log(self, event: str) -> int:
        """Record the first log lines with an event; return how many there are."""
        lines = [
            f"{entry.name}: {line}"
            for entry in self.entries.values()
            for line in entry.lines
            if f"event={event}" in line
        ]
        for line in lines[:3]:
            self.record.add(line.partition(" trace=")[0][:400])
        return len(lines)

    async def _are_ready(self) -> bool:
        for entry in self.entries.values():
            try:
                answer = await exchange(entry.ip, READY_PORT, "GET", "/readyz", b"")
            except (OSError, asyncio.IncompleteReadError):
                return False
            if answer.status != 200:
                return False
        return True

    def _steps(self, job: str) -> Iterator[tuple[StepId, int, bool]]:
        spec = self.checker.jobs[job]
        for number, step in enumerate(spec.steps):
            yield StepId(job, 0, number), step.count, step.is_lasting

    async def add_worker(self, name: str) -> None:
        """Start a worker and list it."""
        loop = asyncio.get_running_loop()
        worker = WorkerStandin(
            name=name,
            service=POOL,
            capacity=CAPACITY,
            checker=self.checker,
            born_ms=round(loop.time() * 1_000) - 1,
            run_duration_ms=self._run_duration_ms,
        )
        worker.address = await self._serve(worker.application())
        self.workers[name] = worker
        self.store.put("servers", name, worker.row_value())

    def _run_duration_ms(self, run: Run) -> int | None:
        spec = self.checker.jobs.get(run.task.job)
        is_lasting = spec is not None and spec.steps[run.task.step].is_lasting
        return None if is_lasting else self.run_ms

    async def _start_entry(self, name: str, ip: str) -> None:
        path = Path(self.folder.name) / f"{name}.toml"
        path.write_text(
            SETTINGS.format(
                name=name,
                ip=ip,
                store=self.store_address,
                machines=self.machines_address,
            )
        )
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *("-m", "cornelturn", "platform", "run"),
            env=os.environ | {"CORNELTURN_NODE_FILE": str(path)},
            stdout=PIPE,
            stderr=asyncio.subprocess.DEVNULL,
        )
        entry = Entry(name, ip, process)
        entry.reader = asyncio.create_task(entry.read())
        self.entries[name] = entry

    async def _record_runs(self) -> None:
        """Record the starts and the ends of runs as the workers see them."""
        known: dict[tuple[str, Run], None] = {}
        while True:
            present = {
                (name, run): None
                for name, worker in self.workers.items()
                for run in worker.runs
            }
            for name, run in present.keys() - known.keys():
                self.record.add(f"{name} runs {run.task}#{run.number}")
            for name, run in known.keys() - present.keys():
                self.record.add(f"{name} has ended {run.task}#{run.number}")
            known = present
            await asyncio.sleep(SAMPLE_S / 2)

    async def _serve(self, application) -> str:
        server = HttpServer(application, "127.0.0.1", 0)
        self.servers.append(server)
        return f"127.0.0.1:{await server.start()}"


def free_network(entries: int) -> str:
    """Return the first three bytes of loopback addresses whose ports are free."""
    rng = random.Random()
    while True:
        network = f"127.{rng.randint(20, 250)}.{rng.randint(1, 250)}"
        if all(
            is_free(f"{network}.{10 + number}", port)
            for number in range(entries)
            for port in (7060, READY_PORT, CALLERS_PORT, 9464)
        ):
            return network


def is_free(ip: str, port: int) -> bool:
    """Return whether a port can be bound."""
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


async def exchange(ip: str, port: int, method: str, path: str, body: bytes) -> Answer:
    """Send one HTTP/1.1 request over a new connection and read its response."""
    reader, writer = await asyncio.open_connection(ip, port)
    try:
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
            f"Cornelturn-Deadline-Ms: {CLIENT_DEADLINE_MS}\r\nConnection: close\r\n\r\n"
        )
        writer.write(head.encode() + body)
        await writer.drain()
        return await read_answer(reader)
    finally:
        writer.close()


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read a response with a declared length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    status = int(head.split(" ", 2)[1])
    length = 0
    for line in head.split("\r\n")[1:]:
        name, _, value = line.partition(":")
        if name.strip().lower() == "content-length":
            length = int(value)
    return Answer(status, await reader.readexactly(length))


def phase(**fields: object) -> dict[str, object]:
    """Return a step of a job as clients send it."""
    return {"count": 2, "cpu": 500, "mem_mb": 64, "estimated_ms": 300} | fields


def job_name(number: int) -> str:
    """Return the id of the n-th job."""
    return f"{0x5C0E7A2100000000 + number:016x}"


def encode_row(row: dict[str, object]) -> bytes:
    """Encode the value of a row."""
    return msgspec.json.encode(row)
