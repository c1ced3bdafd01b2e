"""Measures preset switches, maintenance waves and store use of fleets of entries.

Run ``python -m cornelturn.benchmarks.fleet``. Entries are separate processes; the
platform and the targets run in the benchmark's process. Preset switches and waves are
measured with 9 entries and 30 targets.
"""

from __future__ import annotations

import asyncio
import signal
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
import yaml

from cornelturn.benchmarks.path import processor_s, resident_mb
from cornelturn.standins.platform import Fault, PlatformStandin
from cornelturn.standins.target import TargetStandin
from cornelturn.store.wire import WireInstance
from cornelturn.tests.conftest import OPERATOR_TOKEN, Caller
from cornelturn.tests.processes import Processes

TARGETS_PER_POOL = 6
SENT_REQUESTS = 200
SEND_INTERVAL_S = 0.05
MAX_UNAVAILABLE = 2
REBOOT_MS = 30_000
PRESET_SWITCHES = 8
IDLE_MEASUREMENT_S = 20
POLL_INTERVAL_S = 0.01


@dataclass(slots=True)
class BenchmarkFleet:
    """A platform and targets in this process, with each entry in a separate process."""

    folder: Path
    entry_count: int
    pool_count: int
    targets_per_pool: int = TARGETS_PER_POOL
    platform: PlatformStandin = field(default_factory=PlatformStandin)
    targets: list[TargetStandin] = field(default_factory=list)
    processes: Processes = field(init=False)

    async def start(self) -> None:
        """Start the platform, the targets and the entries; wait until all are ready."""
        self.processes = Processes(self.folder)
        self.processes.platform_url = await self.platform.start()
        self.platform.reboot_ms = REBOOT_MS
        for number in range(self.pool_count * self.targets_per_pool):
            await self._add_target(number)
        text = yaml.safe_dump(self._document())
        (self.folder / "configuration.yaml").write_text(text)
        for number in range(self.entry_count):
            await self.processes.start_entry(f"entry-{number}")
        for entry in self.processes.entries.values():
            await entry.wait_event("entry_ready")
        await asyncio.sleep(3)

    async def stop(self) -> None:
        """Stop the entries, the targets and the platform."""
        await self.processes.stop()
        for target in self.targets:
            await target.stop()
        await self.platform.stop()

    def operator(self, entry: str = "entry-0") -> Caller:
        """Return a client of an entry's operator API."""
        url = self.processes.entries[entry].started["operators"]
        return Caller(url, OPERATOR_TOKEN)

    async def _add_target(self, number: int) -> None:
        target = TargetStandin(f"target-{number}")
        address = await target.start()
        self.targets.append(target)
        self.platform.instances[target.name] = WireInstance(
            name=target.name,
            data_centre=f"dc-{number % 3}",
            rack=f"rack-{number // 4}",
            address=address,
            slots=8,
            cores=64.0,
            memory_mb=262_144,
        )

    def _document(self) -> dict:
        names = [target.name for target in self.targets]
        pools = [
            {
                "name": f"pool-{index}",
                "max_unavailable": MAX_UNAVAILABLE,
                "instances": names[
                    index * self.targets_per_pool : (index + 1) * self.targets_per_pool
                ],
            }
            for index in range(self.pool_count)
        ]
        queues = [
            {
                "name": f"queue-{index}",
                "pool": f"pool-{index}",
                "work_class": "standard",
                "idempotent": False,
                "share": 0.8,
                "deadline_ms": 5_000,
                "run_ms": 50,
            }
            for index in range(self.pool_count)
        ]
        presets = [
            {"name": "ordinary"},
            {"name": "peak"},
            {"name": "maintenance", "maintenance": True},
        ]
        return {
            "preset": "ordinary",
            "pools": pools,
            "queues": queues,
            "presets": presets,
        }


async def fetch_generations(fleet: BenchmarkFleet, names: list[str]) -> list[int]:
    """Return the generation of the configuration in force at each entry."""
    answers = await asyncio.gather(
        *(fleet.operator(name).call("GET", "/configuration") for name in names)
    )
    return [int(answer.etag.strip('"')) for answer in answers]


async def time_preset_switch(
    fleet: BenchmarkFleet, preset: str, names: list[str]
) -> float:
    """Switch to a preset; return the seconds until it is in force at all entries."""
    started_s = time.perf_counter()
    answer = await fleet.operator().call("PUT", f"/preset/{preset}", b"{}")
    generation = int(answer.etag.strip('"'))
    while min(await fetch_generations(fleet, names)) < generation:
        await asyncio.sleep(POLL_INTERVAL_S)
    return time.perf_counter() - started_s


