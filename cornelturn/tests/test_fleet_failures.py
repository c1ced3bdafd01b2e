"""Operations on a running fleet while entries, targets or the table fail."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import msgspec
import pytest

from cornelturn.fleet.configuration import ConfigurationRead, ConfigurationReceived
from cornelturn.fleet.disruption import Disrupted, DisruptionRefusal, NotDisrupted
from cornelturn.fleet.operations import FleetOperations, Rejected
from cornelturn.model.fleet import InstanceState
from cornelturn.peering.messages import ConfigurationPushed
from cornelturn.settings.documents import ConfigurationDocument
from cornelturn.standins.platform import Fault
from cornelturn.store.http_client import HttpResponse
from cornelturn.tests.conftest import (
    CONFIGURATION,
    OPERATOR_TOKEN,
    Caller,
    Fleet,
    StartFleet,
)

IN_FORCE_LIMIT_S = 3.0
LONG_RUN_MS = 4_000
SILENT_READ_S = 0.5
"""Reads that start within this time get no answer; later ones do."""

PHONE_ONLY = [{"name": "phone", "max_unavailable": 1}]
TWO_POOLS = {
    **CONFIGURATION,
    "pools": [
        {"name": "phone", "max_unavailable": 1, "instances": []},
        {"name": "office", "max_unavailable": 1, "instances": []},
    ],
    "presets": [
        {"name": "ordinary"},
        {
            "name": "peak",
            "sizes": [
                {"pool": "phone", "instances": 3},
                {"pool": "office", "instances": 1},
            ],
        },
        {"name": "maintenance", "maintenance": True},
    ],
}


def operator_caller(fleet: Fleet, entry: int = 0) -> Caller:
    return Caller(fleet.addresses[entry].operators, OPERATOR_TOKEN)


async def switch_preset(
    fleet: Fleet, preset: str, entry: int = 0, **headers: str
) -> HttpResponse:
    path = f"/preset/{preset}"
    return await operator_caller(fleet, entry).call("PUT", path, b"{}", **headers)


def generations(fleet: Fleet) -> set[int]:
    return {
        entry.parts.configuration_manager.current.generation for entry in fleet.entries
    }


async def test_exactly_one_of_concurrent_preset_switches_succeeds(
    start_fleet: StartFleet,
) -> None:
    fleet = await start_fleet(entries=3)
    answers = await asyncio.gather(
        switch_preset(fleet, "peak", 0, If_Match='"1"'),
        switch_preset(fleet, "maintenance", 1, If_Match='"1"'),
        switch_preset(fleet, "ordinary", 2, If_Match='"1"'),
    )
    statuses = sorted(answer.status for answer in answers)
    assert statuses == [200, 412, 412]
    winner = next(answer for answer in answers if answer.status == 200)
    winning_preset = msgspec.json.decode(winner.body)["preset"]
    for loser in (answer for answer in answers if answer.status == 412):
        assert msgspec.json.decode(loser.body)["preset"] == winning_preset
    await fleet.wait_for(lambda: generations(fleet) == {2}, IN_FORCE_LIMIT_S)
    assert {
        entry.parts.configuration_manager.current.preset for entry in fleet.entries
    } == {winning_preset}


async def test_lost_commit_answer_of_a_preset_is_resolved(
    start_fleet: StartFleet,
) -> None:
    fleet = await start_fleet(entries=1)
    fleet.entries[0].parts.configuration_manager.mailbox.drain()
    fleet.platform.set_fault(Fault.LOSE_ANSWERS)
    first_request = asyncio.create_task(switch_preset(fleet, "peak", If_Match='"1"'))
    await fleet.wait_for(lambda: fleet.platform.writes > 0)
    await asyncio.sleep(0.2)
    fleet.platform.set_fault(Fault.NONE)
    answer = await first_request
    second_answer = await switch_preset(fleet, "peak", If_Match='"1"')
    assert (answer.status, second_answer.status) in ((200, 412), (503, 200), (503, 412))
    assert answer.status == 503 or generations(fleet) == {2}


async def test_operator_command_succeeds_after_an_unanswered_read(
    start_fleet: StartFleet,
) -> None:
    fleet = await start_fleet(entries=1)
    operations = fleet.entries[0].parts.operations
    assert isinstance(await operations.drain("target-0"), Disrupted)
    fleet.platform.set_fault(Fault.SILENT)
    command = asyncio.create_task(operations.resume("target-0"))
    await asyncio.sleep(SILENT_READ_S)
    fleet.platform.set_fault(Fault.NONE)
    resumed = await command
    assert isinstance(resumed, Disrupted), resumed


async def test_configuration_reaches_all_entries_though_the_table_goes_down(
    start_fleet: StartFleet,
) -> None:
    fleet = await start_fleet(entries=3)
    answer = await switch_preset(fleet, "peak")
    fleet.platform.set_fault(Fault.DOWN)
    assert answer.status == 200
    await fleet.wait_for(lambda: generations(fleet) == {2}, IN_FORCE_LIMIT_S)


async def test_joining_entry_adopts_the_highest_generation_of_its_peers(
    start_fleet: StartFleet,
) -> None:
    fleet = await start_fleet(entries=2)
    await switch_preset(fleet, "peak")
    await fleet.wait_for(lambda: generations(fleet) == {2})
    stale = fleet.platform.table.rows["configuration"]
    fleet.platform.set_fault(Fault.DOWN)
    seeds = [
        {"name": entry.own.name, "address": entry.own.address}
        for entry in fleet.entries
    ]
    joined = await fleet.add_entry("entry-9", peers=seeds)
    await asyncio.wait_for(joined.wait_ready(), 10)
    assert joined.parts.configuration_manager.current.generation == 2
    assert stale.version


async def test_older_configuration_is_never_adopted(start_fleet: StartFleet) -> None:
    fleet = await start_fleet(entries=2)
    await switch_preset(fleet, "peak")
    await fleet.wait_for(lambda: generations(fleet) == {2})
    manager = fleet.entries[0].parts.configuration_manager
    older = replace(manager.current, generation=1, preset="ordinary")
    manager.mailbox.post(ConfigurationReceived("entry-1", ConfigurationPushed(older)))
    manager.mailbox.post(ConfigurationRead(older))
    await fleet.wait_for(lambda: manager.mailbox.queue.empty())
    assert (manager.current.generation, manager.current.preset) == (2, "peak")


async def test_invalid_configuration_is_rejected_whole_with_every_error(
    start_fleet: StartFleet,
) -> None:
    fleet = await start_fleet(entries=1, targets=4, document=TWO_POOLS)
    caller = operator_caller(fleet)
    document = msgspec.json.decode((await caller.call("GET", "/configuration")).body)
    document["queues"][0]["pool"] = "nowhere"
    document["pools"][0]["instances"] = ["target-3"]
    document["pools"][1]["instances"] = ["target-3"]
    body = msgspec.json.encode(document)
    answer = await caller.call("PUT", "/configuration", body, If_Match='"1"')
    problems = " ".join(msgspec.json.decode(answer.body)["problems"])
    assert answer.status == 422
    assert "nowhere" in problems
    assert "target-3" in problems
    document = {**TWO_POOLS, "pools": [dict(pool) for pool in TWO_POOLS["pools"]]}
    document["pools"][0]["instances"] = ["target-3"]
    document["pools"][1]["max_unavailable"] = 2
    body = msgspec.json.encode(document)
    answer = await caller.call("PUT", "/configuration", body, If_Match='"1"')
    problems = " ".join(msgspec.json.decode(answer.body)["problems"])
    assert "use instance move" in problems
    assert "max_unavailable" in problems
    assert generations(fleet) == {1}


async def start_with_spare_pool(start_fleet: StartFleet) -> Fleet:
    """Return a fleet of one entry with its pool and an additional empty pool."""
    fleet = await start_fleet(entries=1, targets=2)
    larger = ConfigurationDocument.model_validate(
        {
            **CONFIGURATION,
            "pools": [*PHONE_ONLY, {"name": "spare", "max_unavailable": 0}],
        }
    )
    operations = fleet.entries[0].parts.operations
    assert (await operations.replace_configuration(larger, 1)).is_ok()
    return fleet


async def remove_spare_pool(fleet: Fleet) -> object:
    smaller = ConfigurationDocument.model_validate(
        {**CONFIGURATION, "pools": PHONE_ONLY}
    )
    return await fleet.entries[0].parts.operations.replace_configuration(smaller, 2)


async def test_pool_is_not_removed_while_an_instance_joins_it(
    start_fleet: StartFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    fleet = await start_with_spare_pool(start_fleet)
    await fleet.add_target("target-new")
    registry = fleet.entries[0].parts.registry
    await fleet.wait_for(lambda: "target-new" in registry.listed)
    original_read = FleetOperations._read_instances

    async def read_and_assign(self: FleetOperations) -> object:
        instances = await original_read(self)
        assert isinstance(await self.assign("target-new", "spare"), Disrupted)
        return instances

    monkeypatch.setattr(FleetOperations, "_read_instances", read_and_assign)
    assert (await remove_spare_pool(fleet)).is_err()
    assert generations(fleet) == {2}


async def test_pool_is_not_removed_while_a_move_to_it_starts(
    start_fleet: StartFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    fleet = await start_with_spare_pool(start_fleet)
    original_read = FleetOperations._read_instances

    async def read_and_move(self: FleetOperations) -> object:
        instances = await original_read(self)
        assert isinstance(await self.move("target-0", "spare"), Disrupted)
        return instances

    monkeypatch.setattr(FleetOperations, "_read_instances", read_and_move)
    assert (await remove_spare_pool(fleet)).is_err()
    assert generations(fleet) == {2}


async def test_pool_that_an_instance_moves_to_is_not_removed(
    start_fleet: StartFleet,
) -> None:
    fleet = await start_with_spare_pool(start_fleet)
    operations = fleet.entries[0].parts.operations
    assert isinstance(await operations.move("target-0", "spare"), Disrupted)
    rejected = await remove_spare_pool(fleet)
    assert isinstance(rejected, Rejected)
    assert "pool spare: expected no moves" in rejected.problems[0]


async def test_move_to_a_pool_that_was_removed_is_refused(
    start_fleet: StartFleet,
) -> None:
    fleet = await start_with_spare_pool(start_fleet)
    assert (await remove_spare_pool(fleet)).is_ok()
    refused = await fleet.entries[0].parts.disruptions.take_out_of_service(
        "target-0", InstanceState.DRAINING, "move", move_to="spare"
    )
    assert refused == NotDisrupted(DisruptionRefusal.UNKNOWN_POOL, "spare")


async def test_concurrent_drains_never_exceed_the_budget(
    start_fleet: StartFleet,
) -> None:
    fleet = await start_fleet(entries=3, targets=4)
    results = await asyncio.gather(
        *(
            entry.parts.operations.drain(target.name)
            for entry, target in zip(
                fleet.entries * 2, fleet.targets + fleet.targets, strict=False
            )
        )
    )
    drained = [result for result in results if isinstance(result, Disrupted)]
    refused = [result for result in results if isinstance(result, NotDisrupted)]
    assert len(drained) == 1
    assert len(refused) == len(results) - 1


async def test_paused_controller_writes_nothing_after_it_was_replaced(
    start_fleet: StartFleet,
) -> None:
    fleet = await start_fleet(entries=2, targets=4)
    paused, successor = (entry.parts.controller for entry in fleet.entries)
    fence = await paused.fences.acquire("phone")
    assert await successor.fences.acquire("phone")
    result = await paused.drains.disruptions.take_out_of_service(
        "target-0", InstanceState.DRAINING, "late", fence
    )
    assert isinstance(result, NotDisrupted)
    row = fleet.platform.table.rows["instance/target-0"]
    assert b'"in_service"' in row.value.encode()


async def run_wave(fleet: Fleet, policy: str = "wait") -> dict:
    path = f"/maintenance/phone/start?policy={policy}"
    assert (await operator_caller(fleet).call("PUT", path, b"{}")).status == 200
    return await wait_until_wave_is_done(fleet)


async def wait_until_wave_is_done(fleet: Fleet, limit_s: float = 60) -> dict:
    async with asyncio.timeout(limit_s):
        while True:
            entry = len(fleet.entries) - 1
            answer = await operator_caller(fleet, entry).call(
                "GET", "/maintenance/phone"
            )
            view = msgspec.json.decode(answer.body)
            if view.get("state") == "done":
                return view
            await asyncio.sleep(0.1)


async def test_wave_reboots_every_instance_and_interrupts_no_task(
    start_fleet: StartFleet,
) -> None:
    fleet = await start_fleet(entries=2, targets=3)
    await switch_preset(fleet, "maintenance")
    await fleet.wait_for(lambda: generations(fleet) == {2})
    stop = asyncio.Event()
    answers: list[HttpResponse] = []

    async def send_requests(number: int) -> None:
        while not stop.is_set():
            queue = "collection" if number % 2 else "lookup"
            caller = fleet.caller(number % 2)
            run_ms = str(LONG_RUN_MS if number % 2 else 20)
            answers.append(await caller.post(queue, b"x", Run_Ms=run_ms))

    senders = [asyncio.create_task(send_requests(number)) for number in range(6)]
    view = await run_wave(fleet)
    stop.set()
    await asyncio.gather(*senders)
    assert (view["done"], view["pending"]) == (3, 0)
    assert [target.reboots for target in fleet.targets] == [1, 1, 1]
    assert sum(target.interrupted_by_reboot for target in fleet.targets) == 0
    assert {answer.status for answer in answers} == {200}


async def test_wave_continues_after_its_controller_crashed(
    start_fleet: StartFleet,
) -> None:
    fleet = await start_fleet(entries=3, targets=3)
    await switch_preset(fleet, "maintenance")
    await fleet.wait_for(lambda: generations(fleet) == {2})
    path = "/maintenance/phone/start"
    assert (await operator_caller(fleet).call("PUT", path, b"{}")).status == 200
    owner = next(
        entry for entry in fleet.entries if entry.parts.dispatch_task.dispatchers
    )
    await fleet.wait_for(lambda: "phone" in owner.parts.controller.fences.epochs)
    await fleet.wait_for(
        lambda: any(
            instance.state is not InstanceState.IN_SERVICE
            for instance in owner.parts.registry.instances.values()
        )
    )
    await owner.abort()
    index = fleet.entries.index(owner)
    fleet.entries.pop(index)
    fleet.addresses.pop(index)
    view = await wait_until_wave_is_done(fleet)
    assert view["done"] == 3
    assert [target.reboots for target in fleet.targets] == [1, 1, 1]


async def test_wave_waits_while_failures_use_the_budget(
    start_fleet: StartFleet,
) -> None:
    fleet = await start_fleet(entries=1, targets=3)
    await switch_preset(fleet, "maintenance")
    failing = fleet.platform.instances["target-2"]
    fleet.platform.instances["target-2"] = msgspec.structs.replace(failing, is_up=False)
    entry = fleet.entries[0]
    await fleet.wait_for(lambda: not entry.parts.registry.is_up("target-2"))
    path = "/maintenance/phone/start"
    assert (await operator_caller(fleet).call("PUT", path, b"{}")).status == 200
    await fleet.wait_for(
        lambda: '"held by failures"' in fleet.platform.table.rows["wave/phone"].value
    )
    states = {instance.state for instance in entry.parts.registry.instances.values()}
    assert states == {InstanceState.IN_SERVICE}
    fleet.platform.instances["target-2"] = failing
    assert (await wait_until_wave_is_done(fleet))["done"] == 3


async def test_checkpoint_policy_completes_a_wave_despite_a_long_task(
    start_fleet: StartFleet,
) -> None:
    fleet = await start_fleet(entries=1, targets=2)
    await switch_preset(fleet, "maintenance")
    request = asyncio.create_task(
        fleet.caller().post(
            "collection", b"long", Run_Ms="20000", Request_Timeout_Ms="60000"
        )
    )
    await fleet.wait_for(lambda: bool(fleet.starts()))
    view = await run_wave(fleet, "checkpoint")
    assert view["done"] == 2
    assert not request.done()
    answer = await request
    assert (answer.status, answer.body) == (200, b"collection:long")
    assert list(fleet.starts().values()) == [1]


async def test_preset_moves_instances_and_each_is_in_one_pool(
    start_fleet: StartFleet,
) -> None:
    fleet = await start_fleet(entries=2, targets=4, document=TWO_POOLS)
    await switch_preset(fleet, "peak")

    def pools() -> list[str]:
        rows = fleet.platform.table.rows
        values = [rows[f"instance/target-{n}"].value for n in range(4)]
        return sorted(msgspec.json.decode(value)["pool"] for value in values)

    await fleet.wait_for(lambda: pools() == ["office", "phone", "phone", "phone"], 30)
    await fleet.wait_for(
        lambda: (
            sorted(
                name
                for entry in fleet.entries
                for dispatcher in entry.parts.dispatch_task.dispatchers.values()
                for name in dispatcher.targets.by_name
            )
            == [f"target-{n}" for n in range(4)]
        )
    )


@pytest.mark.parametrize("name", ["fleet", "queues", "maintenance", "presets"])
async def test_reports_keep_the_page_layout(start_fleet: StartFleet, name: str) -> None:
    fleet = await start_fleet(entries=1, targets=2)
    answer = await operator_caller(fleet).call("GET", f"/reports/{name}")
    lines = answer.body.decode().splitlines()
    assert max(len(line) for line in lines) == 132
    assert lines[0].endswith("PAGE    1 OF    1")
    assert any(line.startswith("*** END OF REPORT") for line in lines)
