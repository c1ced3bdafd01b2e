"""Health of a store, derived from the calls of this entry; does no I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

MIN_RESPONSE_TIMEOUT_MS = 200
"""A busy event loop handles responses late, so a shorter delay says nothing about the
store."""

MAX_RESPONSE_TIMEOUT_MS = 1_500

MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
TIMEOUT_DEVIATIONS = 4
"""Weights and factor of the TCP retransmission timeout (RFC 6298)."""

FAILURE_THRESHOLD = 3
"""Consecutive failures after which the store is considered unavailable.

A single refusal may come from one full part, or from a rate limit.
"""


class CallKind(StrEnum):
    """Kinds of calls; response times are measured for each kind separately."""

    READ = "read"
    WRITE = "write"


@dataclass(frozen=True, slots=True)
class SentCall:
    """A call in flight; numbers increase in the order of sending."""

    number: int
    kind: CallKind
    sent_ms: int


@dataclass(slots=True)
class ResponseTimes:
    """Smoothed response time and its mean deviation, as for a TCP round trip."""

    mean_ms: float | None = None
    deviation_ms: float = 0.0

    def add_sample(self, duration_ms: int) -> None:
        """Update the estimate with the time that one response took."""
        if self.mean_ms is None:
            self.mean_ms, self.deviation_ms = duration_ms, duration_ms / 2
            return
        error_ms = abs(duration_ms - self.mean_ms)
        self.deviation_ms += DEVIATION_WEIGHT * (error_ms - self.deviation_ms)
        self.mean_ms += MEAN_WEIGHT * (duration_ms - self.mean_ms)

    def response_timeout_ms(self) -> int:
        """Return the time after which a response is overdue."""
        if self.mean_ms is None:
            return MIN_RESPONSE_TIMEOUT_MS
        timeout_ms = round(self.mean_ms + TIMEOUT_DEVIATIONS * self.deviation_ms)
        return min(max(timeout_ms, MIN_RESPONSE_TIMEOUT_MS), MAX_RESPONSE_TIMEOUT_MS)


@dataclass(slots=True)
class StoreHealth:
    """Whether a store responds, and how fast.

    A call without a response is ignored once a later call has been answered: its
    connection is then at fault, not the store.

    Parameters
    ----------
    response_times : dict
        Response times of each kind of call.
    unanswered : dict
        Calls sent after the last answered one, by number.
    refusals, connection_failures : int
        Calls since the last successful one that the store refused, and calls whose
        connection failed.
    """

    response_times: dict[CallKind, ResponseTimes] = field(
        default_factory=lambda: {kind: ResponseTimes() for kind in CallKind}
    )
    unanswered: dict[int, SentCall] = field(default_factory=dict)
    last_sent_number: int = 0
    last_answered_number: int = 0
    refusals: int = 0
    connection_failures: int = 0

    def record_sent(self, kind: CallKind, now_ms: int) -> SentCall:
        """Record that a call is sent, and return it."""
        self.last_sent_number += 1
        call = SentCall(self.last_sent_number, kind, now_ms)
        self.unanswered[call.number] = call
        return call

    def record_answered(self, call: SentCall, now_ms: int) -> None:
        """Record that the store has carried out a call."""
        self.refusals = self.connection_failures = 0
        self._discard_earlier_calls(call)
        self.response_times[call.kind].add_sample(now_ms - call.sent_ms)

    def record_refused(self, call: SentCall) -> None:
        """Record that the store answered that it did nothing."""
        self.refusals += 1
        self._discard_earlier_calls(call)

    def record_connection_failure(self, call: SentCall) -> None:
        """Record that the connection of a call failed."""
        self.connection_failures += 1
        self._discard_earlier_calls(call)

    def record_cancelled(self, call: SentCall) -> None:
        """Record that the caller no longer waits for a call."""
        self.unanswered.pop(call.number, None)

    def has_overdue_call(self, now_ms: int) -> bool:
        """Return whether a call is overdue and no later call has been answered."""
        return now_ms > self._first_overdue_ms(now_ms)

    def is_unresponsive(self, now_ms: int) -> bool:
        """Return whether a call is overdue that was sent while another was overdue.

        The later call used a new connection, so the store itself does not respond.
        """
        first_ms = self._first_overdue_ms(now_ms)
        return any(
            call.sent_ms > first_ms and now_ms > self._overdue_ms(call)
            for call in self.unanswered.values()
        )

    def is_unreachable(self, now_ms: int) -> bool:
        """Return whether a call would get no response."""
        return self.connection_failures >= FAILURE_THRESHOLD or self.is_unresponsive(
            now_ms
        )

    def is_serving(self, now_ms: int) -> bool:
        """Return whether the store carries out calls."""
        return self.refusals < FAILURE_THRESHOLD and not self.is_unreachable(now_ms)

    def _overdue_ms(self, call: SentCall) -> int:
        return call.sent_ms + self.response_times[call.kind].response_timeout_ms()

    def _first_overdue_ms(self, now_ms: int) -> int:
        """Return when the first unanswered call became, or will become, overdue."""
        calls = self.unanswered.values()
        return min((self._overdue_ms(call) for call in calls), default=now_ms)

    def _discard_earlier_calls(self, call: SentCall) -> None:
        """Remove a call and all earlier ones; the connections of those are at fault."""
        if call.number > self.last_answered_number:
            self.last_answered_number = call.number
            self.unanswered = {
                number: later
                for number, later in self.unanswered.items()
                if number > call.number
            }
