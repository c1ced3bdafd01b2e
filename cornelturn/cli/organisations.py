"""Prints the rows of organisations that an entry knows."""

from __future__ import annotations

from urllib.parse import urlsplit

import msgspec
import typer
from result import Err, Ok

from cornelturn.cli.client import (
    Endpoint,
    ExitCode,
    exit_with_error,
    print_table,
    request_or_exit,
)
from cornelturn.clock import MILLISECONDS_PER_SECOND
from cornelturn.http.organisation_views import (
    ORGANISATION_REPORT_PATH,
    ORGANISATIONS_PATH,
    THOUSANDTHS,
    OrganisationsBody,
    OrganisationView,
)
from cornelturn.jobs.model import CPU_UNITS_PER_CORE
from cornelturn.model.decoding import try_decode
from cornelturn.model.organisations import NO_ORGANISATION, RefusalReason
from cornelturn.reports.forms import ReportFormat
from cornelturn.reports.organisations import PUBLIC_QUEUES
from cornelturn.store.http_client import HttpResponse, quoted

COLUMNS = (
    "organisation",
    "weight",
    "cores",
    "mem_mb",
    "gpu",
    "share",
    "waiting",
    "waiting_cores",
    *(reason.value for reason in RefusalReason),
    "confirmed",
    "age_s",
    "missing",
)
"""Cores, memory and accelerators are what runs, with the cap after a slash; the reasons
are refusals since the time that the last line states."""


def print_organisations(address: str, pool: str, as_json: bool) -> None:
    """Print what the entry with a metrics listener knows, as JSON or as a table."""
    body = read_organisations(address, pool)
    if as_json:
        typer.echo(msgspec.json.encode(body).decode())
        return
    print_table(COLUMNS, [_cells(row) for row in body.organisations])
    for line in _summary(body):
        typer.echo(line)


def read_organisations(address: str, pool: str) -> OrganisationsBody:
    """Return what an entry knows; print an error line and exit if that fails."""
    answer = _request(address, ORGANISATIONS_PATH, pool=pool)
    match try_decode(_decode, answer.body):
        case Ok(body):
            return body
        case Err(error):
            exit_with_error(ExitCode.FAILED, f"{address}: {error.detail}")


def print_report(address: str, pool: str, report_format: ReportFormat) -> None:
    """Print the report of an entry with a metrics listener."""
    path = ORGANISATION_REPORT_PATH
    answer = _request(address, path, form=report_format.value, pool=pool)
    typer.echo(answer.body.decode(), nl=False)


def _request(address: str, path: str, **query: str) -> HttpResponse:
    url = f"http://{address}"
    if not _is_address(url):
        exit_with_error(
            ExitCode.USAGE, f"--from: expected IP:PORT, found {address or 'nothing'}"
        )
    given = ((name, value) for name, value in query.items() if value)
    pairs = "&".join(f"{name}={quoted(value)}" for name, value in given)
    if pairs:
        path += f"?{pairs}"
    return request_or_exit("GET", path, endpoint=Endpoint(url, ""))


def _is_address(url: str) -> bool:
    try:
        parts = urlsplit(url)
        is_complete = bool(parts.hostname) and parts.port is not None
    except ValueError:
        return False
    return is_complete and not parts.path and not parts.query


def _decode(data: bytes) -> OrganisationsBody:
    return msgspec.json.decode(data, type=OrganisationsBody)


def _cells(row: OrganisationView) -> tuple[str, ...]:
    confirmed = f"{row.confirmed.version}" if row.confirmed is not None else "-"
    return (
        PUBLIC_QUEUES if row.organisation == NO_ORGANISATION else row.organisation,
        "-" if row.weight is None else f"{row.weight:g}",
        _use(row.running.cpu / CPU_UNITS_PER_CORE, row.cap.cpu / CPU_UNITS_PER_CORE),
        _use(row.running.mem_mb, row.cap.mem_mb),
        _use(row.running.gpu, row.cap.gpu),
        f"{row.share / THOUSANDTHS:.1%}",
        str(row.waiting_tasks),
        f"{row.waiting_cpu / CPU_UNITS_PER_CORE:.10g}",
        *(str(row.refusals.get(reason.value, 0)) for reason in RefusalReason),
        confirmed,
        "-" if row.age_ms is None else _seconds(row.age_ms),
        ",".join(row.missing_pools) or "-",
    )


def _use(running: float, cap: float) -> str:
    """Return what runs, and its limit if there is one."""
    return f"{running:.10g}/{cap:.10g}" if cap else f"{running:.10g}"


def _seconds(duration_ms: int) -> str:
    return f"{duration_ms / MILLISECONDS_PER_SECOND:.1f}"


def _summary(body: OrganisationsBody) -> list[str]:
    """Return what the table leaves out: its source, the pools, since when it counts."""
    lines = [
        f"entry {body.entry}, version {body.version}, {len(body.pools)} pools told"
    ]
    lines += [
        f"missing pool {item.pool}: "
        + ("no figures" if item.age_ms is None else f"{_seconds(item.age_ms)} s old")
        for item in body.missing_pools
    ]
    since = {row.counted_since for row in body.organisations} - {None}
    if since:
        lines.append(f"refusals counted since {max(since)}")
    return lines
