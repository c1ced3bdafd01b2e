"""Judgement of a store by how the calls of this entry go, without sockets."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

LEAST_PATIENCE_MS = 200
"""A busy loop takes an answer in late, so less says nothing about the store."""

MOST_PATIENCE_MS = 1_500

MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATIONS = 4
"""As TCP estimates its retransmission timeout (RFC 6298)."""

FAILURES_IN_A_ROW = 3
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
class AnswerTimes:
    """Smoothed answer time, and how far answers are from it."""

    mean_ms: float | None = None
    deviation_ms: float = 0.0

    def sample(self, took_ms: int) -> None:
        """Take in the time of one answer."""
        if self.mean_ms is None:
            self.mean_ms, self.deviation_ms = took_ms, took_ms / 2
            return
        off_ms = abs(took_ms - self.mean_ms)
        self.deviation_ms += DEVIATION_WEIGHT * (off_ms - self.deviation_ms)
        self.mean_ms += MEAN_WEIGHT * (took_ms - self.mean_ms)

    def patience_ms(self) -> int:
        """Return the time after which an answer is overdue."""
        if self.mean_ms is None:
            return LEAST_PATIENCE_MS
        usual_ms = round(self.mean_ms + DEVIATIONS * self.deviation_ms)
        return min(max(usual_ms, LEAST_PATIENCE_MS), MOST_PATIENCE_MS)


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

    times: dict[CallKind, AnswerTimes] = field(
        default_factory=lambda: {kind: AnswerTimes() for kind in CallKind}
    )
    unanswered: dict[int, SentCall] = field(default_factory=dict)
    last_number: int = 0
    answered_number: int = 0
    refusals: int = 0
    cuts: int = 0

    def sent(self, kind: CallKind, now_ms: int) -> SentCall:
        """Take in that a call leaves."""
        self.last_number += 1
        call = SentCall(self.last_number, kind, now_ms)
        self.unanswered[call.number] = call
        return call

    def answered(self, call: SentCall, now_ms: int) -> None:
        """Take in that the store has carried out a call."""
        self.refusals = self.cuts = 0
        self._heard(call)
        self.times[call.kind].sample(now_ms - call.sent_ms)

    def refused(self, call: SentCall) -> None:
        """Take in that the store said it did nothing."""
        self.refusals += 1
        self._heard(call)

    def cut_off(self, call: SentCall) -> None:
        """Take in that the connection of a call failed."""
        self.cuts += 1
        self._heard(call)

    def withdrawn(self, call: SentCall) -> None:
        """Take in that nobody waits for a call any more."""
        self.unanswered.pop(call.number, None)

    def is_waiting(self, now_ms: int) -> bool:
        """Return whether an answer is overdue and none to a later call has come."""
        return now_ms > self._first_overdue_ms(now_ms)

    def is_silent(self, now_ms: int) -> bool:
        """Return whether a call is overdue that was sent while another was.

        The later one had a new connection, so it is the store that does not answer.
        """
        first_ms = self._first_overdue_ms(now_ms)
        return any(
            call.sent_ms > first_ms and now_ms > self._overdue_ms(call)
            for call in self.unanswered.values()
        )

    def is_away(self, now_ms: int) -> bool:
        """Return whether a call would get no answer."""
        return self.cuts >= FAILURES_IN_A_ROW or self.is_silent(now_ms)

    def is_serving(self, now_ms: int) -> bool:
        """Return whether the store carries out calls."""
        return self.refusals < FAILURES_IN_A_ROW and not self.is_away(now_ms)

    def _overdue_ms(self, call: SentCall) -> int:
        return call.sent_ms + self.times[call.kind].patience_ms()

    def _first_overdue_ms(self, now_ms: int) -> int:
        """Return when the first answer that has not come was, or will be, overdue."""
        calls = self.unanswered.values()
        return min((self._overdue_ms(call) for call in calls), default=now_ms)

    def _heard(self, call: SentCall) -> None:
        """Forget calls before this one; their connections are at fault."""
        if call.number > self.answered_number:
            self.answered_number = call.number
            self.unanswered = {
                number: later
                for number, later in self.unanswered.items()
                if number > call.number
            }
