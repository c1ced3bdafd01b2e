"""Starts entries with the command of the deploy file beside stand-ins, on loopback."""

from __future__ import annotations

import asyncio
import json
import logging
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
from asyncio.subprocess import PIPE
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from cornelturn.http.server import HttpServer
from cornelturn.platform.standin.machines import MachinesStandin
from cornelturn.store.http_client import call, open_session
from review.standins2.store import LimitedStore

ROOT = Path(__file__).resolve().parents[2]
HOST = "queue.example"
PREFIX = "/jobs/"
SERVICE = "employment"
QUEUE = "emp-lookup"
CALL_MS = 3_000
"""The deadline of the clients."""
CASE_LIMIT_S = 110.0
"""Time after which a case counts as one that could not run."""

SETTINGS = """
node_name = "{name}"
role = "entry"
machine_class = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "pnw-tac"
region = "pnw"
port_range = [7060, 7075]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
commands = "invoke"
[listen]
frontend = "{ip}:8624"
ready = "{ip}:8622"
control_plane = "{ip}:8623"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4100
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
config_apply_ms = 2000
hold_max_ms = 10000
stop_grace_ms = 200
gang_timeout_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
notice_ms = 4500
migration_s = 1.5
maintenance_s = 2
fencing = true
lease_ms = 3000
[platform]
addr = "{store}"
form = "table"
writes_per_s = 800
reads_per_s = 2000
tx_ms = 3.0
part_writes_s = 300
row_bytes = 65536
cross_shard = true
history_s = 20
[cloud_api]
addr = "{machines}"
rate_per_s = 64.0
duty_per_s = 64.0
"""


def free_network() -> str:
    """Return the first three bytes of loopback addresses whose ports are free."""
    while True:
        prefix = f"127.{random.randint(1, 250)}.{random.randint(0, 250)}"
        try:
            for number in (11, 12, 13):
                for port in (7060, 8622, 8624, 9464):
                    with socket.socket() as probe:
                        probe.bind((f"{prefix}.{number}", port))
        except OSError:
            continue
        return prefix


