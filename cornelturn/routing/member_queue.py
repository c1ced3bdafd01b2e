"""Waiting tickets of one queue, shared fairly between members."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field

from cornelturn.model.ticket import AttemptId, Ticket


@dataclass(slots=True, order=True)
class WaitingTicket:
    """A ticket that waits for a slot.

    Parameters
    ----------
    latest_start_ms : int
        Last moment at which the ticket may start and still end in time.
    order : int
        Order of arrival; breaks ties.
    ticket : Ticket
        The ticket.
    front : str
        Entry whose front waits for the answer.
    deadline_ms : int
        Deadline.
    width : int
        Slots needed.
    """

    latest_start_ms: int
    arrival_number: int
    ticket: Ticket = field(compare=False)
    front: str = field(compare=False)
    deadline_ms: int = field(compare=False)
    width: int = field(compare=False)
    is_loan_pending: bool = field(compare=False, default=False)
    is_removed: bool = field(compare=False, default=False)


@dataclass(slots=True)
class MemberBacklog:
    """Tickets of one member, earliest deadline first."""

    served_cost: float = 0.0
    count: int = 0
    is_active: bool = False
    heap: list[WaitingTicket] = field(default_factory=list)


@dataclass(slots=True)
class MemberQueue:
    """Start-time fair queue over members, equal weights, work-conserving.

    A member who returns after idling starts at the served amount of the others,
    so that idling earns no credit. Removal marks a ticket as gone; the heaps
    drop it when it comes up, so every step costs the logarithm of the backlog.
    """

    members: dict[str, MemberBacklog] = field(default_factory=dict)
    active_heap: list[tuple[float, str]] = field(default_factory=list)
    tickets: dict[AttemptId, WaitingTicket] = field(default_factory=dict)
    virtual_time: float = 0.0

    def __len__(self) -> int:
        return len(self.tickets)

    def push(self, waiting: WaitingTicket) -> None:
        """Add a ticket."""
        name = waiting.ticket.member
        backlog = self.members.setdefault(name, MemberBacklog())
        if backlog.count == 0:
            backlog.served_cost = max(backlog.served_cost, self.virtual_time)
            self._activate_member(backlog, name)
        backlog.count += 1
        heapq.heappush(backlog.heap, waiting)
        self.tickets[waiting.ticket.attempt] = waiting

    def head(self) -> WaitingTicket | None:
        """Return the ticket that is next, without taking it."""
        while self.active_heap:
            served_cost, name = self.active_heap[0]
            backlog = self.members[name]
            if backlog.count == 0 or served_cost != backlog.served_cost:
                self._refresh_stale_member(backlog, name)
                continue
            while backlog.heap[0].is_removed:
                heapq.heappop(backlog.heap)
            return backlog.heap[0]
        return None

    def serve(self, waiting: WaitingTicket, cost: float) -> None:
        """Take the ticket at the head and charge `cost` to its member."""
        backlog = self.members[waiting.ticket.member]
        self.virtual_time = max(self.virtual_time, backlog.served_cost)
        backlog.served_cost += cost
        self._discard(waiting, backlog)

    def adjust_cost(self, member: str, cost: float) -> None:
        """Add the difference between the true and the charged cost."""
        backlog = self.members.get(member)
        if backlog is not None:
            backlog.served_cost = max(backlog.served_cost + cost, 0.0)

    def remove(self, attempt: AttemptId) -> WaitingTicket | None:
        """Remove a ticket without serving it; return None if it is not here."""
        waiting = self.tickets.get(attempt)
        if waiting is not None:
            self._discard(waiting, self.members[waiting.ticket.member])
        return waiting

    def ticket_count(self, member: str) -> int:
        """Return the number of tickets of a member."""
        backlog = self.members.get(member)
        return backlog.count if backlog else 0

    def active_member_count(self) -> int:
        """Return an upper bound of the number of members with tickets."""
        return len(self.active_heap)

    def _discard(self, waiting: WaitingTicket, backlog: MemberBacklog) -> None:
        waiting.is_removed = True
        backlog.count -= 1
        del self.tickets[waiting.ticket.attempt]
        if backlog.count == 0:
            backlog.heap.clear()

    def _refresh_stale_member(self, backlog: MemberBacklog, name: str) -> None:
        heapq.heappop(self.active_heap)
        backlog.is_active = False
        if backlog.count > 0:
            self._activate_member(backlog, name)

    def _activate_member(self, backlog: MemberBacklog, name: str) -> None:
        if not backlog.is_active:
            backlog.is_active = True
            heapq.heappush(self.active_heap, (backlog.served_cost, name))
