"""Changes between the static order and that of shares, and its figures.

Guards against steps lost in a change, and against reports of stale or costly figures.
"""

from __future__ import annotations

from cornelturn.events.work_times import WorkTimes
from cornelturn.fairness.sharing import KEPT_AFTER_MS
from cornelturn.jobs.model import EndKind, Resources, Step
from cornelturn.scheduling.reporting import PoolReporter
from cornelturn.tests.fair_pool import listed_target


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
