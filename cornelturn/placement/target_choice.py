"""Choice of a target for a task by comparison of all candidates."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from cornelturn.jobs.model import Resources, Step


@dataclass(frozen=True, slots=True)
class Candidate:
    """A target that may get a task.

    Parameters
    ----------
    name : str
        Name of the target.
    free : Resources
        Capacity that is not in use or reserved.
    same_step_tasks : int
        Tasks of the same step on the target.
    is_avoided : bool
        Whether another target is preferred, for example after a failure there.
    """

    name: str
    rack: str
    labels: frozenset[str]
    free: Resources
    same_step_tasks: int = 0
    is_avoided: bool = False


def choose_target(step: Step, candidates: Iterable[Candidate]) -> str | None:
    """Return the name of the best target for a task, None if it fits on none.

    Batch tasks go to the fullest target on which they fit, so that other targets keep
    capacity for large tasks. Lasting tasks go to the target with the fewest tasks of
    the same step, then to the emptiest, so that a lost target takes few of them.
    """
    need = step.counted_need()
    fitting = [candidate for candidate in candidates if _fits(step, need, candidate)]
    if not fitting:
        return None
    if step.is_lasting:
        return min(fitting, key=_lasting_order).name
    return min(fitting, key=lambda candidate: _batch_order(step, candidate)).name


def _fits(step: Step, need: Resources, candidate: Candidate) -> bool:
    if step.required_label and step.required_label not in candidate.labels:
        return False
    if step.max_per_target and candidate.same_step_tasks >= step.max_per_target:
        return False
    return need.fits_in(candidate.free)


def _lasting_order(candidate: Candidate) -> tuple[bool, int, int, str]:
    return (
        candidate.is_avoided,
        candidate.same_step_tasks,
        -candidate.free.cpu,
        candidate.name,
    )


def _batch_order(step: Step, candidate: Candidate) -> tuple[bool, bool, int, str]:
    is_far = bool(step.near_rack) and step.near_rack not in candidate.labels
    return candidate.is_avoided, is_far, candidate.free.cpu, candidate.name
