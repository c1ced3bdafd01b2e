"""What the broker knows of each pool, and its decisions, without sockets.

The commitment of a pool for an organisation is an upper bound of what may run there.
An allotment is raised only while the commitments of all pools together stay within the
cap, so that no lost, late or reordered message lets more than the cap run.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from cornelturn.model.organisations import Organisation
from cornelturn.peering.quota_messages import (
    AllottedAmount,
    OrganisationUse,
    QuotaGrant,
    QuotaReport,
)
from cornelturn.quota.amounts import NOTHING, UNBOUNDED, Amount, caps_of
from cornelturn.quota.balance import Position, balance
from cornelturn.quota.split import PoolDemand

RESEND_MS = 400
"""Time after which a grant that was not acknowledged counts as lost; two intervals of
the reports."""

ORGANISATION_PLAN_INTERVAL_MS = 100
"""Shortest interval of plans for one organisation; bounds the broker's work however
many pools report."""

MAX_PLANNED_POSITIONS = 120
"""Number of pools, over all organisations, that one plan looks at. Bounds how long a
plan holds the event loop; the other organisations follow in the next plan."""

FORGET_POOL_MS = 60_000
"""Time without a report after which a removed pool is forgotten; far longer than the
leases of its targets."""


@dataclass(slots=True)
class PoolRecord:
    """The last report of a pool, and the grants that it has not acknowledged.

    Parameters
    ----------
    inherited : dict or None
        Commitments of the predecessor, which count until the owner knows all runs; None
        from then on, or if the predecessor has not reported to this broker.
    unacknowledged : dict
        Amounts sent to the pool for each organisation, and the number of the last grant
        that had each, as far as no report acknowledges it.
    last_number : int
        Number of the last grant that was sent to this owner.
    sent_ms, reported_ms : int
        When the last grant was sent, and when the last report arrived.
    idle_since_ms : dict
        Since when each organisation has had work waiting and none running.
    """

    report: QuotaReport
    uses: dict[str, OrganisationUse]
    inherited: dict[str, Amount] | None = None
    unacknowledged: dict[str, dict[Amount, int]] = field(default_factory=dict)
    last_number: int = 0
    sent_ms: int = 0
    reported_ms: int = 0
    idle_since_ms: dict[str, int] = field(default_factory=dict)

    def use(self, organisation: str) -> OrganisationUse:
        """Return what the pool last reported of an organisation."""
        return self.uses.get(organisation) or OrganisationUse(organisation)

    def position(self, organisation: str, cap: Amount, now_ms: int) -> Position:
        """Return what is known of an organisation, of what a cap limits."""
        use = self.use(organisation)
        held, unknown = use.running, NOTHING
        if self.inherited is not None:
            held = held.highest(self.inherited.get(organisation, NOTHING))
        elif self.report.unknown != NOTHING:
            unknown = self.report.unknown.limited_by(cap)
        permitted = use.allotment
        current = None if use.is_outdated else use.allotment.limited_by(cap)
        sent = self.unacknowledged.get(organisation)
        if sent:
            for amount in sent:
                permitted = permitted.highest(amount)
            if now_ms - self.sent_ms < RESEND_MS:
                current = max(sent, key=sent.__getitem__).limited_by(cap)
        demand = PoolDemand(
            held.limited_by(cap),
            use.waiting.limited_by(cap),
            use.unit.limited_by(cap).lowest(cap),
            self.idle_since_ms.get(organisation),
        )
        return Position(
            demand,
            current,
            permitted.limited_by(cap),
            unknown,
        )

    def concerns(self, organisation: str) -> bool:
        """Return whether an organisation has a commitment or a use."""
        return (
            organisation in self.uses
            or organisation in self.unacknowledged
            or (self.inherited is not None and organisation in self.inherited)
        )

    def organisations(self) -> set[str]:
        """Return the organisations with a commitment or a use."""
        return {*self.uses, *self.unacknowledged, *(self.inherited or ())}


@dataclass(slots=True)
class QuotaLedger:
    """Decides on the allotments of all pools.

    Parameters
    ----------
    generation : int
        Generation of the broker.
    pools : dict
        Highest known generation of the owner of each pool of the configuration.
    caps : dict
        Organisations with a cap, by the configuration in force.
    capped_since : dict
        Version of the configuration in which each has got its cap, as far as this
        broker has seen it.
    version : int
        Version of the configuration in force.
    is_open : bool
        Whether each pool's owner has reported; before that nothing is granted.
    records : dict
        What is known of each pool that has reported.
    pools_by_organisation : dict
        Pools in which each organisation has or had a commitment or a use.
    opaque_pools : set of str
        Pools that may have runs of unknown organisations, so that they count for each.
    changed : set of str
        Organisations to plan, as what is known of them has changed.
    planned_ms : dict
        When each organisation was last planned.
    """

    generation: int
    records: dict[str, PoolRecord] = field(default_factory=dict)
    pools: dict[str, int] = field(default_factory=dict)
    caps: dict[str, Amount] = field(default_factory=dict)
    capped_since: dict[str, int] = field(default_factory=dict)
    version: int = 0
    is_open: bool = False
    pools_by_organisation: dict[str, set[str]] = field(default_factory=dict)
    opaque_pools: set[str] = field(default_factory=set)
    changed: set[str] = field(default_factory=set)
    planned_ms: dict[str, int] = field(default_factory=dict)

    def set_organisations(
        self, version: int, organisations: Iterable[Organisation]
    ) -> None:
        """Take up the caps of a configuration."""
        caps = caps_of(organisations)
        if caps != self.caps:
            since = version if self.version else 0
            self.capped_since = {
                name: self.capped_since[name]
                if _is_as_wide(self.caps.get(name), cap)
                else since
                for name, cap in caps.items()
            }
            self.caps = caps
            self.changed |= set(caps)
        self.version = version

    def set_pools(self, pools: Mapping[str, int], now_ms: int) -> None:
        """Set the pools of the configuration and the generations of their owners."""
        self.pools = dict(pools)
        for pool, record in list(self.records.items()):
            if pool not in self.pools and now_ms - record.reported_ms >= FORGET_POOL_MS:
                self.changed |= record.organisations()
                del self.records[pool]
                self.opaque_pools.discard(pool)
        if not self.is_open:
            self.is_open = bool(self.pools) and all(
                pool in self.records
                and self.records[pool].report.generation >= generation
                for pool, generation in self.pools.items()
            )

    def add_report(self, report: QuotaReport, now_ms: int) -> bool:
        """Take up a report; return whether it is a new one for this broker."""
        if report.broker_generation != self.generation:
            return False
        record = self.records.get(report.pool)
        if record is not None and not _is_newer(report, record.report):
            return False
        uses = {use.organisation: use for use in report.uses}
        if record is None:
            record = self.records[report.pool] = PoolRecord(report, uses)
            self.changed.update(uses)
        else:
            self._update_record(record, report, uses, now_ms)
        record.reported_ms = now_ms
        self._note_idle(record, now_ms)
        self._index(record)
        return True

    def _update_record(
        self,
        record: PoolRecord,
        report: QuotaReport,
        uses: dict[str, OrganisationUse],
        now_ms: int,
    ) -> None:
        if report.generation > record.report.generation:
            record.inherited = {
                organisation: record.position(
                    organisation, UNBOUNDED, now_ms
                ).commitment()
                for organisation in record.organisations()
            }
            record.unacknowledged, record.last_number = {}, 0
        if report.is_complete and record.inherited is not None:
            self.changed.update(record.inherited)
            record.inherited = None
        last = record.report
        if (report.unknown, report.version) != (last.unknown, last.version):
            self.changed.update(self.caps)
        self.changed.update(
            organisation
            for organisation in uses.keys() | record.uses.keys()
            if uses.get(organisation) != record.uses.get(organisation)
        )
        record.report, record.uses = report, uses
        self._forget_acknowledged(record)

    def _forget_acknowledged(self, record: PoolRecord) -> None:
        """Forget the grants that the last report of a pool acknowledges."""
        for organisation, sent in list(record.unacknowledged.items()):
            left = {
                amount: number
                for amount, number in sent.items()
                if number > record.report.grant_number
            }
            # A lost grant is sent again when its organisation is next considered.
            self.changed.add(organisation)
            if left:
                record.unacknowledged[organisation] = left
            else:
                del record.unacknowledged[organisation]

    def _note_idle(self, record: PoolRecord, now_ms: int) -> None:
        """Note since when organisations have work waiting and none running."""
        record.idle_since_ms = {
            use.organisation: record.idle_since_ms.get(use.organisation, now_ms)
            for use in record.uses.values()
            if use.running == NOTHING and use.waiting != NOTHING
        }

    def _index(self, record: PoolRecord) -> None:
        pool = record.report.pool
        for organisation in record.organisations():
            self.pools_by_organisation.setdefault(organisation, set()).add(pool)
        if record.report.unknown != NOTHING and record.inherited is None:
            self.opaque_pools.add(pool)
        else:
            self.opaque_pools.discard(pool)

    def plan(self, now_ms: int) -> list[QuotaGrant]:
        """Return the grants that are due, one for each pool at most."""
        if not self.is_open:
            return []
        changed = self.changed & self.caps.keys()
        due = self._due(changed, now_ms)
        self.changed = changed.difference(due)
        allotments: dict[str, list[AllottedAmount]] = {}
        for organisation in due:
            self.planned_ms[organisation] = now_ms
            for allotted, pool in self._plan_organisation(organisation, now_ms):
                allotments.setdefault(pool, []).append(allotted)
        return [
            self._grant(pool, tuple(allotted), now_ms)
            for pool, allotted in allotments.items()
        ]

    def _due(self, changed: set[str], now_ms: int) -> list[str]:
        """Return the organisations to plan now, those first that waited longest."""
        latest_ms = now_ms - ORGANISATION_PLAN_INTERVAL_MS
        due = [
            (self.planned_ms.get(name, latest_ms), name)
            for name in changed
            if self.planned_ms.get(name, latest_ms) <= latest_ms
        ]
        positions = 0
        names: list[str] = []
        for _, name in sorted(due):
            positions += self.count_positions(name)
            if names and positions > MAX_PLANNED_POSITIONS:
                break
            names.append(name)
        return names

    def committed(self, organisation: str, now_ms: int) -> Amount:
        """Return the commitments of all pools together for an organisation."""
        return _committed(self._positions(organisation, now_ms).values())

    def running(self, organisation: str) -> Amount:
        """Return what an organisation has running in all pools, as last reported."""
        total = NOTHING
        for pool in self._active_pools(organisation):
            total = total.plus(self.records[pool].use(organisation).running)
        return total

    def is_at_cap(self, organisation: str, now_ms: int) -> bool:
        """Return whether work waits, and all of the cap of a resource is committed."""
        cap = self.caps[organisation]
        positions = self._positions(organisation, now_ms).values()
        is_used_up = any(
            size and used >= size
            for used, size in zip(_committed(positions), cap, strict=True)
        )
        return is_used_up and any(position.is_short() for position in positions)

    def count_positions(self, organisation: str) -> int:
        """Return the number of pools to look at for an organisation, at least 1."""
        return max(1, len(self.pools_by_organisation.get(organisation, ())))

    def _positions(self, organisation: str, now_ms: int) -> dict[str, Position]:
        """Return what is known of an organisation in each of its pools."""
        cap = self.caps[organisation]
        return {
            pool: self.records[pool].position(organisation, cap, now_ms)
            for pool in self._active_pools(organisation)
        }

    def _active_pools(self, organisation: str) -> list[str]:
        """Return the pools with a commitment or a use; forgets the others."""
        indexed = self.pools_by_organisation.get(organisation, set())
        for pool in list(indexed):
            record = self.records.get(pool)
            if record is None or not record.concerns(organisation):
                indexed.discard(pool)
        return sorted(indexed | self.opaque_pools)

    def _plan_organisation(
        self, organisation: str, now_ms: int
    ) -> list[tuple[AllottedAmount, str]]:
        """Return the changed allotments of an organisation, with their pools."""
        positions = self._positions(organisation, now_ms)
        may_raise = not self._has_older_configuration(organisation)
        cap = self.caps[organisation]
        amounts = balance(cap, list(positions.values()), may_raise)
        return [
            (AllottedAmount(organisation, amount), pool)
            for pool, amount in zip(positions, amounts, strict=True)
            if amount is not None
        ]

    def _has_older_configuration(self, organisation: str) -> bool:
        """Return whether an owner may not yet limit an organisation.

        Until its report shows the configuration with the cap, what it starts is not
        bounded by its allotment.
        """
        since = self.capped_since.get(organisation, 0)
        return since > 0 and any(
            record.report.version < since for record in self.records.values()
        )

    def _grant(
        self, pool: str, allotments: tuple[AllottedAmount, ...], now_ms: int
    ) -> QuotaGrant:
        record = self.records[pool]
        record.last_number += 1
        record.sent_ms = now_ms
        for organisation, amount in allotments:
            sent = record.unacknowledged.setdefault(organisation, {})
            sent[amount] = record.last_number
        generation = record.report.generation
        return QuotaGrant(
            pool,
            generation,
            self.generation,
            record.last_number,
            self.version,
            allotments,
        )


def _committed(positions: Iterable[Position]) -> Amount:
    total = NOTHING
    for position in positions:
        total = total.plus(position.commitment())
    return total


def _is_newer(report: QuotaReport, last: QuotaReport) -> bool:
    return (report.generation, report.number) > (last.generation, last.number)


def _is_as_wide(before: Amount | None, cap: Amount) -> bool:
    """Return whether an earlier cap limits all resources that a cap limits."""
    return before is not None and all(
        old or not new for old, new in zip(before, cap, strict=True)
    )
