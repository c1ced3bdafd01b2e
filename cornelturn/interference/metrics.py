"""Metrics of the pace of filling work."""

from __future__ import annotations

from dataclasses import dataclass, field

from prometheus_client import CollectorRegistry, Counter, Gauge

from cornelturn.targets.model import FULL_PACE


@dataclass(slots=True)
class InterferenceMetrics:
    """Counters and gauges that the owners of pools set."""

    registry: CollectorRegistry
    orders: Counter = field(init=False)
    decreases: Counter = field(init=False)
    shared_targets: Gauge = field(init=False)
    mean_pace: Gauge = field(init=False)

    def __post_init__(self) -> None:
        self.orders = Counter(
            "cornelturn_pace_orders",
            "Orders of a pace for a filling run, by outcome",
            ["pool", "outcome"],
            registry=self.registry,
        )
        self.decreases = Counter(
            "cornelturn_pace_decreases",
            "Decreases of the pace on a target, by cause",
            ["pool", "cause"],
            registry=self.registry,
        )
        self.shared_targets = self._gauge(
            "shared_targets", "Targets with filling runs beside serving runs"
        )
        self.mean_pace = self._gauge(
            "filling_pace", "Mean pace on these targets, in percent"
        )

    def record_targets(self, pool: str, levels: list[float]) -> None:
        """Set the figures of the targets with filling beside serving runs."""
        self.shared_targets.labels(pool).set(len(levels))
        mean = sum(levels) / len(levels) if levels else FULL_PACE
        self.mean_pace.labels(pool).set(mean)

    def forget_pool(self, pool: str) -> None:
        """Remove the gauges of a pool that this entry does not own any more."""
        self.shared_targets.remove(pool)
        self.mean_pace.remove(pool)

    def _gauge(self, name: str, help_text: str) -> Gauge:
        return Gauge(f"cornelturn_{name}", help_text, ["pool"], registry=self.registry)
