"""HTTP protocol of the server that enforces the limits of a connection.

It extends the protocol of uvicorn. A request starts once all of it has come, so that
none that was refused has run. While it is served, nothing further is parsed.
"""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import Any

import httptools
from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.httptools_impl import (
    HttpToolsProtocol,
    RequestResponseCycle,
)

from cornelturn.events.background import format_error
from cornelturn.events.log import log_warning
from cornelturn.http.connection_guard import ConnectionGuard
from cornelturn.http.connection_limits import (
    NOT_UNDERSTOOD,
    OVERLOADED,
    Cause,
    ConnectionLimits,
    Phase,
    Refusal,
)

HEAD, SERVING = Phase.HEAD, Phase.SERVING
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

MAX_UNREAD_BYTES = 64 * 1024
"""Bytes of unread answers from which on the next request waits. The default of asyncio
for TCP; that for TLS is eight times as large."""

MAX_CLOSING_MS = 1_000
"""Time for which a refused client may read its response before it is cut off."""

MAX_DISCARDED_BYTES = 1024 * 1024
"""Bytes of a refused client that are read and dropped; a connection with unread bytes
is reset when it is closed, and the client might lose the response."""


class HeldFlow(FlowControl):
    """Flow control that does not resume reading while received bytes wait."""

    is_held = False

    def resume_reading(self) -> None:
        """Resume reading unless received bytes wait."""
        if not self.is_held:
            super().resume_reading()


