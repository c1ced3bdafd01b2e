"""Number of rows to request per page, so that a page occupies the link only briefly.

Answers queue up on the link of an entry. The renewal of its lease and the read of the
members wait for the pages that were requested before them, and both must fit into the
time that a lease is valid.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

MAX_PAGE_ROWS = 500
"""Maximum number of rows that the platform returns in one response."""

FIRST_PAGE_ROWS = 8
"""Rows of a page while nothing is known: of the largest size they take 1.2 s at
5 Mbit/s, half of the time for which a renewal is valid."""

TARGET_TRANSFER_MS = 200
"""Intended time from the start of the response until the end of a page. Four pages are
requested at a time; even one after the other they leave time for a renewal."""

MAX_GROWTH = 4
"""Factor by which pages grow at most: the rows of the next page may be larger."""

MIN_PAGE_BYTES = 32_768
"""Pages are not made shorter than this, as then other transfers have delayed them: it
takes 53 ms at 5 Mbit/s."""

ESTIMATE_VALIDITY_MS = 10_000
"""Time after the last page from which the link may have become slower."""


@dataclass(frozen=True, slots=True)
class PageTransfer:
    """A page that has arrived.

    Parameters
    ----------
    requested, received : int
        Number of rows.
    transfer_ms : int
        Time from the start of the response until its end.
    """

    requested: int
    received: int
    size_bytes: int
    transfer_ms: int

    def fitting_rows(self) -> int:
        """Return how many such rows a page may have, at least one."""
        by_time = self.received * TARGET_TRANSFER_MS // max(self.transfer_ms, 1)
        by_size = self.received * MIN_PAGE_BYTES // max(self.size_bytes, 1)
        return max(by_time, by_size, 1)


@dataclass(slots=True)
class PageSize:
    """Size of the pages of one table, from the transfer times of its last pages.

    Parameters
    ----------
    rows : int
        Number of rows to request.
    measured_ms : int or None
        When the last page arrived or failed, None if there has been none.
    """

    rows: int = FIRST_PAGE_ROWS
    measured_ms: int | None = None

    def is_known(self, now_ms: int) -> bool:
        """Return whether the size rests on a recent page."""
        return (
            self.measured_ms is not None
            and now_ms - self.measured_ms < ESTIMATE_VALIDITY_MS
        )

    def rows_to_request(self, now_ms: int) -> int:
        """Return the number of rows to request now."""
        return self.rows if self.is_known(now_ms) else FIRST_PAGE_ROWS

    def record_page(self, page: PageTransfer, now_ms: int) -> None:
        """Adapt the size to a page that has arrived.

        Only a full page shows that a larger one would be fast too, and an empty one
        shows nothing about the rows.
        """
        self.rows = self.rows_to_request(now_ms)
        self.measured_ms = now_ms
        if not page.received:
            return
        fitting = page.fitting_rows()
        if page.transfer_ms > TARGET_TRANSFER_MS:
            self.rows = min(self.rows, fitting)
        elif page.received >= page.requested:
            grown = min(fitting, page.requested * MAX_GROWTH, MAX_PAGE_ROWS)
            self.rows = max(self.rows, grown)

    def record_failure(self, now_ms: int) -> None:
        """Return to small pages after one that has not arrived."""
        self.rows = min(self.rows_to_request(now_ms), FIRST_PAGE_ROWS)
        self.measured_ms = now_ms


@dataclass(slots=True)
class TablePages:
    """Pages of one table.

    Parameters
    ----------
    first : Lock
        Held while a page is read whose size is not known; the others wait for what it
        shows.
    """

    size: PageSize = field(default_factory=PageSize)
    first: asyncio.Lock = field(default_factory=asyncio.Lock)
