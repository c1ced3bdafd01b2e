"""The sessions of a pool's owner, one for each life of a target."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from cornelturn.clock import Clock
from cornelturn.events.background import watch_task
from cornelturn.events.log import log_warning
from cornelturn.scheduling.state import TargetOrder
from cornelturn.targets.address import TargetAddress
from cornelturn.targets.model import ListedTarget, TargetLife
from cornelturn.targets.session import (
    LEASE_MS,
    SessionEvent,
    TargetConnection,
    TargetSession,
)
from cornelturn.targets.unreachable import UnreachableConnection


@dataclass(slots=True)
class TargetSessions:
    """Opens a session for each target, and ends it with the target's life.

    Parameters
    ----------
    token : int
        Fencing token of the ownership.
    connect : callable
        Opens the connection to a target.
    may_renew : callable
        Returns whether the leases of targets may be renewed.
    report_wait_ms : callable
        Returns the longest time that the next report of a target may wait for an end.
    post : callable
        Receives the events of all sessions as messages to the owner.
    failed : callable
        Receives the error of a session that ends unexpectedly.
    unusable : dict
        Addresses to which no connection could be made, by the lives that have them.
    """

    token: int
    clock: Clock
    connect: Callable[[ListedTarget], TargetConnection]
    may_renew: Callable[[], bool]
    report_wait_ms: Callable[[TargetLife], int]
    post: Callable[[SessionEvent], None]
    failed: Callable[[BaseException], None]
    by_life: dict[TargetLife, TargetSession] = field(default_factory=dict)
    unusable: dict[TargetLife, TargetAddress | None] = field(default_factory=dict)
    tasks: dict[TargetLife, asyncio.Task[None]] = field(default_factory=dict)

    def open(self, target: ListedTarget) -> None:
        """Open the session of a target, unless it has one.

        A target whose address was unusable gets a new session with a new address.
        """
        if target.life in self.by_life:
            address = target.address
            if self.unusable.get(target.life, address) == address:
                return
            self.close(target.life)
        session = TargetSession(
            life=target.life,
            connection=self._connect(target),
            clock=self.clock,
            token=self.token,
            lease_ms=LEASE_MS,
            post=self.post,
            may_renew=self.may_renew,
            report_wait_ms=partial(self.report_wait_ms, target.life),
        )
        self.by_life[target.life] = session
        task = asyncio.create_task(session.run())
        watch_task(task, self.failed)
        self.tasks[target.life] = task

    def _connect(self, target: ListedTarget) -> TargetConnection:
        """Return the connection to a target; one that cannot be made costs it alone."""
        if target.address is None:
            self.unusable[target.life] = None
            return UnreachableConnection("no address")
        try:
            return self.connect(target)
        except Exception as error:
            self.unusable[target.life] = target.address
            log_warning(
                "target_unusable",
                target=target.life.name,
                address=target.address_text(),
                error=repr(error),
            )
            return UnreachableConnection(repr(error))

    def close(self, life: TargetLife) -> None:
        """Close the session of a life that has ended."""
        self.unusable.pop(life, None)
        if self.by_life.pop(life, None) is not None:
            self.tasks.pop(life).cancel()

    def close_all(self) -> None:
        """Close all sessions."""
        for task in self.tasks.values():
            task.cancel()

    def send_order(self, target_order: TargetOrder) -> None:
        """Send an order to a target if its session is open."""
        session = self.by_life.get(target_order.life)
        if session is not None:
            session.send_order(target_order.order)

    def may_have_reached_other_life(self, life: TargetLife) -> bool:
        """Return whether a start for a target may have reached another life of it."""
        session = self.by_life.get(life)
        return session is None or session.connection.may_have_reached_other_life()

    def acknowledge(self, life: TargetLife, sequence: int) -> None:
        """Acknowledge the ends of a target up to a sequence number."""
        session = self.by_life.get(life)
        if session is not None:
            session.acknowledge(sequence)
