"""Chooses the rack on which the tasks of a step run."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass

from cornelturn.jobs.model import Resources
from cornelturn.placement.index import RackCapacity


@dataclass(frozen=True, slots=True)
class StepNeed:
    """What a step needs to run on one rack.

    Parameters
    ----------
    task : Resources
        What each task needs.
    count : int
        Tasks that are to run there.
    max_per_target : int
        Limit of the tasks on one target, 0 for none.
    required_label : str
        Label that the targets must have, empty for any.
    excluded : frozenset of str
        Names of targets that the step may not use.
    """

    task: Resources
    count: int
    max_per_target: int = 0
    required_label: str = ""
    excluded: frozenset[str] = frozenset()

    def limit(self) -> int:
        """Return how many tasks may run on one target."""
        return self.max_per_target or self.count

    def count_fitting(self, rack: RackCapacity) -> int:
        """Return how many tasks fit on a rack at present."""
        limit, label = self.limit(), self.required_label
        return sum(
            self.task.count_in(capacity.free, limit)
            for capacity in rack.targets.values()
            if capacity.life.name not in self.excluded
            and (not label or label in capacity.labels)
        )

    def max_fitting(self, rack: RackCapacity) -> int:
        """Return an upper bound of that, which is found faster."""
        return rack.free_cpu // self.task.cpu if self.task.cpu else self.count


def racks_with_room(
    capacities: Iterable[RackCapacity], need: StepNeed, wanted: Collection[str]
) -> Iterator[str]:
    """Return the racks with room for all tasks of a step, the fullest first.

    Parameters
    ----------
    wanted : collection of str
        Racks that other work waits for; they come last.
    """
    for capacity in sorted(
        capacities, key=lambda item: (item.rack in wanted, item.free_cpu, item.rack)
    ):
        may_fit = need.max_fitting(capacity) >= need.count
        if may_fit and need.count_fitting(capacity) >= need.count:
            yield capacity.rack


def roomiest_rack(capacities: Iterable[RackCapacity], need: StepNeed) -> str:
    """Return the rack with room for most tasks, empty if none has any."""
    rack, most = "", 0
    for capacity in sorted(capacities, key=lambda item: (-item.free_cpu, item.rack)):
        if need.max_fitting(capacity) > most:
            fitting = need.count_fitting(capacity)
            if fitting > most:
                rack, most = capacity.rack, fitting
    return rack
