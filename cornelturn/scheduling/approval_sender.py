"""Sends requests for approval from the owner of a pool to the task that asks."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from cornelturn.advice.asking import ApprovalAsker
from cornelturn.advice.messages import ApprovalSettled, Busy, ConnectApprovals
from cornelturn.clock import Clock
from cornelturn.scheduling.approvals import PoolApprovals

FIRST_BUSY_PAUSE_MS = 250
MAX_BUSY_PAUSE_MS = 2_000
"""Pauses of all requests of a pool after the service was busy; they double."""


@dataclass(slots=True)
class ApprovalSender:
    """Starts the asking task with the first request, and has one request in flight.

    Parameters
    ----------
    connect : callable or None
        Opens the connection to the service, None if none is configured.
    post : callable
        Sends the outcome of a request to the owner.
    start : callable
        Starts a task that ends with the owner.
    is_asking : bool
        Whether a request has no outcome yet.
    next_ms : int
        Before this time no request is sent, as the service was busy.
    busy_count : int
        Requests in a row for which the service was busy.
    """

    approvals: PoolApprovals
    connect: ConnectApprovals | None
    clock: Clock
    post: Callable[[ApprovalSettled], None]
    start: Callable[[Coroutine[Any, Any, None]], asyncio.Task[None] | None]
    asker: ApprovalAsker | None = None
    is_asking: bool = False
    busy_count: int = 0
    next_ms: int = 0

    def ask_due(self, now_ms: int) -> None:
        """Send the most urgent request unless another one is in flight."""
        if self.connect is None or self.is_asking or now_ms < self.next_ms:
            return
        request = self.approvals.next_request(now_ms)
        if request is None:
            return
        if self.asker is None:
            self.asker = ApprovalAsker(self.connect, self.clock, self.post)
            self.start(self.asker.run())
        self.is_asking = True
        self.asker.mailbox.post(request)

    def settle(self, settled: ApprovalSettled, now_ms: int) -> None:
        """Take up the outcome of the request in flight."""
        self.is_asking = False
        match settled.result:
            case Busy():
                pause_ms = FIRST_BUSY_PAUSE_MS << min(self.busy_count, 10)
                self.next_ms = now_ms + min(pause_ms, MAX_BUSY_PAUSE_MS)
                self.busy_count += 1
            case _:
                self.busy_count = 0
        self.approvals.settle(settled, now_ms)
