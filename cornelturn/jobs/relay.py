"""Relay of store calls through peers, for an entry that cannot reach the store."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from result import Err, Ok, Result

from cornelturn.events.background import start_background
from cornelturn.jobs.gathering import PartWriter
from cornelturn.jobs.rows import decode_job
from cornelturn.peering.messages import InnerMessage, JobChanged
from cornelturn.peering.store_messages import StoreAsked, StoreOutcome, StoreTold
from cornelturn.store.limits import DEFAULT_LIMITS, StoreLimits
from cornelturn.store.retrying import STORE_UNREACHABLE, TIMED_OUT, RetryingStore
from cornelturn.store.rows import (
    ABSENT,
    Committed,
    Put,
    Row,
    TableConflict,
    TableError,
    TableUnavailable,
)

MAX_PEERS = 3
"""Peers that are tried for one call: the store is rarely out of reach for more than a
third of them."""

PEER_TIMEOUT_S = 0.2
"""Time for one peer, which may itself be about to find the store unreachable."""

SERVE_TIMEOUT_S = 2.0
"""Time for a store call that is made for a peer."""

PEERS_PAUSE_S = 0.2
"""Time without calls to peers after none of them has reached the store."""

NUMBER_BITS = 48
"""Bits of the random number at which call numbers start: a reply may reach the entry
after a restart and must not match a new call."""

NOT_DONE = StoreTold(0, StoreOutcome.NOT_DONE)
UNKNOWN = StoreTold(0, StoreOutcome.UNKNOWN)


@dataclass(slots=True)
class StoreRelay:
    """Makes store calls through peers, and makes such calls for them.

    Parameters
    ----------
    local : RetryingStore
        Makes the calls for peers; it has no relay, so calls are not relayed twice.
    send : callable
        Sends a message to an entry.
    peers : callable
        Returns the live peers.
    on_job_changed : callable
        Called with every row of a job that a write for a peer has stored or found.
    pending_calls : dict
        Calls that peers have not answered yet, by number.
    preferred_peer : str
        Peer that was the last to reach the store; it is tried first.
    pause_end_s : float
        When peers are called again, on the clock of the event loop.
    part_writer : PartWriter
        Writes the rows for peers and for this entry, in common batches.
    """

    local: RetryingStore
    send: Callable[[str, InnerMessage], None]
    peers: Callable[[], frozenset[str]]
    on_job_changed: Callable[[JobChanged], None] = lambda changed: None
    limits: StoreLimits = DEFAULT_LIMITS
    rng: random.Random = field(default_factory=random.Random)
    pending_calls: dict[int, asyncio.Future[StoreTold]] = field(default_factory=dict)
    serve_tasks: set[asyncio.Task[Any]] = field(default_factory=set)
    last_call_number: int = field(
        default_factory=lambda: random.getrandbits(NUMBER_BITS)
    )
    preferred_peer: str = ""
    pause_end_s: float = 0.0
    part_writer: PartWriter = field(init=False)

    def __post_init__(self) -> None:
        self.part_writer = PartWriter(self.local, self.limits)

    async def commit(self, put: Put, limit_s: float) -> Result[Committed, TableError]:
        """Write a row if its version is as expected."""
        expected = put.expected or ABSENT
        return _result_from_reply(
            put, await self._call_peers(put.key, put.value, expected, limit_s)
        )

    async def gather(
        self, entry: str, put: Put, limit_s: float
    ) -> Result[Committed, TableError]:
        """Have an entry write a row in a batch with others of its part.

        Parameters
        ----------
        entry : str
            Entry that writes the row; this entry does so if that is not a live peer.
        """
        if entry not in self.peers():
            return await self.part_writer.commit(put, limit_s)
        expected = put.expected or ABSENT
        reply = await self._call_peer(entry, put.key, put.value, expected, limit_s)
        return _result_from_reply(put, reply)

    async def read(
        self, key: str, limit_s: float
    ) -> Result[Row | None, TableUnavailable]:
        """Read a row through a peer, None if there is none."""
        reply = await self._call_peers(key, None, ABSENT, limit_s)
        match reply.outcome:
            case StoreOutcome.DONE:
                return Ok(_row_from_reply(key, reply))
            case _:
                return Err(_error_from_reply(reply))

    def handle_request(self, sender: str, request: StoreAsked) -> None:
        """Make a store call for a peer in the background and send the outcome."""
        start_background(self.serve_tasks, self._serve(sender, request))

    def handle_reply(self, reply: StoreTold) -> None:
        """Complete the pending call that a reply answers."""
        future = self.pending_calls.get(reply.number)
        if future is not None and not future.done():
            future.set_result(reply)

    async def _call_peers(
        self, key: str, text: str | None, expected: int, limit_s: float
    ) -> StoreTold:
        """Return the reply of the first peer that reaches the store."""
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        if now_s < self.pause_end_s or limit_s <= 0:
            return NOT_DONE
        end_s = now_s + limit_s
        result = NOT_DONE
        for peer in self._select_peers():
            wait_s = min(PEER_TIMEOUT_S, end_s - loop.time())
            reply = await self._call_peer(peer, key, text, expected, wait_s)
            match reply.outcome:
                case StoreOutcome.DONE | StoreOutcome.CONFLICT:
                    self.preferred_peer = peer
                    return reply
                case StoreOutcome.UNKNOWN:
                    result = reply
        if result.outcome is StoreOutcome.NOT_DONE:
            self.pause_end_s = loop.time() + PEERS_PAUSE_S
        return result

    async def _call_peer(
        self, peer: str, key: str, text: str | None, expected: int, limit_s: float
    ) -> StoreTold:
        if limit_s <= 0:
            return NOT_DONE
        self.last_call_number += 1
        number = self.last_call_number
        future = asyncio.get_running_loop().create_future()
        self.pending_calls[number] = future
        self.send(peer, StoreAsked(number, key, text, expected))
        try:
            async with asyncio.timeout(limit_s):
                return await future
        except TimeoutError:
            return UNKNOWN
        finally:
            del self.pending_calls[number]

    def _select_peers(self) -> list[str]:
        """Return the peers to call, starting with the last that reached the store."""
        peers = sorted(self.peers())
        chosen = self.rng.sample(peers, min(MAX_PEERS, len(peers)))
        if self.preferred_peer in peers:
            others = [peer for peer in chosen if peer != self.preferred_peer]
            chosen = [self.preferred_peer, *others[: MAX_PEERS - 1]]
        return chosen

    async def _serve(self, sender: str, request: StoreAsked) -> None:
        if not self.local.store.is_serving():
            # A store over its rate limit must not get refused calls again from peers.
            reply = StoreTold(request.number, StoreOutcome.NOT_DONE)
        elif request.text is None:
            reply = _read_reply(request, await self.local.read(request.key))
        else:
            put = Put(request.key, request.text, request.expected)
            result = await self.part_writer.commit(put, SERVE_TIMEOUT_S)
            self._notify_owner(put, result)
            reply = _commit_reply(request, result)
        self.send(sender, reply)

    def _notify_owner(self, put: Put, result: Result[Committed, TableError]) -> None:
        """Report a row to the pool owner, whom the sender of the write may not know."""
        row = _stored_row(put, result)
        if row is None:
            return
        match decode_job(row.key, row.value):
            case Ok(job):
                pool = job.spec.pool
                self.on_job_changed(JobChanged(pool, row.key, row.value, row.version))


def _read_reply(
    request: StoreAsked, result: Result[Row | None, TableUnavailable]
) -> StoreTold:
    match result:
        case Ok(None):
            return StoreTold(request.number, StoreOutcome.DONE)
        case Ok(row):
            return StoreTold(request.number, StoreOutcome.DONE, row.version, row.value)
        case _:
            return StoreTold(request.number, StoreOutcome.NOT_DONE)


def _commit_reply(
    request: StoreAsked, result: Result[Committed, TableError]
) -> StoreTold:
    match result:
        case Ok(committed):
            return StoreTold(request.number, StoreOutcome.DONE, committed.revision)
        case Err(TableConflict(rows=rows)):
            found = _find_row(request.key, rows)
            conflict = StoreOutcome.CONFLICT
            if found is None:
                return StoreTold(request.number, conflict)
            return StoreTold(request.number, conflict, found.version, found.value)
        case Err(error) if error.is_in_doubt:
            return StoreTold(request.number, StoreOutcome.UNKNOWN)
        case _:
            return StoreTold(request.number, StoreOutcome.NOT_DONE)


def _stored_row(put: Put, result: Result[Committed, TableError]) -> Row | None:
    """Return the row that the store has after a write, None if unknown."""
    match result:
        case Ok(committed):
            return Row(put.key, committed.revision, "", put.value)
        case Err(TableConflict(rows=rows)):
            return _find_row(put.key, rows)
        case _:
            return None


def _find_row(key: str, rows: tuple[Row, ...]) -> Row | None:
    return next((row for row in rows if row.key == key), None)


def _result_from_reply(put: Put, reply: StoreTold) -> Result[Committed, TableError]:
    """Return the result of a write that a peer has made."""
    match reply.outcome:
        case StoreOutcome.DONE:
            return Ok(Committed(reply.version))
        case StoreOutcome.CONFLICT:
            row = _row_from_reply(put.key, reply)
            return Err(TableConflict((put.key,), (row,) if row is not None else ()))
        case _:
            return Err(_error_from_reply(reply))


def _row_from_reply(key: str, reply: StoreTold) -> Row | None:
    """Return the row in a reply, None if the store has none."""
    return None if reply.version == ABSENT else Row(key, reply.version, "", reply.text)


def _error_from_reply(reply: StoreTold) -> TableUnavailable:
    return TIMED_OUT if reply.outcome is StoreOutcome.UNKNOWN else STORE_UNREACHABLE
