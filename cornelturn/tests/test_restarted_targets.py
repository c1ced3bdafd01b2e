"""Targets that restart under their name while orders are on their way.

A target keeps its name and address over a restart, so an order that was sent to its
ended life may be executed by the later one.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

import pytest
from result import Ok

from cornelturn.clock import ManualTime
from cornelturn.jobs.model import EndKind, Resources, Run, RunEnd, Step
from cornelturn.peering.messages import OpenRuns
from cornelturn.scheduling.pool import PoolScheduler
from cornelturn.scheduling.takeover import Takeover
from cornelturn.targets.model import (
    ActiveRun,
    Executed,
    Lease,
    Order,
    OrderResult,
    ReportResult,
    StartOrder,
    StopOrder,
    TargetLife,
    TargetReport,
)
from cornelturn.targets.session import (
    LEASE_MS,
    LifeEnded,
    SessionEvent,
    TargetSession,
)
from cornelturn.tests.pool_jobs import (
    LIFE,
    OTHER_LIFE,
    add,
    job_row,
    planned_starts,
    report,
    target,
    write_all,
)

LATER_LIFE = TargetLife(LIFE.name, LIFE.born_ms + 600)


@pytest.fixture
def scheduler() -> PoolScheduler:
    """Return a scheduler with two reachable targets; the first one gets all starts."""
    scheduler = PoolScheduler("pool", 1)
    scheduler.update_targets([target(LIFE, 4_000), target(OTHER_LIFE)], 0)
    for life in (LIFE, OTHER_LIFE):
        scheduler.handle_report(report(life), 0, 0)
    scheduler.mark_loaded(0)
    return scheduler


@pytest.fixture
def run(scheduler: PoolScheduler) -> Run:
    """Return a run whose start has been ordered."""
    add(scheduler, job_row(Step(1, Resources(1_000, 1))), version=1)
    (run,) = planned_starts(scheduler)
    assert run in scheduler.targets[LIFE].runs
    return run


def answer_start(scheduler: PoolScheduler, run: Run, now_ms: int = 1) -> None:
    scheduler.handle_order_result(LIFE, StartOrder(run, "text"), Executed(), now_ms)


def list_later_life(scheduler: PoolScheduler, now_ms: int = 3) -> None:
    listed = [target(LATER_LIFE, 4_000), target(OTHER_LIFE)]
    scheduler.update_targets(listed, now_ms)


def orders(scheduler: PoolScheduler, now_ms: int) -> list[tuple[TargetLife, Order]]:
    return [(planned.life, planned.order) for planned in scheduler.plan(now_ms)]


def test_run_accepted_by_the_later_life_is_not_started_elsewhere(scheduler, run):
    answer_start(scheduler, run)
    list_later_life(scheduler)
    assert planned_starts(scheduler, 3) == []
    active = ActiveRun(run, "", 10)
    scheduler.handle_report(report(LATER_LIFE, active=(active,)), 4, 5)
    assert orders(scheduler, 5) == []
    assert list(scheduler.targets[LATER_LIFE].runs) == [run]
    end = RunEnd(1, run, EndKind.DONE)
    scheduler.handle_report(report(LATER_LIFE, ended=(end,)), 6, 7)
    write_all(scheduler, version=2)
    assert not scheduler.jobs


def test_run_that_the_later_life_does_not_have_starts_again(scheduler, run):
    answer_start(scheduler, run)
    list_later_life(scheduler)
    scheduler.handle_report(report(LATER_LIFE), 4, 5)
    (again,) = planned_starts(scheduler, 5)
    assert again.number > run.number


def test_run_that_the_ended_life_has_listed_starts_again_at_once(scheduler, run):
    answer_start(scheduler, run)
    scheduler.handle_report(report(LIFE, active=(ActiveRun(run, "", 10),)), 2, 2)
    list_later_life(scheduler)
    (again,) = planned_starts(scheduler, 3)
    assert again.number > run.number


def test_unanswered_start_is_barred_at_the_later_life_first(scheduler, run):
    list_later_life(scheduler)
    stop = StopOrder(run)
    assert orders(scheduler, 3) == [(LATER_LIFE, stop)]
    scheduler.handle_report(report(LATER_LIFE), 4, 5)
    assert orders(scheduler, 5) == []
    scheduler.handle_order_result(LATER_LIFE, stop, Executed(), 6)
    scheduler.handle_report(report(LATER_LIFE), 7, 8)
    (again,) = planned_starts(scheduler, 8)
    assert again.number > run.number


def test_ended_life_that_is_still_listed_is_not_used_again(scheduler, run):
    answer_start(scheduler, run)
    scheduler.end_life(LIFE, "other_life", 2, LATER_LIFE)
    scheduler.update_targets([target(LIFE, 4_000), target(OTHER_LIFE)], 3)
    assert LIFE not in scheduler.targets
    assert run in scheduler.targets[LATER_LIFE].runs


def test_silent_later_life_keeps_its_runs_until_the_longest_lease_has_lapsed(
    scheduler, run
):
    answer_start(scheduler, run)
    list_later_life(scheduler, now_ms=1_000)
    scheduler.contact_lost(LATER_LIFE, lapsed_ms=1_000)
    scheduler.release_lapsed(1_000 + scheduler.max_lease_ms)
    assert planned_starts(scheduler, 1_000 + scheduler.max_lease_ms) == []
    scheduler.release_lapsed(20_000)
    assert len(planned_starts(scheduler, 20_000)) == 1


def test_later_life_of_an_idle_target_may_hold_the_longest_lease(scheduler):
    list_later_life(scheduler, now_ms=1_000)
    scheduler.contact_lost(LATER_LIFE, lapsed_ms=2_000)
    view = scheduler.targets[LATER_LIFE]
    assert not view.has_lapsed(1_000 + scheduler.max_lease_ms)


def test_takeover_waits_for_the_later_life_of_a_target():
    takeover = Takeover(10, 5_000, True, {LIFE})
    takeover.replace_lives({LIFE: LATER_LIFE})
    assert takeover.next_scan({LATER_LIFE}, 1) is None
    assert takeover.unreported == {LATER_LIFE}


def test_takeover_waits_for_the_later_life_of_a_target_that_has_reported():
    takeover = Takeover(10, 5_000, True, set())
    takeover.replace_lives({LIFE: LATER_LIFE})
    assert takeover.unreported == {LATER_LIFE}
    takeover.unreported.discard(LATER_LIFE)
    takeover.replace_lives({LIFE: LATER_LIFE})
    assert not takeover.unreported


def test_open_runs_of_the_ended_life_may_be_at_the_later_one():
    takeover = Takeover(10, 5_000, True, {LIFE})
    takeover.predecessor_answered((OpenRuns(LIFE, ("job",)),), now_ms=1)
    takeover.replace_lives({LIFE: LATER_LIFE})
    assert takeover.hidden_jobs() == {"job"}


@dataclass
class RestartedConnection:
    """Connection to a target that answers as its later life."""

    reports: list[TargetReport] = field(default_factory=list)

    async def send_order(self, order: Order, lease: Lease) -> OrderResult:
        return Executed()

    async def fetch_report(
        self, lease: Lease, acknowledged: int, wait_ms: int
    ) -> ReportResult:
        await asyncio.sleep(0.01)
        return Ok(report(LATER_LIFE))

    async def close(self) -> None:
        return


def test_session_names_the_life_that_answers(
    runner: asyncio.Runner, manual_time: ManualTime
):
    events: list[SessionEvent] = []

    async def request_one_report() -> None:
        session = TargetSession(
            life=LIFE,
            connection=RestartedConnection(),
            clock=manual_time.clock(),
            token=1,
            lease_ms=LEASE_MS,
            post=events.append,
            may_renew=lambda: True,
        )
        task = asyncio.create_task(session.run())
        await asyncio.sleep(0.015)
        task.cancel()

    runner.run(request_one_report())
    assert events == [LifeEnded(LIFE, LATER_LIFE)]
