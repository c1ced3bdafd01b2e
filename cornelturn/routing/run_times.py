"""Quantiles of observed run times, with the declared run time as a prior."""

from __future__ import annotations

from dataclasses import dataclass, field

from ddsketch import DDSketch

RELATIVE_ACCURACY = 0.02
WINDOW_SAMPLES = 256
REFRESH_SAMPLES = 16
PRIOR_SAMPLES = 8
PRIOR_TAIL_FACTOR = 2.0


@dataclass(slots=True)
class Quantiles:
    """Mean, median, 90th and 99th percentile of the run time in milliseconds."""

    mean_ms: float
    median_ms: float
    p90_ms: float
    p99_ms: float


def prior_quantiles(run_ms: int) -> Quantiles:
    """Return the quantiles assumed until run times have been observed.

    The declared run time is taken as both the mean and the median.
    """
    return Quantiles(
        run_ms, run_ms, run_ms * PRIOR_TAIL_FACTOR, run_ms * PRIOR_TAIL_FACTOR**2
    )


@dataclass(slots=True)
class RunTimes:
    """Quantiles of the run times in the current and the previous window of samples.

    Parameters
    ----------
    prior_ms : int
        Median assumed until `PRIOR_SAMPLES` run times have been observed.
    """

    prior_ms: int
    current_window: DDSketch = field(
        default_factory=lambda: DDSketch(RELATIVE_ACCURACY)
    )
    previous_window: DDSketch | None = None
    learned: Quantiles | None = None

    def record(self, run_ms: float) -> None:
        """Add an observed run time in milliseconds."""
        self.current_window.add(max(run_ms, 0.0))
        count = int(self.current_window.count)
        if count >= WINDOW_SAMPLES:
            self.learned = self._compute_quantiles()
            self.previous_window = self.current_window
            self.current_window = DDSketch(RELATIVE_ACCURACY)
            return
        is_early = self.previous_window is None and count >= PRIOR_SAMPLES
        if count % REFRESH_SAMPLES == 0 or (is_early and self.learned is None):
            self.learned = self._compute_quantiles()

    def quantiles(self) -> Quantiles:
        """Return the observed quantiles, those of the prior if there are none."""
        return self.learned or prior_quantiles(self.prior_ms)

    def _compute_quantiles(self) -> Quantiles | None:
        sketch = DDSketch(RELATIVE_ACCURACY)
        sketch.merge(self.current_window)
        if self.previous_window is not None:
            sketch.merge(self.previous_window)
        if sketch.count < PRIOR_SAMPLES:
            return None
        return Quantiles(
            sketch.sum / sketch.count,
            sketch.get_quantile_value(0.5),
            sketch.get_quantile_value(0.9),
            sketch.get_quantile_value(0.99),
        )
