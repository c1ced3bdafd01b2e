"""Stops that were ordered for urgent work."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Collection, Container, Mapping
from dataclasses import dataclass, field

from cornelturn.clock import MILLISECONDS_PER_SECOND
from cornelturn.jobs.model import Resources, Run, TaskId
from cornelturn.targets.model import TargetLife

STOP_TIMEOUT_MS = 1_000
"""Time after which a stop without an end no longer counts as room that comes in time.
Its capacity stays taken until the end is known."""

MAX_STOPS_PER_TASK = 2
"""Number of stops after which a task is left alone, so that it is done at last: a task
that has just begun again loses least."""


@dataclass(slots=True)
class StopRecord:
    """Stops that limit further ones, or whose capacity is still taken.

    Parameters
    ----------
    stopped_ms : dict
        When each run was stopped, or first seen stopping, that still takes capacity.
    recent : deque
        Times and needs of the stops in the last second.
    counts : Counter
        Number of stops of each task.
    """

    stopped_ms: dict[Run, int] = field(default_factory=dict)
    recent: deque[tuple[int, Resources]] = field(default_factory=deque)
    counts: Counter[TaskId] = field(default_factory=Counter)

    def note(self, run: Run, need: Resources, now_ms: int) -> None:
        """Record a stop."""
        self.recent.append((now_ms, need))
        self.stopped_ms[run] = now_ms
        self.counts[run.task] += 1

    def may_stop(self, task: TaskId) -> bool:
        """Return whether a task has not been stopped too often."""
        return self.counts[task] < MAX_STOPS_PER_TASK

    def ends_in_time(self, run: Run, now_ms: int) -> bool:
        """Return whether the end of a run that stops is expected soon.

        Stops of another cause count from the first time that this is asked.
        """
        return now_ms - self.stopped_ms.setdefault(run, now_ms) < STOP_TIMEOUT_MS

    def forget_ended(
        self,
        jobs: Container[str],
        placed_runs: Mapping[str, Collection[tuple[Run, TargetLife]]],
        now_ms: int,
    ) -> None:
        """Forget stops of the time before, runs that have ended, and ended jobs.

        Parameters
        ----------
        jobs, placed_runs
            As in `PoolState`.
        """
        while self.recent and now_ms - self.recent[0][0] >= MILLISECONDS_PER_SECOND:
            self.recent.popleft()
        for run in list(self.stopped_ms):
            placed = placed_runs.get(run.task.job, ())
            if all(run != other for other, _ in placed):
                del self.stopped_ms[run]
        for task in list(self.counts):
            if task.job not in jobs:
                del self.counts[task]

    def recently_taken(self) -> Resources:
        """Return the capacity that was taken in the last second."""
        taken = Resources()
        for _, need in self.recent:
            taken = taken.plus(need)
        return taken
