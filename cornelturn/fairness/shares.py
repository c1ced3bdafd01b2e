"""Dominant shares of organisations, relative to their weights.

The dominant share of an organisation is the largest of its shares of the pool's
processors, memory and accelerators (Ghodsi et al., NSDI 2011).
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable
from dataclasses import dataclass, field

from cornelturn.jobs.model import Resources
from cornelturn.model.organisations import Organisation
from cornelturn.scheduling.usage import OrganisationUsage

MIN_WEIGHT = 0.001
"""Weight in place of a lower one, so that shares stay finite."""


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
    """

    by_name: dict[str, float] = field(default_factory=dict)
    mean: float = 1.0

    @classmethod
    def from_organisations(cls, organisations: Iterable[Organisation]) -> Weights:
        """Return the weights that a configuration defines."""
        by_name = {item.name: item.weight for item in organisations}
        mean = sum(by_name.values()) / len(by_name) if by_name else 1.0
        return cls(by_name, mean)

    def of(self, organisation: str) -> float:
        """Return the weight of an organisation."""
        return self.by_name.get(organisation, self.mean)


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

    def weighted(self, organisation: str, more: Resources | None = None) -> float:
        """Return the dominant share divided by the weight.

        Parameters
        ----------
        more : Resources or None
            Resources that count in addition to those that it holds.
        """
        held = self.usage.of(organisation)
        if more is not None:
            held = held.plus(more)
        weight = max(self.weights.of(organisation), MIN_WEIGHT)
        return dominant_share(held, self.capacity.total) / weight
