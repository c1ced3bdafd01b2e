"""Declared run times of the waiting steps with each requirement.

On a reserved target only short tasks start. Where one step was refused there, only
steps with the same requirement and a shorter run time may still start.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, field

from sortedcontainers import SortedList


@dataclass(slots=True)
class DeclaredRunTimes:
    """Run times of waiting steps by requirement; steps without one are left out."""

    by_requirement: dict[Hashable, SortedList] = field(default_factory=dict)

    def add(self, requirement: Hashable, run_ms: int) -> None:
        """Add a waiting step."""
        if run_ms <= 0:
            return
        times = self.by_requirement.get(requirement)
        if times is None:
            times = self.by_requirement[requirement] = SortedList()
        times.add(run_ms)

    def remove(self, requirement: Hashable, run_ms: int) -> None:
        """Remove a waiting step."""
        if run_ms <= 0:
            return
        times = self.by_requirement[requirement]
        times.remove(run_ms)
        if not times:
            del self.by_requirement[requirement]

    def clear(self) -> None:
        """Remove all steps."""
        self.by_requirement.clear()

    def has_shorter(self, requirement: Hashable, run_ms: int) -> bool:
        """Return whether a step with the requirement has a shorter run time.

        A step without a run time is refused like the longest one.
        """
        times = self.by_requirement.get(requirement)
        return times is not None and (run_ms <= 0 or times[0] < run_ms)
