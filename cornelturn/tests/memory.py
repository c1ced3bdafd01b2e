"""A fleet that runs in one event loop on a fake clock, over in-memory connections."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from cornelturn.cli.run import ABORT_MARGIN_MS, stop_or_abort
from cornelturn.clock import Clock
from cornelturn.entry.process import EntryProcess, ListenerAddresses
from cornelturn.fleet.registry import INSTANCE_PREFIX, decode_instance
from cornelturn.model.fleet import InstanceState
from cornelturn.settings.models import EntrySettings
from cornelturn.standins.platform import PlatformStandin
from cornelturn.standins.register import target_instance
from cornelturn.standins.table import MemoryTable
from cornelturn.standins.target import TargetStandin
from cornelturn.store.wire import WireOperation
from cornelturn.tests.conftest import (
    Caller,
    settings_document,
    total_starts,
    write_single_pool_configuration,
)
from cornelturn.tests.network import Network, owner_context

DATA_CENTRES = 3
RACK_SIZE = 4
START_LIMIT_S = 20.0
REBOOT_MS = 2_000
MAINTENANCE_STATES = (InstanceState.DRAINING, InstanceState.REBOOTING)
NANOSECONDS_PER_S = 1_000_000_000


@dataclass
class MaintenanceCountTable(MemoryTable):
    """Table that records the largest number of instances in maintenance at once."""

    max_in_maintenance: int = 0

    def transact(self, operations: tuple[WireOperation, ...]) -> tuple[str, ...]:
        failed = super().transact(operations)
        states = [
            decode_instance(row.value).state
            for key, row in self.rows.items()
            if key.startswith(INSTANCE_PREFIX)
        ]
        in_maintenance = sum(state in MAINTENANCE_STATES for state in states)
        self.max_in_maintenance = max(self.max_in_maintenance, in_maintenance)
        return failed


@dataclass
class MemoryFleet:
    """A platform, targets and entries, each an owner of callbacks of one loop.

    Parameters
    ----------
    seed : int
        Seed of the random number generators of the entries.
    """

    folder: Path
    network: Network
    seed: int = 1
    platform: PlatformStandin = field(
        default_factory=lambda: PlatformStandin(
            reboot_ms=REBOOT_MS, table=MaintenanceCountTable()
        )
    )
    platform_url: str = ""
    targets: dict[str, str] = field(default_factory=dict)
    standins: dict[str, TargetStandin] = field(default_factory=dict)
    entries: dict[str, ListenerAddresses] = field(default_factory=dict)
    processes: dict[str, EntryProcess] = field(default_factory=dict)
    ended: set[str] = field(default_factory=set)

    async def start(self, entries: int, targets: int, run_ms: int = 20) -> None:
        self.platform_url = await self._run_as("platform", self.platform.start())
        for number in range(targets):
            await self._add_target(number, run_ms)
        write_single_pool_configuration(self.folder, list(self.targets))
        for number in range(entries):
            await self._add_entry(f"entry-{number}", number)
        async with asyncio.timeout(START_LIMIT_S):
            for process in self.processes.values():
                await process.wait_ready()

    def caller(self, entry: str) -> Caller:
        return Caller(self.entries[entry].callers)

    def operators_url(self, entry: str) -> str:
        return self.entries[entry].operators

    def has_ended(self, entry: str) -> bool:
        return entry in self.ended

    async def starts(self) -> dict[str, int]:
        return total_starts(target.starts() for target in self.standins.values())

    def kill(self, name: str) -> None:
        self.network.kill(name)

    def freeze(self, name: str) -> None:
        self.network.loop.paused.add(name)

    def machines_in_data_centre(self, place: str) -> list[str]:
        """Return the targets and entries of a data centre."""
        entries = enumerate(self.entries)
        targets = enumerate(self.targets)
        return [
            name
            for number, name in (*entries, *targets)
            if data_centre(number) == place
        ]

    def thaw(self, name: str) -> None:
        """Resume a frozen machine, unless it has been killed."""
        if name not in self.network.dead:
            self.network.loop.resume(name)

    async def stop(self) -> None:
        """Drop all frames, and run the deferred callbacks so that they end."""
        loop = self.network.loop
        self.network.dead.update(self.processes, self.standins, {"platform"})
        for server in self.network.servers.values():
            server.abort()
        for owner in list(loop.paused):
            loop.resume(owner)

    async def _add_target(self, number: int, run_ms: int) -> None:
        name = f"target-{number}"
        target = TargetStandin(name, run_ms=run_ms)
        self.targets[name] = await self._run_as(name, target.start())
        self.standins[name] = target
        place = f"{data_centre(number)}/rack-{number // RACK_SIZE}"
        instance = target_instance(name, self.targets[name], place)
        self.platform.instances[name] = instance

    async def _add_entry(self, name: str, number: int) -> None:
        document = settings_document(name, self.platform_url, self.folder)
        document["data_centre"] = data_centre(number)
        settings = EntrySettings.model_validate(document)
        clock = Clock(lambda: round(self.network.loop.time() * NANOSECONDS_PER_S))
        rng = random.Random(self.seed * 1_000 + number)
        process = EntryProcess(settings, clock, rng=rng)
        self.processes[name] = process
        self.entries[name] = await self._run_as(name, process.start())
        stopping = self._end_when_failed(name, process)
        asyncio.create_task(stopping, context=owner_context(name))

    async def _end_when_failed(self, name: str, process: EntryProcess) -> None:
        await process.failed.wait()
        limit_ms = process.settings.limits.drain_limit_ms + ABORT_MARGIN_MS
        self.ended.add(name)
        await stop_or_abort(process, limit_ms)
        self.network.kill(name)

    async def _run_as(self, owner: str, work: Coroutine[Any, Any, Any]) -> Any:
        return await asyncio.create_task(work, context=owner_context(owner))


def data_centre(number: int) -> str:
    """Return the data centre of the n-th machine of a kind."""
    return f"dc-{number % DATA_CENTRES + 1}"
