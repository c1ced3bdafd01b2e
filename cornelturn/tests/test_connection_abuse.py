"""Clients abuse connections of real entries, which stay small and keep serving."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import pytest

from cornelturn.platform.standin.documents import HOST, job_id, queue_path_prefix
from cornelturn.store.http_client import call, open_session
from cornelturn.tests.connection_abuse import (
    CONNECTIONS,
    attacks,
    crowd,
    open_descriptors,
    peak_memory_mb,
    send_attack,
    send_bytes_singly,
    wait_until,
)
from cornelturn.tests.platform_processes import POOL

pytestmark = pytest.mark.xdist_group("connection_abuse")

MEMORY_MB = 200
SMALL_MEMORY_MB = 160
FRONTS = ("platform", "product")
MAX_DESCRIPTORS = 800
CROWD_SIZE = 1_000
LARGE_CROWD_SIZE = 600
UNFINISHED_BODY = b"a" * 260_000
CLOSE_LIMIT_S = 40.0
CALL_TIMEOUT_MS = 10_000


@dataclass
class Entry:
    """A running entry, and one ordinary request that it must answer."""

    pid: int
    address: str
    host: str
    path: str
    processes: object

    async def check_ordinary_request(self) -> None:
        """Fail unless a request over a new connection is answered."""
        session = open_session(f"http://{self.address}", CALL_TIMEOUT_MS)
        session.authority = self.host
        result = await call(session, "GET", self.path, CALL_TIMEOUT_MS)
        await session.close()
        assert result.unwrap().status == 200

    def check_resources(self, memory_mb: int) -> None:
        assert peak_memory_mb(self.pid) < memory_mb


@pytest.fixture
def start_entry(start_platform, start_processes):
    """Return a function that starts an entry with one of the front ends."""

    async def start(front: str, memory_mb: int, max_fds: int = 4_100) -> Entry:
        limits = {"memory_mb": memory_mb, "max_fds": max_fds}
        if front == "platform":
            platform = await start_platform(
                entries=1, workers=1, run_ms=20, limits=limits
            )
            await platform.submit(jobs=1, tasks=1)
            pid = platform.entries["entry-0"].process.pid
            address = f"{platform.ip_addresses['entry-0']}:8624"
            return Entry(pid, address, HOST, queue_path_prefix(POOL), platform)
        processes = await start_processes(entries=1, targets=2, limits=limits)
        program = processes.entries["entry-0"]
        address = program.started["callers"].removeprefix("http://")
        return Entry(program.process.pid, address, address, "/healthz", processes)

    return start


@pytest.mark.parametrize("front", FRONTS)
@pytest.mark.parametrize("name", list(attacks("", "")))
async def test_bytes_without_end_do_not_fill_the_memory(start_entry, front, name):
    """Guards against buffers that grow with what a client sends or leaves unread."""
    entry = await start_entry(front, MEMORY_MB)
    attack = attacks(entry.host, entry.path)[name]
    async with crowd(entry.address, CONNECTIONS) as writers:
        await asyncio.gather(*(send_attack(writer, attack) for writer in writers))
        await entry.check_ordinary_request()
    entry.check_resources(MEMORY_MB)


@pytest.mark.parametrize("front", FRONTS)
async def test_crowd_of_connections_leaves_descriptors_for_others(start_entry, front):
    """Guards against an entry whose descriptors idle clients use up."""
    entry = await start_entry(front, MEMORY_MB, MAX_DESCRIPTORS)
    async with crowd(entry.address, CROWD_SIZE):
        await entry.check_ordinary_request()
        assert open_descriptors(entry.pid) < MAX_DESCRIPTORS
    entry.check_resources(MEMORY_MB)


@pytest.mark.parametrize("front", FRONTS)
async def test_many_unfinished_bodies_stay_within_the_memory(start_entry, front):
    """Guards against connections that are small alone and too much together."""
    entry = await start_entry(front, SMALL_MEMORY_MB)
    head = f"POST {entry.path}{job_id(7)} HTTP/1.1\r\nHost: {entry.host}\r\n"
    start = f"{head}Content-Length: 262144\r\n\r\n".encode() + UNFINISHED_BODY
    async with crowd(entry.address, LARGE_CROWD_SIZE, start):
        await entry.check_ordinary_request()
    entry.check_resources(SMALL_MEMORY_MB)


@pytest.mark.parametrize("front", FRONTS)
@pytest.mark.parametrize(
    "start",
    [
        "",
        "GET / HTTP/1.1\r\nx-header: ",
        "POST {path}0000000000000007 HTTP/1.1\r\nHost: {host}\r\n"
        "Content-Length: 9\r\n\r\n",
    ],
    ids=["silent", "unfinished_head", "unfinished_body"],
)
async def test_connections_that_make_no_progress_are_closed(start_entry, front, start):
    """Guards against descriptors that silent clients hold for ever."""
    entry = await start_entry(front, MEMORY_MB)
    before = open_descriptors(entry.pid)
    data = start.format(path=entry.path, host=entry.host).encode()
    async with crowd(entry.address, CONNECTIONS, data):
        await wait_until(
            lambda: open_descriptors(entry.pid) >= before + CONNECTIONS, CLOSE_LIMIT_S
        )
        await wait_until(
            lambda: open_descriptors(entry.pid) < before + CONNECTIONS // 2,
            CLOSE_LIMIT_S,
        )
    await entry.check_ordinary_request()


@pytest.mark.parametrize("front", FRONTS)
async def test_head_of_single_bytes_is_bounded(start_entry, front):
    """Guards against a head that is longer than allowed and comes byte by byte."""
    entry = await start_entry(front, MEMORY_MB)
    head = b"GET / HTTP/1.1\r\nx-header: " + b"v" * 40_000
    before = open_descriptors(entry.pid)
    async with crowd(entry.address, CONNECTIONS) as writers:
        sending = [send_bytes_singly(writer, head) for writer in writers]
        await asyncio.gather(*sending)
        await wait_until(
            lambda: open_descriptors(entry.pid) < before + CONNECTIONS // 2,
            CLOSE_LIMIT_S,
        )
    await entry.check_ordinary_request()
    entry.check_resources(MEMORY_MB)
