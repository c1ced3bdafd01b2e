"""Waiting steps in start order, and the resources that waiting tasks need."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from heapq import heappop, heappush, merge
from typing import NamedTuple

from sortedcontainers import SortedKeyList, SortedList

from cornelturn.jobs.model import Resources, Step, StepId
from cornelturn.quota.allotment import QuotaGate, QuotaNeed
from cornelturn.scheduling.step_group import GroupCursor, GroupHead, StepGroup
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


class WaitingStep(NamedTuple):
    """A waiting step, its requirement, and what a start counts against a cap."""

    requirement: CapacityRequirement
    key: StartKey
    quota: QuotaNeed | None


def _cpu_of(requirement: CapacityRequirement) -> int:
    return requirement.need.cpu


@dataclass(slots=True)
class WaitingSteps:
    """Waiting steps in start order, grouped by capacity requirement.

    Parameters
    ----------
    order : SortedList
        Keys of the waiting steps of organisations without a cap.
    groups : dict
        Waiting steps with each requirement.
    requirements : SortedKeyList
        Distinct requirements of the waiting steps, sorted by the CPU that a task needs.
    closed : dict
        What starts of each organisation the quota refuses, and in which group.
    quota : QuotaGate
        Decides what each organisation may start.
    by_job : dict
        Waiting steps of each job.
    outlook_deadlines : list
        Heap of the times after which the outlooks of jobs become worse.
    deadline_by_job : dict
        The one of these times that is valid for each job.
    """

    order: SortedList = field(default_factory=SortedList)
    groups: dict[CapacityRequirement, StepGroup] = field(default_factory=dict)
    requirements: SortedKeyList = field(
        default_factory=lambda: SortedKeyList(key=_cpu_of)
    )
    closed: dict[str, list[tuple[StepGroup, QuotaNeed]]] = field(default_factory=dict)
    quota: QuotaGate = field(default_factory=QuotaGate)
    by_job: dict[str, list[WaitingStep]] = field(default_factory=dict)
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
        """Update the waiting steps of a job and their keys."""
        self.discard_job(job.spec.id)
        if job.is_blocked or not job.waiting_tasks:
            return
        forecast = job.forecast(now_ms)
        self._watch_outlook(job.spec.id, forecast.until_ms)
        remaining_work = job.remaining_work()
        organisation = job.spec.organisation
        is_capped = organisation in self.quota.caps
        entries: list[WaitingStep] = []
        for step_id in job.waiting_tasks:
            step = job.spec.steps[step_id.step]
            key = StartKey(
                job.priority(),
                Outlook.ON_TIME if step.is_lasting else forecast.outlook,
                0 if step.is_lasting else remaining_work,
                job.spec.id,
                step_id.occurrence,
                step_id.step,
            )
            quota = QuotaNeed(organisation, step.start_need()) if is_capped else None
            entry = WaitingStep(capacity_requirement(step_id, step), key, quota)
            entries.append(entry)
            self._add(entry)
        self.by_job[job.spec.id] = entries

    def forget_job(self, job: str) -> None:
        """Remove a job that is no longer scheduled, and its deadline."""
        self.discard_job(job)
        self.deadline_by_job.pop(job, None)

    def discard_job(self, job: str) -> None:
        """Remove the waiting steps of a job."""
        for requirement, key, quota in self.by_job.pop(job, ()):
            group = self.groups[requirement]
            group.remove(key, quota)
            if quota is None:
                self.order.remove(key)
            if not group.keys:
                del self.groups[requirement]
                self.requirements.remove(requirement)

    def _add(self, entry: WaitingStep) -> None:
        group = self.groups.get(entry.requirement)
        if group is None:
            group = self.groups[entry.requirement] = StepGroup()
            self.requirements.add(entry.requirement)
        group.add(entry.key, entry.quota)
        if entry.quota is None:
            self.order.add(entry.key)

    def close_refused(self, starts: StartPass) -> None:
        """Leave out the steps that the quota has refused in a pass."""
        for group, quota in starts.refused:
            group.close(quota)
            closed = self.closed.setdefault(quota.organisation, [])
            if (group, quota) not in closed:
                closed.append((group, quota))

    def open_admitted(self) -> None:
        """Take in the steps whose organisation may go on."""
        for organisation in self.quota.take_raised():
            for group, quota in self.closed.pop(organisation, ()):
                if self.quota.admits(quota):
                    group.open(quota)
                elif quota in group.closed:
                    self.closed.setdefault(organisation, []).append((group, quota))

    def open_order(self) -> Iterator[StartKey]:
        """Return the keys of the steps that may start, in start order."""
        if not self.quota.caps:
            return iter(self.order)
        cursors = [GroupCursor(group) for group in self.groups.values() if group.heads]
        return merge(self.order, *(cursor.capped_keys() for cursor in cursors))

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
        starts = StartPass()
        for requirement in requirements:
            starts.push_next(GroupCursor(self.groups[requirement]))
        return starts


class StartHead(NamedTuple):
    """The first untried step with a requirement."""

    key: StartKey
    quota: QuotaNeed | None
    cursor: GroupCursor


@dataclass(slots=True)
class StartPass:
    """One pass through the waiting steps, in order, while their requirements fit.

    The waiting steps must not change during the pass.

    Parameters
    ----------
    refused : list
        What the quota has refused, and the group of the steps.
    """

    heads: list[StartHead] = field(default_factory=list)
    refused: list[tuple[StepGroup, QuotaNeed]] = field(default_factory=list)

    def next_head(self) -> StartHead | None:
        """Return the next step to try, None at the end."""
        return heappop(self.heads) if self.heads else None

    def advance(self, head: StartHead) -> None:
        """Continue with the next step that has the same requirement."""
        head.cursor.advance(GroupHead(head.key, head.quota))
        self.push_next(head.cursor)

    def skip_refused(self, head: StartHead) -> None:
        """Continue without the steps that count the same against a cap."""
        self.refused.append((head.cursor.group, head.quota))
        self.push_next(head.cursor)

    def push_next(self, cursor: GroupCursor) -> None:
        """Add the next step of a group."""
        following = cursor.next()
        if following is not None:
            head = StartHead(following.key, following.quota, cursor)
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
