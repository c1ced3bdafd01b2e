"""Resumable read of all rows of a table over links that may be slow."""

from __future__ import annotations

import asyncio
from collections.abc import Collection
from dataclasses import dataclass, field

from result import Err, Ok, Result

from cornelturn.store.port import RowStore
from cornelturn.store.rows import Page, TableUnavailable

MAX_CONCURRENT_SCANS = 4
"""Parts that are read concurrently until a call fails."""


@dataclass(slots=True)
class TableReader:
    """Reads a whole table, and can resume after a failed call.

    Parts that have been read are kept. After a failure the others are read one at a
    time, so that no response shares the link with another. The parts are listed again
    until no new one appears, as neither the pages read so far nor the changes after
    them would contain it.

    Parameters
    ----------
    pages : dict
        Rows of each part that has been read.
    taken_parts : set of str
        Parts whose rows `take_new_pages` has returned.
    is_listed : bool
        Whether the parts have been listed.
    """

    store: RowStore
    table: str
    pages: dict[str, Page] = field(default_factory=dict)
    max_concurrent_scans: int = MAX_CONCURRENT_SCANS
    taken_parts: set[str] = field(default_factory=set)
    is_listed: bool = False

    async def read_missing(self) -> Result[Page, TableUnavailable]:
        """Read the parts that have not been read yet.

        Returns
        -------
        Page
            All rows, and a revision up to which they are complete.
        """
        errors: list[TableUnavailable] = []
        while not errors:
            match await self.store.parts(self.table):
                case Err() as failed:
                    return failed
                case Ok(parts):
                    self.is_listed = True
                    missing = [part for part in parts if part not in self.pages]
            if not missing:
                return Ok(combined_page(self.pages.values()))
            scanners = (
                self._scan(missing, errors) for _ in range(self.max_concurrent_scans)
            )
            await asyncio.gather(*scanners)
        self.max_concurrent_scans = 1
        return Err(errors[0])

    def take_new_pages(self) -> dict[str, Page]:
        """Return the pages that were read since the last call, by part."""
        new = {
            part: page
            for part, page in self.pages.items()
            if part not in self.taken_parts
        }
        self.taken_parts.update(new)
        return new

    async def _scan(self, missing: list[str], errors: list[TableUnavailable]) -> None:
        """Read parts until none is missing or any concurrent call has failed."""
        while missing and not errors:
            part = missing.pop()
            match await self.store.scan(self.table, part):
                case Ok(page):
                    self.pages[part] = page
                case Err(error):
                    errors.append(error)


def combined_page(pages: Collection[Page]) -> Page:
    """Return the rows of several pages, and a revision up to which all are complete.

    Without any page the revision is 0.
    """
    revision = min((page.revision for page in pages), default=0)
    return Page(revision, tuple(row for page in pages for row in page.rows))
