"""The report of a pool's waiting work, by which entries accept or refuse jobs."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from itertools import islice

from cornelturn.admission.backlog import (
    MAX_BACKLOG_ROWS,
    MAX_WORK,
    THOUSANDTHS,
    BacklogRow,
    PoolBacklog,
    RateTokens,
    need_class,
    size_class,
)
from cornelturn.admission.growth import PoolGrowth
from cornelturn.fairness.groups import WorkClass
from cornelturn.fairness.shares import JobPhase
from cornelturn.scheduling.outlooks import Outlook
from cornelturn.scheduling.pool import PoolScheduler
from cornelturn.scheduling.start_keys import JobRank
from cornelturn.scheduling.target_view import Contact
from cornelturn.scheduling.views import JobView

LISTED_TOKENS = 4.0
"""Tokens from which on an organisation is not listed; more than a caller usually uses
between two reports."""

MAX_COUNTED_JOBS = 1_000
"""Changed jobs that one report counts anew, so that it does not hold up the owner; the
next one counts others."""

MAX_REPORTED_JOBS = 5_000
"""Jobs that a report adds up, those that changed last first, so that it does not hold
up the owner. The others have waited for so long that most of them are late, and come
after new ones."""

BacklogPlace = tuple[int, int, int, str, int, int]
"""All fields of a `BacklogRow` but the work."""


@dataclass(frozen=True, slots=True)
class JobBacklog:
    """What of a job is to start, now or later.

    Parameters
    ----------
    size : int
        Class of the job by its declared remaining work.
    work : tuple
        Classes of needs with the declared work of the tasks that have them.
    """

    organisation: str
    queue: str
    size: int
    work: tuple[tuple[int, int], ...]


@dataclass(slots=True)
class BacklogReporter:
    """Sums up what waits in a pool, in the terms of the start order.

    Parameters
    ----------
    growth : PoolGrowth
        Capacity that the pool had lately.
    by_job : dict
        Jobs with tasks to start, those that changed last at the end, so that a report
        counts only changed jobs anew.
    """

    scheduler: PoolScheduler
    growth: PoolGrowth = field(default_factory=PoolGrowth)
    by_job: dict[str, JobBacklog] = field(default_factory=dict)

    def report(self, now_ms: int) -> PoolBacklog | None:
        """Return the report, None without organisations in the configuration."""
        scheduler = self.scheduler
        if not scheduler.fairness.organisations:
            self.by_job.clear()
            return None
        scheduler.update_demand()
        self._count_changed()
        ended_work = scheduler.ended_work
        ended_work.forget_queues(scheduler.queues.routing.queue_keys())
        views = [view for view in scheduler.targets.values() if view.is_schedulable()]
        capacity = self._capacity()
        work = self._waiting_work(now_ms)
        rows = [
            BacklogRow(*place, min(work[place], MAX_WORK)) for place in sorted(work)
        ]
        least_need = min((row.need for row in rows), default=None)
        return PoolBacklog(
            rows=tuple(rows[:MAX_BACKLOG_ROWS]),
            rate=ended_work.update_rate(least_need, capacity, now_ms),
            need_rates=ended_work.need_rates(now_ms),
            room=self.growth.update(capacity, now_ms),
            capacity=capacity,
            idle=min(sum(max(0, view.free().cpu) for view in views), MAX_WORK),
            factors=ended_work.factors(),
            tokens=self._tokens(now_ms),
        )

    def _capacity(self) -> int:
        """Return the processors of the targets that take tasks or are about to.

        A new owner does not reach all of its targets at once.
        """
        cpu = sum(
            view.listed.capacity.cpu
            for view in self.scheduler.targets.values()
            if view.is_listed
            and view.contact is not Contact.SILENT
            and not view.is_cordoned
            and not view.listed.is_draining
        )
        return min(cpu, MAX_WORK)

    def _count_changed(self) -> None:
        """Count the jobs anew that have changed since the last report."""
        scheduler = self.scheduler
        for job_id in tuple(islice(scheduler.unreported_jobs, MAX_COUNTED_JOBS)):
            scheduler.unreported_jobs.discard(job_id)
            self.by_job.pop(job_id, None)
            job = scheduler.jobs.get(job_id)
            if job is None or not self._is_served(job):
                continue
            work = self._work_to_start(job)
            if work:
                self.by_job[job_id] = JobBacklog(
                    job.spec.organisation,
                    job.spec.queue_key(),
                    size_class(job.remaining_work()),
                    tuple(work.items()),
                )

    def _waiting_work(self, now_ms: int) -> Counter[BacklogPlace]:
        """Return the work to start by its place, none while no step could start.

        Steps that depend on running ones delay no job that finds room at once.
        """
        scheduler = self.scheduler
        waiting = scheduler.waiting_steps
        if not self._has_waiting_tasks():
            return Counter()
        factors = {
            queue: scheduler.ended_work.factor(queue)
            for queue in scheduler.ended_work.by_queue
        }
        work: Counter[BacklogPlace] = Counter()
        newest = islice(reversed(self.by_job.items()), MAX_REPORTED_JOBS)
        for job_id, backlog in newest:
            if backlog.organisation in waiting.refused.used_up:
                continue
            tier = self._tier(job_id, now_ms)
            if tier is None:
                continue
            factor = factors.get(backlog.queue, 1.0)
            for need, declared in backlog.work:
                place = (*tier, backlog.organisation, backlog.size, need)
                work[place] += round(declared * factor)
        return work

    def _tier(self, job_id: str, now_ms: int) -> tuple[int, int, int] | None:
        """Return priority, class and outlook of a job, None if it is over."""
        rank = self._rank(job_id, now_ms)
        if rank is None:
            return None
        has_fair_order = self.scheduler.waiting_steps.fair is not None
        is_beyond = has_fair_order and rank.is_beyond_rate
        work_class = WorkClass.BEYOND_RATE if is_beyond else WorkClass.WITHIN_RATE
        outlook = rank.outlooks.of(0)
        if rank.phase is JobPhase.STARVED:
            outlook = Outlook.ON_TIME
        return rank.priority, int(work_class), int(outlook)

    def _has_waiting_tasks(self) -> bool:
        """Return whether a task waits for its start, but for what the quota refuses."""
        jobs = self.scheduler.jobs
        used_up = self.scheduler.waiting_steps.refused.used_up
        return any(
            job_id in jobs
            and bool(jobs[job_id].waiting_tasks)
            and backlog.organisation not in used_up
            for job_id, backlog in self.by_job.items()
        )

    def _rank(self, job_id: str, now_ms: int) -> JobRank | None:
        """Return the rank of a job in the start order, also while no step waits."""
        entries = self.scheduler.waiting_steps.by_job.get(job_id)
        if entries is not None:
            return entries.rank
        job = self.scheduler.jobs.get(job_id)
        if job is None:
            return None
        outlooks = job.forecast(now_ms).outlooks
        return JobRank(job.priority(), outlooks, 0, 0, job.is_beyond_rate)

    def _is_served(self, job: JobView) -> bool:
        """Return whether a job takes its turn before others that come later."""
        spec = job.spec
        return (
            spec.recurrence is None
            and not job.is_blocked
            and spec.id not in self.scheduler.constrained_jobs
            and not job.needs_approval()
            and not job.is_final()
        )

    def _work_to_start(self, job: JobView) -> Counter[int]:
        """Return the declared work of the tasks that are to start, now or later.

        By the class of their needs. Filling tasks are left out, as they take no
        processors from other work.
        """
        to_start = [
            step.count - len(job.progress.done.get((0, number), ()))
            for number, step in enumerate(job.spec.steps)
        ]
        placed = self.scheduler.placed_runs.get(job.spec.id, ())
        # A task may have a copy, or a second run that is being stopped after its end.
        for task in {run.task for run, _ in placed}:
            to_start[task.step] -= not job.progress.is_done(task)
        work: Counter[int] = Counter()
        for number, step in enumerate(job.spec.steps):
            if to_start[number] > 0 and not step.is_filling:
                run_ms = max(1, job.step_run_ms[number])
                declared = to_start[number] * step.need.cpu * run_ms
                work[need_class(step.need.cpu)] += declared
        return work

    def _tokens(self, now_ms: int) -> tuple[RateTokens, ...]:
        """Return the organisations that are close to their rate, or beyond it."""
        fairness = self.scheduler.fairness
        if self.scheduler.waiting_steps.fair is None:
            return ()
        tokens = fairness.rates.tokens_left(fairness.shares.weights, now_ms)
        return tuple(
            RateTokens(organisation, round(min(left * THOUSANDTHS, MAX_WORK)))
            for organisation, left in tokens.items()
            if left < LISTED_TOKENS
        )
