"""Simulation of a pool under overload, with the results that callers get."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field
from heapq import heappop, heappush

from cornelturn.jobs.model import (
    EndKind,
    JobSpec,
    JobState,
    Resources,
    Run,
    RunEnd,
    Step,
)
from cornelturn.jobs.progress import Progress
from cornelturn.jobs.rows import JobRow, job_key
from cornelturn.model.routes import JobQueue
from cornelturn.scheduling.pool import PoolScheduler
from cornelturn.targets.address import TargetAddress
from cornelturn.targets.model import (
    Executed,
    ListedTarget,
    StartOrder,
    TargetLife,
    TargetReport,
)

QUEUE = JobQueue(
    "lookups",
    "host",
    "/lookups/",
    "pool",
    slack_factor=1.6,
    slack_ms=600,
    max_attempts=2,
)
ROUND_MS = 20
CAPACITY = Resources(64_000, 262_144)
LATE_FACTOR = 3
"""Multiple of its objective up to which a completed job still has value."""

LARGEST_SHARE = 0.1


@dataclass(frozen=True)
class Load:
    """Rate and distribution of the jobs that callers submit.

    Parameters
    ----------
    jobs_per_s : float
        Jobs per second.
    run_ms : int
        Mean run time of a task.
    spread : float
        Spread of run times and processor needs: standard deviation of the logarithm.
    estimate_spread : float
        Spread of the declared run time around the true one, likewise.
    cores : tuple of int
        Cores of the targets in turn, empty for 64 each.
    rack_size : int
        Targets in a rack, 0 for a single rack.
    """

    jobs_per_s: float
    duration_ms: int = 6_000
    targets: int = 20
    tasks: float = 8.0
    cpu: float = 6_200.0
    run_ms: float = 800.0
    spread: float = 0.5
    estimate_spread: float = 0.0
    max_cpu: int = 19_000
    cores: tuple[int, ...] = ()
    rack_size: int = 0


@dataclass
class Caller:
    """A job as its caller sees it.

    Parameters
    ----------
    run_ms : tuple of int
        True run time of the tasks of each step.
    done_ms : int or None
        When the job was completed.
    """

    spec: JobSpec
    sent_ms: int
    run_ms: tuple[int, ...]
    done_ms: int | None = None

    def work(self) -> int:
        """Return the work of the job in thousandths of a core times milliseconds."""
        steps = zip(self.spec.steps, self.run_ms, strict=True)
        return sum(step.count * step.need.cpu * run_ms for step, run_ms in steps)

    def objective_ms(self) -> float:
        """Return the time within which the job is on time."""
        return QUEUE.slack_factor * sum(self.run_ms) + QUEUE.slack_ms

    def is_on_time(self) -> bool:
        """Return whether the job was completed within its objective."""
        return self.is_done_within(self.objective_ms())

    def is_served(self) -> bool:
        """Return whether the job was completed while it still had value."""
        return self.is_done_within(LATE_FACTOR * self.objective_ms())

    def is_done_within(self, limit_ms: float) -> bool:
        """Return whether the job was completed within a time limit."""
        return self.done_ms is not None and self.done_ms - self.sent_ms <= limit_ms


@dataclass
class Overload:
    """A pool scheduler with simulated targets.

    Parameters
    ----------
    ending : list
        Heap of the active runs, ordered by their end.
    """

    load: Load
    seed: int = 1
    scheduler: PoolScheduler = field(default_factory=lambda: PoolScheduler("pool", 1))
    callers: dict[str, Caller] = field(default_factory=dict)
    ending: list[tuple[int, int, TargetLife, Run]] = field(default_factory=list)
    sequences: Counter[TargetLife] = field(default_factory=Counter)
    version: int = 0
    now_ms: int = 0

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        listed = [
            make_target(
                number,
                capacity_of(self.load.cores, number),
                rack_of(self.load.rack_size, number),
            )
            for number in range(self.load.targets)
        ]
        self.scheduler.update_targets(listed, 0)
        for target in listed:
            self.scheduler.handle_report(TargetReport(target.life, 0, (), ()), 0, 0)
        self.scheduler.mark_loaded(0)

    def simulate(self) -> None:
        """Submit the load, and continue until all jobs are completed."""
        arrival_ms = self.rng.expovariate(self.load.jobs_per_s / 1_000)
        while self.now_ms < self.load.duration_ms or self.scheduler.jobs:
            self.now_ms += ROUND_MS
            while arrival_ms < min(self.now_ms, self.load.duration_ms):
                self.submit_job()
                arrival_ms += self.rng.expovariate(self.load.jobs_per_s / 1_000)
            self.end_runs()
            self.start_runs()
            self.confirm_writes()

    def submit_job(self) -> None:
        self.version += 1
        steps, run_ms = self.make_steps()
        job = f"{self.rng.getrandbits(64):016x}"
        spec = JobSpec(job, QUEUE.name, "pool", "text", steps)
        self.callers[job] = Caller(spec, self.now_ms, run_ms)
        row = JobRow(spec, Progress())
        key = job_key(QUEUE.name, job)
        self.scheduler.add_job(key, row, self.version, QUEUE, self.now_ms)

    def make_steps(self) -> tuple[tuple[Step, ...], tuple[int, ...]]:
        """Return the steps of a job, and the true run time of the tasks of each."""
        run_ms: list[int] = []
        steps: list[Step] = []
        for number in range(1 + (self.rng.random() < 0.6)):
            run_ms.append(round(self.sample(self.load.run_ms, self.load.spread)))
            cpu = round(
                min(self.sample(self.load.cpu, self.load.spread), self.load.max_cpu)
            )
            count = max(1, min(32, round(self.sample(self.load.tasks, 0.6))))
            declared = self.sample(run_ms[-1], self.load.estimate_spread)
            after = (number - 1,) if number else ()
            steps.append(Step(count, Resources(cpu, 100), round(declared), after=after))
        return tuple(steps), tuple(run_ms)

    def sample(self, mean: float, deviation: float) -> float:
        """Return a value of a log-normal distribution with a mean."""
        return mean * self.rng.lognormvariate(-(deviation**2) / 2, deviation)

    def end_runs(self) -> None:
        """Report the runs that have ended by now."""
        ended: dict[TargetLife, list[RunEnd]] = {}
        while self.ending and self.ending[0][0] <= self.now_ms:
            _, _, life, run = heappop(self.ending)
            self.sequences[life] += 1
            end = RunEnd(self.sequences[life], run, EndKind.DONE)
            ended.setdefault(life, []).append(end)
        for life, ends in ended.items():
            active = ()
            report = TargetReport(life, self.now_ms, active, tuple(ends))
            self.scheduler.handle_report(report, 0, self.now_ms)

    def start_runs(self) -> None:
        """Execute the start orders of the scheduler."""
        for planned in self.scheduler.plan(self.now_ms):
            assert isinstance(planned.order, StartOrder)
            run = planned.order.run
            self.scheduler.handle_order_result(
                planned.life, planned.order, Executed(), self.now_ms
            )
            run_ms = self.callers[run.task.job].run_ms[run.task.step]
            self.version += 1
            entry = (self.now_ms + run_ms, self.version, planned.life, run)
            heappush(self.ending, entry)

    def confirm_writes(self) -> None:
        """Confirm the writes of the scheduler, and note completed jobs."""
        for write in self.scheduler.start_writes():
            self.version += 1
            caller = self.callers[write.job]
            job = self.scheduler.jobs[write.job]
            if job.progress.state(job.spec) is JobState.COMPLETED:
                caller.done_ms = self.now_ms
            self.scheduler.finish_write(write, self.version, self.now_ms)

    def on_time(self) -> float:
        """Return the share of the jobs that were on time."""
        return fraction_true([caller.is_on_time() for caller in self.callers.values()])

    def served(self) -> float:
        """Return the share of the jobs completed while they had value."""
        return fraction_true([caller.is_served() for caller in self.callers.values()])

    def served_of_largest(self) -> float:
        """Return the share of the largest jobs completed while they had value."""
        ordered = sorted(self.callers.values(), key=Caller.work, reverse=True)
        largest = ordered[: round(len(ordered) * LARGEST_SHARE)]
        return fraction_true([caller.is_served() for caller in largest])


def capacity_of(cores: tuple[int, ...], number: int) -> Resources:
    """Return the capacity of a target."""
    if not cores:
        return CAPACITY
    return Resources(cores[number % len(cores)] * 1_000, CAPACITY.mem_mb)


def rack_of(rack_size: int, number: int) -> str:
    """Return the rack of a target."""
    return f"r{1 + number // rack_size}" if rack_size else "r1"


def make_target(
    number: int, capacity: Resources = CAPACITY, rack: str = "r1"
) -> ListedTarget:
    """Return a target of the pool."""
    return ListedTarget(
        life=TargetLife(f"t-{number:03d}", 1),
        pool="pool",
        address=TargetAddress.loopback(1),
        data_centre="dc",
        rack=rack,
        labels=frozenset({"a", rack}),
        capacity=capacity,
        is_draining=False,
    )


def fraction_true(flags: list[bool]) -> float:
    """Return the share of true values."""
    return sum(flags) / len(flags)
