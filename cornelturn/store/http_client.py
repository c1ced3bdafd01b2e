"""HTTP calls to the platform, with outcomes as values."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from urllib.parse import quote

from blacksheep import Content, Request, Response
from blacksheep.client import ClientSession
from blacksheep.client.connection import ConnectionException
from blacksheep.client.exceptions import ConnectionTimeout, RequestTimeout
from result import Err, Ok, Result

from cornelturn.clock import to_seconds

MAX_CALL_MS = 7 * 24 * 3_600_000

TRANSPORT_ERRORS = (
    OSError,
    ConnectionException,
    ConnectionTimeout,
    RequestTimeout,
    TimeoutError,
)


@dataclass(frozen=True, slots=True)
class Answer:
    """An HTTP answer whose length has been checked.

    Parameters
    ----------
    attempt : str
        Attempt that the answer names, empty if none.
    is_leaving : bool
        Whether the answer says that the instance is leaving.
    is_checkpointed : bool
        Whether the answer says that the task goes on after a reboot.
    etag : str
        Entity tag, empty if none.
    """

    status: int
    body: bytes
    content_type: str
    attempt: str = ""
    is_leaving: bool = False
    is_checkpointed: bool = False
    etag: str = ""


@dataclass(frozen=True, slots=True)
class CallError:
    """A call without a whole answer.

    Parameters
    ----------
    detail : str
        What went wrong.
    was_sent : bool
        Whether a byte of the request may have left.
    is_reset : bool
        Whether the connection was closed under the call.
    """

    detail: str
    was_sent: bool
    is_reset: bool = False


def open_session(base_url: str, connect_ms: int) -> ClientSession:
    """Return a session that never repeats a request by itself.

    Parameters
    ----------
    base_url : str
        Address.
    connect_ms : int
        Limit of a connection attempt; each call has a limit of its own.
    """
    return ClientSession(
        base_url=base_url,
        follow_redirects=False,
        http2=False,
        max_connection_retries=0,
        connection_timeout=to_seconds(connect_ms),
        request_timeout=to_seconds(MAX_CALL_MS),
    )


async def call(
    session: ClientSession,
    method: str,
    path: str,
    timeout_ms: int,
    body: bytes | None = None,
    headers: list[tuple[bytes, bytes]] | None = None,
    content_type: str = "application/json",
) -> Result[Answer, CallError]:
    """Send a request and return the whole answer.

    A call that ends early closes its connection.
    """
    request = Request(method, path.encode(), headers or [])
    if body is not None:
        request = request.with_content(Content(content_type.encode(), body))
    try:
        async with asyncio.timeout(to_seconds(timeout_ms)):
            response = await session.send(request)
            data = await response.read() or b""
    except (ConnectionRefusedError, ConnectionTimeout) as error:
        return Err(CallError(f"connect: {error}", was_sent=False))
    except TRANSPORT_ERRORS as error:
        is_reset = isinstance(error, (ConnectionError, ConnectionException))
        detail = f"{type(error).__name__}: {error}"
        return Err(CallError(detail, was_sent=True, is_reset=is_reset))
    declared = response.get_first_header(b"content-length")
    if declared is not None and int(declared) != len(data):
        detail = f"short answer: expected {int(declared)} bytes, found {len(data)}"
        return Err(CallError(detail, was_sent=True))
    return Ok(
        Answer(
            response.status,
            data,
            _header(response, b"content-type"),
            _header(response, b"attempt-id"),
            _header(response, b"leaving") == "true",
            _header(response, b"checkpointed") == "true",
            _header(response, b"etag"),
        )
    )


def _header(response: Response, name: bytes) -> str:
    value = response.get_first_header(name)
    return value.decode("latin-1") if value is not None else ""


def quoted(part: str) -> str:
    """Return a part of a path or query with reserved characters escaped."""
    return quote(part, safe="")
