"""Messages to the owner of a pool."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from result import Result

from cornelturn.advice.messages import ApprovalSettled
from cornelturn.ownership.messages import (
    PredecessorAnswered,
    PredecessorsInactive,
    RowWrite,
)
from cornelturn.peering.quota_messages import QuotaGrant
from cornelturn.scheduling.retention import DeletionBatch
from cornelturn.scheduling.row_writing import JobWrite
from cornelturn.scheduling.takeover import JobScan
from cornelturn.store.rows import Committed, Row, TableError
from cornelturn.targets.model import ListedTarget, TargetLife
from cornelturn.targets.session import SessionEvent


@dataclass(frozen=True, slots=True)
class TargetsListed:
    """The list of all targets of the fleet."""

    targets: tuple[ListedTarget, ...]


@dataclass(frozen=True, slots=True)
class JobRowsRead:
    """Rows of jobs, of any pool.

    Parameters
    ----------
    waited_ms : int
        Time since the caller of the job was first refused, for a single row.
    """

    rows: tuple[Row, ...]
    waited_ms: int = 0


@dataclass(frozen=True, slots=True)
class JobRowsScanned:
    """A scan has read rows of jobs; a later `JobsLoaded` names their parts."""

    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class JobsLoaded:
    """A scan has read rows of jobs.

    Parameters
    ----------
    rows : tuple of Row
        Rows of the parts that were read since its last message, without those that were
        passed on before.
    parts : frozenset of str
        These parts, as in the keys of their rows.
    is_complete : bool
        Whether all parts have been read; others are read as soon as the store serves
        them.
    """

    scan: JobScan
    rows: tuple[Row, ...]
    parts: frozenset[str]
    is_complete: bool


@dataclass(frozen=True, slots=True)
class CommitFinished:
    """The commit in flight of a part was answered or has failed.

    Parameters
    ----------
    is_too_large : bool
        Whether the store refused it for its size.
    deleted : frozenset of str
        Keys of rows that no longer exist.
    """

    part: str
    writes: tuple[JobWrite, ...]
    version: int | None
    rows: tuple[Row, ...] = ()
    is_too_large: bool = False
    deleted: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class DeletionFinished:
    """The deletion of rows of finished jobs was answered or has failed."""

    batch: DeletionBatch
    result: Result[Committed, TableError]


@dataclass(frozen=True, slots=True)
class CordonRequest:
    """Request to cordon some targets and no others; the highest number is in force."""

    targets: frozenset[str] = frozenset()
    number: int = 0


@dataclass(frozen=True, slots=True)
class TargetRecordFinished:
    """The write of targets into the row of the duty has finished."""

    targets: frozenset[TargetLife]
    is_settled: bool
    outcome: RowWrite


@dataclass(frozen=True, slots=True)
class TickDue:
    """Timer: do the work that no event triggers.

    Parameters
    ----------
    posted_ms : int
        When it was posted; shows how long messages wait in the mailbox.
    """

    posted_ms: int


@dataclass(frozen=True, slots=True)
class WritesDue:
    """Timer: write the rows whose commit was delayed."""


@dataclass(frozen=True, slots=True)
class StartsDue:
    """Timer: continue a plan that left out starts for their number."""


@dataclass(frozen=True, slots=True)
class StopRequested:
    """The entry releases the pool: give no more orders, and write unwritten changes.

    Parameters
    ----------
    reply : Future of bool
        Whether the row of the duty names all targets that may have runs.
    """

    reply: asyncio.Future[bool]


@dataclass(frozen=True, slots=True)
class ResumeRequested:
    """The entry keeps the pool after all: give orders again."""


@dataclass(frozen=True, slots=True)
class BackgroundFailed:
    """A task that the owner relies on has ended with an unexpected error."""

    error: BaseException


OwnerMessage = (
    SessionEvent
    | TargetsListed
    | JobRowsRead
    | JobRowsScanned
    | JobsLoaded
    | CommitFinished
    | DeletionFinished
    | CordonRequest
    | TargetRecordFinished
    | PredecessorsInactive
    | PredecessorAnswered
    | TickDue
    | WritesDue
    | StartsDue
    | StopRequested
    | ResumeRequested
    | BackgroundFailed
    | QuotaGrant
    | ApprovalSettled
)
