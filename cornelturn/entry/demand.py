"""Demand of the pools of this entry, averaged for the moves."""

from __future__ import annotations

from dataclasses import dataclass, field

from cornelturn.fleet.mover import DEMAND_INTERVAL_MS
from cornelturn.fleet.moves import PoolDemand
from cornelturn.routing.shares import QueueState

SIGNIFICANT_CHANGE = 0.05


@dataclass(slots=True)
class DemandMeter:
    """Average demand of a pool over an interval.

    Parameters
    ----------
    since_ms : int
        Start of the interval.
    """

    pool: str
    since_ms: int
    total: float = 0.0
    samples: int = 0
    told: float | None = field(default=None)

    def observe(self, states: list[QueueState], now_ms: int) -> PoolDemand | None:
        """Take a sample; return the average once an interval if it has changed."""
        self.total += sum(one.used_slots + one.waiting_slots for one in states)
        self.samples += 1
        if now_ms - self.since_ms < DEMAND_INTERVAL_MS:
            return None
        average = self.total / self.samples
        self.since_ms = now_ms
        self.total = 0.0
        self.samples = 0
        if self.told is not None and not self._is_significant(average):
            return None
        self.told = average
        return PoolDemand(self.pool, round(average, 2))

    def _is_significant(self, average: float) -> bool:
        return abs(average - self.told) > SIGNIFICANT_CHANGE * max(self.told, 1.0)
