"""Copies of the tasks of a pool: their starts, ends and stops at its owner."""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import islice

from cornelturn.events.log import log_event
from cornelturn.jobs.model import EndKind, Resources, Run, RunEnd, Step, TaskId
from cornelturn.placement.index import Preference
from cornelturn.scheduling.planner import Planner
from cornelturn.scheduling.start_keys import StartKey
from cornelturn.scheduling.state import PlacedRun, PoolState, run_name
from cornelturn.scheduling.target_view import RunState, RunView, TargetView
from cornelturn.scheduling.views import JobView
from cornelturn.speed.copies import (
    DEFAULT_COPY_SHARE,
    RunOutlook,
    allows_copies,
    is_copy,
    is_within_share,
    next_number,
)
from cornelturn.targets.model import TargetLife

MAX_EXAMINED_STEPS = 64
"""First steps of the start order that are searched for one that still waits; with more,
one is taken to wait."""


@dataclass(slots=True)
class PoolCopies:
    """Starts copies while nothing waits, and stops what a task no longer needs.

    Parameters
    ----------
    share : float
        Share of the capacity of the pool that copies may take, 0 for none.
    reported : dict
        Runs of steps that allow copies, listed as active since the last plan.
    copies : dict
        Copies that have or may have a run, by their task.
    unsettled : dict
        Runs of each job whose start may still be carried out after their task is done,
        until their stop is settled.
    """

    state: PoolState
    planner: Planner
    share: float = DEFAULT_COPY_SHARE
    reported: dict[Run, TargetLife] = field(default_factory=dict)
    copies: dict[TaskId, Run] = field(default_factory=dict)
    unsettled: dict[str, set[Run]] = field(default_factory=dict)

    def note_report(
        self, view: TargetView, run_view: RunView, job: JobView | None
    ) -> None:
        """Record that a run is active, so that the next plan may copy its task."""
        run = run_view.run
        if job is None or run_view.state is not RunState.ACTIVE:
            return
        step = job.spec.steps[run.task.step]
        if allows_copies(step) and not is_copy(step, run.number):
            self.reported[run] = view.life

    def may_adopt(self, job: JobView, run: Run) -> bool:
        """Return whether a run of an earlier owner goes on.

        That is the only run of its task, or one of a run and its copy.
        """
        task, step = run.task, job.spec.steps[run.task.step]
        if job.is_final() or job.progress.is_done(task):
            return False
        match tuple(job.task(task).placements):
            case ():
                return True
            case (other,) if allows_copies(step):
                return is_copy(step, other.number) is not is_copy(step, run.number)
            case _:
                return False

    def note_adopted(self, job: JobView, run: Run) -> None:
        """Record a run that this owner did not start, if it is a copy."""
        if is_copy(job.spec.steps[run.task.step], run.number):
            self.copies[run.task] = run

    def counts_failure(self, job: JobView, run: Run) -> bool:
        """Return whether the failure of a run uses up an attempt of its task.

        That of a copy does not: without it, the task would have had one run.
        """
        if not is_copy(job.spec.steps[run.task.step], run.number):
            return True
        self._count("failed")
        return False

    def settle_end(self, job: JobView, end: RunEnd) -> None:
        """Stop the other run of a task that is done."""
        step = job.spec.steps[end.run.task.step]
        if end.kind is not EndKind.DONE or not allows_copies(step):
            return
        for run, life in list(job.task(end.run.task).placements.items()):
            run_view = self.state.targets[life].runs.get(run)
            if run == end.run or run_view is None:
                continue
            is_stopping = run_view.state is RunState.STOPPING
            is_starting = run_view.state is RunState.STARTING
            if is_starting or is_stopping or run_view.is_in_doubt:
                self.unsettled.setdefault(job.spec.id, set()).add(run)
            if not is_stopping:
                self._count("lost" if is_copy(step, run.number) else "won")
                self.state.stop_run(self.state.targets[life], run_view, "copy_done")

    def holds_back(self, job: str) -> bool:
        """Return whether ends of a job must not be acknowledged yet.

        A start in flight may begin a run until its stop is answered. The task must not
        count as acknowledged by then, as no run of such a task may begin.
        """
        runs = self.unsettled.get(job)
        if runs is None:
            return False
        runs.intersection_update(
            placed.run
            for placed in self.state.placed_runs.get(job, ())
            if not self._is_barred(placed)
        )
        if not runs:
            del self.unsettled[job]
        return bool(runs)

    def _is_barred(self, placed: PlacedRun) -> bool:
        """Return whether a target refuses the start of a run, as it has stopped it.

        A report need not show that: a target with many ends lists the last of them,
        and is known to list all its runs, only after acknowledgements.
        """
        run_view = self.state.targets[placed.life].runs[placed.run]
        is_stopping = run_view.state is RunState.STOPPING
        return is_stopping and run_view.answered_ms is not None

    def plan(self, now_ms: int) -> None:
        """Order the starts and stops of copies, after those of all other work."""
        reported, self.reported = self.reported, {}
        self._forget_ended()
        if not reported and not self.copies:
            return
        if self._is_work_waiting():
            self._stop_copies()
            return
        for run, life in reported.items():
            self._consider(run, life, now_ms)

    def _forget_ended(self) -> None:
        """Forget copies without a run, and unsettled runs of jobs without runs."""
        for task, run in list(self.copies.items()):
            job = self.state.jobs.get(task.job)
            task_view = job.tasks.get(task) if job is not None else None
            if task_view is None or run not in task_view.placements:
                del self.copies[task]
        for job_id in list(self.unsettled):
            if not self.state.has_runs(job_id):
                del self.unsettled[job_id]

    def _is_work_waiting(self) -> bool:
        """Return whether a task in the start order still waits."""
        if self.planner.is_cut:
            return True
        waiting_steps = self.state.waiting_steps
        if any(map(self._is_waiting, waiting_steps.tried_keys())):
            return True
        examined = 0
        for key in islice(waiting_steps.in_order(), MAX_EXAMINED_STEPS):
            examined += 1
            if self._is_waiting(key):
                return True
        return examined == MAX_EXAMINED_STEPS

    def _is_waiting(self, key: StartKey) -> bool:
        """Return whether a task of a step still waits for its start."""
        job = self.state.jobs.get(key.job)
        return job is not None and key.step_id() in job.waiting_tasks

    def _stop_copies(self) -> None:
        """Stop the copies beside another run, as waiting work comes first."""
        for task, run in self.copies.items():
            placements = self.state.jobs[task.job].task(task).placements
            view = self.state.targets[placements[run]]
            run_view = view.runs[run]
            if len(placements) > 1 and run_view.state is not RunState.STOPPING:
                self._count("yielded")
                self.state.stop_run(view, run_view, "copy_yields")

    def _consider(self, run: Run, life: TargetLife, now_ms: int) -> None:
        """Start a copy of the task of a run if that is allowed and sooner done."""
        job, view = self.state.jobs.get(run.task.job), self.state.targets.get(life)
        if job is None or view is None or not self._may_copy(job, view, run):
            return
        outlook = self._outlook(job, view, view.runs[run], now_ms)
        if outlook is None or not outlook.needs_copy():
            return
        step = job.spec.steps[run.task.step]
        if not self._has_share(step):
            return
        if not self.state.quota.admits(job.spec.organisation, step.start_need()):
            return
        other = self._choose_target(job, step, run, view, now_ms)
        if other is not None:
            self._start(job, run, outlook, view, other, now_ms)

    def _may_copy(self, job: JobView, view: TargetView, run: Run) -> bool:
        """Return whether a run is the only one of its task, and another may start."""
        run_view = view.runs.get(run)
        if run_view is None or run_view.state is not RunState.ACTIVE:
            return False
        if job.is_final() or job.is_blocked or job.needs_approval():
            return False
        if job.awaits_queue(run.task):
            return False
        return len(job.task(run.task).placements) == 1

    def _start(
        self,
        job: JobView,
        run: Run,
        outlook: RunOutlook,
        slow: TargetView,
        other: TargetView,
        now_ms: int,
    ) -> None:
        """Start a copy of the task of a run on another target."""
        step, known = job.spec.steps[run.task.step], job.task(run.task).last_run_number
        number = next_number(step, self.state.generation, known, copy=True)
        copy = Run(run.task, number)
        log_event(
            "copy_start",
            run=run_name(copy),
            pool=self.state.pool,
            slow_target=slow.life.name,
            percent=outlook.percent,
            elapsed_ms=outlook.elapsed_ms,
            usual_ms=round(outlook.usual_ms),
            remaining_ms=round(outlook.remaining_ms()),
        )
        self._count("started")
        self.copies[run.task] = copy
        self.planner.start_run(job, copy, other, now_ms)

    def _outlook(
        self, job: JobView, view: TargetView, run_view: RunView, now_ms: int
    ) -> RunOutlook | None:
        """Return what decides on a copy, None if the usual time is not known."""
        task = run_view.run.task
        step = job.spec.steps[task.step]
        estimates = self.state.speeds.estimates
        speed = estimates.speed(view.life)
        usual_ms = estimates.usual_ms(task.step_id(), view.life)
        if usual_ms is None and speed < 1:
            usual_ms = job.step_run_ms[task.step]
        if not usual_ms:
            return None
        done = len(job.progress.done.get((task.occurrence, task.step), ()))
        return RunOutlook(
            usual_ms,
            now_ms - run_view.started_ms,
            run_view.percent,
            speed,
            is_last=done == step.count - 1,
        )

    def _has_share(self, step: Step) -> bool:
        """Return whether copies may take the resources of one more task."""
        used = step.counted_need()
        for task in self.copies:
            other_step = self.state.jobs[task.job].spec.steps[task.step]
            used = used.plus(other_step.counted_need())
        capacity = Resources()
        for view in self.state.targets.values():
            if view.is_schedulable():
                capacity = capacity.plus(view.listed.capacity)
        return is_within_share(used, capacity, self.share)

    def _choose_target(
        self, job: JobView, step: Step, run: Run, slow: TargetView, now_ms: int
    ) -> TargetView | None:
        """Return another target at full speed with free capacity, None without one."""
        state = self.state
        reserved = self.planner.reservations.by_target

        def prefer(life: TargetLife) -> Preference:
            view = state.targets[life]
            limit = step.max_per_target
            is_usable = (
                view.is_schedulable()
                and view.declining_until_ms <= now_ms
                and life.name != slow.life.name
                and life not in reserved
                and not state.speeds.is_slow(life)
                and not state.avoidance.is_avoided(job, run.task, view, now_ms)
                and not (limit and view.count_step_tasks(run.task.step_id()) >= limit)
            )
            return Preference.PREFERRED if is_usable else Preference.EXCLUDED

        life = state.free_capacity.choose_fullest(step, prefer)
        return state.targets[life] if life is not None else None

    def _count(self, outcome: str) -> None:
        self.state.metrics.speed.copies.labels(self.state.pool, outcome).inc()
