"""When refused callers are told to come back, spread over the time that is needed."""

from __future__ import annotations

from dataclasses import dataclass

import xxhash

MIN_RETRY_MS = 1_000
"""The header has whole seconds."""

MAX_RETRY_MS = 30_000
"""No backlog is known well enough for a longer time."""

JITTER = 0.25
"""Part of the delay by which callers of different entries are spread. Each entry
spaces out only the callers that it has refused itself."""


@dataclass(slots=True)
class ReturnTimes:
    """Places the return of each refused caller after that of the one before.

    Parameters
    ----------
    next_ms : float
        When the pool has served what earlier refused callers will bring back.
    """

    next_ms: float = 0.0

    def schedule_return_ms(
        self, job: str, wait_ms: float, own_ms: float, now_ms: int
    ) -> int:
        """Schedule the return of a refused caller; return the delay until then.

        Parameters
        ----------
        wait_ms : float
            Time until the job could be served on time.
        own_ms : float
            Time that the whole pool takes for the job.
        """
        due_ms = max(self.next_ms, now_ms + wait_ms)
        self.next_ms = min(due_ms + own_ms, now_ms + MAX_RETRY_MS)
        fraction = xxhash.xxh32_intdigest(job.encode()) / (1 << 32)
        delay_ms = (due_ms - now_ms) * (1 + JITTER * fraction)
        return round(min(MAX_RETRY_MS, max(MIN_RETRY_MS, delay_ms)))
