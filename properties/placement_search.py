"""The starts of a plan by an exhaustive search, which the scheduler must agree with."""

from __future__ import annotations

from dataclasses import dataclass, field

from cornelturn.jobs.model import Resources, Step, StepId, TaskId
from cornelturn.placement.target_choice import Candidate, choose_target
from cornelturn.scheduling.pool import PoolScheduler
from cornelturn.scheduling.reservations import (
    MAX_EXAMINED_STEPS,
    RESERVED_STEPS,
    expected_end_ms,
)
from cornelturn.scheduling.target_view import RunView, TargetView
from cornelturn.scheduling.views import JobView


@dataclass(slots=True)
class Search:
    """The starts of a plan, by a search of all jobs and all targets."""

    scheduler: PoolScheduler
    now_ms: int
    used: dict[str, Resources]
    placed: list[tuple[TaskId, str]]
    reserved: dict[str, StepId] = field(default_factory=dict)
    fit_times: dict[str, int] = field(default_factory=dict)

    def reserve(self, step_ids: list[StepId]) -> None:
        """Reserve targets for the first steps that can start once batch runs ended."""
        reasonable = [
            step_id
            for step_id in step_ids[:MAX_EXAMINED_STEPS]
            if self.has_unfailed_task(step_id) and self.fits_ever(step_id)
        ]
        for step_id in reasonable[:RESERVED_STEPS]:
            step = self.step(step_id)
            eligible = [
                view
                for view in self.eligible(step_id)
                if view.life.name not in self.reserved
            ]
            if eligible and not any(
                step.counted_need().fits_in(view.free()) for view in eligible
            ):
                emptiest = max(eligible, key=lambda view: (view.free().cpu, view.life))
                self.reserved[emptiest.life.name] = step_id

    def step(self, step_id: StepId) -> Step:
        return self.scheduler.jobs[step_id.job].spec.steps[step_id.step]

    def has_unfailed_task(self, step_id: StepId) -> bool:
        job = self.scheduler.jobs[step_id.job]
        tasks = (step_id.task(index) for index in job.waiting_tasks[step_id])
        return not all(
            job.progress.has_failed(job.counted_task(task)) for task in tasks
        )

    def eligible(self, step_id: StepId) -> list[TargetView]:
        """Return the targets that can take a task once their batch runs have ended."""
        step = self.step(step_id)
        return [
            view
            for view in self.scheduler.targets.values()
            if view.is_schedulable()
            and step.counted_need().fits_in(self.free_beside_lasting_runs(view))
            and step.required_label in ("", *view.listed.labels)
            and not 0 < step.max_per_target <= view.count_step_tasks(step_id)
        ]

    def fits_ever(self, step_id: StepId) -> bool:
        """Return whether a task, or a whole gang, fits once batch runs have ended."""
        step = self.step(step_id)
        if not step.is_gang:
            return bool(self.eligible(step_id))
        places = 0
        for view in self.eligible(step_id):
            free, on_target = self.free_beside_lasting_runs(view), 0
            while on_target < (step.max_per_target or step.count):
                if not step.counted_need().times(on_target + 1).fits_in(free):
                    break
                on_target += 1
            places += on_target
        return places >= step.count

    def free_beside_lasting_runs(self, view: TargetView) -> Resources:
        """Return the capacity of a target that no lasting run takes."""
        free = view.listed.capacity
        for run_view in view.runs.values():
            if self.step(run_view.run.task.step_id()).is_lasting:
                free = free.minus(run_view.need)
        return free

    def fit_ms(self, view: TargetView, need: Resources) -> int:
        """Return when a task is expected to fit on a target, as its batch runs end."""
        batch = [
            run_view
            for run_view in view.runs.values()
            if not self.step(run_view.run.task.step_id()).is_lasting
        ]
        ends_ms = {self.now_ms, *(self._end_ms(run_view) for run_view in batch)}
        for end_ms in sorted(ends_ms):
            free = view.free()
            for run_view in batch:
                if self._end_ms(run_view) <= end_ms:
                    free = free.plus(run_view.need)
            if end_ms == self.now_ms and need.fits_in(view.free()):
                return end_ms
            if need.fits_in(free):
                return end_ms
        return max(ends_ms)

    def _end_ms(self, run_view: RunView) -> int:
        return expected_end_ms(self.scheduler, run_view, self.now_ms)

    def place(self, job: JobView, task: TaskId) -> bool:
        """Place a task, and return whether a target has capacity for it."""
        step = job.spec.steps[task.step]
        views = [
            view
            for view in self.scheduler.targets.values()
            if view.is_schedulable()
            and not self.scheduler.avoidance.is_deferred(job, task, view, self.now_ms)
            and (step.is_lasting or self.may_use(view, job, task.step_id()))
        ]
        name = choose_target(step, [self._candidate(job, task, view) for view in views])
        if name is None:
            return False
        self.used[name] = self.used.get(name, Resources()).plus(step.counted_need())
        self.placed.append((task, name))
        return True

    def is_reserved(self, view: TargetView, step_id: StepId) -> bool:
        """Return whether a target is reserved for another step."""
        return self.reserved.get(view.life.name, step_id) != step_id

    def may_use(self, view: TargetView, job: JobView, step_id: StepId) -> bool:
        """Return whether a target is reserved for no other step, or the step is short.

        Short is what is expected to end before the other step fits.
        """
        if not self.is_reserved(view, step_id):
            return True
        run_ms = job.step_run_ms[step_id.step]
        need = self.step(self.reserved[view.life.name]).counted_need()
        is_gang = self.step(step_id).is_gang
        fit_ms = self.fit_times.setdefault(view.life.name, self.fit_ms(view, need))
        return not is_gang and 0 < run_ms <= fit_ms - self.now_ms

    def _candidate(self, job: JobView, task: TaskId, view: TargetView) -> Candidate:
        name = view.life.name
        step_id = task.step_id()
        step = self.step(step_id)
        of_step = view.count_step_tasks(step_id) + sum(
            placed_on == name and other.step_id() == step_id
            for other, placed_on in self.placed
        )
        return Candidate(
            name,
            view.listed.rack,
            view.listed.labels,
            view.free().minus(self.used.get(name, Resources())),
            of_step,
            self.scheduler.avoidance.is_avoided(job, task, view, self.now_ms)
            or (not step.is_lasting and self.is_reserved(view, step_id)),
        )


