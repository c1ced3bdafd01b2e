"""Settings of an entry that schedules jobs, as data classes."""

from __future__ import annotations

from dataclasses import dataclass

from cornelturn.interference.controller import PacingBounds
from cornelturn.preemption.decision import NO_PREEMPTION, PreemptionSettings
from cornelturn.scheduling.owner_settings import OwnerSettings
from cornelturn.speed.copies import DEFAULT_COPY_SHARE
from cornelturn.store.limits import DEFAULT_LIMITS, StoreLimits


@dataclass(frozen=True, slots=True)
class TimeBounds:
    """Durations that the deployment promises or demands.

    Parameters
    ----------
    target_lease_ms : int
        Longest lease that a target grants.
    drain_ms : int
        Time after which a draining target must not get new work.
    run_stop_ms : int
        Longest time that a target needs to stop a run.
    grace_ms : int
        Time between the request to stop an entry and its end.
    away_notice_ms : int
        Time after which a lasting task that is not running counts as away.
    duty_lease_ms : int
        Shortest time between orders of two successive holders of a duty.
    max_overload_ms : int
        Time for which a serving task may exceed its limit.
    pace_delay_ms : int
        Time after which an order of a pace takes effect.
    gang_wait_ms : int
        Time for which a task of a gang waits for the others.
    remote_factor : float
        Factor by which a task takes longer when it runs away from its data.
    status_ms : int
        How long the state of a job must be shown after its end.
    """

    target_lease_ms: int = 10_000
    drain_ms: int = 2_000
    run_stop_ms: int = 200
    grace_ms: int = 6_000
    away_notice_ms: int = 4_500
    duty_lease_ms: int = 3_000
    max_overload_ms: int = 4_000
    pace_delay_ms: int = 100
    gang_wait_ms: int = 3_000
    remote_factor: float = 2.0
    status_ms: int = 120_000


@dataclass(frozen=True, slots=True)
class JobEntrySettings:
    """Settings of one entry; addresses are ``IP:PORT``.

    Parameters
    ----------
    inner_address : str
        Address of the inner listener, with its scheme.
    approval_address : str
        Service that approves targets for queues that require it; empty for none.
    processor : float
        Cores that the entry may use; a share of a fast core counts in proportion to
        its speed.
    memory_mb, max_descriptors : int
        Memory and descriptors that the process may use.
    copy_share : float
        Share of the capacity of a pool that copies of tasks may take.
    preemption : PreemptionSettings
        Whether runs are stopped for urgent work.
    """

    name: str
    data_centre: str
    inner_address: str
    metrics_address: str
    callers_address: str
    ready_address: str
    store_address: str
    machines_address: str
    approval_address: str = ""
    processor: float = 1.0
    memory_mb: int = 160
    max_descriptors: int = 4_100
    bounds: TimeBounds = TimeBounds()
    store_limits: StoreLimits = DEFAULT_LIMITS
    copy_share: float = DEFAULT_COPY_SHARE
    preemption: PreemptionSettings = NO_PREEMPTION
    log_level: str = "info"

    def owner_settings(self) -> OwnerSettings:
        """Return the settings of the owners of pools."""
        return OwnerSettings(
            max_lease_ms=self.bounds.target_lease_ms,
            store_limits=self.store_limits,
            status_ms=self.bounds.status_ms,
            pacing_bounds=PacingBounds(
                self.bounds.max_overload_ms, self.bounds.pace_delay_ms
            ),
            copy_share=self.copy_share,
            preemption=self.preemption,
            remote_factor=self.bounds.remote_factor,
        )


def split_address(address: str) -> tuple[str, int]:
    """Return the IP address and the port of an address."""
    host, _, port = address.rpartition(":")
    return host, int(port)
