"""Waiting tickets of one queue, served fairly between members."""

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
        Latest time at which the ticket may start and still end on time.
    arrival_number : int
        Position in the order of arrival; breaks ties.
    ticket : Ticket
        The ticket.
    front : str
        Entry whose front waits for the answer.
    deadline_ms : int
        Deadline.
    width : int
        Slots needed.
    is_loan_pending : bool
        Whether another pool has been asked for a slot and has not answered.
    is_removed : bool
        Whether the ticket has left the queue but not yet the heaps.
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
    """Waiting tickets of one member, ordered by their latest start."""

    served_cost: float = 0.0
    count: int = 0
    is_active: bool = False
    heap: list[WaitingTicket] = field(default_factory=list)


@dataclass(slots=True)
class MemberQueue:
    """Start-time fair queue over members, with equal weights, work-conserving.

    A member that returns after idling starts at the served cost of the others, so
    that idling earns no credit. A removed ticket is only marked; the heaps drop it
    when it reaches their top, so each operation costs O(log n) of the backlog.
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
        """Return the next ticket to serve without removing it, None if empty."""
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
        """Remove the ticket at the head and charge `cost` to its member."""
        backlog = self.members[waiting.ticket.member]
        self.virtual_time = max(self.virtual_time, backlog.served_cost)
        backlog.served_cost += cost
        self._discard(waiting, backlog)

    def adjust_cost(self, member: str, cost: float) -> None:
        """Add the difference between the actual and the charged cost to a member."""
        backlog = self.members.get(member)
        if backlog is not None:
            backlog.served_cost = max(backlog.served_cost + cost, 0.0)

    def remove(self, attempt: AttemptId) -> WaitingTicket | None:
        """Remove a ticket without serving it; return None if it is not in the queue."""
        waiting = self.tickets.get(attempt)
        if waiting is not None:
            self._discard(waiting, self.members[waiting.ticket.member])
        return waiting

    def ticket_count(self, member: str) -> int:
        """Return the number of waiting tickets of a member."""
        backlog = self.members.get(member)
        return backlog.count if backlog else 0

    def active_member_count(self) -> int:
        """Return an upper bound of the number of members with waiting tickets."""
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
