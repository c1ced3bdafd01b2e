"""Data classes of jobs, tasks and runs."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from cornelturn.model.decoding import Int64, number_of


@dataclass(frozen=True, slots=True)
class Resources:
    """What one task takes of a target.

    Parameters
    ----------
    cpu : int
        Thousandths of a core.
    mem_mb : int
        Memory in megabytes.
    gpu : int
        Accelerators.
    """

    cpu: Int64 = 0
    mem_mb: Int64 = 0
    gpu: Int64 = 0

    def plus(self, other: Resources) -> Resources:
        """Return the sum of two needs."""
        return Resources(
            self.cpu + other.cpu, self.mem_mb + other.mem_mb, self.gpu + other.gpu
        )

    def minus(self, other: Resources) -> Resources:
        """Return what is left of this need without another."""
        return Resources(
            self.cpu - other.cpu, self.mem_mb - other.mem_mb, self.gpu - other.gpu
        )

    def times(self, count: int) -> Resources:
        """Return what several of these needs take."""
        return Resources(self.cpu * count, self.mem_mb * count, self.gpu * count)

    def fits_in(self, available: Resources) -> bool:
        """Return whether a room is large enough."""
        return (
            self.cpu <= available.cpu
            and self.mem_mb <= available.mem_mb
            and self.gpu <= available.gpu
        )


@dataclass(frozen=True, slots=True)
class Step:
    """Equal tasks that may run together once the steps before are done.

    Parameters
    ----------
    count : int
        Number of tasks.
    need : Resources
        What each task takes.
    estimated_ms : int
        Declared run time; often far off.
    after : tuple of int
        Steps whose tasks must all be done first.
    required_label : str
        Label that the target must have, empty for any.
    near_rack : str
        Rack that holds the data, empty for any.
    max_per_target : int
        Tasks of the step on one target at a time, 0 for any number.
    is_gang : bool
        Whether the tasks work only together.
    is_one_rack : bool
        Whether the tasks slow down when they run on several racks.
    is_checkpointing : bool
        Whether a later run resumes from what an earlier one saved.
    may_run_copies : bool
        Whether copies of a task may run in parallel.
    is_lasting : bool
        Whether the tasks run until the job is cancelled.
    image : str
        Name of the program; tasks of one image behave alike.
    tail_limit_ms : int
        Limit of the tail latency of a lasting task that serves users, 0 for none.
    is_filling : bool
        Whether the tasks use only the processor time that others leave; their
        `cpu` does not count against the target.
    max_unavailable : int
        Tasks of a lasting step that planned work may take away at a time.
    """

    count: Int64
    need: Resources = Resources()
    estimated_ms: Int64 = 0
    after: tuple[Int64, ...] = ()
    required_label: str = ""
    near_rack: str = ""
    max_per_target: Int64 = 0
    is_gang: bool = False
    is_one_rack: bool = False
    is_checkpointing: bool = False
    may_run_copies: bool = False
    is_lasting: bool = False
    image: str = ""
    tail_limit_ms: Int64 = 0
    is_filling: bool = False
    max_unavailable: Int64 = 0

    def counted_need(self) -> Resources:
        """Return what counts against the capacity of a target."""
        if self.is_filling:
            return Resources(0, self.need.mem_mb, self.need.gpu)
        return self.need


@dataclass(frozen=True, slots=True)
class Recurrence:
    """Times at which the steps of a job run.

    Parameters
    ----------
    count : int
        Number of occurrences.
    first_due_ms : int
        Unix time of the first in milliseconds.
    interval_ms : int
        Time between two of them.
    """

    count: Int64
    first_due_ms: Int64
    interval_ms: Int64

    def due_ms(self, occurrence: int) -> int:
        """Return the Unix time at which an occurrence is due."""
        return self.first_due_ms + occurrence * self.interval_ms


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as a caller handed it in.

    Parameters
    ----------
    id : str
        Name chosen by the caller.
    queue : str
        Queue that it was handed in to.
    pool : str
        Pool whose targets run its tasks, fixed when the job is accepted.
    spec : str
        Text passed on to each task.
    steps : tuple of Step
        Steps, in the order of their numbers.
    recurrence : Recurrence or None
        Times at which the steps run, None for once and at once.
    """

    id: str
    queue: str
    pool: str
    spec: str
    steps: tuple[Step, ...]
    recurrence: Recurrence | None = None

    def occurrences(self) -> int:
        """Return how often the steps run."""
        return self.recurrence.count if self.recurrence is not None else 1


@dataclass(frozen=True, slots=True, order=True)
class StepId:
    """One step of one occurrence of a job."""

    job: str
    occurrence: int
    step: int

    def __str__(self) -> str:
        return f"{self.job}.{self.occurrence}.{self.step}"

    def task(self, index: int) -> TaskId:
        """Return a task of the step."""
        return TaskId(self.job, self.occurrence, self.step, index)


@dataclass(frozen=True, slots=True, order=True)
class TaskId:
    """One task of one occurrence of a job."""

    job: str
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        return f"{self.job}.{self.occurrence}.{self.step}.{self.index}"

    def step_id(self) -> StepId:
        """Return the step that the task belongs to."""
        return StepId(self.job, self.occurrence, self.step)


def parse_task_id(text: str) -> TaskId | None:
    """Return the task that a text names, None if it names none."""
    parts = text.rsplit(".", 3)
    numbers = [number_of(part) for part in parts[1:]]
    if len(parts) != 4 or None in numbers:
        return None
    return TaskId(parts[0], *numbers)


@dataclass(frozen=True, slots=True)
class Run:
    """One start of a task; a later start has a higher number."""

    task: TaskId
    number: int


class EndKind(StrEnum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@dataclass(frozen=True, slots=True)
class RunEnd:
    """The end of a run as its target lists it.

    Parameters
    ----------
    sequence : int
        Number of the end in this life of the target, from 1.
    checkpoint : str
        What the run saved last, empty if nothing.
    """

    sequence: int
    run: Run
    kind: EndKind
    checkpoint: str = ""


class JobState(StrEnum):
    """State of a job as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    def is_final(self) -> bool:
        """Return whether nothing more happens to the job."""
        return self in (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)
