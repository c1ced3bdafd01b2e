"""Runs entries of the platform as processes; store and workers are in the test."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from asyncio.subprocess import PIPE
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from cornelturn.clock import MILLISECONDS_PER_SECOND
from cornelturn.http.server import HttpServer
from cornelturn.jobs.model import Run
from cornelturn.jobs.rows import JOBS_TABLE
from cornelturn.ownership.duties import (
    DUTY_NAME,
    MEMBERS_TABLE,
    DutyRow,
    decode_duty,
)
from cornelturn.platform.documents import decode_job_body
from cornelturn.platform.settings import SETTINGS_VARIABLE
from cornelturn.platform.standin.documents import (
    HOST,
    configuration,
    job_id,
    phases,
    queue_path_prefix,
)
from cornelturn.platform.standin.machines import MachinesStandin
from cornelturn.platform.standin.rows import StoreStandin
from cornelturn.platform.standin.rule_checker import RuleChecker
from cornelturn.platform.standin.worker import WorkerStandin
from cornelturn.store.http_client import call, open_session
from cornelturn.tests.job_fleet import CAPACITY
from cornelturn.tests.processes import Program, parse_line
from cornelturn.tests.relay import Relay

POOL = "phone"
CALL_TIMEOUT_MS = 3_000
WAIT_LIMIT_S = 40.0
POLL_INTERVAL_S = 0.02
WORKER_BIRTH_MS = 1
"""Milliseconds from the start of a worker's clock to its birth; 0 is no life."""

SETTINGS = """
node_name = "{name}"
ip = "{ip}"
zone = "dc-1"
port_range = [7060, 7075]
[listen]
frontend = "{ip}:8624"
ready = "{ip}:8622"
[platform]
addr = "{store}"
[cloud_api]
addr = "{machines}"
[limits]
{limits}
"""


