"""Times that runs took on each target, with which further runs are compared."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass, field
from typing import NamedTuple

from cornelturn.targets.model import TargetLife

MAX_TIMES = 16
"""Times that are kept for a step or image; sorting them costs a few microseconds."""

MAX_GROUPS = 1_000
"""Steps or images whose times are kept; those used least recently are forgotten."""


class TargetTime(NamedTuple):
    """Time of a run on a target."""

    target: TargetLife
    took: float


@dataclass(slots=True)
class ObservedRunTimes:
    """Last times of comparable runs, by a key of each of them.

    Parameters
    ----------
    sorted_times : dict
        Times on other targets, for each target that was asked about since the last
        time was added.
    """

    times: OrderedDict[Hashable, TargetTime] = field(default_factory=OrderedDict)
    sorted_times: dict[TargetLife, list[float]] = field(default_factory=dict)

    def add(self, key: Hashable, target: TargetLife, took: float) -> None:
        """Add the time of a run, or replace an earlier one with the same key."""
        self.sorted_times.clear()
        self.times.pop(key, None)
        self.times[key] = TargetTime(target, took)
        if len(self.times) > MAX_TIMES:
            self.times.popitem(last=False)

    def on_others(self, target: TargetLife) -> list[float]:
        """Return the times on other targets, the shortest first."""
        others = self.sorted_times.get(target)
        if others is None:
            others = [took for life, took in self.times.values() if life != target]
            others.sort()
            self.sorted_times[target] = others
        return others

    def upper_quartile(self, target: TargetLife, min_count: int) -> float | None:
        """Return the upper quartile on other targets, None with too few times.

        Runs of a step that differ by themselves reach it often, so that a run well
        beyond it says something about its target.
        """
        others = self.on_others(target)
        return others[3 * len(others) // 4] if len(others) >= min_count else None

    def longest(self, target: TargetLife, min_count: int) -> float | None:
        """Return the longest time on other targets, None with too few times."""
        others = self.on_others(target)
        return others[-1] if len(others) >= min_count else None


@dataclass(slots=True)
class RunTimeGroups:
    """Times of the runs of each step or image, for a bounded number of them."""

    groups: OrderedDict[Hashable, ObservedRunTimes] = field(default_factory=OrderedDict)

    def group(self, key: Hashable) -> ObservedRunTimes:
        """Return the times of a step or image, empty if there are none yet."""
        times = self.groups.get(key)
        if times is None:
            times = self.groups[key] = ObservedRunTimes()
            if len(self.groups) > MAX_GROUPS:
                self.groups.popitem(last=False)
        else:
            self.groups.move_to_end(key)
        return times
