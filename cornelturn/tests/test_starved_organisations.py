"""Turns of organisations whose late work never starts, without sockets.

Guards against late work that waits for ever beside the work of others.
"""

from __future__ import annotations

from dataclasses import replace

from cornelturn.fairness.starvation import STARVED_AFTER_MS
from cornelturn.jobs.model import Resources, Step
from cornelturn.tests.fair_pool import CORE


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
