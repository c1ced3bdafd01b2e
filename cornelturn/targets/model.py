"""Targets as the scheduler sees them, and the orders it gives them."""

from __future__ import annotations

from dataclasses import dataclass

from result import Result

from cornelturn.jobs.model import Resources, Run, RunEnd
from cornelturn.model.decoding import Int64


@dataclass(frozen=True, slots=True, order=True)
class TargetLife:
    """One life of a target: after a restart it knows nothing of before.

    Parameters
    ----------
    name : str
        Name of the target.
    born_ms : int
        Unix time of its start, 0 if it has not told.
    """

    name: str
    born_ms: Int64


@dataclass(frozen=True, slots=True)
class ListedTarget:
    """A target as the list in the store shows it, with a lag.

    Parameters
    ----------
    pool : str
        Pool that it belongs to.
    address : str
        IP number and port.
    data_centre, rack : str
        Failure domains.
    labels : frozenset of str
        What steps may require, the rack among them.
    capacity : Resources
        What it has in all.
    is_draining : bool
        Whether it is about to leave.
    """

    life: TargetLife
    pool: str
    address: str
    data_centre: str
    rack: str
    labels: frozenset[str]
    capacity: Resources
    is_draining: bool


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Start a run.

    Parameters
    ----------
    spec : str
        Text of the job.
    checkpoint : str
        Where to resume, empty for the beginning.
    ticket : str
        Approval of the target for the step, empty if none is needed.
    """

    run: Run
    spec: str
    checkpoint: str = ""
    ticket: str = ""


@dataclass(frozen=True, slots=True)
class StopOrder:
    """Stop a run, or bar it if it has not arrived."""

    run: Run


@dataclass(frozen=True, slots=True)
class PaceOrder:
    """Let a run work at a share of its speed, in percent."""

    run: Run
    percent: int


Order = StartOrder | StopOrder | PaceOrder


@dataclass(frozen=True, slots=True)
class Lease:
    """Credentials of an order.

    Parameters
    ----------
    token : int
        Fencing token of the owner.
    deadline_ms : int or None
        End of the lease on the target's clock, None to leave it as it is.
    """

    token: int
    deadline_ms: int | None = None


@dataclass(frozen=True, slots=True)
class Executed:
    """The target has carried the order out."""


@dataclass(frozen=True, slots=True)
class Declined:
    """The target has done nothing.

    Parameters
    ----------
    reason : str
        fence, old, late, room, ticket, or the status of the answer.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class Unanswered:
    """No answer came; the order may still be carried out.

    Parameters
    ----------
    was_sent : bool
        Whether the order may have reached the target.
    """

    detail: str
    was_sent: bool = True


@dataclass(frozen=True, slots=True)
class OtherLife:
    """The address belongs to another target or another life of it."""


OrderResult = Executed | Declined | Unanswered | OtherLife


@dataclass(frozen=True, slots=True)
class ActiveRun:
    """A run that a target lists as active.

    Parameters
    ----------
    percent : int
        Progress, or for lasting tasks the share at work.
    load : int
        Tail latency in milliseconds of a serving task, else thousandths of a
        core in use.
    """

    run: Run
    checkpoint: str
    percent: int
    load: int = 0


@dataclass(frozen=True, slots=True)
class TargetReport:
    """What a target runs and what has ended there.

    Parameters
    ----------
    clock_ms : int
        Its steady clock when it answered.
    """

    life: TargetLife
    clock_ms: int
    active: tuple[ActiveRun, ...]
    ended: tuple[RunEnd, ...]


ReportResult = Result[TargetReport, Declined | Unanswered | OtherLife]
