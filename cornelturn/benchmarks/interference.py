"""Compares ways to set the pace of filling work on played loads.

Run ``python -m cornelturn.benchmarks.interference``. For each load and way it prints
the longest time that filling work kept the serving run over its limit, how many times
that was the longest allowed one or more, and the filling work done, as a share of what
the limit leaves room for.

The tail latency of the serving run is its own, times `exp(factor * cores * pace)`.
Figures are half a second old, off by a tenth (standard deviation) and arrive with each
report; orders take effect late.
"""

from __future__ import annotations

import math
import random
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from cornelturn.interference.controller import (
    FIGURE_AGE_MS,
    PaceController,
    PacingBounds,
    ServingFigure,
)
from cornelturn.jobs.model import Run, TaskId

STEP_MS = 20
LIMIT_MS = 200
CORES = 4
NOISE = 0.1
TRANSIT_MS = 20
DURATION_MS = 300_000
SEEDS = 10
SERVING = Run(TaskId("0" * 16, 0, 0, 0), 1)


class Pacer(Protocol):
    """A way to set the pace."""

    def observe(self, tail_ms: int, now_ms: int) -> float:
        """Take up a figure and return the pace in percent."""


@dataclass(slots=True)
class ControllerPacer:
    """The controller that the owner of a pool uses."""

    controller: PaceController = field(
        default_factory=lambda: PaceController(PacingBounds(), 0)
    )

    def observe(self, tail_ms: int, now_ms: int) -> float:
        """Take up a figure and return the pace in percent."""
        self.controller.update_runs(
            frozenset({SERVING}), {"fill": CORES * 1_000}, now_ms
        )
        figures = {SERVING: ServingFigure(tail_ms, LIMIT_MS)}
        self.controller.observe(figures, now_ms)
        return self.controller.level


@dataclass(slots=True)
class AimdPacer:
    """Plain additive increase, and a halving when a figure is over the limit."""

    level: float = 30.0
    cut_ms: int = 0
    observed_ms: int = 0

    def observe(self, tail_ms: int, now_ms: int) -> float:
        """Take up a figure and return the pace in percent."""
        elapsed_s, self.observed_ms = (now_ms - self.observed_ms) / 1_000, now_ms
        has_settled = now_ms - self.cut_ms >= FIGURE_AGE_MS + 100
        if tail_ms >= LIMIT_MS and has_settled:
            self.level /= 2
            self.cut_ms = now_ms
        elif tail_ms < LIMIT_MS and has_settled:
            self.level = min(100.0, self.level + 10 * elapsed_s)
        return self.level


@dataclass(slots=True)
class LearntPacer:
    """Learns the factor of the pair and the own latency, and aims below the limit.

    Parameters
    ----------
    log_own, factor : float
        Logarithm of the own tail latency as a share of the limit, and of its growth at
        the full pace.
    sent : list of tuple
        Times and paces of the past.
    """

    log_own: float = math.log(0.5)
    factor: float = 0.4
    sent: list[tuple[int, float]] = field(default_factory=lambda: [(0, 30.0)])

    def observe(self, tail_ms: int, now_ms: int) -> float:
        """Take up a figure and return the pace in percent."""
        measured_ms = now_ms - FIGURE_AGE_MS - 100
        while len(self.sent) > 1 and self.sent[1][0] <= measured_ms:
            self.sent.pop(0)
        pace = self.sent[0][1] / 100
        error = math.log(max(1, tail_ms) / LIMIT_MS) - self.log_own - self.factor * pace
        self.log_own += 0.5 * error / (1 + pace * pace)
        self.factor = max(0.02, self.factor + 0.5 * error * pace / (1 + pace * pace))
        room = (math.log(0.85) - self.log_own) / self.factor
        level = 100 * min(1.0, max(0.0, room))
        self.sent.append((now_ms, level))
        return level


@dataclass(slots=True)
class PlayedLoad:
    """A serving run with its own load, and an interference that changes.

    Parameters
    ----------
    own, factors : tuple of float
        Own tail latencies as shares of the limit, and factors for each core, between
        which the load changes at random.
    mean_ms : int
        Mean time between two changes of each.
    """

    own: tuple[float, ...]
    factors: tuple[float, ...]
    mean_ms: int
    report_ms: int = PacingBounds().report_wait_ms()
    bounds: PacingBounds = field(default_factory=PacingBounds)


