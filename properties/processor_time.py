"""A limit for the processor time of an example, instead of the library's for its time.

The library limits the time on the clock, without garbage collections. On a machine with
more busy processes than processors it fails for examples that had to wait: one took
1,220 ms on the clock for 3 ms of processor time.
"""

from __future__ import annotations

import gc
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

EXAMPLE_MS = 200.0
"""Limit for one example, the same as the library's default for its time."""

MILLISECONDS_PER_SECOND = 1_000


@dataclass(slots=True)
class CollectionTime:
    """Processor time of the garbage collections in one thread, in seconds.

    They visit the objects of the whole test process: of an example of 149 ms, 119 ms
    were collections.
    """

    thread: int = field(default_factory=threading.get_ident)
    total_s: float = 0.0
    started_s: float | None = None

    def note(self, phase: str, info: dict[str, int]) -> None:
        """Record the begin or the end of a collection."""
        if threading.get_ident() != self.thread:
            return
        if phase == "start":
            self.started_s = time.thread_time()
        elif self.started_s is not None:
            self.total_s += time.thread_time() - self.started_s
            self.started_s = None


@contextmanager
def processor_time_limit(limit_ms: float = EXAMPLE_MS) -> Iterator[None]:
    """Fail if the block takes more processor time of its thread than the limit.

    Time in which the thread did not run and garbage collections do not count.
    """
    collections = CollectionTime()
    gc.callbacks.append(collections.note)
    started_s = time.thread_time()
    try:
        yield
        used_s = time.thread_time() - started_s - collections.total_s
    finally:
        gc.callbacks.remove(collections.note)
    used_ms = used_s * MILLISECONDS_PER_SECOND
    assert used_ms < limit_ms, f"took {used_ms:.0f} ms of processor time"
