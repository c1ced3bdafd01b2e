"""A relay on loopback whose open connections can be made to go silent."""

from __future__ import annotations

import asyncio
import socket
import sys
from dataclasses import dataclass, field


@dataclass(eq=False)
class Relay:
    """Forwards bytes to a port; a silent connection stays open but forwards nothing.

    Parameters
    ----------
    port : int
        Port behind the relay.
    """

    port: int
    accepted_count: int = 0
    last_silent_number: int = 0
    server: asyncio.Server | None = None
    socket: socket.socket = field(default_factory=socket.socket)
    task: asyncio.Task[None] | None = None
    writers: list[asyncio.StreamWriter] = field(default_factory=list)

    def start(self) -> int:
        """Bind, serve in the background, and return the port of the relay."""
        self.socket.bind(("127.0.0.1", 0))
        self.task = asyncio.create_task(self._listen())
        return self.socket.getsockname()[1]

    async def _listen(self) -> None:
        self.server = await asyncio.start_server(self._serve, sock=self.socket)

    def silence(self) -> None:
        """Make the open connections silent; new ones work."""
        self.last_silent_number = self.accepted_count

    def cut(self) -> None:
        """Make all connections silent, new ones too."""
        self.last_silent_number = sys.maxsize

    async def stop(self) -> None:
        self.server.close()
        for writer in self.writers:
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.accepted_count += 1
        number = self.accepted_count
        upstream_reader, upstream_writer = await asyncio.open_connection(
            "127.0.0.1", self.port
        )
        self.writers += [writer, upstream_writer]
        await asyncio.gather(
            self._forward(number, reader, upstream_writer),
            self._forward(number, upstream_reader, writer),
        )

    async def _forward(
        self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(65_536):
            if number > self.last_silent_number:
                writer.write(data)
        writer.close()
