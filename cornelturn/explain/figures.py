"""Tables of figures from the logs of a fleet, by role, pool and second."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import UTC, datetime
from statistics import fmean

from cornelturn.clock import MILLISECONDS_PER_SECOND
from cornelturn.explain.job_lives import JobDurations, read_job_durations
from cornelturn.explain.lines import LogLine
from cornelturn.explain.pool_seconds import PoolSecond, read_pool_seconds
from cornelturn.explain.quantiles import summarize
from cornelturn.explain.roles import PARTS, REST, RoleFigures, figures_by_role
from cornelturn.explain.takeovers import (
    StoreOutage,
    Takeover,
    read_outages,
    read_takeovers,
)
from cornelturn.explain.tenures import read_tenures

NO_VALUE = "-"

SHOWN_PARTS = (*PARTS, REST, "log")


@dataclass(frozen=True, slots=True)
class Table:
    """A table of text."""

    title: str
    columns: tuple[str, ...]
    rows: tuple[tuple[str, ...], ...]

    def render(self) -> str:
        """Return the table with its columns aligned."""
        widths = [
            max(map(len, column))
            for column in zip(self.columns, *self.rows, strict=True)
        ]
        lines = [self.title]
        for row in (self.columns, *self.rows):
            cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
            lines.append("  ".join(cells).rstrip())
        return "\n".join(lines)


def make_tables(lines: list[LogLine]) -> list[Table]:
    """Return all tables; the lines must be in order of time."""
    tenures = read_tenures(lines)
    return [
        role_table(figures_by_role(lines, tenures)),
        duration_table(read_job_durations(lines)),
        takeover_table(read_takeovers(lines, tenures)),
        outage_table(read_outages(lines)),
        second_table(read_pool_seconds(lines)),
    ]


def role_table(roles: Iterable[RoleFigures]) -> Table:
    """Return the time spent by role and part: mean and maximum of a second."""
    columns = ("duties", "entries", "seconds", "lag", "mailbox", "busy", *SHOWN_PARTS)
    rows = tuple(
        (
            role.role,
            str(len(role.entries)),
            str(len(role.busy_ms)),
            _mean_and_maximum(role.loop_lags_ms),
            _mean_and_maximum(role.mailbox_waits_ms),
            _mean_and_maximum(role.busy_ms),
            *(_mean_and_maximum(role.parts_ms[part]) for part in SHOWN_PARTS),
        )
        for role in roles
    )
    return Table("ms of a second by role, mean and most", columns, rows)


def _mean_and_maximum(values_ms: list[int]) -> str:
    return f"{fmean(values_ms):.1f} {max(values_ms)}" if values_ms else NO_VALUE


def duration_table(durations: Iterable[JobDurations]) -> Table:
    """Return quantiles of the durations of the parts of jobs' lives, by pool."""
    rows: list[tuple[str, ...]] = []
    for pool_durations in durations:
        for part, durations_ms in pool_durations.parts_ms.items():
            summary = summarize(durations_ms)
            values = (
                pool_durations.accepted,
                summary.count,
                summary.median,
                summary.p95,
                summary.maximum,
            )
            rows.append((pool_durations.pool, part, *map(str, values)))
    columns = ("pool", "part", "accepted", "over", "half ms", "p95 ms", "most ms")
    return Table("lives of jobs, by pool and part", columns, tuple(rows))


def takeover_table(takeovers: Iterable[Takeover]) -> Table:
    """Return how long pools started nothing when their owners changed."""
    rows = tuple(
        (
            _format_time(takeover.taken_ms),
            takeover.pool,
            takeover.previous_owner,
            takeover.new_owner,
            str(takeover.taken_ms - takeover.last_activity_ms),
            _format_elapsed(takeover.taken_ms, takeover.loaded_ms),
            _format_elapsed(takeover.taken_ms, takeover.first_start_ms),
            NO_VALUE if takeover.gap_ms() is None else str(takeover.gap_ms()),
        )
        for takeover in takeovers
    )
    columns = (
        "taken",
        "pool",
        "before",
        "after",
        "lost ms",
        "loaded ms",
        "start ms",
        "gap ms",
    )
    return Table("changes of owners", columns, rows)


def outage_table(outages: Iterable[StoreOutage]) -> Table:
    """Return how long the store did not answer."""
    rows = tuple(
        (
            _format_time(outage.lost_ms),
            outage.entry,
            _format_elapsed(outage.lost_ms, outage.regained_ms),
        )
        for outage in outages
    )
    return Table("outages of the store", ("lost", "entry", "lasted ms"), rows)


def second_table(seconds: Iterable[PoolSecond]) -> Table:
    """Return the activity of the pools in each second."""
    rows: list[tuple[str, ...]] = []
    for pool_second in seconds:
        waits = summarize(pool_second.first_order_waits_ms)
        values = (
            pool_second.accepted,
            pool_second.starts,
            pool_second.waiting,
            pool_second.blocked,
            pool_second.open_targets,
            pool_second.free_cpu,
            pool_second.work_ms,
            waits.median,
            waits.p95,
        )
        stamp = _format_time(pool_second.second * MILLISECONDS_PER_SECOND)
        rows.append((stamp, pool_second.pool, *map(str, values)))
    columns = (
        "second",
        "pool",
        "accepted",
        "starts",
        "waiting",
        "blocked",
        "open",
        "free cpu",
        "work ms",
        "order half",
        "order p95",
    )
    return Table("pools by second", columns, tuple(rows))


def _format_time(time_ms: int) -> str:
    moment = datetime.fromtimestamp(time_ms / MILLISECONDS_PER_SECOND, UTC)
    return moment.strftime("%H:%M:%S.%f")[:-3]


def _format_elapsed(from_ms: int, until_ms: int | None) -> str:
    return NO_VALUE if until_ms is None else str(until_ms - from_ms)
