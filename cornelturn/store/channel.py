"""HTTP calls to one address; an idempotent call is retried once after a reset."""

from __future__ import annotations

from dataclasses import dataclass, field

from result import Err

from cornelturn.store.http_client import CallError, ClientSession, call, open_session
from cornelturn.store.http_connection import DEFAULT_TIMING, CallResult, Timing


@dataclass(slots=True)
class Channel:
    """HTTP calls to one address over keep-alive connections.

    A server may close an idle connection just as a call is sent on it. A call that
    may be retried is sent once more, on a new connection, if its own was reset.

    Parameters
    ----------
    base_url : str
        Address of the server.
    connect_ms : int
        Time limit of a connection attempt.
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
        """Send a request and return the complete response.

        Parameters
        ----------
        may_retry : bool
            Whether the request is idempotent, so that it may be sent twice.
        """
        arguments = (method, path, timeout_ms, body, headers, content_type, timing)
        result = await call(self.session, *arguments)
        match result:
            case Err(CallError(is_reset=True)) if may_retry:
                self.session.close_idle()
                return await call(self.session, *arguments)
            case _:
                return result

    def has_open_connection(self) -> bool:
        """Return whether the next call uses a connection that has carried a call."""
        return self.session.has_open_connection()

    def close_idle(self) -> None:
        """Close the idle connections, so that the next calls open new ones."""
        self.session.close_idle()

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()