def expected_starts(scheduler: PoolScheduler, now_ms: int) -> list[tuple[TaskId, str]]:
    search = Search(scheduler, now_ms, {}, [])
    waiting = [
        (job, step_id)
        for job in scheduler.jobs.values()
        for step_id in job.waiting_tasks
    ]
    waiting.sort(key=lambda job_and_step: start_order_key(*job_and_step, now_ms))
    search.reserve([step_id for _, step_id in waiting])
    for job, step_id in waiting:
        _search_step(search, job, step_id)
    return search.placed


def start_order_key(job: JobView, step_id: StepId, now_ms: int) -> tuple[object, ...]:
    """Return the sort key of a step: lasting ones first, then by outlook."""
    remaining_ms = sum(
        step.estimated_ms
        for number, step in enumerate(job.spec.steps)
        if not job.progress.is_step_done(job.spec, 0, number)
    )
    all_ms = sum(step.estimated_ms for step in job.spec.steps)
    objective_ms = job.queue.slack_factor * all_ms + job.queue.slack_ms
    end_ms = now_ms + remaining_ms - job.arrived_ms
    is_lasting = job.spec.steps[step_id.step].is_lasting
    lateness = (end_ms > round(objective_ms)) + (end_ms > round(3 * objective_ms))
    return (
        job.queue.priority,
        0 if is_lasting else lateness,
        0 if is_lasting else job.remaining_work(),
        step_id,
    )


def _search_step(search: Search, job: JobView, step_id: StepId) -> None:
    step = job.spec.steps[step_id.step]
    if not step.is_gang:
        for index in sorted(job.waiting_tasks[step_id]):
            task = step_id.task(index)
            if not search.scheduler.is_startable(job, task):
                continue
            if not search.place(job, task) and not job.task(task).failed_on:
                return
        return
    tasks = [step_id.task(index) for index in range(step.count)]
    if not all(search.scheduler.is_startable(job, task) for task in tasks):
        return
    used, placed = dict(search.used), list(search.placed)
    if not all(search.place(job, task) for task in tasks):
        search.used, search.placed = used, placed
