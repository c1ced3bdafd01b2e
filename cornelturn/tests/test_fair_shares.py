"""Order among organisations in one pool, without sockets."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import replace

import pytest

from cornelturn.events.job_metrics import JobMetrics
from cornelturn.events.work_times import WorkTimes
from cornelturn.fairness.rates import MIN_BURST_JOBS
from cornelturn.fairness.shares import dominant_share
from cornelturn.fairness.sharing import KEPT_AFTER_MS
from cornelturn.fairness.starvation import STARVED_AFTER_MS
from cornelturn.jobs.model import EndKind, JobSpec, Resources, Run, RunEnd, Step
from cornelturn.jobs.progress import Progress
from cornelturn.jobs.rows import JobRow, job_key
from cornelturn.model.organisations import Organisation
from cornelturn.model.routes import JobQueue, RoutingTable
from cornelturn.scheduling.pool import PoolScheduler
from cornelturn.scheduling.reporting import PoolReporter
from cornelturn.targets.model import (
    Executed,
    ListedTarget,
    StartOrder,
    TargetLife,
    TargetReport,
)

QUEUE = JobQueue("lookups", "host", "/lookups/", "pool", max_attempts=3, slack_ms=5_000)
CORE = Step(1, Resources(1_000, 1), 100)
WEIGHTS = {"one": 1.0, "two": 2.0, "four": 4.0}


class Pool:
    """A scheduler with one target whose runs end when a test says so."""

    def __init__(self, cpu: int, weights: dict[str, float], generation: int = 1):
        self.life = TargetLife("t-1", 1)
        self.scheduler = PoolScheduler("pool", generation, metrics=JobMetrics())
        self.scheduler.update_targets([listed_target(self.life, cpu)], 0)
        self.scheduler.handle_report(TargetReport(self.life, 0, (), ()), 0, 0)
        self.configure(weights)
        self.running: list[Run] = []
        self.ends = 0
        self.jobs = 0

    def configure(self, weights: dict[str, float], version: int = 1) -> None:
        organisations = tuple(Organisation(*item) for item in weights.items())
        table = RoutingTable(version, (QUEUE,), organisations=organisations)
        self.scheduler.update_routing(table, 0)

    def load(self) -> Pool:
        self.scheduler.mark_loaded(0)
        return self

    def add(
        self,
        organisation: str,
        *steps: Step,
        now_ms: int = 0,
        progress: Progress | None = None,
    ) -> str:
        self.jobs += 1
        job = f"{self.jobs:016x}"
        spec = JobSpec(
            job, QUEUE.name, "pool", "text", steps or (CORE,), organisation=organisation
        )
        row = JobRow(spec, progress or Progress())
        key = job_key(QUEUE.name, job)
        self.scheduler.add_job(key, row, self.jobs, QUEUE, now_ms)
        return job

    def plan(self, now_ms: int = 0) -> list[Run]:
        """Start what the scheduler orders, and return it."""
        orders = self.scheduler.plan(now_ms)
        started = [item for item in orders if isinstance(item.order, StartOrder)]
        for item in started:
            self.scheduler.handle_order_result(
                item.life, item.order, Executed(), now_ms
            )
        runs = [item.order.run for item in started]
        self.running += runs
        return runs

    def started(self, now_ms: int = 0) -> list[str]:
        """Return the organisations of the runs that a plan starts."""
        jobs = self.scheduler.jobs
        return [jobs[run.task.job].spec.organisation for run in self.plan(now_ms)]

    def end(self, count: int, now_ms: int, kind: EndKind = EndKind.DONE) -> None:
        """End the runs that started first."""
        ended, self.running = self.running[:count], self.running[count:]
        ends = []
        for run in ended:
            self.ends += 1
            ends.append(RunEnd(self.ends, run, kind))
        report = TargetReport(self.life, now_ms, (), tuple(ends))
        # Sent before any start, so that it need not list the active runs.
        self.scheduler.handle_report(report, 0, now_ms)
        for write in self.scheduler.start_writes():
            self.scheduler.finish_write(write, 1_000_000 + self.ends, now_ms)


def listed_target(life: TargetLife, cpu: int) -> ListedTarget:
    return ListedTarget(
        life=life,
        pool="pool",
        address="127.0.0.1:1",
        data_centre="dc",
        rack="r1",
        labels=frozenset({"a", "r1"}),
        capacity=Resources(cpu, 1_000_000),
        is_draining=False,
    )


@pytest.fixture
def make_pool() -> Callable[..., Pool]:
    """Return a factory of pools of some cores whose rows have been read."""

    def make(
        cores: int, weights: dict[str, float] | None = None, generation: int = 1
    ) -> Pool:
        chosen = WEIGHTS if weights is None else weights
        return Pool(cores * 1_000, chosen, generation).load()

    return make


@pytest.mark.parametrize(
    ("held", "capacity", "share"),
    [
        (Resources(2, 1, 0), Resources(8, 8, 0), 0.25),
        (Resources(1, 6, 0), Resources(8, 8, 0), 0.75),
        (Resources(1, 1, 1), Resources(8, 8, 2), 0.5),
        (Resources(1, 1, 1), Resources(0, 0, 0), 0.0),
    ],
)
def test_dominant_share_is_the_largest_of_the_resources_that_exist(
    held, capacity, share
):
    assert dominant_share(held, capacity) == share


def test_backlogged_organisations_hold_the_pool_by_weight(make_pool):
    """Guards against shares that ignore the weights or the ends of runs."""
    pool = make_pool(70)
    for organisation in WEIGHTS:
        pool.add(organisation, Step(2_000, Resources(1_000, 1), 100))
    for round_number in range(40):
        pool.plan(round_number)
        assert len(pool.running) == 70
        pool.end(5, round_number)
    pool.plan(40)
    held = pool.scheduler.usage.held
    assert {name: held[name].cpu for name in WEIGHTS} == {
        "one": 10_000,
        "two": 20_000,
        "four": 40_000,
    }


def test_shares_are_compared_at_each_pick(make_pool):
    """Guards against an order that is fixed when the pass begins."""
    pool = make_pool(6, {"one": 1.0, "two": 1.0})
    for _ in range(6):
        pool.add("one")
    for _ in range(6):
        pool.add("two")
    # Two of six cores are guaranteed to each, and two to jobs without an organisation.
    assert pool.started() == ["one", "one", "two", "two", "one", "two"]


def test_organisations_below_their_share_start_the_least_work_first(make_pool):
    """Guards against an order by share that makes short jobs late without need."""
    pool = make_pool(12, {"one": 1.0, "two": 1.0})
    pool.add("two", Step(2, Resources(1_000, 1), 500))
    pool.plan()
    pool.add("one", Step(2, Resources(1_000, 1), 900))
    pool.add("two", Step(2, Resources(1_000, 1), 100))
    assert pool.started() == ["two", "two", "one", "one"]


def test_an_organisation_below_its_share_precedes_shorter_work_of_one_above_it(
    make_pool,
):
    """Guards against shares that an organisation with short jobs takes from others."""
    pool = make_pool(12, {"one": 1.0, "two": 1.0})
    pool.add("two", Step(4, Resources(1_000, 1), 500))
    pool.plan()
    pool.add("one", Step(2, Resources(1_000, 1), 900))
    pool.add("two", Step(2, Resources(1_000, 1), 100))
    assert pool.started() == ["one", "one", "two", "two"]


def test_jobs_that_are_partly_done_go_on_before_others_start(make_pool):
    """Guards against jobs that are late because their later steps wait for a share."""
    pool = make_pool(12, {"one": 1.0, "two": 1.0})
    first = Step(4, Resources(1_000, 1), 500)
    pool.add("one", first, replace(first, after=(0,)))
    pool.add("one", replace(first, estimated_ms=2_000))
    pool.plan()
    pool.end(4, 10)
    pool.add("two", replace(first, estimated_ms=100), now_ms=10)
    assert pool.started(10) == ["one"] * 4 + ["two"] * 4


def test_partly_done_jobs_wait_once_their_organisation_has_twice_its_share(make_pool):
    """Guards against jobs in progress that keep an organisation from its share."""
    pool = make_pool(12, {"one": 1.0, "two": 1.0})
    first = Step(4, Resources(1_000, 1), 500)
    pool.add("one", first, replace(first, after=(0,)))
    pool.add("one", replace(first, count=8, estimated_ms=2_000))
    pool.plan()
    pool.end(4, 10)
    pool.add("two", replace(first, estimated_ms=100), now_ms=10)
    assert pool.started(10) == ["two"] * 4


def test_wide_steps_of_partly_done_jobs_share_the_pool_by_weight(make_pool):
    """Guards against wide jobs in progress that take more than their weight."""
    pool = make_pool(12, {"one": 1.0, "two": 1.0})
    pool.add("one", Step(40, Resources(1_000, 1), 100))
    pool.plan()
    pool.add("two", Step(20, Resources(1_000, 1), 100))
    pool.end(6, 10)
    assert pool.started(10) == ["two"] * 6


def test_an_organisation_alone_gets_the_whole_pool(make_pool):
    """Guards against capacity that is held free for absent organisations."""
    pool = make_pool(32)
    for _ in range(40):
        pool.add("one")
    assert len(pool.plan()) == 32


def test_small_work_of_any_organisation_fills_what_large_work_leaves(make_pool):
    """Guards against idle capacity behind a step that does not fit."""
    pool = make_pool(8)
    pool.add("two", Step(1, Resources(5_000, 1), 100))
    pool.plan()
    for organisation in ("one", "four"):
        pool.add(organisation, Step(1, Resources(9_000, 1), 100))
    for _ in range(4):
        pool.add("two")
    assert pool.started() == ["two", "two", "two"]


def test_lasting_steps_start_first_whatever_the_share(make_pool):
    pool = make_pool(2, {"one": 1.0, "two": 1.0})
    pool.add("one")
    pool.plan()
    pool.add("two")
    pool.add("one", Step(1, Resources(1_000, 1), is_lasting=True))
    assert pool.started() == ["one"]


def test_public_jobs_are_one_organisation_with_the_mean_weight(make_pool):
    pool = make_pool(80, {"low": 1.0, "high": 3.0})
    for organisation in ("low", "high", ""):
        pool.add(organisation, Step(500, Resources(1_000, 1), 100))
    rng = random.Random(1)
    held: Counter[str] = Counter()
    for round_number in range(60):
        pool.plan(round_number)
        if round_number >= 20:
            usage = pool.scheduler.usage.held
            held.update({name: used.cpu for name, used in usage.items()})
        rng.shuffle(pool.running)
        pool.end(5, round_number)
    total = sum(held.values())
    assert held["low"] == pytest.approx(total / 6, rel=0.1)
    assert held[""] == pytest.approx(total * 2 / 6, rel=0.1)


def test_jobs_beyond_the_rate_come_last_and_are_served_when_there_is_room(make_pool):
    pool = make_pool(12, {"one": 1.0, "two": 1.0})
    burst = round(MIN_BURST_JOBS)
    for _ in range(burst + 5):
        pool.add("one")
    for _ in range(2):
        pool.add("two")
    started = pool.started()
    assert Counter(started) == {"one": burst, "two": 2}
    late = [job for job in pool.scheduler.jobs.values() if job.is_beyond_rate]
    assert len(late) == 5
    pool.end(12, 10)
    assert pool.started(10) == ["one"] * 5


def test_rate_verdicts_survive_a_new_configuration(make_pool):
    """Guards against jobs that are judged again by a later weight."""
    pool = make_pool(1, {"one": 0.1, "two": 1.0})
    for _ in range(15):
        pool.add("one")
    pool.plan()
    before = [job.is_beyond_rate for job in pool.scheduler.jobs.values()]
    pool.configure({"one": 100.0, "two": 1.0}, version=2)
    pool.plan(1_000)
    assert [job.is_beyond_rate for job in pool.scheduler.jobs.values()] == before
    assert any(before)


def test_jobs_are_judged_once_the_configuration_is_known(make_pool):
    """Guards against jobs that escape the rate at an owner without configuration."""
    pool = make_pool(1, {})
    for _ in range(15):
        pool.add("one")
    pool.plan()
    assert not any(job.is_beyond_rate for job in pool.scheduler.jobs.values())
    pool.configure({"one": 1.0}, version=2)
    pool.plan(1)
    assert sum(job.is_beyond_rate for job in pool.scheduler.jobs.values()) == 5


@pytest.mark.parametrize("generation", [1, 2])
def test_a_successor_grants_a_credit_for_rows_that_it_reads_at_once(generation):
    """Guards against a takeover that puts all waiting work of a pool beyond the rates.

    Started jobs use the credit first, then the others in the order of acceptance.
    """
    pool = Pool(1_000, {"one": 3.0}, generation)
    for _ in range(39):
        pool.add("one")
    begun = pool.add("one", Step(2), progress=Progress(done={(0, 0): {0}}))
    pool.load().plan()
    jobs = pool.scheduler.jobs
    beyond = [job for job, view in jobs.items() if view.is_beyond_rate]
    expected = 10 if generation > 1 else 30
    assert beyond == sorted(jobs)[:-1][-expected:]
    assert not jobs[begun].is_beyond_rate
    # The credit ends: what is left of it does not admit a later flood.
    late = Pool(1_000, {"one": 3.0}, generation).load()
    late.plan()
    for _ in range(40):
        late.add("one", now_ms=20_000)
    late.plan(20_000)
    later = late.scheduler.jobs.values()
    assert sum(job.is_beyond_rate for job in later) == 30


def test_late_work_of_a_starved_organisation_gets_its_turn(make_pool):
    """Guards against late jobs that never start beside others' jobs on time."""
    pool = make_pool(1, {"one": 1.0, "two": 20.0})
    late = [pool.add("one") for _ in range(3)]
    now_ms = first_ms = 60_000
    starts_ms: list[int] = []
    for _ in range(350):
        now_ms += 100
        pool.add("two", now_ms=now_ms)
        started = [run.task.job for run in pool.plan(now_ms)]
        assert len(started) == 1
        if started[0] in late:
            starts_ms.append(now_ms)
        pool.end(1, now_ms)
    assert len(starts_ms) == 3
    waits_ms = [
        after - before
        for before, after in zip([first_ms, *starts_ms], starts_ms, strict=False)
    ]
    assert min(waits_ms) >= STARVED_AFTER_MS
    assert max(waits_ms) <= STARVED_AFTER_MS + 1_100


