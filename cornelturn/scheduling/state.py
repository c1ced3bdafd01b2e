"""State of a pool at its owner, and the changes that several decisions share."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from cornelturn.admission.ended_work import EndedWork
from cornelturn.advice.knowledge import PoolAdvice
from cornelturn.events.job_metrics import JobMetrics
from cornelturn.events.log import log_event
from cornelturn.fairness.shares import FairShares
from cornelturn.fairness.sharing import FairSharing
from cornelturn.interference.neighbours import Neighbours
from cornelturn.jobs.model import Resources, Run, RunEnd, StepId, TaskId
from cornelturn.jobs.progress import StepKey
from cornelturn.placement.index import FreeCapacity, FreeCapacityIndex
from cornelturn.quota.allotment import QuotaGate
from cornelturn.racks.pool_racks import PoolRacks
from cornelturn.racks.run_times import RackRunTimes
from cornelturn.scheduling.avoidance import TargetAvoidance
from cornelturn.scheduling.final_jobs import log_final
from cornelturn.scheduling.finished_jobs import FinishedJobs
from cornelturn.scheduling.run_records import note_checkpoint
from cornelturn.scheduling.step_opening import (
    OPEN_AHEAD,
    count_due_occurrences,
    open_steps_after,
    open_steps_ahead,
)
from cornelturn.scheduling.target_view import RunState, RunView, TargetView
from cornelturn.scheduling.usage import OrganisationUsage
from cornelturn.scheduling.views import JobView
from cornelturn.scheduling.waiting import WaitingDemand, WaitingSteps
from cornelturn.speed.pool_speeds import PoolSpeeds
from cornelturn.store.limits import DEFAULT_LIMITS, StoreLimits
from cornelturn.targets.model import Order, StopOrder, TargetLife
from cornelturn.targets.session import LAPSE_MARGIN_MS, MIN_CLOCK_RATE

DEFAULT_MAX_LEASE_MS = 10_000
"""Longest lease that a target grants, unless the settings state another one."""


@dataclass(frozen=True, slots=True)
class TargetOrder:
    """An order for a target."""

    life: TargetLife
    order: Order


@dataclass(frozen=True, slots=True)
class EarlyEnd:
    """An end that was reported before the row of its job was read."""

    view: TargetView
    end: RunEnd


class PlacedRun(NamedTuple):
    """A run that a target has or may have."""

    run: Run
    life: TargetLife


@dataclass(slots=True)
class PoolState:
    """Targets, jobs and orders of one pool.

    Parameters
    ----------
    pool : str
        Name of the pool.
    generation : int
        Number of this ownership, from 1; also the fencing token.
    unix_offset_ms : int
        Unix time minus the time of the owner's clock.
    finished : FinishedJobs
        Finished jobs, whose rows may still be in the store.
    free_capacity : FreeCapacityIndex
        Free capacity of the targets that may get tasks.
    avoidance : TargetAvoidance
        Decides for which tasks other targets are preferred.
    placed_runs : dict
        Runs of each job and their targets, those of unknown jobs included.
    early_ends : dict
        Ends of each job whose row has not been read, in the order of the reports.
    waiting_steps : WaitingSteps
        Order of the waiting steps, as of the last plan.
    changed_jobs : set
        Jobs whose waiting tasks, or their order, have changed since the last plan.
    uncounted_jobs : set
        Jobs whose waiting tasks have changed since the demand was last counted.
    unreported_jobs : set
        Jobs that have changed since the backlog was last reported; empty without
        organisations.
    demand, blocked_demand : WaitingDemand
        Resources that all waiting tasks need, and those of blocked jobs among them.
    usage : OrganisationUsage
        Resources that the runs of each organisation hold.
    fairness : FairSharing
        Decides the order among organisations.
    quota : QuotaGate
        Decides what each organisation may start.
    speeds : PoolSpeeds
        Decides how slow targets are used.
    racks : PoolRacks
        Decides which work waits for a rack.
    advice : PoolAdvice
        What is known about the approval of targets for steps that need it.
    neighbours : Neighbours
        Targets with filling runs beside serving runs.
    ended_work : EndedWork
        Rate of the pool and errors of estimates, as ended tasks show them.
    unwritten_jobs : dict
        Jobs that may have changes to write, in the order of these changes.
    recurrent_jobs : set
        Jobs with a recurrence.
    open_ahead_count : int
        Number of due occurrences that are opened ahead of the starts.
    constrained_jobs : set
        Jobs with lasting steps, or steps that require a label or have a rack.
    targets_with_ends : set of TargetLife
        Targets with ends that have not been acknowledged.
    reported_targets : dict
        Targets with a new report since the last plan, in the order of the reports.
    ended_lives : list of TargetLife
        Lives that have ended since the last call of `take_ended_lives`.
    successors : dict
        Later life of each restarted target, by the ended life; the list may still show
        the ended one.
    max_lease_ms : int
        Longest lease that a target grants, whatever deadline it gets.
    store_limits : StoreLimits
        Largest rows and calls that the store accepts.
    is_loaded : bool
        Whether rows of jobs have been read, so that their tasks may start.
    is_fully_loaded : bool
        Whether the rows of all jobs have been read once, so that counts are complete.
    has_read_all_jobs : bool
        Whether the rows of all jobs have been read of which an earlier owner may have
        started tasks.
    is_fenced : bool
        Whether a target or a row has shown a later owner, so that nothing more is
        ordered.
    """

    pool: str
    generation: int
    targets: dict[TargetLife, TargetView] = field(default_factory=dict)
    jobs: dict[str, JobView] = field(default_factory=dict)
    orders: list[TargetOrder] = field(default_factory=list)
    retries: list[tuple[int, TargetLife, Run]] = field(default_factory=list)
    finished: FinishedJobs = field(default_factory=FinishedJobs)
    unix_offset_ms: int = 0
    metrics: JobMetrics = field(default_factory=JobMetrics)
    free_capacity: FreeCapacityIndex = field(default_factory=FreeCapacityIndex)
    avoidance: TargetAvoidance = field(init=False)
    placed_runs: dict[str, set[PlacedRun]] = field(default_factory=dict)
    early_ends: dict[str, list[EarlyEnd]] = field(default_factory=dict)
    waiting_steps: WaitingSteps = field(default_factory=WaitingSteps)
    changed_jobs: set[str] = field(default_factory=set)
    uncounted_jobs: set[str] = field(default_factory=set)
    unreported_jobs: set[str] = field(default_factory=set)
    demand: WaitingDemand = field(default_factory=WaitingDemand)
    blocked_demand: WaitingDemand = field(default_factory=WaitingDemand)
    usage: OrganisationUsage = field(default_factory=OrganisationUsage)
    fairness: FairSharing = field(init=False)
    quota: QuotaGate = field(default_factory=QuotaGate)
    speeds: PoolSpeeds = field(init=False)
    racks: PoolRacks = field(init=False)
    advice: PoolAdvice = field(default_factory=PoolAdvice)
    neighbours: Neighbours = field(default_factory=Neighbours)
    ended_work: EndedWork = field(default_factory=EndedWork)
    unwritten_jobs: dict[str, None] = field(default_factory=dict)
    recurrent_jobs: set[str] = field(default_factory=set)
    open_ahead_count: int = OPEN_AHEAD
    constrained_jobs: set[str] = field(default_factory=set)
    targets_with_ends: set[TargetLife] = field(default_factory=set)
    reported_targets: dict[TargetLife, None] = field(default_factory=dict)
    ended_lives: list[TargetLife] = field(default_factory=list)
    successors: dict[TargetLife, TargetLife] = field(default_factory=dict)
    max_lease_ms: int = DEFAULT_MAX_LEASE_MS
    store_limits: StoreLimits = DEFAULT_LIMITS
    is_loaded: bool = False
    is_fully_loaded: bool = False
    has_read_all_jobs: bool = False
    is_fenced: bool = False

    def __post_init__(self) -> None:
        self.avoidance = TargetAvoidance(self.targets, self.free_capacity)
        is_successor = self.generation > 1
        shares = FairShares(self.usage)
        self.fairness = FairSharing(self.pool, is_successor, shares, self.waiting_steps)
        self.speeds = PoolSpeeds(self.pool, self.generation, self.metrics.speed)
        self.racks = PoolRacks(
            self.targets,
            self.jobs,
            self.placed_runs,
            self.free_capacity,
            RackRunTimes(self.speeds),
        )

    def set_inherited_lease(self, view: TargetView, now_ms: int) -> None:
        """Record that a target may have just got the longest lease that it grants."""
        lease_ms = round(self.max_lease_ms / MIN_CLOCK_RATE) + LAPSE_MARGIN_MS
        view.inherited_lease_ms = now_ms + lease_ms

    def forget_inherited_leases(self, now_ms: int) -> bool:
        """Forget the inherited leases that have lapsed; return whether any has."""
        lapsed = [
            view
            for view in self.targets.values()
            if 0 < view.inherited_lease_ms <= now_ms
        ]
        for view in lapsed:
            view.inherited_lease_ms = 0
        return bool(lapsed)

    def mark_changed(self, job: JobView) -> None:
        """Mark that the waiting tasks of a job, or their order, have changed."""
        self.changed_jobs.add(job.spec.id)
        self.uncounted_jobs.add(job.spec.id)

    def mark_unwritten(self, job: JobView) -> None:
        """Mark that the row of a job may lack a change."""
        if job.changes > job.written_changes:
            self.unwritten_jobs[job.spec.id] = None

    def index_job(self, job: JobView) -> None:
        """Index a new job if it has a recurrence or placement constraints; few have."""
        if job.spec.recurrence is not None:
            self.recurrent_jobs.add(job.spec.id)
        if any(
            step.is_lasting or step.required_label or step.near_rack or step.is_one_rack
            for step in job.spec.steps
        ):
            self.constrained_jobs.add(job.spec.id)

    def take_ended_lives(self) -> list[TargetLife]:
        """Return the lives that have ended since the last call."""
        ended, self.ended_lives = self.ended_lives, []
        return [life for life in ended if life not in self.targets]

    def is_startable(self, job: JobView, task: TaskId) -> bool:
        """Return whether a task should be started."""
        return not job.is_final() and job.is_unplaced(task)

    def may_start(self, job: JobView, task: TaskId) -> bool:
        """Return whether a task should be started, and is known to have attempts."""
        return self.is_startable(job, task) and not job.awaits_queue(task)

    def task_need(self, job: JobView, task: TaskId) -> Resources:
        """Return the resources that a task of a job needs."""
        return job.spec.steps[task.step].counted_need()

    def is_lasting_task(self, job: JobView, task: TaskId) -> bool:
        """Return whether a task of a job ends only when it is stopped."""
        return job.spec.steps[task.step].is_lasting

    def may_be_unread(self, job: str) -> bool:
        """Return whether an earlier owner may have started a job that is not known."""
        is_known = job in self.jobs or job in self.finished
        return not self.has_read_all_jobs and not is_known

    def has_runs(self, job: str) -> bool:
        """Return whether a target has or may have a run of a job."""
        return job in self.placed_runs

    def place_run(self, view: TargetView, run_view: RunView) -> None:
        """Add a run to a target and reserve its capacity."""
        job = self.jobs.get(run_view.run.task.job)
        if job is not None:
            step = job.spec.steps[run_view.run.task.step]
            run_view.organisation = job.spec.organisation
            run_view.declared_need = step.need
            self.neighbours.add(view.life, run_view.run, step)
        view.add_run(run_view)
        self.usage.add(run_view.organisation, run_view.declared_need)
        placed = PlacedRun(run_view.run, view.life)
        self.placed_runs.setdefault(run_view.run.task.job, set()).add(placed)
        self.update_free_capacity(view)

    def remove_run(self, view: TargetView, run: Run) -> RunView | None:
        """Remove a run from a target and release its capacity."""
        run_view = view.remove_run(run)
        if run_view is None:
            return None
        self.neighbours.discard(view.life, run)
        self.usage.remove(run_view.organisation, run_view.declared_need)
        runs = self.placed_runs[run.task.job]
        runs.discard(PlacedRun(run, view.life))
        if not runs:
            del self.placed_runs[run.task.job]
        self.update_free_capacity(view)
        return run_view

    def update_free_capacity(self, view: TargetView) -> None:
        """Update a target in the index; remove it if it may get no tasks."""
        if view.is_schedulable():
            self.free_capacity.put(
                FreeCapacity(
                    view.life, view.listed.labels, view.free(), view.listed.rack
                )
            )
        else:
            self.free_capacity.discard(view.life)
        if self.fairness.organisations:
            self._count_capacity(view)

    def _count_capacity(self, view: TargetView) -> None:
        """Count the capacity of a target among that which organisations share."""
        capacity = self.fairness.shares.capacity
        if view.is_schedulable():
            capacity.put(view.life, view.listed.capacity)
        else:
            capacity.discard(view.life)

    def has_approval(
        self, job: JobView, step_id: StepId, life: TargetLife, now_ms: int
    ) -> bool:
        """Return whether a step may run on a target, as far as approvals go."""
        if not job.needs_approval():
            return True
        return bool(self.advice.ticket(step_id, life, now_ms))

    def stop_run(self, view: TargetView, run_view: RunView, reason: str) -> None:
        """Order a run to stop."""
        log_event(
            "run_stop",
            run=run_name(run_view.run),
            target=view.life.name,
            reason=reason,
        )
        run_view.state = RunState.STOPPING
        run_view.answered_ms = None
        self.orders.append(TargetOrder(view.life, StopOrder(run_view.run)))

    def release_run(self, view: TargetView, run: Run, now_ms: int) -> None:
        """Release the capacity of a run; its task waits again if it is not done."""
        run_view = self.remove_run(view, run)
        job = self.jobs.get(run.task.job)
        if job is None:
            return
        task = job.task(run.task)
        if run_view is not None:
            note_checkpoint(
                job, run, run_view.checkpoint, self.generation, has_ended=False
            )
        task.placements.pop(run, None)
        self.enqueue_task(job, run.task)
        if job.progress.is_done(run.task) and not task.placements:
            del job.tasks[run.task]
        if job.is_final():
            self.forget_if_finished(job, now_ms)

    def enqueue_task(self, job: JobView, task: TaskId) -> None:
        """Add a task to those that wait for their start, if it should be started."""
        if task.step_id() in job.opened_steps and self.may_start(job, task):
            job.waiting_tasks.add(task)
            self.mark_changed(job)

    def dequeue_task(self, job: JobView, task: TaskId) -> None:
        """Remove a task from those that wait for their start."""
        if task.step_id() in job.waiting_tasks:
            self.mark_changed(job)
        job.remove_waiting(task)

    def adopt_task(self, job: JobView, task: TaskId, now_ms: int) -> None:
        """Record that a task has a run that this owner did not start."""
        self.dequeue_task(job, task)
        open_steps_after(job, [(task.occurrence, task.step)], now_ms)

    def refresh_job(
        self, job: JobView, now_ms: int, changed: Iterable[StepKey] = ()
    ) -> None:
        """Open the steps that may start, or stop all runs of a final job.

        A step opens once its progress fits in the row of the job.

        Parameters
        ----------
        changed : iterable of StepKey
            Steps with new progress or a run.
        """
        self.mark_changed(job)
        job.progress.compact(job.spec, {occurrence for occurrence, _ in changed})
        if job.is_final():
            job.waiting_tasks.clear()
            job.opened_steps.is_closed = True
            self.stop_job_runs(job)
            self.forget_if_finished(job, now_ms)
            return
        job.row_room.release_steps(job.progress, changed)
        self.take_up_due(job, now_ms)
        open_steps_after(job, changed, now_ms)
        self.open_ahead(job, now_ms)

    def take_up_due(self, job: JobView, now_ms: int) -> bool:
        """Take up the occurrences that are due; return whether there are more."""
        if job.spec.recurrence is not None:
            job.first_due_ms = job.spec.recurrence.first_due_ms - self.unix_offset_ms
        due = count_due_occurrences(job, now_ms + self.unix_offset_ms)
        has_more = due > job.opened_steps.due
        job.opened_steps.due = due
        return has_more

    def open_ahead(self, job: JobView, now_ms: int) -> list[StepId]:
        """Open the steps of due occurrences that may start next, and return them."""
        return open_steps_ahead(job, now_ms, self.unix_offset_ms, self.open_ahead_count)

    def stop_job_runs(self, job: JobView) -> None:
        """Stop all runs of a job."""
        placed_runs = self.placed_runs.get(job.spec.id, ())
        for run, life in sorted(placed_runs, key=_placed_order):
            run_view = self.targets[life].runs[run]
            if run_view.state is not RunState.STOPPING:
                self.stop_run(self.targets[life], run_view, "job_final")

    def forget_if_finished(self, job: JobView, now_ms: int) -> None:
        """Forget a job that is final, written and has no runs."""
        if job.changes > job.written_changes or self.has_runs(job.spec.id):
            return
        self.finished.add(job.key, job.spec.id, job.version, now_ms)
        self.mark_changed(job)
        self.fairness.forget_job(job)
        self.recurrent_jobs.discard(job.spec.id)
        self.constrained_jobs.discard(job.spec.id)
        if self.jobs.pop(job.spec.id, None) is not None:
            log_final(self.pool, self.metrics, job, now_ms)


def _placed_order(placed: PlacedRun) -> tuple[TaskId, int]:
    return placed.run.task, placed.run.number


def run_name(run: Run) -> str:
    """Return the name of a run in log lines."""
    return f"{run.task}#{run.number}"
