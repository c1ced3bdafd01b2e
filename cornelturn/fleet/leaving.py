"""Marks of instances that are leaving: no new work for them."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class LeavingMarks:
    """Marks from the platform's list, from operators, peers and targets.

    The earliest mark wins. A list that lags never clears a fresher mark: only a
    later boot of the instance does.
    """

    boots_when_marked: dict[str, int] = field(default_factory=dict)
    last_boots: dict[str, int] = field(default_factory=dict)

    def mark(self, instance: str) -> bool:
        """Mark an instance; return whether the mark is new."""
        if instance in self.boots_when_marked:
            return False
        self.boots_when_marked[instance] = self.last_boots.get(instance, 0)
        return True

    def observe_listing(self, instance: str, boot: int, is_leaving: bool) -> bool:
        """Take in a line of the platform's list; return whether marks changed."""
        known = self.last_boots.get(instance, 0)
        self.last_boots[instance] = max(known, boot)
        if is_leaving and boot >= known:
            return self.mark(instance)
        if (
            instance in self.boots_when_marked
            and boot > self.boots_when_marked[instance]
        ):
            del self.boots_when_marked[instance]
            return True
        return False

    def marked_instances(self) -> frozenset[str]:
        """Return the instances that are marked."""
        return frozenset(self.boots_when_marked)
