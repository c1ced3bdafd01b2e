"""A pool under other work and bursts of urgent jobs, with simulated time and targets.

Progress and checkpoints in reports are half a second old, ends are reported up to
150 ms late, and stops take 200 ms.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from heapq import heappop, heappush
from math import ceil
from random import Random

from cornelturn.jobs.model import EndKind, JobSpec, Resources, Run, RunEnd, Step, TaskId
from cornelturn.jobs.progress import Progress
from cornelturn.jobs.rows import JobRow, job_key
from cornelturn.model.routes import JobQueue
from cornelturn.preemption.decision import NO_PREEMPTION, PreemptionSettings
from cornelturn.scheduling.start_targets import StartTargets
from cornelturn.scheduling.step_try import StepTry
from cornelturn.scheduling.target_view import TargetView
from cornelturn.targets.model import (
    ActiveRun,
    Executed,
    Order,
    StartOrder,
    StopOrder,
    TargetLife,
    TargetReport,
)
from cornelturn.tests.overload import (
    CAPACITY,
    QUEUE,
    ROUND_MS,
    Caller,
    Load,
    Overload,
    fraction_true,
)

TARGETS = 12
DURATION_MS = 30_000
FIRST_BURST_MS = 12_000
"""Time of the first burst; other work of 10 s then fills the pool evenly."""

BURST_INTERVAL_MS = 9_000
REPORT_INTERVAL_MS = 900
PROGRESS_AGE_MS = 500
MAX_END_DELAY_MS = 150
STOP_MS = 200
"""Time from the order of a stop to the report of its end."""

CHECKPOINT_INTERVAL_MS = 1_000
RESTORE_MS = 250
"""Time that a run needs to resume from a checkpoint."""

SHORT_MS = (850, 1_400)
LONG_MS = 10_000
TASK_CPU = 6_200

URGENT_QUEUE = JobQueue(
    "alerts",
    "host",
    "/alerts/",
    "pool",
    priority=0,
    slack_factor=QUEUE.slack_factor,
    slack_ms=QUEUE.slack_ms,
    max_attempts=2,
)
OTHER_QUEUE = JobQueue(
    QUEUE.name,
    "host",
    "/lookups/",
    "pool",
    priority=1,
    slack_factor=QUEUE.slack_factor,
    slack_ms=QUEUE.slack_ms,
    max_attempts=2,
)


@dataclass(frozen=True, slots=True)
class Case:
    """A load of two priorities.

    Parameters
    ----------
    long_share : float
        Share of the other work, by its capacity, in tasks of 10 s.
    is_checkpointing : bool
        Whether these tasks save checkpoints.
    urgent_load : float
        Urgent work in a burst, relative to the capacity of the pool.
    burst_ms : int
        Length of a burst; with 0, that of one task arrives at once.
    urgent_step : Step or None
        Step of the urgent jobs, None for steps like those of the other work.
    """

    name: str
    long_share: float
    urgent_load: float
    is_checkpointing: bool = False
    burst_ms: int = 3_000
    urgent_step: Step | None = None


@dataclass(frozen=True, slots=True)
class Alternative:
    """A way to make room for urgent work.

    Parameters
    ----------
    other_load : float
        Load of the other work relative to the capacity of the pool; without any, the
        figures show what no alternative can exceed.
    headroom : float
        Share of the capacity of the pool that only urgent work may take.
    preemption : PreemptionSettings
        Whether other work is stopped for it.
    """

    name: str
    other_load: float = 1.1
    headroom: float = 0.0
    preemption: PreemptionSettings = NO_PREEMPTION


@dataclass(slots=True)
class HeadroomTargets(StartTargets):
    """Starts other work only where a share of the pool's capacity stays free."""

    share: float = 0.0

    def choose(self, step_try: StepTry, task: TaskId) -> TargetView | None:
        """Return the target for a task, None if it can start on none."""
        views = self.state.targets.values()
        free_cpu = sum(view.free().cpu for view in views)
        kept_cpu = self.share * sum(view.listed.capacity.cpu for view in views)
        need_cpu = step_try.step().counted_need().cpu
        if step_try.job.priority() > 0 and free_cpu - need_cpu < kept_cpu:
            return None
        return StartTargets.choose(self, step_try, task)


@dataclass(slots=True)
class PlayedRun:
    """A run on a simulated target.

    Parameters
    ----------
    done_ms : int
        Work of earlier runs that it resumes from.
    restore_ms : int
        Time that it needs for that first.
    """

    run: Run
    life: TargetLife
    step: Step
    work_ms: int
    started_ms: int
    done_ms: int = 0
    restore_ms: int = 0

    def done_by(self, now_ms: int) -> int:
        """Return the work of the task that is done by some time."""
        working_ms = now_ms - self.started_ms - self.restore_ms
        return self.done_ms + max(0, min(working_ms, self.work_ms - self.done_ms))

    def saved_by(self, now_ms: int) -> int:
        """Return the work that is saved in a checkpoint by some time."""
        if not self.step.is_checkpointing:
            return 0
        done_ms = self.done_by(now_ms)
        return max(self.done_ms, done_ms - done_ms % CHECKPOINT_INTERVAL_MS)

    def end_ms(self) -> int:
        """Return when it ends."""
        return self.started_ms + self.restore_ms + self.work_ms - self.done_ms

    def report(self, now_ms: int) -> ActiveRun:
        """Return the run as its target reports it."""
        seen_ms = now_ms - PROGRESS_AGE_MS
        saved_ms = self.saved_by(seen_ms)
        percent = 100 * self.done_by(seen_ms) // self.work_ms
        return ActiveRun(self.run, str(saved_ms) if saved_ms else "", percent)


