"""Tests the choice of the target for a task."""

from __future__ import annotations

import pytest

from cornelturn.jobs.model import Resources, Step
from cornelturn.placement.target_choice import Candidate, choose_target


def candidate(name: str, cpu: int, **changes) -> Candidate:
    labels = frozenset({"a", changes.pop("rack", "r1")})
    return Candidate(name, "r1", labels, Resources(cpu, 1_000, 1), **changes)


BATCH = Step(1, Resources(1_000, 10, 0))


def test_batch_fills_the_fullest_target_that_fits():
    targets = [candidate("a", 8_000), candidate("b", 1_500), candidate("c", 900)]
    assert choose_target(BATCH, targets) == "b"


def test_lasting_tasks_spread_over_targets():
    step = Step(3, Resources(1_000, 10), is_lasting=True)
    targets = [candidate("a", 8_000, same_step_tasks=1), candidate("b", 3_000)]
    assert choose_target(step, targets) == "b"


def test_avoided_target_is_chosen_last():
    targets = [candidate("a", 1_000, is_avoided=True), candidate("b", 9_000)]
    assert choose_target(BATCH, targets) == "b"
    assert choose_target(BATCH, targets[:1]) == "a"


def test_task_prefers_the_rack_of_its_data():
    step = Step(1, Resources(1_000, 10), near_rack="r2")
    targets = [candidate("a", 1_000), candidate("b", 9_000, rack="r2")]
    assert choose_target(step, targets) == "b"


def test_filling_task_needs_memory_alone():
    step = Step(1, Resources(5_000, 10), is_filling=True)
    assert choose_target(step, [candidate("a", 100)]) == "a"


@pytest.mark.parametrize(
    "step",
    [
        Step(1, Resources(9_000, 10)),
        Step(1, Resources(1_000, 2_000)),
        Step(1, Resources(1_000, 10, 2)),
        Step(1, Resources(1_000, 10), required_label="z"),
        Step(1, Resources(1_000, 10), max_per_target=1),
    ],
    ids=["cpu", "memory", "accelerators", "label", "limit"],
)
def test_task_that_fits_nowhere_is_not_placed(step):
    assert choose_target(step, [candidate("a", 8_000, same_step_tasks=1)]) is None
