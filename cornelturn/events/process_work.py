"""Reports how a process divides its time between the parts of its work."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from cornelturn.clock import MILLISECONDS_PER_SECOND
from cornelturn.events.job_metrics import JobMetrics
from cornelturn.events.log import log_event, log_write_s
from cornelturn.events.timed_loop import loop_idle_s
from cornelturn.events.work_times import WorkTimes

REPORT_INTERVAL_S = 1.0
"""Interval between two reports."""


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
class ProcessTimes:
    """Clock readings of a process, or the differences between two readings.

    Parameters
    ----------
    wall_s : float
        Wall-clock time in seconds.
    idle_s : float
        Time in seconds during which the event loop had nothing to do.
    log_s : float
        Time in seconds that the log thread spent on writing lines.
    """

    wall_s: float = field(default_factory=time.perf_counter)
    idle_s: float = field(default_factory=loop_idle_s)
    log_s: float = field(default_factory=log_write_s)

    def since(self, previous: ProcessTimes) -> ProcessTimes:
        """Return the differences from an earlier reading."""
        return ProcessTimes(
            self.wall_s - previous.wall_s,
            self.idle_s - previous.idle_s,
            self.log_s - previous.log_s,
        )


async def report_process_work(
    entry: str, work_times: WorkTimes, metrics: JobMetrics, duties: Callable[[], int]
) -> None:
    """Log and count how the process divides its time, at each interval; never returns.

    Parameters
    ----------
    work_times : WorkTimes
        Times of the parts, which are reset after each report.
    duties : callable
        Returns the number of duties that the entry holds.
    """
    previous = ProcessTimes()
    while True:
        await asyncio.sleep(REPORT_INTERVAL_S)
        current = ProcessTimes()
        elapsed = current.since(previous)
        for name, part in work_times.parts.items():
            metrics.process_work.labels(name).inc(part.spent_s)
        metrics.process_work.labels("log").inc(elapsed.log_s)
        log_event(
            "process_work",
            entry=entry,
            duties=duties(),
            lag_ms=work_times.longest_wait_ms,
            busy_ms=_to_ms(elapsed.wall_s - elapsed.idle_s),
            log_ms=_to_ms(elapsed.log_s),
            hub_ms=work_times.part(ProcessPart.HUB).spent_ms(),
            keeper_ms=work_times.part(ProcessPart.KEEPER).spent_ms(),
            operator_ms=work_times.part(ProcessPart.OPERATOR).spent_ms(),
            targets_ms=work_times.part(ProcessPart.TARGETS).spent_ms(),
            front_ms=work_times.part(ProcessPart.FRONT).spent_ms(),
            ready_ms=work_times.part(ProcessPart.READY).spent_ms(),
            owner_ms=work_times.part(ProcessPart.OWNER).spent_ms(),
            machines_ms=work_times.part(ProcessPart.MACHINES).spent_ms(),
        )
        work_times.reset()
        previous = current


def _to_ms(duration_s: float) -> int:
    return round(duration_s * MILLISECONDS_PER_SECOND)
