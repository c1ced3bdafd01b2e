"""Judgement of a store by how the calls of this entry go, without sockets."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

MIN_RESPONSE_TIMEOUT_MS = 200
"""A busy loop takes an answer in late, so less says nothing about the store."""

MAX_RESPONSE_TIMEOUT_MS = 1_500

MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
TIMEOUT_DEVIATIONS = 4
"""As TCP estimates its retransmission timeout (RFC 6298)."""

FAILURE_THRESHOLD = 3
"""A single refusal may come from a part that is full, or from a rate limit."""


class CallKind(StrEnum):
    """Kinds of calls whose answers take a time of their own."""

    READ = "read"
    WRITE = "write"


@dataclass(frozen=True, slots=True)
class SentCall:
    """A call on its way; numbers rise in the order of sending."""

    number: int
    kind: CallKind
    sent_ms: int


@dataclass(slots=True)
class ResponseTimes:
    """Smoothed answer time, and how far answers are from it."""

    mean_ms: float | None = None
    deviation_ms: float = 0.0

    def add_sample(self, duration_ms: int) -> None:
        """Take in the time of one answer."""
        if self.mean_ms is None:
            self.mean_ms, self.deviation_ms = duration_ms, duration_ms / 2
            return
        error_ms = abs(duration_ms - self.mean_ms)
        self.deviation_ms += DEVIATION_WEIGHT * (error_ms - self.deviation_ms)
        self.mean_ms += MEAN_WEIGHT * (duration_ms - self.mean_ms)

    def response_timeout_ms(self) -> int:
        """Return the time after which an answer is overdue."""
        if self.mean_ms is None:
            return MIN_RESPONSE_TIMEOUT_MS
        timeout_ms = round(self.mean_ms + TIMEOUT_DEVIATIONS * self.deviation_ms)
        return min(max(timeout_ms, MIN_RESPONSE_TIMEOUT_MS), MAX_RESPONSE_TIMEOUT_MS)


@dataclass(slots=True)
class StoreHealth:
    """Whether a store answers, and in what time.

    A call without an answer tells nothing once a later call has been answered: then
    its connection is at fault, not the store.

    Parameters
    ----------
    times : dict
        Answer times of each kind of call.
    unanswered : dict
        Calls after the last answered one, by number.
    refusals, cuts : int
        Calls that were refused, and whose connection failed, since one was carried out.
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
        """Take in that a call leaves."""
        self.last_sent_number += 1
        call = SentCall(self.last_sent_number, kind, now_ms)
        self.unanswered[call.number] = call
        return call

    def record_answered(self, call: SentCall, now_ms: int) -> None:
        """Take in that the store has carried out a call."""
        self.refusals = self.connection_failures = 0
        self._discard_earlier_calls(call)
        self.response_times[call.kind].add_sample(now_ms - call.sent_ms)

    def record_refused(self, call: SentCall) -> None:
        """Take in that the store said it did nothing."""
        self.refusals += 1
        self._discard_earlier_calls(call)

    def record_connection_failure(self, call: SentCall) -> None:
        """Take in that the connection of a call failed."""
        self.connection_failures += 1
        self._discard_earlier_calls(call)

    def record_cancelled(self, call: SentCall) -> None:
        """Take in that nobody waits for a call any more."""
        self.unanswered.pop(call.number, None)

    def has_overdue_call(self, now_ms: int) -> bool:
        """Return whether an answer is overdue and none to a later call has come."""
        return now_ms > self._first_overdue_ms(now_ms)

    def is_unresponsive(self, now_ms: int) -> bool:
        """Return whether a call is overdue that was sent while another was.

        The later one had a new connection, so it is the store that does not answer.
        """
        first_ms = self._first_overdue_ms(now_ms)
        return any(
            call.sent_ms > first_ms and now_ms > self._overdue_ms(call)
            for call in self.unanswered.values()
        )

    def is_unreachable(self, now_ms: int) -> bool:
        """Return whether a call would get no answer."""
        return self.connection_failures >= FAILURE_THRESHOLD or self.is_unresponsive(
            now_ms
        )

    def is_serving(self, now_ms: int) -> bool:
        """Return whether the store carries out calls."""
        return self.refusals < FAILURE_THRESHOLD and not self.is_unreachable(now_ms)

    def _overdue_ms(self, call: SentCall) -> int:
        return call.sent_ms + self.response_times[call.kind].response_timeout_ms()

    def _first_overdue_ms(self, now_ms: int) -> int:
        """Return when the first answer that has not come was, or will be, overdue."""
        calls = self.unanswered.values()
        return min((self._overdue_ms(call) for call in calls), default=now_ms)

    def _discard_earlier_calls(self, call: SentCall) -> None:
        """Forget calls before this one; their connections are at fault."""
        if call.number > self.last_answered_number:
            self.last_answered_number = call.number
            self.unanswered = {
                number: later
                for number, later in self.unanswered.items()
                if number > call.number
            }
