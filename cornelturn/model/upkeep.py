"""Machines that targets run on, waves of their upkeep, and orders for them."""

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
    """A machine; its target changes with each start.

    Parameters
    ----------
    name : str
        Name that stays with the machine.
    target : str
        Name of the target that runs on it, empty if none does.
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
        Name of the wave.
    machines : tuple of str
        Machines that are due.
    duration_ms : int
        Time within which all are to be done.
    max_down : int
        Machines that may be down for it at a time.
    """

    number: int
    machines: tuple[str, ...]
    duration_ms: int
    max_down: int


@dataclass(frozen=True, slots=True)
class UpkeepOrder:
    """A machine is to be taken down for the upkeep of a wave."""

    machine: Machine
    wave: int


@dataclass(frozen=True, slots=True)
class MoveOrder:
    """A machine is to go to another pool."""

    machine: Machine
    pool: str


MachineOrder = UpkeepOrder | MoveOrder
