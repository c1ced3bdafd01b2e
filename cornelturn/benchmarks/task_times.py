"""Measures the overhead of timing tasks, per step and per task.

Run ``python -m cornelturn.benchmarks.task_times``.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from cornelturn.events.task_times import attributed_to
from cornelturn.events.timed_loop import TimedLoop
from cornelturn.events.work_times import WorkPart

NANOSECONDS_PER_MICROSECOND = 1_000
STEPS = 200_000
TASKS = 50_000
ROUNDS = 5


async def measure_steps_ns() -> int:
    """Return the processor time of `STEPS` steps of one task."""
    started_ns = time.process_time_ns()
    for _ in range(STEPS):
        await asyncio.sleep(0)
    return time.process_time_ns() - started_ns


async def measure_tasks_ns() -> int:
    """Return the processor time of `TASKS` tasks of one step each."""
    started_ns = time.process_time_ns()
    for _ in range(TASKS):
        await asyncio.create_task(asyncio.sleep(0))
    return time.process_time_ns() - started_ns


async def run_attributed(operation: Callable) -> int:
    """Run an operation in a task that is attributed to a part."""
    with attributed_to(WorkPart()):
        task = asyncio.create_task(operation())
    return await task


def measure_best_us(
    operation: Callable, count: int, loop: type[asyncio.SelectorEventLoop]
) -> float:
    """Return the microseconds per step or task, the minimum of `ROUNDS` rounds."""
    rounds_ns: list[int] = []
    for _ in range(ROUNDS):
        with asyncio.Runner(loop_factory=loop) as runner:
            rounds_ns.append(runner.run(run_attributed(operation)))
    return min(rounds_ns) / count / NANOSECONDS_PER_MICROSECOND


def main() -> None:
    """Print the processor time per step and per task, without and with timing."""
    for name, operation, count in (
        ("step", measure_steps_ns, STEPS),
        ("task", measure_tasks_ns, TASKS),
    ):
        untimed_us = measure_best_us(operation, count, asyncio.SelectorEventLoop)
        timed_us = measure_best_us(operation, count, TimedLoop)
        print(f"{name}: {untimed_us:.2f} us, timed {timed_us:.2f} us")


if __name__ == "__main__":
    main()
