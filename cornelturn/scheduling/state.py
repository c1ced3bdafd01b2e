"""What the owner of a pool knows, and the changes that several decisions share."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from cornelturn.clock import to_seconds
from cornelturn.events.job_metrics import JobMetrics
from cornelturn.events.log import log_event
from cornelturn.jobs.model import Resources, Run, StepId, TaskId
from cornelturn.placement.index import FreeCapacity, FreeCapacityIndex
from cornelturn.scheduling.views import JobView, RunState, RunView, TargetView
from cornelturn.scheduling.waiting import WaitingDemand, WaitingSteps
from cornelturn.targets.model import Order, StopOrder, TargetLife

FAILURES_TO_AVOID = 3
"""Failed runs in a row, of several jobs, after which a target is avoided."""

AVOID_DURATION_MS = 6_000
"""How long a target is avoided; as long as usual disturbances last."""

MAX_AVOIDED_SHARE = 1 / 3
"""Share of the targets that may go without work for their failures."""

OTHER_TARGET_WAIT_MS = 2_000
"""How long a task waits for another target than the one it failed on: less than a
job may stand still while there is room."""

MAX_FINISHED_JOBS = 50_000
"""Jobs that are over and remembered: far more than end within the history that the
store shows."""


@dataclass(frozen=True, slots=True)
class TargetOrder:
    """An order for a target."""

    life: TargetLife
    order: Order


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
        Unix time less the owner's clock.
    finished : dict
        Version of the row of each job that is over; the history of the store also
        shows the versions before.
    rooms : FreeCapacityIndex
        Free room of the targets that take work.
    runs : dict
        Where the runs of each job are, those of unknown jobs included.
    waiting : WaitingSteps
        Order of the waiting steps, as of the last plan.
    changed : set
        Jobs of which other tasks wait, or in another place, since the last plan.
    uncounted : set
        Jobs of which other tasks wait since the demand was last counted.
    demand, held_back : WaitingDemand
        What waiting tasks would take, and those of blocked jobs among them.
    unwritten : dict
        Jobs that may have changes to write, in the order of these changes.
    recurring : dict
        Occurrences that have been opened of each job with a recurrence.
    bound : set
        Jobs with steps that last or are bound to labels or racks.
    ended : set of TargetLife
        Targets with ends that they may not forget yet, or have not been told to.
    reported : dict
        Targets with a new report since the last plan, in the order of the reports.
    gone : list of TargetLife
        Lives that have ended since the last call of `take_gone`.
    avoided, avoided_ms : int
        How many targets are avoided, and when they were counted.
    is_all_known : bool
        Whether the rows of all jobs have been read of which an earlier owner may have
        started tasks.
    """

    pool: str
    generation: int
    targets: dict[TargetLife, TargetView] = field(default_factory=dict)
    jobs: dict[str, JobView] = field(default_factory=dict)
    orders: list[TargetOrder] = field(default_factory=list)
    retries: list[tuple[int, TargetLife, Run]] = field(default_factory=list)
    finished_versions: dict[str, int] = field(default_factory=dict)
    unix_offset_ms: int = 0
    metrics: JobMetrics = field(default_factory=JobMetrics)
    rooms: FreeCapacityIndex = field(default_factory=FreeCapacityIndex)
    placed_runs: dict[str, set[PlacedRun]] = field(default_factory=dict)
    waiting_steps: WaitingSteps = field(default_factory=WaitingSteps)
    changed_jobs: set[str] = field(default_factory=set)
    uncounted_jobs: set[str] = field(default_factory=set)
    demand: WaitingDemand = field(default_factory=WaitingDemand)
    blocked_demand: WaitingDemand = field(default_factory=WaitingDemand)
    unwritten_jobs: dict[str, None] = field(default_factory=dict)
    opened_occurrences: dict[str, int] = field(default_factory=dict)
    constrained_jobs: set[str] = field(default_factory=set)
    targets_with_ends: set[TargetLife] = field(default_factory=set)
    reported_targets: dict[TargetLife, None] = field(default_factory=dict)
    ended_lives: list[TargetLife] = field(default_factory=list)
    avoided_count: int = 0
    avoided_counted_ms: int = -1
    is_loaded: bool = False
    has_read_all_jobs: bool = False
    is_fenced: bool = False

    def end_life(self, life: TargetLife, reason: str, now_ms: int) -> None:
        """Forget a life of a target that runs nothing any more."""
        view = self.targets.pop(life, None)
        if view is None:
            return
        self.ended_lives.append(life)
        view.is_listed = False
        self.update_room(view)
        log_event(
            "target_gone",
            pool=self.pool,
            target=life.name,
            reason=reason,
            runs=len(view.runs),
        )
        for run in list(view.runs):
            self.release_run(view, run, now_ms)

    def mark_changed(self, job: JobView) -> None:
        """Note that other tasks of a job wait, or in another place."""
        self.changed_jobs.add(job.spec.id)
        self.uncounted_jobs.add(job.spec.id)

    def mark_unwritten(self, job: JobView) -> None:
        """Note that the row of a job may lack a change."""
        if job.changes > job.written_changes:
            self.unwritten_jobs[job.spec.id] = None

    def index_job(self, job: JobView) -> None:
        """Note what is rare about a new job."""
        if job.spec.recurrence is not None:
            self.opened_occurrences[job.spec.id] = 0
        if any(
            step.is_lasting or step.required_label or step.near_rack
            for step in job.spec.steps
        ):
            self.constrained_jobs.add(job.spec.id)

    def take_ended_lives(self) -> list[TargetLife]:
        """Return the lives that have ended since the last call."""
        ended, self.ended_lives = self.ended_lives, []
        return [life for life in ended if life not in self.targets]

    def is_startable(self, job: JobView, task: TaskId) -> bool:
        """Return whether a task is to be started."""
        return not job.is_final() and self.is_unplaced(job, task)

    def is_unplaced(self, job: JobView, task: TaskId) -> bool:
        """Return whether a task is not done and runs nowhere."""
        return not job.progress.is_done(task) and not job.task(task).placements

    def task_need(self, job: JobView, task: TaskId) -> Resources:
        """Return what a task of a job takes of a target."""
        return job.spec.steps[task.step].counted_need()

    def is_lasting_task(self, job: JobView, task: TaskId) -> bool:
        """Return whether a task of a job ends only when it is stopped."""
        return job.spec.steps[task.step].is_lasting

    def may_be_unread(self, job: str) -> bool:
        """Return whether an earlier owner may have started a job that is not known."""
        is_known = job in self.jobs or job in self.finished_versions
        return not self.has_read_all_jobs and not is_known

    def has_runs(self, job: str) -> bool:
        """Return whether a target has or may have a run of a job."""
        return job in self.placed_runs

    def place_run(self, view: TargetView, run_view: RunView) -> None:
        """Take room of a target for a run."""
        view.add_run(run_view)
        placed = PlacedRun(run_view.run, view.life)
        self.placed_runs.setdefault(run_view.run.task.job, set()).add(placed)
        self.update_room(view)

    def remove_run(self, view: TargetView, run: Run) -> RunView | None:
        """Give back the room of a run."""
        run_view = view.remove_run(run)
        if run_view is None:
            return None
        runs = self.placed_runs[run.task.job]
        runs.discard(PlacedRun(run, view.life))
        if not runs:
            del self.placed_runs[run.task.job]
        self.update_room(view)
        return run_view

    def update_room(self, view: TargetView) -> None:
        """Note the room of a target, or that it takes no work."""
        if view.is_schedulable():
            self.rooms.put(FreeCapacity(view.life, view.listed.labels, view.free()))
        else:
            self.rooms.discard(view.life)

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
        """Give back the room of a run; its task waits again if it is not done."""
        run_view = self.remove_run(view, run)
        job = self.jobs.get(run.task.job)
        if job is None:
            return
        task = job.task(run.task)
        if run_view is not None and run_view.checkpoint and not task.checkpoint:
            task.checkpoint = run_view.checkpoint
        task.placements.pop(run, None)
        self.enqueue_task(job, run.task)
        if job.is_final():
            self.forget_if_finished(job, now_ms)

    def enqueue_task(self, job: JobView, task: TaskId) -> None:
        """Let a task wait for its start if it is to be started."""
        step_id = task.step_id()
        if step_id in job.opened_steps and self.is_startable(job, task):
            job.waiting_tasks.setdefault(step_id, set()).add(task.index)
            self.mark_changed(job)

    def dequeue_task(self, job: JobView, task: TaskId) -> None:
        """Take a task off the list of those that wait."""
        indices = job.waiting_tasks.get(task.step_id())
        if indices is not None:
            self.mark_changed(job)
            indices.discard(task.index)
            if not indices:
                del job.waiting_tasks[task.step_id()]

    def refresh_job(self, job: JobView, now_ms: int) -> None:
        """Open steps, and end what a final job still has."""
        self.mark_changed(job)
        if job.is_final():
            job.waiting_tasks.clear()
            self.stop_job_runs(job)
            self.forget_if_finished(job, now_ms)
            return
        for occurrence in range(self.count_due_occurrences(job, now_ms)):
            for number, step in enumerate(job.spec.steps):
                step_id = StepId(job.spec.id, occurrence, number)
                if step_id in job.opened_steps:
                    continue
                if not job.progress.is_step_ready(job.spec, occurrence, number):
                    continue
                job.opened_steps.add(step_id)
                job.times.note_step_opened(step_id, now_ms)
                missing = {
                    index
                    for index in range(step.count)
                    if self.is_unplaced(job, step_id.task(index))
                }
                if missing:
                    job.waiting_tasks[step_id] = missing

    def count_due_occurrences(self, job: JobView, now_ms: int) -> int:
        """Return how many occurrences of a job are due."""
        recurrence = job.spec.recurrence
        if recurrence is None:
            return 1
        elapsed_ms = now_ms + self.unix_offset_ms - recurrence.first_due_ms
        if elapsed_ms < 0:
            return 0
        if recurrence.interval_ms <= 0:
            return recurrence.count
        return min(recurrence.count, elapsed_ms // recurrence.interval_ms + 1)

    def stop_job_runs(self, job: JobView) -> None:
        """Stop all runs of a job."""
        for task in job.tasks.values():
            for run, life in list(task.placements.items()):
                view = self.targets.get(life)
                run_view = view.runs.get(run) if view is not None else None
                if run_view is not None and run_view.state is not RunState.STOPPING:
                    self.stop_run(view, run_view, "job_final")

    def forget_if_finished(self, job: JobView, now_ms: int) -> None:
        """Forget a job that is final, written and has no runs."""
        if job.changes > job.written_changes or self.has_runs(job.spec.id):
            return
        self.remember_finished(job.spec.id, job.version)
        self.mark_changed(job)
        self.opened_occurrences.pop(job.spec.id, None)
        self.constrained_jobs.discard(job.spec.id)
        if self.jobs.pop(job.spec.id, None) is not None:
            self._log_final(job, now_ms)

    def _log_final(self, job: JobView, now_ms: int) -> None:
        state = job.progress.state(job.spec)
        after_ms = now_ms - job.arrived_ms
        parts = job.times.parts(now_ms)
        waits_ms = job.times.step_waits_ms.values()
        self.metrics.jobs.labels(job.spec.queue, state).observe(to_seconds(after_ms))
        self.metrics.job_over(self.pool, parts.consecutive_ms(), waits_ms)
        log_event(
            "job_final",
            job=job.spec.id,
            queue=job.spec.queue,
            state=state,
            after_ms=after_ms,
            order_ms=parts.order_ms,
            answer_ms=parts.answer_ms,
            run_ms=parts.run_ms,
            write_ms=parts.write_ms,
            steps_wait_ms=parts.steps_wait_ms,
            longest_wait_ms=parts.longest_wait_ms,
        )

    def remember_finished(self, job: str, version: int) -> None:
        """Remember the last version of a job that is over."""
        self.finished_versions[job] = version
        if len(self.finished_versions) > MAX_FINISHED_JOBS:
            del self.finished_versions[next(iter(self.finished_versions))]

    def record_failure(self, view: TargetView, task: TaskId, now_ms: int) -> None:
        """Note that a task failed on a target; jobs in a row let it be avoided."""
        job = self.jobs.get(task.job)
        if job is not None:
            job.task(task).failed_on[view.life.name] = now_ms
        view.failed_jobs.add(task.job)
        failures = len(view.failed_jobs)
        if failures >= FAILURES_TO_AVOID:
            view.avoided_until_ms = now_ms + AVOID_DURATION_MS
            log_event("target_avoided", target=view.life.name, failures=failures)

    def is_avoided(
        self, job: JobView, task: TaskId, view: TargetView, now_ms: int
    ) -> bool:
        """Return whether other targets are preferred for a task."""
        failed_on = job.task(task).failed_on
        return view.avoided_until_ms > now_ms or view.life.name in failed_on

    def is_deferred(
        self, job: JobView, task: TaskId, view: TargetView, now_ms: int
    ) -> bool:
        """Return whether a task waits for other targets than an avoided one.

        Tasks that few targets may run take what there is.
        """
        step = job.spec.steps[task.step]
        if step.is_lasting or step.is_gang:
            return False
        if step.required_label or step.max_per_target:
            return False
        if view.avoided_until_ms > now_ms and self.may_avoid(now_ms):
            return True
        failed_on = job.task(task).failed_on
        failed_ms = failed_on.get(view.life.name)
        if failed_ms is None or now_ms - failed_ms >= OTHER_TARGET_WAIT_MS:
            return False
        return any(life.name not in failed_on for life in self.rooms.keys)

    def may_avoid(self, now_ms: int) -> bool:
        """Return whether the pool can do without the targets that are avoided."""
        if now_ms != self.avoided_counted_ms:
            self.avoided_counted_ms, self.avoided_count = (
                now_ms,
                self.count_avoided(now_ms),
            )
        return self.avoided_count <= len(self.rooms.keys) * MAX_AVOIDED_SHARE

    def count_avoided(self, now_ms: int) -> int:
        """Return how many targets that take work are avoided."""
        return sum(
            view.avoided_until_ms > now_ms and view.is_schedulable()
            for view in self.targets.values()
        )


def run_name(run: Run) -> str:
    """Return how a run is named in logs."""
    return f"{run.task}#{run.number}"
