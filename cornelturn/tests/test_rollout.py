"""Decisions of a wave of upkeep: which machines are drained, and when it ends."""

from __future__ import annotations

import pytest

from cornelturn.fleet.machines import MachineResult
from cornelturn.fleet.rollout import OUT_OF_SERVICE_MS, RETURN_TIMEOUT_MS, Rollout
from cornelturn.model.upkeep import Machine, MachineState, UpkeepWave
from cornelturn.peering.messages import TargetLoad

NAMES = ("m-1", "m-2", "m-3")


def make_machine(name: str, state: MachineState = MachineState.UP) -> Machine:
    return Machine(name, "pool", state, f"t-{name}")


@pytest.fixture
def machines() -> dict[str, Machine]:
    """Return three machines that are up."""
    return {name: make_machine(name) for name in NAMES}


@pytest.fixture
def rollout() -> Rollout:
    """Return a wave over three machines with at most one down."""
    return Rollout(UpkeepWave(1, NAMES, 20_000, 1))


def test_least_loaded_machine_is_drained_first(rollout, machines):
    loads = {
        "t-m-1": TargetLoad("t-m-1", 5, 0, False),
        "t-m-2": TargetLoad("t-m-2", 0, 0, False),
        "t-m-3": TargetLoad("t-m-3", 2, 0, False),
    }
    assert [
        machine.name for machine in rollout.machines_to_drain(machines, loads, 0)
    ] == ["m-2"]


def test_machine_that_is_off_is_chosen_before_an_idle_one(rollout, machines):
    machines["m-3"] = Machine("m-3", "spare", MachineState.UP, "")
    loads = {name: TargetLoad(name, 0, 0, False) for name in ("t-m-1", "t-m-2")}
    assert [
        machine.name for machine in rollout.machines_to_drain(machines, loads, 0)
    ] == ["m-3"]


def test_machine_that_is_off_stops_counting_as_down_after_its_upkeep(rollout, machines):
    machines["m-1"] = Machine("m-1", "spare", MachineState.UP, "")
    rollout.mark_ordered("m-1", is_off=True)
    rollout.record_result("m-1", MachineResult.DONE, 0)
    rollout.observe(machines)
    assert rollout.machines_to_drain(machines, {}, 100) == []
    machines["m-1"] = Machine("m-1", "spare", MachineState.UPKEEP, "")
    rollout.observe(machines)
    machines["m-1"] = Machine("m-1", "spare", MachineState.UP, "")
    rollout.observe(machines)
    assert len(rollout.machines_to_drain(machines, {}, 2_250)) == 1


def test_no_more_machines_than_allowed_are_down(rollout, machines):
    rollout.record_result("m-1", MachineResult.DONE, 0)
    machines["m-1"] = make_machine("m-1", MachineState.UPKEEP)
    rollout.observe(machines)
    assert rollout.machines_to_drain(machines, {}, 100) == []
    machines["m-1"] = make_machine("m-1")
    rollout.observe(machines)
    assert len(rollout.machines_to_drain(machines, {}, 2_500)) == 1


def test_unanswered_order_counts_as_down_and_a_later_answer_completes_it(
    rollout, machines
):
    rollout.record_result("m-2", MachineResult.UNANSWERED, 0)
    assert rollout.count_down(0) == 1
    rollout.record_result("m-2", MachineResult.DONE, 10)
    assert rollout.count_down(10) == 1
    assert "m-2" in rollout.begun


def test_machine_that_never_returns_does_not_block_the_wave(rollout, machines):
    rollout.record_result("m-1", MachineResult.DONE, 0)
    machines["m-1"] = make_machine("m-1", MachineState.DOWN)
    rollout.observe(machines)
    assert len(rollout.machines_to_drain(machines, {}, RETURN_TIMEOUT_MS)) == 1


def test_wave_is_complete_only_when_every_machine_that_stays_has_begun(
    rollout, machines
):
    rollout.record_result("m-1", MachineResult.DONE, 0)
    rollout.record_result("m-2", MachineResult.DONE, 0)
    rollout.observe(machines)
    assert not rollout.is_completed()
    del machines["m-3"]
    rollout.observe(machines)
    assert rollout.is_completed()
    machines["m-3"] = make_machine("m-3")
    rollout.observe(machines)
    assert not rollout.is_completed()


def test_half_of_a_pool_stays_in_service_while_all_its_machines_are_due(machines):
    rollout = Rollout(UpkeepWave(1, NAMES, 20_000, 3))
    chosen = rollout.machines_to_drain(machines, {}, 0)
    assert len(chosen) == 1
    rollout.record_result(chosen[0].name, MachineResult.DONE, 0)
    machines[chosen[0].name] = make_machine(chosen[0].name, MachineState.UPKEEP)
    rollout.observe(machines)
    assert rollout.machines_to_drain(machines, {}, 100) == []


def test_pool_keeps_most_of_its_machines_while_a_wave_has_time():
    names = tuple(f"m-{number:02d}" for number in range(16))
    machines = {name: make_machine(name) for name in names}
    loads = {f"t-{name}": TargetLoad(f"t-{name}", 1, 1, False) for name in names}
    rollout = Rollout(UpkeepWave(1, names[:7], 25_000, 31))
    assert len(rollout.machines_to_drain(machines, loads, 0)) == 3
    assert len(rollout.machines_to_drain(machines, loads, 10_000)) == 7


def test_paced_wave_ends_within_its_duration():
    names = tuple(f"m-{number:02d}" for number in range(16))
    machines = {name: make_machine(name) for name in names}
    rollout = Rollout(UpkeepWave(1, names, 25_000, 31))
    now_ms = 0
    while not rollout.is_completed():
        for machine in rollout.machines_to_drain(machines, {}, now_ms):
            rollout.record_result(machine.name, MachineResult.DONE, now_ms)
            machines[machine.name] = make_machine(machine.name, MachineState.UPKEEP)
        now_ms += 250
        for name, begun_ms in rollout.begun.items():
            if now_ms - begun_ms >= OUT_OF_SERVICE_MS:
                machines[name] = make_machine(name)
        rollout.observe(machines)
    assert now_ms <= 25_000


def test_only_machine_of_a_pool_has_its_upkeep_too(machines):
    rollout = Rollout(UpkeepWave(1, ("m-1",), 20_000, 1))
    alone = {"m-1": machines["m-1"]}
    assert [machine.name for machine in rollout.machines_to_drain(alone, {}, 0)] == [
        "m-1"
    ]


def test_unanswered_order_is_retried_though_it_uses_up_the_limit(rollout, machines):
    rollout.mark_ordered("m-2")
    rollout.record_result("m-2", MachineResult.UNANSWERED, 0)
    assert [machine.name for machine in rollout.machines_to_drain(machines, {}, 0)] == [
        "m-2"
    ]


def test_machine_that_is_gone_does_not_count_as_down_for_an_announced_order(
    rollout, machines
):
    rollout.restore((), ("m-1",), 0)
    del machines["m-1"]
    rollout.observe(machines)
    assert len(rollout.machines_to_drain(machines, {}, RETURN_TIMEOUT_MS)) == 1
