"""Measures the cost of a decision beside slow targets, and that of a report.

Run ``python -m cornelturn.benchmarks.slow_targets``. Plans are those of `fair_order`
without organisations: a full pool in which tasks end before each plan. To compare with
former code, run `fair_order` there; its rows without organisations are the same loads.
"""

from __future__ import annotations

import sys
import time
from functools import partial
from itertools import islice

from cornelturn.benchmarks.fair_order import PLANS, Case, FullPool, measure_plans
from cornelturn.benchmarks.pool_owner import SEED
from cornelturn.events.log import configure_logging
from cornelturn.speed.estimates import SlowTarget
from cornelturn.targets.model import ActiveRun, TargetReport

REPORTS = 2_000
SLOW_COUNTS = (0, 1, 30, 100)
CASE = Case(0)
HELD_MS = 3_600_000
"""Half-life of the estimates, so that they stay for the whole measurement."""


def set_slow(pool: FullPool, count: int) -> None:
    """Let some targets count as slow from now on."""
    speeds = pool.scheduler.speeds
    for life in islice(pool.scheduler.targets, count):
        speeds.estimates.slow[life] = SlowTarget(0.4, 0.4, pool.now_ms, HELD_MS)


def measure_slow(count: int) -> tuple[float, float, float]:
    """Return the times and starts of plans beside some slow targets."""
    pool = FullPool(CASE)
    # Random runs end here, which would make targets slow at random.
    pool.scheduler.speeds.is_enabled = False
    return measure_plans(pool, partial(set_slow, pool, count))


def measure_reports(is_enabled: bool) -> float:
    """Return the time of a report that lists the runs of a full target."""
    pool = FullPool(CASE)
    pool.plan()
    pool.scheduler.speeds.is_enabled = is_enabled
    views = list(pool.scheduler.targets.values())
    spent_ns = 0
    for number in range(REPORTS):
        pool.now_ms += 1
        view = views[number % len(views)]
        percent = number // len(views) * 10 % 100
        active = tuple(ActiveRun(run, "", percent) for run in view.runs)
        report = TargetReport(view.life, pool.now_ms, active, ())
        started_ns = time.process_time_ns()
        pool.scheduler.handle_report(report, 0, pool.now_ms)
        spent_ns += time.process_time_ns() - started_ns
    return spent_ns / REPORTS / 1_000


def main() -> None:
    """Print the time of a start by the number of slow targets, and of a report."""
    configure_logging("error")
    print(f"seed {SEED}, Python {sys.version.split()[0]}, {PLANS} plans each, us")
    print("targets slow mean/start plan p99 starts/plan")
    for slow in SLOW_COUNTS:
        mean_us, p99_us, starts = measure_slow(slow)
        print(
            f"{CASE.targets:7d} {slow:4d} {mean_us:10.1f} {p99_us:8.1f} {starts:8.2f}"
        )
    for is_enabled in (False, True):
        part = "on" if is_enabled else "off"
        print(
            f"report of a full target, part {part}: {measure_reports(is_enabled):.1f}"
        )


if __name__ == "__main__":
    main()
