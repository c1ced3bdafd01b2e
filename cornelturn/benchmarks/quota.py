"""Measures the broker of the quota, and a pool's decisions under a cap.

Run ``python -m cornelturn.benchmarks.quota``. Each pool has work of some organisations,
of which runs end and start all the time, so that reports change and allotments move.
"""

from __future__ import annotations

import random
import time
from dataclasses import dataclass, field
from statistics import median

from absl import logging

from cornelturn.benchmarks.pool_owner import QUEUE, make_driver
from cornelturn.jobs.model import JobSpec, Resources, Step
from cornelturn.jobs.progress import Progress
from cornelturn.jobs.rows import JobRow, job_key
from cornelturn.model.organisations import Organisation
from cornelturn.model.routes import RoutingTable
from cornelturn.peering.codec import Codec
from cornelturn.peering.quota_messages import (
    AllottedAmount,
    OrganisationUse,
    QuotaGrant,
    QuotaReport,
)
from cornelturn.quota.amounts import NOTHING, Amount
from cornelturn.quota.broker import PLAN_INTERVAL_MS
from cornelturn.quota.ledger import QuotaLedger
from cornelturn.scheduling.quota_reporting import REPORT_INTERVAL_MS

SEED = 20_261_206
POOLS = 114
ORGANISATIONS = 240
CAP = Resources(200_000, 800_000)
TASK = Amount(2_000, 4_000)
MEASURED_S = 10
POOLS_PER_PLAN = -(-POOLS * PLAN_INTERVAL_MS // REPORT_INTERVAL_MS)
TARGETS = 307
WAITING_JOBS = 500
OTHER_WAITING_JOBS = (50, 5_000)
DECISIONS = 300


@dataclass(slots=True)
class PoolModel:
    """The owner of a pool as its reports show it.

    Parameters
    ----------
    uses : dict
        Running and waiting tasks and the allotment of each organisation with work.
    """

    name: str
    uses: dict[str, OrganisationUse] = field(default_factory=dict)
    number: int = 0
    grant_number: int = 0

    def change(self, rng: random.Random) -> None:
        """End some runs, start others within the allotments, and add work."""
        for name, use in self.uses.items():
            running = use.running[0] // TASK.cpu
            running -= rng.randrange(running // 4 + 1)
            waiting = max(0, use.waiting[0] // TASK.cpu + rng.randrange(-8, 12))
            room = max(0, use.allotment[0] // TASK.cpu - running)
            starts = min(waiting, room)
            self.uses[name] = use._replace(
                running=TASK.times(running + starts),
                waiting=TASK.times(waiting - starts),
                unit=TASK if waiting > starts else NOTHING,
            )

    def report(self) -> QuotaReport:
        """Return the next report."""
        self.number += 1
        uses = tuple(self.uses.values())
        return QuotaReport(
            self.name, 1, 1, self.number, self.grant_number, 1, True, NOTHING, uses
        )

    def accept(self, grant: QuotaGrant) -> None:
        """Take up allotments."""
        self.grant_number = grant.number
        for name, amount in grant.allotments:
            use = self.uses.get(name) or OrganisationUse(name)
            self.uses[name] = use._replace(allotment=amount)


@dataclass(slots=True)
class Cost:
    """What the broker sent, received and computed."""

    reports: int = 0
    grants: int = 0
    received_bytes: int = 0
    sent_bytes: int = 0
    processor_s: float = 0.0
    longest_plan_ms: float = 0.0


def measure_broker(pools_per_organisation: int) -> Cost:
    """Return the cost of the broker in `MEASURED_S`, codec included."""
    rng = random.Random(SEED)
    names = [f"organisation-{number:03d}" for number in range(ORGANISATIONS)]
    pools = {
        f"pool-{number:03d}": PoolModel(f"pool-{number:03d}") for number in range(POOLS)
    }
    for name in names:
        for pool in rng.sample(sorted(pools), pools_per_organisation):
            waiting = TASK.times(rng.randrange(40))
            pools[pool].uses[name] = OrganisationUse(name, NOTHING, waiting, TASK)
    ledger = QuotaLedger(1)
    ledger.set_organisations(1, [Organisation(name, cap=CAP) for name in names])
    codec, cost = Codec("broker", 1, bytes(16)), Cost()
    rounds = MEASURED_S * 1_000 // REPORT_INTERVAL_MS
    for number in range(-5, rounds):
        if not number:
            cost = Cost()
        now_ms = (number + 10) * REPORT_INTERVAL_MS
        for pool in pools.values():
            pool.change(rng)
        # Reports arrive spread over the interval, with plans in between.
        waiting = list(pools.values())
        while waiting:
            batch, waiting = waiting[:POOLS_PER_PLAN], waiting[POOLS_PER_PLAN:]
            _take_batch(ledger, codec, cost, batch, pools, now_ms)
            now_ms += PLAN_INTERVAL_MS
    return cost


def _take_batch(
    ledger: QuotaLedger,
    codec: Codec,
    cost: Cost,
    batch: list[PoolModel],
    pools: dict[str, PoolModel],
    now_ms: int,
) -> None:
    """Let the broker take some reports, plan and send its grants."""
    frames = [codec.encode("broker", [pool.report()]) for pool in batch]
    started_s = time.process_time()
    for frame in frames:
        for message in codec.decode(frame).ok_value.messages:
            ledger.add_report(message, now_ms)
    if not ledger.is_open:
        ledger.set_pools(dict.fromkeys(pools, 1), now_ms)
    planned_s = time.process_time()
    grants = ledger.plan(now_ms)
    cost.longest_plan_ms = max(
        cost.longest_plan_ms, (time.process_time() - planned_s) * 1_000
    )
    sent = [codec.encode("owner", [grant]) for grant in grants]
    cost.processor_s += time.process_time() - started_s
    cost.reports += len(frames)
    cost.grants += len(grants)
    cost.received_bytes += sum(map(len, frames))
    cost.sent_bytes += sum(map(len, sent))
    for grant in grants:
        pools[grant.pool].accept(grant)


def measure_decisions(
    organisations: int, capped: bool, waiting_jobs: int = WAITING_JOBS
) -> tuple[float, float]:
    """Return the median and the longest time of a decision, in microseconds.

    A run of an organisation ends before each, and another one of it starts.
    """
    driver = make_driver(TARGETS)
    scheduler = driver.scheduler
    names = [f"organisation-{number:03d}" for number in range(organisations)]
    cap = Resources(20_000) if capped else Resources()
    table = RoutingTable(
        1, organisations=tuple(Organisation(name, cap=cap) for name in names)
    )
    scheduler.update_routing(table, 0)
    scheduler.quota.set_broker(1)
    amounts = tuple(AllottedAmount(name, Amount(20_000)) for name in names)
    scheduler.quota.accept(QuotaGrant("pool", 1, 1, 1, 1, amounts))
    for number in range(waiting_jobs):
        name = names[number % organisations]
        step = Step(200, Resources(1_000, 100), 1_000)
        spec = JobSpec(
            f"{number:016x}", QUEUE.name, "pool", "text", (step,), organisation=name
        )
        key = job_key(QUEUE.name, spec.id)
        scheduler.add_job(key, JobRow(spec, Progress()), 1, QUEUE, 0)
    scheduler.plan(0)
    times_us: list[float] = []
    rng = random.Random(SEED)
    for number in range(1, DECISIONS):
        view = rng.choice([view for view in scheduler.targets.values() if view.runs])
        scheduler.release_run(view, next(iter(view.runs)), number)
        started_ns = time.process_time_ns()
        scheduler.plan(number)
        times_us.append((time.process_time_ns() - started_ns) / 1_000)
    return median(times_us), max(times_us)


def main() -> None:
    """Print the costs."""
    logging.set_verbosity(logging.ERROR)
    print(f"{ORGANISATIONS} organisations with a cap, {POOLS} pools; a second:")
    for pools in (3, 10, 40):
        cost = measure_broker(pools)
        print(
            f"{pools:3d} pools each: {cost.reports / MEASURED_S:6.0f} reports"
            f" {cost.received_bytes / MEASURED_S / 1_000:8.1f} KB"
            f" {cost.grants / MEASURED_S:6.0f} grants"
            f" {cost.sent_bytes / MEASURED_S / 1_000:8.1f} KB"
            f" {cost.processor_s / MEASURED_S:7.4f} core"
            f"  longest plan {cost.longest_plan_ms:6.1f} ms"
        )
    for organisations in (1, 24, 240):
        for capped in (False, True):
            print_decisions(organisations, capped, WAITING_JOBS)
    for waiting_jobs in OTHER_WAITING_JOBS:
        print_decisions(1, True, waiting_jobs)


def print_decisions(organisations: int, capped: bool, waiting_jobs: int) -> None:
    """Print the time of a decision."""
    middle, longest = measure_decisions(organisations, capped, waiting_jobs)
    print(
        f"{waiting_jobs:4d} waiting jobs of {organisations:3d} organisations,"
        f" {'capped' if capped else 'no cap'}: decision"
        f" {middle:7.1f} us, longest {longest:8.1f} us"
    )


if __name__ == "__main__":
    main()
