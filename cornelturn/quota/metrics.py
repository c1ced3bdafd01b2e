"""Metrics of what each organisation with a cap has running, its allotments and cap."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from prometheus_client import CollectorRegistry, Gauge

from cornelturn.peering.quota_messages import OrganisationUse
from cornelturn.quota.amounts import Amount

RESOURCE_NAMES = Amount._fields


@dataclass(slots=True)
class QuotaMetrics:
    """Gauges that the owners of pools and the broker set.

    Parameters
    ----------
    shown : dict
        Organisations that are shown for each pool.
    capped : set of str
        Organisations of which the cap is shown.
    """

    registry: CollectorRegistry
    running: Gauge = field(init=False)
    allotment: Gauge = field(init=False)
    cap: Gauge = field(init=False)
    shown: dict[str, set[str]] = field(default_factory=dict)
    capped: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        by_pool = ["organisation", "pool", "resource"]
        self.running = self._gauge(
            "running", "What an organisation with a cap has running in a pool", by_pool
        )
        self.allotment = self._gauge(
            "allotment", "What it may have running in a pool", by_pool
        )
        self.cap = self._gauge(
            "cap",
            "What it may have running in all pools, at the broker",
            ["organisation", "resource"],
        )

    def record_uses(self, pool: str, uses: Iterable[OrganisationUse]) -> None:
        """Set what organisations use in a pool, and remove the others."""
        names: set[str] = set()
        for use in uses:
            names.add(use.organisation)
            for number, resource in enumerate(RESOURCE_NAMES):
                labels = (use.organisation, pool, resource)
                self.running.labels(*labels).set(use.running[number])
                self.allotment.labels(*labels).set(use.allotment[number])
        for name in self.shown.get(pool, set()) - names:
            for resource in RESOURCE_NAMES:
                self.running.remove(name, pool, resource)
                self.allotment.remove(name, pool, resource)
        self.shown[pool] = names

    def forget_pool(self, pool: str) -> None:
        """Remove a pool that this entry does not own any more."""
        self.record_uses(pool, ())
        del self.shown[pool]

    def record_caps(self, caps: Mapping[str, Amount]) -> None:
        """Set the caps, and remove those of other organisations."""
        for name, cap in caps.items():
            for number, resource in enumerate(RESOURCE_NAMES):
                self.cap.labels(name, resource).set(cap[number])
        for name in self.capped - caps.keys():
            for resource in RESOURCE_NAMES:
                self.cap.remove(name, resource)
        self.capped = set(caps)

    def _gauge(self, name: str, help_text: str, labels: list[str]) -> Gauge:
        return Gauge(
            f"cornelturn_organisation_{name}",
            help_text,
            labels,
            registry=self.registry,
        )
