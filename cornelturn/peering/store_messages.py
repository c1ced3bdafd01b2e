"""Messages for calls to the store that one entry makes for another."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class StoreOutcome(StrEnum):
    """Outcome of a call to the store."""

    DONE = "done"
    CONFLICT = "conflict"
    NOT_DONE = "not_done"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class StoreAsked:
    """Request for a call to the store that the receiver makes for the sender.

    Parameters
    ----------
    number : int
        Number of the call at the sender.
    text : str or None
        Text of the row to write, None to read it.
    expected : int
        Version that a row to write must have.
    """

    number: int
    key: str
    text: str | None
    expected: int


@dataclass(frozen=True, slots=True)
class StoreTold:
    """Outcome of a call to the store that the sender made for the receiver.

    Parameters
    ----------
    number : int
        Number of the request.
    version : int
        Version of the row, 0 if there is none.
    text : str
        Text of the row if it was read.
    """

    number: int
    outcome: StoreOutcome
    version: int = 0
    text: str = ""
