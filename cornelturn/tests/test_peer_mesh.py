"""How soon entries discover each other, and detect a silent entry or link."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

import pytest

from cornelturn.entry.job_membership import (
    IDLE_HEARTBEATS,
    JOB_HEARTBEAT_INTERVAL_S,
    JOB_PEER_TIMEOUT_MS,
)
from cornelturn.peering.membership import LINK_IN_USE_MS
from cornelturn.tests.network import HOP_DELAY_S, FakeTimeLoop, Network
from cornelturn.tests.peer_mesh import PeerMesh

SEED = 7
ENTRIES = 43
ROUND_TRIP_S = 2 * HOP_DELAY_S
DETECTION_S = JOB_PEER_TIMEOUT_MS / 1_000 + 2 * JOB_HEARTBEAT_INTERVAL_S
IDLE_INTERVAL_S = JOB_HEARTBEAT_INTERVAL_S * -(-ENTRIES // IDLE_HEARTBEATS)
SETTLE_S = 20.0

RunMesh = Callable[[Callable[[PeerMesh], Awaitable[None]]], None]


@pytest.fixture
def run_mesh(monkeypatch: pytest.MonkeyPatch) -> RunMesh:
    """Return a function that runs a scenario with the hubs of 43 entries."""

    def run(scenario: Callable[[PeerMesh], Awaitable[None]]) -> None:
        with asyncio.Runner(loop_factory=FakeTimeLoop) as runner:
            network = Network(runner.get_loop(), random.Random(SEED))
            network.patch(monkeypatch)
            runner.run(_run_scenario(PeerMesh(network), scenario))

    return run


async def _run_scenario(
    mesh: PeerMesh, scenario: Callable[[PeerMesh], Awaitable[None]]
) -> None:
    mesh.start(ENTRIES)
    await scenario(mesh)
    for owner in list(mesh.network.loop.paused):
        mesh.network.loop.resume(owner)


def all_entries_except(name: str) -> set[str]:
    return {f"entry-{number}" for number in range(ENTRIES)} - {name}


def test_peers_become_alive_within_a_round_trip_of_their_discovery(run_mesh: RunMesh):
    async def scenario(mesh: PeerMesh) -> None:
        await asyncio.sleep(0.5)
        mesh.announce_entries("entry-0")
        await asyncio.sleep(ROUND_TRIP_S + HOP_DELAY_S / 2)
        assert mesh.live_peers("entry-0") == all_entries_except("entry-0")
        assert all(
            "entry-0" in mesh.live_peers(name) for name in all_entries_except("entry-0")
        )

    run_mesh(scenario)


def test_idle_entries_stay_alive_to_each_other(run_mesh: RunMesh):
    async def scenario(mesh: PeerMesh) -> None:
        mesh.announce_entries()
        await asyncio.sleep(0.1)
        links = list(mesh.network.links)
        for _ in range(60):
            await asyncio.sleep(1.0)
            assert all(
                mesh.live_peers(name) == all_entries_except(name) for name in mesh.hubs
            )
        assert mesh.network.links == links

    run_mesh(scenario)


def test_frozen_entry_is_detected_in_time_by_its_senders(run_mesh: RunMesh):
    async def scenario(mesh: PeerMesh) -> None:
        mesh.announce_entries()
        await asyncio.sleep(SETTLE_S)
        mesh.network.loop.paused.add("entry-0")
        await asyncio.sleep(0.5)
        for number in range(1, 6):
            mesh.send(f"entry-{number}", "entry-0")
        await asyncio.sleep(DETECTION_S)
        assert not any("entry-0" in mesh.live_peers(f"entry-{n}") for n in range(1, 6))
        await asyncio.sleep(3 * IDLE_INTERVAL_S)
        assert not any(
            "entry-0" in mesh.live_peers(name) for name in all_entries_except("entry-0")
        )
        mesh.network.loop.resume("entry-0")
        await asyncio.sleep(IDLE_INTERVAL_S + 1)
        assert all(
            "entry-0" in mesh.live_peers(name) for name in all_entries_except("entry-0")
        )

    run_mesh(scenario)


def test_frozen_sender_is_detected_in_time_by_its_receiver(
    run_mesh: RunMesh,
):
    async def scenario(mesh: PeerMesh) -> None:
        mesh.announce_entries()
        await asyncio.sleep(SETTLE_S)
        mesh.send("entry-1", "entry-0")
        await asyncio.sleep(1.0)
        mesh.network.loop.paused.add("entry-1")
        await asyncio.sleep(DETECTION_S)
        assert "entry-1" not in mesh.live_peers("entry-0")

    run_mesh(scenario)


@pytest.mark.parametrize("direction", [("entry-0", "entry-1"), ("entry-1", "entry-0")])
def test_link_silent_in_one_direction_is_redialled_once_used(
    run_mesh: RunMesh, direction: tuple[str, str]
):
    async def scenario(mesh: PeerMesh) -> None:
        mesh.announce_entries()
        await asyncio.sleep(SETTLE_S)
        for link in mesh.network.links:
            if (link.owner, link.peer) == direction:
                link.is_silent = True
        mesh.send("entry-0", "entry-1")
        await asyncio.sleep(DETECTION_S)
        assert not any(link.is_silent for link in mesh.network.links)
        counts_before = mesh.received_count("entry-1"), mesh.received_count("entry-0")
        mesh.send("entry-0", "entry-1")
        mesh.send("entry-1", "entry-0")
        await asyncio.sleep(1.0)
        assert (
            mesh.received_count("entry-1"),
            mesh.received_count("entry-0"),
        ) == tuple(count + 1 for count in counts_before)
        assert "entry-1" in mesh.live_peers("entry-0")

    run_mesh(scenario)


def test_live_peer_recovers_promptly_from_a_dropped_connection(
    run_mesh: RunMesh,
):
    async def scenario(mesh: PeerMesh) -> None:
        mesh.announce_entries()
        await asyncio.sleep(SETTLE_S)
        link = mesh.hubs["entry-0"].links["entry-1"]
        mesh.hubs["entry-0"]._post_disconnected(link, "entry-1")
        await asyncio.sleep(HOP_DELAY_S)
        assert "entry-1" not in mesh.live_peers("entry-0")
        await asyncio.sleep(JOB_HEARTBEAT_INTERVAL_S + ROUND_TRIP_S)
        assert "entry-1" in mesh.live_peers("entry-0")

    run_mesh(scenario)


def test_link_returns_to_the_idle_interval_after_use(run_mesh: RunMesh):
    async def scenario(mesh: PeerMesh) -> None:
        mesh.announce_entries()
        await asyncio.sleep(SETTLE_S)
        mesh.send("entry-0", "entry-1")
        await asyncio.sleep(LINK_IN_USE_MS / 1_000 + 3 * JOB_HEARTBEAT_INTERVAL_S)
        views = mesh.hubs["entry-0"].membership.peers, mesh.hubs["entry-1"].membership
        assert not views[0]["entry-1"].is_active
        assert not views[1].peers["entry-0"].is_active
        await asyncio.sleep(60)
        assert "entry-1" in mesh.live_peers("entry-0")
        assert "entry-0" in mesh.live_peers("entry-1")

    run_mesh(scenario)
