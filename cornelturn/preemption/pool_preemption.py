"""Preemption in a pool: what its owner sees goes into decisions, and stops come out."""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import chain, islice, takewhile

from cornelturn.events.log import log_event
from cornelturn.jobs.model import Resources, Run, StepId, TaskId
from cornelturn.preemption.decision import (
    NO_PREEMPTION,
    PreemptionSettings,
    Stop,
    UrgentStep,
    decide,
)
from cornelturn.preemption.room import PlacedRoom, TargetRoom
from cornelturn.scheduling.planner import Planner
from cornelturn.scheduling.reservations import has_failed
from cornelturn.scheduling.start_keys import StartKey
from cornelturn.scheduling.state import PoolState, run_name
from cornelturn.scheduling.target_view import RunState, RunView, TargetView
from cornelturn.scheduling.views import JobView
from cornelturn.speed.estimates import PROGRESS_AGE_MS
from cornelturn.targets.model import TargetLife

URGENT_PRIORITY = 0
"""Priority of the queues whose work may have others stopped."""

START_WITHIN_MS = 2_100
"""Time within which urgent work should start."""

MIN_WAIT_MS = 100
"""Time that a step waits before runs are stopped for it. With 300, more was lost: what
is stopped later has worked for longer."""

STOP_MS = 400
"""Time that a stop takes: 200 ms on the target, and the order and the report. Work that
ends sooner is not stopped."""

STOP_TIMEOUT_MS = 1_000
"""Time after which a stop without an end no longer counts as room that comes in time.
Its capacity stays taken until the end is known."""

CHECK_INTERVAL_MS = 100
"""Interval between decisions while urgent work waits."""

MAX_STEPS = 64
"""Number of first urgent steps that a decision considers. With 8, those after them were
not seen waiting while others came before them."""

MAX_EXAMINED_RUNS = 500
"""Number of runs after which a decision examines no more targets. With all 2,456 runs
of 307 targets it took up to 166 ms, more than a turn of the loop may take."""

MAX_STOPS_PER_TASK = 2
"""Number of stops after which a task is left alone, so that it is done at last: a task
that has just begun again loses least."""

RESTORE_MS = 250
"""Longest time that a run needs to resume from a checkpoint."""

MIN_RATED_PERCENT = 10
"""Progress from which the end of a run is expected by its rate; before, half a second
of age of the progress says more than the rate."""


