"""Guaranteed shares of the queues of a pool, and which idle slots may be lent."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from cornelturn.model.work import Queue
from cornelturn.routing.member_queue import MemberQueue
from cornelturn.routing.run_times import Quantiles, RunTimes

PEAK_HALF_LIFE_MS = 3_600_000
RETURN_SLACK_FRACTION = 0.5


@dataclass(slots=True)
class PeakDemand:
    """Exponentially decaying peak of the slots that a queue requested.

    Parameters
    ----------
    peak : float or None
        Slots at `peak_at_ms`; None until demand has been observed. Until then the
        whole guarantee is assumed to be needed.
    """

    peak: float | None = None
    peak_at_ms: int = 0

    def observe(self, slots: int, guarantee: int, now_ms: int) -> None:
        """Record the slots requested now; the first peak is at least the guarantee."""
        previous = guarantee if self.peak is None else self.decayed_peak(now_ms)
        self.peak = max(previous, slots)
        self.peak_at_ms = now_ms

    def decayed_peak(self, now_ms: int) -> float:
        """Return the decayed peak in slots."""
        if self.peak is None:
            return 0.0
        return self.peak * 0.5 ** ((now_ms - self.peak_at_ms) / PEAK_HALF_LIFE_MS)

    def needed_slots(self, guarantee: int, now_ms: int) -> int:
        """Return how many slots of the guarantee the queue may need soon."""
        if self.peak is None:
            return guarantee
        return min(guarantee, max(1, math.ceil(self.decayed_peak(now_ms))))


@dataclass(slots=True)
class QueueState:
    """State of one queue at the dispatcher of its pool.

    Parameters
    ----------
    is_removed : bool
        Whether the configuration no longer contains the queue: it takes no ticket, and
        is kept for those that it has taken.
    """

    queue: Queue
    waiting: MemberQueue = field(default_factory=MemberQueue)
    used_slots: int = 0
    waiting_slots: int = 0
    demand: PeakDemand = field(default_factory=PeakDemand)
    run_times: RunTimes = field(init=False)
    member_run_times: dict[str, RunTimes] = field(default_factory=dict)
    next_trial_at_ms: int = 0
    lender_retry_at_ms: dict[str, int] = field(default_factory=dict)
    pending_loan_count: int = 0
    is_removed: bool = False

    def __post_init__(self) -> None:
        self.run_times = RunTimes(self.queue.run_ms)

    def guarantee(self, total_slots: int) -> int:
        """Return the guaranteed slots of the queue."""
        return max(1, math.floor(self.queue.share * total_slots))

    def is_within_guarantee(self, width: int, total_slots: int) -> bool:
        """Return whether `width` more slots stay within the guarantee."""
        return self.used_slots + width <= self.guarantee(total_slots)

    def quantiles(self, member: str) -> Quantiles:
        """Return the run time quantiles of a member, or else those of the queue."""
        member_times = self.member_run_times.get(member)
        if member_times is not None and member_times.learned is not None:
            return member_times.learned
        return self.run_times.quantiles()

    def has_run_times(self) -> bool:
        """Return whether enough run times have been observed to replace the prior."""
        return self.run_times.learned is not None

    def record_run(self, member: str, run_ms: int) -> None:
        """Record the run time of a completed request."""
        self.run_times.record(run_ms)
        member_times = self.member_run_times.get(member)
        if member_times is None:
            member_times = RunTimes(self.queue.run_ms)
            self.member_run_times[member] = member_times
        member_times.record(run_ms)

    def next_lender(self, now_ms: int) -> str | None:
        """Return the first overflow pool that has not declined recently."""
        for pool in self.queue.overflow:
            if self.lender_retry_at_ms.get(pool, 0) <= now_ms:
                return pool
        return None

    def slack_ms(self) -> float:
        """Return how long a request can wait before its start and still be on time."""
        return self.queue.deadline_ms - self.run_times.quantiles().p90_ms


def required_free_slots(
    owners: list[QueueState], borrower_run_ms: float, total_slots: int, now_ms: int
) -> int:
    """Return how many slots must stay free when a borrower gets one.

    A slot may be lent if the borrower is expected to release it within the time that
    the owner can wait. Otherwise the slots that the owner may need soon stay free,
    since running work is never preempted.

    Parameters
    ----------
    owners : list of QueueState
        Queues whose guaranteed slots the borrower would use.
    borrower_run_ms : float
        90th percentile of the borrower's run time.
    total_slots : int
        Slots of the pool.
    now_ms : int
        Current time.
    """
    required_slots = 0
    for owner in owners:
        if borrower_run_ms <= owner.slack_ms() * RETURN_SLACK_FRACTION:
            continue
        guarantee = owner.guarantee(total_slots)
        required_slots += max(
            0, owner.demand.needed_slots(guarantee, now_ms) - owner.used_slots
        )
    return required_slots
