"""Stops runs whose tasks should restart on other targets.

These are runs on targets that are cordoned or draining, and batch runs that make no
progress although their target answers.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from cornelturn.events.log import log_event
from cornelturn.jobs.model import Run, StepId
from cornelturn.scheduling.run_progress import STALL_TIMEOUT_MS
from cornelturn.scheduling.state import PoolState, run_name
from cornelturn.scheduling.target_view import Contact, RunState, RunView, TargetView
from cornelturn.scheduling.views import JobView
from cornelturn.targets.model import TargetLife

EVACUATION_CHECK_INTERVAL_MS = 50
"""Interval between checks of the same evacuating targets; short compared with the time
that a task takes to restart elsewhere."""


@dataclass(slots=True)
class Evacuation:
    """Stops runs so that their tasks restart on other targets.

    Parameters
    ----------
    evacuating : frozenset of TargetLife
        Targets that were cordoned or draining at the last check.
    unavailable : dict
        Number of unavailable tasks of each lasting step, counted during a check.
    """

    state: PoolState
    evacuating: frozenset[TargetLife] = frozenset()
    checked_ms: int = 0
    unavailable: dict[StepId, int] = field(default_factory=dict)

    def plan(self, now_ms: int) -> None:
        """Order the stops that are due."""
        self._evacuate(now_ms)
        self._stop_stalled(now_ms)

    def _evacuate(self, now_ms: int) -> None:
        """Stop runs on evacuating targets, within the limits of their steps."""
        evacuating = frozenset(view.life for view in self._evacuating_views())
        is_recheck = evacuating <= self.evacuating
        if is_recheck and now_ms - self.checked_ms < EVACUATION_CHECK_INTERVAL_MS:
            return
        self.evacuating, self.checked_ms = evacuating, now_ms
        self.unavailable.clear()
        for view in self._evacuating_views():
            for run_view in list(view.runs.values()):
                if run_view.state is RunState.ACTIVE and self._may_move(view, run_view):
                    self.state.stop_run(view, run_view, "evacuated")
                    self.unavailable.pop(run_view.run.task.step_id(), None)

    def _evacuating_views(self) -> Iterator[TargetView]:
        """Yield the targets that are cordoned or draining."""
        for view in self.state.targets.values():
            if view.is_cordoned or view.listed.is_draining:
                yield view

    def _may_move(self, view: TargetView, run_view: RunView) -> bool:
        job = self.state.jobs.get(run_view.run.task.job)
        if job is None:
            # Nothing is known yet about the limits of an unread job.
            return not self.state.may_be_unread(run_view.run.task.job)
        step = job.spec.steps[run_view.run.task.step]
        if step.is_lasting and view.listed.is_draining:
            return True
        if step.is_lasting:
            return self._unavailable_tasks(job, run_view.run.task.step_id()) < max(
                1, step.max_unavailable
            )
        return step.is_checkpointing and not step.is_gang

    def _unavailable_tasks(self, job: JobView, step_id: StepId) -> int:
        """Return how many tasks of a lasting step are unavailable."""
        if step_id not in self.unavailable:
            self.unavailable[step_id] = self._count_unavailable(job, step_id)
        return self.unavailable[step_id]

    def _count_unavailable(self, job: JobView, step_id: StepId) -> int:
        count = job.spec.steps[step_id.step].count
        available = 0
        for index in range(count):
            task = step_id.task(index)
            available += any(
                self._is_available(run, life)
                for run, life in job.placements(task).items()
            )
        return count - available

    def _is_available(self, run: Run, life: TargetLife) -> bool:
        view = self.state.targets.get(life)
        run_view = view.runs.get(run) if view is not None else None
        if run_view is None or view.contact is not Contact.REACHABLE:
            return False
        return run_view.state is RunState.ACTIVE and run_view.percent >= 100

    def _stop_stalled(self, now_ms: int) -> None:
        """Stop batch runs that make no progress while their target answers.

        Only a report can show that, so targets without a new report are skipped.
        """
        reported, self.state.reported_targets = self.state.reported_targets, {}
        for life in reported:
            view = self.state.targets.get(life)
            if view is None or view.contact is not Contact.REACHABLE:
                continue
            for run_view in view.runs.values():
                if self._is_stalled(view, run_view):
                    self._stop_stalled_run(view, run_view, now_ms)

    def _is_stalled(self, view: TargetView, run_view: RunView) -> bool:
        """Return whether a batch run outside a gang makes no progress for too long.

        That is judged by the rate of the run, or by its declared run time until its
        rate is known.
        """
        unchanged_ms = run_view.progress.unchanged_ms(view.clock_ms)
        if view.is_partly_listed or unchanged_ms is None:
            return False
        if run_view.state is not RunState.ACTIVE or unchanged_ms < STALL_TIMEOUT_MS:
            return False
        job = self.state.jobs.get(run_view.run.task.job)
        if job is None:
            return False
        step = job.spec.steps[run_view.run.task.step]
        if step.is_lasting or step.is_gang:
            return False
        stalled_ms = job.task(run_view.run.task).stalled_ms
        return unchanged_ms >= run_view.progress.stall_timeout_ms(
            step.estimated_ms, stalled_ms
        )

    def _stop_stalled_run(
        self, view: TargetView, run_view: RunView, now_ms: int
    ) -> None:
        task, progress = run_view.run.task, run_view.progress
        unchanged_ms = progress.unchanged_ms(view.clock_ms)
        job = self.state.jobs[task.job]
        task_view = job.task(task)
        task_view.stalled_ms = max(task_view.stalled_ms, unchanged_ms)
        rate_ms = progress.ms_per_percent()
        log_event(
            "run_stalled",
            run=run_name(run_view.run),
            target=view.life.name,
            percent=run_view.percent,
            unchanged_ms=unchanged_ms,
            percent_ms=round(rate_ms) if rate_ms is not None else None,
        )
        self.state.avoidance.record_failure(job, task, view, now_ms)
        self.state.stop_run(view, run_view, "stalled")
