"""Expected run times of tasks, near their data and away from it."""

from __future__ import annotations

from dataclasses import dataclass
from statistics import median

from cornelturn.jobs.model import StepId
from cornelturn.racks.waits import remote_delay_ms
from cornelturn.scheduling.target_view import TargetView
from cornelturn.scheduling.views import JobView
from cornelturn.speed.pool_speeds import PoolSpeeds

DEFAULT_REMOTE_FACTOR = 2.0
"""Factor of the run time away from the data, unless the settings state another one."""

MIN_LEARNT_TIMES = 2
"""Completed runs of a step whose times replace its declared run time."""


@dataclass(slots=True)
class RackRunTimes:
    """Expected run times by the distance of a target from the data of a step.

    Parameters
    ----------
    remote_factor : float
        Factor by which a task takes longer when it runs away from its data.
    """

    speeds: PoolSpeeds
    remote_factor: float = DEFAULT_REMOTE_FACTOR

    def near_ms(self, job: JobView, step_id: StepId) -> int:
        """Return the run time of a step near its data as learnt, or as declared."""
        learnt = self.speeds.estimates.step_times.groups.get(step_id)
        if learnt is not None and len(learnt.times) >= MIN_LEARNT_TIMES:
            return round(median(took for _, took in learnt.times.values()))
        return job.step_run_ms[step_id.step]

    def on_target_ms(self, job: JobView, step_id: StepId, view: TargetView) -> int:
        """Return the run time on a target, which may be far from the data."""
        run_ms = self.near_ms(job, step_id)
        near_rack = job.spec.steps[step_id.step].near_rack
        if near_rack and near_rack not in view.listed.labels:
            return round(run_ms * self.remote_factor)
        return run_ms

    def delay_ms(self, run_ms: float) -> float:
        """Return by how much longer a task takes away from its data."""
        return remote_delay_ms(run_ms, self.remote_factor)
