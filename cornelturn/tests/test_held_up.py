"""Entries that were held up: what they believe of their peers, and what they grant."""

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
HELD_UP_S = (0.6, 1.2, 2.5)

PlayFleet = Callable[[Callable[[MemoryFleet], Awaitable[None]]], MemoryFleet]


@pytest.fixture
def play_fleet(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> PlayFleet:
    """Return a function that plays a day of three entries under a fake clock."""

    def run(day: Callable[[MemoryFleet], Awaitable[None]]) -> MemoryFleet:
        with asyncio.Runner(loop_factory=FakeTimeLoop) as runner:
            network = Network(runner.get_loop(), random.Random(SEED))
            network.patch(monkeypatch)
            fleet = MemoryFleet(tmp_path, network, SEED)
            runner.run(_day(fleet, day))
        return fleet

    return run


async def _day(
    fleet: MemoryFleet, day: Callable[[MemoryFleet], Awaitable[None]]
) -> None:
    try:
        await fleet.start(ENTRIES, TARGETS, RUN_MS)
        await asyncio.sleep(2)
        await day(fleet)
    finally:
        await fleet.stop()


async def hold_up(fleet: MemoryFleet, entries: list[str], duration_s: float) -> None:
    for entry in entries:
        fleet.freeze(entry)
    await asyncio.sleep(duration_s)
    for entry in entries:
        fleet.thaw(entry)


def dispatcher_of(fleet: MemoryFleet) -> str:
    return next(
        name
        for name, process in fleet.processes.items()
        if process.parts.dispatching.dispatchers
    )


async def look_up(
    fleet: MemoryFleet, count: int, entries: list[str] | None = None
) -> None:
    """Send lookups at once through some entries, all if none is named."""
    names = entries or list(fleet.entries)
    answers = await asyncio.gather(
        *(
            fleet.caller(names[number % len(names)]).post("lookup", b"%d" % number)
            for number in range(count)
        )
    )
    assert [one.body for one in answers] == [
        b"lookup:%d" % number for number in range(count)
    ]


@pytest.mark.parametrize("held_up_s", HELD_UP_S)
def test_entries_that_are_held_up_together_fill_no_target_twice(
    play_fleet: PlayFleet, held_up_s: float
) -> None:
    async def day(fleet: MemoryFleet) -> None:
        sent = asyncio.create_task(look_up(fleet, LOOKUPS))
        await asyncio.sleep(RUN_MS / 2_000)
        await hold_up(fleet, list(fleet.entries), held_up_s)
        await sent

    fleet = play_fleet(day)
    assert max(one.peak_running for one in fleet.standins.values()) <= SLOTS


def test_hedge_that_is_needed_no_longer_keeps_its_slot_while_its_target_runs_it(
    play_fleet: PlayFleet,
) -> None:
    async def day(fleet: MemoryFleet) -> None:
        first = asyncio.create_task(look_up(fleet, TARGETS * SLOTS - 2))
        await asyncio.sleep(RUN_MS / 2_000)
        await asyncio.gather(first, look_up(fleet, LOOKUPS))

    fleet = play_fleet(day)
    assert max(one.peak_running for one in fleet.standins.values()) <= SLOTS


@pytest.mark.parametrize("held_up_s", HELD_UP_S)
def test_dispatcher_that_was_held_up_alone_fills_no_target_twice(
    play_fleet: PlayFleet, held_up_s: float
) -> None:
    async def day(fleet: MemoryFleet) -> None:
        owner = dispatcher_of(fleet)
        others = [name for name in fleet.entries if name != owner]
        sent = asyncio.create_task(look_up(fleet, LOOKUPS, others))
        await asyncio.sleep(RUN_MS / 2_000)
        await hold_up(fleet, [owner], held_up_s)
        await sent

    fleet = play_fleet(day)
    assert max(one.peak_running for one in fleet.standins.values()) <= SLOTS
