"""Reports of a pool's owner to the broker of the quota, and its grants."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from cornelturn.events.job_metrics import JobMetrics
from cornelturn.peering.quota_messages import OrganisationUse, QuotaGrant, QuotaReport
from cornelturn.quota.amounts import NOTHING, UNBOUNDED, Amount, amount_of
from cornelturn.scheduling.pool import PoolScheduler
from cornelturn.scheduling.takeover import Takeover

REPORT_INTERVAL_MS = 200
"""Interval of the reports while what they say changes."""

REFRESH_INTERVAL_MS = 1_000
"""Interval at which an unchanged report is repeated, as it may have been lost."""

URGENT_INTERVAL_MS = 20
"""Shortest interval of reports, also if an organisation waits for an allotment."""


@dataclass(slots=True)
class QuotaReporter:
    """Reports what organisations with a cap use in a pool.

    Parameters
    ----------
    send : callable
        Sends a report to the holder of the broker's duty.
    broker_generation : callable
        Returns the generation of the broker, as read since the pool was taken; 0 if
        that is not known.
    short : set of str
        Organisations of which the last report showed demand beyond the allotment.
    number : int
        Number of the last report that was sent.
    sent_ms : int or None
        When it was sent, None before the first one.
    checked_ms : int or None
        When a report was last made, whether or not it was sent.
    is_urgent : bool
        Whether a grant has lowered an allotment, which another pool may wait for.
    """

    scheduler: PoolScheduler
    takeover: Takeover
    send: Callable[[QuotaReport], None]
    broker_generation: Callable[[], int]
    metrics: JobMetrics
    number: int = 0
    sent_ms: int | None = None
    checked_ms: int | None = None
    metrics_ms: int = -REFRESH_INTERVAL_MS
    last: QuotaReport | None = None
    short: set[str] = field(default_factory=set)
    is_urgent: bool = False

    def accept(self, grant: QuotaGrant) -> None:
        """Take up a grant of the broker."""
        if self.scheduler.quota.accept(grant):
            self.is_urgent = True

    def update_unknown(self) -> None:
        """Set what may run besides what is known; due before each plan."""
        if self.scheduler.quota.caps:
            self.scheduler.quota.set_unknown(self._unknown())

    def report_due(self, now_ms: int) -> None:
        """Send a report if one is due; none without an organisation with a cap."""
        gate = self.scheduler.quota
        if not gate.caps:
            return
        if not self._is_due(now_ms):
            return
        is_other_broker = gate.set_broker(self.broker_generation())
        if not gate.broker_generation:
            return
        report = self._report()
        self.checked_ms = now_ms
        gate.refused_since_report.clear()
        is_unchanged = self.last is not None and _content(report) == _content(self.last)
        age_ms = now_ms - (self.sent_ms or 0)
        if is_unchanged and not is_other_broker and age_ms < REFRESH_INTERVAL_MS:
            return
        self.number = report.number
        self.last, self.sent_ms = report, now_ms
        self.is_urgent = False
        self.short = {
            use.organisation
            for use in report.uses
            if _is_short(use, gate.caps[use.organisation])
        }
        self.send(report)
        if now_ms - self.metrics_ms >= REFRESH_INTERVAL_MS:
            self.metrics_ms = now_ms
            self.metrics.quota.record_uses(report.pool, report.uses)

    def _is_due(self, now_ms: int) -> bool:
        if self.checked_ms is None:
            return True
        gate = self.scheduler.quota
        is_urgent = self.is_urgent or bool(gate.refused_since_report - self.short)
        interval_ms = URGENT_INTERVAL_MS if is_urgent else REPORT_INTERVAL_MS
        return now_ms - self.checked_ms >= interval_ms

    def _report(self) -> QuotaReport:
        scheduler, gate = self.scheduler, self.scheduler.quota
        scheduler.update_demand()
        return QuotaReport(
            scheduler.pool,
            scheduler.generation,
            gate.broker_generation,
            self.number + 1,
            gate.grant_number,
            gate.version,
            scheduler.has_read_all_jobs,
            gate.unknown,
            scheduler.quota_demand.uses(),
        )

    def _unknown(self) -> Amount:
        """Return the capacity of the targets whose runs are not known yet.

        A run of a job that has not been read counts as its whole target.
        """
        scheduler, unknown = self.scheduler, NOTHING
        if scheduler.has_read_all_jobs:
            return unknown
        for life, view in scheduler.targets.items():
            is_unknown = life in self.takeover.unreported or any(
                run.task.job not in scheduler.jobs for run in view.runs
            )
            if is_unknown:
                capacity = amount_of(view.listed.capacity)
                unknown = unknown.plus(UNBOUNDED if capacity == NOTHING else capacity)
        return unknown.lowest(UNBOUNDED)

    def close(self) -> None:
        """Remove the metrics of the pool, which another entry reports from now on."""
        self.metrics.quota.forget_pool(self.scheduler.pool)


def _content(report: QuotaReport) -> tuple[object, ...]:
    """Return what a report says, without its number."""
    return (
        report.grant_number,
        report.version,
        report.is_complete,
        report.unknown,
        report.uses,
    )


def _is_short(use: OrganisationUse, cap: Amount) -> bool:
    """Return whether an organisation has demand beyond its allotment."""
    wanted = use.running.plus(use.waiting).limited_by(cap)
    return use.is_outdated or not wanted.fits_in(use.allotment)
