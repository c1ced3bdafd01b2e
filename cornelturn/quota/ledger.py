"""What the broker knows of each pool, and its decisions, without sockets.

The commitment of a pool for an organisation is an upper bound of what may run there.
An allotment is raised only while the commitments of all pools together stay within the
cap, so that no lost, late or reordered message lets more than the cap run.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from cornelturn.model.organisations import Organisation
from cornelturn.peering.messages import (
    AllottedAmount,
    OrganisationUse,
    QuotaGrant,
    QuotaReport,
)
from cornelturn.quota.amounts import NOTHING, Amount, amount_of
from cornelturn.quota.split import Share, split

RESEND_MS = 400
"""Time after which a grant that was not acknowledged counts as lost; two intervals of
the reports."""

FORGET_MS = 60_000
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

    def known(self, organisation: str) -> Amount:
        """Return what the organisation has running, or a predecessor left behind."""
        running = self.use(organisation).running
        if self.inherited is None:
            return running
        return running.highest(self.inherited.get(organisation, NOTHING))

    def known_commitment(self, organisation: str) -> Amount:
        """Return the commitment but for runs of which nothing is known."""
        return self.known(organisation).highest(self.permitted(organisation))

    def permitted(self, organisation: str) -> Amount:
        """Return the highest allotment by which the owner may be starting work."""
        amount = self.use(organisation).allotment
        for sent in self.unacknowledged.get(organisation, ()):
            amount = amount.highest(sent)
        return amount

    def commitment(self, organisation: str) -> Amount:
        """Return an upper bound of what may run before the next acknowledged grant."""
        known = self.known_commitment(organisation)
        if self.inherited is not None:
            return known
        unknown = self.report.unknown
        return known.highest(self.use(organisation).running.plus(unknown))

    def allotted(self, organisation: str, now_ms: int) -> Amount | None:
        """Return the allotment that was last sent and is not lost, as far as known.

        None is one that no longer holds, so that another must be sent.
        """
        sent = self.unacknowledged.get(organisation)
        if not sent or now_ms - self.sent_ms >= RESEND_MS:
            use = self.use(organisation)
            return None if use.is_outdated else use.allotment
        return max(sent, key=sent.__getitem__)

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
    is_open : bool
        Whether each pool's owner has reported; before that nothing is granted.
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

    def set_organisations(
        self, version: int, organisations: Iterable[Organisation]
    ) -> None:
        """Take up the caps of a configuration."""
        caps = {
            organisation.name: amount_of(organisation.cap)
            for organisation in organisations
            if organisation.has_cap()
        }
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
            if pool not in self.pools and now_ms - record.reported_ms >= FORGET_MS:
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
            self._update_record(record, report, uses)
        record.reported_ms = now_ms
        self._note_idle(record, now_ms)
        self._index(record)
        return True

    def _update_record(
        self,
        record: PoolRecord,
        report: QuotaReport,
        uses: dict[str, OrganisationUse],
    ) -> None:
        if report.generation > record.report.generation:
            record.inherited = {
                organisation: record.commitment(organisation)
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
        for organisation, sent in list(record.unacknowledged.items()):
            left = {
                amount: number
                for amount, number in sent.items()
                if number > report.grant_number
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
        changed, self.changed = self.changed & self.caps.keys(), set()
        allotments: dict[str, list[AllottedAmount]] = {}
        for organisation in sorted(changed):
            for allotted, pool in self._plan_organisation(organisation, now_ms):
                allotments.setdefault(pool, []).append(allotted)
        return [
            self._grant(pool, tuple(allotted), now_ms)
            for pool, allotted in allotments.items()
        ]

    def committed(self, organisation: str) -> Amount:
        """Return the commitments of all pools together for an organisation."""
        total = NOTHING
        for pool in self._active_pools(organisation):
            total = total.plus(self.records[pool].commitment(organisation))
        return total

    def running(self, organisation: str) -> Amount:
        """Return what an organisation has running in all pools, as last reported."""
        total = NOTHING
        for pool in self._active_pools(organisation):
            total = total.plus(self.records[pool].use(organisation).running)
        return total

    def is_short(self, organisation: str) -> bool:
        """Return whether an organisation has work waiting beyond its allotments."""
        return any(
            not record.known(organisation)
            .plus(record.use(organisation).waiting)
            .limited_by(self.caps[organisation])
            .fits_in(record.use(organisation).allotment)
            for pool in self._active_pools(organisation)
            for record in (self.records[pool],)
        )

    def is_used_up(self, organisation: str) -> bool:
        """Return whether allotments, or runs beyond them, take the whole cap."""
        cap = self.caps[organisation]
        committed = self.committed(organisation).limited_by(cap)
        return any(
            size and used >= size for used, size in zip(committed, cap, strict=True)
        )

    def _active_pools(self, organisation: str) -> list[str]:
        """Return the pools with a commitment or a use; forgets the others."""
        indexed = self.pools_by_organisation.get(organisation, set())
        for pool in list(indexed):
            record = self.records.get(pool)
            if record is None or organisation not in record.organisations():
                indexed.discard(pool)
        return sorted(indexed | self.opaque_pools)

    def _plan_organisation(
        self, organisation: str, now_ms: int
    ) -> list[tuple[AllottedAmount, str]]:
        """Return the changed allotments of an organisation, with their pools."""
        cap = self.caps[organisation]
        pools = self._active_pools(organisation)
        records = [self.records[pool] for pool in pools]
        current = [
            allotted.limited_by(cap) if allotted is not None else None
            for record in records
            for allotted in (record.allotted(organisation, now_ms),)
        ]
        commitments = [
            record.commitment(organisation).limited_by(cap) for record in records
        ]
        shares = [self._share(record, organisation, cap) for record in records]
        known = [
            record.known_commitment(organisation).limited_by(cap) for record in records
        ]
        shares = [self._share(record, organisation, cap) for record in records]
        free, known_free = _left(cap, commitments), _left(cap, known)
        is_short = any(
            amount is None or not share.wanted().fits_in(amount)
            for share, amount in zip(shares, current, strict=True)
        )
        if not is_short and min(known_free) >= 0:
            return []
        may_raise = not self._has_older_configuration(organisation)
        changes: list[tuple[AllottedAmount, str]] = []
        targets = split(cap, shares)
        for number in _by_need(shares, targets):
            permitted = records[number].permitted(organisation)
            limit = _limit(
                permitted,
                known[number].plus(known_free),
                commitments[number].plus(free) if may_raise else permitted,
                known_free,
                free,
            )
            amount = targets[number].lowest(limit)
            free = free.minus(amount.minus(commitments[number]).highest(NOTHING))
            if amount != current[number]:
                changes.append((AllottedAmount(organisation, amount), pools[number]))
        return changes

    def _share(self, record: PoolRecord, organisation: str, cap: Amount) -> Share:
        use = record.use(organisation)
        return Share(
            record.known(organisation).limited_by(cap),
            use.waiting.limited_by(cap),
            use.unit.limited_by(cap).lowest(cap),
            record.idle_since_ms.get(organisation),
        )

    def _has_older_configuration(self, organisation: str) -> bool:
        """Return whether an owner may not yet limit an organisation.

        Until its report shows the configuration with the cap, what it starts is not
        bounded by its allotment.
        """
        since = self.capped_since.get(organisation, 0)
        return any(record.report.version < since for record in self.records.values())

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


def _is_newer(report: QuotaReport, last: QuotaReport) -> bool:
    return (report.generation, report.number) > (last.generation, last.number)


def _is_as_wide(before: Amount | None, cap: Amount) -> bool:
    """Return whether an earlier cap limits all resources that a cap limits."""
    return before is not None and all(
        old or not new for old, new in zip(before, cap, strict=True)
    )


def _left(cap: Amount, commitments: list[Amount]) -> Amount:
    """Return what commitments leave of a cap, negative where they exceed it."""
    for commitment in commitments:
        cap = cap.minus(commitment)
    return cap


def _limit(
    permitted: Amount,
    within_known: Amount,
    within_all: Amount,
    known_free: Amount,
    free: Amount,
) -> Amount:
    """Return the highest allotment of a pool, for each resource.

    While all commitments are within the cap, it may use what they leave. While only
    runs of which nothing is known may exceed it, nothing is raised. While what is known
    exceeds it, as after the cap was lowered, the pool keeps what the others leave.
    """
    return Amount(
        *(
            max(0, least) if known_left < 0 else most if left >= 0 else allowed
            for allowed, least, most, known_left, left in zip(
                permitted, within_known, within_all, known_free, free, strict=True
            )
        )
    )


def _by_need(shares: list[Share], targets: list[Amount]) -> list[int]:
    """Return the order in which shares are raised: idle ones first, then smaller ones.

    An allotment that is raised but can't be used is then the last one.
    """
    return sorted(
        range(len(shares)),
        key=lambda number: (
            shares[number].waiting == NOTHING,
            shares[number].idle_since_ms is None,
            shares[number].idle_since_ms or 0,
            targets[number],
            number,
        ),
    )
