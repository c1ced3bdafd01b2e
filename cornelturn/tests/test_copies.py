"""Copies of tasks of steps that allow them: starts, ends, stops and takeover."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace

import pytest

from cornelturn.jobs.model import EndKind, Resources, Run, RunEnd, Step, TaskId
from cornelturn.model.organisations import Organisation
from cornelturn.model.routes import RoutingTable
from cornelturn.scheduling.backlog_reporting import BacklogReporter
from cornelturn.scheduling.planner import RETRY_DELAY_MS
from cornelturn.scheduling.pool import PoolScheduler
from cornelturn.scheduling.views import TaskView
from cornelturn.speed.copies import RunOutlook
from cornelturn.targets.model import (
    ActiveRun,
    Executed,
    StartOrder,
    StopOrder,
    TargetLife,
    Unanswered,
)
from cornelturn.tests.pool_jobs import (
    JOB,
    QUEUE,
    add,
    job_row,
    report,
    target,
    write_all,
)

LIVES = tuple(TargetLife(f"t-{number}", 1) for number in range(4))
NEED = Resources(1_000, 1)
STEP = Step(4, NEED, 1_000, max_per_target=1, may_run_copies=True)
SLOW_MS = 2_000


@dataclass
class CopiedPool:
    """A pool that runs one task of a step on each target, the first of them slowly.

    Parameters
    ----------
    slow : Run
        The slow run; the others are done after 1 s.
    """

    scheduler: PoolScheduler
    ends: dict[TargetLife, int] = field(default_factory=dict)
    runs: dict[TargetLife, Run] = field(default_factory=dict)

    @property
    def slow(self) -> Run:
        return self.runs[LIVES[0]]

    def start(self, now_ms: int) -> list[tuple[TargetLife, StartOrder | StopOrder]]:
        """Plan, and execute all orders."""
        orders = self.scheduler.plan(now_ms)
        for item in orders:
            self.scheduler.handle_order_result(
                item.life, item.order, Executed(), now_ms
            )
        return [(item.life, item.order) for item in orders]

    def end(self, life: TargetLife, run: Run, now_ms: int, kind=EndKind.DONE) -> None:
        self.ends[life] = self.ends.get(life, 0) + 1
        end = RunEnd(self.ends[life], run, kind)
        self.scheduler.handle_report(report(life, ended=(end,)), 0, now_ms)

    def run_until_slow(self, percent: int = 20) -> None:
        """Start all tasks, end all but the slow one, and report its progress."""
        for life, order in self.start(0):
            self.runs[life] = order.run
        for life in LIVES[1:]:
            self.end(life, self.runs[life], 1_000)
        active = (ActiveRun(self.slow, "", percent),)
        self.scheduler.handle_report(report(LIVES[0], active), 0, SLOW_MS)

    def copy(self) -> tuple[TargetLife, Run]:
        """Start the copy of the slow run, and return it."""
        self.run_until_slow()
        ((life, order),) = self.start(SLOW_MS)
        return life, order.run

    def acknowledged_sequence(self, life: TargetLife) -> int:
        """Return the number of the last end that a target may forget now."""
        ends = self.scheduler.take_acknowledgements()
        return {end.life: end.sequence for end in ends}[life]

    def task(self) -> TaskView:
        return self.scheduler.jobs[JOB].task(self.slow.task)


@pytest.fixture
def make_pool() -> Callable[..., CopiedPool]:
    """Return a factory of pools with a job of one step."""

    def make(step: Step = STEP, cpu: int = 4_000) -> CopiedPool:
        scheduler = PoolScheduler("pool", 1)
        scheduler.update_targets([target(life, cpu) for life in LIVES], 0)
        for life in LIVES:
            scheduler.handle_report(report(life), 0, 0)
        scheduler.mark_loaded(0)
        last = Step(1, Resources(1, 1), 1_000, after=(0,))
        add(scheduler, job_row(step, last), version=1)
        return CopiedPool(scheduler)

    return make


def test_slow_task_of_a_step_that_allows_it_gets_one_copy_elsewhere(make_pool):
    """Guards against a copy on the same target, and against a second copy."""
    pool = make_pool()
    life, copy = pool.copy()
    assert life != LIVES[0]
    assert copy.task == pool.slow.task
    assert copy.number > pool.slow.number
    active = (ActiveRun(pool.slow, "", 25),)
    pool.scheduler.handle_report(report(LIVES[0], active), 0, 3_000)
    assert pool.start(3_000) == []


@pytest.mark.parametrize(
    ("step", "percent"),
    [(replace(STEP, may_run_copies=False), 20), (STEP, 90)],
    ids=["not allowed", "nearly done"],
)
def test_no_copy_that_is_not_allowed_or_ends_later(make_pool, step, percent):
    """Guards against two runs of a task that may run once, and copies without use."""
    pool = make_pool(step)
    pool.run_until_slow(percent)
    assert pool.start(SLOW_MS) == []


@pytest.mark.parametrize(
    ("usual_ms", "elapsed_ms", "percent", "is_copied"),
    [(150, 320, 0, False), (150, 900, 0, True), (1_000, 1_300, 16, True)],
)
def test_short_run_whose_end_is_reported_late_is_not_copied(
    usual_ms, elapsed_ms, percent, is_copied
):
    """Guards against a copy of each short run, as its end is reported later."""
    outlook = RunOutlook(usual_ms, elapsed_ms, percent, speed=1.0, is_last=True)
    assert outlook.needs_copy() is is_copied


@pytest.mark.parametrize("is_copy_first", [False, True])
@pytest.mark.parametrize("is_loser_done_too", [False, True])
def test_first_end_counts_and_the_other_run_is_stopped_until_that_is_answered(
    make_pool, is_copy_first, is_loser_done_too
):
    """Guards against a task that ends twice, and a stop that gets lost."""
    pool = make_pool()
    life, copy = pool.copy()
    runs = [(LIVES[0], pool.slow), (life, copy)]
    (first_life, first), (last_life, last) = reversed(runs) if is_copy_first else runs
    job = pool.scheduler.jobs[JOB]
    pool.end(first_life, first, 2_500)
    changes = job.changes
    assert job.progress.is_step_done(job.spec, 0, 0)
    orders = pool.scheduler.plan(2_500)
    stop = StopOrder(last)
    assert [item.order for item in orders if item.life == last_life][:1] == [stop]
    pool.scheduler.handle_order_result(last_life, stop, Unanswered("lost"), 2_600)
    retried = pool.scheduler.plan(2_600 + RETRY_DELAY_MS)
    assert stop in [item.order for item in retried]
    kind = EndKind.DONE if is_loser_done_too else EndKind.STOPPED
    pool.end(last_life, last, 2_900, kind)
    assert job.changes == changes, "the second end must not be recorded"
    assert not pool.task().placements


def test_end_is_acknowledged_once_a_copy_in_flight_cannot_begin(make_pool):
    """Guards against a start that arrives late and runs an acknowledged task."""
    pool = make_pool()
    scheduler = pool.scheduler
    pool.run_until_slow()
    (item,) = scheduler.plan(SLOW_MS)
    pool.end(LIVES[0], pool.slow, 2_100)
    write_all(scheduler, 2, 2_100)
    assert pool.acknowledged_sequence(LIVES[0]) == 0
    stop = StopOrder(item.order.run)
    assert stop in [planned.order for planned in scheduler.plan(2_100)]
    scheduler.handle_order_result(item.life, stop, Executed(), 2_200)
    scheduler.handle_report(report(item.life), 2_300, 2_300)
    assert pool.acknowledged_sequence(LIVES[0]) == 1


def test_only_the_failures_of_ordinary_runs_use_up_attempts(make_pool):
    """Guards against a job that fails although its task had one attempt left."""
    pool = make_pool()
    life, copy = pool.copy()
    job = pool.scheduler.jobs[JOB]
    pool.end(life, copy, 2_500, EndKind.FAILED)
    assert job.progress.max_failed_runs() == 0
    assert list(pool.task().placements) == [pool.slow]
    pool.end(LIVES[0], pool.slow, 2_600, EndKind.FAILED)
    assert job.progress.max_failed_runs() == 1
    assert not job.is_final()
    (again,) = [order.run for _, order in pool.start(6_000)]
    assert again.number > copy.number


def test_copy_goes_on_alone_when_the_first_run_fails(make_pool):
    """Guards against a third run, and a copy whose success does not end the task."""
    pool = make_pool()
    life, copy = pool.copy()
    pool.end(LIVES[0], pool.slow, 2_500, EndKind.FAILED)
    assert pool.start(2_500) == []
    pool.end(life, copy, 3_000)
    job = pool.scheduler.jobs[JOB]
    assert job.progress.is_step_done(job.spec, 0, 0)


def test_copies_leave_their_room_to_waiting_work(make_pool):
    """Guards against copies that hold room which a waiting task could use."""
    pool = make_pool(cpu=1_000)
    pool.scheduler.copies.share = 1.0
    _, copy = pool.copy()
    add(pool.scheduler, job_row(Step(3, NEED, 1_000), job="b" * 16), 2, now_ms=2_100)
    orders = [order for _, order in pool.start(2_100)]
    assert StopOrder(copy) in orders
    assert StopOrder(pool.slow) not in orders


def test_no_copy_starts_while_work_waits(make_pool):
    """Guards against copies that take the room of waiting work."""
    pool = make_pool(cpu=1_000)
    pool.scheduler.copies.share = 1.0
    pool.run_until_slow()
    add(pool.scheduler, job_row(Step(9, NEED, 1_000), job="b" * 16), 2, now_ms=2_000)
    assert all(order.run.task.job != JOB for _, order in pool.start(2_000))


@pytest.mark.parametrize(("share", "count"), [(0.0, 0), (1 / 16 - 0.01, 0), (0.1, 1)])
def test_copies_take_at_most_their_share_of_the_pool(make_pool, share, count):
    """Guards against copies beyond the share, and against none at all."""
    pool = make_pool()
    pool.scheduler.copies.share = share
    pool.run_until_slow()
    assert len(pool.start(SLOW_MS)) == count


@pytest.mark.parametrize("is_row_first", [False, True])
@pytest.mark.parametrize("is_copy_first", [False, True])
@pytest.mark.parametrize("may_run_copies", [False, True])
def test_successor_keeps_a_run_and_its_copy_and_starts_no_third(
    is_row_first, is_copy_first, may_run_copies
):
    """Guards against a takeover that stops one of them, or starts another one."""
    scheduler = PoolScheduler("pool", 2)
    scheduler.update_targets([target(life) for life in LIVES], 0)
    step = replace(STEP, count=1, may_run_copies=may_run_copies)
    task = TaskId(JOB, 0, 0, 0)
    runs = [(LIVES[0], Run(task, 1)), (LIVES[1], Run(task, 2))]
    reported = list(reversed(runs)) if is_copy_first else runs
    if is_row_first:
        scheduler.mark_loaded(0)
        add(scheduler, job_row(step), version=1)
    for life, run in reported:
        active = (ActiveRun(run, "", 1),)
        scheduler.handle_report(report(life, active), 0, 10)
    if not is_row_first:
        scheduler.mark_loaded(20)
        add(scheduler, job_row(step), version=1)
    orders = [item.order for item in scheduler.plan(5_000)]
    if not may_run_copies:
        assert [type(order) for order in orders] == [StopOrder]
        return
    assert orders == []
    end = RunEnd(1, runs[0][1], EndKind.DONE)
    scheduler.handle_report(report(LIVES[0], ended=(end,)), 4_900, 5_100)
    assert [item.order for item in scheduler.plan(5_100)] == [StopOrder(runs[1][1])]
    assert scheduler.jobs[JOB].changes == 1


def test_end_is_not_acknowledged_while_a_copy_that_yielded_may_begin(make_pool):
    """Guards against a copy that begins after its task counts as acknowledged.

    Waiting work stops the copy before its start is answered, and then its task ends.
    """
    pool = make_pool(cpu=1_000)
    scheduler = pool.scheduler
    scheduler.copies.share = 1.0
    pool.run_until_slow()
    (item,) = scheduler.plan(SLOW_MS)
    add(scheduler, job_row(Step(3, NEED, 1_000), job="b" * 16), 2, now_ms=2_050)
    stop = StopOrder(item.order.run)
    assert stop in [planned.order for planned in scheduler.plan(2_050)]
    pool.end(LIVES[0], pool.slow, 2_100)
    write_all(scheduler, 3, 2_100)
    assert pool.acknowledged_sequence(LIVES[0]) == 0
    scheduler.handle_order_result(item.life, stop, Executed(), 2_200)
    scheduler.handle_report(report(item.life), 2_300, 2_300)
    assert pool.acknowledged_sequence(LIVES[0]) == 1


def test_end_is_acknowledged_once_the_stop_of_a_copy_is_answered(make_pool):
    """Guards against a target that never lists its other ends.

    It lists these once the first ones are acknowledged. Until then its reports do not
    show that the stopped copy is missing, which must not delay the acknowledgement.
    """
    pool = make_pool()
    scheduler = pool.scheduler
    pool.run_until_slow()
    (item,) = scheduler.plan(SLOW_MS)
    pool.end(LIVES[0], pool.slow, 2_100)
    write_all(scheduler, 2, 2_100)
    stop = StopOrder(item.order.run)
    assert stop in [planned.order for planned in scheduler.plan(2_100)]
    scheduler.handle_order_result(item.life, stop, Executed(), 2_200)
    partly_listed = replace(report(item.life), is_complete=False)
    scheduler.handle_report(partly_listed, 2_300, 2_300)
    assert pool.acknowledged_sequence(LIVES[0]) == 1


def test_copies_in_flight_are_forgotten_with_the_targets_of_the_ends(make_pool):
    """Guards against a record for each such job that is kept as long as the owner."""
    pool = make_pool()
    scheduler = pool.scheduler
    pool.run_until_slow()
    scheduler.plan(SLOW_MS)
    pool.end(LIVES[0], pool.slow, 2_100)
    assert scheduler.copies.unsettled
    for life in LIVES:
        scheduler.end_life(life, "lapsed", 2_200)
    scheduler.plan(2_200)
    assert not scheduler.copies.unsettled


@pytest.mark.parametrize("organisations", [(), (Organisation("a"),)])
def test_no_copy_starts_while_a_task_waits_for_another_target(make_pool, organisations):
    """Guards against a pass of the fair order, which removes what it has tried."""
    pool = make_pool()
    scheduler = pool.scheduler
    routing = RoutingTable(1, (QUEUE,), organisations=organisations)
    scheduler.update_routing(routing, 0)
    pool.run_until_slow()
    other = "b" * 16
    row = job_row(Step(1, Resources(4_000, 1), 1_000), job=other)
    row = replace(row, spec=replace(row.spec, organisation="a"))
    add(scheduler, row, 2)
    waiting = scheduler.jobs[other].task(TaskId(other, 0, 0, 0))
    for life in LIVES[1:]:
        waiting.failed_on[life.name] = SLOW_MS
    assert pool.start(SLOW_MS) == []


def test_task_with_a_copy_counts_once_in_the_backlog():
    """Guards against a report in which a copy hides a task that waits."""
    scheduler = PoolScheduler("pool", 2)
    routing = RoutingTable(1, (QUEUE,), organisations=(Organisation("a"),))
    scheduler.update_routing(routing, 0)
    scheduler.update_targets([target(life) for life in LIVES[:2]], 0)
    scheduler.mark_loaded(0)
    add(scheduler, job_row(replace(STEP, max_per_target=0)), version=1)
    task = TaskId(JOB, 0, 0, 0)
    for number, life in enumerate(LIVES[:2], 1):
        active = (ActiveRun(Run(task, number), "", 1),)
        scheduler.handle_report(report(life, active), 0, 10)
    (row,) = BacklogReporter(scheduler).report(10).rows
    assert row.work == 3 * NEED.cpu * STEP.estimated_ms
