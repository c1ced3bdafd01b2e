"""Measures throughput and latency of requests through entries and to targets directly.

Run ``python -m cornelturn.benchmarks.path``. Entries and targets are separate
processes on loopback addresses; the number of requests is fixed.
"""

from __future__ import annotations

import asyncio
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from cornelturn.store.http_client import ClientSession, call, open_session
from cornelturn.tests.conftest import MEMBER_TOKEN
from cornelturn.tests.processes import Processes

SERIAL_REQUESTS = 300
PARALLEL_REQUESTS = 3_000
CONCURRENCY = 24
TIMEOUT_MS = 10_000
RUN_MS = 5
TARGET_COUNT = 6


@dataclass(frozen=True, slots=True)
class Timing:
    """Latency and throughput of a request path.

    Parameters
    ----------
    median_ms, p99_ms : float
        Latency with one request at a time.
    requests_per_s : float
        Throughput with `CONCURRENCY` requests at a time.
    """

    median_ms: float
    p99_ms: float
    requests_per_s: float


async def _send_request(session: ClientSession, path: str, number: int) -> float:
    headers = [
        (b"Authorization", f"Bearer {MEMBER_TOKEN}".encode()),
        (b"Request-Id", b"direct-%d" % number),
        (b"Attempt-Id", b"direct"),
    ]
    started_s = time.perf_counter()
    result = await call(
        session, "POST", path, TIMEOUT_MS, b"reference", headers, "text/plain"
    )
    if result.unwrap().status != 200:
        raise AssertionError(f"expected status 200, got {result.unwrap().status}")
    return (time.perf_counter() - started_s) * 1_000


async def measure(urls: list[str], path: str) -> Timing:
    """Measure requests that are spread evenly over some URLs."""
    sessions = [open_session(url, TIMEOUT_MS) for url in urls]
    for number in range(40):
        await _send_request(sessions[number % len(urls)], path, number)
    latencies_ms = sorted(
        [
            await _send_request(sessions[number % len(urls)], path, number)
            for number in range(SERIAL_REQUESTS)
        ]
    )
    semaphore = asyncio.Semaphore(CONCURRENCY)

    async def send_limited(number: int) -> None:
        async with semaphore:
            await _send_request(sessions[number % len(urls)], path, number)

    started_s = time.perf_counter()
    await asyncio.gather(*(send_limited(number) for number in range(PARALLEL_REQUESTS)))
    requests_per_s = PARALLEL_REQUESTS / (time.perf_counter() - started_s)
    for session in sessions:
        await session.close()
    return Timing(
        latencies_ms[len(latencies_ms) // 2],
        latencies_ms[int(len(latencies_ms) * 0.99)],
        requests_per_s,
    )


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in megabytes."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1_024
    return 0.0


def processor_s(pid: int) -> float:
    """Return the processor time of a process in seconds; a clock tick is 1/100 s."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / 100


async def main() -> None:
    """Run the benchmark with new processes."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Processes(Path(folder))
        try:
            await measure_all(fleet)
        finally:
            await fleet.stop()


async def measure_all(fleet: Processes) -> None:
    """Start the fleet and print the latency and throughput of each path."""
    await fleet.start(entries=1, targets=TARGET_COUNT, run_ms=RUN_MS)
    print(f"targets {TARGET_COUNT}, run time {RUN_MS} ms, concurrency {CONCURRENCY}")
    direct = await measure(list(fleet.targets.values()), "/run/lookup")
    print_timing("direct", direct)
    first_urls = [fleet.entries["entry-0"].started["callers"]]
    print_timing("1 entry", await measure(first_urls, "/queues/lookup/requests"))
    for name in ("entry-1", "entry-2"):
        started_s = time.perf_counter()
        entry = await fleet.start_entry(name)
        await entry.wait_event("entry_ready")
    startup_s = time.perf_counter() - started_s
    urls = [entry.started["callers"] for entry in fleet.entries.values()]
    print_timing("3 entries", await measure(urls, "/queues/lookup/requests"))
    await measure_idle(fleet, startup_s)


async def measure_idle(fleet: Processes, startup_s: float) -> None:
    """Print the memory and processor time of idle entries, and the start-up time."""
    pids = [entry.process.pid for entry in fleet.entries.values()]
    processor_before_s = [processor_s(pid) for pid in pids]
    duration_s = 10
    await asyncio.sleep(duration_s)
    shares = [
        (processor_s(pid) - before_s) / duration_s
        for pid, before_s in zip(pids, processor_before_s, strict=True)
    ]
    memory_mb = [resident_mb(pid) for pid in pids]
    print(
        "resident memory after load, MB: "
        f"{' '.join(f'{size_mb:.0f}' for size_mb in memory_mb)}"
    )
    print(f"processor share when idle: {' '.join(f'{share:.1%}' for share in shares)}")
    print(f"start-up until ready: {startup_s:.2f} s")


def print_timing(name: str, timing: Timing) -> None:
    """Print the latency and throughput of a path."""
    print(
        f"{name:10s} median {timing.median_ms:6.2f} ms  p99 {timing.p99_ms:6.2f} ms  "
        f"{timing.requests_per_s:6.0f} requests a second"
    )


if __name__ == "__main__":
    asyncio.run(main())
