"""Chooses the rack on which the tasks of a step run."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass


@dataclass(slots=True)
class RackCapacity:
    """Free capacity of a rack for a step.

    Parameters
    ----------
    fitting : int
        Number of tasks of the step that fit at present.
    free_cpu : int
        Free processor capacity, in thousandths of a core.
    """

    rack: str
    fitting: int = 0
    free_cpu: int = 0


def racks_with_room(
    capacities: Collection[RackCapacity], count: int, wanted: Collection[str]
) -> list[str]:
    """Return the racks with room for some tasks, the fullest first.

    Parameters
    ----------
    wanted : collection of str
        Racks that other work waits for; they come last.
    """
    fitting = [capacity for capacity in capacities if capacity.fitting >= count]
    fitting.sort(key=lambda item: (item.rack in wanted, item.free_cpu, item.rack))
    return [capacity.rack for capacity in fitting]


def roomiest_rack(capacities: Collection[RackCapacity]) -> str:
    """Return the rack with room for most tasks, empty if none has any."""
    with_room = [capacity for capacity in capacities if capacity.fitting]
    if not with_room:
        return ""
    return max(with_room, key=lambda item: (item.fitting, item.rack)).rack
