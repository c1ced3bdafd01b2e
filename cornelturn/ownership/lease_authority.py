"""Renewal of the lease of this entry, and its authority to act on its duties."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from cornelturn.clock import Clock
from cornelturn.events.log import log_event, log_warning
from cornelturn.fleet.lease import ObservedLease
from cornelturn.ownership.authority import MAX_READ_AGE_MS, ActingAuthority
from cornelturn.ownership.duties import entry_key
from cornelturn.ownership.evidence import HolderEvidence
from cornelturn.ownership.held_duties import HeldDuties
from cornelturn.ownership.keeper_log import AuthorityLog
from cornelturn.ownership.messages import DutyEvent, OutageQueryDue
from cornelturn.ownership.own_lease import OwnLease, Renewal
from cornelturn.ownership.reconcile_schedule import ReconcileSchedule
from cornelturn.peering.messages import OutageShared, PeerAddress
from cornelturn.store.port import RowStore

AUTHORITY_CHECK_INTERVAL_S = 0.25
"""Time between two checks of whether this entry may still act."""


@dataclass(slots=True)
class LeaseAuthority:
    """Renews the lease of this entry, and keeps the authority that renewals confirm.

    Parameters
    ----------
    processor : float
        Cores that this entry may use.
    evidence : HolderEvidence
        What the leases prove about predecessors.
    held : HeldDuties
        Duties that this entry holds; without any it needs no authority.
    on_event : callable
        Called with each query for outage reports.
    acting : ActingAuthority
        Time in which this entry may act.
    lease : OwnLease
        Lease of this entry.
    is_renewed : bool
        Whether the store has acknowledged the last renewal.
    last_read_ms : int
        When the rows were requested that were read last.
    is_store_reachable : bool
        Whether the last read of the rows succeeded.
    """

    own: PeerAddress
    store: RowStore
    clock: Clock
    processor: float
    evidence: HolderEvidence
    held: HeldDuties
    schedule: ReconcileSchedule
    on_event: Callable[[DutyEvent], None]
    acting: ActingAuthority = field(default_factory=ActingAuthority)
    lease: OwnLease = field(init=False)
    log: AuthorityLog = field(init=False)
    is_renewed: bool = False
    last_read_ms: int = 0
    is_store_reachable: bool = False

    def __post_init__(self) -> None:
        self.lease = OwnLease(
            self.own,
            self.store,
            self.clock,
            self.acting,
            self.evidence,
            self.processor,
        )
        self.log = AuthorityLog(self.own.name, self.acting)

    async def maintain(self) -> None:
        """Ask the others for outage reports while this entry cannot read its rows.

        Logs when this entry may no longer act, and when it may again. Runs until
        cancelled and, unlike a reconcile, waits for no call to the store.
        """
        while True:
            await asyncio.sleep(AUTHORITY_CHECK_INTERVAL_S)
            held = self.held.generations
            now_ms = self.clock.now_ms()
            if held and self.acting.needs_outage_reports(now_ms):
                self.on_event(OutageQueryDue(now_ms))
            now_ms = self.clock.now_ms()
            self.log.update(len(held), self.may_act(), now_ms)

    async def renew(self, revision: int | None) -> None:
        """Renew the lease, and request another renewal if that meets a conflict.

        Parameters
        ----------
        revision : int or None
            Revision up to which this entry has read the rows.
        """
        renewal = await self.lease.renew(self.held.given_up, revision)
        self.is_renewed = renewal is Renewal.WRITTEN
        if renewal is Renewal.CONFLICT:
            self.schedule.request_renewal()

    def record_read(self, sent_ms: int) -> None:
        """Record a read of the rows that were requested at a time."""
        self.last_read_ms = sent_ms
        if not self.is_store_reachable:
            self.is_store_reachable = True
            log_event("store_regained", entry=self.own.name)

    def record_failed_read(self, detail: str) -> None:
        """Record a failed read of the rows."""
        if self.is_store_reachable:
            self.is_store_reachable = False
            log_warning("store_lost", entry=self.own.name, detail=detail)

    def update(self, leases: Mapping[str, ObservedLease], revision: int) -> None:
        """Update the authority and the evidence with the leases that were read.

        Parameters
        ----------
        leases : mapping
            Leases of all entries, by their keys.
        revision : int
            Revision up to which the rows were read.
        """
        self.evidence.observe(leases)
        names = frozenset(lease.peer.name for lease in leases.values())
        self.acting.others = names - {self.own.name}
        own_lease = leases.get(entry_key(self.own.name))
        if own_lease is None or own_lease.peer.incarnation != self.own.incarnation:
            return
        # A row beyond the revision does not show that all rows before it were read.
        if own_lease.row.version <= revision:
            self.acting.confirm_renewal(own_lease.renewals)

    def may_act(self) -> bool:
        """Return whether this entry may still act on the duties that it holds."""
        now_ms = self.clock.now_ms()
        is_read = now_ms - self.last_read_ms < MAX_READ_AGE_MS
        return is_read and self.acting.may_act(now_ms)

    def report_outage(self) -> bool:
        """Return whether to report an outage to an entry that asks for reports."""
        return self.acting.report_outage(self.clock.now_ms())

    def receive_outage_report(self, peer: str, shared: OutageShared) -> None:
        """Record that another entry reported an outage when it was asked."""
        if shared.incarnation == self.own.incarnation:
            self.acting.add_outage_report(peer, shared.asked_ms, self.clock.now_ms())
