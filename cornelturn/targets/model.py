"""Data classes of targets, orders and reports, shared by scheduler and sessions."""

from __future__ import annotations

from dataclasses import dataclass

from result import Result

from cornelturn.jobs.model import Resources, Run, RunEnd
from cornelturn.model.decoding import Int64
from cornelturn.targets.address import TargetAddress


@dataclass(frozen=True, slots=True, order=True)
class TargetLife:
    """One life of a target, from a start to the next; a restart loses all state.

    Parameters
    ----------
    name : str
        Name of the target.
    born_ms : int
        Unix time of its start in milliseconds, 0 if it has not reported one.
    """

    name: str
    born_ms: Int64


@dataclass(frozen=True, slots=True)
class ListedTarget:
    """A target as the list in the store shows it; the list lags behind.

    Parameters
    ----------
    pool : str
        Pool that the target belongs to.
    address : TargetAddress or None
        Where it takes orders; None if an earlier owner recorded none that can be used.
    data_centre, rack : str
        Failure domains.
    labels : frozenset of str
        Labels that steps may require, including the rack.
    capacity : Resources
        Total resources of the target.
    is_draining : bool
        Whether the target is about to leave the pool.
    """

    life: TargetLife
    pool: str
    address: TargetAddress | None
    data_centre: str
    rack: str
    labels: frozenset[str]
    capacity: Resources
    is_draining: bool

    def address_text(self) -> str:
        """Return its address as text, empty if it has none."""
        return str(self.address) if self.address is not None else ""


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Order to start a run.

    Parameters
    ----------
    spec : str
        Specification text of the job.
    checkpoint : str
        Checkpoint to resume from, empty to start from the beginning.
    ticket : str
        Approval of the target for the step, empty if none is needed.
    """

    run: Run
    spec: str
    checkpoint: str = ""
    ticket: str = ""


@dataclass(frozen=True, slots=True)
class StopOrder:
    """Order to stop a run, or to reject its start if that arrives later."""

    run: Run


FULL_PACE = 100
"""Pace of a run that nothing slows down, in percent."""


@dataclass(frozen=True, slots=True)
class PaceOrder:
    """Order to throttle a run to a share of its speed, in percent."""

    run: Run
    percent: int


Order = StartOrder | StopOrder | PaceOrder


@dataclass(frozen=True, slots=True)
class Lease:
    """Fencing token and lease that an order or a report request carries.

    Parameters
    ----------
    token : int
        Fencing token of the owner.
    deadline_ms : int or None
        End of the lease on the target's clock, None to leave it unchanged.
    """

    token: int
    deadline_ms: int | None = None


@dataclass(frozen=True, slots=True)
class Executed:
    """The target has executed the order."""


@dataclass(frozen=True, slots=True)
class Declined:
    """The target has refused the order and done nothing.

    Parameters
    ----------
    reason : str
        ``fence``, ``old``, ``late``, ``room`` or ``ticket``, else the status code
        of the answer.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class Unanswered:
    """No answer arrived; the order may still be executed.

    Parameters
    ----------
    was_sent : bool
        Whether the order may have reached the target.
    """

    detail: str
    was_sent: bool = True


@dataclass(frozen=True, slots=True)
class OtherLife:
    """The address now belongs to another target, or to another life of this one.

    Parameters
    ----------
    successor : TargetLife or None
        Life of the same target that answers, None if another target does.
    """

    successor: TargetLife | None = None


OrderResult = Executed | Declined | Unanswered | OtherLife


@dataclass(frozen=True, slots=True)
class ActiveRun:
    """A run that a target lists as active.

    Parameters
    ----------
    percent : int
        Progress in percent, or for a lasting task the share of its work that it
        performs.
    load : int
        Tail latency in milliseconds for a task that serves users, else
        processor use in thousandths of a core.
    """

    run: Run
    checkpoint: str
    percent: int
    load: int = 0


@dataclass(frozen=True, slots=True)
class TargetReport:
    """The active runs of a target and those that have ended there.

    Parameters
    ----------
    clock_ms : int
        Monotonic clock of the target when it answered.
    is_complete : bool
        Whether it lists all ends that have not been acknowledged; if not, a run that is
        missing may have ended.
    is_life_stated : bool
        Whether the target itself has stated its life; if not, it is the expected one.
    """

    life: TargetLife
    clock_ms: int
    active: tuple[ActiveRun, ...]
    ended: tuple[RunEnd, ...]
    is_complete: bool = True
    is_life_stated: bool = True


ReportResult = Result[TargetReport, Declined | Unanswered | OtherLife]
