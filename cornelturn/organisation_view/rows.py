"""Rows of organisations over all pools, from what an entry has received.

Pure aggregation: no sockets, no clock. The rows are for people only.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from cornelturn.fairness.shares import dominant_share
from cornelturn.jobs.model import Resources
from cornelturn.model.organisations import NO_ORGANISATION, Organisation, RefusalReason
from cornelturn.model.routes import RoutingTable
from cornelturn.organisation_view.known import (
    LATE_MS,
    KnownFigures,
    ReceivedPool,
    ReceivedRefusals,
)
from cornelturn.peering.organisation_messages import ConfirmedCap, PoolOrganisation
from cornelturn.quota.amounts import NOTHING, Amount, amount_of


@dataclass(frozen=True, slots=True)
class MissingPool:
    """A pool from whose owner no figures have arrived lately.

    Parameters
    ----------
    age_ms : int or None
        Age of the last ones, which the rows still have; None if there are none.
    """

    pool: str
    age_ms: int | None


@dataclass(frozen=True, slots=True)
class OrganisationRow:
    """Figures of one organisation over the pools that have sent some.

    Parameters
    ----------
    organisation : str
        `NO_ORGANISATION` for the jobs of public queues.
    weight : float or None
        None if the configuration in force at this entry lacks the organisation.
    cap : Amount
        Cap by the configuration in force at this entry; 0 is no limit.
    confirmed : ConfirmedCap or None
        That cap as the broker has confirmed it; None if it has not.
    share : float
        Dominant share of the capacity of these pools.
    refusals : Counter
        Refusals by the value of their `RefusalReason`.
    age_ms : int or None
        Age of the oldest figure in the row, None if there are no figures at all.
    since_ms : int or None
        Time from which on all parts of `refusals` are counted.
    missing_pools : tuple of str
        Missing pools that may change the row.
    """

    organisation: str
    weight: float | None
    running: Amount
    runs: int
    cap: Amount
    confirmed: ConfirmedCap | None
    share: float
    waiting_tasks: int
    waiting_cpu: int
    refusals: Counter[str]
    age_ms: int | None
    since_ms: int | None
    missing_pools: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class OrganisationRows:
    """Rows of all organisations.

    Parameters
    ----------
    version : int
        Version of the configuration in force at this entry.
    pools : dict
        Age of the figures of each pool that has sent some.
    """

    version: int
    pools: dict[str, int]
    missing_pools: tuple[MissingPool, ...]
    rows: tuple[OrganisationRow, ...]


@dataclass(slots=True)
class _Totals:
    """Sums of one organisation; plain numbers, as one answer adds up many parts.

    Parameters
    ----------
    received_ms : int or None
        When the oldest of its figures arrived.
    """

    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    runs: int = 0
    waiting_tasks: int = 0
    waiting_cpu: int = 0
    quota_refusals: int = 0
    received_ms: int | None = None

    def add(self, part: PoolOrganisation, received_ms: int) -> None:
        """Add the figures of one pool."""
        _, (cpu, mem_mb, gpu), runs, tasks, waiting_cpu, refusals = part
        self.cpu += cpu
        self.mem_mb += mem_mb
        self.gpu += gpu
        self.runs += runs
        self.waiting_tasks += tasks
        self.waiting_cpu += waiting_cpu
        self.quota_refusals += refusals
        if self.received_ms is None or received_ms < self.received_ms:
            self.received_ms = received_ms


@dataclass(frozen=True, slots=True)
class _Sources:
    """What the rows are made of.

    Parameters
    ----------
    received : dict
        Pools that count, with their last figures.
    totals : dict
        Sums over these pools by organisation.
    refusals : dict
        Refused jobs of each organisation by reason.
    capacity : Resources
        Capacity of all pools in `received`.
    since_ms : int or None
        Time from which on all sources have counted.
    late : dict
        Organisations with figures in each missing pool that has sent some.
    """

    received: dict[str, ReceivedPool]
    totals: dict[str, _Totals]
    refusals: dict[str, Counter[str]]
    capacity: Resources
    since_ms: int | None
    missing: tuple[MissingPool, ...]
    late: dict[str, frozenset[str]]

    def missing_for(self, organisation: str) -> tuple[str, ...]:
        """Return the missing pools that may change the row of an organisation."""
        return tuple(
            item.pool
            for item in self.missing
            if item.age_ms is None
            or organisation not in self.totals
            or organisation in self.late[item.pool]
        )


def view_organisations(
    known: KnownFigures, table: RoutingTable, now_ms: int, pool: str = ""
) -> OrganisationRows:
    """Return one row for each configured organisation, and for others with figures.

    Parameters
    ----------
    pool : str
        Restricts the rows to one pool, empty for all. Refusals of jobs are not known by
        pool and are left out then.
    """
    pools = {item.name for item in table.pools} | known.pools.keys()
    sources = _sources(known, pools & {pool} if pool else pools, now_ms, not pool)
    by_name = {item.name: item for item in table.organisations}
    names = by_name.keys() | sources.totals.keys() | sources.refusals.keys()
    ordered = sorted(names, key=lambda name: (name == NO_ORGANISATION, name))
    return OrganisationRows(
        table.version,
        {name: now_ms - last.received_ms for name, last in sources.received.items()},
        sources.missing,
        tuple(
            _row(name, by_name.get(name), sources, known, now_ms) for name in ordered
        ),
    )


def _sources(
    known: KnownFigures, pools: set[str], now_ms: int, has_refused_jobs: bool
) -> _Sources:
    received = {
        name: known.pools[name] for name in sorted(pools) if name in known.pools
    }
    entries = tuple(known.refusals.values()) if has_refused_jobs else ()
    starts = [item.received_ms - item.figures.counted_ms for item in received.values()]
    starts += [entry.since_ms for entry in entries]
    missing = _missing_pools(pools, received, now_ms)
    return _Sources(
        received,
        _totals_by_organisation(received.values()),
        _refused_jobs(entries),
        _capacity(received.values()),
        max(starts, default=None),
        missing,
        {
            item.pool: frozenset(
                part.organisation for part in received[item.pool].figures.rows
            )
            for item in missing
            if item.pool in received
        },
    )


def _missing_pools(
    pools: set[str], received: dict[str, ReceivedPool], now_ms: int
) -> tuple[MissingPool, ...]:
    ages = {
        name: now_ms - received[name].received_ms if name in received else None
        for name in sorted(pools)
    }
    return tuple(
        MissingPool(name, age_ms)
        for name, age_ms in ages.items()
        if age_ms is None or age_ms >= LATE_MS
    )


def _totals_by_organisation(pools: Iterable[ReceivedPool]) -> dict[str, _Totals]:
    totals: dict[str, _Totals] = defaultdict(_Totals)
    for item in pools:
        for part in item.figures.rows:
            totals[part.organisation].add(part, item.received_ms)
    return dict(totals)


def _refused_jobs(entries: Iterable[ReceivedRefusals]) -> dict[str, Counter[str]]:
    """Return the refused jobs of each organisation by reason, over some entries."""
    refusals: dict[str, Counter[str]] = defaultdict(Counter)
    for entry in entries:
        for (organisation, reason), count in entry.counts.items():
            refusals[organisation][reason] += count
    return dict(refusals)


def _capacity(pools: Iterable[ReceivedPool]) -> Resources:
    capacity = NOTHING
    for item in pools:
        capacity = capacity.plus(item.figures.capacity)
    return Resources(*capacity)


def _row(
    name: str,
    organisation: Organisation | None,
    sources: _Sources,
    known: KnownFigures,
    now_ms: int,
) -> OrganisationRow:
    totals = sources.totals.get(name) or _Totals()
    cap = amount_of(organisation.cap) if organisation is not None else NOTHING
    confirmed = known.confirmed_cap(name, now_ms)
    if confirmed is not None and confirmed.cap != cap:
        # This entry and the broker know different versions of the configuration.
        confirmed = None
    running = Amount(totals.cpu, totals.mem_mb, totals.gpu)
    refusals = Counter(sources.refusals.get(name, {}))
    refusals[RefusalReason.QUOTA.value] += totals.quota_refusals
    received_ms = totals.received_ms
    if received_ms is None:
        received_ms = min(
            (item.received_ms for item in sources.received.values()), default=None
        )
    return OrganisationRow(
        name,
        organisation.weight if organisation is not None else None,
        running,
        totals.runs,
        cap,
        confirmed,
        dominant_share(Resources(*running), sources.capacity),
        totals.waiting_tasks,
        totals.waiting_cpu,
        +refusals,
        now_ms - received_ms if received_ms is not None else None,
        sources.since_ms,
        sources.missing_for(name),
    )