@dataclass
class Fleet:
    """The entries, the stand-ins and the record of a run.

    Parameters
    ----------
    worker_events : list of dict
        What the workers have seen, in their order.
    """

    record_path: Path
    store: LimitedStore = field(default_factory=LimitedStore)
    worker_events: list[dict] = field(default_factory=list)
    processes: list[asyncio.subprocess.Process] = field(default_factory=list)
    entries: dict[str, asyncio.subprocess.Process] = field(default_factory=dict)
    ips: dict[str, str] = field(default_factory=dict)
    servers: list[HttpServer] = field(default_factory=list)
    readers: list[asyncio.Task] = field(default_factory=list)
    workers: list[dict] = field(default_factory=list)
    worker_process: asyncio.subprocess.Process | None = None
    started_s: float = field(default_factory=time.monotonic)
    folder: Path = field(default_factory=lambda: Path(tempfile.mkdtemp()))

    def __post_init__(self) -> None:
        self.record_file = self.record_path.open("w")

    def record(self, text: str) -> None:
        """Write a line with the time since the start to the record."""
        line = f"{time.monotonic() - self.started_s:8.3f} {text}"
        self.record_file.write(line + "\n")
        self.record_file.flush()

    async def start(
        self,
        workers: int,
        entries: int = 3,
        queues: tuple[tuple[str, str, int], ...] = ((QUEUE, PREFIX, 0),),
        address: Callable[[dict], Awaitable[str]] | None = None,
    ) -> None:
        """Start everything, and return once all entries are ready.

        Parameters
        ----------
        queues : tuple of tuple
            Name, path prefix and priority of each queue of the service.
        address : callable or None
            Returns the address under which a worker is listed, None for its own.
        """
        store_address = await self._serve(self.store.application())
        machines = MachinesStandin(lambda name: None, lambda machine: machine)
        machines_address = await self._serve(machines.application())
        await self._start_workers(workers, address)
        self.store.put("op", "config", configuration(queues))
        prefix = free_network()
        for number in range(entries):
            name, ip = f"edge-{number + 1}", f"{prefix}.{11 + number}"
            path = self.folder / f"{name}.toml"
            path.write_text(
                SETTINGS.format(
                    name=name, ip=ip, store=store_address, machines=machines_address
                )
            )
            self.ips[name] = ip
            await self.start_entry(name)
        for name in self.entries:
            await self.wait_ready(name)
        self.record(f"{entries} entries ready, {workers} workers listed")

    async def start_entry(self, name: str) -> None:
        """Start an entry with the command of the deploy file, again if it has ended."""
        command = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        log = (self.folder / f"{name}.log").open("ab")
        process = await asyncio.create_subprocess_exec(
            *command["roles"]["entry"]["run"].split(),
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "HOME": os.environ.get("HOME", "/"),
                "PYTHONPATH": str(ROOT / "target/deps"),
                "CORNELTURN_NODE_FILE": str(self.folder / f"{name}.toml"),
            },
            stdout=log,
            stderr=log,
        )
        self.processes.append(process)
        self.entries[name] = process

    async def _start_workers(
        self, workers: int, address: Callable[[dict], Awaitable[str]] | None
    ) -> None:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *("-m", "review.standins2.workers", "--workers", str(workers)),
            cwd=ROOT,
            env=os.environ | {"PYTHONPATH": f"{ROOT}/target/deps:{ROOT}"},
            stdin=PIPE,
            stdout=PIPE,
            limit=1 << 20,
        )
        self.processes.append(process)
        self.worker_process = process
        self.workers = json.loads(await process.stdout.readline())["workers"]
        self.readers.append(asyncio.create_task(self._read_events(process)))
        for worker in self.workers:
            own = f"127.0.0.1:{worker['port']}"
            self.list_worker(worker, await address(worker) if address else own)

    def list_worker(self, worker: dict, address: str) -> None:
        """Write the entry of a worker into the list of workers."""
        entry = {
            "service": SERVICE,
            "addr": address,
            "zone": "pnw-tac",
            "version": "1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": 1,
            "born": worker["born"],
            "capacity": {"cpu": 64_000, "mem_mb": 262_144, "gpu": 0},
            "labels": ["a", f"r1-{worker['n'] // 4}"],
        }
        self.store.put("servers", worker["name"], msgspec.json.encode(entry))

    async def _read_events(self, process: asyncio.subprocess.Process) -> None:
        async for line in process.stdout:
            self.worker_events.append(json.loads(line))

    def change_workers(self, **change: object) -> None:
        """Change how the workers behave."""
        self.record(f"workers: {change}")
        self.worker_process.stdin.write(json.dumps(change).encode() + b"\n")

    async def wait_ready(self, name: str) -> None:
        """Wait until the balancer would send clients to an entry."""
        async with asyncio.timeout(25):
            while True:
                session = open_session(f"http://{self.ips[name]}:8622", 500)
                result = await call(session, "GET", "/readyz", 1_000)
                await session.close()
                if result.is_ok() and result.ok_value.status == 200:
                    return
                await asyncio.sleep(0.1)

    async def call(
        self, entry: str, method: str, path: str, body: object = None
    ) -> tuple[int, bytes]:
        """Send one request of a client; the status is 0 without an answer."""
        session = open_session(f"http://{self.ips[entry]}:8624", 1_000)
        session.authority = HOST
        data = msgspec.json.encode(body) if body is not None else None
        headers = [(b"Cornelturn-Deadline-Ms", str(CALL_MS).encode())]
        result = await call(session, method, path, CALL_MS, data, headers)
        await session.close()
        if result.is_err():
            return 0, result.err_value.detail.encode()
        return result.ok_value.status, result.ok_value.body

    async def ask(
        self, method: str, path: str, body: object = None, limit_s: float = 20.0
    ) -> tuple[int, bytes]:
        """Send a request to the entries in turn until one answers it for good."""
        names = list(self.entries)
        number = random.randrange(len(names))
        end_s = time.monotonic() + limit_s
        while True:
            status, answer = await self.call(
                names[number % len(names)], method, path, body
            )
            if status not in (0, 502, 503, 504, 429) or time.monotonic() > end_s:
                return status, answer
            number += 1
            await asyncio.sleep(0.2)

    async def submit(self, job: str, body: dict, prefix: str = PREFIX) -> None:
        """Hand a job in; raise an error if it is not accepted."""
        status, answer = await self.ask("POST", prefix + job, body)
        self.record(f"POST {prefix}{job}: {status} {answer[:60]!r}")
        if status != 200:
            raise RuntimeError(f"job {job} was not accepted: {status}")

    async def cancel(self, job: str, prefix: str = PREFIX) -> int:
        """Cancel a job, and return the status of the answer."""
        status, _ = await self.ask("DELETE", prefix + job)
        self.record(f"DELETE {prefix}{job}: {status}")
        return status

    async def state(self, job: str, prefix: str = PREFIX) -> str:
        """Return the state that an entry gives for a job."""
        status, answer = await self.ask("GET", prefix + job)
        if status != 200:
            return f"status {status}"
        return json.loads(answer)["state"]

    async def _serve(self, application) -> str:
        server = HttpServer(application, "127.0.0.1", 0)
        port = await server.start()
        self.servers.append(server)
        return f"127.0.0.1:{port}"

    async def stop(self, keep_logs: bool = False) -> None:
        """End all processes that were started, and close the record."""
        for process in self.processes:
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            await process.wait()
        for reader in self.readers:
            reader.cancel()
        for server in self.servers:
            server.abort()
        if keep_logs:
            self.record(f"logs kept: {[path.name for path in self.folder.iterdir()]}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record_file.close()


def configuration(queues: tuple[tuple[str, str, int], ...]) -> bytes:
    """Return the operator's configuration: queues of one service."""
    routes = [
        {
            "name": name,
            "host": HOST,
            "path_prefix": prefix,
            "service": SERVICE,
            "priority": priority,
            "max_attempts": 2,
            "slack_factor": 1.6,
            "target_latency_ms": 600,
        }
        for name, prefix, priority in queues
    ]
    services = [{"name": SERVICE, "enforce_capacity": False}]
    return msgspec.json.encode({"version": 1, "routes": routes, "services": services})


def run_case(
    folder: Path, trouble: bool, case: Callable[[Fleet], Awaitable[int]]
) -> int:
    """Run a case and return its exit code, 2 if it could not run."""
    logging.disable()
    return asyncio.run(_run_case(folder, trouble, case))


async def _run_case(
    folder: Path, trouble: bool, case: Callable[[Fleet], Awaitable[int]]
) -> int:
    fleet = Fleet(folder / "record.txt")
    fleet.record(f"TROUBLE={int(trouble)}")
    try:
        async with asyncio.timeout(CASE_LIMIT_S):
            result = await case(fleet)
    except Exception:
        fleet.record(traceback.format_exc())
        result = 2
    fleet.record(f"exit {result}")
    await fleet.stop()
    return result


def new_job() -> str:
    """Return a new id of a job."""
    return f"{random.getrandbits(64):016x}"
