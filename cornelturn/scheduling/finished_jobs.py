"""Finished jobs that the owner of a pool remembers."""

from __future__ import annotations

from dataclasses import dataclass, field

from cornelturn.scheduling.retention import EndedRows
from cornelturn.store.rows import ABSENT

MAX_FINISHED_JOBS = 50_000
"""Number of finished jobs that are remembered; far more than finish within the change
history of the store."""


@dataclass(slots=True)
class FinishedJobs:
    """Last versions of the rows of finished jobs.

    Parameters
    ----------
    versions : dict
        Version of the row of each finished job; the change history of the store also
        contains earlier versions. It is kept after the row was deleted, so that these
        do not start the job again.
    rows : EndedRows
        Rows of finished jobs that are in the store.
    """

    versions: dict[str, int] = field(default_factory=dict)
    rows: EndedRows = field(default_factory=EndedRows)

    def __contains__(self, job: str) -> bool:
        return job in self.versions

    def version(self, job: str) -> int:
        """Return the last version of a finished job, `ABSENT` for other jobs."""
        return self.versions.get(job, ABSENT)

    def add(self, key: str, job: str, version: int, now_ms: int) -> None:
        """Remember the last version of a finished job, and its row for deletion."""
        self.rows.note(key, job, version, now_ms)
        self.versions[job] = version
        if len(self.versions) > MAX_FINISHED_JOBS:
            del self.versions[next(iter(self.versions))]
