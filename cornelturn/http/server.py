"""The task that owns an HTTP listener."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Iterator
from dataclasses import dataclass, field

import uvicorn
from blacksheep import Application

START_POLL_INTERVAL_S = 0.005
BACKLOG = 1024


@dataclass(frozen=True, slots=True)
class TlsFiles:
    """Certificate and key of a listener."""

    certificate: str
    key: str


class EmbeddedServer(uvicorn.Server):
    """Server that leaves the signals of the process alone."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Capture nothing."""
        yield


@dataclass(slots=True)
class HttpServer:
    """One listener and its application.

    Parameters
    ----------
    application : Application
        Handlers.
    host : str
        IP number to bind.
    port : int
        Port, 0 lets the system choose.
    tls : TlsFiles or None
        TLS files, None for plain HTTP.
    """

    application: Application
    host: str
    port: int
    tls: TlsFiles | None = None
    socket: socket.socket | None = None
    server: EmbeddedServer | None = field(default=None)
    task: asyncio.Task[None] | None = None

    async def start(self) -> int:
        """Bind, serve, and return the bound port."""
        # The protocol number lets asyncio disable Nagle's algorithm on the
        # accepted sockets; without it every answer waits for a delayed ACK.
        self.socket = socket.socket(
            socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP
        )
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind((self.host, self.port))
        await self.application.start()
        self.server = EmbeddedServer(self._config())
        self.task = asyncio.create_task(self.server.serve([self.socket]))
        while not self.server.started:
            if self.task.done():
                raise RuntimeError(f"listener on {self.host}:{self.port} did not start")
            await asyncio.sleep(START_POLL_INTERVAL_S)
        return self.socket.getsockname()[1]

    async def stop(self) -> None:
        """Accept no more connections, finish the open requests and return."""
        if self.server is not None and self.task is not None:
            self.server.should_exit = True
            await self.task

    def abort(self) -> None:
        """Stop at once, as a crash would."""
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
            http="httptools",
            loop="asyncio",
            server_header=False,
            ssl_certfile=self.tls.certificate if self.tls else None,
            ssl_keyfile=self.tls.key if self.tls else None,
        )
