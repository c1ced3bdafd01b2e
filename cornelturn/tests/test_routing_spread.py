"""How a configuration reaches entries that cannot read it in the store."""

from __future__ import annotations

import asyncio
from collections import Counter

import msgspec
import pytest

from cornelturn.entry.routing_spread import RoutingSources
from cornelturn.peering.codec import Codec
from cornelturn.peering.messages import InnerMessage
from cornelturn.tests.job_fleet import JobFleet, configuration

IDLE_QUEUES = 1_200
CONTROL_BYTES_S = 9_000
"""What an entry may send for control in a second."""

APPLY_S = 2.0
"""Time in which a configuration is in force everywhere."""


@pytest.fixture
def sent_bytes(monkeypatch: pytest.MonkeyPatch) -> Counter[str]:
    """Return the bytes of the inner frames of each entry."""
    found: Counter[str] = Counter()
    encode = Codec.encode

    def counted(codec: Codec, receiver: str, messages: list[InnerMessage]) -> bytes:
        data = encode(codec, receiver, messages)
        found[codec.entry] += len(data)
        return data

    monkeypatch.setattr(Codec, "encode", counted)
    return found


def large_configuration(version: int) -> bytes:
    """Return a configuration with many idle queues."""
    document = msgspec.json.decode(configuration(version))
    route = document["routes"][0]
    document["routes"] += [
        route | {"name": f"idle-{number}", "path_prefix": f"/idle-{number}/"}
        for number in range(IDLE_QUEUES)
    ]
    return msgspec.json.encode(document)


def versions(fleet: JobFleet) -> set[int]:
    """Return the versions that are in force."""
    return {entry.operator.current.version for entry in fleet.entries.values()}


def test_change_of_a_large_configuration_does_not_fill_the_links(play, sent_bytes):
    async def day(fleet: JobFleet) -> None:
        await asyncio.sleep(1)
        sent_bytes.clear()
        fleet.store.put("op", "config", large_configuration(9))
        await asyncio.sleep(APPLY_S)
        assert versions(fleet) == {9}
        assert max(sent_bytes.values()) <= CONTROL_BYTES_S * APPLY_S

    play(day, entries=6)


def test_entry_without_the_store_gets_a_configuration_from_a_peer(play):
    async def day(fleet: JobFleet) -> None:
        await asyncio.sleep(1)
        fleet.network.cut.add(frozenset({"entry-0", "store"}))
        fleet.store.put("op", "config", large_configuration(9))
        await asyncio.sleep(APPLY_S)
        assert versions(fleet) == {9}

    play(day, entries=6)


def test_peers_that_told_of_a_configuration_are_asked_before_others():
    sources = RoutingSources()
    assert not sources.is_newer_than(1)
    assert sources.told("a", 3)
    assert not sources.told("b", 3)
    assert not sources.told("c", 2)
    assert sources.is_newer_than(1)
    live = {"b", "c"}
    assert sources.next_peer(live) == "b"
    assert sources.next_peer({"c"}) == "c"
    assert sources.next_peer(()) is None
    assert sources.told("c", 4)
    assert not sources.is_newer_than(4)
