"""Limits of one connection: a pure decision about bytes, times and unread answers.

The bytes of a connection are cut at the ends of heads, bodies, chunk lines and
trailers, so that the HTTP parser never gets bytes beyond a limit or of the following
request. The verdict depends on the bytes alone, not on how they are split into packets.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum, auto

from cornelturn.model.routes import CallerLimits

END_OF_HEAD = b"\r\n\r\n"
END_OF_LINE = b"\r\n"
HEXADECIMAL = 16

PLAIN_CHUNK_LINE_BYTES = 18
"""16 digits and the end of the line; longer lines count as extensions."""

TIME_MARGIN_MS = 1_000
"""Added to time limits, since times are read at intervals and a client's own clock
starts earlier: a refusal that is late is better than a wrong one."""


class Cause(Enum):
    """Reason to refuse a request or to close a connection."""

    HEAD_SIZE = "head_size"
    BODY_SIZE = "body_size"
    HEAD_TIME = "head_time"
    BODY_TIME = "body_time"
    IDLE = "idle"
    UNREAD_ANSWER = "unread_answer"
    MALFORMED = "malformed"
    CONNECTIONS = "connections"
    BYTES = "bytes"
    OVERLOAD = "overload"
    INTERNAL = "internal"


@dataclass(frozen=True, slots=True)
class Refusal:
    """Refusal of a request that has not started.

    Parameters
    ----------
    status : int
        Status of the response, 0 to close the connection without one.
    """

    cause: Cause
    status: int = 0


HEAD_TOO_LARGE = Refusal(Cause.HEAD_SIZE, 431)
BODY_TOO_LARGE = Refusal(Cause.BODY_SIZE, 413)
HEAD_TOO_SLOW = Refusal(Cause.HEAD_TIME, 408)
BODY_TOO_SLOW = Refusal(Cause.BODY_TIME, 408)
IDLE_TOO_LONG = Refusal(Cause.IDLE)
ANSWER_UNREAD = Refusal(Cause.UNREAD_ANSWER)
NOT_UNDERSTOOD = Refusal(Cause.MALFORMED, 400)
OVERLOADED = Refusal(Cause.OVERLOAD, 503)
TOO_MANY_BYTES = Refusal(Cause.BYTES, 503)
TOO_MANY_CONNECTIONS = Refusal(Cause.CONNECTIONS)


class Phase(Enum):
    """What the next bytes of a connection belong to."""

    HEAD = auto()
    BODY = auto()
    CHUNK_LINE = auto()
    CHUNK = auto()
    TRAILERS = auto()
    SERVING = auto()


HEAD, BODY, SERVING = Phase.HEAD, Phase.BODY, Phase.SERVING
CHUNK_LINE, CHUNK, TRAILERS = Phase.CHUNK_LINE, Phase.CHUNK, Phase.TRAILERS


class FramingError(ValueError):
    """The parser and the limits disagree about the end of a message."""


@dataclass(slots=True, eq=False)
class ConnectionLimits:
    """State of one connection that its limits depend on.

    Parameters
    ----------
    limits : CallerLimits
        Limits in force.
    since_ms : int
        When the phase began; in a body, when bytes last came.
    head_bytes : int
        Bytes of the head, or of the trailers, so far.
    remaining_bytes : int
        Bytes of the body or chunk that are still to come.
    received_bytes : int
        Bytes that were received and belong to no answered request.
    unread_bytes, unread_since_ms : int
        Bytes of answers that the client has not read, and when it last read some.
    answered : int
        Number of answered requests.
    running : int
        Number of requests that the application runs, which go on after a disconnection:
        the answered one ends shortly after the next one has begun.
    """

    limits: CallerLimits
    since_ms: int
    phase: Phase = HEAD
    head_bytes: int = 0
    remaining_bytes: int = 0
    body_bytes: int = 0
    extension_bytes: int = 0
    received_bytes: int = 0
    unread_bytes: int = 0
    unread_since_ms: int = 0
    answered: int = 0
    running: int = 0
    line: bytearray = field(default_factory=bytearray)
    tail: bytes = b""
    is_at_end: bool = False
    pending: Refusal | None = None

    # Bytes

    def next_end(self, data: bytes, start: int, now_ms: int) -> int | Refusal:
        """Return the end of the bytes from ``start`` that the parser may get."""
        # Comparisons in the order of their frequency: this runs for each request.
        phase = self.phase
        if phase is HEAD:
            if self.head_bytes == 0:
                self.since_ms = now_ms
            return self._end_of_fields(data, start)
        self.since_ms = now_ms
        if phase is BODY or phase is CHUNK:
            return self._end_of_body(data, start)
        if self.pending is not None:
            return self.pending
        if phase is CHUNK_LINE:
            return self._end_of_chunk_line(data, start)
        if phase is TRAILERS:
            return self._end_of_fields(data, start)
        raise FramingError("expected no bytes while a request is served")

    def _end_of_fields(self, data: bytes, start: int) -> int | Refusal:
        """Return the end of a head or of trailers, or of the part that is there."""
        end = _find_end_of_head(self.tail, data, start)
        is_at_end = end > 0
        if not is_at_end:
            end = len(data)
        allowed = self.limits.max_header_bytes - self.head_bytes
        if end - start > allowed:
            if allowed <= 0:
                return HEAD_TOO_LARGE
            end = start + allowed
            is_at_end = False
        self.head_bytes += end - start
        self.is_at_end = is_at_end
        self.tail = b"" if is_at_end else (self.tail + data[start:end])[-3:]
        return end

    def _end_of_chunk_line(self, data: bytes, start: int) -> int | Refusal:
        if not self.line:
            end = self._end_of_whole_chunks(data, start)
            if end > start:
                return end
        end = data.find(b"\n", start) + 1 or len(data)
        allowed = (
            self.limits.max_header_bytes
            + PLAIN_CHUNK_LINE_BYTES
            - self.extension_bytes
            - len(self.line)
        )
        if allowed <= 0:
            return HEAD_TOO_LARGE
        end = min(end, start + allowed)
        self.line += data[start:end]
        if self.line.endswith(b"\n"):
            self._start_chunk()
        return end

    def _end_of_whole_chunks(self, data: bytes, start: int) -> int:
        """Return the end of chunks that are there as a whole and need no other check.

        A call of the parser for each of 10,000 chunks of one byte, which one read can
        bring, would hold the loop.
        """
        end = start
        while True:
            line_end = data.find(b"\n", end, end + PLAIN_CHUNK_LINE_BYTES)
            try:
                size = int(data[end:line_end], HEXADECIMAL) if line_end > 0 else 0
            except ValueError:
                return end
            chunk_end = line_end + 1 + size + len(END_OF_LINE)
            body_bytes = self.body_bytes + size
            is_within = body_bytes <= self.limits.max_body_bytes
            if size <= 0 or chunk_end > len(data) or not is_within:
                return end
            self.body_bytes = body_bytes
            end = chunk_end

    def _start_chunk(self) -> None:
        """Read the size of a chunk from its line."""
        line = bytes(self.line)
        self.line.clear()
        self.extension_bytes += max(len(line) - PLAIN_CHUNK_LINE_BYTES, 0)
        try:
            size = int(line.partition(b";")[0], HEXADECIMAL)
        except ValueError:
            # The parser refuses such a line by itself; this is for what it does not.
            self.pending = NOT_UNDERSTOOD
            return
        self.body_bytes += size
        if self.body_bytes > self.limits.max_body_bytes:
            # Refused with the next byte, so that a line that the parser refuses is
            # malformed in every split.
            self.pending = BODY_TOO_LARGE
        elif size > 0:
            self.phase = CHUNK
            self.remaining_bytes = size + len(END_OF_LINE)
        else:
            self.phase = TRAILERS
            self.head_bytes = 0
            self.tail = END_OF_LINE

    def _end_of_body(self, data: bytes, start: int) -> int:
        end = min(len(data), start + self.remaining_bytes)
        self.remaining_bytes -= end - start
        self.is_at_end = self.phase is BODY and self.remaining_bytes == 0
        if self.phase is CHUNK and self.remaining_bytes == 0:
            self.phase = CHUNK_LINE
        return end

    # What the parser has found

    def complete_head(
        self, headers: Iterable[tuple[bytes, bytes]], now_ms: int
    ) -> Refusal | None:
        """Note the end of a head; return a refusal if its body is too large."""
        if not (self.is_at_end and self.phase is HEAD):
            raise FramingError("expected the end of the head")
        self.since_ms = now_ms
        # The parser refuses heads in which these occur twice or together.
        values = dict(headers)
        content_length = values.get(b"content-length")
        if content_length is not None:
            self.remaining_bytes = int(content_length)
            if self.remaining_bytes > self.limits.max_body_bytes:
                return BODY_TOO_LARGE
            if self.remaining_bytes:
                self.phase = BODY
                self.is_at_end = False
        elif b"transfer-encoding" in values:
            self.phase = CHUNK_LINE
            self.is_at_end = False
            self.body_bytes = self.extension_bytes = 0
        return None

    def complete_message(self) -> None:
        """Note the end of a request, which is served from now on."""
        if not self.is_at_end:
            raise FramingError("expected the end of the request")
        self.phase = SERVING

    def complete_answer(self, now_ms: int) -> None:
        """Note that a request is answered; the next one may begin."""
        self.phase = HEAD
        self.head_bytes = 0
        self.tail = b""
        self.is_at_end = False
        self.answered += 1
        self.since_ms = now_ms

    # Times

    def record_unread(self, unread_bytes: int, now_ms: int) -> None:
        """Record how much of the answers the client has not read."""
        if (
            unread_bytes == 0
            or unread_bytes < self.unread_bytes
            or not self.unread_bytes
        ):
            self.unread_since_ms = now_ms
        self.unread_bytes = unread_bytes

    def overdue(self, now_ms: int) -> Refusal | None:
        """Return the refusal of a client that has taken too long, if it has."""
        waited_ms = now_ms - self.since_ms - TIME_MARGIN_MS
        idle_timeout_ms = self.limits.idle_timeout_ms
        if self.unread_bytes:
            unread_ms = now_ms - self.unread_since_ms - TIME_MARGIN_MS
            return ANSWER_UNREAD if unread_ms > idle_timeout_ms else None
        match self.phase:
            case Phase.SERVING:
                return None
            case Phase.HEAD if self.head_bytes == 0:
                return IDLE_TOO_LONG if waited_ms > idle_timeout_ms else None
            case Phase.HEAD:
                is_late = waited_ms > self.limits.header_timeout_ms
                return HEAD_TOO_SLOW if is_late else None
            case _:
                return BODY_TOO_SLOW if waited_ms > idle_timeout_ms else None

    def is_serving(self) -> bool:
        """Return whether a request is being answered."""
        return self.phase is SERVING


def _find_end_of_head(tail: bytes, data: bytes, start: int) -> int:
    """Return the position after an empty line, which may begin in ``tail``, or 0."""
    if tail:
        position = (tail + data[start : start + 3]).find(END_OF_HEAD)
        if position >= 0:
            return start + position + len(END_OF_HEAD) - len(tail)
    position = data.find(END_OF_HEAD, start)
    return position + len(END_OF_HEAD) if position >= 0 else 0
