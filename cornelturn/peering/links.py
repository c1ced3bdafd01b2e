"""Tasks that own the sockets of the inner protocol."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

import pynng
from result import Err, Ok

from cornelturn.events.log import log_debug, log_warning
from cornelturn.events.mailbox import Mailbox
from cornelturn.events.task_times import current_part
from cornelturn.peering.codec import MAX_FRAME_BYTES, Batch, Codec
from cornelturn.peering.messages import InnerMessage

SEND_TIMEOUT_MS = 500
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 500
BUFFERED_FRAMES = 64
MAX_MESSAGES_PER_FRAME = 128
MAX_FRAMES_PER_WAKEUP = 64


@dataclass(slots=True)
class Listener:
    """Receives the frames of all peers and passes on those that are authentic.

    Parameters
    ----------
    address : str
        For example ``tcp://127.0.0.1:0``; port 0 lets the system choose.
    codec : Codec
        Codec of this entry.
    receive : callable
        Called with each decoded batch; must not block.
    """

    address: str
    codec: Codec
    receive: Callable[[Batch], None]
    socket: pynng.Pull0 | None = None
    closed: asyncio.Event = field(default_factory=asyncio.Event)

    def open(self) -> str:
        """Bind and return the bound address."""
        self.socket = pynng.Pull0(
            recv_buffer_size=BUFFERED_FRAMES, recv_max_size=MAX_FRAME_BYTES
        )
        listener = self.socket.listen(self.address)
        return f"tcp://{str(listener.local_address).removeprefix('tcp://')}"

    async def run(self) -> None:
        """Receive until the socket is closed.

        The event loop watches the file descriptor of the socket, since awaiting
        each message separately takes three times the processor time.
        """
        loop = asyncio.get_running_loop()
        descriptor = self.socket.recv_fd
        loop.add_reader(descriptor, self._on_readable)
        try:
            await self.closed.wait()
        finally:
            loop.remove_reader(descriptor)
            self.socket.close()

    def close(self) -> None:
        """Make `run` close the socket and return."""
        self.closed.set()

    def _on_readable(self) -> None:
        with current_part():
            self._receive_frames()

    def _receive_frames(self) -> None:
        for _ in range(MAX_FRAMES_PER_WAKEUP):
            try:
                data = self.socket.recv(block=False)
            except (pynng.TryAgain, pynng.Closed):
                return
            match self.codec.decode(data):
                case Ok(batch):
                    self.receive(batch)
                case Err(error):
                    log_warning("inner_frame_dropped", reason=error.reason)


@dataclass(slots=True)
class Link:
    """Sends messages to one peer; those posted together share a frame.

    Delivery is not guaranteed: heartbeats and inventories compensate for lost
    messages.

    Parameters
    ----------
    on_disconnect : callable or None
        Called when the connection closes, from a thread of pynng.
    """

    peer: str
    address: str
    codec: Codec
    mailbox: Mailbox[InnerMessage] = field(default_factory=Mailbox)
    on_disconnect: Callable[[], None] | None = None
    is_closed: bool = False

    def close(self, task: asyncio.Task[None]) -> None:
        """Stop the task.

        The flag is needed since a send that completes while the task is being
        cancelled swallows the cancellation.
        """
        self.is_closed = True
        task.cancel()

    async def run(self) -> None:
        """Dial the peer and send its messages until closed."""
        socket = pynng.Push0(
            send_timeout=SEND_TIMEOUT_MS,
            send_buffer_size=BUFFERED_FRAMES,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        if self.on_disconnect is not None:
            socket.add_post_pipe_remove_cb(lambda _: self.on_disconnect())
        try:
            socket.dial(self.address, block=False)
            async for first in self.mailbox.messages():
                if self.is_closed:
                    return
                await asyncio.sleep(0)
                batch = [first, *self.mailbox.drain()]
                for start in range(0, len(batch), MAX_MESSAGES_PER_FRAME):
                    await self._send(
                        socket, batch[start : start + MAX_MESSAGES_PER_FRAME]
                    )
        finally:
            socket.close()

    async def _send(self, socket: pynng.Push0, batch: list[InnerMessage]) -> None:
        data = self.codec.encode(self.peer, batch)
        try:
            socket.send(data, block=False)
        except pynng.TryAgain:
            await self._send_when_writable(socket, data, len(batch))

    async def _send_when_writable(
        self, socket: pynng.Push0, data: bytes, count: int
    ) -> None:
        """Send once the buffer has room; costs more than a send without waiting."""
        try:
            await socket.asend(data)
        except pynng.Timeout:
            log_debug("inner_frame_lost", peer=self.peer, messages=count)
