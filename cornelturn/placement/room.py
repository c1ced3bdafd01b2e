"""Room on the targets of a pool, and the choice of one of them."""

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
        Capacity that nothing holds.
    of_step : int
        Tasks of the same step that it has.
    is_avoided : bool
        Whether another target is preferred, for example after a failure there.
    """

    name: str
    rack: str
    labels: frozenset[str]
    free: Resources
    of_step: int = 0
    is_avoided: bool = False


def choose_target(step: Step, candidates: Iterable[Candidate]) -> str | None:
    """Return the name of the best target for a task, None if none has room.

    Batch tasks fill the fullest target that has room, so that large tasks find
    room elsewhere. Lasting tasks go to the target that has the fewest of their
    step, and then to the emptiest, so that few are lost together.
    """
    need = step.counted_need()
    fitting = [one for one in candidates if _fits(step, need, one)]
    if not fitting:
        return None
    if step.is_lasting:
        return min(fitting, key=_lasting_order).name
    return min(fitting, key=lambda one: _batch_order(step, one)).name


def _fits(step: Step, need: Resources, one: Candidate) -> bool:
    if step.required_label and step.required_label not in one.labels:
        return False
    if step.max_per_target and one.of_step >= step.max_per_target:
        return False
    return need.fits_in(one.free)


def _lasting_order(one: Candidate) -> tuple[bool, int, int, str]:
    return one.is_avoided, one.of_step, -one.free.cpu, one.name


def _batch_order(step: Step, one: Candidate) -> tuple[bool, bool, int, str]:
    is_far = bool(step.near_rack) and step.near_rack not in one.labels
    return one.is_avoided, is_far, one.free.cpu, one.name
