"""Compares the index of free capacity and the start order with an exhaustive search."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from hypothesis import example, given, settings
from hypothesis import strategies as st

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
from cornelturn.model.routes import JobQueue
from cornelturn.placement.index import FreeCapacity, FreeCapacityIndex, Preference
from cornelturn.placement.target_choice import Candidate, choose_target
from cornelturn.scheduling.pool import PoolScheduler
from cornelturn.scheduling.reservations import (
    MAX_EXAMINED_STEPS,
    RESERVED_STEPS,
    expected_end_ms,
)
from cornelturn.scheduling.state import TargetOrder
from cornelturn.scheduling.target_view import RunView, TargetView
from cornelturn.scheduling.views import JobView
from cornelturn.targets.model import (
    ActiveRun,
    Executed,
    ListedTarget,
    StartOrder,
    TargetLife,
    TargetReport,
)
from properties.processor_time import processor_time_limit

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
candidates = st.builds(
    Candidate,
    name=st.sampled_from(NAMES),
    rack=st.just("r1"),
    labels=labels,
    free=needs,
    is_avoided=st.booleans(),
)


@given(st.lists(candidates, max_size=20), batch_steps)
def test_index_chooses_the_same_as_a_search_of_all_targets(changes, step):
    step = replace(step, max_per_target=0)
    index = FreeCapacityIndex()
    by_name: dict[str, Candidate] = {}
    for candidate in changes:
        by_name[candidate.name] = candidate
        index.put(
            FreeCapacity(
                TargetLife(candidate.name, 1), candidate.labels, candidate.free
            )
        )
        found = index.choose_fullest(step, lambda life: _preference(by_name[life.name]))
        expected = choose_target(step, by_name.values())
        assert (found.name if found is not None else None) == expected


@given(st.lists(candidates, max_size=10), batch_steps, st.sets(st.sampled_from(NAMES)))
def test_index_omits_discarded_and_excluded_targets(changes, step, excluded):
    step = replace(step, max_per_target=0)
    index = FreeCapacityIndex()
    by_name = {candidate.name: candidate for candidate in changes}
    for candidate in by_name.values():
        index.put(
            FreeCapacity(
                TargetLife(candidate.name, 1), candidate.labels, candidate.free
            )
        )
    index.choose_fullest(step, lambda life: Preference.PREFERRED)
    for name in NAMES[:3]:
        index.discard(TargetLife(name, 1))
        by_name.pop(name, None)

    def prefer(life: TargetLife) -> Preference:
        if life.name in excluded:
            return Preference.EXCLUDED
        return _preference(by_name[life.name])

    found = index.choose_fullest(step, prefer)
    rest = [candidate for name, candidate in by_name.items() if name not in excluded]
    assert (found.name if found is not None else None) == choose_target(step, rest)


def _preference(candidate: Candidate) -> Preference:
    return Preference.AVOIDED if candidate.is_avoided else Preference.PREFERRED


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


def _round(*steps: Step, ended: int = 0) -> Round:
    """Return a round in which jobs of one step arrive, after `ended` runs end."""
    return Round(
        [Arrival((step,), 0, 60_000) for step in steps],
        [(1, EndKind.DONE)] * ended,
        frozenset(),
    )


LASTING_IN_THE_WAY = (
    _round(Step(1, Resources(3, 1), is_lasting=True)),
    _round(Step(13, Resources(1, 1), 1)),
    _round(Step(1, Resources(6, 1), 1), Step(4, Resources(1, 1), 3_000), ended=5),
)
"""A step that would fit on the emptiest of two targets only without its lasting run."""

LASTING_ON_A_RESERVED_TARGET = (
    _round(Step(1, Resources(1, 1), 9_000)),
    _round(Step(1, Resources(5, 1), 1_000)),
    _round(
        Step(1, Resources(1, 1), is_lasting=True),
        Step(1, Resources(7, 1), 1),
        Step(1, Resources(1, 1), 60_000),
    ),
)
"""A lasting step that starts on a target reserved for another one, which fits there
later for it. The last step would end between these times, and must not start."""


@settings(deadline=None)
@given(listed_targets, st.lists(rounds, min_size=1, max_size=6))
@example([(frozenset(), Resources(8, 64))] * 2, LASTING_IN_THE_WAY)
@example([(frozenset(), Resources(8, 64))], LASTING_ON_A_RESERVED_TARGET)
@processor_time_limit()
def test_plan_starts_the_same_as_a_search_of_all_jobs_and_targets(
    targets, rounds_played
):
    scheduler = PoolScheduler("pool", 1)
    listed = [
        _listed(name, *labels_and_capacity)
        for name, labels_and_capacity in zip(NAMES, targets, strict=False)
    ]
    scheduler.update_targets(listed, 0)
    for target in listed:
        scheduler.handle_report(TargetReport(target.life, 0, (), ()), 0, 0)
    scheduler.mark_loaded(0)
    active: list[TargetOrder] = []
    sequence = 0
    jobs = 0
    for number, played in enumerate(rounds_played):
        now_ms = number * STEP_MS
        scheduler.set_cordoned(played.cordoned)
        for arrival in played.arrivals:
            jobs += 1
            _add(scheduler, arrival, jobs, now_ms)
        _report_progress(scheduler, active, number)
        for index, kind in played.ends:
            if not active:
                break
            ended = active.pop(index % len(active))
            sequence += 1
            end = RunEnd(sequence, ended.order.run, kind)
            others = _active_on(ended.life, active, number)
            report = TargetReport(ended.life, 0, others, (end,))
            scheduler.handle_report(report, now_ms - 1, now_ms)
        expected = _expected_starts(scheduler, now_ms)
        orders = scheduler.plan(now_ms)
        started = [item for item in orders if isinstance(item.order, StartOrder)]
        starts = [(item.order.run.task, item.life.name) for item in started]
        assert starts == expected
        for item in started:
            scheduler.handle_order_result(item.life, item.order, Executed(), now_ms)
        active += started


def _report_progress(
    scheduler: PoolScheduler, active: list[TargetOrder], percent: int
) -> None:
    """Report progress of all runs, so that none counts as stalled."""
    now_ms = percent * STEP_MS
    for life in {order.life for order in active}:
        runs = _active_on(life, active, percent)
        scheduler.handle_report(TargetReport(life, 0, runs, ()), now_ms - 2, now_ms)


def _active_on(
    life: TargetLife, active: list[TargetOrder], percent: int
) -> tuple[ActiveRun, ...]:
    on_target = [order for order in active if order.life == life]
    return tuple(ActiveRun(order.order.run, "", percent) for order in on_target)


def _listed(name: str, own: frozenset[str], capacity: Resources) -> ListedTarget:
    return ListedTarget(
        life=TargetLife(name, 1),
        pool="pool",
        address="127.0.0.1:1",
        data_centre="dc",
        rack="r1",
        labels=own,
        capacity=capacity,
        is_draining=False,
    )


def _add(scheduler: PoolScheduler, arrival: Arrival, number: int, now_ms: int) -> None:
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
    row = JobRow(JobSpec(job, queue.name, "pool", "text", arrival.steps), Progress())
    scheduler.add_job(job_key(queue.name, job), row, number, queue, now_ms)


@dataclass(slots=True)
class Search:
    """The starts of a plan, by a search of all jobs and all targets."""

    scheduler: PoolScheduler
    now_ms: int
    used: dict[str, Resources]
    placed: list[tuple[TaskId, str]]
    reserved: dict[str, StepId] = field(default_factory=dict)
    fit_times: dict[str, int] = field(default_factory=dict)

    def reserve(self, step_ids: list[StepId]) -> None:
        """Reserve targets for the first steps that can start once batch runs ended."""
        reasonable = [
            step_id
            for step_id in step_ids[:MAX_EXAMINED_STEPS]
            if self.has_unfailed_task(step_id) and self.fits_ever(step_id)
        ]
        for step_id in reasonable[:RESERVED_STEPS]:
            step = self.step(step_id)
            eligible = [
                view
                for view in self.eligible(step_id)
                if view.life.name not in self.reserved
            ]
            if eligible and not any(
                step.counted_need().fits_in(view.free()) for view in eligible
            ):
                emptiest = max(eligible, key=lambda view: (view.free().cpu, view.life))
                self.reserved[emptiest.life.name] = step_id

    def step(self, step_id: StepId) -> Step:
        return self.scheduler.jobs[step_id.job].spec.steps[step_id.step]

    def has_unfailed_task(self, step_id: StepId) -> bool:
        job = self.scheduler.jobs[step_id.job]
        tasks = (step_id.task(index) for index in job.waiting_tasks[step_id])
        return not all(
            job.progress.has_failed(job.counted_task(task)) for task in tasks
        )

    def eligible(self, step_id: StepId) -> list[TargetView]:
        """Return the targets that can take a task once their batch runs have ended."""
        step = self.step(step_id)
        return [
            view
            for view in self.scheduler.targets.values()
            if view.is_schedulable()
            and step.counted_need().fits_in(self.free_beside_lasting_runs(view))
            and step.required_label in ("", *view.listed.labels)
            and not 0 < step.max_per_target <= view.count_step_tasks(step_id)
        ]

    def fits_ever(self, step_id: StepId) -> bool:
        """Return whether a task, or a whole gang, fits once batch runs have ended."""
        step = self.step(step_id)
        if not step.is_gang:
            return bool(self.eligible(step_id))
        places = 0
        for view in self.eligible(step_id):
            free, on_target = self.free_beside_lasting_runs(view), 0
            while on_target < (step.max_per_target or step.count):
                if not step.counted_need().times(on_target + 1).fits_in(free):
                    break
                on_target += 1
            places += on_target
        return places >= step.count

    def free_beside_lasting_runs(self, view: TargetView) -> Resources:
        """Return the capacity of a target that no lasting run takes."""
        free = view.listed.capacity
        for run_view in view.runs.values():
            if self.step(run_view.run.task.step_id()).is_lasting:
                free = free.minus(run_view.need)
        return free

    def fit_ms(self, view: TargetView, need: Resources) -> int:
        """Return when a task is expected to fit on a target, as its batch runs end."""
        batch = [
            run_view
            for run_view in view.runs.values()
            if not self.step(run_view.run.task.step_id()).is_lasting
        ]
        ends_ms = {self.now_ms, *(self._end_ms(run_view) for run_view in batch)}
        for end_ms in sorted(ends_ms):
            free = view.free()
            for run_view in batch:
                if self._end_ms(run_view) <= end_ms:
                    free = free.plus(run_view.need)
            if end_ms == self.now_ms and need.fits_in(view.free()):
                return end_ms
            if need.fits_in(free):
                return end_ms
        return max(ends_ms)

    def _end_ms(self, run_view: RunView) -> int:
        return expected_end_ms(self.scheduler, run_view, self.now_ms)

    def place(self, job: JobView, task: TaskId) -> bool:
        """Place a task, and return whether a target has capacity for it."""
        step = job.spec.steps[task.step]
        views = [
            view
            for view in self.scheduler.targets.values()
            if view.is_schedulable()
            and not self.scheduler.avoidance.is_deferred(job, task, view, self.now_ms)
            and (step.is_lasting or self.may_use(view, job, task.step_id()))
        ]
        name = choose_target(step, [self._candidate(job, task, view) for view in views])
        if name is None:
            return False
        self.used[name] = self.used.get(name, Resources()).plus(step.counted_need())
        self.placed.append((task, name))
        return True

    def is_reserved(self, view: TargetView, step_id: StepId) -> bool:
        """Return whether a target is reserved for another step."""
        return self.reserved.get(view.life.name, step_id) != step_id

    def may_use(self, view: TargetView, job: JobView, step_id: StepId) -> bool:
        """Return whether a target is reserved for no other step, or the step is short.

        Short is what is expected to end before the other step fits.
        """
        if not self.is_reserved(view, step_id):
            return True
        run_ms = job.step_run_ms[step_id.step]
        need = self.step(self.reserved[view.life.name]).counted_need()
        is_gang = self.step(step_id).is_gang
        fit_ms = self.fit_times.setdefault(view.life.name, self.fit_ms(view, need))
        return not is_gang and 0 < run_ms <= fit_ms - self.now_ms

    def _candidate(self, job: JobView, task: TaskId, view: TargetView) -> Candidate:
        name = view.life.name
        step_id = task.step_id()
        step = self.step(step_id)
        of_step = view.count_step_tasks(step_id) + sum(
            placed_on == name and other.step_id() == step_id
            for other, placed_on in self.placed
        )
        return Candidate(
            name,
            view.listed.rack,
            view.listed.labels,
            view.free().minus(self.used.get(name, Resources())),
            of_step,
            self.scheduler.avoidance.is_avoided(job, task, view, self.now_ms)
            or (not step.is_lasting and self.is_reserved(view, step_id)),
        )


def _expected_starts(scheduler: PoolScheduler, now_ms: int) -> list[tuple[TaskId, str]]:
    search = Search(scheduler, now_ms, {}, [])
    waiting = [
        (job, step_id)
        for job in scheduler.jobs.values()
        for step_id in job.waiting_tasks
    ]
    waiting.sort(key=lambda job_and_step: _order(*job_and_step, now_ms))
    search.reserve([step_id for _, step_id in waiting])
    for job, step_id in waiting:
        _search_step(search, job, step_id)
    return search.placed


def _order(job: JobView, step_id: StepId, now_ms: int) -> tuple[object, ...]:
    """Return the sort key of a step: lasting ones first, then by outlook."""
    remaining_ms = sum(
        step.estimated_ms
        for number, step in enumerate(job.spec.steps)
        if not job.progress.is_step_done(job.spec, 0, number)
    )
    all_ms = sum(step.estimated_ms for step in job.spec.steps)
    objective_ms = job.queue.slack_factor * all_ms + job.queue.slack_ms
    end_ms = now_ms + remaining_ms - job.arrived_ms
    is_lasting = job.spec.steps[step_id.step].is_lasting
    lateness = (end_ms > round(objective_ms)) + (end_ms > round(3 * objective_ms))
    return (
        job.queue.priority,
        0 if is_lasting else lateness,
        0 if is_lasting else job.remaining_work(),
        step_id,
    )


def _search_step(search: Search, job: JobView, step_id: StepId) -> None:
    step = job.spec.steps[step_id.step]
    if not step.is_gang:
        for index in sorted(job.waiting_tasks[step_id]):
            task = step_id.task(index)
            if not search.scheduler.is_startable(job, task):
                continue
            if not search.place(job, task) and not job.task(task).failed_on:
                return
        return
    tasks = [step_id.task(index) for index in range(step.count)]
    if not all(search.scheduler.is_startable(job, task) for task in tasks):
        return
    used, placed = dict(search.used), list(search.placed)
    if not all(search.place(job, task) for task in tasks):
        search.used, search.placed = used, placed
