"""Keeps the pools at their sizes: reads the base, gives the moves as orders."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec
from result import Err, Ok

from cornelturn.capacity.sizing import FleetView, Move, Sizing
from cornelturn.clock import Clock
from cornelturn.events.log import log_event
from cornelturn.fleet.machines import MachineOrders, MachineResult
from cornelturn.model.upkeep import Machine
from cornelturn.store.port import RowStore
from cornelturn.store.rows import ABSENT, Put, Row

BASE_KEY = "capacity/pools/base"


class StoredBase(msgspec.Struct, frozen=True):
    """Machines of each pool before the first move."""

    machines: dict[str, int]


@dataclass(slots=True)
class Resizing:
    """Moves of machines, on behalf of their owner.

    Parameters
    ----------
    has_base : bool
        Whether the sizes before the first move are known; nothing moves before.
    """

    orders: MachineOrders
    store: RowStore
    clock: Clock
    sizing: Sizing = field(default_factory=Sizing)
    has_base: bool = False

    async def step(self, view: FleetView, listed: list[Machine]) -> list[Machine]:
        """Give the moves that are due; return the machines to be emptied."""
        if not await self._read_base(listed):
            return []
        plan = self.sizing.plan(view, self.clock.now_ms())
        for move in plan.moves:
            if self.orders.may_give():
                await self._order(move)
        return list(plan.emptied)

    async def _order(self, move: Move) -> None:
        now_ms = self.clock.now_ms()
        match await self.orders.move(move.machine, move.pool):
            case MachineResult.DONE | MachineResult.UNANSWERED:
                self.sizing.sent(move, now_ms)
            case _:
                self.sizing.refused(move.machine.name, now_ms)

    async def _read_base(self, listed: list[Machine]) -> bool:
        """Read the sizes of the pools; the first owner ever writes them."""
        if self.has_base:
            return True
        match await self.store.read(BASE_KEY):
            case Ok(Row(value=text)):
                base = msgspec.json.decode(text, type=StoredBase).machines
            case Ok(None):
                base = count_by_pool(listed)
                text = msgspec.json.encode(StoredBase(base)).decode()
                put = Put(BASE_KEY, text, ABSENT)
                if (await self.store.commit(put)).is_err():
                    return False
            case Err(error):
                log_event("base_not_read", detail=error.detail)
                return False
        self.sizing.base = base
        self.has_base = True
        return True


def count_by_pool(machines: list[Machine]) -> dict[str, int]:
    """Return the number of machines of each pool."""
    counts: dict[str, int] = {}
    for machine in machines:
        counts[machine.pool] = counts.get(machine.pool, 0) + 1
    return counts
