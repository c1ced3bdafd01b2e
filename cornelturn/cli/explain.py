"""Telling from logs what became of a job, a target or an entry."""

from __future__ import annotations

from datetime import UTC, datetime
from pathlib import Path

import typer

from cornelturn.cli.client import ExitCode, fail
from cornelturn.clock import MILLISECONDS_PER_SECOND
from cornelturn.events.log import render_value
from cornelturn.explain.clocks import align
from cornelturn.explain.figures import make_tables
from cornelturn.explain.lines import LogLine, parse_time, read_log
from cornelturn.explain.story import Question, Story, tell


def print_story(
    logs: list[Path], job: str, target: str, entry: str, first: str, last: str
) -> ExitCode:
    """Print the story that the logs tell."""
    question = Question(job, target, entry, _bound(first), _bound(last))
    story = tell(question, _read_aligned(logs))
    _print(story)
    return ExitCode.OK if story.lines else ExitCode.FAILED


def print_figures(logs: list[Path], first: str, last: str) -> ExitCode:
    """Print the figures of a fleet, from the logs of all its entries."""
    question = Question(from_ms=_bound(first), to_ms=_bound(last))
    lines = [one for one in _read_aligned(logs) if question.covers(one)]
    typer.echo("\n\n".join(table.text() for table in make_tables(lines)))
    return ExitCode.OK if lines else ExitCode.FAILED


def _read_aligned(logs: list[Path]) -> list[LogLine]:
    lines: list[LogLine] = []
    for log in logs:
        with log.open(encoding="utf-8", errors="replace") as file:
            lines += read_log(log.stem, file)
    return align(lines)


def _bound(text: str) -> int | None:
    if not text:
        return None
    time_ms = parse_time(text)
    if time_ms is None:
        fail(ExitCode.USAGE, f"expected a time like 2026-01-31T08:00:00.000Z: {text}")
    return time_ms


def _print(story: Story) -> None:
    for line in story.lines:
        moment = datetime.fromtimestamp(line.time_ms / MILLISECONDS_PER_SECOND, UTC)
        stamp = moment.strftime("%H:%M:%S.%f")[:-3]
        pairs = " ".join(
            f"{name}={render_value(value)}" for name, value in line.fields.items()
        )
        typer.echo(f"{stamp} {line.entry} {line.event} {pairs}")
    if story.reason:
        typer.echo(story.reason)
