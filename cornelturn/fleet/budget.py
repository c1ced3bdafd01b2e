"""The availability budget of a pool."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from cornelturn.model.fleet import Instance, InstanceState, Pool


@dataclass(frozen=True, slots=True)
class BudgetView:
    """The budget of a pool and what uses it now.

    Parameters
    ----------
    pool : Pool
        The pool.
    total : int
        Instances of the pool.
    planned : int
        Instances that planned work has taken out.
    failing : int
        Instances that failed, are silent or unknown; they count first.
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
    """Return how the budget of a pool stands.

    Parameters
    ----------
    pool : Pool
        The pool.
    instances : list of Instance
        Its instances.
    is_up : callable
        Tells whether the platform lists an instance as running; silent and
        unknown instances are not up.
    """
    planned = 0
    failing = 0
    for instance in instances:
        if instance.state is not InstanceState.IN_SERVICE:
            planned += 1
        elif not is_up(instance.name):
            failing += 1
    return BudgetView(pool, len(instances), planned, failing)
