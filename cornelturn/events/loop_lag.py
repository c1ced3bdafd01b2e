"""Measures how late the timers of an event loop fire."""

from __future__ import annotations

import asyncio

from cornelturn.clock import Clock, to_seconds
from cornelturn.events.job_metrics import JobMetrics
from cornelturn.events.log import log_warning
from cornelturn.events.work_times import WorkTimes

SAMPLE_INTERVAL_MS = 100
"""Interval between two measurements."""

LAG_WARNING_MS = 250
"""Lag from which a warning is logged: a tenth of the time after which a peer counts as
silent."""


async def watch_loop_lag(
    entry: str, clock: Clock, metrics: JobMetrics, work_times: WorkTimes | None = None
) -> None:
    """Measure periodically how late timers fire, and log long delays; never returns.

    Parameters
    ----------
    work_times : WorkTimes or None
        Records the longest delay.
    """
    while True:
        due_ms = clock.now_ms() + SAMPLE_INTERVAL_MS
        await asyncio.sleep(to_seconds(SAMPLE_INTERVAL_MS))
        lag_ms = max(0, clock.now_ms() - due_ms)
        metrics.loop_lag.observe(to_seconds(lag_ms))
        if work_times is not None:
            work_times.record_wait(lag_ms)
        if lag_ms >= LAG_WARNING_MS:
            log_warning("loop_late", entry=entry, lag_ms=lag_ms)
