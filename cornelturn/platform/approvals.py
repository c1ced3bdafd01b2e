"""HTTP client of the platform's service that approves workers for steps."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec
from result import Err, Ok

from cornelturn.advice.messages import ApprovalResult, Approved, Busy, Failed
from cornelturn.jobs.model import StepId
from cornelturn.model.decoding import Count, try_decode
from cornelturn.store.channel import Channel
from cornelturn.store.http_client import HttpResponse

CONNECT_TIMEOUT_MS = 1_500


class WireAdviceRequest(msgspec.Struct, frozen=True):
    """Request body; ``phase`` is ``ID.K.STEP``."""

    phase: str
    workers: tuple[str, ...]


class WireAdvice(msgspec.Struct, frozen=True):
    """Response body; a row of ``approved`` is [worker, ticket]."""

    approved: tuple[tuple[str | Count, ...], ...]


ADVICE_DECODER = msgspec.json.Decoder(WireAdvice)


@dataclass(slots=True)
class PlatformApprovals:
    """Connection to the service that approves workers."""

    address: str
    channel: Channel = field(init=False)

    def __post_init__(self) -> None:
        self.channel = Channel(f"http://{self.address}", CONNECT_TIMEOUT_MS)

    async def ask(
        self, step: StepId, names: tuple[str, ...], timeout_ms: int
    ) -> ApprovalResult:
        """Ask once, without a retry, which workers may run a step."""
        body = msgspec.json.encode(WireAdviceRequest(str(step), names))
        match await self.channel.call("POST", "/advise", timeout_ms, body):
            case Ok(HttpResponse(status=200, body=data)):
                return _decode_approval(data)
            case Ok(HttpResponse(status=429)):
                return Busy()
            case Ok(other):
                return Failed(f"status {other.status}")
            case Err(error):
                return Failed(error.detail)

    async def close(self) -> None:
        """Close the connection."""
        await self.channel.close()


def _decode_approval(data: bytes) -> ApprovalResult:
    match try_decode(_parse_tickets, data):
        case Ok(tickets):
            return Approved(tickets)
        case Err(error):
            return Failed(f"answer could not be decoded: {error.detail}")


def _parse_tickets(data: bytes) -> dict[str, str]:
    tickets: dict[str, str] = {}
    for row in ADVICE_DECODER.decode(data).approved:
        worker, ticket = str(row[0]), str(row[1])
        if not ticket:
            raise ValueError(f"expected a ticket for {worker!r}")
        tickets[worker] = ticket
    return tickets
