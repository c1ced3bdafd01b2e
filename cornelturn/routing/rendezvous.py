"""Rendezvous hashing: which entry owns a key."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def rendezvous_owner(key: str, entries: Iterable[str]) -> str | None:
    """Return the owner of a key.

    A change of the set moves only the keys of the entries that came or went.

    Parameters
    ----------
    key : str
        For example the name of a pool.
    entries : iterable of str
        Live entries.

    Returns
    -------
    str or None
        The owner, None if there is no entry.
    """
    return max(entries, key=lambda entry: _weight(key, entry), default=None)


def _weight(key: str, entry: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(f"{key}\0{entry}".encode()), entry
