"""Limits on the load that one front creates.

Budgets bound retries and hedges; hold-offs refuse the requests of flooding members
without asking a dispatcher.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field

RETRY_FRACTION = 0.1
HEDGE_FRACTION = 0.05
BUDGET_BASE_TOKENS = 3.0
BUDGET_MAX_TOKENS = 100.0
BUDGET_REFILL_INTERVAL_MS = 1_000
"""Time after which one token below the base is refilled."""

BACKOFF_BASE_MS = 20
BACKOFF_MAX_MS = 1_000


@dataclass(slots=True)
class Budget:
    """Token bucket of extra attempts, as a fraction of first attempts.

    Below `BUDGET_BASE_TOKENS` it is also refilled with time, so that a queue with
    little traffic gets extra attempts too.

    Parameters
    ----------
    fraction : float
        Tokens added by a first attempt.
    tokens : float
        Extra attempts allowed at `refilled_at_ms`.
    """

    fraction: float
    tokens: float = BUDGET_BASE_TOKENS
    refilled_at_ms: int = 0

    def record_first_attempt(self, now_ms: int) -> None:
        """Add the tokens of a first attempt."""
        self._refill(now_ms)
        self.tokens = min(self.tokens + self.fraction, BUDGET_MAX_TOKENS)

    def try_spend(self, now_ms: int) -> bool:
        """Spend a token for an extra attempt; return False if there is none."""
        self._refill(now_ms)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def refill_wait_ms(self, now_ms: int) -> int:
        """Return the time until a token is available if no first attempts come."""
        self._refill(now_ms)
        return math.ceil(max(1.0 - self.tokens, 0.0) * BUDGET_REFILL_INTERVAL_MS)

    def _refill(self, now_ms: int) -> None:
        earned = (now_ms - self.refilled_at_ms) / BUDGET_REFILL_INTERVAL_MS
        self.refilled_at_ms = now_ms
        if self.tokens < BUDGET_BASE_TOKENS:
            self.tokens = min(self.tokens + earned, BUDGET_BASE_TOKENS)


@dataclass(slots=True)
class QueueBudgets:
    """Retry and hedge budgets of one queue."""

    retries: Budget = field(default_factory=lambda: Budget(RETRY_FRACTION))
    hedges: Budget = field(default_factory=lambda: Budget(HEDGE_FRACTION))


@dataclass(slots=True)
class Budgets:
    """Budgets by queue."""

    queues: dict[str, QueueBudgets] = field(default_factory=dict)

    def for_queue(self, queue: str) -> QueueBudgets:
        """Return the budgets of a queue."""
        return self.queues.setdefault(queue, QueueBudgets())


@dataclass(frozen=True, slots=True)
class HoldOffKey:
    """A member's requests in one queue."""

    queue: str
    member: str


@dataclass(slots=True)
class HoldOffs:
    """Queues and members whose requests the front refuses for a time.

    A dispatcher sets the duration in its refusal.
    """

    until_ms_by_key: dict[HoldOffKey, int] = field(default_factory=dict)

    def start(self, key: HoldOffKey, hold_off_ms: int, now_ms: int) -> None:
        """Refuse a member's requests in a queue for `hold_off_ms` milliseconds."""
        if hold_off_ms > 0:
            self.until_ms_by_key[key] = now_ms + hold_off_ms

    def remaining_ms(self, key: HoldOffKey, now_ms: int) -> int:
        """Return the rest of a hold-off, 0 if there is none."""
        until_ms = self.until_ms_by_key.get(key)
        if until_ms is None:
            return 0
        if until_ms <= now_ms:
            del self.until_ms_by_key[key]
            return 0
        return until_ms - now_ms


def backoff_ms(tries: int, rng: random.Random) -> int:
    """Return the delay of a retry after `tries` attempts, with full jitter."""
    ceiling = min(BACKOFF_BASE_MS * 2**tries, BACKOFF_MAX_MS)
    return rng.randint(1, ceiling)
