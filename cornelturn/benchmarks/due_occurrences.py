"""Measures an owner's turns while one job has many due occurrences.

Small jobs of others come beside it, more urgent ones and ones of the same queue. A turn
is the work of the owner after which it lets other tasks run: it does so after a batch
of messages, and within one as soon as it has worked for `MAX_TURN_MS`. Turns are given
by processor time and by the clock; the latter contains the load of the machine. The
turn in which an owner takes the job up is given by itself. Run
``python -m cornelturn.benchmarks.due_occurrences``.
"""

from __future__ import annotations

import gc
import random
import sys
import time
from collections import Counter, deque
from dataclasses import dataclass, field, replace
from itertools import product

from cornelturn.benchmarks.pool_owner import SEED, make_driver
from cornelturn.cli.lifecycle import exempt_start_objects
from cornelturn.events.log import configure_logging
from cornelturn.jobs.model import EndKind, JobSpec, Recurrence, Resources, RunEnd, Step
from cornelturn.jobs.progress import Progress
from cornelturn.jobs.rows import JobRow, decode_job, encode_job, job_key
from cornelturn.model.routes import JobQueue
from cornelturn.scheduling.group_commit import GroupCommits
from cornelturn.scheduling.owner import MAX_STARTS_PER_PLAN, MAX_TURN_MS
from cornelturn.scheduling.pool import JobWrite, PoolScheduler
from cornelturn.scheduling.state import TargetOrder
from cornelturn.targets.model import Executed, StartOrder, TargetLife, TargetReport

DUE_COUNTS = (10, 1_000, 10_000, 100_000)
TARGET_COUNTS = (96, 16)
"""Targets of 8 cores; 1,536 tasks at a time, which is more than the row of a job
has room for, and 256, which is less."""

DONE_SHARES = (0.0, 0.9)
"""Parts of the occurrences that were done at an earlier owner."""

TASK_MS = 300
STEP = Step(1, Resources(500, 64), TASK_MS)
MEASURED_MS = 4_000
SMALL_JOB_INTERVAL_MS = 50
TICK_MS = 5
LOAD_REPORT_MS = 200
USUAL = JobQueue("usual", "host", "/usual/", "pool", 1, slack_ms=60_000)
URGENT = JobQueue("urgent", "host", "/urgent/", "pool", 0, slack_ms=60_000)
LARGE_JOB = "0" * 16


@dataclass(slots=True)
class TurnTimes:
    """Durations of the turns in milliseconds.

    Parameters
    ----------
    turns_ms : list of float
        Processor time of each turn.
    longest_ms : float
        Longest turn by the clock.
    longest_write_ms : float
        Longest processor time for the rows of a commit, which is part of a turn.
    """

    turns_ms: list[float] = field(default_factory=list)
    longest_ms: float = 0.0
    longest_write_ms: float = 0.0
    started_s: float = field(default_factory=time.perf_counter)
    started_cpu_s: float = field(default_factory=time.process_time)

    def begin(self) -> None:
        """Begin a turn."""
        self.started_s = time.perf_counter()
        self.started_cpu_s = time.process_time()

    def end(self) -> None:
        """End the turn, and begin the next one."""
        spent_ms = (time.perf_counter() - self.started_s) * 1_000
        self.longest_ms = max(self.longest_ms, spent_ms)
        self.turns_ms.append((time.process_time() - self.started_cpu_s) * 1_000)
        self.begin()

    def end_if_due(self) -> None:
        """End the turn if it has taken the time after which the owner pauses."""
        if time.perf_counter() - self.started_s >= MAX_TURN_MS / 1_000:
            self.end()


