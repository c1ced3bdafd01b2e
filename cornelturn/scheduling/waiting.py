"""Waiting steps in start order, and the resources that waiting tasks need."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush

from sortedcontainers import SortedKeyList, SortedList

from cornelturn.advice.knowledge import PoolAdvice
from cornelturn.fairness.groups import Claim, Entry, Place, Tier, WorkClass
from cornelturn.fairness.order import FairOrder, FairPass
from cornelturn.fairness.shares import FairShares, JobPhase
from cornelturn.jobs.model import Resources, Step, StepId
from cornelturn.scheduling.declared_run_times import DeclaredRunTimes
from cornelturn.scheduling.refused_steps import RefusedStep, RefusedSteps
from cornelturn.scheduling.start_keys import (
    CapacityRequirement,
    JobRank,
    StartHead,
    StartKey,
    capacity_requirement,
)
from cornelturn.scheduling.views import JobView


@dataclass(slots=True)
class JobEntries:
    """The waiting steps of a job in the start order, and the rank that they have."""

    rank: JobRank
    heads: dict[StepId, StartHead] = field(default_factory=dict)


def _cpu_of(requirement: CapacityRequirement) -> int:
    return requirement.need.cpu


@dataclass(slots=True)
class WaitingSteps:
    """Waiting steps in start order, grouped by capacity requirement.

    Parameters
    ----------
    order : SortedList
        Keys of all waiting steps.
    groups : dict
        Keys of the waiting steps with each requirement.
    requirements : SortedKeyList
        Distinct requirements of the waiting steps, sorted by the CPU that a task needs.
    by_job : dict
        Waiting steps of each job.
    outlook_deadlines : list
        Heap of the times after which the outlooks of jobs become worse.
    deadline_by_job : dict
        The one of these times that is valid for each job.
    organisation_by_job : dict
        Organisations of the jobs with waiting steps that have one.
    fair : FairOrder or None
        The order among organisations, in place of `order` and `groups`; None while
        the steps are in the order of their keys.
    refused : RefusedSteps
        Steps that the quota refuses; they are not in that order.
    tried : dict
        Steps of each job that a pass has removed from that order.
    run_times : DeclaredRunTimes
        Run times of the waiting steps.
    advice : PoolAdvice
        Approvals of targets. A step that needs one waits outside the order until it
        has a ticket, so that it costs passes nothing and holds no reservation.
    """

    order: SortedList = field(default_factory=SortedList)
    groups: dict[CapacityRequirement, SortedList] = field(default_factory=dict)
    requirements: SortedKeyList = field(
        default_factory=lambda: SortedKeyList(key=_cpu_of)
    )
    by_job: dict[str, JobEntries] = field(default_factory=dict)
    outlook_deadlines: list[tuple[int, str]] = field(default_factory=list)
    deadline_by_job: dict[str, int] = field(default_factory=dict)
    organisation_by_job: dict[str, str] = field(default_factory=dict)
    fair: FairOrder | None = None
    refused: RefusedSteps = field(default_factory=RefusedSteps)
    tried: dict[str, set[StepId]] = field(default_factory=dict)
    run_times: DeclaredRunTimes = field(default_factory=DeclaredRunTimes)
    advice: PoolAdvice = field(default_factory=PoolAdvice)

    def has_organisations(self) -> bool:
        """Return whether a job with an organisation waits."""
        return bool(self.organisation_by_job)

    def use_fair_order(self, shares: FairShares) -> set[str]:
        """Change to the order of fair shares; return the jobs to update for it."""
        jobs = self._clear()
        self.fair = FairOrder(shares, _cpu_of)
        return jobs

    def use_static_order(self) -> set[str]:
        """Change to the order of the keys; return the jobs to update for it."""
        jobs = self._clear()
        self.fair = None
        return jobs

    def _clear(self) -> set[str]:
        """Remove all waiting steps; return their jobs."""
        jobs = set(self.by_job) | self.take_tried()
        self.by_job.clear()
        self.order.clear()
        self.groups.clear()
        self.requirements.clear()
        self.refused.clear()
        self.tried.clear()
        self.run_times.clear()
        return jobs

    def take_tried(self) -> set[str]:
        """Return the jobs with steps that passes have removed from the fair order.

        Those that still wait are added when their jobs are updated.
        """
        if self.fair is None:
            return set()
        jobs: set[str] = set()
        for key in self.fair.take_advanced():
            jobs.add(key.job)
            entries = self.by_job.get(key.job)
            head = entries.heads.get(key.step_id()) if entries is not None else None
            if head is not None and head.key == key:
                del entries.heads[key.step_id()]
                self.run_times.remove(head.requirement, head.run_ms)
                self.tried.setdefault(key.job, set()).add(key.step_id())
        return jobs

    def _watch_outlook(self, job: str, until_ms: int | None) -> None:
        """Record until when the outlook of a job stays as it is."""
        if until_ms is not None and self.deadline_by_job.get(job) != until_ms:
            self.deadline_by_job[job] = until_ms
            heappush(self.outlook_deadlines, (until_ms, job))

    def take_worsened(self, now_ms: int) -> set[str]:
        """Return the jobs whose outlook has become worse since the last call."""
        worsened: set[str] = set()
        while self.outlook_deadlines and self.outlook_deadlines[0][0] < now_ms:
            until_ms, job = heappop(self.outlook_deadlines)
            if self.deadline_by_job.get(job) == until_ms:
                del self.deadline_by_job[job]
                worsened.add(job)
        return worsened

    def update_job(self, job: JobView, now_ms: int) -> None:
        """Update the waiting steps of a job and their keys.

        Only the steps that have changed are updated while the rank of the job stays
        as it is.
        """
        job_id = job.spec.id
        changed_steps = job.waiting_tasks.take_changed_steps()
        if job.is_blocked or not job.waiting_tasks:
            self.discard_job(job_id)
            return
        if now_ms < job.set_aside_until_ms:
            self._watch_outlook(job_id, job.set_aside_until_ms)
            self.discard_job(job_id)
            return
        forecast = job.forecast(now_ms)
        self._watch_outlook(job_id, forecast.until_ms)
        remaining_work = work_on_time = job.remaining_work()
        if job.spec.recurrence is not None and forecast.outlooks.late_count:
            work_on_time = job.remaining_work(forecast.outlooks.late_count)
        rank = JobRank(
            job.priority(),
            forecast.outlooks,
            work_on_time,
            remaining_work,
            job.is_beyond_rate,
            self._phase(job),
        )
        entries = self.by_job.get(job_id)
        if entries is None or entries.rank != rank:
            self.discard_job(job_id)
            self.by_job[job_id] = JobEntries(rank)
            changed_steps = set(job.waiting_tasks)
            if job.spec.organisation:
                self.organisation_by_job[job_id] = job.spec.organisation
        changed_steps |= self.tried.pop(job_id, set())
        if job.needs_approval():
            # Tickets come and end while the steps stay as they are.
            changed_steps.update(job.waiting_tasks)
        for step_id in changed_steps:
            if step_id in job.waiting_tasks and self._may_wait(job, step_id, now_ms):
                self.add_step(job, step_id)
            else:
                self._discard_step(job_id, step_id)

    def _may_wait(self, job: JobView, step_id: StepId, now_ms: int) -> bool:
        """Return whether a step has the approval that it needs, if any."""
        return not job.needs_approval() or self.advice.has_ticket(step_id, now_ms)

    def open_step(self, job: JobView, step_id: StepId, now_ms: int) -> StartHead | None:
        """Add a step that was just opened, unless it waits for an approval."""
        if not self._may_wait(job, step_id, now_ms):
            return None
        return self.add_step(job, step_id)

    def add_step(self, job: JobView, step_id: StepId) -> StartHead:
        """Add a waiting step of a job that has others, unless it is in the order."""
        entries = self.by_job[job.spec.id]
        head = entries.heads.get(step_id)
        if head is None:
            step = job.spec.steps[step_id.step]
            key = entries.rank.start_key(step_id, step.is_lasting)
            requirement = capacity_requirement(step_id, step, job.needs_approval())
            head = StartHead(key, requirement, job.step_run_ms[step_id.step])
            self.run_times.add(requirement, head.run_ms)
            entries.heads[step_id] = head
            self._add(job, step, head)
        return head

    def _discard_step(self, job: str, step_id: StepId) -> None:
        head = self.by_job[job].heads.pop(step_id, None)
        if head is not None:
            self._remove(head)

    def _place(self, job: JobView, step: Step, key: StartKey) -> Place:
        """Return the place of a step in the order among organisations."""
        work_class = WorkClass.WITHIN_RATE
        if step.is_lasting:
            work_class = WorkClass.LASTING
        elif job.is_beyond_rate:
            work_class = WorkClass.BEYOND_RATE
        tier = Tier(key.priority, work_class, key.outlook)
        return Place(tier, Claim(job.spec.organisation, self._phase(job)))

    def _phase(self, job: JobView) -> JobPhase:
        """Return the phase of a job; the order of the keys does not depend on it.

        Each occurrence of a recurrent job is work of its own, so that one that is done
        does not make the others precede new jobs.
        """
        if self.fair is None:
            return JobPhase.NEW
        if self.fair.starvation.is_promoted(job.spec.organisation, job.spec.id):
            return JobPhase.STARVED
        if job.progress.done and job.spec.recurrence is None:
            return JobPhase.PARTLY_DONE
        return JobPhase.NEW

    def forget_job(self, job: str) -> None:
        """Remove a job that is no longer scheduled, and its deadline."""
        self.discard_job(job)
        self.deadline_by_job.pop(job, None)

    def discard_job(self, job: str) -> None:
        """Remove the waiting steps of a job."""
        entries = self.by_job.pop(job, None)
        if entries is not None:
            for head in entries.heads.values():
                self._remove(head)
        self.tried.pop(job, None)
        self.organisation_by_job.pop(job, None)

    def _remove(self, head: StartHead) -> None:
        self.run_times.remove(head.requirement, head.run_ms)
        if self.fair is not None:
            self.fair.discard(head.key)
            self.refused.discard(head.key)
            return
        group = self.groups[head.requirement]
        group.remove(head.key)
        self.order.remove(head.key)
        if not group:
            del self.groups[head.requirement]
            self.requirements.remove(head.requirement)

    def has_shorter_step(self, step_id: StepId) -> bool:
        """Return whether a step with an equal requirement runs for a shorter time."""
        head = self.by_job[step_id.job].heads[step_id]
        return self.run_times.has_shorter(head.requirement, head.run_ms)

    def refuse(self, key: StartKey, need: Resources) -> None:
        """Leave out a step that the quota refuses, until it may admit it.

        Parameters
        ----------
        need : Resources
            What a start of the step counts against the cap.
        """
        self.refused.add(key, RefusedStep(self.fair.entries[key], need))
        self.fair.discard(key)

    def readmit(self) -> None:
        """Take in the refused steps that the quota may admit now."""
        if self.fair is None or not self.refused.steps:
            return
        for key, entry in self.refused.take_admitted():
            self.fair.add(key, entry)

    def _add(self, job: JobView, step: Step, head: StartHead) -> None:
        requirement, key = head.requirement, head.key
        if self.fair is not None:
            place = self._place(job, step, key)
            step_need = step.need.times(step.count)
            need = step_need if step.is_gang else step.need
            self.fair.add(key, Entry(requirement, place, need, step_need))
            return
        group = self.groups.get(requirement)
        if group is None:
            group = self.groups[requirement] = SortedList()
            self.requirements.add(requirement)
        group.add(key)
        self.order.add(key)

    def in_order(self) -> Iterator[StartKey]:
        """Return the waiting steps in start order; they must not change meanwhile."""
        return iter(self.order) if self.fair is None else self.fair.in_order()

    def tried_keys(self) -> Sequence[StartKey]:
        """Return the steps that the last pass has removed from the fair order.

        Tasks of some may still wait; these are in the order again in the next plan.
        """
        return self.fair.advanced if self.fair is not None else ()

    def begin_pass(self, largest_free_cpu: int) -> StartPass | FairPass:
        """Return a pass through the steps whose tasks may fit.

        Parameters
        ----------
        largest_free_cpu : int
            Largest free CPU of a target, in thousandths of a core.
        """
        if self.fair is not None:
            return self.fair.begin_pass(largest_free_cpu)
        requirements: Iterable[CapacityRequirement] = self.requirements.irange_key(
            max_key=largest_free_cpu
        )
        heads = [
            StartHead(self.groups[requirement][0], requirement)
            for requirement in requirements
        ]
        heapify(heads)
        return StartPass(self.groups, heads)


@dataclass(slots=True)
class StartPass:
    """One pass through the waiting steps, in order, while their requirements fit.

    During the pass, only steps after the one that was tried last may be added.

    Parameters
    ----------
    tasks_per_turn : None
        All tasks of a step may start at once.
    """

    groups: dict[CapacityRequirement, SortedList]
    heads: list[StartHead]
    tasks_per_turn: None = None

    def next_head(self) -> StartHead | None:
        """Return the next step to try, None at the end."""
        return heappop(self.heads) if self.heads else None

    def add(self, added: StartHead, tried: StartHead) -> None:
        """Add a step that was added to the order after the one that was tried last."""
        if added.requirement != tried.requirement:
            heappush(self.heads, added)

    def advance(self, head: StartHead) -> None:
        """Continue with the next step that has the same requirement."""
        group = self.groups[head.requirement]
        index = group.bisect_right(head.key)
        if index < len(group):
            heappush(self.heads, StartHead(group[index], head.requirement))

    def skip(self, head: StartHead) -> None:
        """Continue after a step that did not fit; it stays in the order."""
        self.advance(head)

    def finish(self) -> None:
        """Do nothing at the end of the pass, which has removed no steps."""

    def put_back(self, head: StartHead) -> None:
        """Continue with a step of which more tasks may start."""
        heappush(self.heads, head)


@dataclass(slots=True)
class WaitingDemand:
    """Resources that the waiting tasks of all jobs need.

    Parameters
    ----------
    by_job : dict
        Resources that the tasks of each job need; jobs without any are left out.
    """

    total: Resources = field(default_factory=Resources)
    by_job: dict[str, Resources] = field(default_factory=dict)

    def set_need(self, job: str, need: Resources) -> None:
        """Set the resources that the waiting tasks of a job need."""
        previous = self.by_job.pop(job, Resources())
        self.total = self.total.minus(previous).plus(need)
        if need != Resources():
            self.by_job[job] = need
