"""Fair sharing of one pool: what its planner and its reporter ask for."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from cornelturn.clock import MILLISECONDS_PER_SECOND
from cornelturn.events.log import log_event
from cornelturn.fairness.rates import TAKEOVER_CREDIT_S, SubmissionRates
from cornelturn.fairness.shares import FairShares, Weights
from cornelturn.fairness.waiting_work import WaitingWork
from cornelturn.model.organisations import NO_ORGANISATION, Organisation
from cornelturn.scheduling.outlooks import Outlook
from cornelturn.scheduling.views import JobView
from cornelturn.scheduling.waiting import WaitingSteps

KEPT_AFTER_MS = 10_000
"""How long the fair order is kept while no job of an organisation waits, since each
change of the order sorts all waiting steps anew."""

SHARE_UNIT = 1_000
"""Shares in log lines are in thousandths."""


@dataclass(frozen=True, slots=True)
class OrganisationFigures:
    """Figures of one organisation in a pool.

    Parameters
    ----------
    share : float
        Dominant share, not divided by the weight.
    waiting_cpu : int
        CPU that its waiting tasks need, in thousandths of a core.
    """

    organisation: str
    share: float
    waiting_cpu: int


@dataclass(slots=True)
class FairSharing:
    """Decides the order among organisations in one pool.

    Without organisations in the configuration, and while no job has one, it does
    nothing and the order of `WaitingSteps` stays as it is.

    Parameters
    ----------
    is_successor : bool
        Whether another owner had the pool before, so that a credit applies to the jobs
        that it left behind.
    shares : FairShares
        What each organisation holds, relative to its weight.
    waiting : WaitingSteps
        The waiting steps whose order it decides.
    unjudged : dict
        Jobs that have not been compared with the rate of their organisation, because
        rows or the configuration have not been read.
    waiting_work : WaitingWork
        Waiting tasks of each organisation, for metrics and operators.
    has_planned : bool
        Whether this owner has made a plan; the credit of a successor starts with it.
    needed_ms : int
        When a job of an organisation last waited.
    """

    pool: str
    is_successor: bool
    shares: FairShares
    waiting: WaitingSteps
    organisations: tuple[Organisation, ...] = ()
    rates: SubmissionRates = field(default_factory=SubmissionRates)
    unjudged: dict[str, JobView] = field(default_factory=dict)
    waiting_work: WaitingWork = field(default_factory=WaitingWork)
    has_planned: bool = False
    needed_ms: int = 0

    def update_organisations(self, organisations: tuple[Organisation, ...]) -> bool:
        """Take up the organisations of a new configuration.

        Return whether there are any for the first time, so that the capacity of all
        targets and the waiting tasks of all jobs are to be counted: without
        organisations these are not kept up to date.
        """
        if organisations is self.organisations:
            return False
        is_first = bool(organisations) and not self.organisations
        if is_first:
            self.shares.capacity.clear()
            self.waiting_work.clear()
        self.organisations = organisations
        self.shares.weights = Weights.from_organisations(organisations)
        if self.waiting.fair is not None:
            self.waiting.fair.update_all_ranks()
        return is_first

    def add_job(self, job: JobView) -> None:
        """Take up a new job; it is judged before the next plan."""
        if self.organisations or job.spec.organisation:
            self.unjudged[job.spec.id] = job

    def forget_job(self, job: JobView) -> None:
        """Forget a job that is over."""
        self.unjudged.pop(job.spec.id, None)
        if self.waiting.fair is not None:
            self.waiting.fair.starvation.forget_job(job.spec.organisation, job.spec.id)

    def prepare_plan(self, changed_jobs: Iterable[JobView], now_ms: int) -> set[str]:
        """Return the jobs whose place in the order has changed since the last plan.

        Parameters
        ----------
        changed_jobs : iterable of JobView
            Jobs that are not yet updated among the waiting steps.
        """
        if not self.organisations:
            return self._use_static_order()
        is_needed = self.waiting.has_organisations() or any(
            job.spec.organisation and job.waiting_tasks for job in changed_jobs
        )
        changed = self._judge_jobs(now_ms)
        if is_needed:
            self.needed_ms = now_ms
            if self.waiting.fair is None:
                log_event("fair_order", pool=self.pool, is_fair=True)
                return changed | self.waiting.use_fair_order(self.shares)
        elif self.waiting.fair is None:
            return changed
        elif now_ms - self.needed_ms >= KEPT_AFTER_MS:
            return changed | self._use_static_order()
        return changed | self.waiting.take_tried()

    def _use_static_order(self) -> set[str]:
        if self.waiting.fair is None:
            return set()
        log_event("fair_order", pool=self.pool, is_fair=False)
        return self.waiting.use_static_order()

    def _judge_jobs(self, now_ms: int) -> set[str]:
        """Compare new jobs with the rates; return those that are beyond.

        Rows that were read at once are judged in the order in which they were last
        written, started jobs first, so that each successor judges them in the same
        order as far as they have not changed.
        """
        if not self.has_planned:
            self.has_planned = True
            if self.is_successor:
                credit_ms = round(TAKEOVER_CREDIT_S * MILLISECONDS_PER_SECOND)
                self.rates.credit_until_ms = now_ms + credit_ms
        if not self.unjudged:
            return set()
        jobs, self.unjudged = list(self.unjudged.values()), {}
        jobs.sort(key=_judgement_order)
        beyond: set[str] = set()
        for job in jobs:
            organisation = job.spec.organisation
            job.is_beyond_rate = self.rates.is_beyond(
                organisation, self.shares.weights, job.arrived_ms
            )
            if job.is_beyond_rate:
                beyond.add(job.spec.id)
                log_event(
                    "job_beyond_rate",
                    job=job.spec.id,
                    pool=self.pool,
                    organisation=organisation or None,
                    weight=self.shares.weights.of(organisation),
                )
        return beyond

    def promote_starved(self, now_ms: int) -> set[str]:
        """Promote a late job of each starved organisation; return these jobs.

        All waiting steps must be in the order, also those that the last pass removed
        when it had tried them: their organisations would not count as waiting.
        """
        order = self.waiting.fair
        if order is None:
            return set()
        jobs: set[str] = set()
        waiting = (claim.organisation for claim in order.queues)
        for organisation in order.starvation.take_starved(waiting, now_ms):
            key = order.first_late(organisation, Outlook.ON_TIME)
            if key is None:
                continue
            jobs.add(key.job)
            order.starvation.promote(organisation, key.job)
            log_event(
                "organisation_starved",
                pool=self.pool,
                organisation=organisation or None,
                job=key.job,
            )
        return jobs

    def note_start(self, job: JobView, now_ms: int) -> set[str]:
        """Record a start; return the jobs whose place in the order changes with it."""
        order = self.waiting.fair
        if order is None:
            return set()
        return order.starvation.note_start(job.spec.organisation, now_ms)

    def log_share(self, organisation: str) -> int | None:
        """Return the dominant share for a log line, None while it is not used."""
        if self.waiting.fair is None:
            return None
        return round(self.shares.dominant(organisation) * SHARE_UNIT)

    def count_waiting(self, job_id: str, job: JobView | None) -> None:
        """Count the waiting tasks of a job anew; None if it is over."""
        if not self.organisations:
            return
        if job is None:
            self.waiting_work.discard(job_id)
            return
        tasks = cpu = 0
        for step_id, indices in job.waiting_tasks.by_step.items():
            tasks += len(indices)
            cpu += len(indices) * job.spec.steps[step_id.step].need.cpu
        self.waiting_work.set_job(job_id, job.spec.organisation, tasks, cpu)

    def figures(self) -> list[OrganisationFigures]:
        """Return the figures of all configured organisations, and of jobs without one.

        The waiting tasks must have been counted.
        """
        if not self.organisations:
            return []
        names = dict.fromkeys(
            (*(item.name for item in self.organisations), NO_ORGANISATION)
        )
        return [
            OrganisationFigures(
                name, self.shares.dominant(name), self.waiting_work.cpu[name]
            )
            for name in names
        ]


def _judgement_order(job: JobView) -> tuple[int, bool, int]:
    has_begun = bool(job.progress.done or job.progress.failed)
    return job.arrived_ms, not has_begun, job.version
