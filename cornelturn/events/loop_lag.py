"""How far the loop of a process falls behind its timers."""

from __future__ import annotations

import asyncio

from cornelturn.clock import Clock, to_seconds
from cornelturn.events.job_metrics import JobMetrics
from cornelturn.events.log import log_warning
from cornelturn.events.work_times import WorkTimes

SAMPLE_INTERVAL_MS = 100
"""Interval between two looks at the loop."""

LAG_WARNING_MS = 250
"""Lag from which on it is logged: a tenth of the time in which a peer counts as
silent."""


async def watch_loop_lag(
    entry: str, clock: Clock, metrics: JobMetrics, work_times: WorkTimes | None = None
) -> None:
    """Measure for ever how late timers fire; log each long delay.

    Parameters
    ----------
    work_times : WorkTimes or None
        Where the longest delay is noted.
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
