"""A new machine owner continues a wave that the previous owner began.

Guards against exceeding the wave's limit when the previous owner was lost before it
stored that an upkeep had begun, and against a wave that starts its duration anew.
"""

from __future__ import annotations

import pytest
from result import Ok

from cornelturn.clock import ManualTime
from cornelturn.fleet.rollout import Rollout
from cornelturn.fleet.upkeep import Upkeep
from cornelturn.model.upkeep import Machine, MachineState, UpkeepWave
from cornelturn.store.rows import Committed, Put

NAMES = tuple(f"m-{number}" for number in range(1, 9))


def make_machine(name: str, state: MachineState = MachineState.UP) -> Machine:
    return Machine(name, "pool", state, f"t-{name}")


@pytest.fixture
def machines() -> dict[str, Machine]:
    """Return machines of a wave, one of them under upkeep."""
    found = {name: make_machine(name) for name in NAMES}
    return found | {"m-1": make_machine("m-1", MachineState.UPKEEP)}


@pytest.fixture
def rollout() -> Rollout:
    """Return a wave with at most one machine down and no known start of an upkeep."""
    return Rollout(UpkeepWave(1, NAMES, 20_000, 1))


def test_unrecorded_upkeep_counts_as_down(rollout, machines):
    rollout.observe(machines)
    assert rollout.machines_to_drain(machines, {}, 0) == []


def test_machine_with_unrecorded_upkeep_is_ordered_again_once_it_is_up(
    rollout, machines
):
    rollout.observe(machines)
    machines["m-1"] = make_machine("m-1")
    rollout.observe(machines)
    assert [machine.name for machine in rollout.machines_to_drain(machines, {}, 0)] == [
        "m-1"
    ]
    assert not rollout.is_completed()


class EmptyStore:
    """Store without rows that accepts every commit."""

    async def read(self, key: str):
        return Ok(None)

    async def commit(self, put: Put):
        return Ok(Committed(1))


async def test_duration_of_a_wave_keeps_running_while_its_owner_changes(
    manual_time: ManualTime,
):
    names = [f"m-{number:02d}" for number in range(16)]
    machines = {name: make_machine(name) for name in names}
    clock = manual_time.clock()
    seen_ms = clock.now_ms()
    manual_time.advance_ms(10_000)
    upkeep = Upkeep(EmptyStore(), clock, lambda wave, is_over: Put("status", ""))
    wave = UpkeepWave(1, tuple(names[:7]), 25_000, 31)
    await upkeep.add_wave(wave, seen_ms)
    upkeep.observe(machines)
    assert len(upkeep.plan(machines, {})) == len(wave.machines)
