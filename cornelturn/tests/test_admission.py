"""Which jobs an entry refuses by the reports of owners, and what it says to callers."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field, replace

import msgspec
import pytest
from result import Err, Ok

from cornelturn.admission.backlog import (
    MAX_WORK,
    BacklogRow,
    PoolBacklog,
    RateTokens,
)
from cornelturn.admission.controller import Admission, Admitted, Rejected
from cornelturn.admission.pool_knowledge import MAX_REPORT_AGE_MS
from cornelturn.clock import ManualTime
from cornelturn.jobs.model import (
    EndKind,
    JobSpec,
    Recurrence,
    Resources,
    RunEnd,
    Step,
)
from cornelturn.jobs.progress import Progress
from cornelturn.jobs.rows import JobRow, encode_job, job_key
from cornelturn.jobs.service import Accepted, JobService, Overloaded
from cornelturn.model.decoding import MAX_AMOUNT, MAX_COUNT
from cornelturn.model.organisations import Organisation
from cornelturn.model.routes import JobQueue, RoutingTable, VersionedQueue
from cornelturn.peering.messages import PoolCounts, QueueCount
from cornelturn.platform import ingress
from cornelturn.scheduling.backlog_reporting import BacklogReporter
from cornelturn.scheduling.pool import PoolScheduler
from cornelturn.store.rows import Committed, Put, Row, TableUnavailable
from cornelturn.targets.model import TargetReport
from cornelturn.tests.overload import CAPACITY, make_target

QUEUE = JobQueue("q", "host", "/", "pool", priority=1, slack_factor=1.6, slack_ms=600)
STEP = Step(8, Resources(4_000, 100), 1_000)
SPEC = JobSpec("0" * 16, "q", "pool", "text", (STEP,), organisation="a")
ORGANISATIONS = (Organisation("a"), Organisation("b"))
RATE = 100_000
FULL = PoolBacklog((BacklogRow(0, 2, 1, "b", 3, 1, RATE * 60_000),), RATE)


@pytest.fixture
def admission() -> Admission:
    """Return the admission of an entry with a report of much more urgent work."""
    admission = Admission()
    admission.update_organisations(ORGANISATIONS)
    admission.update(PoolCounts("pool", 2, (), FULL), 0)
    return admission


def is_refused(admission: Admission, spec: JobSpec = SPEC, now_ms: int = 0) -> bool:
    return isinstance(admission.decide(spec, QUEUE, now_ms), Rejected)


def test_report_decides_until_it_is_too_old_and_none_of_a_former_owner(admission):
    # Guards against refusals by what a lost owner or its predecessor knew.
    admission.update(PoolCounts("pool", 1, (), PoolBacklog(rate=RATE)), 10)
    assert is_refused(admission, now_ms=MAX_REPORT_AGE_MS)
    assert not is_refused(admission, now_ms=MAX_REPORT_AGE_MS + 1)
    admission.update(PoolCounts("pool", 3, (), PoolBacklog(rate=RATE)), 20)
    assert not is_refused(admission, now_ms=20)


def test_owner_of_an_earlier_version_has_all_jobs_accepted(admission):
    # Guards against refusals by the last report of an owner of this version.
    admission.update(PoolCounts("pool", 3, ()), 20)
    assert not is_refused(admission, now_ms=20)


def test_counts_are_read_by_and_from_the_former_version():
    # Guards against dropped frames between entries during a rolling update.
    @dataclass(frozen=True)
    class FormerCounts:
        pool: str
        generation: int
        counts: tuple[QueueCount, ...]

    new = PoolCounts("pool", 1, (QueueCount("q", 2),), FULL)
    former = msgspec.msgpack.decode(msgspec.msgpack.encode(new), type=FormerCounts)
    assert former == FormerCounts("pool", 1, new.counts)
    decoded = msgspec.msgpack.decode(msgspec.msgpack.encode(former), type=PoolCounts)
    assert decoded == PoolCounts("pool", 1, new.counts)
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(new), type=PoolCounts) == new


@pytest.mark.parametrize(
    "spec",
    [
        replace(SPEC, steps=(replace(STEP, is_lasting=True),)),
        replace(SPEC, recurrence=Recurrence(2, 0, 1_000)),
    ],
    ids=["lasting", "recurrent"],
)
def test_job_without_one_end_is_never_refused(admission, spec):
    # Guards against an estimate of jobs that no caller waits for to the end.
    assert not is_refused(admission, spec)


def test_job_without_an_objective_is_never_refused(admission):
    # Guards against an objective of 0, which any wait would exceed.
    spec = replace(SPEC, steps=(replace(STEP, estimated_ms=0),))
    assert admission.decide(spec, replace(QUEUE, slack_ms=0), 0) == Admitted()


def test_organisation_over_its_rate_is_refused_for_that(admission):
    # Guards against a 429 for a caller that is within its rate, or a 503 beyond it.
    tokens = (RateTokens("a", 100),)
    admission.update(PoolCounts("pool", 2, (), replace(FULL, tokens=tokens)), 0)
    assert admission.decide(SPEC, QUEUE, 0).is_over_rate
    other = replace(SPEC, organisation="b")
    assert not admission.decide(other, QUEUE, 0).is_over_rate


def test_pool_without_targets_refuses_nothing(admission):
    # Guards against refusals while an owner does not reach its targets for a moment.
    admission.update(PoolCounts("pool", 2, (), replace(FULL, rate=0)), 0)
    assert not is_refused(admission)


def test_targets_that_a_new_owner_has_yet_to_reach_count_as_capacity():
    scheduler = PoolScheduler("pool", 2)
    scheduler.update_targets([make_target(0)], 0)
    scheduler.update_routing(RoutingTable(1, (QUEUE,), organisations=ORGANISATIONS), 0)
    assert BacklogReporter(scheduler).report(0).capacity == CAPACITY.cpu


def test_idle_pool_refuses_nothing_for_steps_that_depend_on_others(admission):
    # Guards against refusals in calm: urgent steps that depend on running ones are
    # not in the way of a job that finds free targets at once.
    scheduler = PoolScheduler("pool", 2)
    scheduler.update_targets([make_target(0)], 0)
    life = next(iter(scheduler.targets))
    scheduler.handle_report(TargetReport(life, 0, (), ()), 0, 0)
    scheduler.update_routing(RoutingTable(1, (QUEUE,), organisations=ORGANISATIONS), 0)
    scheduler.mark_loaded(0)
    first = Step(1, Resources(1_000, 100), 60_000)
    spec = replace(SPEC, steps=(first, Step(99, first.need, 60_000, after=(0,))))
    row = JobRow(spec, Progress())
    urgent = replace(QUEUE, priority=0)
    scheduler.add_job(job_key("q", spec.id), row, 1, urgent, 0)
    assert len(scheduler.plan(0)) == 1
    report = BacklogReporter(scheduler).report(0)
    admission.update(PoolCounts("pool", 2, (), report), 0)
    assert report.idle == CAPACITY.cpu - first.need.cpu
    assert not is_refused(admission, replace(SPEC, id="1" * 16))


def test_work_that_starts_later_refuses_nothing(admission):
    # Guards against a count of all waiting work: late work, other priorities, larger
    # tasks and other organisations' excess do not delay a job that can be on time.
    work = RATE * 60_000
    rows = (
        BacklogRow(1, 2, 1, "b", 3, 9, work),
        BacklogRow(1, 2, 1, "b", 3, 1, work),
        BacklogRow(1, 2, 2, "a", 3, 1, work),
        BacklogRow(1, 3, 1, "a", 3, 1, work),
        BacklogRow(2, 2, 1, "a", 3, 1, work),
    )
    admission.update(PoolCounts("pool", 2, (), PoolBacklog(rows, RATE)), 0)
    assert not is_refused(admission)


def test_entries_count_what_they_accepted_since_the_report():
    # Guards against a burst that is accepted whole between two reports. Each of two
    # entries knows only its own accepts, so that together they accept twice as much.
    accepted = []
    for entry in range(2):
        admission = Admission()
        admission.update_organisations(ORGANISATIONS)
        rows = (BacklogRow(1, 2, 1, "b", 9, 1, 1),)
        admission.update(PoolCounts("pool", 1, (), PoolBacklog(rows, RATE)), 0)
        specs = [replace(SPEC, id=f"{entry}{number:015}") for number in range(99)]
        for count, spec in enumerate(specs):
            if is_refused(admission, spec, count):
                accepted.append(count)
                break
            admission.note_sent(spec, QUEUE, count)
        assert not is_refused(admission, specs[0], 99)
        admission.update(PoolCounts("pool", 1, (), PoolBacklog(rate=RATE)), 400)
        assert not is_refused(admission, now_ms=400)
    assert accepted[0] == accepted[1] < 99


def test_own_accepts_refuse_nothing_while_they_leave_targets_idle():
    # Guards against refusals in calm between two reports: steps of an urgent job that
    # depend on its first one are not in the way of a job that finds idle targets.
    admission = Admission()
    admission.update_organisations(ORGANISATIONS)
    idle = 64_000
    report = PoolBacklog(rate=idle, capacity=idle, idle=idle)
    admission.update(PoolCounts("pool", 1, (), report), 0)
    first = Step(1, Resources(1_000, 100), 60_000)
    later = Step(99, first.need, 60_000, after=(0,))
    urgent = replace(SPEC, id="1" * 16, steps=(first, later))
    admission.note_sent(urgent, replace(QUEUE, priority=0), 1)
    assert not is_refused(admission, now_ms=2)
    wide = replace(urgent, id="2" * 16, steps=(replace(first, count=32), later))
    admission.note_sent(wide, replace(QUEUE, priority=0), 2)
    assert is_refused(admission, now_ms=3)


def test_time_since_the_first_refusal_counts_against_the_objective(admission):
    # Guards against a returning caller that counts as new at the owner.
    admission.note_refused(SPEC, 0)
    admission.update(PoolCounts("pool", 2, (), PoolBacklog(rate=RATE)), 1_500)
    assert admission.decide(SPEC, QUEUE, 1_600) == Admitted(waited_ms=1_600)


def test_owner_reports_a_backlog_only_with_organisations():
    # Guards against reports, and their cost, where nothing is ever refused.
    scheduler = PoolScheduler("pool", 1)
    reporter = BacklogReporter(scheduler)
    assert reporter.report(0) is None
    scheduler.update_routing(RoutingTable(1, (QUEUE,), organisations=ORGANISATIONS), 0)
    assert reporter.report(0) == PoolBacklog()


def test_filling_work_counts_neither_as_backlog_nor_as_rate_of_a_pool():
    """Guards against refusals because of work that takes no room from other work.

    Filling tasks use the cores that others leave idle, for a long time at a low pace.
    """
    scheduler = PoolScheduler("pool", 1)
    scheduler.update_routing(RoutingTable(1, (QUEUE,), organisations=ORGANISATIONS), 0)
    step = Step(2, Resources(4_000, 100), 1_000, is_filling=True)
    spec = replace(SPEC, steps=(step,))
    scheduler.add_job(job_key("q", spec.id), JobRow(spec, Progress()), 1, QUEUE, 0)
    assert BacklogReporter(scheduler).report(0).rows == ()
    target = make_target(0)
    life = target.life
    scheduler.update_targets([target], 0)
    scheduler.handle_report(TargetReport(life, 0, (), ()), 0, 0)
    scheduler.mark_loaded(0)
    starts = scheduler.plan(0)
    ends = tuple(
        RunEnd(number, start.order.run, EndKind.DONE)
        for number, start in enumerate(starts, 1)
    )
    assert len(ends) == 2
    scheduler.handle_report(TargetReport(life, 0, (), ends), 9_000, 9_000)
    assert not scheduler.ended_work.unreported
    assert scheduler.ended_work.factor("q") == 1.0


@dataclass
class FakeStore:
    """Store with some rows, which may not answer reads."""

    rows: dict[str, Row] = field(default_factory=dict)
    is_silent: bool = False
    commits: list[Put] = field(default_factory=list)
    has_read: asyncio.Event = field(default_factory=asyncio.Event)
    may_answer: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        self.may_answer.set()

    async def read(self, key: str):
        if self.is_silent:
            return Err(TableUnavailable("silent", is_in_doubt=False))
        row = self.rows.get(key)
        self.has_read.set()
        await self.may_answer.wait()
        return Ok(row)

    async def commit(self, operations):
        self.commits.append(operations)
        return Ok(Committed(1))

    def response_timeout_ms(self, kind) -> int:
        return 100

    def is_unreachable(self) -> bool:
        return False

    def is_serving(self) -> bool:
        return True


@pytest.fixture
def store() -> FakeStore:
    return FakeStore()


@pytest.fixture
def service(store: FakeStore, manual_time: ManualTime) -> JobService:
    """Return a service that knows of much more urgent work."""
    service = JobService(
        store,
        manual_time.clock(),
        lambda changed: None,
        organisations=lambda: ORGANISATIONS,
    )
    service.update_counts(PoolCounts("pool", 1, (), FULL))
    return service


def submit(service: JobService, spec: JobSpec = SPEC):
    return asyncio.run(service.submit(spec, VersionedQueue(QUEUE, 1)))


def test_refused_job_is_not_stored_and_counted_with_one_line(service, store, events):
    assert isinstance(submit(service), Overloaded)
    assert store.commits == []
    assert events.text.count(SPEC.id) == 1
    labels = {"queue": "q", "organisation": "a", "reason": "overload"}
    registry = service.metrics.registry
    assert registry.get_sample_value("cornelturn_refused_jobs_total", labels) == 1


def test_job_that_is_stored_already_is_answered_as_accepted(service, store):
    # Guards against a refusal of a job that runs, after its first answer was lost.
    key = job_key("q", SPEC.id)
    store.rows[key] = Row(key, 1, "", encode_job(JobRow(SPEC, Progress())))
    assert submit(service) == Accepted()


def test_only_a_refused_caller_takes_a_time_to_return(service, store):
    # Guards against refused callers that return later than needed: repeated calls
    # about stored jobs reserved times at which nobody came back.
    returns = service.admission.pools["pool"].returns
    key = job_key("q", SPEC.id)
    store.rows[key] = Row(key, 1, "", encode_job(JobRow(SPEC, Progress())))
    assert submit(service) == Accepted()
    assert returns.next_ms == 0
    store.rows.clear()
    assert isinstance(submit(service), Overloaded)
    assert returns.next_ms > 0


def test_job_is_accepted_while_it_is_unknown_whether_it_is_stored(service, store):
    # Guards against a refusal of a job that may run already.
    store.is_silent = True
    assert submit(service) == Accepted()
    assert len(store.commits) == 1


def test_job_that_is_sent_during_its_look_up_is_not_refused(service, store):
    # Guards against a refusal of a job that runs: of two requests for it, a report in
    # between has the second one accepted, while the first one looks for its row.
    async def send_both():
        first = asyncio.create_task(service.submit(SPEC, VersionedQueue(QUEUE, 1)))
        await store.has_read.wait()
        service.update_counts(PoolCounts("pool", 1, (), PoolBacklog(rate=RATE)))
        second = await service.submit(SPEC, VersionedQueue(QUEUE, 1))
        store.may_answer.set()
        return await first, second

    store.may_answer.clear()
    assert asyncio.run(send_both()) == (Accepted(), Accepted())


def test_without_organisations_all_jobs_are_accepted(service, store):
    # Guards against changes for deployments that have no organisations.
    service.organisations = lambda: ()
    assert submit(service) == Accepted()
    assert not service.admission.pools and not service.admission.sent_ids


def test_report_of_jobs_that_declare_the_largest_numbers_can_be_encoded():
    # Guards against an owner that ends by the numbers that a caller declares.
    scheduler = PoolScheduler("pool", 1)
    scheduler.update_routing(RoutingTable(1, (QUEUE,), organisations=ORGANISATIONS), 0)
    step = Step(10_000, Resources(MAX_AMOUNT), MAX_COUNT)
    for number in range(3):
        spec = replace(SPEC, id=f"{number:016x}", steps=(step,) * 100)
        key = job_key("q", spec.id)
        scheduler.add_job(key, JobRow(spec, Progress()), number + 1, QUEUE, 0)
    report = BacklogReporter(scheduler).report(0)
    counts = PoolCounts("pool", 1, (), report)
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(counts), type=PoolCounts)
    assert report.rows[0].work == MAX_WORK


@pytest.mark.parametrize(("is_over_rate", "status"), [(False, 503), (True, 429)])
def test_refused_caller_is_told_when_to_return(is_over_rate, status):
    # Guards against a header that is rounded down, with which callers come too early.
    response = ingress._submit_response(Overloaded(1_200, is_over_rate))
    assert response.status == status
    assert response.get_first_header(b"Retry-After") == b"2"
