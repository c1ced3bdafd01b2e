"""Time in force, roll-out time and use of the table service with 9 entries.

Run ``python -m cornelturn.benchmarks.fleet``. Entries are separate processes; the
platform and 30 targets are tasks of the benchmark.
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

PER_POOL = 6
WORK_SENT = 200
WORK_PAUSE_S = 0.05
MAX_UNAVAILABLE = 2
REBOOT_MS = 30_000
SWITCHES = 8
IDLE_S = 20
POLL_S = 0.01


@dataclass(slots=True)
class Bench:
    """A platform and targets in this process, entries in processes of their own."""

    folder: Path
    entries: int
    pools: int
    per_pool: int = PER_POOL
    platform: PlatformStandin = field(default_factory=PlatformStandin)
    targets: list[TargetStandin] = field(default_factory=list)
    fleet: Processes = field(init=False)

    async def start(self) -> None:
        """Start everything and wait until all entries are ready."""
        self.fleet = Processes(self.folder)
        self.fleet.platform_url = await self.platform.start()
        self.platform.reboot_ms = REBOOT_MS
        for number in range(self.pools * self.per_pool):
            await self._add_target(number)
        text = yaml.safe_dump(self._document())
        (self.folder / "configuration.yaml").write_text(text)
        for number in range(self.entries):
            await self.fleet.start_entry(f"entry-{number}")
        for program in self.fleet.entries.values():
            await program.wait_event("entry_ready")
        await asyncio.sleep(3)

    async def stop(self) -> None:
        """Stop everything."""
        await self.fleet.stop()
        for target in self.targets:
            await target.stop()
        await self.platform.stop()

    def operator(self, entry: str = "entry-0") -> Caller:
        """Return a caller of the operators' interface."""
        url = self.fleet.entries[entry].started["operators"]
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
                "name": f"pool-{at}",
                "max_unavailable": MAX_UNAVAILABLE,
                "instances": names[at * self.per_pool : (at + 1) * self.per_pool],
            }
            for at in range(self.pools)
        ]
        queues = [
            {
                "name": f"queue-{at}",
                "pool": f"pool-{at}",
                "work_class": "standard",
                "idempotent": False,
                "share": 0.8,
                "deadline_ms": 5_000,
                "run_ms": 50,
            }
            for at in range(self.pools)
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


async def generations(bench: Bench, names: list[str]) -> list[int]:
    """Return the generation in force at some entries."""
    answers = await asyncio.gather(
        *(bench.operator(name).call("GET", "/configuration") for name in names)
    )
    return [int(answer.etag.strip('"')) for answer in answers]


async def time_in_force(bench: Bench, preset: str, names: list[str]) -> float:
    """Switch a preset and return seconds until the last entry has it in force."""
    started_s = time.perf_counter()
    answer = await bench.operator().call("PUT", f"/preset/{preset}", b"{}")
    accepted = int(answer.etag.strip('"'))
    while min(await generations(bench, names)) < accepted:
        await asyncio.sleep(POLL_S)
    return time.perf_counter() - started_s


async def in_force(bench: Bench) -> None:
    """Print times in force: all well, a peer frozen, the table down at once."""
    names = list(bench.fleet.entries)
    presets = ("peak", "ordinary")
    times = [
        await time_in_force(bench, presets[at % 2], names) for at in range(SWITCHES)
    ]
    print(f"in force at the last of {len(names)}: worst {max(times):.2f} s")
    frozen = names[-1]
    bench.fleet.entries[frozen].send(signal.SIGSTOP)
    time_s = await time_in_force(bench, "peak", names[:-1])
    print(f"with a peer frozen, at the others: {time_s:.2f} s")
    bench.fleet.entries[frozen].send(signal.SIGCONT)
    started_s = time.perf_counter()
    while len(set(await generations(bench, names))) > 1:
        await asyncio.sleep(POLL_S)
    print(f"at the frozen peer after it woke: {time.perf_counter() - started_s:.2f} s")
    started_s = time.perf_counter()
    answer = await bench.operator().call("PUT", "/preset/ordinary", b"{}")
    bench.platform.set_fault(Fault.DOWN)
    accepted = int(answer.etag.strip('"'))
    while min(await generations(bench, names)) < accepted:
        await asyncio.sleep(POLL_S)
    print(f"with the table down just after: {time.perf_counter() - started_s:.2f} s")
    bench.platform.set_fault(Fault.NONE)


async def table_use(bench: Bench) -> None:
    """Print the use of the table by idle entries, with memory and processor time."""
    pids = [one.process.pid for one in bench.fleet.entries.values()]
    before = [processor_s(pid) for pid in pids]
    reads, writes = bench.platform.reads, bench.platform.writes
    await asyncio.sleep(IDLE_S)
    reads = (bench.platform.reads - reads) / IDLE_S
    writes = (bench.platform.writes - writes) / IDLE_S
    after = [processor_s(pid) for pid in pids]
    share = max(now - was for now, was in zip(after, before, strict=True)) / IDLE_S
    memory = max(resident_mb(pid) for pid in pids)
    print(
        f"{bench.entries} entries, {bench.pools} pools, {len(bench.targets)} "
        f"instances: {reads:.1f} reads and {writes:.1f} writes a second; largest entry "
        f"{memory:.0f} MB, {share:.1%} of a core"
    )


async def table_work(bench: Bench) -> None:
    """Print what non-idempotent requests add to the use of the table."""
    reads, writes = bench.platform.reads, bench.platform.writes
    started_s = time.perf_counter()
    names = list(bench.fleet.entries)
    tasks: list[asyncio.Task] = []
    for number in range(WORK_SENT):
        caller = bench.fleet.caller(names[number % len(names)])
        queue = f"queue-{number % bench.pools}"
        tasks.append(asyncio.create_task(caller.post(queue, b"%d" % number)))
        await asyncio.sleep(WORK_PAUSE_S)
    answers = await asyncio.gather(*tasks)
    took_s = time.perf_counter() - started_s
    good = sum(answer.status == 200 for answer in answers)
    print(
        f"{good} of {WORK_SENT} non-idempotent requests in {took_s:.0f} s: "
        f"{(bench.platform.reads - reads) / took_s:.1f} reads and "
        f"{(bench.platform.writes - writes) / took_s:.1f} writes a second"
    )


async def roll_out(bench: Bench) -> None:
    """Print the time of a wave over all pools against the least possible."""
    await time_in_force(bench, "maintenance", list(bench.fleet.entries))
    started_s = time.perf_counter()
    for at in range(bench.pools):
        path = f"/maintenance/pool-{at}/start"
        await bench.operator().call("PUT", path, b"{}")
    while not await _are_done(bench):
        await asyncio.sleep(0.2)
    took_s = time.perf_counter() - started_s
    least_s = PER_POOL / MAX_UNAVAILABLE * REBOOT_MS / 1_000
    reboots = [target.reboots for target in bench.targets]
    ratio = took_s / least_s
    print(
        f"roll-out of {len(bench.targets)} instances, reboots of {REBOOT_MS} ms: "
        f"{took_s:.1f} s, least possible {least_s:.0f} s, "
        f"ratio {ratio:.2f}; each rebooted {min(reboots)} to {max(reboots)} times"
    )


async def _are_done(bench: Bench) -> bool:
    for at in range(bench.pools):
        answer = await bench.operator().call("GET", f"/maintenance/pool-{at}")
        if msgspec.json.decode(answer.body)["state"] != "done":
            return False
    return True


async def main() -> None:
    """Print all figures."""
    for entries, pools, per_pool in ((3, 5, 6), (9, 5, 6), (9, 5, 12), (9, 10, 6)):
        with tempfile.TemporaryDirectory() as folder:
            bench = Bench(Path(folder), entries, pools, per_pool)
            try:
                await bench.start()
                await table_use(bench)
                if (entries, pools, per_pool) == (9, 5, 6):
                    await table_work(bench)
                    await in_force(bench)
                    await roll_out(bench)
            finally:
                await bench.stop()


if __name__ == "__main__":
    asyncio.run(main())
