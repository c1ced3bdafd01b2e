"""Availability budget of a pool: how many instances may be out of service."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from cornelturn.model.fleet import Instance, InstanceState, Pool


@dataclass(frozen=True, slots=True)
class BudgetView:
    """Availability budget of a pool and its current use.

    Parameters
    ----------
    pool : Pool
        The pool.
    total : int
        Number of instances of the pool.
    planned : int
        Number of instances that planned work has taken out of service.
    failing : int
        Number of instances that are not running, do not respond or are unknown; they
        use the budget before planned work does.
    """

    pool: Pool
    total: int
    planned: int
    failing: int

    def unavailable(self) -> int:
        """Return how many instances are out of service for any reason."""
        return self.planned + self.failing

    def remaining(self) -> int:
        """Return how many more instances planned work may take out."""
        return max(self.pool.max_unavailable - self.unavailable(), 0)


def measure_budget(
    pool: Pool, instances: list[Instance], is_up: Callable[[str], bool]
) -> BudgetView:
    """Compute the use of the budget of a pool.

    Parameters
    ----------
    pool : Pool
        The pool.
    instances : list of Instance
        Its instances.
    is_up : callable
        Returns whether the platform lists an instance as running; an instance that
        does not respond or is unknown is not up.
    """
    planned = 0
    failing = 0
    for instance in instances:
        if instance.state is not InstanceState.IN_SERVICE:
            planned += 1
        elif not is_up(instance.name):
            failing += 1
    return BudgetView(pool, len(instances), planned, failing)
