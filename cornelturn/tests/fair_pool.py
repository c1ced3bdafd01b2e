"""A pool shared by organisations, without sockets."""

from __future__ import annotations

from cornelturn.events.job_metrics import JobMetrics
from cornelturn.jobs.model import EndKind, JobSpec, Resources, Run, RunEnd, Step
from cornelturn.jobs.progress import Progress
from cornelturn.jobs.rows import JobRow, job_key
from cornelturn.model.organisations import Organisation
from cornelturn.model.routes import JobQueue, RoutingTable
from cornelturn.scheduling.pool import PoolScheduler
from cornelturn.targets.address import TargetAddress
from cornelturn.targets.model import (
    Executed,
    ListedTarget,
    StartOrder,
    TargetLife,
    TargetReport,
)

QUEUE = JobQueue("lookups", "host", "/lookups/", "pool", max_attempts=3, slack_ms=5_000)
CORE = Step(1, Resources(1_000, 1), 100)
WEIGHTS = {"one": 1.0, "two": 2.0, "four": 4.0}


class Pool:
    """A scheduler with one target whose runs end when a test says so."""

    def __init__(self, cpu: int, weights: dict[str, float], generation: int = 1):
        self.life = TargetLife("t-1", 1)
        self.scheduler = PoolScheduler("pool", generation, metrics=JobMetrics())
        self.scheduler.update_targets([listed_target(self.life, cpu)], 0)
        self.scheduler.handle_report(TargetReport(self.life, 0, (), ()), 0, 0)
        self.configure(weights)
        self.running: list[Run] = []
        self.ends = 0
        self.jobs = 0

    def configure(self, weights: dict[str, float], version: int = 1) -> None:
        organisations = tuple(Organisation(*item) for item in weights.items())
        table = RoutingTable(version, (QUEUE,), organisations=organisations)
        self.scheduler.update_routing(table, 0)

    def load(self) -> Pool:
        self.scheduler.mark_loaded(0)
        return self

    def add(
        self,
        organisation: str,
        *steps: Step,
        now_ms: int = 0,
        progress: Progress | None = None,
    ) -> str:
        self.jobs += 1
        job = f"{self.jobs:016x}"
        spec = JobSpec(
            job, QUEUE.name, "pool", "text", steps or (CORE,), organisation=organisation
        )
        row = JobRow(spec, progress or Progress())
        key = job_key(QUEUE.name, job)
        self.scheduler.add_job(key, row, self.jobs, QUEUE, now_ms)
        return job

    def plan(self, now_ms: int = 0) -> list[Run]:
        """Start what the scheduler orders, and return it."""
        orders = self.scheduler.plan(now_ms)
        started = [item for item in orders if isinstance(item.order, StartOrder)]
        for item in started:
            self.scheduler.handle_order_result(
                item.life, item.order, Executed(), now_ms
            )
        runs = [item.order.run for item in started]
        self.running += runs
        return runs

    def started(self, now_ms: int = 0) -> list[str]:
        """Return the organisations of the runs that a plan starts."""
        jobs = self.scheduler.jobs
        return [jobs[run.task.job].spec.organisation for run in self.plan(now_ms)]

    def end(self, count: int, now_ms: int, kind: EndKind = EndKind.DONE) -> None:
        """End the runs that started first."""
        ended, self.running = self.running[:count], self.running[count:]
        ends = []
        for run in ended:
            self.ends += 1
            ends.append(RunEnd(self.ends, run, kind))
        report = TargetReport(self.life, now_ms, (), tuple(ends))
        # Sent before any start, so that it need not list the active runs.
        self.scheduler.handle_report(report, 0, now_ms)
        for write in self.scheduler.start_writes():
            self.scheduler.finish_write(write, 1_000_000 + self.ends, now_ms)


def listed_target(life: TargetLife, cpu: int) -> ListedTarget:
    return ListedTarget(
        life=life,
        pool="pool",
        address=TargetAddress.loopback(1),
        data_centre="dc",
        rack="r1",
        labels=frozenset({"a", "r1"}),
        capacity=Resources(cpu, 1_000_000),
        is_draining=False,
    )


def new_fair_pool(
    cores: int, weights: dict[str, float] | None = None, generation: int = 1
) -> Pool:
    """Return a pool of some cores whose rows have been read."""
    chosen = WEIGHTS if weights is None else weights
    return Pool(cores * 1_000, chosen, generation).load()
