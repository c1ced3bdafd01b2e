"""Calls to one address, repeated once where that is safe and needed."""

from __future__ import annotations

from dataclasses import dataclass, field

from result import Err

from cornelturn.store.http_client import CallError, ClientSession, call, open_session
from cornelturn.store.http_connection import DEFAULT_TIMING, CallResult, Timing


@dataclass(slots=True)
class Channel:
    """Calls to one address over kept connections.

    A server may close a kept connection at the moment of a call. A call that may
    be repeated is repeated once on a new connection when its own was reset.

    Parameters
    ----------
    base_url : str
        Address.
    connect_ms : int
        Limit of a connection attempt.
    """

    base_url: str
    connect_ms: int
    session: ClientSession = field(init=False)

    def __post_init__(self) -> None:
        self.session = open_session(self.base_url, self.connect_ms)

    async def call(
        self,
        method: str,
        path: str,
        timeout_ms: int,
        body: bytes | None = None,
        headers: list[tuple[bytes, bytes]] | None = None,
        content_type: str = "application/json",
        may_retry: bool = False,
        timing: Timing = DEFAULT_TIMING,
    ) -> CallResult:
        """Send a request and return the whole answer.

        Parameters
        ----------
        may_repeat : bool
            Whether the request is idempotent.
        """
        arguments = (method, path, timeout_ms, body, headers, content_type, timing)
        result = await call(self.session, *arguments)
        match result:
            case Err(CallError(is_reset=True)) if may_retry:
                self.session.close_idle()
                return await call(self.session, *arguments)
            case _:
                return result

    def close_idle(self) -> None:
        """Have the next calls use new connections."""
        self.session.close_idle()

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()
