"""Marks of instances that are about to leave and so get no new work."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class LeavingMarks:
    """Instances marked as leaving by the platform's list, operators, peers or targets.

    The first mark of an instance is kept. An outdated list never clears a newer mark;
    only a later boot of the instance does.

    Parameters
    ----------
    boots_when_marked : dict
        Boot number at the time of the mark, by marked instance.
    last_boots : dict
        Highest boot number listed so far, by instance.
    """

    boots_when_marked: dict[str, int] = field(default_factory=dict)
    last_boots: dict[str, int] = field(default_factory=dict)

    def mark(self, instance: str) -> bool:
        """Mark an instance; return whether it was unmarked before."""
        if instance in self.boots_when_marked:
            return False
        self.boots_when_marked[instance] = self.last_boots.get(instance, 0)
        return True

    def observe_listing(self, instance: str, boot: int, is_leaving: bool) -> bool:
        """Record an item of the platform's list; return whether the marks changed."""
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
        """Return the marked instances."""
        return frozenset(self.boots_when_marked)
