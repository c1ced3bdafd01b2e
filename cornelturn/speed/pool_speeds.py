"""Speeds of the targets of a pool, as its owner learns and uses them."""

from __future__ import annotations

from dataclasses import dataclass, field

from cornelturn.events.log import log_event
from cornelturn.jobs.model import EndKind, RunEnd, Step
from cornelturn.scheduling.run_numbers import is_of_earlier_owner
from cornelturn.scheduling.target_view import RunState, RunView, TargetView
from cornelturn.scheduling.views import JobView
from cornelturn.speed.estimates import FULL_SPEED, SpeedEstimates
from cornelturn.speed.metrics import SpeedMetrics
from cornelturn.speed.observations import CompletedRun, RunningRun
from cornelturn.speed.slow_placement import (
    MAX_PASSED_OVER,
    MAX_SLOW_SHARE,
    SlowPlacement,
    WaitingWork,
)
from cornelturn.targets.model import TargetLife


@dataclass(slots=True)
class PoolSpeeds:
    """Takes runs from reports, and decides how the planner uses slow targets.

    Parameters
    ----------
    is_enabled : bool
        Whether runs are observed; without that, all targets have full speed.
    may_wait : bool
        Whether few enough targets are slow that work may leave them idle.
    work, work_key : WaitingWork or None, tuple
        The task that was last asked about, as it is asked about for several targets.
    waits_below, starts_above : float
        Highest speed at which this task is known to wait for a faster target, and
        lowest at which it is known to start.
    """

    pool: str
    generation: int
    metrics: SpeedMetrics
    estimates: SpeedEstimates = field(default_factory=SpeedEstimates)
    placement: SlowPlacement = field(default_factory=SlowPlacement)
    is_enabled: bool = True
    may_wait: bool = True
    work: WaitingWork | None = None
    work_key: tuple[str, int, int] | None = None
    waits_below: float = 0.0
    starts_above: float = FULL_SPEED

    def note_end(
        self, view: TargetView, job: JobView, end: RunEnd, now_ms: int
    ) -> None:
        """Compare a run that has ended, if the time that it took is known."""
        run_view = view.runs.get(end.run)
        if not self.is_enabled or run_view is None:
            return
        if view.life not in self.estimates.slow:
            self.placement.releases.add(run_view.need.cpu, now_ms)
        step = job.spec.steps[end.run.task.step]
        is_whole = not run_view.resumed_from and not run_view.is_in_doubt
        is_own = not is_of_earlier_owner(end.run.number, self.generation)
        if end.kind is not EndKind.DONE or not (is_whole and is_own):
            return
        if is_comparable(step, view):
            took_ms = now_ms - run_view.started_ms
            completed = CompletedRun(
                end.run, view.life, took_ms, step.image, step.estimated_ms
            )
            self.estimates.observe(completed, now_ms)
            self._log_changes()

    def note_progress(
        self,
        view: TargetView,
        run_view: RunView,
        job: JobView | None,
        running_ms: int,
        now_ms: int,
    ) -> None:
        """Compare the progress of a run in a report.

        Parameters
        ----------
        running_ms : int
            For how long the run may have run from its beginning; 0 if not known.
        """
        if not self.is_enabled or job is None:
            return
        if run_view.state is not RunState.ACTIVE:
            return
        run = run_view.run
        if not is_comparable(job.spec.steps[run.task.step], view):
            return
        window = run_view.progress.window
        gain = window.note(run_view.percent, view.clock_ms, running_ms)
        if gain is not None:
            running = RunningRun(run, view.life, gain.percent, gain.elapsed_ms)
            self.estimates.observe(running, now_ms)
            self._log_changes()

    def begin_plan(self, target_count: int, now_ms: int) -> None:
        """Prepare the decisions of a plan.

        Parameters
        ----------
        target_count : int
            Number of targets that may get tasks.
        """
        if not self.estimates.slow:
            return
        self.estimates.decay(now_ms)
        self._log_changes()
        self.placement.ahead_cpu = self.placement.passed_over = 0
        self.work_key = None
        self.may_wait = len(self.estimates.slow) <= target_count * MAX_SLOW_SHARE

    def has_slow_targets(self) -> bool:
        """Return whether any target counts as slow."""
        return bool(self.estimates.slow)

    def is_slow(self, target: TargetLife) -> bool:
        """Return whether targets at full speed are preferred to a target."""
        return target in self.estimates.slow

    def must_wait(
        self, job: JobView, step_number: int, target: TargetLife, now_ms: int
    ) -> bool:
        """Return whether a task waits for a faster target than a slow one.

        Tasks that few targets can run, and gangs, which need many at a time, do not.
        """
        speed = self.estimates.speed(target)
        if speed == FULL_SPEED or not self.may_wait:
            return False
        key = job.spec.id, step_number, now_ms
        if key != self.work_key:
            self.work_key, self.work = key, _waiting_work(job, step_number, now_ms)
            self.waits_below, self.starts_above = 0.0, FULL_SPEED
        if self.work is None or speed >= self.starts_above:
            return False
        if speed > self.waits_below:
            # The slower the target, the later the work and the better to wait.
            if not self.placement.must_wait(self.work, speed, now_ms):
                self.starts_above = speed
                return False
            self.waits_below = speed
        return True

    def note_passed_over(self) -> None:
        """Count a search after which a task waits for a faster target."""
        self.placement.passed_over += 1

    def may_try_next(self) -> bool:
        """Return whether another step may be tried after one that waits.

        Each one costs a search, and rarely more than a few are needed.
        """
        return self.placement.passed_over <= MAX_PASSED_OVER

    def note_no_room(self, job: JobView, step_number: int, tasks: int) -> None:
        """Record that tasks wait for room, before the later ones of the plan."""
        if self.estimates.slow:
            need = job.spec.steps[step_number].counted_need()
            self.placement.ahead_cpu += need.cpu * tasks

    def speed_percent(self, target: TargetLife) -> int:
        """Return the speed of a target in whole percent."""
        return round(100 * self.estimates.speed(target))

    def forget(self, target: TargetLife) -> None:
        """Forget a target that has gone."""
        self.estimates.forget(target)

    def _log_changes(self) -> None:
        changes = self.estimates.take_changes()
        for change in changes:
            log_event(
                "target_speed",
                pool=self.pool,
                target=change.target.name,
                percent=round(100 * change.speed),
                cause=change.cause,
            )
        if changes:
            gauge = self.metrics.slow_targets.labels(self.pool)
            gauge.set(len(self.estimates.slow))


def _waiting_work(job: JobView, step_number: int, now_ms: int) -> WaitingWork | None:
    """Return what decides whether a task waits, None if it never does."""
    step = job.spec.steps[step_number]
    if step.is_lasting or step.is_gang or step.required_label or step.max_per_target:
        return None
    return WaitingWork(
        step.counted_need().cpu,
        job.step_run_ms[step_number],
        job.forecast(now_ms).until_ms,
    )


def is_comparable(step: Step, view: TargetView) -> bool:
    """Return whether the speed of a run of a step shows that of its target.

    Members of a gang wait for each other, filling tasks use what others leave, lasting
    tasks have no end, and tasks away from their data are slower on any target.
    """
    if step.is_lasting or step.is_gang or step.is_filling or step.is_one_rack:
        return False
    return not step.near_rack or step.near_rack in view.listed.labels
