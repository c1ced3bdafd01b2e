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

AVOID_MS = 6_000
"""How long a target is avoided; as long as usual disturbances last."""

MOST_AVOIDED = 1 / 3
"""Share of the targets that may go without work for their failures."""

ELSEWHERE_MS = 2_000
"""How long a task waits for another target than the one it failed on: less than a
job may stand still while there is room."""

MAX_FINISHED = 50_000
"""Jobs that are over and remembered: far more than end within the history that the
store shows."""


@dataclass(frozen=True, slots=True)
class GiveOrder:
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
    orders: list[GiveOrder] = field(default_factory=list)
    retries: list[tuple[int, TargetLife, Run]] = field(default_factory=list)
    finished: dict[str, int] = field(default_factory=dict)
    unix_offset_ms: int = 0
    metrics: JobMetrics = field(default_factory=JobMetrics)
    rooms: FreeCapacityIndex = field(default_factory=FreeCapacityIndex)
    runs: dict[str, set[PlacedRun]] = field(default_factory=dict)
    waiting: WaitingSteps = field(default_factory=WaitingSteps)
    changed: set[str] = field(default_factory=set)
    uncounted: set[str] = field(default_factory=set)
    demand: WaitingDemand = field(default_factory=WaitingDemand)
    held_back: WaitingDemand = field(default_factory=WaitingDemand)
    unwritten: dict[str, None] = field(default_factory=dict)
    recurring: dict[str, int] = field(default_factory=dict)
    bound: set[str] = field(default_factory=set)
    ended: set[TargetLife] = field(default_factory=set)
    reported: dict[TargetLife, None] = field(default_factory=dict)
    gone: list[TargetLife] = field(default_factory=list)
    avoided: int = 0
    avoided_ms: int = -1
    is_loaded: bool = False
    is_all_known: bool = False
    is_fenced: bool = False

    def end_life(self, life: TargetLife, reason: str, now_ms: int) -> None:
        """Forget a life of a target that runs nothing any more."""
        view = self.targets.pop(life, None)
        if view is None:
            return
        self.gone.append(life)
        view.is_listed = False
        self.show_room(view)
        log_event(
            "target_gone",
            pool=self.pool,
            target=life.name,
            reason=reason,
            runs=len(view.runs),
        )
        for run in list(view.runs):
            self.release(view, run, now_ms)

    def note_changed(self, job: JobView) -> None:
        """Note that other tasks of a job wait, or in another place."""
        self.changed.add(job.spec.id)
        self.uncounted.add(job.spec.id)

    def note_unwritten(self, job: JobView) -> None:
        """Note that the row of a job may lack a change."""
        if job.changes > job.written:
            self.unwritten[job.spec.id] = None

    def note_traits(self, job: JobView) -> None:
        """Note what is rare about a new job."""
        if job.spec.recurrence is not None:
            self.recurring[job.spec.id] = 0
        if any(
            step.is_lasting or step.required_label or step.near_rack
            for step in job.spec.steps
        ):
            self.bound.add(job.spec.id)

    def take_gone(self) -> list[TargetLife]:
        """Return the lives that have ended since the last call."""
        gone, self.gone = self.gone, []
        return [life for life in gone if life not in self.targets]

    def is_wanted(self, job: JobView, task: TaskId) -> bool:
        """Return whether a task is to be started."""
        return not job.is_final() and self.is_missing(job, task)

    def is_missing(self, job: JobView, task: TaskId) -> bool:
        """Return whether a task is not done and runs nowhere."""
        return not job.progress.is_done(task) and not job.task(task).places

    def need(self, job: JobView, task: TaskId) -> Resources:
        """Return what a task of a job takes of a target."""
        return job.spec.steps[task.step].counted_need()

    def is_lasting(self, job: JobView, task: TaskId) -> bool:
        """Return whether a task of a job ends only when it is stopped."""
        return job.spec.steps[task.step].is_lasting

    def may_be_unread(self, job: str) -> bool:
        """Return whether an earlier owner may have started a job that is not known."""
        is_known = job in self.jobs or job in self.finished
        return not self.is_all_known and not is_known

    def has_runs(self, job: str) -> bool:
        """Return whether a target has or may have a run of a job."""
        return job in self.runs

    def hold(self, view: TargetView, known: RunView) -> None:
        """Take room of a target for a run."""
        view.add(known)
        placed = PlacedRun(known.run, view.life)
        self.runs.setdefault(known.run.task.job, set()).add(placed)
        self.show_room(view)

    def give_back(self, view: TargetView, run: Run) -> RunView | None:
        """Give back the room of a run."""
        known = view.remove(run)
        if known is None:
            return None
        runs = self.runs[run.task.job]
        runs.discard(PlacedRun(run, view.life))
        if not runs:
            del self.runs[run.task.job]
        self.show_room(view)
        return known

    def show_room(self, view: TargetView) -> None:
        """Note the room of a target, or that it takes no work."""
        if view.takes_work():
            self.rooms.put(FreeCapacity(view.life, view.listed.labels, view.free()))
        else:
            self.rooms.discard(view.life)

    def stop(self, view: TargetView, known: RunView, reason: str) -> None:
        """Order a run to stop."""
        log_event(
            "run_stop",
            run=run_name(known.run),
            target=view.life.name,
            reason=reason,
        )
        known.state = RunState.STOPPING
        known.settled_ms = None
        self.orders.append(GiveOrder(view.life, StopOrder(known.run)))

    def release(self, view: TargetView, run: Run, now_ms: int) -> None:
        """Give back the room of a run; its task waits again if it is not done."""
        known = self.give_back(view, run)
        job = self.jobs.get(run.task.job)
        if job is None:
            return
        task = job.task(run.task)
        if known is not None and known.checkpoint and not task.checkpoint:
            task.checkpoint = known.checkpoint
        task.places.pop(run, None)
        self.wait(job, run.task)
        if job.is_final():
            self.finish(job, now_ms)

    def wait(self, job: JobView, task: TaskId) -> None:
        """Let a task wait for its start if it is to be started."""
        step_id = task.step_id()
        if step_id in job.opened and self.is_wanted(job, task):
            job.waiting.setdefault(step_id, set()).add(task.index)
            self.note_changed(job)

    def unwait(self, job: JobView, task: TaskId) -> None:
        """Take a task off the list of those that wait."""
        indices = job.waiting.get(task.step_id())
        if indices is not None:
            self.note_changed(job)
            indices.discard(task.index)
            if not indices:
                del job.waiting[task.step_id()]

    def refresh(self, job: JobView, now_ms: int) -> None:
        """Open steps, and end what a final job still has."""
        self.note_changed(job)
        if job.is_final():
            job.waiting.clear()
            self.stop_all(job)
            self.finish(job, now_ms)
            return
        for occurrence in range(self.due_occurrences(job, now_ms)):
            for number, step in enumerate(job.spec.steps):
                step_id = StepId(job.spec.id, occurrence, number)
                if step_id in job.opened:
                    continue
                if not job.progress.is_step_ready(job.spec, occurrence, number):
                    continue
                job.opened.add(step_id)
                job.times.opened(step_id, now_ms)
                missing = {
                    index
                    for index in range(step.count)
                    if self.is_missing(job, step_id.task(index))
                }
                if missing:
                    job.waiting[step_id] = missing

    def due_occurrences(self, job: JobView, now_ms: int) -> int:
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

    def stop_all(self, job: JobView) -> None:
        """Stop all runs of a job."""
        for task in job.tasks.values():
            for run, life in list(task.places.items()):
                view = self.targets.get(life)
                known = view.runs.get(run) if view is not None else None
                if known is not None and known.state is not RunState.STOPPING:
                    self.stop(view, known, "job_final")

    def finish(self, job: JobView, now_ms: int) -> None:
        """Forget a job that is final, written and has no runs."""
        if job.changes > job.written or self.has_runs(job.spec.id):
            return
        self.remember_finished(job.spec.id, job.version)
        self.note_changed(job)
        self.recurring.pop(job.spec.id, None)
        self.bound.discard(job.spec.id)
        if self.jobs.pop(job.spec.id, None) is not None:
            self._tell_final(job, now_ms)

    def _tell_final(self, job: JobView, now_ms: int) -> None:
        state = job.progress.state(job.spec)
        after_ms = now_ms - job.arrived_ms
        parts = job.times.parts(now_ms)
        waits_ms = job.times.step_waits_ms.values()
        self.metrics.jobs.labels(job.spec.queue, state).observe(to_seconds(after_ms))
        self.metrics.job_over(self.pool, parts.in_order(), waits_ms)
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
        self.finished[job] = version
        if len(self.finished) > MAX_FINISHED:
            del self.finished[next(iter(self.finished))]

    def note_failure(self, view: TargetView, task: TaskId, now_ms: int) -> None:
        """Note that a task failed on a target; jobs in a row let it be avoided."""
        job = self.jobs.get(task.job)
        if job is not None:
            job.task(task).failed_on[view.life.name] = now_ms
        view.failed_jobs.add(task.job)
        failures = len(view.failed_jobs)
        if failures >= FAILURES_TO_AVOID:
            view.avoided_until_ms = now_ms + AVOID_MS
            log_event("target_avoided", target=view.life.name, failures=failures)

    def is_avoided(
        self, job: JobView, task: TaskId, view: TargetView, now_ms: int
    ) -> bool:
        """Return whether other targets are preferred for a task."""
        failed_on = job.task(task).failed_on
        return view.avoided_until_ms > now_ms or view.life.name in failed_on

    def is_held_off(
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
        if failed_ms is None or now_ms - failed_ms >= ELSEWHERE_MS:
            return False
        return any(life.name not in failed_on for life in self.rooms.keys)

    def may_avoid(self, now_ms: int) -> bool:
        """Return whether the pool can do without the targets that are avoided."""
        if now_ms != self.avoided_ms:
            self.avoided_ms, self.avoided = now_ms, self.count_avoided(now_ms)
        return self.avoided <= len(self.rooms.keys) * MOST_AVOIDED

    def count_avoided(self, now_ms: int) -> int:
        """Return how many targets that take work are avoided."""
        return sum(
            view.avoided_until_ms > now_ms and view.takes_work()
            for view in self.targets.values()
        )


def run_name(run: Run) -> str:
    """Return how a run is named in logs."""
    return f"{run.task}#{run.number}"
