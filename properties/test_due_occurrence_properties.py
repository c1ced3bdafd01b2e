"""Occurrences that are opened a few ahead start as if all due ones were open.

Guards against starts that are left out, made twice or made in another order.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace

from hypothesis import example, given, settings
from hypothesis import strategies as st

from cornelturn.jobs.model import (
    EndKind,
    JobSpec,
    Recurrence,
    Resources,
    Run,
    RunEnd,
    Step,
)
from cornelturn.jobs.progress import Progress
from cornelturn.jobs.rows import JobRow, job_key
from cornelturn.model.routes import JobQueue
from cornelturn.scheduling.pool import PoolScheduler
from cornelturn.scheduling.step_opening import OPEN_AHEAD
from cornelturn.targets.address import TargetAddress
from cornelturn.targets.model import (
    ActiveRun,
    Executed,
    ListedTarget,
    StartOrder,
    TargetLife,
    TargetReport,
)

QUEUE = JobQueue("lookups", "host", "/lookups/", "pool", slack_ms=60_000)
LIVES = [TargetLife(f"t-{number}", 1) for number in range(3)]
MAX_OCCURRENCES = 3 * OPEN_AHEAD
ENDS = (EndKind.DONE, EndKind.DONE, EndKind.FAILED, EndKind.LAPSED)

steps = st.builds(
    Step,
    count=st.integers(1, 3),
    need=st.builds(Resources, st.integers(1, 4), st.integers(0, 3)),
    estimated_ms=st.integers(0, 500),
    max_per_target=st.integers(0, 2),
)
any_step = st.one_of(
    steps,
    steps.map(lambda step: replace(step, is_gang=True, max_per_target=0)),
    steps.map(lambda step: replace(step, is_lasting=True)),
)


@st.composite
def step_lists(draw: st.DrawFn) -> tuple[Step, ...]:
    drawn = draw(st.lists(any_step, min_size=1, max_size=3))
    return tuple(
        replace(step, after=(number - 1,) if number and draw(st.booleans()) else ())
        for number, step in enumerate(drawn)
    )


recurrences = st.one_of(
    st.none(),
    st.builds(
        Recurrence,
        st.integers(1, MAX_OCCURRENCES),
        st.integers(0, 100),
        st.sampled_from((0, 0, 1, 10)),
    ),
)
jobs = st.lists(st.tuples(step_lists(), recurrences), min_size=1, max_size=3)

ANY_TIME = settings(deadline=None)
"""Examples take several times as long while the machine is busy."""


@dataclass(slots=True)
class Pool:
    """A scheduler with its targets, which start and end runs as they are told."""

    scheduler: PoolScheduler
    now_ms: int = 0
    sequence: int = 0
    max_starts: float = math.inf

    def add(self, number: int, spec_of: tuple, progress: Progress) -> None:
        job_steps, recurrence = spec_of
        job = f"{number:016x}"
        spec = JobSpec(job, QUEUE.name, "pool", "text", job_steps, recurrence)
        key = job_key(QUEUE.name, job)
        row = JobRow(spec, progress)
        self.scheduler.add_job(key, row, number + 1, QUEUE, self.now_ms)

    def plan(self) -> list[tuple[TargetLife, Run]]:
        self.now_ms += 10
        orders = self.scheduler.plan(self.now_ms, self.max_starts)
        while self.scheduler.has_more_starts():
            orders += self.scheduler.plan(self.now_ms, self.max_starts)
        for item in orders:
            self.scheduler.handle_order_result(
                item.life, item.order, Executed(), self.now_ms
            )
        return [
            (item.life, item.order.run)
            for item in orders
            if isinstance(item.order, StartOrder)
        ]

    def end(self, life: TargetLife, run: Run, kind: EndKind) -> None:
        self.sequence += 1
        end = RunEnd(self.sequence, run, kind)
        report = TargetReport(life, 0, (), (end,), is_complete=False)
        self.scheduler.handle_report(report, self.now_ms, self.now_ms)

    def adopt(self, runs: list[tuple[TargetLife, Run]]) -> None:
        for life, run in runs:
            active = (ActiveRun(run, "", 0),)
            report = TargetReport(life, 0, active, (), is_complete=False)
            self.scheduler.handle_report(report, self.now_ms, self.now_ms)

    def counts(self) -> tuple[list[int], Resources]:
        waiting = [job.count_waiting() for job in self.scheduler.jobs.values()]
        return waiting, self.scheduler.pool_load(0).waiting


def make_pool(open_ahead: int, generation: int = 1) -> Pool:
    scheduler = PoolScheduler("pool", generation, open_ahead_count=open_ahead)
    listed = [
        ListedTarget(
            life=life,
            pool="pool",
            address=TargetAddress.loopback(1),
            data_centre="dc",
            rack="r1",
            labels=frozenset(),
            capacity=Resources(6 + number, 8),
            is_draining=False,
        )
        for number, life in enumerate(LIVES)
    ]
    scheduler.update_targets(listed, 0)
    for life in LIVES:
        scheduler.handle_report(TargetReport(life, 0, (), ()), 0, 0)
    scheduler.mark_loaded(0)
    return Pool(scheduler)


rounds = st.lists(
    st.lists(st.tuples(st.integers(0, 20), st.sampled_from(ENDS)), max_size=5),
    min_size=1,
    max_size=12,
)


def play(
    pools: tuple[Pool, Pool],
    active: list[tuple[TargetLife, Run]],
    rounds_played: list[list[tuple[int, EndKind]]],
) -> None:
    """Play rounds on both pools, which must start the same."""
    ahead, eager = pools
    for ends in rounds_played:
        started = ahead.plan()
        assert started == eager.plan()
        assert ahead.counts() == eager.counts()
        active += started
        for index, kind in ends:
            if active:
                life, run = active.pop(index % len(active))
                ahead.end(life, run, kind)
                eager.end(life, run, kind)


@ANY_TIME
@given(jobs, rounds)
def test_pool_starts_the_same_as_with_all_due_occurrences_open(specs, rounds_played):
    pools = make_pool(OPEN_AHEAD), make_pool(MAX_OCCURRENCES)
    for pool in pools:
        for number, spec in enumerate(specs):
            pool.add(number, spec, Progress())
    play(pools, [], rounds_played)


@ANY_TIME
@given(jobs, rounds, st.integers(1, 5))
def test_pool_starts_the_same_in_several_plans(specs, rounds_played, max_starts):
    pools = make_pool(OPEN_AHEAD), make_pool(MAX_OCCURRENCES)
    pools[0].max_starts = max_starts
    for pool in pools:
        for number, spec in enumerate(specs):
            pool.add(number, spec, Progress())
    play(pools, [], rounds_played)


MANY_REFUSED = [
    ((Step(1, Resources(1, 0)), Step(2, Resources(4, 0), after=(0,))), None),
    (
        (Step(2, Resources(3, 1), 13), Step(2, Resources(2, 0), 13)),
        Recurrence(19, 0, 0),
    ),
    (
        (
            Step(1, Resources(1, 0)),
            Step(1, Resources(1, 0)),
            Step(3, Resources(3, 1), 3),
        ),
        Recurrence(1, 11, 0),
    ),
]
"""Due occurrences of one job that reserved targets refuse, more than a pass tries of
different steps, before a short step of another job with the same need."""


@ANY_TIME
@given(jobs, rounds, rounds)
@example(MANY_REFUSED, [[(0, EndKind.DONE)] * 4, [(1, EndKind.DONE)]], [[]])
def test_next_owner_starts_the_same_as_with_all_due_occurrences_open(
    specs, before, after
):
    first = make_pool(OPEN_AHEAD), make_pool(MAX_OCCURRENCES)
    for pool in first:
        for number, spec in enumerate(specs):
            pool.add(number, spec, Progress())
    active: list[tuple[TargetLife, Run]] = []
    play(first, active, before)
    second = make_pool(OPEN_AHEAD, 2), make_pool(MAX_OCCURRENCES, 2)
    for pool in second:
        pool.now_ms = first[0].now_ms
        for number, spec in enumerate(specs):
            progress = Progress()
            job = first[0].scheduler.jobs.get(f"{number:016x}")
            if job is not None:
                progress.merge(job.progress)
                pool.add(number, spec, progress)
        pool.adopt(active)
    play(second, active, after)
