"""Run numbers rise over any row of owners, whatever the next owner learns of them.

A row of owners starts the runs of one lasting task on targets that refuse, as the
platform's workers do, each start whose number is not higher than that of a run that
they have ended or stopped. An end may be acknowledged and forgotten, so that later
owners never hear of it, or still be listed; starts may be lost, or carried out without
an answer. Some rows begin with targets that know numbers of an earlier version, which
gave a thousand to each owner and did not keep to it. Ranges are small here, so that
they are used up.

``OWNERS=5000 python -m pytest properties/test_run_numbers.py`` draws more rows.
"""

from __future__ import annotations

import os
from dataclasses import dataclass, field

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cornelturn.jobs.model import EndKind, JobSpec, Resources, Run, RunEnd, Step, TaskId
from cornelturn.jobs.progress import Progress
from cornelturn.jobs.rows import JobRow, job_key
from cornelturn.model.routes import JobQueue
from cornelturn.scheduling import run_numbers
from cornelturn.scheduling.pool import PoolScheduler
from cornelturn.scheduling.run_numbers import RunNumbersUsedUp
from cornelturn.targets.address import TargetAddress
from cornelturn.targets.model import (
    ActiveRun,
    Declined,
    Executed,
    ListedTarget,
    OrderResult,
    StartOrder,
    StopOrder,
    TargetLife,
    TargetReport,
    Unanswered,
)

EXAMPLES = int(os.environ.get("OWNERS", "150"))
JOB = "00000000000000aa"
TASK = TaskId(JOB, 0, 0, 0)
QUEUE = JobQueue("lookups", "host", "/lookups/", "pool", max_attempts=4)
SMALL_RANGE = 40
EARLIER_RANGE = 4
"""Numbers for each owner in an earlier version, by the same scale."""

EARLIER_RUNS = 12
"""Most runs of an owner of an earlier version, which did not keep to its range."""

STEP_MS = 1_000


@dataclass
class Worker:
    """A target: its runs, the last number that it has closed, and its listed ends."""

    life: TargetLife
    token: int = 0
    last_closed: int = 0
    active: set[Run] = field(default_factory=set)
    ends: list[RunEnd] = field(default_factory=list)
    end_count: int = 0

    def start(self, run: Run, token: int) -> OrderResult:
        """Carry out a start."""
        assert token >= self.token
        self.token = token
        if run in self.active:
            return Executed()
        if run.number <= self.last_closed:
            return Declined("old")
        self.active.add(run)
        return Executed()

    def stop(self, run: Run) -> None:
        """Carry out a stop; the start is refused from then on."""
        self.last_closed = max(self.last_closed, run.number)
        self.end(run, EndKind.STOPPED)

    def end(self, run: Run, kind: EndKind) -> None:
        """End a run if it is there."""
        if run in self.active:
            self.active.discard(run)
            self.last_closed = max(self.last_closed, run.number)
            self.end_count += 1
            self.ends.append(RunEnd(self.end_count, run, kind))

    def report(self) -> TargetReport:
        """Return the runs and the ends that are not forgotten."""
        active = tuple(ActiveRun(run, "", 100) for run in self.active)
        return TargetReport(self.life, 0, active, tuple(self.ends))


@dataclass(frozen=True)
class GivenStart:
    """A start of a run by the owner of some generation; it may be given again."""

    generation: int
    number: int


