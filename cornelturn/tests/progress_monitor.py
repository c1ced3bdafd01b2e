"""Measures from outside a fleet how long accepted work is stalled."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from cornelturn.jobs.model import JobSpec, StepId, TaskId
from cornelturn.platform.standin.worker import WorkerStandin
from cornelturn.tests.job_fleet import JobFleet

CHECK_INTERVAL_S = 0.2
MAX_STALL_MS = 3_000
"""How long work may stall although its pool has free workers."""

MAX_LASTING_PAUSE_MS = 6_000
"""Time for which a lasting task may pause after a run; `MAX_STALL_MS` is added."""

RECOVERY_MS = 4_000
"""Time to recover after the last fault, before stalls of lasting tasks count."""


@dataclass(frozen=True)
class Stall:
    """Work that did not progress although its pool had free workers.

    Parameters
    ----------
    work : str
        Id of the job or of the lasting task.
    """

    work: str
    pool: str
    since_ms: int
    duration_ms: int


@dataclass(repr=False)
class ProgressMonitor:
    """Measures from outside the fleet how long accepted work is stalled.

    Parameters
    ----------
    accepted : dict
        Pool of each job that was accepted.
    fault_free_since_ms : int, optional
        Since when no trouble is active, None while one is.
    is_finishing : bool
        Whether stalls of jobs count as violations from now on.
    stalled_since_ms : dict
        Since when each job or lasting task is stalled.
    longest_stalls : dict
        The longest stall of each, whether or not it is a violation.
    """

    fleet: JobFleet
    accepted: dict[str, str] = field(default_factory=dict)
    fault_free_since_ms: int | None = 0
    is_finishing: bool = False
    finishing_since_ms: int = 0
    stalled_since_ms: dict[str, int] = field(default_factory=dict)
    last_run_ms: dict[TaskId, int] = field(default_factory=dict)
    longest_stalls: dict[str, Stall] = field(default_factory=dict)
    violations: dict[str, Stall] = field(default_factory=dict)

    async def run(self) -> None:
        """Check all jobs periodically until cancelled."""
        while True:
            self.check()
            await asyncio.sleep(CHECK_INTERVAL_S)

    def check(self) -> None:
        """Check all accepted jobs once."""
        now_ms = self.fleet.now_ms()
        for job, pool in self.accepted.items():
            spec = self.fleet.checker.jobs[job]
            if spec.steps[0].is_lasting:
                self._check_lasting_job(spec, pool, now_ms)
            else:
                self._check_job(spec, pool, now_ms)

    def _check_job(self, spec: JobSpec, pool: str, now_ms: int) -> None:
        waiting = [
            task for task in self._unfinished_tasks(spec) if not self._is_running(task)
        ]
        tasks = self._tasks(spec)
        is_stalled = bool(waiting) and not any(self._is_running(task) for task in tasks)
        start_ms = self._track_stall(
            spec.id, pool, is_stalled and self._has_free_workers(pool), now_ms
        )
        if start_ms is None or not self.is_finishing:
            return
        since_ms = max(start_ms, self.finishing_since_ms)
        if now_ms - since_ms > MAX_STALL_MS:
            self._record_violation(spec.id, pool, start_ms, now_ms)

    def _check_lasting_job(self, spec: JobSpec, pool: str, now_ms: int) -> None:
        for task in self._tasks(spec):
            if self._is_running(task):
                self.last_run_ms[task] = now_ms
            is_stalled = not self._is_running(task) and self._has_free_workers(pool)
            start_ms = self._track_stall(str(task), pool, is_stalled, now_ms)
            if start_ms is None or self.fault_free_since_ms is None:
                continue
            since_ms = max(
                start_ms,
                self.fault_free_since_ms + RECOVERY_MS,
                self.last_run_ms.get(task, 0) + MAX_LASTING_PAUSE_MS,
            )
            if now_ms - since_ms > MAX_STALL_MS:
                self._record_violation(str(task), pool, start_ms, now_ms)

    def _track_stall(
        self, work: str, pool: str, is_stalled: bool, now_ms: int
    ) -> int | None:
        """Record whether work is stalled; return since when, None if it is not."""
        if not is_stalled:
            self.stalled_since_ms.pop(work, None)
            return None
        start_ms = self.stalled_since_ms.setdefault(work, now_ms)
        previous = self.longest_stalls.get(work)
        if previous is None or now_ms - start_ms > previous.duration_ms:
            self.longest_stalls[work] = Stall(work, pool, start_ms, now_ms - start_ms)
        return start_ms

    def _record_violation(
        self, work: str, pool: str, start_ms: int, now_ms: int
    ) -> None:
        self.violations[work] = Stall(work, pool, start_ms, now_ms - start_ms)

    def _tasks(self, spec: JobSpec) -> list[TaskId]:
        return [
            StepId(spec.id, 0, number).task(index)
            for number, step in enumerate(spec.steps)
            for index in range(step.count)
        ]

    def _unfinished_tasks(self, spec: JobSpec) -> list[TaskId]:
        """Return the uncompleted tasks of the first step that has any."""
        done = self.fleet.checker.completed
        open_tasks = []
        for number, step in enumerate(spec.steps):
            tasks = [
                StepId(spec.id, 0, number).task(index) for index in range(step.count)
            ]
            open_tasks += [task for task in tasks if task not in done]
            if open_tasks:
                break
        return open_tasks

    def _is_running(self, task: TaskId) -> bool:
        return bool(self.fleet.checker.workers_by_task.get(task))

    def _has_free_workers(self, pool: str) -> bool:
        """Return whether at least two healthy workers of a pool have free CPU."""
        workers = self.fleet.workers.values()
        free_workers = [
            worker
            for worker in workers
            if worker.service == pool and self._has_free_cpu(worker)
        ]
        return len(free_workers) > 1

    def _has_free_cpu(self, worker: WorkerStandin) -> bool:
        if (
            worker.has_crashed
            or worker.start_delay_ms
            or self.fleet.is_isolated(worker.name)
        ):
            return False
        used = sum(run.need.cpu for run in worker.runs.values())
        return used + 1_000 <= worker.capacity.cpu
