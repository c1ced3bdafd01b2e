"""Output formats of a report: text, JSON and CSV."""

from __future__ import annotations

import csv
import io
from enum import StrEnum

import msgspec

from cornelturn.reports.page import PageWriter, Report


class ReportFormat(StrEnum):
    """Output format of a report."""

    TEXT = "text"
    JSON = "json"
    CSV = "csv"


class ReportView(msgspec.Struct, frozen=True):
    """A report as JSON, without its total lines."""

    report: str
    title: str
    run_date: str
    columns: tuple[str, ...]
    rows: tuple[dict[str, str], ...]


def render_report(report: Report, report_format: ReportFormat, run_date: str) -> str:
    """Return a report as text in an output format."""
    match report_format:
        case ReportFormat.TEXT:
            return PageWriter(report, run_date).render()
        case ReportFormat.JSON:
            return msgspec.json.encode(_report_view(report, run_date)).decode()
        case ReportFormat.CSV:
            return _render_csv(report)


def _column_keys(report: Report) -> tuple[str, ...]:
    titles = (*report.break_titles, *(column.title for column in report.columns))
    return tuple(title.lower().replace(" ", "_") for title in titles)


def _report_view(report: Report, run_date: str) -> ReportView:
    keys = _column_keys(report)
    rows = tuple(
        dict(zip(keys, (*line.breaks, *line.cells), strict=True))
        for line in report.lines
        if not line.is_total
    )
    return ReportView(report.report_id, report.title, run_date, keys, rows)


def _render_csv(report: Report) -> str:
    buffer = io.StringIO()
    writer = csv.writer(buffer, lineterminator="\n")
    writer.writerow(_column_keys(report))
    for line in report.lines:
        if not line.is_total:
            writer.writerow((*line.breaks, *line.cells))
    return buffer.getvalue()
