"""Settings of the owner of a pool, the same for all pools of an entry."""

from __future__ import annotations

from dataclasses import dataclass, field

from cornelturn.interference.controller import PacingBounds
from cornelturn.preemption.decision import NO_PREEMPTION, PreemptionSettings
from cornelturn.racks.run_times import DEFAULT_REMOTE_FACTOR
from cornelturn.scheduling.retention import DEFAULT_STATUS_MS
from cornelturn.scheduling.state import DEFAULT_MAX_LEASE_MS
from cornelturn.speed.copies import DEFAULT_COPY_SHARE
from cornelturn.store.limits import DEFAULT_LIMITS, StoreLimits


@dataclass(frozen=True, slots=True)
class OwnerSettings:
    """Settings of the owner of a pool.

    Parameters
    ----------
    max_lease_ms : int
        Longest lease that a target grants, whatever deadline it gets.
    store_limits : StoreLimits
        Largest rows and calls that the store accepts.
    status_ms : int
        How long the state of a job must be shown after its end.
    pacing_bounds : PacingBounds
        Time limits of the pace of filling work.
    copy_share : float
        Share of the capacity of the pool that copies of tasks may take.
    preemption : PreemptionSettings
        Whether runs are stopped for urgent work.
    remote_factor : float
        Factor by which a task takes longer when it runs away from its data.
    """

    max_lease_ms: int = DEFAULT_MAX_LEASE_MS
    store_limits: StoreLimits = DEFAULT_LIMITS
    status_ms: int = DEFAULT_STATUS_MS
    pacing_bounds: PacingBounds = field(default_factory=PacingBounds)
    copy_share: float = DEFAULT_COPY_SHARE
    preemption: PreemptionSettings = NO_PREEMPTION
    remote_factor: float = DEFAULT_REMOTE_FACTOR
