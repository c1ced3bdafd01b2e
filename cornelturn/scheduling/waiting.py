"""Waiting steps in start order, and the resources that waiting tasks need."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush, merge
from typing import NamedTuple

from sortedcontainers import SortedKeyList, SortedList

from cornelturn.jobs.model import Resources, Step, StepId
from cornelturn.quota.allotment import QuotaGate, QuotaNeed
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
    quota : QuotaNeed or None
        What a start counts against the cap of the job's organisation; None if it has no
        cap. Steps of such an organisation are in groups of their own, so that a pass
        through the waiting steps leaves out those that may not start.
    """

    need: Resources
    required_label: str = ""
    gang_size: int = 0
    spread_step: StepId | None = None
    quota: QuotaNeed | None = None


def capacity_requirement(
    step_id: StepId, step: Step, capped_organisation: str = ""
) -> CapacityRequirement:
    """Return the capacity requirement of a step.

    Parameters
    ----------
    capped_organisation : str
        Organisation of the job if it has a cap, else empty.
    """
    quota = None
    if capped_organisation:
        quota = QuotaNeed(capped_organisation, step.start_need())
    return CapacityRequirement(
        step.counted_need(),
        step.required_label,
        step.count if step.is_gang else 0,
        step_id if step.max_per_target else None,
        quota,
    )


def _cpu_of(requirement: CapacityRequirement) -> int:
    return requirement.need.cpu


@dataclass(slots=True)
class WaitingSteps:
    """Waiting steps in start order, grouped by capacity requirement.

    Parameters
    ----------
    order : SortedList
        Keys of the waiting steps of organisations without a cap.
    capped_groups : dict
        Those of the groups of organisations with a cap that may start.
    groups : dict
        Keys of the waiting steps with each requirement.
    requirements : SortedKeyList
        Distinct requirements of the waiting steps that may start, sorted by the CPU
        that a task needs.
    closed : dict
        Those of each organisation of which the quota refuses a start.
    quota : QuotaGate
        Decides what each organisation may start.
    by_job : dict
        Requirements and keys of the waiting steps of each job.
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
    capped_groups: dict[CapacityRequirement, SortedList] = field(default_factory=dict)
    closed: dict[str, set[CapacityRequirement]] = field(default_factory=dict)
    quota: QuotaGate = field(default_factory=QuotaGate)
    by_job: dict[str, list[tuple[CapacityRequirement, StartKey]]] = field(
        default_factory=dict
    )
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
        capped = organisation if organisation in self.quota.caps else ""
        entries: list[tuple[CapacityRequirement, StartKey]] = []
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
            requirement = capacity_requirement(step_id, step, capped)
            entries.append((requirement, key))
            self._add(requirement, key)
        self.by_job[job.spec.id] = entries

    def forget_job(self, job: str) -> None:
        """Remove a job that is no longer scheduled, and its deadline."""
        self.discard_job(job)
        self.deadline_by_job.pop(job, None)

    def discard_job(self, job: str) -> None:
        """Remove the waiting steps of a job."""
        for requirement, key in self.by_job.pop(job, ()):
            group = self.groups[requirement]
            group.remove(key)
            if requirement.quota is None:
                self.order.remove(key)
            if not group:
                closed = self._closed_with(requirement)
                if requirement in closed:
                    closed.discard(requirement)
                else:
                    self._close(requirement)
                del self.groups[requirement]

    def _add(self, requirement: CapacityRequirement, key: StartKey) -> None:
        group = self.groups.get(requirement)
        if group is None:
            group = self.groups[requirement] = SortedList()
            self._open(requirement)
        group.add(key)
        if requirement.quota is None:
            self.order.add(key)

    def _open(self, requirement: CapacityRequirement) -> None:
        """Let passes try the steps with a requirement."""
        self.requirements.add(requirement)
        if requirement.quota is not None:
            self.capped_groups[requirement] = self.groups[requirement]

    def _close(self, requirement: CapacityRequirement) -> None:
        self.requirements.remove(requirement)
        if requirement.quota is not None:
            del self.capped_groups[requirement]

    def _closed_with(
        self, requirement: CapacityRequirement
    ) -> set[CapacityRequirement]:
        """Return the closed requirements of the organisation of a requirement."""
        if requirement.quota is None:
            return set()
        return self.closed.setdefault(requirement.quota.organisation, set())

    def close_if_refused(self, requirement: CapacityRequirement) -> None:
        """Leave the steps with a requirement out while the quota refuses their start.

        The cost of a pass does not grow with their number.
        """
        if not self.quota.admits(requirement.quota):
            self._close(requirement)
            self._closed_with(requirement).add(requirement)

    def open_admitted(self) -> None:
        """Take in the steps whose organisation may go on."""
        for organisation in self.quota.take_raised():
            for requirement in list(self.closed.get(organisation, ())):
                if self.quota.admits(requirement.quota):
                    self.closed[organisation].discard(requirement)
                    self._open(requirement)

    def open_order(self) -> Iterator[StartKey]:
        """Return the keys of the steps that may start, in start order."""
        return merge(self.order, *self.capped_groups.values())

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


class StartHead(NamedTuple):
    """The first untried step with a requirement."""

    key: StartKey
    requirement: CapacityRequirement


@dataclass(slots=True)
class StartPass:
    """One pass through the waiting steps, in order, while their requirements fit.

    The waiting steps must not change during the pass.
    """

    groups: dict[CapacityRequirement, SortedList]
    heads: list[StartHead]

    def next_head(self) -> StartHead | None:
        """Return the next step to try, None at the end."""
        return heappop(self.heads) if self.heads else None

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
