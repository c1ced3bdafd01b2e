"""Reads the rows of all jobs for the owner of a pool, and the changes after them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from result import Err, Ok

from cornelturn.events.background import FailureHandler, start_background
from cornelturn.events.log import log_event
from cornelturn.jobs.rows import JOBS_TABLE
from cornelturn.scheduling.messages import JobRowsRead, JobRowsScanned, JobsLoaded
from cornelturn.scheduling.takeover import JobScan
from cornelturn.store.port import HistoryLost, RowStore
from cornelturn.store.reading import TableReader, combined_page
from cornelturn.store.rows import Page

FEED_PAUSE_S = 1.0
"""Pause between two reads of the change feed; pushes from other entries are faster."""

FEED_WAIT_MS = 2_000
"""How long a read of the change feed waits for a change."""

MAX_MESSAGE_ROWS = 200
"""Rows that a message of a scan holds: the owner adds them in some 7 ms, and lets other
tasks run between messages."""

STORE_RETRY_S = 0.3
"""Pause after a failed call of the store."""


@dataclass(slots=True)
class JobReader:
    """Scans the jobs when the owner asks for it, and follows their changes.

    Parameters
    ----------
    post : callable
        Receives the rows as messages to the owner; must not block.
    on_failure : callable
        Called with an unexpected error of a read.
    background : set of Task
        Scans in progress, and the task that follows the changes.
    has_posted : bool
        Whether any message has been posted.
    is_following : bool
        Whether changes are followed: from the first rows that were read on.
    """

    store: RowStore
    post: Callable[[JobsLoaded | JobRowsScanned | JobRowsRead], None]
    on_failure: FailureHandler
    background: set[asyncio.Task[None]] = field(default_factory=set)
    has_posted: bool = False
    is_following: bool = False

    def start_scan(self, scan: JobScan) -> None:
        """Read all rows in the background."""
        start_background(self.background, self._scan_jobs(scan), self.on_failure)

    def cancel(self) -> None:
        """Cancel all reads."""
        for task in list(self.background):
            task.cancel()

    async def _scan_jobs(self, scan: JobScan) -> None:
        """Read all rows; pass on those of the parts that the store serves."""
        reader = TableReader(self.store, JOBS_TABLE)
        is_complete = False
        while not is_complete:
            result = await reader.read_missing()
            is_complete = result.is_ok()
            if reader.is_listed:
                self._pass_on_pages(reader.take_new_pages(), scan, is_complete)
            if not is_complete:
                log_event("jobs_not_read", detail=result.err_value.detail)
                await asyncio.sleep(STORE_RETRY_S)

    def _pass_on_pages(
        self, pages: dict[str, Page], scan: JobScan, is_complete: bool
    ) -> None:
        """Post the rows of parts that were read, and follow the changes after them.

        The first message is posted even without a page, so that the owner starts with
        the jobs that other entries push.
        """
        if not pages and not is_complete and self.has_posted:
            return
        page = combined_page(pages.values())
        parts = frozenset(f"{JOBS_TABLE}/{part}" for part in pages)
        self.has_posted = True
        # The message that ends the scan has the last rows, and is sent without any too.
        last_start = max(len(page.rows) - 1, 0) // MAX_MESSAGE_ROWS * MAX_MESSAGE_ROWS
        for start in range(0, last_start, MAX_MESSAGE_ROWS):
            self.post(JobRowsScanned(page.rows[start : start + MAX_MESSAGE_ROWS]))
        self.post(JobsLoaded(scan, page.rows[last_start:], parts, is_complete))
        if not self.is_following and (pages or is_complete):
            self.is_following = True
            following = self._follow_changes(page.revision)
            start_background(self.background, following, self.on_failure)

    async def _follow_changes(self, revision: int) -> None:
        """Read changes until cancelled; most have been pushed before."""
        while True:
            await asyncio.sleep(FEED_PAUSE_S)
            match await self.store.changes(JOBS_TABLE, revision, FEED_WAIT_MS):
                case Ok(page):
                    revision = max(revision, page.revision)
                    self.post(JobRowsRead(page.rows))
                case Err(HistoryLost()):
                    page = await self._read_all_rows()
                    revision = page.revision
                    self.post(JobRowsRead(page.rows))
                case Err(_):
                    await asyncio.sleep(STORE_RETRY_S)

    async def _read_all_rows(self) -> Page:
        """Return all rows, with a revision up to which they are complete."""
        reader = TableReader(self.store, JOBS_TABLE)
        while True:
            match await reader.read_missing():
                case Ok(page):
                    return page
                case Err(error):
                    log_event("jobs_not_read", detail=error.detail)
            await asyncio.sleep(STORE_RETRY_S)
