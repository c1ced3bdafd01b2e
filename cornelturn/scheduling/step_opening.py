"""Opens the steps of a job whose tasks may start: those that depend on no other step,
a few due occurrences ahead of the starts, and the others once what they depend on is
done.
"""

from __future__ import annotations

from collections.abc import Iterable

from cornelturn.jobs.model import StepId
from cornelturn.jobs.progress import StepKey
from cornelturn.scheduling.views import JobView
from cornelturn.scheduling.waiting_indices import WaitingIndices

OPEN_AHEAD = 8
"""Due occurrences of a step that wait for their start in the order, besides those with
runs; the planner needs the first two that wait for its reservations."""


def count_due_occurrences(job: JobView, unix_ms: int) -> int:
    """Return how many occurrences of a job are due."""
    recurrence = job.spec.recurrence
    if recurrence is None:
        return 1
    elapsed_ms = unix_ms - recurrence.first_due_ms
    if elapsed_ms < 0:
        return 0
    if recurrence.interval_ms <= 0:
        return recurrence.count
    return min(recurrence.count, elapsed_ms // recurrence.interval_ms + 1)


def open_steps_ahead(
    job: JobView, now_ms: int, unix_offset_ms: int, ahead: int = OPEN_AHEAD
) -> list[StepId]:
    """Open the first steps of the due occurrences that may start next.

    Parameters
    ----------
    unix_offset_ms : int
        Unix time minus the time of the owner's clock.
    ahead : int
        Number of untouched occurrences of each first step that are kept open, for each
        outlook.
    """
    opened: list[StepId] = []
    steps = job.opened_steps
    if not steps.has_unopened():
        return opened
    outlooks = job.forecast(now_ms).outlooks
    for outlook, occurrences in outlooks.ranges(steps.due):
        for number in steps.first_steps:
            if not steps.count_unopened(number):
                continue
            while steps.count_untouched(number, occurrences) < ahead:
                occurrence = steps.next_unopened(number, outlook, occurrences)
                if occurrence is None:
                    break
                step_id = StepId(job.spec.id, occurrence, number)
                openable_ms = _openable_ms(job, occurrence, now_ms, unix_offset_ms)
                if not _open_step(job, step_id, openable_ms):
                    return opened
                if step_id in job.waiting_tasks:
                    steps.untouched[number].add(occurrence)
                    opened.append(step_id)
    return opened


def open_steps_after(job: JobView, changed: Iterable[StepKey], now_ms: int) -> None:
    """Open the steps that may start because others have changed.

    Parameters
    ----------
    changed : iterable of StepKey
        Steps with new progress or a run.
    """
    steps = job.opened_steps
    _open_deferred_steps(job, now_ms)
    for occurrence, number in changed:
        is_done = job.progress.is_step_done(job.spec, occurrence, number)
        if is_done:
            steps.add((occurrence, number))
        elif number in steps.first_counts:
            _open_or_defer(job, StepId(job.spec.id, occurrence, number), now_ms)
        if not is_done:
            continue
        for later, step in enumerate(job.spec.steps):
            if number in step.after and job.progress.is_step_ready(
                job.spec, occurrence, later
            ):
                _open_or_defer(job, StepId(job.spec.id, occurrence, later), now_ms)


def _openable_ms(
    job: JobView, occurrence: int, now_ms: int, unix_offset_ms: int
) -> int:
    """Return since when an occurrence may start, on the owner's clock."""
    if job.spec.recurrence is None:
        return now_ms
    due_ms = job.spec.recurrence.due_ms(occurrence) - unix_offset_ms
    return min(now_ms, max(job.arrived_ms, due_ms))


def _open_deferred_steps(job: JobView, now_ms: int) -> None:
    """Open the deferred steps for which the row of the job has room by now."""
    for step_id in list(job.row_room.deferred):
        if not _open_step(job, step_id, now_ms):
            return
        del job.row_room.deferred[step_id]


def _open_or_defer(job: JobView, step_id: StepId, now_ms: int) -> None:
    if not _open_step(job, step_id, now_ms):
        job.row_room.deferred[step_id] = None


def _open_step(job: JobView, step_id: StepId, openable_ms: int) -> bool:
    """Open a step unless it is open; its tasks that run nowhere wait for a start.

    Return whether it is open; it is not while its row has no room for its progress.
    """
    if step_id in job.opened_steps:
        return True
    key = (step_id.occurrence, step_id.step)
    is_done = job.progress.is_step_done(job.spec, *key)
    if not is_done and not job.row_room.open(step_id):
        return False
    job.opened_steps.add(key)
    job.times.note_step_opened(step_id, openable_ms)
    if not is_done:
        waiting = _waiting_indices(job, step_id)
        if waiting:
            job.waiting_tasks.add_step(step_id, waiting)
    return True


def _waiting_indices(job: JobView, step_id: StepId) -> WaitingIndices:
    """Return the tasks of a step that may start.

    The work depends on the tasks that have run, not on those of the step: callers may
    ask for a million tasks in one job, and the owner must not stop for them.
    """
    key = (step_id.occurrence, step_id.step)
    step = job.spec.steps[step_id.step]
    waiting = WaitingIndices(0, step.count)
    for index in job.progress.done.get(key, ()):
        waiting.discard(index)
    for task, view in job.tasks.items():
        if view.placements and task.step_id() == step_id:
            waiting.discard(task.index)
    if job.queue is not None:
        return waiting
    for occurrence, number, index in job.progress.failed:
        if (occurrence, number) != key:
            continue
        if step.is_gang:
            return WaitingIndices(0, 0)
        waiting.discard(index)
    return waiting
