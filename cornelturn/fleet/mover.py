"""Starts the moves of instances that bring the pools to their desired sizes."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
from result import Err, Ok

from cornelturn.clock import Clock
from cornelturn.events.log import log_event
from cornelturn.fleet.disruption import Disruptions
from cornelturn.fleet.fencing import Fences
from cornelturn.fleet.moves import (
    MOVE_REASON,
    Move,
    PoolDemand,
    SizePlanner,
    plan_moves,
)
from cornelturn.model.configuration import Configuration
from cornelturn.model.fleet import Instance, InstanceState
from cornelturn.store.instances import ListedInstance
from cornelturn.store.rows import Operation
from cornelturn.store.table import Table

DEMAND_PREFIX = "demand/"
DEMAND_INTERVAL_MS = 10_000
MOVES_KEY = "moves"


def encode_demand(demand: PoolDemand) -> str:
    """Return the JSON text of the demand of a pool."""
    return msgspec.json.encode(demand).decode()


def demand_key(pool: str) -> str:
    """Return the key of the row of the demand of a pool."""
    return f"{DEMAND_PREFIX}{pool}"


@dataclass(slots=True)
class Mover:
    """Plans and starts moves; the controller of the source pool completes them.

    Parameters
    ----------
    find_listed : callable
        Returns an instance from the platform's list, None if it is not listed.
    on_instances_changed : callable
        Called after rows of instances have changed.
    """

    clock: Clock
    table: Table
    fences: Fences
    disruptions: Disruptions
    find_listed: Callable[[str], ListedInstance | None]
    on_instances_changed: Callable[[], None]
    planner: SizePlanner = field(default_factory=SizePlanner)
    demand_read_ms: int | None = None

    async def step(
        self, configuration: Configuration, instances: list[Instance]
    ) -> None:
        """Start the moves that are due, and read the demand of the pools regularly."""
        now_ms = self.clock.now_ms()
        if (
            self.demand_read_ms is None
            or now_ms - self.demand_read_ms >= DEMAND_INTERVAL_MS
        ):
            self.demand_read_ms = now_ms
            await self._read_demand(now_ms)
        if not instances:
            return
        sizes = Counter(instance.move_to or instance.pool for instance in instances)
        slots = max(instance.slots for instance in instances)
        desired_sizes = self.planner.desired_sizes(configuration, sizes, slots, now_ms)
        moves = plan_moves(instances, desired_sizes, self._is_idle)
        fence = await self.fences.acquire(MOVES_KEY) if moves else None
        for move in moves if fence is not None else ():
            await self._start(move, fence)

    async def _start(self, move: Move, fence: tuple[Operation, ...]) -> None:
        log_event(
            "move",
            instance=move.instance,
            source=move.source,
            destination=move.destination,
        )
        result = await self.disruptions.take_out_of_service(
            move.instance,
            InstanceState.DRAINING,
            MOVE_REASON,
            fence,
            move_to=move.destination,
        )
        if self.fences.record_result(MOVES_KEY, result):
            self.on_instances_changed()

    async def _read_demand(self, now_ms: int) -> None:
        match await self.table.scan(DEMAND_PREFIX):
            case Err(_):
                return
            case Ok(page):
                pass
        for row in page.rows:
            demand = msgspec.json.decode(row.value, type=PoolDemand)
            self.planner.observe(demand, now_ms)

    def _is_idle(self, name: str) -> bool:
        listed = self.find_listed(name)
        return listed is not None and listed.running == 0
