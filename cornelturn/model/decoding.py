"""Decoding of bytes from outside: whatever they are, the outcome is a value."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta
from result import Err, Ok, Result

MAX_COUNT = 1 << 53
"""Largest whole number that every JSON program reads exactly."""

MAX_AMOUNT = 10**9
"""Most that one target may have, or one task take, of a resource: sums over a whole
fleet stay within 64 bits."""

MAX_DIGITS = 15
"""Digits of a number in a text."""

Int64 = Annotated[int, Meta(ge=-(1 << 63), le=(1 << 63) - 1)]
"""A whole number that messages between entries can carry."""

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
"""What decoders raise: RecursionError for deep nesting, also of unknown fields, and
OverflowError for numbers beyond a type."""


@dataclass(frozen=True, slots=True)
class DocumentError:
    """Why a document was not understood."""

    detail: str


def parse_number(text: str) -> int | None:
    """Return the number that a text spells, None if it is none of a usual length."""
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS
    return int(text) if is_number else None


def try_decode(
    decode: Callable[[Data], Value], data: Data
) -> Result[Value, DocumentError]:
    """Return what a decoder makes of data, or why it makes nothing of it."""
    try:
        return Ok(decode(data))
    except DECODE_ERRORS as error:
        return Err(DocumentError(f"{type(error).__name__}: {error}"))
