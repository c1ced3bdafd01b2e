"""How a configuration reaches entries that cannot read it in the store."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, field

import msgspec
import pytest

from cornelturn.entry.routing_spread import RoutingSources
from cornelturn.peering.codec import Codec
from cornelturn.peering.messages import InnerMessage, RoutingAnnounced
from cornelturn.tests.job_fleet import JobFleet, configuration, job_id, phases

IDLE_QUEUES = 1_200
CONTROL_BYTES_S = 9_000
"""What an entry may send for control in a second."""

APPLY_S = 2.0
"""Time in which a configuration is in force everywhere."""

APPLY_GROWN_S = 3.0
"""The same on the largest deployment."""

CONTACT_S = 4.0
"""Time after the end of a disruption in which an entry gets in touch again there."""

CHANGE_INTERVAL_S = 0.24
CHANGES = 30
LINK_BYTES_S = 600_000
"""Half of the smallest link there, 10 Mbit/s, as another reading leaves it."""

REFUSED_S = 6.0
MEMBERS_LINK_BYTES_S = 12_000
"""So few that the members' changes of the outage take longer to read than a call."""


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


@dataclass
class Changes:
    """An operator who changes the configuration at a steady pace.

    Parameters
    ----------
    late : list of int
        Versions that were not in force in time at the entry that is watched.
    """

    fleet: JobFleet
    watched: str
    limit_s: float
    late: list[int] = field(default_factory=list)

    async def make(self, count: int, is_judged_after_s: float = 0.0) -> None:
        """Make changes; those before some time are not judged."""
        judged_s = self.fleet.network.loop.time() + is_judged_after_s
        looks = []
        for version in range(2, 2 + count):
            self.fleet.store.put("op", "config", large_configuration(version))
            looks.append(asyncio.create_task(self._look(version, judged_s)))
            await asyncio.sleep(CHANGE_INTERVAL_S)
        await asyncio.gather(*looks)

    async def _look(self, version: int, judged_s: float) -> None:
        loop = self.fleet.network.loop
        end_s = max(loop.time() + self.limit_s, judged_s)
        await asyncio.sleep(end_s - loop.time())
        if self.fleet.entries[self.watched].operator.current.version < version:
            self.late.append(version)


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
        fleet.disconnect_from_store("entry-0")
        fleet.store.put("op", "config", large_configuration(9))
        await asyncio.sleep(APPLY_S)
        assert versions(fleet) == {9}

    play(day, entries=6)


def test_series_of_changes_reaches_an_entry_without_the_store(play):
    async def day(fleet: JobFleet) -> None:
        await asyncio.sleep(1)
        fleet.disconnect_from_store("entry-0")
        changes = Changes(fleet, "entry-0", APPLY_S)
        await changes.make(CHANGES)
        assert changes.late == []

    play(day, entries=6)


def test_entry_that_missed_an_announcement_gets_the_configuration(play):
    async def day(fleet: JobFleet) -> None:
        await asyncio.sleep(1)
        fleet.disconnect_from_store("entry-0")
        labels = [one.label for one in fleet.entries.values()]
        cuts = {frozenset((labels[0], one)) for one in labels[1:]}
        fleet.network.cut |= cuts
        fleet.store.put("op", "config", large_configuration(9))
        await asyncio.sleep(1)
        fleet.network.cut -= cuts
        await asyncio.sleep(APPLY_S)
        assert versions(fleet) == {9}

    play(day, entries=6)


def test_changes_missed_in_an_outage_do_not_hold_up_the_newest(play):
    async def day(fleet: JobFleet) -> None:
        label = fleet.entries["entry-0"].label
        fleet.network.link_bytes_s[label] = LINK_BYTES_S
        await asyncio.sleep(1)
        cut = fleet.disconnect_from_store("entry-0")
        changes = Changes(fleet, "entry-0", APPLY_GROWN_S)
        count = round((REFUSED_S + CONTACT_S + APPLY_GROWN_S) / CHANGE_INTERVAL_S)
        making = asyncio.create_task(changes.make(count, REFUSED_S + CONTACT_S))
        await asyncio.sleep(REFUSED_S)
        fleet.network.cut.remove(cut)
        await making
        assert changes.late == []

    play(day, entries=1)


def test_frozen_entry_reads_the_newest_configuration_alone(play):
    async def day(fleet: JobFleet) -> None:
        label = fleet.entries["entry-0"].label
        fleet.network.link_bytes_s[label] = LINK_BYTES_S
        await asyncio.sleep(1)
        fleet.pause_entry("entry-0")
        changes = Changes(fleet, "entry-0", APPLY_GROWN_S)
        count = round((REFUSED_S + APPLY_GROWN_S) / CHANGE_INTERVAL_S)
        making = asyncio.create_task(changes.make(count, REFUSED_S + APPLY_GROWN_S))
        await asyncio.sleep(REFUSED_S)
        fleet.resume_entry("entry-0")
        await making
        assert changes.late == []

    play(day, entries=1)


def test_entry_on_a_slow_link_reads_the_members_again_after_an_outage(play):
    async def day(fleet: JobFleet) -> None:
        entry = fleet.entries["entry-0"]
        await asyncio.sleep(1)
        fleet.network.link_bytes_s[entry.label] = MEMBERS_LINK_BYTES_S
        cut = fleet.disconnect_from_store("entry-0")
        await asyncio.sleep(2 * REFUSED_S)
        assert not entry.keeper.is_store_reachable
        fleet.network.cut.remove(cut)
        await asyncio.sleep(CONTACT_S)
        assert entry.keeper.is_store_reachable

    play(day, entries=6)


def test_queue_is_not_denied_by_an_entry_that_knows_of_a_newer_configuration(play):
    async def day(fleet: JobFleet) -> None:
        body = msgspec.json.encode({"spec": "text", "phases": phases(1)})
        path = f"/new/{job_id(1)}"
        assert (await fleet.call("entry-0", "POST", path, body))[0] == 404
        fleet.entries["entry-1"].send("entry-0", RoutingAnnounced(9))
        await asyncio.sleep(0.1)
        assert (await fleet.call("entry-0", "POST", path, body))[0] == 503

    play(day)


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
