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
"""Time in which an entry that reaches the store reads a new version there."""

ASK_RETRY_S = 1.0
"""Time after which the next peer is asked."""

NO_VERSION = -1


@dataclass(slots=True)
class RoutingSources:
    """The newest configuration that was told of, and who has which.

    Parameters
    ----------
    told_by : dict
        Newest version that each peer has told of and was not asked for since.
    """

    version: int = NO_VERSION
    told_by: dict[str, int] = field(default_factory=dict)

    def told(self, peer: str, version: int) -> bool:
        """Take in that a peer has a version; return whether it is a new one."""
        self.told_by[peer] = version
        is_new = version > self.version
        self.version = max(self.version, version)
        return is_new

    def is_newer_than(self, version: int) -> bool:
        """Return whether a configuration above a version was told of."""
        return self.version > version

    def next_peer(self, live: Collection[str]) -> str | None:
        """Return the peer to ask now: one that has the newest, then any other."""
        newest = [one for one in live if self.told_by.get(one) == self.version]
        candidates = newest or live
        if not candidates:
            return None
        peer = random.choice(sorted(candidates))
        self.told_by = {
            one: version
            for one, version in self.told_by.items()
            if one in live and one != peer
        }
        return peer


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
    changed : Event
        Set when a newer version was told of or adopted.
    packed : RoutingSent or None
        The configuration in force as it was last sent.
    """

    operator: OperatorWatch
    send: Callable[[str, InnerMessage], None]
    send_all: Callable[[InnerMessage], None]
    live: Callable[[], Collection[str]]
    sources: RoutingSources = field(default_factory=RoutingSources)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    packed: RoutingSent | None = None

    async def run(self) -> None:
        """Ask peers for ever for versions that do not come from the store in time."""
        while True:
            await self.changed.wait()
            self.changed.clear()
            while self.sources.is_newer_than(self._known()):
                awaited = self.sources.version
                await asyncio.sleep(ASK_DELAY_S)
                while self._is_behind(awaited):
                    self._ask()
                    await self._wait_for_change()

    def adopted(self, version: int) -> None:
        """Tell all of a new configuration, unless they have been told."""
        self.changed.set()
        if version > self.sources.version:
            self.sources.version = version
            self.send_all(RoutingAnnounced(version))

    def announced(self, peer: str, version: int) -> None:
        """Take in that a peer has a configuration."""
        if self.sources.told(peer, version):
            known = self._known()
            log_event(
                "configuration_announced", version=version, peer=peer, known=known
            )
            self.changed.set()

    def wanted(self, peer: str, version: int) -> None:
        """Send the configuration in force to a peer that has an older one."""
        current = self.operator.current
        if current is None or current.version <= version:
            return
        if self.packed is None or self.packed.version != current.version:
            document = zlib.compress(self.operator.text.encode())
            self.packed = RoutingSent(current.version, document)
        log_event(
            "configuration_sent",
            peer=peer,
            known=version,
            version=current.version,
            bytes=len(self.packed.document),
        )
        self.send(peer, self.packed)

    def arrived(self, sent: RoutingSent) -> None:
        """Adopt a configuration that a peer has sent."""
        try:
            text = zlib.decompress(sent.document).decode()
        except (zlib.error, UnicodeDecodeError) as error:
            log_warning("configuration_unreadable", detail=str(error))
            return
        self.operator.offer(text, RoutingSource.PEER)

    def _ask(self) -> None:
        """Ask a peer for a newer configuration."""
        peer = self.sources.next_peer(self.live())
        if peer is None:
            return
        known, version = self._known(), self.sources.version
        log_event("configuration_asked", peer=peer, known=known, version=version)
        self.send(peer, RoutingWanted(known))

    async def _wait_for_change(self) -> None:
        """Wait for an answer, for a moment at most."""
        known = self._known()
        try:
            async with asyncio.timeout(ASK_RETRY_S):
                while self._known() == known:
                    self.changed.clear()
                    await self.changed.wait()
        except TimeoutError:
            return

    def _known(self) -> int:
        """Return the version in force."""
        current = self.operator.current
        return NO_VERSION if current is None else current.version

    def _is_behind(self, version: int) -> bool:
        """Return whether a version is not in force yet, nor a newer one."""
        return self._known() < version
