"""Moves machines between pools, relative to the sizes of the pools before any move."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec
from result import Err, Ok

from cornelturn.capacity.plan import SizingInputs, SizingPlan
from cornelturn.capacity.sizing import PoolSizer
from cornelturn.clock import Clock
from cornelturn.events.job_metrics import JobMetrics
from cornelturn.events.log import log_event
from cornelturn.fleet.machines import MachineResult
from cornelturn.fleet.peak_log import record_peak_event
from cornelturn.model.decoding import Int64, try_decode
from cornelturn.model.upkeep import Machine, MoveOrder
from cornelturn.peering.messages import PoolLoad
from cornelturn.store.port import RowStore
from cornelturn.store.rows import ABSENT, Put, Row

BASE_KEY = "capacity/pools/base"


class StoredBase(msgspec.Struct, frozen=True):
    """Number of machines of each pool before the first move."""

    machines: dict[str, Int64]


BASE_DECODER = msgspec.json.Decoder(StoredBase)


@dataclass(slots=True)
class Resizing:
    """Plans and tracks moves between pools for the machine owner.

    Parameters
    ----------
    has_base : bool
        Whether the sizes before the first move are known; until then nothing moves.
    """

    store: RowStore
    clock: Clock
    sizing: PoolSizer = field(default_factory=PoolSizer)
    metrics: JobMetrics = field(default_factory=JobMetrics)
    has_base: bool = False

    def plan(self, view: SizingInputs) -> SizingPlan:
        """Return the moves that are due and the machines to cordon."""
        if not self.has_base:
            return SizingPlan()
        return self.sizing.plan(view, self.clock.now_ms())

    def record_load(self, load: PoolLoad, received_ms: int) -> None:
        """Add the load of a pool to its forecast, and log what its peaks show."""
        self.sizing.record_load(load, received_ms)
        for pool, event in self.sizing.take_peak_events():
            record_peak_event(pool, event, self.metrics.peaks)

    def mark_ordered(self, order: MoveOrder) -> None:
        """Record that an order was sent."""
        self.sizing.transits.record_move(order, self.clock.now_ms())

    def record_result(self, order: MoveOrder, result: MachineResult) -> None:
        """Record the result of an order."""
        if result not in (MachineResult.DONE, MachineResult.UNANSWERED):
            self.sizing.transits.record_refusal(order.machine.name, self.clock.now_ms())

    def has_pending_order(self, machine: str) -> bool:
        """Return whether an order for a machine is in flight or was not answered."""
        return machine in self.sizing.transits.in_transit

    async def observe(self, listed: list[Machine]) -> None:
        """Read the sizes before the first move; the first machine owner writes them."""
        if self.has_base:
            return
        match await self.store.read(BASE_KEY):
            case Ok(Row(value=text)):
                match try_decode(BASE_DECODER.decode, text):
                    case Ok(stored):
                        base = stored.machines
                    case Err(error):
                        log_event("base_not_read", detail=error.detail)
                        return
            case Ok(None):
                base = count_by_pool(listed)
                text = msgspec.json.encode(StoredBase(base)).decode()
                put = Put(BASE_KEY, text, ABSENT)
                if (await self.store.commit(put)).is_err():
                    return
            case Err(error):
                log_event("base_not_read", detail=error.detail)
                return
        self.sizing.base_sizes = base
        self.has_base = True


def count_by_pool(machines: list[Machine]) -> dict[str, int]:
    """Return the number of machines of each pool."""
    counts: dict[str, int] = {}
    for machine in machines:
        counts[machine.pool] = counts.get(machine.pool, 0) + 1
    return counts
