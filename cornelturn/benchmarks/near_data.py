"""Plays loads whose data lies on one rack, with and without waits for that rack.

Run ``python -m cornelturn.benchmarks.near_data``. Time and targets are simulated. Three
racks have 8 targets each, and 60% of the jobs prefer the first rack.
"""

from __future__ import annotations

import sys
import time
from dataclasses import dataclass, field, replace
from enum import Enum, auto
from heapq import heappop, heappush
from statistics import mean, quantiles

from cornelturn.events.log import configure_logging
from cornelturn.jobs.model import EndKind, Run, RunEnd, Step, StepId
from cornelturn.targets.model import (
    Executed,
    Order,
    StartOrder,
    StopOrder,
    TargetLife,
    TargetReport,
)
from cornelturn.tests.overload import Load, Overload

SEEDS = (1, 2, 3, 4)
DURATION_MS = 30_000
TARGETS = 24
RACK_SIZE = 8
WANTED_RACK = "r1"
WANTED_SHARE = 0.6
SUBMITTED_PER_S = 1.0
"""Jobs a second and target that fill a pool in which all tasks run near their data."""


class Locality(Enum):
    """What the jobs that care about racks demand."""

    NEAR_RACK = auto()
    ONE_RACK = auto()
    ONE_RACK_GANG = auto()


@dataclass(frozen=True, slots=True)
class Case:
    """A load and the cost of distance.

    Parameters
    ----------
    load : float
        Load relative to the capacity of the pool.
    factor : float
        Factor by which a task takes longer away from its data.
    estimate_spread : float
        As in `Load`.
    """

    name: str
    load: float
    factor: float
    locality: Locality = Locality.NEAR_RACK
    estimate_spread: float = 0.0


CASES = (
    Case("near, low load", 0.3, 1.5),
    Case("near, low load", 0.3, 3.0),
    Case("near, half load", 0.5, 1.5),
    Case("near, half load", 0.5, 3.0),
    Case("near, full load", 1.0, 1.5),
    Case("near, full load", 1.0, 3.0),
    Case("near, half load, estimates off", 0.5, 3.0, estimate_spread=0.5),
    Case("near, full load, estimates off", 1.0, 3.0, estimate_spread=0.5),
    Case("one rack, half load", 0.5, 3.0, Locality.ONE_RACK),
    Case("one rack, full load", 1.0, 3.0, Locality.ONE_RACK),
    Case("gang, half load", 0.5, 3.0, Locality.ONE_RACK_GANG),
    Case("gang, full load", 0.8, 3.0, Locality.ONE_RACK_GANG),
)


@dataclass(slots=True)
class PlayedRun:
    """A run on a simulated target."""

    run: Run
    life: TargetLife
    end_ms: int
    is_slowed: bool
    kind: EndKind = EndKind.DONE


