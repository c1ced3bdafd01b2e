"""What the owners of the pools tell of their targets, with its age."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from cornelturn.fleet.cordons import Cordons
from cornelturn.peering.messages import PoolLoad, TargetLoad

LOAD_LIMIT_MS = 1_500
"""Age up to which what an owner tells of its targets is acted on."""


@dataclass(slots=True)
class Loads:
    """Last load of each pool and when it was told."""

    told: dict[str, tuple[PoolLoad, int]] = field(default_factory=dict)

    def tell(self, load: PoolLoad, now_ms: int) -> bool:
        """Take in what an owner tells, and return whether no later owner has told."""
        known = self.told.get(load.pool)
        if known is not None and known[0].generation > load.generation:
            return False
        self.told[load.pool] = (load, now_ms)
        return True

    def pools(self, now_ms: int) -> dict[str, PoolLoad]:
        """Return the load of each pool whose owner told lately."""
        return {
            pool: load
            for pool, (load, told_ms) in self.told.items()
            if now_ms - told_ms <= LOAD_LIMIT_MS
        }

    def targets(self, cordons: Cordons, now_ms: int) -> dict[str, TargetLoad]:
        """Return the load of each target; a cordon that may lapse counts as none."""
        return {
            one.target: replace(
                one,
                is_cordoned=one.is_cordoned
                and cordons.holds(one.target, load.cordon, now_ms),
            )
            for load in self.pools(now_ms).values()
            for one in load.targets
        }
