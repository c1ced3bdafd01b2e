"""Decisions about which entries are alive, without sockets."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from xxhash import xxh64_intdigest

from cornelturn.peering.messages import Heartbeat, PeerAddress

HEARTBEAT_INTERVAL_MS = 250
PEER_TIMEOUT_MS = 1_000
REDIAL_MS = 1_000
FORGET_MS = 60_000

KNOWN_A_BEAT = 8
"""Addresses in one heartbeat at most, so that its size has a bound."""


class PeerState(StrEnum):
    """What is known of a peer."""

    UNHEARD = "unheard"
    ALIVE = "alive"
    SILENT = "silent"
    GONE = "gone"
    LEFT = "left"


@dataclass(slots=True)
class PeerView:
    """One peer as this entry sees it."""

    address: PeerAddress
    state: PeerState
    first_seen_ms: int
    heard_ms: int = 0
    heard_sequence: int = 0
    echoed_sequence: int = 0
    echo_rose_ms: int = 0
    dialled_ms: int = 0
    generation: int = 0
    is_ready: bool = False
    fleet_revision: int = 0
    digest: int = 0
    told: int = 0


@dataclass(frozen=True, slots=True)
class PeerChange:
    """A peer changed its state."""

    peer: PeerAddress
    state: PeerState


@dataclass(frozen=True, slots=True)
class Redial:
    """The way to a peer is silent; a new connection is due."""

    peer: PeerAddress


MembershipEvent = PeerChange | Redial


@dataclass(slots=True)
class Membership:
    """Peers, their incarnations and their signs of life.

    Parameters
    ----------
    own : PeerAddress
        This entry.
    timeout_ms : int
        Time without a heartbeat after which a peer is silent; the same holds for
        heartbeats of this entry that the peer does not echo.
    digest : int
        Hash of the names and incarnations of this entry and of the peers alive.
    """

    own: PeerAddress
    peers: dict[str, PeerView] = field(default_factory=dict)
    sequence: int = 0
    timeout_ms: int = PEER_TIMEOUT_MS
    digest: int = field(init=False)

    def __post_init__(self) -> None:
        self.digest = _digest(self.own)

    def learn(self, address: PeerAddress, now_ms: int) -> list[MembershipEvent]:
        """Take note of an entry that somebody has named.

        One that was given up is tried again: contact may be back.
        """
        known = self.peers.get(address.name)
        if address.name == self.own.name:
            return []
        if known is not None and not _is_news(known, address):
            return []
        if known is not None:
            self._change(known, PeerState.GONE)
        self.peers[address.name] = PeerView(
            address,
            PeerState.UNHEARD,
            now_ms,
            echo_rose_ms=now_ms,
            dialled_ms=now_ms,
        )
        return [PeerChange(address, PeerState.UNHEARD)]

    def heard(self, beat: Heartbeat, now_ms: int) -> list[MembershipEvent]:
        """Take in a heartbeat; one of an earlier incarnation is ignored."""
        events = self.learn(beat.peer, now_ms)
        view = self.peers.get(beat.peer.name)
        if view is None or view.address.incarnation != beat.peer.incarnation:
            return []
        if view.state is PeerState.LEFT:
            return []
        view.heard_ms = now_ms
        view.heard_sequence = max(view.heard_sequence, beat.sequence)
        view.generation = beat.generation
        view.fleet_revision = beat.fleet_revision
        view.digest = beat.digest
        if beat.echo > view.echoed_sequence:
            view.echoed_sequence = beat.echo
            view.echo_rose_ms = now_ms
        if view.state is not PeerState.ALIVE or view.is_ready != beat.is_ready:
            view.is_ready = beat.is_ready
            events.append(self._change(view, PeerState.ALIVE))
        return events

    def goodbye(self, peer: PeerAddress) -> list[MembershipEvent]:
        """Take note that a peer stops as planned."""
        view = self.peers.get(peer.name)
        if view is None or view.address.incarnation != peer.incarnation:
            return []
        return [self._change(view, PeerState.LEFT)]

    def link_dropped(self, peer: str) -> list[MembershipEvent]:
        """Suspect a peer whose connection closed until it is heard again."""
        view = self.peers.get(peer)
        if view is None or view.state is not PeerState.ALIVE:
            return []
        return [self._change(view, PeerState.SILENT)]

    def check(self, now_ms: int) -> list[MembershipEvent]:
        """Find peers and links that have fallen silent."""
        events: list[MembershipEvent] = []
        for view in list(self.peers.values()):
            events += self._check_peer(view, now_ms)
        return events

    def beat_for(
        self,
        peer: str,
        generation: int,
        leaving: tuple[str, ...],
        is_ready: bool,
        fleet_revision: int,
    ) -> Heartbeat:
        """Return the heartbeat that is due to a peer."""
        view = self.peers[peer]
        return Heartbeat(
            peer=self.own,
            sequence=self.sequence,
            echo=view.heard_sequence,
            receiver_incarnation=view.address.incarnation,
            generation=generation,
            known=self._news_for(view),
            leaving=leaving,
            is_ready=is_ready,
            fleet_revision=fleet_revision,
            digest=self.digest,
        )

    def live_ready(self, is_self_ready: bool) -> set[str]:
        """Return the names of the entries that take part in dispatching."""
        names = {view.address.name for view in self._alive() if view.is_ready}
        return names | {self.own.name} if is_self_ready else names

    def live_peers(self) -> set[str]:
        """Return the names of the peers that are alive."""
        return {view.address.name for view in self._alive()}

    def reachable(self) -> list[PeerAddress]:
        """Return the peers that heartbeats go to."""
        wanted = (PeerState.UNHEARD, PeerState.ALIVE, PeerState.SILENT)
        return [view.address for view in self.peers.values() if view.state in wanted]

    def _alive(self) -> list[PeerView]:
        return [one for one in self.peers.values() if one.state is PeerState.ALIVE]

    def _news_for(self, view: PeerView) -> tuple[PeerAddress, ...]:
        """Return the next addresses for a peer that knows other entries.

        All are named in turn, so that a few heartbeats tell the whole list.
        """
        if view.digest == self.digest:
            return ()
        alive = self._alive()
        first = view.told if view.told < len(alive) else 0
        view.told = first + KNOWN_A_BEAT
        return tuple(one.address for one in alive[first : view.told])

    def _change(self, view: PeerView, state: PeerState) -> PeerChange:
        """Give a peer a state and keep the digest up to date."""
        if (view.state is PeerState.ALIVE) != (state is PeerState.ALIVE):
            self.digest ^= _digest(view.address)
        view.state = state
        return PeerChange(view.address, state)

    def _check_peer(self, view: PeerView, now_ms: int) -> list[MembershipEvent]:
        last_ms = max(view.heard_ms, view.first_seen_ms)
        match view.state:
            case PeerState.ALIVE if now_ms - last_ms > self.timeout_ms:
                change = self._change(view, PeerState.SILENT)
                return [change, self._redial(view, now_ms)]
            case PeerState.ALIVE if now_ms - view.echo_rose_ms > self.timeout_ms:
                view.echo_rose_ms = now_ms
                return [self._redial(view, now_ms)]
            case PeerState.UNHEARD | PeerState.SILENT if now_ms - last_ms > FORGET_MS:
                return [self._change(view, PeerState.GONE)]
            case PeerState.UNHEARD | PeerState.SILENT if (
                now_ms - view.dialled_ms >= REDIAL_MS
            ):
                return [self._redial(view, now_ms)]
            case _:
                return []

    def _redial(self, view: PeerView, now_ms: int) -> Redial:
        view.dialled_ms = now_ms
        return Redial(view.address)


def _digest(address: PeerAddress) -> int:
    return xxh64_intdigest(f"{address.name}/{address.incarnation}".encode())


def _is_news(known: PeerView, address: PeerAddress) -> bool:
    if known.state is PeerState.GONE:
        return address.incarnation >= known.address.incarnation
    return address.incarnation > known.address.incarnation
