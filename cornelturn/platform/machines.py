"""HTTP client of the platform's machine service: list, moves and upkeep."""

from __future__ import annotations

from dataclasses import dataclass, field
from urllib.parse import quote

import msgspec
from result import Err, Ok, Result

from cornelturn.fleet.machines import MachineResult, MachinesUnavailable
from cornelturn.model.decoding import try_decode
from cornelturn.model.upkeep import Machine
from cornelturn.platform.documents import MACHINES_DECODER, machine_from_wire
from cornelturn.platform.targets import REFUSAL_DECODER
from cornelturn.store.channel import Channel
from cornelturn.store.http_client import HttpResponse

CALL_TIMEOUT_MS = 1_500
HOLDER_HEADER = b"Cornelturn-Duty-Holder"
FENCE_HEADER = b"Cornelturn-Fence-Token"


class WireUpkeep(msgspec.Struct, frozen=True):
    """Request body of an upkeep order."""

    host_id: str
    rollout_batch: int


class WireMove(msgspec.Struct, frozen=True):
    """Request body of a move order."""

    host_id: str
    pool: str


@dataclass(slots=True)
class PlatformMachines:
    """Client of the machine service; sends orders in the name of the duty's holder."""

    address: str
    holder: str
    channel: Channel = field(init=False)

    def __post_init__(self) -> None:
        self.channel = Channel(f"http://{self.address}", CALL_TIMEOUT_MS)

    async def list_all(self) -> Result[list[Machine], MachinesUnavailable]:
        """Return all machines, except those in a state unknown to this version."""
        machines: list[Machine] = []
        token: str | int | None = None
        while True:
            path = "/machines"
            if token is not None:
                path += f"?page_token={quote(str(token), safe='')}"
            match await self.channel.call("GET", path, CALL_TIMEOUT_MS, may_retry=True):
                case Ok(HttpResponse(status=200, body=body)):
                    pass
                case Ok(other):
                    return Err(MachinesUnavailable(f"status {other.status}"))
                case Err(error):
                    return Err(MachinesUnavailable(error.detail))
            match try_decode(MACHINES_DECODER.decode, body):
                case Ok(page):
                    pass
                case Err(error):
                    return Err(MachinesUnavailable(error.detail))
            machines += [
                machine for machine in map(machine_from_wire, page.machines) if machine
            ]
            token = page.next_token
            if not token:
                return Ok(machines)

    async def upkeep(self, machine: str, wave: int, fence: int) -> MachineResult:
        """Order the upkeep of a machine as part of a wave, which takes it down."""
        body = msgspec.json.encode(WireUpkeep(machine, wave))
        return await self._send_order("/machine-upkeep", body, fence)

    async def move(self, machine: str, pool: str, fence: int) -> MachineResult:
        """Order the move of a machine to another pool."""
        body = msgspec.json.encode(WireMove(machine, pool))
        return await self._send_order("/machine-move", body, fence)

    async def close(self) -> None:
        """Close the connections."""
        await self.channel.close()

    async def _send_order(self, path: str, body: bytes, fence: int) -> MachineResult:
        headers = [
            (HOLDER_HEADER, self.holder.encode()),
            (FENCE_HEADER, str(fence).encode()),
        ]
        match await self.channel.call("POST", path, CALL_TIMEOUT_MS, body, headers):
            case Ok(HttpResponse(status=200)):
                return MachineResult.DONE
            case Ok(HttpResponse(status=400)):
                return MachineResult.NO_SUCH_MACHINE
            case Ok(HttpResponse(status=409, body=data)):
                return _refusal_result(data)
            case Ok(_):
                return MachineResult.UNAVAILABLE
            case Err(_):
                return MachineResult.UNANSWERED


def _refusal_result(data: bytes) -> MachineResult:
    match try_decode(REFUSAL_DECODER.decode, data):
        case Err(_):
            return MachineResult.UNAVAILABLE
        case Ok(refusal):
            pass
    match refusal.reason:
        case "fence":
            return MachineResult.FENCED
        case "wave":
            return MachineResult.NOT_IN_WAVE
        case _:
            return MachineResult.BUSY
