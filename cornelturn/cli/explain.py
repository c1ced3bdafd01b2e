"""Prints from logs what happened to a job, a target or an entry."""

from __future__ import annotations

from datetime import UTC, datetime
from pathlib import Path

import typer

from cornelturn.cli.client import ExitCode, exit_with_error
from cornelturn.clock import MILLISECONDS_PER_SECOND
from cornelturn.events.log import render_value
from cornelturn.explain.clocks import align_clocks
from cornelturn.explain.explanation import Explanation, Question, explain
from cornelturn.explain.figures import make_tables
from cornelturn.explain.lines import LogLine, parse_time, read_log


def print_explanation(
    logs: list[Path], job: str, target: str, entry: str, from_time: str, to_time: str
) -> ExitCode:
    """Print the relevant log lines, and the reason for the outcome of a job."""
    question = Question(
        job, target, entry, _parse_bound(from_time), _parse_bound(to_time)
    )
    explanation = explain(question, _read_logs(logs))
    _print_lines(explanation)
    return ExitCode.OK if explanation.lines else ExitCode.FAILED


def print_figures(logs: list[Path], from_time: str, to_time: str) -> ExitCode:
    """Print the figures of a fleet from the logs of all its entries."""
    question = Question(from_ms=_parse_bound(from_time), to_ms=_parse_bound(to_time))
    lines = [line for line in _read_logs(logs) if question.covers(line)]
    typer.echo("\n\n".join(table.render() for table in make_tables(lines)))
    return ExitCode.OK if lines else ExitCode.FAILED


def _read_logs(logs: list[Path]) -> list[LogLine]:
    lines: list[LogLine] = []
    for log in logs:
        with log.open(encoding="utf-8", errors="replace") as file:
            lines += read_log(log.stem, file)
    return align_clocks(lines)


def _parse_bound(text: str) -> int | None:
    if not text:
        return None
    time_ms = parse_time(text)
    if time_ms is None:
        exit_with_error(
            ExitCode.USAGE, f"expected a time like 2026-01-31T08:00:00.000Z: {text}"
        )
    return time_ms


def _print_lines(explanation: Explanation) -> None:
    for line in explanation.lines:
        time = datetime.fromtimestamp(line.time_ms / MILLISECONDS_PER_SECOND, UTC)
        timestamp = time.strftime("%H:%M:%S.%f")[:-3]
        pairs = " ".join(
            f"{name}={render_value(value)}" for name, value in line.fields.items()
        )
        typer.echo(f"{timestamp} {line.entry} {line.event} {pairs}")
    if explanation.reason:
        typer.echo(explanation.reason)