@dataclass(slots=True)
class PlayedResult:
    """What a played load has led to.

    Parameters
    ----------
    overloads_ms : list of int
        Times without interruption over the limit because of filling work.
    work_share : float
        Filling work done, as a share of what the limit leaves room for.
    """

    overloads_ms: list[int] = field(default_factory=list)
    work_share: float = 0.0

    def longest_ms(self) -> int:
        """Return the longest overload."""
        return max(self.overloads_ms, default=0)

    def count_violations(self, impact_ms: int) -> int:
        """Return how many overloads took too long."""
        return sum(overload_ms >= impact_ms for overload_ms in self.overloads_ms)


def play(
    load: PlayedLoad, pacer: Pacer, seed: int, duration_ms: int = DURATION_MS
) -> PlayedResult:
    """Play a load to the end."""
    rng = random.Random(seed)
    own, factor = rng.choice(load.own), rng.choice(load.factors)
    pace, work, room = 0.3, 0.0, 0.0
    result = PlayedResult()
    overload_ms = 0
    history: list[float] = []
    orders: list[tuple[int, float]] = []
    next_report_ms = 0
    for now_ms in range(0, duration_ms, STEP_MS):
        if rng.random() < STEP_MS / load.mean_ms:
            own = rng.choice(load.own)
        if rng.random() < STEP_MS / load.mean_ms:
            factor = rng.choice(load.factors)
        while orders and orders[0][0] <= now_ms:
            pace = orders.pop(0)[1]
        ratio = own * math.exp(factor * CORES * pace)
        history.append(ratio)
        if ratio > 1 and own <= 1 and pace > 0:
            overload_ms += STEP_MS
        elif overload_ms:
            result.overloads_ms.append(overload_ms)
            overload_ms = 0
        work += pace
        possible = -math.log(own) / (factor * CORES) if factor else 1.0
        room += min(1.0, max(0.0, possible))
        if now_ms >= next_report_ms:
            next_report_ms = now_ms + load.report_ms + TRANSIT_MS
            seen = history[max(0, len(history) - 1 - FIGURE_AGE_MS // STEP_MS)]
            tail_ms = round(LIMIT_MS * seen * rng.lognormvariate(0, NOISE))
            level = pacer.observe(tail_ms, now_ms)
            effect_ms = now_ms + TRANSIT_MS + load.bounds.delay_ms
            orders.append((effect_ms, round(level) / 100))
    result.overloads_ms.append(overload_ms)
    result.work_share = work / room if room else 1.0
    return result


LOADS: dict[str, PlayedLoad] = {
    "undisturbed": PlayedLoad((0.3, 0.4, 0.5), (0.0, 0.05, 0.1), 5_000),
    "near the limit": PlayedLoad((0.65, 0.7), (0.1, 0.15), 5_000),
    "own load jumps": PlayedLoad((0.3, 0.5, 0.8), (0.15,), 4_000),
    "interference jumps": PlayedLoad((0.5,), (0.05, 0.1, 0.4, 0.6), 4_000),
    "heavy pair at times": PlayedLoad((0.5,), (0.05, 0.05, 0.05, 2.5), 15_000),
    "both jump": PlayedLoad((0.3, 0.6, 0.85), (0.05, 0.3, 1.0), 3_000),
    "reports of 900 ms": PlayedLoad((0.4, 0.8), (0.05, 0.5), 5_000, report_ms=900),
}

PACERS: dict[str, Callable[[], Pacer]] = {
    "controller": ControllerPacer,
    "plain AIMD": AimdPacer,
    "learnt model": LearntPacer,
}


def measure_cost_us(calls: int = 20_000) -> float:
    """Return the processor time of one report at the controller in microseconds."""
    pacer = ControllerPacer()
    started_s = time.process_time()
    for number in range(calls):
        pacer.observe(100 + number % 150, number * 400)
    return (time.process_time() - started_s) * 1e6 / calls


def main() -> int:
    """Print the comparison."""
    print(f"{'load':22}{'way':14}{'longest ms':>11}{'>= 4 s':>8}{'work':>7}")
    for load_name, load in LOADS.items():
        for pacer_name, make_pacer in PACERS.items():
            results = [play(load, make_pacer(), seed) for seed in range(SEEDS)]
            longest_ms = max(result.longest_ms() for result in results)
            violations = sum(
                result.count_violations(load.bounds.impact_ms) for result in results
            )
            share = sum(result.work_share for result in results) / SEEDS
            print(
                f"{load_name:22}{pacer_name:14}{longest_ms:>11}{violations:>8}"
                f"{share:>7.2f}"
            )
    print(f"one report at the controller: {measure_cost_us():.1f} us")
    return 0


if __name__ == "__main__":
    sys.exit(main())
