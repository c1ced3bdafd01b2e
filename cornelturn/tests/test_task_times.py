"""Time that tasks hold a loop, by the part of the work that started them."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

import pytest

from cornelturn.clock import ManualTime, to_seconds
from cornelturn.events.job_metrics import JobMetrics
from cornelturn.events.process_work import ProcessPart, tell_process_work
from cornelturn.events.task_times import attributed_to, current_part
from cornelturn.events.timed_loop import TimedLoop
from cornelturn.events.work_times import WorkTimes

HELD_S = 0.02
HELD_MS = 20


@pytest.fixture
def times() -> WorkTimes:
    """Return times without anything spent."""
    return WorkTimes()


@pytest.fixture
def run_timed() -> Callable[[Any], Any]:
    """Return a function that runs work on a loop with timed tasks."""

    def run(work: Any) -> Any:
        with asyncio.Runner(loop_factory=TimedLoop) as runner:
            return runner.run(work)

    return run


@pytest.fixture
def manual_hold(
    manual_time: ManualTime, monkeypatch: pytest.MonkeyPatch
) -> Callable[[], Any]:
    """Return work that holds the loop twice by a clock that it moves itself."""
    monkeypatch.setattr(time, "perf_counter", lambda: to_seconds(manual_time.ns / 1e6))

    async def hold_manually() -> str:
        manual_time.advance_ms(HELD_MS)
        await asyncio.sleep(HELD_S)
        manual_time.advance_ms(HELD_MS)
        return "held"

    return hold_manually


async def hold() -> str:
    """Hold the loop twice, with a pause between."""
    time.sleep(HELD_S)
    await asyncio.sleep(HELD_S)
    time.sleep(HELD_S)
    return "held"


def test_steps_of_a_task_count_and_its_waits_do_not(times, run_timed, manual_hold):
    async def work() -> str:
        with attributed_to(times.part("hub")):
            task = asyncio.create_task(manual_hold())
        return await task

    assert run_timed(work()) == "held"
    assert times.part("hub").spent_s == pytest.approx(2 * HELD_S)


def test_tasks_that_a_task_starts_count_for_its_part(times, run_timed, manual_hold):
    async def parent() -> None:
        await asyncio.create_task(manual_hold())

    async def work() -> None:
        with attributed_to(times.part("hub")):
            task = asyncio.create_task(parent())
        await task
        await asyncio.create_task(manual_hold())

    run_timed(work())
    assert times.part("hub").spent_s == pytest.approx(2 * HELD_S)


def test_callback_counts_for_the_part_that_registered_it(times, run_timed):
    def called() -> None:
        with current_part():
            time.sleep(HELD_S)

    async def work() -> None:
        with attributed_to(times.part("hub")):
            asyncio.get_running_loop().call_soon(called)
        await asyncio.sleep(0.01)

    run_timed(work())
    assert times.part("hub").spent_ms() >= HELD_MS


def test_timed_task_can_be_cancelled_and_clean_up(times, run_timed):
    ended: list[str] = []

    async def waiting() -> None:
        try:
            await asyncio.sleep(10)
        except asyncio.CancelledError:
            await asyncio.sleep(0)
            ended.append("cleaned")
            raise

    async def work() -> asyncio.Task[None]:
        with attributed_to(times.part("hub")):
            task = asyncio.create_task(waiting())
        await asyncio.sleep(0.01)
        task.cancel()
        await asyncio.wait({task})
        return task

    assert run_timed(work()).cancelled()
    assert ended == ["cleaned"]


def test_error_of_a_timed_task_reaches_the_one_who_waits(times, run_timed):
    async def fail() -> None:
        await asyncio.sleep(0)
        raise ValueError("broken")

    async def work() -> None:
        with attributed_to(times.part("hub")):
            task = asyncio.create_task(fail())
        with pytest.raises(ValueError, match="broken"):
            await task

    run_timed(work())


def test_process_tells_its_parts_each_second(times, run_timed, events):
    metrics = JobMetrics()

    async def work() -> None:
        telling = asyncio.create_task(
            tell_process_work("entry-1", times, metrics, lambda: 3)
        )
        with attributed_to(times.part(ProcessPart.KEEPER)):
            task = asyncio.create_task(hold())
        await task
        await asyncio.sleep(1.1)
        telling.cancel()

    run_timed(work())
    (line,) = [one for one in events.messages if "event=process_work" in one]
    fields = dict(pair.split("=") for pair in line.split())
    assert fields["entry"] == "entry-1"
    assert fields["duties"] == "3"
    assert int(fields["keeper_ms"]) >= 2 * HELD_MS
    assert fields["hub_ms"] == "0"
    assert 2 * HELD_MS <= int(fields["busy_ms"]) < 1_000 - 2 * HELD_MS
    spent_s = metrics.registry.get_sample_value(
        "cornelturn_process_work_seconds_total", {"part": "keeper"}
    )
    assert spent_s >= 2 * HELD_S
