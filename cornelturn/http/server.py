"""HTTP server that runs as a task of the process and owns its listening socket."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Iterator
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import uvicorn
from blacksheep import Application

from cornelturn.http.connection_guard import ConnectionGuard
from cornelturn.http.guarded_protocol import GuardedProtocol

START_POLL_INTERVAL_S = 0.005
BACKLOG = 1024


@dataclass(frozen=True, slots=True)
class TlsFiles:
    """Paths of the certificate and key files of a listener."""

    certificate: str
    key: str


class EmbeddedServer(uvicorn.Server):
    """Server that installs no signal handlers; the process handles its signals."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield


@dataclass(slots=True)
class HttpServer:
    """A listener and its application.

    Parameters
    ----------
    application : Application
        Application that handles the requests.
    host : str
        IP address to bind.
    port : int
        Port to bind, 0 for any free port.
    tls : TlsFiles or None
        TLS files, None for plain HTTP.
    guard : ConnectionGuard or None
        Guard of the process against clients that abuse connections; None only for
        listeners whose clients are known.
    """

    application: Application
    host: str
    port: int
    tls: TlsFiles | None = None
    guard: ConnectionGuard | None = None
    socket: socket.socket | None = None
    server: EmbeddedServer | None = field(default=None)
    task: asyncio.Task[None] | None = None

    async def start(self) -> int:
        """Bind the socket, start the server and return the bound port."""
        # The protocol number lets asyncio disable Nagle's algorithm on the
        # accepted sockets; otherwise every response waits for a delayed ACK.
        self.socket = socket.socket(
            socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP
        )
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind((self.host, self.port))
        await self.application.start()
        self.server = EmbeddedServer(self._config())
        self.task = asyncio.create_task(self._serve())
        while not self.server.started:
            if self.task.done():
                raise RuntimeError(f"listener on {self.host}:{self.port} did not start")
            await asyncio.sleep(START_POLL_INTERVAL_S)
        return self.socket.getsockname()[1]

    async def _serve(self) -> None:
        """Serve until the server stops, with the sweeps of the guard."""
        if self.guard is not None:
            self.guard.add_listener()
        try:
            await self.server.serve([self.socket])
        finally:
            if self.guard is not None:
                self.guard.remove_listener()

    async def stop(self) -> None:
        """Stop accepting connections and wait until open requests are finished."""
        if self.server is not None and self.task is not None:
            self.server.should_exit = True
            await self.task

    def abort(self) -> None:
        """Stop without waiting for open requests, like a crash."""
        if self.server is not None:
            self.server.should_exit = True
            self.server.force_exit = True

    def _config(self) -> uvicorn.Config:
        return uvicorn.Config(
            self.application,
            log_config=None,
            access_log=False,
            lifespan="off",
            backlog=BACKLOG,
            http=self._protocol(),
            # Otherwise upgrades go to a library that the guard does not watch.
            ws="none",
            loop="asyncio",
            server_header=False,
            ssl_certfile=self.tls.certificate if self.tls else None,
            ssl_keyfile=self.tls.key if self.tls else None,
        )

    def _protocol(self) -> Any:
        """Return the class or factory of the protocol of a connection."""
        if self.guard is None:
            return "httptools"
        return partial(GuardedProtocol, self.guard)
