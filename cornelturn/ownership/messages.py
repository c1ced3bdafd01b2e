"""Messages to the task that keeps the duties of an entry, and the events it emits."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import Enum, auto

from cornelturn.ownership.duties import HeldTarget
from cornelturn.peering.messages import OpenRuns


@dataclass(frozen=True, slots=True)
class ReconcileDue:
    """Time to refresh the rows and reconcile the duties of this entry with them.

    Parameters
    ----------
    is_renewal : bool
        Whether to renew the lease first.
    """

    is_renewal: bool = True


class RowWrite(Enum):
    """Outcome of the write of a row."""

    WRITTEN = auto()
    NOT_WRITTEN = auto()
    IN_DOUBT = auto()


@dataclass(frozen=True, slots=True)
class RecordTargets:
    """Record in the row of a duty the targets to which its holder may grant leases.

    Parameters
    ----------
    generation : int
        Generation of the owner that asks; nothing is written for an earlier one.
    is_settled : bool
        Whether no predecessor can act any more.
    reply : Future
        Outcome of the write of the row.
    """

    duty: str
    generation: int
    targets: tuple[HeldTarget, ...]
    is_settled: bool
    reply: asyncio.Future[RowWrite]


@dataclass(frozen=True, slots=True)
class ReleaseAllDuties:
    """Release all duties, since this entry stops."""

    reply: asyncio.Future[None]


@dataclass(frozen=True, slots=True)
class ReleaseDuty:
    """Release a duty on which this entry has stopped work, so that another takes it.

    Parameters
    ----------
    reply : Future
        Whether the row no longer names this entry as the holder.
    """

    duty: str
    reply: asyncio.Future[bool]


@dataclass(frozen=True, slots=True)
class PoolSizesReported:
    """The owner of the machines has determined the pool sizes before any move.

    Parameters
    ----------
    machines : dict
        Machines of each pool whose machines are not off.
    """

    machines: dict[str, int]


@dataclass(frozen=True, slots=True)
class ProbeDuty:
    """Write the row of a duty unchanged, to check whether the store accepts the write.

    Parameters
    ----------
    reply : Future
        Outcome of the write of the row.
    """

    duty: str
    reply: asyncio.Future[RowWrite]


KeeperMessage = (
    ReconcileDue
    | RecordTargets
    | PoolSizesReported
    | ProbeDuty
    | ReleaseDuty
    | ReleaseAllDuties
)


@dataclass(frozen=True, slots=True)
class DutyTaken:
    """This entry has taken a duty.

    Parameters
    ----------
    revision : int
        Revision of the store at which it was taken.
    targets : tuple of HeldTarget
        Targets to which predecessors may have granted leases.
    has_no_active_predecessor : bool
        Whether no predecessor can give an order any more.
    """

    duty: str
    generation: int
    revision: int
    targets: tuple[HeldTarget, ...]
    has_no_active_predecessor: bool


@dataclass(frozen=True, slots=True)
class DutyLost:
    """Another entry has taken a duty."""

    duty: str


@dataclass(frozen=True, slots=True)
class HandOverDue:
    """A duty is to be stopped and released, since another entry has a lower load."""

    duty: str


@dataclass(frozen=True, slots=True)
class PredecessorsInactive:
    """No predecessor acts any more, though some may have when the duty was taken.

    Parameters
    ----------
    revision : int
        Revision of the store; they cannot have acted on rows after it.
    since_ms : int
        Time after which they have given no order.
    """

    duty: str
    revision: int
    since_ms: int


@dataclass(frozen=True, slots=True)
class PredecessorQueryDue:
    """A predecessor that may be alive is to be asked for the runs it left behind."""

    duty: str
    holder: str
    generation: int


@dataclass(frozen=True, slots=True)
class PredecessorAnswered:
    """A predecessor has stopped acting and reported the runs it left behind."""

    duty: str
    runs: tuple[OpenRuns, ...]


@dataclass(frozen=True, slots=True)
class OutageQueryDue:
    """This entry cannot read its rows; the others are to be asked whether they can.

    Parameters
    ----------
    asked_ms : int
        Time of the query, on the clock of this entry.
    """

    asked_ms: int


DutyEvent = (
    DutyTaken
    | DutyLost
    | HandOverDue
    | PredecessorsInactive
    | PredecessorQueryDue
    | PredecessorAnswered
    | OutageQueryDue
)
