"""Speeds of targets, estimated from the runs that they complete or work on.

A run is compared with runs of the same step on other targets. Where there are too few
of them, it is compared by its declared run time with runs of the same image. Health
answers are not used, as they are unreliable.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass, field
from typing import NamedTuple

from cornelturn.jobs.model import StepId
from cornelturn.speed.observations import CompletedRun, Observation, RunningRun
from cornelturn.speed.run_times import RunTimeGroups
from cornelturn.targets.model import TargetLife

FULL_SPEED = 1.0
"""Speed of a target that is as fast as the others."""

SLOW_BELOW = 0.75
"""Speed below which a target counts as slow. Halfway between the speeds of interest, 1
and a half; the times of a 1 s task vary by up to a fifth with the delay of reports."""

LOWEST_SPEED = 0.01
"""Lowest estimate. Times are divided by it, and a run that ends in the same millisecond
as its order, or whose progress falls, would give 0 or less."""

MIN_DELAY_MS = 200
"""Time by which a run must exceed others to count as slow. Reports of ends are up to
150 ms late, which must not make a target of short tasks slow."""

PROGRESS_AGE_MS = 500
"""Highest age of the progress in a report."""

MIN_STEP_TIMES = 2
"""Runs of the same step on other targets that a comparison needs."""

MIN_IMAGE_TIMES = 4
"""Runs of the same image on other targets that a comparison needs. Declared run times
are often off by half, so that a run must also be slower than all of these."""

MIN_RUNS = 2
"""Runs that must be slow before a target counts as slow."""

RECENT_RUNS = 4
"""Last runs of a target that decide on its speed; with more, one that is fast again
would count as slow for longer than its disturbance lasted."""

EVIDENCE_AGE_MS = 4_000
"""Age up to which a run says something about its target; disturbances last seconds."""

HALF_LIFE_MS = 2_000
"""Time in which a deviation from full speed halves while no run confirms it."""

MAX_HALF_LIFE_MS = 16_000
"""Longest half-life. It doubles when a target is found slow again after its estimate
decayed, since each trial of a target that stays slow makes some tasks late."""

RELAPSE_MS = 10_000
"""Time after the decay in which a target that is found slow counts as still slow."""

MIN_GAIN_PERCENT = 5
"""Progress from which the run time of an unfinished run is extrapolated."""

MIN_EXTRAPOLATED_MS = 2_000
"""Time from which it is extrapolated; the age of the progress then changes the result
by a quarter at most."""


class Evidence(NamedTuple):
    """Speed of a target by one of its runs."""

    speed: float
    at_ms: int


class Decay(NamedTuple):
    """When an estimate had decayed, and its half-life."""

    half_life_ms: int
    at_ms: int


@dataclass(frozen=True, slots=True)
class SpeedChange:
    """A target that has become slow, or has full speed again.

    Parameters
    ----------
    cause : str
        ``runs`` if its runs show it, ``decay`` if no run has confirmed the estimate.
    """

    target: TargetLife
    speed: float
    cause: str


@dataclass(slots=True)
class SlowTarget:
    """Estimate of a slow target.

    Parameters
    ----------
    shown : float
        Speed that its runs last showed.
    speed : float
        Estimate, between the shown and the full speed.
    confirmed_ms : int
        When its runs last showed that it is slow.
    half_life_ms : int
        Time in which the deviation halves from then on.
    """

    shown: float
    speed: float
    confirmed_ms: int
    half_life_ms: int


@dataclass(slots=True)
class SpeedEstimates:
    """Speeds of the targets of a pool, exactly 1 for all that are not slow.

    Parameters
    ----------
    slow : dict
        Estimates of the slow targets; the others have full speed.
    evidence : dict
        Last comparisons of the runs of each target.
    decays : dict
        Last decay of the estimate of each target that was slow.
    changes : list of SpeedChange
        Changes since the last call of `take_changes`.
    """

    slow: dict[TargetLife, SlowTarget] = field(default_factory=dict)
    evidence: dict[TargetLife, OrderedDict[Hashable, Evidence]] = field(
        default_factory=dict
    )
    decays: dict[TargetLife, Decay] = field(default_factory=dict)
    step_times: RunTimeGroups = field(default_factory=RunTimeGroups)
    image_times: RunTimeGroups = field(default_factory=RunTimeGroups)
    changes: list[SpeedChange] = field(default_factory=list)

    def speed(self, target: TargetLife) -> float:
        """Return the speed of a target relative to the others, at most 1."""
        estimate = self.slow.get(target)
        return estimate.speed if estimate is not None else FULL_SPEED

    def usual_ms(self, step: StepId, target: TargetLife) -> float | None:
        """Return the usual time of a step on other targets, None if not known."""
        return self.step_times.group(step).upper_quartile(target, MIN_STEP_TIMES)

    def take_changes(self) -> list[SpeedChange]:
        """Return the changes since the last call."""
        changes, self.changes = self.changes, []
        return changes

    def forget(self, target: TargetLife) -> None:
        """Forget a target that has gone."""
        self.slow.pop(target, None)
        self.evidence.pop(target, None)
        self.decays.pop(target, None)

    def observe(self, observation: Observation, now_ms: int) -> None:
        """Compare a run with others, and add it to those for later comparisons."""
        match observation:
            case CompletedRun():
                self._observe_completed(observation, now_ms)
            case RunningRun():
                self._observe_running(observation, now_ms)

    def _observe_completed(self, done: CompletedRun, now_ms: int) -> None:
        target, step = done.target, done.run.task.step_id()
        usual_ms = self.usual_ms(step, target)
        if usual_ms is not None:
            speed = _relative_speed(usual_ms, done.took_ms)
            self._add_evidence(target, done.run, speed, now_ms)
        elif done.image and done.declared_ms:
            self._compare_by_image(done, now_ms)
        if target in self.slow:
            return
        self.step_times.group(step).add(done.run, target, done.took_ms)
        if done.image and done.declared_ms:
            relative = done.took_ms / done.declared_ms
            self.image_times.group(done.image).add((step, target), target, relative)

    def _compare_by_image(self, done: CompletedRun, now_ms: int) -> None:
        """Compare a run by its declared time, which is the same for all of its step.

        The runs of a step therefore count as one.
        """
        times = self.image_times.group(done.image)
        quartile = times.upper_quartile(done.target, MIN_IMAGE_TIMES)
        longest = times.longest(done.target, MIN_IMAGE_TIMES)
        if quartile is None or longest is None:
            return
        step = done.run.task.step_id()
        if done.took_ms <= quartile * done.declared_ms:
            self._add_evidence(done.target, step, FULL_SPEED, now_ms)
            return
        speed = _relative_speed(longest * done.declared_ms, done.took_ms)
        if speed < SLOW_BELOW:
            self._add_evidence(done.target, step, speed, now_ms)

    def _observe_running(self, running: RunningRun, now_ms: int) -> None:
        """Compare what a run has gained with bounds that hold for any age of it."""
        target, run = running.target, running.run
        gained, elapsed_ms = running.gained, running.elapsed_ms
        if elapsed_ms <= PROGRESS_AGE_MS:
            return
        usual_ms = self.usual_ms(run.task.step_id(), target)
        if usual_ms is not None:
            # Progress is rounded to a whole percent and may be old.
            highest = ((gained + 1) / 100 * usual_ms + PROGRESS_AGE_MS) / elapsed_ms
            lowest = ((gained - 1) / 100 * usual_ms - PROGRESS_AGE_MS) / elapsed_ms
            if highest < SLOW_BELOW:
                self._add_evidence(target, run, highest, now_ms)
            elif lowest >= SLOW_BELOW:
                self._add_evidence(target, run, FULL_SPEED, now_ms)
        may_extrapolate = (
            gained >= MIN_GAIN_PERCENT and elapsed_ms >= MIN_EXTRAPOLATED_MS
        )
        if may_extrapolate and target not in self.slow:
            times = self.step_times.group(run.task.step_id())
            times.add(run, target, elapsed_ms * 100 / gained)

    def _add_evidence(
        self, target: TargetLife, key: Hashable, speed: float, now_ms: int
    ) -> None:
        """Add what a run shows; it replaces what the same run has shown before."""
        if target not in self.evidence and speed == FULL_SPEED:
            # Most targets never deviate, and need no record.
            return
        items = self.evidence.setdefault(target, OrderedDict())
        items.pop(key, None)
        items[key] = Evidence(speed, now_ms)
        if len(items) > RECENT_RUNS:
            items.popitem(last=False)
        self._judge(target, now_ms)

    def _judge(self, target: TargetLife, now_ms: int) -> None:
        """Estimate the speed of a target by its last runs."""
        speeds = sorted(
            speed
            for speed, at_ms in self.evidence[target].values()
            if now_ms - at_ms <= EVIDENCE_AGE_MS
        )
        if len(speeds) < MIN_RUNS:
            return
        # The upper median: of two runs, both must be slow.
        speed = max(LOWEST_SPEED, speeds[len(speeds) // 2])
        known = self.slow.get(target)
        if speed >= SLOW_BELOW:
            if known is not None:
                del self.slow[target]
                self.decays.pop(target, None)
                self.changes.append(SpeedChange(target, FULL_SPEED, "runs"))
        elif known is not None:
            known.shown = known.speed = speed
            known.confirmed_ms = now_ms
        else:
            half_life_ms = self._half_life_ms(target, now_ms)
            self.slow[target] = SlowTarget(speed, speed, now_ms, half_life_ms)
            self.changes.append(SpeedChange(target, speed, "runs"))

    def _half_life_ms(self, target: TargetLife, now_ms: int) -> int:
        """Return the half-life of a new estimate, longer after a recent decay."""
        decay = self.decays.get(target)
        if decay is None or now_ms - decay.at_ms > RELAPSE_MS:
            return HALF_LIFE_MS
        return min(2 * decay.half_life_ms, MAX_HALF_LIFE_MS)

    def decay(self, now_ms: int) -> None:
        """Move the estimates that no run confirms towards full speed."""
        for target, estimate in list(self.slow.items()):
            age = (now_ms - estimate.confirmed_ms) / estimate.half_life_ms
            estimate.speed = FULL_SPEED - (FULL_SPEED - estimate.shown) * 0.5**age
            if estimate.speed >= SLOW_BELOW:
                del self.slow[target]
                self.evidence.pop(target, None)
                self.decays[target] = Decay(estimate.half_life_ms, now_ms)
                self.changes.append(SpeedChange(target, FULL_SPEED, "decay"))


def _relative_speed(usual_ms: float, took_ms: int) -> float:
    """Return the speed by the time of a run; delays of reports do not count."""
    if took_ms - usual_ms < MIN_DELAY_MS:
        return FULL_SPEED
    return usual_ms / took_ms
