"""Tests that rows of jobs are written by part, one commit at a time."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

import pytest
from result import Err, Ok

from cornelturn.clock import Clock
from cornelturn.jobs.model import EndKind, JobSpec, Resources, Run, RunEnd, Step
from cornelturn.jobs.progress import Progress
from cornelturn.jobs.rows import JobRow, decode_job, encode_job, job_key, part_of
from cornelturn.model.routes import JobQueue, RoutingTable
from cornelturn.ownership.messages import DutyTaken, RowWrite
from cornelturn.scheduling.group_commit import MIN_COMMIT_INTERVAL_MS, GroupCommits
from cornelturn.scheduling.messages import JobRowsRead, TargetsListed
from cornelturn.scheduling.owner import PoolOwner
from cornelturn.scheduling.views import JobView
from cornelturn.store.rows import Committed, Page, Put, Row, TableUnavailable
from cornelturn.targets.address import TargetAddress
from cornelturn.targets.model import (
    ActiveRun,
    Executed,
    Lease,
    ListedTarget,
    Order,
    OrderResult,
    ReportResult,
    StartOrder,
    StopOrder,
    TargetLife,
    TargetReport,
)

QUEUE = JobQueue("lookups", "host", "/lookups/", "pool", max_attempts=2)
LIVES = tuple(TargetLife(f"t-{number}", 1) for number in range(5))
CAPACITY = Resources(4_000, 64_000)
COMMIT_S = 0.05
END_INTERVAL_S = 0.01
JOBS = 20
TASKS = 10


def ready_view(number: int, tasks: int = 2) -> JobView:
    spec = JobSpec(
        f"{number:016x}", QUEUE.name, "pool", "", (Step(tasks, Resources(100)),)
    )
    key = job_key(QUEUE.name, spec.id)
    return JobView(key, spec, Progress(), 1, QUEUE, 0)


@pytest.fixture
def one_part() -> list[JobView]:
    """Return jobs of one part."""
    views = [ready_view(number) for number in range(200)]
    return [view for view in views if part_of(view.key) == part_of(views[0].key)]


def test_idle_part_is_committed_at_once_and_one_commit_at_a_time(one_part) -> None:
    commits = GroupCommits()
    (group,) = commits.start_commits(one_part[:1], 1_000)
    assert group.jobs == tuple(one_part[:1])
    assert commits.start_commits(one_part[1:3], 1_000 + MIN_COMMIT_INTERVAL_MS) == []
    commits.commit_finished(group.part)
    (group,) = commits.start_commits(one_part[1:3], 1_000 + MIN_COMMIT_INTERVAL_MS)
    assert group.jobs == tuple(one_part[1:3])


def test_commit_waits_for_its_interval_unless_a_job_is_final(one_part) -> None:
    commits = GroupCommits()
    (group,) = commits.start_commits(one_part[:1], 1_000)
    commits.commit_finished(group.part)
    assert commits.start_commits(one_part[:2], 1_010) == []
    assert commits.due_ms == 1_000 + MIN_COMMIT_INTERVAL_MS
    one_part[1].progress.is_cancelled = True
    (group,) = commits.start_commits(one_part[:2], 1_010)
    assert group.jobs == (one_part[1], one_part[0])
    assert commits.due_ms is None


def test_owner_that_stops_delays_no_commit(one_part) -> None:
    commits = GroupCommits()
    (group,) = commits.start_commits(one_part[:1], 1_000)
    commits.commit_finished(group.part)
    assert commits.start_commits(one_part[:1], 1_001, is_urgent=True)


@dataclass
class SlowStore:
    """A store whose commits take `COMMIT_S`; counts those in flight by part.

    Parameters
    ----------
    failing_jobs : frozenset of str
        Jobs that may end as failed, so that their runs are stopped.
    """

    rows: dict[str, Row] = field(default_factory=dict)
    in_flight: Counter[str] = field(default_factory=Counter)
    max_in_flight: int = 0
    commits: int = 0
    failures: int = 0
    failing_jobs: frozenset[str] = frozenset()

    async def commit(self, *operations: Put):
        part = part_of(operations[0].key)
        self.in_flight[part] += 1
        self.max_in_flight = max(self.max_in_flight, self.in_flight[part])
        await asyncio.sleep(COMMIT_S)
        self.in_flight[part] -= 1
        if self.failures:
            self.failures -= 1
            return Err(TableUnavailable("status 503", is_in_doubt=False))
        self.commits += 1
        version = 100 + self.commits
        for put in operations:
            assert self.rows[put.key].version == put.expected
            self.rows[put.key] = Row(put.key, version, "", put.value)
        return Ok(Committed(version))

    async def parts(self, table: str):
        return Ok([])

    async def scan(self, table: str, part: str):
        return Ok(Page(1, ()))

    def is_serving(self) -> bool:
        return True

    async def changes(self, table: str, after: int, wait_ms: int):
        await asyncio.sleep(wait_ms)
        return Ok(Page(after, ()))

    def done_tasks(self) -> dict[str, int]:
        """Return how many tasks of each job are done according to the rows."""
        jobs = [decode_job(row.key, row.value).unwrap() for row in self.rows.values()]
        return {
            job.spec.id: sum(map(len, job.progress.done.values()))
            for job in jobs
            if job.progress.done
        }


@dataclass
class QuickTarget:
    """A target whose tasks end one after another, every `END_INTERVAL_S`.

    Parameters
    ----------
    last_end_s : float
        When the last task ended.
    acknowledged_ends : list of RunEnd
        Ends that the owner acknowledged.
    """

    store: SlowStore
    life: TargetLife
    last_end_s: float
    rng: random.Random
    runs: list[Run] = field(default_factory=list)
    ended: list[RunEnd] = field(default_factory=list)
    acknowledged_ends: list[RunEnd] = field(default_factory=list)
    ends: int = 0

    async def send_order(self, order: Order, lease: Lease) -> OrderResult:
        match order:
            case StartOrder():
                self.runs.append(order.run)
            case StopOrder(run):
                assert run.task.job in self.store.failing_jobs
                self.stop_run(run)
            case _:
                raise AssertionError(f"unexpected order {order}")
        return Executed()

    def stop_run(self, run: Run) -> None:
        if run in self.runs:
            self.runs.remove(run)
            self.ends += 1
            self.ended.append(RunEnd(self.ends, run, EndKind.STOPPED, ""))

    async def fetch_report(
        self, lease: Lease, acknowledged: int, wait_ms: int
    ) -> ReportResult:
        for end in [ended for ended in self.ended if ended.sequence <= acknowledged]:
            self.ended.remove(end)
            self.acknowledged_ends.append(end)
            self.check_written(end.run)
        await asyncio.sleep(END_INTERVAL_S * self.rng.uniform(1, 8))
        self.end_runs(time.monotonic())
        active = tuple(ActiveRun(run, "", self.ends) for run in self.runs)
        return Ok(TargetReport(self.life, 1_000, active, tuple(self.ended)))

    def end_runs(self, now_s: float) -> None:
        while self.last_end_s + END_INTERVAL_S < now_s:
            self.last_end_s += END_INTERVAL_S
            if self.runs:
                self.ends += 1
                run = self.runs.pop(self.rng.randrange(len(self.runs)))
                self.ended.append(RunEnd(self.ends, run, EndKind.DONE, ""))

    def check_written(self, run: Run) -> None:
        task = run.task
        if task.job in self.store.failing_jobs:
            return
        row = self.store.rows[job_key(QUEUE.name, task.job)]
        progress = decode_job(row.key, row.value).unwrap().progress
        assert task.index in progress.done[(task.occurrence, task.step)]

    async def close(self) -> None:
        """Do nothing, as there is no connection."""


def listed(life: TargetLife) -> ListedTarget:
    return ListedTarget(
        life,
        "pool",
        TargetAddress.loopback(1),
        "dc",
        "r1",
        frozenset(),
        CAPACITY,
        False,
    )


def small_specs() -> list[JobSpec]:
    """Return jobs of one step of `TASKS` tasks."""
    step = Step(TASKS, Resources(100, 100))
    return [
        JobSpec(f"{number:016x}", QUEUE.name, "pool", "", (step,))
        for number in range(JOBS)
    ]


async def run_jobs(store: SlowStore, specs: Sequence[JobSpec] = ()) -> None:
    """Run the jobs of a pool until its owner has acknowledged all ends.

    Parameters
    ----------
    specs : sequence of JobSpec
        The jobs, `small_specs` if there are none.
    """
    specs = specs or small_specs()
    tasks = sum(step.count for spec in specs for step in spec.steps)

    async def record(duty: str, targets: object, is_settled: bool) -> RowWrite:
        return RowWrite.WRITTEN

    now_s = time.monotonic()
    targets = {
        life: QuickTarget(store, life, now_s, random.Random(life.name))
        for life in LIVES
    }
    owner = PoolOwner(
        ownership=DutyTaken("pool", 1, 1, (), True),
        store=store,
        clock=Clock(),
        barrier_ms=0,
        unix_offset_ms=0,
        connect_target=lambda target: targets[target.life],
        routing=lambda: RoutingTable(1, queues=(QUEUE,)),
        record_targets=record,
        may_act=lambda: True,
        publish=lambda message: None,
    )
    running = asyncio.create_task(owner.run())
    owner.mailbox.post(TargetsListed(tuple(map(listed, LIVES))))
    for spec in specs:
        key = job_key(QUEUE.name, spec.id)
        text = encode_job(JobRow(spec, Progress()))
        store.rows[key] = Row(key, 2, "", text)
    owner.mailbox.post(JobRowsRead(tuple(store.rows.values())))
    async with asyncio.timeout(20):
        while sum(len(target.acknowledged_ends) for target in targets.values()) < tasks:
            assert not running.done()
            await asyncio.sleep(0.01)
    running.cancel()


async def test_slow_store_has_one_commit_in_flight_for_each_part() -> None:
    store = SlowStore()
    await run_jobs(store)
    assert store.max_in_flight == 1
    assert store.done_tasks() == {f"{number:016x}": TASKS for number in range(JOBS)}


async def test_several_ends_go_into_one_commit() -> None:
    store = SlowStore()
    await run_jobs(store)
    assert store.commits <= JOBS * TASKS // 3


async def test_failed_commit_is_retried() -> None:
    store = SlowStore(failures=3)
    await run_jobs(store)
    assert store.done_tasks() == {f"{number:016x}": TASKS for number in range(JOBS)}
