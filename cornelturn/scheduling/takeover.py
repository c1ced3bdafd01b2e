"""Decisions while a pool changes hands: what an earlier holder may still run.

Targets that report show all their runs, and refuse the earlier holder from then on.
On the others a run may go on, unseen, until its lease has lapsed.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from cornelturn.ownership.duties import HISTORY_LAG_MS
from cornelturn.peering.messages import OpenRuns
from cornelturn.targets.model import TargetLife
from cornelturn.targets.session import LAPSE_MARGIN_MS, LEASE_MS, MIN_CLOCK_RATE

FIRST_REPORTS_TIMEOUT_MS = 250
"""Time for the reports of all targets that answer at all."""


@dataclass(frozen=True, slots=True)
class JobScan:
    """A reading of all jobs that is due.

    Parameters
    ----------
    is_first : bool
        Whether no reading has begun before.
    is_settled : bool
        Whether no run can go on unseen when it begins.
    is_told : bool
        Whether the holder before has told all that it may still run.
    """

    is_first: bool
    is_settled: bool
    is_after_handover: bool = False


@dataclass(slots=True)
class Takeover:
    """One change of hands.

    Parameters
    ----------
    version : int
        Version of the store at which the pool was taken, or all holders before
        were gone.
    barrier_ms : int
        Time after which no lease of an earlier holder can stand.
    is_surely_gone : bool
        Whether no earlier holder can give an order any more.
    unsettled : set of TargetLife
        Targets that may hold runs and have not reported.
    told : dict or None
        Jobs that may go on at each target, as told by the holder before; None if it
        has not told.
    is_told_read : bool
        Whether the jobs have been read since.
    """

    version: int
    barrier_ms: int
    is_surely_gone: bool
    unreported: set[TargetLife] = field(default_factory=set)
    started_ms: int = 0
    scans: list[JobScan] = field(default_factory=list)
    open_jobs: dict[TargetLife, frozenset[str]] | None = None
    is_handover_read: bool = False
    is_over: bool = False

    def next_scan(self, present: Collection[TargetLife], now_ms: int) -> JobScan | None:
        """Return the reading of the jobs that is due now, if any.

        The first begins when all targets that answer have reported, the last when
        no run can go on unseen; they are one where all have reported. One between
        them follows what the holder before tells.

        Parameters
        ----------
        present : collection of TargetLife
            Targets that have not ended.
        """
        if any(scan.is_settled for scan in self.scans):
            return None
        self.unreported.intersection_update(present)
        waited_ms = now_ms - self.started_ms
        is_settled = not self.unreported or waited_ms >= self.barrier_ms
        is_after_handover = self.open_jobs is not None
        if self.scans:
            is_due = is_after_handover and not self.scans[-1].is_after_handover
        else:
            is_due = waited_ms >= FIRST_REPORTS_TIMEOUT_MS
        if not is_settled and not is_due:
            return None
        scan = JobScan(not self.scans, is_settled, is_after_handover)
        self.scans.append(scan)
        return scan

    def holder_gone(self, version: int, since_ms: int) -> None:
        """Note that all holders before have given their last order.

        Parameters
        ----------
        version : int
            Version of the store after which they can have acted on no row.
        since_ms : int
            Time after which they have given no order.
        """
        self.is_surely_gone = True
        self.version = version
        self._limit_barrier(since_ms)

    def holder_stopped(self, runs: Iterable[OpenRuns], now_ms: int) -> None:
        """Note that the holder before acts no more, and what goes on without it."""
        self.open_jobs = {
            open_runs.life: frozenset(open_runs.jobs) for open_runs in runs
        }
        self._limit_barrier(now_ms)

    def _limit_barrier(self, since_ms: int) -> None:
        """Wait no longer than the leases given until some time."""
        left_ms = barrier_ms(is_surely_gone=True, unconfirmed_ms=0)
        waited_ms = since_ms - self.started_ms
        self.barrier_ms = min(self.barrier_ms, waited_ms + left_ms)

    def finish_scan(self, scan: JobScan) -> None:
        """Note that the rows of a reading are here."""
        self.is_over = self.is_over or scan.is_settled
        self.is_handover_read = self.is_handover_read or scan.is_after_handover

    def hidden_jobs(self) -> frozenset[str]:
        """Return the jobs that may go on where no target has reported."""
        open_jobs = self.open_jobs or {}
        return frozenset().union(*(open_jobs.get(life, ()) for life in self.unreported))

    def may_have_run(self, job: str, version: int, has_progress: bool) -> bool:
        """Return whether an earlier holder may have started tasks of a job.

        Parameters
        ----------
        version : int
            Version of the job's row.
        has_progress : bool
            Whether the row shows that tasks have run.
        """
        if self.is_over:
            return False
        if self.is_handover_read:
            return job in self.hidden_jobs()
        return not self.is_surely_gone or version <= self.version or has_progress


def barrier_ms(is_surely_gone: bool, unconfirmed_ms: int) -> int:
    """Return the time after which no lease of a holder before can stand."""
    lease_ms = round(LEASE_MS / MIN_CLOCK_RATE) + LAPSE_MARGIN_MS
    return lease_ms if is_surely_gone else lease_ms + unconfirmed_ms + HISTORY_LAG_MS
