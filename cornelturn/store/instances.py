"""Client of the platform's API that lists and reboots instances."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec
from result import Err, Ok, Result

from cornelturn.model.decoding import try_decode
from cornelturn.store.channel import Channel
from cornelturn.store.http_client import HttpResponse, quoted
from cornelturn.store.wire import WireInstance

CALL_TIMEOUT_MS = 2_000


@dataclass(frozen=True, slots=True)
class PlatformUnavailable:
    """The platform did not respond, or not as expected."""

    detail: str


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """An instance in the platform's list, which lags behind the actual state.

    Parameters
    ----------
    name, data_centre, rack, address : str
        Name, failure domains and network address.
    slots : int
        Requests that it can run at the same time.
    cores : float
        Processor cores.
    memory_mb : int
        Memory in megabytes.
    is_leaving : bool
        Whether the platform is about to remove it.
    is_up : bool
        Whether it is running.
    boot : int
        Number of its last boot.
    running : int
        Tasks that run on it; also lags.
    """

    name: str
    data_centre: str
    rack: str
    address: str
    slots: int
    cores: float
    memory_mb: int
    is_leaving: bool
    is_up: bool
    boot: int
    running: int


INSTANCES_DECODER = msgspec.json.Decoder(tuple[WireInstance, ...])


@dataclass(slots=True)
class Instances:
    """The platform's list of live and leaving instances."""

    base_url: str
    channel: Channel = field(init=False)

    def __post_init__(self) -> None:
        self.channel = Channel(self.base_url, CALL_TIMEOUT_MS)

    async def list_all(self) -> Result[list[ListedInstance], PlatformUnavailable]:
        """Return all instances."""
        result = await self.channel.call(
            "GET", "/v1/instances", CALL_TIMEOUT_MS, may_retry=True
        )
        match result:
            case Ok(HttpResponse(status=200, body=body)):
                return (
                    try_decode(INSTANCES_DECODER.decode, body)
                    .map(lambda wires: [_listed_instance(wire) for wire in wires])
                    .map_err(lambda error: PlatformUnavailable(error.detail))
                )
            case Ok(response):
                return Err(PlatformUnavailable(f"status {response.status}"))
            case Err(error):
                return Err(PlatformUnavailable(error.detail))

    async def reboot(self, name: str, boot: int) -> Result[None, PlatformUnavailable]:
        """Reboot an instance unless it has booted again since boot number `boot`."""
        path = f"/v1/instances/{quoted(name)}/reboot?boot={boot}"
        result = await self.channel.call(
            "POST", path, CALL_TIMEOUT_MS, b"{}", may_retry=True
        )
        match result:
            case Ok(HttpResponse(status=200)):
                return Ok(None)
            case Ok(response):
                return Err(PlatformUnavailable(f"status {response.status}"))
            case Err(error):
                return Err(PlatformUnavailable(error.detail))

    async def close(self) -> None:
        """Close the connections."""
        await self.channel.close()


def _listed_instance(wire: WireInstance) -> ListedInstance:
    return ListedInstance(
        **{name: getattr(wire, name) for name in wire.__struct_fields__}
    )
