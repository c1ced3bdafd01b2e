"""The report of a pool's waiting work, by which entries accept or refuse jobs."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from cornelturn.admission.backlog import (
    MAX_BACKLOG_ROWS,
    THOUSANDTHS,
    BacklogRow,
    PoolBacklog,
    RateTokens,
    need_class,
    size_class,
)
from cornelturn.admission.growth import PoolGrowth
from cornelturn.fairness.groups import WorkClass
from cornelturn.scheduling.pool import PoolScheduler
from cornelturn.scheduling.views import JobView, Outlook

BacklogPlace = tuple[int, int, int, str, int, int]
"""All fields of a `BacklogRow` but the work."""


@dataclass(slots=True)
class BacklogReporter:
    """Sums up what waits in a pool, in the terms of the start order.

    Parameters
    ----------
    growth : PoolGrowth
        Capacity that the pool had lately.
    """

    scheduler: PoolScheduler
    growth: PoolGrowth = field(default_factory=PoolGrowth)

    def report(self, now_ms: int) -> PoolBacklog | None:
        """Return the report, None without organisations in the configuration."""
        scheduler = self.scheduler
        if not scheduler.fairness.organisations:
            return None
        scheduler.ended_work.forget_queues(set(scheduler.queues.routing.queues_by_name))
        views = [view for view in scheduler.targets.values() if view.is_schedulable()]
        capacity = sum(view.listed.capacity.cpu for view in views)
        idle = sum(max(0, view.free().cpu) for view in views)
        work = self._waiting_work(now_ms)
        rows = [BacklogRow(*place, work[place]) for place in sorted(work)]
        least_need = min((row.need for row in rows), default=None)
        rate = scheduler.ended_work.update_rate(least_need, capacity, now_ms)
        return PoolBacklog(
            tuple(rows[:MAX_BACKLOG_ROWS]),
            rate,
            scheduler.ended_work.need_rates(now_ms),
            self.growth.update(capacity, now_ms),
            capacity,
            idle,
            scheduler.ended_work.factors(),
            self._tokens(now_ms),
        )

    def _waiting_work(self, now_ms: int) -> Counter[BacklogPlace]:
        work: Counter[BacklogPlace] = Counter()
        is_fair = self.scheduler.waiting_steps.fair is not None
        for job in self.scheduler.jobs.values():
            if not self._is_served(job):
                continue
            factor = self.scheduler.ended_work.factor(job.spec.queue)
            is_beyond = is_fair and job.is_beyond_rate
            work_class = WorkClass.BEYOND_RATE if is_beyond else WorkClass.WITHIN_RATE
            is_promoted = job.spec.id in self.scheduler.waiting_steps.promoted
            outlook = Outlook.ON_TIME if is_promoted else job.forecast(now_ms).outlook
            size = size_class(job.remaining_work())
            place = job.priority(), int(work_class), int(outlook)
            for need, waiting in self._work_to_start(job).items():
                if waiting > 0:
                    row = (*place, job.spec.organisation, size, need)
                    work[row] += round(waiting * factor)
        return work

    def _is_served(self, job: JobView) -> bool:
        """Return whether a job takes its turn before others that come later."""
        spec = job.spec
        return (
            spec.recurrence is None
            and not job.is_blocked
            and spec.id not in self.scheduler.constrained_jobs
            and spec.organisation not in self.scheduler.waiting_steps.refused.used_up
            and not job.needs_approval()
            and not job.is_final()
        )

    def _work_to_start(self, job: JobView) -> Counter[int]:
        """Return the declared work of the tasks that are to start, now or later.

        By the class of their needs.
        """
        to_start = [
            step.count - len(job.progress.done.get((0, number), ()))
            for number, step in enumerate(job.spec.steps)
        ]
        for run, _ in self.scheduler.placed_runs.get(job.spec.id, ()):
            to_start[run.task.step] -= 1
        work: Counter[int] = Counter()
        for number, step in enumerate(job.spec.steps):
            run_ms = max(1, job.step_run_ms[number])
            work[need_class(step.need.cpu)] += to_start[number] * step.need.cpu * run_ms
        return work

    def _tokens(self, now_ms: int) -> tuple[RateTokens, ...]:
        """Return the organisations that are close to their rate, or beyond it."""
        fairness = self.scheduler.fairness
        if self.scheduler.waiting_steps.fair is None:
            return ()
        tokens = fairness.rates.tokens_left(fairness.shares.weights, now_ms)
        return tuple(
            RateTokens(organisation, round(left * THOUSANDTHS))
            for organisation, left in tokens.items()
            if left < LISTED_TOKENS
        )


LISTED_TOKENS = 4.0
"""Tokens from which on an organisation is not listed; more than a caller usually uses
between two reports."""
