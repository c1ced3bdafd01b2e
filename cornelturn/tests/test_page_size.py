"""Tests the sizes of pages in which a large table is read."""

from __future__ import annotations

import pytest

from cornelturn.platform.page_size import (
    ESTIMATE_VALIDITY_MS,
    FIRST_PAGE_ROWS,
    MAX_PAGE_ROWS,
    MIN_PAGE_BYTES,
    TARGET_TRANSFER_MS,
    PageSize,
    PageTransfer,
)


def read_pages(size: PageSize, row_bytes: int, bytes_s: int, count: int) -> int:
    """Read full pages over a link; return the transfer time of the last one."""
    transfer_ms = now_ms = 0
    for _ in range(count):
        rows = size.rows_to_request(now_ms)
        transfer_ms = rows * row_bytes * 1_000 // bytes_s
        now_ms += transfer_ms + 1
        page = PageTransfer(rows, rows, rows * row_bytes, transfer_ms)
        size.record_page(page, now_ms)
    return transfer_ms


@pytest.mark.parametrize("row_bytes", [300, 5_700, 87_000])
@pytest.mark.parametrize("bytes_s", [600_000, 12_500_000, 1_000_000_000])
def test_pages_are_as_long_as_the_link_transfers_in_the_intended_time(
    row_bytes, bytes_s
):
    """Guards against pages that delay a renewal, and needlessly short ones."""
    size = PageSize()
    transfer_ms = read_pages(size, row_bytes, bytes_s, 6)
    one_row_ms = row_bytes * 1_000 // bytes_s
    assert transfer_ms <= TARGET_TRANSFER_MS + one_row_ms
    is_longest = size.rows == MAX_PAGE_ROWS
    assert is_longest or transfer_ms + 2 * one_row_ms >= TARGET_TRANSFER_MS


def test_link_that_may_have_become_slower_is_measured_anew():
    """Guards against a burst of long pages sized for the link of an earlier read."""
    size = PageSize()
    read_pages(size, 300, 12_500_000, 6)
    assert size.is_known(size.measured_ms + ESTIMATE_VALIDITY_MS - 1)
    later_ms = size.measured_ms + ESTIMATE_VALIDITY_MS
    assert not size.is_known(later_ms)
    assert size.rows_to_request(later_ms) == FIRST_PAGE_ROWS


@pytest.mark.parametrize("received", [0, 1, 7])
def test_short_page_that_waits_for_other_transfers_shortens_no_page(received):
    """Guards against a list of targets read in pages of one row beside a large read."""
    size = PageSize()
    row_bytes = MIN_PAGE_BYTES // 100
    size.record_page(PageTransfer(8, received, received * row_bytes, 900), 1_000)
    assert size.rows_to_request(1_000) == FIRST_PAGE_ROWS


def test_page_that_does_not_arrive_is_followed_by_short_ones():
    """Guards against a long page that is requested and lost again and again."""
    size = PageSize()
    read_pages(size, 300, 1_000_000_000, 6)
    now_ms = size.measured_ms
    size.record_failure(now_ms)
    assert size.rows_to_request(now_ms) == FIRST_PAGE_ROWS
