"""A pool keeps the machines that its tasks with anti-affinity need.

Guards against moves that leave a pool fewer targets than tasks that need separate ones.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

import pytest

from cornelturn.peering.messages import PoolLoad
from cornelturn.tests.test_sizing import PoolSimulation

MIN_TARGETS = 5


@dataclass
class AntiAffinityPools(PoolSimulation):
    """Pools of which one has tasks that need a separate target each."""

    def load(self, pool: str) -> PoolLoad:
        least_targets = MIN_TARGETS if pool == "mail" else 0
        return replace(super().load(pool), least_targets=least_targets)


@pytest.fixture
def pools() -> AntiAffinityPools:
    """Return pools after a loss: six and two machines left, and none that are off."""
    simulation = AntiAffinityPools()
    lost = [f"spare-{number}" for number in range(6)]
    lost += [f"phone-{number}" for number in range(4)]
    for name in lost:
        del simulation.machines[name]
    return simulation


def test_pool_keeps_the_targets_that_its_anti_affinity_needs_from_a_busier_one(
    pools,
):
    pools.demand.update(mail=20.0, phone=100.0)
    pools.run(10_000)
    assert pools.size("mail") >= MIN_TARGETS
