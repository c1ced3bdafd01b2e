"""Run times of the tasks of each queue, learnt from those that ended.

Declared run times may be far off. Of each queue the owner learns how the logarithm of
the true run time goes with that of the declared one; until tasks have ended, what is
declared counts.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import exp, log

from cornelturn.jobs.model import JobSpec, Step

PRIOR_STEPS = 4.0
"""Steps that must have ended before what is learnt outweighs what is declared."""

MEMORY_STEPS = 200.0
"""Steps after which what was learnt has faded to a third."""


@dataclass(slots=True)
class RunTimeFit:
    """A line through the logarithms of declared and true run times.

    The error of what is declared is the true logarithm less the declared one.

    Parameters
    ----------
    weight : float
        Steps seen, older ones faded.
    declared, error : float
        Weighted means.
    declared_variance, covariance : float
        Weighted mean squares about the means.
    """

    weight: float = 0.0
    declared: float = 0.0
    error: float = 0.0
    declared_variance: float = 0.0
    covariance: float = 0.0

    def add(self, declared_ms: int, run_ms: int, weight: float) -> None:
        """Take in a run that ended.

        Parameters
        ----------
        weight : float
            Share of the run in its step.
        """
        declared = log(max(1, declared_ms))
        error = log(max(1, run_ms)) - declared
        self.weight = self.weight * (1 - weight / MEMORY_STEPS) + weight
        part = weight / self.weight
        from_declared = declared - self.declared
        from_error = error - self.error
        self.declared += part * from_declared
        self.error += part * from_error
        kept = 1 - part
        self.declared_variance = kept * (
            self.declared_variance + part * from_declared**2
        )
        self.covariance = kept * (self.covariance + part * from_declared * from_error)

    def expected_ms(self, declared_ms: int) -> int:
        """Return the run time to expect of a task."""
        trust = self.weight / (self.weight + PRIOR_STEPS)
        declared = log(max(1, declared_ms))
        slope = 0.0
        if self.declared_variance > 0:
            slope = self.covariance / self.declared_variance
        error = self.error + slope * (declared - self.declared)
        return round(exp(declared + trust * error))


@dataclass(slots=True)
class RunTimes:
    """What is learnt of each queue."""

    fits: dict[str, RunTimeFit] = field(default_factory=dict)

    def ended(self, queue: str, step: Step, run_ms: int) -> None:
        """Take in a run of a step that ended well."""
        fit = self.fits.setdefault(queue, RunTimeFit())
        fit.add(step.estimated_ms, run_ms, 1 / step.count)

    def of_steps(self, spec: JobSpec) -> tuple[int, ...]:
        """Return the run times to expect of the tasks of each step of a job."""
        fit = self.fits.get(spec.queue)
        declared = (step.estimated_ms for step in spec.steps)
        if fit is None:
            return tuple(declared)
        return tuple(fit.expected_ms(one) for one in declared)
