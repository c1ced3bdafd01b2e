"""Tests the times of the parts of a job's life at its owner."""

from __future__ import annotations

import pytest

from cornelturn.jobs.model import EndKind, JobSpec, Resources, RunEnd, Step
from cornelturn.jobs.progress import Progress
from cornelturn.jobs.rows import JobRow, job_key
from cornelturn.model.routes import JobQueue
from cornelturn.scheduling.pool import PoolScheduler
from cornelturn.targets.address import TargetAddress
from cornelturn.targets.model import Executed, ListedTarget, TargetLife, TargetReport

QUEUE = JobQueue("lookups", "host", "/lookups/", "pool", slack_ms=60_000)
SLOT = Resources(1_000, 100)
LIFE = TargetLife("t-1", 1)
JOB = "00000000000000a1"


@pytest.fixture
def scheduler() -> PoolScheduler:
    """Return the scheduler of a pool with one target that fits one task."""
    scheduler = PoolScheduler("pool", 1)
    target = ListedTarget(
        life=LIFE,
        pool="pool",
        address=TargetAddress.loopback(1),
        data_centre="dc",
        rack="r1",
        labels=frozenset(),
        capacity=SLOT,
        is_draining=False,
    )
    scheduler.update_targets([target], 0)
    scheduler.handle_report(TargetReport(LIFE, 0, (), ()), 0, 0)
    scheduler.mark_loaded(0)
    return scheduler


def add_job(scheduler: PoolScheduler, now_ms: int, tasks: int) -> None:
    row = JobRow(
        JobSpec(JOB, QUEUE.name, "pool", "text", (Step(tasks, SLOT),)), Progress()
    )
    scheduler.add_job(job_key(QUEUE.name, JOB), row, 1, QUEUE, now_ms)


def run_next_task(scheduler: PoolScheduler, at_ms: int, sequence: int) -> None:
    """Start a task, answer its order after 20 ms, and process its end 300 ms later."""
    (planned,) = scheduler.plan(at_ms)
    scheduler.handle_order_result(planned.life, planned.order, Executed(), at_ms + 20)
    end = RunEnd(sequence, planned.order.run, EndKind.DONE)
    scheduler.handle_report(TargetReport(LIFE, 0, (), (end,)), at_ms + 310, at_ms + 320)


def write_all(scheduler: PoolScheduler, now_ms: int) -> None:
    for write in scheduler.start_writes():
        scheduler.finish_write(write, 2, now_ms)


def final_log_fields(events: pytest.LogCaptureFixture) -> dict[str, str]:
    (line,) = [text for text in events.messages if text.startswith("event=job_final ")]
    return dict(pair.split("=") for pair in line.split())


def test_consecutive_parts_of_a_job_add_up(scheduler, events):
    add_job(scheduler, 1_000, tasks=2)
    run_next_task(scheduler, 1_050, 1)
    run_next_task(scheduler, 1_400, 2)
    write_all(scheduler, 1_760)
    fields = final_log_fields(events)
    assert fields["order_ms"] == "50"
    assert fields["answer_ms"] == "20"
    assert fields["run_ms"] == "650"
    assert fields["write_ms"] == "40"
    assert fields["after_ms"] == "760"


def test_wait_of_a_step_lasts_until_its_last_task_starts(scheduler, events):
    add_job(scheduler, 1_000, tasks=2)
    run_next_task(scheduler, 1_050, 1)
    run_next_task(scheduler, 1_400, 2)
    write_all(scheduler, 1_760)
    fields = final_log_fields(events)
    assert fields["longest_wait_ms"] == "400"
    assert fields["steps_wait_ms"] == "400"


def test_parts_are_counted_by_pool(scheduler):
    add_job(scheduler, 1_000, tasks=1)
    run_next_task(scheduler, 1_250, 1)
    write_all(scheduler, 1_600)
    registry = scheduler.metrics.registry
    waited_s = registry.get_sample_value(
        "cornelturn_job_part_seconds_sum", {"pool": "pool", "part": "order"}
    )
    assert waited_s == 0.25
    steps = registry.get_sample_value(
        "cornelturn_step_wait_seconds_count", {"pool": "pool"}
    )
    assert steps == 1


def test_job_that_never_started_has_only_a_write_part(scheduler, events):
    add_job(scheduler, 1_000, tasks=1)
    job = scheduler.jobs[JOB]
    job.progress.is_cancelled = True
    scheduler.refresh_job(job, 1_500)
    fields = final_log_fields(events)
    assert (fields["order_ms"], fields["run_ms"]) == ("0", "0")
    assert fields["write_ms"] == fields["after_ms"] == "500"


def test_waiting_tasks_are_counted(scheduler):
    add_job(scheduler, 1_000, tasks=3)
    job = scheduler.jobs[JOB]
    assert job.count_waiting() == 3
    scheduler.plan(1_000)
    assert job.count_waiting() == 2
