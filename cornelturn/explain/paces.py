"""Whether the runs of a job were slowed down to protect serving work."""

from __future__ import annotations

from collections.abc import Iterator

from cornelturn.explain.lines import LogLine

RUN_OVER_EVENTS = frozenset({"run_end", "run_lapsed", "run_missing"})


def pace_reason(job_lines: list[LogLine], lines: list[LogLine]) -> str:
    """Return which filling run of a job went on at a lower pace, empty if none did.

    The pace of a target holds for its filling runs only; others on it are not slower.
    """
    decreases = [
        line
        for start in job_lines
        if start.event == "run_start" and start.value("is_filling") == "true"
        for line in _decreases(start, _end_ms(start, job_lines), lines)
    ]
    lowest = min(decreases, key=lambda line: line.number("percent"), default=None)
    if lowest is None:
        return ""
    return (
        f"its pace on {lowest.value('target')} was lowered to "
        f"{lowest.value('percent')}% beside serving work ({lowest.value('cause')})"
    )


def _decreases(
    start: LogLine, end_ms: int | None, lines: list[LogLine]
) -> Iterator[LogLine]:
    """Return the lines on decreases of the pace on a target while a run was there."""
    for line in lines:
        is_during = start.time_ms <= line.time_ms and (
            end_ms is None or line.time_ms <= end_ms
        )
        is_same_target = line.value("target") == start.value("target")
        if line.event == "pace_lowered" and is_same_target and is_during:
            yield line


def _end_ms(start: LogLine, job_lines: list[LogLine]) -> int | None:
    """Return when a run was over, None if that is not logged."""
    run = start.value("run")
    return next(
        (
            line.time_ms
            for line in job_lines
            if line.event in RUN_OVER_EVENTS and line.value("run") == run
        ),
        None,
    )
