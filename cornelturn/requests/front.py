"""The front: the task that exchanges tickets and grants with the dispatchers.

Its inventories let a new dispatcher restore the state of a pool.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from cornelturn.clock import Clock
from cornelturn.events.log import log_debug, log_event
from cornelturn.events.mailbox import Mailbox, answer
from cornelturn.model.ticket import (
    AttemptId,
    Grant,
    HeldGrant,
    Refusal,
    Report,
    ReportKind,
    Ticket,
)
from cornelturn.peering.dispatch_messages import (
    Cancel,
    Granted,
    Inventory,
    InventoryWanted,
    Offer,
    Refused,
    Reported,
)
from cornelturn.peering.messages import InnerMessage
from cornelturn.requests.limits import HoldOffKey, HoldOffs
from cornelturn.routing.rendezvous import rendezvous_owner

INVENTORY_INTERVAL_S = 0.5

TicketReply = asyncio.Future[Grant | Refusal]


@dataclass(frozen=True, slots=True)
class GrantRequested:
    """A request needs a grant for a slot of a pool."""

    pool: str
    ticket: Ticket
    reply: TicketReply


@dataclass(frozen=True, slots=True)
class TicketCancelled:
    """A request has stopped waiting for its grant."""

    attempt: AttemptId


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has ended, or its grant was not used."""

    report: Report


@dataclass(frozen=True, slots=True)
class InnerMessageReceived:
    """An inner message for this front was received."""

    sender: str
    message: Granted | Refused | InventoryWanted


@dataclass(frozen=True, slots=True)
class DispatchingEntriesChanged:
    """The set of entries that take part in dispatching has changed."""

    entries: frozenset[str]


@dataclass(frozen=True, slots=True)
class InventoryDue:
    """Timer: send inventories to the dispatchers."""


FrontMessage = (
    GrantRequested
    | TicketCancelled
    | AttemptEnded
    | InnerMessageReceived
    | DispatchingEntriesChanged
    | InventoryDue
)


@dataclass(slots=True)
class WaitingAttempt:
    """A ticket that waits for a grant."""

    pool: str
    ticket: Ticket
    reply: TicketReply
    deadline_ms: int


@dataclass(slots=True)
class RunningAttempt:
    """An attempt that holds a slot."""

    ticket: Ticket
    grant: Grant
    granted_ms: int


