"""Which targets have filling runs beside serving runs."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from cornelturn.jobs.model import Run, Step
from cornelturn.targets.model import TargetLife


@dataclass(frozen=True, slots=True)
class ServingRun:
    """A run that serves users within a limit of its tail latency."""

    image: str
    limit_ms: int


@dataclass(frozen=True, slots=True)
class FillingRun:
    """A run that uses processor time that others leave idle.

    Parameters
    ----------
    cpu : int
        Thousandths of a core that it uses at its full pace.
    """

    image: str
    cpu: int


def is_serving(step: Step) -> bool:
    """Return whether the tasks of a step have a limit that filling work may exceed."""
    return step.is_lasting and step.tail_limit_ms > 0 and not step.is_filling


@dataclass(slots=True)
class Neighbours:
    """Index of the serving and filling runs of each target.

    Parameters
    ----------
    filling_cpu : dict
        Processor need of the filling runs of each target.
    due : dict
        Targets with a filling run whose runs have changed, or that have reported, since
        they were last taken, in that order.
    has_serving_steps : bool
        Whether a job with a serving step is or was in the pool; before that, nothing
        has set the pace of a run.
    """

    serving: dict[TargetLife, dict[Run, ServingRun]] = field(default_factory=dict)
    filling: dict[TargetLife, dict[Run, FillingRun]] = field(default_factory=dict)
    filling_cpu: Counter[TargetLife] = field(default_factory=Counter)
    due: dict[TargetLife, None] = field(default_factory=dict)
    has_serving_steps: bool = False

    def note_steps(self, steps: Iterable[Step]) -> None:
        """Record the steps of a job, whether it is finished or not."""
        if not self.has_serving_steps and any(map(is_serving, steps)):
            self.has_serving_steps = True
            self.due.update(dict.fromkeys(self.filling))

    def add(self, life: TargetLife, run: Run, step: Step) -> None:
        """Add a run that a target has or may have."""
        if step.is_filling:
            runs = self.filling.setdefault(life, {})
            runs[run] = FillingRun(step.image, step.need.cpu)
            self.filling_cpu[life] += step.need.cpu
        elif is_serving(step):
            served = self.serving.setdefault(life, {})
            served[run] = ServingRun(step.image, step.tail_limit_ms)
        else:
            return
        self.note_change(life)

    def discard(self, life: TargetLife, run: Run) -> None:
        """Remove a run; one that is not in the index is ignored."""
        filling = self.filling.get(life, {})
        if run in filling:
            self.filling_cpu[life] -= filling[run].cpu
        for runs_by_life in (self.serving, self.filling):
            runs = runs_by_life.get(life)
            if runs is not None and runs.pop(run, None) is not None:
                self.due[life] = None
                if not runs:
                    del runs_by_life[life]
        if life not in self.filling:
            self.filling_cpu.pop(life, None)

    def note_change(self, life: TargetLife) -> None:
        """Record that there is something new about a target."""
        if life in self.filling:
            self.due[life] = None

    def take_due(self) -> list[TargetLife]:
        """Return the targets that are due, and start anew."""
        due, self.due = list(self.due), {}
        return due

    def is_shared(self, life: TargetLife) -> bool:
        """Return whether a target has filling runs beside serving runs."""
        return life in self.filling and life in self.serving
