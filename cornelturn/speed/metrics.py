"""Metrics of slow targets and of copies."""

from __future__ import annotations

from dataclasses import dataclass, field

from prometheus_client import CollectorRegistry, Counter, Gauge


@dataclass(slots=True)
class SpeedMetrics:
    """Figures that the owner of a pool sets."""

    registry: CollectorRegistry
    slow_targets: Gauge = field(init=False)
    copies: Counter = field(init=False)

    def __post_init__(self) -> None:
        self.slow_targets = Gauge(
            "cornelturn_slow_targets",
            "Targets of a pool that count as slow",
            ["pool"],
            registry=self.registry,
        )
        self.copies = Counter(
            "cornelturn_copies",
            "Copies of tasks, by outcome",
            ["pool", "outcome"],
            registry=self.registry,
        )

    def remove_pool(self, pool: str) -> None:
        """Remove the figures that only the owner of a pool has."""
        self.slow_targets.remove(pool)
