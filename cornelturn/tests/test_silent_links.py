"""Links between entries whose connections stay open but pass nothing any more."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest

from cornelturn.peering.links import Listener
from cornelturn.tests.conftest import StartFleet
from cornelturn.tests.relay import Relay

ANSWER_TIMEOUT_S = 5.0


@pytest.fixture
async def relays(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[list[Relay]]:
    """Return the relays, one in front of each inner listener."""
    relays: list[Relay] = []
    open_listener = Listener.open

    def open_behind_relay(self: Listener) -> str:
        bound = open_listener(self)
        relay = Relay(int(bound.rpartition(":")[2]))
        relays.append(relay)
        return f"tcp://127.0.0.1:{relay.start()}"

    monkeypatch.setattr(Listener, "open", open_behind_relay)
    yield relays
    for relay in relays:
        await relay.stop()


async def test_silent_connections_between_entries_are_redialled(
    start_fleet: StartFleet, relays: list[Relay]
) -> None:
    fleet = await start_fleet(entries=3, targets=2)
    for _ in range(2):
        counts_before = [relay.accepted_count for relay in relays]
        for relay in relays:
            relay.silence()
        requests = [fleet.caller(n % 3).post("lookup", b"%d" % n) for n in range(12)]
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            answers = await asyncio.gather(*requests)
        assert [answer.body for answer in answers] == [
            b"lookup:%d" % n for n in range(12)
        ]
        await fleet.wait_for(
            lambda counts_before=counts_before: all(
                relay.accepted_count > count
                for relay, count in zip(relays, counts_before, strict=True)
            )
        )
        await fleet.wait_for(fleet.is_formed)
    collection = await fleet.caller(1).post("collection", b"nurse")
    assert collection.body == b"collection:nurse"
