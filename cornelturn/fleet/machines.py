"""What the upkeep controller needs of the machines, whoever provides them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from result import Result

from cornelturn.model.upkeep import Machine


@dataclass(frozen=True, slots=True)
class MachinesUnavailable:
    """The list of machines could not be read."""

    detail: str


class MachineResult(StrEnum):
    """What became of an order for a machine."""

    DONE = "done"
    BUSY = "busy"
    FENCED = "fenced"
    NOT_IN_WAVE = "not_in_wave"
    NO_SUCH_MACHINE = "no_such_machine"
    UNAVAILABLE = "unavailable"
    UNANSWERED = "unanswered"


class Machines(Protocol):
    """Machines and orders for them; each order carries a fencing token."""

    async def list_all(self) -> Result[list[Machine], MachinesUnavailable]:
        """Return all machines."""

    async def upkeep(self, machine: str, wave: int, fence: int) -> MachineResult:
        """Take a machine down for the upkeep of a wave."""

    async def move(self, machine: str, pool: str, fence: int) -> MachineResult:
        """Move a machine to another pool."""
