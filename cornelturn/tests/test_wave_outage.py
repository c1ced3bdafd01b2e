"""Waves of upkeep while the store or the machine service does not answer.

Guards against a machine owner whose steps wait for the store until its calls time out,
and against orders without an answer that the next owner does not know of.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field, replace

import msgspec
import pytest
from result import Err, Ok

from cornelturn.clock import loop_clock
from cornelturn.fleet.cordons import CordonRequests
from cornelturn.fleet.machine_owner import MachineOwner, WaveRequested
from cornelturn.fleet.machines import MachineOrders, MachineResult
from cornelturn.fleet.resizing import Resizing
from cornelturn.fleet.upkeep import Upkeep, rollout_key
from cornelturn.model.routes import RoutingTable
from cornelturn.model.upkeep import Machine, MachineState, UpkeepWave
from cornelturn.store.rows import Committed, Put, Row, TableUnavailable
from cornelturn.tests.network import FakeTimeLoop

STORE_TIMEOUT_S = 1.5
"""Timeout of a call to the store."""

WAVE = UpkeepWave(1, tuple(f"m-{number}" for number in range(4)), 20_000, 4)
OUTAGE_S = 5.0
ANNOUNCED_S = 1.0
"""Time for the progress of a wave to be stored, and for a few steps."""

MIN_LISTINGS = 12
"""Minimum reads of the machine list in the outage: one every 0.25 s, less a margin."""


@dataclass
class SilentStore:
    """Store that accepts rows until it stops answering."""

    rows: dict[str, str] = field(default_factory=dict)
    is_silent: bool = False

    version: int = 0

    async def read(self, key: str):
        text = self.rows.get(key)
        return Ok(Row(key, self.version, "", text) if text is not None else None)

    async def commit(self, put: Put):
        if self.is_silent:
            await asyncio.sleep(STORE_TIMEOUT_S)
            return Err(TableUnavailable("no answer in time"))
        self.version += 1
        self.rows[put.key] = put.value
        return Ok(Committed(self.version))


@dataclass
class ReadyMachines:
    """Machines that are off and accept every order, unless they are busy."""

    listings: int = 0
    is_busy: bool = False
    is_silent: bool = False
    moving: set[str] = field(default_factory=set)
    orders: list[str] = field(default_factory=list)
    under_upkeep: set[str] = field(default_factory=set)

    async def list_all(self):
        self.listings += 1
        return Ok([self._listed_machine(f"m-{number}") for number in range(16)])

    async def upkeep(self, machine: str, wave: int, fence: int) -> MachineResult:
        if self.is_busy:
            return MachineResult.BUSY
        self.orders.append(machine)
        if self.is_silent:
            await asyncio.get_running_loop().create_future()
        self.under_upkeep.add(machine)
        return MachineResult.DONE

    def _listed_machine(self, name: str) -> Machine:
        state = MachineState.UP
        if name in self.under_upkeep:
            state = MachineState.UPKEEP
        elif name in self.moving:
            state = MachineState.MOVING
        return Machine(name, "spare", state, "")


@pytest.fixture
def store() -> SilentStore:
    """Return a store that answers."""
    return SilentStore()


@pytest.fixture
def machines() -> ReadyMachines:
    """Return machines that are off."""
    return ReadyMachines()


@pytest.fixture
def owner(store: SilentStore, machines: ReadyMachines) -> MachineOwner:
    """Return a machine owner without pools."""
    return make_owner(store, machines)


def make_owner(store: SilentStore, machines: ReadyMachines) -> MachineOwner:
    clock = loop_clock()
    return MachineOwner(
        orders=MachineOrders(machines, 1, lambda: True),
        upkeep=Upkeep(
            store, clock, lambda wave, is_over: Put(f"status/wave/{wave}", str(is_over))
        ),
        resizing=Resizing(store, clock, has_base=True),
        cordons=CordonRequests(0),
        clock=clock,
        send=lambda message: None,
        routing_table=lambda: RoutingTable(1),
    )


def test_machine_owner_continues_while_the_store_does_not_answer(
    owner, store, machines
):
    async def scenario() -> None:
        machines.is_busy = True
        task = asyncio.create_task(owner.run())
        owner.mailbox.post(WaveRequested(WAVE, 0))
        await asyncio.sleep(ANNOUNCED_S)
        store.is_silent, machines.is_busy = True, False
        machines.listings = 0
        await asyncio.sleep(OUTAGE_S)
        assert machines.under_upkeep == set(WAVE.machines)
        assert machines.listings >= MIN_LISTINGS
        store.is_silent = False
        await asyncio.sleep(OUTAGE_S)
        written = msgspec.json.decode(store.rows[rollout_key(WAVE.number)])
        assert written["begun"] == list(WAVE.machines)
        task.cancel()

    with asyncio.Runner(loop_factory=FakeTimeLoop) as runner:
        runner.run(scenario())


def test_no_upkeep_begins_whose_order_a_later_owner_could_not_know(
    owner, store, machines
):
    async def scenario() -> None:
        task = asyncio.create_task(owner.run())
        owner.mailbox.post(WaveRequested(WAVE, 0))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        store.is_silent = True
        await asyncio.sleep(OUTAGE_S)
        assert machines.under_upkeep == set()
        assert machines.listings >= MIN_LISTINGS
        store.is_silent = False
        await asyncio.sleep(OUTAGE_S)
        assert machines.under_upkeep == set(WAVE.machines)
        task.cancel()

    with asyncio.Runner(loop_factory=FakeTimeLoop) as runner:
        runner.run(scenario())


def test_next_owner_orders_first_what_the_lost_one_may_have_ordered(
    owner, store, machines
):
    async def scenario() -> None:
        wave = replace(WAVE, max_down=1)
        machines.is_silent, machines.moving = True, {"m-0"}
        task = asyncio.create_task(owner.run())
        owner.mailbox.post(WaveRequested(wave, 0))
        await asyncio.sleep(ANNOUNCED_S)
        assert machines.orders == ["m-1"]
        task.cancel()
        machines.is_silent, machines.moving = False, set()
        next_owner = make_owner(store, machines)
        task = asyncio.create_task(next_owner.run())
        next_owner.mailbox.post(WaveRequested(wave, 0))
        await asyncio.sleep(ANNOUNCED_S)
        assert machines.under_upkeep == {"m-1"}
        task.cancel()

    with asyncio.Runner(loop_factory=FakeTimeLoop) as runner:
        runner.run(scenario())
