"""Kept connections to one address, replaced when they may have gone stale."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field

from blacksheep.client import ClientSession
from result import Err, Result

from cornelturn.events.background import start_background
from cornelturn.store.http_client import Answer, CallError, call, open_session

IDLE_LIMIT_S = 2.0


@dataclass(slots=True)
class Connections:
    """A session with the number of calls that use it."""

    session: ClientSession
    in_flight: int = 0
    is_retired: bool = False


@dataclass(slots=True)
class Channel:
    """Calls to one address.

    The HTTP library hands out kept connections that the server has closed in the
    meantime. Connections that idled are replaced before a call, and a call that
    may be repeated is repeated once on new connections when its own was reset.

    Parameters
    ----------
    base_url : str
        Address.
    connect_ms : int
        Limit of a connection attempt.
    """

    base_url: str
    connect_ms: int
    current: Connections | None = None
    used_s: float = 0.0
    closing: set[asyncio.Task[None]] = field(default_factory=set)

    async def call(
        self,
        method: str,
        path: str,
        timeout_ms: int,
        body: bytes | None = None,
        headers: list[tuple[bytes, bytes]] | None = None,
        content_type: str = "application/json",
        may_repeat: bool = False,
    ) -> Result[Answer, CallError]:
        """Send a request and return the whole answer.

        Parameters
        ----------
        may_repeat : bool
            Whether the request is idempotent.
        """
        if time.monotonic() - self.used_s > IDLE_LIMIT_S:
            self._retire()
        parts = (method, path, timeout_ms, body, headers, content_type)
        result = await self._call(*parts)
        match result:
            case Err(CallError(is_reset=True)) if may_repeat:
                self._retire()
                return await self._call(*parts)
            case _:
                return result

    async def close(self) -> None:
        """Close all connections."""
        self._retire()
        if self.closing:
            await asyncio.wait(set(self.closing))

    async def _call(self, *parts: object) -> Result[Answer, CallError]:
        connections = self._connections()
        connections.in_flight += 1
        self.used_s = time.monotonic()
        try:
            return await call(connections.session, *parts)
        finally:
            self.used_s = time.monotonic()
            connections.in_flight -= 1
            self._close_unused(connections)

    def _connections(self) -> Connections:
        if self.current is None:
            session = open_session(self.base_url, self.connect_ms)
            self.current = Connections(session)
        return self.current

    def _retire(self) -> None:
        if self.current is not None:
            self.current.is_retired = True
            self._close_unused(self.current)
            self.current = None

    def _close_unused(self, connections: Connections) -> None:
        if connections.is_retired and connections.in_flight == 0:
            start_background(self.closing, connections.session.close())
