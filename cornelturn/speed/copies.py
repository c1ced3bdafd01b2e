"""Decides for which slow runs a copy of the task starts on another target.

Copies have even run numbers and other runs of the same steps odd ones, so that each
owner can tell them apart in reports.
"""

from __future__ import annotations

from dataclasses import dataclass

from cornelturn.jobs.model import Resources, Step
from cornelturn.scheduling.run_numbers import next_run_number
from cornelturn.speed.estimates import PROGRESS_AGE_MS

DEFAULT_COPY_SHARE = 0.1
"""Share of the capacity of a pool that copies may take."""

OUTLIER_FACTOR = 1.25
"""Multiple of the usual time after which a run counts as an outlier."""

MIN_REMAINING_LAST = 1.25
"""Multiple of its usual time that a run must still need for a copy once the rest of its
step is done. A copy takes the usual time and that of an order."""

MIN_REMAINING = 2.0
"""The same while other tasks of the step run, which may end later than this one."""

MIN_ELAPSED_MS = 600
"""Time after which a run on a slow target may be copied; before, it shows nothing, as
progress in reports is half a second old."""


@dataclass(frozen=True, slots=True)
class RunOutlook:
    """A run, as far as it decides whether a copy would end sooner.

    Parameters
    ----------
    usual_ms : float
        Time that runs of its step take on other targets.
    percent : int
        Progress in the last report.
    speed : float
        Estimated speed of its target.
    is_last : bool
        Whether all other tasks of its step are done.
    """

    usual_ms: float
    elapsed_ms: int
    percent: int
    speed: float
    is_last: bool

    def remaining_ms(self) -> float:
        """Return the time that the run is expected to need still.

        The progress is taken to be half as old as it may be. A target that became slow
        during the run is judged by its estimated speed.
        """
        age_ms = PROGRESS_AGE_MS / 2
        done = (self.percent + 0.5) / 100
        by_rate_ms = (1 - done) * max(1.0, self.elapsed_ms - age_ms) / done - age_ms
        by_speed_ms = (1 - done) * self.usual_ms / self.speed - age_ms
        return max(by_rate_ms, by_speed_ms) if self.speed < 1 else by_rate_ms

    def needs_copy(self) -> bool:
        """Return whether a copy is expected to end well before the run."""
        limit_ms = OUTLIER_FACTOR * self.usual_ms
        is_outlier = self.elapsed_ms >= limit_ms
        # A short run may have ended since its progress was seen.
        done = (self.percent + 1) / 100 + PROGRESS_AGE_MS / self.usual_ms
        if done >= 1 and self.elapsed_ms < limit_ms + PROGRESS_AGE_MS:
            return False
        has_slow_target = self.speed < 1 and self.elapsed_ms >= MIN_ELAPSED_MS
        if not (is_outlier or has_slow_target):
            return False
        multiple = MIN_REMAINING_LAST if self.is_last else MIN_REMAINING
        return self.remaining_ms() > multiple * self.usual_ms


def allows_copies(step: Step) -> bool:
    """Return whether a task of a step may run twice at a time."""
    is_single = not step.is_gang and not step.is_lasting and not step.is_filling
    return step.may_run_copies and is_single


def is_copy(step: Step, number: int) -> bool:
    """Return whether the number of a run is that of a copy."""
    return allows_copies(step) and number % 2 == 0


def next_number(step: Step, generation: int, known: int, copy: bool = False) -> int:
    """Return the number of the next run of a task, or of the next copy.

    Parameters
    ----------
    known : int
        Highest known number of a run of the task, 0 if none is known.

    Raises
    ------
    RunNumbersUsedUp
        If the number would lie in the range of the next owner.
    """
    number = next_run_number(generation, known)
    if allows_copies(step) and is_copy(step, number) is not copy:
        number = next_run_number(generation, number)
    return number


def is_within_share(used: Resources, capacity: Resources, share: float) -> bool:
    """Return whether copies may take some resources of a pool."""
    return (
        used.cpu <= share * capacity.cpu
        and used.mem_mb <= share * capacity.mem_mb
        and used.gpu <= share * capacity.gpu
    )
