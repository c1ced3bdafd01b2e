"""Log lines and metrics of recurring load peaks."""

from __future__ import annotations

from cornelturn.capacity.metrics import PeakMetrics
from cornelturn.capacity.peaks import (
    PeakEvent,
    PeaksRecognised,
    PredictionHit,
    PredictionMissed,
)
from cornelturn.events.log import log_event


def record_peak_event(pool: str, event: PeakEvent, metrics: PeakMetrics) -> None:
    """Log and count what the peaks of a pool have shown.

    Predictions that are only checked, since their confidence is too low, are left out.
    """
    match event:
        case PeaksRecognised(interval_ms, length_ms, height):
            metrics.recognised.labels(pool).inc()
            log_event(
                "peaks_recognised",
                pool=pool,
                interval_ms=interval_ms,
                length_ms=length_ms,
                machines=round(height),
            )
        case PredictionHit(is_used=True):
            metrics.predictions.labels(pool, "hit").inc()
        case PredictionMissed(confidence, height) if confidence:
            metrics.predictions.labels(pool, "missed").inc()
            log_event(
                "peak_missed",
                pool=pool,
                confidence=round(confidence, 2),
                machines=round(confidence * height),
            )
        case _:
            return
