"""Limits of the store in size, and the size of a call while it is put together."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from cornelturn.store.rows import Put

ROW_BYTES = 65_536
"""Default of the largest value of a row, before it is encoded as base64."""

CALL_BYTES = 1_000_000
"""Default of the largest call: 1 MB, in the smaller of its two meanings."""

CALL_ENTRIES = 100
"""Default of the most entries of a call."""

ENTRIES_PER_PUT = 2
"""Entries that the write of a row takes: its condition and its value."""

SLOW_LINK_CALL_BYTES = 700_000
"""Size of a call that is sent within 1.2 s at 5 Mbit/s, and so before it times out. A
call with a single row may be longer."""

PUT_OVERHEAD_BYTES = 200
"""Upper limit of the names, punctuation and version in the two entries of a row."""

CALL_OVERHEAD_BYTES = 100
"""Upper limit of what a call has besides its entries."""


@dataclass(frozen=True, slots=True)
class StoreLimits:
    """Largest rows and calls that the store accepts.

    Parameters
    ----------
    row_bytes : int
        Largest value of a row, before it is encoded as base64.
    call_bytes : int
        Largest body of a call.
    call_entries : int
        Most entries of a call.
    """

    row_bytes: int = ROW_BYTES
    call_bytes: int = CALL_BYTES
    call_entries: int = CALL_ENTRIES

    def max_row_bytes(self) -> int:
        """Return the largest value of a row that also fits in a call of its own."""
        room = self.call_bytes - CALL_OVERHEAD_BYTES - PUT_OVERHEAD_BYTES
        return min(self.row_bytes, room // 4 * 3)

    def max_call_rows(self) -> int:
        """Return the most rows that one call writes or deletes."""
        return self.call_entries // ENTRIES_PER_PUT


DEFAULT_LIMITS = StoreLimits()


@dataclass(slots=True)
class CallSize:
    """Upper limit of the size of a call, to which rows are added one by one."""

    limits: StoreLimits
    rows: int = 0
    size: int = CALL_OVERHEAD_BYTES

    def add(self, put: Put) -> bool:
        """Add a row unless the call would grow too long; a first row is always added.

        Returns
        -------
        bool
            Whether the row was added.
        """
        size = self.size + put_bytes(put)
        max_bytes = min(self.limits.call_bytes, SLOW_LINK_CALL_BYTES)
        max_rows = self.limits.max_call_rows()
        if self.rows and (size > max_bytes or self.rows >= max_rows):
            return False
        self.rows += 1
        self.size = size
        return True


def put_bytes(put: Put) -> int:
    """Return an upper limit of the bytes that the write of a row takes in a call."""
    key_bytes = len(msgspec.json.encode(put.key))
    return PUT_OVERHEAD_BYTES + ENTRIES_PER_PUT * key_bytes + base64_bytes(put.value)


def base64_bytes(value: str) -> int:
    """Return the length of a text in base64."""
    return (value_bytes(value) + 2) // 3 * 4


def value_bytes(value: str) -> int:
    """Return the length of the value of a row as the store counts it."""
    return len(value.encode())
