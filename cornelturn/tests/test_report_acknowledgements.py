"""Acknowledgements of ends at a target that may have restarted under its name.

Each life numbers its ends from 1, so an acknowledgement for an ended life would let the
later one forget ends that no report has listed.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import pytest

from cornelturn.jobs.model import Resources
from cornelturn.platform.targets import WorkerConnection
from cornelturn.targets.model import Lease, ListedTarget, TargetLife

ANSWER = json.dumps({"clock_ms": 1, "born": 1}).encode()
HEAD = f"HTTP/1.1 200 OK\r\nContent-Length: {len(ANSWER)}\r\n\r\n".encode()


@dataclass
class HoldRecorder:
    """A worker that records the acknowledgement of each report request."""

    acknowledged: list[int] = field(default_factory=list)
    writers: list[asyncio.StreamWriter] = field(default_factory=list)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.append(writer)
        while head := await self._read_head(reader):
            length = next(
                int(line.split(b":")[1])
                for line in head.split(b"\r\n")
                if line.lower().startswith(b"content-length")
            )
            body = json.loads(await reader.readexactly(length))
            self.acknowledged.append(body["ack_seq"])
            writer.write(HEAD + ANSWER)

    async def _read_head(self, reader: asyncio.StreamReader) -> bytes:
        try:
            return await reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return b""

    def reset_connections(self) -> None:
        """Reset all connections, as the end of the worker's process does."""
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()


@pytest.fixture
def worker() -> HoldRecorder:
    return HoldRecorder()


@pytest.fixture
async def connection(worker: HoldRecorder) -> AsyncIterator[WorkerConnection]:
    """Return a connection to a worker that records acknowledgements."""
    server = await asyncio.start_server(worker.serve, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    listed = ListedTarget(
        TargetLife("t-1", 1), "pool", address, "", "", frozenset(), Resources(), False
    )
    connection = WorkerConnection(listed)
    yield connection
    await connection.close()
    worker.reset_connections()
    server.close()


async def request_report(connection: WorkerConnection, acknowledged: int) -> None:
    result = await connection.fetch_report(Lease(1), acknowledged, 0)
    assert result.is_ok()


async def test_new_connection_acknowledges_no_end(connection, worker):
    await request_report(connection, 7)
    await request_report(connection, 8)
    assert worker.acknowledged == [0, 8]


@pytest.mark.parametrize("pause_s", [0.0, 0.05])
async def test_report_after_a_reset_acknowledges_no_end(connection, worker, pause_s):
    await request_report(connection, 7)
    worker.reset_connections()
    # Without a pause the next request is sent before the reset arrives.
    await asyncio.sleep(pause_s)
    await request_report(connection, 8)
    await request_report(connection, 9)
    assert worker.acknowledged == [0, 0, 9]
