"""Preemption in a pool: what its owner sees goes into decisions, and stops come out."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from itertools import chain

from cornelturn.events.log import log_event
from cornelturn.jobs.model import Resources
from cornelturn.preemption.decision import (
    NO_PREEMPTION,
    PreemptionSettings,
    Stop,
    UrgentStep,
    decide,
)
from cornelturn.preemption.room import PlacedRoom, TargetRoom
from cornelturn.preemption.run_ends import expected_end_ms, unsaved_time_ms
from cornelturn.preemption.stop_record import StopRecord
from cornelturn.preemption.urgent_steps import URGENT_PRIORITY, UrgentSteps
from cornelturn.scheduling.planner import Planner
from cornelturn.scheduling.state import PoolState, run_name
from cornelturn.scheduling.target_view import RunState, RunView, TargetView
from cornelturn.scheduling.views import JobView
from cornelturn.targets.model import TargetLife

CHECK_INTERVAL_MS = 100
"""Interval between decisions while urgent work waits."""

MAX_EXAMINED_RUNS = 500
"""Number of runs after which a decision examines no more targets, so that it does not
hold up the owner in a large pool."""


@dataclass(slots=True)
class PoolPreemption:
    """Stops runs for urgent steps that find no capacity.

    Parameters
    ----------
    checked_ms : int or None
        When the last decision was made, None while no urgent step waits.
    """

    state: PoolState
    planner: Planner
    settings: PreemptionSettings = NO_PREEMPTION
    urgent: UrgentSteps = field(init=False)
    stops: StopRecord = field(default_factory=StopRecord)
    checked_ms: int | None = None

    def __post_init__(self) -> None:
        self.urgent = UrgentSteps(self.state)

    def release_unused(self) -> None:
        """Release held targets whose steps no longer wait, before the next starts."""
        held = self.planner.reservations.held
        if held and not self.urgent.any_waits():
            held.clear()

    def plan(self, now_ms: int) -> None:
        """Order the stops that are due, after the starts of a plan."""
        if not self.settings.is_enabled or self.planner.is_cut:
            return
        if not self.urgent.update(now_ms):
            self.planner.reservations.held.clear()
            self.checked_ms = None
        elif self.checked_ms is None or now_ms - self.checked_ms >= CHECK_INTERVAL_MS:
            self.checked_ms = now_ms
            self._stop_runs(self.urgent.demands(now_ms), now_ms)

    def _stop_runs(self, steps: list[UrgentStep], now_ms: int) -> None:
        """Order the stops that make room for some steps."""
        self.stops.forget_ended(self.state.jobs, self.state.placed_runs, now_ms)
        capacity = Resources()
        for view in self.state.targets.values():
            if view.is_schedulable():
                capacity = capacity.plus(view.listed.capacity)
        limit = share_of(capacity, self.settings.share_per_s)
        budget = limit.minus(self.stops.recently_taken())
        examined = self._examined_lives({step.required_label for step in steps}, now_ms)
        targets = [
            self._target_room(view, now_ms)
            for life, view in self.state.targets.items()
            if life in examined
        ]
        reservations = self.planner.reservations
        decided = decide(targets, steps, budget, limit, reservations.held)
        reservations.held = decided.held
        for stop in decided.stops:
            self._stop(stop, now_ms)

    def _examined_lives(self, labels: set[str], now_ms: int) -> set[TargetLife]:
        """Return the targets to examine, for each label that a step may require.

        Held targets come first, then those with the most free processors.
        """
        counts = dict.fromkeys(labels, 0)
        examined: set[TargetLife] = set()
        held = self.planner.reservations.held
        emptiest = (item.life for item in self.state.free_capacity.emptiest_first())
        for life in chain(held, emptiest):
            view = self.state.targets.get(life)
            if view is None or life in examined or not self._is_usable(view, now_ms):
                continue
            for label in labels:
                has_label = not label or label in view.listed.labels
                if has_label and counts[label] < MAX_EXAMINED_RUNS:
                    counts[label] += max(1, len(view.runs))
                    examined.add(life)
            if min(counts.values()) >= MAX_EXAMINED_RUNS:
                break
        return examined

    def _is_usable(self, view: TargetView, now_ms: int) -> bool:
        """Return whether urgent work would start on a target if it had room."""
        is_open = view.is_schedulable() and view.declining_until_ms <= now_ms
        return is_open and not self.state.speeds.is_slow(view.life)

    def _target_room(self, view: TargetView, now_ms: int) -> TargetRoom:
        reservations = self.planner.reservations
        reservation = reservations.by_target.get(view.life)
        is_free = reservation is None or view.life in reservations.held
        return TargetRoom(
            view.life,
            view.listed.labels,
            view.free(),
            tuple(
                self._placed_room(view, run_view, now_ms)
                for run_view in view.runs.values()
            ),
            None if is_free else reservation.step,
        )

    def _placed_room(
        self, view: TargetView, run_view: RunView, now_ms: int
    ) -> PlacedRoom:
        run = run_view.run
        end_ms, loss = math.inf, None
        job = self.state.jobs.get(run.task.job)
        if run_view.state is RunState.STOPPING:
            if self.stops.ends_in_time(run, now_ms):
                end_ms = now_ms
        elif job is not None and not run_view.is_lasting:
            end_ms = expected_end_ms(job, run_view, now_ms)
            unsaved_ms = unsaved_time_ms(job, run_view, now_ms)
            if unsaved_ms <= self.settings.max_unsaved_ms and self._may_stop(
                job, run_view
            ):
                loss = run_view.need.cpu * unsaved_ms
        return PlacedRoom(run, run_view.need, end_ms, loss)

    def _may_stop(self, job: JobView, run_view: RunView) -> bool:
        """Return whether a batch run may be stopped for urgent work.

        A filling run takes no counted processors, and copies yield to waiting work.
        """
        task, step = run_view.run.task, job.spec.steps[run_view.run.task.step]
        return (
            run_view.state is RunState.ACTIVE
            and job.queue is not None
            and job.priority() > URGENT_PRIORITY
            and not step.is_gang
            and not step.is_filling
            and len(job.task(task).placements) == 1
            and self.stops.may_stop(task)
        )

    def _stop(self, stop: Stop, now_ms: int) -> None:
        run, need, loss = stop.placed.run, stop.placed.need, stop.placed.loss
        view = self.state.targets[stop.life]
        run_view = view.runs[run]
        log_event(
            "run_preempted",
            run=run_name(run),
            pool=self.state.pool,
            target=view.life.name,
            step=str(stop.step.step_id),
            waited_ms=self.urgent.waited_ms(stop.step.step_id, now_ms),
            lost_core_ms=round(loss / 1_000),
            is_saved=run_view.saved_ms is not None,
        )
        metrics = self.state.metrics.preemption
        metrics.runs.labels(self.state.pool).inc()
        metrics.lost_core_seconds.labels(self.state.pool).inc(loss / 1_000_000)
        self.stops.note(run, need, now_ms)
        self.state.stop_run(view, run_view, "preempted")


def share_of(capacity: Resources, share: float) -> Resources:
    """Return a share of the capacity of a pool."""
    return Resources(
        int(capacity.cpu * share),
        int(capacity.mem_mb * share),
        int(capacity.gpu * share),
    )
