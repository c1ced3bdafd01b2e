"""The guard of connections: what it refuses, and what it never refuses."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field

import pytest
from blacksheep import Request, Response
from prometheus_client import CollectorRegistry, Counter

from cornelturn.http.connection_guard import ConnectionGuard
from cornelturn.http.connection_limits import Cause, ConnectionLimits
from cornelturn.http.process_budget import ProcessBudget, ProcessLimits, derive_limits
from cornelturn.http.routes import add_route, new_application
from cornelturn.http.server import HttpServer
from cornelturn.model.routes import CallerLimits
from cornelturn.platform.settings import METRICS_PORT
from cornelturn.store.http_client import call, open_session

LIMITS = CallerLimits(
    max_header_bytes=1_000,
    max_body_bytes=2_000,
    header_timeout_ms=300,
    idle_timeout_ms=700,
)
READ_LIMIT_S = 10.0
SLOW_ANSWER_S = 2.5
GET = b"GET /fast HTTP/1.1\r\nHost: a\r\n\r\n"
POST = b"POST /fast HTTP/1.1\r\nHost: a\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"


@dataclass
class Served:
    """A guarded server and the bodies that its application has received."""

    guard: ConnectionGuard
    bodies: list[bytes] = field(default_factory=list)
    released: asyncio.Event = field(default_factory=asyncio.Event)
    port: int = 0

    async def fast(self, request: Request) -> Response:
        self.bodies.append(await request.read() or b"")
        return Response(204)

    async def slow(self, request: Request) -> Response:
        await asyncio.sleep(SLOW_ANSWER_S)
        return Response(204)

    async def stuck(self, request: Request) -> Response:
        self.bodies.append(await request.read() or b"")
        await self.released.wait()
        return Response(204)

    async def exchange(self, *packets: bytes) -> bytes:
        """Send packets and return all that the server sends until it closes."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        for packet in packets:
            writer.write(packet)
            await asyncio.sleep(0.01)
        async with asyncio.timeout(READ_LIMIT_S):
            data = await reader.read()
        writer.close()
        return data

    def count(self, cause: Cause) -> float:
        return self.guard.refusal_counter.labels(cause.value)._value.get()


StartServed = Callable[..., Awaitable[Served]]


@pytest.fixture
async def start_served() -> AsyncIterator[StartServed]:
    """Return a function that starts a guarded server."""
    servers: list[HttpServer] = []

    async def start(max_connections: int = 100, max_bytes: int = 0) -> Served:
        counter = Counter("refused", "help", ["cause"], registry=CollectorRegistry())
        limits = ProcessLimits(max_connections, max_bytes)
        served = Served(ConnectionGuard(limits, lambda: LIMITS, counter))
        app = new_application()
        for method in ("GET", "POST", "DELETE"):
            add_route(app, method, "/fast", served.fast)
            add_route(app, method, "/slow", served.slow)
            add_route(app, method, "/stuck", served.stuck)
        server = HttpServer(app, "127.0.0.1", 0, guard=served.guard)
        servers.append(server)
        served.port = await server.start()
        return served

    yield start
    for server in servers:
        server.abort()
        await server.stop()


