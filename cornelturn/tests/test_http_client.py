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
    """Return a context manager: a server that answers with some bytes and closes."""

    @asynccontextmanager
    async def run(answer: bytes) -> AsyncIterator[tuple[str, list[bytes]]]:
        received: list[bytes] = []

        async def handle(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            received.append(await reader.read(65_536))
            writer.write(answer)
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


async def test_request_without_an_answer_is_sent_once(serve) -> None:
    async with serve(b"") as (url, received):
        result = await post(url)
    assert isinstance(result, Err)
    assert result.err_value.was_sent
    assert len(received) == 1


async def test_short_answer_is_an_error(serve) -> None:
    short = b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nabc"
    async with serve(short) as (url, _):
        result = await post(url)
    assert isinstance(result, Err)
    assert "expected 10 bytes, found 3" in result.err_value.detail


async def test_refused_connection_proves_that_nothing_was_sent() -> None:
    result = await post("http://127.0.0.1:1")
    assert isinstance(result, Err)
    assert not result.err_value.was_sent


async def test_kept_connection_that_the_server_closed_is_replaced() -> None:
    whole = b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc"
    calls = 0

    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        nonlocal calls
        calls += 1
        await reader.read(65_536)
        writer.write(whole)
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    channel = Channel(f"http://127.0.0.1:{port}", 1_000)
    for number in range(1, 4):
        answer = await channel.call("GET", "/x", 1_000, may_repeat=True)
        assert answer.unwrap().body == b"abc"
        assert calls == number
        await asyncio.sleep(0.05)
    once = await channel.call("POST", "/x", 1_000, b"body", may_repeat=False)
    assert once.unwrap().body == b"abc"
    assert calls == 4
    await channel.close()
    server.close()


@dataclass
class Steps:
    """A server whose connections answer by a script, and what it received."""

    script: list[bytes | None]
    url: str = ""
    connections: int = 0
    received: list[bytes] = field(default_factory=list)
    lost: int = 0

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        while data := await reader.read(65_536):
            self.received.append(data)
            answer = self.script.pop(0)
            if answer is None:
                break
            writer.write(answer)
        self.lost += 1
        writer.close()


@pytest.fixture
async def scripted():
    """Return a function that starts a server; None in a script ends a connection."""
    servers: list[asyncio.Server] = []

    async def start(*script: bytes | None) -> Steps:
        steps = Steps(list(script))
        server = await asyncio.start_server(steps.handle, "127.0.0.1", 0)
        servers.append(server)
        steps.url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
        return steps

    yield start
    for server in servers:
        server.close()


WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nLeaving: true\r\n\r\nabc"


async def test_request_on_a_kept_connection_that_ends_is_sent_once(scripted) -> None:
    steps = await scripted(WHOLE, None, WHOLE)
    channel = Channel(steps.url, 1_000)
    assert (await channel.call("POST", "/x", 1_000, b"1")).is_ok()
    once = await channel.call("POST", "/x", 1_000, b"2", may_repeat=False)
    assert once.unwrap_err().is_reset
    assert once.unwrap_err().was_sent
    assert (steps.connections, len(steps.received)) == (1, 2)
    await channel.close()


async def test_idempotent_request_is_repeated_once_when_its_connection_ends(
    scripted,
) -> None:
    steps = await scripted(None, None, WHOLE)
    channel = Channel(steps.url, 1_000)
    assert (await channel.call("GET", "/x", 1_000, may_repeat=True)).is_err()
    assert (steps.connections, len(steps.received)) == (2, 2)
    await channel.close()


async def test_connection_is_kept_and_headers_are_read(scripted) -> None:
    steps = await scripted(WHOLE, WHOLE)
    session = open_session(steps.url, 1_000)
    for _ in range(2):
        answer = (await call(session, "POST", "/x", 1_000, b"body")).unwrap()
        assert answer.is_leaving
    assert steps.connections == 1
    assert b"Content-Length: 4\r\n\r\nbody" in steps.received[1]
    await session.close()


@pytest.mark.parametrize("is_cancelled", [True, False])
async def test_call_that_ends_early_closes_its_connection(
    scripted, is_cancelled
) -> None:
    steps = await scripted(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab", WHOLE)
    session = open_session(steps.url, 1_000)
    late = asyncio.create_task(call(session, "POST", "/x", 100, b"1"))
    await asyncio.sleep(0.05)
    if is_cancelled:
        late.cancel()
    else:
        assert (await late).unwrap_err().was_sent
    await asyncio.sleep(0.05)
    assert steps.lost == 1
    assert (await call(session, "POST", "/x", 1_000, b"2")).unwrap().body == b"abc"
    assert steps.connections == 2
    await session.close()


async def test_connection_that_idled_is_replaced(scripted, monkeypatch) -> None:
    monkeypatch.setattr("cornelturn.store.http_client.IDLE_LIMIT_S", 0.01)
    steps = await scripted(WHOLE, WHOLE)
    channel = Channel(steps.url, 1_000)
    for number in range(1, 3):
        assert (await channel.call("POST", "/x", 1_000, b"body")).is_ok()
        assert steps.connections == number
        await asyncio.sleep(0.05)
    await channel.close()


async def test_connection_that_is_not_made_in_time_sends_nothing() -> None:
    with (
        socket.create_server(("127.0.0.1", 0), backlog=0) as full,
        socket.create_connection(full.getsockname()),
    ):
        session = open_session(f"http://127.0.0.1:{full.getsockname()[1]}", 50)
        result = await call(session, "POST", "/x", 200, b"1")
        await session.close()
    assert not result.unwrap_err().was_sent


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\n" + WHOLE,
        b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc",
    ],
    ids=["chunked", "announced", "until the end"],
)
async def test_body_is_whole_however_it_is_framed(serve, answer) -> None:
    async with serve(answer) as (url, _):
        result = await post(url)
    assert result.unwrap().body == b"abc"


async def test_answer_that_is_no_http_is_an_error(serve) -> None:
    async with serve(b"hello\r\n\r\n") as (url, _):
        result = await post(url)
    assert result.unwrap_err().was_sent


PAUSE_S = 0.1
LIMIT_MS = 200
"""Longer than a pause between two parts, shorter than all parts together."""


@pytest.fixture
async def slow_answer() -> AsyncIterator[str]:
    """Return the address of a server whose answer comes in parts."""
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


async def test_answer_that_still_comes_is_not_given_up(slow_answer) -> None:
    channel = Channel(slow_answer, 1_000)
    begun: list[int] = []
    timing = Timing(pause_ms=2_000, begun=begun.append)
    answer = await channel.call("GET", "/x", LIMIT_MS, timing=timing)
    assert answer.unwrap().body == b"xxxxx"
    assert begun == [200]


async def test_answer_that_pauses_for_too_long_is_given_up(slow_answer) -> None:
    channel = Channel(slow_answer, 1_000)
    timing = Timing(pause_ms=round(PAUSE_S * 1_000) // 2)
    result = await channel.call("GET", "/x", LIMIT_MS, timing=timing)
    assert result.unwrap_err().is_timeout