@dataclass(slots=True)
class Front:
    """Waiting tickets and running attempts of one entry.

    Parameters
    ----------
    entry : str
        Name of the entry.
    send : callable
        Sends an inner message to an entry, given its name.
    hold_offs : HoldOffs
        Queues and members whose requests are refused without a dispatcher.
    owners : dict of str to str
        Entry that dispatches each pool, empty if there is none.
    entries : frozenset of str
        Entries that take part in dispatching.
    reported_pools : set of str
        Pools of the last inventories; each gets another one after its last attempt.
    """

    entry: str
    clock: Clock
    send: Callable[[str, InnerMessage], None]
    mailbox: Mailbox[FrontMessage] = field(default_factory=Mailbox)
    hold_offs: HoldOffs = field(default_factory=HoldOffs)
    waiting: dict[AttemptId, WaitingAttempt] = field(default_factory=dict)
    running: dict[AttemptId, RunningAttempt] = field(default_factory=dict)
    owners: dict[str, str] = field(default_factory=dict)
    entries: frozenset[str] = frozenset()
    reported_pools: set[str] = field(default_factory=set)

    async def acquire_grant(self, pool: str, ticket: Ticket) -> Grant | Refusal:
        """Return a grant or a refusal; cancel the ticket if the wait is cancelled."""
        try:
            return await self.mailbox.ask(
                lambda reply: GrantRequested(pool, ticket, reply)
            )
        except asyncio.CancelledError:
            self.mailbox.post(TicketCancelled(ticket.attempt))
            raise

    def report_end(self, report: Report) -> None:
        """Report the end of an attempt, which frees its slot."""
        self.mailbox.post(AttemptEnded(report))

    async def run(self) -> None:
        """Handle messages until cancelled."""
        async for message in self.mailbox.messages():
            self._handle(message)

    def _handle(self, message: FrontMessage) -> None:
        match message:
            case GrantRequested(pool, ticket, reply):
                self._offer_ticket(pool, ticket, reply)
            case TicketCancelled(attempt):
                self._cancel_ticket(attempt)
            case AttemptEnded(report):
                self._end_attempt(report)
            case InnerMessageReceived(sender, inner):
                self._handle_inner(sender, inner)
            case DispatchingEntriesChanged(entries):
                self._update_owners(entries)
            case InventoryDue():
                self._send_inventories()

    # Requests

    def _offer_ticket(self, pool: str, ticket: Ticket, reply: TicketReply) -> None:
        deadline_ms = self.clock.now_ms() + ticket.deadline_left_ms
        self.waiting[ticket.attempt] = WaitingAttempt(pool, ticket, reply, deadline_ms)
        self._send_to_owner(pool, Offer(pool, ticket))

    def _cancel_ticket(self, attempt: AttemptId) -> None:
        waiting = self.waiting.pop(attempt, None)
        if waiting is not None:
            self._send_to_owner(waiting.pool, Cancel(waiting.pool, attempt))
            return
        running = self.running.get(attempt)
        if running is not None:
            self._end_attempt(_unused_report(running.grant))

    def _end_attempt(self, report: Report) -> None:
        self.running.pop(report.attempt, None)
        self._send_to_owner(report.pool, Reported(report))

    # Dispatchers

    def _handle_inner(
        self, sender: str, message: Granted | Refused | InventoryWanted
    ) -> None:
        match message:
            case Granted(grant):
                self._handle_grant(grant)
            case Refused(refusal):
                self._handle_refusal(refusal)
            case InventoryWanted(pool, recovery):
                self.send(sender, self._inventory(pool, recovery))

    def _handle_grant(self, grant: Grant) -> None:
        waiting = self.waiting.pop(grant.attempt, None)
        running = self.running.get(grant.attempt)
        if waiting is not None and not waiting.reply.done():
            now_ms = self.clock.now_ms()
            self.running[grant.attempt] = RunningAttempt(waiting.ticket, grant, now_ms)
            answer(waiting.reply, grant)
            return
        if running is not None and running.grant.target == grant.target:
            return
        log_debug("grant_returned", attempt=str(grant.attempt), target=grant.target)
        self._send_to_owner(grant.pool, Reported(_unused_report(grant)))

    def _handle_refusal(self, refusal: Refusal) -> None:
        waiting = self.waiting.pop(refusal.attempt, None)
        if waiting is None:
            return
        ticket = waiting.ticket
        key = HoldOffKey(ticket.queue, ticket.member)
        self.hold_offs.start(key, refusal.hold_off_ms, self.clock.now_ms())
        answer(waiting.reply, refusal)

    # Owners

    def _update_owners(self, entries: frozenset[str]) -> None:
        self.entries = entries
        pools = self._active_pools() | self.reported_pools
        for pool in pools:
            owner = rendezvous_owner(pool, entries) or ""
            if owner != self.owners.get(pool):
                self.owners[pool] = owner
                log_event("dispatcher_changed", pool=pool, dispatcher=owner or None)
                self._send_to_owner(pool, self._inventory(pool))
        self.owners = {
            pool: rendezvous_owner(pool, entries) or "" for pool in self.owners
        }

    def _send_to_owner(self, pool: str, message: InnerMessage) -> None:
        owner = self.owners.get(pool)
        if owner is None:
            owner = rendezvous_owner(pool, self.entries) or ""
            self.owners[pool] = owner
        if owner:
            self.send(owner, message)

    # Inventories

    def _send_inventories(self) -> None:
        pools = self._active_pools()
        for pool in pools | self.reported_pools:
            self._send_to_owner(pool, self._inventory(pool))
        self.reported_pools = pools

    def _active_pools(self) -> set[str]:
        waiting = {attempt.pool for attempt in self.waiting.values()}
        return waiting | {attempt.grant.pool for attempt in self.running.values()}

    def _inventory(self, pool: str, recovery: int = 0) -> Inventory:
        now_ms = self.clock.now_ms()
        waiting = tuple(
            replace(
                attempt.ticket, deadline_left_ms=max(attempt.deadline_ms - now_ms, 0)
            )
            for attempt in self.waiting.values()
            if attempt.pool == pool
        )
        held = tuple(
            HeldGrant(
                attempt.ticket,
                attempt.grant.target,
                attempt.grant.width,
                now_ms - attempt.granted_ms,
            )
            for attempt in self.running.values()
            if attempt.grant.pool == pool
        )
        return Inventory(pool, waiting, held, recovery)


def _unused_report(grant: Grant) -> Report:
    return Report(grant.attempt, grant.pool, grant.target, ReportKind.NOT_STARTED)
