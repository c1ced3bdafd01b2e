"""Rounds of arrivals, ends and cordons that are drawn for a pool's scheduler."""

from __future__ import annotations

from dataclasses import dataclass, replace

from hypothesis import strategies as st

from cornelturn.jobs.model import EndKind, Resources, Step
from cornelturn.scheduling.pool import PoolScheduler
from cornelturn.scheduling.state import TargetOrder
from cornelturn.targets.address import TargetAddress
from cornelturn.targets.model import (
    ActiveRun,
    ListedTarget,
    TargetLife,
    TargetReport,
)

RACKS = ("r1", "r2")
STEP_MS = 1_000
NAMES = [f"t-{number}" for number in range(6)]

needs = st.builds(Resources, st.integers(0, 4), st.integers(0, 4), st.integers(0, 1))
labels = st.frozensets(st.sampled_from(("a", *RACKS)))
batch_steps = st.builds(
    Step,
    count=st.integers(1, 4),
    need=needs,
    estimated_ms=st.integers(0, 3_000),
    required_label=st.sampled_from(("", "a", "r1", "missing")),
    near_rack=st.sampled_from(("", *RACKS)),
    max_per_target=st.integers(0, 2),
    is_filling=st.booleans(),
)
gangs = batch_steps.map(lambda step: replace(step, is_gang=True))
lasting = batch_steps.map(lambda step: replace(step, is_lasting=True))


@dataclass(frozen=True, slots=True)
class Arrival:
    """A job with the priority and the objective of its queue."""

    steps: tuple[Step, ...]
    priority: int
    slack_ms: int


@dataclass(frozen=True, slots=True)
class Round:
    """Jobs that arrive, runs that end and targets that change before a plan.

    Parameters
    ----------
    ends : list of int
        Index of each run among those that are active, and how it ends.
    cordoned : frozenset of str
        Names of the targets that get no tasks.
    """

    arrivals: list[Arrival]
    ends: list[tuple[int, EndKind]]
    cordoned: frozenset[str]


def _chain(steps: list[Step]) -> tuple[Step, ...]:
    return tuple(
        replace(step, after=tuple(range(number))) for number, step in enumerate(steps)
    )


any_steps = st.one_of(batch_steps, batch_steps, gangs, lasting)
arrivals = st.builds(
    Arrival,
    steps=st.lists(any_steps, min_size=1, max_size=2).map(_chain),
    priority=st.integers(0, 1),
    slack_ms=st.sampled_from((0, 2_500, 60_000)),
)
rounds = st.builds(
    Round,
    arrivals=st.lists(arrivals, max_size=4),
    ends=st.lists(
        st.tuples(
            st.integers(0, 30),
            st.sampled_from((EndKind.DONE, EndKind.FAILED, EndKind.STOPPED)),
        ),
        max_size=4,
    ),
    cordoned=st.frozensets(st.sampled_from(NAMES), max_size=2),
)
listed_targets = st.lists(
    st.tuples(labels, needs.map(lambda need: need.times(3))), min_size=1, max_size=6
)


def report_progress(
    scheduler: PoolScheduler, active: list[TargetOrder], percent: int
) -> None:
    """Report progress of all runs, so that none counts as stalled."""
    now_ms = percent * STEP_MS
    for life in {order.life for order in active}:
        runs = active_on(life, active, percent)
        scheduler.handle_report(TargetReport(life, 0, runs, ()), now_ms - 2, now_ms)


def active_on(
    life: TargetLife, active: list[TargetOrder], percent: int
) -> tuple[ActiveRun, ...]:
    on_target = [order for order in active if order.life == life]
    return tuple(ActiveRun(order.order.run, "", percent) for order in on_target)


def listed_target(name: str, own: frozenset[str], capacity: Resources) -> ListedTarget:
    return ListedTarget(
        life=TargetLife(name, 1),
        pool="pool",
        address=TargetAddress.loopback(1),
        data_centre="dc",
        rack="r1",
        labels=own,
        capacity=capacity,
        is_draining=False,
    )
