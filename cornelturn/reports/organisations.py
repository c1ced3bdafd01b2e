"""Contents of the report on organisations of an entry that schedules jobs."""

from __future__ import annotations

from cornelturn.clock import MILLISECONDS_PER_SECOND
from cornelturn.jobs.model import CPU_UNITS_PER_CORE
from cornelturn.model.organisations import NO_ORGANISATION, RefusalReason
from cornelturn.organisation_view.rows import MissingPool, OrganisationRow
from cornelturn.organisation_view.shown import ShownView
from cornelturn.reports.page import Column, Line, Report

PUBLIC_QUEUES = "(public queues)"

COLUMNS = (
    Column("Organisation", 18),
    Column("Weight", 6, True),
    Column("Cores", 8, True),
    Column("Core cap", 8, True),
    Column("Mem MB", 9, True),
    Column("Mem cap", 9, True),
    Column("GPU", 4, True),
    Column("GPU cap", 7, True),
    Column("Share", 6, True),
    Column("Waiting", 7, True),
    Column("Overload", 8, True),
    Column("Over rate", 9, True),
    Column("Quota", 6, True),
    Column("Version", 7, True),
    Column("Age s", 5, True),
)
"""`Version` is that with which the cap is confirmed at the owners of all pools.
The columns of each `RefusalReason`, in its order, count since the time in the title."""


def organisation_report(shown: ShownView) -> Report:
    """Return a line for each organisation, then the sums and the missing pools."""
    rows = shown.view.rows
    title = f"Organisations at {shown.entry}, version {shown.view.version}"
    since = {row.since_ms for row in rows if row.since_ms is not None}
    if since:
        title += f", refusals since {shown.timestamp(max(since))}"
    lines = [Line(_cells(row)) for row in rows]
    lines.append(Line(_total_cells(rows), (), True))
    lines += [Line(_missing_cells(item), (), True) for item in shown.view.missing_pools]
    return Report("CT060", title, COLUMNS, tuple(lines))


def _cells(row: OrganisationRow) -> tuple[str, ...]:
    return (
        PUBLIC_QUEUES if row.organisation == NO_ORGANISATION else row.organisation,
        "-" if row.weight is None else f"{row.weight:g}",
        _cores(row.running.cpu),
        _cores(row.cap.cpu) if row.cap.cpu else "-",
        str(row.running.mem_mb),
        str(row.cap.mem_mb or "-"),
        str(row.running.gpu),
        str(row.cap.gpu or "-"),
        f"{row.share:.1%}",
        str(row.waiting_tasks),
        *(str(row.refusals[reason.value]) for reason in RefusalReason),
        str(row.confirmed.version) if row.confirmed is not None else "-",
        _seconds(row.age_ms),
    )


def _total_cells(rows: tuple[OrganisationRow, ...]) -> tuple[str, ...]:
    return (
        "** TOTAL",
        "",
        _cores(sum(row.running.cpu for row in rows)),
        "",
        str(sum(row.running.mem_mb for row in rows)),
        "",
        str(sum(row.running.gpu for row in rows)),
        "",
        "",
        str(sum(row.waiting_tasks for row in rows)),
        *(
            str(sum(row.refusals[reason.value] for row in rows))
            for reason in RefusalReason
        ),
        "",
        "",
    )


def _missing_cells(pool: MissingPool) -> tuple[str, ...]:
    """Return the line of a missing pool; its age is `-` if no figures have arrived."""
    blank = ("",) * (len(COLUMNS) - 2)
    return (f"* MISSING {pool.pool}", *blank, _seconds(pool.age_ms))


def _cores(cpu: int) -> str:
    return f"{cpu / CPU_UNITS_PER_CORE:.10g}"


def _seconds(age_ms: int | None) -> str:
    return "-" if age_ms is None else f"{age_ms / MILLISECONDS_PER_SECOND:.1f}"
