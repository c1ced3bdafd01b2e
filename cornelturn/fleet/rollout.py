"""Decisions of a wave of upkeep: which machines to empty, and which to take down.

Machines that run nothing go first, pools that keep the most targets in service
next. `max_down` bounds the machines that are down for the wave at a time.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from cornelturn.capacity.sizing import TargetUse
from cornelturn.fleet.machines import MachineResult
from cornelturn.model.upkeep import Machine, MachineState, UpkeepWave

RETURN_LIMIT_MS = 15_000
"""Time after which a machine that did not come back counts as lost, not as down."""


@dataclass(slots=True)
class Rollout:
    """One wave.

    Parameters
    ----------
    begun : dict
        When the upkeep of a machine began.
    back : set of str
        Machines whose upkeep is over.
    gone : set of str
        Machines that no longer exist.
    doubtful : set of str
        Machines whose order was not answered; it may still be carried out.
    """

    wave: UpkeepWave
    begun: dict[str, int] = field(default_factory=dict)
    back: set[str] = field(default_factory=set)
    gone: set[str] = field(default_factory=set)
    doubtful: set[str] = field(default_factory=set)

    def is_completed(self) -> bool:
        """Return whether every machine that stays has begun its upkeep."""
        return all(one in self.begun or one in self.gone for one in self.wave.machines)

    def observe(self, machines: dict[str, Machine], now_ms: int) -> None:
        """Take in the list of machines."""
        for name in self.wave.machines:
            machine = machines.get(name)
            if machine is None:
                self.gone.add(name)
                continue
            self.gone.discard(name)
            if name not in self.begun or name in self.back:
                continue
            if machine.state is MachineState.UP and machine.target:
                self.back.add(name)

    def down(self, now_ms: int) -> int:
        """Return how many machines are or may be down for the wave."""
        down = {
            name
            for name, begun_ms in self.begun.items()
            if name not in self.back and now_ms - begun_ms < RETURN_LIMIT_MS
        }
        return len(down | self.doubtful)

    def to_empty(
        self,
        machines: dict[str, Machine],
        uses: dict[str, TargetUse],
        now_ms: int,
    ) -> list[Machine]:
        """Return the machines that are to be emptied now, at most `max_down`.

        Half of a pool goes on, so that tasks which must last find a place there.
        """
        room = self.wave.max_down - self.down(now_ms)
        waiting = [
            machines[name]
            for name in self.wave.machines
            if name in machines
            and name not in self.begun
            and machines[name].state is MachineState.UP
        ]
        waiting.sort(key=lambda one: self._order(one, uses))
        allowance = pool_allowance(machines)
        chosen: list[Machine] = []
        for machine in waiting:
            if len(chosen) < room and allowance[machine.pool] > 0:
                allowance[machine.pool] -= 1
                chosen.append(machine)
        return chosen

    def settle(self, machine: str, result: MachineResult, now_ms: int) -> None:
        """Take in the answer to an order for upkeep."""
        match result:
            case MachineResult.DONE:
                self.begun[machine] = now_ms
                self.doubtful.discard(machine)
            case MachineResult.NO_SUCH_MACHINE | MachineResult.NOT_IN_WAVE:
                self.gone.add(machine)
                self.doubtful.discard(machine)
            case MachineResult.UNANSWERED:
                self.doubtful.add(machine)
            case MachineResult.BUSY | MachineResult.UNAVAILABLE | MachineResult.FENCED:
                return

    def _order(
        self, machine: Machine, uses: dict[str, TargetUse]
    ) -> tuple[bool, bool, int, str]:
        use = uses.get(machine.target)
        is_doubtful = machine.name in self.doubtful
        if use is None:
            return not is_doubtful, True, 0, machine.name
        return not is_doubtful, not use.is_cordoned, use.runs, machine.name


def pool_allowance(machines: dict[str, Machine]) -> dict[str, int]:
    """Return how many more machines of each pool may go down at a time.

    A machine that is down for another cause may never come back and does not count.
    """
    counts: Counter[str] = Counter()
    away: Counter[str] = Counter()
    for machine in machines.values():
        match machine.state:
            case MachineState.UP:
                counts[machine.pool] += 1
            case MachineState.UPKEEP | MachineState.MOVING:
                counts[machine.pool] += 1
                away[machine.pool] += 1
            case MachineState.DOWN:
                counts[machine.pool] += 0
    return {pool: max(1, count // 2) - away[pool] for pool, count in counts.items()}
