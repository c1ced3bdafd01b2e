"""Waiting tasks of each organisation, and the CPU that they need."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field


@dataclass(slots=True)
class WaitingWork:
    """Waiting tasks of organisations, as running totals.

    Parameters
    ----------
    tasks : Counter
        Number of waiting tasks of each organisation.
    cpu : Counter
        CPU that they need, in thousandths of a core.
    by_job : dict
        Organisation, waiting tasks and their CPU of each job that has any.
    """

    tasks: Counter[str] = field(default_factory=Counter)
    cpu: Counter[str] = field(default_factory=Counter)
    by_job: dict[str, tuple[str, int, int]] = field(default_factory=dict)

    def set_job(self, job: str, organisation: str, tasks: int, cpu: int) -> None:
        """Set the number of waiting tasks of a job, and the CPU that they need."""
        self.discard(job)
        if tasks:
            self.by_job[job] = organisation, tasks, cpu
            self.tasks[organisation] += tasks
            self.cpu[organisation] += cpu

    def discard(self, job: str) -> None:
        """Remove a job; one without waiting tasks is ignored."""
        organisation, tasks, cpu = self.by_job.pop(job, ("", 0, 0))
        self.tasks[organisation] -= tasks
        self.cpu[organisation] -= cpu

    def clear(self) -> None:
        """Remove all jobs."""
        self.tasks.clear()
        self.cpu.clear()
        self.by_job.clear()
