"""The task that gives all orders for machines while this entry holds the duty."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from result import Err, Ok

from cornelturn.capacity.sizing import FleetView, machines_for
from cornelturn.clock import Clock
from cornelturn.events.log import log_event
from cornelturn.events.mailbox import Mailbox, post_every
from cornelturn.fleet.loads import Loads
from cornelturn.fleet.machines import MachineOrders
from cornelturn.fleet.resizing import Resizing
from cornelturn.fleet.upkeep import Upkeep
from cornelturn.model.routes import RoutingTable
from cornelturn.model.upkeep import Machine, UpkeepWave
from cornelturn.peering.messages import CordonWanted, PoolLoad, TargetsChanged

STEP_INTERVAL_S = 0.25
"""Interval between two steps; a move or an upkeep takes seconds."""

IDLE_STEPS = 8
"""Steps between two readings of the list while nothing changes."""

BUSY_FILL = 0.4
"""Fill of a pool above which it may grow soon."""


@dataclass(frozen=True, slots=True)
class StepDue:
    """Time for the next step."""


@dataclass(frozen=True, slots=True)
class WaveSeen:
    """A wave that the operator asks for."""

    wave: UpkeepWave


MachineMessage = StepDue | WaveSeen | PoolLoad


@dataclass(slots=True)
class MachineOwner:
    """Runs waves of upkeep and moves between pools.

    Parameters
    ----------
    ask : callable
        Sends a message to the owner of the pool that it names.
    routing : callable
        Returns the configuration in force.
    """

    orders: MachineOrders
    upkeep: Upkeep
    resizing: Resizing
    clock: Clock
    ask: Callable[[CordonWanted | TargetsChanged], None]
    routing: Callable[[], RoutingTable]
    mailbox: Mailbox[MachineMessage] = field(default_factory=Mailbox)
    loads: Loads = field(default_factory=Loads)
    known: dict[str, str] = field(default_factory=dict)
    asked_pools: set[str] = field(default_factory=set)
    steps: int = 0

    async def run(self) -> None:
        """Serve messages until cancelled."""
        steps = asyncio.create_task(
            post_every(self.mailbox, StepDue(), STEP_INTERVAL_S)
        )
        try:
            async for message in self.mailbox.messages():
                await self._handle(message)
        finally:
            steps.cancel()

    async def _handle(self, message: MachineMessage) -> None:
        match message:
            case WaveSeen(wave):
                await self.upkeep.begin(wave)
            case PoolLoad() as load:
                self.loads.tell(load, self.clock.now_ms())
            case StepDue():
                await self._step()

    async def _step(self) -> None:
        if not self.orders.may_give() or not self._has_work():
            return
        match await self.orders.machines.list_all():
            case Err(error):
                log_event("machines_not_read", detail=error.detail)
                return
            case Ok(found):
                self._note_targets(found)
        uses = self.loads.uses(self.clock.now_ms())
        machines = {one.name: one for one in found}
        wanted = await self.upkeep.step(machines, uses)
        view = self._view(found, {one.name for one in wanted})
        wanted += await self.resizing.step(view, found)
        self._ask(wanted)

    def _has_work(self) -> bool:
        """Return whether the list of machines is to be read."""
        self.steps += 1
        if self.upkeep.rollouts or not self.resizing.sizing.is_settled():
            return True
        demands = self.loads.demands(self.clock.now_ms()).values()
        is_busy = any(machines_for(one) > one.targets * BUSY_FILL for one in demands)
        return is_busy or self.steps % IDLE_STEPS == 0

    def _view(self, found: list[Machine], leaving: set[str]) -> FleetView:
        now_ms = self.clock.now_ms()
        pools = self.routing().pools
        return FleetView(
            machines=tuple(found),
            fixed=self.upkeep.due(),
            leaving=leaving,
            standby=frozenset(one.name for one in pools if one.is_standby),
            demands=self.loads.demands(now_ms),
            uses=self.loads.uses(now_ms),
        )

    def _note_targets(self, found: list[Machine]) -> None:
        """Tell the owners of the pools in which a machine has a new target."""
        for machine in found:
            if machine.target and self.known.get(machine.name) != machine.target:
                if machine.name in self.known:
                    self.ask(TargetsChanged(machine.pool))
                self.known[machine.name] = machine.target

    def _ask(self, wanted: list[Machine]) -> None:
        """Tell each pool's owner; a pool that is no longer asked is told once."""
        by_pool: dict[str, list[str]] = {pool: [] for pool in self.asked_pools}
        for machine in wanted:
            if machine.target:
                by_pool.setdefault(machine.pool, []).append(machine.target)
        for pool, targets in by_pool.items():
            self.ask(CordonWanted(pool, tuple(targets)))
        self.asked_pools = {pool for pool, targets in by_pool.items() if targets}
