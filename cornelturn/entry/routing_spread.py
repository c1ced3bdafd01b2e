"""How entries hear of a configuration that they can't read in the store themselves.

A document may have hundreds of kilobytes and the links of small entries carry few
megabits a second. So only its version is told to all; an entry that does not read the
document soon asks one peer for it.
"""

from __future__ import annotations

import asyncio
import random
import zlib
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from cornelturn.entry.watches import OperatorWatch, RoutingSource
from cornelturn.events.log import log_event, log_warning
from cornelturn.peering.messages import (
    InnerMessage,
    RoutingAnnounced,
    RoutingSent,
    RoutingWanted,
)

ASK_DELAY_S = 0.4
"""Time in which an entry that reaches the store reads the document there."""

ASK_RETRY_S = 1.0
"""Time after which the next peer is asked."""

NO_VERSION = -1


@dataclass(slots=True)
class RoutingSources:
    """The newest configuration that was told of, and who told of it.

    Parameters
    ----------
    peers : list of str
        Peers that have it and were not asked yet.
    """

    version: int = NO_VERSION
    peers: list[str] = field(default_factory=list)

    def told(self, peer: str, version: int) -> bool:
        """Take in that a peer has a version; return whether it is a new one."""
        if version < self.version:
            return False
        is_new = version > self.version
        if is_new:
            self.version = version
            self.peers.clear()
        self.peers.append(peer)
        return is_new

    def is_newer_than(self, version: int) -> bool:
        """Return whether a configuration above a version was told of."""
        return self.version > version

    def next_peer(self, live: Collection[str]) -> str | None:
        """Return the peer to ask now: those that told of it first, then any other."""
        while self.peers:
            peer = self.peers.pop(0)
            if peer in live:
                return peer
        return random.choice(sorted(live)) if live else None


@dataclass(slots=True)
class RoutingSpread:
    """Tells peers of configurations, and asks them for those that are missing.

    Parameters
    ----------
    send : callable
        Sends a message to one entry.
    send_all : callable
        Sends a message to all entries.
    live : callable
        Returns the live peers.
    """

    operator: OperatorWatch
    send: Callable[[str, InnerMessage], None]
    send_all: Callable[[InnerMessage], None]
    live: Callable[[], Collection[str]]
    sources: RoutingSources = field(default_factory=RoutingSources)

    def adopted(self, version: int) -> None:
        """Tell all of a new configuration, unless they have been told."""
        if version > self.sources.version:
            self.sources.version = version
            self.send_all(RoutingAnnounced(version))

    def announced(self, peer: str, version: int) -> None:
        """Take in that a peer has a configuration."""
        if self.sources.told(peer, version):
            log_event(
                "configuration_announced",
                version=version,
                peer=peer,
                known=self._known(),
            )
            loop = asyncio.get_running_loop()
            loop.call_later(ASK_DELAY_S, self._ask, version)

    def wanted(self, peer: str, version: int) -> None:
        """Send the configuration in force to a peer that has an older one."""
        current = self.operator.current
        if current is not None and current.version > version:
            document = zlib.compress(self.operator.text.encode())
            log_event(
                "configuration_sent",
                peer=peer,
                known=version,
                version=current.version,
                bytes=len(document),
            )
            self.send(peer, RoutingSent(current.version, document))

    def arrived(self, sent: RoutingSent) -> None:
        """Adopt a configuration that a peer has sent."""
        try:
            text = zlib.decompress(sent.document).decode()
        except (zlib.error, UnicodeDecodeError) as error:
            log_warning("configuration_unreadable", detail=str(error))
            return
        self.operator.offer(text, RoutingSource.PEER)

    def _ask(self, version: int) -> None:
        """Ask a peer while the version that was told of is missing."""
        known = self._known()
        if version < self.sources.version or not self.sources.is_newer_than(known):
            return
        peer = self.sources.next_peer(self.live())
        if peer is not None:
            log_event("configuration_asked", peer=peer, known=known, version=version)
            self.send(peer, RoutingWanted(known))
        asyncio.get_running_loop().call_later(ASK_RETRY_S, self._ask, version)

    def _known(self) -> int:
        """Return the version in force."""
        current = self.operator.current
        return NO_VERSION if current is None else current.version
