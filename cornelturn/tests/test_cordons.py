"""How long a cordon surely holds, whatever delays its messages had."""

from __future__ import annotations

import pytest

from cornelturn.fleet.cordons import CORDON_LIMIT_MS, ORDER_TIME_MS, Cordons
from cornelturn.fleet.loads import Loads
from cornelturn.jobs.model import Resources
from cornelturn.peering.messages import PoolLoad, TargetLoad

USABLE_MS = CORDON_LIMIT_MS - ORDER_TIME_MS


def load(cordon: int, runs: int = 0, generation: int = 1) -> PoolLoad:
    targets = (TargetLoad("t-1", runs, 0, True),)
    return PoolLoad(
        "pool", generation, cordon, targets, Resources(), Resources(), Resources(), 0, 0
    )


@pytest.fixture
def cordons() -> Cordons:
    """Return cordons with one request for a target, sent at 1,000 ms."""
    found = Cordons()
    (message,) = found.ask([("pool", "t-1")], 1_000)
    assert (message.targets, message.number) == (("t-1",), 1)
    return found


def test_cordon_counts_from_when_it_was_asked_for(cordons):
    assert cordons.holds("t-1", 1, 1_000 + USABLE_MS)
    assert not cordons.holds("t-1", 1, 1_001 + USABLE_MS)
    cordons.ask([("pool", "t-1")], 3_000)
    assert not cordons.holds("t-1", 1, 1_001 + USABLE_MS)
    assert cordons.holds("t-1", 2, 3_000 + USABLE_MS)


def test_cordon_that_was_given_up_in_between_does_not_count(cordons):
    cordons.ask([], 1_250)
    assert not cordons.holds("t-1", 1, 1_300)
    cordons.ask([("pool", "t-1")], 1_500)
    assert not cordons.holds("t-1", 1, 1_600)
    assert cordons.holds("t-1", 3, 1_600)


def test_pool_that_gets_no_cordon_any_more_is_told_once(cordons):
    (message,) = cordons.ask([], 1_250)
    assert (message.pool, message.targets) == ("pool", ())
    assert cordons.ask([], 1_500) == []


def test_target_counts_as_cordoned_only_while_that_is_sure(cordons):
    loads = Loads()
    loads.tell(load(cordon=1), 3_400)
    assert loads.targets(cordons, 3_400)["t-1"].is_empty()
    assert not loads.targets(cordons, 3_600)["t-1"].is_empty()


def test_owner_of_a_pool_that_was_replaced_is_not_believed(cordons):
    loads = Loads()
    loads.tell(load(cordon=1, runs=2, generation=2), 1_100)
    loads.tell(load(cordon=1, generation=1), 1_200)
    assert not loads.targets(cordons, 1_200)["t-1"].is_empty()
