"""Stops of other runs for urgent work: which are stopped, and what fails how."""

from __future__ import annotations

import math
from dataclasses import replace
from pathlib import Path

import pytest

from cornelturn.benchmarks.urgent_load import Alternative, Case, UrgentLoad
from cornelturn.jobs.model import EndKind, JobSpec, Resources, Run, RunEnd, Step, StepId
from cornelturn.jobs.progress import Progress
from cornelturn.jobs.rows import JobRow, job_key
from cornelturn.platform.settings import load_node_file
from cornelturn.preemption.decision import (
    NO_PREEMPTION,
    PreemptionSettings,
    UrgentStep,
    decide,
)
from cornelturn.preemption.room import PlacedRoom, TargetRoom
from cornelturn.preemption.stop_record import STOP_TIMEOUT_MS
from cornelturn.scheduling.planner import RETRY_DELAY_MS
from cornelturn.scheduling.pool import PoolScheduler
from cornelturn.scheduling.target_view import RunState
from cornelturn.targets.model import (
    ActiveRun,
    Executed,
    StartOrder,
    StopOrder,
    TargetLife,
    Unanswered,
)
from cornelturn.tests.overload import Load
from cornelturn.tests.pool_jobs import QUEUE, report, target
from cornelturn.tests.test_platform_documents import NODE_FILE

LIVES = (TargetLife("t-1", 1), TargetLife("t-2", 1))
URGENT, OTHER, NEXT = (f"{number:016x}" for number in (1, 2, 3))
OTHER_QUEUE = replace(QUEUE, name="reports", priority=1)
LONG = Step(4, Resources(4_000, 1), 10_000)
SHORT = Step(1, Resources(4_000, 1), 1_000)
ON = PreemptionSettings(is_enabled=True, share_per_s=0.5, max_unsaved_ms=1_000)
ARRIVED_MS = 500
STOP_MS = 700
"""Time at which the urgent job has waited for long enough."""


def add(scheduler, job, step, queue=QUEUE, now_ms=0, progress=None, version=1) -> None:
    spec = JobSpec(job, queue.name, "pool", "text", (step,))
    row = JobRow(spec, progress or Progress())
    scheduler.add_job(job_key(queue.name, job), row, version, queue, now_ms)


def carry_out(scheduler: PoolScheduler, now_ms: int) -> list[tuple[TargetLife, object]]:
    """Plan, and carry out the starts; return all orders."""
    orders = scheduler.plan(now_ms)
    for item in orders:
        if isinstance(item.order, StartOrder):
            scheduler.handle_order_result(item.life, item.order, Executed(), now_ms)
    return [(item.life, item.order) for item in orders]


def stops(orders) -> list[Run]:
    return [order.run for _, order in orders if isinstance(order, StopOrder)]


def started_jobs(orders) -> list[str]:
    return [order.run.task.job for _, order in orders if isinstance(order, StartOrder)]


@pytest.fixture
def full_pool():
    """Return a function that makes a scheduler whose targets are full of other work."""

    def make(settings=ON, step=LONG, queue=OTHER_QUEUE) -> PoolScheduler:
        scheduler = PoolScheduler("pool", 1, preemption_settings=settings)
        scheduler.update_targets([target(life) for life in LIVES], 0)
        for life in LIVES:
            scheduler.handle_report(report(life), 0, 0)
        scheduler.mark_loaded(0)
        add(scheduler, OTHER, step, queue)
        carry_out(scheduler, 0)
        add(scheduler, URGENT, SHORT, now_ms=ARRIVED_MS)
        assert not carry_out(scheduler, ARRIVED_MS)
        return scheduler

    return make


@pytest.fixture
def stopped(full_pool):
    """Return a scheduler that has ordered a stop, with its target and run."""
    scheduler = full_pool()
    ((life, order),) = carry_out(scheduler, STOP_MS)
    return scheduler, life, order


def end_run(scheduler, life, run, now_ms, checkpoint="") -> None:
    sequence = scheduler.targets[life].read_sequence + 1
    end = RunEnd(sequence, run, EndKind.STOPPED, checkpoint)
    active = other_runs(scheduler, life, run)
    scheduler.handle_report(report(life, active, (end,)), now_ms, now_ms)


def other_runs(scheduler, life, stopped_run) -> tuple[ActiveRun, ...]:
    runs = scheduler.targets[life].runs
    return tuple(ActiveRun(run, "", 1) for run in runs if run != stopped_run)


