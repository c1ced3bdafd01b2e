"""Decides at which pace the filling runs of one target work.

Additive increase and multiplicative decrease of one level for all filling runs of the
target, with an immediate stop where a decrease does not help in time. The figures of
serving runs are imprecise, `FIGURE_AGE_MS` old and arrive with each report.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from cornelturn.clock import MILLISECONDS_PER_SECOND, to_seconds
from cornelturn.jobs.model import Run
from cornelturn.targets.model import FULL_PACE

REPORT_SHARE = 1 / 10
"""Share of the longest overload that a report of a shared target waits for an end."""

FIGURE_AGE_MS = 500
"""Age of the figures in a report; the platform states half a second."""

STOP_SHARE = 1 / 4
"""Share of the longest overload for which a run may be under pressure before filling
runs stop. Together with the age of the figures, an interval of reports and the delay of
an order, that stays below two thirds of it."""

STALE_SHARE = 0.35
"""Share of the longest overload without a report after which filling runs stop; more
than three intervals of the reports of a shared target."""

START_LEVEL = 30.0
"""Level in percent while the effect on a serving run is not known: filling work goes
on, and uses less than a third of the cores that it could."""

CALM_RATIO = 0.85
"""Mean tail latency, as a share of the limit, below which the level is raised. The
margin covers the error of the figures, which is a tenth."""

PRESSED_RATIO = 0.92
"""Mean tail latency, as a share of the limit, from which a run is under pressure."""

MEAN_WEIGHT = 0.5
"""Weight of the newest figure in the mean: interference changes within seconds."""

JUMP_FACTOR = 1.4
"""Multiple of the mean from which a figure counts as a jump of the load; imprecise
figures of a steady load rarely reach it."""

JUMP_RATIO = 0.8
"""Tail latency, as a share of the limit, up to which a jump needs no decrease. A lower
value takes imprecise figures of a harmless load for jumps."""

MAX_DECREASE_FACTOR = 0.65
"""Highest factor by which a decrease multiplies the level."""

KNOWN_DECAY = 0.1
"""Share of the cores of ended filling runs that is forgotten in a second; a run that
starts in the place of one that has just ended changes nothing."""

KNOWN_SHARE = 0.95
"""Share of the cores of filling runs that must be known, as their effect is, for the
level to stay."""

MIN_LEVEL = 5.0
"""Level in percent below which a decrease stops the filling runs."""

MAX_RAISE_MS = 1_000
"""Longest time between two reports that counts for a raise, as nothing is known of the
time in between."""

FAST_RAISE = 80.0
"""Points by which the level rises in a second up to the safe level, while the serving
runs leave all of their limit unused."""

SLOW_RAISE = 15.0
"""The same beyond the safe level, where the effect on serving runs is not known."""

MIN_HEADROOM = 0.2
"""Least share of these points, so that the level also rises near the limit."""

SAFE_SHARE = 0.7
"""Share of a level that was decreased that counts as safe."""

SAFE_RAISE = 15.0
"""Points by which the safe level rises in a second. Interference changes, so that a
level that was too high becomes harmless again."""


@dataclass(frozen=True, slots=True)
class PacingBounds:
    """Time limits of the pace of filling work.

    Parameters
    ----------
    impact_ms : int
        Time for which a serving run may exceed its limit.
    delay_ms : int
        Time after which an order takes effect.
    """

    impact_ms: int = 4_000
    delay_ms: int = 100

    def report_wait_ms(self) -> int:
        """Return how long a report of a shared target may wait for an end."""
        return round(self.impact_ms * REPORT_SHARE)


class DecreaseCause(StrEnum):
    """Why a level was lowered."""

    NEW_RUN = "new_run"
    JUMP = "jump"
    PRESSURE = "pressure"
    OVER_LIMIT = "over_limit"
    NO_REPORT = "no_report"


@dataclass(frozen=True, slots=True)
class ServingFigure:
    """Tail latency that a report states for a serving run.

    Parameters
    ----------
    tail_ms : int
        0 while it has served nothing.
    """

    tail_ms: int
    limit_ms: int


@dataclass(frozen=True, slots=True)
class PaceChange:
    """A decrease of the level, for the log."""

    cause: DecreaseCause
    before: float
    ratio: float


@dataclass(slots=True)
class ServingState:
    """What is known of the tail latency of one serving run.

    Parameters
    ----------
    since_ms : int
        When it was first seen.
    mean, last : float or None
        Tail latency as a share of the limit: mean of recent figures, and the newest;
        None before the first one.
    pressed_ms : int or None
        Since when it is under pressure without interruption, None if it is not.
    """

    since_ms: int
    mean: float | None = None
    last: float | None = None
    pressed_ms: int | None = None

    def note(self, ratio: float, now_ms: int) -> bool:
        """Record a figure; return whether it shows a sharp rise."""
        before = self.mean
        self.last = ratio
        if before is None:
            self.mean = ratio
        else:
            self.mean = before + MEAN_WEIGHT * (ratio - before)
        if ratio >= 1 or self.mean >= PRESSED_RATIO:
            if self.pressed_ms is None:
                self.pressed_ms = now_ms
        elif ratio < PRESSED_RATIO:
            self.pressed_ms = None
        has_risen = before is not None and ratio > JUMP_FACTOR * before
        return has_risen and ratio > JUMP_RATIO


@dataclass(slots=True)
class PaceController:
    """Controls the level of the filling runs on one target.

    Parameters
    ----------
    is_inherited : bool
        Whether an earlier owner controlled the target. It is then not known for how
        long a run has been over its limit, so that the first such figure stops.
    observed_ms : int
        When the last report arrived; at first, when the target began to be shared.
    level : float
        Pace of the filling runs, in percent.
    safe_level : float
        Level up to which it is raised fast.
    lowered_ms : int or None
        When the level was last lowered, None if it never was.
    filling_cpu, known_cpu : mapping
        Processor need of the filling runs of each image, now and recently.
    """

    bounds: PacingBounds
    started_ms: int
    is_inherited: bool = False
    level: float = START_LEVEL
    safe_level: float = FULL_PACE
    serving: dict[Run, ServingState] = field(default_factory=dict)
    observed_ms: int = field(init=False)
    lowered_ms: int | None = None
    filling_cpu: Mapping[str, int] = field(default_factory=dict)
    known_cpu: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.observed_ms = self.started_ms

    def settle_ms(self) -> int:
        """Return the time until the figures show the effect of an order."""
        return self.bounds.delay_ms + FIGURE_AGE_MS

    def update_runs(
        self, serving: frozenset[Run], filling_cpu: Mapping[str, int], now_ms: int
    ) -> PaceChange | None:
        """Take up which runs the target has; a new one lowers the level at once.

        Parameters
        ----------
        filling_cpu : mapping
            Processor need of the filling runs of each image.
        """
        for run in self.serving.keys() - serving:
            del self.serving[run]
        new_serving = serving - self.serving.keys()
        for run in new_serving:
            self.serving[run] = ServingState(now_ms)
        share = 0.0 if new_serving else self._known_share(filling_cpu)
        self.filling_cpu = filling_cpu
        self._note_known(kept_share=1.0)
        level = max(START_LEVEL, self.level * share)
        if share < KNOWN_SHARE and level < self.level:
            return self._lower(level, DecreaseCause.NEW_RUN, now_ms)
        return None

    def _known_share(self, filling_cpu: Mapping[str, int]) -> float:
        """Return which share of the processor need was there before."""
        total = sum(filling_cpu.values())
        known = sum(
            min(cpu, self.known_cpu.get(image, 0)) for image, cpu in filling_cpu.items()
        )
        return known / total if total else 1.0

    def observe(
        self, figures: Mapping[Run, ServingFigure], now_ms: int
    ) -> PaceChange | None:
        """Take up the figures of a report, and return a decrease if there is one."""
        elapsed_ms = min(MAX_RAISE_MS, now_ms - self.observed_ms)
        self.observed_ms = now_ms
        self._note_known(
            max(0.0, 1 - KNOWN_DECAY * elapsed_ms / MILLISECONDS_PER_SECOND)
        )
        has_jumped = False
        for run, figure in figures.items():
            state = self.serving.get(run)
            if state is not None:
                has_jumped |= self._note_figure(state, figure, now_ms)
        return self._decide(has_jumped, elapsed_ms, now_ms)

    def _note_figure(
        self, state: ServingState, figure: ServingFigure, now_ms: int
    ) -> bool:
        """Record the figure of a run; return whether it shows a jump of the load.

        A new run that has served nothing yet says nothing. A run that an earlier owner
        may have seen over its limit counts as over it for the longest time.
        """
        is_warming_up = now_ms - state.since_ms < self.bounds.impact_ms
        if not figure.tail_ms and is_warming_up:
            return False
        is_first = state.mean is None
        has_jumped = state.note(figure.tail_ms / figure.limit_ms, now_ms)
        if is_first and self.is_inherited and state.pressed_ms is not None:
            state.pressed_ms = now_ms - self.bounds.impact_ms
        return has_jumped

    def check(self, now_ms: int) -> PaceChange | None:
        """Stop the filling runs if no report has come for too long."""
        if self.is_check_due(now_ms):
            return self._lower(0, DecreaseCause.NO_REPORT, now_ms)
        return None

    def is_check_due(self, now_ms: int) -> bool:
        """Return whether no report has come for too long since the last decrease."""
        unknown_ms = now_ms - self.observed_ms
        return self.level > 0 and unknown_ms >= self.bounds.impact_ms * STALE_SHARE

    def ratio(self) -> float:
        """Return the mean tail latency of the worst run, as a share of its limit."""
        means = [state.mean for state in self.serving.values()]
        return max((mean for mean in means if mean is not None), default=0.0)

    def _note_known(self, kept_share: float) -> None:
        """Keep a share of what is known, and what is there now."""
        for image, cpu in list(self.known_cpu.items()):
            self.known_cpu[image] = cpu * kept_share
            if self.known_cpu[image] < 1:
                del self.known_cpu[image]
        for image, cpu in self.filling_cpu.items():
            self.known_cpu[image] = max(cpu, self.known_cpu.get(image, 0.0))

    def _decide(
        self, has_jumped: bool, elapsed_ms: int, now_ms: int
    ) -> PaceChange | None:
        states = self.serving.values()
        last = max((state.last or 0.0 for state in states), default=0.0)
        pressed = [state.pressed_ms for state in states if state.pressed_ms is not None]
        if pressed and now_ms - min(pressed) >= self.bounds.impact_ms * STOP_SHARE:
            return (
                self._lower(0, DecreaseCause.OVER_LIMIT, now_ms) if self.level else None
            )
        has_settled = (
            self.lowered_ms is None or now_ms - self.lowered_ms >= self.settle_ms()
        )
        if has_jumped or (pressed and has_settled):
            # Latency rises faster than the load beside it.
            factor = min(MAX_DECREASE_FACTOR, (CALM_RATIO / max(last, CALM_RATIO)) ** 2)
            cause = DecreaseCause.JUMP if has_jumped else DecreaseCause.PRESSURE
            return self._lower(self.level * factor, cause, now_ms)
        is_known = all(state.mean is not None for state in states)
        mean = self.ratio()
        if is_known and not pressed and has_settled and mean < CALM_RATIO:
            self._raise((CALM_RATIO - mean) / CALM_RATIO, to_seconds(elapsed_ms))
        return None

    def _raise(self, headroom: float, elapsed_s: float) -> None:
        share = max(MIN_HEADROOM, headroom) * elapsed_s
        self.safe_level = min(FULL_PACE, self.safe_level + SAFE_RAISE * elapsed_s)
        if self.level < self.safe_level:
            raised = min(self.safe_level, self.level + FAST_RAISE * share)
        else:
            raised = self.level + SLOW_RAISE * share
        self.level = min(FULL_PACE, raised)

    def _lower(
        self, level: float, cause: DecreaseCause, now_ms: int
    ) -> PaceChange | None:
        if self.level <= 0:
            return None
        before, self.level = self.level, level if level >= MIN_LEVEL else 0.0
        self.lowered_ms = now_ms
        if cause in (
            DecreaseCause.PRESSURE,
            DecreaseCause.OVER_LIMIT,
            DecreaseCause.JUMP,
        ):
            self.safe_level = min(self.safe_level, before * SAFE_SHARE)
        return PaceChange(cause, before, self.ratio())
