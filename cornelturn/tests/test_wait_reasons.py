"""Lines on waits must be bounded, and none may be missing for good."""

from __future__ import annotations

from dataclasses import replace

import pytest

from cornelturn.explain.explanation import Question
from cornelturn.jobs.model import Resources, Step, StepId
from cornelturn.jobs.rows import job_key
from cornelturn.scheduling.pool import PoolScheduler
from cornelturn.scheduling.wait_reasons import MAX_LINES_PER_S, WaitReason, WaitReasons
from cornelturn.tests.test_explain import explain_logs, log_line
from cornelturn.tests.test_quota_pool import CORE, add, capped, grant, scheduler
from cornelturn.tests.test_uneven_targets import JOBS, QUEUE, job_row, make_pool

__all__ = ["capped", "make_pool", "scheduler"]

STEP = StepId("a", 0, 0)


def logged(
    pool: PoolScheduler, events: pytest.LogCaptureFixture, now_ms: int
) -> list[str]:
    """Return the log lines of a plan, with its time."""
    events.clear()
    pool.plan(now_ms)
    messages = [record.getMessage() for record in events.records]
    return [log_line(now_ms / 1_000, text.split("=", 1)[1]) for text in messages]


def test_line_follows_a_change_of_the_reason_only():
    """Guards against a line for each try of a step."""
    reasons = WaitReasons()
    assert not reasons.admit_line(STEP, WaitReason.ROOM, 499, 1_000)
    assert reasons.admit_line(STEP, WaitReason.ROOM, 500, 1_001)
    assert not reasons.admit_line(STEP, WaitReason.ROOM, 9_000, 9_501)
    assert reasons.admit_line(STEP, WaitReason.QUOTA, 9_000, 9_501)


def test_change_within_a_second_is_logged_after_it():
    """Guards against a change that is never logged as it came too early."""
    reasons = WaitReasons()
    assert reasons.admit_line(STEP, WaitReason.ROOM, 500, 1_000)
    assert not reasons.admit_line(STEP, WaitReason.QUOTA, 1_400, 1_900)
    assert reasons.admit_line(STEP, WaitReason.QUOTA, 1_500, 2_000)


def test_lines_of_a_pool_are_bounded_and_those_beyond_follow():
    """Guards against a pool that takes the lines of the others in its entry."""
    reasons = WaitReasons()
    steps = [StepId(str(number), 0, 0) for number in range(MAX_LINES_PER_S + 7)]
    logged = [reasons.admit_line(step, WaitReason.ROOM, 500, 1_000) for step in steps]
    assert sum(logged) == MAX_LINES_PER_S
    assert (
        sum(reasons.admit_line(step, WaitReason.ROOM, 900, 2_000) for step in steps)
        == 7
    )


def test_next_wait_of_a_step_is_logged_and_finished_jobs_are_not_kept():
    """Guards against a second wait without a line, and a record that only grows."""
    reasons = WaitReasons()
    assert reasons.admit_line(STEP, WaitReason.ROOM, 500, 1_000)
    reasons.forget_step(STEP)
    assert reasons.admit_line(STEP, WaitReason.ROOM, 500, 2_000)
    reasons.forget_job("a")
    assert not reasons.by_job


@pytest.mark.parametrize(
    ("step", "reason"),
    [(Step(9, CORE), "quota"), (Step(1, Resources(1_000, 10**6)), "room")],
)
def test_owner_logs_why_a_job_waits(
    capped: PoolScheduler, events: pytest.LogCaptureFixture, step, reason
):
    grant(capped, 1, 1_000)
    add(capped, 1, step)
    for now_ms in (1, 400, 600, 700, 5_000):
        capped.plan(now_ms)
    assert events.text.count("event=wait_reason") == 1
    assert f"step={1:016x}.0.0 pool=pool reason={reason}" in events.text


def test_owner_logs_that_a_job_waits_for_a_faster_target(
    make_pool, events: pytest.LogCaptureFixture
):
    pool = make_pool(fast_cpu=2_000)
    others = job_row(Step(2, Resources(2_000, 1), 1_000), job="f" * 16)
    pool.add_job(job_key(QUEUE.name, "f" * 16), others, 1, QUEUE, 0)
    assert len(pool.plan(0)) == 2
    pool.speeds.placement.releases.add(20_000, 0)
    queue = replace(QUEUE, slack_factor=1.0, slack_ms=800)
    row = job_row(Step(1, Resources(2_000, 1), 1_000), job=JOBS[0])
    pool.add_job(job_key(queue.name, JOBS[0]), row, 1, queue, 0)
    lines = [line for now_ms in (0, 600, 900) for line in logged(pool, events, now_ms)]
    told = explain_logs(lines, question=Question(job=JOBS[0])).reason
    assert "it waited 900 ms, 800 ms of them for a faster target" in told


def test_explanation_of_the_owners_lines_names_the_quota(
    capped: PoolScheduler, events: pytest.LogCaptureFixture
):
    """Guards against fields that the owner writes otherwise than explain reads them."""
    grant(capped, 1, 1_000)
    add(capped, 1, Step(1, CORE))
    add(capped, 2, Step(1, CORE))
    lines = logged(capped, events, 1)
    grant(capped, 2, 4_000)
    lines += logged(capped, events, 2_001)
    told = explain_logs(lines, question=Question(job=f"{2:016x}")).reason
    assert (
        "it waited 2001 ms, 2000 ms of them for the quota of organisation org" in told
    )


def test_nothing_is_logged_or_kept_while_nothing_waits(
    capped: PoolScheduler, events: pytest.LogCaptureFixture
):
    grant(capped, 1, 4_000)
    add(capped, 1, Step(1, Resources(500, 1)))
    for now_ms in (700, 5_000):
        capped.plan(now_ms)
    assert "event=run_start" in events.text
    assert "event=wait_reason" not in events.text
    assert not capped.planner.wait_log.reasons.by_job
