"""Machines on which targets run, waves of their upkeep, and orders for machines."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class MachineState(StrEnum):
    """State of a machine."""

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class Machine:
    """A machine; a new target runs on it after each start.

    Parameters
    ----------
    name : str
        Name of the machine, which does not change.
    target : str
        Name of the target that runs on it, empty if there is none.
    """

    name: str
    pool: str
    state: MachineState
    target: str


@dataclass(frozen=True, slots=True)
class UpkeepWave:
    """A request for the upkeep of some machines.

    Parameters
    ----------
    number : int
        Number that identifies the wave.
    machines : tuple of str
        Machines that are due for upkeep.
    duration_ms : int
        Time within which all of them should be done.
    max_down : int
        Machines that may be down for the wave at the same time.
    """

    number: int
    machines: tuple[str, ...]
    duration_ms: int
    max_down: int


@dataclass(frozen=True, slots=True)
class UpkeepOrder:
    """Order to take a machine down for the upkeep of a wave."""

    machine: Machine
    wave: int


@dataclass(frozen=True, slots=True)
class MoveOrder:
    """Order to move a machine to another pool."""

    machine: Machine
    pool: str


MachineOrder = UpkeepOrder | MoveOrder
