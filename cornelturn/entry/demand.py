"""Average demand of the pools of this entry, for planning moves of instances."""

from __future__ import annotations

from dataclasses import dataclass, field

from cornelturn.fleet.mover import DEMAND_INTERVAL_MS
from cornelturn.fleet.moves import PoolDemand
from cornelturn.routing.shares import QueueState

SIGNIFICANT_RELATIVE_CHANGE = 0.05
"""Relative change of the average below which it is not reported again."""


@dataclass(slots=True)
class DemandMeter:
    """Average demand of a pool, in slots, over an interval.

    Parameters
    ----------
    interval_start_ms : int
        Start of the current interval.
    last_reported : float or None
        Average that was reported last.
    """

    pool: str
    interval_start_ms: int
    total_slots: float = 0.0
    samples: int = 0
    last_reported: float | None = field(default=None)

    def observe(self, states: list[QueueState], now_ms: int) -> PoolDemand | None:
        """Add a sample; once an interval, return the average if it has changed."""
        self.total_slots += sum(
            state.used_slots + state.waiting_slots for state in states
        )
        self.samples += 1
        if now_ms - self.interval_start_ms < DEMAND_INTERVAL_MS:
            return None
        average = self.total_slots / self.samples
        self.interval_start_ms = now_ms
        self.total_slots = 0.0
        self.samples = 0
        if self.last_reported is not None and not self._is_significant(average):
            return None
        self.last_reported = average
        return PoolDemand(self.pool, round(average, 2))

    def _is_significant(self, average: float) -> bool:
        return abs(average - self.last_reported) > SIGNIFICANT_RELATIVE_CHANGE * max(
            self.last_reported, 1.0
        )