def test_starved_work_that_reservations_refuse_gets_its_turn(make_pool):
    """Guards against late jobs that each pass tries in vain, and that never start."""
    pool = make_pool(3, {"one": 1.0, "two": 20.0})
    first_ms = 600_000
    pool.add("two", Step(1, Resources(2_000, 1), 40_000), now_ms=first_ms)
    assert pool.started(first_ms) == ["two"]
    late = pool.add("one", replace(CORE, estimated_ms=60_000))
    pool.add("two", Step(1, Resources(3_000, 1), 60_000), now_ms=first_ms)
    last_ms = first_ms + STARVED_AFTER_MS + 2_000
    for now_ms in range(first_ms + 100, last_ms, 100):
        assert pool.plan(now_ms) == []
    pool.end(1, last_ms)
    assert [run.task.job for run in pool.plan(last_ms)] == [late]


def test_a_step_with_a_failed_task_is_tried_in_later_plans(make_pool):
    """Guards against steps that a pass removes and no plan adds again."""
    pool = make_pool(4)
    pool.add("one", Step(2, Resources(1_000, 1), 100))
    pool.plan()
    pool.end(1, 10, EndKind.FAILED)
    pool.scheduler.update_targets(
        [listed_target(pool.life, 4_000), listed_target(TargetLife("t-2", 1), 0)], 10
    )
    pool.scheduler.handle_report(TargetReport(TargetLife("t-2", 1), 0, (), ()), 10, 10)
    assert pool.plan(20) == []
    assert pool.plan(40) == []
    assert len(pool.plan(5_000)) == 1


