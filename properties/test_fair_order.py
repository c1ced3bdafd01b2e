"""Compares the order of fair shares with a search of all waiting steps at each pick."""

from __future__ import annotations

from dataclasses import dataclass, field

from hypothesis import given, settings
from hypothesis import strategies as st

from cornelturn.fairness.rates import SubmissionRates, burst
from cornelturn.fairness.shares import MAX_BEGUN_SHARE, MAX_STEP_SHARE, Weights
from cornelturn.jobs.model import (
    EndKind,
    JobSpec,
    Resources,
    RunEnd,
    Step,
    StepId,
    TaskId,
)
from cornelturn.jobs.progress import Progress
from cornelturn.jobs.rows import JobRow, job_key
from cornelturn.model.organisations import Organisation
from cornelturn.model.routes import JobQueue, RoutingTable
from cornelturn.scheduling.pool import PoolScheduler
from cornelturn.scheduling.reservations import MAX_EXAMINED_STEPS
from cornelturn.scheduling.state import TargetOrder
from cornelturn.scheduling.views import JobView
from cornelturn.targets.model import Executed, StartOrder, TargetReport
from properties.placement_search import Search, start_order_key
from properties.processor_time import processor_time_limit
from properties.scheduling_rounds import (
    NAMES,
    STEP_MS,
    Arrival,
    Round,
    active_on,
    arrivals,
    labels,
    listed_target,
    needs,
    report_progress,
    rounds,
)

WEIGHTS = {"one": 1.0, "two": 2.0, "low": 0.25}
TASKS_PER_TURN = 2
"""Low, so that steps lose their turn before all of their tasks have started."""


@dataclass(frozen=True, slots=True)
class Submission:
    """An arrival with its organisation; an empty one is a public queue."""

    arrival: Arrival
    organisation: str


submissions = st.builds(
    Submission, arrivals, st.sampled_from(("one", "one", "two", "low", "", "gone"))
)
played_rounds = st.lists(
    st.tuples(rounds, st.lists(submissions, max_size=6)), min_size=1, max_size=6
)
listed_targets = st.lists(
    st.tuples(labels, needs.map(lambda need: need.times(3))), min_size=1, max_size=6
)


@settings(deadline=None)
@given(listed_targets, played_rounds)
@processor_time_limit()
def test_plan_starts_the_same_as_a_search_at_each_pick(targets, played):
    """Guards against stale shares, lost steps and requirements that end too early."""
    scheduler = PoolScheduler("pool", 1)
    # The search knows no cost of distance.
    scheduler.racks.remote_factor = 1.0
    organisations = tuple(Organisation(*item) for item in WEIGHTS.items())
    scheduler.update_routing(RoutingTable(1, organisations=organisations), 0)
    listed = [
        listed_target(name, *labels_and_capacity)
        for name, labels_and_capacity in zip(NAMES, targets, strict=False)
    ]
    scheduler.update_targets(listed, 0)
    for target in listed:
        scheduler.handle_report(TargetReport(target.life, 0, (), ()), 0, 0)
    scheduler.mark_loaded(0)
    scheduler.waiting_steps.use_fair_order(scheduler.fairness.shares)
    scheduler.waiting_steps.fair.tasks_per_turn = TASKS_PER_TURN
    player = Player(scheduler)
    for number, (played_round, submitted) in enumerate(played):
        player.play(number, played_round, submitted)


@dataclass(slots=True)
class Player:
    """Plays rounds and compares each plan with the search."""

    scheduler: PoolScheduler
    active: list[TargetOrder] = field(default_factory=list)
    ends: int = 0
    jobs: int = 0

    def play(self, number: int, played: Round, submitted: list[Submission]) -> None:
        now_ms = number * STEP_MS
        self.scheduler.set_cordoned(played.cordoned)
        for submission in submitted:
            self.jobs += 1
            _add(self.scheduler, submission, self.jobs, now_ms)
        report_progress(self.scheduler, self.active, number)
        for index, kind in played.ends:
            if self.active:
                self._end_run(index % len(self.active), kind, number)
        self._plan(now_ms)

    def _end_run(self, index: int, kind: EndKind, number: int) -> None:
        now_ms = number * STEP_MS
        ended = self.active.pop(index)
        self.ends += 1
        end = RunEnd(self.ends, ended.order.run, kind)
        others = active_on(ended.life, self.active, number)
        report = TargetReport(ended.life, 0, others, (end,))
        self.scheduler.handle_report(report, now_ms - 1, now_ms)

    def _plan(self, now_ms: int) -> None:
        # New jobs are judged first, since the search takes the verdicts as given.
        self.scheduler.changed_jobs |= self.scheduler.fairness.prepare_plan((), now_ms)
        expected = FairSearch(self.scheduler, now_ms).starts()
        orders = self.scheduler.plan(now_ms)
        started = [item for item in orders if isinstance(item.order, StartOrder)]
        starts = [(item.order.run.task, item.life.name) for item in started]
        assert starts == expected
        for item in started:
            self.scheduler.handle_order_result(
                item.life, item.order, Executed(), now_ms
            )
        self.active += started


