"""Forecast of the demand of a pool, from its trend and its recurring peaks."""

from __future__ import annotations

from dataclasses import dataclass, field

from cornelturn.capacity.demand import DemandTrend
from cornelturn.capacity.peaks import PeakEvent, RecurringPeaks


@dataclass(slots=True)
class PoolForecast:
    """Recent demand of a pool and its recurring peaks.

    Parameters
    ----------
    events : list of PeakEvent
        What the peaks have shown and nobody has taken yet.
    """

    trend: DemandTrend = field(default_factory=DemandTrend)
    peaks: RecurringPeaks = field(default_factory=RecurringPeaks)
    events: list[PeakEvent] = field(default_factory=list)

    def add(self, demand: float, now_ms: int, *, has_targets: bool = True) -> None:
        """Add a sample of the demand.

        Without targets the demand in machines is not known and counts as 0, which shows
        neither the end of a peak nor its absence.
        """
        self.trend.add(demand, now_ms)
        if has_targets:
            self.events += self.peaks.add(demand, now_ms)

    def trend_after(self, lead_ms: int) -> float:
        """Return the demand after a lead time by its trend.

        The rise at the beginning of a predicted peak is extrapolated only to the height
        of such peaks, and not at all if the peak will be over by then.
        """
        last_ms, last_demand = self.trend.samples[-1]
        expected = self.trend.forecast(lead_ms)
        if self.peaks.is_ending(lead_ms, last_ms):
            return last_demand
        highest = self.peaks.highest_demand(last_ms)
        return expected if highest is None else max(last_demand, min(expected, highest))

    def recurs(self) -> bool:
        """Return whether the peaks are known to recur."""
        return bool(self.peaks.confidence())

    def peak_after(self, lead_ms: int, now_ms: int) -> float:
        """Return the demand of a recurring peak after a lead time, 0 if none is due."""
        return self.peaks.demand_after(lead_ms, now_ms)

    def is_peak_ending(self, lead_ms: int, now_ms: int) -> bool:
        """Return whether a recurring peak is expected to end within a lead time."""
        return self.peaks.is_ending(lead_ms, now_ms)

    def take_events(self) -> list[PeakEvent]:
        """Return what the peaks have shown since the last call."""
        events, self.events = self.events, []
        return events
