"""A minimal HTTP/1.1 server for stand-ins, and a client for callers."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from urllib.parse import parse_qs, urlsplit

NO_ANSWER = -1
"""Status of a handler that leaves its request unanswered."""

REASONS = {200: "OK", 400: "Bad Request", 409: "Conflict", 412: "Precondition Failed"}


@dataclass(frozen=True)
class Request:
    """A request that a stand-in has read."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: dict


Handler = Callable[[Request], Awaitable[tuple[int, object]]]


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict, bytes] | None:
    """Read the first line, the headers and the body of a message."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    try:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return first, headers, body


class Server:
    """A listener whose requests one handler answers."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.silent: set[asyncio.StreamWriter] = set()
        self.is_dark = False

    def silence(self) -> None:
        """Answer no more on the connections that are open now; new ones work."""
        self.silent = set(self.writers)

    async def start(self, host: str, port: int = 0) -> str:
        """Listen, and return the address."""
        self.server = await asyncio.start_server(
            self._serve, host, port, limit=1 << 22, backlog=512
        )
        bound = self.server.sockets[0].getsockname()
        return f"{bound[0]}:{bound[1]}"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                if self.is_dark:
                    await asyncio.Event().wait()
                status, answer = await self.handler(_parse(*message))
                if status == NO_ANSWER:
                    continue
                if self.is_dark or writer in self.silent:
                    await asyncio.Event().wait()
                data = json.dumps(answer).encode()
                reason = REASONS.get(status, "Status")
                head = (
                    f"HTTP/1.1 {status} {reason}\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n"
                )
                writer.write(head.encode() + data)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def go_dark(self) -> None:
        """Read and answer nothing more, as a machine without power."""
        self.is_dark = True

    def stop_listening(self) -> None:
        """Leave the address to another server; open connections stay as they are."""
        self.server.close()

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


def _parse(first: str, headers: dict, body: bytes) -> Request:
    method, target, _ = first.split(" ", 2)
    parts = urlsplit(target)
    query = {name: values[0] for name, values in parse_qs(parts.query).items()}
    return Request(method, parts.path, query, headers, json.loads(body) if body else {})


async def call(
    address: str,
    method: str,
    path: str,
    body: object = None,
    host: str = "",
    timeout_s: float = 3.0,
) -> tuple[int, dict] | None:
    """Send one request on a new connection; return None if there is no answer."""
    name, _, port = address.partition(":")
    data = json.dumps(body).encode() if body is not None else b""
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {host or address}\r\n"
        "Content-Type: application/json\r\n"
        f"Cornelturn-Deadline-Ms: {round(timeout_s * 1000)}\r\n"
        f"Content-Length: {len(data)}\r\n\r\n"
    )
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(name, int(port))
            writer.write(head.encode() + data)
            message = await read_message(reader)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()
    if message is None:
        return None
    first, _, answer = message
    return int(first.split(" ")[1]), json.loads(answer) if answer else {}