@pytest.mark.parametrize("is_gang", [False, True])
@pytest.mark.parametrize("rack", ["r1", "r2"])
def test_urgent_step_uses_what_a_stop_releases_on_another_rack(rack, is_gang):
    """Guards against stops in vain for a step that then waits for its own rack."""
    scheduler = PoolScheduler("pool", 1, preemption_settings=ON)
    scheduler.update_targets(
        [
            target(life, rack=name, labels=frozenset({name}))
            for life, name in zip(LIVES, ("r1", "r2"), strict=True)
        ],
        0,
    )
    for life in LIVES:
        scheduler.handle_report(report(life), 0, 0)
    scheduler.mark_loaded(0)
    add(scheduler, OTHER, LONG, OTHER_QUEUE)
    carry_out(scheduler, 0)
    # Its own rack has room before it would be done elsewhere.
    step = replace(SHORT, estimated_ms=60_000, near_rack=rack, is_gang=is_gang)
    add(scheduler, URGENT, step, now_ms=ARRIVED_MS)
    assert not carry_out(scheduler, ARRIVED_MS)
    ((life, order),) = carry_out(scheduler, STOP_MS)
    end_run(scheduler, life, order.run, STOP_MS + 50)
    assert started_jobs(carry_out(scheduler, STOP_MS + 50)) == [URGENT]


def test_urgent_step_gets_what_one_stop_releases(stopped):
    """Guards against a stop that another task than the urgent one profits from."""
    scheduler, life, order = stopped
    assert carry_out(scheduler, STOP_MS + 150) == []
    end_run(scheduler, life, order.run, STOP_MS + 200)
    assert started_jobs(carry_out(scheduler, STOP_MS + 200)) == [URGENT]
    assert scheduler.metrics.preemption.runs.labels("pool")._value.get() == 1


def test_stopped_task_uses_up_no_attempt_and_resumes_from_its_checkpoint(stopped):
    """Guards against a job that fails, or loses saved work, because of urgent work."""
    scheduler, life, order = stopped
    end_run(scheduler, life, order.run, 900, checkpoint="c1")
    carry_out(scheduler, 900)
    job = scheduler.jobs[OTHER]
    assert not job.progress.failed
    assert order.run.task.index in job.waiting_tasks[order.run.task.step_id()]
    assert job.checkpoint(order.run.task).value == "c1"


@pytest.mark.parametrize(
    ("settings", "step", "queue"),
    [
        (NO_PREEMPTION, LONG, OTHER_QUEUE),
        (replace(ON, share_per_s=0.2), LONG, OTHER_QUEUE),
        (replace(ON, max_unsaved_ms=100), LONG, OTHER_QUEUE),
        (ON, LONG, QUEUE),
        (ON, replace(LONG, is_gang=True), OTHER_QUEUE),
        (ON, replace(LONG, is_lasting=True), OTHER_QUEUE),
        (ON, replace(LONG, estimated_ms=2_000), OTHER_QUEUE),
    ],
    ids=["off", "share", "unsaved", "priority", "gang", "lasting", "ends in time"],
)
def test_runs_that_must_not_be_stopped_go_on(full_pool, settings, step, queue):
    """Guards against stops that the settings or the rules exclude."""
    scheduler = full_pool(settings, step, queue)
    add(scheduler, NEXT, LONG, OTHER_QUEUE)
    for now_ms in range(STOP_MS, 1_500, 100):
        assert carry_out(scheduler, now_ms) == []
    assert not scheduler.planner.reservations.held


def test_capacity_counts_as_taken_until_the_stop_is_known(stopped):
    """Guards against two tasks on the same cores after a stop without an answer."""
    scheduler, life, order = stopped
    scheduler.handle_order_result(life, order, Unanswered("none"), STOP_MS)
    orders = carry_out(scheduler, STOP_MS + RETRY_DELAY_MS)
    assert (stops(orders), started_jobs(orders)) == ([order.run], [])
    assert scheduler.targets[life].runs[order.run].state is RunState.STOPPING
    scheduler.handle_order_result(life, order, Executed(), 900)
    assert started_jobs(carry_out(scheduler, 900)) == []
    active = other_runs(scheduler, life, order.run)
    scheduler.handle_report(report(life, active), 950, 950)
    assert started_jobs(carry_out(scheduler, 960)) == [URGENT]


def test_another_run_is_stopped_if_a_stop_leads_to_no_end(full_pool):
    """Guards against urgent work that waits for a target which does not stop runs."""
    scheduler = full_pool(replace(ON, max_unsaved_ms=math.inf))
    (first,) = stops(carry_out(scheduler, STOP_MS))
    assert not stops(carry_out(scheduler, STOP_MS + STOP_TIMEOUT_MS - 100))
    (second,) = stops(carry_out(scheduler, STOP_MS + STOP_TIMEOUT_MS))
    assert second != first


