"""What the time of a process goes into."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from cornelturn.clock import MILLISECONDS_PER_SECOND
from cornelturn.events.job_metrics import JobMetrics
from cornelturn.events.log import log_event, writing_s
from cornelturn.events.timed_loop import idle_s
from cornelturn.events.work_times import WorkTimes

TOLD_INTERVAL_S = 1.0
"""Interval at which a process tells where its time goes."""


class ProcessPart(StrEnum):
    """Parts of the work of an entry that schedules jobs."""

    HUB = "hub"
    KEEPER = "keeper"
    OPERATOR = "operator"
    TARGETS = "targets"
    FRONT = "front"
    READY = "ready"
    OWNER = "owner"
    MACHINES = "machines"


@dataclass(frozen=True, slots=True)
class Elapsed:
    """Seconds since some moment.

    Parameters
    ----------
    clock_s : float
        That have passed.
    idle_s : float
        In which the loop had nothing to do.
    log_s : float
        That the thread of the log took to write lines.
    """

    clock_s: float = field(default_factory=time.perf_counter)
    idle_s: float = field(default_factory=idle_s)
    log_s: float = field(default_factory=writing_s)

    def since(self, before: Elapsed) -> Elapsed:
        """Return what has passed since an earlier reading."""
        return Elapsed(
            self.clock_s - before.clock_s,
            self.idle_s - before.idle_s,
            self.log_s - before.log_s,
        )


async def tell_process_work(
    entry: str, times: WorkTimes, metrics: JobMetrics, duties: Callable[[], int]
) -> None:
    """Log and count for ever what the time of a process goes into.

    Parameters
    ----------
    times : WorkTimes
        Times of the parts, which begin anew with each line.
    duties : callable
        Returns how many duties the entry holds.
    """
    before = Elapsed()
    while True:
        await asyncio.sleep(TOLD_INTERVAL_S)
        now = Elapsed()
        passed = now.since(before)
        for name, part in times.parts.items():
            metrics.process_work.labels(name).inc(part.spent_s)
        metrics.process_work.labels("log").inc(passed.log_s)
        log_event(
            "process_work",
            entry=entry,
            duties=duties(),
            lag_ms=times.waited_ms,
            busy_ms=_to_ms(passed.clock_s - passed.idle_s),
            log_ms=_to_ms(passed.log_s),
            hub_ms=times.part(ProcessPart.HUB).spent_ms(),
            keeper_ms=times.part(ProcessPart.KEEPER).spent_ms(),
            operator_ms=times.part(ProcessPart.OPERATOR).spent_ms(),
            targets_ms=times.part(ProcessPart.TARGETS).spent_ms(),
            front_ms=times.part(ProcessPart.FRONT).spent_ms(),
            ready_ms=times.part(ProcessPart.READY).spent_ms(),
            owner_ms=times.part(ProcessPart.OWNER).spent_ms(),
            machines_ms=times.part(ProcessPart.MACHINES).spent_ms(),
        )
        times.reset()
        before = now


def _to_ms(duration_s: float) -> int:
    return round(duration_s * MILLISECONDS_PER_SECOND)
