"""Rows, operations and results of the platform's table service."""

from __future__ import annotations

from dataclasses import dataclass

ABSENT = 0


@dataclass(frozen=True, slots=True)
class Row:
    """A row as it was read.

    Parameters
    ----------
    key : str
        Key of the row.
    version : int
        Revision of the table at the last write of the row; never reused.
    token : str
        Token of the commit that wrote the row.
    value : str
        JSON text.
    """

    key: str
    version: int
    token: str
    value: str


def version_of(row: Row | None) -> int:
    """Return the version of a row as read, `ABSENT` if there is none."""
    return row.version if row is not None else ABSENT


@dataclass(frozen=True, slots=True)
class Put:
    """Write a row if its version is as expected.

    Parameters
    ----------
    expected : int or None
        Version read earlier, `ABSENT` if the row must not exist, None for any.
    """

    key: str
    value: str
    expected: int | None = None


@dataclass(frozen=True, slots=True)
class Delete:
    """Delete a row if its version is as expected."""

    key: str
    expected: int | None = None


@dataclass(frozen=True, slots=True)
class Check:
    """Fail the commit unless the version of a row is as expected."""

    key: str
    expected: int


Operation = Put | Delete | Check


@dataclass(frozen=True, slots=True)
class Page:
    """Rows of a scan or of a change feed.

    Parameters
    ----------
    revision : int
        Revision up to which the page is complete.
    rows : tuple of Row
        Rows written after the requested revision.
    deleted : tuple of str
        Keys deleted after the requested revision.
    superseded : int
        Number of older versions of these rows in the same response.
    """

    revision: int
    rows: tuple[Row, ...]
    deleted: tuple[str, ...] = ()
    superseded: int = 0


@dataclass(frozen=True, slots=True)
class TableUnavailable:
    """The service did not carry out a call, or did not confirm that it did.

    Parameters
    ----------
    is_in_doubt : bool
        Whether a commit may have taken effect, or may still take effect.
    """

    detail: str
    is_in_doubt: bool = True


@dataclass(frozen=True, slots=True)
class CallTooLarge(TableUnavailable):
    """The store refused a call for its size, and would refuse it again."""

    is_in_doubt: bool = False


@dataclass(frozen=True, slots=True)
class TableConflict:
    """The version of a row was not as expected; another writer changed it.

    Parameters
    ----------
    keys : tuple of str
        Keys whose version was not as expected.
    rows : tuple of Row
        Current state of the rows that the commit named, if the service returns it.
    """

    keys: tuple[str, ...]
    rows: tuple[Row, ...] = ()


TableError = TableUnavailable | TableConflict


@dataclass(frozen=True, slots=True)
class Committed:
    """All operations took effect.

    Parameters
    ----------
    revision : int
        Revision of the commit, the version of all rows it wrote.
    """

    revision: int
