"""The project's stand-in for the store, with the limits that PROTOCOL.md states."""

from __future__ import annotations

import asyncio
import base64
from collections import deque
from dataclasses import dataclass, field

import msgspec
from blacksheep import Request, Response

from cornelturn.platform.standin.answers import json_response
from cornelturn.platform.standin.rows import StoreStandin
from cornelturn.platform.store import WireRow, WireTransaction

ROW_BYTES = 65_536
"""`row_bytes` of the settings: the largest value of a row."""

MAX_ENTRIES = 100
"""Most entries of a call."""

MAX_CALL_BYTES = 1_048_576
"""Largest call: 1 MB, counted in the caller's favour."""

HISTORY_S = 20.0
"""`history_s` of the settings."""


@dataclass(slots=True)
class LimitedStore(StoreStandin):
    """Refuses calls over the limits of the page with 413, and does nothing for them.

    Parameters
    ----------
    refused : list of dict
        Calls that were refused for their size.
    ages : deque
        Version and time of the changes, to drop those older than the history.
    """

    refused: list[dict] = field(default_factory=list)
    ages: deque = field(default_factory=deque)

    async def transact(self, request: Request) -> Response:
        """Apply a transaction that is within the limits."""
        body = await request.read() or b""
        wire = msgspec.json.decode(body, type=WireTransaction)
        entries = len(wire.precondition) + len(wire.write) + len(wire.remove)
        largest = max((value_bytes(row) for row in wire.write), default=0)
        if largest > ROW_BYTES or entries > MAX_ENTRIES or len(body) > MAX_CALL_BYTES:
            self.refused.append(
                {
                    "table": wire.write[0].table_name,
                    "rows": len(wire.write),
                    "entries": entries,
                    "call_bytes": len(body),
                    "largest_value_bytes": largest,
                    "keys": [row.key for row in wire.write][:5],
                }
            )
            return json_response(413, {})
        return await StoreStandin.transact(self, request)

    def _apply(
        self, writes: tuple[WireRow, ...], removals: tuple[WireRow, ...]
    ) -> None:
        # The dataclass with slots has no zero-argument super().
        StoreStandin._apply(self, writes, removals)
        now_s = asyncio.get_running_loop().time()
        self.ages.append((self.version, now_s))
        while self.ages and self.ages[0][1] < now_s - HISTORY_S:
            self.history_start, _ = self.ages.popleft()
        count = 0
        while (
            count < len(self.history)
            and self.history[count].row_version <= self.history_start
        ):
            count += 1
        del self.history[:count]


def value_bytes(row: WireRow) -> int:
    """Return the length of the value of a row."""
    return len(base64.b64decode(row.value or ""))
