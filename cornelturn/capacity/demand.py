"""Demand of a pool in machines, and its trend."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from cornelturn.jobs.model import Resources
from cornelturn.peering.messages import PoolLoad

TREND_WINDOW_MS = 800
"""Window over which a trend is computed; it spans several samples of the demand."""


@dataclass(slots=True)
class DemandTrend:
    """Recent demand of a pool, in machines.

    Parameters
    ----------
    samples : deque
        Times and demands, oldest first.
    """

    samples: deque[tuple[int, float]] = field(default_factory=deque)

    def add(self, demand: float, now_ms: int) -> None:
        """Add a sample and drop those that have left the window."""
        self.samples.append((now_ms, demand))
        while now_ms - self.samples[0][0] > TREND_WINDOW_MS:
            self.samples.popleft()

    def forecast(self, lead_ms: int) -> float:
        """Return the demand after `lead_ms` if it keeps rising at the same rate.

        A falling demand is not extrapolated.
        """
        first_ms, first_demand = self.samples[0]
        last_ms, last_demand = self.samples[-1]
        if last_ms <= first_ms:
            return last_demand
        rise_per_ms = max(0.0, last_demand - first_demand) / (last_ms - first_ms)
        return last_demand + rise_per_ms * lead_ms


def demand_of(load: PoolLoad) -> float:
    """Return the demand of a pool in machines of its mean size."""
    return machines_for(load, load.held.plus(load.waiting))


def machines_for(load: PoolLoad, need: Resources) -> float:
    """Return how many machines of the pool's mean size a need takes."""
    capacity = load.capacity
    shares = (
        demanded / available
        for demanded, available in (
            (need.cpu, capacity.cpu),
            (need.mem_mb, capacity.mem_mb),
            (need.gpu, capacity.gpu),
        )
        if available > 0
    )
    return load.open_targets * max(shares, default=0.0)
