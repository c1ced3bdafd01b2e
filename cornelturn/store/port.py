"""What the scheduler needs of a store of rows, whoever provides it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from result import Result

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
    """The store no longer holds the changes that were asked for."""


FeedError = TableUnavailable | HistoryLost


class RowStore(Protocol):
    """Rows under keys of the form ``table/part/name``; the part may be empty."""

    async def commit(self, *operations: Operation) -> Result[Committed, TableError]:
        """Apply all operations, which share a part, or none of them."""

    async def read(self, key: str) -> Result[Row | None, TableUnavailable]:
        """Return a row."""

    async def scan(self, table: str, part: str) -> Result[Page, TableUnavailable]:
        """Return all rows of a part as of a single moment."""

    async def parts(self, table: str) -> Result[list[str], TableUnavailable]:
        """Return the parts of a table that hold rows."""

    async def changes(
        self, table: str, after: int, wait_ms: int
    ) -> Result[Page, FeedError]:
        """Return the rows changed after a revision, waiting for the first."""