@pytest.mark.parametrize(
    ("packets", "status", "cause"),
    [
        ([GET[:-2] + b"x: " + b"v" * 1_000], 431, Cause.HEAD_SIZE),
        ([CHUNKED + b"1;" + b"a" * 1_100 + b"\r\na\r\n"], 431, Cause.HEAD_SIZE),
        ([CHUNKED, b"1\r\na\r\n0\r\n", b"x: y\r\n" * 200], 431, Cause.HEAD_SIZE),
        ([b"\r\n" * 600], 431, Cause.HEAD_SIZE),
        ([POST + b"Content-Length: 2001\r\n\r\n"], 413, Cause.BODY_SIZE),
        ([CHUNKED + b"7d1\r\na"], 413, Cause.BODY_SIZE),
        ([GET[:-2]], 408, Cause.HEAD_TIME),
        ([POST + b"Content-Length: 9\r\n\r\n", b"a"], 408, Cause.BODY_TIME),
        ([b"GET / HTTP/1.1\r\nHo st: a\r\n\r\n"], 400, Cause.MALFORMED),
        ([CHUNKED, b"5\r\nhello!"], 400, Cause.MALFORMED),
    ],
)
async def test_refused_request_gets_its_status_and_never_runs(
    start_served, packets, status, cause
):
    """Guards against a refusal of a request that has run in part."""
    served = await start_served()
    answer = await served.exchange(*packets)
    assert answer.startswith(b"HTTP/1.1 %d " % status)
    assert answer.count(b"HTTP/1.1 ") == 1
    assert served.bodies == []
    assert served.count(cause) == 1


async def test_idle_connection_is_closed_without_a_response(start_served):
    """Guards against idle connections that stay for ever."""
    served = await start_served()
    assert await served.exchange() == b""
    assert served.count(Cause.IDLE) == 1


async def test_connection_that_is_idle_within_the_limit_is_kept(start_served):
    """Guards against a close between two requests of an ordinary client."""
    served = await start_served()
    pause_s = LIMITS.idle_timeout_ms / 1_000
    reader, writer = await asyncio.open_connection("127.0.0.1", served.port)
    for _ in range(3):
        await asyncio.sleep(pause_s)
        writer.write(GET)
        async with asyncio.timeout(READ_LIMIT_S):
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 204")
    writer.close()


async def test_slow_answer_is_not_idle_time(start_served):
    """Guards against a close while a slow store delays the answer."""
    served = await start_served()
    slow = GET.replace(b"/fast", b"/slow")
    answer = await served.exchange(slow + GET[:-2] + b"Connection: close\r\n\r\n")
    assert answer.count(b"HTTP/1.1 204") == 2


async def test_pipelined_requests_are_answered_in_order(start_served):
    """Guards against the loss of requests that wait for earlier answers."""
    served = await start_served()
    requests = [POST + b"Content-Length: 2\r\n\r\n%02d" % n for n in range(50)]
    last = GET[:-2] + b"Connection: close\r\n\r\n"
    answer = await served.exchange(b"".join(requests) + last)
    assert answer.count(b"HTTP/1.1 204") == 51
    assert served.bodies == [*(b"%02d" % n for n in range(50)), b""]


