"""Hubs of many entries in one loop, without the rest of an entry."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from cornelturn.benchmarks.peers import KEY, make_message_counter
from cornelturn.clock import NANOSECONDS_PER_MILLISECOND, Clock
from cornelturn.entry.job_membership import JOB_HEARTBEAT_INTERVAL_S, job_membership
from cornelturn.events.mailbox import post_every
from cornelturn.peering.codec import Codec
from cornelturn.peering.hub import (
    BatchReceived,
    HeartbeatsDue,
    Hub,
    LocalStatusChanged,
    PeersDiscovered,
    ReceivedMessage,
    SendTo,
)
from cornelturn.peering.messages import Heartbeat, PeerAddress, TargetsChanged
from cornelturn.tests.network import MemoryListener, Network, owner_context

NANOSECONDS_PER_SECOND = 1_000 * NANOSECONDS_PER_MILLISECOND


@dataclass
class PeerMesh:
    """Hubs that share one loop, with the messages delivered to each."""

    network: Network
    hubs: dict[str, Hub] = field(default_factory=dict)
    delivered: dict[str, list[ReceivedMessage]] = field(default_factory=dict)

    def start(self, entries: int) -> None:
        """Start the hubs; none of them knows another."""
        for number in range(entries):
            self._add(f"entry-{number}")

    def announce_entries(self, *receivers: str) -> None:
        """Give the addresses of all entries to some entries, or to all."""
        addresses = tuple(hub.membership.own for hub in self.hubs.values())
        for name in receivers or tuple(self.hubs):
            self.hubs[name].mailbox.post(PeersDiscovered(addresses))

    def send(self, sender: str, receiver: str) -> None:
        """Send a message to one entry."""
        message = TargetsChanged("phone")
        self.hubs[sender].mailbox.post(SendTo(receiver, message))

    def live_peers(self, name: str) -> set[str]:
        """Return the peers that are alive to an entry."""
        return self.hubs[name].membership.live_peers()

    def received_count(self, name: str) -> int:
        """Return the number of messages delivered to an entry, without heartbeats."""
        return sum(
            not isinstance(received.message, Heartbeat)
            for received in self.delivered[name]
        )

    def _add(self, name: str) -> None:
        codec = Codec(name, 1, KEY)
        context = owner_context(name)
        listener = context.run(
            self.network.listener,
            "",
            codec,
            lambda batch: hub.mailbox.post(BatchReceived(batch)),
        )
        hub = self._hub(name, codec, listener)
        self.hubs[name] = hub
        hub.mailbox.post(LocalStatusChanged(0, (), True))
        for work in (
            hub.run(),
            post_every(hub.mailbox, HeartbeatsDue(), JOB_HEARTBEAT_INTERVAL_S),
        ):
            asyncio.create_task(work, context=context)

    def _hub(self, name: str, codec: Codec, listener: MemoryListener) -> Hub:
        loop = self.network.loop
        self.delivered[name] = []
        return Hub(
            membership=job_membership(PeerAddress(name, 1, listener.open())),
            codec=codec,
            clock=Clock(lambda: round(loop.time() * NANOSECONDS_PER_SECOND)),
            message_counter=make_message_counter(),
            deliver=self.delivered[name].append,
            publish=lambda _: None,
            on_superseded=lambda: None,
        )
