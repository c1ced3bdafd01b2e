"""Mailboxes: how the tasks of a process talk."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

Message = TypeVar("Message")
Reply = TypeVar("Reply")


@dataclass(slots=True)
class Mailbox(Generic[Message]):
    """Unbounded queue of typed messages with one reader: the owning task."""

    queue: asyncio.Queue[Message] = field(default_factory=asyncio.Queue)

    def post(self, message: Message) -> None:
        """Add a message without waiting."""
        self.queue.put_nowait(message)

    async def ask(
        self, make_message: Callable[[asyncio.Future[Reply]], Message]
    ) -> Reply:
        """Post a message that carries a reply and wait for the reply."""
        reply: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        self.post(make_message(reply))
        return await reply

    async def messages(self) -> AsyncIterator[Message]:
        """Yield messages for ever."""
        while True:
            yield await self.queue.get()

    def drain(self) -> list[Message]:
        """Return all messages that are here now."""
        drained: list[Message] = []
        while not self.queue.empty():
            drained.append(self.queue.get_nowait())
        return drained


def answer(reply: asyncio.Future[Reply], value: Reply) -> None:
    """Answer a reply unless the one who asked has given up."""
    if not reply.done():
        reply.set_result(value)


async def post_every(
    mailbox: Mailbox[Message], message: Message, interval_s: float
) -> None:
    """Post a message at a fixed interval for ever: a timer is a message."""
    while True:
        await asyncio.sleep(interval_s)
        mailbox.post(message)
