"""What the owners of the pools tell of their targets, with its age."""

from __future__ import annotations

from dataclasses import dataclass, field

from cornelturn.capacity.sizing import PoolDemand, TargetUse
from cornelturn.peering.messages import PoolLoad

LOAD_LIMIT_MS = 1_500
"""Age up to which what an owner tells of its targets is acted on."""


@dataclass(slots=True)
class Loads:
    """Last load of each pool and when it was told."""

    pools: dict[str, tuple[PoolLoad, int]] = field(default_factory=dict)

    def tell(self, load: PoolLoad, now_ms: int) -> None:
        """Take in what an owner tells."""
        self.pools[load.pool] = (load, now_ms)

    def uses(self, now_ms: int) -> dict[str, TargetUse]:
        """Return the runs on each target of which its owner told lately."""
        return {
            one.target: TargetUse(one.runs, one.lasting, one.is_cordoned)
            for load in self._recent(now_ms)
            for one in load.loads
        }

    def demands(self, now_ms: int) -> dict[str, PoolDemand]:
        """Return the demand of each pool whose owner told lately."""
        return {
            load.pool: PoolDemand(
                pool=load.pool,
                held=load.held,
                waiting=load.waiting,
                capacity=load.capacity,
                targets=load.open_targets,
                least_targets=load.least_targets,
            )
            for load in self._recent(now_ms)
        }

    def _recent(self, now_ms: int) -> list[PoolLoad]:
        return [
            load
            for load, told_ms in self.pools.values()
            if now_ms - told_ms <= LOAD_LIMIT_MS
        ]