async def test_client_that_waits_for_leave_to_send_its_body_gets_it(start_served):
    """Guards against a body that never comes since its request has not started."""
    served = await start_served()
    head = POST + b"Connection: close\r\nContent-Length: 2\r\n"
    answer = await served.exchange(head + b"Expect: 100-continue\r\n\r\n", b"ab")
    assert answer.startswith(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204")
    assert served.bodies == [b"ab"]


async def test_running_requests_of_lost_clients_leave_no_room(start_served):
    """Guards against bodies that pile up while clients leave and the store is slow."""
    served = await start_served()
    body = POST.replace(b"/fast", b"/stuck") + b"Content-Length: 1900\r\n\r\n"
    max_bytes = served.guard.budget.limits.max_bytes
    for _ in range(max_bytes // 1_900 + 1):
        _, writer = await asyncio.open_connection("127.0.0.1", served.port)
        writer.write(body + b"a" * 1_900)
        await writer.drain()
        await asyncio.sleep(0.005)
        writer.transport.abort()
    before = len(served.bodies)
    assert before * 1_900 <= max_bytes
    answer = await served.exchange(body + b"a" * 1_900)
    assert answer.startswith(b"HTTP/1.1 503 ")
    assert len(served.bodies) == before
    served.released.set()
    async with asyncio.timeout(READ_LIMIT_S):
        while served.guard.budget.held_bytes:
            await asyncio.sleep(0.01)
    ordinary = await served.exchange(GET[:-2] + b"Connection: close\r\n\r\n")
    assert ordinary.startswith(b"HTTP/1.1 204")


@pytest.mark.causes_errors
async def test_error_of_the_guard_closes_one_connection(start_served, monkeypatch):
    """Guards against a process that ends by an error of its guard."""
    served = await start_served()
    with monkeypatch.context() as patch:
        patch.setattr(ConnectionLimits, "next_end", lambda *_: 1 // 0)
        assert await served.exchange(GET) == b""
    assert served.count(Cause.INTERNAL) == 1
    ordinary = await served.exchange(GET[:-2] + b"Connection: close\r\n\r\n")
    assert ordinary.startswith(b"HTTP/1.1 204")


async def test_refusals_are_logged_as_one_line_per_cause(start_served, events):
    """Guards against a log that grows with the number of refused clients."""
    served = await start_served()
    too_long = GET[:-2] + b"x" * 2_000
    await asyncio.gather(*(served.exchange(too_long) for _ in range(20)))
    await asyncio.sleep(1.5)
    lines = [line for line in events.messages if "connections_refused" in line]
    assert 1 <= len(lines) <= 2
    assert served.count(Cause.HEAD_SIZE) == 20


async def test_connections_beyond_the_limit_replace_unused_ones(start_served):
    """Guards against a crowd of silent clients that shuts out ordinary ones."""
    served = await start_served(max_connections=20)
    reader, writer = await asyncio.open_connection("127.0.0.1", served.port)
    writer.write(GET)
    await reader.readuntil(b"\r\n\r\n")
    crowd = [await asyncio.open_connection("127.0.0.1", served.port) for _ in range(60)]
    writer.write(GET)
    assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 204")
    assert len(served.guard.connections) <= 20
    for _, other in (*crowd, (reader, writer)):
        other.transport.abort()


async def test_health_and_metrics_are_guarded(start_platform):
    """Guards against a listener that the limits were not given to."""
    platform = await start_platform(entries=1, workers=1, run_ms=20)
    ip = platform.ip_addresses["entry-0"]
    for port in (8622, METRICS_PORT, 8624):
        reader, writer = await asyncio.open_connection(ip, port)
        writer.write(GET[:-2] + b"x: " + b"v" * 20_000)
        async with asyncio.timeout(READ_LIMIT_S):
            assert (await reader.read()).startswith(b"HTTP/1.1 431 ")
        writer.close()
    session = open_session(f"http://{ip}:{METRICS_PORT}", 1_000)
    body = (await call(session, "GET", "/metrics", 3_000)).unwrap().body
    await session.close()
    assert b'cornelturn_refused_connections_total{cause="head_size"} 3.0' in body


def test_largest_unanswered_connections_are_closed_first():
    """Guards against a budget that closes ordinary clients before abusive ones."""
    budget = ProcessBudget(ProcessLimits(10, 1_000))
    sizes = ((600, 5), (500, 0), (50, 0), (200, 0))
    connections = []
    for size, answered in sizes:
        connection = ConnectionLimits(LIMITS, since_ms=0, answered=answered)
        budget.add(connection)
        budget.set_received(connection, size)
        connections.append(connection)
    assert budget.largest_holders() == [connections[1]]
    connections[1].running = 1
    assert budget.largest_holders() == [
        connections[3],
        connections[0],
    ]


def test_limits_of_the_process_follow_its_memory_and_descriptors():
    """Guards against a budget that does not fit beside the ordinary work."""
    for memory_mb, max_fds in ((160, 4_100), (200, 4_100), (552, 8_192)):
        limits = derive_limits(memory_mb, max_fds)
        worst_mb = (2 * limits.max_bytes + limits.max_connections * 16_384) / 2**20
        assert 120 + worst_mb <= memory_mb
        assert limits.max_connections <= (max_fds - 200) / 2
        assert limits.max_bytes >= 2 * (262_144 + 16_384 + 65_536)
