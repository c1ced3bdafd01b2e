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
class Judge:
    """Watches all workers.

    Parameters
    ----------
    jobs : dict
        Jobs that clients have sent, accepted or not.
    refused : set of str
        Jobs of which every attempt was rejected.
    running : dict
        Workers on which each task runs.
    done : set of TaskId
        Tasks that ended well.
    noted : set of TaskId
        Those whose end the system has taken note of.
    """

    jobs: dict[str, JobSpec] = field(default_factory=dict)
    refused: set[str] = field(default_factory=set)
    running: dict[TaskId, set[str]] = field(default_factory=dict)
    done: set[TaskId] = field(default_factory=set)
    noted: set[TaskId] = field(default_factory=set)
    starts: Counter[TaskId] = field(default_factory=Counter)
    violations: list[Violation] = field(default_factory=list)

    def started(
        self, run: Run, worker: str, used: Resources, capacity: Resources, at_ms: int
    ) -> None:
        """Note a start, with what the worker's runs hold then."""
        task = run.task
        self.starts[task] += 1
        job = self.jobs.get(task.job)
        if job is None:
            self._broken("UNASKED", run, worker, at_ms)
            return
        if task.job in self.refused:
            self._broken("REFUSED", run, worker, at_ms)
        if self.running.get(task):
            self._broken("TWICE", run, worker, at_ms)
        if task in self.noted:
            self._broken("TWICE", run, worker, at_ms)
        if not used.fits_in(capacity):
            self._broken("LIMIT", run, worker, at_ms)
        for before in job.steps[task.step].after:
            step = StepId(task.job, task.occurrence, before)
            tasks = (step.task(index) for index in range(job.steps[before].count))
            if not all(one in self.done for one in tasks):
                self._broken("ORDER", run, worker, at_ms)
        self.running.setdefault(task, set()).add(worker)

    def ended(self, run: Run, worker: str, is_done: bool) -> None:
        """Note an end."""
        self.running.get(run.task, set()).discard(worker)
        if is_done:
            self.done.add(run.task)

    def took_note(self, run: Run, is_done: bool) -> None:
        """Note that the system lets a worker forget an end."""
        if is_done:
            self.noted.add(run.task)

    def _broken(self, rule: str, run: Run, worker: str, at_ms: int) -> None:
        self.violations.append(Violation(rule, run, worker, at_ms))
