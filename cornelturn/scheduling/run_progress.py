"""Progress of runs: how fast it is, and for how long it may stay the same.

Targets report whole percents, so a long task reports the same one for a long time.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from cornelturn.targets.model import FULL_PACE

STALL_TIMEOUT_MS = 1_500
"""Shortest time without progress after which a run counts as stalled: several reports,
so that it also holds for runs that are much faster than these."""

STALL_FACTOR = 3
"""Multiple of the usual time for one percent after which a run counts as stalled."""

ESTIMATE_FACTOR = 10
"""Multiple of the declared run time that a run may take without counting as stalled
before its rate is known; declared times are often far from the real ones."""

ASSUMED_RUN_MS = 100_000
"""Declared run time that is assumed for tasks without one."""

STALL_GROWTH = 2
"""Factor by which a task may be longer without progress after each stop for that, so
that a task whose rate is misjudged ends after a few stops."""

WINDOW_RESTART_MS = 3_000
"""Length at which a window starts anew, so that it shows the current speed; several
times the age of the progress in reports."""

MIN_WINDOW_MS = 600
"""Length below which a window says nothing about the speed, since the progress in
reports is half a second old."""

JUDGE_INTERVAL_MS = 250
"""Shortest time between two judgements of a run; a busy target reports more often."""


class WindowGain(NamedTuple):
    """Whole percents that a run has gained in a window, and the length of it."""

    percent: int
    elapsed_ms: int


@dataclass(slots=True)
class ProgressWindow:
    """Progress of a run since its beginning or some later report.

    Parameters
    ----------
    percent, since_ms : int
        Progress at the beginning of the window, and the time on the target's clock;
        None before the first report.
    last_percent : int
        Progress in the last report.
    judged_ms : int
        Time of the last report by which the run was judged.
    """

    percent: int = 0
    since_ms: int | None = None
    last_percent: int = 0
    judged_ms: int = 0

    def note(self, percent: int, clock_ms: int, running_ms: int) -> WindowGain | None:
        """Record a report; return the gain, None if the run is not judged by it.

        Parameters
        ----------
        running_ms : int
            For how long the run may have run from its beginning; 0 if not known.
        """
        if self.since_ms is None:
            self.percent = 0 if running_ms else percent
            self.since_ms = clock_ms - running_ms
        if percent < self.last_percent:
            # The run has begun anew, so that its earlier progress says nothing.
            self.percent, self.since_ms = percent, clock_ms
        self.last_percent = percent
        gained, elapsed_ms = percent - self.percent, clock_ms - self.since_ms
        if elapsed_ms < MIN_WINDOW_MS or clock_ms - self.judged_ms < JUDGE_INTERVAL_MS:
            return None
        self.judged_ms = clock_ms
        if elapsed_ms >= WINDOW_RESTART_MS:
            self.percent, self.since_ms = percent, clock_ms
        return WindowGain(gained, elapsed_ms)


@dataclass(slots=True)
class RunProgress:
    """Progress of a run on the clock of its target.

    Parameters
    ----------
    percent, changed_ms : int
        Last progress, and when it last changed; None before the first report.
    first_percent, first_ms : int
        Progress and time of the first change; None before it. How long the progress
        of the first report had been the same is not known.
    mean_rate_ms : float or None
        Time for one percent from the beginning of the run, None if not known.
    reported_ms : int or None
        Time of the last report.
    lost_ms : int
        Time that the run could not use because its pace was lowered. All other times
        are without it.
    window : ProgressWindow
        Recent progress, by which the speed of the target is judged.
    """

    percent: int = 0
    changed_ms: int | None = None
    first_percent: int = 0
    first_ms: int | None = None
    mean_rate_ms: float | None = None
    reported_ms: int | None = None
    lost_ms: int = 0
    window: ProgressWindow = field(default_factory=ProgressWindow)

    def note_pace(self, pace: int, clock_ms: int) -> None:
        """Record the lowest pace between the last report and the one at a time."""
        if pace < FULL_PACE and self.reported_ms is not None:
            elapsed_ms = max(0, clock_ms - self.reported_ms)
            self.lost_ms += elapsed_ms * (FULL_PACE - pace) // FULL_PACE
        self.reported_ms = clock_ms

    def unchanged_ms(self, clock_ms: int) -> int | None:
        """Return for how long it is the same, None before the first report."""
        if self.changed_ms is None:
            return None
        return clock_ms - self.lost_ms - self.changed_ms

    def note(self, percent: int, clock_ms: int, running_ms: int) -> None:
        """Record the progress in a report.

        Parameters
        ----------
        running_ms : int
            For how long the run may have run from its beginning; 0 if not known.
        """
        if percent == self.percent and self.changed_ms is not None:
            return
        working_ms, clock_ms = running_ms - self.lost_ms, clock_ms - self.lost_ms
        if percent > 0 and working_ms > 0:
            self.mean_rate_ms = working_ms / percent
        is_first_report = self.changed_ms is None
        if not is_first_report and (self.first_ms is None or percent < self.percent):
            self.first_percent, self.first_ms = percent, clock_ms
        self.percent, self.changed_ms = percent, clock_ms

    def ms_per_percent(self) -> float | None:
        """Return the time that one percent takes, None while it is not known."""
        gained = self.percent - self.first_percent
        if self.first_ms is None or self.changed_ms is None or gained <= 0:
            return self.mean_rate_ms
        return (self.changed_ms - self.first_ms) / gained

    def stall_timeout_ms(self, declared_ms: int, stalled_ms: int) -> float:
        """Return the time without progress after which the run counts as stalled.

        Parameters
        ----------
        declared_ms : int
            Run time that the caller declared, 0 for none.
        stalled_ms : int
            Longest time without progress at which a run of the task was stopped.
        """
        rate_ms = self.ms_per_percent()
        if rate_ms is None:
            rate_ms = ESTIMATE_FACTOR * (declared_ms or ASSUMED_RUN_MS) / 100
        return max(STALL_TIMEOUT_MS, STALL_FACTOR * rate_ms, STALL_GROWTH * stalled_ms)
