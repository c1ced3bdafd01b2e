"""What reports show about the speed of a target."""

from __future__ import annotations

from dataclasses import dataclass

from cornelturn.jobs.model import Run
from cornelturn.targets.model import TargetLife


@dataclass(frozen=True, slots=True)
class CompletedRun:
    """A run that has succeeded, with the time that it took from its start order.

    Parameters
    ----------
    image : str
        Image of its step, empty if it has none.
    declared_ms : int
        Run time that the caller declared, 0 for none.
    """

    run: Run
    target: TargetLife
    took_ms: int
    image: str = ""
    declared_ms: int = 0


@dataclass(frozen=True, slots=True)
class RunningRun:
    """Progress of a run during some time.

    Parameters
    ----------
    gained : int
        Whole percents that it gained.
    elapsed_ms : int
        Time in which it gained them.
    """

    run: Run
    target: TargetLife
    gained: int
    elapsed_ms: int


Observation = CompletedRun | RunningRun
