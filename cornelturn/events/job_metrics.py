"""Prometheus metrics of an entry that schedules jobs.

Labels are names from the configuration or fixed names, which bounds the number of
series.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from cornelturn.capacity.metrics import PeakMetrics
from cornelturn.clock import to_seconds
from cornelturn.interference.metrics import InterferenceMetrics
from cornelturn.preemption.metrics import PreemptionMetrics
from cornelturn.quota.metrics import QuotaMetrics
from cornelturn.speed.metrics import SpeedMetrics

LATENCY_BUCKETS_S = (0.001, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 5, 10, 30, 60)


@dataclass(slots=True)
class JobMetrics:
    """Counters and histograms of jobs, runs, duties, machines and the process."""

    registry: CollectorRegistry = field(default_factory=CollectorRegistry)
    submits: Counter = field(init=False)
    submit_latency: Histogram = field(init=False)
    refused_keys: Counter = field(init=False)
    refused_jobs: Counter = field(init=False)
    run_starts: Counter = field(init=False)
    run_ends: Counter = field(init=False)
    first_start_latency: Histogram = field(init=False)
    job_duration: Histogram = field(init=False)
    duties: Gauge = field(init=False)
    machine_orders: Counter = field(init=False)
    inner_messages: Counter = field(init=False)
    refused_connections: Counter = field(init=False)
    loop_lag: Histogram = field(init=False)
    owner_waits: Histogram = field(init=False)
    owner_work: Counter = field(init=False)
    order_latency: Histogram = field(init=False)
    write_latency: Histogram = field(init=False)
    row_deletions: Counter = field(init=False)
    job_part_duration: Histogram = field(init=False)
    step_waits: Histogram = field(init=False)
    process_work: Counter = field(init=False)
    organisation_share: Gauge = field(init=False)
    organisation_waiting: Gauge = field(init=False)
    quota: QuotaMetrics = field(init=False)
    speed: SpeedMetrics = field(init=False)
    peaks: PeakMetrics = field(init=False)
    preemption: PreemptionMetrics = field(init=False)
    rows_too_large: Counter = field(init=False)
    jobs_set_aside: Counter = field(init=False)
    interference: InterferenceMetrics = field(init=False)

    def __post_init__(self) -> None:
        self._create_submission_metrics()
        self._create_entry_metrics()
        self._create_owner_metrics()
        self._create_organisation_metrics()
        self.quota = QuotaMetrics(self.registry)
        self.interference = InterferenceMetrics(self.registry)
        self.speed = SpeedMetrics(self.registry)
        self.peaks = PeakMetrics(self.registry)
        self.preemption = PreemptionMetrics(self.registry)

    def record_submit(self, queue: str, outcome: str, duration_ms: int) -> None:
        """Record a submitted job and the time until its answer."""
        self.submits.labels(queue, outcome).inc()
        self.submit_latency.labels(queue).observe(to_seconds(duration_ms))

    def record_start(self, pool: str, is_first: bool, waited_ms: int) -> None:
        """Record the start of a run and, for the first one of a job, its wait."""
        self.run_starts.labels(pool).inc()
        if is_first:
            self.first_start_latency.labels(pool).observe(to_seconds(waited_ms))

    def record_finished_job(
        self, pool: str, parts_ms: Mapping[str, int], waits_ms: Iterable[int]
    ) -> None:
        """Record the parts of a finished job's life, and the waits of its steps."""
        for name, part_ms in parts_ms.items():
            self.job_part_duration.labels(pool, name).observe(to_seconds(part_ms))
        for wait_ms in waits_ms:
            self.step_waits.labels(pool).observe(to_seconds(wait_ms))

    def record_order_answer(self, pool: str, duration_ms: int) -> None:
        """Record the time from a start order to its answer."""
        self.order_latency.labels(pool).observe(to_seconds(duration_ms))

    def record_organisation(
        self, pool: str, organisation: str, share: float, waiting_cores: float
    ) -> None:
        """Record what an organisation holds of a pool, and what it waits for."""
        self.organisation_share.labels(pool, organisation).set(share)
        self.organisation_waiting.labels(pool, organisation).set(waiting_cores)

    def remove_organisation(self, pool: str, organisation: str) -> None:
        """Remove the figures of an organisation in a pool."""
        self.organisation_share.remove(pool, organisation)
        self.organisation_waiting.remove(pool, organisation)

    def _create_submission_metrics(self) -> None:
        self.submits = self._counter(
            "cornelturn_submits", "Jobs handed in, by outcome", ["queue", "outcome"]
        )
        self.submit_latency = self._histogram(
            "cornelturn_submit_seconds", "Time from a job to its answer", ["queue"]
        )
        self.refused_keys = self._counter(
            "cornelturn_refused_keys", "Calls refused for their key", ["reason"]
        )
        self.refused_jobs = self._counter(
            "cornelturn_refused_jobs",
            "Jobs refused as they could not be served in time",
            ["queue", "organisation", "reason"],
        )
        self.run_starts = self._counter(
            "cornelturn_run_starts", "Runs ordered to start", ["pool"]
        )
        self.run_ends = self._counter(
            "cornelturn_run_ends", "Ends that targets listed, by kind", ["pool", "how"]
        )
        self.first_start_latency = self._histogram(
            "cornelturn_first_start_seconds",
            "Time from a job's arrival at the owner to its first start",
            ["pool"],
        )
        self.job_duration = self._histogram(
            "cornelturn_job_seconds",
            "Time from a job's arrival at the owner until it is over",
            ["queue", "state"],
        )

    def _create_entry_metrics(self) -> None:
        self.duties = Gauge(
            "cornelturn_duties", "Duties held by this entry", registry=self.registry
        )
        self.machine_orders = self._counter(
            "cornelturn_machine_orders", "Moves and upkeeps", ["order", "result"]
        )
        self.inner_messages = self._counter(
            "cornelturn_inner_messages", "Inner messages", ["direction"]
        )
        self.refused_connections = self._counter(
            "cornelturn_refused_connections",
            "Requests refused and connections closed, by cause",
            ["cause"],
        )
        self.loop_lag = self._histogram(
            "cornelturn_loop_lag_seconds", "How late timers of the process fire", []
        )
        self.process_work = self._counter(
            "cornelturn_process_work_seconds",
            "Time that the tasks of the process hold its loop, by part",
            ["part"],
        )

    def _create_owner_metrics(self) -> None:
        self.owner_waits = self._histogram(
            "cornelturn_owner_wait_seconds",
            "Time that a message waits in the mailbox of a pool's owner",
            ["pool"],
        )
        self.owner_work = self._counter(
            "cornelturn_owner_work_seconds",
            "Time that the owner of a pool spends, by part of its work",
            ["pool", "part"],
        )
        self.order_latency = self._histogram(
            "cornelturn_order_seconds",
            "Time from the order of a start to its answer",
            ["pool"],
        )
        self.write_latency = self._histogram(
            "cornelturn_write_seconds",
            "Time from the commit of a job's progress to its answer",
            ["pool"],
        )
        self.row_deletions = self._counter(
            "cornelturn_row_deletions",
            "Rows of finished jobs in calls that delete them, by outcome",
            ["pool", "outcome"],
        )
        self.job_part_duration = self._histogram(
            "cornelturn_job_part_seconds",
            "Time of each part of a job's life at its owner",
            ["pool", "part"],
        )
        self.step_waits = self._histogram(
            "cornelturn_step_wait_seconds",
            "Time from when a step is due to the first start of its last task",
            ["pool"],
        )
        self.jobs_set_aside = self._counter(
            "cornelturn_jobs_set_aside",
            "Jobs left out of the plans for some time after an unexpected error",
            ["pool"],
        )
        self.rows_too_large = self._counter(
            "cornelturn_rows_too_large",
            "Rows of jobs that were shortened to fit in the store, by what they lack",
            ["pool", "left_out"],
        )

    def _create_organisation_metrics(self) -> None:
        self.organisation_share = self._gauge(
            "cornelturn_organisation_share",
            "Dominant share of a pool that an organisation holds",
            ["pool", "organisation"],
        )
        self.organisation_waiting = self._gauge(
            "cornelturn_organisation_waiting_cores",
            "Cores that the waiting tasks of an organisation need",
            ["pool", "organisation"],
        )

    def _gauge(self, name: str, help_text: str, labels: list[str]) -> Gauge:
        return Gauge(name, help_text, labels, registry=self.registry)

    def _counter(self, name: str, help_text: str, labels: list[str]) -> Counter:
        return Counter(name, help_text, labels, registry=self.registry)

    def _histogram(self, name: str, help_text: str, labels: list[str]) -> Histogram:
        return Histogram(
            name, help_text, labels, registry=self.registry, buckets=LATENCY_BUCKETS_S
        )
