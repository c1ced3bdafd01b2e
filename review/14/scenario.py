"""A job that can never be done: many lasting tasks larger than any worker."""

from __future__ import annotations

from review.standins3.deployment import Deployment, job_name, phase
from review.standins3.scenario import run

JOBS_BEFORE, JOBS_AFTER = 10, 20
PAUSE_S = 0.3
STEPS, TASKS = 100, 10_000
HOPELESS_CPU = 1_000_000
"""Thousandths of a core that each task asks for; a worker has 8,000."""


async def scenario(deployment: Deployment, is_troubled: bool) -> list[str]:
    """Return the accepted jobs that are lost."""
    await deployment.start(entries=3, workers=4)
    await deployment.submit_usual(range(JOBS_BEFORE))
    # Without the disruption the same job asks for tasks that end by themselves.
    step = phase(count=TASKS, cpu=HOPELESS_CPU, long_running=is_troubled)
    deployment.record.add(
        f"a client hands in a job of {STEPS} steps with {TASKS} tasks each: {step}"
    )
    await deployment.submit(job_name(901), {"spec": "text", "phases": [step] * STEPS})
    await deployment.submit_usual(range(JOBS_BEFORE, JOBS_BEFORE + JOBS_AFTER), PAUSE_S)
    others = [job for job in deployment.accepted if job != job_name(901)]
    lost = await deployment.find_lost(others)
    deployment.record.add(f"loop_late: {deployment.note_log('loop_late')} times")
    for entry in deployment.entries.values():
        deployment.record.add(f"{entry.name}: {peak_memory(entry.process.pid)} kB")
    return [
        f"LOST: {job} was accepted, is {await deployment.state(job) or 'unknown'}, and "
        f"nothing of it ran for 3 s from finish_s on"
        for job in lost
    ]


def peak_memory(pid: int) -> str:
    """Return the peak of the resident memory of a process in kB."""
    with open(f"/proc/{pid}/status") as status:
        lines = dict(line.split(":", 1) for line in status)
    return lines["VmHWM"].split()[0]


if __name__ == "__main__":
    run(scenario, __file__)
