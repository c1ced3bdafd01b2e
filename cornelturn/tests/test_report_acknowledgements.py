"""Acknowledgements, leases and starts at a target that may have restarted.

Each life numbers its ends from 1 and has a clock of its own. An acknowledgement for an
ended life would let the later one forget ends that no report has listed, and a lease by
the ended life's clock could last much longer than any successor of its owner waits.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import pytest

from cornelturn.jobs.model import Resources, Run, StepId
from cornelturn.platform.targets import WorkerConnection
from cornelturn.targets.address import TargetAddress
from cornelturn.targets.model import (
    Executed,
    Lease,
    ListedTarget,
    OtherLife,
    StartOrder,
    TargetLife,
)

RUN = Run(StepId("0000000000000001", 0, 0).task(0), 1)
START = StartOrder(RUN, "text")
LEASE = Lease(1, deadline_ms=9_000)


@dataclass
class HoldRecorder:
    """A worker that records the requests that it receives.

    Parameters
    ----------
    acknowledged : list of int
        Acknowledgement in each request for a report.
    deadlines : list
        Path of each request, and the end of the lease that it grants, None if it
        grants none.
    closes_connections : bool
        Whether it closes each connection after one answer.
    """

    born: int = 1
    closes_connections: bool = False
    acknowledged: list[int] = field(default_factory=list)
    deadlines: list[tuple[str, int | None]] = field(default_factory=list)
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
            path = head.split(b" ")[1].decode()
            self.deadlines.append((path, body.get("deadline_ms")))
            if path == "/hold":
                self.acknowledged.append(body["ack_seq"])
            answer = json.dumps({"clock_ms": 1, "born": self.born}).encode()
            persistence = "close" if self.closes_connections else "keep-alive"
            answer_head = (
                f"HTTP/1.1 200 OK\r\nContent-Length: {len(answer)}\r\n"
                f"Connection: {persistence}\r\n\r\n"
            )
            writer.write(answer_head.encode() + answer)
            if self.closes_connections:
                writer.close()
                return

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
    address = TargetAddress.loopback(server.sockets[0].getsockname()[1])
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


async def test_first_report_on_a_connection_grants_no_lease(connection, worker):
    report = await connection.fetch_report(LEASE, 7, 0)
    assert report.is_ok()
    worker.reset_connections()
    await asyncio.sleep(0.05)
    await connection.fetch_report(LEASE, 7, 0)
    await connection.fetch_report(LEASE, 8, 0)
    unleased, leased = ("/hold", None), ("/hold", LEASE.deadline_ms)
    assert worker.deadlines == [unleased, leased, unleased, leased, leased]


async def test_later_life_gets_no_lease_of_the_ended_one(connection, worker):
    await connection.fetch_report(LEASE, 7, 0)
    worker.reset_connections()
    worker.born = 2
    worker.deadlines.clear()
    await asyncio.sleep(0.05)
    for _ in range(3):
        report = await connection.fetch_report(LEASE, 7, 0)
        assert report.unwrap().life == TargetLife("t-1", 2)
    assert worker.deadlines == 3 * [("/hold", None)]


async def test_start_follows_a_report_on_its_connection(connection, worker):
    assert await connection.send_order(START, LEASE) == Executed()
    assert await connection.send_order(START, LEASE) == Executed()
    start = ("/run-start", LEASE.deadline_ms)
    assert worker.deadlines == [("/hold", None), start, start]


async def test_each_concurrent_start_has_a_connection_that_carried_a_report(
    connection, worker
):
    orders = (connection.send_order(START, LEASE) for _ in range(4))
    assert await asyncio.gather(*orders) == 4 * [Executed()]
    assert len(worker.writers) == 4
    assert worker.deadlines.count(("/hold", None)) == 4


async def test_start_for_an_ended_life_is_not_sent_to_the_later_one(connection, worker):
    await connection.send_order(START, LEASE)
    worker.reset_connections()
    worker.born = 2
    worker.deadlines.clear()
    await asyncio.sleep(0.05)
    for _ in range(2):
        result = await connection.send_order(START, LEASE)
        assert result == OtherLife(TargetLife("t-1", 2))
    assert worker.deadlines == 2 * [("/hold", None)]


async def test_start_after_a_report_on_its_connection_reached_no_other_life(
    connection, worker
):
    assert await connection.send_order(START, LEASE) == Executed()
    assert not connection.may_have_reached_other_life()


async def test_start_that_was_not_sent_reached_no_other_life(connection, worker):
    """Guards against the longest lease being assumed for a start nobody received."""
    worker.born = 2
    assert await connection.send_order(START, LEASE) == OtherLife(TargetLife("t-1", 2))
    assert not connection.may_have_reached_other_life()


async def test_start_for_a_life_that_is_not_stated_may_reach_another(
    connection, worker
):
    worker.born = 0
    assert await connection.send_order(START, LEASE) == Executed()
    assert connection.may_have_reached_other_life()


async def test_start_on_another_connection_than_the_report_may_reach_another_life(
    connection, worker
):
    worker.closes_connections = True
    assert await connection.send_order(START, LEASE) == Executed()
    assert connection.may_have_reached_other_life()
