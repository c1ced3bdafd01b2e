"""A loop that knows how long it has waited, and times the tasks that run on it."""

from __future__ import annotations

import asyncio
import selectors
import time

from cornelturn.events.task_times import create_timed_task


class TimedSelector(selectors.DefaultSelector):
    """Selector that adds up the time in which nothing was to be done.

    Parameters
    ----------
    idle_s : float
        Seconds spent in waiting.
    """

    idle_s: float = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait for connections that are ready."""
        started_s = time.perf_counter()
        try:
            return super().select(timeout)
        finally:
            self.idle_s += time.perf_counter() - started_s


class TimedLoop(asyncio.SelectorEventLoop):
    """Loop over a timed selector, whose tasks are timed."""

    def __init__(self) -> None:
        self.timed_selector = TimedSelector()
        super().__init__(self.timed_selector)
        self.set_task_factory(create_timed_task)


def loop_idle_s() -> float:
    """Return how long the running loop has waited, 0 if it is no timed one."""
    loop = asyncio.get_running_loop()
    return loop.timed_selector.idle_s if isinstance(loop, TimedLoop) else 0.0
