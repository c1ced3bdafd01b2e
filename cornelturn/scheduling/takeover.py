"""Decisions during the takeover of a pool: which jobs predecessors may still run.

A target that reports lists all its runs, and refuses predecessors from then on. On
other targets a run may continue undetected until its lease has lapsed.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from cornelturn.ownership.duties import HISTORY_LAG_MS
from cornelturn.peering.messages import OpenRuns
from cornelturn.targets.model import TargetLife
from cornelturn.targets.session import LAPSE_MARGIN_MS, LEASE_MS, MIN_CLOCK_RATE

FIRST_REPORTS_TIMEOUT_MS = 250
"""Time that targets have for their first reports before the first scan starts;
reachable ones need less."""


@dataclass(frozen=True, slots=True)
class JobScan:
    """A scan of the rows of all jobs that is due.

    Parameters
    ----------
    is_first : bool
        Whether no scan has started before.
    is_settled : bool
        Whether no run can be undetected when it starts.
    is_after_handover : bool
        Whether the predecessor has listed all its open runs when it starts.
    """

    is_first: bool
    is_settled: bool
    is_after_handover: bool = False


@dataclass(slots=True)
class Takeover:
    """State of the takeover of a pool.

    Parameters
    ----------
    revision : int
        Revision of the store at which the pool was taken, or at which no
        predecessor was active any more.
    barrier_ms : int
        Time since the start after which no lease of a predecessor can be valid.
    has_no_active_predecessor : bool
        Whether no predecessor can give an order any more.
    unreported : set of TargetLife
        Targets that may have runs and have not listed all runs and ends.
    partly_listed : set of TargetLife
        Those among them that have reported, but left ends out. Ends outlast leases, so
        the barrier does not cover them.
    open_jobs : dict or None
        Jobs with open runs on each target, by its name, as listed by the predecessor;
        None until it has listed them.
    is_handover_read : bool
        Whether all jobs have been read since then.
    is_over : bool
        Whether all jobs have been read since no run could be undetected.
    inherited_leases : dict
        When the leases have lapsed that orders for an earlier life may have given a
        restarted target; the barrier does not cover them.
    replaced : set of TargetLife
        Ended lives that the last call of `replace_lives` named.
    outdated_scans : list of JobScan
        Scans during which a target restarted, so that they settle nothing.
    settled_parts, handover_parts : set of str
        Parts of the jobs that have been read since then, or since the predecessor has
        listed its open runs.
    """

    revision: int
    barrier_ms: int
    has_no_active_predecessor: bool
    unreported: set[TargetLife] = field(default_factory=set)
    partly_listed: set[TargetLife] = field(default_factory=set)
    started_ms: int = 0
    scans: list[JobScan] = field(default_factory=list)
    open_jobs: dict[str, frozenset[str]] | None = None
    is_handover_read: bool = False
    is_over: bool = False
    settled_parts: set[str] = field(default_factory=set)
    handover_parts: set[str] = field(default_factory=set)
    inherited_leases: dict[TargetLife, int] = field(default_factory=dict)
    replaced: set[TargetLife] = field(default_factory=set)
    outdated_scans: list[JobScan] = field(default_factory=list)

    def next_scan(self, present: Collection[TargetLife], now_ms: int) -> JobScan | None:
        """Return the scan of the jobs that is due now, if any.

        The first scan starts after `FIRST_REPORTS_TIMEOUT_MS`, the last when no run can
        be undetected; if all targets report in time, one scan is both. Another one in
        between starts when the predecessor has listed its open runs.

        Parameters
        ----------
        present : collection of TargetLife
            Targets whose lives have not ended.
        """
        self.unreported.intersection_update(present)
        self.partly_listed.intersection_update(self.unreported)
        if any(map(self._settles, self.scans)):
            return None
        waited_ms = now_ms - self.started_ms
        is_settled = not any(
            self._may_hold_lease(life, now_ms) for life in self.unreported
        )
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

    def may_hide_runs(self, life: TargetLife, now_ms: int) -> bool:
        """Return whether a target may have runs or ends that it has not listed.

        Until its leases have lapsed this holds for each target that has not reported,
        whether or not this owner knows of any run there.
        """
        if life not in self.unreported:
            return False
        return life in self.partly_listed or self._may_hold_lease(life, now_ms)

    def is_settled(self) -> bool:
        """Return whether no run and no end of a predecessor can be undetected."""
        return self.is_over and not self.partly_listed

    def note_report(self, life: TargetLife, is_complete: bool) -> bool:
        """Record a report; return whether the target no longer hides a run or an end.

        Parameters
        ----------
        is_complete : bool
            Whether the report lists all ends.
        """
        if life not in self.unreported:
            return False
        if not is_complete:
            self.partly_listed.add(life)
            return False
        self.unreported.discard(life)
        self.partly_listed.discard(life)
        return True

    def predecessors_inactive(self, revision: int, since_ms: int) -> None:
        """Record that all predecessors have given their last order.

        Parameters
        ----------
        revision : int
            Revision of the store after which they cannot have acted on any row.
        since_ms : int
            Time after which they have given no order.
        """
        self.has_no_active_predecessor = True
        self.revision = revision
        self._limit_barrier(since_ms)

    def predecessor_answered(self, runs: Iterable[OpenRuns], now_ms: int) -> None:
        """Record that the predecessor has stopped, and which runs it left open."""
        open_jobs: dict[str, set[str]] = {}
        for open_runs in runs:
            open_jobs.setdefault(open_runs.life.name, set()).update(open_runs.jobs)
        self.open_jobs = {name: frozenset(jobs) for name, jobs in open_jobs.items()}
        self._limit_barrier(now_ms)

    def replace_lives(self, successors: Mapping[TargetLife, TargetLife]) -> None:
        """Wait for the reports of restarted targets instead of their ended lives.

        Until the takeover is over this includes targets whose ended lives have
        reported: the later life may have executed orders of a predecessor since.

        Parameters
        ----------
        successors : mapping
            Later life of each restarted target, by the ended life.
        """
        replaced, self.replaced = self.replaced, set(successors)
        for ended, successor in successors.items():
            is_new = ended not in replaced
            if ended in self.unreported or (is_new and not self.is_over):
                self.unreported.discard(ended)
                self.unreported.add(successor)
                self.outdated_scans = list(self.scans)
                self.settled_parts.clear()

    def _settles(self, scan: JobScan) -> bool:
        """Return whether no run can be undetected once a scan has been read."""
        is_outdated = any(scan is outdated for outdated in self.outdated_scans)
        return scan.is_settled and not is_outdated

    def _may_hold_lease(self, life: TargetLife, now_ms: int) -> bool:
        """Return whether a lease of a predecessor may be valid on a target."""
        is_barrier_passed = now_ms - self.started_ms >= self.barrier_ms
        return not is_barrier_passed or self.inherited_leases.get(life, 0) > now_ms

    def _limit_barrier(self, since_ms: int) -> None:
        """Limit the wait to the end of the leases given until some time."""
        left_ms = barrier_ms(has_no_active_predecessor=True, unconfirmed_ms=0)
        waited_ms = since_ms - self.started_ms
        self.barrier_ms = min(self.barrier_ms, waited_ms + left_ms)

    def add_read_parts(self, scan: JobScan, parts: Collection[str]) -> None:
        """Record that a scan has read some parts of the jobs."""
        if self._settles(scan):
            self.settled_parts.update(parts)
        if scan.is_after_handover:
            self.handover_parts.update(parts)

    def finish_scan(self, scan: JobScan) -> None:
        """Record that the rows of a scan have been read."""
        self.is_over = self.is_over or self._settles(scan)
        self.is_handover_read = self.is_handover_read or scan.is_after_handover

    def hidden_jobs(self) -> frozenset[str]:
        """Return the jobs with open runs on targets that have not reported."""
        open_jobs = self.open_jobs or {}
        return frozenset().union(
            *(open_jobs.get(life.name, ()) for life in self.unreported)
        )

    def may_have_run(
        self, job: str, version: int, has_progress: bool, part: str = ""
    ) -> bool:
        """Return whether a predecessor may have started tasks of a job.

        Parameters
        ----------
        version : int
            Version of the job's row.
        has_progress : bool
            Whether the row shows that tasks have run.
        part : str
            Part that holds the row.
        """
        is_read = self.is_over or part in self.settled_parts
        if is_read and not self.partly_listed:
            return False
        if self.is_handover_read or part in self.handover_parts:
            return job in self.hidden_jobs()
        return (
            not self.has_no_active_predecessor
            or version <= self.revision
            or has_progress
        )


def barrier_ms(has_no_active_predecessor: bool, unconfirmed_ms: int) -> int:
    """Return the time after which no lease of a predecessor can be valid."""
    lease_ms = round(LEASE_MS / MIN_CLOCK_RATE) + LAPSE_MARGIN_MS
    return (
        lease_ms
        if has_no_active_predecessor
        else lease_ms + unconfirmed_ms + HISTORY_LAG_MS
    )
