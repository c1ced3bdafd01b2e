"""The time that tasks occupy the loop counts for the part that started them."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

import pytest

from cornelturn.clock import ManualTime, to_seconds
from cornelturn.events.job_metrics import JobMetrics
from cornelturn.events.process_work import ProcessPart, report_process_work
from cornelturn.events.task_times import attributed_to, current_part
from cornelturn.events.timed_loop import TimedLoop
from cornelturn.events.work_times import WorkTimes

BLOCK_S = 0.02
BLOCK_MS = 20


@pytest.fixture
def times() -> WorkTimes:
    """Return work times without any time spent."""
    return WorkTimes()


@pytest.fixture
def run_timed() -> Callable[[Any], Any]:
    """Return a function that runs a coroutine on a loop with timed tasks."""

    def run(work: Any) -> Any:
        with asyncio.Runner(loop_factory=TimedLoop) as runner:
            return runner.run(work)

    return run


@pytest.fixture
def block_manually(
    manual_time: ManualTime, monkeypatch: pytest.MonkeyPatch
) -> Callable[[], Any]:
    """Return work that blocks the loop twice, by a clock that it advances itself."""
    monkeypatch.setattr(time, "perf_counter", lambda: to_seconds(manual_time.ns / 1e6))

    async def block() -> str:
        manual_time.advance_ms(BLOCK_MS)
        await asyncio.sleep(BLOCK_S)
        manual_time.advance_ms(BLOCK_MS)
        return "done"

    return block


async def block_loop() -> str:
    """Block the loop twice, with a pause between."""
    time.sleep(BLOCK_S)
    await asyncio.sleep(BLOCK_S)
    time.sleep(BLOCK_S)
    return "done"


def test_steps_of_a_task_count_and_its_waits_do_not(times, run_timed, block_manually):
    async def work() -> str:
        with attributed_to(times.part("hub")):
            task = asyncio.create_task(block_manually())
        return await task

    assert run_timed(work()) == "done"
    assert times.part("hub").spent_s == pytest.approx(2 * BLOCK_S)


def test_tasks_that_a_task_starts_count_for_its_part(times, run_timed, block_manually):
    async def parent() -> None:
        await asyncio.create_task(block_manually())

    async def work() -> None:
        with attributed_to(times.part("hub")):
            task = asyncio.create_task(parent())
        await task
        await asyncio.create_task(block_manually())

    run_timed(work())
    assert times.part("hub").spent_s == pytest.approx(2 * BLOCK_S)


def test_callback_counts_for_the_part_that_registered_it(times, run_timed):
    def callback() -> None:
        with current_part():
            time.sleep(BLOCK_S)

    async def work() -> None:
        with attributed_to(times.part("hub")):
            asyncio.get_running_loop().call_soon(callback)
        await asyncio.sleep(0.01)

    run_timed(work())
    assert times.part("hub").spent_ms() >= BLOCK_MS


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


def test_error_of_a_timed_task_reaches_its_awaiter(times, run_timed):
    async def fail() -> None:
        await asyncio.sleep(0)
        raise ValueError("broken")

    async def work() -> None:
        with attributed_to(times.part("hub")):
            task = asyncio.create_task(fail())
        with pytest.raises(ValueError, match="broken"):
            await task

    run_timed(work())


def test_process_logs_its_parts_each_second(times, run_timed, events):
    metrics = JobMetrics()

    async def work() -> None:
        report = asyncio.create_task(
            report_process_work("entry-1", times, metrics, lambda: 3)
        )
        with attributed_to(times.part(ProcessPart.KEEPER)):
            task = asyncio.create_task(block_loop())
        await task
        await asyncio.sleep(1.1)
        report.cancel()

    run_timed(work())
    (line,) = [
        message for message in events.messages if "event=process_work" in message
    ]
    fields = dict(pair.split("=") for pair in line.split())
    assert fields["entry"] == "entry-1"
    assert fields["duties"] == "3"
    assert int(fields["keeper_ms"]) >= 2 * BLOCK_MS
    assert fields["hub_ms"] == "0"
    assert 2 * BLOCK_MS <= int(fields["busy_ms"]) < 1_000 - 2 * BLOCK_MS
    spent_s = metrics.registry.get_sample_value(
        "cornelturn_process_work_seconds_total", {"part": "keeper"}
    )
    assert spent_s >= 2 * BLOCK_S
