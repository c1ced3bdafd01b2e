"""Room in the row of a job for the progress of the steps that are in progress.

The progress of a done step takes little room, as its tasks are one range. A step opens
only once its progress fits in the row whatever the order of its ends, beside that of
the other open steps. Jobs that are wider than that run a part of their steps at a time.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from cornelturn.jobs.index_sets import max_encoded_length
from cornelturn.jobs.model import JobSpec, StepId
from cornelturn.jobs.progress import Progress, StepKey
from cornelturn.jobs.rows import JobRow, encode_job
from cornelturn.model.routes import VersionedQueue
from cornelturn.store.limits import StoreLimits, value_bytes

STATE_BYTES = 400
"""Room for the flags, a generation of any length, a later definition of the queue, and
the punctuation of the progress."""

STEP_BYTES = 40
"""Room for a step in progress or done, without the indices of an open one: the numbers
of up to 100,000 occurrences and 10,000 tasks take 23 of 30 bytes."""

FAILED_SETS = 2
"""Run numbers for whose failures an open step has room. The tasks of a step mostly fail
in their first or second run, which have the same numbers in all tasks."""

FAILED_SET_BYTES = 28
"""Room for a run number, without the indices of its tasks."""


@dataclass(slots=True)
class RowRoom:
    """Room in the row of one job, and the steps that have reserved a part of it.

    An occurrence keeps room for all its steps until all of them are done.

    Parameters
    ----------
    free_bytes : int
        Room for progress that nothing has reserved; below 0 if steps that an earlier
        owner opened need more than there is.
    open_steps : dict
        Numbers of the open steps of each occurrence that is in progress.
    open_count : int
        Number of open steps.
    deferred : dict
        Steps that were ready when there was no room for them, in this order.
    """

    spec: JobSpec
    free_bytes: int
    open_steps: dict[int, set[int]] = field(default_factory=dict)
    open_count: int = 0
    deferred: dict[StepId, None] = field(default_factory=dict)

    def open(self, step: StepId) -> bool:
        """Reserve room for a step unless it lacks; return whether the step may open.

        A new occurrence must leave room for the largest step, so that the occurrences
        in progress can always go on. One step may always be open: an earlier owner may
        have begun more occurrences than fit.
        """
        if self._is_open(step):
            return True
        needed = self._step_bytes(step.step)
        if step.occurrence not in self.open_steps:
            needed = occurrence_bytes(self.spec) + largest_step_bytes(self.spec)
        if needed > self.free_bytes and self.open_count:
            return False
        self.hold(step)
        return True

    def hold(self, step: StepId) -> None:
        """Reserve room for a step that is in progress, even if there is not enough."""
        if self._is_open(step):
            return
        if step.occurrence not in self.open_steps:
            self.open_steps[step.occurrence] = set()
            self.free_bytes -= occurrence_bytes(self.spec)
        self.open_steps[step.occurrence].add(step.step)
        self.open_count += 1
        self.free_bytes -= self._step_bytes(step.step)

    def hold_progress(self, progress: Progress) -> None:
        """Reserve room for the occurrences that an earlier owner has begun."""
        failed = {key[:2] for key in progress.failed}
        for occurrence, step in {*progress.done, *failed}:
            if step < len(self.spec.steps):
                self.hold(StepId(self.spec.id, occurrence, step))
        self.release_done(progress)

    def release_done(self, progress: Progress) -> None:
        """Release the room of all steps and occurrences that are done."""
        for occurrence, steps in list(self.open_steps.items()):
            self.release_steps(progress, [(occurrence, step) for step in steps])
            self._release_occurrence(progress, occurrence)

    def release_steps(self, progress: Progress, changed: Iterable[StepKey]) -> None:
        """Release the room of those steps, and of their occurrences, that are done."""
        for occurrence, step in changed:
            steps = self.open_steps.get(occurrence)
            if steps is None or step not in steps:
                continue
            if progress.is_step_done(self.spec, occurrence, step):
                steps.discard(step)
                self.open_count -= 1
                self.free_bytes += self._step_bytes(step)
                self._release_occurrence(progress, occurrence)

    def _release_occurrence(self, progress: Progress, occurrence: int) -> None:
        if self.open_steps.get(occurrence) != set():
            return
        if all(
            progress.is_step_done(self.spec, occurrence, step)
            for step in range(len(self.spec.steps))
        ):
            del self.open_steps[occurrence]
            self.free_bytes += occurrence_bytes(self.spec)

    def _is_open(self, step: StepId) -> bool:
        return step.step in self.open_steps.get(step.occurrence, ())

    def _step_bytes(self, step: int) -> int:
        return step_bytes(self.spec, step)


def new_row_room(
    spec: JobSpec, queue: VersionedQueue | None, limits: StoreLimits
) -> RowRoom:
    """Return the room in the row of a job that has not begun."""
    text = encode_job(JobRow(spec, Progress(), queue=queue))
    return RowRoom(spec, limits.max_row_bytes() - STATE_BYTES - value_bytes(text))


def missing_bytes(
    spec: JobSpec, queue: VersionedQueue | None, limits: StoreLimits
) -> int:
    """Return by how much a job is too large to run one step at a time, 0 if it fits."""
    free_bytes = new_row_room(spec, queue, limits).free_bytes
    return max(0, occurrence_bytes(spec) + largest_step_bytes(spec) - free_bytes)


def occurrence_bytes(spec: JobSpec) -> int:
    """Return the room of an occurrence in progress whose steps are done or not begun.

    It also divides the range of the occurrences that are done.
    """
    counted = sum(not step.is_lasting for step in spec.steps)
    return STEP_BYTES + counted * STEP_BYTES


def largest_step_bytes(spec: JobSpec) -> int:
    """Return the room of the open step that needs most."""
    return max(
        (step_bytes(spec, number) for number in range(len(spec.steps))), default=0
    )


def step_bytes(spec: JobSpec, number: int) -> int:
    """Return the room of an open step; the ends of lasting tasks are not stored."""
    step = spec.steps[number]
    if step.is_lasting:
        return 0
    indices = max_encoded_length(step.count)
    return indices + FAILED_SETS * (FAILED_SET_BYTES + indices)
