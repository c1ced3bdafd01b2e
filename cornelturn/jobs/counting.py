"""Counts of pending jobs by queue, as the owners of the pools report them.

They answer callers without a scan of the rows of the queue.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from cornelturn.peering.messages import PoolCounts

MAX_COUNTS_AGE_MS = 1_800
"""Age up to which the counts of a pool owner are passed on to callers."""


@dataclass(frozen=True, slots=True)
class ReceivedCounts:
    """Counts of a pool, and when they were received."""

    counts: PoolCounts
    received_ms: int

    def pending(self, queue: str) -> int:
        """Return how many jobs of a queue have not started."""
        return sum(
            count.pending for count in self.counts.counts if count.queue == queue
        )


@dataclass(slots=True)
class PendingCounts:
    """Latest counts from the owners of all pools, by pool."""

    by_pool: dict[str, ReceivedCounts] = field(default_factory=dict)

    def update(self, counts: PoolCounts, now_ms: int) -> None:
        """Store the counts of a pool unless there are some from a later owner."""
        previous = self.by_pool.get(counts.pool)
        if previous is None or previous.counts.generation <= counts.generation:
            self.by_pool[counts.pool] = ReceivedCounts(counts, now_ms)

    def pending(self, queue: str, pool: str, now_ms: int) -> int | None:
        """Return how many jobs of a queue have not started, None if unknown.

        The counts of all pools are added up: a job stays in the pool to which its queue
        was routed when it was submitted.

        Parameters
        ----------
        pool : str
            Pool to which the queue is routed now.
        """
        if pool not in self.by_pool:
            return None
        pending = 0
        for name, received in self.by_pool.items():
            count = received.pending(queue)
            is_late = now_ms - received.received_ms > MAX_COUNTS_AGE_MS
            if is_late and (count or name == pool):
                return None
            pending += count
        return pending
