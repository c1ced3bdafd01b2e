"""Whether the runs of a job were slowed down to protect serving work."""

from __future__ import annotations

from cornelturn.explain.lines import LogLine

RUN_OVER_EVENTS = frozenset({"run_end", "run_lapsed", "run_missing"})


def pace_reason(job_lines: list[LogLine], lines: list[LogLine]) -> str:
    """Return which filling run of a job went on at a lower pace, empty if none did.

    The pace of a target holds for its filling runs only; others on it are not slower.
    """
    lowest: LogLine | None = None
    for start in job_lines:
        if start.event != "run_start" or start.value("is_filling") != "true":
            continue
        end_ms = _end_ms(start, job_lines)
        for line in lines:
            is_about = line.event == "pace_lowered" and (
                line.value("target") == start.value("target")
            )
            if not is_about or line.time_ms < start.time_ms:
                continue
            if end_ms is not None and line.time_ms > end_ms:
                continue
            if lowest is None or line.number("percent") < lowest.number("percent"):
                lowest = line
    if lowest is None:
        return ""
    return (
        f"its pace on {lowest.value('target')} was lowered to "
        f"{lowest.value('percent')}% beside serving work ({lowest.value('cause')})"
    )


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
