"""Rates of organisations in one pool, without sockets.

Guards against jobs beyond the rate that precede others, and against a rate that is
judged anew, never or for work from before a takeover.
"""

from __future__ import annotations

from collections import Counter

import pytest

from cornelturn.fairness.rates import MIN_BURST_JOBS
from cornelturn.jobs.model import Step
from cornelturn.jobs.progress import Progress
from cornelturn.tests.fair_pool import Pool


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
