"""Sets of indices as ascending ranges, for sets with few gaps.

What such a set costs depends on its gaps and not on its indices.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field


@dataclass(slots=True)
class IndexRanges:
    """Disjoint ranges in ascending order that do not adjoin each other.

    Parameters
    ----------
    firsts, lasts : list of int
        First and last index of each range.
    count : int
        Number of indices.
    """

    firsts: list[int] = field(default_factory=list)
    lasts: list[int] = field(default_factory=list)
    count: int = 0

    def __contains__(self, index: int) -> bool:
        position = bisect_right(self.firsts, index) - 1
        return position >= 0 and index <= self.lasts[position]

    def __len__(self) -> int:
        return self.count

    def ranges(self) -> Iterator[tuple[int, int]]:
        """Return the first and the last index of each range."""
        return zip(self.firsts, self.lasts, strict=True)

    def count_from(self, index: int) -> int:
        """Return how many indices are not below one."""
        if not self.firsts or index <= self.firsts[0]:
            return self.count
        position = bisect_left(self.lasts, index)
        return sum(
            last - max(first, index) + 1
            for first, last in zip(
                self.firsts[position:], self.lasts[position:], strict=True
            )
        )

    def next_missing(self, index: int) -> int:
        """Return the first index from one on that the set lacks."""
        position = bisect_right(self.firsts, index) - 1
        if position >= 0 and index <= self.lasts[position]:
            return self.lasts[position] + 1
        return index

    def add(self, index: int) -> None:
        """Add an index."""
        self.add_range(index, index)

    def add_range(self, first: int, last: int) -> None:
        """Add the indices of a range, which may be empty."""
        if first > last:
            return
        # Ranges that overlap the new one or adjoin it become one with it.
        begin = bisect_left(self.lasts, first - 1)
        end = bisect_right(self.firsts, last + 1)
        if begin < end:
            first = min(first, self.firsts[begin])
            last = max(last, self.lasts[end - 1])
        for position in range(begin, end):
            self.count -= self.lasts[position] - self.firsts[position] + 1
        self.firsts[begin:end] = [first]
        self.lasts[begin:end] = [last]
        self.count += last - first + 1

    def missing_from(self, other: IndexRanges) -> list[int]:
        """Return the indices that another set has and this one lacks."""
        if self.firsts == other.firsts and self.lasts == other.lasts:
            return []
        missing: list[int] = []
        for first, last in other.ranges():
            index = self.next_missing(first)
            while index <= last:
                missing.append(index)
                index = self.next_missing(index + 1)
        return missing

    def copy(self) -> IndexRanges:
        """Return a copy."""
        return IndexRanges(list(self.firsts), list(self.lasts), self.count)


def ranges_of(indices: Iterable[int]) -> IndexRanges:
    """Return a set of indices as ranges."""
    ranges = IndexRanges()
    for index in sorted(indices):
        ranges.add(index)
    return ranges
