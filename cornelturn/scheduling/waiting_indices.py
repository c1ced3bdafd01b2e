"""Indices of the tasks of a step that wait for their start."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field


@dataclass(slots=True)
class WaitingIndices:
    """A set of indices that begins as all tasks of a step, and loses the lowest first.

    It takes room for the tasks that have started, not for those that wait: a step of
    ten thousand tasks that fit nowhere costs no more than one of a single task.

    Parameters
    ----------
    start, stop : int
        The tail: indices from `start` on, below `stop`, that have never been removed.
    missing : set of int
        Indices of the tail that do not wait.
    returned : set of int
        Indices before the tail that wait again.
    """

    start: int
    stop: int
    missing: set[int] = field(default_factory=set)
    returned: set[int] = field(default_factory=set)

    def __len__(self) -> int:
        return self.stop - self.start - len(self.missing) + len(self.returned)

    def __contains__(self, index: int) -> bool:
        if index < self.start:
            return index in self.returned
        return index < self.stop and index not in self.missing

    def __iter__(self) -> Iterator[int]:
        """Return the indices in their order; those already returned may be removed."""
        yield from sorted(self.returned)
        for index in range(self.start, self.stop):
            if index not in self.missing:
                yield index

    def add(self, index: int) -> None:
        """Add an index."""
        if index < self.start:
            self.returned.add(index)
            return
        self.missing.discard(index)
        if index >= self.stop:
            self.missing.update(range(self.stop, index))
            self.stop = index + 1

    def discard(self, index: int) -> None:
        """Remove an index, if it is there."""
        if index < self.start:
            self.returned.discard(index)
        elif index < self.stop:
            self.missing.add(index)
            self._shorten_tail()

    def _shorten_tail(self) -> None:
        while self.start in self.missing:
            self.missing.discard(self.start)
            self.start += 1

    def intersection(self, indices: Iterable[int]) -> set[int]:
        """Return those of some indices that wait."""
        return {index for index in indices if index in self}
