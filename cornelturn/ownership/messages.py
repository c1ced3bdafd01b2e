"""Messages of the keeper of duties, and what it tells of them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import Enum, auto

from cornelturn.ownership.duties import HeldTarget
from cornelturn.peering.messages import OpenRuns


@dataclass(frozen=True, slots=True)
class ReconcileDue:
    """Time to look at all rows.

    Parameters
    ----------
    is_renewal : bool
        Whether the lease is to be renewed before.
    """

    is_renewal: bool = True


class RowWrite(Enum):
    """What became of the write of a row."""

    WRITTEN = auto()
    NOT_WRITTEN = auto()
    IN_DOUBT = auto()


@dataclass(frozen=True, slots=True)
class RecordTargets:
    """The targets that a duty's holder may give leases, to be kept in its row.

    Parameters
    ----------
    is_settled : bool
        Whether no holder before can act any more.
    reply : Future
        What became of the write of the row.
    """

    duty: str
    targets: tuple[HeldTarget, ...]
    is_settled: bool
    reply: asyncio.Future[RowWrite]


@dataclass(frozen=True, slots=True)
class ReleaseAllDuties:
    """This entry stops and gives its duties back."""

    reply: asyncio.Future[None]


@dataclass(frozen=True, slots=True)
class ReleaseDuty:
    """This entry has stopped work on a duty that another one is to take.

    Parameters
    ----------
    reply : Future
        Whether the row no longer names this entry.
    """

    duty: str
    reply: asyncio.Future[bool]


@dataclass(frozen=True, slots=True)
class PoolSizesReported:
    """The owner of the machines knows the sizes that the pools had before any move.

    Parameters
    ----------
    machines : dict
        Machines of each pool whose machines are not off.
    """

    machines: dict[str, int]


@dataclass(frozen=True, slots=True)
class ProbeDuty:
    """The row of a duty is to be written as it stands, to see if the store takes it.

    Parameters
    ----------
    reply : Future
        What became of the write of the row.
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
    """This entry has a duty.

    Parameters
    ----------
    version : int
        Version of the store at which it was taken.
    targets : tuple of HeldTarget
        Targets to which holders before may have given leases.
    has_no_active_predecessor : bool
        Whether no holder before can give an order any more.
    """

    duty: str
    generation: int
    version: int
    targets: tuple[HeldTarget, ...]
    has_no_active_predecessor: bool


@dataclass(frozen=True, slots=True)
class DutyLost:
    """Another entry has taken a duty."""

    duty: str


@dataclass(frozen=True, slots=True)
class HandOverDue:
    """Another entry carries a duty better; it is to be stopped and released."""

    duty: str


@dataclass(frozen=True, slots=True)
class PredecessorsInactive:
    """All holders before, of which some were thought to be alive, act no more.

    Parameters
    ----------
    version : int
        Version of the store; they cannot have acted on rows after that.
    since_ms : int
        Time after which they have given no order.
    """

    duty: str
    version: int
    since_ms: int


@dataclass(frozen=True, slots=True)
class PredecessorQueryDue:
    """The holder before, thought to be alive, is to say what it may still run."""

    duty: str
    holder: str
    generation: int


@dataclass(frozen=True, slots=True)
class PredecessorAnswered:
    """The holder before acts no more, and has told what goes on without it."""

    duty: str
    runs: tuple[OpenRuns, ...]


@dataclass(frozen=True, slots=True)
class OutageQueryDue:
    """This entry cannot read its rows; the others are to say whether they can.

    Parameters
    ----------
    asked_ms : int
        Time of this entry.
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
