"""The rows of all entries and duties, as one entry has read them in the store."""

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

READ_LIMIT_S = 1.5
"""How long a look waits for a reading, which goes on beyond that."""


@dataclass(frozen=True, slots=True)
class ChangesRead:
    """Rows that have changed since the reading before."""

    page: Page


@dataclass(frozen=True, slots=True)
class AllRead:
    """All rows, since the changes are not known."""

    page: Page


ReadPage = ChangesRead | AllRead


@dataclass(frozen=True, slots=True)
class Reading:
    """A reading on its way.

    Parameters
    ----------
    sent_ms : int
        When it was sent; its rows are not older.
    """

    task: asyncio.Task[Result[ReadPage, TableUnavailable]]
    sent_ms: int


@dataclass(slots=True)
class MemberRows:
    """Keeps the rows up to date.

    Parameters
    ----------
    changes_read : callable
        Called with the keys deleted since the reading before, and the revision.
    all_read : callable
        Called with the revision when all rows were read.
    rows : dict
        The rows by key.
    revision : int or None
        Revision up to which they are known, None before the first reading.
    """

    store: RowStore
    clock: Clock
    changes_read: Callable[[tuple[str, ...], int], None]
    all_read: Callable[[int], None]
    rows: dict[str, Row] = field(default_factory=dict)
    revision: int | None = None
    reading: Reading | None = None
    running: set[asyncio.Task[Result[ReadPage, TableUnavailable]]] = field(
        default_factory=set
    )

    def keep(self, row: Row) -> None:
        """Keep a row unless a later version is known; the history may lag."""
        known = self.rows.get(row.key)
        if known is None or known.version < row.version:
            self.rows[row.key] = row

    async def read(self) -> Result[int, str]:
        """Bring the rows up to date.

        A reading that takes longer than the limit goes on, and the next call waits for
        it: begun anew it would have more to read.

        Returns
        -------
        Ok or Err
            When the rows that were read were asked for, in milliseconds, or why none
            were.
        """
        if self.reading is None:
            task = start_background(self.running, self._next_page())
            self.reading = Reading(task, self.clock.now_ms())
        reading = self.reading
        await asyncio.wait((reading.task,), timeout=READ_LIMIT_S)
        if not reading.task.done():
            return Err("the reading takes long")
        self.reading = None
        match reading.task.result():
            case Ok(found):
                self._take_in(found)
                return Ok(reading.sent_ms)
            case Err(error):
                return Err(error.detail)

    async def _next_page(self) -> Result[ReadPage, TableUnavailable]:
        if self.revision is None:
            return await self._whole_table()
        match await self.store.changes(MEMBERS_TABLE, self.revision, 0):
            case Ok(page):
                return Ok(ChangesRead(page))
            case Err(HistoryLost()):
                return await self._whole_table()
            case Err(error):
                return Err(error)

    async def _whole_table(self) -> Result[ReadPage, TableUnavailable]:
        return (await read_table(self.store, MEMBERS_TABLE)).map(AllRead)

    def _take_in(self, found: ReadPage) -> None:
        match found:
            case ChangesRead(page):
                for row in page.rows:
                    self.keep(row)
                for key in page.deleted:
                    self.rows.pop(key, None)
                self.revision = max(self.revision, page.revision)
                self.changes_read(page.deleted, self.revision)
            case AllRead(page):
                later = [
                    one for one in self.rows.values() if one.version > page.revision
                ]
                self.rows = {row.key: row for row in page.rows}
                for row in later:
                    self.keep(row)
                self.revision = page.revision
                self.all_read(page.revision)
