"""Calls to the store that peers make for an entry."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import pytest
from result import Err, Ok, Result

from cornelturn.jobs.relay import MOST_PEERS, StoreRelay
from cornelturn.peering.messages import (
    InnerMessage,
    StoreAsked,
    StoreOutcome,
    StoreTold,
)
from cornelturn.store.health import CallKind
from cornelturn.store.prompt import PromptStore
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
    """Peers that answer each call with the same outcome, or not at all."""

    def __init__(self) -> None:
        self.outcomes = dict.fromkeys(PEERS, StoreOutcome.NOT_DONE)
        self.asked: list[str] = []
        self.relay = StoreRelay(None, self.send, lambda: PEERS)

    def send(self, entry: str, message: InnerMessage) -> None:
        self.asked.append(entry)
        outcome = self.outcomes[entry]
        if outcome is not None:
            told = StoreTold(message.number, outcome, 7)
            asyncio.get_running_loop().call_soon(self.relay.told, told)


@dataclass
class OneWay:
    """A store that settles each call in one way."""

    result: Result[Committed, TableError]
    serves: bool = True

    async def commit(self, put: Put) -> Result[Committed, TableError]:
        return self.result

    async def read(self, key: str) -> Result[None, TableUnavailable]:
        return Err(DOUBT)

    def is_away(self) -> bool:
        return False

    def is_serving(self) -> bool:
        return self.serves

    def patience_ms(self, kind: CallKind) -> int:
        return 10


@pytest.fixture
def peers() -> Peers:
    """Return peers of which none reaches the store."""
    return Peers()


async def test_nothing_is_in_doubt_if_no_peer_did_anything(peers: Peers):
    match await peers.relay.commit(PUT, LIMIT_S):
        case Err(TableUnavailable(is_in_doubt=False)):
            assert len(set(peers.asked)) == MOST_PEERS
        case other:
            pytest.fail(f"expected a refusal, found {other}")
    assert (await peers.relay.commit(PUT, LIMIT_S)).is_err()
    assert len(peers.asked) == MOST_PEERS


@pytest.mark.parametrize("outcome", [None, StoreOutcome.UNKNOWN])
async def test_one_peer_in_doubt_leaves_doubt(peers: Peers, outcome):
    peers.outcomes["entry-1"] = outcome
    peers.relay.peers = lambda: frozenset({"entry-0", "entry-1", "entry-2"})
    match await peers.relay.commit(PUT, LIMIT_S):
        case Err(TableUnavailable(is_in_doubt=True)):
            pass
        case other:
            pytest.fail(f"expected doubt, found {other}")


async def test_peer_that_reached_the_store_is_asked_first(peers: Peers):
    peers.outcomes["entry-4"] = StoreOutcome.DONE
    peers.relay.helper = "entry-4"
    for _ in range(5):
        assert await peers.relay.commit(PUT, LIMIT_S) == Ok(Committed(7))
    assert set(peers.asked) == {"entry-4"}


async def test_answer_to_an_earlier_call_is_not_taken(peers: Peers):
    peers.outcomes = dict.fromkeys(PEERS)
    call = asyncio.create_task(peers.relay.read("jobs/q/1", LIMIT_S))
    await asyncio.sleep(0)
    number = peers.relay.last_number - 1
    peers.relay.told(StoreTold(number, StoreOutcome.DONE, ABSENT))
    assert (await call).is_err()


async def test_entry_without_peers_refuses_at_once(peers: Peers):
    peers.relay.peers = frozenset
    assert (await peers.relay.read("jobs/q/1", LIMIT_S)).is_err()
    assert not peers.asked


REFUSAL = TableUnavailable("status 503", is_in_doubt=False)
DOUBT = TableUnavailable("timeout", is_in_doubt=True)


@pytest.mark.parametrize(
    ("store", "outcome"),
    [
        (OneWay(Ok(Committed(7))), StoreOutcome.DONE),
        (OneWay(Err(TableConflict((PUT.key,)))), StoreOutcome.CONFLICT),
        (OneWay(Err(REFUSAL)), StoreOutcome.NOT_DONE),
        (OneWay(Err(DOUBT)), StoreOutcome.UNKNOWN),
        (OneWay(Ok(Committed(7)), serves=False), StoreOutcome.NOT_DONE),
    ],
)
async def test_peer_is_told_that_nothing_was_done_only_if_so(store, outcome):
    sent: list[StoreTold] = []
    relay = StoreRelay(
        PromptStore(store), lambda _, told: sent.append(told), lambda: PEERS
    )
    relay.asked("entry-1", StoreAsked(5, PUT.key, PUT.value, ABSENT))
    async with asyncio.timeout(LIMIT_S):
        await asyncio.gather(*relay.serving)
    assert [(told.number, told.outcome) for told in sent] == [(5, outcome)]
