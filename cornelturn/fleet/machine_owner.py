"""The task that gives all orders for machines while this entry holds the duty."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from result import Err, Ok

from cornelturn.capacity.sizing import SizingInputs
from cornelturn.clock import Clock
from cornelturn.events.background import start_background
from cornelturn.events.log import log_event
from cornelturn.events.mailbox import Mailbox, post_every
from cornelturn.fleet.cordons import Cordons
from cornelturn.fleet.loads import Loads
from cornelturn.fleet.machines import MachineOrders, MachineResult
from cornelturn.fleet.resizing import Resizing
from cornelturn.fleet.upkeep import Upkeep
from cornelturn.model.routes import RoutingTable
from cornelturn.model.upkeep import (
    Machine,
    MachineOrder,
    MoveOrder,
    UpkeepOrder,
    UpkeepWave,
)
from cornelturn.peering.messages import (
    CordonWanted,
    PoolLoad,
    TargetLoad,
    TargetsChanged,
)

STEP_INTERVAL_S = 0.25
"""Interval between two steps; a move or an upkeep takes seconds."""

IDLE_STEPS = 8
"""Steps between two readings of the list while nothing changes."""


@dataclass(frozen=True, slots=True)
class StepDue:
    """Time for the next step."""


@dataclass(frozen=True, slots=True)
class WaveSeen:
    """A wave that the operator asks for.

    Parameters
    ----------
    at_ms : int
        When this entry first saw it.
    """

    wave: UpkeepWave
    at_ms: int


@dataclass(frozen=True, slots=True)
class LoadTold:
    """An owner has told the load of its pool.

    Parameters
    ----------
    at_ms : int
        When it arrived.
    """

    load: PoolLoad
    at_ms: int


@dataclass(frozen=True, slots=True)
class OrderSettled:
    """An order was answered, or its time was up."""

    order: MachineOrder
    result: MachineResult


MachineMessage = StepDue | WaveSeen | LoadTold | OrderSettled


@dataclass(slots=True)
class MachineOwner:
    """Runs waves of upkeep and moves between pools.

    Parameters
    ----------
    ask : callable
        Sends a message to the owner of the pool that it names.
    routing : callable
        Returns the configuration in force.
    sized : callable
        Called with the machines that each pool had before any move, once known.
    asked : dict
        Machines for whose targets a cordon was asked last, by name.
    giving : dict
        Orders on their way, by machine.
    writing : Task or None
        The last writing of how far waves have got.
    """

    orders: MachineOrders
    upkeep: Upkeep
    resizing: Resizing
    cordons: Cordons
    clock: Clock
    ask: Callable[[CordonWanted | TargetsChanged], None]
    routing: Callable[[], RoutingTable]
    sized: Callable[[dict[str, int]], None] = lambda _: None
    mailbox: Mailbox[MachineMessage] = field(default_factory=Mailbox)
    loads: Loads = field(default_factory=Loads)
    known: dict[str, str] = field(default_factory=dict)
    asked: dict[str, Machine] = field(default_factory=dict)
    giving: dict[str, MachineOrder] = field(default_factory=dict)
    background: set[asyncio.Task[None]] = field(default_factory=set)
    writing: asyncio.Task[None] | None = None
    steps: int = 0
    is_sized: bool = False

    async def run(self) -> None:
        """Serve messages until cancelled."""
        start_background(
            self.background, post_every(self.mailbox, StepDue(), STEP_INTERVAL_S)
        )
        try:
            async for message in self.mailbox.messages():
                waiting = (message, *self.mailbox.drain())
                for one in waiting:
                    await self._handle(one)
                if StepDue() in waiting:
                    await self._step()
        finally:
            for task in self.background:
                task.cancel()

    async def _handle(self, message: MachineMessage) -> None:
        match message:
            case WaveSeen(wave, at_ms):
                await self.upkeep.begin(wave, at_ms)
            case LoadTold(load, at_ms):
                if self.loads.tell(load, at_ms):
                    self.resizing.sizing.record_load(load, at_ms)
            case OrderSettled(order, result):
                del self.giving[order.machine.name]
                match order:
                    case UpkeepOrder():
                        self.upkeep.settle(order, result)
                        self._write_waves()
                    case MoveOrder():
                        self.resizing.settle(order, result)
            case StepDue():
                return

    async def _step(self) -> None:
        if not self.orders.may_give() or not self._has_work():
            return
        self._write_waves()
        match await self.orders.machines.list_all():
            case Err(error):
                log_event("machines_not_read", detail=error.detail)
                # What was ordered may still happen: its targets get no work.
                asked = self.asked.values()
                self._ask([one for one in asked if self._is_in_doubt(one.name)])
            case Ok(found):
                self._note_targets(found)
                machines = {one.name: one for one in found}
                self.upkeep.observe(machines)
                await self.resizing.observe(found)
                self._tell_sizes()
                self._plan(machines)

    def _write_waves(self) -> None:
        """Write how far waves have got, beside the steps: the store may be silent."""
        is_idle = self.writing is None or self.writing.done()
        if self.upkeep.unwritten and is_idle:
            self.writing = start_background(self.background, self.upkeep.write())

    def _tell_sizes(self) -> None:
        """Tell once which sizes the pools had; machines that are off run nothing."""
        if self.is_sized or not self.resizing.has_base:
            return
        self.is_sized = True
        base, standby = self.resizing.sizing.base_sizes, self._standby()
        self.sized({pool: base[pool] for pool in base if pool not in standby})

    def _plan(self, machines: dict[str, Machine]) -> None:
        """Give the orders whose machines are empty; have the others emptied."""
        targets = self.loads.targets(self.cordons, self.clock.now_ms())
        upkeeps = self.upkeep.plan(machines, targets)
        leaving = {one.machine.name for one in upkeeps}
        plan = self.resizing.plan(self._view(machines, targets, leaving))
        for order in upkeeps:
            load = targets.get(order.machine.target)
            if not order.machine.target or (load is not None and load.is_empty()):
                self._give(order)
        for move in plan.moves:
            self._give(move)
        moving = [one.machine for one in (*upkeeps, *plan.moves)]
        self._ask([*moving, *plan.cordoned])

    def _give(self, order: MachineOrder) -> None:
        """Give an order beside the steps; the answer comes as a message."""
        name = order.machine.name
        if name in self.giving or not self.orders.may_give():
            return
        self.giving[name] = order
        match order:
            case UpkeepOrder():
                self.upkeep.ordered(order)
            case MoveOrder():
                self.resizing.ordered(order)
        start_background(self.background, self._carry(order))

    async def _carry(self, order: MachineOrder) -> None:
        result = await self.orders.give(order)
        self.mailbox.post(OrderSettled(order, result))

    def _is_in_doubt(self, machine: str) -> bool:
        return self.upkeep.is_in_doubt(machine) or self.resizing.is_in_doubt(machine)

    def _has_work(self) -> bool:
        """Return whether the list of machines is to be read."""
        self.steps += 1
        if self.upkeep.rollouts or not self.resizing.sizing.is_settled():
            return True
        loads = self.loads.pools(self.clock.now_ms()).values()
        is_busy = any(map(self.resizing.sizing.may_grow_soon, loads))
        return is_busy or self.steps % IDLE_STEPS == 0

    def _view(
        self,
        machines: dict[str, Machine],
        targets: dict[str, TargetLoad],
        leaving: set[str],
    ) -> SizingInputs:
        return SizingInputs(
            machines=tuple(machines.values()),
            pinned=self.upkeep.due(),
            upkeep_draining=leaving,
            standby=self._standby(),
            pool_loads=self.loads.pools(self.clock.now_ms()),
            target_loads=targets,
        )

    def _standby(self) -> frozenset[str]:
        pools = self.routing().pools
        return frozenset(one.name for one in pools if one.is_standby)

    def _note_targets(self, found: list[Machine]) -> None:
        """Tell the owners of the pools in which a machine has a new target."""
        for machine in found:
            if machine.target and self.known.get(machine.name) != machine.target:
                if machine.name in self.known:
                    self.ask(TargetsChanged(machine.pool))
                self.known[machine.name] = machine.target

    def _ask(self, wanted: list[Machine]) -> None:
        """Have the targets of some machines emptied, and no others."""
        self.asked = {one.name: one for one in wanted if one.target}
        targets = [(one.pool, one.target) for one in self.asked.values()]
        for message in self.cordons.ask(targets, self.clock.now_ms()):
            self.ask(message)
