"""Decides whether work waits for a rack or goes elsewhere."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from cornelturn.jobs.model import StepId

WANTED_MS = 500
"""Time after a wait for which other work still leaves capacity on a rack free. Runs of
about a second end there several times meanwhile."""


WAIT_ERROR = 2.0
"""Factor by which a wait may be longer than expected: estimates are off by half."""


@dataclass(frozen=True, slots=True)
class Prospect:
    """What a task loses elsewhere than on its rack.

    Parameters
    ----------
    run_ms : int
        Expected run time on the rack.
    delay_ms : float
        By how much longer the task runs elsewhere, 0 if that is not known.
    waited_ms : int
        For how long its step has waited for the rack.
    slack_ms : float
        By how much later it may end without its job being less on time, infinity if its
        job cannot become later.
    """

    run_ms: int
    delay_ms: float
    waited_ms: int = 0
    slack_ms: float = math.inf

    def must_wait(self, wait_ms: float) -> bool:
        """Return whether the task is done sooner if it waits.

        Expected waits may be wrong, so that a wait ends once it has lasted as long as
        the delay. A job that is on time elsewhere does not wait where it would be late
        if it went there after all.

        Parameters
        ----------
        wait_ms : float
            Expected wait for capacity on the rack, infinity if that is not known.
        """
        if self.waited_ms >= self.delay_ms:
            return False
        is_late_after_wait = self.slack_ms < WAIT_ERROR * wait_ms + self.delay_ms
        if self.delay_ms <= self.slack_ms and is_late_after_wait:
            return False
        return wait_ms < self.delay_ms


def remote_delay_ms(run_ms: float, remote_factor: float) -> float:
    """Return by how much longer a task runs away from its data."""
    return max(0.0, remote_factor - 1) * run_ms


@dataclass(slots=True)
class RackWaits:
    """Steps that wait for racks.

    Parameters
    ----------
    since_ms : dict
        Since when steps have waited, by job.
    wanted_until_ms : dict
        Until when other work leaves capacity on each rack free.
    """

    since_ms: dict[str, dict[StepId, int]] = field(default_factory=dict)
    wanted_until_ms: dict[str, int] = field(default_factory=dict)

    def waited_ms(self, step: StepId, now_ms: int) -> int:
        """Return for how long a step has waited for its rack."""
        return now_ms - self.since_ms.get(step.job, {}).get(step, now_ms)

    def note_wait(self, step: StepId, rack: str, now_ms: int) -> None:
        """Record that tasks of a step wait for a rack."""
        self.since_ms.setdefault(step.job, {}).setdefault(step, now_ms)
        self.wanted_until_ms[rack] = now_ms + WANTED_MS

    def begin_plan(self, now_ms: int) -> None:
        """Forget the racks for which nothing has waited for a while."""
        for rack, until_ms in list(self.wanted_until_ms.items()):
            if until_ms <= now_ms:
                del self.wanted_until_ms[rack]

    def forget_step(self, step: StepId) -> None:
        """Forget a step whose tasks have started."""
        steps = self.since_ms.get(step.job)
        if steps is not None and steps.pop(step, None) is not None and not steps:
            del self.since_ms[step.job]

    def forget_job(self, job: str) -> None:
        """Forget a job that the pool no longer has."""
        self.since_ms.pop(job, None)
