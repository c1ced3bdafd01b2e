"""A job of which a start ends with an error that the code does not expect.

Guards against an owner that ends for one job: its pool stands still, as each later
owner reads the same job.
"""

from __future__ import annotations

import pytest

from cornelturn.jobs.model import Resources, Step
from cornelturn.scheduling.planner import SET_ASIDE_MS
from cornelturn.tests.pool_jobs import add, job_row, new_scheduler, planned_starts

BROKEN_JOB, USUAL_JOB = "00000000000000c1", "00000000000000c2"
NEED = Resources(1_000, 1)


class BrokenChoice:
    """Choice of targets that fails for the second task of one job."""

    def __init__(self, choice) -> None:
        self.choice = choice
        self.is_broken = True

    def __getattr__(self, name: str):
        return getattr(self.choice, name)

    def choose(self, step_try, task):
        if self.is_broken and (task.job, task.index) == (BROKEN_JOB, 1):
            raise ArithmeticError(task)
        return self.choice.choose(step_try, task)


@pytest.mark.parametrize(
    ("step", "started_before"),
    [(Step(2, NEED), [0]), (Step(2, NEED, is_gang=True), [])],
    ids=["tasks", "gang"],
)
def test_error_with_one_job_costs_neither_its_pool_nor_the_job_for_good(
    step, started_before
):
    scheduler = new_scheduler()
    (view,) = scheduler.targets.values()
    broken = scheduler.planner.start_targets = BrokenChoice(
        scheduler.planner.start_targets
    )
    add(scheduler, job_row(step, job=BROKEN_JOB), version=1)
    add(scheduler, job_row(Step(2, NEED), job=USUAL_JOB), version=2)
    started = planned_starts(scheduler, 1)
    of_broken = [run.task.index for run in started if run.task.job == BROKEN_JOB]
    assert of_broken == started_before
    assert sum(run.task.job == USUAL_JOB for run in started) == 2
    assert len(view.runs) == len(started)
    # It is not tried in each plan, and starts once the error is gone.
    broken.is_broken = False
    assert planned_starts(scheduler, SET_ASIDE_MS) == []
    later = planned_starts(scheduler, SET_ASIDE_MS + 2)
    assert [run.task.index for run in later] == [
        index for index in range(2) if index not in started_before
    ]
