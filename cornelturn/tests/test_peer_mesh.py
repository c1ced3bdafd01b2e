"""Which entries hear each other, and how soon a silent one is noticed."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

import pytest

from cornelturn.entry.job_process import BEAT_INTERVAL_S, IDLE_BEATS, PEER_SILENT_MS
from cornelturn.peering.membership import USED_MS
from cornelturn.tests.network import HOP_S, FakeTimeLoop, Network
from cornelturn.tests.peer_mesh import PeerMesh

SEED = 7
ENTRIES = 43
ROUND_TRIP_S = 2 * HOP_S
NOTICED_S = PEER_SILENT_MS / 1_000 + 2 * BEAT_INTERVAL_S
IDLE_INTERVAL_S = BEAT_INTERVAL_S * -(-ENTRIES // IDLE_BEATS)
SETTLED_S = 20.0

PlayMesh = Callable[[Callable[[PeerMesh], Awaitable[None]]], None]


@pytest.fixture
def play_mesh(monkeypatch: pytest.MonkeyPatch) -> PlayMesh:
    """Return a function that plays a day of the hubs of 43 entries."""

    def run(day: Callable[[PeerMesh], Awaitable[None]]) -> None:
        with asyncio.Runner(loop_factory=FakeTimeLoop) as runner:
            network = Network(runner.get_loop(), random.Random(SEED))
            network.patch(monkeypatch)
            runner.run(_day(PeerMesh(network), day))

    return run


async def _day(mesh: PeerMesh, day: Callable[[PeerMesh], Awaitable[None]]) -> None:
    mesh.start(ENTRIES)
    await day(mesh)
    for owner in list(mesh.network.loop.paused):
        mesh.network.loop.resume(owner)


def everyone_but(name: str) -> set[str]:
    return {f"entry-{number}" for number in range(ENTRIES)} - {name}


def test_entries_are_heard_within_a_round_trip_of_being_named(play_mesh: PlayMesh):
    async def day(mesh: PeerMesh) -> None:
        await asyncio.sleep(0.5)
        mesh.name_all("entry-0")
        await asyncio.sleep(ROUND_TRIP_S + HOP_S / 2)
        assert mesh.hears("entry-0") == everyone_but("entry-0")
        assert all("entry-0" in mesh.hears(one) for one in everyone_but("entry-0"))

    play_mesh(day)


def test_idle_entries_go_on_hearing_each_other(play_mesh: PlayMesh):
    async def day(mesh: PeerMesh) -> None:
        mesh.name_all()
        await asyncio.sleep(0.1)
        links = list(mesh.network.links)
        for _ in range(60):
            await asyncio.sleep(1.0)
            assert all(mesh.hears(one) == everyone_but(one) for one in mesh.hubs)
        assert mesh.network.links == links

    play_mesh(day)


def test_frozen_entry_is_missed_in_time_by_those_that_send_to_it(play_mesh: PlayMesh):
    async def day(mesh: PeerMesh) -> None:
        mesh.name_all()
        await asyncio.sleep(SETTLED_S)
        mesh.network.loop.paused.add("entry-0")
        await asyncio.sleep(0.5)
        for number in range(1, 6):
            mesh.send(f"entry-{number}", "entry-0")
        await asyncio.sleep(NOTICED_S)
        assert not any("entry-0" in mesh.hears(f"entry-{n}") for n in range(1, 6))
        await asyncio.sleep(3 * IDLE_INTERVAL_S)
        assert not any("entry-0" in mesh.hears(one) for one in everyone_but("entry-0"))
        mesh.network.loop.resume("entry-0")
        await asyncio.sleep(IDLE_INTERVAL_S + 1)
        assert all("entry-0" in mesh.hears(one) for one in everyone_but("entry-0"))

    play_mesh(day)


def test_sender_that_freezes_is_missed_in_time_by_the_one_it_sends_to(
    play_mesh: PlayMesh,
):
    async def day(mesh: PeerMesh) -> None:
        mesh.name_all()
        await asyncio.sleep(SETTLED_S)
        mesh.send("entry-1", "entry-0")
        await asyncio.sleep(1.0)
        mesh.network.loop.paused.add("entry-1")
        await asyncio.sleep(NOTICED_S)
        assert "entry-1" not in mesh.hears("entry-0")

    play_mesh(day)


@pytest.mark.parametrize("way", [("entry-0", "entry-1"), ("entry-1", "entry-0")])
def test_link_that_is_silent_one_way_is_dialled_again_once_used(
    play_mesh: PlayMesh, way: tuple[str, str]
):
    async def day(mesh: PeerMesh) -> None:
        mesh.name_all()
        await asyncio.sleep(SETTLED_S)
        for link in mesh.network.links:
            if (link.owner, link.peer) == way:
                link.is_silent = True
        mesh.send("entry-0", "entry-1")
        await asyncio.sleep(NOTICED_S)
        assert not any(link.is_silent for link in mesh.network.links)
        before = mesh.got("entry-1"), mesh.got("entry-0")
        mesh.send("entry-0", "entry-1")
        mesh.send("entry-1", "entry-0")
        await asyncio.sleep(1.0)
        assert (mesh.got("entry-1"), mesh.got("entry-0")) == tuple(
            one + 1 for one in before
        )
        assert "entry-1" in mesh.hears("entry-0")

    play_mesh(day)


def test_peer_whose_connection_alone_dropped_is_heard_again_at_once(
    play_mesh: PlayMesh,
):
    async def day(mesh: PeerMesh) -> None:
        mesh.name_all()
        await asyncio.sleep(SETTLED_S)
        link = mesh.hubs["entry-0"].links["entry-1"]
        mesh.hubs["entry-0"]._post_dropped(link, "entry-1")
        await asyncio.sleep(HOP_S)
        assert "entry-1" not in mesh.hears("entry-0")
        await asyncio.sleep(BEAT_INTERVAL_S + ROUND_TRIP_S)
        assert "entry-1" in mesh.hears("entry-0")

    play_mesh(day)


def test_used_link_goes_back_to_the_long_interval(play_mesh: PlayMesh):
    async def day(mesh: PeerMesh) -> None:
        mesh.name_all()
        await asyncio.sleep(SETTLED_S)
        mesh.send("entry-0", "entry-1")
        await asyncio.sleep(USED_MS / 1_000 + 3 * BEAT_INTERVAL_S)
        views = mesh.hubs["entry-0"].membership.peers, mesh.hubs["entry-1"].membership
        assert not views[0]["entry-1"].is_close
        assert not views[1].peers["entry-0"].is_close
        await asyncio.sleep(60)
        assert "entry-1" in mesh.hears("entry-0")
        assert "entry-0" in mesh.hears("entry-1")

    play_mesh(day)
