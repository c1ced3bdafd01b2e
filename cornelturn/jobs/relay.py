"""Calls to the store through peers, for an entry that the store does not answer."""

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
from cornelturn.peering.messages import (
    InnerMessage,
    JobChanged,
    StoreAsked,
    StoreOutcome,
    StoreTold,
)
from cornelturn.store.prompt import AWAY, LATE, PromptStore
from cornelturn.store.rows import (
    ABSENT,
    Committed,
    Put,
    Row,
    TableConflict,
    TableError,
    TableUnavailable,
)

MOST_PEERS = 3
"""Peers that are asked for one call: the store seldom leaves out more than a third."""

PEER_LIMIT_S = 0.2
"""Time for one peer, which may notice just now that the store does not answer it."""

SERVE_LIMIT_S = 2.0
"""Time for a call that a peer has asked for."""

PAUSE_S = 0.2
"""Time in which no peer is asked after none reached the store."""

NUMBER_BITS = 48
"""Numbers begin anywhere: an answer may reach the next start of an entry."""

NOT_DONE = StoreTold(0, StoreOutcome.NOT_DONE)
UNKNOWN = StoreTold(0, StoreOutcome.UNKNOWN)


@dataclass(slots=True)
class StoreRelay:
    """Asks peers for calls to the store, and makes such calls for them.

    Parameters
    ----------
    local : PromptStore
        Makes calls for peers; it asks none itself.
    send : callable
        Sends a message to an entry.
    peers : callable
        Returns the live peers.
    changed : callable
        Called with every row of a job that was written for a peer.
    waiting : dict
        Calls that peers have been asked for, by number.
    helper : str
        Peer that reached the store last.
    pause_end_s : float
        When peers are asked again, on the clock of the loop.
    parts : PartWriter
        Writes rows for peers and for this entry together.
    """

    local: PromptStore
    send: Callable[[str, InnerMessage], None]
    peers: Callable[[], frozenset[str]]
    changed: Callable[[JobChanged], None] = lambda changed: None
    rng: random.Random = field(default_factory=random.Random)
    waiting: dict[int, asyncio.Future[StoreTold]] = field(default_factory=dict)
    serving: set[asyncio.Task[Any]] = field(default_factory=set)
    last_number: int = field(default_factory=lambda: random.getrandbits(NUMBER_BITS))
    helper: str = ""
    pause_end_s: float = 0.0
    parts: PartWriter = field(init=False)

    def __post_init__(self) -> None:
        self.parts = PartWriter(self.local)

    async def commit(self, put: Put, limit_s: float) -> Result[Committed, TableError]:
        """Write a row if its version is as expected."""
        expected = put.expected or ABSENT
        return _commit_result(
            put, await self._ask(put.key, put.value, expected, limit_s)
        )

    async def gather(
        self, entry: str, put: Put, limit_s: float
    ) -> Result[Committed, TableError]:
        """Have an entry write a row together with others of its part.

        Parameters
        ----------
        entry : str
            Entry to ask; this one writes the row itself unless that is a live peer.
        """
        if entry not in self.peers():
            return await self.parts.commit(put, limit_s)
        expected = put.expected or ABSENT
        told = await self._ask_one(entry, put.key, put.value, expected, limit_s)
        return _commit_result(put, told)

    async def read(
        self, key: str, limit_s: float
    ) -> Result[Row | None, TableUnavailable]:
        """Return a row."""
        told = await self._ask(key, None, ABSENT, limit_s)
        match told.outcome:
            case StoreOutcome.DONE:
                return Ok(_row(key, told))
            case _:
                return Err(_failure(told))

    def asked(self, sender: str, asked: StoreAsked) -> None:
        """Make a call for a peer and tell it the outcome."""
        start_background(self.serving, self._serve(sender, asked))

    def told(self, told: StoreTold) -> None:
        """Take in the outcome of a call."""
        waiting = self.waiting.get(told.number)
        if waiting is not None and not waiting.done():
            waiting.set_result(told)

    async def _ask(
        self, key: str, text: str | None, expected: int, limit_s: float
    ) -> StoreTold:
        """Return the outcome at the first peer that reaches the store."""
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        if now_s < self.pause_end_s or limit_s <= 0:
            return NOT_DONE
        end_s = now_s + limit_s
        result = NOT_DONE
        for peer in self._choice():
            wait_s = min(PEER_LIMIT_S, end_s - loop.time())
            told = await self._ask_one(peer, key, text, expected, wait_s)
            match told.outcome:
                case StoreOutcome.DONE | StoreOutcome.CONFLICT:
                    self.helper = peer
                    return told
                case StoreOutcome.UNKNOWN:
                    result = told
        if result.outcome is StoreOutcome.NOT_DONE:
            self.pause_end_s = loop.time() + PAUSE_S
        return result

    async def _ask_one(
        self, peer: str, key: str, text: str | None, expected: int, limit_s: float
    ) -> StoreTold:
        if limit_s <= 0:
            return NOT_DONE
        self.last_number += 1
        number = self.last_number
        reply = asyncio.get_running_loop().create_future()
        self.waiting[number] = reply
        self.send(peer, StoreAsked(number, key, text, expected))
        try:
            async with asyncio.timeout(limit_s):
                return await reply
        except TimeoutError:
            return UNKNOWN
        finally:
            del self.waiting[number]

    def _choice(self) -> list[str]:
        """Return the peers to ask, the last that reached the store first."""
        peers = sorted(self.peers())
        chosen = self.rng.sample(peers, min(MOST_PEERS, len(peers)))
        if self.helper in peers:
            others = [peer for peer in chosen if peer != self.helper]
            chosen = [self.helper, *others[: MOST_PEERS - 1]]
        return chosen

    async def _serve(self, sender: str, asked: StoreAsked) -> None:
        if not self.local.store.is_serving():
            # A store over its rate is not to get each refused call again from peers.
            told = StoreTold(asked.number, StoreOutcome.NOT_DONE)
        elif asked.text is None:
            told = _read_told(asked, await self.local.read(asked.key))
        else:
            put = Put(asked.key, asked.text, asked.expected)
            result = await self.parts.commit(put, SERVE_LIMIT_S)
            self._tell_owner(put, result)
            told = _commit_told(asked, result)
        self.send(sender, told)

    def _tell_owner(self, put: Put, result: Result[Committed, TableError]) -> None:
        """Tell of a row; its sender may not know the present owner of the pool."""
        row = _stored_row(put, result)
        if row is None:
            return
        match decode_job(row.key, row.value):
            case Ok(job):
                pool = job.spec.pool
                self.changed(JobChanged(pool, row.key, row.value, row.version))


