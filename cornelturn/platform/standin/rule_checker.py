"""Checks the scheduling rules from what workers and clients observe alone.

The rules: no run of a job that nobody submitted (UNASKED) or whose every submission was
rejected (REFUSED), no run of a task that is running or whose completion is acknowledged
(TWICE; two runs at a time are allowed, on different workers, where a step may run
copies), no run beyond the capacity of its worker (LIMIT), and none before the steps
that it depends on are complete (ORDER).
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from cornelturn.jobs.model import JobSpec, Resources, Run, StepId, TaskId
from cornelturn.speed.copies import allows_copies


@dataclass(frozen=True, slots=True)
class Violation:
    """A start of a run that broke a rule."""

    rule: str
    run: Run
    worker: str
    at_ms: int


@dataclass(slots=True)
class RuleChecker:
    """Records starts and ends of runs on all workers, and the violations of rules.

    Parameters
    ----------
    jobs : dict
        Jobs that clients have submitted, accepted or not.
    rejected_jobs : set of str
        Jobs of which every submission was rejected.
    workers_by_task : dict
        Workers on which each task runs.
    completed : set of TaskId
        Tasks with a run that ended successfully.
    acknowledged : set of TaskId
        Tasks whose successful end the system has acknowledged.
    """

    jobs: dict[str, JobSpec] = field(default_factory=dict)
    rejected_jobs: set[str] = field(default_factory=set)
    workers_by_task: dict[TaskId, set[str]] = field(default_factory=dict)
    completed: set[TaskId] = field(default_factory=set)
    acknowledged: set[TaskId] = field(default_factory=set)
    start_counts: Counter[TaskId] = field(default_factory=Counter)
    violations: list[Violation] = field(default_factory=list)

    def record_start(
        self, run: Run, worker: str, used: Resources, capacity: Resources, at_ms: int
    ) -> None:
        """Record a start; ``used`` are the resources of all runs on the worker then."""
        task = run.task
        self.start_counts[task] += 1
        job = self.jobs.get(task.job)
        if job is None:
            self._record_violation("UNASKED", run, worker, at_ms)
            return
        if task.job in self.rejected_jobs:
            self._record_violation("REFUSED", run, worker, at_ms)
        workers = self.workers_by_task.get(task, set())
        limit = 2 if allows_copies(job.steps[task.step]) else 1
        if worker in workers or len(workers) >= limit:
            self._record_violation("TWICE", run, worker, at_ms)
        if task in self.acknowledged:
            self._record_violation("TWICE", run, worker, at_ms)
        if not used.fits_in(capacity):
            self._record_violation("LIMIT", run, worker, at_ms)
        for earlier in job.steps[task.step].after:
            step = StepId(task.job, task.occurrence, earlier)
            tasks = (step.task(index) for index in range(job.steps[earlier].count))
            if not all(other in self.completed for other in tasks):
                self._record_violation("ORDER", run, worker, at_ms)
        self.workers_by_task.setdefault(task, set()).add(worker)

    def record_end(self, run: Run, worker: str, is_done: bool) -> None:
        """Record the end of a run."""
        self.workers_by_task.get(run.task, set()).discard(worker)
        if is_done:
            self.completed.add(run.task)

    def record_acknowledgement(self, run: Run, is_done: bool) -> None:
        """Record that the system has acknowledged an end to the worker."""
        if is_done:
            self.acknowledged.add(run.task)

    def _record_violation(self, rule: str, run: Run, worker: str, at_ms: int) -> None:
        self.violations.append(Violation(rule, run, worker, at_ms))
