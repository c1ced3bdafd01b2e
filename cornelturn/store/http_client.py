"""Asynchronous HTTP client that returns errors as values.

It never sends a request twice by itself; `Channel` retries where that is safe.
"""

from __future__ import annotations

import asyncio
import ssl
from dataclasses import dataclass, field
from urllib.parse import quote, urlsplit

from result import Err, Ok, Result

from cornelturn.clock import to_seconds
from cornelturn.store.http_connection import (
    DEFAULT_TIMING,
    CallError,
    CallResult,
    HttpConnection,
    HttpResponse,
    Timing,
)

__all__ = [
    "CallError",
    "ClientSession",
    "HttpResponse",
    "call",
    "open_session",
    "quoted",
]

IDLE_LIMIT_S = 2.0
"""Idle time after which a connection is closed instead of reused."""

HTTPS = "https"
DEFAULT_PORTS = {"http": 80, HTTPS: 443}

HeaderPairs = list[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class Request:
    """An HTTP request."""

    method: str
    path: str
    headers: HeaderPairs
    body: bytes | None
    content_type: str

    def encode(self, host: str) -> bytes:
        """Return the bytes of an HTTP/1.1 request to a host."""
        head = f"{self.method} {self.path} HTTP/1.1\r\nHost: {host}\r\n".encode()
        lines = [b"%b: %b\r\n" % pair for pair in self.headers]
        if self.body is None:
            return b"".join((head, *lines, b"\r\n"))
        content = f"Content-Type: {self.content_type}\r\n"
        content += f"Content-Length: {len(self.body)}\r\n\r\n"
        return b"".join((head, *lines, content.encode(), self.body))


@dataclass(slots=True)
class ClientSession:
    """Pool of keep-alive connections to one address; never sends a request twice.

    Parameters
    ----------
    base_url : str
        Address of the server.
    connect_ms : int
        Time limit of a connection attempt.
    idle : list of HttpConnection
        Connections that carry no call, the most recently used one last.
    """

    base_url: str
    connect_ms: int
    idle: list[HttpConnection] = field(default_factory=list)
    is_closed: bool = False
    host: str = field(init=False)
    port: int = field(init=False)
    authority: str = field(init=False)
    tls: ssl.SSLContext | None = field(init=False)

    def __post_init__(self) -> None:
        parts = urlsplit(self.base_url)
        self.host = parts.hostname or ""
        self.port = parts.port or DEFAULT_PORTS[parts.scheme]
        self.authority = parts.netloc
        self.tls = ssl.create_default_context() if parts.scheme == HTTPS else None

    async def send(
        self, request: Request, timeout_ms: int, timing: Timing = DEFAULT_TIMING
    ) -> CallResult:
        """Send a request and return the complete response.

        A call that times out or is cancelled closes its connection.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + to_seconds(timeout_ms)
        connection = self._pop_idle(loop.time())
        if connection is None:
            match await self._connect(min(timeout_ms, self.connect_ms)):
                case Err(error):
                    return Err(error)
                case Ok(new_connection):
                    connection = new_connection
        data = request.encode(self.authority)
        result = await connection.exchange(data, deadline_s - loop.time(), timing)
        self._release(connection)
        return result

    def has_open_connection(self) -> bool:
        """Return whether a request that is sent now reuses an idle connection."""
        now_s = asyncio.get_running_loop().time()
        return any(
            connection.is_open() and now_s - connection.last_used_s <= IDLE_LIMIT_S
            for connection in self.idle[-1:]
        )

    def close_idle(self) -> None:
        """Close the idle connections."""
        for connection in self.idle:
            connection.close()
        self.idle.clear()

    async def close(self) -> None:
        """Close all connections; one in use is closed when its call ends."""
        self.is_closed = True
        self.close_idle()
        await asyncio.sleep(0)

    async def _connect(self, limit_ms: int) -> Result[HttpConnection, CallError]:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(to_seconds(limit_ms)):
                _, connection = await loop.create_connection(
                    HttpConnection, self.host, self.port, ssl=self.tls
                )
        except TimeoutError:
            detail = "connect: timeout"
            return Err(CallError(detail, was_sent=False, is_timeout=True))
        except OSError as error:
            return Err(CallError(f"connect: {error}", was_sent=False))
        return Ok(connection)

    def _pop_idle(self, now_s: float) -> HttpConnection | None:
        while self.idle:
            connection = self.idle.pop()
            if now_s - connection.last_used_s > IDLE_LIMIT_S:
                connection.close()
                self.close_idle()
                return None
            if connection.is_open():
                return connection
        return None

    def _release(self, connection: HttpConnection) -> None:
        if self.is_closed:
            connection.close()
        elif connection.is_open():
            self.idle.append(connection)


def open_session(base_url: str, connect_ms: int) -> ClientSession:
    """Return a session that never sends a request twice.

    Parameters
    ----------
    base_url : str
        Address of the server.
    connect_ms : int
        Time limit of a connection attempt; each call has a time limit of its own.
    """
    return ClientSession(base_url, connect_ms)


async def call(
    session: ClientSession,
    method: str,
    path: str,
    timeout_ms: int,
    body: bytes | None = None,
    headers: HeaderPairs | None = None,
    content_type: str = "application/json",
    timing: Timing = DEFAULT_TIMING,
) -> CallResult:
    """Send a request and return the complete response.

    A call that times out or is cancelled closes its connection.
    """
    request = Request(method, path, headers or [], body, content_type)
    return await session.send(request, timeout_ms, timing)


def quoted(part: str) -> str:
    """Return a path or query component with reserved characters percent-encoded."""
    return quote(part, safe="")
