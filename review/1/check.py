"""Many short tasks end while the platform's store refuses calls for a while."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from review.lib.deployment import Deployment, has_trouble, route, run

WORKERS = 2
JOBS = 24
TASKS = 100
TASK_S = 0.6
OUTAGE_AFTER_S = 1.0
OUTAGE_S = 4.2
"""The length of the outage of the whole store in the site's days."""

REST_S = 14.0
"""Time in which all jobs could be done several times."""


async def script(deployment: Deployment) -> list[str]:
    """Return the starts that broke TWICE."""
    await deployment.start_platform()
    deployment.configure([route(max_attempts=4)])
    for number in range(WORKERS):
        await deployment.add_worker(f"i-{number}", lambda task, run: TASK_S)
    await deployment.start_entries(3)
    await asyncio.sleep(4.0)
    step = {"count": TASKS, "cpu": 500, "mem_mb": 256, "estimated_ms": 600}
    jobs = [f"{number:016x}" for number in range(1, JOBS + 1)]
    accepted = await asyncio.gather(
        *(
            deployment.submit(job, [step], deployment.entries[number % 3])
            for number, job in enumerate(jobs)
        )
    )
    if not all(accepted):
        raise RuntimeError("a job wasn't accepted")
    await asyncio.sleep(OUTAGE_AFTER_S)
    if has_trouble():
        deployment.store.is_busy = True
        deployment.history.note("the store answers 503 from now on")
        await asyncio.sleep(OUTAGE_S)
        deployment.store.is_busy = False
        deployment.history.note("the store serves again")
    await asyncio.sleep(REST_S)
    states = [await deployment.state(job, deployment.entries[0]) for job in jobs]
    for worker in deployment.workers.values():
        deployment.history.note(f"{worker.name}: {worker.most_ends} ends at most")
    deployment.history.note(f"states: {states}")
    history = deployment.history
    deployment.history.note(f"{len(history.starts)} starts of {JOBS * TASKS} tasks")
    return [
        *(f"TWICE, after its end: {text}" for text in history.starts_after_done()),
        *(f"TWICE, at the same time: {text}" for text in history.together),
    ]


if __name__ == "__main__":
    sys.exit(run(script, Path(__file__).with_name("record.txt")))
