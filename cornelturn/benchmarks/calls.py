"""Measures the processor time of a pool owner's calls and log lines.

Run ``python -m cornelturn.benchmarks.calls``. The calls go over loopback
sockets to a stub server in a separate process, whose time is not counted.
"""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from multiprocessing import Pipe, Process
from multiprocessing.connection import Connection

from absl import logging
from result import Result

from cornelturn.events.log import LINE_RATE_LIMITER, configure_logging, log_event
from cornelturn.events.sink import LineQueueHandler
from cornelturn.jobs.model import Resources, Run, TaskId
from cornelturn.platform.store import PlatformStore
from cornelturn.platform.targets import WorkerConnection
from cornelturn.store.rows import Put
from cornelturn.targets.model import (
    Executed,
    Lease,
    ListedTarget,
    OrderResult,
    StartOrder,
    TargetLife,
)

MEASURED_CALLS = 4_000
WARM_UP_CALLS = 100
LOG_LINES = 8_000
CONCURRENCIES = (1, 8)
SPEC_BYTES = 300
JOB_ROW_BYTES = 900
ROWS_PER_COMMIT = (1, 10)

MICROSECONDS_PER_SECOND = 1_000_000
HEADER_END = b"\r\n\r\n"
LEASE = Lease(7, 486_000)
RUN = Run(TaskId("5c0e7a21d94b36f8", 0, 1, 17), 2)

RESPONSES = {
    b"/run-start": b'{"clock_ms":482113}',
    b"/hold": (
        b'{"clock_ms":482113,"active":[["5c0e7a21d94b36f8.0.1.17",2,"",41,900]],'
        b'"finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]}'
    ),
    b"/rows-tx": b'{"rows":[],"row_version":12345}',
}


class StubServer(asyncio.Protocol):
    """Server that sends a fixed response for each path."""

    def __init__(self) -> None:
        self.received = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Respond once the request is complete."""
        self.received += data
        head, end, body = self.received.partition(HEADER_END)
        if not end or len(body) < _content_length(head):
            return
        self.received.clear()
        response = RESPONSES[bytes(head.split(b" ", 2)[1])]
        fields = b"Content-Type: application/json\r\nContent-Length: %d" % len(response)
        self.transport.write(
            b"HTTP/1.1 200 OK\r\n" + fields + HEADER_END + bytes(response)
        )


def _content_length(head: bytearray) -> int:
    for line in head.lower().split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name == b"content-length":
            return int(value)
    return 0


def serve(port_sender: Connection) -> None:
    """Send the port to the parent process and serve until it is terminated."""

    async def run() -> None:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(StubServer, "127.0.0.1", 0)
        port_sender.send(server.sockets[0].getsockname()[1])
        await server.serve_forever()

    asyncio.run(run())


@contextmanager
def run_stub_server() -> Iterator[str]:
    """Run a stub server in a separate process and yield its address."""
    receiving, sending = Pipe(duplex=False)
    process = Process(target=serve, args=(sending,), daemon=True)
    process.start()
    try:
        yield f"127.0.0.1:{receiving.recv()}"
    finally:
        process.terminate()
        process.join()


async def measure(name: str, call: Callable[[], Awaitable[object]]) -> None:
    """Print the processor time per call at each concurrency."""

    async def repeat(count: int) -> None:
        for _ in range(count):
            await call()

    for concurrency in CONCURRENCIES:
        await asyncio.gather(*(repeat(WARM_UP_CALLS) for _ in range(concurrency)))
        started_s = time.process_time()
        calls_per_task = MEASURED_CALLS // concurrency
        await asyncio.gather(*(repeat(calls_per_task) for _ in range(concurrency)))
        processor_s = time.process_time() - started_s
        call_us = processor_s / MEASURED_CALLS * MICROSECONDS_PER_SECOND
        print(f"{name}, {concurrency} at a time: {call_us:.0f} us")


async def measure_calls(address: str) -> None:
    """Print the processor time of starting a run, fetching a report and committing."""
    life = TargetLife("target-1", 1_000)
    target = ListedTarget(
        life, "pool", address, "", "", frozenset(), Resources(), False
    )
    calls = WorkerConnection(target)
    order = StartOrder(RUN, "x" * SPEC_BYTES)
    await measure("order", lambda: _check_executed(calls.send_order(order, LEASE)))
    await measure("report", lambda: _check_ok(calls.fetch_report(LEASE, 57, 900)))
    await calls.close()
    store = PlatformStore(address)
    for row_count in ROWS_PER_COMMIT:
        value = "x" * JOB_ROW_BYTES
        puts = [
            Put(f"jobs/queue.1/{number:016x}", value, 7) for number in range(row_count)
        ]
        await measure(
            f"commit of {row_count} rows",
            lambda puts=puts: _check_ok(store.commit(*puts)),
        )
    await store.close()


async def _check_executed(call: Awaitable[OrderResult]) -> None:
    result = await call
    if result != Executed():
        raise AssertionError(f"expected an executed order, got {result}")


async def _check_ok(call: Awaitable[Result[object, object]]) -> None:
    (await call).unwrap()


def measure_log_lines() -> None:
    """Print the processor time of log lines, written to the null device or dropped."""
    measure_log_line("log line", LOG_LINES)
    measure_log_line("line left out", 0)


def measure_log_line(name: str, max_lines_per_s: int) -> None:
    """Print the processor time per log line, including the time to write it."""
    with open(os.devnull, "w") as stream:
        configure_logging("info", stream)
        LINE_RATE_LIMITER.max_lines_per_s = max_lines_per_s
        started_s = time.process_time()
        _log_lines()
        _close_handlers()
        processor_s = time.process_time() - started_s
    print(f"{name}: {processor_s / LOG_LINES * MICROSECONDS_PER_SECOND:.1f} us")


def _log_lines() -> None:
    for number in range(LOG_LINES):
        log_event(
            "run_start",
            run="5c0e7a21d94b36f8.0.1.17#2",
            pool="pool-1",
            target="server-7f3a",
            generation=7,
            row_version=number,
            report_age_ms=120,
            free_cpu=1500,
            waited_ms=37,
        )


def _close_handlers() -> None:
    for handler in logging.get_absl_logger().handlers:
        if isinstance(handler, LineQueueHandler):
            handler.close()


def main() -> None:
    """Print the processor time of calls and log lines."""
    with run_stub_server() as address:
        asyncio.run(measure_calls(address))
    measure_log_lines()


if __name__ == "__main__":
    main()
