"""Event loop on a fake clock, and in-memory connections between simulated machines.

Each callback, server and link belongs to one of the machines, its owner.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable
from contextvars import Context, ContextVar, copy_context
from dataclasses import dataclass, field

import looptime
import pytest
from blacksheep import Application, Content, Request, Response
from blacksheep.contents import ASGIContent
from blacksheep.testing.messages import MockReceive
from result import Err, Ok

from cornelturn.clock import to_seconds
from cornelturn.events.mailbox import Mailbox
from cornelturn.peering.codec import Batch, Codec
from cornelturn.peering.messages import InnerMessage
from cornelturn.store.http_client import Request as ClientRequest
from cornelturn.store.http_connection import (
    DEFAULT_TIMING,
    CallError,
    CallResult,
    HttpResponse,
    PartialResponse,
    Timing,
)

HOP_DELAY_S = 0.001

CURRENT_OWNER: ContextVar[str] = ContextVar("owner", default="")


def owner_context(owner: str) -> Context:
    """Return a context whose callbacks belong to an owner."""
    context = copy_context()
    context.run(CURRENT_OWNER.set, owner)
    return context


class FakeTimeLoop(looptime.make_event_loop_class(asyncio.SelectorEventLoop)):
    """Event loop whose time jumps to the next timer, and whose owners can be paused.

    The callbacks of a paused owner are deferred, as if its process were stopped.
    """

    def __init__(self) -> None:
        super().__init__(noop_cycles=0)
        self.paused: set[str] = set()
        self.deferred: list[tuple[str, Callable[[], None]]] = []

    def call_soon(self, callback, *args, context=None):
        return super().call_soon(self._run_or_defer, callback, args, context=context)

    def call_at(self, when, callback, *args, context=None):
        return super().call_at(
            when, self._run_or_defer, callback, args, context=context
        )

    def resume(self, owner: str) -> None:
        """Resume an owner and run its deferred callbacks in order."""
        self.paused.discard(owner)
        deferred, self.deferred = self.deferred, []
        for callback_owner, run in deferred:
            if callback_owner == owner:
                run()
            else:
                self.deferred.append((callback_owner, run))

    def _run_or_defer(self, callback: Callable[..., None], args: tuple) -> None:
        owner = CURRENT_OWNER.get()
        if owner not in self.paused:
            callback(*args)
            return
        context = copy_context()
        call_soon = super().call_soon
        self.deferred.append(
            (
                owner,
                lambda: call_soon(self._run_or_defer, callback, args, context=context),
            )
        )


@dataclass
class Network:
    """Simulated network between owners; every hop takes `HOP_DELAY_S`.

    Parameters
    ----------
    cut_pairs : set of frozenset of str
        Pairs of owners between which no inner frame and no HTTP call passes.
    frame_loss : float
        Share of the inner frames that is lost.
    max_frame_delay_s : float
        Upper bound of the random delay of an inner frame beyond `HOP_DELAY_S`;
        frames can be reordered.
    default_link_bytes_s : float
        Bandwidth for HTTP answers of each owner, in bytes per second.
    link_bytes_s : dict
        Bandwidth of owners that differ from the default.
    link_free_at_s : dict
        When the link of an owner has received everything in flight.
    """

    loop: FakeTimeLoop
    rng: random.Random
    frame_loss: float = 0.0
    max_frame_delay_s: float = 0.0
    default_link_bytes_s: float = math.inf
    link_bytes_s: dict[str, float] = field(default_factory=dict)
    link_free_at_s: dict[str, float] = field(default_factory=dict)
    last_port: int = 10_000
    servers: dict[str, MemoryServer] = field(default_factory=dict)
    listeners: dict[str, MemoryListener] = field(default_factory=dict)
    links: list[MemoryLink] = field(default_factory=list)
    cut_pairs: set[frozenset[str]] = field(default_factory=set)
    dead: set[str] = field(default_factory=set)

    def patch(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Replace sockets by in-memory connections."""
        monkeypatch.setattr("cornelturn.store.http_client.ClientSession", self.open)
        monkeypatch.setattr("cornelturn.peering.hub.Link", self.link)
        for module in ("entry.process", "entry.job_process"):
            monkeypatch.setattr(f"cornelturn.{module}.Listener", self.listener)
        for module in (
            "entry.process",
            "entry.job_listeners",
            "standins.platform",
            "standins.target",
        ):
            monkeypatch.setattr(f"cornelturn.{module}.HttpServer", self.server)

    def server(
        self, app: Application, host: str, port: int, tls=None, guard=None
    ) -> MemoryServer:
        return MemoryServer(self, app, CURRENT_OWNER.get())

    def listener(
        self, address: str, codec: Codec, receive: Callable[[Batch], None]
    ) -> MemoryListener:
        return MemoryListener(self, codec, receive, CURRENT_OWNER.get())

    def link(self, peer: str, address: str, codec: Codec) -> MemoryLink:
        link = MemoryLink(self, peer, address, codec, CURRENT_OWNER.get())
        self.links.append(link)
        return link

    def open(self, base_url: str, connect_ms: int) -> MemorySession:
        return MemorySession(self, base_url)

    def next_port(self) -> int:
        self.last_port += 1
        return self.last_port

    async def receive_answer(self, size_bytes: int) -> None:
        """Wait until an answer has been transferred over the link of this owner."""
        owner, now_s = CURRENT_OWNER.get(), self.loop.time()
        start_s = max(now_s, self.link_free_at_s.get(owner, 0.0))
        bytes_s = self.link_bytes_s.get(owner, self.default_link_bytes_s)
        self.link_free_at_s[owner] = start_s + size_bytes / bytes_s
        await asyncio.sleep(self.link_free_at_s[owner] - now_s)

    def silence(self, first: str, second: str) -> None:
        """Drop all frames on the open links of a pair; new links work."""
        for link in self.links:
            if {link.owner, link.peer} == {first, second}:
                link.is_silent = True

    def kill(self, owner: str) -> None:
        """Stop an owner permanently and reset its connections."""
        self.loop.paused.add(owner)
        self.dead.add(owner)
        for server in self.servers.values():
            if server.owner == owner:
                server.abort()


