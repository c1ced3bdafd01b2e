"""What a plan has found out and decided about racks so far."""

from __future__ import annotations

from dataclasses import dataclass, field

from cornelturn.jobs.model import StepId, TaskId
from cornelturn.racks.room import RackRoom
from cornelturn.racks.waits import Prospect


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
    leaving: set[StepId] = field(default_factory=set)
    split: set[StepId] = field(default_factory=set)
    homes: dict[StepId, str] = field(default_factory=dict)
    prospects: dict[StepId, Prospect] = field(default_factory=dict)
    rooms: dict[str, RackRoom] = field(default_factory=dict)
