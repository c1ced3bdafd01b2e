"""What a new owner of the machines concludes of a wave that another one began."""

from __future__ import annotations

import pytest

from cornelturn.fleet.rollout import Rollout
from cornelturn.model.upkeep import Machine, MachineState, UpkeepWave

NAMES = tuple(f"m-{number}" for number in range(1, 9))


def machine(name: str, state: MachineState = MachineState.UP) -> Machine:
    return Machine(name, "pool", state, f"t-{name}")


@pytest.fixture
def machines() -> dict[str, Machine]:
    """Return machines of a wave, one of them under its upkeep."""
    found = {name: machine(name) for name in NAMES}
    return found | {"m-1": machine("m-1", MachineState.UPKEEP)}


@pytest.fixture
def rollout() -> Rollout:
    """Return a wave, one down at a time, of which no upkeep is known to have begun."""
    return Rollout(UpkeepWave(1, NAMES, 20_000, 1))


def test_upkeep_whose_beginning_was_not_written_counts_as_down(rollout, machines):
    rollout.observe(machines)
    assert rollout.to_empty(machines, {}, 0) == []


def test_machine_whose_upkeep_began_unseen_is_ordered_again_once_it_is_up(
    rollout, machines
):
    rollout.observe(machines)
    machines["m-1"] = machine("m-1")
    rollout.observe(machines)
    assert [one.name for one in rollout.to_empty(machines, {}, 0)] == ["m-1"]
    assert not rollout.is_completed()
