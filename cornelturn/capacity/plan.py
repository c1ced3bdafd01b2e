"""Input and result of a decision on the sizes of pools."""

from __future__ import annotations

from dataclasses import dataclass

from cornelturn.model.upkeep import Machine, MoveOrder
from cornelturn.peering.messages import PoolLoad, TargetLoad


@dataclass(frozen=True, slots=True)
class SizingPlan:
    """Actions that are due now.

    Parameters
    ----------
    moves : tuple of MoveOrder
        Moves of machines that run nothing.
    cordoned : tuple of Machine
        Machines that get no new work because they are to leave their pool.
    """

    moves: tuple[MoveOrder, ...] = ()
    cordoned: tuple[Machine, ...] = ()


@dataclass(frozen=True, slots=True)
class SizingInputs:
    """Input of a decision on the sizes of the pools.

    Parameters
    ----------
    machines : tuple of Machine
        All machines.
    pinned : set of str
        Machines that must not be moved now because their upkeep is due.
    upkeep_draining : set of str
        Machines that are being drained for their upkeep.
    standby : frozenset of str
        Pools whose machines are off.
    pool_loads, target_loads : dict
        Recently reported loads by name; a cordon that may expire counts as none.
    """

    machines: tuple[Machine, ...]
    pinned: set[str]
    upkeep_draining: set[str]
    standby: frozenset[str]
    pool_loads: dict[str, PoolLoad]
    target_loads: dict[str, TargetLoad]
