"""Measures the processor time of a pool owner's decisions, by targets and backlog.

Run ``python -m cornelturn.benchmarks.pool_owner``.
"""

from __future__ import annotations

import random
import sys
import time
from collections import Counter, deque
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from enum import StrEnum

from cornelturn.events.log import configure_logging
from cornelturn.jobs.model import EndKind, JobSpec, Resources, Run, RunEnd, Step
from cornelturn.jobs.progress import Progress
from cornelturn.jobs.rows import JobRow, job_key
from cornelturn.model.routes import JobQueue
from cornelturn.scheduling.pool import JobWrite, PoolScheduler
from cornelturn.scheduling.state import TargetOrder
from cornelturn.targets.address import TargetAddress
from cornelturn.targets.model import (
    ActiveRun,
    Executed,
    ListedTarget,
    StartOrder,
    TargetLife,
    TargetReport,
)

SEED = 20_261_204
TARGET_COUNTS = (6, 43, 90, 307)
BACKLOG_JOBS = (0, 500)
ROUND_MS = 10
ENDS_PER_ROUND = 8
"""Tasks that end in a round; 800 a second at `ROUND_MS`."""

ROUNDS_PER_LOAD_REPORT = 20
"""Rounds between two reports of the pool's load; 200 ms at `ROUND_MS`."""

WARM_UP_ROUNDS = 20
MEASURED_ROUNDS = 100
TASKS_PER_STEP = 8
STEPS_PER_JOB = 2
ROUNDS_PER_JOB = TASKS_PER_STEP * STEPS_PER_JOB // ENDS_PER_ROUND
TASK_MS = 800
TASK_CPUS = (500, 1_000, 1_500)
TARGET_CAPACITY = Resources(8_000, 64_000)
RACK_COUNT = 6
QUEUE = JobQueue("lookups", "host", "/lookups/", "pool", slack_factor=2.0)


class OwnerPart(StrEnum):
    """Parts of the owner's work between two batches of messages."""

    ROW = "row"
    REPORT = "report"
    PLAN = "plan"
    SETTLE = "settle"
    WRITES = "writes"
    FORGET = "forget"
    LOAD = "load"


@dataclass(slots=True)
class PartTimes:
    """Processor time by part, in nanoseconds."""

    nanoseconds_by_part: Counter[OwnerPart] = field(default_factory=Counter)

    @contextmanager
    def measure(self, part: OwnerPart) -> Iterator[None]:
        """Add the processor time of a block to a part."""
        started_ns = time.process_time_ns()
        yield
        self.nanoseconds_by_part[part] += time.process_time_ns() - started_ns


@dataclass(slots=True)
class Driver:
    """Simulates the targets and the store of a pool's scheduler."""

    scheduler: PoolScheduler
    rng: random.Random
    part_times: PartTimes = field(default_factory=PartTimes)
    running: deque[TargetOrder] = field(default_factory=deque)
    sequences: Counter[TargetLife] = field(default_factory=Counter)
    job_count: int = 0
    start_count: int = 0
    version: int = 0
    now_ms: int = 0

    def add_job(self) -> None:
        """Submit a job of `STEPS_PER_JOB` steps with equal tasks."""
        self.job_count += 1
        self.version += 1
        need = Resources(self.rng.choice(TASK_CPUS), 100)
        steps = tuple(
            Step(TASKS_PER_STEP, need, TASK_MS, after=tuple(range(number)))
            for number in range(STEPS_PER_JOB)
        )
        spec = JobSpec(f"{self.job_count:016x}", QUEUE.name, "pool", "text", steps)
        key = job_key(QUEUE.name, spec.id)
        row = JobRow(spec, Progress())
        with self.part_times.measure(OwnerPart.ROW):
            self.scheduler.add_job(key, row, self.version, QUEUE, self.now_ms)

    def run_round(self, number: int) -> None:
        """End some tasks and run the owner's work as after a batch of messages."""
        self.now_ms += ROUND_MS
        if number % ROUNDS_PER_JOB == 0:
            self.add_job()
        self._report_ends()
        self.start_tasks()
        self._write()
        self._forget()
        if number % ROUNDS_PER_LOAD_REPORT == 0:
            with self.part_times.measure(OwnerPart.LOAD):
                self.scheduler.pool_load(0)

    def start_tasks(self) -> None:
        """Run the planner and report each of its orders as executed."""
        with self.part_times.measure(OwnerPart.PLAN):
            orders = self.scheduler.plan(self.now_ms)
        with self.part_times.measure(OwnerPart.SETTLE):
            for target_order in orders:
                self.scheduler.handle_order_result(
                    target_order.life, target_order.order, Executed(), self.now_ms
                )
        started = [order for order in orders if isinstance(order.order, StartOrder)]
        self.running.extend(started)
        self.start_count += len(started)

    def _report_ends(self) -> None:
        ended_runs: dict[TargetLife, list[Run]] = {}
        for _ in range(min(ENDS_PER_ROUND, len(self.running))):
            started = self.running.popleft()
            ended_runs.setdefault(started.life, []).append(started.order.run)
        reports = [self._report(life, runs) for life, runs in ended_runs.items()]
        with self.part_times.measure(OwnerPart.REPORT):
            for report in reports:
                self.scheduler.handle_report(report, self.now_ms, self.now_ms)

    def _report(self, life: TargetLife, runs: list[Run]) -> TargetReport:
        ends: list[RunEnd] = []
        for run in runs:
            self.sequences[life] += 1
            ends.append(RunEnd(self.sequences[life], run, EndKind.DONE))
        percent = self.now_ms // ROUND_MS % 100
        active = tuple(
            ActiveRun(run, "", percent)
            for run in self.scheduler.targets[life].runs
            if run not in runs
        )
        return TargetReport(life, self.now_ms, active, tuple(ends))

    def _write(self) -> None:
        with self.part_times.measure(OwnerPart.WRITES):
            writes: list[JobWrite] = self.scheduler.start_writes()
            for write in writes:
                self.version += 1
                self.scheduler.finish_write(write, self.version, self.now_ms)

    def _forget(self) -> None:
        with self.part_times.measure(OwnerPart.FORGET):
            self.scheduler.take_acknowledgements()


