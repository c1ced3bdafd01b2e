"""Passes messages between the tasks of an entry, through their mailboxes."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from cornelturn.entry.parts import EntryParts
from cornelturn.fleet.configuration import ConfigurationReceived
from cornelturn.fleet.controller import EntriesChanged
from cornelturn.fleet.lease import ObservedLease
from cornelturn.fleet.mover import demand_key, encode_demand
from cornelturn.fleet.moves import PoolDemand
from cornelturn.fleet.registry import (
    FleetView,
    LeavingReported,
    ScanDue,
)
from cornelturn.model.configuration import Configuration
from cornelturn.model.fleet import Instance
from cornelturn.peering.codec import Batch
from cornelturn.peering.dispatch_messages import (
    Cancel,
    Granted,
    Inventory,
    InventoryWanted,
    LoanAnswered,
    LoanAsked,
    Offer,
    Refused,
    Reported,
)
from cornelturn.peering.hub import (
    BatchReceived,
    LiveEntries,
    LocalStatusChanged,
    ReceivedMessage,
    SendTo,
    SendToAll,
)
from cornelturn.peering.membership import PeerState
from cornelturn.peering.messages import (
    ConfigurationPushed,
    ConfigurationWanted,
    FleetChanged,
    Heartbeat,
    InnerMessage,
    InstanceLeaving,
)
from cornelturn.requests.front import (
    DispatchingEntriesChanged,
    InnerMessageReceived,
)
from cornelturn.requests.recovery import LeaseLapsed
from cornelturn.routing.rendezvous import rendezvous_owner
from cornelturn.store.rows import Put


@dataclass(slots=True)
class Wiring:
    """Delivers each message to the task that handles it.

    Parameters
    ----------
    spawn : callable
        Starts a task of the entry.
    is_stopping : bool
        Whether the entry no longer takes part in dispatching.
    """

    spawn: Callable[[Coroutine[Any, Any, None]], None]
    is_stopping: bool = False
    parts: EntryParts = field(init=False)

    def send(self, entry: str, message: InnerMessage) -> None:
        """Send an inner message to an entry, which may be this one."""
        self.parts.hub.mailbox.post(SendTo(entry, message))

    def send_all(self, message: InnerMessage) -> None:
        """Send an inner message to all live peers."""
        self.parts.hub.mailbox.post(SendToAll(message))

    def receive_batch(self, batch: Batch) -> None:
        """Pass a batch of a peer to the hub."""
        self.parts.hub.mailbox.post(BatchReceived(batch))

    def deliver(self, received: ReceivedMessage) -> None:
        """Deliver an inner message to the task that handles it."""
        match received.message:
            case Granted() | Refused() | InventoryWanted():
                self.parts.front.mailbox.post(
                    InnerMessageReceived(received.sender, received.message)
                )
            case (
                Offer()
                | Cancel()
                | Reported()
                | Inventory()
                | LoanAsked()
                | LoanAnswered()
            ):
                self.parts.dispatch_task.mailbox.post(received)
            case ConfigurationPushed() | ConfigurationWanted():
                self.parts.configuration_manager.mailbox.post(
                    ConfigurationReceived(received.sender, received.message)
                )
            case Heartbeat(leaving=leaving):
                self.parts.configuration_manager.mailbox.post(
                    ConfigurationReceived(received.sender, received.message)
                )
                if leaving:
                    self.parts.registry.mailbox.post(LeavingReported(leaving, False))
            case FleetChanged():
                self.parts.registry.mailbox.post(ScanDue())
            case InstanceLeaving(instance):
                self.parts.registry.mailbox.post(LeavingReported((instance,), False))

    def publish_entries(self, live: LiveEntries) -> None:
        """Send the set of live entries to the tasks that use it."""
        self.parts.front.mailbox.post(DispatchingEntriesChanged(live.ready))
        self.parts.dispatch_task.mailbox.post(live)
        self.parts.controller.mailbox.post(EntriesChanged(live.ready))

    def publish_fleet(self, view: FleetView) -> None:
        """Send the state of the instances to the tasks that use it."""
        self.parts.dispatch_task.mailbox.post(view)
        self.parts.controller.mailbox.post(view)
        self.publish_local_status()

    def publish_configuration(self, configuration: Configuration) -> None:
        """Send the configuration in force to the tasks that use it."""
        self.parts.dispatch_task.mailbox.post(configuration)
        self.parts.controller.mailbox.post(configuration)
        self.publish_local_status()

    def handle_target_leaving(self, target: str) -> None:
        """Pass on that a target has reported that it is leaving."""
        self.parts.registry.mailbox.post(LeavingReported((target,), True))

    def write_demand(self, demand: PoolDemand) -> None:
        """Write the demand of a pool to the table, in the background."""
        put = Put(demand_key(demand.pool), encode_demand(demand))
        self.spawn(self.write(put))

    async def write(self, put: Put) -> None:
        """Write a row unconditionally; a failed write is not retried."""
        await self.parts.table.commit(put)

    def handle_lapsed_lease(self, lease: ObservedLease) -> None:
        """Take over the requests of a lapsed entry if its lease falls to this entry."""
        if self.owns(lease.row.key):
            self.parts.recovery.mailbox.post(LeaseLapsed(lease))

    def owns(self, key: str) -> bool:
        """Return whether rendezvous hashing assigns a key to this entry."""
        ready = self.parts.hub.live.ready
        return rendezvous_owner(key, ready) == self.parts.own.name

    def refresh_fleet(self) -> None:
        """Make this entry and all peers read the instances again."""
        self.parts.registry.mailbox.post(ScanDue())
        self.send_all(FleetChanged())

    def is_drained(self, instance: Instance, revision: int) -> bool:
        """Return whether no live entry can still start work on an instance."""
        dispatcher = self.parts.dispatch_task.dispatchers.get(instance.pool)
        if dispatcher is None or dispatcher.is_recovering(self.parts.clock.now_ms()):
            return False
        target = dispatcher.targets.by_name.get(instance.name)
        if target is None or target.used_slots > 0:
            return False
        return all(
            view.fleet_revision >= revision
            for view in self.parts.hub.membership.peers.values()
            if view.state is PeerState.ALIVE and view.is_ready
        )

    def publish_local_status(self, is_ready: bool | None = None) -> None:
        """Pass to the hub what its heartbeats report of this entry.

        Parameters
        ----------
        is_ready : bool or None
            Whether the entry can take part in dispatching; None for no change.
        """
        reported_ready = (
            self.parts.hub.local_status.is_ready if is_ready is None else is_ready
        )
        self.parts.hub.mailbox.post(
            LocalStatusChanged(
                self.parts.configuration_manager.current.generation,
                tuple(sorted(self.parts.registry.leaving_marks.marked_instances())),
                reported_ready and not self.is_stopping,
                self.parts.registry.revision,
            )
        )
