"""Data classes of jobs, their steps and tasks, and the runs of tasks."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from cornelturn.model.decoding import Int64, parse_number
from cornelturn.model.queue_identity import QueueReference

CPU_UNITS_PER_CORE = 1_000
"""CPU is counted in thousandths of a core."""


@dataclass(frozen=True, slots=True)
class Resources:
    """Resources of a target, as needed by a task or available on the target.

    Parameters
    ----------
    cpu : int
        Thousandths of a core.
    mem_mb : int
        Memory in megabytes.
    gpu : int
        Number of accelerators.
    """

    cpu: Int64 = 0
    mem_mb: Int64 = 0
    gpu: Int64 = 0

    def plus(self, other: Resources) -> Resources:
        """Return the sum of two amounts of resources."""
        return Resources(
            self.cpu + other.cpu, self.mem_mb + other.mem_mb, self.gpu + other.gpu
        )

    def minus(self, other: Resources) -> Resources:
        """Return the difference of two amounts of resources."""
        return Resources(
            self.cpu - other.cpu, self.mem_mb - other.mem_mb, self.gpu - other.gpu
        )

    def times(self, count: int) -> Resources:
        """Return this amount of resources several times."""
        return Resources(self.cpu * count, self.mem_mb * count, self.gpu * count)

    def lowest(self, other: Resources) -> Resources:
        """Return the smaller of two amounts for each resource."""
        return Resources(
            min(self.cpu, other.cpu),
            min(self.mem_mb, other.mem_mb),
            min(self.gpu, other.gpu),
        )

    def fits_in(self, available: Resources) -> bool:
        """Return whether the available resources are sufficient."""
        return (
            self.cpu <= available.cpu
            and self.mem_mb <= available.mem_mb
            and self.gpu <= available.gpu
        )

    def count_in(self, available: Resources, limit: int) -> int:
        """Return how many times the available resources suffice, up to a limit.

        A resource that is not needed does not count, even where none of it is left.
        """
        count = limit
        if self.cpu:
            count = min(count, available.cpu // self.cpu)
        if self.mem_mb:
            count = min(count, available.mem_mb // self.mem_mb)
        if self.gpu:
            count = min(count, available.gpu // self.gpu)
        return max(0, count)


@dataclass(frozen=True, slots=True)
class Step:
    """Identical tasks that may run in parallel once the preceding steps are done.

    Parameters
    ----------
    count : int
        Number of tasks.
    need : Resources
        Resources of each task.
    estimated_ms : int
        Run time that the caller declared; often far from the real one.
    after : tuple of int
        Steps whose tasks must all be done first.
    required_label : str
        Label that the target must have, empty for any.
    near_rack : str
        Rack that holds the data of the tasks, empty for any.
    max_per_target : int
        Limit of the step's tasks on one target at a time, 0 for none.
    is_gang : bool
        Whether the tasks make progress only while all of them run.
    is_one_rack : bool
        Whether the tasks slow down when they run on several racks.
    is_checkpointing : bool
        Whether a later run resumes from the checkpoint of an earlier one.
    may_run_copies : bool
        Whether several copies of a task may run in parallel.
    is_lasting : bool
        Whether the tasks run until the job is cancelled.
    image : str
        Name of the program; tasks of one image behave alike.
    tail_limit_ms : int
        Limit of the tail latency of a lasting task that serves users, 0 for none.
    is_filling : bool
        Whether the tasks use only processor time that other tasks leave idle;
        their `cpu` does not count against the capacity of the target.
    max_unavailable : int
        Tasks of a lasting step that planned maintenance may stop at a time.
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

    def start_need(self) -> Resources:
        """Return the resources of what must start at once: a task, or the gang."""
        return self.need.times(self.count) if self.is_gang else self.need

    def counted_need(self) -> Resources:
        """Return the resources that count against the capacity of a target."""
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
        Unix time of the first occurrence in milliseconds.
    interval_ms : int
        Time between two occurrences.
    """

    count: Int64
    first_due_ms: Int64
    interval_ms: Int64

    def due_ms(self, occurrence: int) -> int:
        """Return the Unix time at which an occurrence is due."""
        return self.first_due_ms + occurrence * self.interval_ms


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as its caller submitted it.

    Parameters
    ----------
    id : str
        Name chosen by the caller.
    queue : str
        Name, at that time, of the queue to which the job was submitted.
    pool : str
        Pool whose targets run the tasks, fixed when the job is accepted.
    spec : str
        Text that is passed to each task.
    steps : tuple of Step
        Steps, in the order of their numbers.
    recurrence : Recurrence or None
        Times at which the steps run, None to run them once, immediately.
    organisation : str
        Organisation that submitted the job, empty on a public queue.
    queue_id : str
        Id of that queue; empty in rows of earlier versions of this software.
    """

    id: str
    queue: str
    pool: str
    spec: str
    steps: tuple[Step, ...]
    recurrence: Recurrence | None = None
    organisation: str = ""
    queue_id: str = ""

    def queue_reference(self) -> QueueReference:
        """Return how the job refers to its queue."""
        return QueueReference(self.queue, self.queue_id)

    def queue_key(self) -> str:
        """Return what identifies its queue: the id, else the name."""
        return self.queue_id or self.queue

    def occurrences(self) -> int:
        """Return how many times the steps run."""
        return self.recurrence.count if self.recurrence is not None else 1

    def longest_chain_ms(self, run_ms: Sequence[int]) -> int:
        """Return the length of the longest chain of steps with some run times."""
        ends: list[int] = []
        for step, own_ms in zip(self.steps, run_ms, strict=True):
            before_ms = max((ends[number] for number in step.after), default=0)
            ends.append(before_ms + own_ms)
        return max(ends, default=0)


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
    """Return the task with an id, None if the text is not an id of a task."""
    parts = text.rsplit(".", 3)
    numbers = [parse_number(part) for part in parts[1:]]
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
        Number of the end in this life of the target, starting at 1.
    checkpoint : str
        Last checkpoint that the run saved, empty if none.
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
        """Return whether the state cannot change any more."""
        return self in (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)
