"""Differences between the clocks of entries, as far as causes and effects show them."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from cornelturn.explain.lines import LogLine

MAX_ROUNDS = 50
"""Rounds in which differences may pass on; more than entries stand in a row."""


def align(lines: Iterable[LogLine]) -> list[LogLine]:
    """Return the lines in order, later clocks first corrected.

    A job is handed in before its first run starts, and a run starts before it ends or
    is taken over. Where the clocks say otherwise, the entry of the effect is behind
    and its lines move later.
    """
    found = list(lines)
    behind = _offsets(_links(found))
    moved = (
        replace(one, time_ms=one.time_ms + behind.get(one.entry, 0)) for one in found
    )
    return sorted(moved, key=lambda one: one.time_ms)


def _links(lines: list[LogLine]) -> dict[tuple[str, str], int]:
    """Return by how much an entry must be behind another one, at least."""
    submits: dict[str, LogLine] = {}
    starts: dict[str, LogLine] = {}
    for line in lines:
        match line.event:
            case "submit":
                submits.setdefault(line.value("job"), line)
            case "run_start":
                starts.setdefault(line.value("run"), line)
    found: dict[tuple[str, str], int] = {}
    for line in lines:
        match line.event:
            case "run_start":
                cause = submits.get(job_of(line))
                # While the answer of the store is late, an owner may know a job
                # before its front does.
                if cause and line.time_ms < cause.time_ms - cause.number("took_ms"):
                    _note(found, cause, line)
            case "run_end" | "run_adopted" | "run_missing":
                cause = starts.get(line.value("run"))
                if cause is not None:
                    _note(found, cause, line)
    return found


def _note(found: dict[tuple[str, str], int], cause: LogLine, effect: LogLine) -> None:
    gap = cause.time_ms - effect.time_ms + 1
    if gap > 1 and cause.entry != effect.entry:
        pair = (cause.entry, effect.entry)
        found[pair] = max(found.get(pair, 0), gap)


def _offsets(links: dict[tuple[str, str], int]) -> dict[str, int]:
    offsets: dict[str, int] = {}
    for _ in range(MAX_ROUNDS):
        is_settled = True
        for (cause, effect), gap in links.items():
            wanted = offsets.get(cause, 0) + gap
            if wanted > offsets.get(effect, 0):
                offsets[effect] = wanted
                is_settled = False
        if is_settled:
            break
    return offsets


def job_of(line: LogLine) -> str:
    """Return the job that a line is about, empty if it names none."""
    return line.value("job") or line.value("run").partition(".")[0]
