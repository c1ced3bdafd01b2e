"""Machines that are being moved to another pool, and those that must not be moved."""

from __future__ import annotations

from dataclasses import dataclass, field

from cornelturn.capacity.plan import SizingInputs
from cornelturn.model.upkeep import Machine, MoveOrder

MOVE_TIMEOUT_MS = 6_000
"""Time after which a move whose machine has not appeared is given up."""

REFUSED_MOVE_RETRY_MS = 2_000
"""Pause before another move of a machine whose move was refused."""


@dataclass(slots=True)
class MachineTransits:
    """Moves that were ordered and have not ended, and moves that were refused.

    Parameters
    ----------
    in_transit : dict
        Machines that are being moved, with their new pool and the time of the order.
    blocked_until_ms : dict
        Time until which a machine must not be moved, after a refused move.
    """

    in_transit: dict[str, tuple[str, int]] = field(default_factory=dict)
    blocked_until_ms: dict[str, int] = field(default_factory=dict)

    def record_move(self, move: MoveOrder, now_ms: int) -> None:
        """Record that a machine is being moved, or that it may be."""
        self.in_transit[move.machine.name] = (move.pool, now_ms)

    def record_refusal(self, machine: str, now_ms: int) -> None:
        """Record that a machine was not moved, and block it for a while."""
        self.in_transit.pop(machine, None)
        self.blocked_until_ms[machine] = now_ms + REFUSED_MOVE_RETRY_MS

    def discard_finished(self, inputs: SizingInputs, now_ms: int) -> None:
        """Discard moves that have ended and those that have timed out."""
        machine_by_name = {machine.name: machine for machine in inputs.machines}
        for name, (pool, ordered_ms) in list(self.in_transit.items()):
            machine = machine_by_name.get(name)
            has_arrived = (
                machine is not None
                and machine.pool == pool
                and (machine.target in inputs.target_loads or pool in inputs.standby)
            )
            if has_arrived or now_ms - ordered_ms > MOVE_TIMEOUT_MS:
                del self.in_transit[name]

    def unconfirmed(self, inputs: SizingInputs) -> list[Machine]:
        """Return machines still listed in their old pool whose move may yet happen."""
        return [
            machine
            for machine in inputs.machines
            if machine.name in self.in_transit
            and machine.target
            and machine.pool != self.in_transit[machine.name][0]
        ]

    def count(self, pool: str) -> int:
        """Return how many machines are in transit to a pool."""
        return sum(1 for new_pool, _ in self.in_transit.values() if new_pool == pool)

    def is_movable(self, inputs: SizingInputs, machine: Machine, now_ms: int) -> bool:
        """Return whether a machine may be moved now."""
        return (
            machine.name not in inputs.pinned
            and machine.name not in self.in_transit
            and self.blocked_until_ms.get(machine.name, 0) <= now_ms
        )
