"""Responses with a report in the format that the query asks for."""

from __future__ import annotations

import time

from blacksheep import Content, Request, Response

from cornelturn.http.problems import bad_request
from cornelturn.http.routes import query_value
from cornelturn.reports.forms import ReportFormat, render_report
from cornelturn.reports.page import Report

MEDIA_TYPES = {
    ReportFormat.TEXT: b"text/plain; charset=utf-8",
    ReportFormat.JSON: b"application/json",
    ReportFormat.CSV: b"text/csv; charset=utf-8",
}


def requested_format(request: Request) -> ReportFormat | None:
    """Return the format that a request asks for, None if there is no such format."""
    form = query_value(request, "form", ReportFormat.TEXT.value)
    return ReportFormat(form) if form in list(ReportFormat) else None


def bad_format() -> Response:
    """Return the response to a request for a format that there is not."""
    return bad_request(400, "Bad form", ", ".join(ReportFormat))


def report_response(report: Report, report_format: ReportFormat) -> Response:
    """Return a report as text, JSON or CSV."""
    run_date = time.strftime("%Y-%m-%d %H:%M:%S UTC", time.gmtime())
    text = render_report(report, report_format, run_date)
    return Response(200, content=Content(MEDIA_TYPES[report_format], text.encode()))
