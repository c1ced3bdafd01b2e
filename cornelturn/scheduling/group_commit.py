"""Group commit of the rows of a pool's jobs: one commit at a time for each part.

The store processes the transactions of a part one after another, and limits those of
all entries together. Changes made while a commit is in flight go into the next one.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from cornelturn.jobs.rows import MAX_TRANSACTION_ROWS, part_of
from cornelturn.scheduling.row_writing import JobWrite
from cornelturn.scheduling.views import JobView

MIN_COMMIT_INTERVAL_MS = 25
"""Minimum time between the starts of two commits of a part; final jobs do not wait."""


@dataclass(frozen=True, slots=True)
class CommitGroup:
    """Jobs whose rows go into one commit."""

    part: str
    jobs: tuple[JobView, ...]


@dataclass(slots=True)
class PartState:
    """State of the commits of a part.

    Parameters
    ----------
    started_ms : int or None
        When the last commit started, None if there was none.
    """

    started_ms: int | None = None
    is_in_flight: bool = False


@dataclass(slots=True)
class GroupCommits:
    """Groups the rows to write into commits, by part.

    Parameters
    ----------
    due_ms : int or None
        When delayed rows are due, None if there are none.
    refused_parts : set of str
        Parts whose last commit the store refused or did not answer.
    alone : set of str
        Jobs whose rows are written in commits of their own.
    """

    parts: dict[str, PartState] = field(default_factory=dict)
    due_ms: int | None = None
    refused_parts: set[str] = field(default_factory=set)
    alone: set[str] = field(default_factory=set)

    def start_commits(
        self, dirty: Iterable[JobView], now_ms: int, is_urgent: bool = False
    ) -> list[CommitGroup]:
        """Return the commits that start now, at most one for each part.

        Parameters
        ----------
        dirty : iterable of JobView
            Jobs whose rows lack a change.
        is_urgent : bool
            Whether to start without waiting for the interval.
        """
        by_part: dict[str, list[JobView]] = {}
        for job in dirty:
            by_part.setdefault(part_of(job.key), []).append(job)
        self.due_ms = None
        return [
            self._start_part(part, jobs, now_ms)
            for part, jobs in by_part.items()
            if self._may_start(part, jobs, now_ms, is_urgent)
        ]

    def commit_accepted(self, part: str) -> None:
        """Record that the store processed a commit of a part, conflict or not."""
        self.refused_parts.discard(part)

    def commit_refused(self, part: str) -> None:
        """Record that the store refused a commit of a part or did not answer."""
        self.refused_parts.add(part)

    def commit_finished(self, part: str) -> None:
        """Record that the commit in flight of a part was answered or has failed."""
        self.parts[part].is_in_flight = False

    def separate(self, writes: Collection[JobWrite]) -> None:
        """Write each row of a commit that was too large alone, until `rejoin`."""
        self.alone |= {write.job for write in writes}

    def rejoin(self, writes: Collection[JobWrite]) -> None:
        """Let rows that the store has accepted share commits again."""
        self.alone -= {write.job for write in writes}

    def _may_start(
        self, part: str, jobs: list[JobView], now_ms: int, is_urgent: bool
    ) -> bool:
        state = self.parts.setdefault(part, PartState())
        if state.is_in_flight:
            return False
        if is_urgent or state.started_ms is None or any(map(is_final, jobs)):
            return True
        due_ms = state.started_ms + MIN_COMMIT_INTERVAL_MS
        if now_ms >= due_ms:
            return True
        self.due_ms = due_ms if self.due_ms is None else min(self.due_ms, due_ms)
        return False

    def _start_part(self, part: str, jobs: list[JobView], now_ms: int) -> CommitGroup:
        self.parts[part] = PartState(now_ms, is_in_flight=True)
        by_urgency = sorted(jobs, key=self._is_urgent, reverse=True)
        if by_urgency[0].spec.id in self.alone:
            return CommitGroup(part, tuple(by_urgency[:1]))
        together = [job for job in by_urgency if job.spec.id not in self.alone]
        return CommitGroup(part, tuple(together[:MAX_TRANSACTION_ROWS]))

    def _is_urgent(self, job: JobView) -> bool:
        """Return whether a row goes first; one that may be refused again waits."""
        return is_final(job) and job.spec.id not in self.alone


def is_final(job: JobView) -> bool:
    """Return whether a job is completed, failed or cancelled."""
    return job.progress.state(job.spec).is_final()
