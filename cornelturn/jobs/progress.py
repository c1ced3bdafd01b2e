"""Progress of a job, kept as sets and flags that only grow.

Copies from several writers can therefore be merged in any order.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from cornelturn.jobs.index_ranges import IndexRanges
from cornelturn.jobs.model import JobSpec, JobState, StepId, TaskId

StepKey = tuple[int, int]
TaskKey = tuple[int, int, int]


@dataclass(slots=True)
class Progress:
    """Completed tasks and failed runs of a job.

    All fields only grow, so two copies are merged by their union, in any order.

    Parameters
    ----------
    done : dict
        Indices of the tasks that succeeded, by occurrence and step.
    failed : dict
        Numbers of the failed runs, by occurrence, step and index of the task; those of
        `completed` occurrences are left out, as they are in rows.
    is_cancelled : bool
        Whether the caller has cancelled the job.
    is_failed : bool
        Whether a task has used up the attempts that its queue allows.
    done_step_count : int
        Number of steps, in the order of occurrences, that were all found done; a later
        check goes on after them.
    done_counts : Counter
        Number of tasks in `done`, by step number.
    completed : IndexRanges
        Occurrences after the first that `compact` has found complete. They have no
        entries in `done`; those of the first one stay, so that `done` is empty only if
        nothing is done.
    """

    done: dict[StepKey, set[int]] = field(default_factory=dict)
    failed: dict[TaskKey, set[int]] = field(default_factory=dict)
    is_cancelled: bool = False
    is_failed: bool = False
    done_step_count: int = field(default=0, compare=False, repr=False)
    done_counts: Counter[int] = field(init=False, compare=False, repr=False)
    completed: IndexRanges = field(default_factory=IndexRanges)

    def __post_init__(self) -> None:
        self.done_counts = Counter()
        for (_, step), indices in self.done.items():
            self.done_counts[step] += len(indices)

    def add_done(self, task: TaskId) -> bool:
        """Record that a task succeeded; return whether that was unknown before."""
        if self.completed.count and task.occurrence in self.completed:
            return False
        indices = self.done.setdefault((task.occurrence, task.step), set())
        is_new = task.index not in indices
        indices.add(task.index)
        self.done_counts[task.step] += is_new
        return is_new

    def add_step_done(self, step: StepId, count: int) -> None:
        """Record that all tasks of a step succeeded."""
        if step.occurrence in self.completed:
            return
        known = self.done.get((step.occurrence, step.step), ())
        self.done_counts[step.step] += count - len(known)
        self.done[step.occurrence, step.step] = set(range(count))

    def add_failed(self, task: TaskId, run: int) -> int:
        """Record a failed run; return how many runs of its task have failed."""
        key = (task.occurrence, task.step, task.index)
        runs = self.failed.setdefault(key, set())
        runs.add(run)
        return len(runs)

    def max_failed_runs(self) -> int:
        """Return the highest number of failed runs of a task."""
        return max(map(len, self.failed.values()), default=0)

    def has_failed(self, task: TaskId) -> bool:
        """Return whether a run of a task has failed."""
        return bool(self.failed.get((task.occurrence, task.step, task.index)))

    def is_done(self, task: TaskId) -> bool:
        """Return whether a task has succeeded."""
        if self.completed.count and task.occurrence in self.completed:
            return True
        return task.index in self.done.get((task.occurrence, task.step), ())

    def count_done(self, spec: JobSpec, step: int, first: int = 0) -> int:
        """Return how many tasks of a step succeeded, from an occurrence on."""
        completed = spec.steps[step].count * self.completed.count_from(first)
        if not first:
            return self.done_counts[step] + completed
        return completed + sum(
            len(indices)
            for (occurrence, number), indices in self.done.items()
            if number == step and occurrence >= first
        )

    def add_completed(self, spec: JobSpec, completed: IndexRanges) -> None:
        """Record the completed occurrences of a row, which include the first one."""
        for number, step in enumerate(spec.steps):
            self.add_step_done(StepId(spec.id, 0, number), step.count)
        for first, last in completed.ranges():
            self.completed.add_range(max(1, first), last)

    def compact(self, spec: JobSpec, changed: Iterable[int]) -> None:
        """Keep the changed occurrences that are complete as ranges.

        What a job with many occurrences costs then depends on those in progress.
        """
        if spec.recurrence is None or not self.is_occurrence_done(spec, 0):
            return
        occurrences = set(changed)
        if 0 in occurrences:
            occurrences = {occurrence for occurrence, _ in self.done} - {0}
        for occurrence in occurrences:
            if self.is_occurrence_done(spec, occurrence):
                self._discard_entries(occurrence, range(len(spec.steps)))
                self.completed.add(occurrence)

    def step_keys(self) -> set[StepKey]:
        """Return the steps with done tasks or failed runs."""
        return self.done.keys() | {task[:2] for task in self.failed}

    def merge(self, other: Progress) -> set[StepKey]:
        """Add the progress of another copy; return the steps that have changed."""
        changed = self._merge_completed(other)
        for step, indices in other.done.items():
            if step[0] in self.completed:
                continue
            own_indices = self.done.setdefault(step, set())
            if not indices <= own_indices:
                self.done_counts[step[1]] += len(indices - own_indices)
                own_indices.update(indices)
                changed.add(step)
        for task, runs in other.failed.items():
            if task[0] in self.completed:
                continue
            own_runs = self.failed.setdefault(task, set())
            if not runs <= own_runs:
                own_runs.update(runs)
                changed.add(task[:2])
        self.is_cancelled = self.is_cancelled or other.is_cancelled
        self.is_failed = self.is_failed or other.is_failed
        return changed

    def _merge_completed(self, other: Progress) -> set[StepKey]:
        """Add the completed occurrences of another copy; return the changed steps."""
        steps = [step for occurrence, step in other.done if not occurrence]
        missing = self.completed.missing_from(other.completed)
        for occurrence in missing:
            self._discard_entries(occurrence, steps)
            self.completed.add(occurrence)
        if missing:
            for task in [task for task in self.failed if task[0] in self.completed]:
                del self.failed[task]
        return {(occurrence, step) for occurrence in missing for step in steps}

    def _discard_entries(self, occurrence: int, steps: Iterable[int]) -> None:
        for step in steps:
            indices = self.done.pop((occurrence, step), ())
            self.done_counts[step] -= len(indices)
            if self.failed:
                for index in indices:
                    self.failed.pop((occurrence, step, index), None)

    def is_occurrence_done(self, spec: JobSpec, occurrence: int) -> bool:
        """Return whether all tasks of an occurrence have succeeded."""
        return all(
            self.is_step_done(spec, occurrence, step) for step in range(len(spec.steps))
        )

    def is_step_done(self, spec: JobSpec, occurrence: int, step: int) -> bool:
        """Return whether all tasks of a step have succeeded."""
        if self.completed.count and occurrence in self.completed:
            return True
        return len(self.done.get((occurrence, step), ())) >= spec.steps[step].count

    def is_step_ready(self, spec: JobSpec, occurrence: int, step: int) -> bool:
        """Return whether all steps on which a step depends are done."""
        after = spec.steps[step].after
        return all(self.is_step_done(spec, occurrence, earlier) for earlier in after)

    def is_complete(self, spec: JobSpec) -> bool:
        """Return whether all tasks of all occurrences have succeeded."""
        step_count = len(spec.steps)
        total = spec.occurrences() * step_count
        while self.done_step_count < total:
            occurrence, step = divmod(self.done_step_count, step_count)
            if self.completed.count and occurrence in self.completed:
                next_occurrence = self.completed.next_missing(occurrence)
                self.done_step_count = next_occurrence * step_count
                continue
            if not self.is_step_done(spec, occurrence, step):
                return False
            self.done_step_count += 1
        return True

    def state(self, spec: JobSpec) -> JobState:
        """Return the state that follows from the progress."""
        if self.is_complete(spec):
            return JobState.COMPLETED
        if self.is_cancelled:
            return JobState.CANCELLED
        if self.is_failed:
            return JobState.FAILED
        return JobState.RUNNING if self.done or self.failed else JobState.QUEUED
