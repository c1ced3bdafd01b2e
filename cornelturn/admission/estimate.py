"""When a job would be served, by the reported backlog of its pool.

The start order is that of `cornelturn.fairness`: priority, class, outlook, then fair
shares of the organisations, and in an organisation the least remaining work. While a
job waits, organisations with work are served in proportion to their weights, so that
for each unit of work per weight of its own organisation, every other one gets as much,
or all that it has waiting.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum, auto

from cornelturn.admission.backlog import BacklogRow, size_class
from cornelturn.fairness.groups import WorkClass
from cornelturn.fairness.shares import MIN_WEIGHT, Weights
from cornelturn.scheduling.outlooks import Outlook
from cornelturn.scheduling.views import LATE_FACTOR

MOVE_MS = 1_500
"""Time until capacity that a move adds is in use."""

MIN_REFUSED_WAIT_MS = 1_000
"""Shortest wait for which a job is refused. A job whose estimates alone say that it
is too late is accepted, as these are often wrong."""


class Prospect(Enum):
    """Best outcome that a job can expect."""

    ON_TIME = auto()
    LATE = auto()
    TOO_LATE = auto()


@dataclass(frozen=True, slots=True)
class SubmittedJob:
    """A job to decide about.

    Parameters
    ----------
    need : int
        Highest class of needs of its tasks.
    declared_work, work : int
        Work by the estimates of the caller, and by the learnt factor of its queue, in
        thousandths of a core times milliseconds.
    chain_ms : float
        Expected length of the longest chain of steps, by the learnt factor.
    objective_ms : float
        Time within which it is on time.
    elapsed_ms : int
        Time since its caller was first refused.
    """

    priority: int
    work_class: WorkClass
    organisation: str
    need: int
    declared_work: int
    work: int
    chain_ms: float
    objective_ms: float
    elapsed_ms: int = 0


@dataclass(frozen=True, slots=True)
class Service:
    """How fast a pool serves its backlog.

    Parameters
    ----------
    rate, room : float
        Work in a millisecond, now and in addition once moves are over.
    age_ms : int
        Time since the backlog was reported, in which a part of it was served.
    """

    rate: float
    room: float = 0.0
    age_ms: int = 0

    def wait_ms(self, work: float) -> float:
        """Return the time until some work is served, from now on."""
        if work <= 0:
            return 0.0
        if self.rate <= 0 and self.room <= 0:
            return float("inf")
        by_rate_ms = work / self.rate if self.rate > 0 else float("inf")
        if by_rate_ms > MOVE_MS and self.room > 0:
            rest = work - self.rate * MOVE_MS
            by_rate_ms = MOVE_MS + rest / (self.rate + self.room)
        return max(0.0, by_rate_ms - self.age_ms)


@dataclass(frozen=True, slots=True)
class Estimate:
    """What a job can expect.

    Parameters
    ----------
    wait_ms : float
        Time until its last tasks start, in the best case that still counts.
    late_by_ms : float
        Time by which it would miss its objective.
    """

    prospect: Prospect
    wait_ms: float
    late_by_ms: float = 0.0


def estimate(
    job: SubmittedJob, rows: Iterable[BacklogRow], service: Service, weights: Weights
) -> Estimate:
    """Return what a job can expect behind some waiting work."""
    rows = tuple(rows)
    least_ms = job.elapsed_ms + job.chain_ms
    wait_ms = service.wait_ms(work_before(job, rows, Outlook.ON_TIME, weights))
    late_by_ms = wait_ms + least_ms - job.objective_ms
    if late_by_ms <= 0 or wait_ms < MIN_REFUSED_WAIT_MS:
        return Estimate(Prospect.ON_TIME, wait_ms)
    # The job turns late while it waits; what can be on time then goes before it.
    late_wait_ms = service.wait_ms(work_before(job, rows, Outlook.LATE, weights))
    late_wait_ms = max(wait_ms, late_wait_ms)
    if late_wait_ms + least_ms <= LATE_FACTOR * job.objective_ms:
        return Estimate(Prospect.LATE, late_wait_ms, late_by_ms)
    return Estimate(Prospect.TOO_LATE, late_wait_ms, late_by_ms)


def work_before(
    job: SubmittedJob, rows: Iterable[BacklogRow], outlook: Outlook, weights: Weights
) -> float:
    """Return the work that is served before a job, if it has an outlook then.

    Work whose tasks need more is left out: smaller tasks start meanwhile on targets
    that have no room for it.
    """
    before = own = 0.0
    beside: defaultdict[str, float] = defaultdict(float)
    tier = (job.priority, job.work_class, outlook)
    own_size = size_class(job.declared_work)
    # Unpacked, as a decision passes through all rows while a caller waits.
    for priority, work_class, row_outlook, organisation, size, need, work in rows:
        if need > job.need:
            continue
        row_tier = (priority, work_class, row_outlook)
        if row_tier < tier:
            before += work
        elif row_tier > tier:
            continue
        elif organisation != job.organisation:
            beside[organisation] += work
        elif size < own_size:
            own += work
        elif size == own_size:
            # On average half of the jobs of the same size class are smaller.
            own += work / 2
    weight = max(weights.of(job.organisation), MIN_WEIGHT)
    share = (own + job.work) / weight
    for organisation, work in beside.items():
        others = max(weights.of(organisation), MIN_WEIGHT) * share
        before += min(work, others)
    return before + own
