"""Measures how a task divides its time between the parts of its work."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from types import TracebackType

from cornelturn.clock import MILLISECONDS_PER_SECOND


@dataclass(slots=True)
class WorkPart:
    """Time spent on one part of the work; a context manager that adds its block.

    Parameters
    ----------
    spent_s : float
        Seconds spent since the last `WorkTimes.reset`.
    started_s : float
        Reading of the performance counter at the start of the block.
    """

    spent_s: float = 0.0
    started_s: float = 0.0

    def __enter__(self) -> None:
        self.started_s = time.perf_counter()

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.spent_s += time.perf_counter() - self.started_s

    def spent_ms(self) -> int:
        """Return the milliseconds spent."""
        return round(self.spent_s * MILLISECONDS_PER_SECOND)


@dataclass(slots=True)
class WorkTimes:
    """Work of a task since the last reset.

    Parameters
    ----------
    parts : dict
        Parts of the work by name.
    messages : int
        Messages processed.
    batches : int
        Batches of messages, each followed by the work that becomes due.
    longest_wait_ms : int
        Longest time that a message has waited in the mailbox, or that a timer of the
        loop was late.
    """

    parts: dict[str, WorkPart] = field(default_factory=dict)
    messages: int = 0
    batches: int = 0
    longest_wait_ms: int = 0

    def part(self, name: str) -> WorkPart:
        """Return a part of the work, for use in a ``with`` statement."""
        part = self.parts.get(name)
        if part is None:
            part = self.parts[name] = WorkPart()
        return part

    def record_batch(self, messages: int) -> None:
        """Record a batch of messages."""
        self.batches += 1
        self.messages += messages

    def record_wait(self, duration_ms: int) -> None:
        """Record how long a message has waited, or how late a timer was."""
        self.longest_wait_ms = max(self.longest_wait_ms, duration_ms)

    def reset(self) -> None:
        """Reset all times and counts for a new period."""
        for part in self.parts.values():
            part.spent_s = 0.0
        self.messages = self.batches = self.longest_wait_ms = 0
