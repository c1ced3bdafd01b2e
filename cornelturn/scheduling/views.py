"""Jobs of a pool and their tasks, as its owner sees them."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import InitVar, dataclass, field
from types import MappingProxyType

import msgspec

from cornelturn.jobs.model import JobSpec, Recurrence, Run, StepId, TaskId
from cornelturn.jobs.progress import Progress, StepKey
from cornelturn.jobs.row_room import RowRoom, new_row_room
from cornelturn.jobs.rows import LeftOut, encode_spec
from cornelturn.model.routes import JobQueue, VersionedQueue
from cornelturn.scheduling.job_times import JobTimes
from cornelturn.scheduling.outlooks import DueTimes, Forecast
from cornelturn.scheduling.waiting_tasks import (
    OpenedSteps,
    WaitingTasks,
    opened_steps_of,
)
from cornelturn.store.limits import DEFAULT_LIMITS, StoreLimits
from cornelturn.targets.model import TargetLife


@dataclass(frozen=True, slots=True)
class Checkpoint:
    """Where a run resumes, and the number of the run that saved it."""

    value: str = ""
    run_number: int = 0


@dataclass(slots=True)
class TaskView:
    """State of a task that is not stored in the row of its job.

    Parameters
    ----------
    placements : dict
        Targets that have or may have a run of it.
    last_run_number : int
        Highest known number of a run.
    checkpoint : Checkpoint
        Where the next run resumes; that of a gang is kept by its first task.
    failed_on : dict
        When a run last failed, by the name of the target.
    stalled_ms : int
        Longest time without progress at which a run was stopped.
    """

    placements: dict[Run, TargetLife] = field(default_factory=dict)
    last_run_number: int = 0
    checkpoint: Checkpoint = Checkpoint()
    failed_on: dict[str, int] = field(default_factory=dict)
    stalled_ms: int = 0


NO_PLACEMENTS: Mapping[Run, TargetLife] = MappingProxyType({})
"""Targets of a task that has no run."""

ONCE = Recurrence(count=1, first_due_ms=0, interval_ms=0)
"""Recurrence of a job that has none; its occurrence is due when it arrives."""

LOWEST_PRIORITY = 1 << 31
"""Priority number after that of any queue."""

LATE_FACTOR = 3
"""Multiple of its objective after which no caller waits for a job any more."""

MAX_EXACT_OCCURRENCES = 8
"""Occurrences up to which the remaining work of a job is not rounded. With more it
changes up to this many times, and then once for each halving."""


@dataclass(slots=True)
class JobView:
    """A job that is not final, or has runs or unwritten changes.

    Parameters
    ----------
    version : int
        Version of its row.
    queue : JobQueue or None
        Newest known definition of its queue, None if none is known; that of a removed
        queue is kept.
    arrived_ms : int
        When this owner came to know it.
    queue_version : int
        Newest version of the configuration that has this definition.
    first_due_ms : int
        When its first occurrence is due, on the owner's clock.
    changes, written_changes : int
        Number of changes of its progress, and how many of them are in the row.
    is_writing : bool
        Whether a write of its row is in flight.
    has_started : bool
        Whether a run of it has been ordered or adopted.
    is_blocked : bool
        Whether undetected runs of an earlier owner may still be active.
    waiting_tasks : WaitingTasks
        Tasks of opened steps that wait for their start.
    opened_steps : OpenedSteps
        Steps whose tasks may start, as the steps that they depend on are done.
    step_run_ms : tuple of int
        Expected run time of the tasks of each step.
    chain_ms : int
        Expected length of the longest chain of steps; each start of a recurrent job
        needs it.
    times : JobTimes
        Times of the parts of its life.
    waited_ms : int
        Time before its arrival since its caller was first refused; it counts against
        the objective.
    is_beyond_rate : bool
        Whether it exceeds the rate of its organisation; False until it is judged.
    store_limits : StoreLimits
        Largest rows and calls that the store accepts.
    encoded_spec : Raw
        Its definition, as its row holds it.
    row_room : RowRoom
        Room in its row for the progress of open steps.
    left_out : LeftOut
        What its row lacks because it would be too large.
    set_aside_until_ms : int
        Until when none of its tasks starts, after an error while one was to start.
    row_refusals : int
        How often the store has refused its row for its size; after the first, the row
        has its short form.
    """

    key: str
    spec: JobSpec
    progress: Progress
    version: int
    queue: JobQueue | None
    arrived_ms: int
    queue_version: int = 0
    first_due_ms: int = 0
    changes: int = 0
    written_changes: int = 0
    is_writing: bool = False
    has_started: bool = False
    is_blocked: bool = False
    set_aside_until_ms: int = 0
    waiting_tasks: WaitingTasks = field(default_factory=WaitingTasks)
    opened_steps: OpenedSteps = field(init=False)
    tasks: dict[TaskId, TaskView] = field(default_factory=dict)
    times: JobTimes = field(init=False)
    waited_ms: int = 0
    step_run_ms: tuple[int, ...] = ()
    chain_ms: int = field(init=False)
    is_beyond_rate: bool = False
    store_limits: InitVar[StoreLimits] = DEFAULT_LIMITS
    encoded_spec: msgspec.Raw = field(init=False)
    row_room: RowRoom = field(init=False)
    left_out: LeftOut = LeftOut.NOTHING
    row_refusals: int = 0

    def __post_init__(self, store_limits: StoreLimits) -> None:
        self.encoded_spec = encode_spec(self.spec)
        self.row_room = new_row_room(self.spec, self.versioned_queue(), store_limits)
        self.row_room.hold_progress(self.progress)
        self.times = JobTimes(self.arrived_ms)
        self.opened_steps = opened_steps_of(self.spec.steps, self.progress.completed)
        self.step_run_ms = tuple(step.estimated_ms for step in self.spec.steps)
        self.chain_ms = self.spec.longest_chain_ms(self.step_run_ms)

    def task(self, task: TaskId) -> TaskView:
        """Return the view of a task."""
        view = self.tasks.get(task)
        if view is None:
            view = self.tasks[task] = TaskView()
        return view

    def is_final(self) -> bool:
        """Return whether the job is completed, failed or cancelled."""
        return self.progress.state(self.spec).is_final()

    def is_unplaced(self, task: TaskId) -> bool:
        """Return whether a task is not done and runs nowhere."""
        return not self.progress.is_done(task) and not self.placements(task)

    def placements(self, task: TaskId) -> Mapping[Run, TargetLife]:
        """Return the targets that have or may have a run of a task, by the run."""
        view = self.tasks.get(task)
        return view.placements if view is not None else NO_PLACEMENTS

    def last_run_number(self, task: TaskId) -> int:
        """Return the highest known number of a run of a task."""
        view = self.tasks.get(task)
        return view.last_run_number if view is not None else 0

    def has_failed_somewhere(self, task: TaskId) -> bool:
        """Return whether a run of a task has failed on a target lately."""
        view = self.tasks.get(task)
        return view is not None and bool(view.failed_on)

    def remove_waiting(self, task: TaskId) -> None:
        """Remove a task from those that wait for their start."""
        self.waiting_tasks.discard(task)
        self.opened_steps.note_touched(task.step_id())

    def remove_waiting_step(self, step_id: StepId) -> None:
        """Remove all tasks of a step from those that wait for their start."""
        self.waiting_tasks.remove_step(step_id)
        self.opened_steps.note_touched(step_id)

    def record_done(self, task: TaskId) -> None:
        """Record that a task, and its gang if it is in one, succeeded."""
        step_id, step = task.step_id(), self.spec.steps[task.step]
        if step.is_gang:
            self.progress.add_step_done(step_id, step.count)
            self.changes += 1
            self._stop_waiting(step_id, range(step.count))
        else:
            self.changes += self.progress.add_done(task)
            self._stop_waiting(step_id, (task.index,))

    def merge_progress(self, other: Progress) -> set[StepKey]:
        """Add the progress of another copy; return the steps that have changed."""
        changed = self.progress.merge(other)
        for occurrence, number in changed:
            step_id = StepId(self.spec.id, occurrence, number)
            waiting = self.waiting_tasks.indices(step_id)
            done = [i for i in waiting if self.progress.is_done(step_id.task(i))]
            self._stop_waiting(step_id, done)
        return changed

    def _stop_waiting(self, step_id: StepId, done: Iterable[int]) -> None:
        """Remove done tasks from those that wait for their start.

        A task whose run was given up waits again, and the end of that run may still be
        reported.
        """
        for index in self.waiting_tasks.indices(step_id).intersection(done):
            self.remove_waiting(step_id.task(index))

    def versioned_queue(self) -> VersionedQueue | None:
        """Return its queue with the version that defines it, None if not known."""
        if self.queue is None:
            return None
        return VersionedQueue(self.queue, self.queue_version)

    def needs_approval(self) -> bool:
        """Return whether a service must approve the targets of its steps."""
        return self.queue is not None and self.queue.approval is not None

    def has_used_up_attempts(self) -> bool:
        """Return whether a task has failed as often as its queue allows."""
        if self.queue is None:
            return False
        return self.progress.max_failed_runs() >= self.queue.max_attempts

    def awaits_queue(self, task: TaskId) -> bool:
        """Return whether a task may not start before the queue is known.

        A first run is within the attempts of every queue; a further one may not be.
        """
        return self.queue is None and self.progress.has_failed(self.counted_task(task))

    def checkpoint(self, task: TaskId) -> Checkpoint:
        """Return the checkpoint of a task, that of its gang if it is in one."""
        return self.task(self.counted_task(task)).checkpoint

    def set_checkpoint(self, run: Run, value: str) -> None:
        """Keep the checkpoint of a run, valid for its whole gang if it is in one."""
        view = self.task(self.counted_task(run.task))
        view.checkpoint = Checkpoint(value, run.number)

    def counted_task(self, task: TaskId) -> TaskId:
        """Return the task with the failed runs and the checkpoint: a gang's first."""
        is_gang = self.spec.steps[task.step].is_gang
        return task.step_id().task(0) if is_gang else task

    def priority(self) -> int:
        """Return the priority of its queue, the lowest while the queue is not known."""
        return self.queue.priority if self.queue is not None else LOWEST_PRIORITY

    def count_waiting(self) -> int:
        """Return how many tasks wait for their start."""
        return sum(map(self.count_waiting_of, range(len(self.spec.steps))))

    def count_waiting_of(self, number: int) -> int:
        """Return how many tasks of a step wait, those of unopened occurrences too."""
        unopened = self.opened_steps.count_unopened(number)
        tasks_of_unopened = unopened * self.spec.steps[number].count
        return self.waiting_tasks.counts[number] + tasks_of_unopened

    def remaining_chain_ms(self) -> int:
        """Return the expected length of the longest chain of unfinished steps."""
        remaining_ms = [
            0 if self.progress.is_step_done(self.spec, 0, number) else run_ms
            for number, run_ms in enumerate(self.step_run_ms)
        ]
        return self.spec.longest_chain_ms(remaining_ms)

    def objective_ms(self) -> float:
        """Return the time since its arrival within which the job is on time."""
        if self.queue is None:
            return self.chain_ms
        return self.queue.objective_ms(self.chain_ms)

    def forecast(self, now_ms: int) -> Forecast:
        """Return the outlooks of the occurrences if they continue at once."""
        objective_ms = self.objective_ms()
        recurrence = self.spec.recurrence
        if recurrence is None:
            remaining_ms = self.remaining_chain_ms()
            asked_ms = self.arrived_ms - self.waited_ms
            due_times = DueTimes(ONCE, asked_ms, asked_ms)
        else:
            remaining_ms = self.chain_ms
            due_times = DueTimes(recurrence, self.arrived_ms, self.first_due_ms)
        return due_times.forecast(
            now_ms,
            round(objective_ms) - remaining_ms,
            round(LATE_FACTOR * objective_ms) - remaining_ms,
        )

    def remaining_work(self, first: int = 0) -> int:
        """Return the expected work of the tasks of due occurrences that are not done.

        In thousandths of a core times milliseconds. More than a few occurrences are
        rounded up to a power of two, as each change gives new keys to all waiting steps
        of the job.

        Parameters
        ----------
        first : int
            Earlier occurrences do not count.
        """
        due = 1 if self.spec.recurrence is None else self.opened_steps.due
        remaining = occurrence_work = 0
        for number, step in enumerate(self.spec.steps):
            task_work = step.need.cpu * max(1, self.step_run_ms[number])
            done = self.progress.count_done(self.spec, number, first)
            remaining += max(0, step.count * (due - first) - done) * task_work
            occurrence_work += step.count * task_work
        if remaining <= MAX_EXACT_OCCURRENCES * occurrence_work:
            return remaining
        occurrences = -(-remaining // occurrence_work)
        return occurrence_work << (occurrences - 1).bit_length()

    def is_dirty(self) -> bool:
        """Return whether the row lacks a change that is not in flight."""
        return self.changes > self.written_changes and not self.is_writing
