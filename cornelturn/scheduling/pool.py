"""Scheduling decisions of the owner of a pool, without sockets.

Events come in with their time, and orders go out as data. The owner keeps account of
the capacity of its targets, since targets do not enforce their own capacity.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from dataclasses import dataclass, field

from cornelturn.events.log import log_event, log_warning
from cornelturn.interference.controller import PacingBounds
from cornelturn.jobs.progress import StepKey
from cornelturn.jobs.rows import JobRow
from cornelturn.model.routes import JobQueue, RoutingTable
from cornelturn.peering.messages import OpenRuns, PoolLoad
from cornelturn.preemption.decision import NO_PREEMPTION, PreemptionSettings
from cornelturn.preemption.pool_preemption import PoolPreemption
from cornelturn.scheduling.acknowledgement import AcknowledgedEnds, EndAcknowledgement
from cornelturn.scheduling.adoption import RunAdoption
from cornelturn.scheduling.approvals import PoolApprovals
from cornelturn.scheduling.evacuation import Evacuation
from cornelturn.scheduling.filling_targets import FillingTargets
from cornelturn.scheduling.load_account import LoadAccount
from cornelturn.scheduling.pacing import PoolPacing
from cornelturn.scheduling.planner import Planner
from cornelturn.scheduling.queues import QueueUpdates
from cornelturn.scheduling.quota_demand import QuotaDemand
from cornelturn.scheduling.reading import ReportReader
from cornelturn.scheduling.row_writing import JobWrite, RowWriting
from cornelturn.scheduling.state import PoolState, TargetOrder, run_name
from cornelturn.scheduling.target_lives import end_life, update_lives
from cornelturn.scheduling.target_view import Contact, RunState, TargetView
from cornelturn.scheduling.views import JobView
from cornelturn.speed.pool_copies import PoolCopies
from cornelturn.targets.model import (
    ListedTarget,
    Order,
    OrderResult,
    PaceOrder,
    TargetLife,
    TargetReport,
)


@dataclass(slots=True)
class PoolScheduler(PoolState):
    """The scheduler of one pool: events change its state, plans give orders."""

    early_reports: dict[TargetLife, tuple[TargetReport, int]] = field(
        default_factory=dict
    )
    pacing_bounds: PacingBounds = field(default_factory=PacingBounds)
    preemption_settings: PreemptionSettings = NO_PREEMPTION
    adoption: RunAdoption = field(init=False)
    reader: ReportReader = field(init=False)
    planner: Planner = field(init=False)
    preemption: PoolPreemption = field(init=False)
    copies: PoolCopies = field(init=False)
    evacuation: Evacuation = field(init=False)
    queues: QueueUpdates = field(init=False)
    quota_demand: QuotaDemand = field(init=False)
    rows: RowWriting = field(init=False)
    approvals: PoolApprovals = field(init=False)
    pacing: PoolPacing = field(init=False)
    ends: EndAcknowledgement = field(init=False)
    load: LoadAccount = field(init=False)

    def __post_init__(self) -> None:
        PoolState.__post_init__(self)
        self.pacing = PoolPacing(self, self.pacing_bounds)
        self.planner = Planner(self, FillingTargets(self, self.pacing.placement_cost))
        self.preemption = PoolPreemption(self, self.planner, self.preemption_settings)
        self.copies = PoolCopies(self, self.planner)
        self.adoption = RunAdoption(self, self.copies)
        self.reader = ReportReader(self, self.copies, self.adoption)
        self.evacuation = Evacuation(self)
        self.queues = QueueUpdates(self)
        self.quota_demand = QuotaDemand(self)
        self.quota.generation, self.quota.usage = self.generation, self.usage
        self.waiting_steps.refused.quota = self.quota
        self.rows = RowWriting(self)
        self.waiting_steps.advice = self.advice
        self.approvals = PoolApprovals(self)
        self.ends = EndAcknowledgement(self, self.copies)
        self.load = LoadAccount(self, self.quota_demand, self.queues)

    def update_targets(self, listed: Collection[ListedTarget], now_ms: int) -> None:
        """Update the targets of the pool from the list."""
        update_lives(self, listed, now_ms)

    def end_life(
        self,
        life: TargetLife,
        reason: str,
        now_ms: int,
        successor: TargetLife | None = None,
    ) -> None:
        """Remove an ended life of a target; release its runs, or move them."""
        end_life(self, life, reason, now_ms, successor)

    def contact_lost(self, life: TargetLife, lapsed_ms: int) -> None:
        """Record that a target does not answer."""
        view = self.targets.get(life)
        if view is None:
            return
        view.lapsed_ms = max(lapsed_ms, view.inherited_lease_ms)
        if view.contact is not Contact.SILENT:
            view.contact = Contact.SILENT
            self.update_free_capacity(view)
            log_warning(
                "target_silent",
                pool=self.pool,
                target=life.name,
                generation=self.generation,
                runs=len(view.runs),
                lapsed_unix_ms=view.lapsed_ms + self.unix_offset_ms,
            )

    def set_recorded(self, lives: Collection[TargetLife]) -> None:
        """Set which targets are in the row of the pool."""
        for life, view in self.targets.items():
            is_recorded = life in lives
            if view.is_recorded is not is_recorded:
                view.is_recorded = is_recorded
                self.update_free_capacity(view)

    def set_cordoned(self, names: Collection[str]) -> None:
        """Cordon some targets, and no others."""
        for view in self.targets.values():
            is_cordoned = view.life.name in names
            if view.is_cordoned is not is_cordoned:
                view.is_cordoned = is_cordoned
                self.update_free_capacity(view)

    def lapsed_lives(
        self, lives: Collection[TargetLife], now_ms: int
    ) -> list[TargetLife]:
        """Return the silent targets among some whose leases have lapsed."""
        views = (self.targets[life] for life in lives if life in self.targets)
        return [view.life for view in views if view.has_lapsed(now_ms)]

    def release_lapsed(self, now_ms: int) -> None:
        """Release the runs of silent targets whose leases have lapsed."""
        for life, view in list(self.targets.items()):
            if not view.has_lapsed(now_ms):
                continue
            if not view.is_listed:
                self.end_life(life, "lapsed", now_ms)
                continue
            for run in list(view.runs):
                log_event("run_lapsed", run=run_name(run), target=life.name)
                self.release_run(view, run, now_ms)

    def update_routing(self, routing: RoutingTable, now_ms: int) -> None:
        """Take up what a new configuration says about the queues of the jobs."""
        if routing is not self.queues.routing:
            self.quota_demand.update_routing(routing)
        self.queues.update_routing(routing, now_ms)
        if self.fairness.update_organisations(routing.organisations):
            for view in self.targets.values():
                self.update_free_capacity(view)
            self.uncounted_jobs.update(self.jobs)

    def add_job(
        self,
        key: str,
        row: JobRow,
        version: int,
        queue: JobQueue | None,
        now_ms: int,
        may_have_run: bool = False,
        waited_ms: int = 0,
    ) -> None:
        """Add a job from its row, or merge a row that another entry changed.

        Parameters
        ----------
        queue : JobQueue or None
            Its queue in the configuration; None if that lacks it.
        may_have_run : bool
            Whether undetected runs of an earlier owner may still be active.
        waited_ms : int
            Time since its caller was first refused.
        """
        if row.generation > self.generation:
            log_warning("superseded_by_row", pool=self.pool, job=row.spec.id)
            self.is_fenced = True
            return
        spec = row.spec
        self.neighbours.note_steps(spec.steps)
        job = self.jobs.get(spec.id)
        changed: set[StepKey] = set()
        if job is None:
            if self._is_finished(key, row, version, now_ms):
                return
            job = self._new_job(key, row, version, queue, now_ms)
            job.is_blocked = may_have_run
            job.waited_ms = waited_ms
            changed = self._schedule_new_job(job, now_ms)
        elif version > job.version:
            job.version = version
            changed = job.merge_progress(row.progress)
            self.queues.update_job(job, row.queue, now_ms)
        self.queues.fail_if_used_up(job)
        self.refresh_job(job, now_ms, changed)

    def _is_finished(self, key: str, row: JobRow, version: int, now_ms: int) -> bool:
        """Return whether a job needs no scheduling; remember one that is final."""
        job_id = row.spec.id
        if version <= self.finished.version(job_id):
            return True
        if not row.progress.state(row.spec).is_final() or self.has_runs(job_id):
            return False
        self.early_ends.pop(job_id, None)
        self.finished.add(key, job_id, version, now_ms)
        return True

    def _schedule_new_job(self, job: JobView, now_ms: int) -> set[StepKey]:
        """Schedule a job with what targets reported of it before its row was read.

        Return the steps with progress or a run.
        """
        job_id = job.spec.id
        self.jobs[job_id] = job
        self.fairness.add_job(job)
        self.index_job(job)
        self.reader.read_early_ends(job, now_ms)
        self.adoption.adopt_early(job)
        return job.progress.step_keys() | {
            (run.task.occurrence, run.task.step)
            for run, _ in self.placed_runs.get(job_id, ())
        }

    def _new_job(
        self,
        key: str,
        row: JobRow,
        version: int,
        configured: JobQueue | None,
        now_ms: int,
    ) -> JobView:
        job = JobView(
            key,
            row.spec,
            row.progress,
            version,
            None,
            now_ms,
            store_limits=self.store_limits,
        )
        known = self.queues.find(row.queue, configured)
        if known is None:
            self.queues.log_unknown(job)
        else:
            job.queue, job.queue_version = known.queue, known.version
        return job

    def mark_loaded(self, now_ms: int) -> None:
        """Record that rows have been read, and process earlier reports."""
        self.is_loaded = True
        reports, self.early_reports = self.early_reports, {}
        for report, sent_ms in reports.values():
            self.handle_report(report, sent_ms, now_ms)

    def mark_all_jobs_read(self) -> None:
        """Record that all jobs have been read that an earlier owner may have started.

        Runs of other jobs are stopped.
        """
        self.has_read_all_jobs = True
        self.early_ends.clear()
        for view in self.targets.values():
            for run_view in list(view.runs.values()):
                is_known = run_view.run.task.job in self.jobs
                if not is_known and run_view.state is not RunState.STOPPING:
                    self.stop_run(view, run_view, "stray")

    def unblock_jobs(self, hidden: Collection[str] = ()) -> None:
        """Unblock all jobs but those that may still have undetected runs."""
        for job in self.jobs.values():
            if job.is_blocked and job.spec.id not in hidden:
                job.is_blocked = False
                self.mark_changed(job)

    def dirty_jobs(self) -> list[JobView]:
        """Return the jobs with changes that are neither written nor in flight."""
        unwritten = [
            self.jobs[job_id] for job_id in self.unwritten_jobs if job_id in self.jobs
        ]
        dirty = [job for job in unwritten if job.is_dirty()]
        self.unwritten_jobs = {job.spec.id: None for job in dirty}
        return dirty

    def start_writes(self) -> list[JobWrite]:
        """Return the writes of all dirty jobs; each is then in flight."""
        return [self.rows.start_write(job) for job in self.dirty_jobs()]

    def finish_write(self, write: JobWrite, version: int, now_ms: int) -> None:
        """Record that a row was written, with the changes that it includes."""
        job = self.jobs.get(write.job)
        if job is None:
            return
        job.is_writing = False
        job.version = max(job.version, version)
        job.written_changes = max(job.written_changes, write.changes)
        self.mark_unwritten(job)
        if job.is_final():
            self.forget_if_finished(job, now_ms)

    def fail_write(
        self, write: JobWrite, row: JobRow | None, version: int, now_ms: int
    ) -> None:
        """Record that a write failed, and merge the row in the store, if known."""
        job = self.jobs.get(write.job)
        if job is None:
            return
        job.is_writing = False
        self.mark_unwritten(job)
        if row is not None:
            job.version = version
            changed = job.merge_progress(row.progress)
            self.queues.update_job(job, row.queue, now_ms)
            self.refresh_job(job, now_ms, changed)

    def handle_report(self, report: TargetReport, sent_ms: int, now_ms: int) -> None:
        """Process the active and ended runs that a target reports.

        Parameters
        ----------
        sent_ms : int
            When the report was requested.
        """
        view = self.targets.get(report.life)
        if view is None:
            return
        if view.contact is not Contact.REACHABLE:
            self._log_reachable(view, report, now_ms)
            view.contact = Contact.REACHABLE
            view.lapsed_ms = None
            self.update_free_capacity(view)
        if self.is_loaded:
            self.reader.read_report(view, report, sent_ms, now_ms)
            self.neighbours.note_change(report.life)
        else:
            self.early_reports[report.life] = (report, sent_ms)

    def _log_reachable(
        self, view: TargetView, report: TargetReport, now_ms: int
    ) -> None:
        lapsed_ms = view.lapsed_ms
        log_event(
            "target_reachable",
            pool=self.pool,
            target=view.life.name,
            generation=self.generation,
            runs=len(report.active),
            ends=len(report.ended),
            is_loaded=self.is_loaded,
            is_recorded=view.is_recorded,
            lapsed_for_ms=now_ms - lapsed_ms if lapsed_ms is not None else None,
        )

    def handle_order_result(
        self, life: TargetLife, order: Order, result: OrderResult, now_ms: int
    ) -> None:
        """Process the answer to an order."""
        self.reader.handle_order_result(life, order, result, now_ms)
        if isinstance(order, PaceOrder):
            self.pacing.handle_order_result(life, order, result, now_ms)
        self.neighbours.note_change(life)

    def plan(self, now_ms: int, max_starts: float = math.inf) -> list[TargetOrder]:
        """Return the orders that are due, with about as many starts as wanted.

        If `has_more_starts` holds afterwards, the next plan continues.
        """
        self.planner.is_cut &= self.is_loaded and not self.is_fenced
        if self.is_loaded and not self.is_fenced:
            self.evacuation.plan(now_ms)
            self.approvals.update_jobs()
            self.preemption.release_unused()
            self.planner.plan(now_ms, max_starts)
            self.preemption.plan(now_ms)
            self.copies.plan(now_ms)
            self.approvals.add_tickets(now_ms)
            self.pacing.plan(now_ms)
        orders, self.orders = self.orders, []
        return orders

    def has_more_starts(self) -> bool:
        """Return whether the last plan left out starts for their number."""
        return self.planner.is_cut

    def take_acknowledgements(self) -> list[AcknowledgedEnds]:
        """Return the last end that each target with unacknowledged ends may forget."""
        return self.ends.take_acknowledgements()

    def open_runs(self) -> tuple[OpenRuns, ...]:
        """Return the jobs with runs or unwritten ends by target, for a successor."""
        return self.ends.open_runs()

    def may_hide_runs(self, view: TargetView) -> bool:
        """Return whether a target has runs, or ends that are not written yet.

        Those that it reported before rows of jobs were read count as well.
        """
        report, _ = self.early_reports.get(view.life, (None, 0))
        has_early_runs = report is not None and bool(report.active or report.ended)
        return has_early_runs or self.ends.may_hide_runs(view)

    def may_have_restarted(self, view: TargetView) -> bool:
        """Return whether a later life of a target may have executed orders for it.

        The later life of a restarted target answers them too, so that only runs which
        a report lists are certain to be on this life.
        """
        return any(not run_view.is_reported for run_view in view.runs.values())

    def pool_load(self, cordon: int) -> PoolLoad:
        """Return the runs on each target and the resources that waiting tasks need.

        Parameters
        ----------
        cordon : int
            Number of the cordon request in force.
        """
        return self.load.pool_load(cordon)

    def update_demand(self) -> None:
        """Update the demand of the waiting tasks that any target may run."""
        self.load.update_demand()

    def pending_by_queue(self) -> dict[str, int]:
        """Return how many jobs of each queue wait for their first start."""
        return self.load.pending_by_queue()
