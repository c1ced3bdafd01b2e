"""Mailboxes, through which the tasks of a process exchange messages."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

Message = TypeVar("Message")
Reply = TypeVar("Reply")


@dataclass(slots=True)
class Mailbox(Generic[Message]):
    """Unbounded queue of typed messages that one task owns and reads."""

    queue: asyncio.Queue[Message] = field(default_factory=asyncio.Queue)

    def post(self, message: Message) -> None:
        """Add a message without waiting."""
        self.queue.put_nowait(message)

    async def ask(
        self, make_message: Callable[[asyncio.Future[Reply]], Message]
    ) -> Reply:
        """Post a message with a future for the reply, and wait for the reply."""
        reply: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        self.post(make_message(reply))
        return await reply

    async def messages(self) -> AsyncIterator[Message]:
        """Yield messages as they arrive; never ends."""
        while True:
            yield await self.queue.get()

    def drain(self) -> list[Message]:
        """Remove and return all queued messages without waiting."""
        drained: list[Message] = []
        while not self.queue.empty():
            drained.append(self.queue.get_nowait())
        return drained


def answer(reply: asyncio.Future[Reply], value: Reply) -> None:
    """Set the result of a reply unless it is done or its waiter was cancelled."""
    if not reply.done():
        reply.set_result(value)


async def post_every(
    mailbox: Mailbox[Message], message: Message, interval_s: float
) -> None:
    """Post a message at a fixed interval, as a timer; never returns."""
    while True:
        await asyncio.sleep(interval_s)
        mailbox.post(message)
