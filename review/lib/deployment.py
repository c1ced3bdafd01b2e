"""A small deployment on loopback addresses: entries as processes, and stand-ins."""

from __future__ import annotations

import asyncio
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

from review.lib.http import Server, call
from review.lib.store import Machines, Store
from review.lib.worker import History, Worker

ROOT = Path(__file__).resolve().parents[2]
SERVICE = "checks"
STANDBY = "spare"
HOST = "queue.example"
PREFIX = "/lookup/"
HEARTBEAT_S = 1.5

SETTINGS = """
node_name = "{name}"
role = "entry"
machine_class = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "{zone}"
region = "r1"
port_range = [{port}, {last_port}]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
commands = "invoke"
hint = ""
[zones]
z1 = "r1"
[listen]
frontend = "{frontend}"
ready = "{ready}"
control_plane = "{control}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
[bounds]
contact_ms = 3000
drain_ms = 2000
grace_s = 6
hold_max_ms = 10000
stop_grace_ms = 200
gang_timeout_ms = 3000
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
history_s = 20
[cloud_api]
addr = "{machines}"
rate_per_s = 64.0
duty_per_s = 64.0
"""


@dataclass
class Entry:
    """An entry: its addresses, its settings file and its process."""

    name: str
    ip: str
    frontend: str
    ready: str
    file: Path
    process: asyncio.subprocess.Process | None = None


@dataclass
class Deployment:
    """The platform, the workers and the entries of one script."""

    folder: Path
    history: History = field(default_factory=History)
    store: Store = field(default_factory=Store)
    entries: list[Entry] = field(default_factory=list)
    workers: dict[str, Worker] = field(default_factory=dict)
    addresses: dict[str, str] = field(default_factory=dict)
    racks: dict[str, str] = field(default_factory=dict)
    capacity: dict = field(
        default_factory=lambda: {"cpu": 64_000, "mem_mb": 262_144, "gpu": 0}
    )
    tasks: list[asyncio.Task] = field(default_factory=list)
    version: int = 1
    upkeeps: int = 0
    length_s: object = lambda task, run: 1.0
    store_servers: dict[str, Server] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.machines = Machines(self.take_down, self.bring_up)
        self.machines.note = self.history.note
        self.store_address = ""
        self.machines_address = ""

    def take_down(self, machine: str) -> None:
        """End the worker of a machine that goes down."""
        name = self.machines.machines[machine]["id"]
        self.machines.machines[machine]["id"] = None
        self.workers[name].crash()
        self.store.remove("servers", name)

    def bring_up(self, machine: str) -> None:
        """Start a new worker on a machine whose upkeep is over."""
        self.upkeeps += 1
        name = f"i-back-{self.upkeeps}"
        rack = self.machines.machines[machine]["labels"][-1]
        task = self.add_worker(name, self.length_s, rack=rack, machine=machine)
        self.tasks.append(asyncio.create_task(task))

    async def start_platform(self) -> None:
        """Start the store and the machine service."""
        self.store_address = await self.store.server.start(f"{self.net}.1")
        self.machines_address = await self.machines.server.start(f"{self.net}.1")

    def configure(self, routes: list[dict], with_standby: bool = False) -> None:
        """Write the next version of the configuration."""
        services = [{"name": SERVICE, "enforce_capacity": False, "standby": False}]
        if with_standby:
            services.append(
                {"name": STANDBY, "enforce_capacity": False, "standby": True}
            )
        limits = {"max_header_bytes": 16_384, "max_body_bytes": 262_144}
        self.version += 3
        self.store.put(
            "op",
            "config",
            {
                "version": self.version,
                "routes": routes,
                "services": services,
                "limits": limits,
            },
        )
        self.history.note(f"configuration {self.version}: {len(routes)} routes")

    async def add_worker(
        self, name: str, length_s, how=None, rack: str = "r1-1", machine: str = ""
    ) -> Worker:
        """Start a worker, which writes its entry in the store from then on."""
        worker = Worker(name, self.history, length_s)
        if how is not None:
            worker.how = how
        self.racks[name] = rack
        number = 100 + len(self.addresses)
        self.addresses[name] = await worker.server.start(f"{self.net}.{number}")
        self.workers[name] = worker
        machine = machine or f"m-{name}"
        self.machines.machines[machine] = {
            "host_id": machine,
            "pool": SERVICE,
            "state": "up",
            "zone": "z1",
            "labels": ["a", rack],
            "capacity": self.capacity,
            "id": name,
        }
        self.tasks.append(asyncio.create_task(self._beat(worker)))
        return worker

    async def restart_worker(self, worker: Worker) -> Worker:
        """Start a worker again under its id and at its address, as a new life."""
        worker.server.stop_listening()
        later = Worker(worker.name, self.history, worker.length_s, worker.how)
        host, _, port = self.addresses[worker.name].partition(":")
        await later.server.start(host, int(port))
        self.workers[worker.name] = later
        self.tasks.append(asyncio.create_task(self._beat(later)))
        return later

    async def _beat(self, worker: Worker) -> None:
        sequence = 0
        while worker.is_up:
            sequence += 1
            self.write_worker(worker, sequence)
            await asyncio.sleep(HEARTBEAT_S)

    def write_worker(self, worker: Worker, sequence: int = 1) -> None:
        """Write the entry of a worker."""
        self.store.put(
            "servers",
            worker.name,
            {
                "service": SERVICE,
                "addr": self.addresses[worker.name],
                "zone": "z1",
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold_left_ms": 0,
                "capacity": self.capacity,
                "labels": ["a", self.racks[worker.name]],
                "clock_ms": worker.clock_ms(),
                "born": worker.born,
                "seq": sequence,
            },
        )

    async def start_entries(self, count: int) -> None:
        """Start the entries and wait until all are ready.

        Each has a listener of the store of its own.
        """
        for number in range(count):
            server = Server(self.store.handle)
            store = await server.start(f"{self.net}.1")
            entry = self._new_entry(number, store)
            self.store_servers[entry.name] = server
            await self.start_entry(entry)
        deadline_s = time.monotonic() + 30
        for entry in self.entries:
            while time.monotonic() < deadline_s:
                answer = await call(entry.ready, "GET", "/readyz", timeout_s=0.5)
                if answer is not None and answer[0] == 200:
                    break
                await asyncio.sleep(0.1)
            else:
                raise RuntimeError(f"{entry.name} isn't ready")
        self.history.note("all entries are ready")

    def _new_entry(self, number: int, store: str) -> Entry:
        ip = f"{self.net}.{10 + number}"
        ports = free_ports(ip, 5)
        name = f"edge-{number + 1}"
        file = self.folder / f"{name}.toml"
        entry = Entry(name, ip, f"{ip}:{ports[0]}", f"{ip}:{ports[1]}", file)
        file.write_text(
            SETTINGS.format(
                name=name,
                ip=ip,
                zone="z1",
                port=ports[3],
                last_port=ports[3] + 15,
                frontend=entry.frontend,
                ready=entry.ready,
                control=f"{ip}:{ports[2]}",
                store=store,
                machines=self.machines_address,
            )
        )
        self.entries.append(entry)
        return entry

    async def start_entry(self, entry: Entry) -> None:
        """Start the process of an entry with the command of the deploy file."""
        log = (self.folder / f"{entry.name}.log").open("ab")
        variables = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        entry.process = await asyncio.create_subprocess_exec(
            sys.executable,
            *("-m", "cornelturn", "platform", "run"),
            cwd=ROOT,
            env={
                **variables,
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
                "CORNELTURN_NODE_FILE": str(entry.file),
            },
            stdout=log,
            stderr=log,
        )
        log.close()
        self.history.note(f"{entry.name} started")

    def owner(self, duty: str = SERVICE) -> Entry | None:
        """Return the entry that holds a duty, by the rows of the store."""
        row = self.store.read("members", "duty", f"duty.{duty}")
        for entry in self.entries:
            if row is not None and entry.name == row["holder"]:
                return entry
        return None

    async def submit(self, job: str, phases: list[dict], entry: Entry, **more) -> bool:
        """Hand a job in, with retries; return whether it was accepted."""
        path = more.pop("path", PREFIX)
        host = more.pop("host", HOST)
        body = {"spec": f"job {job}", "phases": phases, **more}
        for _ in range(5):
            answer = await call(entry.frontend, "POST", path + job, body, host)
            self.history.note(f"POST {job} at {entry.name}: {answer and answer[0]}")
            if answer is not None and 200 <= answer[0] < 300:
                return True
            await asyncio.sleep(0.3)
        return False

    async def state(self, job: str, entry: Entry, path: str = PREFIX) -> str:
        """Return the state of a job, or the status if there is none."""
        answer = await call(entry.frontend, "GET", path + job, host=HOST)
        if answer is None:
            return "no answer"
        status, body = answer
        return body.get("state", str(status)) if status == 200 else str(status)

    async def stop(self) -> None:
        """End everything that was started."""
        for entry in self.entries:
            process = entry.process
            if process is not None and process.returncode is None:
                for number in (signal.SIGCONT, signal.SIGKILL):
                    process.send_signal(number)
                await process.wait()
        for task in (*self.tasks, *self.machines.tasks):
            task.cancel()
        for worker in self.workers.values():
            worker.server.close()
        for server in (self.store.server, *self.store_servers.values()):
            server.close()
        self.machines.server.close()


