"""The forms a report can be asked for: text, JSON, CSV."""

from __future__ import annotations

import csv
import io
from enum import StrEnum

import msgspec

from cornelturn.reports.page import PageWriter, Report


class ReportForm(StrEnum):
    """Form of a report."""

    TEXT = "text"
    JSON = "json"
    CSV = "csv"


class ReportView(msgspec.Struct, frozen=True):
    """A report as JSON, detail lines only."""

    report: str
    title: str
    run_date: str
    columns: tuple[str, ...]
    rows: tuple[dict[str, str], ...]


def render_report(report: Report, form: ReportForm, run_date: str) -> str:
    """Return the text of a report in a form."""
    match form:
        case ReportForm.TEXT:
            return PageWriter(report, run_date).render()
        case ReportForm.JSON:
            return msgspec.json.encode(_view(report, run_date)).decode()
        case ReportForm.CSV:
            return _csv(report)


def _names(report: Report) -> tuple[str, ...]:
    titles = (*report.break_titles, *(one.title for one in report.columns))
    return tuple(title.lower().replace(" ", "_") for title in titles)


def _view(report: Report, run_date: str) -> ReportView:
    names = _names(report)
    rows = tuple(
        dict(zip(names, (*line.breaks, *line.cells), strict=True))
        for line in report.lines
        if not line.is_total
    )
    return ReportView(report.identity, report.title, run_date, names, rows)


def _csv(report: Report) -> str:
    buffer = io.StringIO()
    writer = csv.writer(buffer, lineterminator="\n")
    writer.writerow(_names(report))
    for line in report.lines:
        if not line.is_total:
            writer.writerow((*line.breaks, *line.cells))
    return buffer.getvalue()
