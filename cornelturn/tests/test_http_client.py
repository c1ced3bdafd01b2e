from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import pytest
from result import Err

from cornelturn.platform.http_client import call, open_session

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
