"""The task that owns the membership and the links to all peers.

The other tasks of an entry send inner messages through its mailbox.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from prometheus_client import Counter

from cornelturn.clock import Clock
from cornelturn.events.log import log_event, log_warning
from cornelturn.events.mailbox import Mailbox
from cornelturn.peering.codec import Batch, Codec
from cornelturn.peering.links import Link
from cornelturn.peering.membership import (
    Membership,
    MembershipEvent,
    PeerChange,
    PeerState,
    Redial,
)
from cornelturn.peering.messages import Goodbye, Heartbeat, InnerMessage, PeerAddress

MAX_LEAVING_INSTANCES = 256

GOODBYE_TIMEOUT_S = 0.1
"""Time that the links have to send the last frames of an entry that stops."""


@dataclass(frozen=True, slots=True)
class SendTo:
    """Send a message to an entry, which may be this one."""

    entry: str
    message: InnerMessage


@dataclass(frozen=True, slots=True)
class SendToAll:
    """Send a message to all peers that have a link."""

    message: InnerMessage


@dataclass(frozen=True, slots=True)
class BatchReceived:
    """A batch of messages has arrived from a peer."""

    batch: Batch


@dataclass(frozen=True, slots=True)
class PeersDiscovered:
    """Addresses of entries, read from the table or the settings."""

    peers: tuple[PeerAddress, ...]


@dataclass(frozen=True, slots=True)
class LocalStatusChanged:
    """State of this entry that its heartbeats carry.

    Parameters
    ----------
    generation : int
        Generation of the configuration in force at this entry.
    leaving : tuple of str
        Instances that this entry knows to be leaving.
    is_ready : bool
        Whether this entry takes part in dispatching.
    fleet_revision : int
        Revision of the table up to which this entry knows the instances.
    """

    generation: int
    leaving: tuple[str, ...]
    is_ready: bool
    fleet_revision: int = 0


@dataclass(frozen=True, slots=True)
class HeartbeatsDue:
    """Periodic tick: check for timeouts and send the heartbeats that are due."""


@dataclass(frozen=True, slots=True)
class LinkDisconnected:
    """The connection to a peer has closed."""

    peer: str


HubMessage = (
    SendTo
    | SendToAll
    | BatchReceived
    | PeersDiscovered
    | LocalStatusChanged
    | HeartbeatsDue
    | LinkDisconnected
)


@dataclass(frozen=True, slots=True)
class LiveEntries:
    """The entries that are alive, as this entry sees them.

    Parameters
    ----------
    ready : frozenset of str
        Entries that take part in dispatching, this one included if ready.
    peers : frozenset of str
        Live peers.
    """

    ready: frozenset[str]
    peers: frozenset[str]


@dataclass(frozen=True, slots=True)
class ReceivedMessage:
    """An inner message with its sender."""

    sender: str
    incarnation: int
    message: InnerMessage


@dataclass(slots=True)
class Hub:
    """Exchanges messages with the other entries and tracks which of them are alive.

    Parameters
    ----------
    deliver : callable
        Called with every received message except `Goodbye`.
    publish : callable
        Called when the set of live entries changes.
    on_superseded : callable
        Called when a peer knows a later incarnation of this entry.
    """

    membership: Membership
    codec: Codec
    clock: Clock
    message_counter: Counter
    deliver: Callable[[ReceivedMessage], None]
    publish: Callable[[LiveEntries], None]
    on_superseded: Callable[[], None]
    mailbox: Mailbox[HubMessage] = field(default_factory=Mailbox)
    links: dict[str, Link] = field(default_factory=dict)
    link_tasks: dict[str, asyncio.Task[None]] = field(default_factory=dict)
    local_status: LocalStatusChanged = field(
        default_factory=lambda: LocalStatusChanged(0, (), False)
    )
    live: LiveEntries = field(
        default_factory=lambda: LiveEntries(frozenset(), frozenset())
    )

    async def run(self) -> None:
        """Process messages until cancelled."""
        try:
            async for message in self.mailbox.messages():
                self._handle(message)
        finally:
            for peer in list(self.links):
                self._close_link(peer)

    async def send_goodbye(self) -> None:
        """Send `Goodbye` to all peers, then give the links time to send the frames."""
        self._send_to_all(Goodbye(self.membership.own))
        await asyncio.sleep(GOODBYE_TIMEOUT_S)

    def _handle(self, message: HubMessage) -> None:
        match message:
            case SendTo(entry, inner):
                self._send(entry, inner)
                self.membership.record_use(entry, self.clock.now_ms())
                self._send_heartbeat_if_due(entry)
            case SendToAll(inner):
                self._send_to_all(inner)
            case BatchReceived(batch):
                self._receive(batch)
            case PeersDiscovered(peers):
                for peer in peers:
                    self._apply(self.membership.discover(peer, self.clock.now_ms()))
            case LocalStatusChanged():
                self._change_status(message)
            case HeartbeatsDue():
                now_ms = self.clock.now_ms()
                self._apply(self.membership.check_timeouts(now_ms))
                self._send_heartbeats(self.membership.due_peers(now_ms))
            case LinkDisconnected(peer):
                self._apply(
                    self.membership.handle_disconnect(peer, self.clock.now_ms())
                )

    def _change_status(self, local_status: LocalStatusChanged) -> None:
        was_ready = self.local_status.is_ready
        self.local_status = local_status
        if was_ready != local_status.is_ready:
            self._send_heartbeats(self.membership.reachable_peers())
            self._publish()

    # Receiving

    def _receive(self, batch: Batch) -> None:
        self.message_counter.labels("received").inc(len(batch.messages))
        for message in batch.messages:
            match message:
                case Heartbeat():
                    self._handle_heartbeat(message)
                case Goodbye(peer):
                    self._apply(self.membership.handle_goodbye(peer))
                case _:
                    self.deliver(
                        ReceivedMessage(batch.sender, batch.incarnation, message)
                    )

    def _handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        now_ms = self.clock.now_ms()
        if heartbeat.receiver_incarnation > self.membership.own.incarnation:
            self.on_superseded()
            return
        events = self.membership.handle_heartbeat(heartbeat, now_ms)
        for peer in heartbeat.known:
            events += self.membership.discover(peer, now_ms)
        self._apply(events)
        self._send_heartbeat_if_due(heartbeat.peer.name)
        own = self.membership.own
        self.deliver(ReceivedMessage(heartbeat.peer.name, own.incarnation, heartbeat))

    # Sending

    def _send(self, entry: str, message: InnerMessage) -> None:
        own = self.membership.own
        if entry == own.name:
            self.deliver(ReceivedMessage(own.name, own.incarnation, message))
            return
        link = self.links.get(entry)
        if link is not None:
            self.message_counter.labels("sent").inc()
            link.mailbox.post(message)

    def _send_to_all(self, message: InnerMessage) -> None:
        """Send to all peers that have a link, including those not heard from yet."""
        for peer in list(self.links):
            self._send(peer, message)

    def _send_heartbeats(self, peers: list[PeerAddress]) -> None:
        for peer in peers:
            self._send_heartbeat(peer.name)

    def _send_heartbeat_if_due(self, peer: str) -> None:
        """Send a heartbeat if it has become due earlier than it was scheduled."""
        if peer in self.links and self.membership.is_heartbeat_due(
            peer, self.clock.now_ms()
        ):
            self._send_heartbeat(peer)

    def _send_heartbeat(self, peer: str) -> None:
        local_status = self.local_status
        heartbeat = self.membership.make_heartbeat(
            peer,
            local_status.generation,
            local_status.leaving[-MAX_LEAVING_INSTANCES:],
            local_status.is_ready,
            local_status.fleet_revision,
            self.clock.now_ms(),
        )
        self._send(peer, heartbeat)

    # Peers

    def _apply(self, events: list[MembershipEvent]) -> None:
        for event in events:
            match event:
                case PeerChange(peer, state):
                    log_event(
                        "peer",
                        peer=peer.name,
                        incarnation=peer.incarnation,
                        state=state,
                    )
                    self._update_link(peer, state)
                case Redial(peer):
                    log_warning("link_silent", peer=peer.name)
                    self._open_link(peer)
        if events:
            self._publish()

    def _update_link(self, peer: PeerAddress, state: PeerState) -> None:
        match state:
            case PeerState.GONE | PeerState.LEFT:
                self._close_link(peer.name)
            case PeerState.UNHEARD:
                self._open_link(peer)
            case PeerState.ALIVE | PeerState.SILENT:
                link = self.links.get(peer.name)
                if link is None or link.address != peer.address:
                    self._open_link(peer)

    def _open_link(self, peer: PeerAddress) -> None:
        self._close_link(peer.name)
        loop = asyncio.get_running_loop()
        link = Link(peer.name, peer.address, self.codec)
        link.on_disconnect = lambda: loop.call_soon_threadsafe(
            self._post_disconnected, link, peer.name
        )
        self.links[peer.name] = link
        self.link_tasks[peer.name] = asyncio.create_task(link.run())
        self._send_heartbeat(peer.name)

    def _post_disconnected(self, link: Link, peer: str) -> None:
        if self.links.get(peer) is link:
            self.mailbox.post(LinkDisconnected(peer))

    def _close_link(self, peer: str) -> None:
        link = self.links.pop(peer, None)
        task = self.link_tasks.pop(peer, None)
        if link is not None and task is not None:
            link.close(task)

    def _publish(self) -> None:
        ready = frozenset(self.membership.ready_entries(self.local_status.is_ready))
        live = LiveEntries(ready, frozenset(self.membership.live_peers()))
        if live != self.live:
            self.live = live
            self.publish(live)
