"""A proxy in front of a worker whose link loses packets for a while."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

LOSS = 0.3
"""Three packets in ten."""
RETRANSMIT_S = 0.2
"""First retransmission of TCP; each further one takes twice as long."""
OPENING_RETRANSMIT_S = 1.0
"""First retransmission of the packet that opens a connection."""


@dataclass
class LossyLink:
    """Passes bytes on; while it is lossy, packets may be lost and sent again.

    What a sender has not delivered when it resets its connection is lost for good.
    """

    port: int
    is_lossy: bool = False
    server: asyncio.Server | None = None
    tasks: set[asyncio.Task] = field(default_factory=set)

    async def start(self) -> str:
        """Listen, and return the address."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def _lose_packets(self, wait_s: float) -> None:
        """Wait until a packet that may be lost several times arrives."""
        while self.is_lossy and random.random() < LOSS:
            await asyncio.sleep(wait_s)
            wait_s *= 2

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await self._lose_packets(OPENING_RETRANSMIT_S)
        inner_reader, inner_writer = await asyncio.open_connection(
            "127.0.0.1", self.port
        )
        pumps = {
            asyncio.create_task(self._pump(reader, inner_writer)),
            asyncio.create_task(self._pump(inner_reader, writer)),
        }
        self.tasks |= pumps
        _, pending = await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        for pump in pending:
            pump.cancel()
        self.tasks -= pumps
        for end in (writer, inner_writer):
            end.transport.abort()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        chunks: asyncio.Queue[bytes] = asyncio.Queue()
        delivery = asyncio.create_task(self._deliver(chunks, writer))
        try:
            # A reset is seen while earlier bytes still wait, and drops them.
            while data := await reader.read(65_536):
                chunks.put_nowait(data)
        except ConnectionError:
            pass
        finally:
            delivery.cancel()

    async def _deliver(
        self, chunks: asyncio.Queue[bytes], writer: asyncio.StreamWriter
    ) -> None:
        while True:
            data = await chunks.get()
            await self._lose_packets(RETRANSMIT_S)
            try:
                writer.write(data)
                await writer.drain()
            except ConnectionError:
                return