def free_ports(ip: str, count: int) -> list[int]:
    """Return ports that are free on an address."""
    sockets = []
    for _ in range(count):
        probe = socket.socket()
        probe.bind((ip, 0))
        sockets.append(probe)
    ports = [probe.getsockname()[1] for probe in sockets]
    for probe in sockets:
        probe.close()
    return ports


def has_trouble() -> bool:
    """Return whether the script shall cause its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def route(name: str = "r-lookup", prefix: str = PREFIX, **more) -> dict:
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "kind": "non_idempotent",
        "timeout_ms": 3000,
        "target_latency_ms": 600,
        "priority": 0,
        "service": SERVICE,
        "max_attempts": 2,
        "slack_factor": 1.6,
        **more,
    }


def run(script, record: Path) -> int:
    """Run a script in a new deployment, write its record, and return its exit code.

    The script returns the lines that show a broken rule; none if the rule held.
    """
    folder = Path(tempfile.mkdtemp(prefix="cornelturn-review-"))
    deployment = None

    async def main() -> list[str]:
        nonlocal deployment
        deployment = Deployment(folder)
        try:
            async with asyncio.timeout(110):
                return await script(deployment)
        finally:
            await deployment.stop()

    code, verdict = 2, ["could not run"]
    try:
        verdict = asyncio.run(main())
        code = 1 if verdict else 0
    except Exception as error:
        verdict = [f"could not run: {error!r}"]
    lines = deployment.history.lines if deployment is not None else []
    trouble = "with" if has_trouble() else "without"
    head = [f"{trouble} the disruption; exit code {code}", *verdict[:40], ""]
    record.write_text("\n".join([*head, *lines]) + "\n")
    print("\n".join(head[:12]))
    if os.environ.get("KEEP_LOGS") != "1":
        shutil.rmtree(folder, ignore_errors=True)
    else:
        print(folder.name)
    return code
