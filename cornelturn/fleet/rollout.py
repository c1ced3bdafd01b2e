"""Decisions of a wave of upkeep: which machines to drain and take down next.

Machines that are off go first, so that pools can grow with them; then those with the
fewest runs. `max_down` limits the machines that are down for the wave at a time; the
duration of the wave determines how few machines of a pool are drained at once.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass, field
from math import ceil

from cornelturn.fleet.machines import MachineResult
from cornelturn.model.upkeep import Machine, MachineState, UpkeepWave
from cornelturn.peering.messages import TargetLoad

RETURN_TIMEOUT_MS = 15_000
"""Time after which a machine that has not returned counts as lost, not as down."""

PACE_FRACTION = 0.6
"""Fraction of its duration in which a wave should end; the rest allows for delays."""

OUT_OF_SERVICE_MS = 5_000
"""Time for which a machine gets no new task: while it is drained and under upkeep."""


@dataclass(slots=True)
class Rollout:
    """Progress of one wave of upkeep.

    Parameters
    ----------
    started_ms : int
        Time at which the request for the wave was first read.
    begun : dict
        Time at which the upkeep of a machine began, by machine.
    returned : set of str
        Machines whose upkeep is over.
    departed : set of str
        Machines that no longer exist.
    planned : set of str
        Machines that the last plan drains, so that their orders may be sent soon.
    recorded : set of str
        Machines whose orders the stored progress announces; only these get orders.
    ordered : set of str
        Machines whose order is in flight.
    unanswered : set of str
        Machines whose order was not answered, or may have been sent by an earlier
        owner; it may still be executed.
    without_target : set of str
        Machines that had no target when their order was sent.
    under_upkeep : set of str
        Machines that were listed as under upkeep after it had begun.
    unrecorded : set of str
        Machines that are listed as under upkeep without a known start of it: the
        previous owner may have crashed before it stored the start.
    """

    wave: UpkeepWave
    started_ms: int = 0
    begun: dict[str, int] = field(default_factory=dict)
    returned: set[str] = field(default_factory=set)
    departed: set[str] = field(default_factory=set)
    planned: set[str] = field(default_factory=set)
    recorded: set[str] = field(default_factory=set)
    ordered: set[str] = field(default_factory=set)
    unanswered: set[str] = field(default_factory=set)
    without_target: set[str] = field(default_factory=set)
    under_upkeep: set[str] = field(default_factory=set)
    unrecorded: set[str] = field(default_factory=set)

    def is_completed(self) -> bool:
        """Return whether the upkeep of every machine that still exists has begun."""
        return all(
            name in self.begun or name in self.departed for name in self.wave.machines
        )

    def restore(
        self, begun: Collection[str], announced: Collection[str], now_ms: int
    ) -> None:
        """Add the progress that an earlier owner has stored.

        Parameters
        ----------
        announced : collection of str
            Machines whose orders may have been sent and be executed late.
        """
        for name in begun:
            self.begun.setdefault(name, now_ms)
        self.unanswered.update(set(announced) - self.begun.keys() - self.ordered)

    def orders_to_announce(self) -> set[str]:
        """Return the machines whose orders are or will be sent, for a later owner."""
        return (self.planned | self.ordered | self.unanswered) - self.begun.keys()

    def observe(self, machines: dict[str, Machine]) -> None:
        """Update the progress from the list of machines."""
        self.unrecorded = {
            name
            for name in self.wave.machines
            if name not in self.begun
            and name in machines
            and machines[name].state is MachineState.UPKEEP
        }
        for name in self.wave.machines:
            machine = machines.get(name)
            if machine is None:
                self.departed.add(name)
                continue
            self.departed.discard(name)
            if name not in self.begun or name in self.returned:
                continue
            if machine.state is MachineState.UPKEEP:
                self.under_upkeep.add(name)
            if self._has_returned(machine):
                self.returned.add(name)

    def count_down(self, now_ms: int) -> int:
        """Return the number of machines that are or may be down for the wave."""
        down_machines = {
            name
            for name, begun_ms in self.begun.items()
            if name not in self.returned and now_ms - begun_ms < RETURN_TIMEOUT_MS
        }
        pending = (self.ordered | self.unanswered) - self.departed
        return len(down_machines | pending | self.unrecorded)

    def machines_to_drain(
        self,
        machines: dict[str, Machine],
        loads: dict[str, TargetLoad],
        now_ms: int,
    ) -> list[Machine]:
        """Return the machines to drain now, at most `max_down`.

        Half of a pool stays in service, so that lasting tasks find a place there; more
        of it as long as the duration of the wave allows, since machines that are
        drained together wait for each other's lasting tasks.
        Machines whose order was not answered count as down and are tried again.
        """
        down_limit = self.wave.max_down - self.count_down(now_ms)
        waiting = [
            machines[name]
            for name in self.wave.machines
            if name in machines
            and name not in self.begun
            and machines[name].state is MachineState.UP
        ]
        retries = [
            machine for machine in waiting if self.has_pending_order(machine.name)
        ]
        allowance = self._allowance(machines, waiting, now_ms)
        for machine in retries:
            allowance[machine.pool] -= 1
        candidates = [
            machine for machine in waiting if not self.has_pending_order(machine.name)
        ]
        chosen: list[Machine] = []
        for machine in sorted(
            candidates,
            key=lambda machine: (
                machine.name not in self.recorded,
                _drain_priority(machine, loads),
            ),
        ):
            if len(chosen) < down_limit and allowance[machine.pool] > 0:
                allowance[machine.pool] -= 1
                chosen.append(machine)
        self.planned = {machine.name for machine in chosen}
        return retries + chosen

    def _allowance(
        self, machines: dict[str, Machine], waiting: list[Machine], now_ms: int
    ) -> dict[str, int]:
        """Return the number of machines of each pool that may be drained now."""
        allowance = pool_allowance(machines)
        away = Counter(
            machines[name].pool
            for name in self.begun
            if name in machines and machines[name].state is MachineState.UPKEEP
        )
        end_ms = self.started_ms + self.wave.duration_ms * PACE_FRACTION
        left_ms = max(OUT_OF_SERVICE_MS, end_ms - now_ms)
        for pool, due in Counter(
            machine.pool for machine in waiting if machine.target
        ).items():
            at_once = ceil((due + away[pool]) * OUT_OF_SERVICE_MS / left_ms)
            allowance[pool] = min(allowance[pool], at_once - away[pool])
        return allowance

    def mark_ordered(self, machine: str, is_off: bool = False) -> None:
        """Record that an order for a machine was sent.

        Parameters
        ----------
        is_off : bool
            Whether the machine has no target and gets none after its upkeep.
        """
        self.ordered.add(machine)
        if is_off:
            self.without_target.add(machine)

    def has_pending_order(self, machine: str) -> bool:
        """Return whether an order for a machine is in flight or was not answered.

        Such a machine may go down at any moment.
        """
        return machine in self.ordered or machine in self.unanswered

    def record_result(self, machine: str, result: MachineResult, now_ms: int) -> None:
        """Record the result of an order for upkeep."""
        self.ordered.discard(machine)
        match result:
            case MachineResult.DONE:
                self.begun[machine] = now_ms
                self.unanswered.discard(machine)
            case MachineResult.NO_SUCH_MACHINE | MachineResult.NOT_IN_WAVE:
                self.departed.add(machine)
                self.unanswered.discard(machine)
            case MachineResult.UNANSWERED:
                self.unanswered.add(machine)
            case MachineResult.BUSY | MachineResult.UNAVAILABLE | MachineResult.FENCED:
                return

    def _has_returned(self, machine: Machine) -> bool:
        """Return whether the upkeep of a machine is over."""
        if machine.state is not MachineState.UP:
            return False
        has_upkeep_ended = (
            machine.name in self.without_target and machine.name in self.under_upkeep
        )
        return bool(machine.target) or has_upkeep_ended


def _drain_priority(
    machine: Machine, loads: dict[str, TargetLoad]
) -> tuple[bool, bool, bool, int, str]:
    is_on = bool(machine.target)
    load = loads.get(machine.target)
    if load is None:
        return is_on, True, False, 0, machine.name
    return is_on, False, not load.is_cordoned, load.runs, machine.name


def pool_allowance(machines: dict[str, Machine]) -> dict[str, int]:
    """Return how many more machines of each pool may go down at the same time.

    A machine that is down for another cause may never return and does not count.
    """
    pool_sizes: Counter[str] = Counter()
    away: Counter[str] = Counter()
    for machine in machines.values():
        match machine.state:
            case MachineState.UP:
                pool_sizes[machine.pool] += 1
            case MachineState.UPKEEP | MachineState.MOVING:
                pool_sizes[machine.pool] += 1
                away[machine.pool] += 1
            case MachineState.DOWN:
                pool_sizes[machine.pool] += 0
    return {
        pool: max(1, pool_size // 2) - away[pool]
        for pool, pool_size in pool_sizes.items()
    }
