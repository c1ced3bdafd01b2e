"""A proxy in front of a worker that can be cut off without a reset."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field


@dataclass
class CutLink:
    """Passes bytes on until it is cut; what is open then stays silent for good.

    Parameters
    ----------
    is_cut : bool
        Whether new connections are silent too.
    open_flags : list of Event
        One for each connection, set while it passes bytes on.
    """

    port: int
    is_cut: bool = False
    server: asyncio.Server | None = None
    tasks: set[asyncio.Task] = field(default_factory=set)
    open_flags: list[asyncio.Event] = field(default_factory=list)

    async def start(self) -> str:
        """Listen, and return the address."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def cut(self) -> None:
        """Let all connections fall silent, and those that are opened later."""
        self.is_cut = True
        for flag in self.open_flags:
            flag.clear()

    def heal(self) -> None:
        """Let new connections work; the old ones stay silent."""
        self.is_cut = False
        self.open_flags.clear()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        flag = asyncio.Event()
        if not self.is_cut:
            flag.set()
            self.open_flags.append(flag)
        inner_reader, inner_writer = await asyncio.open_connection(
            "127.0.0.1", self.port
        )
        pumps = {
            asyncio.create_task(self._pump(reader, inner_writer, flag)),
            asyncio.create_task(self._pump(inner_reader, writer, flag)),
        }
        self.tasks |= pumps
        await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        for pump in pumps:
            pump.cancel()
        self.tasks -= pumps
        for end in (writer, inner_writer):
            end.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        flag: asyncio.Event,
    ) -> None:
        try:
            while data := await reader.read(65_536):
                await flag.wait()
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            return
