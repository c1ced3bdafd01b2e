"""Passes each message of another entry to the part of this entry that handles it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from cornelturn.entry.duty_tasks import DutyTasks
from cornelturn.entry.organisation_figures import EntryFigures
from cornelturn.entry.routing_spread import RoutingDistributor
from cornelturn.jobs.relay import StoreRelay
from cornelturn.jobs.service import JobService
from cornelturn.ownership.keeper import DutyKeeper
from cornelturn.peering.hub import ReceivedMessage
from cornelturn.peering.messages import (
    CordonWanted,
    DutiesChanged,
    Heartbeat,
    InnerMessage,
    JobChanged,
    OutageAsked,
    OutageShared,
    PoolClaimed,
    PoolCounts,
    PoolGivenUp,
    PoolLoad,
    RoutingAnnounced,
    RoutingSent,
    RoutingWanted,
    TargetsChanged,
)
from cornelturn.peering.organisation_messages import (
    AdmissionRefusals,
    CapsConfirmed,
    FiguresWanted,
)
from cornelturn.peering.quota_messages import QuotaGrant, QuotaReport
from cornelturn.peering.store_messages import StoreAsked, StoreTold
from cornelturn.scheduling.messages import CordonRequest, JobRowsRead
from cornelturn.store.rows import Row

ConfigurationMessage = Heartbeat | RoutingAnnounced | RoutingWanted | RoutingSent
OwnerBoundMessage = JobChanged | CordonWanted | PoolLoad | QuotaReport | QuotaGrant
OwnershipMessage = (
    DutiesChanged | PoolClaimed | PoolGivenUp | OutageAsked | OutageShared
)


@dataclass(slots=True)
class MessageDelivery:
    """Delivers the messages of other entries within an entry that has joined them.

    Parameters
    ----------
    send : callable
        Sends a message to an entry.
    refresh_targets : callable
        Reads the list of targets immediately.
    """

    keeper: DutyKeeper
    duties: DutyTasks
    relay: StoreRelay
    service: JobService
    figures: EntryFigures
    routing_distributor: RoutingDistributor
    send: Callable[[str, InnerMessage], None]
    refresh_targets: Callable[[], None]

    def deliver(self, received: ReceivedMessage) -> None:
        """Pass a message to the part that handles it."""
        sender = received.sender
        match received.message:
            case (
                Heartbeat() | RoutingAnnounced() | RoutingWanted() | RoutingSent()
            ) as message:
                self._deliver_configuration(sender, message)
            case (
                JobChanged()
                | CordonWanted()
                | PoolLoad()
                | QuotaReport()
                | QuotaGrant()
            ) as message:
                self._deliver_to_owner(sender, message)
            case (
                DutiesChanged()
                | PoolClaimed()
                | PoolGivenUp()
                | OutageAsked()
                | OutageShared()
            ) as message:
                self._deliver_ownership(sender, message)
            case (AdmissionRefusals() | CapsConfirmed() | FiguresWanted()) as message:
                self.figures.receive(sender, message)
            case PoolCounts() as counts:
                self.service.update_counts(counts)
                self.figures.update_pool(counts)
            case TargetsChanged():
                self.refresh_targets()
            case StoreAsked() as request:
                self.relay.handle_request(sender, request)
            case StoreTold() as reply:
                self.relay.handle_reply(reply)

    def _deliver_configuration(
        self, sender: str, message: ConfigurationMessage
    ) -> None:
        match message:
            case Heartbeat(generation=version) | RoutingAnnounced(version):
                self.routing_distributor.record_announcement(sender, version)
            case RoutingWanted(version):
                self.routing_distributor.handle_request(sender, version)
            case RoutingSent() as sent:
                self.routing_distributor.handle_document(sent)

    def _deliver_to_owner(self, sender: str, message: OwnerBoundMessage) -> None:
        match message:
            case JobChanged(pool, key, text, version, waited_ms):
                rows = (Row(key, version, "", text),)
                self.duties.send_to_owner(pool, JobRowsRead(rows, waited_ms))
            case CordonWanted(pool, targets, number):
                cordon = CordonRequest(frozenset(targets), number)
                self.duties.send_to_owner(pool, cordon)
            case PoolLoad() as load:
                self.duties.update_load(load)
            case QuotaReport() as report:
                self.duties.quota.update(report, sender)
            case QuotaGrant(pool=pool) as grant:
                self.duties.send_to_owner(pool, grant)

    def _deliver_ownership(self, sender: str, message: OwnershipMessage) -> None:
        match message:
            case DutiesChanged():
                self.keeper.schedule.request_reconcile()
            case PoolClaimed(pool, generation):
                self.duties.give_up_pool(pool, generation, sender)
            case PoolGivenUp() as given_up:
                self.keeper.held.receive_predecessor_answer(given_up)
            case OutageAsked(incarnation, asked_ms):
                if self.keeper.report_outage():
                    self.send(sender, OutageShared(incarnation, asked_ms))
            case OutageShared() as shared:
                self.keeper.authority.receive_outage_report(sender, shared)
