"""Periodic reports on a pool: to other entries, to metrics and to the log."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from cornelturn.clock import to_seconds
from cornelturn.events.job_metrics import JobMetrics
from cornelturn.events.log import log_event
from cornelturn.events.work_times import WorkTimes
from cornelturn.jobs.model import CPU_UNITS_PER_CORE
from cornelturn.peering.messages import PoolCounts, PoolLoad, QueueCount
from cornelturn.scheduling.backlog_reporting import BacklogReporter
from cornelturn.scheduling.organisation_reporting import OrganisationReporter
from cornelturn.scheduling.pool import PoolScheduler

COUNTS_INTERVAL_MS = 500
"""Interval at which the counts of the queues are sent to all entries."""

LOAD_INTERVAL_MS = 200
"""Interval at which the load of the pool is sent to the owner of the machines; short
compared with the time that a move takes."""

WORK_TIMES_INTERVAL_MS = 1_000
"""Interval at which the owner logs its work times."""


@dataclass(slots=True)
class PoolReporter:
    """Sends or logs the figures of a pool, each kind at its interval.

    Parameters
    ----------
    publish : callable
        Sends a message to all entries that it concerns, this one included.
    work_times : WorkTimes
        Time that the owner spent on each part of its work; reset when it is logged.
    organisations : set of str
        Organisations whose figures the metrics have.
    figures_wanted : callable
        Returns whether somebody asks for the figures of organisations.
    has_paces : bool
        Whether the metrics have figures of filling work beside serving work.
    """

    scheduler: PoolScheduler
    publish: Callable[[PoolCounts | PoolLoad], None]
    metrics: JobMetrics
    work_times: WorkTimes
    figures_wanted: Callable[[], bool] = lambda: False
    counts_sent_ms: int = 0
    load_sent_ms: int = 0
    work_times_logged_ms: int = 0
    organisations: set[str] = field(default_factory=set)
    has_paces: bool = False
    backlog: BacklogReporter = field(init=False)
    organisation_figures: OrganisationReporter = field(init=False)

    def __post_init__(self) -> None:
        self.backlog = BacklogReporter(self.scheduler)
        self.organisation_figures = OrganisationReporter(
            self.scheduler, self.figures_wanted
        )

    def report_due(self, cordon: int, now_ms: int) -> None:
        """Send and log the figures that are due.

        Parameters
        ----------
        cordon : int
            Number of the cordon request in force.
        """
        if self.scheduler.is_fully_loaded:
            if now_ms - self.counts_sent_ms >= COUNTS_INTERVAL_MS:
                self.counts_sent_ms = now_ms
                self._send_counts(now_ms)
                self._record_organisations()
                self._record_paces()
            if now_ms - self.load_sent_ms >= LOAD_INTERVAL_MS:
                self.load_sent_ms = now_ms
                self.publish(self.scheduler.pool_load(cordon))
        if now_ms - self.work_times_logged_ms >= WORK_TIMES_INTERVAL_MS:
            self.work_times_logged_ms = now_ms
            self._log_work_times()

    def note_mailbox_wait(self, duration_ms: int) -> None:
        """Record how long a message waited in the owner's mailbox."""
        self.work_times.record_wait(duration_ms)
        waits = self.metrics.owner_waits.labels(self.scheduler.pool)
        waits.observe(to_seconds(duration_ms))

    def _send_counts(self, now_ms: int) -> None:
        pending = self.scheduler.pending_by_queue()
        counts = tuple(
            QueueCount(*queue_and_count) for queue_and_count in pending.items()
        )
        pool, generation = self.scheduler.pool, self.scheduler.generation
        backlog = self.backlog.report(now_ms)
        figures = self.organisation_figures.report_due(now_ms)
        self.publish(PoolCounts(pool, generation, counts, backlog, figures))

    def _record_organisations(self) -> None:
        """Set the metrics of the organisations; remove those of former ones."""
        scheduler = self.scheduler
        scheduler.update_demand()
        figures = scheduler.fairness.figures()
        for item in figures:
            self.metrics.record_organisation(
                scheduler.pool,
                item.organisation,
                item.share,
                item.waiting_cpu / CPU_UNITS_PER_CORE,
            )
        current = {item.organisation for item in figures}
        self._remove_organisations(self.organisations - current)
        self.organisations = current

    def _record_paces(self) -> None:
        """Set the metrics of targets with filling work beside serving work."""
        levels = self.scheduler.pacing.levels()
        if levels or self.has_paces:
            self.has_paces = True
            self.metrics.interference.record_targets(self.scheduler.pool, levels)

    def stop(self) -> None:
        """Remove the metrics that only the owner of the pool has."""
        if self.has_paces:
            self.metrics.interference.forget_pool(self.scheduler.pool)
            self.has_paces = False
        self._remove_organisations(self.organisations)
        self.organisations = set()
        self.metrics.speed.remove_pool(self.scheduler.pool)

    def _remove_organisations(self, organisations: set[str]) -> None:
        for organisation in organisations:
            self.metrics.remove_organisation(self.scheduler.pool, organisation)

    def _log_work_times(self) -> None:
        """Log and count the work times since the last log line."""
        work_times, pool = self.work_times, self.scheduler.pool
        for name, part in work_times.parts.items():
            self.metrics.owner_work.labels(pool, name).inc(part.spent_s)
        jobs = self.scheduler.jobs.values()
        views = self.scheduler.targets.values()
        log_event(
            "owner_work",
            pool=pool,
            messages=work_times.messages,
            steps=work_times.batches,
            waited_ms=work_times.longest_wait_ms,
            handle_ms=work_times.part("handle").spent_ms(),
            plan_ms=work_times.part("plan").spent_ms(),
            give_ms=work_times.part("give").spent_ms(),
            write_ms=work_times.part("write").spent_ms(),
            forget_ms=work_times.part("forget").spent_ms(),
            jobs=len(jobs),
            waiting=sum(job.count_waiting() for job in jobs),
            blocked=sum(job.count_waiting() for job in jobs if job.is_blocked),
            runs=sum(len(view.runs) for view in views),
            targets=len(views),
            open_targets=sum(view.is_schedulable() for view in views),
            free_cpu=sum(view.free().cpu for view in views if view.is_schedulable()),
        )
        work_times.reset()
