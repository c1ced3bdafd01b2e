"""Clocks with monotonic time in whole milliseconds, and conversions of durations."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass

NANOSECONDS_PER_MILLISECOND = 1_000_000
MILLISECONDS_PER_SECOND = 1_000


@dataclass(frozen=True, slots=True)
class Clock:
    """Monotonic clock of one process.

    Readings of different processes must not be compared; durations may.

    Parameters
    ----------
    read_ns : callable
        Returns a monotonic reading in nanoseconds.
    """

    read_ns: Callable[[], int] = time.monotonic_ns

    def now_ms(self) -> int:
        """Return the current reading in milliseconds."""
        return self.read_ns() // NANOSECONDS_PER_MILLISECOND


def loop_clock() -> Clock:
    """Return a clock that reads the time of the running event loop."""
    return Clock(
        lambda: round(
            asyncio.get_running_loop().time()
            * MILLISECONDS_PER_SECOND
            * NANOSECONDS_PER_MILLISECOND
        )
    )


@dataclass(slots=True)
class ManualTime:
    """Time source for tests, which advances only by `advance_ms`."""

    ns: int = 0

    def read_ns(self) -> int:
        """Return the current reading in nanoseconds."""
        return self.ns

    def advance_ms(self, duration_ms: float) -> None:
        """Advance the reading by `duration_ms` milliseconds."""
        self.ns += round(duration_ms * NANOSECONDS_PER_MILLISECOND)

    def clock(self) -> Clock:
        """Return a clock that reads this source."""
        return Clock(self.read_ns)


def to_seconds(duration_ms: float) -> float:
    """Convert milliseconds to seconds, the unit of the standard library."""
    return duration_ms / MILLISECONDS_PER_SECOND
