"""What a pool may still gain by moves of machines, as its owner can tell."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

GROWTH_WINDOW_MS = 3_000
"""Time of two moves. A pool that grew in it is expected to grow by as much again, since
its owner does not know how many machines are on standby."""


@dataclass(slots=True)
class PoolGrowth:
    """Capacity that a pool had, in thousandths of a core.

    Parameters
    ----------
    highest : int
        Highest capacity that this owner has seen; what the pool has given away since
        may come back.
    """

    highest: int = 0
    recent: deque[tuple[int, int]] = field(default_factory=deque)

    def update(self, capacity: int, now_ms: int) -> int:
        """Return what the pool may still gain, given its current capacity."""
        self.highest = max(self.highest, capacity)
        self.recent.append((now_ms, capacity))
        while self.recent[0][0] < now_ms - GROWTH_WINDOW_MS:
            self.recent.popleft()
        growth = capacity - min(recent for _, recent in self.recent)
        return max(self.highest - capacity, growth)
