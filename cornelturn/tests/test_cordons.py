"""How long a cordon is guaranteed, however long its messages were delayed.

Guards against an order for a machine whose cordon ends before the order is executed.
"""

from __future__ import annotations

import pytest

from cornelturn.fleet.cordons import (
    CORDON_TIMEOUT_MS,
    MAX_ORDER_DURATION_MS,
    CordonRequests,
)
from cornelturn.fleet.loads import PoolLoads
from cornelturn.jobs.model import Resources
from cornelturn.peering.messages import PoolLoad, TargetLoad

USABLE_MS = CORDON_TIMEOUT_MS - MAX_ORDER_DURATION_MS


def pool_load(cordon: int, runs: int = 0, generation: int = 1) -> PoolLoad:
    targets = (TargetLoad("t-1", runs, 0, True),)
    return PoolLoad(
        "pool", generation, cordon, targets, Resources(), Resources(), Resources(), 0, 0
    )


@pytest.fixture
def cordons() -> CordonRequests:
    """Return cordon requests after the first one, for one target at 1,000 ms."""
    requests = CordonRequests()
    (message,) = requests.request([("pool", "t-1")], 1_000)
    assert (message.targets, message.number) == (("t-1",), 1)
    return requests


def test_cordon_duration_counts_from_its_request(cordons):
    assert cordons.is_in_effect("t-1", 1, 1_000 + USABLE_MS)
    assert not cordons.is_in_effect("t-1", 1, 1_001 + USABLE_MS)
    cordons.request([("pool", "t-1")], 3_000)
    assert not cordons.is_in_effect("t-1", 1, 1_001 + USABLE_MS)
    assert cordons.is_in_effect("t-1", 2, 3_000 + USABLE_MS)


def test_cordon_withdrawn_in_between_does_not_count(cordons):
    cordons.request([], 1_250)
    assert not cordons.is_in_effect("t-1", 1, 1_300)
    cordons.request([("pool", "t-1")], 1_500)
    assert not cordons.is_in_effect("t-1", 1, 1_600)
    assert cordons.is_in_effect("t-1", 3, 1_600)


def test_pool_whose_last_cordon_is_withdrawn_is_notified_once(cordons):
    (message,) = cordons.request([], 1_250)
    assert (message.pool, message.targets) == ("pool", ())
    assert cordons.request([], 1_500) == []


def test_target_counts_as_cordoned_only_while_the_cordon_is_guaranteed(cordons):
    loads = PoolLoads()
    loads.update(pool_load(cordon=1), 3_400)
    assert loads.target_loads(cordons, 3_400)["t-1"].is_empty()
    assert not loads.target_loads(cordons, 3_600)["t-1"].is_empty()


def test_load_from_a_replaced_owner_is_ignored(cordons):
    loads = PoolLoads()
    loads.update(pool_load(cordon=1, runs=2, generation=2), 1_100)
    loads.update(pool_load(cordon=1, generation=1), 1_200)
    assert not loads.target_loads(cordons, 1_200)["t-1"].is_empty()
