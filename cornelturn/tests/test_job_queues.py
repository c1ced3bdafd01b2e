"""Tests which definition of its queue a job follows, and what waits without one."""

from __future__ import annotations

from dataclasses import replace

import msgspec
import pytest

from cornelturn.jobs.model import EndKind, JobSpec, Resources, Run, RunEnd, Step, TaskId
from cornelturn.jobs.progress import Progress
from cornelturn.jobs.rows import JobRow, decode_job, encode_job, job_key
from cornelturn.model.routes import JobQueue, RoutingTable, VersionedQueue
from cornelturn.scheduling.pool import PoolScheduler
from cornelturn.targets.address import TargetAddress
from cornelturn.targets.model import (
    ActiveRun,
    Executed,
    ListedTarget,
    StartOrder,
    StopOrder,
    TargetLife,
    TargetReport,
)

JOB = "00000000000000aa"
KEY = job_key("lookups", JOB)
QUEUE = JobQueue("lookups", "host", "/lookups/", "pool", 1, max_attempts=4)
STRICT_QUEUE = replace(QUEUE, max_attempts=1)
LIFE = TargetLife("t-1", 1)
LISTED = ListedTarget(
    life=LIFE,
    pool="pool",
    address=TargetAddress.loopback(1),
    data_centre="dc",
    rack="r1",
    labels=frozenset(),
    capacity=Resources(8_000, 64_000, 0),
    is_draining=False,
)


@pytest.fixture
def scheduler() -> PoolScheduler:
    """Return the scheduler of a pool with one target, without jobs."""
    scheduler = PoolScheduler("pool", 1)
    scheduler.update_targets([LISTED], 0)
    scheduler.mark_loaded(0)
    scheduler.handle_report(TargetReport(LIFE, 0, (), ()), 0, 0)
    return scheduler


def job_row(queue: VersionedQueue | None, is_gang: bool = False) -> JobRow:
    """Return the row of a job with two tasks."""
    step = Step(2, Resources(1_000, 1), is_gang=is_gang)
    return JobRow(
        JobSpec(JOB, QUEUE.name, "pool", "text", (step,)), Progress(), queue=queue
    )


def add(scheduler: PoolScheduler, row: JobRow) -> None:
    """Add a job as the owner does, with its queue from the configuration."""
    configured = scheduler.queues.routing.queues_by_name.get(row.spec.queue)
    scheduler.add_job(KEY, row, 1, configured, 1)


def start_all(scheduler: PoolScheduler, now_ms: int) -> list[Run]:
    """Carry out the starts that are due, and return them."""
    orders = [
        given.order
        for given in scheduler.plan(now_ms)
        if isinstance(given.order, StartOrder)
    ]
    for order in orders:
        scheduler.handle_order_result(LIFE, order, Executed(), now_ms)
    return [order.run for order in orders]


def fail(
    scheduler: PoolScheduler, run: Run, now_ms: int, others: list[Run] | None = None
) -> None:
    """Report that a run has failed, while others are active."""
    sequence = scheduler.targets[LIFE].read_sequence + 1
    active = tuple(ActiveRun(other, "", 10) for other in others or ())
    end = RunEnd(sequence, run, EndKind.FAILED)
    scheduler.handle_report(TargetReport(LIFE, 0, active, (end,)), now_ms, now_ms)


def written_row(scheduler: PoolScheduler) -> JobRow:
    """Return the row that the owner writes next."""
    (write,) = scheduler.start_writes()
    return decode_job(write.put.key, write.put.value).unwrap()


def test_row_holds_the_queue_without_its_host_and_path():
    row = decode_job(KEY, encode_job(job_row(VersionedQueue(QUEUE, 8)))).unwrap()
    assert row.queue == VersionedQueue(replace(QUEUE, host="", path_prefix=""), 8)


def test_row_of_an_earlier_version_of_the_software_is_read_without_a_queue():
    document = msgspec.json.decode(encode_job(job_row(VersionedQueue(QUEUE, 8))))
    del document["queue"]
    assert decode_job(KEY, msgspec.json.encode(document)).unwrap() == job_row(None)


def test_queue_of_the_row_counts_while_the_configuration_lacks_it(scheduler):
    add(scheduler, job_row(VersionedQueue(QUEUE, 8)))
    first, second = start_all(scheduler, 2)
    fail(scheduler, first, 3, [second])
    assert not scheduler.jobs[JOB].is_final()
    assert scheduler.jobs[JOB].priority() == QUEUE.priority


def test_newer_queue_of_the_row_counts_more_than_the_configuration(scheduler):
    scheduler.update_routing(RoutingTable(5, (STRICT_QUEUE,)), 1)
    add(scheduler, job_row(VersionedQueue(QUEUE, 8)))
    first, second = start_all(scheduler, 2)
    fail(scheduler, first, 3, [second])
    assert not scheduler.jobs[JOB].is_final()


