"""Event loop that measures its idle time and times its tasks."""

from __future__ import annotations

import asyncio
import selectors
import time

from cornelturn.events.task_times import create_timed_task


class TimedSelector(selectors.DefaultSelector):
    """Selector that adds up the time that it waits for connections or timers.

    Parameters
    ----------
    idle_s : float
        Time spent waiting, in seconds.
    """

    idle_s: float = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait for connections that are ready, and add up the time."""
        started_s = time.perf_counter()
        try:
            return super().select(timeout)
        finally:
            self.idle_s += time.perf_counter() - started_s


class TimedLoop(asyncio.SelectorEventLoop):
    """Event loop with a timed selector and timed tasks."""

    def __init__(self) -> None:
        self.timed_selector = TimedSelector()
        super().__init__(self.timed_selector)
        self.set_task_factory(create_timed_task)


def loop_idle_s() -> float:
    """Return the idle time of the running loop in seconds, 0 if it is not timed."""
    loop = asyncio.get_running_loop()
    return loop.timed_selector.idle_s if isinstance(loop, TimedLoop) else 0.0
