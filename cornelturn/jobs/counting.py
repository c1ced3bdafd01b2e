"""How many jobs of each queue have not begun, as the owners of pools tell it."""

from __future__ import annotations

from dataclasses import dataclass, field

from cornelturn.peering.messages import PoolCounts

COUNTS_LIMIT_MS = 1_800
"""Age up to which the counts of an owner are passed on."""


@dataclass(frozen=True, slots=True)
class ToldCounts:
    """Counts of a pool, and when they were told."""

    counts: PoolCounts
    told_ms: int

    def pending(self, queue: str) -> int:
        """Return the jobs of a queue that have not begun."""
        return sum(one.pending for one in self.counts.counts if one.queue == queue)


@dataclass(slots=True)
class QueueCounts:
    """What the owners of all pools have told last, by pool."""

    told: dict[str, ToldCounts] = field(default_factory=dict)

    def take_in(self, counts: PoolCounts, now_ms: int) -> None:
        """Take in the counts of a pool, unless a later owner has told some."""
        known = self.told.get(counts.pool)
        if known is None or known.counts.generation <= counts.generation:
            self.told[counts.pool] = ToldCounts(counts, now_ms)

    def pending(self, queue: str, pool: str, now_ms: int) -> int | None:
        """Return how many jobs of a queue have not begun, None if it is not known.

        A job stays in the pool to which its queue led when it was handed in.

        Parameters
        ----------
        pool : str
            Pool to which the queue leads now.
        """
        if pool not in self.told:
            return None
        pending = 0
        for name, one in self.told.items():
            count = one.pending(queue)
            is_late = now_ms - one.told_ms > COUNTS_LIMIT_MS
            if is_late and (count or name == pool):
                return None
            pending += count
        return pending
