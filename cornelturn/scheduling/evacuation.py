"""Which runs move: those on leaving targets, and those that make no progress."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from cornelturn.jobs.model import Run, StepId
from cornelturn.scheduling.state import PoolState
from cornelturn.scheduling.views import Contact, JobView, RunState, RunView, TargetView
from cornelturn.targets.model import TargetLife

STALL_MS = 1_500
"""Time without progress after which a batch run is taken for stuck."""


LOOK_INTERVAL_MS = 50
"""Interval at which targets that are leaving are looked at again; a small part of the
time that a task takes to come back elsewhere."""


@dataclass(slots=True)
class Evacuation:
    """Stops runs so that they go on elsewhere.

    Parameters
    ----------
    leaving : frozenset of TargetLife
        Targets that were leaving when they were last looked at.
    away : dict
        Tasks of lasting steps that are not at work, as counted during a look.
    """

    state: PoolState
    leaving: frozenset[TargetLife] = frozenset()
    looked_ms: int = 0
    away: dict[StepId, int] = field(default_factory=dict)

    def plan(self, now_ms: int) -> None:
        """Order the stops that are due."""
        self._evacuate(now_ms)
        self._stop_stalled(now_ms)

    def _evacuate(self, now_ms: int) -> None:
        """Move the tasks of leaving targets, within what their steps allow."""
        leaving = frozenset(view.life for view in self._leaving())
        is_known = leaving <= self.leaving
        if is_known and now_ms - self.looked_ms < LOOK_INTERVAL_MS:
            return
        self.leaving, self.looked_ms = leaving, now_ms
        self.away.clear()
        for view in self._leaving():
            for known in list(view.runs.values()):
                if known.state is RunState.ACTIVE and self._may_move(view, known):
                    self.state.stop(view, known, "evacuated")
                    self.away.pop(known.run.task.step_id(), None)

    def _leaving(self) -> Iterator[TargetView]:
        """Yield the targets that are to be emptied."""
        for view in self.state.targets.values():
            if view.is_cordoned or view.listed.is_draining:
                yield view

    def _may_move(self, view: TargetView, known: RunView) -> bool:
        job = self.state.jobs.get(known.run.task.job)
        if job is None:
            return True
        step = job.spec.steps[known.run.task.step]
        if step.is_lasting and view.listed.is_draining:
            return True
        if step.is_lasting:
            return self._away(job, known.run.task.step_id()) < max(
                1, step.max_unavailable
            )
        return step.is_checkpointing and not step.is_gang

    def _away(self, job: JobView, step_id: StepId) -> int:
        """Return how many tasks of a lasting step are not at work."""
        if step_id not in self.away:
            self.away[step_id] = self._count_away(job, step_id)
        return self.away[step_id]

    def _count_away(self, job: JobView, step_id: StepId) -> int:
        count = job.spec.steps[step_id.step].count
        at_work = 0
        for index in range(count):
            task = step_id.task(index)
            at_work += any(
                self._is_at_work(run, life)
                for run, life in job.task(task).places.items()
            )
        return count - at_work

    def _is_at_work(self, run: Run, life: TargetLife) -> bool:
        view = self.state.targets.get(life)
        known = view.runs.get(run) if view is not None else None
        if known is None or view.contact is not Contact.REACHABLE:
            return False
        return known.state is RunState.ACTIVE and known.percent >= 100

    def _stop_stalled(self, now_ms: int) -> None:
        """Move batch runs that make no progress while their target answers.

        Only a report can show that: targets without a new one are passed over.
        """
        reported, self.state.reported = self.state.reported, {}
        for life in reported:
            view = self.state.targets.get(life)
            if view is None or view.contact is not Contact.REACHABLE:
                continue
            for known in view.runs.values():
                if self._is_stalled(view, known):
                    self._stop_one(view, known, now_ms)

    def _is_stalled(self, view: TargetView, known: RunView) -> bool:
        """Return whether a run that may move has made no progress for long."""
        if known.state is not RunState.ACTIVE or known.moved_ms is None:
            return False
        if view.clock_ms - known.moved_ms < STALL_MS:
            return False
        job = self.state.jobs.get(known.run.task.job)
        if job is None:
            return False
        step = job.spec.steps[known.run.task.step]
        return not step.is_lasting and not step.is_gang

    def _stop_one(self, view: TargetView, known: RunView, now_ms: int) -> None:
        self.state.note_failure(view, known.run.task, now_ms)
        self.state.stop(view, known, "stalled")
