"""Measures what the guard of connections costs an ordinary request.

Run ``python -m cornelturn.benchmarks.guarded_connections``. One process serves the
same application with and without the guard; clients in another process send the
submission of a small job over open connections. Rounds alternate between both, and
the figures are processor time of the server per request.
"""

from __future__ import annotations

import asyncio
import statistics
import sys
import time
from asyncio.subprocess import PIPE
from dataclasses import dataclass, field

import msgspec
from blacksheep import Content, Request, Response
from prometheus_client import CollectorRegistry, Counter

from cornelturn.http.connection_guard import ConnectionGuard
from cornelturn.http.process_budget import derive_limits
from cornelturn.http.routes import add_route, new_application
from cornelturn.http.server import HttpServer
from cornelturn.model.routes import CallerLimits
from cornelturn.platform.documents import decode_job_body
from cornelturn.platform.ingress import read_body

ROUNDS = 40
REQUESTS_PER_CONNECTION = 250
CONNECTIONS = 8
MICROSECONDS_PER_SECOND = 1e6
STEP = {"count": 10, "cpu": 1_000, "mem_mb": 100, "estimated_ms": 300}
BODY = msgspec.json.encode({"spec": "t" * 200, "phases": [STEP, STEP]})
HEADERS = (
    b"Host: work.example",
    b"User-Agent: client/1.0",
    b"Accept: */*",
    b"Accept-Encoding: gzip, deflate",
    b"Connection: keep-alive",
    b"Cornelturn-Deadline-Ms: 2000",
    b"Content-Type: application/json",
    b"Content-Length: %d" % len(BODY),
)


async def handle(request: Request) -> Response:
    """Decode a job as the platform's front end does."""
    body = await read_body(request, CallerLimits().max_body_bytes)
    decode_job_body(body, "0" * 16, "queue", "pool").unwrap()
    return Response(200, content=Content(b"application/json", b"{}"))


@dataclass
class Rounds:
    """Server with or without the guard, and its processor time per request."""

    guard: ConnectionGuard | None
    port: int = 0
    costs_us: list[float] = field(default_factory=list)

    async def start(self) -> None:
        app = new_application()
        add_route(app, "POST", "/*", handle)
        self.port = await HttpServer(app, "127.0.0.1", 0, guard=self.guard).start()

    async def play(self, is_counted: bool) -> None:
        client = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", __spec__.name, str(self.port)),
            stdin=PIPE,
            stdout=PIPE,
        )
        await client.stdout.readline()
        before_s = time.process_time()
        client.stdin.write(b"\n")
        await client.wait()
        spent_s = time.process_time() - before_s
        requests = REQUESTS_PER_CONNECTION * CONNECTIONS
        if is_counted:
            self.costs_us.append(spent_s * MICROSECONDS_PER_SECOND / requests)


async def send_requests(port: int) -> None:
    """Send requests one after another over one connection."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    head = b"\r\n".join((b"POST /phone/%016x HTTP/1.1" % 1, *HEADERS, b"", b""))
    for _ in range(REQUESTS_PER_CONNECTION):
        writer.write(head + BODY)
        answer = await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(len(b"{}"))
        if not answer.startswith(b"HTTP/1.1 200"):
            raise AssertionError(f"expected status 200, got {answer[:40]!r}")
    writer.close()


async def run_client(port: int) -> None:
    """Send requests over all connections once the server's process says so."""
    print("ready", flush=True)
    sys.stdin.readline()
    await asyncio.gather(*(send_requests(port) for _ in range(CONNECTIONS)))


async def main() -> None:
    """Print the cost of a request without and with the guard."""
    counter = Counter("refused", "help", ["cause"], registry=CollectorRegistry())
    limits = CallerLimits()
    guard = ConnectionGuard(derive_limits(200, 4_100), lambda: limits, counter)
    plain, guarded = Rounds(None), Rounds(guard)
    for rounds in (plain, guarded):
        await rounds.start()
    for number in range(ROUNDS + 1):
        pair = (plain, guarded) if number % 2 else (guarded, plain)
        for rounds in pair:
            await rounds.play(is_counted=number > 0)
    without_us = statistics.median(plain.costs_us)
    with_us = statistics.median(guarded.costs_us)
    ratios = sorted(
        after / before
        for before, after in zip(plain.costs_us, guarded.costs_us, strict=True)
    )
    print(f"without guard {without_us:.1f} us, with guard {with_us:.1f} us")
    print(
        f"median of pairs {statistics.median(ratios):.3f}, quartiles "
        f"{ratios[len(ratios) // 4]:.3f} and {ratios[len(ratios) * 3 // 4]:.3f}"
    )


if __name__ == "__main__":
    if len(sys.argv) > 1:
        asyncio.run(run_client(int(sys.argv[1])))
    else:
        asyncio.run(main())
