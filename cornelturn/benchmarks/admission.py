"""What callers get with each rule of admission, and the time of a decision.

Run ``python -m cornelturn.benchmarks.admission``.
"""

from __future__ import annotations

import argparse
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from functools import partial

from absl import logging

from cornelturn.admission.backlog import BacklogRow, NeedRate, PoolBacklog
from cornelturn.admission.controller import (
    Admission,
    Admitted,
    Decision,
    Rejected,
)
from cornelturn.admission.estimate import Prospect
from cornelturn.jobs.model import JobSpec, Resources, Step
from cornelturn.model.organisations import Organisation
from cornelturn.peering.messages import PoolCounts
from cornelturn.tests.admission_load import (
    Decide,
    accept_all,
    by_admission,
    typical_load,
)
from cornelturn.tests.overload import QUEUE, Caller

SEEDS = (1, 2)
QUEUE_LIMIT_MS = 3_000
"""Time in which a pool serves all that waits at the limit of the rule that has one."""

DECISIONS = 2_000


@dataclass(frozen=True, slots=True)
class Case:
    """A load relative to the capacity of the pool, and a burst in it."""

    utilisation: float
    burst: tuple[float, float, float] = (0.0, 0.0, 1.0)


CASES = {
    "calm": Case(0.6),
    "burst": Case(0.6, (10_000.0, 16_000.0, 5.0)),
    "capacity": Case(1.0),
    "double": Case(2.0),
}


def by_objective(admission: Admission, caller: Caller, now_ms: int) -> Decision:
    """Refuse what is expected to be late."""
    assessment = admission.assess(caller.spec, QUEUE, now_ms)
    if assessment is None or assessment.expected.prospect is Prospect.ON_TIME:
        return Admitted()
    return admission.reject(caller.spec.pool, assessment, now_ms)


def by_queue_limit(admission: Admission, caller: Caller, now_ms: int) -> Decision:
    """Refuse while more waits than the pool serves in some time."""
    known = admission.pools.get("pool")
    if known is None or not known.is_recent(now_ms):
        return Admitted()
    waiting = sum(row.work for row in known.rows())
    assessment = admission.assess(caller.spec, QUEUE, now_ms)
    if assessment is None or waiting <= known.backlog.rate * QUEUE_LIMIT_MS:
        return Admitted()
    return admission.reject(caller.spec.pool, assessment, now_ms)


RULES: dict[str, Decide] = {
    "none": accept_all,
    "late objective": by_admission,
    "objective": by_objective,
    "queue limit": by_queue_limit,
}


@dataclass(frozen=True, slots=True)
class Played:
    """Results of one load."""

    results: Counter[str]
    mean_utility: float
    on_time: set[str]
    refused: set[str]
    delays_ms: list[int]


def play(rule: str, case: str, seed: int) -> Played:
    """Play one load."""
    logging.set_verbosity(logging.ERROR)
    load = CASES[case]
    played = typical_load(load.utilisation, seed, RULES[rule], load.burst)
    delays = [delay for tries in played.tries.values() for delay in tries.delays_ms]
    return Played(
        played.results(),
        played.mean_utility(),
        played.on_time_jobs(),
        played.refused(),
        sorted(delays),
    )


def report_loads(processes: int) -> None:
    """Play all loads and print what callers got."""
    with ProcessPoolExecutor(processes) as pool:
        futures = {
            (rule, case, seed): pool.submit(partial(play, rule, case, seed))
            for case in CASES
            for rule in RULES
            for seed in SEEDS
        }
        played = {key: future.result() for key, future in futures.items()}
    for case in CASES:
        for rule in RULES:
            runs = [played[rule, case, seed] for seed in SEEDS]
            base = [played["none", case, seed] for seed in SEEDS]
            total = sum((run.results for run in runs), Counter())
            wrong = sum(
                len(run.refused & other.on_time)
                for run, other in zip(runs, base, strict=True)
            )
            delays = sorted(delay for run in runs for delay in run.delays_ms)
            utility = sum(run.mean_utility for run in runs) / len(runs)
            print(
                f"{case:9} {rule:15} mean_utility={utility:.3f}"
                f" jobs={total['jobs']} on_time={total['on_time']}"
                f" late={total['late']} refused={total['refused_jobs']}"
                f" refusals={total['refusals']} stored={total['stored']}"
                f" refused_but_on_time_without={wrong}"
                f" retry_ms={delays[len(delays) // 2] if delays else '-'}"
            )


def report_decision_time(organisations: int = 240, rows: int = 250) -> None:
    """Print the time of a decision behind the longest report."""
    configured = tuple(Organisation(f"o{number}") for number in range(organisations))
    admission = Admission()
    admission.update_organisations(configured)
    waiting = tuple(
        BacklogRow(0, 1, 1, f"o{number % organisations}", 12, number % 8, 100_000_000)
        for number in range(rows)
    )
    backlog = PoolBacklog(waiting, 1_000_000, (NeedRate(4, 500_000),), 0, 1_200_000)
    admission.update(PoolCounts("pool", 1, (), backlog), 0)
    steps = (Step(8, Resources(8_000), 1_000), Step(8, Resources(8_000), 1_000))
    spec = JobSpec("0" * 16, QUEUE.name, "pool", "", steps, organisation="o1")
    outcome = admission.decide(spec, QUEUE, 1)
    start_s = time.perf_counter()
    for _ in range(DECISIONS):
        admission.decide(spec, QUEUE, 1)
    spent_us = (time.perf_counter() - start_s) / DECISIONS * 1e6
    print(f"decision rows={rows} {spent_us:.0f} us, refused={outcome != Admitted()}")
    assert isinstance(outcome, Rejected)


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--processes", type=int, default=2)
    arguments = parser.parse_args()
    report_decision_time()
    report_loads(arguments.processes)
