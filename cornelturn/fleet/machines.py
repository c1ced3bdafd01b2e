"""Interface to the provider of machines, and orders that carry a fencing token."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol

from result import Result

from cornelturn.events.job_metrics import JobMetrics
from cornelturn.events.log import log_event
from cornelturn.model.upkeep import Machine, MachineOrder, MoveOrder, UpkeepOrder


@dataclass(frozen=True, slots=True)
class MachinesUnavailable:
    """The list of machines could not be read."""

    detail: str


class MachineResult(StrEnum):
    """Result of an order for a machine."""

    DONE = "done"
    BUSY = "busy"
    FENCED = "fenced"
    NOT_IN_WAVE = "not_in_wave"
    NO_SUCH_MACHINE = "no_such_machine"
    UNAVAILABLE = "unavailable"
    UNANSWERED = "unanswered"


class Machines(Protocol):
    """Provider of machines; each order carries a fencing token."""

    async def list_all(self) -> Result[list[Machine], MachinesUnavailable]:
        """Return all machines."""

    async def upkeep(self, machine: str, wave: int, fence: int) -> MachineResult:
        """Take a machine down for its upkeep in a wave."""

    async def move(self, machine: str, pool: str, fence: int) -> MachineResult:
        """Move a machine to another pool."""


@dataclass(slots=True)
class MachineOrders:
    """Sends the orders of the machine owner until the provider reports a higher token.

    Parameters
    ----------
    token : int
        Fencing token of the owner.
    may_act : callable
        Returns whether this entry may still act as the holder of the duty.
    """

    machines: Machines
    token: int
    may_act: Callable[[], bool]
    metrics: JobMetrics = field(default_factory=JobMetrics)
    is_fenced: bool = False

    def may_order(self) -> bool:
        """Return whether an order may be sent now."""
        return not self.is_fenced and self.may_act()

    async def send(self, order: MachineOrder) -> MachineResult:
        """Send an order once, without retries, and record its result."""
        name = order.machine.name
        match order:
            case UpkeepOrder(wave=wave):
                result = await self.machines.upkeep(name, wave, self.token)
                self._record("upkeep", order.machine, result, wave=wave)
            case MoveOrder(pool=pool):
                result = await self.machines.move(name, pool, self.token)
                self._record("machine_move", order.machine, result, to_pool=pool)
        return result

    def _record(
        self, event: str, machine: Machine, result: MachineResult, **fields: str | int
    ) -> None:
        if result is MachineResult.FENCED:
            self.is_fenced = True
        self.metrics.machine_orders.labels(event, result).inc()
        log_event(
            event,
            machine=machine.name,
            pool=machine.pool,
            result=result,
            token=self.token,
            **fields,
        )
