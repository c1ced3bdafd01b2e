"""Dominant shares of organisations, relative to their weights.

The dominant share of an organisation is the largest of its shares of the pool's
processors, memory and accelerators (Ghodsi et al., NSDI 2011).
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable
from dataclasses import dataclass, field
from enum import IntEnum, auto

from cornelturn.jobs.model import Resources
from cornelturn.model.organisations import Organisation
from cornelturn.scheduling.usage import OrganisationUsage

MIN_WEIGHT = 0.001
"""Weight in place of a lower one, so that shares stay finite."""

MAX_BEGUN_SHARE = 2.0
"""Multiple of its guaranteed share up to which an organisation goes on with jobs that
are partly done before the jobs of others start. Their next step is mostly wider than
what is left of the share, and waiting for that makes them late."""

MAX_STEP_SHARE = 2.0
"""Multiple of the guaranteed share that a step may need as a whole to precede others by
its remaining work. Wider steps share the pool by weight, whatever the work is."""


class JobPhase(IntEnum):
    """Phase of a job with waiting steps, as far as the order depends on it.

    A job is `PARTLY_DONE` once a task of it is done: tasks that only started may be
    stopped and wait again without end. `STARVED` is a late job of an organisation
    without starts (`StarvationCheck`).
    """

    NEW = auto()
    PARTLY_DONE = auto()
    STARVED = auto()


class Standing(IntEnum):
    """Standing of a step among those of all organisations, the first to start first."""

    BEGUN = auto()
    BELOW_SHARE = auto()
    BY_SHARE = auto()


def dominant_share(held: Resources, capacity: Resources) -> float:
    """Return the largest share of any resource; those that a pool lacks are left out.

    Targets that do not answer have no capacity but keep their runs, so that a share
    may exceed 1.
    """
    share = 0.0
    if capacity.cpu > 0:
        share = held.cpu / capacity.cpu
    if capacity.mem_mb > 0:
        share = max(share, held.mem_mb / capacity.mem_mb)
    if capacity.gpu > 0:
        share = max(share, held.gpu / capacity.gpu)
    return share


@dataclass(slots=True)
class Weights:
    """Weights of the configured organisations.

    An organisation that is not configured has the mean weight, and so have the jobs
    without an organisation.

    Parameters
    ----------
    total : float
        Weights of all organisations, with the jobs that have none as one more.
    """

    by_name: dict[str, float] = field(default_factory=dict)
    mean: float = 1.0
    total: float = 2.0

    @classmethod
    def from_organisations(cls, organisations: Iterable[Organisation]) -> Weights:
        """Return the weights that a configuration defines."""
        by_name = {item.name: item.weight for item in organisations}
        mean = sum(by_name.values()) / len(by_name) if by_name else 1.0
        return cls(by_name, mean, sum(by_name.values()) + mean)

    def of(self, organisation: str) -> float:
        """Return the weight of an organisation."""
        return self.by_name.get(organisation, self.mean)

    def guaranteed(self, organisation: str) -> float:
        """Return the part of a full pool that an organisation may always have."""
        return max(self.of(organisation), MIN_WEIGHT) / self.total


@dataclass(slots=True)
class PoolCapacity:
    """Capacity of the targets that may get tasks, kept as a running total.

    Parameters
    ----------
    number : int
        Counts the changes of the total.
    """

    total: Resources = field(default_factory=Resources)
    by_target: dict[Hashable, Resources] = field(default_factory=dict)
    number: int = 0

    def put(self, target: Hashable, capacity: Resources) -> None:
        """Set the capacity of a target."""
        previous = self.by_target.get(target)
        if previous is capacity:
            return
        self.by_target[target] = capacity
        if previous != capacity:
            self._change(previous or Resources(), capacity)

    def discard(self, target: Hashable) -> None:
        """Remove a target; one that is not counted is ignored."""
        previous = self.by_target.pop(target, None)
        if previous is not None:
            self._change(previous, Resources())

    def clear(self) -> None:
        """Remove all targets."""
        for target in tuple(self.by_target):
            self.discard(target)

    def _change(self, previous: Resources, capacity: Resources) -> None:
        self.total = self.total.minus(previous).plus(capacity)
        self.number += 1


@dataclass(slots=True)
class FairShares:
    """Dominant shares of the organisations in one pool, divided by their weights."""

    usage: OrganisationUsage
    capacity: PoolCapacity = field(default_factory=PoolCapacity)
    weights: Weights = field(default_factory=Weights)

    def dominant(self, organisation: str) -> float:
        """Return the dominant share of an organisation."""
        return dominant_share(self.usage.of(organisation), self.capacity.total)

    def rank(
        self,
        organisation: str,
        phase: JobPhase,
        step_need: Resources,
        counted: Resources | None = None,
    ) -> tuple[Standing, float]:
        """Return the rank of a step among those of all organisations, lowest first.

        Steps of equal rank start in the order of their keys. All shares here are
        relative to the guaranteed one, which is the part of the pool that the weight
        is of all weights.

        Parameters
        ----------
        step_need : Resources
            Resources of all tasks of the step.
        counted : Resources or None
            Resources that count as held in addition to those that are.
        """
        held = self.usage.of(organisation)
        if counted is not None:
            held = held.plus(counted)
        capacity = self.capacity.total
        guaranteed = self.weights.guaranteed(organisation)
        share = dominant_share(held, capacity) / guaranteed
        step_share = dominant_share(step_need, capacity) / guaranteed
        is_narrow = step_share <= MAX_STEP_SHARE
        match phase:
            case JobPhase.STARVED:
                return Standing.BEGUN, 0.0
            case JobPhase.PARTLY_DONE if is_narrow and share < MAX_BEGUN_SHARE:
                return Standing.BEGUN, 0.0
            case JobPhase.NEW if is_narrow and share < 1:
                return Standing.BELOW_SHARE, 0.0
        return Standing.BY_SHARE, share
