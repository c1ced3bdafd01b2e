"""Tables of what the logs of a fleet tell, by role, pool and second."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import UTC, datetime
from statistics import fmean

from cornelturn.clock import MILLISECONDS_PER_SECOND
from cornelturn.explain.job_lives import JobLives, read_job_lives
from cornelturn.explain.lines import LogLine
from cornelturn.explain.pool_seconds import PoolSecond, read_pool_seconds
from cornelturn.explain.quantiles import spread_of
from cornelturn.explain.roles import PARTS, REST, RoleFigures, figures_by_role
from cornelturn.explain.takeovers import (
    StoreOutage,
    Takeover,
    read_outages,
    read_takeovers,
)
from cornelturn.explain.tenures import read_tenures

UNKNOWN = "-"

TOLD_PARTS = (*PARTS, REST, "log")


@dataclass(frozen=True, slots=True)
class Table:
    """A table of text."""

    title: str
    columns: tuple[str, ...]
    rows: tuple[tuple[str, ...], ...]

    def text(self) -> str:
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
    """Return all tables, from lines in order."""
    tenures = read_tenures(lines)
    return [
        role_table(figures_by_role(lines, tenures)),
        life_table(read_job_lives(lines)),
        takeover_table(read_takeovers(lines, tenures)),
        outage_table(read_outages(lines)),
        second_table(read_pool_seconds(lines)),
    ]


def role_table(roles: Iterable[RoleFigures]) -> Table:
    """Return where the time goes: the mean of a second, then the most of one."""
    columns = ("duties", "entries", "seconds", "lag", "mailbox", "busy", *TOLD_PARTS)
    rows = tuple(
        (
            role.role,
            str(len(role.entries)),
            str(len(role.busy_ms)),
            _mean_and_most(role.lags_ms),
            _mean_and_most(role.waits_ms),
            _mean_and_most(role.busy_ms),
            *(_mean_and_most(role.parts_ms[part]) for part in TOLD_PARTS),
        )
        for role in roles
    )
    return Table("ms of a second by role, mean and most", columns, rows)


def _mean_and_most(values_ms: list[int]) -> str:
    return f"{fmean(values_ms):.1f} {max(values_ms)}" if values_ms else UNKNOWN


def life_table(lives: Iterable[JobLives]) -> Table:
    """Return how long the parts of jobs' lives took."""
    rows: list[tuple[str, ...]] = []
    for life in lives:
        for part, lengths_ms in life.parts_ms.items():
            spread = spread_of(lengths_ms)
            numbers = (
                life.accepted,
                spread.count,
                spread.half,
                spread.high,
                spread.most,
            )
            rows.append((life.pool, part, *map(str, numbers)))
    columns = ("pool", "part", "accepted", "over", "half ms", "p95 ms", "most ms")
    return Table("lives of jobs, by pool and part", columns, tuple(rows))


def takeover_table(takeovers: Iterable[Takeover]) -> Table:
    """Return how long pools stood still when they changed hands."""
    rows = tuple(
        (
            _stamp(one.taken_ms),
            one.pool,
            one.before,
            one.after,
            str(one.taken_ms - one.last_ms),
            _elapsed(one.taken_ms, one.loaded_ms),
            _elapsed(one.taken_ms, one.started_ms),
            UNKNOWN if one.gap_ms() is None else str(one.gap_ms()),
        )
        for one in takeovers
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
        (_stamp(one.lost_ms), one.entry, _elapsed(one.lost_ms, one.regained_ms))
        for one in outages
    )
    return Table("outages of the store", ("lost", "entry", "lasted ms"), rows)


def second_table(seconds: Iterable[PoolSecond]) -> Table:
    """Return what the pools did in each second."""
    rows: list[tuple[str, ...]] = []
    for one in seconds:
        waits = spread_of(one.known_waits_ms)
        numbers = (
            one.accepted,
            one.starts,
            one.waiting,
            one.blocked,
            one.open_targets,
            one.free_cpu,
            one.work_ms,
            waits.half,
            waits.high,
        )
        stamp = _stamp(one.second * MILLISECONDS_PER_SECOND)
        rows.append((stamp, one.pool, *map(str, numbers)))
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


def _stamp(time_ms: int) -> str:
    moment = datetime.fromtimestamp(time_ms / MILLISECONDS_PER_SECOND, UTC)
    return moment.strftime("%H:%M:%S.%f")[:-3]


def _elapsed(from_ms: int, until_ms: int | None) -> str:
    return UNKNOWN if until_ms is None else str(until_ms - from_ms)
