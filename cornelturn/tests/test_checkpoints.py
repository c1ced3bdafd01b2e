"""Which checkpoint a run resumes from: gangs share one, and old runs replace none."""

from __future__ import annotations

import pytest

from cornelturn.jobs.model import EndKind, Resources, Run, RunEnd, Step, TaskId
from cornelturn.scheduling.planner import RETRY_DELAY_MS
from cornelturn.scheduling.pool import PoolScheduler
from cornelturn.scheduling.run_numbers import last_run_number
from cornelturn.targets.model import ActiveRun, StartOrder, Unanswered
from cornelturn.tests.test_pool_scheduler import (
    JOB,
    LIFE,
    OTHER_LIFE,
    add,
    job_row,
    report,
    target,
)

MEMBERS = (TaskId(JOB, 0, 0, 0), TaskId(JOB, 0, 0, 1))
HOLDERS = (LIFE, OTHER_LIFE)


@pytest.fixture
def scheduler() -> PoolScheduler:
    """Return a scheduler with two targets, each with room for one task."""
    scheduler = PoolScheduler("pool", 1)
    scheduler.update_targets([target(life) for life in HOLDERS], 0)
    for life in HOLDERS:
        scheduler.handle_report(report(life), 0, 0)
    scheduler.mark_loaded(0)
    return scheduler


def add_step(scheduler: PoolScheduler, count: int, is_gang: bool) -> None:
    step = Step(count, Resources(8_000, 1), is_gang=is_gang, is_checkpointing=True)
    add(scheduler, job_row(step), version=1)


def starts(scheduler: PoolScheduler, now_ms: int) -> list[tuple[StartOrder, object]]:
    return [
        (planned.order, planned.life)
        for planned in scheduler.plan(now_ms)
        if isinstance(planned.order, StartOrder)
    ]


def stopped(sequence: int, run: Run, checkpoint: str) -> RunEnd:
    return RunEnd(sequence, run, EndKind.STOPPED, checkpoint)


def test_members_of_a_gang_resume_from_the_same_checkpoint(scheduler):
    add_step(scheduler, 2, is_gang=True)
    for sequence, (order, life) in enumerate(starts(scheduler, 1), 1):
        active = ActiveRun(order.run, f"c{sequence}", 50)
        scheduler.handle_report(report(life, (active,)), 2, 2)
        end = stopped(1, order.run, f"c{sequence}")
        scheduler.handle_report(report(life, ended=(end,)), 3, 3)
    resumed = {order.checkpoint for order, _ in starts(scheduler, 4)}
    assert len(resumed) == 1
    assert resumed < {"c1", "c2"}


def test_repeated_start_of_a_member_resumes_from_the_checkpoint_of_the_others(
    scheduler,
):
    add_step(scheduler, 2, is_gang=True)
    first = starts(scheduler, 1)
    for order, life in first:
        end = stopped(1, order.run, "c1")
        scheduler.handle_report(report(life, ended=(end,)), 2, 3)
    (order, life), (_, other_life) = starts(scheduler, 4)
    scheduler.handle_order_result(life, order, Unanswered("cut", True), 5)
    # An end of the earlier run comes late, from another target.
    late = stopped(2, first[0][0].run, "c2")
    scheduler.handle_report(report(other_life, ended=(late,)), 6, 6)
    ((repeated, _),) = starts(scheduler, 5 + RETRY_DELAY_MS)
    assert (repeated.run, repeated.checkpoint) == (order.run, "c1")


@pytest.mark.parametrize("is_gang", [False, True])
@pytest.mark.parametrize("number", [1, last_run_number(1) + 1])
def test_late_end_of_another_run_does_not_replace_a_newer_checkpoint(
    scheduler, is_gang: bool, number: int
):
    """A number beyond those of this owner is not of an earlier owner either."""
    add_step(scheduler, 1, is_gang)
    for sequence, checkpoint in enumerate(("c1", "c2"), 1):
        ((order, life),) = starts(scheduler, 10 * sequence)
        end = stopped(sequence, order.run, checkpoint)
        scheduler.handle_report(
            report(life, ended=(end,)), 10 * sequence + 1, 10 * sequence + 1
        )
    late = stopped(3, Run(MEMBERS[0], number), "late")
    scheduler.handle_report(report(life, ended=(late,)), 30, 30)
    ((order, _),) = starts(scheduler, 40)
    assert order.checkpoint == "c2"


def test_checkpoint_reported_before_a_lease_lapsed_replaces_that_of_an_older_run(
    scheduler,
):
    add_step(scheduler, 1, is_gang=False)
    ((order, life),) = starts(scheduler, 1)
    end = stopped(1, order.run, "c1")
    scheduler.handle_report(report(life, ended=(end,)), 2, 2)
    ((order, life),) = starts(scheduler, 3)
    active = ActiveRun(order.run, "c2", 50)
    scheduler.handle_report(report(life, (active,)), 4, 4)
    scheduler.contact_lost(life, 10)
    scheduler.release_lapsed(10)
    ((order, _),) = starts(scheduler, 11)
    assert order.checkpoint == "c2"
