"""Sort keys and capacity requirements of waiting steps."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from cornelturn.fairness.shares import JobPhase
from cornelturn.jobs.model import Resources, Step, StepId
from cornelturn.scheduling.outlooks import Outlook, Outlooks


class StartKey(NamedTuple):
    """Sort key of a waiting step in the start order.

    Parameters
    ----------
    outlook : Outlook
        Outlook of the occurrence; the best one for a lasting step.
    remaining_work : int
        Remaining work of the job, in thousandths of a core times milliseconds: that of
        its occurrences on time for one of these, of all for others; 0 for a lasting
        step.
    """

    priority: int
    outlook: Outlook
    remaining_work: int
    job: str
    occurrence: int
    step: int

    def step_id(self) -> StepId:
        """Return the step."""
        return StepId(self.job, self.occurrence, self.step)


@dataclass(frozen=True, slots=True)
class CapacityRequirement:
    """Requirements that decide whether a step fits; steps with equal ones fit alike.

    Parameters
    ----------
    gang_size : int
        Number of tasks that must fit together, 0 if each may start by itself.
    spread_step : StepId or None
        The step, if its own tasks or approvals limit where more of them may start.
    """

    need: Resources
    required_label: str = ""
    gang_size: int = 0
    spread_step: StepId | None = None


def capacity_requirement(
    step_id: StepId, step: Step, needs_approval: bool = False
) -> CapacityRequirement:
    """Return the capacity requirement of a step.

    A step that needs approval has one of its own: it may find no approved target where
    another step finds room.
    """
    return CapacityRequirement(
        step.counted_need(),
        step.required_label,
        step.count if step.is_gang else 0,
        step_id if step.max_per_target or needs_approval else None,
    )


class StartHead(NamedTuple):
    """A waiting step with its requirement; in a pass, the first untried one with it.

    Parameters
    ----------
    run_ms : int
        Declared run time of its tasks; not known in a pass.
    """

    key: StartKey
    requirement: CapacityRequirement
    run_ms: int = 0


class JobRank(NamedTuple):
    """The part of the start keys that is equal for the batch steps of a job.

    Parameters
    ----------
    work_on_time : int
        Remaining work of the occurrences that can be on time.
    is_beyond_rate, phase : bool, JobPhase
        What the place of the steps among those of other organisations depends on.
    """

    priority: int
    outlooks: Outlooks
    work_on_time: int
    remaining_work: int
    is_beyond_rate: bool = False
    phase: JobPhase = JobPhase.NEW

    def start_key(self, step_id: StepId, is_lasting: bool) -> StartKey:
        """Return the key of a step."""
        outlook, work = Outlook.ON_TIME, 0
        if not is_lasting:
            outlook = self.outlooks.of(step_id.occurrence)
            is_on_time = outlook is Outlook.ON_TIME
            work = self.work_on_time if is_on_time else self.remaining_work
            if self.phase is JobPhase.STARVED:
                outlook = Outlook.ON_TIME
        return StartKey(
            self.priority,
            outlook,
            work,
            step_id.job,
            step_id.occurrence,
            step_id.step,
        )
