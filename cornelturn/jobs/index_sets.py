"""Compact text of a set of indices: ranges, or a bitmap where that is shorter.

The text of a set of indices below a limit is no longer than a bitmap of that many bits,
whichever indices it has.
"""

from __future__ import annotations

import base64
from collections.abc import Collection, Iterable, Iterator

from cornelturn.jobs.index_ranges import IndexRanges, ranges_of
from cornelturn.model.decoding import parse_number

BITMAP_MARK = ":"
"""First character of a bitmap in base64; ranges start with a digit."""

MAX_INDEX = (1 << 20) - 1
"""Largest index that is decoded. A step has at most 10,000 tasks and a job 100,000
occurrences; a few characters must not be decoded into a set that fills the memory."""

BITS_PER_BYTE = 8


def encode_indices(indices: Collection[int]) -> str:
    """Return the text of a set of indices, which must not be negative."""
    if not indices:
        return ""
    ordered = sorted(indices)
    max_length = max_encoded_length(ordered[-1] + 1)
    ranges = _encode_ranges(ordered, max_length)
    return ranges if ranges is not None else _encode_bitmap(ordered, ordered[-1])


def encode_ranges(ranges: IndexRanges) -> str:
    """Return the text of a set of indices that is kept as ranges."""
    if not ranges.count:
        return ""
    text = ",".join(_range_text(first, last) for first, last in ranges.ranges())
    if len(text) <= max_encoded_length(ranges.lasts[-1] + 1):
        return text
    return _encode_bitmap(
        (index for first, last in ranges.ranges() for index in range(first, last + 1)),
        ranges.lasts[-1],
    )


def decode_ranges(text: str) -> IndexRanges:
    """Return the set of indices that a text stands for, as ranges.

    Raises
    ------
    ValueError
        If the text was not written by `encode_ranges` or `encode_indices`.
    """
    if text.startswith(BITMAP_MARK):
        return ranges_of(decode_indices(text))
    ranges = IndexRanges()
    for first, last in _decode_bounds(text):
        ranges.add_range(first, last)
    return ranges


def decode_indices(text: str) -> set[int]:
    """Return the set of indices that a text stands for.

    Raises
    ------
    ValueError
        If the text was not written by `encode_indices`.
    """
    if text.startswith(BITMAP_MARK):
        return _decode_bitmap(text[len(BITMAP_MARK) :])
    indices: set[int] = set()
    for first, last in _decode_bounds(text):
        indices.update(range(first, last + 1))
    return indices


def max_encoded_length(count: int) -> int:
    """Return the length of the longest text of a set of indices below a limit."""
    byte_count = (count + BITS_PER_BYTE - 1) // BITS_PER_BYTE
    return len(BITMAP_MARK) + (byte_count + 2) // 3 * 4


def _decode_bounds(text: str) -> Iterator[tuple[int, int]]:
    """Return the first and the last index of each range of a text."""
    for part in text.split(",") if text else ():
        first, _, last = part.partition("-")
        yield _index(first), _index(last or first)


def _encode_ranges(ordered: list[int], max_length: int) -> str | None:
    """Return the ranges of ascending indices, None if they are longer than allowed."""
    if ordered[-1] - ordered[0] + 1 == len(ordered):
        text = _range_text(ordered[0], ordered[-1])
        return text if len(text) <= max_length else None
    ranges: list[str] = []
    length = -1
    first = previous = ordered[0]
    for index in (*ordered[1:], None):
        if index == previous + 1:
            previous = index
            continue
        ranges.append(_range_text(first, previous))
        length += len(ranges[-1]) + 1
        if length > max_length:
            return None
        first = previous = index
    return ",".join(ranges)


def _range_text(first: int, last: int) -> str:
    return str(first) if first == last else f"{first}-{last}"


def _encode_bitmap(indices: Iterable[int], largest: int) -> str:
    bitmap = bytearray(largest // BITS_PER_BYTE + 1)
    for index in indices:
        bitmap[index // BITS_PER_BYTE] |= 1 << index % BITS_PER_BYTE
    return BITMAP_MARK + base64.b64encode(bitmap).decode()


def _decode_bitmap(text: str) -> set[int]:
    bitmap = base64.b64decode(text, validate=True)
    if len(bitmap) * BITS_PER_BYTE > MAX_INDEX + 1:
        raise ValueError("expected a shorter bitmap")
    return {
        position * BITS_PER_BYTE + bit
        for position, byte in enumerate(bitmap)
        if byte
        for bit in range(BITS_PER_BYTE)
        if byte >> bit & 1
    }


def _index(text: str) -> int:
    index = parse_number(text)
    if index is None or index > MAX_INDEX:
        raise ValueError(f"expected an index up to {MAX_INDEX}, found {text[:20]}")
    return index
