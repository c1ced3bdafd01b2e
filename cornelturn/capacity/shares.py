"""Division of machines among pools that demand more than there are."""

from __future__ import annotations

from cornelturn.model.upkeep import Machine, MoveOrder


def fair_sizes(
    demanded: dict[str, int], base_sizes: dict[str, int], total: int
) -> dict[str, int]:
    """Divide machines by the base sizes of the pools, up to the demand of each.

    Parameters
    ----------
    demanded : dict
        Number of machines that each pool could use.
    base_sizes : dict
        Machines of each pool at ordinary demand.
    total : int
        Number of machines available.
    """
    fair: dict[str, int] = {}
    remaining = total
    unsatisfied = dict(demanded)
    while unsatisfied:
        weights = {pool: max(1, base_sizes.get(pool, 1)) for pool in unsatisfied}
        share = remaining / sum(weights.values())
        satisfied = [
            pool for pool in unsatisfied if unsatisfied[pool] <= share * weights[pool]
        ]
        if not satisfied:
            return fair | {pool: int(share * weights[pool]) for pool in unsatisfied}
        for pool in satisfied:
            fair[pool] = unsatisfied.pop(pool)
            remaining -= fair[pool]
    return fair


def assign_machines(
    shortages: dict[str, int], machines: list[Machine]
) -> list[MoveOrder]:
    """Return moves of machines to pools with a shortage, the largest shortage first.

    Parameters
    ----------
    shortages : dict
        Number of machines that each pool is short of; reduced by those assigned.
    machines : list of Machine
        Machines that may be moved; those assigned are removed from the list.
    """
    moves: list[MoveOrder] = []
    for pool in sorted(shortages, key=lambda pool: (-shortages[pool], pool)):
        count = min(shortages[pool], len(machines))
        moves += [MoveOrder(machine, pool) for machine in machines[:count]]
        del machines[:count]
        shortages[pool] -= count
    return moves
