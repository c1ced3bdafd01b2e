"""Targets, runs and jobs of a pool, as its owner sees them."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import InitVar, dataclass, field
from enum import IntEnum, StrEnum, auto

import msgspec

from cornelturn.jobs.model import JobSpec, Resources, Run, StepId, TaskId
from cornelturn.jobs.progress import Progress
from cornelturn.jobs.row_room import RowRoom, new_row_room
from cornelturn.jobs.rows import LeftOut, encode_spec
from cornelturn.model.routes import JobQueue, VersionedQueue
from cornelturn.scheduling.job_times import JobTimes
from cornelturn.scheduling.run_progress import RunProgress
from cornelturn.scheduling.waiting_tasks import (
    OpenedSteps,
    WaitingTasks,
    opened_steps_of,
)
from cornelturn.store.limits import DEFAULT_LIMITS, StoreLimits
from cornelturn.targets.model import ListedTarget, TargetLife


class RunState(StrEnum):
    """State of a run; a run takes capacity in each state."""

    STARTING = "starting"
    ACTIVE = "active"
    STOPPING = "stopping"


@dataclass(slots=True)
class RunView:
    """A run that a target has or may have.

    Parameters
    ----------
    answered_ms : int or None
        When the last order for it was answered, None while an answer is due.
    tries : int
        Orders that failed or got no answer since the last one was carried out.
    is_in_doubt : bool
        Whether the target may still carry out a start that it has not answered.
    progress : RunProgress
        Its progress as its target has reported it.
    is_lasting : bool
        Whether it ends only when it is stopped; False while its job is not known.
    is_adopted : bool
        Whether an earlier owner started it, so that its start time is not known.
    is_reported : bool
        Whether this life of the target has listed it as active.
    organisation : str
        Organisation of its job; empty while the job is not known.
    declared_need : Resources
        Resources that it counts against the cap of its organisation, those of filling
        tasks included.
    checkpoint : str
        Last checkpoint that it reported, empty if none.
    resumed_from : str
        Checkpoint that its start order names; the same in each repetition.
    """

    run: Run
    need: Resources
    state: RunState
    answered_ms: int | None = None
    tries: int = 0
    is_in_doubt: bool = False
    percent: int = 0
    load: int = 0
    checkpoint: str = ""
    resumed_from: str = ""
    started_ms: int = 0
    progress: RunProgress = field(default_factory=RunProgress)
    pace: int = 100
    is_lasting: bool = False
    is_adopted: bool = False
    is_reported: bool = False
    organisation: str = ""
    declared_need: Resources = field(default_factory=Resources)


class Contact(StrEnum):
    """Whether a target answers."""

    UNKNOWN = "unknown"
    REACHABLE = "reachable"
    SILENT = "silent"


@dataclass(frozen=True, slots=True)
class PendingEnd:
    """An end that is acknowledged once a change of its job is written.

    Parameters
    ----------
    change : int or None
        Number of the change; None while the row of the job has not been read.
    """

    sequence: int
    job: str
    change: int | None


@dataclass(slots=True)
class TargetView:
    """One life of a target as the owner sees it.

    Parameters
    ----------
    used, used_lasting : Resources
        Resources that all its runs take, and its lasting runs among them.
    reported_ms : int
        When its last report was requested.
    clock_ms : int
        Its own clock at that report.
    read_sequence : int
        Sequence number of the last end that was processed.
    acknowledged_sequence : int
        Sequence number of the last end that the target may forget.
    lapsed_ms : int or None
        When all leases that it may hold have lapsed for certain, on the owner's clock.
    is_partly_listed : bool
        Whether its last report left ends out, so that more runs may have ended.
    inherited_lease_ms : int
        When the leases have lapsed that orders for an earlier life may have given it,
        0 if there are none.
    is_cordoned : bool
        Whether planned work keeps new tasks away.
    is_recorded : bool
        Whether it is in the row of the pool, so that a later owner checks it for runs.
    failed_jobs : set of str
        Jobs with failed runs here since a run last succeeded.
    avoided_until_ms : int
        Until when other targets are preferred.
    declining_until_ms : int
        Until when it gets no start, because it declined one.
    """

    listed: ListedTarget
    contact: Contact = Contact.UNKNOWN
    runs: dict[Run, RunView] = field(default_factory=dict)
    used: Resources = field(default_factory=Resources)
    used_lasting: Resources = field(default_factory=Resources)
    reported_ms: int = 0
    clock_ms: int = 0
    read_sequence: int = 0
    acknowledged_sequence: int = 0
    pending_ends: deque[PendingEnd] = field(default_factory=deque)
    lapsed_ms: int | None = None
    is_partly_listed: bool = False
    inherited_lease_ms: int = 0
    is_cordoned: bool = False
    is_listed: bool = True
    is_recorded: bool = True
    failed_jobs: set[str] = field(default_factory=set)
    avoided_until_ms: int = 0
    declining_until_ms: int = 0

    @property
    def life(self) -> TargetLife:
        """Return the life of the target."""
        return self.listed.life

    def free(self) -> Resources:
        """Return the capacity that no run takes."""
        return self.listed.capacity.minus(self.used)

    def free_after_batch(self) -> Resources:
        """Return the capacity that will be free once its batch runs have ended."""
        return self.listed.capacity.minus(self.used_lasting)

    def add_run(self, run_view: RunView) -> None:
        """Add a run and reserve its capacity."""
        self.runs[run_view.run] = run_view
        self.used = self.used.plus(run_view.need)
        if run_view.is_lasting:
            self.used_lasting = self.used_lasting.plus(run_view.need)

    def remove_run(self, run: Run) -> RunView | None:
        """Remove a run and release its capacity."""
        run_view = self.runs.pop(run, None)
        if run_view is not None:
            self.used = self.used.minus(run_view.need)
            if run_view.is_lasting:
                self.used_lasting = self.used_lasting.minus(run_view.need)
        return run_view

    def count_step_tasks(self, step: StepId) -> int:
        """Return how many tasks of a step run on the target."""
        return sum(
            1
            for run in self.runs
            if run.task.job == step.job and run.task.step_id() == step
        )

    def has_lapsed(self, now_ms: int) -> bool:
        """Return whether the target is silent and all its leases have lapsed."""
        is_silent = self.contact is Contact.SILENT
        return is_silent and self.lapsed_ms is not None and now_ms >= self.lapsed_ms

    def is_schedulable(self) -> bool:
        """Return whether the target may get new tasks."""
        return (
            self.contact is Contact.REACHABLE
            and self.is_listed
            and self.is_recorded
            and not self.is_cordoned
            and not self.listed.is_draining
        )


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


class Outlook(IntEnum):
    """Best outcome that a job can still reach; jobs with a worse one start later."""

    ON_TIME = auto()
    LATE = auto()
    TOO_LATE = auto()


LOWEST_PRIORITY = 1 << 31
"""Priority number after that of any queue."""

LATE_FACTOR = 3
"""Multiple of its objective after which no caller waits for a job any more."""


@dataclass(frozen=True, slots=True)
class Forecast:
    """Outlook of a job, and the latest time at which it must continue for that.

    Parameters
    ----------
    until_ms : int or None
        On the owner's clock; None if the outlook no longer changes.
    """

    outlook: Outlook
    until_ms: int | None = None


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
    queue_version : int
        Newest version of the configuration that has this definition.
    changes, written_changes : int
        Number of changes of its progress, and how many of them are in the row.
    is_writing : bool
        Whether a write of its row is in flight.
    is_blocked : bool
        Whether undetected runs of an earlier owner may still be active.
    waiting_tasks : WaitingTasks
        Tasks of opened steps that wait for their start.
    opened_steps : OpenedSteps
        Steps whose tasks may start, as the steps that they depend on are done.
    step_run_ms : tuple of int
        Expected run time of the tasks of each step.
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
    changes: int = 0
    written_changes: int = 0
    is_writing: bool = False
    has_started: bool = False
    is_blocked: bool = False
    waiting_tasks: WaitingTasks = field(default_factory=WaitingTasks)
    opened_steps: OpenedSteps = field(init=False)
    tasks: dict[TaskId, TaskView] = field(default_factory=dict)
    times: JobTimes = field(init=False)
    step_run_ms: tuple[int, ...] = ()
    waited_ms: int = 0
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
        self.opened_steps = opened_steps_of(self.spec.steps)
        self.step_run_ms = tuple(step.estimated_ms for step in self.spec.steps)

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
        return not self.progress.is_done(task) and not self.task(task).placements

    def remove_waiting(self, task: TaskId) -> None:
        """Remove a task from those that wait for their start."""
        self.waiting_tasks.discard(task)
        self.opened_steps.note_touched(task.step_id())

    def remove_waiting_step(self, step_id: StepId) -> None:
        """Remove all tasks of a step from those that wait for their start."""
        self.waiting_tasks.remove_step(step_id)
        self.opened_steps.note_touched(step_id)

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

    def chain_ms(self) -> int:
        """Return the expected length of the longest chain of steps."""
        return self._longest_chain(self.step_run_ms)

    def remaining_chain_ms(self) -> int:
        """Return the expected length of the longest chain of unfinished steps."""
        remaining_ms = [
            0 if self.progress.is_step_done(self.spec, 0, number) else run_ms
            for number, run_ms in enumerate(self.step_run_ms)
        ]
        return self._longest_chain(remaining_ms)

    def _longest_chain(self, run_ms: Sequence[int]) -> int:
        ends: list[int] = []
        for step, own_ms in zip(self.spec.steps, run_ms, strict=True):
            before = max((ends[number] for number in step.after), default=0)
            ends.append(before + own_ms)
        return max(ends, default=0)

    def objective_ms(self) -> float:
        """Return the time since its arrival within which the job is on time."""
        if self.queue is None:
            return self.chain_ms()
        return self.queue.slack_factor * self.chain_ms() + self.queue.slack_ms

    def forecast(self, now_ms: int) -> Forecast:
        """Return the outlook of the job if it continues at once.

        A recurrent job counts as on time: each occurrence is due at its own time, long
        after the job arrived.
        """
        if self.spec.recurrence is not None:
            return Forecast(Outlook.ON_TIME)
        objective_ms = self.objective_ms()
        start_ms = self.arrived_ms - self.waited_ms - self.remaining_chain_ms()
        for outlook, factor in ((Outlook.ON_TIME, 1), (Outlook.LATE, LATE_FACTOR)):
            until_ms = start_ms + round(factor * objective_ms)
            if now_ms <= until_ms:
                return Forecast(outlook, until_ms)
        return Forecast(Outlook.TOO_LATE)

    def remaining_work(self) -> int:
        """Return the expected work of the tasks that are not done.

        In thousandths of a core times milliseconds.
        """
        remaining = 0
        for number, step in enumerate(self.spec.steps):
            done = len(self.progress.done.get((0, number), ()))
            remaining += (
                (step.count - done) * step.need.cpu * max(1, self.step_run_ms[number])
            )
        return remaining

    def is_dirty(self) -> bool:
        """Return whether the row lacks a change that is not in flight."""
        return self.changes > self.written_changes and not self.is_writing
