"""Plays loads on targets of uneven speed, with and without the part that handles them.

Run ``python -m cornelturn.benchmarks.uneven_targets``. Time and targets are simulated.
Progress in reports is half a second old, and ends are reported up to 150 ms late.
"""

from __future__ import annotations

import sys
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from heapq import heappop, heappush
from random import Random
from statistics import mean, quantiles

from cornelturn.events.log import configure_logging
from cornelturn.jobs.model import EndKind, Run, RunEnd, Step
from cornelturn.targets.model import (
    ActiveRun,
    Executed,
    Order,
    StartOrder,
    StopOrder,
    TargetLife,
    TargetReport,
)
from cornelturn.tests.overload import Load, Overload

SEEDS = (1, 2, 3, 4)
DURATION_MS = 40_000
REPORT_INTERVAL_MS = 900
PROGRESS_AGE_MS = 500
MAX_END_DELAY_MS = 150
STOP_MS = 100
"""Time from the order of a stop to the report of its end."""

SUBMITTED_PER_S = 1.0
"""Jobs a second and target that fill a pool in which no target is slow."""


@dataclass(frozen=True, slots=True)
class SlowPeriod:
    """Time in which a target is slow."""

    target: int
    from_ms: int
    until_ms: int
    speed: float


@dataclass(slots=True)
class PlayedRun:
    """A run on a simulated target; ``work_ms`` is its time at full speed."""

    run: Run
    life: TargetLife
    started_ms: int
    work_ms: int


@dataclass
class UnevenLoad(Overload):
    """A load on targets of which some are slow for some time.

    Parameters
    ----------
    periods : tuple of SlowPeriod
        When targets are slow; those of one target do not overlap.
    """

    periods: tuple[SlowPeriod, ...] = ()
    is_enabled: bool = True
    may_run_copies: bool = False
    runs: dict[Run, PlayedRun] = field(default_factory=dict)
    reported_ms: dict[TargetLife, int] = field(default_factory=dict)
    starts: int = 0

    def __post_init__(self) -> None:
        super().__post_init__()
        self.delays = Random(self.seed)
        self.scheduler.speeds.is_enabled = self.is_enabled
        lives = list(self.scheduler.targets)
        self.periods_by_life = {
            life: sorted(
                (item for item in self.periods if item.target == number),
                key=lambda item: item.from_ms,
            )
            for number, life in enumerate(lives)
        }
        self.reported_ms = dict.fromkeys(lives, 0)

    def make_steps(self) -> tuple[tuple[Step, ...], tuple[int, ...]]:
        """Return the steps of a job, whose tasks may run copies if that is wanted."""
        steps, run_ms = super().make_steps()
        copied = (replace(item, may_run_copies=self.may_run_copies) for item in steps)
        return tuple(copied), run_ms

    def work_done_ms(self, life: TargetLife, since_ms: int, until_ms: int) -> float:
        """Return how much work a run has done in some time, in time at full speed."""
        done_ms = float(max(0, until_ms - since_ms))
        for period in self.periods_by_life[life]:
            overlap_ms = min(until_ms, period.until_ms) - max(since_ms, period.from_ms)
            done_ms -= max(0, overlap_ms) * (1 - period.speed)
        return done_ms

    def end_ms(self, life: TargetLife, since_ms: int, work_ms: float) -> int:
        """Return when a run that starts now will have done its work."""
        now_ms = float(since_ms)
        for period in self.periods_by_life[life]:
            if period.until_ms <= now_ms:
                continue
            work_ms -= max(0.0, period.from_ms - now_ms)
            now_ms = max(now_ms, period.from_ms)
            if work_ms <= 0:
                return round(now_ms + work_ms)
            slow_work_ms = (period.until_ms - now_ms) * period.speed
            if work_ms <= slow_work_ms:
                return round(now_ms + work_ms / period.speed)
            work_ms -= slow_work_ms
            now_ms = period.until_ms
        return round(now_ms + work_ms)

    def end_runs(self) -> None:
        """Report the runs that have ended by now, and the progress of the others."""
        ended: dict[TargetLife, list[RunEnd]] = {}
        while self.ending and self.ending[0][0] <= self.now_ms:
            _, _, life, run = heappop(self.ending)
            if self.runs.pop(run, None) is not None:
                ended.setdefault(life, []).append(self.next_end(life, run))
        for life, end in self.stopped_runs():
            ended.setdefault(life, []).append(end)
        for life, reported_ms in self.reported_ms.items():
            if life in ended or self.now_ms - reported_ms >= REPORT_INTERVAL_MS:
                self.reported_ms[life] = self.now_ms
                ends = tuple(ended.get(life, ()))
                report = TargetReport(life, self.now_ms, self.active_on(life), ends)
                self.scheduler.handle_report(report, 0, self.now_ms)

    def next_end(
        self, life: TargetLife, run: Run, kind: EndKind = EndKind.DONE
    ) -> RunEnd:
        self.sequences[life] += 1
        return RunEnd(self.sequences[life], run, kind)

    def stopped_runs(self) -> Iterator[tuple[TargetLife, RunEnd]]:
        """Return the ends of the runs that were ordered to stop."""
        while self.stopping and self.stopping[0][0] <= self.now_ms:
            _, _, life, run = heappop(self.stopping)
            if self.runs.pop(run, None) is not None:
                yield life, self.next_end(life, run, EndKind.STOPPED)

    def active_on(self, life: TargetLife) -> tuple[ActiveRun, ...]:
        """Return the runs of a target, with the progress that it reports."""
        seen_ms = self.now_ms - PROGRESS_AGE_MS
        return tuple(
            ActiveRun(
                played.run,
                "",
                int(
                    100
                    * self.work_done_ms(life, played.started_ms, seen_ms)
                    / played.work_ms
                ),
            )
            for played in self.runs.values()
            if played.life == life
        )

    def start_runs(self) -> None:
        """Execute the orders of the scheduler."""
        for planned in self.scheduler.plan(self.now_ms):
            self.scheduler.handle_order_result(
                planned.life, planned.order, Executed(), self.now_ms
            )
            self.execute(planned.life, planned.order)

    def execute(self, life: TargetLife, order: Order) -> None:
        run = order.run
        self.version += 1
        match order:
            case StartOrder():
                self.starts += 1
                work_ms = self.callers[run.task.job].run_ms[run.task.step]
                self.runs[run] = PlayedRun(run, life, self.now_ms, work_ms)
                end_ms = self.end_ms(life, self.now_ms, work_ms)
                end_ms += self.delays.randrange(MAX_END_DELAY_MS)
                heappush(self.ending, (end_ms, self.version, life, run))
            case StopOrder():
                entry = (self.now_ms + STOP_MS, self.version, life, run)
                heappush(self.stopping, entry)

    @property
    def stopping(self) -> list[tuple[int, int, TargetLife, Run]]:
        return self.__dict__.setdefault("stopping_heap", [])

    def latencies_ms(self) -> list[int]:
        """Return the time from each job to its end."""
        return [caller.done_ms - caller.sent_ms for caller in self.callers.values()]


