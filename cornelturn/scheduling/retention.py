"""Rows of finished jobs of a pool, and which of them are due for deletion.

Tombstones of cancelled submissions are such rows as well. The time is always an
argument.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field
from itertools import islice, takewhile
from typing import NamedTuple

from cornelturn.jobs.rows import MAX_TRANSACTION_ROWS, part_of
from cornelturn.store.rows import Delete

DEFAULT_STATUS_MS = 120_000
"""How long the state of a finished job is shown, unless the settings state another
time."""

RETENTION_MARGIN_MS = 60_000
"""Time for which a row is kept after its state is no longer shown; submissions are
repeated within seconds."""

MAX_BATCH_WAIT_MS = 60_000
"""How long due rows wait for a full batch, as each call of the store is priced."""

MAX_ENDED_ROWS = 50_000
"""Rows that an owner tracks, to bound its memory. A later owner finds the others when
it reads the jobs."""


class EndedRow(NamedTuple):
    """Version of the row of a finished job, and when the owner came to know it."""

    version: int
    since_ms: int


@dataclass(frozen=True, slots=True)
class DeletionBatch:
    """Rows of one part that are deleted in one call.

    Parameters
    ----------
    versions : dict
        Version of the row of each job.
    """

    part: str
    versions: dict[str, int]

    def deletions(self) -> tuple[Delete, ...]:
        """Return the operations, each conditional on the version."""
        return tuple(
            Delete(f"{self.part}/{job}", version)
            for job, version in self.versions.items()
        )


@dataclass(slots=True)
class EndedRows:
    """Rows of finished jobs that are still in the store, as far as the owner knows.

    Parameters
    ----------
    parts : dict
        Rows of each part by job, the one that has been known for longest first.
    count : int
        Number of these rows.
    untracked : int
        Number of rows left out because of `MAX_ENDED_ROWS`.
    """

    parts: dict[str, dict[str, EndedRow]] = field(default_factory=dict)
    count: int = 0
    untracked: int = 0

    def note(self, key: str, job: str, version: int, now_ms: int) -> None:
        """Record that a job is finished according to its row.

        A row that is read again keeps its time; a later version starts anew.
        """
        part = part_of(key)
        known = self.parts.get(part, {}).get(job)
        if known is not None:
            if version <= known.version:
                return
            self._remove(part, job)
        if self.count >= MAX_ENDED_ROWS:
            self.untracked += 1
            return
        self.parts.setdefault(part, {})[job] = EndedRow(version, now_ms)
        self.count += 1

    def due_batch(
        self, retention_ms: int, now_ms: int, max_rows: int = MAX_TRANSACTION_ROWS
    ) -> DeletionBatch | None:
        """Return rows to delete now, None if none are due.

        Of the parts with a full batch, or with a row that has waited long enough for
        one, the part with the oldest row comes first.
        """
        due_since_ms = now_ms - retention_ms
        oldest: tuple[int, str, dict[str, int]] | None = None
        for part, rows in self.parts.items():
            due = takewhile(lambda item: item[1].since_ms <= due_since_ms, rows.items())
            batch = dict(islice(due, max_rows))
            if not batch:
                continue
            since_ms = next(iter(batch.values())).since_ms
            is_full = len(batch) == max_rows
            if not is_full and due_since_ms - since_ms < MAX_BATCH_WAIT_MS:
                continue
            if oldest is None or since_ms < oldest[0]:
                versions = {job: row.version for job, row in batch.items()}
                oldest = since_ms, part, versions
        return DeletionBatch(oldest[1], oldest[2]) if oldest is not None else None

    def forget(self, batch: DeletionBatch, keys: Collection[str] | None = None) -> None:
        """Forget rows of a batch that were deleted, or that others have changed.

        Parameters
        ----------
        keys : collection of str or None
            Keys of these rows, None for all of the batch.
        """
        rows = self.parts.get(batch.part, {})
        for job, version in batch.versions.items():
            is_meant = keys is None or f"{batch.part}/{job}" in keys
            if is_meant and job in rows and rows[job].version == version:
                self._remove(batch.part, job)

    def _remove(self, part: str, job: str) -> None:
        rows = self.parts[part]
        del rows[job]
        self.count -= 1
        if not rows:
            del self.parts[part]
