"""Rows and operations of the platform's table service."""

from __future__ import annotations

from dataclasses import dataclass

ABSENT = 0


@dataclass(frozen=True, slots=True)
class Row:
    """A row as read.

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
        Version found earlier, `ABSENT` if the row must not exist, None for any.
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
    """Let the commit fail unless the version of a row is as expected."""

    key: str
    expected: int


Operation = Put | Delete | Check


@dataclass(frozen=True, slots=True)
class Page:
    """Rows of a scan.

    Parameters
    ----------
    revision : int
        Revision up to which the page is complete.
    rows : tuple of Row
        Rows written after the revision that was asked for.
    deleted : tuple of str
        Keys deleted after that revision.
    superseded : int
        Older versions of these rows that came with them.
    """

    revision: int
    rows: tuple[Row, ...]
    deleted: tuple[str, ...] = ()
    superseded: int = 0


@dataclass(frozen=True, slots=True)
class TableUnavailable:
    """The service did not do what was asked, or did not say that it did.

    Parameters
    ----------
    is_in_doubt : bool
        Whether a commit may have taken effect, or may still do so.
    """

    detail: str
    is_in_doubt: bool = True


@dataclass(frozen=True, slots=True)
class TableConflict:
    """Another writer came first.

    Parameters
    ----------
    keys : tuple of str
        Keys whose version was not as expected.
    rows : tuple of Row
        What the service holds of the rows that the commit named, where it says so.
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