@pytest.mark.parametrize("arrived_ms", [8_000, 0])
def test_targets_are_reserved_in_the_order_among_organisations(make_pool, arrived_ms):
    """Guards against reservations that all go to one organisation.

    The second one is among jobs on time, or among late ones.
    """
    pool = make_pool(8, {"one": 1.0, "two": 1.0})
    other = TargetLife("t-2", 1)
    lives = [listed_target(life, 8_000) for life in (pool.life, other)]
    pool.scheduler.update_targets(lives, 0)
    pool.scheduler.handle_report(TargetReport(other, 0, (), ()), 0, 0)
    for organisation in ("one", "two"):
        pool.add(organisation, Step(1, Resources(5_000, 1), 100), now_ms=8_000)
    assert len(pool.plan(8_000)) == 2
    large = Step(1, Resources(6_000, 1), 100)
    first = pool.add("one", large, now_ms=8_000)
    jobs = [pool.add(name, large, now_ms=arrived_ms) for name in ("one", "two")]
    assert pool.plan(8_001) == []
    reservations = pool.scheduler.planner.reservations.by_target.values()
    reserved = {reservation.step.job for reservation in reservations}
    assert reserved == {first, jobs[1]}


def test_large_steps_leave_turns_to_other_organisations(make_pool):
    """Guards against one pick that fills a pool with the tasks of one step."""
    pool = make_pool(100, {"one": 1.0, "two": 1.0})
    for organisation in ("one", "two"):
        pool.add(organisation, Step(1_000, Resources(1_000, 1), 100))
    assert Counter(pool.started()) == {"one": 64, "two": 36}


