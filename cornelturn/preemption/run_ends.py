"""Ends of runs: when they are expected, and what is lost by an end now."""

from __future__ import annotations

import math

from cornelturn.scheduling.target_view import RunView
from cornelturn.scheduling.views import JobView
from cornelturn.speed.estimates import PROGRESS_AGE_MS

RESTORE_MS = 250
"""Longest time that a run needs to resume from a checkpoint."""

MIN_RATED_PERCENT = 10
"""Progress from which the end of a run is expected by its rate; before, half a second
of age of the progress says more than the rate."""


def expected_end_ms(job: JobView, run_view: RunView, now_ms: int) -> float:
    """Return when a batch run is expected to end, infinite if that is not known.

    That is by its rate, and by the declared run time while its rate says little. A run
    that takes longer than declared may end at any time.
    """
    rest_ms = run_view.rated_rest_ms()
    if rest_ms is not None and run_view.percent >= MIN_RATED_PERCENT:
        return now_ms + max(0, rest_ms - PROGRESS_AGE_MS)
    declared_ms = job.step_run_ms[run_view.run.task.step]
    if run_view.is_adopted or declared_ms <= now_ms - run_view.started_ms:
        return math.inf
    return run_view.started_ms + declared_ms


def unsaved_time_ms(job: JobView, run_view: RunView, now_ms: int) -> float:
    """Return for how long a run has worked in vain if it is stopped now.

    The time to resume is included. A checkpoint in a report is half a second old; how
    long the run of an earlier owner has worked without one is not known.
    """
    step = job.spec.steps[run_view.run.task.step]
    if step.is_checkpointing and run_view.saved_ms is not None:
        return now_ms - run_view.saved_ms + PROGRESS_AGE_MS + RESTORE_MS
    if run_view.is_adopted:
        return math.inf
    resume_ms = RESTORE_MS if run_view.resumed_from else 0
    return now_ms - run_view.started_ms + resume_ms
