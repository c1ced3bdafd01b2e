"""Task that sends all orders for machines while this entry holds the duty."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from result import Err, Ok

from cornelturn.capacity.plan import SizingInputs
from cornelturn.clock import Clock
from cornelturn.events.background import start_background
from cornelturn.events.log import log_event
from cornelturn.events.mailbox import Mailbox, post_every
from cornelturn.fleet.cordons import CordonRequests
from cornelturn.fleet.loads import PoolLoads
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
"""Interval between two steps; small against the seconds of a move or an upkeep."""

STEPS_PER_IDLE_LISTING = 8
"""Steps per reading of the machine list while there is no work."""


@dataclass(frozen=True, slots=True)
class StepDue:
    """Timer: run the next step."""


@dataclass(frozen=True, slots=True)
class WaveRequested:
    """Wave of upkeep that the operator requested.

    Parameters
    ----------
    seen_ms : int
        Time at which this entry first read the request.
    """

    wave: UpkeepWave
    seen_ms: int


@dataclass(frozen=True, slots=True)
class LoadReported:
    """Load that the owner of a pool reported.

    Parameters
    ----------
    received_ms : int
        Time of arrival.
    """

    load: PoolLoad
    received_ms: int


@dataclass(frozen=True, slots=True)
class MoveOrUpkeepSettled:
    """Result of an order: its answer, or that it timed out."""

    order: MachineOrder
    result: MachineResult


MachineMessage = StepDue | WaveRequested | LoadReported | MoveOrUpkeepSettled


@dataclass(slots=True)
class MachineOwner:
    """Runs waves of upkeep and moves machines between pools.

    Parameters
    ----------
    send : callable
        Sends a message to the owner of the pool that the message names.
    routing_table : callable
        Returns the routing table in force.
    on_base_sizes : callable
        Called once with the number of machines that each pool had before any move, as
        soon as it is known.
    cordoned : dict
        Machines whose targets the last request named, by machine name.
    orders_in_flight : dict
        Orders that were sent and not answered yet, by machine.
    progress_write : Task or None
        Last write of the progress of the waves.
    """

    orders: MachineOrders
    upkeep: Upkeep
    resizing: Resizing
    cordons: CordonRequests
    clock: Clock
    send: Callable[[CordonWanted | TargetsChanged], None]
    routing_table: Callable[[], RoutingTable]
    on_base_sizes: Callable[[dict[str, int]], None] = lambda _: None
    mailbox: Mailbox[MachineMessage] = field(default_factory=Mailbox)
    loads: PoolLoads = field(default_factory=PoolLoads)
    known_targets: dict[str, str] = field(default_factory=dict)
    cordoned: dict[str, Machine] = field(default_factory=dict)
    orders_in_flight: dict[str, MachineOrder] = field(default_factory=dict)
    background: set[asyncio.Task[None]] = field(default_factory=set)
    progress_write: asyncio.Task[None] | None = None
    step_count: int = 0
    has_reported_sizes: bool = False

    @property
    def generation(self) -> int:
        """Return the generation of this ownership, which is its fencing token."""
        return self.orders.token

    async def run(self) -> None:
        """Handle messages until cancelled."""
        start_background(
            self.background, post_every(self.mailbox, StepDue(), STEP_INTERVAL_S)
        )
        try:
            async for message in self.mailbox.messages():
                messages = (message, *self.mailbox.drain())
                for received in messages:
                    await self._handle(received)
                if StepDue() in messages:
                    await self._step()
        finally:
            for task in self.background:
                task.cancel()

    async def _handle(self, message: MachineMessage) -> None:
        match message:
            case WaveRequested(wave, seen_ms):
                await self.upkeep.add_wave(wave, seen_ms)
            case LoadReported(load, received_ms):
                if self.loads.update(load, received_ms):
                    self.resizing.record_load(load, received_ms)
            case MoveOrUpkeepSettled(order, result):
                del self.orders_in_flight[order.machine.name]
                match order:
                    case UpkeepOrder():
                        self.upkeep.record_result(order, result)
                        self._save_wave_progress()
                    case MoveOrder():
                        self.resizing.record_result(order, result)
            case StepDue():
                return

    async def _step(self) -> None:
        if not self.orders.may_order() or not self._needs_listing():
            return
        self._save_wave_progress()
        match await self.orders.machines.list_all():
            case Err(error):
                log_event("machines_not_read", detail=error.detail)
                # Pending orders may still be executed, so their targets stay cordoned.
                cordoned = self.cordoned.values()
                self._request_cordons(
                    [
                        machine
                        for machine in cordoned
                        if self._has_pending_order(machine.name)
                    ]
                )
            case Ok(listed):
                self._announce_new_targets(listed)
                machines = {machine.name: machine for machine in listed}
                self.upkeep.observe(machines)
                await self.resizing.observe(listed)
                self._report_base_sizes()
                self._plan(machines)

    def _save_wave_progress(self) -> None:
        """Write the progress of the waves in the background.

        The steps do not wait for it, since the store may not answer.
        """
        is_idle = self.progress_write is None or self.progress_write.done()
        if self.upkeep.unsaved and is_idle:
            self.progress_write = start_background(
                self.background, self.upkeep.save_progress()
            )

    def _report_base_sizes(self) -> None:
        """Report once how many machines each pool had before any move.

        Standby pools are left out, since their machines are off and run nothing.
        """
        if self.has_reported_sizes or not self.resizing.has_base:
            return
        self.has_reported_sizes = True
        base, standby = self.resizing.sizing.base_sizes, self._standby()
        self.on_base_sizes({pool: base[pool] for pool in base if pool not in standby})

    def _plan(self, machines: dict[str, Machine]) -> None:
        """Send the orders for empty machines and request cordons for the others."""
        targets = self.loads.target_loads(self.cordons, self.clock.now_ms())
        upkeeps = self.upkeep.plan(machines, targets)
        leaving = {order.machine.name for order in upkeeps}
        plan = self.resizing.plan(self._view(machines, targets, leaving))
        # A later owner must know of each order that may still be executed.
        self._save_wave_progress()
        for order in upkeeps:
            load = targets.get(order.machine.target)
            is_empty = load is not None and load.is_empty()
            if self.upkeep.is_announced(order) and (
                not order.machine.target or is_empty
            ):
                self._start_order(order)
        for move in plan.moves:
            self._start_order(move)
        moving = [order.machine for order in (*upkeeps, *plan.moves)]
        self._request_cordons([*moving, *plan.cordoned])

    def _start_order(self, order: MachineOrder) -> None:
        """Send an order in the background; its result arrives as a message."""
        name = order.machine.name
        if name in self.orders_in_flight or not self.orders.may_order():
            return
        self.orders_in_flight[name] = order
        match order:
            case UpkeepOrder():
                self.upkeep.mark_ordered(order)
            case MoveOrder():
                self.resizing.mark_ordered(order)
        start_background(self.background, self._execute_order(order))

    async def _execute_order(self, order: MachineOrder) -> None:
        result = await self.orders.send(order)
        self.mailbox.post(MoveOrUpkeepSettled(order, result))

    def _has_pending_order(self, machine: str) -> bool:
        return self.upkeep.has_pending_order(
            machine
        ) or self.resizing.has_pending_order(machine)

    def _needs_listing(self) -> bool:
        """Count a step and return whether it must read the list of machines."""
        self.step_count += 1
        if self.upkeep.rollouts or not self.resizing.sizing.is_settled():
            return True
        now_ms = self.clock.now_ms()
        loads = self.loads.recent_loads(now_ms).values()
        is_busy = any(map(self.resizing.sizing.may_grow_soon, loads))
        is_busy = is_busy or self.resizing.sizing.is_peak_near(now_ms)
        return is_busy or self.step_count % STEPS_PER_IDLE_LISTING == 0

    def _view(
        self,
        machines: dict[str, Machine],
        targets: dict[str, TargetLoad],
        leaving: set[str],
    ) -> SizingInputs:
        return SizingInputs(
            machines=tuple(machines.values()),
            pinned=self.upkeep.machines_due(),
            upkeep_draining=leaving,
            standby=self._standby(),
            pool_loads=self.loads.recent_loads(self.clock.now_ms()),
            target_loads=targets,
        )

    def _standby(self) -> frozenset[str]:
        pools = self.routing_table().pools
        return frozenset(pool.name for pool in pools if pool.is_standby)

    def _announce_new_targets(self, listed: list[Machine]) -> None:
        """Notify the owners of the pools in which a machine has a new target."""
        for machine in listed:
            if (
                machine.target
                and self.known_targets.get(machine.name) != machine.target
            ):
                if machine.name in self.known_targets:
                    self.send(TargetsChanged(machine.pool))
                self.known_targets[machine.name] = machine.target

    def _request_cordons(self, machines: list[Machine]) -> None:
        """Request cordons for the targets of these machines and of no others."""
        self.cordoned = {
            machine.name: machine for machine in machines if machine.target
        }
        targets = [(machine.pool, machine.target) for machine in self.cordoned.values()]
        for message in self.cordons.request(targets, self.clock.now_ms()):
            self.send(message)
