"""Correction of the clocks of entries, as far as causes and effects show errors."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from cornelturn.explain.lines import LogLine

MAX_PASSES = 50
"""Passes in which offsets propagate; more than any chain of causes has entries."""


def align_clocks(lines: Iterable[LogLine]) -> list[LogLine]:
    """Return the lines in order of time, after slow clocks are corrected.

    A job is submitted before its first run starts, and a run starts before it ends or
    is adopted. Where the time stamps contradict this, the clock of the effect's entry
    is slow and its lines are moved later.
    """
    unaligned = list(lines)
    offsets_ms = _solve_offsets(_minimum_offsets(unaligned))
    aligned = (
        replace(line, time_ms=line.time_ms + offsets_ms.get(line.entry, 0))
        for line in unaligned
    )
    return sorted(aligned, key=lambda line: line.time_ms)


def _minimum_offsets(lines: list[LogLine]) -> dict[tuple[str, str], int]:
    """Return how far the clock of an effect is behind that of its cause, at least."""
    submits: dict[str, LogLine] = {}
    starts: dict[str, LogLine] = {}
    for line in lines:
        match line.event:
            case "submit":
                submits.setdefault(line.value("job"), line)
            case "run_start":
                starts.setdefault(line.value("run"), line)
    minimum_ms: dict[tuple[str, str], int] = {}
    for line in lines:
        match line.event:
            case "run_start":
                cause = submits.get(job_of(line))
                # The owner may know a job before the front does, while the answer of
                # the store to the front is delayed.
                if cause and line.time_ms < cause.time_ms - cause.number("took_ms"):
                    _record_gap(minimum_ms, cause, line)
            case "run_end" | "run_adopted" | "run_missing":
                cause = starts.get(line.value("run"))
                if cause is not None:
                    _record_gap(minimum_ms, cause, line)
    return minimum_ms


def _record_gap(
    minimum_ms: dict[tuple[str, str], int], cause: LogLine, effect: LogLine
) -> None:
    gap_ms = cause.time_ms - effect.time_ms + 1
    if gap_ms > 1 and cause.entry != effect.entry:
        pair = (cause.entry, effect.entry)
        minimum_ms[pair] = max(minimum_ms.get(pair, 0), gap_ms)


def _solve_offsets(minimum_ms: dict[tuple[str, str], int]) -> dict[str, int]:
    offsets_ms: dict[str, int] = {}
    for _ in range(MAX_PASSES):
        is_settled = True
        for (cause, effect), gap_ms in minimum_ms.items():
            required_ms = offsets_ms.get(cause, 0) + gap_ms
            if required_ms > offsets_ms.get(effect, 0):
                offsets_ms[effect] = required_ms
                is_settled = False
        if is_settled:
            break
    return offsets_ms


def job_of(line: LogLine) -> str:
    """Return the job that a line is about, empty if it names none."""
    part = line.value("run") or line.value("step")
    return line.value("job") or part.partition(".")[0]