def test_newer_configuration_counts_more_than_the_queue_of_the_row(scheduler):
    scheduler.update_routing(RoutingTable(9, (STRICT_QUEUE,)), 1)
    add(scheduler, job_row(VersionedQueue(QUEUE, 8)))
    first, second = start_all(scheduler, 2)
    fail(scheduler, first, 3, [second])
    assert written_row(scheduler).progress.is_failed


def test_higher_limit_of_a_new_configuration_holds_for_jobs_that_run(scheduler):
    add(scheduler, job_row(VersionedQueue(STRICT_QUEUE, 5)))
    first, second = start_all(scheduler, 2)
    scheduler.update_routing(RoutingTable(8, (QUEUE,)), 3)
    assert written_row(scheduler).queue.queue.max_attempts == QUEUE.max_attempts
    fail(scheduler, first, 4, [second])
    assert not scheduler.jobs[JOB].is_final()


def test_lower_limit_of_a_new_configuration_holds_for_failed_runs_before(scheduler):
    add(scheduler, job_row(VersionedQueue(QUEUE, 5)))
    first, second = start_all(scheduler, 2)
    fail(scheduler, first, 3, [second])
    scheduler.update_routing(RoutingTable(8, (STRICT_QUEUE,)), 4)
    assert written_row(scheduler).progress.is_failed


def test_removed_queue_is_kept_and_written_with_the_job(scheduler):
    scheduler.update_routing(RoutingTable(8, (QUEUE,)), 1)
    add(scheduler, job_row(VersionedQueue(STRICT_QUEUE, 5)))
    first, second = start_all(scheduler, 2)
    scheduler.update_routing(RoutingTable(11), 3)
    fail(scheduler, first, 4, [second])
    row = written_row(scheduler)
    assert not row.progress.is_failed
    assert row.queue.version == 8
    assert row.queue.queue.max_attempts == QUEUE.max_attempts


def test_older_queue_of_a_row_that_another_entry_wrote_changes_nothing(scheduler):
    scheduler.update_routing(RoutingTable(8, (QUEUE,)), 1)
    add(scheduler, job_row(VersionedQueue(QUEUE, 8)))
    row = job_row(VersionedQueue(STRICT_QUEUE, 5))
    scheduler.add_job(KEY, row, 2, QUEUE, 2)
    assert scheduler.jobs[JOB].queue.max_attempts == QUEUE.max_attempts


def test_tasks_of_an_unknown_queue_run_once_and_are_not_judged(scheduler):
    add(scheduler, job_row(None))
    first, second = start_all(scheduler, 2)
    fail(scheduler, first, 3, [second])
    assert not written_row(scheduler).progress.is_failed
    assert start_all(scheduler, 5_000) == []
    assert scheduler.jobs[JOB].count_waiting() == 0


def test_failed_tasks_of_an_unknown_queue_go_on_once_it_is_configured(scheduler):
    add(scheduler, job_row(None))
    first, second = start_all(scheduler, 2)
    fail(scheduler, first, 3, [second])
    scheduler.update_routing(RoutingTable(8, (QUEUE,)), 5_000)
    assert [run.task for run in start_all(scheduler, 5_000)] == [first.task]


def test_failed_tasks_of_an_unknown_queue_are_judged_once_it_is_configured(scheduler):
    add(scheduler, job_row(None))
    first, second = start_all(scheduler, 2)
    fail(scheduler, first, 3, [second])
    scheduler.update_routing(RoutingTable(8, (STRICT_QUEUE,)), 4)
    assert written_row(scheduler).progress.is_failed
    orders = [given.order for given in scheduler.plan(4)]
    assert orders == [StopOrder(second)]


def test_failed_gang_of_an_unknown_queue_waits_for_it(scheduler):
    add(scheduler, job_row(None, is_gang=True))
    first, second = start_all(scheduler, 2)
    fail(scheduler, second, 3, [first])
    end = RunEnd(2, first, EndKind.BROKEN)
    scheduler.handle_report(TargetReport(LIFE, 0, (), (end,)), 4, 4)
    assert start_all(scheduler, 5_000) == []
    scheduler.update_routing(RoutingTable(8, (QUEUE,)), 5_000)
    tasks = {run.task for run in start_all(scheduler, 5_000)}
    assert tasks == {TaskId(JOB, 0, 0, 0), TaskId(JOB, 0, 0, 1)}


def test_active_run_of_a_failed_task_of_an_unknown_queue_goes_on(scheduler):
    row = job_row(None)
    row.progress.add_failed(TaskId(JOB, 0, 0, 0), 1)
    add(scheduler, row)
    run = Run(TaskId(JOB, 0, 0, 0), 2)
    report = TargetReport(LIFE, 0, (ActiveRun(run, "", 10),), ())
    scheduler.handle_report(report, 2, 2)
    assert not any(isinstance(given.order, StopOrder) for given in scheduler.plan(3))
