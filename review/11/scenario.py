"""A job that can never be done among others: filling tasks larger than any worker."""

from __future__ import annotations

from review.standins3.deployment import Deployment, job_name, phase
from review.standins3.scenario import run

JOBS_BEFORE, JOBS_AFTER = 10, 20
PAUSE_S = 0.3
HOPELESS_CPU, USUAL_CPU = 8_000_000, 2_000
"""Thousandths of a core that a filling task asks for."""


async def scenario(deployment: Deployment, is_troubled: bool) -> list[str]:
    """Return the accepted jobs that are lost."""
    await deployment.start(entries=3, workers=4)
    serving = phase(count=4, long_running=True, image="web", target_ms=200)
    await deployment.submit(job_name(900), {"spec": "text", "phases": [serving]})
    await deployment.submit_usual(range(JOBS_BEFORE))
    cpu = HOPELESS_CPU if is_troubled else USUAL_CPU
    filling = phase(count=1, cpu=cpu, fill_count=True, image="batch")
    deployment.record.add(f"a client hands in a job with a filling task of cpu {cpu}")
    await deployment.submit(job_name(901), {"spec": "text", "phases": [filling]})
    await deployment.submit_usual(range(JOBS_BEFORE, JOBS_BEFORE + JOBS_AFTER), PAUSE_S)
    others = [job for job in deployment.accepted if job != job_name(901)]
    lost = await deployment.find_lost(others)
    deployment.record.add(f"owner_failed: {deployment.note_log('owner_failed')} times")
    return [
        f"LOST: {job} was accepted, is {await deployment.state(job) or 'unknown'}, and "
        f"nothing of it ran for 3 s from finish_s on"
        for job in lost
    ]


if __name__ == "__main__":
    run(scenario, __file__)
