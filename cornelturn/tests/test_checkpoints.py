"""Which checkpoint a run resumes from: gangs share one, and old runs replace none."""

from __future__ import annotations

import pytest

from cornelturn.jobs.model import EndKind, Resources, Run, RunEnd, Step, TaskId
from cornelturn.scheduling.planner import RETRY_DELAY_MS
from cornelturn.scheduling.pool import PoolScheduler
from cornelturn.scheduling.run_numbers import last_run_number
from cornelturn.scheduling.state import TargetOrder
from cornelturn.targets.model import ActiveRun, StartOrder, Unanswered
from cornelturn.tests.pool_jobs import (
    JOB,
    LIFE,
    OTHER_LIFE,
    add,
    job_row,
    report,
    target,
)

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


def starts(scheduler: PoolScheduler, now_ms: int) -> list[TargetOrder]:
    return [due for due in scheduler.plan(now_ms) if isinstance(due.order, StartOrder)]


def end(scheduler, run: Run, checkpoint: str, now_ms: int, life=LIFE) -> None:
    """Report that a run was stopped."""
    run_end = RunEnd(now_ms, run, EndKind.STOPPED, checkpoint)
    scheduler.handle_report(report(life, ended=(run_end,)), now_ms, now_ms)


def test_members_of_a_gang_resume_from_the_same_checkpoint(scheduler):
    add_step(scheduler, 2, is_gang=True)
    for number, due in enumerate(starts(scheduler, 1), 2):
        active = ActiveRun(due.order.run, f"c{number}", 50)
        scheduler.handle_report(report(due.life, (active,)), number, number)
        end(scheduler, due.order.run, f"c{number}", number + 2, due.life)
    assert {due.order.checkpoint for due in starts(scheduler, 9)} == {"c3"}


def test_repeated_start_in_a_gang_names_the_checkpoint_of_the_others(scheduler):
    add_step(scheduler, 2, is_gang=True)
    first = starts(scheduler, 1)
    for due in first:
        end(scheduler, due.order.run, "c1", 2, due.life)
    unanswered, answered = starts(scheduler, 4)
    result = Unanswered("cut", True)
    scheduler.handle_order_result(unanswered.life, unanswered.order, result, 5)
    # An end of the earlier run comes late, from another target.
    end(scheduler, first[0].order.run, "c2", 6, answered.life)
    assert starts(scheduler, 5 + RETRY_DELAY_MS) == [unanswered]
    assert unanswered.order.checkpoint == "c1"


@pytest.mark.parametrize("is_gang", [False, True])
@pytest.mark.parametrize("number", [1, last_run_number(1) + 1])
def test_late_end_of_another_run_replaces_no_newer_checkpoint(
    scheduler, is_gang: bool, number: int
):
    """A number beyond those of this owner is not of an earlier owner either."""
    add_step(scheduler, 1, is_gang)
    for now_ms, checkpoint in ((10, "c1"), (20, "c2")):
        (due,) = starts(scheduler, now_ms)
        end(scheduler, due.order.run, checkpoint, now_ms + 1, due.life)
    end(scheduler, Run(TaskId(JOB, 0, 0, 0), number), "late", 30, due.life)
    assert [due.order.checkpoint for due in starts(scheduler, 40)] == ["c2"]


def test_checkpoint_of_a_lost_run_replaces_that_of_an_older_run(scheduler):
    add_step(scheduler, 1, is_gang=False)
    (due,) = starts(scheduler, 1)
    end(scheduler, due.order.run, "c1", 2, due.life)
    (due,) = starts(scheduler, 3)
    active = ActiveRun(due.order.run, "c2", 50)
    scheduler.handle_report(report(due.life, (active,)), 4, 4)
    scheduler.contact_lost(due.life, 10)
    scheduler.release_lapsed(10)
    assert [due.order.checkpoint for due in starts(scheduler, 11)] == ["c2"]
