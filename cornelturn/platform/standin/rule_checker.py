"""Notes what the rules forbid, from what workers and clients see alone."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from cornelturn.jobs.model import JobSpec, Resources, Run, StepId, TaskId


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken rule."""

    rule: str
    run: Run
    worker: str
    at_ms: int


@dataclass(slots=True)
class RuleChecker:
    """Watches all workers.

    Parameters
    ----------
    jobs : dict
        Jobs that clients have sent, accepted or not.
    rejected_jobs : set of str
        Jobs of which every attempt was rejected.
    workers_by_task : dict
        Workers on which each task runs.
    completed : set of TaskId
        Tasks that ended well.
    acknowledged : set of TaskId
        Those whose end the system has taken note of.
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
        """Note a start, with what the worker's runs hold then."""
        task = run.task
        self.start_counts[task] += 1
        job = self.jobs.get(task.job)
        if job is None:
            self._record_violation("UNASKED", run, worker, at_ms)
            return
        if task.job in self.rejected_jobs:
            self._record_violation("REFUSED", run, worker, at_ms)
        if self.workers_by_task.get(task):
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
        """Note an end."""
        self.workers_by_task.get(run.task, set()).discard(worker)
        if is_done:
            self.completed.add(run.task)

    def record_acknowledgement(self, run: Run, is_done: bool) -> None:
        """Note that the system lets a worker forget an end."""
        if is_done:
            self.acknowledged.add(run.task)

    def _record_violation(self, rule: str, run: Run, worker: str, at_ms: int) -> None:
        self.violations.append(Violation(rule, run, worker, at_ms))
