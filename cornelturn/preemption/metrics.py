"""Metrics of runs that were stopped for urgent work."""

from __future__ import annotations

from dataclasses import dataclass, field

from prometheus_client import CollectorRegistry, Counter


@dataclass(slots=True)
class PreemptionMetrics:
    """Figures that the owner of a pool counts."""

    registry: CollectorRegistry
    runs: Counter = field(init=False)
    lost_core_seconds: Counter = field(init=False)

    def __post_init__(self) -> None:
        self.runs = Counter(
            "cornelturn_preempted_runs",
            "Runs that were stopped for urgent work",
            ["pool"],
            registry=self.registry,
        )
        self.lost_core_seconds = Counter(
            "cornelturn_preempted_core_seconds",
            "Expected core-seconds of these runs that are not in a checkpoint",
            ["pool"],
            registry=self.registry,
        )
