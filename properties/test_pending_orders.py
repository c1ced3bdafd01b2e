"""Orders of cancelled jobs over a link that loses, delays and reorders.

Guards against runs that nobody stops any more, whatever order the answers come in.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from hypothesis import example, given, settings
from hypothesis import strategies as st

from cornelturn.jobs.model import EndKind, JobSpec, Resources, Run, RunEnd, Step
from cornelturn.jobs.progress import Progress
from cornelturn.jobs.rows import JobRow, job_key
from cornelturn.model.routes import JobQueue
from cornelturn.scheduling.pool import PoolScheduler
from cornelturn.targets.address import TargetAddress
from cornelturn.targets.model import (
    ActiveRun,
    Declined,
    Executed,
    ListedTarget,
    Order,
    OrderResult,
    StartOrder,
    StopOrder,
    TargetLife,
    TargetReport,
    Unanswered,
)

QUEUE = JobQueue("lookups", "host", "/lookups/", "pool", slack_ms=60_000)
LIFE = TargetLife("t-1", 1)
JOB = "00000000000000aa"
STEP_MS = 50
CALM_STEPS = 100

ANY_TIME = settings(deadline=None)
"""Examples take several times as long while the machine is busy."""


@dataclass(slots=True)
class Worker:
    """A target: it bars what it was told to stop, and lists what has ended."""

    active: set[Run] = field(default_factory=set)
    barred: set[Run] = field(default_factory=set)
    ends: list[RunEnd] = field(default_factory=list)

    def execute(self, order: Order) -> OrderResult:
        match order:
            case StartOrder(run=run) if run in self.barred:
                return Declined("old")
            case StartOrder(run=run):
                self.active.add(run)
            case StopOrder(run=run):
                self.barred.add(run)
                if run in self.active:
                    self.active.remove(run)
                    end = RunEnd(len(self.ends) + 1, run, EndKind.STOPPED)
                    self.ends.append(end)
        return Executed()

    def report(self) -> TargetReport:
        active = tuple(ActiveRun(run, "", 0) for run in sorted(self.active, key=str))
        return TargetReport(LIFE, 0, active, tuple(self.ends))


@dataclass(frozen=True, slots=True)
class Delays:
    """When an order arrives and when its outcome is known, in steps from its giving.

    Parameters
    ----------
    arrives : int or None
        None if it never arrives.
    settles : int
        When the owner gets the answer, or gives it up.
    has_answer : bool
        Whether the answer comes back.
    """

    arrives: int | None
    settles: int
    has_answer: bool


SOUND = Delays(0, 0, True)
delays = st.builds(
    Delays,
    arrives=st.one_of(st.none(), st.integers(0, 8)),
    settles=st.integers(0, 8),
    has_answer=st.booleans(),
)


@dataclass(slots=True)
class Link:
    """Carries orders to the worker and outcomes back, each with its own delays."""

    scheduler: PoolScheduler
    worker: Worker
    arrivals: list[tuple[int, int, Order]] = field(default_factory=list)
    outcomes: list[tuple[int, int, Order, bool]] = field(default_factory=list)
    answers: dict[int, OrderResult] = field(default_factory=dict)
    count: int = 0

    def give(self, order: Order, drawn: Delays, step: int) -> None:
        self.count += 1
        if drawn.arrives is not None:
            self.arrivals.append((step + drawn.arrives, self.count, order))
        answered_step = max(drawn.settles, drawn.arrives or 0)
        settles = answered_step if drawn.has_answer else drawn.settles
        self.outcomes.append((step + settles, self.count, order, drawn.has_answer))

    def carry(self, step: int) -> None:
        """Deliver what is due: orders first, then outcomes."""
        for due, number, order in sorted(self.arrivals, key=lambda item: item[:2]):
            if due <= step:
                self.answers[number] = self.worker.execute(order)
        self.arrivals = [item for item in self.arrivals if item[0] > step]
        for due, number, order, has_answer in self.outcomes:
            if due <= step:
                answer = self.answers.get(number) if has_answer else None
                result = answer or Unanswered("timeout")
                now_ms = step * STEP_MS
                self.scheduler.handle_order_result(LIFE, order, result, now_ms)
        self.outcomes = [item for item in self.outcomes if item[0] > step]


def make_scheduler() -> PoolScheduler:
    scheduler = PoolScheduler("pool", 1)
    listed = ListedTarget(
        life=LIFE,
        pool="pool",
        address=TargetAddress.loopback(1),
        data_centre="dc",
        rack="r1",
        labels=frozenset(),
        capacity=Resources(8_000, 64_000),
        is_draining=False,
    )
    scheduler.update_targets([listed], 0)
    scheduler.handle_report(TargetReport(LIFE, 0, (), ()), 0, 0)
    scheduler.mark_loaded(0)
    return scheduler


def put_job(scheduler: PoolScheduler, progress: Progress, version: int) -> None:
    steps = (Step(2, Resources(1_000, 1), is_lasting=True),)
    row = JobRow(JobSpec(JOB, QUEUE.name, "pool", "text", steps), progress)
    scheduler.add_job(job_key(QUEUE.name, JOB), row, version, QUEUE, version)


STOP_LOST_AFTER_A_LATE_START_ANSWER = (
    [Delays(0, 4, True), Delays(0, 0, True), Delays(None, 6, False)],
    2,
    0,
)
"""The answer to a start comes after the stop was sent, which is lost."""


@ANY_TIME
@given(st.lists(delays, max_size=20), st.integers(0, 12), st.integers(0, 12))
@example(*STOP_LOST_AFTER_A_LATE_START_ANSWER)
def test_no_run_of_a_cancelled_job_goes_on(drawn, cancelled_step, silent_steps):
    scheduler, worker = make_scheduler(), Worker()
    link = Link(scheduler, worker)
    put_job(scheduler, Progress(), 1)
    remaining = list(drawn)
    for step in range(30 + CALM_STEPS):
        if step == cancelled_step:
            put_job(scheduler, Progress(is_cancelled=True), 2)
        link.carry(step)
        now_ms = step * STEP_MS
        if step >= silent_steps:
            scheduler.handle_report(worker.report(), now_ms, now_ms)
        for planned in scheduler.plan(now_ms):
            delay = remaining.pop(0) if remaining and step < 30 else SOUND
            link.give(planned.order, delay, step)
    assert not worker.active
    assert not scheduler.targets[LIFE].runs