def test_order_is_static_while_no_job_has_a_configured_organisation(make_pool):
    pool = make_pool(4)
    pool.add("")
    pool.plan()
    assert pool.scheduler.waiting_steps.fair is None
    pool.add("one")
    pool.plan(1)
    assert pool.scheduler.waiting_steps.fair is not None
    pool.plan(2)
    pool.plan(2 + KEPT_AFTER_MS)
    assert pool.scheduler.waiting_steps.fair is None
    # The plan in which a task waits again is in the order of shares already.
    pool.end(2, 20_000, EndKind.FAILED)
    pool.plan(20_000)
    assert pool.scheduler.waiting_steps.fair is not None
    unconfigured = make_pool(4, {})
    unconfigured.add("one")
    unconfigured.plan()
    assert unconfigured.scheduler.waiting_steps.fair is None


def test_waiting_steps_keep_their_place_when_the_order_changes(make_pool):
    """Guards against steps that are lost between the two orders."""
    pool = make_pool(0)
    jobs = [pool.add("") for _ in range(3)]
    pool.plan()
    jobs.append(pool.add("one"))
    pool.plan(1)
    pool.configure({}, version=2)
    pool.plan(2)
    assert pool.scheduler.waiting_steps.fair is None
    lives = [listed_target(pool.life, 4_000)]
    pool.scheduler.update_targets(lives, 3)
    assert [run.task.job for run in pool.plan(3)] == jobs


