"""Client of the platform's object store."""

from __future__ import annotations

from dataclasses import dataclass, field

from result import Err, Ok, Result

from cornelturn.store.channel import Channel
from cornelturn.store.http_client import HttpResponse, quoted

CALL_TIMEOUT_MS = 2_000


@dataclass(frozen=True, slots=True)
class ObjectsUnavailable:
    """The object store did not respond, or not as expected."""

    detail: str


@dataclass(slots=True)
class Objects:
    """Objects by key; they are written once and never changed."""

    base_url: str
    channel: Channel = field(init=False)

    def __post_init__(self) -> None:
        self.channel = Channel(self.base_url, CALL_TIMEOUT_MS)

    async def put(self, key: str, body: bytes) -> Result[None, ObjectsUnavailable]:
        """Store an object."""
        path = f"/v1/objects/{quoted(key)}"
        result = await self.channel.call(
            "PUT", path, CALL_TIMEOUT_MS, body, may_retry=True
        )
        match result:
            case Ok(HttpResponse(status=200)):
                return Ok(None)
            case Ok(response):
                return Err(ObjectsUnavailable(f"status {response.status}"))
            case Err(error):
                return Err(ObjectsUnavailable(error.detail))

    async def get(self, key: str) -> Result[bytes, ObjectsUnavailable]:
        """Return an object."""
        path = f"/v1/objects/{quoted(key)}"
        result = await self.channel.call("GET", path, CALL_TIMEOUT_MS, may_retry=True)
        match result:
            case Ok(HttpResponse(status=200, body=body)):
                return Ok(body)
            case Ok(response):
                return Err(ObjectsUnavailable(f"status {response.status}"))
            case Err(error):
                return Err(ObjectsUnavailable(error.detail))

    async def close(self) -> None:
        """Close the connections."""
        await self.channel.close()
