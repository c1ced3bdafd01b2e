"""Measures what queues that need approval cost the owner of a pool.

Run ``python -m cornelturn.benchmarks.advice``. All jobs arrive at once; half of the
targets named are approved.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Callable

from cornelturn.advice.messages import ApprovalSettled, Approved
from cornelturn.benchmarks.schedulers import TARGETS, add_job, new_scheduler
from cornelturn.jobs.model import Resources, Step
from cornelturn.model.routes import ApprovalTimes, JobQueue
from cornelturn.scheduling.pool import PoolScheduler

TIMES = ApprovalTimes(100, 10, 60_000)
PLAIN = JobQueue("plain", "host", "/plain/", "pool", slack_ms=60_000)
APPROVED = JobQueue(
    "approved", "host", "/approved/", "pool", slack_ms=60_000, approval=TIMES
)


def scheduler_with_jobs(queue: JobQueue, jobs: int, cpu: int) -> PoolScheduler:
    """Return a scheduler of a pool whose jobs have just arrived."""
    scheduler = new_scheduler()
    for number in range(jobs):
        add_job(scheduler, queue, number, Step(4, Resources(cpu, 1), 300))
    return scheduler


def timed_us(work: Callable[[], object]) -> float:
    """Return the processor time of a call in microseconds."""
    started_s = time.process_time()
    work()
    return (time.process_time() - started_s) * 1e6


def measure_requests(jobs: int, cpu: int) -> tuple[int, float, float]:
    """Return the number of requests, and mean and longest time of plan and choice."""
    scheduler = scheduler_with_jobs(APPROVED, jobs, cpu)
    costs: list[float] = []
    count, now_ms = 0, 0
    while True:
        now_ms += 1
        started_s = time.process_time()
        scheduler.plan(now_ms)
        request = scheduler.approvals.next_request(now_ms)
        costs.append((time.process_time() - started_s) * 1e6)
        if request is None:
            return count, sum(costs) / len(costs), max(costs[1:])
        count += 1
        tickets = {life.name: "ticket" for life in request.lives[::2]}
        scheduler.approvals.settle(
            ApprovalSettled(request, Approved(tickets), now_ms), now_ms
        )


def measure_idle() -> float:
    """Return the time of all calls for approvals in a plan without such queues."""
    scheduler = scheduler_with_jobs(PLAIN, 500, 100)
    scheduler.plan(1)
    scheduler.plan(2)

    def work() -> None:
        for _ in range(10_000):
            scheduler.approvals.update_jobs()
            scheduler.approvals.add_tickets(2)
            scheduler.approvals.next_request(2)

    return timed_us(work) / 10_000


def main() -> None:
    """Print the costs."""
    print(f"Python {sys.version.split()[0]}, {TARGETS} targets")
    print(f"plan without such queues: {measure_idle():.2f} us")
    print("jobs  cpu  requests  mean us  longest us (after the first plan)")
    for jobs in (10, 100, 500):
        for cpu in (100, 8_000):
            count, mean_us, longest_us = measure_requests(jobs, cpu)
            print(f"{jobs:4d} {cpu:5d} {count:8d} {mean_us:8.0f} {longest_us:10.0f}")


if __name__ == "__main__":
    main()
