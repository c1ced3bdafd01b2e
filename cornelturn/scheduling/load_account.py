"""The load of a pool: what its runs take, and what its waiting tasks need."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from cornelturn.jobs.model import Resources
from cornelturn.peering.messages import PoolLoad, TargetLoad
from cornelturn.racks.kept_targets import kept_targets
from cornelturn.scheduling.queues import QueueUpdates
from cornelturn.scheduling.quota_demand import QuotaDemand
from cornelturn.scheduling.state import PoolState
from cornelturn.scheduling.target_view import Contact
from cornelturn.scheduling.views import JobView
from cornelturn.targets.model import TargetLife


@dataclass(slots=True)
class LoadAccount:
    """Counts the load of a pool for the owner of the machines and the metrics."""

    state: PoolState
    quota_demand: QuotaDemand
    queues: QueueUpdates

    def pool_load(self, cordon: int) -> PoolLoad:
        """Return the runs on each target and the resources that waiting tasks need.

        Parameters
        ----------
        cordon : int
            Number of the cordon request in force.
        """
        held, capacity = Resources(), Resources()
        open_targets = 0
        for view in self.state.targets.values():
            if view.contact is Contact.REACHABLE:
                held = held.plus(view.used)
            if view.is_schedulable():
                capacity = capacity.plus(view.listed.capacity)
                open_targets += 1
        kept = self._kept_targets()
        self.update_demand()
        waiting = self.state.demand.total.minus(self.quota_demand.refused())
        return PoolLoad(
            pool=self.state.pool,
            generation=self.state.generation,
            cordon=cordon,
            targets=self._target_loads(kept),
            held=held,
            waiting=waiting,
            capacity=capacity,
            open_targets=open_targets,
            least_targets=self._min_targets(len(kept)),
            held_back=self.state.blocked_demand.total.lowest(waiting),
        )

    def _kept_targets(self) -> set[TargetLife]:
        """Return the targets on the racks that jobs want."""
        state = self.state
        jobs = (state.jobs[job_id] for job_id in state.constrained_jobs)
        return kept_targets(jobs, state.placed_runs, state.targets)

    def _target_loads(self, kept: set[TargetLife]) -> tuple[TargetLoad, ...]:
        """Return the runs on each target that answers."""
        lasting = self._count_lasting_tasks()
        return tuple(
            TargetLoad(
                life.name,
                len(view.runs),
                lasting[life],
                view.is_cordoned,
                self.state.speeds.speed_percent(life),
                life in kept,
            )
            for life, view in self.state.targets.items()
            if view.contact is Contact.REACHABLE
        )

    def _count_lasting_tasks(self) -> Counter[TargetLife]:
        """Return how many lasting tasks each target has."""
        counts: Counter[TargetLife] = Counter()
        for job_id in self.state.constrained_jobs:
            steps = self.state.jobs[job_id].spec.steps
            for run, life in self.state.placed_runs.get(job_id, ()):
                counts[life] += steps[run.task.step].is_lasting
        return counts

    def _min_targets(self, kept: int) -> int:
        """Return how many targets the pool must keep for its placement constraints.

        Lasting tasks with a limit for each target need enough targets, and spare ones
        for those that are unavailable. While a step requires a label, the pool keeps
        all its targets.

        Parameters
        ----------
        kept : int
            Number of targets on the racks that jobs want.
        """
        min_targets = kept
        for job_id in self.state.constrained_jobs:
            for step in self.state.jobs[job_id].spec.steps:
                if step.required_label:
                    return len(self.state.targets)
                if step.is_lasting and step.max_per_target:
                    spread_targets = -(-step.count // step.max_per_target)
                    min_targets = max(
                        min_targets, spread_targets + max(1, step.max_unavailable)
                    )
        return min_targets

    def update_demand(self) -> None:
        """Update the demand of the waiting tasks that any target may run."""
        for job_id in self.state.uncounted_jobs:
            job = self.state.jobs.get(job_id)
            need = self._waiting_need(job)
            is_blocked = job is not None and job.is_blocked
            self.state.demand.set_need(job_id, need)
            self.state.blocked_demand.set_need(
                job_id, need if is_blocked else Resources()
            )
            self.quota_demand.update_job(job_id, job, need)
            self.state.fairness.count_waiting(job_id, job)
        if self.state.fairness.organisations:
            self.state.unreported_jobs.update(self.state.uncounted_jobs)
        self.state.uncounted_jobs.clear()

    def _waiting_need(self, job: JobView | None) -> Resources:
        """Return what the waiting tasks of a job need that require no label."""
        total = Resources()
        if job is None:
            return total
        for number, step in enumerate(job.spec.steps):
            count = job.count_waiting_of(number)
            if count and not step.required_label:
                total = total.plus(step.counted_need().times(count))
        return total

    def pending_by_queue(self) -> dict[str, int]:
        """Return how many jobs of each queue, by its key, wait for their first start.

        Recurrent jobs are left out.
        """
        counts: dict[str, int] = {}
        for job in self.state.jobs.values():
            if not job.has_started and job.spec.recurrence is None:
                queue = self.queues.routing.queue_key(job.spec.queue_reference())
                counts[queue] = counts.get(queue, 0) + 1
        return counts
