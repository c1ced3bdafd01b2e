"""What a plan has found out and decided about racks so far."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from cornelturn.jobs.model import StepId, TaskId
from cornelturn.racks.room import RackRoom
from cornelturn.racks.waits import Prospect
from cornelturn.targets.model import TargetLife


@dataclass(slots=True)
class RackPlan:
    """State that holds for one plan.

    Parameters
    ----------
    waited_before : set of StepId
        Steps that waited for a rack in the plan before.
    waiting : set of StepId
        Steps of which tasks, or the gang, wait for a rack.
    claimed : set of TaskId
        Tasks that wait for a rack and have claimed capacity there.
    claims : Counter
        Number of the tasks of a step that have claimed capacity on a target.
    leaving : set of StepId
        Steps of which no more tasks wait for a rack.
    split : set of StepId
        Steps on one rack that run on several already.
    homes : dict
        Racks of the steps on one rack that were tried.
    prospects : dict
        What the steps that may wait lose elsewhere.
    rooms : dict
        Expected capacity of the racks that were asked about.
    """

    waited_before: set[StepId] = field(default_factory=set)
    waiting: set[StepId] = field(default_factory=set)
    claimed: set[TaskId] = field(default_factory=set)
    claims: Counter[tuple[StepId, TargetLife]] = field(default_factory=Counter)
    leaving: set[StepId] = field(default_factory=set)
    split: set[StepId] = field(default_factory=set)
    homes: dict[StepId, str] = field(default_factory=dict)
    prospects: dict[StepId, Prospect] = field(default_factory=dict)
    rooms: dict[str, RackRoom] = field(default_factory=dict)

    def note_claim(self, task: TaskId, life: TargetLife) -> None:
        """Record that a task waits for capacity on a target."""
        self.claimed.add(task)
        self.claims[task.step_id(), life] += 1
