"""A try to start the tasks of a step, and what kept them from free targets."""

from __future__ import annotations

from dataclasses import dataclass

from cornelturn.jobs.model import Step, StepId
from cornelturn.scheduling.views import JobView
from cornelturn.scheduling.wait_reasons import WaitReason


@dataclass(slots=True)
class StepTry:
    """A try to start the tasks of a step that are waiting.

    A step with none of the three causes found no room, so that none with an equal
    requirement does. Several may hold, for different targets.

    Parameters
    ----------
    is_refused : bool
        Whether a reserved target had room for the step, which would run for too long.
        A shorter step may start there.
    waits_for_faster : bool
        Whether only slow targets were left, which the step does not use. That depends
        on the outlook of its job, so that a step of another one may start there.
    rack_waits : int
        Tasks, or gangs, that wait for a rack. That depends on their run time and on
        what waits for the rack already, so that another step may start elsewhere.
    only_rack : str
        Rack on which a gang is tried, empty for any target.
    """

    job: JobView
    step_id: StepId
    now_ms: int
    is_refused: bool = False
    waits_for_faster: bool = False
    rack_waits: int = 0
    only_rack: str = ""

    def step(self) -> Step:
        """Return the definition of the step."""
        return self.job.spec.steps[self.step_id.step]

    def wait_reason(self) -> WaitReason:
        """Return why the tasks that found no target wait."""
        if self.rack_waits:
            return WaitReason.RACK
        return WaitReason.FASTER_TARGET if self.waits_for_faster else WaitReason.ROOM
