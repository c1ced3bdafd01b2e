"""Store calls that peers make for an entry.

Guards against a write that is reported as not done although a peer may have done it.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import pytest
from result import Err, Ok, Result

from cornelturn.jobs.relay import MAX_PEERS, StoreRelay
from cornelturn.peering.messages import InnerMessage
from cornelturn.peering.store_messages import StoreAsked, StoreOutcome, StoreTold
from cornelturn.store.health import CallKind
from cornelturn.store.retrying import RetryingStore
from cornelturn.store.rows import (
    ABSENT,
    Committed,
    Put,
    TableConflict,
    TableError,
    TableUnavailable,
)

PEERS = frozenset(f"entry-{number}" for number in range(9))
PUT = Put("jobs/q/1", "text", ABSENT)
LIMIT_S = 0.6


class Peers:
    """Peers of which each answers all calls with one outcome, or with none."""

    def __init__(self) -> None:
        self.outcomes = dict.fromkeys(PEERS, StoreOutcome.NOT_DONE)
        self.called: list[str] = []
        self.relay = StoreRelay(None, self.send, lambda: PEERS)

    def send(self, entry: str, message: InnerMessage) -> None:
        self.called.append(entry)
        outcome = self.outcomes[entry]
        if outcome is not None:
            reply = StoreTold(message.number, outcome, 7)
            asyncio.get_running_loop().call_soon(self.relay.handle_reply, reply)


@dataclass
class FixedResultStore:
    """Store that returns the same result for each commit."""

    result: Result[Committed, TableError]
    is_available: bool = True

    async def commit(self, put: Put) -> Result[Committed, TableError]:
        return self.result

    async def read(self, key: str) -> Result[None, TableUnavailable]:
        return Err(IN_DOUBT)

    def is_unreachable(self) -> bool:
        return False

    def is_serving(self) -> bool:
        return self.is_available

    def response_timeout_ms(self, kind: CallKind) -> int:
        return 10


@pytest.fixture
def peers() -> Peers:
    """Return peers that all fail to reach the store."""
    return Peers()


async def test_write_that_no_peer_did_is_not_in_doubt_and_pauses_calls(peers: Peers):
    match await peers.relay.commit(PUT, LIMIT_S):
        case Err(TableUnavailable(is_in_doubt=False)):
            assert len(set(peers.called)) == MAX_PEERS
        case other:
            pytest.fail(f"expected a refusal, found {other}")
    assert (await peers.relay.commit(PUT, LIMIT_S)).is_err()
    assert len(peers.called) == MAX_PEERS


@pytest.mark.parametrize("outcome", [None, StoreOutcome.UNKNOWN])
async def test_write_is_in_doubt_if_one_peer_is(peers: Peers, outcome):
    peers.outcomes["entry-1"] = outcome
    peers.relay.peers = lambda: frozenset({"entry-0", "entry-1", "entry-2"})
    match await peers.relay.commit(PUT, LIMIT_S):
        case Err(TableUnavailable(is_in_doubt=True)):
            pass
        case other:
            pytest.fail(f"expected doubt, found {other}")


async def test_last_peer_that_reached_the_store_is_called_first(peers: Peers):
    peers.outcomes["entry-4"] = StoreOutcome.DONE
    peers.relay.preferred_peer = "entry-4"
    for _ in range(5):
        assert await peers.relay.commit(PUT, LIMIT_S) == Ok(Committed(7))
    assert set(peers.called) == {"entry-4"}


async def test_reply_to_an_earlier_call_is_ignored(peers: Peers):
    peers.outcomes = dict.fromkeys(PEERS)
    call = asyncio.create_task(peers.relay.read("jobs/q/1", LIMIT_S))
    await asyncio.sleep(0)
    number = peers.relay.last_call_number - 1
    peers.relay.handle_reply(StoreTold(number, StoreOutcome.DONE, ABSENT))
    assert (await call).is_err()


async def test_entry_without_peers_fails_at_once(peers: Peers):
    peers.relay.peers = frozenset
    assert (await peers.relay.read("jobs/q/1", LIMIT_S)).is_err()
    assert not peers.called


REFUSED = TableUnavailable("status 503", is_in_doubt=False)
IN_DOUBT = TableUnavailable("timeout", is_in_doubt=True)


@pytest.mark.parametrize(
    ("store", "outcome"),
    [
        (FixedResultStore(Ok(Committed(7))), StoreOutcome.DONE),
        (FixedResultStore(Err(TableConflict((PUT.key,)))), StoreOutcome.CONFLICT),
        (FixedResultStore(Err(REFUSED)), StoreOutcome.NOT_DONE),
        (FixedResultStore(Err(IN_DOUBT)), StoreOutcome.UNKNOWN),
        (FixedResultStore(Ok(Committed(7)), is_available=False), StoreOutcome.NOT_DONE),
    ],
)
async def test_reply_to_a_peer_matches_the_result_of_the_store(store, outcome):
    sent: list[StoreTold] = []
    relay = StoreRelay(
        RetryingStore(store), lambda _, reply: sent.append(reply), lambda: PEERS
    )
    relay.handle_request("entry-1", StoreAsked(5, PUT.key, PUT.value, ABSENT))
    async with asyncio.timeout(LIMIT_S):
        await asyncio.gather(*relay.serve_tasks)
    assert [(reply.number, reply.outcome) for reply in sent] == [(5, outcome)]
