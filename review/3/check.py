"""A worker loses power and starts again under its id, while tasks are handed out."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from review.lib.deployment import Deployment, has_trouble, route, run

WORKERS = 8
JOBS = 120
INTERVAL_S = 0.05
TASK_S = 2.0
CRASH_AFTER_S = 2.5
DARK_S = 0.6


async def script(deployment: Deployment) -> list[str]:
    """Return the runs that broke TWICE."""
    await deployment.start_platform()
    deployment.configure([route(max_attempts=4)])
    for number in range(WORKERS):
        await deployment.add_worker(f"i-{number}", lambda task, run: TASK_S)
    await deployment.start_entries(3)
    await asyncio.sleep(4.0)
    trouble = asyncio.create_task(crash_and_restart(deployment))
    step = {"count": 1, "cpu": 500, "mem_mb": 256, "estimated_ms": 2000}
    jobs = [f"{number:016x}" for number in range(1, JOBS + 1)]
    posts = []
    for number, job in enumerate(jobs):
        entry = deployment.entries[number % 3]
        posts.append(asyncio.create_task(deployment.submit(job, [step], entry)))
        await asyncio.sleep(INTERVAL_S)
    if not all(await asyncio.gather(*posts)):
        raise RuntimeError("a job wasn't accepted")
    await trouble
    await asyncio.sleep(14.0)
    states = [await deployment.state(job, deployment.entries[0]) for job in jobs]
    history = deployment.history
    history.note(f"states: {states}")
    return [
        *(f"TWICE, at the same time: {text}" for text in history.together),
        *(f"TWICE, after its end: {text}" for text in history.starts_after_done()),
    ]


async def crash_and_restart(deployment: Deployment) -> None:
    """Take the power of the worker with the most runs, and start it again."""
    await asyncio.sleep(CRASH_AFTER_S)
    if not has_trouble():
        return
    worker = max(deployment.workers.values(), key=lambda worker: len(worker.runs))
    deployment.history.note(f"{worker.name} loses power with {len(worker.runs)} runs")
    worker.crash(is_dark=True)
    await asyncio.sleep(DARK_S)
    await deployment.restart_worker(worker)
    deployment.history.note(f"{worker.name} has started again")


if __name__ == "__main__":
    sys.exit(run(script, Path(__file__).with_name("record.txt")))
