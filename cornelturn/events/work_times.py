"""Where a task spends the time of its loop."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from types import TracebackType

from cornelturn.clock import MILLISECONDS_PER_SECOND


@dataclass(slots=True)
class WorkPart:
    """Time spent on one part of the work; a context manager that adds to it.

    Parameters
    ----------
    spent_s : float
        Seconds spent since the last `WorkTimes.reset`.
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
    """Time that a task has spent since it was last told.

    Parameters
    ----------
    parts : dict
        Parts of the work by name.
    messages : int
        Messages taken in.
    batches : int
        Batches of messages, each followed by the work that it makes due.
    longest_wait_ms : int
        Longest time that a message has waited in the mailbox.
    """

    parts: dict[str, WorkPart] = field(default_factory=dict)
    messages: int = 0
    batches: int = 0
    longest_wait_ms: int = 0

    def part(self, name: str) -> WorkPart:
        """Return a part of the work, to be used in a ``with`` statement."""
        part = self.parts.get(name)
        if part is None:
            part = self.parts[name] = WorkPart()
        return part

    def record_batch(self, messages: int) -> None:
        """Count a batch of messages."""
        self.batches += 1
        self.messages += messages

    def record_wait(self, duration_ms: int) -> None:
        """Note how long a message has waited in the mailbox."""
        self.longest_wait_ms = max(self.longest_wait_ms, duration_ms)

    def reset(self) -> None:
        """Begin a new period."""
        for part in self.parts.values():
            part.spent_s = 0.0
        self.messages = self.batches = self.longest_wait_ms = 0
