"""Progress of a job as its row holds it.

Sets of task indices are stored as `index_sets` encodes them. Occurrences whose steps
are all done are stored together. Rows of earlier versions, which list each index, are
decoded as well; earlier versions report rows of this form as unreadable.
"""

from __future__ import annotations

from itertools import chain

import msgspec

from cornelturn.jobs.index_ranges import ranges_of
from cornelturn.jobs.index_sets import (
    MAX_INDEX,
    decode_indices,
    decode_ranges,
    encode_indices,
    encode_ranges,
)
from cornelturn.jobs.model import JobSpec, StepId
from cornelturn.jobs.progress import Progress, StepKey
from cornelturn.model.decoding import Int64

ALL_STEPS = -1
"""Number in place of a step for the set of occurrences whose steps are all done."""

FailedRuns = tuple[Int64, tuple[Int64, ...] | str]


class StepRow(msgspec.Struct, frozen=True, array_like=True):
    """Progress of one step.

    Parameters
    ----------
    done : str or tuple of int
        Indices of the done tasks; earlier versions listed them.
    failed : tuple
        For each run number, the indices of the tasks whose run of that number failed,
        without those of done tasks. Earlier versions stored the index of a task with
        its run numbers.
    """

    occurrence: Int64
    step: Int64
    done: tuple[Int64, ...] | str
    failed: tuple[FailedRuns, ...]


FailedSets = dict[StepKey, dict[int, set[int]]]


def encode_progress(
    spec: JobSpec, progress: Progress, has_failed_runs: bool = True
) -> tuple[StepRow, ...]:
    """Encode the done tasks and the failed runs of a job.

    Parameters
    ----------
    has_failed_runs : bool
        Whether failed runs are stored.
    """
    failed = _failed_by_run(progress) if has_failed_runs else {}
    completed = progress.completed.copy()
    for occurrence in {occurrence for occurrence, _ in progress.done}:
        if progress.is_occurrence_done(spec, occurrence):
            completed.add(occurrence)
    keys = {key for key in progress.done if key[0] not in completed} | set(failed)
    rows = [
        StepRow(
            *key,
            encode_indices(progress.done.get(key, ())),
            tuple(
                (run, encode_indices(indices))
                for run, indices in sorted(failed.get(key, {}).items())
            ),
        )
        for key in sorted(keys)
    ]
    if completed.count:
        rows.insert(0, StepRow(0, ALL_STEPS, encode_ranges(completed), ()))
    return tuple(rows)


def decode_progress(spec: JobSpec, rows: tuple[StepRow, ...]) -> Progress:
    """Decode the done tasks and the failed runs of a job.

    Raises
    ------
    ValueError
        If a number is out of range.
    """
    progress = Progress()
    for row in rows:
        if row.step == ALL_STEPS:
            _add_completed(progress, spec, row.done)
            continue
        if not 0 <= row.step < len(spec.steps) or row.occurrence < 0:
            raise ValueError(f"expected a step of the job, found {row.step}")
        key = (row.occurrence, row.step)
        for index in _indices(row.done):
            progress.add_done(StepId(spec.id, *key).task(index))
        for number, others in row.failed:
            if isinstance(others, str):
                for index in decode_indices(others):
                    progress.failed.setdefault((*key, index), set()).add(number)
            else:
                progress.failed[*key, *_indices((number,))] = set(others)
    progress.compact(spec, {occurrence for occurrence, _ in progress.done})
    return progress


def _add_completed(
    progress: Progress, spec: JobSpec, stored: tuple[int, ...] | str
) -> None:
    if any(step.count > MAX_INDEX for step in spec.steps):
        raise ValueError(f"expected steps of at most {MAX_INDEX} tasks")
    if isinstance(stored, str):
        completed = decode_ranges(stored)
    else:
        completed = ranges_of(_indices(stored))
    if spec.recurrence is not None and 0 in completed:
        progress.add_completed(spec, completed)
        return
    # An earlier owner may have completed others before the first one.
    occurrences = (range(first, last + 1) for first, last in completed.ranges())
    for occurrence in chain.from_iterable(occurrences):
        for number, step in enumerate(spec.steps):
            progress.add_step_done(StepId(spec.id, occurrence, number), step.count)


def _indices(stored: tuple[int, ...] | str) -> set[int]:
    if isinstance(stored, str):
        return decode_indices(stored)
    if any(not 0 <= index <= MAX_INDEX for index in stored):
        raise ValueError(f"expected indices from 0 to {MAX_INDEX}")
    return set(stored)


def _failed_by_run(progress: Progress) -> FailedSets:
    """Return the failed runs of tasks that are not done, by step and run number.

    A done task has no further run that its failed ones could count against.
    """
    failed: FailedSets = {}
    for (occurrence, step, index), runs in progress.failed.items():
        key = (occurrence, step)
        if occurrence in progress.completed or index in progress.done.get(key, ()):
            continue
        by_run = failed.setdefault(key, {})
        for run in runs:
            by_run.setdefault(run, set()).add(index)
    return failed
