"""Judgement of a store by how the calls of this entry go, without sockets."""

from __future__ import annotations

from dataclasses import dataclass, field

LEAST_PATIENCE_MS = 200
"""A busy loop takes an answer in late, so less says nothing about the store."""

MOST_PATIENCE_MS = 1_500

MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATIONS = 4
"""As TCP estimates its retransmission timeout (RFC 6298)."""

REFUSALS_IN_A_ROW = 3
"""A single refusal may come from a part that is full, or from a rate limit."""


@dataclass(frozen=True, slots=True)
class SentCall:
    """A call on its way; numbers rise in the order of sending."""

    number: int
    sent_ms: int


@dataclass(slots=True)
class StoreHealth:
    """Whether a store answers, and in what time.

    A call without an answer tells nothing once a later call has been answered: then
    its connection is at fault, not the store.

    Parameters
    ----------
    mean_ms, deviation_ms : float
        Smoothed answer time, and how far answers are from it.
    unanswered : dict
        Times of sending of the calls after the last answered one, by number.
    refusals : int
        Calls that were refused since one was carried out.
    """

    mean_ms: float | None = None
    deviation_ms: float = 0.0
    unanswered: dict[int, int] = field(default_factory=dict)
    last_number: int = 0
    answered_number: int = 0
    refusals: int = 0

    def sent(self, now_ms: int) -> SentCall:
        """Take in that a call leaves."""
        self.last_number += 1
        self.unanswered[self.last_number] = now_ms
        return SentCall(self.last_number, now_ms)

    def answered(self, call: SentCall, now_ms: int) -> None:
        """Take in that the store has carried out a call."""
        self.refusals = 0
        self._heard(call)
        self._sample(now_ms - call.sent_ms)

    def refused(self, call: SentCall) -> None:
        """Take in that a call was turned away or its connection reset."""
        self.refusals += 1
        self._heard(call)

    def withdrawn(self, call: SentCall) -> None:
        """Take in that nobody waits for a call any more."""
        self.unanswered.pop(call.number, None)

    def patience_ms(self) -> int:
        """Return the time after which a call has been unanswered for too long."""
        if self.mean_ms is None:
            return LEAST_PATIENCE_MS
        usual_ms = round(self.mean_ms + DEVIATIONS * self.deviation_ms)
        return min(max(usual_ms, LEAST_PATIENCE_MS), MOST_PATIENCE_MS)

    def is_waiting(self, now_ms: int) -> bool:
        """Return whether an answer is overdue and none to a later call has come."""
        oldest_ms = next(iter(self.unanswered.values()), now_ms)
        return now_ms - oldest_ms > self.patience_ms()

    def is_silent(self, now_ms: int) -> bool:
        """Return whether a call is overdue that was sent while another was.

        The later one had a new connection, so it is the store that does not answer.
        """
        if not self.is_waiting(now_ms):
            return False
        patience_ms = self.patience_ms()
        sent = iter(self.unanswered.values())
        overdue_ms = next(sent) + patience_ms
        return any(
            one_ms > overdue_ms and now_ms - one_ms > patience_ms for one_ms in sent
        )

    def is_refusing(self) -> bool:
        """Return whether the store turns this entry away."""
        return self.refusals >= REFUSALS_IN_A_ROW

    def is_away(self, now_ms: int) -> bool:
        """Return whether a call would get no answer, or a refusal."""
        return self.is_refusing() or self.is_silent(now_ms)

    def _heard(self, call: SentCall) -> None:
        if call.number > self.answered_number:
            self.answered_number = call.number
            self.unanswered = {
                number: sent_ms
                for number, sent_ms in self.unanswered.items()
                if number > call.number
            }

    def _sample(self, took_ms: int) -> None:
        if self.mean_ms is None:
            self.mean_ms, self.deviation_ms = took_ms, took_ms / 2
            return
        off_ms = abs(took_ms - self.mean_ms)
        self.deviation_ms += DEVIATION_WEIGHT * (off_ms - self.deviation_ms)
        self.mean_ms += MEAN_WEIGHT * (took_ms - self.mean_ms)
