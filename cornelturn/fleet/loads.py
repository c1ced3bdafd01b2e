"""Loads that the pool owners report for their targets, with their age."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from cornelturn.fleet.cordons import CordonRequests
from cornelturn.peering.messages import PoolLoad, TargetLoad

MAX_LOAD_AGE_MS = 1_500
"""Age up to which a reported load is used for decisions."""


@dataclass(slots=True)
class PoolLoads:
    """Last reported load of each pool, with the time of its arrival."""

    latest: dict[str, tuple[PoolLoad, int]] = field(default_factory=dict)

    def update(self, load: PoolLoad, now_ms: int) -> bool:
        """Record a reported load; return False if a later owner has reported before."""
        last_report = self.latest.get(load.pool)
        if last_report is not None and last_report[0].generation > load.generation:
            return False
        self.latest[load.pool] = (load, now_ms)
        return True

    def recent_loads(self, now_ms: int) -> dict[str, PoolLoad]:
        """Return the load of each pool whose owner reported recently."""
        return {
            pool: load
            for pool, (load, received_ms) in self.latest.items()
            if now_ms - received_ms <= MAX_LOAD_AGE_MS
        }

    def target_loads(
        self, cordons: CordonRequests, now_ms: int
    ) -> dict[str, TargetLoad]:
        """Return the load of each target; a cordon that may expire counts as none."""
        return {
            target_load.target: replace(
                target_load,
                is_cordoned=target_load.is_cordoned
                and cordons.is_in_effect(target_load.target, load.cordon, now_ms),
            )
            for load in self.recent_loads(now_ms).values()
            for target_load in load.targets
        }
