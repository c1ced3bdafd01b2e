"""Waiting steps with equal requirements, by what a start counts against a cap."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import TYPE_CHECKING, NamedTuple

from sortedcontainers import SortedList

from cornelturn.quota.allotment import QuotaNeed

if TYPE_CHECKING:
    from cornelturn.scheduling.waiting import StartKey


class GroupHead(NamedTuple):
    """The first waiting step of those that count the same; sorted by the key."""

    key: StartKey
    quota: QuotaNeed | None


@dataclass(slots=True, eq=False)
class StepGroup:
    """Keys of the waiting steps with one requirement, of all organisations.

    Steps of an organisation that may not start are left out of `heads`, so that the
    cost of a pass grows neither with their number nor with that of the organisations.

    Parameters
    ----------
    keys : dict
        Keys by what a start counts; None for organisations without a cap.
    heads : SortedList
        The first key of each of these that may start.
    closed : set
        Those that the quota refuses.
    """

    keys: dict[QuotaNeed | None, SortedList] = field(default_factory=dict)
    heads: SortedList = field(default_factory=SortedList)
    closed: set[QuotaNeed | None] = field(default_factory=set)

    def add(self, key: StartKey, quota: QuotaNeed | None) -> None:
        """Add a step."""
        keys = self.keys.get(quota)
        if keys is None:
            keys = self.keys[quota] = SortedList()
        first = keys[0] if keys else None
        keys.add(key)
        self._update_head(quota, first)

    def remove(self, key: StartKey, quota: QuotaNeed | None) -> None:
        """Remove a step."""
        keys = self.keys[quota]
        first = keys[0]
        keys.remove(key)
        self._update_head(quota, first)
        if not keys:
            del self.keys[quota]
            self.closed.discard(quota)

    def close(self, quota: QuotaNeed | None) -> None:
        """Leave out the steps that count the same."""
        if quota not in self.closed:
            self.heads.remove(GroupHead(self.keys[quota][0], quota))
            self.closed.add(quota)

    def open(self, quota: QuotaNeed | None) -> None:
        """Take these steps in again."""
        if quota in self.closed:
            self.closed.discard(quota)
            self.heads.add(GroupHead(self.keys[quota][0], quota))

    def _update_head(self, quota: QuotaNeed | None, before: StartKey | None) -> None:
        """Replace the head of the steps that count the same, if it has changed."""
        keys = self.keys[quota]
        first = keys[0] if keys else None
        if quota in self.closed or first == before:
            return
        if before is not None:
            self.heads.remove(GroupHead(before, quota))
        if first is not None:
            self.heads.add(GroupHead(first, quota))


@dataclass(slots=True)
class GroupCursor:
    """Walks through the steps of a group that may start, in order.

    The group must not change meanwhile.

    Parameters
    ----------
    position : int
        Number of heads that were reached.
    following : list
        Heap of the steps that follow those which were advanced.
    """

    group: StepGroup
    position: int = 0
    following: list[GroupHead] = field(default_factory=list)

    def next(self) -> GroupHead | None:
        """Return the next step, None at the end; go on from it by `advance`."""
        heads = self.group.heads
        head = heads[self.position] if self.position < len(heads) else None
        if self.following and (head is None or self.following[0].key < head.key):
            return heappop(self.following)
        self.position += 1
        return head

    def advance(self, head: GroupHead) -> None:
        """Let the step that counts the same as this one come in its turn."""
        keys = self.group.keys[head.quota]
        index = keys.bisect_right(head.key)
        if index < len(keys):
            heappush(self.following, GroupHead(keys[index], head.quota))

    def capped_keys(self) -> Iterator[StartKey]:
        """Yield the keys of the steps of organisations with a cap."""
        while (head := self.next()) is not None:
            if head.quota is not None:
                yield head.key
                self.advance(head)
