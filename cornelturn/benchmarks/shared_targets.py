"""Measures what filling work beside serving work costs the owner of a pool.

Run ``python -m cornelturn.benchmarks.shared_targets``. Each of 307 targets has a
serving run; filling tasks of five images start and are paced, and all orders are
answered.
"""

from __future__ import annotations

import random
import sys
import time

from cornelturn.benchmarks.schedulers import TARGETS, add_job, new_scheduler
from cornelturn.jobs.model import Resources, Step
from cornelturn.model.routes import JobQueue
from cornelturn.scheduling.pool import PoolScheduler
from cornelturn.targets.model import ActiveRun, Executed, TargetLife, TargetReport

FILLING_TASKS = 4 * TARGETS
MAX_STARTS = 128
REPORT_MS = 400
QUEUE = JobQueue("mixed", "host", "/mixed/", "pool", slack_ms=60_000)


def timed_plan(scheduler: PoolScheduler, now_ms: int) -> tuple[float, int]:
    """Carry out a plan; return its processor time in ms and its number of orders."""
    started_s = time.process_time()
    orders = scheduler.plan(now_ms, MAX_STARTS)
    took_ms = (time.process_time() - started_s) * 1e3
    for item in orders:
        scheduler.handle_order_result(item.life, item.order, Executed(), now_ms)
    return took_ms, len(orders)


def report(
    scheduler: PoolScheduler, life: TargetLife, now_ms: int, rng: random.Random
) -> None:
    """Report all runs of a target, with loads around half of the limit."""
    runs = scheduler.targets[life].runs
    active = tuple(
        ActiveRun(run, "", 100, round(100 * rng.lognormvariate(0, 0.1))) for run in runs
    )
    report = TargetReport(life, now_ms, active, ())
    scheduler.handle_report(report, now_ms, now_ms)


def main() -> int:
    """Print the times of plans."""
    rng = random.Random(1)
    scheduler = new_scheduler()
    serving = Resources(2_000, 10)
    step = Step(TARGETS, serving, is_lasting=True, image="web", tail_limit_ms=200)
    add_job(scheduler, QUEUE, 1, step)
    while timed_plan(scheduler, 1)[1]:
        pass
    filling = Resources(1_000, 10)
    for number in range(5):
        image, count = f"fill-{number}", FILLING_TASKS // 5
        step = Step(count, filling, 60_000, image=image, is_filling=True)
        add_job(scheduler, QUEUE, 2 + number, step)
    starting = []
    while (timed := timed_plan(scheduler, 2))[1]:
        starting.append(timed[0])
    idle, paced = [], []
    lives = list(scheduler.targets)
    for now_ms in range(100, 10_000, 10):
        due = lives[now_ms // 10 % 40 :: 40]
        for life in due:
            report(scheduler, life, now_ms, rng)
        paced.append(timed_plan(scheduler, now_ms)[0])
        idle.append(timed_plan(scheduler, now_ms)[0])
    used = len(scheduler.neighbours.filling)
    print(f"{FILLING_TASKS} filling tasks on {used} of {TARGETS} targets")
    print(f"plan of {MAX_STARTS} starts: longest {max(starting):.1f} ms")
    mean_ms = sum(paced) / len(paced)
    print(
        f"plan with {len(due)} reports: {mean_ms:.2f} ms, longest {max(paced):.1f} ms"
    )
    print(f"plan without news: {1e3 * sum(idle) / len(idle):.0f} us")
    return 0


if __name__ == "__main__":
    sys.exit(main())