@dataclass
class UrgentLoad(Overload):
    """Other work that fills a pool, and bursts of urgent jobs.

    Parameters
    ----------
    urgent : set of str
        Urgent jobs.
    first_start_ms : dict
        Time from the arrival of each job to its first start.
    lost_core_ms : float
        Work of stopped runs that was not saved, and the time to resume from the rest.
    """

    case: Case = Case("short", 0.0, 1.0)
    alternative: Alternative = Alternative("order")
    urgent: set[str] = field(default_factory=set)
    first_start_ms: dict[str, int] = field(default_factory=dict)
    runs: dict[Run, PlayedRun] = field(default_factory=dict)
    reported_ms: dict[TargetLife, int] = field(default_factory=dict)
    stopping: list[tuple[int, int, TargetLife, Run]] = field(default_factory=list)
    lost_core_ms: float = 0.0
    stops: int = 0

    def __post_init__(self) -> None:
        super().__post_init__()
        self.delays = Random(self.seed)
        self.capacity_cpu = self.load.targets * CAPACITY.cpu
        self.reported_ms = dict.fromkeys(self.scheduler.targets, 0)
        self.scheduler.preemption.settings = self.alternative.preemption
        if self.alternative.headroom:
            targets = self.scheduler.planner.start_targets
            self.scheduler.planner.start_targets = HeadroomTargets(
                targets.state,
                targets.filling_targets,
                targets.reservations,
                self.alternative.headroom,
            )

    def simulate(self) -> None:
        """Submit the load, and continue until all jobs are completed."""
        urgent_jobs = deque(self.urgent_jobs())
        per_ms = self.other_jobs_per_ms()
        other_ms = self.rng.expovariate(per_ms) if per_ms else self.load.duration_ms
        while self.now_ms < self.load.duration_ms or self.scheduler.jobs:
            self.now_ms += ROUND_MS
            while other_ms < min(self.now_ms, self.load.duration_ms):
                self.submit(OTHER_QUEUE, *self.make_other_step())
                other_ms += self.rng.expovariate(per_ms)
            while urgent_jobs and urgent_jobs[0][0] < self.now_ms:
                _, step, run_ms = urgent_jobs.popleft()
                self.urgent.add(self.submit(URGENT_QUEUE, step, run_ms))
            self.end_runs()
            self.start_runs()
            self.confirm_writes()

    def other_jobs_per_ms(self) -> float:
        """Return how many other jobs arrive per millisecond."""
        share, mean_ms = self.case.long_share, sum(SHORT_MS) / 2
        core_ms = self.load.tasks * TASK_CPU
        per_ms = (1 - share) / (core_ms * mean_ms) + share / (core_ms * LONG_MS)
        return self.alternative.other_load * self.capacity_cpu * per_ms

    def urgent_jobs(self) -> Iterator[tuple[int, Step, int]]:
        """Return arrival, step and run time of the urgent jobs of all bursts.

        The jobs of a burst have exactly the work that is wanted, or as little more as
        the last one allows.
        """
        burst_ms = self.case.burst_ms
        work_ms = burst_ms or sum(SHORT_MS) / 2
        for from_ms in range(FIRST_BURST_MS, self.load.duration_ms, BURST_INTERVAL_MS):
            remaining = self.case.urgent_load * self.capacity_cpu * work_ms
            jobs: list[tuple[int, Step, int]] = []
            while remaining > 0:
                step, run_ms = self.make_urgent_step()
                task_work = step.need.cpu * run_ms
                if self.case.urgent_step is None:
                    fitting = ceil(remaining / task_work)
                    step = replace(step, count=min(step.count, fitting))
                remaining -= step.count * task_work
                jobs.append((from_ms + int(self.rng.random() * burst_ms), step, run_ms))
            yield from sorted(jobs, key=lambda job: job[0])

    def make_other_step(self) -> tuple[Step, int]:
        """Return the step of a job, and the run time of its tasks."""
        mean_ms, share = sum(SHORT_MS) / 2, self.case.long_share
        long_jobs = share / LONG_MS
        is_long = self.rng.random() * ((1 - share) / mean_ms + long_jobs) < long_jobs
        run_ms = LONG_MS if is_long else self.rng.randint(*SHORT_MS)
        return self.make_step(run_ms, is_long and self.case.is_checkpointing), run_ms

    def make_urgent_step(self) -> tuple[Step, int]:
        """Return the step of an urgent job, and the run time of its tasks."""
        run_ms = self.rng.randint(*SHORT_MS)
        return self.case.urgent_step or self.make_step(run_ms), run_ms

    def make_step(self, run_ms: int, is_checkpointing: bool = False) -> Step:
        """Return a step with several tasks, whose declared run time is not exact."""
        count = max(1, min(32, round(self.sample(self.load.tasks, 0.6))))
        cpu = round(min(self.sample(TASK_CPU, self.load.spread), self.load.max_cpu))
        declared_ms = round(self.sample(run_ms, self.load.estimate_spread))
        return Step(
            count, Resources(cpu, 100), declared_ms, is_checkpointing=is_checkpointing
        )

    def submit(self, queue: JobQueue, step: Step, run_ms: int) -> str:
        """Submit a job of one step, and return its id."""
        self.version += 1
        job = f"{self.rng.getrandbits(64):016x}"
        spec = JobSpec(job, queue.name, "pool", "text", (step,))
        self.callers[job] = Caller(spec, self.now_ms, (run_ms,))
        row = JobRow(spec, Progress())
        self.scheduler.add_job(
            job_key(queue.name, job), row, self.version, queue, self.now_ms
        )
        return job

    def end_runs(self) -> None:
        """Report the runs that have ended by now, and the progress of the others."""
        ended: dict[TargetLife, list[RunEnd]] = {}
        for heap, kind in (
            (self.ending, EndKind.DONE),
            (self.stopping, EndKind.STOPPED),
        ):
            while heap and heap[0][0] <= self.now_ms:
                _, _, life, run = heappop(heap)
                played = self.runs.pop(run, None)
                if played is not None:
                    ended.setdefault(life, []).append(self.make_end(played, kind))
        for life, reported_ms in self.reported_ms.items():
            if life in ended or self.now_ms - reported_ms >= REPORT_INTERVAL_MS:
                self.reported_ms[life] = self.now_ms
                active = tuple(
                    played.report(self.now_ms)
                    for played in self.runs.values()
                    if played.life == life
                )
                ends = tuple(ended.get(life, ()))
                report = TargetReport(life, self.now_ms, active, ends)
                self.scheduler.handle_report(report, self.now_ms, self.now_ms)

    def make_end(self, played: PlayedRun, kind: EndKind) -> RunEnd:
        """Return the end of a run, and count what is lost by a stop."""
        self.sequences[played.life] += 1
        saved_ms = played.saved_by(self.now_ms)
        if kind is EndKind.STOPPED:
            self.stops += 1
            lost_ms = self.now_ms - played.started_ms
            if saved_ms > played.done_ms:
                lost_ms = played.done_by(self.now_ms) - saved_ms
            lost_ms += RESTORE_MS if saved_ms else 0
            self.lost_core_ms += lost_ms * played.step.need.cpu / 1_000
        checkpoint = str(saved_ms) if saved_ms else ""
        return RunEnd(self.sequences[played.life], played.run, kind, checkpoint)

    def start_runs(self) -> None:
        """Execute the orders of the scheduler."""
        for planned in self.scheduler.plan(self.now_ms):
            self.scheduler.handle_order_result(
                planned.life, planned.order, Executed(), self.now_ms
            )
            self.execute(planned.life, planned.order)

    def execute(self, life: TargetLife, order: Order) -> None:
        """Carry out an order at once."""
        run, self.version = order.run, self.version + 1
        match order:
            case StartOrder(checkpoint=checkpoint):
                caller = self.callers[run.task.job]
                self.first_start_ms.setdefault(
                    run.task.job, self.now_ms - caller.sent_ms
                )
                played = self.runs[run] = PlayedRun(
                    run,
                    life,
                    caller.spec.steps[run.task.step],
                    caller.run_ms[run.task.step],
                    self.now_ms,
                    int(checkpoint or 0),
                    RESTORE_MS if checkpoint else 0,
                )
                end_ms = played.end_ms() + self.delays.randrange(MAX_END_DELAY_MS)
                heappush(self.ending, (end_ms, self.version, life, run))
            case StopOrder():
                entry = (self.now_ms + STOP_MS, self.version, life, run)
                heappush(self.stopping, entry)

    def urgent_starts_ms(self) -> list[int]:
        """Return the times from arrival to first start of the urgent jobs, sorted."""
        return sorted(self.first_start_ms[job] for job in self.urgent)

    def on_time_of(self, is_urgent: bool) -> float:
        """Return the share of the urgent or other jobs that were on time."""
        jobs = [
            caller.is_on_time()
            for job, caller in self.callers.items()
            if (job in self.urgent) is is_urgent
        ]
        return fraction_true(jobs) if jobs else 1.0


def play(case: Case, alternative: Alternative, seed: int) -> UrgentLoad:
    """Return a played load."""
    load = Load(0, DURATION_MS, TARGETS, estimate_spread=0.25)
    played = UrgentLoad(load, seed, case=case, alternative=alternative)
    played.simulate()
    return played
