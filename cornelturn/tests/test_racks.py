"""Placement of tasks near their data, and of steps on one rack."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import pytest

from cornelturn.benchmarks.near_data import CASES, Case, Locality, NearDataLoad
from cornelturn.benchmarks.near_data import play as play_load
from cornelturn.capacity.sizing import PoolSizer, SizingInputs
from cornelturn.entry.job_settings import TimeBounds
from cornelturn.jobs.model import EndKind, Resources, Run, RunEnd, Step, TaskId
from cornelturn.jobs.rows import JobRow, job_key
from cornelturn.model.organisations import Organisation
from cornelturn.model.routes import JobQueue, RoutingTable
from cornelturn.model.upkeep import Machine, MachineState
from cornelturn.peering.messages import TargetLoad
from cornelturn.racks.pool_racks import MAX_WAITING_STEPS
from cornelturn.racks.waits import Prospect
from cornelturn.scheduling.pool import PoolScheduler
from cornelturn.targets.model import ActiveRun, Executed, TargetLife
from cornelturn.tests.job_fleet import JobFleet
from cornelturn.tests.overload import Load
from cornelturn.tests.pool_jobs import QUEUE, job_row, new_scheduler, report, target
from cornelturn.tests.test_explain import JOB, explain_logs, log_line
from cornelturn.tests.test_wait_reasons import logged

NEAR, NEAR_2, FAR, FAR_2 = (TargetLife(f"t-{number}", 1) for number in range(4))
RACKS = {NEAR: "r1", NEAR_2: "r1", FAR: "r2", FAR_2: "r2"}
NEED = Resources(2_000, 10)
FIRST, SECOND, THIRD = (f"{number:016x}" for number in range(1, 4))
MakePool = Callable[..., PoolScheduler]


@pytest.fixture
def make_pool() -> MakePool:
    """Return a function that makes a pool whose targets have room for some tasks."""

    def make(near: int = 1, far: int = 4, generation: int = 1) -> PoolScheduler:
        lives = (NEAR, FAR) if near == 1 else tuple(RACKS)
        listed = [
            target(
                life,
                2_000 * (far if life in (FAR, FAR_2) else near),
                rack=RACKS[life],
                labels=frozenset({"a", RACKS[life]}),
            )
            for life in lives
        ]
        return new_scheduler(*listed, generation=generation)

    return make


def add(pool: PoolScheduler, row: JobRow, now_ms: int = 0) -> None:
    """Add a job that is on time whatever happens."""
    queue = replace(QUEUE, slack_ms=60_000)
    pool.add_job(job_key(queue.name, row.spec.id), row, 1, queue, now_ms)


def near_step(count: int = 1, run_ms: int = 1_000, **changes) -> Step:
    return replace(Step(count, NEED, run_ms, near_rack="r1"), **changes)


def one_rack_step(count: int, **changes) -> Step:
    return replace(Step(count, NEED, 1_000, is_one_rack=True), **changes)


def start(pool: PoolScheduler, now_ms: int) -> list[TargetLife]:
    """Carry out the orders of a plan; return the targets of its starts."""
    orders = pool.plan(now_ms)
    for item in orders:
        pool.handle_order_result(item.life, item.order, Executed(), now_ms)
    return [item.life for item in orders]


def busy_pool(make_pool: MakePool, run_ms: int = 1_000) -> PoolScheduler:
    """Return a pool with a run on its rack that started at 0, and a job that waits."""
    pool = make_pool()
    add(pool, job_row(near_step(run_ms=run_ms), job=FIRST))
    assert start(pool, 0) == [NEAR]
    return pool


@pytest.mark.parametrize(
    ("declared_ms", "waits"), [(1_500, True), (800, False), (0, False)]
)
def test_task_waits_for_its_rack_only_while_that_pays(make_pool, declared_ms, waits):
    """Guards against tasks that run twice as long though their rack is soon free."""
    pool = busy_pool(make_pool)
    step = near_step(run_ms=declared_ms)
    add(pool, job_row(step, job=SECOND), now_ms=100)
    assert start(pool, 100) == ([] if waits else [FAR])


def test_task_does_not_wait_for_a_run_of_unknown_length(make_pool):
    """Guards against a wait without anything to expect."""
    pool = busy_pool(make_pool, run_ms=0)
    add(pool, job_row(near_step(run_ms=9_000), job=SECOND), now_ms=100)
    assert start(pool, 100) == [FAR]


def test_work_beyond_what_the_rack_can_do_goes_elsewhere_at_once(make_pool):
    """Guards against a long queue for a rack while others are idle."""
    pool = busy_pool(make_pool)
    add(pool, job_row(near_step(5, 2_500), job=SECOND), now_ms=100)
    # One task fits on the rack at 1,000, another at 3,500, later than elsewhere.
    assert start(pool, 100) == [FAR] * 4
    end = RunEnd(1, Run(TaskId(FIRST, 0, 0, 0), 1), EndKind.DONE)
    pool.handle_report(report(NEAR, ended=(end,)), 0, 1_000)
    assert start(pool, 1_000) == [NEAR]


def test_waits_of_several_jobs_add_up(make_pool):
    """Guards against jobs that all wait for the same release."""
    pool = busy_pool(make_pool)
    for job in (SECOND, THIRD):
        add(pool, job_row(near_step(run_ms=1_500), job=job), now_ms=100)
    assert start(pool, 100) == [FAR]


@pytest.mark.parametrize("loss", ["cordoned", "silent", "gone", "drained"])
def test_task_goes_elsewhere_at_once_when_its_rack_is_lost(make_pool, loss):
    """Guards against a wait for a rack without a target that accepts work."""
    pool = busy_pool(make_pool)
    add(pool, job_row(near_step(run_ms=1_500), job=SECOND), now_ms=100)
    assert start(pool, 100) == []
    listed = [view.listed for view in pool.targets.values()]
    match loss:
        case "cordoned":
            pool.set_cordoned([NEAR.name])
        case "silent":
            pool.contact_lost(NEAR, 9_000)
        case "gone":
            pool.update_targets([listed[1]], 120)
        case "drained":
            pool.update_targets([replace(listed[0], is_draining=True), listed[1]], 120)
    assert FAR in start(pool, 120)


def test_wait_ends_when_it_has_lasted_as_long_as_the_delay(make_pool):
    """Guards against endless waits where runs take longer than declared."""
    pool = busy_pool(make_pool)
    add(pool, job_row(near_step(run_ms=1_500), job=SECOND), now_ms=100)
    plans = {now_ms: start(pool, now_ms) for now_ms in range(100, 1_700, 100)}
    assert [now_ms for now_ms, lives in plans.items() if lives] == [1_600]
    assert plans[1_600] == [FAR]
    assert not pool.racks.waits.since_ms


def test_new_owner_waits_for_the_runs_that_targets_report(make_pool):
    """Guards against waits for what only the former owner could expect."""
    for is_known in (True, False):
        pool = make_pool(generation=2)
        run = Run(TaskId(FIRST, 0, 0, 0), 1)
        if is_known:
            add(pool, job_row(near_step(), job=FIRST))
        pool.handle_report(report(NEAR, (ActiveRun(run, "", 0),)), 0, 0)
        add(pool, job_row(near_step(run_ms=1_500), job=SECOND), now_ms=100)
        assert start(pool, 100) == ([] if is_known else [FAR])


def test_other_work_leaves_room_on_a_rack_that_others_wait_for(make_pool):
    """Guards against work without a preference that fills a wanted rack."""
    pool = make_pool(near=2)
    add(pool, job_row(near_step(4), job=FIRST))
    assert set(start(pool, 0)) == {NEAR, NEAR_2}
    add(pool, job_row(near_step(2, 1_500, need=Resources(4_000, 10)), job=SECOND))
    assert start(pool, 100) == []
    ends = (RunEnd(1, next(iter(pool.targets[NEAR].runs)), EndKind.DONE),)
    pool.handle_report(report(NEAR, ended=ends), 0, 200)
    add(pool, job_row(Step(1, NEED, 100), job=THIRD), now_ms=200)
    assert start(pool, 200) in ([FAR], [FAR_2])


def test_step_on_one_rack_gets_the_fullest_rack_with_room_for_all(make_pool):
    """Guards against a step that is spread over the fullest targets of all racks."""
    pool = make_pool(near=2)
    add(pool, job_row(one_rack_step(4), job=FIRST))
    assert {RACKS[life] for life in start(pool, 0)} == {"r1"}
    add(pool, job_row(one_rack_step(5), job=SECOND))
    lives = start(pool, 0)
    assert len(lives) == 5
    assert {RACKS[life] for life in lives} == {"r2"}


@pytest.mark.parametrize("is_gang", [False, True])
def test_step_on_one_rack_follows_its_runs_after_a_takeover(make_pool, is_gang):
    """Guards against a new owner that does not find the rack of a step."""
    pool = make_pool(near=2, generation=2)
    add(pool, job_row(one_rack_step(3), job=FIRST))
    run = Run(TaskId(FIRST, 0, 0, 0), 1)
    pool.handle_report(report(FAR, (ActiveRun(run, "", 0),)), 0, 0)
    lives = start(pool, 10)
    assert len(lives) == 2
    assert {RACKS[life] for life in lives} == {"r2"}


def test_gang_on_one_rack_waits_for_room_and_then_starts_as_a_whole(make_pool):
    """Guards against a gang on two racks, and against one that waits for ever."""
    pool = make_pool(near=2, far=2)
    for job in (FIRST, SECOND):
        add(pool, job_row(one_rack_step(3), job=job))
    assert len(start(pool, 0)) == 6
    gang = one_rack_step(2, is_gang=True, estimated_ms=1_500)
    add(pool, job_row(gang, job=THIRD), now_ms=100)
    assert start(pool, 100) == []
    assert len(start(pool, 1_600)) == 2


@pytest.mark.parametrize(
    ("slack_ms", "waits"), [(500, True), (1_000, False), (2_000, False), (2_600, True)]
)
def test_job_that_is_on_time_elsewhere_does_not_wait_at_a_risk(slack_ms, waits):
    """Guards against jobs that are late because they waited in vain."""
    prospect = Prospect(1_000, 1_000, 0, slack_ms)
    assert prospect.must_wait(700) is waits
    assert not prospect.must_wait(1_000)


def test_steps_behind_one_that_waits_start_in_the_fair_order(make_pool):
    """Guards against work that waits for a rack and keeps others from free targets."""
    pool = busy_pool(make_pool)
    queue = JobQueue(QUEUE.name, "host", "/lookups/", "pool", slack_ms=60_000)
    organisations = (Organisation("one", 1.0), Organisation("two", 1.0))
    pool.update_routing(RoutingTable(1, (queue,), organisations=organisations), 0)
    for job, organisation in ((SECOND, "one"), (THIRD, "two")):
        row = job_row(near_step(2, 1_500), job=job)
        spec = replace(row.spec, organisation=organisation)
        add(pool, replace(row, spec=spec), now_ms=100)
    # One task waits for the run on the rack, the three others do not.
    assert start(pool, 100) == [FAR] * 3
    assert start(pool, 120) == []


def test_remote_factor_of_the_settings_reaches_the_owner_of_a_pool(play):
    """Guards against waits by another factor than that of the deployment."""

    async def scenario(fleet: JobFleet) -> None:
        fleet.bounds = TimeBounds(remote_factor=3.0)
        await fleet.add_entry("entry-9")
        fleet.kill_entry("entry-0")
        await fleet.wait_until(lambda: fleet.owners().get("phone") == "entry-9")
        owned = fleet.entries["entry-9"].duties.owned_pools["phone"]
        assert owned.owner.scheduler.racks.remote_factor == 3.0

    play(scenario, entries=1, workers=1)


def test_owner_logs_that_a_job_waits_for_its_rack(make_pool, events):
    """Guards against a wait that is taken for a lack of room."""
    pool = busy_pool(make_pool, run_ms=2_000)
    add(pool, job_row(near_step(run_ms=3_000), job=JOB), now_ms=100)
    lines = [log_line(0.1, f"submit job={JOB} pool=pool outcome=Accepted")]
    for now_ms in (100, 700, 900):
        lines += logged(pool, events, now_ms)
    assert len(lines) == 2
    assert "reason=rack waited_ms=600" in lines[1]
    start_line = f"run_start run={JOB}.0.0.0#1 pool=pool waited_ms=1000"
    told = explain_logs([*lines, log_line(1.1, start_line)]).reason
    assert "it waited 1000 ms, 900 ms of them for its rack" in told


def test_pool_keeps_the_targets_of_wanted_racks_only(make_pool):
    """Guards against a pool that keeps all its machines as one rack is wanted."""
    pool = make_pool(near=2)
    assert pool.pool_load(0).least_targets == 0
    add(pool, job_row(near_step(), job=FIRST))
    load = pool.pool_load(0)
    assert load.least_targets == 2
    wanted = {item.target for item in load.targets if item.is_wanted}
    assert wanted == {NEAR.name, NEAR_2.name}


def test_targets_of_wanted_racks_leave_a_pool_last():
    """Guards against a pool that keeps the right number of the wrong targets."""
    loads = {
        "t-a": TargetLoad("t-a", 0, 0, False, is_wanted=True),
        "t-b": TargetLoad("t-b", 9, 1, False),
    }
    inputs = SizingInputs((), set(), set(), frozenset(), {}, loads)
    machines = [Machine(name, "pool", MachineState.UP, f"t-{name}") for name in "ab"]
    sizer = PoolSizer(draining={"a"})
    machines.sort(key=lambda machine: sizer._release_order(inputs, machine))
    assert [machine.name for machine in machines] == ["b", "a"]


@pytest.mark.parametrize(
    ("case", "gain"),
    [
        (CASES[1], 0.04),
        (CASES[3], 0.1),
        (CASES[5], 0.2),
        (CASES[6], 0.1),
        (Case("one rack", 0.5, 3.0, Locality.ONE_RACK), 0.3),
        (Case("gang", 0.5, 3.0, Locality.ONE_RACK_GANG), 0.3),
    ],
    ids=lambda value: getattr(value, "name", None),
)
def test_more_jobs_are_on_time_with_waits_for_racks(case, gain):
    """Guards against waits that do not help jobs."""
    without, with_part = (
        play_load(case, 1, is_enabled=value, duration_ms=10_000).on_time()
        for value in (False, True)
    )
    assert with_part >= without + gain


def test_jobs_without_racks_run_as_before():
    """Guards against a part that changes deployments which do not use it."""
    loads = []
    for is_enabled in (False, True):
        load = NearDataLoad(
            Load(24.0, 4_000, 24, rack_size=8), case=CASES[5], is_enabled=is_enabled
        )
        load.wanted_share = 0.0
        load.simulate()
        loads.append([caller.done_ms for caller in load.callers.values()])
    assert loads[0] == loads[1]


def test_work_without_a_rack_starts_behind_many_steps_that_wait(make_pool):
    """Guards against free targets that stay idle behind steps that wait for a rack."""
    pool = make_pool(near=100, far=8)
    add(pool, job_row(near_step(200), job=FIRST))
    assert set(start(pool, 0)) == {NEAR, NEAR_2}
    for number in range(MAX_WAITING_STEPS + 6):
        add(pool, job_row(near_step(run_ms=1_500), job=f"{number + 16:016x}"), 100)
    # The last in the start order, as it has the most work.
    add(pool, job_row(Step(1, NEED, 90_000), job=SECOND), now_ms=100)
    pool.plan(100)
    assert pool.placed_runs.get(SECOND)
    assert len(pool.racks.plan.waiting) == MAX_WAITING_STEPS


def test_task_that_starts_on_an_avoided_target_of_its_rack_does_not_wait(make_pool):
    """Guards against a plan that fails for a step without a waiting task."""
    pool = make_pool(near=2)
    add(pool, job_row(near_step(4), job=FIRST))
    assert set(start(pool, 0)) == {NEAR, NEAR_2}
    run = next(iter(pool.targets[NEAR].runs))
    pool.handle_report(report(NEAR, ended=(RunEnd(1, run, EndKind.DONE),)), 0, 90)
    add(pool, job_row(near_step(run_ms=1_500, required_label="a"), job=SECOND), 100)
    task = TaskId(SECOND, 0, 0, 0)
    pool.jobs[SECOND].task(task).failed_on[NEAR.name] = 95
    assert start(pool, 100) == [NEAR]
    assert not pool.racks.waits.since_ms
    assert not pool.racks.plan.claimed


def test_task_does_not_wait_for_a_target_on_which_urgent_work_gets_room(make_pool):
    """Guards against a wait for capacity that other work gets."""
    pool = busy_pool(make_pool)
    pool.planner.reservations.held = {NEAR}
    row = job_row(near_step(run_ms=1_500), job=SECOND)
    queue = replace(QUEUE, slack_ms=60_000, priority=1)
    pool.add_job(job_key(queue.name, SECOND), row, 1, queue, 100)
    pool.planner.plan(100)
    assert [placed.life for placed in pool.placed_runs.get(SECOND, ())] == [FAR]


def test_gang_on_one_rack_gets_another_one_rather_than_several(make_pool):
    """Guards against a gang on two racks though one has room for all of it."""
    pool = make_pool(near=2, far=2)
    add(pool, job_row(near_step(3, run_ms=0), job=FIRST))
    assert {RACKS[life] for life in start(pool, 0)} == {"r1"}
    gang = one_rack_step(4, is_gang=True, near_rack="r1")
    add(pool, job_row(gang, job=SECOND), now_ms=100)
    assert {RACKS[life] for life in start(pool, 100)} == {"r2"}


def test_task_does_not_wait_for_a_target_that_declines(make_pool):
    """Guards against a wait for a rack whose targets accept no work."""
    pool = busy_pool(make_pool)
    pool.targets[NEAR].declining_until_ms = 250
    add(pool, job_row(near_step(run_ms=1_500), job=SECOND), now_ms=100)
    assert start(pool, 100) == [FAR]


@pytest.mark.parametrize(
    "step",
    [
        one_rack_step(2, need=Resources(1_000, 60_000), is_gang=True),
        one_rack_step(2, need=Resources(1_000, 60_000)),
        near_step(need=Resources(1_000, 60_000), is_gang=True),
        near_step(need=Resources(1_000, 60_000)),
    ],
    ids=["gang on one rack", "one rack", "gang near data", "near data"],
)
def test_work_in_a_pool_of_one_rack_waits_for_room_with_a_reservation(step):
    """Guards against large work that small work overtakes until its wait ends."""
    pool = new_scheduler(target(NEAR), target(NEAR_2))
    large = Resources(1_000, 60_000)
    add(pool, job_row(Step(2, large, 1_000), job=FIRST))
    assert len(start(pool, 0)) == 2
    step = replace(step, estimated_ms=30_000)
    add(pool, job_row(step, job=SECOND), now_ms=100)
    for now_ms in (100, 200):
        assert start(pool, now_ms) == []
    assert not pool.racks.waits.since_ms
    add(pool, job_row(Step(1, Resources(1_000, 10), 60_000), job=THIRD), now_ms=300)
    lives = start(pool, 300)
    reserved = pool.planner.reservations.by_target
    assert [item.step.job for item in reserved.values()] == [SECOND]
    assert len(lives) == 1
    assert lives[0] not in reserved


def test_task_does_not_wait_for_its_rack_while_it_fits_nowhere_else(make_pool):
    """Guards against large work without a reservation though it has no choice."""
    pool = make_pool()
    large = Resources(1_000, 60_000)
    add(pool, job_row(Step(2, large, 1_000), job=FIRST))
    assert set(start(pool, 0)) == {NEAR, FAR}
    add(pool, job_row(near_step(run_ms=30_000, need=large), job=SECOND), now_ms=100)
    for now_ms in (100, 200):
        assert start(pool, now_ms) == []
    assert not pool.racks.waits.since_ms
    assert pool.planner.reservations.by_target


def test_gang_does_not_wait_for_a_rack_that_its_limit_excludes(make_pool):
    """Guards against a wait in vain for a rack with too few targets for the gang."""
    pool = make_pool(near=2, far=2)
    add(pool, job_row(near_step(4), job=FIRST))
    assert set(start(pool, 0)) == {NEAR, NEAR_2}
    pool.targets[NEAR_2].declining_until_ms = 5_000
    gang = near_step(2, run_ms=1_500, is_gang=True, max_per_target=1)
    add(pool, job_row(gang, job=SECOND), now_ms=100)
    assert {RACKS[life] for life in start(pool, 100)} == {"r2"}


def test_tasks_do_not_wait_for_a_target_beyond_their_limit_there(make_pool):
    """Guards against tasks that wait in vain for a target that takes one of them."""
    pool = make_pool(near=2, far=2)
    add(pool, job_row(near_step(4), job=FIRST))
    assert set(start(pool, 0)) == {NEAR, NEAR_2}
    pool.targets[NEAR_2].declining_until_ms = 5_000
    step = near_step(2, run_ms=1_500, max_per_target=1)
    add(pool, job_row(step, job=SECOND), now_ms=100)
    # One waits for NEAR, which may not take the other one beside it.
    assert [RACKS[life] for life in start(pool, 100)] == ["r2"]
