"""Prometheus metrics of an entry that runs requests."""

from __future__ import annotations

from dataclasses import dataclass, field

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 5, 10, 60, 600)


@dataclass(slots=True)
class Metrics:
    """Metrics of one entry.

    Labels are names from the configuration or fixed names, which bounds the number of
    series.
    """

    registry: CollectorRegistry = field(default_factory=CollectorRegistry)
    outcomes: Counter = field(init=False)
    request_latency: Histogram = field(init=False)
    grants: Counter = field(init=False)
    refusals: Counter = field(init=False)
    waiting_tickets: Gauge = field(init=False)
    open_slots: Gauge = field(init=False)
    table_calls: Counter = field(init=False)
    inner_messages: Counter = field(init=False)
    refused_connections: Counter = field(init=False)
    configuration_generation: Gauge = field(init=False)

    def __post_init__(self) -> None:
        self.outcomes = self._counter(
            "cornelturn_outcomes", "Requests by outcome", ["queue", "outcome"]
        )
        self.request_latency = Histogram(
            "cornelturn_request_seconds",
            "Time from request to answer",
            ["queue"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.grants = self._counter(
            "cornelturn_grants", "Grants by pool and reason", ["pool", "reason"]
        )
        self.refusals = self._counter(
            "cornelturn_refusals", "Refusals by pool and reason", ["pool", "reason"]
        )
        self.waiting_tickets = self._gauge(
            "cornelturn_waiting_tickets", "Tickets waiting", ["pool"]
        )
        self.open_slots = self._gauge("cornelturn_open_slots", "Open slots", ["pool"])
        self.table_calls = self._counter(
            "cornelturn_table_calls", "Calls of the table service", ["call", "result"]
        )
        self.inner_messages = self._counter(
            "cornelturn_inner_messages", "Inner messages", ["direction"]
        )
        self.refused_connections = self._counter(
            "cornelturn_refused_connections",
            "Requests refused and connections closed, by cause",
            ["cause"],
        )
        self.configuration_generation = self._gauge(
            "cornelturn_configuration_generation", "Generation in force", []
        )

    def _counter(self, name: str, help_text: str, labels: list[str]) -> Counter:
        return Counter(name, help_text, labels, registry=self.registry)

    def _gauge(self, name: str, help_text: str, labels: list[str]) -> Gauge:
        return Gauge(name, help_text, labels, registry=self.registry)
