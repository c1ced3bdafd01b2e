"""Decisions on the size of pools, for load that exceeds a pool for some seconds.

A pool whose tasks wait grows at once, out of machines that are off or that another
pool can spare. A pool whose demand has fitted into fewer machines for a while gives
the surplus back, down to the share of its base that it holds as a buffer. While pools
ask for more than there is, each gets its share. No sockets: what is known comes in
with the time, moves and cordons come out as data.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from math import ceil, floor

from cornelturn.jobs.model import Resources
from cornelturn.model.upkeep import Machine, MachineState, MoveOrder
from cornelturn.peering.messages import PoolLoad, TargetLoad

GROWTH_FILL = 0.9
"""Fill above which a pool grows; tasks wait for each other from there on."""

TREND_MS = 800
"""Span over which the trend of a demand is taken: several readings of it."""

MOVE_LEAD_MS = 1_800
"""Time from the order of a move to the first task on the machine: the move itself and
the first answer of the new target."""

MAX_FLEET_SHARE = 2 / 3
"""Share of all machines that a pool may grow to; bounds what a wrong guess costs."""

YIELD_FILL = 0.8
"""Part of its fair size below which a pool gets machines that others use; a move
takes seconds of a machine, so smaller differences stay."""

BUSY_FILL = 0.4
"""Expected fill of a pool above which it may lack machines soon."""

RELEASE_FILL = 0.75
"""Fill that the machines kept after a release may have; the rest is the buffer."""

RELEASE_AFTER_MS = 1_000
"""How long a surplus lasts before it is released while no pool lacks machines: longer
than a pause between jobs, shorter than what a move costs in seconds of a machine."""

BUFFER_SHARE = 0.2
"""Share of its base that an idle pool holds, for the time until others arrive."""

LEAST_BUFFER = 6
"""Machines up to which an idle pool holds half of its base: in a small pool a few jobs
fill the rest."""

NO_TARGET_MS = 1_000
"""How long a pool without a target that takes work is waited for: a new owner hears
from its targets sooner, and a lease lapses later."""

MOVE_LIMIT_MS = 6_000
"""Time after which a move that did not show up is given up."""

BUSY_PAUSE_MS = 2_000
"""Pause before a machine is tried again that was refused."""


@dataclass(slots=True)
class Trend:
    """Recent demand of a pool, in machines.

    Parameters
    ----------
    readings : deque
        Times and demands, oldest first.
    """

    readings: deque[tuple[int, float]] = field(default_factory=deque)

    def add(self, demand: float, now_ms: int) -> None:
        """Take in a reading."""
        self.readings.append((now_ms, demand))
        while now_ms - self.readings[0][0] > TREND_MS:
            self.readings.popleft()

    def expected(self, lead_ms: int) -> float:
        """Return the demand some time ahead if it goes on to rise as it does."""
        first_ms, first = self.readings[0]
        last_ms, last = self.readings[-1]
        if last_ms <= first_ms:
            return last
        rise = max(0.0, last - first) / (last_ms - first_ms)
        return last + rise * lead_ms


@dataclass(frozen=True, slots=True)
class SizingPlan:
    """What is to be done now.

    Parameters
    ----------
    moves : tuple of MoveOrder
        Machines that run nothing and go now.
    emptied : tuple of Machine
        Machines that get no new work, since they are to go.
    """

    moves: tuple[MoveOrder, ...] = ()
    emptied: tuple[Machine, ...] = ()


@dataclass(frozen=True, slots=True)
class FleetView:
    """What a decision on sizes knows.

    Parameters
    ----------
    machines : tuple of Machine
        All machines.
    fixed : set of str
        Machines that must not be moved now, since their upkeep is due.
    leaving : set of str
        Machines that are being emptied for their upkeep.
    standby : frozenset of str
        Pools whose machines are off.
    pools, targets : dict
        Loads by name, as told lately; a cordon that may lapse counts as none.
    """

    machines: tuple[Machine, ...]
    fixed: set[str]
    leaving: set[str]
    standby: frozenset[str]
    pools: dict[str, PoolLoad]
    targets: dict[str, TargetLoad]


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
    empty_since : dict
        Since when a pool has had no target that takes work.
    barred : dict
        Until when a machine is left alone.
    leaving : set of str
        Machines that are being emptied to go.
    trends : dict
        Recent demand of each pool.
    told : dict
        Last load of each pool that its trend holds.
    """

    base: dict[str, int] = field(default_factory=dict)
    coming: dict[str, tuple[str, int]] = field(default_factory=dict)
    surplus_since: dict[str, int] = field(default_factory=dict)
    barred: dict[str, int] = field(default_factory=dict)
    empty_since: dict[str, int] = field(default_factory=dict)
    leaving: set[str] = field(default_factory=set)
    trends: dict[str, Trend] = field(default_factory=dict)
    told: dict[str, PoolLoad] = field(default_factory=dict)

    def tell(self, load: PoolLoad, now_ms: int) -> None:
        """Take in the load of a pool; a load that is known already adds nothing."""
        if self.told.get(load.pool) is load:
            return
        self.told[load.pool] = load
        self.trends.setdefault(load.pool, Trend()).add(demand_of(load), now_ms)

    def may_grow_soon(self, load: PoolLoad) -> bool:
        """Return whether a pool that was told of may lack machines soon."""
        expected = self.trends[load.pool].expected(MOVE_LEAD_MS)
        return expected > load.open_targets * BUSY_FILL

    def plan(self, view: FleetView, now_ms: int) -> SizingPlan:
        """Return the moves and cordons that are due."""
        self._observe(view, now_ms)
        self._follow_trends(view, now_ms)
        fair = self._fair_sizes(view, MOVE_LEAD_MS, now_ms)
        lacking = {
            pool: min(
                self._lacking(view, load, now_ms),
                max(0, fair[pool] - self._held(view, load)),
            )
            for pool, load in self._pools(view)
        }
        moves = fill(lacking, self._spare(view, now_ms))
        is_lacked = any(lacking.values())
        emptied: list[Machine] = []
        if view.standby or is_lacked:
            pause_ms = 0 if is_lacked else RELEASE_AFTER_MS
            for _, load in self._pools(view):
                emptied += self._released(view, load, pause_ms, now_ms)
        most = sum(lacking.values()) - len(emptied)
        emptied += self._yielded(view, emptied, most, now_ms)
        gone = [one for one in emptied if view.targets[one.target].is_empty()]
        moves += fill(lacking, gone)
        off = min(view.standby, default="")
        if off:
            moves += [MoveOrder(one, off) for one in gone]
        self.leaving = {one.name for one in emptied}
        moved = {move.machine.name for move in moves}
        remaining = [one for one in emptied if one.name not in moved]
        remaining += self._in_doubt(view)
        return SizingPlan(tuple(moves), tuple(remaining))

    def sent(self, move: MoveOrder, now_ms: int) -> None:
        """Note that a machine is, or may be, on its way."""
        self.coming[move.machine.name] = (move.pool, now_ms)

    def refused(self, machine: str, now_ms: int) -> None:
        """Note that a machine stays where it is for now."""
        self.coming.pop(machine, None)
        self.barred[machine] = now_ms + BUSY_PAUSE_MS

    def is_settled(self) -> bool:
        """Return whether no machine is on its way or to be emptied."""
        return not self.coming and not self.leaving

    def _in_doubt(self, view: FleetView) -> list[Machine]:
        """Return the machines that stand where they were, but may go at any moment."""
        return [
            one
            for one in view.machines
            if one.name in self.coming
            and one.target
            and one.pool != self.coming[one.name][0]
        ]

    def _pools(self, view: FleetView) -> list[tuple[str, PoolLoad]]:
        """Return the pools that work, with their loads."""
        return [one for one in sorted(view.pools.items()) if one[0] not in view.standby]

    def _observe(self, view: FleetView, now_ms: int) -> None:
        """Forget the moves that are over, and those that never showed up."""
        places = {one.name: one for one in view.machines}
        for name, (pool, sent_ms) in list(self.coming.items()):
            machine = places.get(name)
            has_arrived = (
                machine is not None
                and machine.pool == pool
                and (machine.target in view.targets or pool in view.standby)
            )
            if has_arrived or now_ms - sent_ms > MOVE_LIMIT_MS:
                del self.coming[name]

    def _spare(self, view: FleetView, now_ms: int) -> list[Machine]:
        """Return the machines that are off and may be sent somewhere."""
        return [
            one
            for one in view.machines
            if one.pool in view.standby
            and one.state in (MachineState.UP, MachineState.DOWN)
            and self._may_move(view, one, now_ms)
        ]

    def _may_move(self, view: FleetView, machine: Machine, now_ms: int) -> bool:
        return (
            machine.name not in view.fixed
            and machine.name not in self.coming
            and self.barred.get(machine.name, 0) <= now_ms
        )

    def _on_way(self, pool: str) -> int:
        return sum(1 for sent_to, _ in self.coming.values() if sent_to == pool)

    def _standing(self, view: FleetView, pool: str) -> int:
        """Return how many machines of a pool have a reachable target and stay.

        The owner of the pool writes down new targets before they take work, so for a
        moment these are more than its open targets.
        """
        gone = view.leaving | self.leaving
        return sum(
            1
            for one in view.machines
            if one.pool == pool and one.target in view.targets and one.name not in gone
        )

    def _held(self, view: FleetView, load: PoolLoad) -> int:
        """Return how many machines a pool has, those on their way included."""
        standing = max(load.open_targets, self._standing(view, load.pool))
        return standing + self._on_way(load.pool)

    def _fair_sizes(self, view: FleetView, lead_ms: int, now_ms: int) -> dict[str, int]:
        """Return how many machines each pool may have beside what the others want.

        What tasks that are held back would take comes after all that can start.
        """
        wanted: dict[str, int] = {}
        usable: dict[str, int] = {}
        total = len(self._spare(view, now_ms))
        for pool, load in self._pools(view):
            total += len(self._own(view, pool)) + self._on_way(pool)
            expected = ceil(self.trends[pool].expected(lead_ms))
            least = max(self._buffer(load), load.least_targets)
            wanted[pool] = max(least, min(expected, self._most(view, load)))
            held_back = floor(machines_for(load, load.held_back))
            usable[pool] = max(least, wanted[pool] - held_back)
        fair = fair_sizes(usable, self.base, total)
        later = {pool: wanted[pool] - usable[pool] for pool in wanted}
        rest = fair_sizes(later, self.base, total - sum(fair.values()))
        return {pool: fair[pool] + rest[pool] for pool in fair}

    def _yielded(
        self, view: FleetView, emptied: list[Machine], most: int, now_ms: int
    ) -> list[Machine]:
        """Return the machines that pools give to others which have far less.

        What waits now decides, since a trend may end while machines are emptied.

        Parameters
        ----------
        emptied : list of Machine
            Machines that go anyway.
        most : int
            How many more are lacked.
        """
        fair = self._fair_sizes(view, 0, now_ms)
        held = {pool: self._held(view, load) for pool, load in self._pools(view)}
        least = {pool: self._least(load) for pool, load in self._pools(view)}
        missing = sum(
            fair[pool] - count
            for pool, count in held.items()
            if count < fair[pool] * YIELD_FILL
        )
        missing = min(missing - len(emptied), most)
        known = {one.name for one in emptied}
        found: list[Machine] = []
        for pool in sorted(held, key=lambda one: fair[one] - held[one]):
            own = [one for one in self._own(view, pool) if one.name not in known]
            kept = max(fair[pool], least[pool])
            surplus = min(len(own) - kept, missing - len(found))
            free = [one for one in own if self._may_move(view, one, now_ms)]
            free.sort(key=lambda one: self._release_order(view, one))
            found += free[: max(0, surplus)]
        return found

    def _own(self, view: FleetView, pool: str) -> list[Machine]:
        """Return the machines of a pool that work and may be given away."""
        return [
            one
            for one in view.machines
            if one.pool == pool
            and one.state is MachineState.UP
            and one.target in view.targets
            and one.name not in self.coming
            and one.name not in view.leaving
        ]

    def _most(self, view: FleetView, load: PoolLoad) -> int:
        """Return how many machines a pool may have."""
        base = self.base.get(load.pool, load.open_targets)
        return max(base, round(len(view.machines) * MAX_FLEET_SHARE))

    def _lacking(self, view: FleetView, load: PoolLoad, now_ms: int) -> int:
        """Return how many machines a pool lacks."""
        if load.pool in self.empty_since:
            lasted_ms = now_ms - self.empty_since[load.pool]
            wanted = self._buffer(load) if lasted_ms >= NO_TARGET_MS else 0
            return max(0, wanted - self._on_way(load.pool))
        held = self._held(view, load)
        expected = self.trends[load.pool].expected(MOVE_LEAD_MS)
        if expected <= held * GROWTH_FILL:
            return 0
        return max(0, min(ceil(expected), self._most(view, load)) - held)

    def _follow_trends(self, view: FleetView, now_ms: int) -> None:
        for pool, load in self._pools(view):
            self.tell(load, now_ms)
            if load.open_targets:
                self.empty_since.pop(pool, None)
            else:
                self.empty_since.setdefault(pool, now_ms)

    def _released(
        self, view: FleetView, load: PoolLoad, pause_ms: int, now_ms: int
    ) -> list[Machine]:
        """Return the machines that a pool gives back.

        Parameters
        ----------
        pause_ms : int
            How long its surplus has to have lasted.
        """
        pool = load.pool
        own = self._own(view, pool)
        surplus = len(own) - self._kept(load)
        if surplus <= 0 or self._on_way(pool) or self._lacking(view, load, now_ms):
            self.surplus_since.pop(pool, None)
            return []
        since_ms = self.surplus_since.setdefault(pool, now_ms)
        if now_ms - since_ms < pause_ms:
            return []
        free = [one for one in own if self._may_move(view, one, now_ms)]
        free.sort(key=lambda one: self._release_order(view, one))
        return free[:surplus]

    def _kept(self, load: PoolLoad) -> int:
        """Return how many machines a pool keeps."""
        wanted = ceil(demand_of(load) / RELEASE_FILL)
        return max(wanted, self._buffer(load), self._least(load))

    def _least(self, load: PoolLoad) -> int:
        """Return how many machines a pool keeps for tasks that are kept apart."""
        base = self.base.get(load.pool, load.open_targets)
        return min(base, load.least_targets)

    def _buffer(self, load: PoolLoad) -> int:
        """Return how many machines an idle pool holds."""
        base = self.base.get(load.pool, load.open_targets)
        return max(ceil(base * BUFFER_SHARE), min(ceil(base / 2), LEAST_BUFFER))

    def _release_order(
        self, view: FleetView, machine: Machine
    ) -> tuple[bool, int, int, str]:
        load = view.targets[machine.target]
        return machine.name not in self.leaving, load.lasting, load.runs, machine.name


