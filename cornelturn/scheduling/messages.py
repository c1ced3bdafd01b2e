"""Messages of the owner of a pool."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from cornelturn.ownership.messages import HolderGone, HolderStopped, RowWrite
from cornelturn.scheduling.pool import JobWrite
from cornelturn.scheduling.takeover import JobScan
from cornelturn.store.rows import Row
from cornelturn.targets.model import ListedTarget, TargetLife
from cornelturn.targets.session import SessionEvent


@dataclass(frozen=True, slots=True)
class TargetsListed:
    """All targets of the fleet, as the list shows them."""

    targets: tuple[ListedTarget, ...]


@dataclass(frozen=True, slots=True)
class JobRowsRead:
    """Rows of jobs, of any pool."""

    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class JobsLoaded:
    """All rows of jobs have been read."""

    rows: tuple[Row, ...]
    scan: JobScan


@dataclass(frozen=True, slots=True)
class CommitFinished:
    """The commit in flight of a part was answered, or was given up."""

    part: str
    writes: tuple[JobWrite, ...]
    version: int | None
    rows: tuple[Row, ...] = ()


@dataclass(frozen=True, slots=True)
class CordonRequest:
    """Targets that are to be emptied, with the number of the request."""

    targets: frozenset[str] = frozenset()
    number: int = 0


@dataclass(frozen=True, slots=True)
class TargetRecordFinished:
    """The row of the duty was to name these targets."""

    targets: frozenset[TargetLife]
    is_settled: bool
    outcome: RowWrite


@dataclass(frozen=True, slots=True)
class TickDue:
    """Time for the work that no event asks for.

    Parameters
    ----------
    posted_ms : int
        When it was posted; shows how long messages wait.
    """

    posted_ms: int


@dataclass(frozen=True, slots=True)
class WritesDue:
    """Time to write the rows that were held back."""


@dataclass(frozen=True, slots=True)
class StopRequested:
    """The entry gives the pool back: give no more orders, write what is known.

    Parameters
    ----------
    reply : Future of bool
        Whether the row of the duty names the targets that may run something.
    """

    reply: asyncio.Future[bool]


@dataclass(frozen=True, slots=True)
class ResumeRequested:
    """The entry keeps the pool after all."""


OwnerMessage = (
    SessionEvent
    | TargetsListed
    | JobRowsRead
    | JobsLoaded
    | CommitFinished
    | CordonRequest
    | TargetRecordFinished
    | HolderGone
    | HolderStopped
    | TickDue
    | WritesDue
    | StopRequested
    | ResumeRequested
)