def test_metrics_show_shares_and_waiting_work_until_the_owner_stops(make_pool):
    pool = make_pool(4)
    pool.add("one", Step(6, Resources(1_000, 1), 100))
    pool.plan()
    scheduler = pool.scheduler
    scheduler.is_fully_loaded = True
    registry = scheduler.metrics.registry
    reporter = PoolReporter(
        scheduler, lambda message: None, scheduler.metrics, WorkTimes()
    )
    labels = {"pool": "pool", "organisation": "one"}
    reporter.report_due(0, 1_000)
    assert registry.get_sample_value("cornelturn_organisation_share", labels) == 1
    waiting = "cornelturn_organisation_waiting_cores"
    assert registry.get_sample_value(waiting, labels) == 2
    reporter.stop()
    assert registry.get_sample_value(waiting, labels) is None


def test_waiting_work_is_counted_as_jobs_change_not_at_each_report(make_pool):
    """Guards against a report that looks at all waiting jobs."""

    def waiting_cpu() -> dict[str, int]:
        pool.scheduler.update_demand()
        figures = pool.scheduler.fairness.figures()
        return {item.organisation: item.waiting_cpu for item in figures}

    pool = make_pool(2, {})
    for organisation in ("one", "one", "one", "two", ""):
        pool.add(organisation, Step(1, Resources(1_000, 1), 100))
    pool.plan()
    assert waiting_cpu() == {}
    pool.configure({"one": 1.0, "two": 1.0}, version=2)
    assert sum(waiting_cpu().values()) == 3_000
    pool.scheduler.jobs = _NotIterable(pool.scheduler.jobs)
    assert set(waiting_cpu()) == {"one", "two", ""}
    pool.end(2, 10)
    pool.plan(10)
    assert sum(waiting_cpu().values()) == 1_000
    pool.end(2, 20)
    pool.plan(20)
    assert set(waiting_cpu().values()) == {0}


class _NotIterable(dict):
    """Jobs that may be looked up, but not iterated over."""

    def __iter__(self):
        raise AssertionError("looks at all jobs")

    keys = values = items = __iter__
