"""Waiting work of the organisations that have a cap, in one pool."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from math import floor
from typing import NamedTuple

from cornelturn.jobs.model import Resources
from cornelturn.model.routes import RoutingTable
from cornelturn.peering.quota_messages import OrganisationUse
from cornelturn.quota.allotment import TurnDemand
from cornelturn.quota.amounts import NOTHING, Amount, amount_of
from cornelturn.scheduling.state import PoolState
from cornelturn.scheduling.views import JobView


class StartSize(NamedTuple):
    """What the start of a task, or of a gang, needs.

    Parameters
    ----------
    need : Resources
        What it counts against the cap.
    task_need : Resources
        What each of its tasks counts against the capacity of a target.
    tasks : int
        Number of tasks that start at once.
    """

    need: Resources
    task_need: Resources
    tasks: int


@dataclass(frozen=True, slots=True)
class FreeTargets:
    """Free capacity of the targets that may get tasks.

    Parameters
    ----------
    largest_cpu : int
        Largest free CPU of one target.
    """

    total: Amount
    largest_cpu: int

    def share(self, size: StartSize, count: int) -> float:
        """Return which share of some starts may fit."""
        if size.task_need.cpu > self.largest_cpu:
            return 0.0
        needed = amount_of(size.task_need).times(size.tasks * count)
        shares = [
            free / wanted
            for free, wanted in zip(self.total, needed, strict=True)
            if wanted
        ]
        return min([1.0, *shares])


@dataclass(slots=True)
class WaitingStarts:
    """Waiting work of one organisation.

    Parameters
    ----------
    counts : Counter
        Number of waiting tasks, or gangs, by what the start of one needs.
    counted : Resources
        What they count as demand for machines.
    """

    counts: Counter[StartSize] = field(default_factory=Counter)
    counted: Resources = field(default_factory=Resources)

    def add(self, starts: Counter[StartSize], counted: Resources) -> None:
        """Add the waiting work of a job."""
        self.counts.update(starts)
        self.counted = self.counted.plus(counted)

    def remove(self, starts: Counter[StartSize], counted: Resources) -> None:
        """Remove the waiting work of a job."""
        self.counts.subtract(starts)
        for size in starts:
            if not self.counts[size]:
                del self.counts[size]
        self.counted = self.counted.minus(counted)

    def total(self) -> Amount:
        """Return what all of it counts against the cap."""
        total = NOTHING
        for size, count in self.counts.items():
            total = total.plus(amount_of(size.need).times(count))
        return total

    def fitting(
        self, free: FreeTargets, demand: TurnDemand | None = None
    ) -> tuple[Amount, Amount]:
        """Return what may start but for the cap, and the largest start among it.

        Work that waits for capacity of targets is left out: an allotment for it would
        be idle while another pool could use it.

        Parameters
        ----------
        demand : TurnDemand or None
            Starts that count though nothing is free for it.
        """
        total = unit = NOTHING
        for size, count in self.counts.items():
            fitting = floor(count * free.share(size, count))
            if fitting:
                amount = amount_of(size.need)
                total, unit = total.plus(amount.times(fitting)), unit.highest(amount)
        if demand is not None:
            need = amount_of(demand.need)
            demanded = need.times(demand.starts).lowest(self.total())
            total, unit = total.highest(demanded), unit.highest(need)
        return total, unit


@dataclass(frozen=True, slots=True)
class JobStarts:
    """Waiting work of one job, as it was last counted."""

    organisation: str
    starts: Counter[StartSize]
    counted: Resources


@dataclass(slots=True)
class QuotaDemand:
    """Counts the waiting work by organisation; jobs of others cost one look-up.

    Parameters
    ----------
    by_organisation : dict
        Organisations with a cap that have waiting work.
    by_job : dict
        Their jobs with waiting work.
    """

    state: PoolState
    by_organisation: dict[str, WaitingStarts] = field(default_factory=dict)
    by_job: dict[str, JobStarts] = field(default_factory=dict)

    def update_routing(self, routing: RoutingTable) -> None:
        """Take up the caps of a new configuration."""
        gate = self.state.quota
        before = set(gate.caps)
        if gate.set_organisations(routing.version, routing.organisations):
            changed = before ^ gate.caps.keys()
            for job in self.state.jobs.values():
                if job.spec.organisation in changed:
                    self.state.mark_changed(job)

    def update_job(self, job_id: str, job: JobView | None, counted: Resources) -> None:
        """Count the waiting work of a job anew.

        A blocked job is left out, since it may not start whatever the quota is.
        """
        last = self.by_job.pop(job_id, None)
        if last is not None:
            self._remove(last)
        if job is None or job.spec.organisation not in self.state.quota.caps:
            return
        if job.is_blocked or not job.waiting_tasks:
            return
        starts = _starts(job)
        self.by_job[job_id] = JobStarts(job.spec.organisation, starts, counted)
        waiting = self.by_organisation.setdefault(
            job.spec.organisation, WaitingStarts()
        )
        waiting.add(starts, counted)

    def _remove(self, last: JobStarts) -> None:
        waiting = self.by_organisation[last.organisation]
        waiting.remove(last.starts, last.counted)
        if not waiting.counts:
            del self.by_organisation[last.organisation]

    def refused(self) -> Resources:
        """Return the part of the demand for machines that the quota refuses."""
        total = Resources()
        for organisation, waiting in self.by_organisation.items():
            fraction = self.state.quota.startable_fraction(
                organisation, waiting.total()
            )
            counted = waiting.counted
            total = total.plus(
                Resources(
                    round(counted.cpu * (1 - fraction)),
                    round(counted.mem_mb * (1 - fraction)),
                    round(counted.gpu * (1 - fraction)),
                )
            )
        return total

    def uses(self) -> tuple[OrganisationUse, ...]:
        """Return what is reported of each organisation with a cap."""
        gate = self.state.quota
        names = gate.caps.keys() & (
            gate.usage.held.keys()
            | gate.allotments.keys()
            | self.by_organisation.keys()
        )
        for name in gate.turn_demands.keys() - self.by_organisation.keys():
            del gate.turn_demands[name]
        free = self._free_targets()
        uses = (gate.use(name, *self._fitting(name, free)) for name in sorted(names))
        return tuple(use for use in uses if use is not None)

    def _fitting(self, organisation: str, free: FreeTargets) -> tuple[Amount, Amount]:
        """Return what an organisation may start but for the cap, and the largest."""
        waiting = self.by_organisation.get(organisation)
        if waiting is None:
            return NOTHING, NOTHING
        return waiting.fitting(free, self.state.quota.update_demand(organisation))

    def _free_targets(self) -> FreeTargets:
        total = NOTHING
        if not self.by_organisation:
            return FreeTargets(total, 0)
        for view in self.state.targets.values():
            if view.is_schedulable():
                total = total.plus(amount_of(view.free()).highest(NOTHING))
        largest_cpu = self.state.free_capacity.largest_free_cpu()
        return FreeTargets(total, -1 if largest_cpu is None else largest_cpu)


def _starts(job: JobView) -> Counter[StartSize]:
    """Return the number of waiting tasks and gangs of a job by what one needs."""
    starts: Counter[StartSize] = Counter()
    for number, step in enumerate(job.spec.steps):
        count = job.count_waiting_of(number)
        if not count:
            continue
        tasks = step.count if step.is_gang else 1
        size = StartSize(step.start_need(), step.counted_need(), tasks)
        starts[size] += -(-count // tasks)
    return starts
