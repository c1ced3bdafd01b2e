"""Rendezvous hashing, by which all entries agree on the owner of a key."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def rendezvous_owner(key: str, entries: Iterable[str]) -> str | None:
    """Return the entry that owns a key.

    A change of the set of entries moves only the keys of those added or removed.

    Parameters
    ----------
    key : str
        Key to assign, for example the name of a pool.
    entries : iterable of str
        Live entries.

    Returns
    -------
    str or None
        The owner, None if there are no entries.
    """
    return max(entries, key=lambda entry: _weight(key, entry), default=None)


def _weight(key: str, entry: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(f"{key}\0{entry}".encode()), entry