@dataclass
class NearDataLoad(Overload):
    """A load of which a part prefers a rack, or slows down on several.

    Parameters
    ----------
    is_enabled : bool
        Whether the scheduler knows that distance costs time.
    wanted_share : float
        Share of the jobs with a demand on racks.
    by_step : dict
        Active runs of each step.
    far_starts, starts : int
        Runs away from their data, or beside runs of their step on another rack; all.
    plan_s : list of float
        Processor time of each plan.
    """

    case: Case = CASES[0]
    is_enabled: bool = True
    wanted_share: float = WANTED_SHARE
    by_step: dict[StepId, dict[Run, PlayedRun]] = field(default_factory=dict)
    far_starts: int = 0
    starts: int = 0
    plan_s: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        super().__post_init__()
        known_factor = self.case.factor if self.is_enabled else 1.0
        self.scheduler.racks.remote_factor = known_factor

    def make_steps(self) -> tuple[tuple[Step, ...], tuple[int, ...]]:
        """Return the steps of a job, of which a part has a demand on racks."""
        steps, run_ms = super().make_steps()
        if self.rng.random() >= self.wanted_share:
            return steps, run_ms
        match self.case.locality:
            case Locality.NEAR_RACK:
                changes = {"near_rack": WANTED_RACK}
            case Locality.ONE_RACK:
                changes = {"is_one_rack": True}
            case Locality.ONE_RACK_GANG:
                changes = {"is_one_rack": True, "is_gang": True}
        return tuple(replace(step, **changes) for step in steps), run_ms

    def end_runs(self) -> None:
        """Report the runs that have ended by now."""
        ended: dict[TargetLife, list[RunEnd]] = {}
        while self.ending and self.ending[0][0] <= self.now_ms:
            end_ms, _, life, run = heappop(self.ending)
            played = self.by_step[run.task.step_id()].get(run)
            if played is None or played.end_ms != end_ms:
                continue
            del self.by_step[run.task.step_id()][run]
            self.sequences[life] += 1
            end = RunEnd(self.sequences[life], run, played.kind)
            ended.setdefault(life, []).append(end)
        for life, ends in ended.items():
            report = TargetReport(life, self.now_ms, (), tuple(ends))
            self.scheduler.handle_report(report, 0, self.now_ms)

    def start_runs(self) -> None:
        """Execute the start orders of the scheduler."""
        began_s = time.process_time()
        planned_orders = self.scheduler.plan(self.now_ms)
        self.plan_s.append(time.process_time() - began_s)
        for planned in planned_orders:
            order, life = planned.order, planned.life
            self.scheduler.handle_order_result(life, order, Executed(), self.now_ms)
            self.execute(order, life)

    def execute(self, order: Order, life: TargetLife) -> None:
        match order:
            case StartOrder(run):
                self.start(run, life)
            case StopOrder(run):
                played = self.by_step[run.task.step_id()].get(run)
                if played is not None:
                    played.end_ms, played.kind = self.now_ms, EndKind.STOPPED
                    self.push_end(played)

    def start(self, run: Run, life: TargetLife) -> None:
        """Start a run, which takes longer away from its data."""
        caller = self.callers[run.task.job]
        step = caller.spec.steps[run.task.step]
        rack = self.rack(life)
        others = self.by_step.setdefault(run.task.step_id(), {})
        is_split = step.is_one_rack and any(
            self.rack(other.life) != rack for other in others.values()
        )
        is_far = is_split or step.near_rack not in ("", rack)
        self.starts += 1
        self.far_starts += is_far
        if is_split:
            for other in others.values():
                self.slow_down(other)
        run_ms = caller.run_ms[run.task.step] * (self.case.factor if is_far else 1)
        played = PlayedRun(run, life, self.now_ms + round(run_ms), is_far)
        others[run] = played
        self.push_end(played)

    def slow_down(self, played: PlayedRun) -> None:
        """Let the rest of a run take longer, as its step runs on several racks."""
        if not played.is_slowed:
            left_ms = played.end_ms - self.now_ms
            played.end_ms = self.now_ms + round(left_ms * self.case.factor)
            played.is_slowed = True
            self.push_end(played)

    def push_end(self, played: PlayedRun) -> None:
        self.version += 1
        heappush(self.ending, (played.end_ms, self.version, played.life, played.run))

    def rack(self, life: TargetLife) -> str:
        return self.scheduler.targets[life].listed.rack

    def latencies_ms(self) -> list[int]:
        """Return the time from each job to its end."""
        return [caller.done_ms - caller.sent_ms for caller in self.callers.values()]


def play(
    case: Case, seed: int, *, is_enabled: bool, duration_ms: int = DURATION_MS
) -> NearDataLoad:
    """Return a played load."""
    load = Load(
        case.load * SUBMITTED_PER_S * TARGETS,
        duration_ms,
        TARGETS,
        estimate_spread=case.estimate_spread,
        rack_size=RACK_SIZE,
    )
    played = NearDataLoad(load, seed, case=case, is_enabled=is_enabled)
    played.simulate()
    return played


def main() -> None:
    """Print what callers get, without the part and with it."""
    configure_logging("error")
    print(f"seeds {SEEDS}, Python {sys.version.split()[0]}, {DURATION_MS} ms each")
    print(
        f"{'case':32} factor part on time  served mean ms  p99 ms    far plan us/start"
    )
    for case in CASES:
        for part, is_enabled in (("off", False), ("on", True)):
            loads = [play(case, seed, is_enabled=is_enabled) for seed in SEEDS]
            latencies = [ms for load in loads for ms in load.latencies_ms()]
            starts = sum(load.starts for load in loads)
            plan_s = sum(sum(load.plan_s) for load in loads)
            print(
                f"{case.name:32} {case.factor:6.1f} {part:4}"
                f" {mean(load.on_time() for load in loads):7.4f}"
                f" {mean(load.served() for load in loads):7.4f}"
                f" {mean(latencies):7.0f} {quantiles(latencies, n=100)[98]:7.0f}"
                f" {sum(load.far_starts for load in loads) / starts:6.3f}"
                f" {1e6 * plan_s / starts:8.0f}",
                flush=True,
            )


if __name__ == "__main__":
    main()
