from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import pytest
from result import Err

from cornelturn.store.channel import Channel
from cornelturn.store.http_client import call, open_session

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
    assert once.is_err()
    assert calls == 3
    await channel.close()
    server.close()
