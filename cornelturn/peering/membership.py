"""Failure detection: which entries are alive and when heartbeats are due.

Decisions only, without sockets.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from math import ceil

from xxhash import xxh64_intdigest

from cornelturn.peering.messages import Heartbeat, PeerAddress

HEARTBEAT_INTERVAL_MS = 250
PEER_TIMEOUT_MS = 1_000
REDIAL_INTERVAL_MS = 1_000
PEER_GONE_MS = 60_000

LINK_IN_USE_MS = 5_000
"""Time after a message to one peer during which its link counts as in use."""

FAST_RETRY_MS = 5_000
"""Time for which a new or silent peer gets heartbeats at the shortest interval."""

MAX_KNOWN_PER_HEARTBEAT = 8
"""Most addresses in one heartbeat, so that its size is bounded."""


class PeerState(StrEnum):
    """Liveness of a peer as this entry sees it."""

    UNHEARD = "unheard"
    ALIVE = "alive"
    SILENT = "silent"
    GONE = "gone"
    LEFT = "left"


@dataclass(slots=True)
class PeerView:
    """One peer as this entry sees it.

    Parameters
    ----------
    digest : int
        Hash of the entries that it knows to be alive.
    next_address_index : int
        Index of the first live entry whose address it gets next.
    interval_ms : int
        Longest time until its next heartbeat, as its last one stated.
    last_use_ms, last_sent_ms : int or None
        Times of the last message to it alone, and of the last heartbeat to it.
    promised_ms : int
        Time announced to it for the next heartbeat.
    silent_since_ms : int
        When it was discovered or last became silent.
    is_active : bool
        Whether both entries send heartbeats at the shortest interval, since
        `active_since_ms`.
    index : int
        Position among the peers, by which heartbeats to them are spread over time.
    """

    address: PeerAddress
    state: PeerState
    first_seen_ms: int
    last_heartbeat_ms: int = 0
    received_sequence: int = 0
    echoed_sequence: int = 0
    last_echo_ms: int = 0
    last_dial_ms: int = 0
    generation: int = 0
    is_ready: bool = False
    fleet_revision: int = 0
    digest: int = 0
    next_address_index: int = 0
    interval_ms: int = 0
    is_answer_wanted: bool = False
    last_use_ms: int | None = None
    last_sent_ms: int | None = None
    promised_ms: int = 0
    silent_since_ms: int = 0
    is_active: bool = False
    active_since_ms: int = 0
    index: int = 0


@dataclass(frozen=True, slots=True)
class PeerChange:
    """A peer changed its state."""

    peer: PeerAddress
    state: PeerState


@dataclass(frozen=True, slots=True)
class Redial:
    """The link to a peer is silent; a new connection must be opened."""

    peer: PeerAddress


MembershipEvent = PeerChange | Redial


@dataclass(slots=True)
class Membership:
    """Peers with their incarnations and the state of their heartbeats.

    Parameters
    ----------
    own : PeerAddress
        This entry.
    timeout_ms : int
        Time without a heartbeat after which a peer is silent, and without an echo
        of this entry's heartbeats after which the link to it is.
    interval_ms : int
        Shortest interval of heartbeats to a peer.
    idle_heartbeats : int or None
        Heartbeats in that interval to all peers with idle links together, so that the
        interval of each grows with the number of peers. None for the shortest interval
        to all.
    last_check_ms : int or None
        Time of the last check.
    digest : int
        Hash of the names and incarnations of this entry and of the peers alive.
    """

    own: PeerAddress
    peers: dict[str, PeerView] = field(default_factory=dict)
    sequence: int = 0
    timeout_ms: int = PEER_TIMEOUT_MS
    interval_ms: int = HEARTBEAT_INTERVAL_MS
    idle_heartbeats: int | None = None
    last_check_ms: int | None = None
    digest: int = field(init=False)

    def __post_init__(self) -> None:
        self.digest = _hash_entry(self.own)

    def discover(self, address: PeerAddress, now_ms: int) -> list[MembershipEvent]:
        """Add an entry whose address was received.

        A peer that is gone is tried again, since it may be reachable again.
        """
        known = self.peers.get(address.name)
        if address.name == self.own.name:
            return []
        if known is not None and not _is_newer(known, address):
            return []
        if known is not None:
            self._set_state(known, PeerState.GONE)
        self.peers[address.name] = PeerView(
            address,
            PeerState.UNHEARD,
            now_ms,
            last_echo_ms=now_ms,
            last_dial_ms=now_ms,
            silent_since_ms=now_ms,
            is_active=True,
            active_since_ms=now_ms,
            index=known.index if known is not None else len(self.peers),
        )
        return [PeerChange(address, PeerState.UNHEARD)]

    def handle_heartbeat(
        self, heartbeat: Heartbeat, now_ms: int
    ) -> list[MembershipEvent]:
        """Update a peer from its heartbeat; an earlier incarnation is ignored."""
        events = self.discover(heartbeat.peer, now_ms)
        view = self.peers.get(heartbeat.peer.name)
        if view is None or view.address.incarnation != heartbeat.peer.incarnation:
            return []
        if view.state is PeerState.LEFT:
            return []
        view.last_heartbeat_ms = now_ms
        view.received_sequence = max(view.received_sequence, heartbeat.sequence)
        view.generation = heartbeat.generation
        view.fleet_revision = heartbeat.fleet_revision
        view.digest = heartbeat.digest
        view.interval_ms = heartbeat.interval_ms
        view.is_answer_wanted = heartbeat.is_answer_wanted
        if heartbeat.echo > view.echoed_sequence:
            view.echoed_sequence = heartbeat.echo
            view.last_echo_ms = now_ms
        if view.state is not PeerState.ALIVE or view.is_ready != heartbeat.is_ready:
            view.is_ready = heartbeat.is_ready
            events.append(self._set_state(view, PeerState.ALIVE))
        self._update_activity(view, now_ms)
        return events

    def record_use(self, peer: str, now_ms: int) -> None:
        """Mark the link of one peer as in use, so that a failure is detected soon."""
        view = self.peers.get(peer)
        if view is not None:
            view.last_use_ms = now_ms
            self._update_activity(view, now_ms)

    def handle_goodbye(self, peer: PeerAddress) -> list[MembershipEvent]:
        """Mark a peer that stops as planned."""
        view = self.peers.get(peer.name)
        if view is None or view.address.incarnation != peer.incarnation:
            return []
        return [self._set_state(view, PeerState.LEFT)]

    def handle_disconnect(self, peer: str, now_ms: int) -> list[MembershipEvent]:
        """Mark a peer whose connection closed as silent until its next heartbeat."""
        view = self.peers.get(peer)
        if view is None or view.state is not PeerState.ALIVE:
            return []
        return [self._mark_silent(view, now_ms)]

    def check_timeouts(self, now_ms: int) -> list[MembershipEvent]:
        """Detect peers and links that have become silent."""
        self._discount_gap(now_ms)
        events: list[MembershipEvent] = []
        for view in list(self.peers.values()):
            events += self._check_peer(view, now_ms)
        return events

    def make_heartbeat(
        self,
        peer: str,
        generation: int,
        leaving: tuple[str, ...],
        is_ready: bool,
        fleet_revision: int,
        now_ms: int,
    ) -> Heartbeat:
        """Return the heartbeat to send to a peer now, and schedule the next one."""
        view = self.peers[peer]
        self.sequence += 1
        interval_ms = self._next_interval_ms(view, now_ms)
        view.last_sent_ms = now_ms
        view.promised_ms = now_ms + interval_ms
        return Heartbeat(
            peer=self.own,
            sequence=self.sequence,
            echo=view.received_sequence,
            receiver_incarnation=view.address.incarnation,
            generation=generation,
            known=self._next_addresses(view),
            leaving=leaving,
            is_ready=is_ready,
            fleet_revision=fleet_revision,
            digest=self.digest,
            interval_ms=interval_ms,
            is_answer_wanted=self._is_answer_wanted(view, now_ms),
        )

    def ready_entries(self, is_self_ready: bool) -> set[str]:
        """Return the names of the entries that take part in dispatching."""
        names = {view.address.name for view in self._live_views() if view.is_ready}
        return names | {self.own.name} if is_self_ready else names

    def live_peers(self) -> set[str]:
        """Return the names of the peers that are alive."""
        return {view.address.name for view in self._live_views()}

    def reachable_peers(self) -> list[PeerAddress]:
        """Return the peers that get heartbeats."""
        return [view.address for view in self._reachable_views()]

    def due_peers(self, now_ms: int) -> list[PeerAddress]:
        """Return the peers whose heartbeat is due, up to a quarter interval early."""
        soon_ms = now_ms + self.interval_ms // 4
        return [
            view.address
            for view in self._reachable_views()
            if self._next_due_ms(view) <= soon_ms
        ]

    def is_heartbeat_due(self, peer: str, now_ms: int) -> bool:
        """Return whether a heartbeat is due to a peer."""
        view = self.peers.get(peer)
        return view is not None and self._next_due_ms(view) <= now_ms

    def _reachable_views(self) -> list[PeerView]:
        states = (PeerState.UNHEARD, PeerState.ALIVE, PeerState.SILENT)
        return [view for view in self.peers.values() if view.state in states]

    def _live_views(self) -> list[PeerView]:
        return [view for view in self.peers.values() if view.state is PeerState.ALIVE]

    def _next_addresses(self, view: PeerView) -> tuple[PeerAddress, ...]:
        """Return the next addresses for a peer whose digest differs.

        The live entries are sent in turn, so that a few heartbeats carry all of them.
        """
        if view.digest == self.digest:
            return ()
        alive = self._live_views()
        first = view.next_address_index if view.next_address_index < len(alive) else 0
        view.next_address_index = first + MAX_KNOWN_PER_HEARTBEAT
        return tuple(live.address for live in alive[first : view.next_address_index])

    def _set_state(self, view: PeerView, state: PeerState) -> PeerChange:
        """Set the state of a peer and update the digest."""
        if (view.state is PeerState.ALIVE) != (state is PeerState.ALIVE):
            self.digest ^= _hash_entry(view.address)
        view.state = state
        return PeerChange(view.address, state)

    def _check_peer(self, view: PeerView, now_ms: int) -> list[MembershipEvent]:
        self._update_activity(view, now_ms)
        last_ms = max(view.last_heartbeat_ms, view.first_seen_ms)
        limit_ms = self._silence_limit_ms(view)
        since_ms = view.active_since_ms if view.is_active else 0
        match view.state:
            case PeerState.ALIVE if now_ms - max(last_ms, since_ms) > limit_ms:
                change = self._mark_silent(view, now_ms)
                return [change, self._redial(view, now_ms)]
            case PeerState.ALIVE if (
                now_ms - max(view.last_echo_ms, since_ms) > limit_ms
            ):
                view.last_echo_ms = now_ms
                return [self._redial(view, now_ms)]
            case PeerState.UNHEARD | PeerState.SILENT if now_ms - last_ms > max(
                PEER_GONE_MS, 2 * limit_ms
            ):
                return [self._set_state(view, PeerState.GONE)]
            case PeerState.UNHEARD | PeerState.SILENT if (
                now_ms - view.last_dial_ms
                >= max(REDIAL_INTERVAL_MS, self._max_interval_ms(view))
            ):
                return [self._redial(view, now_ms)]
            case _:
                return []

    def _discount_gap(self, now_ms: int) -> None:
        """Count a long gap between two checks as one interval.

        An entry that was paused has read no heartbeats, so the gap alone is no
        evidence that its peers are silent.
        """
        gap_ms = now_ms - self.last_check_ms if self.last_check_ms is not None else 0
        self.last_check_ms = now_ms
        if gap_ms <= self.timeout_ms - self.interval_ms:
            return
        pause_ms = gap_ms - self.interval_ms
        for view in self._live_views():
            view.last_heartbeat_ms = min(view.last_heartbeat_ms + pause_ms, now_ms)
            view.last_echo_ms = min(view.last_echo_ms + pause_ms, now_ms)

    def _mark_silent(self, view: PeerView, now_ms: int) -> PeerChange:
        """Mark a peer as silent; for a while it gets heartbeats more often."""
        view.silent_since_ms = now_ms
        change = self._set_state(view, PeerState.SILENT)
        self._update_activity(view, now_ms)
        return change

    def _is_answer_wanted(self, view: PeerView, now_ms: int) -> bool:
        """Return whether this entry must detect at once that a link is silent."""
        if view.state is not PeerState.ALIVE:
            return (
                now_ms - view.silent_since_ms < FAST_RETRY_MS
                or self._is_link_in_use(view, now_ms)
            )
        return self._is_link_in_use(view, now_ms)

    def _is_link_in_use(self, view: PeerView, now_ms: int) -> bool:
        return (
            view.last_use_ms is not None and now_ms - view.last_use_ms < LINK_IN_USE_MS
        )

    def _update_activity(self, view: PeerView, now_ms: int) -> None:
        """Update whether either entry needs frequent heartbeats on the link."""
        is_active = view.is_answer_wanted or self._is_answer_wanted(view, now_ms)
        if is_active and not view.is_active:
            view.active_since_ms = now_ms
        view.is_active = is_active

    def _round_count(self) -> int:
        """Return in how many shortest intervals each idle link gets one heartbeat."""
        if self.idle_heartbeats is None:
            return 1
        return max(1, ceil(len(self.peers) / self.idle_heartbeats))

    def _max_interval_ms(self, view: PeerView) -> int:
        """Return the longest interval of heartbeats to a peer."""
        return self.interval_ms * (1 if view.is_active else self._round_count())

    def _next_interval_ms(self, view: PeerView, now_ms: int) -> int:
        """Return the time until the next heartbeat; idle links take turns."""
        if view.is_active:
            return self.interval_ms
        rounds = self._round_count()
        turns = (view.index - now_ms // self.interval_ms) % rounds
        return self.interval_ms * (turns or rounds)

    def _next_due_ms(self, view: PeerView) -> int:
        if view.last_sent_ms is None:
            return 0
        if view.is_active:
            return min(view.promised_ms, view.last_sent_ms + self.interval_ms)
        return view.promised_ms

    def _silence_limit_ms(self, view: PeerView) -> int:
        """Return the time without a heartbeat or an echo that counts as silence.

        It is the timeout, multiplied by the number of shortest intervals in the
        longer of the two entries' intervals.
        """
        longest_ms = self._max_interval_ms(view)
        if not view.is_active:
            longest_ms = max(longest_ms, view.interval_ms)
        return self.timeout_ms * longest_ms // self.interval_ms

    def _redial(self, view: PeerView, now_ms: int) -> Redial:
        view.last_dial_ms = now_ms
        return Redial(view.address)


def _hash_entry(address: PeerAddress) -> int:
    return xxh64_intdigest(f"{address.name}/{address.incarnation}".encode())


def _is_newer(known: PeerView, address: PeerAddress) -> bool:
    if known.state is PeerState.GONE:
        return address.incarnation >= known.address.incarnation
    return address.incarnation > known.address.incarnation
