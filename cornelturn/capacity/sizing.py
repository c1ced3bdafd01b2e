"""Decisions on the size of pools, for load that exceeds a pool for some seconds.

A pool whose tasks wait grows at once, out of machines that are off. It shrinks to
its base again once its demand has fitted into fewer machines for a while. No
sockets: what is known comes in with the time, moves and cordons come out as data.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from cornelturn.jobs.model import Need
from cornelturn.model.upkeep import Machine, MachineState

WAITING_SHARE = 0.2
"""Share of a pool's capacity that must wait before it grows; less is served by the
next tasks that end."""

MAX_GROWTH = 1.0
"""Machines beyond the base as a share of it; bounds what a wrong guess costs."""

RELEASE_FILL = 0.75
"""Fill that the machines kept after a release may have; the rest is the buffer."""

RELEASE_AFTER_MS = 1_500
"""How long a surplus lasts before it is released: one move, so that none is undone
by the next."""

MOVE_LIMIT_MS = 6_000
"""Time after which a move that did not show up is given up."""

BUSY_PAUSE_MS = 2_000
"""Pause before a machine is tried again that was refused."""


@dataclass(frozen=True, slots=True)
class PoolDemand:
    """What a pool runs and what waits there.

    Parameters
    ----------
    held, waiting : Need
        What running tasks hold, and what tasks whose turn has come would take.
    capacity : Need
        Capacity of the targets that take work.
    targets : int
        Number of these targets.
    """

    pool: str
    held: Need
    waiting: Need
    capacity: Need
    targets: int


@dataclass(frozen=True, slots=True)
class TargetUse:
    """Runs on a target."""

    runs: int
    lasting: int
    is_cordoned: bool


@dataclass(frozen=True, slots=True)
class Move:
    """A machine that goes to another pool."""

    machine: Machine
    pool: str


@dataclass(frozen=True, slots=True)
class SizingPlan:
    """What is to be done now.

    Parameters
    ----------
    moves : tuple of Move
        Machines that run nothing and go now.
    emptied : tuple of Machine
        Machines that get no new work, since they are to go.
    """

    moves: tuple[Move, ...] = ()
    emptied: tuple[Machine, ...] = ()


@dataclass(frozen=True, slots=True)
class FleetView:
    """What a decision on sizes knows.

    Parameters
    ----------
    machines : tuple of Machine
        Machines that may be moved; those due for upkeep are left out.
    standby : frozenset of str
        Pools whose machines are off.
    uses : dict
        Runs on each target of which its owner told lately.
    """

    machines: tuple[Machine, ...]
    standby: frozenset[str]
    demands: dict[str, PoolDemand]
    uses: dict[str, TargetUse]


@dataclass(slots=True)
class Sizing:
    """Sizes of the pools over time.

    Parameters
    ----------
    base : dict
        Machines that each pool holds while its demand is ordinary.
    coming : dict
        Machines on their way, with their pool and when they were sent.
    surplus_since : dict
        Since when a pool has had more machines than it needs.
    barred : dict
        Until when a machine is left alone.
    """

    base: dict[str, int] = field(default_factory=dict)
    coming: dict[str, tuple[str, int]] = field(default_factory=dict)
    surplus_since: dict[str, int] = field(default_factory=dict)
    barred: dict[str, int] = field(default_factory=dict)
    leaving: set[str] = field(default_factory=set)

    def plan(self, view: FleetView, now_ms: int) -> SizingPlan:
        """Return the moves and cordons that are due."""
        self._observe(view, now_ms)
        moves: list[Move] = []
        emptied: list[Machine] = []
        spare = self._spare(view, now_ms)
        for pool, demand in sorted(view.demands.items()):
            if pool in view.standby:
                continue
            for machine in spare[: self._lacking(demand)]:
                moves.append(Move(machine, pool))
                spare.remove(machine)
        for pool, demand in sorted(view.demands.items()):
            if pool not in view.standby and view.standby:
                emptied += self._released(view, demand, now_ms)
        home = min(view.standby, default="")
        gone = [one for one in emptied if self._is_empty(view, one)]
        moves += [Move(one, home) for one in gone]
        self.leaving = {one.name for one in emptied}
        return SizingPlan(
            tuple(moves), tuple(one for one in emptied if one not in gone)
        )

    def sent(self, move: Move, now_ms: int) -> None:
        """Note that a machine is, or may be, on its way."""
        self.coming[move.machine.name] = (move.pool, now_ms)

    def refused(self, machine: str, now_ms: int) -> None:
        """Note that a machine cannot be moved now."""
        self.barred[machine] = now_ms + BUSY_PAUSE_MS

    def is_settled(self) -> bool:
        """Return whether no machine is on its way or to be emptied."""
        return not self.coming and not self.leaving

    def _observe(self, view: FleetView, now_ms: int) -> None:
        for machine in view.machines:
            sent = self.coming.get(machine.name)
            if sent is None:
                continue
            pool, sent_ms = sent
            has_arrived = machine.pool == pool and (
                machine.target in view.uses or pool in view.standby
            )
            if has_arrived or now_ms - sent_ms > MOVE_LIMIT_MS:
                del self.coming[machine.name]

    def _spare(self, view: FleetView, now_ms: int) -> list[Machine]:
        """Return the machines that are off and may be sent somewhere."""
        return [
            one
            for one in view.machines
            if one.pool in view.standby
            and one.state in (MachineState.UP, MachineState.DOWN)
            and one.name not in self.coming
            and self.barred.get(one.name, 0) <= now_ms
        ]

    def _on_way(self, pool: str) -> int:
        return sum(1 for sent_to, _ in self.coming.values() if sent_to == pool)

    def _lacking(self, demand: PoolDemand) -> int:
        """Return how many machines a pool lacks."""
        if not demand.targets or not _is_short(demand):
            return 0
        held = demand.targets + self._on_way(demand.pool)
        base = self.base.get(demand.pool, demand.targets)
        most = base + round(base * MAX_GROWTH)
        return max(0, min(_machines_for(demand, 1.0), most) - held)

    def _released(
        self, view: FleetView, demand: PoolDemand, now_ms: int
    ) -> list[Machine]:
        """Return the machines that a pool gives back."""
        pool = demand.pool
        kept = max(
            _machines_for(demand, RELEASE_FILL),
            self.base.get(pool, demand.targets),
        )
        own = [
            one
            for one in view.machines
            if one.pool == pool
            and one.state is MachineState.UP
            and one.target in view.uses
            and one.name not in self.coming
            and self.barred.get(one.name, 0) <= now_ms
        ]
        if len(own) <= kept or self._on_way(pool):
            self.surplus_since.pop(pool, None)
            return []
        since_ms = self.surplus_since.setdefault(pool, now_ms)
        if now_ms - since_ms < RELEASE_AFTER_MS:
            return []
        own.sort(key=lambda one: self._release_order(view, one))
        return own[: len(own) - kept]

    def _release_order(
        self, view: FleetView, machine: Machine
    ) -> tuple[bool, int, int, str]:
        use = view.uses[machine.target]
        return machine.name not in self.leaving, use.lasting, use.runs, machine.name

    def _is_empty(self, view: FleetView, machine: Machine) -> bool:
        use = view.uses[machine.target]
        return use.is_cordoned and use.runs == 0


def _is_short(demand: PoolDemand) -> bool:
    waiting, capacity = demand.waiting, demand.capacity
    return (
        waiting.cpu > capacity.cpu * WAITING_SHARE
        or waiting.mem_mb > capacity.mem_mb * WAITING_SHARE
        or waiting.gpu > capacity.gpu * WAITING_SHARE
    )


def _machines_for(demand: PoolDemand, fill: float) -> int:
    """Return how many machines of the pool's mean size its demand takes."""
    total = demand.held.plus(demand.waiting)
    capacity = demand.capacity
    shares = (
        wanted / have
        for wanted, have in (
            (total.cpu, capacity.cpu),
            (total.mem_mb, capacity.mem_mb),
            (total.gpu, capacity.gpu),
        )
        if have > 0
    )
    share = max(shares, default=0.0)
    return -round(-demand.targets * share / fill // 1)
