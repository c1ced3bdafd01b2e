"""Properties of the limits of a connection, with the parser that the server uses.

Any split of the same bytes gives the same verdict, and requests within the limits are
served whole.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import httptools
from hypothesis import example, given, settings
from hypothesis import strategies as st

from cornelturn.http.connection_limits import NOT_UNDERSTOOD, ConnectionLimits, Refusal
from cornelturn.model.routes import CallerLimits

LIMITS = CallerLimits(max_header_bytes=200, max_body_bytes=60)
SPLIT_SETTINGS = settings(
    max_examples=400, deadline=None, derandomize=True, database=None
)


@dataclass
class Exchange:
    """A connection that answers each request at once, and what came of it."""

    limits: ConnectionLimits = field(
        default_factory=lambda: ConnectionLimits(LIMITS, since_ms=0)
    )
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    body: bytes = b""
    served: list[bytes] = field(default_factory=list)
    refusal: Refusal | None = None

    def __post_init__(self) -> None:
        self.parser = httptools.HttpRequestParser(self)

    def on_message_begin(self) -> None:
        self.headers, self.body = [], b""

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers.append((name.lower(), value.rstrip()))

    def on_headers_complete(self) -> None:
        self.refusal = self.limits.complete_head(self.headers, now_ms=0)

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        self.limits.complete_message()
        self.served.append(self.body)

    def receive(self, data: bytes) -> None:
        position = 0
        while position < len(data) and self.refusal is None:
            end = self.limits.next_end(data, position, now_ms=0)
            if isinstance(end, Refusal):
                self.refusal = end
                return
            try:
                self.parser.feed_data(data[position:end])
            except httptools.HttpParserUpgrade:
                pass
            except httptools.HttpParserError:
                self.refusal = NOT_UNDERSTOOD
            position = end
            if self.limits.is_serving():
                self.limits.complete_answer(now_ms=0)


def outcome(packets: list[bytes]) -> tuple[list[bytes], Refusal | None]:
    exchange = Exchange()
    for packet in packets:
        exchange.receive(packet)
    return exchange.served, exchange.refusal


def chunked(parts: list[bytes], extension: bytes, trailers: bytes) -> bytes:
    chunks = [b"%x%b\r\n%b\r\n" % (len(part), extension, part) for part in parts]
    return b"".join(chunks) + b"0\r\n" + trailers + b"\r\n"


PARTS = st.lists(st.binary(min_size=1, max_size=40), max_size=4)
VALUES = st.text(st.sampled_from("ab:; \t"), max_size=230).map(str.encode)
FIELDS = VALUES.map(lambda value: b"x: " + value + b"\r\n")
EXTENSIONS = st.sampled_from([b"", b";a=b", b";" + b"a" * 90, b" ", b";\x00"])


@st.composite
def requests(draw) -> bytes:
    lines = draw(st.sampled_from([b"", b"\r\n", b"\r\n\r\n\r\n"]))
    lines += draw(st.sampled_from([b"GET", b"POST", b"CONNECT", b"BAD"]))
    path = b"/" + b"p" * draw(st.integers(0, 210))
    lines += b" " + path + b" HTTP/1.1\r\n" + draw(st.just(b"") | FIELDS)
    lines += draw(st.sampled_from([b"", b"Connection: upgrade\r\nUpgrade: h2c\r\n"]))
    match draw(st.sampled_from(["none", "fixed", "chunked", "both"])):
        case "none":
            return lines + b"\r\n"
        case "fixed":
            body = draw(st.binary(max_size=70))
            return lines + b"Content-Length: %d\r\n\r\n" % len(body) + body
        case "chunked":
            framing = b"Transfer-Encoding: chunked\r\n\r\n"
            trailers = draw(st.just(b"") | FIELDS)
            body = chunked(draw(PARTS), draw(EXTENSIONS), trailers)
            return lines + framing + body
        case _:
            return lines + b"Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n"


@st.composite
def streams(draw) -> tuple[bytes, list[int]]:
    data = b"".join(draw(st.lists(requests(), min_size=1, max_size=3)))
    data += draw(st.just(b"") | st.binary(max_size=30))
    cuts = draw(st.lists(st.integers(0, len(data)), max_size=12))
    return data, sorted(cuts)


@SPLIT_SETTINGS
@given(streams())
@example((b"GET / HTTP/1.1\r\nx: " + b"v" * 300, [7]))
def test_splits_of_the_same_bytes_have_the_same_outcome(
    stream: tuple[bytes, list[int]],
) -> None:
    """Guards against limits that depend on packets."""
    data, cuts = stream
    ends = [*cuts, len(data)]
    packets = [data[a:b] for a, b in zip([0, *cuts], ends, strict=True)]
    whole = outcome([data])
    assert outcome(packets) == whole
    assert outcome([bytes((byte,)) for byte in data]) == whole


@SPLIT_SETTINGS
@given(
    st.lists(st.lists(st.binary(min_size=1, max_size=20), max_size=3), min_size=1),
    st.booleans(),
    st.integers(1, 50),
)
def test_requests_within_the_limits_are_served(
    bodies: list[list[bytes]], is_chunked: bool, packet_bytes: int
) -> None:
    """Guards against wrong refusals."""
    data = b""
    for parts in bodies:
        body = b"".join(parts)
        data += b"POST /path HTTP/1.1\r\nHost: example\r\n"
        if is_chunked:
            data += b"Transfer-Encoding: chunked\r\n\r\n" + chunked(parts, b"", b"")
        else:
            data += b"Content-Length: %d\r\n\r\n" % len(body) + body
    starts = range(0, len(data), packet_bytes)
    served, refusal = outcome([data[at : at + packet_bytes] for at in starts])
    assert refusal is None
    assert served == [b"".join(parts) for parts in bodies]
