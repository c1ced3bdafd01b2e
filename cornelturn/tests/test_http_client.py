"""HTTP client: reuse of connections, retries, framing of bodies and time limits."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import pytest
from result import Err

from cornelturn.store.channel import Channel
from cornelturn.store.http_client import call, open_session
from cornelturn.store.http_connection import Timing

Serve = Callable[[bytes], Awaitable[object]]


@pytest.fixture
def serve():
    """Return a context manager for a server that sends fixed bytes and closes."""

    @asynccontextmanager
    async def run(response: bytes) -> AsyncIterator[tuple[str, list[bytes]]]:
        received: list[bytes] = []

        async def handle(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            received.append(await reader.read(65_536))
            writer.write(response)
            writer.close()

        server = await asyncio.start_server(handle, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        yield f"http://127.0.0.1:{port}", received
        server.close()

    return run


async def post(url: str) -> object:
    session = open_session(url, 2_000)
    result = await call(session, "POST", "/run/lookup", 2_000, b"body")
    await session.close()
    return result


async def test_request_without_a_response_is_sent_once(serve) -> None:
    async with serve(b"") as (url, received):
        result = await post(url)
    assert isinstance(result, Err)
    assert result.err_value.was_sent
    assert len(received) == 1


async def test_truncated_response_is_an_error(serve) -> None:
    truncated = b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nabc"
    async with serve(truncated) as (url, _):
        result = await post(url)
    assert isinstance(result, Err)
    assert "expected 10 bytes, found 3" in result.err_value.detail


async def test_refused_connection_reports_nothing_sent() -> None:
    result = await post("http://127.0.0.1:1")
    assert isinstance(result, Err)
    assert not result.err_value.was_sent


async def test_keep_alive_connection_closed_by_the_server_is_replaced() -> None:
    response_bytes = b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc"
    calls = 0

    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        nonlocal calls
        calls += 1
        await reader.read(65_536)
        writer.write(response_bytes)
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    channel = Channel(f"http://127.0.0.1:{port}", 1_000)
    for number in range(1, 4):
        response = await channel.call("GET", "/x", 1_000, may_retry=True)
        assert response.unwrap().body == b"abc"
        assert calls == number
        await asyncio.sleep(0.05)
    result = await channel.call("POST", "/x", 1_000, b"body", may_retry=False)
    assert result.unwrap().body == b"abc"
    assert calls == 4
    await channel.close()
    server.close()


@dataclass
class ScriptedServer:
    """A server that sends a fixed sequence of responses, and what it received."""

    script: list[bytes | None]
    url: str = ""
    connections: int = 0
    received: list[bytes] = field(default_factory=list)
    closed_connections: int = 0

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        while data := await reader.read(65_536):
            self.received.append(data)
            response = self.script.pop(0)
            if response is None:
                break
            writer.write(response)
        self.closed_connections += 1
        writer.close()


@pytest.fixture
async def start_scripted_server():
    """Return a function that starts a server; None in a script closes a connection."""
    servers: list[asyncio.Server] = []

    async def start(*script: bytes | None) -> ScriptedServer:
        scripted_server = ScriptedServer(list(script))
        server = await asyncio.start_server(scripted_server.handle, "127.0.0.1", 0)
        servers.append(server)
        scripted_server.url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
        return scripted_server

    yield start
    for server in servers:
        server.close()


RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nLeaving: true\r\n\r\nabc"


async def test_non_idempotent_request_on_a_closed_connection_is_sent_once(
    start_scripted_server,
) -> None:
    scripted_server = await start_scripted_server(RESPONSE, None, RESPONSE)
    channel = Channel(scripted_server.url, 1_000)
    assert (await channel.call("POST", "/x", 1_000, b"1")).is_ok()
    result = await channel.call("POST", "/x", 1_000, b"2", may_retry=False)
    assert result.unwrap_err().is_reset
    assert result.unwrap_err().was_sent
    assert (scripted_server.connections, len(scripted_server.received)) == (1, 2)
    await channel.close()


async def test_idempotent_request_is_retried_once_when_its_connection_closes(
    start_scripted_server,
) -> None:
    scripted_server = await start_scripted_server(None, None, RESPONSE)
    channel = Channel(scripted_server.url, 1_000)
    assert (await channel.call("GET", "/x", 1_000, may_retry=True)).is_err()
    assert (scripted_server.connections, len(scripted_server.received)) == (2, 2)
    await channel.close()


async def test_connection_is_reused_and_headers_are_parsed(
    start_scripted_server,
) -> None:
    scripted_server = await start_scripted_server(RESPONSE, RESPONSE)
    session = open_session(scripted_server.url, 1_000)
    for _ in range(2):
        response = (await call(session, "POST", "/x", 1_000, b"body")).unwrap()
        assert response.is_leaving
    assert scripted_server.connections == 1
    assert b"Content-Length: 4\r\n\r\nbody" in scripted_server.received[1]
    await session.close()


@pytest.mark.parametrize("is_cancelled", [True, False])
async def test_interrupted_call_closes_its_connection(
    start_scripted_server, is_cancelled
) -> None:
    scripted_server = await start_scripted_server(
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab", RESPONSE
    )
    session = open_session(scripted_server.url, 1_000)
    interrupted_call = asyncio.create_task(call(session, "POST", "/x", 100, b"1"))
    await asyncio.sleep(0.05)
    if is_cancelled:
        interrupted_call.cancel()
    else:
        assert (await interrupted_call).unwrap_err().was_sent
    await asyncio.sleep(0.05)
    assert scripted_server.closed_connections == 1
    assert (await call(session, "POST", "/x", 1_000, b"2")).unwrap().body == b"abc"
    assert scripted_server.connections == 2
    await session.close()


async def test_idle_connection_is_replaced(start_scripted_server, monkeypatch) -> None:
    monkeypatch.setattr("cornelturn.store.http_client.IDLE_LIMIT_S", 0.01)
    scripted_server = await start_scripted_server(RESPONSE, RESPONSE)
    channel = Channel(scripted_server.url, 1_000)
    for number in range(1, 3):
        assert (await channel.call("POST", "/x", 1_000, b"body")).is_ok()
        assert scripted_server.connections == number
        await asyncio.sleep(0.05)
    await channel.close()


async def test_connect_timeout_sends_nothing() -> None:
    with (
        socket.create_server(("127.0.0.1", 0), backlog=0) as full,
        socket.create_connection(full.getsockname()),
    ):
        session = open_session(f"http://127.0.0.1:{full.getsockname()[1]}", 50)
        result = await call(session, "POST", "/x", 200, b"1")
        await session.close()
    assert not result.unwrap_err().was_sent


@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\n" + RESPONSE,
        b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc",
    ],
    ids=["chunked", "interim response", "until close"],
)
async def test_body_is_complete_with_any_framing(serve, response) -> None:
    async with serve(response) as (url, _):
        result = await post(url)
    assert result.unwrap().body == b"abc"


async def test_non_http_response_is_an_error(serve) -> None:
    async with serve(b"hello\r\n\r\n") as (url, _):
        result = await post(url)
    assert result.unwrap_err().was_sent


PAUSE_S = 0.1
LIMIT_MS = 200
"""Longer than the pause between two chunks, shorter than all pauses together."""


@pytest.fixture
async def slow_server_url() -> AsyncIterator[str]:
    """Return the address of a server that sends its response in chunks with pauses."""
    handlers: set[asyncio.Task[None]] = set()

    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        handlers.add(asyncio.current_task())
        await reader.read(65_536)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n")
        for _ in range(5):
            await asyncio.sleep(PAUSE_S)
            writer.write(b"x")
        writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    yield f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
    server.close()
    await asyncio.gather(*handlers)


async def test_response_in_progress_is_not_aborted(slow_server_url) -> None:
    channel = Channel(slow_server_url, 1_000)
    statuses: list[int] = []
    timing = Timing(max_pause_ms=2_000, on_start=statuses.append)
    response = await channel.call("GET", "/x", LIMIT_MS, timing=timing)
    assert response.unwrap().body == b"xxxxx"
    assert statuses == [200]


async def test_response_with_a_long_pause_times_out(slow_server_url) -> None:
    channel = Channel(slow_server_url, 1_000)
    timing = Timing(max_pause_ms=round(PAUSE_S * 1_000) // 2)
    result = await channel.call("GET", "/x", LIMIT_MS, timing=timing)
    assert result.unwrap_err().is_timeout
