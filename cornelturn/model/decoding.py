"""Decoding of bytes from outside: whatever they are, the outcome is a value."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta
from result import Err, Ok, Result

MOST_COUNT = 1 << 53
"""Largest whole number that every JSON program reads exactly."""

MOST_AMOUNT = 10**9
"""Most that one target may have, or one task take, of a resource: sums over a whole
fleet stay within 64 bits."""

MOST_DIGITS = 15
"""Digits of a number in a text."""

Int64 = Annotated[int, Meta(ge=-(1 << 63), le=(1 << 63) - 1)]
"""A whole number that messages between entries can carry."""

Count = Annotated[int, Meta(ge=0, le=MOST_COUNT)]
Amount = Annotated[int, Meta(ge=0, le=MOST_AMOUNT)]

Data = TypeVar("Data", str, bytes)
Value = TypeVar("Value")

UNDECODABLE = (
    msgspec.MsgspecError,
    ValueError,
    TypeError,
    LookupError,
    OverflowError,
    RecursionError,
)
"""What decoders raise: RecursionError for deep nesting, also of unknown fields, and
OverflowError for numbers beyond a type."""


@dataclass(frozen=True, slots=True)
class DocumentError:
    """Why a document was not understood."""

    detail: str


def number_of(text: str) -> int | None:
    """Return the number that a text spells, None if it is none of a usual length."""
    is_number = text.isascii() and text.isdigit() and len(text) <= MOST_DIGITS
    return int(text) if is_number else None


def decoded(
    decode: Callable[[Data], Value], data: Data
) -> Result[Value, DocumentError]:
    """Return what a decoder makes of data, or why it makes nothing of it."""
    try:
        return Ok(decode(data))
    except UNDECODABLE as error:
        return Err(DocumentError(f"{type(error).__name__}: {error}"))
