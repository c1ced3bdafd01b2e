"""JSON documents of the platform's HTTP API for the table and the instances."""

from __future__ import annotations

import msgspec

from cornelturn.model.decoding import Int64
from cornelturn.store.rows import Check, Delete, Operation, Put


class WireOperation(msgspec.Struct, frozen=True, omit_defaults=True):
    """One operation of a transaction."""

    kind: str
    key: str
    expected: int | None = None
    value: str = ""
    token: str = ""


class WireTransaction(msgspec.Struct, frozen=True):
    """Request body of POST /v1/transactions."""

    operations: tuple[WireOperation, ...]


class WireCommitted(msgspec.Struct, frozen=True):
    """Response body of a transaction with status 200."""

    revision: Int64


class WireConflict(msgspec.Struct, frozen=True):
    """Response body of a transaction with status 409; keys that conflict."""

    failed: tuple[str, ...]


class WireRow(msgspec.Struct, frozen=True):
    """A row."""

    key: str
    version: Int64
    token: str
    value: str


class WirePage(msgspec.Struct, frozen=True):
    """Response body of GET /v1/rows with a prefix."""

    revision: Int64
    rows: tuple[WireRow, ...]
    deleted: tuple[str, ...] = ()


class WireInstance(msgspec.Struct, frozen=True):
    """An instance in the platform's list of live and leaving instances."""

    name: str
    data_centre: str
    rack: str
    address: str
    slots: Int64
    cores: float
    memory_mb: Int64
    is_leaving: bool = False
    is_up: bool = True
    boot: Int64 = 0
    running: Int64 = 0


def wire_operation(operation: Operation, token: str) -> WireOperation:
    """Return the JSON form of an operation."""
    match operation:
        case Put(key, value, expected):
            return WireOperation("put", key, expected, value, token)
        case Delete(key, expected):
            return WireOperation("delete", key, expected)
        case Check(key, expected):
            return WireOperation("check", key, expected)
