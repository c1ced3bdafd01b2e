"""What an entry knows of the waiting work of a pool, by reports and its own accepts."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from cornelturn.admission.backlog import THOUSANDTHS, BacklogRow, PoolBacklog
from cornelturn.admission.returns import ReturnTimes
from cornelturn.clock import MILLISECONDS_PER_SECOND
from cornelturn.fairness.rates import burst
from cornelturn.fairness.shares import Weights
from cornelturn.jobs.model import JobSpec

MAX_REPORT_AGE_MS = 2_000
"""Age of a report from which on all jobs of the pool are accepted; four reports are
missing then, and its owner may be lost."""

REPORT_DELAY_MS = 100
"""Accepts of this time before a report may be missing in it: the owner hears of them
after the store has written them."""


@dataclass(frozen=True, slots=True)
class OwnAccept:
    """A job that this entry accepted, as the next report will have it.

    Parameters
    ----------
    accepted_ms : int
        When this entry accepted it.
    takes_token : bool
        Whether it is expected to be within the rate of its organisation.
    first_cpu : int
        Processors of the steps that may start at once.
    """

    row: BacklogRow
    accepted_ms: int
    takes_token: bool
    first_cpu: int


@dataclass(slots=True)
class PoolKnowledge:
    """The newest report of a pool's owner, and what this entry accepted since.

    Parameters
    ----------
    received_ms : int
        When this entry received the report.
    accepts : deque of OwnAccept
        Accepted jobs that the report may lack.
    """

    generation: int
    backlog: PoolBacklog
    received_ms: int
    accepts: deque[OwnAccept] = field(default_factory=deque)
    returns: ReturnTimes = field(default_factory=ReturnTimes)

    def update(self, generation: int, backlog: PoolBacklog, now_ms: int) -> None:
        """Take up a newer report, and forget the accepts that it must have."""
        self.generation, self.backlog, self.received_ms = generation, backlog, now_ms
        while self.accepts and self.accepts[0].accepted_ms < now_ms - REPORT_DELAY_MS:
            self.accepts.popleft()

    def age_ms(self, now_ms: int) -> int:
        """Return the age of the report."""
        return now_ms - self.received_ms

    def is_recent(self, now_ms: int) -> bool:
        """Return whether the report may decide."""
        return self.age_ms(now_ms) <= MAX_REPORT_AGE_MS

    def rows(self) -> Iterable[BacklogRow]:
        """Return all known waiting work."""
        yield from self.backlog.rows
        for accept in self.accepts:
            yield accept.row

    def has_idle_targets(self, spec: JobSpec) -> bool:
        """Return whether nothing waits and a job fits on idle processors."""
        if self.backlog.rows:
            return False
        accepted = sum(accept.first_cpu for accept in self.accepts)
        return accepted + first_cpu_of(spec) <= self.backlog.idle

    def factor(self, queue: str) -> float:
        """Return the learnt factor of a queue, 1 while none is known."""
        for item in self.backlog.factors:
            if item.queue == queue:
                return item.thousandths / THOUSANDTHS
        return 1.0

    def rate(self, need: int) -> int:
        """Return the rate at which work of up to a class of needs is served."""
        for item in self.backlog.need_rates:
            if item.need >= need:
                return item.rate
        return self.backlog.rate

    def tokens(self, organisation: str, weights: Weights, now_ms: int) -> float:
        """Return how many jobs an organisation may submit now within its rate.

        One that is not listed has about a burst.
        """
        rate = weights.of(organisation)
        reported = burst(rate)
        for item in self.backlog.tokens:
            if item.organisation == organisation:
                added = rate * self.age_ms(now_ms) / MILLISECONDS_PER_SECOND
                reported = item.thousandths / THOUSANDTHS + added
        taken = sum(
            accept.takes_token
            and accept.row.organisation == organisation
            and accept.accepted_ms >= self.received_ms
            for accept in self.accepts
        )
        return reported - taken


def first_cpu_of(spec: JobSpec) -> int:
    """Return the processors of the steps that depend on no other one."""
    return sum(step.count * step.need.cpu for step in spec.steps if not step.after)
