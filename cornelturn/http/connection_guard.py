"""Guard of the connections of a process: its budget, its clock and its counts."""

from __future__ import annotations

import asyncio
from collections import Counter as Counts
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from prometheus_client import Counter

from cornelturn.clock import MILLISECONDS_PER_SECOND, to_seconds
from cornelturn.events.log import log_warning
from cornelturn.http.connection_limits import (
    TOO_MANY_BYTES,
    TOO_MANY_CONNECTIONS,
    Cause,
    ConnectionLimits,
    Refusal,
)
from cornelturn.http.process_budget import ProcessBudget, ProcessLimits
from cornelturn.model.routes import CallerLimits

SWEEP_INTERVAL_MS = 250
MAX_COUNTED_INTERVAL_MS = 2 * SWEEP_INTERVAL_MS
"""Longest time that counts between two sweeps: while the process is held up, its
clients are not to blame for the silence."""

LOG_INTERVAL_MS = 1_000
MIN_REQUESTS = 2
"""Requests of the largest size that the budget admits, however small the memory is."""

SHARED_READ_BYTES = 64 * 1024
"""Size of the buffer into which all connections read, one after another."""


class GuardedConnection(Protocol):
    """A connection that the guard watches."""

    limits: ConnectionLimits

    def refuse(self, refusal: Refusal) -> None:
        """Answer with the status of a refusal if there is one, and close."""

    def abort(self) -> None:
        """Close a refused connection without waiting for its client."""

    def check(self, now_ms: int) -> None:
        """Refuse or close the connection if it has taken too long; raise nothing."""


@dataclass(slots=True)
class ConnectionGuard:
    """Watches the connections of all listeners of a process.

    Parameters
    ----------
    process_limits : ProcessLimits
        Budget of the process.
    read_limits : callable
        Returns the limits of the configuration in force.
    refusal_counter : Counter
        Counts refusals and closed connections by cause.
    now_ms : int
        Time of the last sweep, without the time for which the process was held up.
    """

    process_limits: ProcessLimits
    read_limits: Callable[[], CallerLimits]
    refusal_counter: Counter
    limits: CallerLimits = field(default_factory=CallerLimits)
    now_ms: int = 0
    budget: ProcessBudget = field(init=False)
    connections: dict[ConnectionLimits, GuardedConnection] = field(default_factory=dict)
    closing: dict[ConnectionLimits, GuardedConnection] = field(default_factory=dict)
    read_buffer: bytearray = field(default_factory=lambda: bytearray(SHARED_READ_BYTES))
    counts: Counts[Cause] = field(default_factory=Counts)
    clients: dict[Cause, str] = field(default_factory=dict)
    logged_ms: int = 0
    swept_s: float = 0.0
    listener_count: int = 0
    timer: asyncio.TimerHandle | None = None

    def __post_init__(self) -> None:
        self.budget = ProcessBudget(self.process_limits)
        self.update_limits()

    # Listeners

    def add_listener(self) -> None:
        """Start the sweeps with the first listener."""
        self.listener_count += 1
        if self.timer is None:
            self.swept_s = asyncio.get_running_loop().time()
            self._schedule()

    def remove_listener(self) -> None:
        """End the sweeps with the last listener."""
        self.listener_count -= 1
        if self.listener_count <= 0 and self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(to_seconds(SWEEP_INTERVAL_MS), self._sweep)

    def _sweep(self) -> None:
        self._schedule()
        now_s = asyncio.get_running_loop().time()
        elapsed_ms = round((now_s - self.swept_s) * MILLISECONDS_PER_SECOND)
        self.swept_s = now_s
        self.now_ms += min(elapsed_ms, MAX_COUNTED_INTERVAL_MS)
        self.update_limits()
        for connection in (*self.connections.values(), *self.closing.values()):
            connection.check(self.now_ms)
        self.relieve_bytes()
        if self.now_ms - self.logged_ms >= LOG_INTERVAL_MS:
            self.logged_ms = self.now_ms
            self._log_counts()

    def update_limits(self) -> None:
        """Read the limits in force; connections take them for their next request."""
        try:
            self.limits = self.read_limits()
        except Exception as error:
            log_warning("connection_limits_unread", error=repr(error))
        request_bytes = self.limits.max_header_bytes + self.limits.max_body_bytes
        min_bytes = MIN_REQUESTS * (request_bytes + SHARED_READ_BYTES)
        self.budget.limits = ProcessLimits(
            self.process_limits.max_connections,
            max(self.process_limits.max_bytes, min_bytes),
        )

    # Connections

    def open(self, connection: GuardedConnection) -> None:
        """Watch a new connection; close others if there are too many."""
        self.connections[connection.limits] = connection
        self.budget.add(connection.limits)
        max_connections = self.budget.limits.max_connections
        if len(self.connections) + len(self.closing) > max_connections:
            for refused in tuple(self.closing.values()):
                refused.abort()
        if len(self.connections) > max_connections:
            self._refuse(self.budget.least_used(), TOO_MANY_CONNECTIONS)

    def record_unread(self, limits: ConnectionLimits, unread_bytes: int) -> None:
        """Record the bytes of answers that a client has not read."""
        if unread_bytes or limits.unread_bytes:
            self.budget.record_unread(limits, unread_bytes, self.now_ms)

    def close(self, limits: ConnectionLimits) -> None:
        """Note that a connection is being closed by this side or by its client."""
        connection = self.connections.pop(limits, None)
        if connection is not None:
            self.budget.close(limits)
            self.closing[limits] = connection

    def forget(self, limits: ConnectionLimits) -> None:
        """Note that a connection is closed."""
        self.close(limits)
        self.closing.pop(limits, None)

    def count(self, cause: Cause, client: str) -> None:
        """Count a refusal or a closed connection."""
        self.refusal_counter.labels(cause.value).inc()
        if cause is not Cause.IDLE:
            self.counts[cause] += 1
            self.clients[cause] = client

    def relieve_bytes(self) -> None:
        """Close connections if they hold more bytes than the budget has."""
        if self.budget.held_bytes > self.budget.limits.max_bytes:
            self._refuse(self.budget.largest_holders(), TOO_MANY_BYTES)

    def _refuse(self, chosen: list[ConnectionLimits], refusal: Refusal) -> None:
        for limits in chosen:
            if limits in self.connections:
                self.connections[limits].refuse(refusal)

    def _log_counts(self) -> None:
        """Write one line for each cause, and none for clients that were just idle."""
        for cause, count in self.counts.items():
            log_warning(
                "connections_refused",
                cause=cause,
                count=count,
                client=self.clients[cause],
                connections=len(self.connections),
                bytes=self.budget.held_bytes,
            )
        self.counts.clear()
        self.clients.clear()