class GuardedProtocol(HttpToolsProtocol, asyncio.BufferedProtocol):
    """Connection of a client within the limits of its guard.

    Parameters
    ----------
    guard : ConnectionGuard
        Guard of the process.
    """

    def __init__(self, guard: ConnectionGuard, **arguments: Any) -> None:
        super().__init__(**arguments)
        self.guard = guard
        self.budget = guard.budget
        self.read_view = memoryview(guard.read_buffer)
        self.limits = ConnectionLimits(guard.limits, guard.now_ms)
        self.waiting = b""
        self.refusal: Refusal | None = None
        self.is_refused = False
        self.discarded_bytes = 0
        self.refused_ms = 0

    # Protocol

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Watch the connection."""
        super().connection_made(transport)
        self.flow = HeldFlow(transport)
        transport.set_write_buffer_limits(high=MAX_UNREAD_BYTES)
        self.guard.open(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Release what the connection holds, except for a running request."""
        self.waiting = b""
        self.guard.forget(self.limits)
        super().connection_lost(exc)
        self._release_request()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer that all connections share."""
        return self.read_view

    def buffer_updated(self, nbytes: int) -> None:
        """Take the bytes that were read; an error closes only this connection."""
        if self.is_refused:
            self._discard(nbytes)
            return
        data = bytes(self.read_view[:nbytes])
        limits = self.limits
        try:
            budget = self.budget
            limits.received_bytes += nbytes
            budget.held_bytes += nbytes
            if budget.held_bytes > budget.limits.max_bytes:
                self.guard.relieve_bytes()
                if self.is_refused:
                    return
            if limits.phase is SERVING or self.waiting or self.flow.write_paused:
                self._hold(self.waiting + data)
            else:
                self._parse(data)
        except Exception as error:
            self._fail(error)

    def pause_writing(self) -> None:
        """Count what the client has not read."""
        super().pause_writing()
        unread_bytes = self.transport.get_write_buffer_size()
        self.guard.record_unread(self.limits, unread_bytes)

    def resume_writing(self) -> None:
        """Go on with the bytes that wait, as the client reads again."""
        super().resume_writing()
        if self.waiting and not self.limits.is_serving():
            self.loop.call_soon(self._continue)

    # Bytes

    def _parse(self, data: bytes) -> None:
        """Pass bytes to the parser, up to the end of a request."""
        limits, position, size = self.limits, 0, len(data)
        while position < size:
            end = limits.next_end(data, position, self.guard.now_ms)
            if isinstance(end, Refusal):
                self.refuse(end)
                return
            try:
                is_whole = position == 0 and end == size
                self.parser.feed_data(data if is_whole else data[position:end])
            except httptools.HttpParserUpgrade:
                # The request is served without an upgrade, which a server may do.
                pass
            except httptools.HttpParserError:
                self.refuse(NOT_UNDERSTOOD)
                return
            if self.refusal is not None:
                self.refuse(self.refusal)
                return
            position = end
            if limits.phase is SERVING:
                if position < size:
                    self._hold(data[position:])
                return

    def _hold(self, data: bytes) -> None:
        """Keep bytes until the running request is answered, and read no more."""
        self.waiting = data
        self.flow.pause_reading()
        self.flow.is_held = True

    def _continue(self) -> None:
        """Parse the bytes that have waited for an answer, and read on."""
        is_blocked = self.limits.is_serving() or self.flow.write_paused
        if is_blocked or self.is_refused or self.transport.is_closing():
            return
        data, self.waiting = self.waiting, b""
        self.flow.is_held = False
        try:
            self._parse(data)
        except Exception as error:
            self._fail(error)
        self.flow.resume_reading()

    # Callbacks of the parser

    def on_headers_complete(self) -> None:
        """Begin a request unless its body is declared too large."""
        self.limits.limits = self.guard.limits
        self.refusal = self.limits.complete_head(self.headers, self.guard.now_ms)
        if self.refusal is not None:
            return
        super().on_headers_complete()
        if self.expect_100_continue and self.limits.phase is not HEAD:
            self.cycle.waiting_for_100_continue = False
            self.transport.write(CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        self.cycle.body += body

    def on_message_complete(self) -> None:
        """Start the request, all of which has come."""
        self.limits.complete_message()
        if self.budget.is_overloaded():
            self.limits.phase = HEAD
            self.refusal = OVERLOADED
            return
        cycle = self.cycle
        cycle.more_body = False
        cycle.message_event.set()
        self.limits.running += 1
        task = self.loop.create_task(cycle.run_asgi(self.app))
        task.add_done_callback(self._end_request)
        self.tasks.add(task)

    def _start_asgi_task(self, cycle: RequestResponseCycle, app: Any) -> None:
        """Start nothing yet: the body of the request is still to come."""

    def _end_request(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        self.limits.running -= 1
        self.budget.end_request(self.limits)
        if self.parser is None:
            # The connection was lost before.
            self._release_request()

    def on_response_complete(self) -> None:
        """Release the request that is answered, and go on with the next one."""
        self.server_state.total_requests += 1
        limits = self.limits
        limits.complete_answer(self.guard.now_ms)
        if self.cycle.body:
            # A body that the application did not read.
            self.cycle.body = bytearray()
        waiting_bytes = len(self.waiting)
        self.budget.held_bytes += waiting_bytes - limits.received_bytes
        limits.received_bytes = waiting_bytes
        if self.waiting:
            self.loop.call_soon(self._continue)

    # Refusals

    def check(self, now_ms: int) -> None:
        """Refuse or close the connection if its client has taken too long."""
        try:
            self._check(now_ms)
        except Exception as error:
            self._fail(error)

    def _check(self, now_ms: int) -> None:
        limits = self.limits
        if self.is_refused:
            if now_ms - self.refused_ms > MAX_CLOSING_MS:
                self.transport.abort()
            return
        if limits.phase is HEAD and limits.head_bytes == 0:
            limits.limits = self.guard.limits
        self.guard.record_unread(limits, self.transport.get_write_buffer_size())
        refusal = limits.overdue(now_ms)
        if refusal is not None:
            self.refuse(refusal)

    def abort(self) -> None:
        """Close a refused connection without waiting for its client."""
        self.transport.abort()

    def refuse(self, refusal: Refusal) -> None:
        """Answer with the status of a refusal if there is one, and close."""
        limits = self.limits
        if refusal.status == 0 or limits.is_serving() or limits.unread_bytes:
            self.cut(refusal.cause)
            return
        if self.is_refused or self.transport.is_closing():
            return
        self._mark_refused(refusal.cause)
        self.flow.is_held = False
        self.flow.resume_reading()
        self.transport.write(refusal_response(refusal.status))
        if self.transport.can_write_eof():
            self.transport.write_eof()
        else:
            self.transport.close()

    def cut(self, cause: Cause) -> None:
        """Close at once, without a response."""
        if not self.is_refused:
            self._mark_refused(cause)
        self.transport.abort()

    def _mark_refused(self, cause: Cause) -> None:
        self.is_refused = True
        self.refused_ms = self.guard.now_ms
        self.waiting = b""
        self.guard.count(cause, self.client[0] if self.client else "")
        self.guard.close(self.limits)
        self._release_request()

    def _release_request(self) -> None:
        """Release a request that will not run, without waiting for the collector.

        The request and the connection refer to each other.
        """
        if not self.limits.running:
            self.cycle = None

    def _discard(self, size: int) -> None:
        self.discarded_bytes += size
        if self.discarded_bytes > MAX_DISCARDED_BYTES:
            self.transport.abort()

    def _fail(self, error: Exception) -> None:
        """Close the connection after an error of the guard itself."""
        log_warning("connection_guard_failed", trace=format_error(error))
        self.cut(Cause.INTERNAL)


def refusal_response(status: int) -> bytes:
    """Return a complete response that announces the end of the connection."""
    phrase = HTTPStatus(status).phrase
    lines = (
        f"HTTP/1.1 {status} {phrase}",
        "content-type: text/plain; charset=utf-8",
        f"content-length: {len(phrase)}",
        *(["retry-after: 1"] if status == HTTPStatus.SERVICE_UNAVAILABLE else []),
        "connection: close",
        "",
        phrase,
    )
    return "\r\n".join(lines).encode("ascii")
