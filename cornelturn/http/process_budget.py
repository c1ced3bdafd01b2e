"""Budget of a process for its connections, and the choice of those to close.

The budget is derived from the memory and the descriptors of the machine.
"""

from __future__ import annotations

import heapq
import resource
from dataclasses import dataclass, field

from cornelturn.http.connection_limits import ConnectionLimits

BYTES_PER_MB = 1024 * 1024

NORMAL_WORK_MB = 120
"""Memory of an entry for its ordinary work, which connections must leave free."""

MIN_SPARE_SHARE = 0.125
"""Part of the memory that connections may use on machines without a reserve."""

OBJECT_FACTOR = 2
"""Memory per counted byte: a body exists as bytes and as the parts it is read into."""

CONNECTION_BYTES = 16 * 1024
"""Memory of a connection without buffers: socket, transport, protocol and parser."""

FILE_DESCRIPTORS = 200
"""Descriptors for files and listeners."""

CALLERS_SHARE = 0.5
"""Part of the other descriptors for clients; the rest is for the store, the targets
and the peers of the entry, and for connections that are accepted but not yet seen."""

RELIEF_SHARE = 0.95
"""Connections are closed down to this part of a limit, so that a crowd of new ones
does not cost a search each."""


@dataclass(frozen=True, slots=True)
class ProcessLimits:
    """Largest number of connections, and of bytes that they hold together."""

    max_connections: int
    max_bytes: int


def derive_limits(memory_mb: int, max_fds: int) -> ProcessLimits:
    """Derive the limits of a process from the memory and descriptors of its machine.

    The descriptors that the operating system allows count if they are fewer.
    """
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit != resource.RLIM_INFINITY:
        max_fds = min(max_fds, soft_limit)
    spare_mb = max(memory_mb - NORMAL_WORK_MB, memory_mb * MIN_SPARE_SHARE)
    # One half is for the bytes with their copies, the other for the connections.
    half_bytes = round(spare_mb * BYTES_PER_MB / 2)
    by_descriptors = round((max_fds - FILE_DESCRIPTORS) * CALLERS_SHARE)
    by_memory = half_bytes // CONNECTION_BYTES
    return ProcessLimits(
        max_connections=max(min(by_descriptors, by_memory), 1),
        max_bytes=half_bytes // OBJECT_FACTOR,
    )


@dataclass(slots=True)
class ProcessBudget:
    """Connections of all listeners of a process, and the bytes that they hold.

    Parameters
    ----------
    open : dict
        Open connections in the order in which they were opened.
    lost : set
        Closed connections whose last request still runs.
    held_bytes : int
        Bytes of the open and the lost connections.
    """

    limits: ProcessLimits
    open: dict[ConnectionLimits, None] = field(default_factory=dict)
    lost: set[ConnectionLimits] = field(default_factory=set)
    held_bytes: int = 0

    def add(self, connection: ConnectionLimits) -> None:
        """Add an open connection."""
        self.open[connection] = None

    def close(self, connection: ConnectionLimits) -> None:
        """Note that a connection is closed; bytes of a running request still count."""
        if self.open.pop(connection, self) is self:
            return
        self.record_unread(connection, 0, connection.unread_since_ms)
        if connection.running:
            self.lost.add(connection)
        else:
            self.set_received(connection, 0)

    def end_request(self, connection: ConnectionLimits) -> None:
        """Note that the request of a closed connection has ended."""
        if connection in self.lost and not connection.running:
            self.lost.discard(connection)
            self.set_received(connection, 0)

    def set_received(self, connection: ConnectionLimits, received_bytes: int) -> None:
        """Set the bytes that were received and belong to no answered request."""
        self.held_bytes += received_bytes - connection.received_bytes
        connection.received_bytes = received_bytes

    def record_unread(
        self, connection: ConnectionLimits, unread_bytes: int, now_ms: int
    ) -> None:
        """Record the bytes of answers that a client has not read."""
        self.held_bytes += unread_bytes - connection.unread_bytes
        connection.record_unread(unread_bytes, now_ms)

    def is_overloaded(self) -> bool:
        """Return whether requests of closed connections leave no room for another."""
        return (
            self.held_bytes > self.limits.max_bytes
            or len(self.lost) > self.limits.max_connections
        )

    def largest_holders(self) -> list[ConnectionLimits]:
        """Return the connections to close so that the bytes fit the budget.

        Those that hold most bytes and have the fewest answered requests come first.
        """
        excess = self.held_bytes - self.limits.max_bytes * RELIEF_SHARE
        holders = [item for item in self.open if releasable_bytes(item)]
        holders.sort(key=_bytes_per_answer, reverse=True)
        chosen = []
        for holder in holders:
            if excess <= 0:
                break
            excess -= releasable_bytes(holder)
            chosen.append(holder)
        return chosen

    def least_used(self) -> list[ConnectionLimits]:
        """Return the connections to close so that their number fits the budget.

        Those without a running request and with the fewest answered ones come first,
        the oldest among equals.
        """
        excess = len(self.open) - round(self.limits.max_connections * RELIEF_SHARE)
        return heapq.nsmallest(max(excess, 1), self.open, key=_use)


def releasable_bytes(connection: ConnectionLimits) -> int:
    """Return the bytes that are free once a connection is closed."""
    received = 0 if connection.running else connection.received_bytes
    return received + connection.unread_bytes


def _bytes_per_answer(connection: ConnectionLimits) -> float:
    return releasable_bytes(connection) / (1 + connection.answered)


def _use(connection: ConnectionLimits) -> tuple[bool, int, int]:
    return (connection.running > 0, connection.answered, connection.since_ms)