@dataclass(slots=True)
class FairSearch:
    """The starts of a plan, by a search of all waiting steps at each pick.

    Parameters
    ----------
    held : dict
        Resources of each organisation, with those of the starts found so far.
    """

    scheduler: PoolScheduler
    now_ms: int
    search: Search = field(init=False)
    capacity: Resources = field(default_factory=Resources)
    held: dict[str, Resources] = field(default_factory=dict)
    waiting: list[tuple[JobView, StepId]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.search = Search(self.scheduler, self.now_ms, {}, [])
        for view in self.scheduler.targets.values():
            if view.is_schedulable():
                self.capacity = self.capacity.plus(view.listed.capacity)
            for run in view.runs:
                self.hold(self.scheduler.jobs[run.task.job], run.task.step)
        self.waiting = [
            (job, step_id)
            for job in self.scheduler.jobs.values()
            for step_id in job.waiting_tasks
        ]

    def hold(self, job: JobView, step: int, count: int = 1) -> None:
        """Count tasks as held by the organisation of their job."""
        need = job.spec.steps[step].need.times(count)
        held = self.held.get(job.spec.organisation, Resources())
        self.held[job.spec.organisation] = held.plus(need)

    def starts(self) -> list[tuple[TaskId, str]]:
        """Return the tasks in the order of their starts, and their targets."""
        self._reserve()
        remaining = list(self.waiting)
        tried: dict[StepId, set[int]] = {}
        while remaining:
            job, step_id = min(remaining, key=self._rank)
            if not self._take_turn(job, step_id, tried.setdefault(step_id, set())):
                remaining.remove((job, step_id))
        return self.search.placed

    def _reserve(self) -> None:
        """Reserve targets for the first steps; one counts as held for the next."""
        held, remaining = dict(self.held), list(self.waiting)
        first_steps: list[StepId] = []
        for _ in range(min(MAX_EXAMINED_STEPS, len(remaining))):
            job, step_id = min(remaining, key=self._rank)
            remaining.remove((job, step_id))
            first_steps.append(step_id)
            step = job.spec.steps[step_id.step]
            self.hold(job, step_id.step, step.count if step.is_gang else 1)
        self.search.reserve(first_steps)
        self.held = held

    def _rank(self, job_and_step: tuple[JobView, StepId]) -> tuple[object, ...]:
        job, step_id = job_and_step
        step = job.spec.steps[step_id.step]
        priority, lateness, work, _ = start_order_key(job, step_id, self.now_ms)
        work_class = 0 if step.is_lasting else 1 + job.is_beyond_rate
        return (
            priority,
            work_class,
            lateness,
            self._standing(job, step),
            work,
            step_id,
        )

    def _standing(self, job: JobView, step: Step) -> tuple[int, float]:
        """Return the standing of a step, and the share if the order depends on it."""
        mean = sum(WEIGHTS.values()) / len(WEIGHTS)
        weight = WEIGHTS.get(job.spec.organisation, mean)
        guaranteed = weight / (sum(WEIGHTS.values()) + mean)
        held = self.held.get(job.spec.organisation, Resources())
        share = self._dominant_share(held) / guaranteed
        whole_step = step.need.times(step.count)
        is_narrow = self._dominant_share(whole_step) <= MAX_STEP_SHARE * guaranteed
        if is_narrow and job.progress.done and share < MAX_BEGUN_SHARE:
            return 0, 0.0
        if is_narrow and not job.progress.done and share < 1:
            return 1, 0.0
        return 2, share

    def _dominant_share(self, held: Resources) -> float:
        parts = [
            own / all_of_it
            for own, all_of_it in (
                (held.cpu, self.capacity.cpu),
                (held.mem_mb, self.capacity.mem_mb),
                (held.gpu, self.capacity.gpu),
            )
            if all_of_it
        ]
        return max(parts, default=0.0)

    def _take_turn(self, job: JobView, step_id: StepId, tried: set[int]) -> bool:
        """Start tasks of a step; return whether more of them may start."""
        step = job.spec.steps[step_id.step]
        if step.is_gang:
            self._start_gang(job, step_id)
            return False
        starts = 0
        for index in sorted(set(job.waiting_tasks[step_id]) - tried):
            task = step_id.task(index)
            if not self.scheduler.is_startable(job, task):
                continue
            if starts == TASKS_PER_TURN:
                return True
            if self.search.place(job, task):
                starts += 1
                tried.add(index)
                self.hold(job, step_id.step)
            elif not job.task(task).failed_on:
                return False
        return False

    def _start_gang(self, job: JobView, step_id: StepId) -> None:
        step = job.spec.steps[step_id.step]
        tasks = [step_id.task(index) for index in range(step.count)]
        if not all(self.scheduler.is_startable(job, task) for task in tasks):
            return
        used, placed = dict(self.search.used), list(self.search.placed)
        if all(self.search.place(job, task) for task in tasks):
            self.hold(job, step_id.step, step.count)
        else:
            self.search.used, self.search.placed = used, placed


def _add(
    scheduler: PoolScheduler, submission: Submission, number: int, now_ms: int
) -> None:
    arrival = submission.arrival
    queue = JobQueue(
        "lookups",
        "host",
        "/lookups/",
        "pool",
        priority=arrival.priority,
        max_attempts=2,
        slack_ms=arrival.slack_ms,
    )
    job = f"{number:016x}"
    spec = JobSpec(
        job,
        queue.name,
        "pool",
        "text",
        arrival.steps,
        organisation=submission.organisation,
    )
    key = job_key(queue.name, job)
    scheduler.add_job(key, JobRow(spec, Progress()), number, queue, now_ms)


@given(
    st.floats(0.1, 20.0),
    st.lists(st.integers(0, 2_000), min_size=1, max_size=200),
)
def test_jobs_within_the_rate_never_exceed_it_by_more_than_the_burst(rate, gaps_ms):
    """Guards against a rate that long pauses or fractions of a token can exceed."""
    rates, weights = SubmissionRates(), Weights({"one": rate})
    now_ms = 0
    within: list[int] = []
    for gap_ms in gaps_ms:
        now_ms += gap_ms
        if not rates.is_beyond("one", weights, now_ms):
            within.append(now_ms)
    for first, start_ms in enumerate(within):
        for last in range(first, len(within)):
            seconds = (within[last] - start_ms) / 1_000
            assert last - first + 1 <= burst(rate) + rate * seconds + 1e-6
