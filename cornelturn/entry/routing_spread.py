"""Distributes configurations to entries that can't read them from the store.

A document can be hundreds of kilobytes and the links of small entries carry only a few
megabits per second. So only its version is announced to all; an entry that has not
read the document after a short time requests it from one peer.
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
"""Time in which an entry that can reach the store reads a new version from it."""

PEER_REQUEST_RETRY_S = 1.0
"""Time after which the document is requested from the next peer."""

NO_VERSION = -1


@dataclass(slots=True)
class AnnouncedVersions:
    """The newest announced version, and the versions that peers have announced.

    Parameters
    ----------
    versions_by_peer : dict
        Latest version announced by each peer that has not been asked for it since.
    """

    newest_version: int = NO_VERSION
    versions_by_peer: dict[str, int] = field(default_factory=dict)

    def record(self, peer: str, version: int) -> bool:
        """Record the version of a peer; return whether it is the newest so far."""
        self.versions_by_peer[peer] = version
        is_new = version > self.newest_version
        self.newest_version = max(self.newest_version, version)
        return is_new

    def has_newer_than(self, version: int) -> bool:
        """Return whether a version newer than the given one was announced."""
        return self.newest_version > version

    def next_peer(self, live_peers: Collection[str]) -> str | None:
        """Return the peer to ask next: one with the newest version, else any other."""
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
    """Announces configurations to peers and requests missing ones from them.

    Parameters
    ----------
    send : callable
        Sends a message to one entry.
    send_all : callable
        Sends a message to all entries.
    live_peers : callable
        Returns the live peers.
    version_changed : Event
        Set when a newer version was announced or adopted.
    cached_message : RoutingSent or None
        Last message with a configuration, reused while that version is in force.
    """

    operator_watch: OperatorWatch
    send: Callable[[str, InnerMessage], None]
    send_all: Callable[[InnerMessage], None]
    live_peers: Callable[[], Collection[str]]
    announced_versions: AnnouncedVersions = field(default_factory=AnnouncedVersions)
    version_changed: asyncio.Event = field(default_factory=asyncio.Event)
    cached_message: RoutingSent | None = None

    async def run(self) -> None:
        """Request versions that the store does not deliver in time, until cancelled."""
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
        """Announce an adopted version to all peers, unless a peer has announced it."""
        self.version_changed.set()
        if version > self.announced_versions.newest_version:
            self.announced_versions.newest_version = version
            self.send_all(RoutingAnnounced(version))

    def record_announcement(self, peer: str, version: int) -> None:
        """Record that a peer has a version of the configuration."""
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
        """Adopt a configuration sent by a peer, if it is newer."""
        try:
            text = zlib.decompress(sent.document).decode()
        except (zlib.error, UnicodeDecodeError) as error:
            log_warning("configuration_unreadable", detail=str(error))
            return
        self.operator_watch.adopt_if_newer(text, RoutingSource.PEER)

    def _request_document(self) -> None:
        """Request a newer configuration from the next peer."""
        peer = self.announced_versions.next_peer(self.live_peers())
        if peer is None:
            return
        known, version = self._current_version(), self.announced_versions.newest_version
        log_event("configuration_asked", peer=peer, known=known, version=version)
        self.send(peer, RoutingWanted(known))

    async def _wait_for_change(self) -> None:
        """Wait until another version is in force, or the retry interval has passed."""
        known = self._current_version()
        try:
            async with asyncio.timeout(PEER_REQUEST_RETRY_S):
                while self._current_version() == known:
                    self.version_changed.clear()
                    await self.version_changed.wait()
        except TimeoutError:
            return

    def _current_version(self) -> int:
        """Return the version in force, or `NO_VERSION`."""
        current = self.operator_watch.current
        return NO_VERSION if current is None else current.version

    def _is_behind(self, version: int) -> bool:
        """Return whether the version in force is older than the given one."""
        return self._current_version() < version
