"""One kept HTTP/1.1 connection, which carries one exchange at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from httptools import HttpParserError, HttpResponseParser
from result import Err, Ok, Result

from cornelturn.clock import to_seconds

FIRST_FINAL_STATUS = 200
"""Statuses below announce another answer to the same request."""


@dataclass(frozen=True, slots=True)
class HttpResponse:
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
    is_timeout : bool
        Whether nothing came in time.
    received : int
        Bytes of the body that had come.
    """

    detail: str
    was_sent: bool
    is_reset: bool = False
    is_timeout: bool = False
    received: int = 0


CallResult = Result[HttpResponse, CallError]


def ignore_status(status: int) -> None:
    """Do nothing with the status of an answer that begins."""


@dataclass(frozen=True, slots=True)
class Timing:
    """How long an answer may take, and who is told when it begins.

    Parameters
    ----------
    pause_ms : int
        Pause after a part of an answer in which the next one may come, even after the
        limit of the call: over a slow link an answer begun anew would come no sooner.
        0 if the whole answer must come in time.
    begun : callable
        Called with the status when an answer begins.
    """

    max_pause_ms: int = 0
    on_start: Callable[[int], None] = ignore_status


DEFAULT_TIMING = Timing()


@dataclass(slots=True)
class PartialResponse:
    """An answer of which more is to come.

    Parameters
    ----------
    length : int or None
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
        """Return whether only the end of the connection ends the body."""
        is_framed = (
            self.content_length is not None or b"transfer-encoding" in self.headers
        )
        return self.has_headers and not is_framed

    def header(self, name: bytes) -> str:
        """Return a header, empty if there is none."""
        return self.headers.get(name, b"").decode("latin-1")

    def finish(self, status: int) -> HttpResponse:
        """Return the whole answer."""
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
    """Sends a request and takes in the answer; never repeats anything.

    Parameters
    ----------
    used_s : float
        When its last exchange ended, on the clock of the loop.
    heard_s : float
        When the last part of an answer came.
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
        """Send a request and return the whole answer.

        An exchange that ends without one, or is cancelled, closes the connection.
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
        """Return whether another exchange may be tried."""
        return not self.transport.is_closing()

    def close(self) -> None:
        """Close the connection."""
        self.transport.close()

    # Called by the loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Take in a part of the answer; bytes that nobody asked for end all."""
        if self.waiter is None:
            self.transport.abort()
            return
        self.last_received_s = self.loop.time()
        try:
            self.parser.feed_data(data)
        except HttpParserError as error:
            self._set_result(Err(CallError(f"{type(error).__name__}: {error}", True)))

    def connection_lost(self, error: Exception | None) -> None:
        """Settle the exchange that the end of the connection cuts off."""
        self._set_result(self._disconnect_result(error))

    # Called by the parser

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep the first header of a name."""
        self.partial.headers.setdefault(name.lower(), value)

    def on_headers_complete(self) -> None:
        """Note that the body follows."""
        self.partial.has_headers = True
        status = self.parser.get_status_code()
        if status >= FIRST_FINAL_STATUS:
            self.timing.on_start(status)

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body."""
        self.partial.body += body

    def on_message_complete(self) -> None:
        """Settle the exchange, unless the answer only announces another one."""
        status = self.parser.get_status_code()
        if status < FIRST_FINAL_STATUS:
            self.partial = PartialResponse()
            return
        if not self.parser.should_keep_alive():
            self.transport.close()
        self._set_result(Ok(self.partial.finish(status)))

    def _on_timeout(self) -> None:
        """End the exchange, unless its answer still comes."""
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
