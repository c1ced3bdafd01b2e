"""Open connections to the store that stop carrying data while new ones work."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import pytest
from result import Ok

from cornelturn.http.server import HttpServer
from cornelturn.platform.standin.rows import StoreStandin
from cornelturn.platform.store import PlatformStore
from cornelturn.store.retrying import RetryingStore
from cornelturn.store.rows import ABSENT, Committed, Put


@dataclass
class Relay:
    """TCP proxy for the store that drops the bytes of silenced connections."""

    port: int
    silenced: set[int] = field(default_factory=set)
    connection_count: int = 0
    copy_tasks: set[asyncio.Task[None]] = field(default_factory=set)
    writers: list[asyncio.StreamWriter] = field(default_factory=list)

    def silence_open_connections(self) -> None:
        """Drop all further bytes of the connections opened so far."""
        self.silenced = set(range(self.connection_count + 1))

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connection_count += 1
        number = self.connection_count
        store_reader, store_writer = await asyncio.open_connection(
            "127.0.0.1", self.port
        )
        self.writers += (store_writer, writer)
        for source, sink in ((reader, store_writer), (store_reader, writer)):
            self.copy_tasks.add(asyncio.create_task(self._copy(number, source, sink)))

    async def _copy(
        self, number: int, source: asyncio.StreamReader, sink: asyncio.StreamWriter
    ) -> None:
        while data := await source.read(65_536):
            if number not in self.silenced:
                sink.write(data)
        sink.close()


@pytest.fixture
async def relay() -> AsyncIterator[Relay]:
    """Return a proxy for an in-memory store."""
    server = HttpServer(StoreStandin().application(), "127.0.0.1", 0)
    yield Relay(await server.start())
    server.abort()
    await server.stop()


@pytest.fixture
async def store(relay: Relay) -> AsyncIterator[PlatformStore]:
    """Return a client that connects to the store through the proxy."""
    listener = await asyncio.start_server(relay.accept, "127.0.0.1", 0)
    client = PlatformStore(f"127.0.0.1:{listener.sockets[0].getsockname()[1]}")
    yield client
    await client.close()
    listener.close()
    for task in relay.copy_tasks:
        task.cancel()
    for writer in relay.writers:
        writer.transport.abort()
    await asyncio.sleep(0)


async def test_calls_succeed_over_a_new_connection(relay: Relay, store: PlatformStore):
    retrying_store = RetryingStore(store)
    for number in range(5):
        await retrying_store.commit(Put(f"t/p/{number}", "1", ABSENT))
    assert (await retrying_store.read("t/p/0")).unwrap().value == "1"
    relay.silence_open_connections()
    async with asyncio.timeout(1.0):
        assert (await retrying_store.read("t/p/0")).unwrap().value == "1"
    relay.silence_open_connections()
    async with asyncio.timeout(1.0):
        assert isinstance(await retrying_store.commit(Put("t/p/9", "1", ABSENT)), Ok)
    assert not store.is_unreachable()
    async with asyncio.timeout(0.1):
        match await retrying_store.commit(Put("t/p/10", "1", ABSENT)):
            case Ok(Committed()):
                pass
            case other:
                pytest.fail(f"expected a commit, found {other}")
