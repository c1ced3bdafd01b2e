"""What ended tasks tell the owner of a pool: its rate, and the error of estimates."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from cornelturn.admission.backlog import THOUSANDTHS, QueueFactor

RATE_WINDOW_MS = 3_000
"""Time over which ended work is counted; a few run times of a typical task."""

EXPECTED_UTILISATION = 0.9
"""Part of its processors that a pool uses while work waits, until it is measured: tasks
do not fill each target exactly."""

MIN_UTILISATION = 0.25
"""Lowest measured part that counts. Ends come in groups, so that a short time without
them must not make a pool appear to stand still."""

PRIOR_TASKS = 16
"""Tasks of a queue for which its estimates count as exact before any has ended; two
typical steps."""

MEMORY_TASKS = 400
"""Tasks over which the factor of a queue forgets half of the earlier ones."""

MIN_FACTOR, MAX_FACTOR = 0.25, 4.0
"""Bounds of a factor, as some callers may declare anything."""


@dataclass(slots=True)
class QueueWork:
    """Real and declared work of the ended tasks of a queue, with fading weights."""

    tasks: float = 0.0
    real: float = 0.0
    declared: float = 0.0

    def add(self, real: int, declared: int) -> None:
        """Count an ended task."""
        kept = 0.5 ** (1 / MEMORY_TASKS)
        self.tasks = self.tasks * kept + 1
        self.real = self.real * kept + real
        self.declared = self.declared * kept + declared

    def factor(self) -> float:
        """Return the real work relative to the declared one."""
        if not self.declared:
            return 1.0
        prior = PRIOR_TASKS * self.declared / self.tasks
        factor = (self.real + prior) / (self.declared + prior)
        return min(MAX_FACTOR, max(MIN_FACTOR, factor))


@dataclass(slots=True)
class EndedWork:
    """Ended work of a pool.

    Parameters
    ----------
    unreported : int
        Work that has ended since the rate was last updated.
    intervals : deque
        Time and work of each interval in the window.
    waiting_since_ms : int or None
        Since when work has waited at each update, None if none did at the last.
    """

    by_queue: dict[str, QueueWork] = field(default_factory=dict)
    unreported: int = 0
    intervals: deque[tuple[int, int]] = field(default_factory=deque)
    waiting_since_ms: int | None = None

    def note_end(self, queue: str, cpu: int, ran_ms: int, declared_ms: int) -> None:
        """Count a task that has ended.

        Parameters
        ----------
        cpu : int
            Processors that it held, in thousandths of a core.
        declared_ms : int
            Run time that its caller declared, 0 for none.
        """
        self.unreported += cpu * ran_ms
        if declared_ms > 0:
            work = self.by_queue.setdefault(queue, QueueWork())
            work.add(cpu * ran_ms, cpu * declared_ms)

    def factor(self, queue: str) -> float:
        """Return the factor of a queue, 1 while none is known."""
        work = self.by_queue.get(queue)
        return work.factor() if work is not None else 1.0

    def factors(self) -> tuple[QueueFactor, ...]:
        """Return the factors of all queues whose tasks have ended."""
        return tuple(
            QueueFactor(queue, round(work.factor() * THOUSANDTHS))
            for queue, work in self.by_queue.items()
        )

    def forget_queues(self, queues: set[str]) -> None:
        """Forget all queues but some."""
        self.by_queue = {
            queue: work for queue, work in self.by_queue.items() if queue in queues
        }

    def update_rate(self, is_waiting: bool, capacity: int, now_ms: int) -> int:
        """Return the work that the pool is expected to end in a millisecond.

        It is measured only over a time in which work waited: a pool with room ends
        what it gets, and not what it could.
        """
        self.intervals.append((now_ms, self.unreported))
        self.unreported = 0
        while len(self.intervals) > 1 and self.intervals[1][0] <= (
            now_ms - RATE_WINDOW_MS
        ):
            self.intervals.popleft()
        if not is_waiting:
            self.waiting_since_ms = None
        elif self.waiting_since_ms is None:
            self.waiting_since_ms = now_ms
        span_ms = now_ms - self.intervals[0][0]
        is_measured = (
            self.waiting_since_ms is not None
            and now_ms - self.waiting_since_ms >= RATE_WINDOW_MS
            and span_ms > 0
        )
        if not is_measured:
            return round(capacity * EXPECTED_UTILISATION)
        work = sum(work for _, work in self.intervals) - self.intervals[0][1]
        return max(round(work / span_ms), round(capacity * MIN_UTILISATION))