def test_run_that_does_not_end_after_any_stop_is_not_waited_for(full_pool):
    """Guards against urgent work that waits for a run whose stop has another cause."""
    scheduler = full_pool(replace(ON, max_unsaved_ms=math.inf))
    view = scheduler.targets[LIVES[0]]
    run_view = next(iter(view.runs.values()))
    scheduler.preemption.state.stop_run(view, run_view, "cancelled")
    assert stops(carry_out(scheduler, STOP_MS)) == [run_view.run]
    assert not stops(carry_out(scheduler, STOP_MS + STOP_TIMEOUT_MS - 100))
    (second,) = stops(carry_out(scheduler, STOP_MS + STOP_TIMEOUT_MS))
    assert second != run_view.run


def test_successor_starts_urgent_work_where_a_run_was_stopped(stopped):
    """Guards against capacity that is lost with the owner that ordered the stop."""
    old, _, order = stopped
    new = PoolScheduler("pool", 2, preemption_settings=ON)
    new.update_targets([target(life) for life in LIVES], 0)
    add(new, OTHER, LONG, OTHER_QUEUE)
    add(new, URGENT, SHORT)
    for other in LIVES:
        new.handle_report(report(other, other_runs(old, other, order.run)), 0, 0)
    new.mark_loaded(0)
    assert started_jobs(carry_out(new, 0)) == [URGENT]
    assert len(new.jobs[OTHER].waiting_tasks[order.run.task.step_id()]) == 1


def test_next_in_order_starts_if_the_urgent_job_is_cancelled(stopped):
    """Guards against capacity that stays held for a job which has ended."""
    scheduler, life, order = stopped
    add(scheduler, NEXT, replace(SHORT, need=Resources(3_000, 1)), OTHER_QUEUE)
    cancelled = Progress(is_cancelled=True)
    add(scheduler, URGENT, SHORT, progress=cancelled, version=9)
    end_run(scheduler, life, order.run, 900)
    assert started_jobs(carry_out(scheduler, 900)) == [NEXT]
    assert not scheduler.planner.reservations.held


def test_room_for_a_gang_is_held_until_it_starts(full_pool):
    """Guards against small work that takes what each of several stops releases."""
    scheduler = full_pool(replace(ON, share_per_s=1.0))
    add(scheduler, URGENT, SHORT, progress=Progress(is_cancelled=True), version=9)
    gang = Step(2, Resources(8_000, 1), 1_000, is_gang=True)
    add(scheduler, NEXT, gang, now_ms=STOP_MS)
    carry_out(scheduler, STOP_MS)
    ordered = carry_out(scheduler, STOP_MS + 100)
    assert len(stops(ordered)) == 4
    add(scheduler, f"{9:016x}", replace(SHORT, need=Resources(1, 1)), OTHER_QUEUE)
    for number, (life, order) in enumerate(ordered):
        assert started_jobs(carry_out(scheduler, 900 + number)) == []
        end_run(scheduler, life, order.run, 900 + number)
    assert started_jobs(carry_out(scheduler, 950))[:2] == [NEXT, NEXT]


def test_checkpoints_of_a_run_show_what_a_stop_would_lose(full_pool):
    """Guards against stops of runs whose last checkpoint is old or not their own."""
    scheduler = full_pool(replace(ON, share_per_s=0.0), replace(LONG, estimated_ms=0))
    run, run_view = next(iter(scheduler.targets[LIVES[0]].runs.items()))
    for now_ms, value, saved_ms in ((1, "", None), (2, "a", 2), (3, "a", 2)):
        active = (ActiveRun(run, value, 1),)
        scheduler.handle_report(report(LIVES[0], active), now_ms, now_ms)
        assert run_view.saved_ms == saved_ms
    run_view.resumed_from = "b"
    run_view.note_checkpoint("b", 4)
    assert run_view.saved_ms == 2


def placed(number: int, cpu: int, loss: float | None, end_ms: float = math.inf):
    run = Run(StepId(OTHER, 0, 0).task(number), 1)
    return PlacedRoom(run, Resources(cpu), end_ms, loss)


