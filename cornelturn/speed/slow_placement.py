"""Decides whether work may start on a slow target or waits for a faster one."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

RATE_TIME_MS = 1_000
"""Time over which the rate of released capacity is averaged; about one task."""

MAX_SLOW_SHARE = 1 / 3
"""Largest share of the targets that work may leave idle because they are slow."""

MAX_PASSED_OVER = 8
"""Tasks of a plan that may leave a slow target to later ones with the same need."""


@dataclass(slots=True)
class ReleaseRate:
    """Rate at which the targets at full speed release processor capacity.

    Parameters
    ----------
    released : float
        Capacity released so far, with less weight the longer ago that was, in
        thousandths of a core.
    at_ms : int
        Time for which this was last computed.
    """

    released: float = 0.0
    at_ms: int = 0

    def add(self, cpu: int, now_ms: int) -> None:
        """Add the capacity of a run that has ended."""
        self.released = self._released_by(now_ms) + cpu
        self.at_ms = max(self.at_ms, now_ms)

    def wait_ms(self, cpu: int, now_ms: int) -> float:
        """Return the expected time until some capacity has been released."""
        rate = self._released_by(now_ms) / RATE_TIME_MS
        return cpu / rate if rate > 0 else math.inf

    def _released_by(self, now_ms: int) -> float:
        age_ms = max(0, now_ms - self.at_ms)
        return self.released * math.exp(-age_ms / RATE_TIME_MS)


@dataclass(frozen=True, slots=True)
class WaitingWork:
    """A task that could start on a slow target.

    Parameters
    ----------
    cpu : int
        Processor need, in thousandths of a core.
    run_ms : int
        Expected run time at full speed, 0 if not known.
    continue_by_ms : int or None
        Latest start at full speed with which its job stays as much on time as it is;
        None if it cannot become later.
    """

    cpu: int
    run_ms: int
    continue_by_ms: int | None


@dataclass(slots=True)
class SlowPlacement:
    """Decides for a plan which work waits for targets at full speed.

    Parameters
    ----------
    ahead_cpu : int
        Processor need of earlier work of this plan that found no room.
    passed_over : int
        Tasks of this plan that wait although a slow target has room.
    """

    releases: ReleaseRate = field(default_factory=ReleaseRate)
    ahead_cpu: int = 0
    passed_over: int = 0

    def must_wait(self, work: WaitingWork, speed: float, now_ms: int) -> bool:
        """Return whether work would be late on a slow target and sooner elsewhere."""
        if work.run_ms <= 0 or work.continue_by_ms is None:
            return False
        delay_ms = work.run_ms / speed - work.run_ms
        if now_ms + delay_ms <= work.continue_by_ms:
            return False
        return self.releases.wait_ms(self.ahead_cpu + work.cpu, now_ms) < delay_ms
