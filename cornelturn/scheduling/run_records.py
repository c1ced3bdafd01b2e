"""Run numbers and checkpoints that tasks keep of the runs which targets report."""

from __future__ import annotations

from cornelturn.jobs.model import Run
from cornelturn.scheduling.run_numbers import last_run_number
from cornelturn.scheduling.views import JobView


def note_run_number(job: JobView, run: Run, generation: int) -> None:
    """Record the number of a run that a target has listed.

    A number beyond those of this owner is not from an owner that it replaces, and is
    left out: the numbers of this owner would else be used up.

    Parameters
    ----------
    generation : int
        Generation of this owner.
    """
    if run.number <= last_run_number(generation):
        task = job.task(run.task)
        task.last_run_number = max(task.last_run_number, run.number)


def note_checkpoint(
    job: JobView, run: Run, value: str, generation: int, has_ended: bool
) -> None:
    """Keep the checkpoint of a run unless a later run has saved one.

    A number beyond those of this owner is left out, as in `note_run_number`: the
    checkpoints of later runs would else be ignored.

    Parameters
    ----------
    value : str
        The checkpoint, empty if the run has saved none.
    generation : int
        Generation of this owner.
    has_ended : bool
        Whether the end of the run names it; one that was reported before does not
        replace one of the same run, as that may be later.
    """
    known = job.checkpoint(run.task).run_number
    is_newer = run.number > known or (has_ended and run.number == known)
    if value and is_newer and run.number <= last_run_number(generation):
        job.set_checkpoint(run, value)
