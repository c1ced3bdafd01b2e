"""CPU that the waiting tasks of each organisation need."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field


@dataclass(slots=True)
class WaitingCpu:
    """Waiting CPU of organisations, as running totals in thousandths of a core.

    Parameters
    ----------
    totals : Counter
        Waiting CPU of each organisation.
    by_job : dict
        Organisation and waiting CPU of each job that has any.
    """

    totals: Counter[str] = field(default_factory=Counter)
    by_job: dict[str, tuple[str, int]] = field(default_factory=dict)

    def set_cpu(self, job: str, organisation: str, cpu: int) -> None:
        """Set what the waiting tasks of a job need."""
        self.discard(job)
        if cpu:
            self.by_job[job] = organisation, cpu
            self.totals[organisation] += cpu

    def discard(self, job: str) -> None:
        """Remove a job; one without waiting tasks is ignored."""
        organisation, cpu = self.by_job.pop(job, ("", 0))
        self.totals[organisation] -= cpu

    def clear(self) -> None:
        """Remove all jobs."""
        self.totals.clear()
        self.by_job.clear()