@dataclass
class Row:
    """Owners of a pool, one after another, and their targets."""

    workers: list[Worker]
    generation: int
    now_ms: int = 0
    refusals: list[Run] = field(default_factory=list)
    starts: list[GivenStart] = field(default_factory=list)
    scheduler: PoolScheduler = field(init=False)

    def __post_init__(self) -> None:
        self.change_owner()

    def change_owner(self) -> None:
        """Let the next owner read the row of the job and all reports."""
        self.generation += 1
        self.scheduler = PoolScheduler("pool", self.generation)
        self.scheduler.update_targets([listed(worker) for worker in self.workers], 0)
        self.scheduler.mark_loaded(self.now_ms)
        step = Step(1, Resources(1_000, 1), is_lasting=True)
        row = JobRow(JobSpec(JOB, QUEUE.name, "pool", "text", (step,)), Progress())
        self.scheduler.add_job(job_key(QUEUE.name, JOB), row, 1, QUEUE, self.now_ms)
        for worker in self.workers:
            worker.token = self.generation
        self.report()

    def report(self) -> None:
        """Let all targets report."""
        for worker in self.workers:
            self.now_ms += STEP_MS
            self.scheduler.handle_report(worker.report(), self.now_ms, self.now_ms)

    def acknowledge(self) -> None:
        """Let the targets forget the ends that are stored."""
        for write in self.scheduler.start_writes():
            self.scheduler.finish_write(write, 2, self.now_ms)
        acknowledged = {
            ends.life: ends.sequence for ends in self.scheduler.take_acknowledgements()
        }
        for worker in self.workers:
            forgotten = acknowledged.get(worker.life, 0)
            worker.ends = [end for end in worker.ends if end.sequence > forgotten]

    def give_orders(self, answer: str) -> None:
        """Carry out the orders that are due; starts as the answer says."""
        self.now_ms += STEP_MS
        try:
            orders = self.scheduler.plan(self.now_ms)
        except RunNumbersUsedUp:
            self.change_owner()
            return
        workers = {worker.life: worker for worker in self.workers}
        for target_order in orders:
            worker, order = workers[target_order.life], target_order.order
            result = self.carry_out(worker, order, answer)
            self.scheduler.handle_order_result(worker.life, order, result, self.now_ms)

    def carry_out(
        self, worker: Worker, order: StartOrder | StopOrder, answer: str
    ) -> OrderResult:
        """Carry out an order, and return what its sender hears."""
        if isinstance(order, StopOrder):
            worker.stop(order.run)
            return Executed()
        if answer == "lost":
            return Unanswered("lost")
        start = GivenStart(self.generation, order.run.number)
        is_first = start not in self.starts
        if is_first:
            self.starts.append(start)
        result = worker.start(order.run, self.generation)
        if is_first and isinstance(result, Declined):
            self.refusals.append(order.run)
        return Unanswered("late") if answer == "late" else result

    def end_runs(self) -> None:
        """Let all runs fail."""
        for worker in self.workers:
            for run in tuple(worker.active):
                worker.end(run, EndKind.FAILED)


def listed(worker: Worker) -> ListedTarget:
    return ListedTarget(
        life=worker.life,
        pool="pool",
        address=TargetAddress.loopback(1),
        data_centre="dc",
        rack="r1",
        labels=frozenset(),
        capacity=Resources(8_000, 64_000, 0),
        is_draining=False,
    )


ACTIONS = st.lists(
    st.one_of(
        st.tuples(st.just("crash_loop"), st.integers(1, 2 * SMALL_RANGE)),
        st.tuples(st.sampled_from(["lost", "late", "ok", "end", "forget"]), st.just(1)),
        st.tuples(st.just("change_owner"), st.integers(1, 3)),
    ),
    max_size=20,
)


def act(row: Row, action: str, times: int) -> None:
    """Let something happen to the owner or its targets."""
    for _ in range(times):
        match action:
            case "crash_loop":
                row.give_orders("ok")
                row.end_runs()
                row.report()
                row.acknowledge()
            case "end":
                row.end_runs()
                row.report()
            case "forget":
                row.acknowledge()
            case "change_owner":
                row.change_owner()
            case _:
                row.give_orders(action)


@settings(max_examples=EXAMPLES, deadline=None, derandomize=True, database=None)
@given(
    actions=ACTIONS,
    earlier_owners=st.integers(0, 4),
    earlier_runs=st.integers(0, EARLIER_RUNS),
)
def test_no_target_refuses_the_first_start_of_a_run(
    actions: list[tuple[str, int]], earlier_owners: int, earlier_runs: int
) -> None:
    """Numbers rise, and a target that is there always takes the next one."""
    with pytest.MonkeyPatch.context() as monkeypatch:
        monkeypatch.setattr(run_numbers, "RUN_NUMBERS_PER_GENERATION", SMALL_RANGE)
        workers = [Worker(TargetLife(f"t-{number}", 1)) for number in range(2)]
        if earlier_owners:
            known = (earlier_owners - 1) * EARLIER_RANGE + earlier_runs
            workers[0].last_closed = known
        row = Row(workers, earlier_owners)
        for action, times in actions:
            act(row, action, times)
        assert row.refusals == []
        numbers = [start.number for start in row.starts]
        assert numbers == sorted(set(numbers))
        act(row, "end", 1)
        for _ in range(10):
            row.give_orders("ok")
            row.report()
        assert any(worker.active for worker in workers)
