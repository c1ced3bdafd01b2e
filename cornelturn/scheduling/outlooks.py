"""Outlooks of the occurrences of a job: which of them can still be on time."""

from __future__ import annotations

from collections.abc import Iterator
from enum import IntEnum, auto
from typing import NamedTuple

from cornelturn.jobs.model import Recurrence


class Outlook(IntEnum):
    """Best outcome that an occurrence can still reach; a worse one starts later."""

    ON_TIME = auto()
    LATE = auto()
    TOO_LATE = auto()


class Outlooks(NamedTuple):
    """Outlooks of the occurrences of a job; those due earlier have no better one.

    Parameters
    ----------
    too_late_count : int
        Occurrences, from the first on, that are too late.
    late_count : int
        Those that are late or too late.
    """

    too_late_count: int = 0
    late_count: int = 0

    def of(self, occurrence: int) -> Outlook:
        """Return the outlook of an occurrence."""
        if occurrence >= self.late_count:
            return Outlook.ON_TIME
        if occurrence >= self.too_late_count:
            return Outlook.LATE
        return Outlook.TOO_LATE

    def ranges(self, due: int) -> Iterator[tuple[Outlook, range]]:
        """Return the due occurrences of each outlook, the best outlook first."""
        if self.late_count < due:
            yield Outlook.ON_TIME, range(self.late_count, due)
        if self.too_late_count < min(self.late_count, due):
            yield Outlook.LATE, range(self.too_late_count, min(self.late_count, due))
        if self.too_late_count:
            yield Outlook.TOO_LATE, range(min(self.too_late_count, due))


ALL_ON_TIME = Outlooks()


class Forecast(NamedTuple):
    """Outlooks of a job, and the latest time at which it must continue for them.

    Parameters
    ----------
    until_ms : int or None
        On the owner's clock; None if the outlooks no longer change.
    """

    outlooks: Outlooks
    until_ms: int | None = None


class DueTimes(NamedTuple):
    """When the occurrences of a job are due on the owner's clock.

    Parameters
    ----------
    arrived_ms : int
        When the owner received the job; earlier occurrences count from then on.
    first_due_ms : int
        When the first occurrence is due.
    """

    recurrence: Recurrence
    arrived_ms: int
    first_due_ms: int

    def count_before(self, limit_ms: int) -> int:
        """Return how many occurrences were due before a time."""
        if limit_ms <= max(self.arrived_ms, self.first_due_ms):
            return 0
        count, interval_ms = self.recurrence.count, self.recurrence.interval_ms
        if interval_ms <= 0:
            return count
        return min(count, -(-(limit_ms - self.first_due_ms) // interval_ms))

    def due_ms(self, occurrence: int) -> int:
        """Return since when an occurrence counts as due."""
        due_ms = self.first_due_ms + occurrence * max(0, self.recurrence.interval_ms)
        return max(self.arrived_ms, due_ms)

    def forecast(self, now_ms: int, on_time_ms: int, late_ms: int) -> Forecast:
        """Return the outlooks of the occurrences.

        Parameters
        ----------
        on_time_ms, late_ms : int
            Times from the due time within which an occurrence must start to be on
            time, and to be no more than late.
        """
        counts: list[int] = []
        changes_ms: list[int] = []
        for limit_ms in (late_ms, on_time_ms):
            count = self.count_before(now_ms - limit_ms)
            counts.append(count)
            if count < self.recurrence.count:
                changes_ms.append(self.due_ms(count) + limit_ms)
        return Forecast(Outlooks(*counts), min(changes_ms, default=None))
