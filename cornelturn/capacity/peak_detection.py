"""Detection of the load peaks in the demand of a pool."""

from __future__ import annotations

from dataclasses import dataclass, field

BEGIN_FACTOR = 2.0
"""Multiple of the mean demand above which a peak begins."""

MIN_BEGIN_DEMAND = 3.0
"""Smallest demand, in machines, at which a peak begins: idle pools keep that many."""

END_FACTOR = 1.0
"""Multiple of the mean demand below which a peak ends."""

MIN_PEAK_MS = 800
"""Shortest peak. A machine could not be moved for a shorter one."""

MIN_PAUSE_MS = 400
"""Time below the mean after which a peak has ended: two reported loads."""

MAX_PEAK_MS = 30_000
"""Longest peak; a demand that stays high longer is not a peak."""

MEAN_WINDOW_MS = 120_000
"""Time constant of the mean demand, long against the interval of the peaks."""

MAX_SAMPLE_GAP_MS = 1_500
"""Time without a sample after which a peak may have been missed."""

HEIGHT_QUANTILE = 0.75
"""Quantile of the demand during a peak that counts as its height."""


@dataclass(frozen=True, slots=True)
class PeakBegun:
    """A peak began and has lasted for the shortest length."""

    begin_ms: int


@dataclass(frozen=True, slots=True)
class PeakEnded:
    """A peak is over."""

    length_ms: int
    height: float


@dataclass(frozen=True, slots=True)
class PeakDiscarded:
    """Samples are missing, or the demand has been high for too long for a peak."""


@dataclass(slots=True)
class DemandPeaks:
    """Demand of a pool relative to its mean.

    Parameters
    ----------
    mean : float
        Exponential average of the demand, in machines.
    observed_ms : int
        Time over which the mean was taken, up to `MEAN_WINDOW_MS`.
    begin_ms : int or None
        Beginning of the present peak, or of demand that may become one.
    is_peak : bool
        Whether that demand has lasted for the shortest length of a peak.
    low_since_ms : int or None
        Time since which the demand has been below the mean during a peak.
    samples : list of float
        Demands during the peak.
    """

    mean: float = 0.0
    observed_ms: int = 0
    last_ms: int | None = None
    begin_ms: int | None = None
    is_peak: bool = False
    low_since_ms: int | None = None
    samples: list[float] = field(default_factory=list)

    def add(
        self, demand: float, now_ms: int
    ) -> PeakBegun | PeakEnded | PeakDiscarded | None:
        """Add a sample and return the change that it shows, if any."""
        last_ms, self.last_ms = self.last_ms, now_ms
        if last_ms is None:
            self.mean = demand
            return None
        self._update_mean(demand, min(now_ms - last_ms, MAX_SAMPLE_GAP_MS))
        has_gap = now_ms - last_ms > MAX_SAMPLE_GAP_MS
        if has_gap or (
            self.begin_ms is not None and now_ms - self.begin_ms > MAX_PEAK_MS
        ):
            self._reset()
            return PeakDiscarded()
        if self.begin_ms is None:
            if demand > max(self.mean * BEGIN_FACTOR, MIN_BEGIN_DEMAND):
                self.begin_ms = now_ms
                self.samples = [demand]
            return None
        return self._continue(self.begin_ms, demand, now_ms)

    def _continue(
        self, begin_ms: int, demand: float, now_ms: int
    ) -> PeakBegun | PeakEnded | None:
        """Add a sample while the demand is, or was just now, that of a peak."""
        if demand < self.mean * END_FACTOR:
            if not self.is_peak:
                self._reset()
                return None
            if self.low_since_ms is None:
                self.low_since_ms = now_ms
            if now_ms - self.low_since_ms < MIN_PAUSE_MS:
                return None
            ended = PeakEnded(self.low_since_ms - begin_ms, self._height())
            self._reset()
            return ended
        self.low_since_ms = None
        self.samples.append(demand)
        if not self.is_peak and now_ms - begin_ms >= MIN_PEAK_MS:
            self.is_peak = True
            return PeakBegun(begin_ms)
        return None

    def _update_mean(self, demand: float, elapsed_ms: int) -> None:
        self.observed_ms = min(self.observed_ms + elapsed_ms, MEAN_WINDOW_MS)
        if self.observed_ms:
            self.mean += (demand - self.mean) * elapsed_ms / self.observed_ms

    def _height(self) -> float:
        ordered = sorted(self.samples)
        return ordered[int(len(ordered) * HEIGHT_QUANTILE)]

    def _reset(self) -> None:
        self.begin_ms = self.low_since_ms = None
        self.is_peak = False
        self.samples = []