def make_driver(target_count: int) -> Driver:
    """Return the driver of a pool with reachable, empty targets."""
    scheduler = PoolScheduler("pool", 1)
    listed = [_make_target(number) for number in range(target_count)]
    scheduler.update_targets(listed, 0)
    for target in listed:
        scheduler.handle_report(TargetReport(target.life, 0, (), ()), 0, 0)
    scheduler.mark_loaded(0)
    return Driver(scheduler, random.Random(SEED))


def _make_target(number: int) -> ListedTarget:
    rack = f"rack-{number % RACK_COUNT}"
    return ListedTarget(
        life=TargetLife(f"target-{number:03d}", 1),
        pool="pool",
        address=TargetAddress.loopback(1),
        data_centre="dc",
        rack=rack,
        labels=frozenset({"a", rack}),
        capacity=TARGET_CAPACITY,
        is_draining=False,
    )


def fill_pool(driver: Driver, backlog_jobs: int) -> None:
    """Start tasks on four fifths of the pool, or on all of it if there is a backlog."""
    task_cpu = sum(TASK_CPUS) // len(TASK_CPUS)
    slots = len(driver.scheduler.targets) * TARGET_CAPACITY.cpu // task_cpu
    for _ in range(slots * 4 // 5 // TASKS_PER_STEP):
        driver.add_job()
    if backlog_jobs:
        for _ in range(slots // 5 // TASKS_PER_STEP + backlog_jobs):
            driver.add_job()
    driver.start_tasks()


def measure(
    target_count: int, backlog_jobs: int, rounds: int = MEASURED_ROUNDS
) -> dict[OwnerPart, float]:
    """Return the processor time per started task, by part, in microseconds."""
    driver = make_driver(target_count)
    fill_pool(driver, backlog_jobs)
    for number in range(WARM_UP_ROUNDS):
        driver.run_round(number)
    driver.part_times = PartTimes()
    driver.start_count = 0
    for number in range(rounds):
        driver.run_round(number)
    nanoseconds_by_part = driver.part_times.nanoseconds_by_part
    return {
        part: nanoseconds_by_part[part] / 1_000 / driver.start_count
        for part in OwnerPart
    }


def main() -> None:
    """Print the processor time per started task, by part, in microseconds."""
    configure_logging("error")
    print(f"seed {SEED}, Python {sys.version.split()[0]}, us for each started task")
    print("targets backlog", *(f"{part:>8}" for part in OwnerPart), "     sum")
    for target_count in TARGET_COUNTS:
        for backlog_jobs in BACKLOG_JOBS:
            cost_us = measure(target_count, backlog_jobs)
            columns = " ".join(f"{cost_us[part]:8.1f}" for part in OwnerPart)
            print(
                f"{target_count:7d} {backlog_jobs:7d} {columns} "
                f"{sum(cost_us.values()):8.1f}"
            )


if __name__ == "__main__":
    main()
