"""Processor time that the timing of tasks adds to a step and to a task.

Run ``python -m cornelturn.benchmarks.task_times``.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from cornelturn.events.task_times import attributed_to
from cornelturn.events.timed_loop import TimedLoop
from cornelturn.events.work_times import WorkPart

NANOSECONDS_A_MICROSECOND = 1_000
STEPS = 200_000
TASKS = 50_000
ROUNDS = 5


async def take_steps() -> int:
    """Return the nanoseconds that the steps of one task take."""
    started_ns = time.process_time_ns()
    for _ in range(STEPS):
        await asyncio.sleep(0)
    return time.process_time_ns() - started_ns


async def start_tasks() -> int:
    """Return the nanoseconds that tasks of one step take."""
    started_ns = time.process_time_ns()
    for _ in range(TASKS):
        await asyncio.create_task(asyncio.sleep(0))
    return time.process_time_ns() - started_ns


async def in_part(work: Callable) -> int:
    """Run work in a task that counts for a part."""
    with attributed_to(WorkPart()):
        task = asyncio.create_task(work())
    return await task


def best_us(work: Callable, count: int, loop: type[asyncio.SelectorEventLoop]) -> float:
    """Return the least microseconds a piece of some rounds."""
    found: list[int] = []
    for _ in range(ROUNDS):
        with asyncio.Runner(loop_factory=loop) as runner:
            found.append(runner.run(in_part(work)))
    return min(found) / count / NANOSECONDS_A_MICROSECOND


def main() -> None:
    """Print both costs without and with the timing."""
    for name, work, count in (
        ("step", take_steps, STEPS),
        ("task", start_tasks, TASKS),
    ):
        plain_us = best_us(work, count, asyncio.SelectorEventLoop)
        timed_us = best_us(work, count, TimedLoop)
        print(f"{name}: {plain_us:.2f} us, timed {timed_us:.2f} us")


if __name__ == "__main__":
    main()
