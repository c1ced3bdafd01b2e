"""Properties of admission for any backlog and any job."""

from __future__ import annotations

from dataclasses import replace
from itertools import pairwise

from hypothesis import given, settings
from hypothesis import strategies as st

from cornelturn.admission.backlog import (
    BacklogRow,
    NeedRate,
    PoolBacklog,
    QueueFactor,
    RateTokens,
)
from cornelturn.admission.controller import Admission, Admitted, Rejected
from cornelturn.admission.returns import MAX_RETRY_MS, MIN_RETRY_MS, ReturnTimes
from cornelturn.jobs.model import JobSpec, Resources, Step
from cornelturn.model.organisations import Organisation
from cornelturn.model.routes import JobQueue
from cornelturn.peering.messages import PoolCounts

DETERMINISTIC = settings(
    max_examples=400, deadline=None, derandomize=True, database=None
)
NAMES = ("a", "b", "")
ORGANISATIONS = (Organisation("a", 1.0), Organisation("b", 3.0))

rows = st.builds(
    BacklogRow,
    st.integers(0, 2),
    st.integers(1, 3),
    st.integers(1, 3),
    st.sampled_from(NAMES),
    st.integers(0, 31),
    st.integers(0, 12),
    st.integers(1, 10**10),
)
backlogs = st.builds(
    PoolBacklog,
    rows=st.lists(rows, max_size=12).map(tuple),
    rate=st.integers(0, 2_000_000),
    need_rates=st.lists(
        st.builds(NeedRate, st.integers(0, 12), st.integers(0, 2_000_000)), max_size=3
    ).map(lambda items: tuple(sorted(items))),
    room=st.integers(0, 500_000),
    capacity=st.integers(0, 2_000_000),
    idle=st.integers(0, 2_000_000),
    factors=st.just(())
    | st.builds(QueueFactor, st.just("q"), st.integers(250, 4_000)).map(
        lambda item: (item,)
    ),
    tokens=st.just(())
    | st.builds(RateTokens, st.just("a"), st.integers(0, 4_000)).map(
        lambda item: (item,)
    ),
)
steps = st.builds(
    Step,
    st.integers(1, 64),
    st.builds(Resources, st.integers(0, 64_000)),
    st.integers(0, 100_000),
)
specs = st.builds(
    JobSpec,
    st.text("0123456789abcdef", min_size=16, max_size=16),
    st.just("q"),
    st.just("pool"),
    st.just(""),
    st.lists(steps, min_size=1, max_size=3).map(tuple),
    organisation=st.sampled_from(NAMES),
)
queues = st.builds(
    JobQueue,
    st.just("q"),
    st.just("host"),
    st.just("/"),
    st.just("pool"),
    priority=st.integers(0, 2),
    slack_factor=st.floats(0, 4),
    slack_ms=st.integers(0, 5_000),
)


def decide(backlog, spec, queue, now_ms, first_refused_ms=None):
    admission = Admission()
    admission.update_organisations(ORGANISATIONS)
    admission.update(PoolCounts("pool", 1, (), backlog), 0)
    if first_refused_ms is not None:
        admission.note_refused(spec, first_refused_ms)
    return admission.decide(spec, queue, now_ms)


@DETERMINISTIC
@given(backlogs, specs, queues, st.integers(0, 3_000), st.integers(-9_000, 0))
def test_no_job_is_refused_while_nothing_waits(backlog, spec, queue, now_ms, first_ms):
    empty = replace(backlog, rows=())
    assert isinstance(decide(empty, spec, queue, now_ms, first_ms), Admitted)


@DETERMINISTIC
@given(backlogs, specs, queues, st.integers(0, 2_000), st.data())
def test_shorter_backlog_refuses_no_more(backlog, spec, queue, now_ms, data):
    shorter = tuple(
        row._replace(work=data.draw(st.integers(0, row.work))) for row in backlog.rows
    )
    dropped = data.draw(st.integers(0, len(shorter)))
    shorter = shorter[:dropped] + shorter[dropped + 1 :]
    if isinstance(decide(backlog, spec, queue, now_ms), Admitted):
        outcome = decide(replace(backlog, rows=shorter), spec, queue, now_ms)
        assert isinstance(outcome, Admitted)


@DETERMINISTIC
@given(backlogs, st.lists(specs, min_size=1, max_size=30), queues)
def test_delay_of_each_refused_caller_is_in_bounds(backlog, callers, queue):
    admission = Admission()
    admission.update_organisations(ORGANISATIONS)
    admission.update(PoolCounts("pool", 1, (), backlog), 0)
    for spec in callers:
        match admission.decide(spec, queue, 0):
            case Rejected() as rejected:
                delay_ms = admission.schedule_return_ms(spec, rejected, 0)
                assert MIN_RETRY_MS <= delay_ms <= MAX_RETRY_MS


@DETERMINISTIC
@given(st.floats(0, 1e12), st.lists(st.floats(0, 1e9), min_size=1, max_size=50))
def test_later_refused_callers_return_later_up_to_the_spread(wait_ms, own_times):
    returns = ReturnTimes()
    delays = [
        returns.schedule_return_ms(f"{number:016x}", wait_ms, own_ms, 0)
        for number, own_ms in enumerate(own_times)
    ]
    assert all(MIN_RETRY_MS <= delay <= MAX_RETRY_MS for delay in delays)
    assert all(later >= earlier / 1.25 - 1 for earlier, later in pairwise(delays))
