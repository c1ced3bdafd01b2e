"""Local copy of the rows of all entries and duties, refreshed from the store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from result import Err, Ok, Result

from cornelturn.clock import Clock
from cornelturn.events.background import start_background
from cornelturn.ownership.duties import MEMBERS_TABLE
from cornelturn.store.port import HistoryLost, RowStore, read_table
from cornelturn.store.rows import Page, Row, TableUnavailable

READ_WAIT_S = 1.5
"""Time for which a refresh waits for a read, which continues in the background."""


@dataclass(frozen=True, slots=True)
class RowChanges:
    """Rows that have changed since the previous read."""

    page: Page


@dataclass(frozen=True, slots=True)
class FullTable:
    """All rows, since the changes are not known."""

    page: Page


ReadPage = RowChanges | FullTable


@dataclass(frozen=True, slots=True)
class PendingRead:
    """A read in progress.

    Parameters
    ----------
    sent_ms : int
        When the request was sent; its rows are not older.
    """

    task: asyncio.Task[Result[ReadPage, TableUnavailable]]
    sent_ms: int


@dataclass(slots=True)
class MemberRows:
    """Local copy of the rows.

    Parameters
    ----------
    on_changes : callable
        Called with the keys deleted since the previous read, and the revision.
    on_full_read : callable
        Called with the revision when all rows were read.
    rows : dict
        The rows by key.
    revision : int or None
        Revision up to which they are known, None before the first read.
    """

    store: RowStore
    clock: Clock
    on_changes: Callable[[tuple[str, ...], int], None]
    on_full_read: Callable[[int], None]
    rows: dict[str, Row] = field(default_factory=dict)
    revision: int | None = None
    pending_read: PendingRead | None = None
    read_tasks: set[asyncio.Task[Result[ReadPage, TableUnavailable]]] = field(
        default_factory=set
    )

    def put_if_newer(self, row: Row) -> None:
        """Store a row unless a later version is known; the change history may lag."""
        known = self.rows.get(row.key)
        if known is None or known.version < row.version:
            self.rows[row.key] = row

    async def refresh(self) -> Result[int, str]:
        """Bring the rows up to date.

        A read that takes longer than the limit continues, and the next call waits for
        it: a new one would have more to read.

        Returns
        -------
        Ok or Err
            Time at which the rows were requested, in milliseconds, or the reason why
            none were read.
        """
        if self.pending_read is None:
            task = start_background(self.read_tasks, self._read_next_page())
            self.pending_read = PendingRead(task, self.clock.now_ms())
        read = self.pending_read
        await asyncio.wait((read.task,), timeout=READ_WAIT_S)
        if not read.task.done():
            return Err("the read has not finished in time")
        self.pending_read = None
        match read.task.result():
            case Ok(page):
                self._apply(page)
                return Ok(read.sent_ms)
            case Err(error):
                return Err(error.detail)

    async def _read_next_page(self) -> Result[ReadPage, TableUnavailable]:
        if self.revision is None:
            return await self._read_whole_table()
        match await self.store.changes(MEMBERS_TABLE, self.revision, 0):
            case Ok(page):
                return Ok(RowChanges(page))
            case Err(HistoryLost()):
                return await self._read_whole_table()
            case Err(error):
                return Err(error)

    async def _read_whole_table(self) -> Result[ReadPage, TableUnavailable]:
        return (await read_table(self.store, MEMBERS_TABLE)).map(FullTable)

    def _apply(self, read: ReadPage) -> None:
        match read:
            case RowChanges(page):
                for row in page.rows:
                    self.put_if_newer(row)
                for key in page.deleted:
                    self.rows.pop(key, None)
                self.revision = max(self.revision, page.revision)
                self.on_changes(page.deleted, self.revision)
            case FullTable(page):
                newer = [
                    row for row in self.rows.values() if row.version > page.revision
                ]
                self.rows = {row.key: row for row in page.rows}
                for row in newer:
                    self.put_if_newer(row)
                self.revision = page.revision
                self.on_full_read(page.revision)
