"""Rates at which organisations submit jobs, compared with their weights."""

from __future__ import annotations

from dataclasses import dataclass, field

from cornelturn.clock import MILLISECONDS_PER_SECOND
from cornelturn.fairness.shares import Weights

BURST_S = 2.0
"""Seconds of its rate that an organisation may submit at once."""

MIN_BURST_JOBS = 10.0
"""Jobs that any organisation may submit at once, however low its weight is. A smaller
number would judge random arrivals within the rate as beyond it."""

TAKEOVER_CREDIT_S = 10.0
"""Seconds of its rate that an organisation may have waiting when an owner takes a pool
over, without any of it counting as beyond the rate."""


@dataclass(slots=True)
class TokenBucket:
    """Tokens of one organisation, one for each job within its rate."""

    tokens: float
    updated_ms: int

    def left(self, rate: float, now_ms: int) -> float:
        """Return the tokens that it has by now."""
        elapsed_ms = max(0, now_ms - self.updated_ms)
        added = rate * elapsed_ms / MILLISECONDS_PER_SECOND
        # A credit above the burst is kept, but not added to.
        return max(self.tokens, min(self.tokens + added, burst(rate)))

    def take(self, rate: float, now_ms: int) -> bool:
        """Take a token if there is one; return whether there was.

        Parameters
        ----------
        rate : float
            Tokens added in a second.
        """
        self.tokens = self.left(rate, now_ms)
        self.updated_ms = max(self.updated_ms, now_ms)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def limit(self, rate: float) -> None:
        """Drop what exceeds the burst."""
        self.tokens = min(self.tokens, burst(rate))


def burst(rate: float) -> float:
    """Return the number of jobs that may be submitted at once."""
    return max(rate * BURST_S, MIN_BURST_JOBS) if rate > 0 else 0.0


@dataclass(slots=True)
class SubmissionRates:
    """Judges whether a job is within the rate of its organisation.

    A successor does not know when the jobs that it reads arrived. It gives each
    organisation a credit of `TAKEOVER_CREDIT_S` instead, which ends after that time.

    Parameters
    ----------
    credit_until_ms : int or None
        When the credit ends, None without one.
    """

    credit_until_ms: int | None = None
    buckets: dict[str, TokenBucket] = field(default_factory=dict)

    def tokens_left(self, weights: Weights, now_ms: int) -> dict[str, float]:
        """Return how many jobs each known organisation may submit now."""
        return {
            name: bucket.left(weights.of(name), now_ms)
            for name, bucket in self.buckets.items()
        }

    def is_beyond(self, organisation: str, weights: Weights, now_ms: int) -> bool:
        """Return whether a job that arrives now is beyond the rate, and count it."""
        if self.credit_until_ms is not None and now_ms >= self.credit_until_ms:
            self.credit_until_ms = None
            for name, bucket in self.buckets.items():
                bucket.limit(weights.of(name))
        rate = weights.of(organisation)
        bucket = self.buckets.get(organisation)
        if bucket is None:
            tokens = burst(rate)
            if self.credit_until_ms is not None:
                tokens = max(tokens, rate * TAKEOVER_CREDIT_S)
            bucket = self.buckets[organisation] = TokenBucket(tokens, now_ms)
        return not bucket.take(rate, now_ms)
