"""Decoding of untrusted input: bad input gives an error value, not an exception."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta
from result import Err, Ok, Result

MAX_COUNT = 1 << 53
"""Largest integer that every JSON implementation reads exactly."""

MAX_AMOUNT = 10**9
"""Largest amount of a resource of one target or task, so that sums over a whole fleet
fit in 64 bits."""

MAX_DIGITS = 15
"""Largest number of digits that `parse_number` accepts."""

Int64 = Annotated[int, Meta(ge=-(1 << 63), le=(1 << 63) - 1)]
"""An integer that messages between entries can carry."""

Count = Annotated[int, Meta(ge=0, le=MAX_COUNT)]
Amount = Annotated[int, Meta(ge=0, le=MAX_AMOUNT)]

Data = TypeVar("Data", str, bytes)
Value = TypeVar("Value")

DECODE_ERRORS = (
    msgspec.MsgspecError,
    ValueError,
    TypeError,
    LookupError,
    OverflowError,
    RecursionError,
)
"""Exceptions that decoders raise for bad input: RecursionError for deep nesting, also
of unknown fields, and OverflowError for numbers out of the range of a type."""


@dataclass(frozen=True, slots=True)
class DocumentError:
    """Why a document could not be decoded."""

    detail: str


def parse_number(text: str) -> int | None:
    """Return the number in a text of up to `MAX_DIGITS` digits, None if it is none."""
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS
    return int(text) if is_number else None


def try_decode(
    decode: Callable[[Data], Value], data: Data
) -> Result[Value, DocumentError]:
    """Return the decoded value, or why the data could not be decoded."""
    try:
        return Ok(decode(data))
    except DECODE_ERRORS as error:
        return Err(DocumentError(f"{type(error).__name__}: {error}"))