@dataclass
class MemorySession:
    """Replaces the HTTP client session of one address.

    Parameters
    ----------
    idle : list of MemoryServer
        Server of each open connection that carries no request. It stays the same when
        another server begins to answer at the address.
    """

    network: Network
    base_url: str
    idle: list[MemoryServer] = field(default_factory=list)

    async def send(
        self, request: ClientRequest, timeout_ms: int, timing: Timing = DEFAULT_TIMING
    ) -> CallResult:
        try:
            async with asyncio.timeout(to_seconds(timeout_ms)) as limit:
                return Ok(await self._exchange(request, timing, limit))
        except ConnectionRefusedError as error:
            return Err(CallError(f"connect: {error}", was_sent=False))
        except (ConnectionError, TimeoutError) as error:
            is_reset = isinstance(error, ConnectionError)
            detail = f"{type(error).__name__}: {error}"
            return Err(CallError(detail, True, is_reset, is_timeout=not is_reset))

    async def _exchange(
        self, request: ClientRequest, timing: Timing, limit: asyncio.Timeout
    ) -> HttpResponse:
        server = self._connected_server()
        await self._take_hop(server)
        response = await server.serve(_received_request(request))
        await self._take_hop(server)
        timing.on_start(response.status)
        if timing.max_pause_ms:
            limit.reschedule(None)
        body = await response.read() or b""
        await self.network.receive_answer(len(body))
        if CURRENT_OWNER.get() in self.network.dead:
            raise ConnectionResetError(self.base_url)
        headers = {name.lower(): value for name, value in response.headers}
        content_type = response.content_type() or b""
        headers.setdefault(b"content-type", content_type)
        self.idle.append(server)
        return PartialResponse(headers, bytearray(body)).finish(response.status)

    def _connected_server(self) -> MemoryServer:
        """Return the server of the connection used last, or of a new connection."""
        while self.idle:
            server = self.idle.pop()
            if not server.is_closed:
                return server
        server = self.network.servers.get(self.base_url)
        if server is None or server.is_closed:
            raise ConnectionRefusedError(self.base_url)
        return server

    async def _take_hop(self, server: MemoryServer) -> None:
        """Wait for one hop; never return if the pair is cut."""
        await asyncio.sleep(HOP_DELAY_S)
        if frozenset((CURRENT_OWNER.get(), server.owner)) in self.network.cut_pairs:
            await asyncio.get_running_loop().create_future()

    def has_open_connection(self) -> bool:
        return any(not server.is_closed for server in self.idle[-1:])

    def close_idle(self) -> None:
        self.idle.clear()

    async def close(self) -> None:
        self.idle.clear()


