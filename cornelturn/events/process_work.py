"""What the processor time of a process goes into."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from cornelturn.clock import MILLISECONDS_PER_SECOND
from cornelturn.events.job_metrics import JobMetrics
from cornelturn.events.log import log_event, writer_cpu_s
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


@dataclass(slots=True)
class ProcessorTimes:
    """Seconds of processor time since the process started.

    Parameters
    ----------
    process_s : float
        Of all threads.
    loop_s : float
        Of the thread of the loop.
    writer_s : float
        Of the thread that writes the log.
    """

    process_s: float = field(default_factory=time.process_time)
    loop_s: float = field(default_factory=time.thread_time)
    writer_s: float = field(default_factory=writer_cpu_s)


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
    before = ProcessorTimes()
    while True:
        await asyncio.sleep(TOLD_INTERVAL_S)
        now = ProcessorTimes()
        for name, part in times.parts.items():
            metrics.process_work.labels(name).inc(part.spent_s)
        metrics.process_work.labels("log").inc(now.writer_s - before.writer_s)
        log_event(
            "process_work",
            entry=entry,
            duties=duties(),
            lag_ms=times.waited_ms,
            cpu_ms=_elapsed_ms(before.process_s, now.process_s),
            loop_ms=_elapsed_ms(before.loop_s, now.loop_s),
            log_ms=_elapsed_ms(before.writer_s, now.writer_s),
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


def _elapsed_ms(before_s: float, now_s: float) -> int:
    return round((now_s - before_s) * MILLISECONDS_PER_SECOND)
