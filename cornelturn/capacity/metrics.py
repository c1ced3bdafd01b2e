"""Metrics of recurring load peaks."""

from __future__ import annotations

from dataclasses import dataclass, field

from prometheus_client import CollectorRegistry, Counter


@dataclass(slots=True)
class PeakMetrics:
    """Counters that the owner of the machines sets."""

    registry: CollectorRegistry
    recognised: Counter = field(init=False)
    predictions: Counter = field(init=False)

    def __post_init__(self) -> None:
        self.recognised = Counter(
            "cornelturn_peaks_recognised",
            "Times that the peaks of a pool were found to recur",
            ["pool"],
            registry=self.registry,
        )
        self.predictions = Counter(
            "cornelturn_peak_predictions",
            "Predictions of peaks for which machines were to move, by outcome",
            ["pool", "outcome"],
            registry=self.registry,
        )
