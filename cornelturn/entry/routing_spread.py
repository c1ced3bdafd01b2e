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

PEER_REQUEST_DELAY_S = 0.4
"""Time in which an entry that reaches the store reads a new version there."""

PEER_REQUEST_RETRY_S = 1.0
"""Time after which the next peer is asked."""

NO_VERSION = -1


@dataclass(slots=True)
class AnnouncedVersions:
    """The newest configuration that was told of, and who has which.

    Parameters
    ----------
    versions_by_peer : dict
        Newest version that each peer has told of and was not asked for since.
    """

    newest_version: int = NO_VERSION
    versions_by_peer: dict[str, int] = field(default_factory=dict)

    def record(self, peer: str, version: int) -> bool:
        """Take in that a peer has a version; return whether it is a new one."""
        self.versions_by_peer[peer] = version
        is_new = version > self.newest_version
        self.newest_version = max(self.newest_version, version)
        return is_new

    def has_newer_than(self, version: int) -> bool:
        """Return whether a configuration above a version was told of."""
        return self.newest_version > version

    def next_peer(self, live_peers: Collection[str]) -> str | None:
        """Return the peer to ask now: one that has the newest, then any other."""
        newest = [
            name
            for name in live_peers
            if self.versions_by_peer.get(name) == self.newest_version
        ]
        candidates = newest or live_peers
        if not candidates:
            return None
        peer = random.choice(sorted(candidates))
        self.versions_by_peer = {
            name: version
            for name, version in self.versions_by_peer.items()
            if name in live_peers and name != peer
        }
        return peer


@dataclass(slots=True)
class RoutingDistributor:
    """Tells peers of configurations, and asks them for those that are missing.

    Parameters
    ----------
    send : callable
        Sends a message to one entry.
    send_all : callable
        Sends a message to all entries.
    live_peers : callable
        Returns the live peers.
    version_changed : Event
        Set when a newer version was told of or adopted.
    cached_message : RoutingSent or None
        The configuration in force as it was last sent.
    """

    operator_watch: OperatorWatch
    send: Callable[[str, InnerMessage], None]
    send_all: Callable[[InnerMessage], None]
    live_peers: Callable[[], Collection[str]]
    announced_versions: AnnouncedVersions = field(default_factory=AnnouncedVersions)
    version_changed: asyncio.Event = field(default_factory=asyncio.Event)
    cached_message: RoutingSent | None = None

    async def run(self) -> None:
        """Ask peers for ever for versions that do not come from the store in time."""
        while True:
            await self.version_changed.wait()
            self.version_changed.clear()
            while self.announced_versions.has_newer_than(self._current_version()):
                awaited = self.announced_versions.newest_version
                await asyncio.sleep(PEER_REQUEST_DELAY_S)
                while self._is_behind(awaited):
                    self._request_document()
                    await self._wait_for_change()

    def announce(self, version: int) -> None:
        """Tell all of a new configuration, unless they have been told."""
        self.version_changed.set()
        if version > self.announced_versions.newest_version:
            self.announced_versions.newest_version = version
            self.send_all(RoutingAnnounced(version))

    def record_announcement(self, peer: str, version: int) -> None:
        """Take in that a peer has a configuration."""
        if self.announced_versions.record(peer, version):
            known = self._current_version()
            log_event(
                "configuration_announced", version=version, peer=peer, known=known
            )
            self.version_changed.set()

    def handle_request(self, peer: str, version: int) -> None:
        """Send the configuration in force to a peer that has an older one."""
        current = self.operator_watch.current
        if current is None or current.version <= version:
            return
        if (
            self.cached_message is None
            or self.cached_message.version != current.version
        ):
            document = zlib.compress(self.operator_watch.document.encode())
            self.cached_message = RoutingSent(current.version, document)
        log_event(
            "configuration_sent",
            peer=peer,
            known=version,
            version=current.version,
            bytes=len(self.cached_message.document),
        )
        self.send(peer, self.cached_message)

    def handle_document(self, sent: RoutingSent) -> None:
        """Adopt a configuration that a peer has sent."""
        try:
            text = zlib.decompress(sent.document).decode()
        except (zlib.error, UnicodeDecodeError) as error:
            log_warning("configuration_unreadable", detail=str(error))
            return
        self.operator_watch.adopt_if_newer(text, RoutingSource.PEER)

    def _request_document(self) -> None:
        """Ask a peer for a newer configuration."""
        peer = self.announced_versions.next_peer(self.live_peers())
        if peer is None:
            return
        known, version = self._current_version(), self.announced_versions.newest_version
        log_event("configuration_asked", peer=peer, known=known, version=version)
        self.send(peer, RoutingWanted(known))

    async def _wait_for_change(self) -> None:
        """Wait for an answer, for a moment at most."""
        known = self._current_version()
        try:
            async with asyncio.timeout(PEER_REQUEST_RETRY_S):
                while self._current_version() == known:
                    self.version_changed.clear()
                    await self.version_changed.wait()
        except TimeoutError:
            return

    def _current_version(self) -> int:
        """Return the version in force."""
        current = self.operator_watch.current
        return NO_VERSION if current is None else current.version

    def _is_behind(self, version: int) -> bool:
        """Return whether a version is not in force yet, nor a newer one."""
        return self._current_version() < version