async def measure_activation(fleet: BenchmarkFleet) -> None:
    """Print the time until a preset is in force at all entries.

    It is measured without faults, with a frozen peer, and with a store that fails
    right after the switch.
    """
    names = list(fleet.processes.entries)
    presets = ("peak", "ordinary")
    switches_s = [
        await time_preset_switch(fleet, presets[index % 2], names)
        for index in range(PRESET_SWITCHES)
    ]
    print(f"in force at the last of {len(names)}: worst {max(switches_s):.2f} s")
    frozen_entry = names[-1]
    fleet.processes.entries[frozen_entry].send(signal.SIGSTOP)
    switch_s = await time_preset_switch(fleet, "peak", names[:-1])
    print(f"with a peer frozen, at the others: {switch_s:.2f} s")
    fleet.processes.entries[frozen_entry].send(signal.SIGCONT)
    started_s = time.perf_counter()
    while len(set(await fetch_generations(fleet, names))) > 1:
        await asyncio.sleep(POLL_INTERVAL_S)
    print(f"at the frozen peer after it woke: {time.perf_counter() - started_s:.2f} s")
    started_s = time.perf_counter()
    answer = await fleet.operator().call("PUT", "/preset/ordinary", b"{}")
    fleet.platform.set_fault(Fault.DOWN)
    generation = int(answer.etag.strip('"'))
    while min(await fetch_generations(fleet, names)) < generation:
        await asyncio.sleep(POLL_INTERVAL_S)
    print(f"with the table down just after: {time.perf_counter() - started_s:.2f} s")
    fleet.platform.set_fault(Fault.NONE)


async def measure_idle_store_use(fleet: BenchmarkFleet) -> None:
    """Print the store calls, memory and processor time of idle entries."""
    pids = [entry.process.pid for entry in fleet.processes.entries.values()]
    before_s = [processor_s(pid) for pid in pids]
    reads, writes = fleet.platform.reads, fleet.platform.writes
    await asyncio.sleep(IDLE_MEASUREMENT_S)
    reads = (fleet.platform.reads - reads) / IDLE_MEASUREMENT_S
    writes = (fleet.platform.writes - writes) / IDLE_MEASUREMENT_S
    after_s = [processor_s(pid) for pid in pids]
    share = (
        max(now_s - was_s for now_s, was_s in zip(after_s, before_s, strict=True))
        / IDLE_MEASUREMENT_S
    )
    memory_mb = max(resident_mb(pid) for pid in pids)
    print(
        f"{fleet.entry_count} entries, {fleet.pool_count} pools, {len(fleet.targets)} "
        f"instances: {reads:.1f} reads and {writes:.1f} writes a second; largest entry "
        f"{memory_mb:.0f} MB, {share:.1%} of a core"
    )


async def measure_store_use(fleet: BenchmarkFleet) -> None:
    """Print the store calls per second during non-idempotent requests."""
    reads, writes = fleet.platform.reads, fleet.platform.writes
    started_s = time.perf_counter()
    names = list(fleet.processes.entries)
    tasks: list[asyncio.Task] = []
    for number in range(SENT_REQUESTS):
        caller = fleet.processes.caller(names[number % len(names)])
        queue = f"queue-{number % fleet.pool_count}"
        tasks.append(asyncio.create_task(caller.post(queue, b"%d" % number)))
        await asyncio.sleep(SEND_INTERVAL_S)
    answers = await asyncio.gather(*tasks)
    elapsed_s = time.perf_counter() - started_s
    completed = sum(answer.status == 200 for answer in answers)
    print(
        f"{completed} of {SENT_REQUESTS} non-idempotent requests in {elapsed_s:.0f} s: "
        f"{(fleet.platform.reads - reads) / elapsed_s:.1f} reads and "
        f"{(fleet.platform.writes - writes) / elapsed_s:.1f} writes a second"
    )


async def measure_roll_out(fleet: BenchmarkFleet) -> None:
    """Print the duration of a wave over all pools and its ratio to the minimum."""
    await time_preset_switch(fleet, "maintenance", list(fleet.processes.entries))
    started_s = time.perf_counter()
    for index in range(fleet.pool_count):
        path = f"/maintenance/pool-{index}/start"
        await fleet.operator().call("PUT", path, b"{}")
    while not await _are_waves_done(fleet):
        await asyncio.sleep(0.2)
    elapsed_s = time.perf_counter() - started_s
    minimum_s = TARGETS_PER_POOL / MAX_UNAVAILABLE * REBOOT_MS / 1_000
    reboots = [target.reboots for target in fleet.targets]
    ratio = elapsed_s / minimum_s
    print(
        f"roll-out of {len(fleet.targets)} instances, reboots of {REBOOT_MS} ms: "
        f"{elapsed_s:.1f} s, least possible {minimum_s:.0f} s, "
        f"ratio {ratio:.2f}; each rebooted {min(reboots)} to {max(reboots)} times"
    )


async def _are_waves_done(fleet: BenchmarkFleet) -> bool:
    for index in range(fleet.pool_count):
        answer = await fleet.operator().call("GET", f"/maintenance/pool-{index}")
        if msgspec.json.decode(answer.body)["state"] != "done":
            return False
    return True


async def main() -> None:
    """Print the measurements of each fleet size."""
    for entry_count, pool_count, targets_per_pool in (
        (3, 5, 6),
        (9, 5, 6),
        (9, 5, 12),
        (9, 10, 6),
    ):
        with tempfile.TemporaryDirectory() as folder:
            fleet = BenchmarkFleet(
                Path(folder), entry_count, pool_count, targets_per_pool
            )
            try:
                await fleet.start()
                await measure_idle_store_use(fleet)
                if (entry_count, pool_count, targets_per_pool) == (9, 5, 6):
                    await measure_store_use(fleet)
                    await measure_activation(fleet)
                    await measure_roll_out(fleet)
            finally:
                await fleet.stop()


if __name__ == "__main__":
    asyncio.run(main())
