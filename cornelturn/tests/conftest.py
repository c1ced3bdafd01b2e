"""Shared fixtures: fleets of tasks or of processes, and fleets on a fake clock."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import (
    AsyncIterator,
    Awaitable,
    Callable,
    Iterable,
    Iterator,
    Mapping,
)
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING

import pytest
import yaml
from absl import logging

from cornelturn.clock import ManualTime
from cornelturn.entry.process import EntryProcess, ListenerAddresses
from cornelturn.http.auth import token_digest
from cornelturn.platform.standin.documents import POOLS
from cornelturn.scheduling.pool import PoolScheduler
from cornelturn.settings.models import EntrySettings
from cornelturn.standins.platform import PlatformStandin
from cornelturn.standins.register import target_instance
from cornelturn.standins.target import TargetStandin
from cornelturn.store.http_client import HttpResponse, call, open_session
from cornelturn.tests.fair_pool import Pool, new_fair_pool
from cornelturn.tests.job_fleet import JobFleet
from cornelturn.tests.network import FakeTimeLoop, Network
from cornelturn.tests.pool_jobs import new_scheduler

if TYPE_CHECKING:
    from cornelturn.tests.platform_processes import PlatformProcesses

INNER_KEY = "00112233445566778899aabbccddeeff"
MEMBER_TOKEN = "member-token"
OTHER_MEMBER_TOKEN = "other-token"
OPERATOR_TOKEN = "operator-token"
CALL_TIMEOUT_MS = 40_000
SEED = 7

FleetScript = Callable[[JobFleet], Awaitable[None]]

CONFIGURATION = {
    "preset": "ordinary",
    "pools": [{"name": "phone", "max_unavailable": 1, "instances": []}],
    "queues": [
        {
            "name": "lookup",
            "pool": "phone",
            "work_class": "urgent",
            "idempotent": True,
            "share": 0.5,
            "deadline_ms": 5_000,
            "run_ms": 20,
        },
        {
            "name": "collection",
            "pool": "phone",
            "work_class": "long",
            "idempotent": False,
            "share": 0.5,
            "deadline_ms": 10_000,
            "run_ms": 50,
        },
    ],
    "presets": [
        {"name": "ordinary"},
        {"name": "peak"},
        {"name": "maintenance", "maintenance": True},
    ],
}


def settings_document(name: str, url: str, folder: Path) -> dict:
    return {
        "name": name,
        "data_centre": "dc-1",
        "operators": {"token_sha256": token_digest(OPERATOR_TOKEN)},
        "inner": {"key": INNER_KEY},
        "platform": {"table": url, "objects": url, "instances": url},
        "members": [
            {"name": "mill", "token_sha256": token_digest(MEMBER_TOKEN)},
            {"name": "port", "token_sha256": token_digest(OTHER_MEMBER_TOKEN)},
        ],
        "configuration_file": str(folder / "configuration.yaml"),
    }


def write_single_pool_configuration(folder: Path, instances: list[str]) -> None:
    """Write the configuration file with all instances in its only pool."""
    pools = [dict(CONFIGURATION["pools"][0], instances=instances)]
    text = yaml.safe_dump({**CONFIGURATION, "pools": pools})
    (folder / "configuration.yaml").write_text(text)


def total_starts(starts_by_target: Iterable[dict[str, int]]) -> dict[str, int]:
    """Return how often each request started, over all targets."""
    totals: Counter[str] = Counter()
    for starts in starts_by_target:
        totals.update(starts)
    return dict(totals)


@dataclass
class Caller:
    """HTTP client of one entry that authenticates with a member's token."""

    base_url: str
    token: str = MEMBER_TOKEN

    async def call(
        self, method: str, path: str, body: bytes | None = None, **headers: str
    ) -> HttpResponse:
        session = open_session(self.base_url, CALL_TIMEOUT_MS)
        pairs = [(b"Authorization", f"Bearer {self.token}".encode())]
        pairs += [
            (name.replace("_", "-").encode(), value.encode())
            for name, value in headers.items()
        ]
        try:
            result = await call(
                session, method, path, CALL_TIMEOUT_MS, body, pairs, "text/plain"
            )
        finally:
            await session.close()
        return result.unwrap()

    async def post(self, queue: str, body: bytes, **headers: str) -> HttpResponse:
        return await self.call("POST", f"/queues/{queue}/requests", body, **headers)