def _received_request(request: ClientRequest) -> Request:
    received = Request(request.method, request.path.encode(), request.headers)
    if request.body is None:
        return received
    content = Content(request.content_type.encode(), request.body)
    return received.with_content(content)


@dataclass
class MemoryServer:
    """Replaces an HTTP server.

    Parameters
    ----------
    is_unreachable : bool
        Whether requests no longer arrive although the owner still runs.
    """

    network: Network
    application: Application
    owner: str
    is_closed: bool = False
    is_unreachable: bool = False
    calls: set[asyncio.Future[Response]] = field(default_factory=set)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self) -> int:
        await self.application.start()
        port = self.network.next_port()
        self.network.servers[f"http://127.0.0.1:{port}"] = self
        return port

    async def stop(self) -> None:
        self.is_closed = True
        while self.calls:
            await asyncio.wait(set(self.calls))

    def abort(self) -> None:
        self.is_closed = True
        for call in list(self.calls):
            if not call.done():
                call.set_exception(ConnectionResetError("the server was stopped"))

    async def serve(self, request: Request) -> Response:
        """Handle a request at the owner, to the end even if the caller disconnects."""
        if self.is_unreachable:
            await asyncio.get_running_loop().create_future()
        call: asyncio.Future[Response] = asyncio.get_running_loop().create_future()
        self.calls.add(call)
        call.add_done_callback(self.calls.discard)
        headers = [*request.headers, (b"content-type", request.content_type() or b"")]
        received = Request(request.method, request.url.value, headers)
        body = await request.read() or b""
        received = received.with_content(ASGIContent(MockReceive([body])))
        work = self._handle(received, call)
        task = asyncio.create_task(work, context=owner_context(self.owner))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return await call

    async def _handle(self, request: Request, call: asyncio.Future[Response]) -> None:
        answer = await self.application.handle(request)
        if not call.done():
            call.set_result(answer)


@dataclass
class MemoryListener:
    """Replaces the inner listener; frames are decoded as usual."""

    network: Network
    codec: Codec
    receive: Callable[[Batch], None]
    owner: str
    closed: asyncio.Event = field(default_factory=asyncio.Event)

    def open(self) -> str:
        address = f"tcp://127.0.0.1:{self.network.next_port()}"
        self.network.listeners[address] = self
        return address

    async def run(self) -> None:
        await self.closed.wait()

    def close(self) -> None:
        self.closed.set()

    def deliver(self, data: bytes) -> None:
        match self.codec.decode(data):
            case Ok(batch):
                self.receive(batch)
            case Err(error):
                raise AssertionError(error.reason)


@dataclass(eq=False)
class MemoryLink:
    """Replaces the connection to one peer; frames are encoded as usual."""

    network: Network
    peer: str
    address: str
    codec: Codec
    owner: str
    mailbox: Mailbox[InnerMessage] = field(default_factory=Mailbox)
    on_disconnect: Callable[[], None] | None = None
    is_silent: bool = False

    def close(self, task: asyncio.Task[None]) -> None:
        task.cancel()
        self.network.links.remove(self)

    async def run(self) -> None:
        async for first in self.mailbox.messages():
            data = self.codec.encode(self.peer, [first, *self.mailbox.drain()])
            listener = self.network.listeners[self.address]
            if self._is_delivered(listener):
                delay_s = (
                    HOP_DELAY_S
                    + self.network.rng.random() * self.network.max_frame_delay_s
                )
                context = owner_context(listener.owner)
                loop = self.network.loop
                loop.call_later(delay_s, listener.deliver, data, context=context)

    def _is_delivered(self, listener: MemoryListener) -> bool:
        network = self.network
        is_cut = frozenset((self.owner, listener.owner)) in network.cut_pairs
        is_dead = listener.owner in network.dead or self.owner in network.dead
        is_lost = network.rng.random() < network.frame_loss
        return not (is_cut or is_dead or is_lost or self.is_silent)
