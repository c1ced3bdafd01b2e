"""Tasks of a job that wait for their start, and its steps that have been opened."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from cornelturn.jobs.index_ranges import IndexRanges
from cornelturn.jobs.model import Step, StepId, TaskId
from cornelturn.jobs.progress import StepKey
from cornelturn.scheduling.outlooks import Outlook
from cornelturn.scheduling.waiting_indices import WaitingIndices


@dataclass(slots=True)
class WaitingTasks:
    """Indices of the tasks that wait for their start, by step.

    Parameters
    ----------
    counts : Counter
        Number of waiting tasks by step number, of all occurrences.
    changed_steps : set of StepId
        Steps that have been added or removed since the start order was updated.
    """

    by_step: dict[StepId, WaitingIndices] = field(default_factory=dict)
    counts: Counter[int] = field(default_factory=Counter)
    changed_steps: set[StepId] = field(default_factory=set)

    def __contains__(self, step_id: StepId) -> bool:
        return step_id in self.by_step

    def __iter__(self) -> Iterator[StepId]:
        return iter(self.by_step)

    def __len__(self) -> int:
        return len(self.by_step)

    def __getitem__(self, step_id: StepId) -> WaitingIndices:
        return self.by_step[step_id]

    def indices(self, step_id: StepId) -> WaitingIndices:
        """Return the tasks of a step that wait, which may be none."""
        return self.by_step.get(step_id) or WaitingIndices(0, 0)

    def add_step(self, step_id: StepId, indices: WaitingIndices) -> None:
        """Add tasks of a step that has none yet."""
        self.by_step[step_id] = indices
        self.counts[step_id.step] += len(indices)
        self.changed_steps.add(step_id)

    def add(self, task: TaskId) -> None:
        """Add a task."""
        step_id = task.step_id()
        indices = self.by_step.get(step_id)
        if indices is None:
            only = WaitingIndices(task.index, task.index + 1)
            self.add_step(step_id, only)
        elif task.index not in indices:
            indices.add(task.index)
            self.counts[task.step] += 1

    def discard(self, task: TaskId) -> None:
        """Remove a task."""
        step_id = task.step_id()
        indices = self.by_step.get(step_id)
        if indices is None or task.index not in indices:
            return
        indices.discard(task.index)
        self.counts[task.step] -= 1
        if not indices:
            del self.by_step[step_id]
            self.changed_steps.add(step_id)

    def remove_step(self, step_id: StepId) -> None:
        """Remove all tasks of a step."""
        self.counts[step_id.step] -= len(self.by_step.pop(step_id))
        self.changed_steps.add(step_id)

    def take_changed_steps(self) -> set[StepId]:
        """Return the steps that have changed since the last call."""
        changed, self.changed_steps = self.changed_steps, set()
        return changed

    def clear(self) -> None:
        """Remove all tasks."""
        self.by_step.clear()
        self.counts.clear()


class Search(NamedTuple):
    """How far the occurrences of an outlook have been searched for unopened ones.

    Parameters
    ----------
    begin : int
        First occurrence of the outlook at that time.
    next_occurrence : int
        The first one that may not be open.
    """

    begin: int
    next_occurrence: int


@dataclass(slots=True)
class OpenedSteps:
    """Steps of a job whose tasks may start, and the due occurrences without any.

    A first step depends on no other one. The first steps of due occurrences are opened
    in their order, a few more than have started: what a job costs its owner then does
    not depend on how many of its occurrences are due.

    Parameters
    ----------
    first_steps : tuple of int
        Numbers of the first steps.
    done_before : IndexRanges
        Occurrences that were complete when the job was taken up.
    due : int
        Number of occurrences that are due.
    opened : set
        Steps that have been opened or were done before.
    first_counts : dict
        Number of occurrences whose first step has been opened, by step number.
    first_count : int
        Sum of these.
    searches : dict
        Search for unopened occurrences, by first step and outlook.
    untouched : dict
        Occurrences that were opened in order and have had no change since, by first
        step. While one of them does not fit, no later one fits.
    is_closed : bool
        Whether the job is final, so that nothing more is opened.
    """

    first_steps: tuple[int, ...]
    done_before: IndexRanges = field(default_factory=IndexRanges)
    due: int = 0
    opened: set[StepKey] = field(default_factory=set)
    first_counts: dict[int, int] = field(init=False)
    first_count: int = field(init=False)
    searches: dict[tuple[int, Outlook], Search] = field(default_factory=dict)
    untouched: dict[int, set[int]] = field(init=False)
    is_closed: bool = False

    def __post_init__(self) -> None:
        self.first_counts = dict.fromkeys(self.first_steps, self.done_before.count)
        self.first_count = self.done_before.count * len(self.first_steps)
        self.untouched = {step: set() for step in self.first_steps}

    def __contains__(self, step_id: StepId) -> bool:
        key = (step_id.occurrence, step_id.step)
        return key in self.opened or step_id.occurrence in self.done_before

    def add(self, key: StepKey) -> bool:
        """Record that a step was opened or is done; return whether that is new."""
        if key in self.opened or key[0] in self.done_before:
            return False
        self.opened.add(key)
        if key[1] in self.first_counts:
            self.first_counts[key[1]] += 1
            self.first_count += 1
        return True

    def count_unopened(self, step: int) -> int:
        """Return how many due occurrences have not had a first step opened."""
        if self.is_closed or step not in self.first_counts:
            return 0
        return max(0, self.due - self.first_counts[step])

    def has_unopened(self) -> bool:
        """Return whether due occurrences have first steps that are not open."""
        if self.is_closed:
            return False
        return self.due * len(self.first_steps) > self.first_count

    def count_untouched(self, step: int, occurrences: range) -> int:
        """Return how many of some occurrences are open and untouched."""
        return sum(occurrence in occurrences for occurrence in self.untouched[step])

    def next_unopened(
        self, step: int, outlook: Outlook, occurrences: range
    ) -> int | None:
        """Return the first occurrence of an outlook whose first step is not open.

        Parameters
        ----------
        occurrences : range
            The due occurrences of this outlook. Both ends only grow while the objective
            stays; after a longer one, the earlier occurrences are searched again.
        """
        begin = occurrences.start
        search = self.searches.get((step, outlook))
        if search is not None and begin >= search.begin:
            begin = max(begin, search.next_occurrence)
        occurrence = self.done_before.next_missing(begin)
        while (occurrence, step) in self.opened:
            occurrence = self.done_before.next_missing(occurrence + 1)
        self.searches[step, outlook] = Search(occurrences.start, occurrence)
        return occurrence if occurrence in occurrences else None

    def note_touched(self, step_id: StepId) -> None:
        """Record that a task of a step was started, or found running or done."""
        untouched = self.untouched.get(step_id.step)
        if untouched is not None:
            untouched.discard(step_id.occurrence)


def opened_steps_of(steps: tuple[Step, ...], completed: IndexRanges) -> OpenedSteps:
    """Return the opened steps of a new job: those of completed occurrences."""
    first_steps = (number for number, step in enumerate(steps) if not step.after)
    return OpenedSteps(tuple(first_steps), completed.copy())
