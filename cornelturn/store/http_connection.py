"""A keep-alive HTTP/1.1 connection that carries one exchange at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from httptools import HttpParserError, HttpResponseParser
from result import Err, Ok, Result

from cornelturn.clock import to_seconds

FIRST_FINAL_STATUS = 200
"""Lower statuses are interim: another response to the same request follows."""


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete HTTP response, whose length has been checked.

    Parameters
    ----------
    attempt : str
        Value of the header `Attempt-Id`, empty if there is none.
    is_leaving : bool
        Whether the header `Leaving` says that the instance is leaving.
    is_checkpointed : bool
        Whether the header `Checkpointed` says that the task resumes after a reboot.
    etag : str
        Entity tag, empty if there is none.
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
    """A call without a complete response.

    Parameters
    ----------
    detail : str
        Description of the failure, for logs.
    was_sent : bool
        Whether the server may have received any byte of the request.
    is_reset : bool
        Whether the connection was closed before all headers of a response arrived.
    is_timeout : bool
        Whether the call timed out.
    received : int
        Bytes of the response body received so far.
    """

    detail: str
    was_sent: bool
    is_reset: bool = False
    is_timeout: bool = False
    received: int = 0


CallResult = Result[HttpResponse, CallError]


def ignore_status(status: int) -> None:
    """Ignore the status of a response; the default of `Timing.on_start`."""


@dataclass(frozen=True, slots=True)
class Timing:
    """How long a response may take, and a callback for when it starts.

    Parameters
    ----------
    max_pause_ms : int
        Longest pause between two chunks of a response that is still arriving when the
        time limit of the call has passed: over a slow link, a new request would not
        complete any sooner. 0 if the complete response must arrive within the limit.
    on_start : callable
        Called with the status once the headers of a response have arrived.
    """

    max_pause_ms: int = 0
    on_start: Callable[[int], None] = ignore_status


DEFAULT_TIMING = Timing()


@dataclass(slots=True)
class PartialResponse:
    """A response that is still being received.

    Parameters
    ----------
    content_length : int or None
        Declared length of the body in bytes, None if none was declared.
    """

    headers: dict[bytes, bytes] = field(default_factory=dict)
    body: bytearray = field(default_factory=bytearray)
    has_headers: bool = False

    @property
    def content_length(self) -> int | None:
        """Return the declared length of the body."""
        declared = self.headers.get(b"content-length")
        return int(declared) if declared is not None else None

    def ends_with_connection(self) -> bool:
        """Return whether only the end of the connection marks the end of the body."""
        is_framed = (
            self.content_length is not None or b"transfer-encoding" in self.headers
        )
        return self.has_headers and not is_framed

    def header(self, name: bytes) -> str:
        """Return the value of a header, empty if there is none."""
        return self.headers.get(name, b"").decode("latin-1")

    def finish(self, status: int) -> HttpResponse:
        """Return the complete response."""
        return HttpResponse(
            status,
            bytes(self.body),
            self.header(b"content-type"),
            self.header(b"attempt-id"),
            self.header(b"leaving") == "true",
            self.header(b"checkpointed") == "true",
            self.header(b"etag"),
        )


class HttpConnection(asyncio.Protocol):
    """Protocol that sends a request and parses the response; never sends one twice.

    Parameters
    ----------
    last_used_s : float
        When the last exchange ended, on the clock of the event loop.
    last_received_s : float
        When the last bytes of a response arrived, on the same clock.
    """

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.parser = HttpResponseParser(self)
        self.transport: asyncio.Transport | None = None
        self.waiter: asyncio.Future[CallResult] | None = None
        self.partial = PartialResponse()
        self.timing = DEFAULT_TIMING
        self.timer: asyncio.TimerHandle | None = None
        self.last_used_s = self.last_received_s = 0.0

    async def exchange(
        self, request: bytes, timeout_s: float, timing: Timing = DEFAULT_TIMING
    ) -> CallResult:
        """Send a request and return the complete response.

        An exchange that fails or is cancelled closes the connection.
        """
        self.waiter = self.loop.create_future()
        self.partial = PartialResponse()
        self.timing = timing
        self.last_received_s = 0.0
        self.transport.write(request)
        self.timer = self.loop.call_later(timeout_s, self._on_timeout)
        result = None
        try:
            result = await self.waiter
        finally:
            self.timer.cancel()
            self.waiter = None
            self.last_used_s = self.loop.time()
            if result is None or result.is_err():
                self.transport.abort()
        return result

    def is_open(self) -> bool:
        """Return whether the connection can carry another exchange."""
        return not self.transport.is_closing()

    def close(self) -> None:
        """Close the connection."""
        self.transport.close()

    # Callbacks of asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse a part of the response; abort on bytes that no request asked for."""
        if self.waiter is None:
            self.transport.abort()
            return
        self.last_received_s = self.loop.time()
        try:
            self.parser.feed_data(data)
        except HttpParserError as error:
            self._set_result(Err(CallError(f"{type(error).__name__}: {error}", True)))

    def connection_lost(self, error: Exception | None) -> None:
        """End the exchange in progress, if there is one."""
        self._set_result(self._disconnect_result(error))

    # Callbacks of HttpResponseParser

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; the first of a name counts."""
        self.partial.headers.setdefault(name.lower(), value)

    def on_headers_complete(self) -> None:
        """Record that the body follows, and report the status of a final response."""
        self.partial.has_headers = True
        status = self.parser.get_status_code()
        if status >= FIRST_FINAL_STATUS:
            self.timing.on_start(status)

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self.partial.body += body

    def on_message_complete(self) -> None:
        """End the exchange, unless the response is an interim one."""
        status = self.parser.get_status_code()
        if status < FIRST_FINAL_STATUS:
            self.partial = PartialResponse()
            return
        if not self.parser.should_keep_alive():
            self.transport.close()
        self._set_result(Ok(self.partial.finish(status)))

    def _on_timeout(self) -> None:
        """Fail the exchange, unless its response is still arriving."""
        end_s = self.last_received_s + to_seconds(self.timing.max_pause_ms)
        if end_s > self.loop.time():
            self.timer = self.loop.call_at(end_s, self._on_timeout)
            return
        received = len(self.partial.body)
        error = CallError("timeout", True, is_timeout=True, received=received)
        self._set_result(Err(error))

    def _set_result(self, result: CallResult) -> None:
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(result)

    def _disconnect_result(self, error: Exception | None) -> CallResult:
        partial = self.partial
        if error is None and partial.ends_with_connection():
            return Ok(partial.finish(self.parser.get_status_code()))
        if partial.has_headers:
            received = len(partial.body)
            detail = (
                f"short answer: expected {partial.content_length} bytes, "
                f"found {received}"
            )
            return Err(CallError(detail, was_sent=True, received=received))
        name = type(error).__name__ if error is not None else "closed"
        detail = f"{name}: {error or 'the connection ended without an answer'}"
        return Err(CallError(detail, was_sent=True, is_reset=True))
