"""Decides which reasons for the waits of steps are logged; takes part in no plan."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from cornelturn.clock import MILLISECONDS_PER_SECOND
from cornelturn.jobs.model import StepId

MIN_WAIT_MS = 500
"""Wait from which on a lack of room is logged: the stated 95th percentile of a first
start. Shorter waits occur at any load. A step that the quota refuses is not tried again
before the quota changes, so its refusal is logged at once."""

JOB_INTERVAL_MS = 1_000
"""Shortest interval between two lines on one job."""

MAX_LINES_PER_S = 50
"""Lines of a pool in a second. All pools of an entry share the 300 lines a second that
one kind of event may write."""


class WaitReason(Enum):
    """Why the tasks of a step did not start when they were tried."""

    QUOTA = "quota"
    ROOM = "room"
    FASTER_TARGET = "faster_target"
    RACK = "rack"


@dataclass(slots=True)
class LoggedReasons:
    """The last logged reason of each waiting step of a job."""

    logged_ms: int
    by_step: dict[StepId, WaitReason] = field(default_factory=dict)


@dataclass(slots=True)
class WaitReasons:
    """Reasons that were logged, of the jobs that the pool still has.

    Parameters
    ----------
    second : int
        Second of the last line.
    lines : int
        Lines in that second.
    """

    by_job: dict[str, LoggedReasons] = field(default_factory=dict)
    second: int = 0
    lines: int = 0

    def admit_line(
        self, step: StepId, reason: WaitReason, waited_ms: int, now_ms: int
    ) -> bool:
        """Admit a line on a reason and record it; return whether it is to be logged.

        After a line that is left out, the next try of the step may log one.

        Parameters
        ----------
        waited_ms : int
            How long the job has been known to the owner.
        """
        if waited_ms < MIN_WAIT_MS and reason is not WaitReason.QUOTA:
            return False
        logged = self.by_job.get(step.job)
        if logged is not None and (
            logged.by_step.get(step) is reason
            or now_ms - logged.logged_ms < JOB_INTERVAL_MS
        ):
            return False
        if not self._take_line(now_ms):
            return False
        if logged is None:
            logged = self.by_job[step.job] = LoggedReasons(now_ms)
        logged.logged_ms = now_ms
        logged.by_step[step] = reason
        return True

    def _take_line(self, now_ms: int) -> bool:
        """Count a line in this second; return whether the pool had one left."""
        second = now_ms // MILLISECONDS_PER_SECOND
        if second != self.second:
            self.second, self.lines = second, 0
        if self.lines == MAX_LINES_PER_S:
            return False
        self.lines += 1
        return True

    def forget_step(self, step: StepId) -> None:
        """Remove a step that has started, so that its next wait is logged."""
        logged = self.by_job.get(step.job)
        if logged is not None:
            logged.by_step.pop(step, None)

    def forget_job(self, job: str) -> None:
        """Remove a job that the pool no longer has."""
        self.by_job.pop(job, None)
