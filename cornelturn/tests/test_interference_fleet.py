"""Fleet tests of filling work beside serving work, with real messages.

No serving run may stay over its limit for 4 s because of filling work, whatever happens
to owners, links, orders and reports.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from cornelturn.platform.standin.documents import job_id, phases
from cornelturn.platform.standin.interference import InterferenceStandin
from cornelturn.platform.standin.worker import WorkerStandin
from cornelturn.tests.job_fleet import JobFleet

IMPACT_MS = 4_000
POOL = "phone"
SERVING, FILLING = job_id(1), job_id(2)
Scenario = Callable[[JobFleet, InterferenceStandin], Awaitable[None]]


def serving_phases(count: int = 1, **fields: object) -> list[dict]:
    defaults = {"is_lasting": True, "image": "web", "tail_limit_ms": 200}
    return phases(count, **(defaults | fields))


def filling_phases(count: int, **fields: object) -> list[dict]:
    defaults = {"cpu": 2_000, "is_filling": True, "image": "batch"}
    return phases(count, **(defaults | fields))


@pytest.fixture
def play_shared(play):
    """Return a function that plays a script on one worker with both kinds of work.

    The filling runs outlast the script, and at their full pace triple the latency.
    """

    def run(
        scenario: Scenario, workers: int = 1, factor: float = 0.5
    ) -> tuple[JobFleet, InterferenceStandin]:
        played: list[InterferenceStandin] = []

        async def script(fleet: JobFleet) -> None:
            fleet.run_ms = 60_000
            interference = InterferenceStandin(
                lambda: list(fleet.workers.values()), lambda serving, filling: factor
            )
            played.append(interference)
            playing = asyncio.create_task(interference.run())
            assert await fleet.submit("entry-0", POOL, SERVING, serving_phases()) == 200
            await fleet.wait_until(lambda: run_count(fleet) == 1)
            assert (
                await fleet.submit("entry-0", POOL, FILLING, filling_phases(2)) == 200
            )
            await fleet.wait_until(lambda: run_count(fleet) == 3)
            await scenario(fleet, interference)
            playing.cancel()

        fleet = play(script, pools=(POOL,), workers=workers)
        assert played[0].longest_ms < IMPACT_MS
        return fleet, played[0]

    return run


def run_count(fleet: JobFleet) -> int:
    return sum(len(worker.runs) for worker in fleet.workers.values())


async def submit(fleet: JobFleet, job: str, steps: list[dict]) -> None:
    """Submit a job and wait until all its tasks run."""
    expected = run_count(fleet) + steps[0]["count"]
    assert await fleet.submit("entry-0", POOL, job, steps) == 200
    await fleet.wait_until(lambda: run_count(fleet) == expected)


def only_worker(fleet: JobFleet) -> WorkerStandin:
    return fleet.workers[f"{POOL}-0"]


def filling_paces(worker: WorkerStandin) -> list[int]:
    return [task.pace for run, task in worker.runs.items() if run.task.job == FILLING]


def owner_of(fleet: JobFleet) -> str:
    return fleet.owners()[POOL]


def test_filling_runs_slow_down_and_make_progress_all_the_same(play_shared):
    """Fails if nothing orders paces, or if slowed runs are stopped as stalled."""

    async def scenario(fleet: JobFleet, interference: InterferenceStandin) -> None:
        runs = set(only_worker(fleet).runs)
        await asyncio.sleep(20)
        assert set(only_worker(fleet).runs) == runs
        assert max(filling_paces(only_worker(fleet))) < 60

    _, interference = play_shared(scenario)
    room_cores = 0.69 / 0.5
    assert interference.done_cores_ms > 0.4 * room_cores * 20_000


def test_filling_runs_that_disturb_nothing_get_their_full_pace(play_shared):
    """Fails if the level is not raised, or a late raise gets lost."""

    async def scenario(fleet: JobFleet, _: InterferenceStandin) -> None:
        await asyncio.sleep(12)
        assert filling_paces(only_worker(fleet)) == [100, 100]

    play_shared(scenario, factor=0.02)


def test_jump_of_the_own_load_is_answered_in_time(play_shared):
    """Fails if a jump of the load is noticed too late or answered by small steps."""

    async def scenario(fleet: JobFleet, interference: InterferenceStandin) -> None:
        interference.own_share = 0.2
        await asyncio.sleep(15)
        interference.own_share = 0.9
        await asyncio.sleep(6)
        assert max(filling_paces(only_worker(fleet))) <= 30

    play_shared(scenario)


def test_successor_of_a_killed_owner_orders_the_paces_anew(play_shared):
    """Fails if a new owner takes the pace of an adopted run for the full one."""

    async def scenario(fleet: JobFleet, interference: InterferenceStandin) -> None:
        await asyncio.sleep(5)
        worker = only_worker(fleet)
        killed = owner_of(fleet)
        fleet.kill_entry(killed)
        orders = len(worker.paces)
        await fleet.wait_until(lambda: len(worker.paces) >= orders + 2)
        assert {pace for _, _, pace in worker.paces[orders : orders + 2]} <= {0, 30}
        await asyncio.sleep(10)

    play_shared(scenario)


def test_successor_restores_the_pace_where_nothing_serves_any_more(play_shared):
    """Fails if runs stay slow when the serving job ends while nobody owns the pool."""

    async def scenario(fleet: JobFleet, interference: InterferenceStandin) -> None:
        await asyncio.sleep(5)
        worker = only_worker(fleet)
        fleet.kill_entry(owner_of(fleet))
        serving = next(run for run in worker.runs if run.task.job == SERVING)
        entry = next(iter(fleet.entries))
        status, _ = await fleet.call(entry, "DELETE", f"/{POOL}/{SERVING}")
        assert status < 300
        await fleet.wait_until(lambda: serving not in worker.runs)
        await fleet.wait_until(lambda: filling_paces(worker) == [100, 100])

    play_shared(scenario)


def test_full_pace_is_restored_when_the_serving_job_is_cancelled(play_shared):
    """Fails if runs stay slow, although their owner knows that nothing serves."""

    async def scenario(fleet: JobFleet, interference: InterferenceStandin) -> None:
        await asyncio.sleep(5)
        worker = only_worker(fleet)
        status, _ = await fleet.call("entry-0", "DELETE", f"/{POOL}/{SERVING}")
        assert status < 300
        await fleet.wait_until(lambda: filling_paces(worker) == [100, 100], 3)

    play_shared(scenario)


def test_paused_owner_does_not_change_paces_of_its_successor(play_shared):
    """Fails if orders of an owner that lost the pool are obeyed."""

    async def scenario(fleet: JobFleet, interference: InterferenceStandin) -> None:
        await asyncio.sleep(5)
        paused = owner_of(fleet)
        fleet.pause_entry(paused)
        await asyncio.sleep(12)
        fleet.resume_entry(paused)
        await asyncio.sleep(8)
        assert owner_of(fleet) != paused

    play_shared(scenario)


@pytest.mark.parametrize("fault", [None, 300, 1_500], ids=["lost", "late", "too_late"])
def test_order_without_an_answer_is_repeated(play_shared, fault):
    """Fails if a lost order leaves a pace, or a late one replaces a newer one."""

    async def scenario(fleet: JobFleet, interference: InterferenceStandin) -> None:
        interference.own_share = 0.2
        await asyncio.sleep(15)
        only_worker(fleet).pace_faults = [fault] * 4
        interference.own_share = 0.9
        await asyncio.sleep(8)
        assert max(filling_paces(only_worker(fleet))) <= 30

    play_shared(scenario)


def test_filling_runs_stop_when_no_answer_arrives(play_shared):
    """Fails if the owner trusts old figures, or sends no order to a silent target."""

    async def scenario(fleet: JobFleet, interference: InterferenceStandin) -> None:
        interference.own_share = 0.2
        await asyncio.sleep(15)
        worker = only_worker(fleet)
        worker.is_answering, worker.pace_faults = False, [None] * 4
        interference.own_share = 0.9
        await asyncio.sleep(3.5)
        assert filling_paces(worker) == [0, 0]
        worker.is_answering = True
        interference.own_share = 0.2
        await fleet.wait_until(lambda: any(filling_paces(worker)))

    play_shared(scenario)


def test_restarted_worker_is_controlled_from_the_beginning(play_shared):
    """Fails if a later life of a worker inherits the paces of the ended one."""

    async def scenario(fleet: JobFleet, interference: InterferenceStandin) -> None:
        await asyncio.sleep(5)
        await fleet.restart_worker(f"{POOL}-0")
        await fleet.wait_until(lambda: run_count(fleet) == 3)
        await fleet.wait_until(lambda: max(filling_paces(only_worker(fleet))) <= 30)
        await asyncio.sleep(8)

    play_shared(scenario)


def test_serving_run_that_starts_beside_filling_runs_slows_them_at_once(play):
    """Fails if the first figures of a serving run are awaited, or others are paced."""

    async def script(fleet: JobFleet) -> None:
        fleet.run_ms = 60_000
        await submit(fleet, FILLING, filling_phases(2))
        await asyncio.sleep(3)
        worker = only_worker(fleet)
        assert worker.paces == []
        await submit(fleet, SERVING, serving_phases())
        await asyncio.sleep(0.3)
        assert filling_paces(worker) == [30, 30]

    play(script, pools=(POOL,), workers=1)


def test_runs_of_other_deployments_get_no_order_of_a_pace(play):
    """Fails if work without a serving run beside it, or without a limit, is paced."""

    async def script(fleet: JobFleet) -> None:
        fleet.run_ms = 3_000
        await submit(fleet, SERVING, serving_phases(tail_limit_ms=0))
        await submit(fleet, FILLING, filling_phases(2))
        fleet.kill_entry(owner_of(fleet))
        await fleet.wait_for_state(POOL, FILLING, "completed")
        assert only_worker(fleet).paces == []

    play(script, pools=(POOL,), workers=1)