@dataclass(frozen=True, slots=True)
class Case:
    """A pool and its load.

    Parameters
    ----------
    load : float
        Load relative to the capacity without slow targets.
    speed : float
        Speed of the slow targets.
    is_lasting : bool
        Whether the first target is slow all the time; if not, one target after another
        is slow for 3 to 8 s.
    """

    name: str
    targets: int
    load: float
    speed: float
    is_lasting: bool = True


CASES = (
    Case("calm, none slow", 6, 0.5, 1.0),
    Case("calm, one at half", 6, 0.5, 0.5),
    Case("calm, one at a fifth", 6, 0.5, 0.2),
    Case("calm, half for seconds", 6, 0.5, 0.5, is_lasting=False),
    Case("calm, a fifth for seconds", 6, 0.5, 0.2, is_lasting=False),
    Case("at capacity, none slow", 6, 1.0, 1.0),
    Case("at capacity, one at half", 6, 1.0, 0.5),
    Case("at capacity, half for seconds", 6, 1.0, 0.5, is_lasting=False),
    Case("at capacity, a fifth for seconds", 6, 1.0, 0.2, is_lasting=False),
    Case("calm, one at half", 20, 0.5, 0.5),
    Case("at capacity, one at half", 20, 1.0, 0.5),
    Case("at capacity, a fifth for seconds", 20, 1.0, 0.2, is_lasting=False),
)


PARTS = {
    "off": {"is_enabled": False},
    "on": {"is_enabled": True},
    "copies": {"is_enabled": True, "may_run_copies": True},
}


def slow_periods(case: Case, seed: int) -> tuple[SlowPeriod, ...]:
    """Return when targets are slow."""
    if case.speed == 1.0:
        return ()
    if case.is_lasting:
        return (SlowPeriod(0, 0, 10 * DURATION_MS, case.speed),)
    rng, periods, now_ms = Random(seed), [], 1_000
    while now_ms < DURATION_MS:
        until_ms = now_ms + rng.randrange(3_000, 8_000)
        target = rng.randrange(case.targets)
        periods.append(SlowPeriod(target, now_ms, until_ms, case.speed))
        now_ms = until_ms + rng.randrange(2_000)
    return tuple(periods)


def play(
    case: Case, seed: int, *, is_enabled: bool, may_run_copies: bool = False
) -> UnevenLoad:
    """Return a played load."""
    played = UnevenLoad(
        Load(case.load * SUBMITTED_PER_S * case.targets, DURATION_MS, case.targets),
        seed,
        periods=slow_periods(case, seed),
        is_enabled=is_enabled,
        may_run_copies=may_run_copies,
    )
    played.simulate()
    return played


def main() -> None:
    """Print what callers get: without the part, with it, and with copies allowed."""
    configure_logging("error")
    print(f"seeds {SEEDS}, Python {sys.version.split()[0]}, {DURATION_MS} ms each")
    print(f"{'case':34} targets part    on time  served  mean ms  p99 ms starts/task")
    for case in CASES:
        for part, options in PARTS.items():
            loads = [play(case, seed, **options) for seed in SEEDS]
            latencies = [ms for load in loads for ms in load.latencies_ms()]
            tasks = sum(
                step.count
                for load in loads
                for caller in load.callers.values()
                for step in caller.spec.steps
            )
            print(
                f"{case.name:34} {case.targets:7d} {part:6}"
                f" {mean(load.on_time() for load in loads):8.4f}"
                f" {mean(load.served() for load in loads):7.4f}"
                f" {mean(latencies):8.0f} {quantiles(latencies, n=100)[98]:7.0f}"
                f" {sum(load.starts for load in loads) / tasks:8.4f}",
                flush=True,
            )


if __name__ == "__main__":
    main()
