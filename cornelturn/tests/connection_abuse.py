"""Clients that abuse connections, and the resources of the process that they reach."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from pathlib import Path

CONNECTIONS = 8
BYTES_PER_CONNECTION = 30 * 1024 * 1024
BLOCK_BYTES = 64 * 1024
SEND_TIMEOUT_S = 3.0
"""Time without progress after which a client sends nothing more: the server has
stopped reading."""

KIBIBYTES_PER_MEBIBYTE = 1_024
LINE = b"x-header: " + b"v" * 100 + b"\r\n"


@dataclass(frozen=True)
class Attack:
    """Bytes that one connection sends: a start, then a block that is repeated."""

    start: bytes
    block: bytes


def attacks(host: str, path: str) -> dict[str, Attack]:
    """Return the attacks that send bytes without end, by name."""
    line = b"POST " + path.encode() + b" HTTP/1.1\r\n"
    host_line = f"Host: {host}\r\n".encode()
    chunked = line + host_line + b"Transfer-Encoding: chunked\r\n\r\n"
    get = b"GET " + path.encode() + b" HTTP/1.1\r\n"
    filling = b"a" * BLOCK_BYTES
    many_lines = LINE * (BLOCK_BYTES // len(LINE))
    request = get + host_line + b"\r\n"
    without_host = get + b"\r\n"
    return {
        "long_header_line": Attack(line + host_line + b"x-header: ", filling),
        "unbounded_headers": Attack(line + host_line, many_lines),
        "long_request_line": Attack(b"GET /", filling),
        "unbounded_trailers": Attack(chunked + b"1\r\na\r\n0\r\n", many_lines),
        "long_chunk_extension": Attack(chunked + b"1;name=", filling),
        "empty_lines": Attack(b"", b"\r\n" * (BLOCK_BYTES // 2)),
        "pipelined_requests": Attack(b"", request * (BLOCK_BYTES // len(request))),
        "pipelined_requests_without_host": Attack(
            b"", without_host * (BLOCK_BYTES // len(without_host))
        ),
        "long_header_line_after_a_request": Attack(
            request + get + host_line + b"x-header: ", filling
        ),
        "unbounded_body": Attack(chunked, b"%x\r\n" % BLOCK_BYTES + filling + b"\r\n"),
    }


@contextlib.asynccontextmanager
async def crowd(
    address: str, size: int, start: bytes = b""
) -> AsyncIterator[list[asyncio.StreamWriter]]:
    """Hold connections that have sent some bytes and read nothing."""
    host, _, port = address.rpartition(":")
    writers: list[asyncio.StreamWriter] = []
    try:
        for _ in range(size):
            with contextlib.suppress(ConnectionError):
                _, writer = await asyncio.open_connection(host, int(port))
                writer.transport.pause_reading()
                writer.write(start)
                writers.append(writer)
        yield writers
    finally:
        for writer in writers:
            writer.transport.abort()


async def send_attack(writer: asyncio.StreamWriter, attack: Attack) -> None:
    """Send an attack until all is sent, or the server closes or stops reading."""
    with contextlib.suppress(ConnectionError, TimeoutError):
        writer.write(attack.start)
        for _ in range(BYTES_PER_CONNECTION // len(attack.block)):
            writer.write(attack.block)
            async with asyncio.timeout(SEND_TIMEOUT_S):
                await writer.drain()


async def send_bytes_singly(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Send each byte in a packet of its own until the server closes."""
    with contextlib.suppress(ConnectionError):
        for byte in data:
            writer.write(bytes((byte,)))
            await writer.drain()
            await asyncio.sleep(0.001)


def peak_memory_mb(pid: int) -> float:
    """Return the largest resident memory that a process has had."""
    status = Path(f"/proc/{pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
    return int(line.split()[1]) / KIBIBYTES_PER_MEBIBYTE


def open_descriptors(pid: int) -> int:
    """Return the number of open descriptors of a process."""
    return len(list(Path(f"/proc/{pid}/fd").iterdir()))


async def wait_until(condition: Callable[[], bool], limit_s: float) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(limit_s):
        while not condition():
            await asyncio.sleep(0.05)
