"""Pauses in the calls to peers after none of them has reached the store.

Guards against a pause that a caller without time left begins: later callers fail
although the peers reach the store.
"""

from __future__ import annotations

import asyncio

import pytest
from result import Ok

from cornelturn.jobs.relay import StoreRelay
from cornelturn.peering.messages import InnerMessage
from cornelturn.peering.store_messages import StoreOutcome, StoreTold
from cornelturn.store.rows import ABSENT, Committed, Put

PUT = Put("jobs/q/1", "text", ABSENT)
LIMIT_S = 0.6


@pytest.fixture
def relay() -> StoreRelay:
    """Return the relay of an entry whose peers all reach the store."""

    def send(entry: str, message: InnerMessage) -> None:
        reply = StoreTold(message.number, StoreOutcome.DONE, 7)
        asyncio.get_running_loop().call_soon(store_relay.handle_reply, reply)

    store_relay = StoreRelay(None, send, lambda: frozenset({"entry-1", "entry-2"}))
    return store_relay


async def test_expired_caller_does_not_pause_calls_to_peers(relay):
    assert (await relay.commit(PUT, 0.0)).is_err()
    assert await relay.commit(PUT, LIMIT_S) == Ok(Committed(7))