def chosen(rooms, need: int, budget: int = 100, **changes) -> list[int]:
    """Return the tasks whose runs are stopped; each group of runs is on one target."""
    targets = [
        TargetRoom(TargetLife(f"t-{number}", 1), frozenset(), Resources(), runs)
        for number, runs in enumerate(rooms)
    ]
    values = {"count": 1, "deadline_ms": 2_000} | changes
    step = UrgentStep(StepId(URGENT, 0, 0), Resources(need), **values)
    decided = decide(targets, [step], Resources(budget), Resources(100))
    return sorted(stop.placed.run.task.index for stop in decided.stops)


@pytest.mark.parametrize("is_gang", [False, True])
def test_room_that_needs_no_stops_is_held_if_the_share_is_exceeded(is_gang):
    """Guards against stops in vain: the share shrinks when a pool loses targets."""
    rooms = (placed(0, 2, None, 1_000), placed(1, 2, None, 1_500))
    targets = [TargetRoom(LIVES[0], frozenset(), Resources(), rooms)]
    step = UrgentStep(
        StepId(URGENT, 0, 0), Resources(4), 1, deadline_ms=2_000, is_gang=is_gang
    )
    decided = decide(targets, [step], Resources(-1), Resources(2))
    assert decided.held == {LIVES[0]}


def test_target_is_not_held_for_a_stop_that_is_not_ordered():
    """Guards against capacity that stays unused beside a run that is not stopped."""
    target = TargetRoom(LIVES[0], frozenset(), Resources(), (placed(0, 8, 8),))
    step = UrgentStep(StepId(URGENT, 0, 0), Resources(4), 2, deadline_ms=2_000)
    decided = decide([target], [step], Resources(4), Resources(8))
    assert not decided.stops
    assert not decided.held


@pytest.mark.parametrize(
    ("rooms", "need", "changes", "expected"),
    [
        ([(placed(0, 4, 90), placed(1, 4, 50))], 4, {}, [1]),
        ([(placed(0, 4, 90),), (placed(1, 4, 50),)], 4, {}, [1]),
        ([(placed(0, 2, 2), placed(1, 8, 16))], 8, {}, [1]),
        ([(placed(0, 4, 90, 1_999), placed(1, 4, 50))], 4, {}, []),
        ([(placed(0, 4, 90, 1_999), placed(1, 4, 50))], 8, {}, [1]),
        ([(placed(0, 4, 90), placed(1, 4, 50))], 4, {"budget": 3}, []),
        ([(placed(0, 4, 90), placed(1, 4, 50))], 4, {"count": 2, "budget": 7}, [1]),
        ([(placed(0, 4, 9),), (placed(1, 4, None),)], 4, {"count": 2}, [0]),
        (
            [(placed(0, 4, 9),), (placed(1, 4, None),)],
            4,
            {"count": 2, "is_gang": True},
            [],
        ),
        (
            [(placed(0, 4, 9),), (placed(1, 4, 9),)],
            4,
            {"count": 2, "is_gang": True, "budget": 7},
            [],
        ),
        (
            [(placed(0, 4, 9), placed(1, 4, 9))],
            4,
            {"count": 2, "max_per_target": 1},
            [0],
        ),
    ],
    ids=[
        "least loss on a target",
        "least loss among targets",
        "no more than needed",
        "one ends in time",
        "the rest by a stop",
        "beyond the budget",
        "as far as the budget goes",
        "what may be stopped",
        "gang without room",
        "gang beyond the budget",
        "limit for each target",
    ],
)
def test_runs_that_lose_least_are_stopped(rooms, need, changes, expected):
    """Guards against stops in vain, and against more or dearer ones than needed."""
    assert chosen(rooms, need, **changes) == expected


def test_settings_file_may_turn_on_preemption(tmp_path: Path):
    """Guards against a setting that does not reach the owners of pools."""
    file = tmp_path / "node.toml"
    file.write_text(NODE_FILE)
    assert load_node_file(file).unwrap().preemption == NO_PREEMPTION
    file.write_text(
        NODE_FILE
        + "\n[preemption]\nenabled = true\nshare_per_s = 0.5\nmax_unsaved_ms = 900\n"
    )
    assert load_node_file(file).unwrap().preemption == PreemptionSettings(
        True, 0.5, 900
    )


def test_urgent_work_starts_in_time_among_long_tasks_with_checkpoints():
    """Guards against urgent work that waits for tasks of 10 s."""
    case = Case("checkpointing long", 1.0, 0.5, is_checkpointing=True)
    stopping = Alternative("stops", preemption=PreemptionSettings(is_enabled=True))
    load = Load(0, 16_000, 6, estimate_spread=0.25)
    for seed in range(1, 7):
        played = UrgentLoad(load, seed, case=case, alternative=stopping)
        played.simulate()
        assert played.urgent_starts_ms()[-1] <= 2_100