def _read_told(
    asked: StoreAsked, result: Result[Row | None, TableUnavailable]
) -> StoreTold:
    match result:
        case Ok(None):
            return StoreTold(asked.number, StoreOutcome.DONE)
        case Ok(row):
            return StoreTold(asked.number, StoreOutcome.DONE, row.version, row.value)
        case _:
            return StoreTold(asked.number, StoreOutcome.NOT_DONE)


def _commit_told(asked: StoreAsked, result: Result[Committed, TableError]) -> StoreTold:
    match result:
        case Ok(committed):
            return StoreTold(asked.number, StoreOutcome.DONE, committed.revision)
        case Err(TableConflict(rows=rows)):
            found = _row_of(asked.key, rows)
            conflict = StoreOutcome.CONFLICT
            if found is None:
                return StoreTold(asked.number, conflict)
            return StoreTold(asked.number, conflict, found.version, found.value)
        case Err(error) if error.is_in_doubt:
            return StoreTold(asked.number, StoreOutcome.UNKNOWN)
        case _:
            return StoreTold(asked.number, StoreOutcome.NOT_DONE)


def _stored_row(put: Put, result: Result[Committed, TableError]) -> Row | None:
    """Return the row as the store has it after a write, None if that is not known."""
    match result:
        case Ok(committed):
            return Row(put.key, committed.revision, "", put.value)
        case Err(TableConflict(rows=rows)):
            return _row_of(put.key, rows)
        case _:
            return None


def _row_of(key: str, rows: tuple[Row, ...]) -> Row | None:
    return next((row for row in rows if row.key == key), None)


def _commit_result(put: Put, told: StoreTold) -> Result[Committed, TableError]:
    """Return the result of a write that a peer was asked for."""
    match told.outcome:
        case StoreOutcome.DONE:
            return Ok(Committed(told.version))
        case StoreOutcome.CONFLICT:
            row = _row(put.key, told)
            return Err(TableConflict((put.key,), (row,) if row is not None else ()))
        case _:
            return Err(_failure(told))


def _row(key: str, told: StoreTold) -> Row | None:
    """Return the row that a peer has read, None if there is none."""
    return None if told.version == ABSENT else Row(key, told.version, "", told.text)


def _failure(told: StoreTold) -> TableUnavailable:
    return LATE if told.outcome is StoreOutcome.UNKNOWN else AWAY
