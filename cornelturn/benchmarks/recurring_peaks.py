"""Plays recurring load peaks against the sizing of pools, with and without forecast.

Four pools reach their peaks one after another. A peak lasts four seconds at five times
the mean demand of its pool; in between there is a twentieth of the mean. Tasks occupy a
quarter of a machine; moves take 1.5 s, and a target starts 0.3 s later.

Run ``python -m cornelturn.benchmarks.recurring_peaks``.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush

from cornelturn.capacity.forecast import PoolForecast
from cornelturn.capacity.peaks import PeakEvent, PredictionMissed
from cornelturn.capacity.plan import SizingInputs, SizingPlan
from cornelturn.capacity.sizing import PoolSizer
from cornelturn.jobs.model import Resources
from cornelturn.model.upkeep import Machine, MachineState
from cornelturn.peering.messages import PoolLoad, TargetLoad
from cornelturn.tests.turns import STANDBY, sizing_inputs

TICK_MS = 50
LOAD_INTERVAL_MS = 200
STEP_INTERVAL_MS = 250
STEPS_PER_IDLE_LISTING = 8
MOVE_MS = 1_500
TARGET_START_MS = 300
RUN_MS = 800
RUN_SPREAD = 0.5
"""Largest deviation of a run time from the mean, as a fraction of the mean."""

MACHINE_SLOTS = 4
PEAK_MS = 4_000
INTERVAL_MS = 20_800
PEAK_FACTOR = 5.0
IDLE_FACTOR = 0.05
MEAN_SHARE = 0.37
"""Mean demand of a pool as a share of its base size."""

BASE_SIZES = {"north": 44, "east": 36, "south": 40, "west": 28}
STANDBY_MACHINES = 32
PEAKS = 20
FIRST_PEAK_MS = 8_000
UNPREDICTED_PEAKS = 6
"""First peaks of a pool, from which the intervals are learnt."""

SEEDS = (1, 2, 3)


class TrendOnly(PoolForecast):
    """Forecast by the trend alone, for comparison."""

    __slots__ = ()

    def add(self, demand: float, now_ms: int, *, has_targets: bool = True) -> None:
        """Add a sample of the demand, in which no peaks are sought."""
        self.trend.add(demand, now_ms)


@dataclass(frozen=True, slots=True)
class Peak:
    """Period in which a pool has a multiple of its mean demand."""

    pool: str
    begin_ms: int
    end_ms: int


@dataclass(frozen=True, slots=True)
class Load:
    """Demand that is played.

    Parameters
    ----------
    peaks : tuple of Peak
        Peaks of all pools.
    end_ms : int
        Time at which the simulation ends.
    """

    name: str
    peaks: tuple[Peak, ...]
    end_ms: int


@dataclass(eq=False, slots=True)
class PlayedMachine:
    """A machine and the target on it; while it moves, `up_ms` is in the future."""

    name: str
    pool: str
    up_ms: int = 0
    targets: int = 0
    runs: int = 0
    is_cordoned: bool = False

    def target(self, now_ms: int) -> str:
        """Return the name of its target, empty while it is off or moves."""
        is_on = self.up_ms <= now_ms and self.pool != STANDBY
        return f"{self.name}/{self.targets}" if is_on else ""

    def is_open(self, now_ms: int) -> bool:
        """Return whether its target accepts tasks."""
        is_started = self.pool != STANDBY and self.up_ms + TARGET_START_MS <= now_ms
        return is_started and not self.is_cordoned


@dataclass
class PeakSimulation:
    """Plays a load against the sizing of four pools of 180 machines."""

    load: Load
    seed: int = 1
    new_forecast: Callable[[], PoolForecast] = PoolForecast
    now_ms: int = 0
    moves: int = 0
    machine_seconds: float = 0.0
    steps: int = 0
    plans: list[SizingPlan] = field(default_factory=list)
    events: list[tuple[int, str, PeakEvent]] = field(default_factory=list)
    waiting: dict[str, int] = field(
        default_factory=lambda: dict.fromkeys(BASE_SIZES, 0)
    )
    waiting_s: dict[str, list[float]] = field(
        default_factory=lambda: {pool: [] for pool in BASE_SIZES}
    )
    arrival_remainder: dict[str, float] = field(
        default_factory=lambda: dict.fromkeys(BASE_SIZES, 0.5)
    )
    loads: dict[str, PoolLoad] = field(default_factory=dict)
    task_ends: list[tuple[int, int, PlayedMachine]] = field(default_factory=list)
    tasks: int = 0
    machines: list[PlayedMachine] = field(init=False)
    sizing: PoolSizer = field(init=False)
    run_times: random.Random = field(init=False)
    peaks_by_pool: dict[str, list[Peak]] = field(init=False)

    def __post_init__(self) -> None:
        self.peaks_by_pool = {
            pool: [peak for peak in self.load.peaks if peak.pool == pool]
            for pool in BASE_SIZES
        }
        sizes = {**BASE_SIZES, STANDBY: STANDBY_MACHINES}
        self.machines = [
            PlayedMachine(f"{pool}-{number}", pool)
            for pool, size in sizes.items()
            for number in range(size)
        ]
        self.sizing = PoolSizer(
            base_sizes=dict(BASE_SIZES), new_forecast=self.new_forecast
        )
        self.run_times = random.Random(self.seed)

    def run(self) -> None:
        """Play the whole load."""
        while self.now_ms < self.load.end_ms:
            self.tick()

    def tick(self) -> None:
        """Play the next few milliseconds."""
        self.now_ms += TICK_MS
        while self.task_ends and self.task_ends[0][0] <= self.now_ms:
            heappop(self.task_ends)[2].runs -= 1
        for pool in BASE_SIZES:
            self._arrive(pool)
            self._start_tasks(pool)
            waiting = self.waiting[pool] / MACHINE_SLOTS
            self.waiting_s[pool].append(waiting * TICK_MS / 1_000)
        if self.now_ms % LOAD_INTERVAL_MS == 0:
            for pool in BASE_SIZES:
                self.loads[pool] = self._load(pool)
                self.sizing.record_load(self.loads[pool], self.now_ms)
        if self.now_ms % STEP_INTERVAL_MS == 0 and self.loads:
            self._step()
        in_pools = sum(machine.pool != STANDBY for machine in self.machines)
        self.machine_seconds += in_pools * TICK_MS / 1_000

    def waiting_per_peak(self, first_peak: int = 0) -> float:
        """Return the work that waited from the beginning of a peak to the next one.

        Parameters
        ----------
        first_peak : int
            Number of the first peak of each pool that counts.
        """
        total, count = 0.0, 0
        for pool in BASE_SIZES:
            begins_ms = [peak.begin_ms for peak in self.peaks_by_pool[pool]]
            if len(begins_ms) > first_peak:
                total += sum(self.waiting_s[pool][begins_ms[first_peak] // TICK_MS :])
                count += len(begins_ms) - first_peak
        return total / count if count else 0.0

    def used_misses(self) -> int:
        """Return how many predictions missed for which machines were moved."""
        return sum(
            isinstance(event, PredictionMissed) and event.confidence > 0
            for _, _, event in self.events
        )

    def size(self, pool: str) -> int:
        """Return how many machines are in a pool or on their way to it."""
        return sum(machine.pool == pool for machine in self.machines)

    def _arrive(self, pool: str) -> None:
        is_peak = any(
            peak.begin_ms <= self.now_ms < peak.end_ms
            for peak in self.peaks_by_pool[pool]
        )
        mean = BASE_SIZES[pool] * MEAN_SHARE
        demand = mean * (PEAK_FACTOR if is_peak else IDLE_FACTOR)
        arriving = self.arrival_remainder[pool]
        arriving += demand * MACHINE_SLOTS * TICK_MS / RUN_MS
        self.waiting[pool] += int(arriving)
        self.arrival_remainder[pool] = arriving % 1.0

    def _start_tasks(self, pool: str) -> None:
        """Start the tasks that fit, on the fullest machines first."""
        if not self.waiting[pool]:
            return
        open_machines = [
            machine
            for machine in self.machines
            if machine.pool == pool and machine.is_open(self.now_ms)
        ]
        open_machines.sort(key=lambda machine: -machine.runs)
        for machine in open_machines:
            while machine.runs < MACHINE_SLOTS and self.waiting[pool]:
                self.waiting[pool] -= 1
                machine.runs += 1
                self.tasks += 1
                spread = 1 + RUN_SPREAD * self.run_times.uniform(-1, 1)
                end_ms = self.now_ms + round(RUN_MS * spread)
                heappush(self.task_ends, (end_ms, self.tasks, machine))

    def _load(self, pool: str) -> PoolLoad:
        listed = [
            machine
            for machine in self.machines
            if machine.pool == pool and machine.target(self.now_ms)
        ]
        open_count = sum(machine.is_open(self.now_ms) for machine in listed)
        return PoolLoad(
            pool=pool,
            generation=1,
            cordon=1,
            targets=tuple(
                TargetLoad(
                    machine.target(self.now_ms), machine.runs, 0, machine.is_cordoned
                )
                for machine in listed
            ),
            held=Resources(sum(machine.runs for machine in listed)),
            waiting=Resources(self.waiting[pool]),
            capacity=Resources(MACHINE_SLOTS * open_count),
            open_targets=open_count,
            least_targets=0,
        )

    def _step(self) -> None:
        """Make a decision if one is due, as the owner of the machines does."""
        self.steps += 1
        is_busy = any(map(self.sizing.may_grow_soon, self.loads.values()))
        is_near = self.sizing.is_peak_near(self.now_ms)
        if (
            not self.sizing.is_settled()
            or is_busy
            or is_near
            or self.steps % STEPS_PER_IDLE_LISTING == 0
        ):
            self._decide()
        self.events += [
            (self.now_ms, pool, event) for pool, event in self.sizing.take_peak_events()
        ]

    def _decide(self) -> None:
        plan = self.sizing.plan(self._inputs(), self.now_ms)
        self.plans.append(plan)
        cordoned = {machine.name for machine in plan.cordoned}
        for machine in self.machines:
            machine.is_cordoned = machine.name in cordoned
        by_name = {machine.name: machine for machine in self.machines}
        for move in plan.moves:
            machine = by_name[move.machine.name]
            assert machine.runs == 0
            self.moves += 1
            self.sizing.transits.record_move(move, self.now_ms)
            machine.pool = move.pool
            machine.up_ms = self.now_ms + MOVE_MS
            machine.targets += 1

    def _inputs(self) -> SizingInputs:
        now_ms = self.now_ms
        machines = tuple(
            Machine(
                machine.name,
                machine.pool,
                MachineState.UP if machine.up_ms <= now_ms else MachineState.MOVING,
                machine.target(now_ms),
            )
            for machine in self.machines
        )
        return sizing_inputs(machines, self.loads)


def exact_begins(first_ms: int) -> list[int]:
    """Return the beginnings of peaks that recur exactly."""
    return [first_ms + number * INTERVAL_MS for number in range(PEAKS)]


def jittered_begins(first_ms: int, source: random.Random, share: float) -> list[int]:
    """Return beginnings with intervals that differ from the mean by up to a share."""
    begins_ms = [first_ms]
    for _ in range(PEAKS - 1):
        factor = 1 + share * source.uniform(-1, 1)
        begins_ms.append(begins_ms[-1] + round(INTERVAL_MS * factor))
    return begins_ms


def make_load(
    name: str, begins: Callable[[int], list[int]], intervals: int = PEAKS
) -> Load:
    """Return a load in which each pool has its peaks, one pool after another.

    Parameters
    ----------
    begins : callable
        Returns the beginnings of the peaks of a pool from that of its first one.
    intervals : int
        Number of intervals that are played after the first peak.
    """
    peaks = [
        Peak(pool, begin_ms, begin_ms + PEAK_MS)
        for number, pool in enumerate(BASE_SIZES)
        for begin_ms in begins(FIRST_PEAK_MS + number * INTERVAL_MS // len(BASE_SIZES))
    ]
    end_ms = FIRST_PEAK_MS + (intervals + 1) * INTERVAL_MS
    return Load(name, tuple(peak for peak in peaks if peak.end_ms < end_ms), end_ms)


def shifted_begins(first_ms: int) -> list[int]:
    """Return peaks that come 7 s later from the middle on."""
    return [
        begin_ms + (7_000 if number >= PEAKS // 2 else 0)
        for number, begin_ms in enumerate(exact_begins(first_ms))
    ]


def random_begins(first_ms: int, source: random.Random) -> list[int]:
    """Return peaks whose pauses have an exponential distribution."""
    begins_ms = [first_ms]
    for _ in range(PEAKS - 1):
        pause_ms = source.expovariate(1 / (INTERVAL_MS - PEAK_MS))
        begins_ms.append(begins_ms[-1] + PEAK_MS + round(pause_ms))
    return begins_ms


def loads(seed: int) -> list[Load]:
    """Return all loads that are played."""
    source = random.Random(seed)
    return [
        make_load("exact", exact_begins),
        make_load("jitter 2%", lambda first: jittered_begins(first, source, 0.02)),
        make_load("jitter 5%", lambda first: jittered_begins(first, source, 0.05)),
        make_load("jitter 10%", lambda first: jittered_begins(first, source, 0.1)),
        make_load("stop", lambda first: exact_begins(first)[: PEAKS // 2]),
        make_load("shift", shifted_begins),
        make_load("random", lambda first: random_begins(first, source)),
    ]


def main() -> None:
    """Print the means over the seeds for each load, by the trend and with the peaks."""
    print(
        "load        forecast  waiting a peak  from the 7th  moves  machine-s  misses"
    )
    for number, load in enumerate(loads(SEEDS[0])):
        for name, new_forecast in (("trend", TrendOnly), ("peaks", PoolForecast)):
            runs = [
                PeakSimulation(loads(seed)[number], seed, new_forecast)
                for seed in SEEDS
            ]
            for simulation in runs:
                simulation.run()
            count = len(runs)
            later = sum(run.waiting_per_peak(UNPREDICTED_PEAKS) for run in runs)
            print(
                f"{load.name:12s}{name:8s}"
                f"{sum(run.waiting_per_peak() for run in runs) / count:14.1f}"
                f"{later / count:14.1f}"
                f"{sum(run.moves for run in runs) / count:7.0f}"
                f"{sum(run.machine_seconds for run in runs) / count:11.0f}"
                f"{sum(run.used_misses() for run in runs) / count:8.1f}"
            )


if __name__ == "__main__":
    main()
