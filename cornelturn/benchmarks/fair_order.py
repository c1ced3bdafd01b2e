"""Measures the cost of a decision among organisations, beside the static order.

Run ``python -m cornelturn.benchmarks.fair_order``. Each decision is the start of one
task that a plan makes after some tasks have ended, in a full pool. The time is the
processor time of the whole plan, divided by its starts. The static order is the one
without organisations in the configuration, which is the order before fair shares.
"""

from __future__ import annotations

import random
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from statistics import quantiles

from cornelturn.benchmarks.pool_owner import QUEUE, SEED, TARGET_CAPACITY, make_driver
from cornelturn.events.log import configure_logging
from cornelturn.jobs.model import EndKind, JobSpec, Resources, RunEnd, Step
from cornelturn.jobs.progress import Progress
from cornelturn.jobs.rows import JobRow, job_key
from cornelturn.model.organisations import Organisation
from cornelturn.model.routes import RoutingTable
from cornelturn.scheduling.pool import PoolScheduler
from cornelturn.scheduling.state import TargetOrder
from cornelturn.targets.model import Executed, StartOrder, TargetReport

ROUND_MS = 10
PLANS = 300
WARM_UP = 30
TASK_MS = 800
TASK_CPUS = (500, 1_000, 1_500)
TASKS_PER_JOB = 8
FLOOD_SHARE = 0.3
"""Share of the waiting jobs that one organisation has submitted."""


@dataclass(frozen=True, slots=True)
class Case:
    """Size of a pool and of what waits there.

    Parameters
    ----------
    needs : int
        Number of different needs of tasks.
    ends : int
        Tasks that end before each plan; 8 in `pool_owner` too.
    """

    organisations: int
    targets: int = 307
    jobs: int = 500
    needs: int = len(TASK_CPUS)
    ends: int = 8


CASES = (
    Case(0),
    Case(240, ends=1),
    Case(0, ends=1),
    Case(2),
    Case(24),
    Case(240),
    Case(240, jobs=50),
    Case(0, jobs=5_000),
    Case(240, jobs=5_000),
    Case(240, targets=43),
    Case(0, needs=50),
    Case(240, needs=50),
    Case(0, needs=400),
    Case(240, needs=400),
)


@dataclass(slots=True)
class FullPool:
    """A pool in which one task ends before each plan."""

    case: Case
    rng: random.Random = field(default_factory=lambda: random.Random(SEED))
    scheduler: PoolScheduler = field(init=False)
    running: list[TargetOrder] = field(default_factory=list)
    jobs: int = 0
    ends: int = 0
    now_ms: int = 0

    def __post_init__(self) -> None:
        self.scheduler = make_driver(self.case.targets).scheduler
        organisations = tuple(
            Organisation(f"o{number:03d}", 1_000.0 + number)
            for number in range(self.case.organisations)
        )
        self.scheduler.update_routing(
            RoutingTable(1, (QUEUE,), organisations=organisations), 0
        )
        slots = self.case.targets * TARGET_CAPACITY.cpu // (sum(TASK_CPUS) // 3)
        for _ in range(slots // TASKS_PER_JOB + self.case.jobs):
            self.add_job()

    def add_job(self) -> None:
        self.jobs += 1
        need = Resources(self.cpu(), 100)
        organisation = ""
        if self.case.organisations:
            is_flood = self.rng.random() < FLOOD_SHARE
            number = 0 if is_flood else self.rng.randrange(self.case.organisations)
            organisation = f"o{number:03d}"
        spec = JobSpec(
            f"{self.jobs:016x}",
            QUEUE.name,
            "pool",
            "text",
            (Step(TASKS_PER_JOB, need, TASK_MS),),
            organisation=organisation,
        )
        row = JobRow(spec, Progress())
        key = job_key(QUEUE.name, spec.id)
        self.scheduler.add_job(key, row, self.jobs, QUEUE, self.now_ms)

    def cpu(self) -> int:
        if self.case.needs == len(TASK_CPUS):
            return self.rng.choice(TASK_CPUS)
        return 500 + 1_000 * self.rng.randrange(self.case.needs) // self.case.needs

    def plan(self) -> tuple[float, int]:
        """Plan, and return the time in microseconds and the number of starts."""
        started_ns = time.process_time_ns()
        orders = self.scheduler.plan(self.now_ms)
        took_us = (time.process_time_ns() - started_ns) / 1_000
        starts = [item for item in orders if isinstance(item.order, StartOrder)]
        for item in starts:
            self.scheduler.handle_order_result(
                item.life, item.order, Executed(), self.now_ms
            )
        self.running += starts
        return took_us, len(starts)

    def end_run(self) -> None:
        """End a random run, and replace its job if that is done."""
        index = self.rng.randrange(len(self.running))
        self.running[index], self.running[-1] = self.running[-1], self.running[index]
        ended = self.running.pop()
        self.ends += 1
        end = RunEnd(self.ends, ended.order.run, EndKind.DONE)
        # Sent before any start, so that it need not list the active runs.
        self.scheduler.handle_report(
            TargetReport(ended.life, 0, (), (end,)), 0, self.now_ms
        )
        for write in self.scheduler.start_writes():
            self.scheduler.finish_write(write, self.jobs + self.ends, self.now_ms)
        if self.ends % TASKS_PER_JOB == 0:
            self.add_job()


def measure_plans(
    pool: FullPool, prepare: Callable[[], None] = lambda: None
) -> tuple[float, float, float]:
    """Return the times and starts of plans, in each of which some tasks have ended.

    Parameters
    ----------
    prepare : callable
        Called before each plan, after the tasks have ended.

    Returns
    -------
    tuple
        Mean time of a start and 99th percentile of that of a plan, both in
        microseconds, and the starts of a plan.
    """
    pool.plan()
    times_us: list[float] = []
    starts = 0
    for number in range(WARM_UP + PLANS):
        pool.now_ms += ROUND_MS
        for _ in range(pool.case.ends):
            pool.end_run()
        prepare()
        took_us, started = pool.plan()
        if number >= WARM_UP:
            times_us.append(took_us)
            starts += started
    mean_us = sum(times_us) / max(starts, 1)
    return mean_us, quantiles(times_us, n=100)[98], starts / PLANS


def main() -> None:
    """Print the time of a decision by organisations, targets, jobs and needs."""
    configure_logging("error")
    print(f"seed {SEED}, Python {sys.version.split()[0]}, {PLANS} plans each, us")
    print("organisations targets  jobs needs ends  mean/start  plan p99  starts/plan")
    for case in CASES:
        mean_us, p99_us, starts = measure_plans(FullPool(case))
        sizes = f"{case.organisations:13d} {case.targets:7d} {case.jobs:5d}"
        shape = f"{case.needs:5d} {case.ends:4d}"
        times = f"{mean_us:11.1f} {p99_us:9.1f} {starts:12.2f}"
        print(sizes, shape, times, flush=True)


if __name__ == "__main__":
    main()
