"""Periodic reports of an entry on itself: loop lag and working time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cornelturn.events.loop_lag import watch_loop_lag
from cornelturn.events.process_work import ProcessPart, report_process_work

if TYPE_CHECKING:
    from cornelturn.entry.job_process import JobEntry


def start_reports(entry: JobEntry) -> None:
    """Start the tasks of the reports, which run as long as the entry."""
    name, work_times, metrics = entry.settings.name, entry.work_times, entry.metrics
    for work in (
        watch_loop_lag(name, entry.clock, metrics, work_times),
        report_process_work(name, work_times, metrics, entry.duties.count),
    ):
        entry.spawn(work, ProcessPart.READY)
