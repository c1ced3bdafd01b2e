"""How many jobs of each queue have not begun, as the owners of pools tell it."""

from __future__ import annotations

from dataclasses import dataclass, field

from cornelturn.peering.messages import PoolCounts

MAX_COUNTS_AGE_MS = 1_800
"""Age up to which the counts of an owner are passed on."""


@dataclass(frozen=True, slots=True)
class ReceivedCounts:
    """Counts of a pool, and when they were told."""

    counts: PoolCounts
    received_ms: int

    def pending(self, queue: str) -> int:
        """Return the jobs of a queue that have not begun."""
        return sum(
            count.pending for count in self.counts.counts if count.queue == queue
        )


@dataclass(slots=True)
class PendingCounts:
    """What the owners of all pools have told last, by pool."""

    by_pool: dict[str, ReceivedCounts] = field(default_factory=dict)

    def update(self, counts: PoolCounts, now_ms: int) -> None:
        """Take in the counts of a pool, unless a later owner has told some."""
        previous = self.by_pool.get(counts.pool)
        if previous is None or previous.counts.generation <= counts.generation:
            self.by_pool[counts.pool] = ReceivedCounts(counts, now_ms)

    def pending(self, queue: str, pool: str, now_ms: int) -> int | None:
        """Return how many jobs of a queue have not begun, None if it is not known.

        A job stays in the pool to which its queue led when it was handed in.

        Parameters
        ----------
        pool : str
            Pool to which the queue leads now.
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
