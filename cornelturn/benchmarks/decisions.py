"""Measures the dispatcher's throughput by number of targets and waiting tickets.

Run ``python -m cornelturn.benchmarks.decisions``.
"""

from __future__ import annotations

import random
import sys
import time
from collections import deque
from dataclasses import dataclass

from cornelturn.benchmarks.simulation import make_instances
from cornelturn.model.ticket import AttemptId, Report, ReportKind, Ticket
from cornelturn.model.work import Queue, WorkClass
from cornelturn.routing.decisions import Decision, GrantDecision
from cornelturn.routing.dispatcher import PoolDispatcher

SEED = 20_261_204
MEASURED_TICKETS = 20_000
MEMBER_COUNT = 240
LONG_DEADLINE_MS = 86_400_000
RUN_MS = 300
DESIGN_WORKERS = 35_000
DESIGN_POOLS = 114
QUEUES = (
    Queue("lookup", "pool", WorkClass.URGENT, True, 0.4, LONG_DEADLINE_MS, RUN_MS),
    Queue("recheck", "pool", WorkClass.STANDARD, True, 0.2, LONG_DEADLINE_MS, RUN_MS),
    Queue("collection", "pool", WorkClass.LONG, False, 0.4, LONG_DEADLINE_MS, RUN_MS),
)


@dataclass(slots=True)
class Driver:
    """Sends tickets and reports to a dispatcher, which keep it full with a backlog."""

    dispatcher: PoolDispatcher
    rng: random.Random
    sequence: int = 0
    now_ms: int = 0

    def offer(self) -> list[Decision]:
        """Offer a ticket of a random queue and member."""
        self.sequence += 1
        queue = QUEUES[self.sequence % len(QUEUES)].name
        ticket = Ticket(
            AttemptId("entry-1", 1, self.sequence),
            str(self.sequence),
            queue,
            f"member-{self.rng.randrange(MEMBER_COUNT)}",
            LONG_DEADLINE_MS,
        )
        return self.dispatcher.add_ticket("entry-1", ticket, self.now_ms)

    def report(self, granted: GrantDecision) -> list[Decision]:
        """Report a grant as completed."""
        grant = granted.grant
        report = Report(
            grant.attempt, grant.pool, grant.target, ReportKind.COMPLETED, RUN_MS
        )
        return self.dispatcher.handle_report(report, self.now_ms)


def measure(targets: int, backlog: int) -> float:
    """Return the processor time per ticket, from offer to report, in microseconds."""
    rng = random.Random(SEED)
    dispatcher = PoolDispatcher("pool", rng)
    dispatcher.set_queues(QUEUES)
    dispatcher.set_instances(make_instances("pool", targets), set(), 0)
    driver = Driver(dispatcher, rng)
    running: deque[GrantDecision] = deque()
    while dispatcher.targets.total_open_slots:
        running.extend(driver.offer())
    for _ in range(backlog):
        driver.offer()
    started_s = time.process_time()
    for _ in range(MEASURED_TICKETS):
        driver.offer()
        running.extend(driver.report(running.popleft()))
    return (time.process_time() - started_s) / MEASURED_TICKETS * 1e6


def main() -> None:
    """Print the processor time per ticket and the tickets per second."""
    print(f"seed {SEED}, Python {sys.version.split()[0]}, {MEMBER_COUNT} members")
    print("targets  slots  waiting  us for a ticket  tickets a second")
    targets_per_pool = round(DESIGN_WORKERS / DESIGN_POOLS)
    for targets in (6, 60, targets_per_pool, targets_per_pool * 10):
        for backlog in (0, 1_000, 10_000):
            cost_us = measure(targets, backlog)
            print(
                f"{targets:7d} {targets * 8:6d} {backlog:8d} {cost_us:16.1f} "
                f"{1e6 / cost_us:17.0f}"
            )


if __name__ == "__main__":
    main()