def demand_of(load: PoolLoad) -> float:
    """Return how many machines of the pool's mean size its demand takes."""
    return machines_for(load, load.held.plus(load.waiting))


def machines_for(load: PoolLoad, need: Resources) -> float:
    """Return how many machines of the pool's mean size some need takes."""
    capacity = load.capacity
    shares = (
        wanted / have
        for wanted, have in (
            (need.cpu, capacity.cpu),
            (need.mem_mb, capacity.mem_mb),
            (need.gpu, capacity.gpu),
        )
        if have > 0
    )
    return load.open_targets * max(shares, default=0.0)


def fair_sizes(
    wanted: dict[str, int], base: dict[str, int], total: int
) -> dict[str, int]:
    """Share machines out by the bases of the pools, to none more than it wants.

    Parameters
    ----------
    wanted : dict
        How many machines each pool could use.
    base : dict
        Machines of each pool while its demand is ordinary.
    total : int
        Machines that there are.
    """
    fair: dict[str, int] = {}
    left = total
    unmet = dict(wanted)
    while unmet:
        weights = {pool: max(1, base.get(pool, 1)) for pool in unmet}
        share = left / sum(weights.values())
        met = [pool for pool in unmet if unmet[pool] <= share * weights[pool]]
        if not met:
            return fair | {pool: int(share * weights[pool]) for pool in unmet}
        for pool in met:
            fair[pool] = unmet.pop(pool)
            left -= fair[pool]
    return fair


def fill(lacking: dict[str, int], machines: list[Machine]) -> list[MoveOrder]:
    """Send machines to pools that lack some, to the neediest first.

    Parameters
    ----------
    lacking : dict
        How many machines each pool lacks; falls by those that are sent.
    machines : list of Machine
        Machines that may go; those that are sent are taken out.
    """
    moves: list[MoveOrder] = []
    for pool in sorted(lacking, key=lambda one: (-lacking[one], one)):
        count = min(lacking[pool], len(machines))
        moves += [MoveOrder(one, pool) for one in machines[:count]]
        del machines[:count]
        lacking[pool] -= count
    return moves