@dataclass
class Fleet:
    """A platform, targets and entries that run as tasks of the test process."""

    folder: Path
    platform: PlatformStandin = field(default_factory=PlatformStandin)
    platform_url: str = ""
    targets: list[TargetStandin] = field(default_factory=list)
    entries: list[EntryProcess] = field(default_factory=list)
    addresses: list[ListenerAddresses] = field(default_factory=list)

    async def start(
        self, entries: int, targets: int, document: dict = CONFIGURATION
    ) -> None:
        self.platform_url = await self.platform.start()
        for number in range(targets):
            await self.add_target(f"target-{number}")
        self._write_configuration(document)
        for number in range(entries):
            await self.add_entry(f"entry-{number}")
        for entry in self.entries:
            await asyncio.wait_for(entry.wait_ready(), 10)
        await self.wait_for(self.is_formed)

    async def add_target(self, name: str) -> TargetStandin:
        target = TargetStandin(name)
        address = await target.start()
        self.targets.append(target)
        place = f"dc-1/rack-{len(self.targets) // 4}"
        self.platform.instances[name] = target_instance(name, address, place)
        return target

    async def add_entry(self, name: str, peers: list | None = None) -> EntryProcess:
        document = settings_document(name, self.platform_url, self.folder)
        document["inner"]["peers"] = peers or []
        entry = EntryProcess(EntrySettings.model_validate(document))
        self.addresses.append(await entry.start())
        self.entries.append(entry)
        return entry

    def caller(self, entry: int = 0, token: str = MEMBER_TOKEN) -> Caller:
        return Caller(self.addresses[entry].callers, token)

    def starts(self) -> dict[str, int]:
        return total_starts(target.starts() for target in self.targets)

    def is_formed(self) -> bool:
        ready = {entry.own.name for entry in self.entries}
        has_slots = any(
            dispatcher.targets.total_open_slots
            for entry in self.entries
            for dispatcher in entry.parts.dispatch_task.dispatchers.values()
        )
        return has_slots and all(
            entry.parts.hub.live.ready == ready for entry in self.entries
        )

    async def wait_for(
        self, condition: Callable[[], bool], limit_s: float = 15.0
    ) -> None:
        async with asyncio.timeout(limit_s):
            while not condition():
                await asyncio.sleep(0.01)

    async def stop(self) -> None:
        for entry in self.entries:
            await entry.abort()
        for target in self.targets:
            await target.stop()
        await self.platform.stop()

    def _write_configuration(self, document: dict) -> None:
        pools = [dict(pool) for pool in document["pools"]]
        names = [target.name for target in self.targets]
        share = max(len(names) // len(pools), 1)
        for number, pool in enumerate(pools):
            if not pool["instances"]:
                pool["instances"] = names[number * share : (number + 1) * share]
        text = yaml.safe_dump({**document, "pools": pools})
        (self.folder / "configuration.yaml").write_text(text)


StartFleet = Callable[..., Awaitable[Fleet]]
StartPlatform = Callable[..., Awaitable["PlatformProcesses"]]


@pytest.fixture
async def start_fleet(tmp_path: Path) -> AsyncIterator[StartFleet]:
    """Return a function that starts a fleet, which is stopped after the test."""
    started: list[Fleet] = []

    async def start(entries: int = 1, targets: int = 2, **kwargs) -> Fleet:
        fleet = Fleet(tmp_path)
        started.append(fleet)
        await fleet.start(entries, targets, **kwargs)
        return fleet

    yield start
    for fleet in started:
        await fleet.stop()


@pytest.fixture
async def start_processes(tmp_path: Path) -> AsyncIterator[StartFleet]:
    """Return a function that starts a fleet of processes, stopped after the test."""
    from cornelturn.tests.processes import Processes

    started: list[Processes] = []

    async def start(entries: int = 3, targets: int = 2, **kwargs) -> Processes:
        processes = Processes(tmp_path)
        started.append(processes)
        await processes.start(entries, targets, **kwargs)
        return processes

    yield start
    for processes in started:
        await processes.stop()


@pytest.fixture
async def start_platform(tmp_path: Path) -> AsyncIterator[StartPlatform]:
    """Return a function that starts entries of the platform as processes."""
    from cornelturn.tests.platform_processes import PlatformProcesses

    started: list[PlatformProcesses] = []

    async def start(**sizes: int) -> PlatformProcesses:
        processes = PlatformProcesses(tmp_path)
        started.append(processes)
        await processes.start(**sizes)
        return processes

    yield start
    for processes in started:
        await processes.stop()


@pytest.fixture
def events(caplog: pytest.LogCaptureFixture) -> Iterator[pytest.LogCaptureFixture]:
    """Capture log events, including those at level INFO."""
    verbosity = logging.get_verbosity()
    logging.set_verbosity(logging.INFO)
    yield caplog
    logging.set_verbosity(verbosity)


@pytest.fixture
def runner() -> Iterator[asyncio.Runner]:
    """Return a runner whose event loop has a fake clock."""
    with asyncio.Runner(loop_factory=FakeTimeLoop) as runner:
        yield runner


@pytest.fixture
def manual_time() -> ManualTime:
    """Return a time source that the test advances by hand."""
    return ManualTime()


@pytest.fixture
def make_scheduler() -> Callable[..., PoolScheduler]:
    """Return a factory of schedulers with reachable targets and all rows read."""
    return new_scheduler


@pytest.fixture
def make_pool() -> Callable[..., Pool]:
    """Return a factory of pools of some cores whose rows have been read."""
    return new_fair_pool


@pytest.fixture
def play(monkeypatch: pytest.MonkeyPatch) -> Callable[..., JobFleet]:
    """Return a function that runs a script on a fleet with a fake clock.

    It fails if a rule was violated, and returns the fleet in its final state.
    """

    def run(
        script: FleetScript,
        pools: tuple[str, ...] = POOLS,
        processors: Mapping[str, float] | None = None,
        approval_pools: frozenset[str] = frozenset(),
        **sizes: int,
    ) -> JobFleet:
        runner = asyncio.Runner(loop_factory=FakeTimeLoop)
        with runner:
            network = Network(runner.get_loop(), random.Random(SEED))
            network.patch(monkeypatch)
            fleet = JobFleet(network, pools=pools, processors=dict(processors or {}))
            fleet.approval_pools = approval_pools
            runner.run(_run_and_stop(fleet, script, sizes))
        assert fleet.checker.violations == []
        return fleet

    return run


async def _run_and_stop(
    fleet: JobFleet, script: FleetScript, sizes: dict[str, int]
) -> None:
    try:
        await fleet.start(**sizes)
        await script(fleet)
    finally:
        await fleet.stop()
