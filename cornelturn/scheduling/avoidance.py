"""Targets on which tasks have failed, and tasks that wait for other ones."""

from __future__ import annotations

from dataclasses import dataclass

from cornelturn.events.log import log_event
from cornelturn.jobs.model import TaskId
from cornelturn.placement.index import FreeCapacityIndex
from cornelturn.scheduling.target_view import TargetView
from cornelturn.scheduling.views import JobView
from cornelturn.targets.model import TargetLife

AVOID_AFTER_FAILED_JOBS = 3
"""Number of jobs with failed runs, since the last successful run on a target, after
which the target is avoided."""

AVOID_DURATION_MS = 6_000
"""How long a target is avoided; as long as usual disturbances last."""

MAX_AVOIDED_SHARE = 1 / 3
"""Maximum share of the targets that may be left idle because of failures."""

OTHER_TARGET_WAIT_MS = 2_000
"""How long a task waits for another target than the one it failed on; less than a job
may be idle while targets have free capacity."""


@dataclass(slots=True)
class TargetAvoidance:
    """Decides for which tasks other targets are preferred, or waited for.

    Parameters
    ----------
    targets : dict
        Targets of the pool.
    free_capacity : FreeCapacityIndex
        Free capacity of the targets that may get tasks.
    count, counted_ms : int
        Number of avoided targets, and when they were counted.
    """

    targets: dict[TargetLife, TargetView]
    free_capacity: FreeCapacityIndex
    count: int = 0
    counted_ms: int = -1

    def record_failure(
        self, job: JobView | None, task: TaskId, view: TargetView, now_ms: int
    ) -> None:
        """Record a failed task; a target with failures of several jobs is avoided.

        Parameters
        ----------
        job : JobView or None
            Its job, None if that is not known.
        """
        if job is not None:
            job.task(task).failed_on[view.life.name] = now_ms
        view.failed_jobs.add(task.job)
        failures = len(view.failed_jobs)
        if failures >= AVOID_AFTER_FAILED_JOBS:
            view.avoided_until_ms = now_ms + AVOID_DURATION_MS
            log_event("target_avoided", target=view.life.name, failures=failures)

    def is_avoided(
        self, job: JobView, task: TaskId, view: TargetView, now_ms: int
    ) -> bool:
        """Return whether other targets are preferred for a task."""
        failed_on = job.task(task).failed_on
        return view.avoided_until_ms > now_ms or view.life.name in failed_on

    def is_deferred(
        self, job: JobView, task: TaskId, view: TargetView, now_ms: int
    ) -> bool:
        """Return whether a task waits for another target because this one is avoided.

        Tasks that few targets can run do not wait.
        """
        step = job.spec.steps[task.step]
        if step.is_lasting or step.is_gang:
            return False
        if step.required_label or step.max_per_target:
            return False
        if view.avoided_until_ms > now_ms and self._may_avoid(now_ms):
            return True
        failed_on = job.task(task).failed_on
        failed_ms = failed_on.get(view.life.name)
        if failed_ms is None or now_ms - failed_ms >= OTHER_TARGET_WAIT_MS:
            return False
        return any(life.name not in failed_on for life in self.free_capacity.keys)

    def _may_avoid(self, now_ms: int) -> bool:
        """Return whether the pool has enough targets besides the avoided ones."""
        if now_ms != self.counted_ms:
            self.counted_ms, self.count = now_ms, self.count_avoided(now_ms)
        return self.count <= len(self.free_capacity.keys) * MAX_AVOIDED_SHARE

    def count_avoided(self, now_ms: int) -> int:
        """Return how many of the targets that may get tasks are avoided."""
        return sum(
            view.avoided_until_ms > now_ms and view.is_schedulable()
            for view in self.targets.values()
        )
