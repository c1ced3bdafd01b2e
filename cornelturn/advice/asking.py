"""The task that asks the service for approvals; it has one call in flight."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from cornelturn.advice.messages import (
    ApprovalRequest,
    ApprovalService,
    ApprovalSettled,
    ConnectApprovals,
    Failed,
)
from cornelturn.clock import Clock
from cornelturn.events.mailbox import Mailbox


@dataclass(slots=True)
class ApprovalAsker:
    """Owns the connection to the service and sends the requests of one pool's owner.

    Parameters
    ----------
    connect : callable
        Opens the connection.
    post : callable
        Sends the outcome of each request to the owner.
    """

    connect: ConnectApprovals
    clock: Clock
    post: Callable[[ApprovalSettled], None]
    mailbox: Mailbox[ApprovalRequest] = field(default_factory=Mailbox)

    async def run(self) -> None:
        """Ask until cancelled."""
        service = self.connect()
        try:
            async for request in self.mailbox.messages():
                await self._ask(service, request)
        finally:
            await service.close()

    async def _ask(self, service: ApprovalService, request: ApprovalRequest) -> None:
        sent_ms = self.clock.now_ms()
        names = tuple(life.name for life in request.lives)
        try:
            result = await service.ask(request.step, names, request.timeout_ms)
        except Exception as error:
            # Only the steps that need an approval may suffer from a faulty answer.
            result = Failed(repr(error))
        self.post(ApprovalSettled(request, result, sent_ms))
