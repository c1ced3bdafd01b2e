"""Chooses the rack on which the tasks of a step run."""

from __future__ import annotations

from collections.abc import Collection, Iterator
from dataclasses import dataclass

from cornelturn.jobs.model import Resources
from cornelturn.racks.room import count_fitting


@dataclass(frozen=True, slots=True)
class RackCapacity:
    """Free capacity of a rack.

    Parameters
    ----------
    free : list of Resources
        Free capacity of each of its targets that a step may use.
    free_cpu : int
        Their free processor capacity, in thousandths of a core.
    """

    rack: str
    free: list[Resources]
    free_cpu: int


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
    """

    task: Resources
    count: int
    max_per_target: int = 0

    def count_fitting(self, capacity: RackCapacity) -> int:
        """Return how many tasks fit on a rack at present."""
        limit = self.max_per_target or self.count
        return sum(count_fitting(free, self.task, limit) for free in capacity.free)

    def max_fitting(self, capacity: RackCapacity) -> int:
        """Return an upper bound of that, which is found faster."""
        return capacity.free_cpu // self.task.cpu if self.task.cpu else self.count


def racks_with_room(
    capacities: Collection[RackCapacity], need: StepNeed, wanted: Collection[str]
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


def roomiest_rack(capacities: Collection[RackCapacity], need: StepNeed) -> str:
    """Return the rack with room for most tasks, empty if none has any."""
    rack, most = "", 0
    for capacity in sorted(capacities, key=lambda item: (-item.free_cpu, item.rack)):
        if need.max_fitting(capacity) > most:
            fitting = need.count_fitting(capacity)
            if fitting > most:
                rack, most = capacity.rack, fitting
    return rack