@dataclass
class PlatformProcesses:
    """Entries as processes, and workers that can be cut off while their runs go on."""

    folder: Path
    run_ms: int = 0
    store: StoreStandin = field(default_factory=StoreStandin)
    checker: RuleChecker = field(default_factory=RuleChecker)
    workers: dict[str, WorkerStandin] = field(default_factory=dict)
    relays: dict[str, Relay] = field(default_factory=dict)
    entries: dict[str, Program] = field(default_factory=dict)
    ip_addresses: dict[str, str] = field(default_factory=dict)
    servers: list[HttpServer] = field(default_factory=list)
    limits: dict[str, int] = field(default_factory=dict)
    store_address: str = ""
    machines_address: str = ""

    async def start(
        self,
        entries: int,
        workers: int,
        run_ms: int,
        limits: dict[str, int] | None = None,
    ) -> None:
        self.run_ms, self.limits = run_ms, limits or {}
        self.store.put("op", "config", configuration(1, (POOL,)))
        self.store_address = await self._serve(self.store.application())
        machines = MachinesStandin(lambda name: None, lambda machine: machine)
        self.machines_address = await self._serve(machines.application())
        for number in range(workers):
            await self._add_worker(f"{POOL}-{number}")
        for number in range(entries):
            await self._start_entry(f"entry-{number}", number)
        for program in self.entries.values():
            await program.wait_event("entry_started")
        await self.wait_until(self.is_loaded)

    async def submit(self, jobs: int, tasks: int) -> None:
        """Submit jobs to all entries in turn, each until one accepts it."""
        names = list(self.entries)
        for number in range(jobs):
            body = msgspec.json.encode({"spec": "text", "phases": phases(tasks)})
            job = job_id(number)
            spec = decode_job_body(body, job, f"q-{POOL}", POOL)
            self.checker.jobs[job] = spec.unwrap()
            path = f"{queue_path_prefix(POOL)}{job}"
            async with asyncio.timeout(WAIT_LIMIT_S):
                while not await self._post(names[number % len(names)], path, body):
                    await asyncio.sleep(POLL_INTERVAL_S)

    def duty(self) -> DutyRow:
        """Return the row of the pool, as the store shows it."""
        value = self.store.read_value(MEMBERS_TABLE, DUTY_NAME, f"{DUTY_NAME}.{POOL}")
        return decode_duty(value.decode()).unwrap() if value else DutyRow("", 0, 0)

    def is_loaded(self) -> bool:
        """Return whether the holder of the pool has loaded it."""
        duty = self.duty()
        loaded = {"event": "pool_loaded", "generation": str(duty.generation)}
        return duty.holder in self.entries and any(
            loaded.items() <= parse_line(line).items()
            for line in self.entries[duty.holder].lines
        )

    def cut_off(self, worker: str) -> None:
        """Cut a worker off from all entries; its runs go on under its lease."""
        self.relays[worker].cut()

    async def end_owner(self, number: signal.Signals) -> None:
        """Stop or kill the owner, and return once another entry has the pool."""
        ended = self.duty().holder
        self.entries[ended].send(number)
        await self.wait_until(lambda: self.duty().holder not in ("", ended))

    def delay_jobs(self) -> None:
        """Let the store answer calls about the rows of jobs after their timeout."""
        self.store.slow_parts = {
            (table, part) for table, part, _ in self.store.rows if table == JOBS_TABLE
        }

    async def wait_until(self, condition) -> None:
        async with asyncio.timeout(WAIT_LIMIT_S):
            while not condition():
                await asyncio.sleep(POLL_INTERVAL_S)

    async def stop(self) -> None:
        for program in self.entries.values():
            if program.process.returncode is None:
                program.process.kill()
            await program.process.wait()
            program.reader.cancel()
        for relay in self.relays.values():
            await relay.stop()
        for server in self.servers:
            server.abort()

    async def _add_worker(self, name: str) -> None:
        now_ms = round(asyncio.get_running_loop().time() * MILLISECONDS_PER_SECOND)
        worker = WorkerStandin(
            name=name,
            service=POOL,
            capacity=CAPACITY,
            checker=self.checker,
            born_ms=now_ms - WORKER_BIRTH_MS,
            run_duration_ms=self._run_duration_ms,
        )
        address = await self._serve(worker.application())
        relay = Relay(int(address.rpartition(":")[2]))
        worker.address = f"127.0.0.1:{relay.start()}"
        self.workers[name], self.relays[name] = worker, relay
        self.store.put("servers", name, worker.row_value())

    def _run_duration_ms(self, run: Run) -> int:
        return self.run_ms

    async def _start_entry(self, name: str, number: int) -> None:
        # Each test process has a network of its own, since some ports are fixed.
        high, low = divmod(os.getpid() % (200 * 250), 250)
        ip = f"127.{20 + high}.{1 + low}.{10 + number}"
        path = self.folder / f"{name}.toml"
        text = SETTINGS.format(
            name=name,
            ip=ip,
            store=self.store_address,
            machines=self.machines_address,
            limits="\n".join(f"{key} = {value}" for key, value in self.limits.items()),
        )
        path.write_text(text)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *("-m", "cornelturn", "platform", "run"),
            env=os.environ | {SETTINGS_VARIABLE: str(path)},
            stdout=PIPE,
        )
        program = Program(process)
        program.reader = asyncio.create_task(program.read())
        self.entries[name], self.ip_addresses[name] = program, ip

    async def _post(self, entry: str, path: str, body: bytes) -> bool:
        session = open_session(f"http://{self.ip_addresses[entry]}:8624", 1_000)
        session.authority = HOST
        result = await call(session, "POST", path, CALL_TIMEOUT_MS, body)
        await session.close()
        return result.is_ok() and result.ok_value.status == 200

    async def _serve(self, application) -> str:
        server = HttpServer(application, "127.0.0.1", 0)
        self.servers.append(server)
        return f"127.0.0.1:{await server.start()}"