@dataclass(slots=True)
class Pool:
    """A scheduler in real time, with targets and a store that answer at once.

    Parameters
    ----------
    taken_up_ms : float
        Processor time for reading and adding the row of the job with due occurrences.
    running : deque
        Runs with the times of their ends, in this order.
    submitted_ms, waits_ms : dict
        When each small job came, and how long it waited for its start.
    """

    scheduler: PoolScheduler
    rng: random.Random
    started_s: float = field(default_factory=time.perf_counter)
    taken_up_ms: float = 0.0
    running: deque[tuple[float, TargetOrder]] = field(default_factory=deque)
    sequences: Counter[TargetLife] = field(default_factory=Counter)
    commits: GroupCommits = field(default_factory=GroupCommits)
    writes: list[tuple[str, JobWrite]] = field(default_factory=list)
    submitted_ms: dict[str, float] = field(default_factory=dict)
    waits_ms: dict[str, float] = field(default_factory=dict)
    times: TurnTimes = field(default_factory=TurnTimes)
    version: int = 0
    load_due_ms: float = 0.0

    def now_ms(self) -> float:
        """Return the time since the start."""
        return (time.perf_counter() - self.started_s) * 1_000

    def add(self, job: str, queue: JobQueue) -> None:
        """Add a small job."""
        spec = JobSpec(job, queue.name, "pool", "text", (STEP,))
        self._add_row(JobRow(spec, Progress()), queue)

    def take_up(self, due: int, done: int) -> None:
        """Read the row of a job with due occurrences, of which the first are done."""
        recurrence = Recurrence(due, 0, 0)
        spec = JobSpec(LARGE_JOB, USUAL.name, "pool", "text", (STEP,), recurrence)
        progress = Progress(done={(number, 0): {0} for number in range(done)})
        text = encode_job(JobRow(spec, progress))
        self.times.begin()
        self._add_row(decode_job(job_key(USUAL.name, LARGE_JOB), text).unwrap(), USUAL)
        self.times.end()
        self.taken_up_ms = self.times.turns_ms.pop()
        self.times.longest_ms = 0.0
        self.started_s = time.perf_counter()

    def _add_row(self, row: JobRow, queue: JobQueue) -> None:
        self.version += 1
        key = job_key(queue.name, row.spec.id)
        self.scheduler.add_job(key, row, self.version, queue, round(self.now_ms()))

    def work(self, small_jobs: list[tuple[str, JobQueue]]) -> None:
        """Do the work after one batch of messages, in one turn or more."""
        ended: list[TargetOrder] = []
        while self.running and self.running[0][0] <= self.now_ms():
            ended.append(self.running.popleft()[1])
        self.times.begin()
        for job, queue in small_jobs:
            self.submitted_ms[job] = self.now_ms()
            self.add(job, queue)
            self.times.end_if_due()
        self._report_ends(ended)
        self._start_tasks()
        self._write()
        self.scheduler.take_acknowledgements()
        if self.now_ms() >= self.load_due_ms:
            self.load_due_ms = self.now_ms() + LOAD_REPORT_MS
            self.scheduler.pool_load(0)
            self.scheduler.pending_by_queue()
            for job_view in self.scheduler.jobs.values():
                job_view.count_waiting()
        self.times.end()

    def _report_ends(self, ended: list[TargetOrder]) -> None:
        by_target: dict[TargetLife, list[RunEnd]] = {}
        for item in ended:
            self.sequences[item.life] += 1
            end = RunEnd(self.sequences[item.life], item.order.run, EndKind.DONE)
            by_target.setdefault(item.life, []).append(end)
        now_ms = round(self.now_ms())
        for life, ends in by_target.items():
            report = TargetReport(life, now_ms, (), tuple(ends), is_complete=False)
            self.scheduler.handle_report(report, now_ms, now_ms)
            self.times.end_if_due()

    def _start_tasks(self) -> None:
        now_ms = round(self.now_ms())
        for item in self.scheduler.plan(now_ms, MAX_STARTS_PER_PLAN):
            self.scheduler.handle_order_result(
                item.life, item.order, Executed(), now_ms
            )
            if isinstance(item.order, StartOrder):
                self.running.append((self.now_ms() + TASK_MS, item))
                job = item.order.run.task.job
                if job in self.submitted_ms:
                    self.waits_ms[job] = self.now_ms() - self.submitted_ms[job]
        self.times.end_if_due()

    def _write(self) -> None:
        """Finish the commits of the turn before, and start those that are due."""
        now_ms = round(self.now_ms())
        for part, write in self.writes:
            self.version += 1
            self.commits.commit_finished(part)
            self.scheduler.finish_write(write, self.version, now_ms)
        self.writes.clear()
        dirty = self.scheduler.dirty_jobs()
        groups = self.commits.start_commits(dirty, now_ms)
        started_s = time.process_time()
        for group in groups:
            self.writes += [
                (group.part, self.scheduler.rows.start_write(job)) for job in group.jobs
            ]
        spent_ms = (time.process_time() - started_s) * 1_000
        self.times.longest_write_ms = max(self.times.longest_write_ms, spent_ms)


def measure(due: int, targets: int, done: int) -> Pool:
    """Play a few seconds with one job of which some occurrences are due.

    Parameters
    ----------
    done : int
        Number of the first occurrences that an earlier owner has found done.
    """
    scheduler = make_driver(targets).scheduler
    pool = Pool(scheduler, random.Random(SEED))
    for view in scheduler.targets.values():
        view.listed = replace(view.listed, labels=frozenset())
        scheduler.update_free_capacity(view)
    pool.take_up(due, done)
    next_job_ms = SMALL_JOB_INTERVAL_MS
    number = 0
    while pool.now_ms() < MEASURED_MS:
        small_jobs: list[tuple[str, JobQueue]] = []
        if pool.now_ms() >= next_job_ms:
            next_job_ms += SMALL_JOB_INTERVAL_MS
            number += 2
            small_jobs = [(f"{number:016x}", USUAL), (f"{number + 1:016x}", URGENT)]
        pool.work(small_jobs)
        if not scheduler.has_more_starts():
            time.sleep(TICK_MS / 1_000)
    return pool


def longest_wait_ms(pool: Pool, is_urgent: bool) -> float:
    """Return the longest wait of the small jobs of a queue, those not started too."""
    return max(
        pool.waits_ms.get(job, pool.now_ms() - submitted_ms)
        for job, submitted_ms in pool.submitted_ms.items()
        if bool(int(job, 16) % 2) is is_urgent
    )


def main() -> None:
    """Print the longest turn and the longest waits of small jobs in milliseconds."""
    configure_logging("error")
    exempt_start_objects()
    print(f"seed {SEED}, Python {sys.version.split()[0]}, ms")
    print(
        "targets    due   done  take-up  turns  median  longest  of it rows  by clock"
        "   ends  urgent wait  usual wait"
    )
    for targets, due, share in product(TARGET_COUNTS, DUE_COUNTS, DONE_SHARES):
        done = round(due * share)
        # The pool of the case before would be collected in a turn of this one.
        gc.collect()
        pool = measure(due, targets, done)
        turns_ms = sorted(pool.times.turns_ms)
        ends = sum(pool.sequences.values())
        print(
            f"{targets:7d} {due:6d} {done:6d} {pool.taken_up_ms:8.1f} "
            f"{len(turns_ms):6d} {turns_ms[len(turns_ms) // 2]:7.2f} "
            f"{turns_ms[-1]:8.1f} {pool.times.longest_write_ms:11.1f} "
            f"{pool.times.longest_ms:9.1f} {ends:6d} "
            f"{longest_wait_ms(pool, True):12.1f} {longest_wait_ms(pool, False):11.1f}"
        )


if __name__ == "__main__":
    main()