@dataclass(slots=True)
class PoolPreemption:
    """Stops runs for urgent steps that find no capacity.

    Parameters
    ----------
    waiting_since : dict
        When each urgent step was first seen waiting.
    stopped_ms : dict
        When each run was stopped, or first seen stopping, that still takes capacity.
    recent : deque
        Times and needs of the stops in the last second.
    stops : Counter
        Number of stops of each task.
    """

    state: PoolState
    planner: Planner
    settings: PreemptionSettings = NO_PREEMPTION
    waiting_since: dict[StepId, int] = field(default_factory=dict)
    stopped_ms: dict[Run, int] = field(default_factory=dict)
    recent: deque[tuple[int, Resources]] = field(default_factory=deque)
    stops: Counter[TaskId] = field(default_factory=Counter)
    checked_ms: int | None = None

    def release_unused(self) -> None:
        """Release held targets whose steps no longer wait, before the next starts."""
        held = self.planner.reservations.held
        if held and not any(map(self._is_waiting, self.waiting_since)):
            held.clear()

    def _is_waiting(self, step_id: StepId) -> bool:
        job = self.state.jobs.get(step_id.job)
        is_open = job is not None and not job.is_final()
        return is_open and step_id in job.waiting_tasks

    def plan(self, now_ms: int) -> None:
        """Order the stops that are due, after the starts of a plan."""
        if not self.settings.is_enabled or self.planner.is_cut:
            return
        waiting = list(islice(self._waiting_keys(), MAX_STEPS))
        if not waiting or not self._has_other_work():
            self.waiting_since.clear()
            self.planner.reservations.held.clear()
            self.checked_ms = None
            return
        steps = {key.step_id() for key in waiting}
        self.waiting_since = {
            step_id: self.waiting_since.get(step_id, now_ms) for step_id in steps
        }
        if self.checked_ms is None or now_ms - self.checked_ms >= CHECK_INTERVAL_MS:
            self.checked_ms = now_ms
            self._stop_runs([self._urgent_step(key, now_ms) for key in waiting], now_ms)

    def _waiting_keys(self) -> Iterator[StartKey]:
        """Return the urgent steps for which room may be made, in start order."""
        waiting_steps = self.state.waiting_steps
        tried = filter(is_urgent, waiting_steps.tried_keys())
        untried = takewhile(is_urgent, waiting_steps.in_order())
        seen: set[StepId] = set()
        for key in chain(tried, untried):
            step_id = key.step_id()
            if step_id not in seen and self._may_need(step_id):
                seen.add(step_id)
                yield key

    def _may_need(self, step_id: StepId) -> bool:
        """Return whether a step waits for capacity, and would use it."""
        if not self._is_waiting(step_id):
            return False
        job = self.state.jobs[step_id.job]
        step = job.spec.steps[step_id.step]
        if step.is_filling or job.needs_approval() or has_failed(job, step_id):
            return False
        return self.state.quota.admits(job.spec.organisation, step.start_need())

    def _has_other_work(self) -> bool:
        """Return whether any work has a lower priority."""
        return any(job.priority() > URGENT_PRIORITY for job in self.state.jobs.values())

    def _urgent_step(self, key: StartKey, now_ms: int) -> UrgentStep:
        job, step_id = self.state.jobs[key.job], key.step_id()
        step, since_ms = job.spec.steps[key.step], self.waiting_since[step_id]
        placed: Counter = Counter()
        if step.max_per_target:
            for run, life in self.state.placed_runs.get(key.job, ()):
                placed[life] += run.task.step_id() == step_id
        return UrgentStep(
            step_id,
            step.counted_need(),
            step.count if step.is_gang else len(job.waiting_tasks[step_id]),
            max(since_ms + START_WITHIN_MS, now_ms + STOP_MS),
            now_ms - since_ms >= MIN_WAIT_MS,
            step.is_gang,
            step.required_label,
            step.max_per_target,
            placed,
        )

    def _stop_runs(self, steps: list[UrgentStep], now_ms: int) -> None:
        """Order the stops that make room for some steps."""
        self._forget_ended(now_ms)
        capacity = Resources()
        for view in self.state.targets.values():
            if view.is_schedulable():
                capacity = capacity.plus(view.listed.capacity)
        limit = share_of(capacity, self.settings.share_per_s)
        budget = limit
        for _, need in self.recent:
            budget = budget.minus(need)
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

    def _forget_ended(self, now_ms: int) -> None:
        """Forget stops of the time before, runs that have ended, and ended jobs."""
        while self.recent and now_ms - self.recent[0][0] >= 1_000:
            self.recent.popleft()
        for run in list(self.stopped_ms):
            placed = self.state.placed_runs.get(run.task.job, ())
            if all(run != other for other, _ in placed):
                del self.stopped_ms[run]
        for task in list(self.stops):
            if task.job not in self.state.jobs:
                del self.stops[task]

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
            # Stops of another cause count from the first decision that sees them.
            if now_ms - self.stopped_ms.setdefault(run, now_ms) < STOP_TIMEOUT_MS:
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
            and self.stops[task] < MAX_STOPS_PER_TASK
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
            waited_ms=now_ms - self.waiting_since[stop.step.step_id],
            lost_core_ms=round(loss / 1_000),
            is_saved=run_view.saved_ms is not None,
        )
        metrics = self.state.metrics.preemption
        metrics.runs.labels(self.state.pool).inc()
        metrics.lost_core_seconds.labels(self.state.pool).inc(loss / 1_000_000)
        self.recent.append((now_ms, need))
        self.stopped_ms[run] = now_ms
        self.stops[run.task] += 1
        self.state.stop_run(view, run_view, "preempted")


def is_urgent(key: StartKey) -> bool:
    """Return whether other work may be stopped for a step."""
    return key.priority == URGENT_PRIORITY


def share_of(capacity: Resources, share: float) -> Resources:
    """Return a share of the capacity of a pool."""
    return Resources(
        int(capacity.cpu * share),
        int(capacity.mem_mb * share),
        int(capacity.gpu * share),
    )


def expected_end_ms(job: JobView, run_view: RunView, now_ms: int) -> float:
    """Return when a batch run is expected to end, infinite if that is not known.

    That is by its rate, and by the declared run time while its rate says little. A run
    that takes longer than declared may end at any time.
    """
    rate_ms = run_view.progress.ms_per_percent()
    if rate_ms is not None and run_view.percent >= MIN_RATED_PERCENT:
        return now_ms + max(0, (100 - run_view.percent) * rate_ms - PROGRESS_AGE_MS)
    declared_ms = job.step_run_ms[run_view.run.task.step]
    if run_view.is_adopted or declared_ms <= now_ms - run_view.started_ms:
        return math.inf
    return run_view.started_ms + declared_ms


def unsaved_time_ms(job: JobView, run_view: RunView, now_ms: int) -> float:
    """Return for how long a run has worked in vain if it is stopped now.

    The time to resume is included. A checkpoint in a report is half a second old; how
    long the run of an earlier owner has worked without one is not known.
    """
    step = job.spec.steps[run_view.run.task.step]
    if step.is_checkpointing and run_view.saved_ms is not None:
        return now_ms - run_view.saved_ms + PROGRESS_AGE_MS + RESTORE_MS
    if run_view.is_adopted:
        return math.inf
    resume_ms = RESTORE_MS if run_view.resumed_from else 0
    return now_ms - run_view.started_ms + resume_ms
