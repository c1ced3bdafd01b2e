"""Waiting steps in start order, and the resources that waiting tasks need."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from typing import NamedTuple

from sortedcontainers import SortedKeyList, SortedList

from cornelturn.jobs.model import Resources, Step, StepId
from cornelturn.scheduling.views import JobView, Outlook


class StartKey(NamedTuple):
    """Sort key of a waiting step in the start order.

    Parameters
    ----------
    outlook : Outlook
        Outlook of the job; the best one for a lasting step.
    remaining_work : int
        Remaining work of the job, in thousandths of a core times milliseconds; 0 for a
        lasting step.
    """

    priority: int
    outlook: Outlook
    remaining_work: int
    job: str
    occurrence: int
    step: int

    def step_id(self) -> StepId:
        """Return the step."""
        return StepId(self.job, self.occurrence, self.step)


@dataclass(frozen=True, slots=True)
class CapacityRequirement:
    """Requirements that decide whether a step fits; steps with equal ones fit alike.

    Parameters
    ----------
    gang_size : int
        Number of tasks that must fit together, 0 if each may start by itself.
    spread_step : StepId or None
        The step, if its own tasks limit where more of them may start.
    """

    need: Resources
    required_label: str = ""
    gang_size: int = 0
    spread_step: StepId | None = None


def capacity_requirement(step_id: StepId, step: Step) -> CapacityRequirement:
    """Return the capacity requirement of a step."""
    return CapacityRequirement(
        step.counted_need(),
        step.required_label,
        step.count if step.is_gang else 0,
        step_id if step.max_per_target else None,
    )


class StartHead(NamedTuple):
    """A waiting step with its requirement; in a pass, the first untried one with it."""

    key: StartKey
    requirement: CapacityRequirement


class JobRank(NamedTuple):
    """The part of the start keys that is equal for the batch steps of a job."""

    priority: int
    outlook: Outlook
    remaining_work: int

    def start_key(self, step_id: StepId, is_lasting: bool) -> StartKey:
        """Return the key of a step."""
        return StartKey(
            self.priority,
            Outlook.ON_TIME if is_lasting else self.outlook,
            0 if is_lasting else self.remaining_work,
            step_id.job,
            step_id.occurrence,
            step_id.step,
        )


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
    """

    order: SortedList = field(default_factory=SortedList)
    groups: dict[CapacityRequirement, SortedList] = field(default_factory=dict)
    requirements: SortedKeyList = field(
        default_factory=lambda: SortedKeyList(key=_cpu_of)
    )
    by_job: dict[str, JobEntries] = field(default_factory=dict)
    outlook_deadlines: list[tuple[int, str]] = field(default_factory=list)
    deadline_by_job: dict[str, int] = field(default_factory=dict)

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
        forecast = job.forecast(now_ms)
        self._watch_outlook(job_id, forecast.until_ms)
        rank = JobRank(job.priority(), forecast.outlook, job.remaining_work())
        entries = self.by_job.get(job_id)
        if entries is None or entries.rank != rank:
            self.discard_job(job_id)
            self.by_job[job_id] = JobEntries(rank)
            changed_steps = set(job.waiting_tasks)
        for step_id in changed_steps:
            if step_id in job.waiting_tasks:
                self.add_step(job, step_id)
            else:
                self._discard_step(job_id, step_id)

    def add_step(self, job: JobView, step_id: StepId) -> StartHead:
        """Add a waiting step of a job that has others, unless it is in the order."""
        entries = self.by_job[job.spec.id]
        head = entries.heads.get(step_id)
        if head is None:
            step = job.spec.steps[step_id.step]
            key = entries.rank.start_key(step_id, step.is_lasting)
            head = StartHead(key, capacity_requirement(step_id, step))
            entries.heads[step_id] = head
            self._add(head.requirement, head.key)
        return head

    def _discard_step(self, job: str, step_id: StepId) -> None:
        head = self.by_job[job].heads.pop(step_id, None)
        if head is not None:
            self._remove(head)

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

    def _remove(self, head: StartHead) -> None:
        group = self.groups[head.requirement]
        group.remove(head.key)
        self.order.remove(head.key)
        if not group:
            del self.groups[head.requirement]
            self.requirements.remove(head.requirement)

    def _add(self, requirement: CapacityRequirement, key: StartKey) -> None:
        group = self.groups.get(requirement)
        if group is None:
            group = self.groups[requirement] = SortedList()
            self.requirements.add(requirement)
        group.add(key)
        self.order.add(key)

    def begin_pass(self, largest_free_cpu: int) -> StartPass:
        """Return a pass through the steps whose tasks may fit.

        Parameters
        ----------
        largest_free_cpu : int
            Largest free CPU of a target, in thousandths of a core.
        """
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
    """

    groups: dict[CapacityRequirement, SortedList]
    heads: list[StartHead]

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
