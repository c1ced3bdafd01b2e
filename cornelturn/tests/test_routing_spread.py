"""Tests that each new configuration is in force at every entry in time.

An entry may be cut off from the store, frozen, or behind a slow link. Guards against
links filled with copies of a large document, against old versions that delay the newest
one, and against entries that deny queues of a configuration they have not read yet.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, field

import msgspec
import pytest

from cornelturn.entry.routing_spread import AnnouncedVersions
from cornelturn.peering.codec import Codec
from cornelturn.peering.messages import InnerMessage, RoutingAnnounced
from cornelturn.platform.standin.documents import configuration, job_id, phases
from cornelturn.tests.job_fleet import JobFleet

IDLE_QUEUES = 1_200
MAX_CONTROL_BYTES_S = 9_000
"""Control traffic that an entry may send per second."""

APPLY_S = 2.0
"""Time in which a new configuration has to be in force at all entries."""

LARGE_FLEET_APPLY_S = 3.0
"""The same in the largest deployment."""

RECONNECT_S = 4.0
"""Time after the end of a disruption in which an entry there has to reconnect."""

CHANGE_INTERVAL_S = 0.24
CHANGES = 30
LINK_BYTES_S = 600_000
"""Half of the slowest link of that deployment, 10 Mbit/s; a parallel read takes the
other half."""

STORE_CUT_S = 6.0
SLOW_LINK_BYTES_S = 12_000
"""So slow that reading the member rows changed in the outage outlasts the time limit
of a call."""


@pytest.fixture
def sent_bytes(monkeypatch: pytest.MonkeyPatch) -> Counter[str]:
    """Return the bytes of inner frames that each entry has sent."""
    bytes_by_entry: Counter[str] = Counter()
    encode = Codec.encode

    def encode_and_count(
        codec: Codec, receiver: str, messages: list[InnerMessage]
    ) -> bytes:
        data = encode(codec, receiver, messages)
        bytes_by_entry[codec.entry] += len(data)
        return data

    monkeypatch.setattr(Codec, "encode", encode_and_count)
    return bytes_by_entry


def large_configuration(version: int) -> bytes:
    """Return a configuration with many idle queues."""
    document = msgspec.json.decode(configuration(version))
    route = document["routes"][0]
    document["routes"] += [
        route | {"name": f"idle-{number}", "path_prefix": f"/idle-{number}/"}
        for number in range(IDLE_QUEUES)
    ]
    return msgspec.json.encode(document)


@dataclass
class ConfigurationChanges:
    """Writes new versions of the configuration at a fixed interval.

    Parameters
    ----------
    late_versions : list of int
        Versions that were not in force in time at the observed entry.
    """

    fleet: JobFleet
    observed_entry: str
    limit_s: float
    late_versions: list[int] = field(default_factory=list)

    async def apply(self, count: int, checked_after_s: float = 0.0) -> None:
        """Write new versions; check them after `checked_after_s` at the earliest."""
        check_start_s = self.fleet.network.loop.time() + checked_after_s
        checks = []
        for version in range(2, 2 + count):
            self.fleet.store.put("op", "config", large_configuration(version))
            checks.append(asyncio.create_task(self._check(version, check_start_s)))
            await asyncio.sleep(CHANGE_INTERVAL_S)
        await asyncio.gather(*checks)

    async def _check(self, version: int, check_start_s: float) -> None:
        loop = self.fleet.network.loop
        end_s = max(loop.time() + self.limit_s, check_start_s)
        await asyncio.sleep(end_s - loop.time())
        if (
            self.fleet.entries[self.observed_entry].operator_watch.current.version
            < version
        ):
            self.late_versions.append(version)


def versions_in_force(fleet: JobFleet) -> set[int]:
    """Return the versions in force at the entries."""
    return {entry.operator_watch.current.version for entry in fleet.entries.values()}


def test_large_configuration_change_stays_within_the_control_bandwidth(
    play, sent_bytes
):
    async def scenario(fleet: JobFleet) -> None:
        await asyncio.sleep(1)
        sent_bytes.clear()
        fleet.store.put("op", "config", large_configuration(9))
        await asyncio.sleep(APPLY_S)
        assert versions_in_force(fleet) == {9}
        assert max(sent_bytes.values()) <= MAX_CONTROL_BYTES_S * APPLY_S

    play(scenario, entries=6)


def test_entry_cut_off_from_the_store_gets_the_configuration_from_a_peer(play):
    async def scenario(fleet: JobFleet) -> None:
        await asyncio.sleep(1)
        fleet.disconnect_from_store("entry-0")
        fleet.store.put("op", "config", large_configuration(9))
        await asyncio.sleep(APPLY_S)
        assert versions_in_force(fleet) == {9}

    play(scenario, entries=6)


def test_consecutive_changes_reach_an_entry_cut_off_from_the_store(play):
    async def scenario(fleet: JobFleet) -> None:
        await asyncio.sleep(1)
        fleet.disconnect_from_store("entry-0")
        changes = ConfigurationChanges(fleet, "entry-0", APPLY_S)
        await changes.apply(CHANGES)
        assert changes.late_versions == []

    play(scenario, entries=6)


def test_entry_that_missed_an_announcement_gets_the_configuration(play):
    async def scenario(fleet: JobFleet) -> None:
        await asyncio.sleep(1)
        fleet.disconnect_from_store("entry-0")
        labels = [entry.label for entry in fleet.entries.values()]
        cut_pairs = {frozenset((labels[0], label)) for label in labels[1:]}
        fleet.network.cut_pairs |= cut_pairs
        fleet.store.put("op", "config", large_configuration(9))
        await asyncio.sleep(1)
        fleet.network.cut_pairs -= cut_pairs
        await asyncio.sleep(APPLY_S)
        assert versions_in_force(fleet) == {9}

    play(scenario, entries=6)


def test_changes_missed_in_an_outage_do_not_delay_the_newest(play):
    async def scenario(fleet: JobFleet) -> None:
        label = fleet.entries["entry-0"].label
        fleet.network.link_bytes_s[label] = LINK_BYTES_S
        await asyncio.sleep(1)
        cut = fleet.disconnect_from_store("entry-0")
        changes = ConfigurationChanges(fleet, "entry-0", LARGE_FLEET_APPLY_S)
        count = round(
            (STORE_CUT_S + RECONNECT_S + LARGE_FLEET_APPLY_S) / CHANGE_INTERVAL_S
        )
        applying = asyncio.create_task(changes.apply(count, STORE_CUT_S + RECONNECT_S))
        await asyncio.sleep(STORE_CUT_S)
        fleet.network.cut_pairs.remove(cut)
        await applying
        assert changes.late_versions == []

    play(scenario, entries=1)


def test_resumed_entry_reads_only_the_newest_configuration(play):
    async def scenario(fleet: JobFleet) -> None:
        label = fleet.entries["entry-0"].label
        fleet.network.link_bytes_s[label] = LINK_BYTES_S
        await asyncio.sleep(1)
        fleet.pause_entry("entry-0")
        changes = ConfigurationChanges(fleet, "entry-0", LARGE_FLEET_APPLY_S)
        count = round((STORE_CUT_S + LARGE_FLEET_APPLY_S) / CHANGE_INTERVAL_S)
        applying = asyncio.create_task(
            changes.apply(count, STORE_CUT_S + LARGE_FLEET_APPLY_S)
        )
        await asyncio.sleep(STORE_CUT_S)
        fleet.resume_entry("entry-0")
        await applying
        assert changes.late_versions == []

    play(scenario, entries=1)


def test_entry_on_a_slow_link_reads_the_member_rows_again_after_an_outage(play):
    async def scenario(fleet: JobFleet) -> None:
        entry = fleet.entries["entry-0"]
        await asyncio.sleep(1)
        fleet.network.link_bytes_s[entry.label] = SLOW_LINK_BYTES_S
        cut = fleet.disconnect_from_store("entry-0")
        await asyncio.sleep(2 * STORE_CUT_S)
        assert not entry.keeper.authority.is_store_reachable
        fleet.network.cut_pairs.remove(cut)
        await asyncio.sleep(RECONNECT_S)
        assert entry.keeper.authority.is_store_reachable

    play(scenario, entries=6)


def test_unknown_queue_is_not_denied_while_a_newer_configuration_is_announced(play):
    async def scenario(fleet: JobFleet) -> None:
        body = msgspec.json.encode({"spec": "text", "phases": phases(1)})
        path = f"/new/{job_id(1)}"
        assert (await fleet.call("entry-0", "POST", path, body))[0] == 404
        fleet.entries["entry-1"].send("entry-0", RoutingAnnounced(9))
        await asyncio.sleep(0.1)
        assert (await fleet.call("entry-0", "POST", path, body))[0] == 503

    play(scenario)


def test_peers_that_announced_the_newest_version_are_asked_first():
    announced = AnnouncedVersions()
    assert not announced.has_newer_than(1)
    assert announced.record("a", 3)
    assert not announced.record("b", 3)
    assert not announced.record("c", 2)
    assert announced.has_newer_than(1)
    live = {"b", "c"}
    assert announced.next_peer(live) == "b"
    assert announced.next_peer({"c"}) == "c"
    assert announced.next_peer(()) is None
    assert announced.record("c", 4)
    assert not announced.has_newer_than(4)
