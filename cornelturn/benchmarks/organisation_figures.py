"""Measures the figures that operators are shown of organisations.

Run ``python -m cornelturn.benchmarks.organisation_figures``. Prints bytes and time of
one report of a pool's owner, of the confirmed caps, and of the rows over all pools.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from statistics import median

import msgspec

from cornelturn.http.organisation_views import organisations_body
from cornelturn.jobs.model import JobSpec, Resources, Step
from cornelturn.jobs.progress import Progress
from cornelturn.jobs.rows import JobRow, job_key
from cornelturn.model.organisations import Organisation
from cornelturn.model.routes import JobPool, JobQueue, RoutingTable
from cornelturn.organisation_view.known import LATE_MS, KnownFigures
from cornelturn.organisation_view.rows import view_organisations
from cornelturn.organisation_view.shown import ShownView
from cornelturn.peering.messages import PoolCounts
from cornelturn.peering.organisation_messages import CapsConfirmed, ConfirmedCap
from cornelturn.peering.quota_messages import QuotaReport
from cornelturn.quota.amounts import NOTHING, amount_of
from cornelturn.quota.confirmation import CapConfirmations, Confirmation
from cornelturn.scheduling.organisation_reporting import (
    FIGURES_INTERVAL_MS,
    OrganisationReporter,
)
from cornelturn.scheduling.pool import PoolScheduler

ORGANISATIONS = 240
POOLS = 114
REPEATS = 50
QUEUE = JobQueue("lookups", "host", "/lookups/", "pool")
NAMES = tuple(f"organisation-{number:03}" for number in range(ORGANISATIONS))
TABLE = RoutingTable(
    1,
    (QUEUE,),
    tuple(JobPool(f"pool-{number:03}") for number in range(POOLS)),
    organisations=tuple(
        Organisation(name, 1.0 + number % 3, Resources(200_000, 800_000))
        for number, name in enumerate(NAMES)
    ),
)


def make_scheduler(organisations: int) -> PoolScheduler:
    """Return the scheduler of a pool in which some organisations run and wait."""
    scheduler = PoolScheduler("pool", 1)
    scheduler.update_routing(TABLE, 0)
    step = Step(20, Resources(2_000, 4_000), 60_000)
    for number, name in enumerate(NAMES[:organisations]):
        spec = JobSpec(
            f"{number:016x}", QUEUE.name, "pool", "text", (step,), organisation=name
        )
        row = JobRow(spec, Progress())
        scheduler.add_job(job_key(QUEUE.name, spec.id), row, 1, QUEUE, 0)
        for _ in range(7):
            scheduler.usage.add(name, step.need)
        scheduler.waiting_steps.refused.counts[name] = 12_345
    scheduler.update_demand()
    return scheduler


def median_us(work: Callable[[], object]) -> float:
    """Return the median time of some work in microseconds."""
    times: list[float] = []
    for _ in range(REPEATS):
        started_s = time.process_time()
        work()
        times.append(time.process_time() - started_s)
    return median(times) * 1_000_000


def measure_report(organisations: int) -> PoolCounts:
    """Print what one report costs its owner and each receiver, and return it."""
    reporter = OrganisationReporter(make_scheduler(organisations))
    now_ms = 0

    def report() -> PoolCounts:
        nonlocal now_ms
        now_ms += FIGURES_INTERVAL_MS
        return PoolCounts("pool", 1, (), None, reporter.report_due(now_ms))

    message = report()
    encoded = msgspec.msgpack.encode(message)
    without = msgspec.msgpack.encode(PoolCounts("pool", 1, ()))
    print(
        f"{organisations} organisations: {len(encoded) - len(without)} bytes, "
        f"collect {median_us(report):.0f} us, "
        f"encode {median_us(lambda: msgspec.msgpack.encode(message)):.0f} us, "
        f"decode {median_us(lambda: _decode(encoded)):.0f} us"
    )
    return message


def _decode(encoded: bytes) -> PoolCounts:
    return msgspec.msgpack.decode(encoded, type=PoolCounts)


def measure_rows(report: PoolCounts) -> None:
    """Print what one answer costs when all pools have all organisations."""
    known = KnownFigures()
    for pool in TABLE.pools:
        known.add_pool(replace(report, pool=pool.name), 0)

    def body(now_ms: int) -> bytes:
        view = view_organisations(known, TABLE, now_ms)
        shown = ShownView("entry", view, now_ms, 0)
        return msgspec.json.encode(organisations_body(shown))

    for name, now_ms in (("told", 0), ("missing", LATE_MS)):
        took_ms = median_us(partial(body, now_ms)) / 1_000
        size = len(body(now_ms))
        print(f"answer, all of {POOLS} pools {name}: {size} bytes, {took_ms:.1f} ms")


def measure_confirmed() -> None:
    """Print what the confirmation of all caps at once costs the broker."""
    caps = {item.name: amount_of(item.cap) for item in TABLE.organisations}
    generations = {pool.name: 1 for pool in TABLE.pools}
    confirmations = CapConfirmations()

    def confirm() -> list[Confirmation]:
        confirmations.set_caps(1, {})
        confirmations.set_caps(1, caps)
        return confirmations.confirm(generations, 0)

    for pool in generations:
        report = QuotaReport(pool, 1, 1, 1, 0, 1, True, NOTHING, ())
        confirmations.note_report(report, 0)
    confirm_us = median_us(confirm)
    message = CapsConfirmed(
        1, tuple(ConfirmedCap(name, cap, 1, 250, 60_000) for name, cap in caps.items())
    )
    encoded = msgspec.msgpack.encode(message)
    print(
        f"{len(confirm())} confirmed caps: {len(encoded)} bytes, "
        f"confirm {confirm_us:.0f} us, "
        f"encode {median_us(lambda: msgspec.msgpack.encode(message)):.0f} us, "
        f"decode {median_us(lambda: _decode_caps(encoded)):.0f} us"
    )


def _decode_caps(encoded: bytes) -> CapsConfirmed:
    return msgspec.msgpack.decode(encoded, type=CapsConfirmed)


def main() -> None:
    """Measure and print."""
    measure_confirmed()
    measure_report(20)
    measure_rows(measure_report(ORGANISATIONS))


if __name__ == "__main__":
    main()
