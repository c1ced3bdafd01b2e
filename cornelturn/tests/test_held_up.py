"""Tests that entries whose processes stall do not grant the same slot twice.

After a stall an entry may count its peers as lost, or not know that its pool has
another dispatcher, and so grant slots that are in use. A hedge that is no longer needed
must also keep its slot while the target still runs it.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from cornelturn.standins.register import SLOTS
from cornelturn.tests.conftest import SEED
from cornelturn.tests.memory import MemoryFleet
from cornelturn.tests.network import FakeTimeLoop, Network

ENTRIES = 3
TARGETS = 2
RUN_MS = 400
LOOKUPS = 40
FREEZE_S = (0.6, 1.2, 2.5)

PlayFleet = Callable[[Callable[[MemoryFleet], Awaitable[None]]], MemoryFleet]


@pytest.fixture
def play_fleet(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> PlayFleet:
    """Return a function that runs a scenario on three entries with a fake clock."""

    def run(scenario: Callable[[MemoryFleet], Awaitable[None]]) -> MemoryFleet:
        with asyncio.Runner(loop_factory=FakeTimeLoop) as runner:
            network = Network(runner.get_loop(), random.Random(SEED))
            network.patch(monkeypatch)
            fleet = MemoryFleet(tmp_path, network, SEED)
            runner.run(_run_scenario(fleet, scenario))
        return fleet

    return run


async def _run_scenario(
    fleet: MemoryFleet, scenario: Callable[[MemoryFleet], Awaitable[None]]
) -> None:
    try:
        await fleet.start(ENTRIES, TARGETS, RUN_MS)
        await asyncio.sleep(2)
        await scenario(fleet)
    finally:
        await fleet.stop()


async def freeze_entries(
    fleet: MemoryFleet, entries: list[str], duration_s: float
) -> None:
    for entry in entries:
        fleet.freeze(entry)
    await asyncio.sleep(duration_s)
    for entry in entries:
        fleet.thaw(entry)


def dispatching_entry(fleet: MemoryFleet) -> str:
    return next(
        name
        for name, process in fleet.processes.items()
        if process.parts.dispatch_task.dispatchers
    )


async def send_lookups(
    fleet: MemoryFleet, count: int, entries: list[str] | None = None
) -> None:
    """Send concurrent lookups through the given entries, or through all of them."""
    names = entries or list(fleet.entries)
    answers = await asyncio.gather(
        *(
            fleet.caller(names[number % len(names)]).post("lookup", b"%d" % number)
            for number in range(count)
        )
    )
    assert [answer.body for answer in answers] == [
        b"lookup:%d" % number for number in range(count)
    ]


@pytest.mark.parametrize("freeze_s", FREEZE_S)
def test_entries_frozen_together_do_not_overfill_a_target(
    play_fleet: PlayFleet, freeze_s: float
) -> None:
    async def scenario(fleet: MemoryFleet) -> None:
        lookups = asyncio.create_task(send_lookups(fleet, LOOKUPS))
        await asyncio.sleep(RUN_MS / 2_000)
        await freeze_entries(fleet, list(fleet.entries), freeze_s)
        await lookups

    fleet = play_fleet(scenario)
    assert max(target.peak_running for target in fleet.standins.values()) <= SLOTS


def test_unneeded_hedge_keeps_its_slot_while_its_target_runs_it(
    play_fleet: PlayFleet,
) -> None:
    async def scenario(fleet: MemoryFleet) -> None:
        first_lookups = asyncio.create_task(send_lookups(fleet, TARGETS * SLOTS - 2))
        await asyncio.sleep(RUN_MS / 2_000)
        await asyncio.gather(first_lookups, send_lookups(fleet, LOOKUPS))

    fleet = play_fleet(scenario)
    assert max(target.peak_running for target in fleet.standins.values()) <= SLOTS


@pytest.mark.parametrize("freeze_s", FREEZE_S)
def test_dispatcher_frozen_alone_does_not_overfill_a_target(
    play_fleet: PlayFleet, freeze_s: float
) -> None:
    async def scenario(fleet: MemoryFleet) -> None:
        dispatcher = dispatching_entry(fleet)
        other_entries = [name for name in fleet.entries if name != dispatcher]
        lookups = asyncio.create_task(send_lookups(fleet, LOOKUPS, other_entries))
        await asyncio.sleep(RUN_MS / 2_000)
        await freeze_entries(fleet, [dispatcher], freeze_s)
        await lookups

    fleet = play_fleet(scenario)
    assert max(target.peak_running for target in fleet.standins.values()) <= SLOTS
