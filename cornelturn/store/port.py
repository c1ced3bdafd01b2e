"""Protocol of a row store, as the scheduler needs it, independent of its provider."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Protocol

from result import Err, Ok, Result

from cornelturn.store.health import CallKind
from cornelturn.store.rows import (
    Committed,
    Operation,
    Page,
    Row,
    TableError,
    TableUnavailable,
)


@dataclass(frozen=True, slots=True)
class HistoryLost:
    """The store no longer has the requested changes."""


FeedError = TableUnavailable | HistoryLost


class RowStore(Protocol):
    """Rows under keys of the form ``table/part/name``; the part may be empty."""

    async def commit(self, *operations: Operation) -> Result[Committed, TableError]:
        """Apply all operations, which must be in one part, or none of them."""

    async def read(self, key: str) -> Result[Row | None, TableUnavailable]:
        """Return a row, None if it does not exist."""

    async def scan(self, table: str, part: str) -> Result[Page, TableUnavailable]:
        """Return all rows of a part, complete up to the revision of the page."""

    async def parts(self, table: str) -> Result[list[str], TableUnavailable]:
        """Return the parts of a table that contain rows."""

    async def changes(
        self, table: str, after: int, wait_ms: int
    ) -> Result[Page, FeedError]:
        """Return the rows changed after a revision, waiting for the first change."""

    def is_unreachable(self) -> bool:
        """Return whether a call would get no response now."""

    def is_serving(self) -> bool:
        """Return whether the store executes calls now."""

    def is_probe_needed(self) -> bool:
        """Return whether only another call can establish the state of the store."""

    def response_timeout_ms(self, kind: CallKind) -> int:
        """Return the time after which the response to a call is overdue."""


async def read_table(store: RowStore, table: str) -> Result[Page, TableUnavailable]:
    """Return all rows of a table, and a revision up to which they are complete."""
    match await store.parts(table):
        case Err(error):
            return Err(error)
        case Ok(parts):
            results = await asyncio.gather(*(store.scan(table, part) for part in parts))
    failed = next((result for result in results if result.is_err()), None)
    if failed is not None:
        return failed
    pages = [result.ok_value for result in results]
    rows = tuple(row for page in pages for row in page.rows)
    return Ok(Page(min((page.revision for page in pages), default=0), rows))
