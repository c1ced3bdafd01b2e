"""What ended tasks tell the owner of a pool: its rate, and the error of estimates."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Collection
from dataclasses import dataclass, field

from cornelturn.admission.backlog import (
    MAX_WORK,
    THOUSANDTHS,
    NeedRate,
    QueueFactor,
    need_class,
)

RATE_WINDOW_MS = 3_000
"""Time over which ended work is counted; a few run times of a typical task."""

EXPECTED_UTILISATION = 0.9
"""Part of its processors that a pool is taken to use, until work has waited in it for
the whole window: tasks do not fill each target exactly."""

MIN_UTILISATION = 0.25
"""Part of its processors that a pool is taken to use at least. Ends come in groups, so
that a short time without them must not make a pool appear to stand still."""

MAX_NEED_CLASS = 64
"""Above the class of any need that fits in 64 bits."""

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


@dataclass(frozen=True, slots=True)
class Interval:
    """What ended between two reports.

    Parameters
    ----------
    least_need : int or None
        Lowest class of needs of the work that waits at its end, None if none does.
    work_by_need : Counter
        Ended work by the class of its needs.
    """

    end_ms: int
    least_need: int | None
    work_by_need: Counter[int]


@dataclass(slots=True)
class EndedWork:
    """Ended work of a pool.

    Parameters
    ----------
    unreported : Counter
        Work that has ended since the rate was last updated, by the class of its needs.
    intervals : deque of Interval
        The intervals between the reports in the window; of the first only its end
        counts.
    capacity : int
        Processors of the pool, in thousandths of a core.
    """

    by_queue: dict[str, QueueWork] = field(default_factory=dict)
    unreported: Counter[int] = field(default_factory=Counter)
    intervals: deque[Interval] = field(default_factory=deque)
    capacity: int = 0

    def note_end(self, queue: str, cpu: int, ran_ms: int, declared_ms: int) -> None:
        """Count a task that has ended.

        Parameters
        ----------
        cpu : int
            Processors that it held, in thousandths of a core.
        declared_ms : int
            Run time that its caller declared, 0 for none.
        """
        self.unreported[need_class(cpu)] += cpu * ran_ms
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

    def forget_queues(self, queues: Collection[str]) -> None:
        """Forget all queues but some."""
        self.by_queue = {
            queue: work for queue, work in self.by_queue.items() if queue in queues
        }

    def update_rate(self, least_need: int | None, capacity: int, now_ms: int) -> int:
        """Return the work that the pool is expected to end in a millisecond.

        What has ended counts only if work waited in the whole window: a pool with room
        ends what it gets, and not what it could.

        Parameters
        ----------
        least_need : int or None
            Lowest class of needs of the waiting work, None if none waits.
        """
        self.capacity = capacity
        self.intervals.append(Interval(now_ms, least_need, self.unreported))
        self.unreported = Counter()
        start_ms = now_ms - RATE_WINDOW_MS
        while len(self.intervals) > 1 and self.intervals[1].end_ms <= start_ms:
            self.intervals.popleft()
        if self._least_waiting_need(now_ms) is None:
            return round(capacity * EXPECTED_UTILISATION)
        return self._rate(MAX_NEED_CLASS)

    def need_rates(self, now_ms: int) -> tuple[NeedRate, ...]:
        """Return the rates of the classes of needs that have waited all the time."""
        lowest = self._least_waiting_need(now_ms)
        if lowest is None:
            return ()
        ended = {need for interval in self.intervals for need in interval.work_by_need}
        needs = sorted({lowest} | {need for need in ended if need > lowest})
        return tuple(NeedRate(need, self._rate(need)) for need in needs)

    def _least_waiting_need(self, now_ms: int) -> int | None:
        """Return the highest of the lowest waiting classes of needs in the window.

        The rate of lower classes is not known, as they did not wait all the time. None
        unless work waited in the whole window.
        """
        least_needs = [interval.least_need for interval in self.intervals]
        span_ms = now_ms - self.intervals[0].end_ms if self.intervals else 0
        if span_ms < RATE_WINDOW_MS or None in least_needs:
            return None
        return max(least_needs)

    def _rate(self, highest_need: int) -> int:
        """Return the rate of the work whose needs are in some classes or below."""
        counted = list(self.intervals)[1:]
        span_ms = self.intervals[-1].end_ms - self.intervals[0].end_ms
        work = sum(
            work
            for interval in counted
            for need, work in interval.work_by_need.items()
            if need <= highest_need
        )
        rate = max(work / span_ms, self.capacity * MIN_UTILISATION)
        return round(min(rate, MAX_WORK))
