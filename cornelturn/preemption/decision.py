"""Decides which runs to stop for urgent steps that wait for capacity.

Capacity that becomes free in time by itself comes first; for the rest, the runs that
lose least are stopped.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush

from cornelturn.jobs.model import Resources, StepId
from cornelturn.preemption.room import (
    PlacedRoom,
    Room,
    TargetLedger,
    TargetRoom,
    total_need,
)
from cornelturn.targets.model import TargetLife

MAX_STOPPING_STEPS = 8
"""Number of steps for which a decision searches runs to stop; each search takes a pass
through all targets. The others follow in the next decisions."""


@dataclass(frozen=True, slots=True)
class PreemptionSettings:
    """Whether runs are stopped for urgent work, and how many.

    Parameters
    ----------
    share_per_s : float
        Share of the capacity of a pool that may be taken from runs in a second.
    max_unsaved_ms : float
        Time that a run may have worked since its start or last checkpoint to be
        stopped, the time to resume included.
    """

    is_enabled: bool = False
    share_per_s: float = 0.25
    max_unsaved_ms: float = 1_000


NO_PREEMPTION = PreemptionSettings()


@dataclass(frozen=True, slots=True)
class UrgentStep:
    """An urgent step that found no capacity for some tasks.

    Parameters
    ----------
    count : int
        Number of waiting tasks.
    deadline_ms : int
        Time by which its tasks should have capacity.
    may_stop : bool
        Whether it has waited long enough for others to be stopped.
    max_per_target : int
        Limit of its tasks on a target, 0 for none.
    placed : Mapping
        Number of its tasks on each target, needed only with that limit.
    """

    step_id: StepId
    need: Resources
    count: int
    deadline_ms: int
    may_stop: bool = True
    is_gang: bool = False
    required_label: str = ""
    max_per_target: int = 0
    placed: Mapping[TargetLife, int] = field(default_factory=dict)

    def may_use(self, target: TargetRoom) -> bool:
        """Return whether a target may run its tasks, apart from its capacity."""
        has_label = not self.required_label or self.required_label in target.labels
        return has_label and target.reserved_for in (None, self.step_id)

    def limit_on(self, target: TargetRoom) -> int:
        """Return how many more of its tasks may run on a target by its limit."""
        if not self.max_per_target:
            return self.count
        return max(0, self.max_per_target - self.placed.get(target.life, 0))


@dataclass(frozen=True, slots=True)
class Stop:
    """A run to stop for a step."""

    life: TargetLife
    placed: PlacedRoom
    step: UrgentStep


@dataclass(slots=True)
class Preemptions:
    """Runs to stop, and targets that only urgent work may use until the next one."""

    stops: list[Stop] = field(default_factory=list)
    held: set[TargetLife] = field(default_factory=set)


def decide(
    targets: Sequence[TargetRoom],
    steps: Sequence[UrgentStep],
    budget: Resources,
    limit: Resources,
    held: Collection[TargetLife] = (),
) -> Preemptions:
    """Return which runs to stop for steps in start order.

    Parameters
    ----------
    budget : Resources
        Capacity that may be taken from runs now, negative if the pool has lost targets
        since the last stops.
    limit : Resources
        The same in a whole second; a task that needs more is not made room for.
    held : Collection of TargetLife
        Targets that were held by the decision before. They come first: room that was
        made on one target would else be left for another one that is emptier by now.
    """
    emptiest_first = sorted(
        targets, key=lambda target: (target.life not in held, -target.free.cpu)
    )
    ledgers = [TargetLedger(target) for target in emptiest_first]
    by_life = {ledger.target.life: ledger for ledger in ledgers}
    decided, searches = Preemptions(), 0
    for step in steps:
        usable = [ledger for ledger in ledgers if step.may_use(ledger.target)]
        rooms = _claim_in_time(usable, step)
        missing = step.count - len(rooms)
        if missing and step.may_stop and searches < MAX_STOPPING_STEPS:
            searches += 1
            rooms += _claim_by_stops(usable, step, rooms, limit)
        kept, dropped = _split_by_budget(step, rooms, budget)
        for room in dropped:
            by_life[room.life].release(room)
        for room in kept:
            budget = budget.minus(total_need(room.stops))
            decided.stops += [Stop(room.life, placed, step) for placed in room.stops]
            if room.is_held or step.is_gang:
                decided.held.add(room.life)
    return decided


def _split_by_budget(
    step: UrgentStep, rooms: Sequence[Room], budget: Resources
) -> tuple[Sequence[Room], Sequence[Room]]:
    """Return the rooms whose stops may be ordered now, and the others.

    That is all or none of the rooms of a gang.
    """
    if step.is_gang:
        return (rooms, ()) if _fits_gang(step, rooms, budget) else ((), rooms)
    kept: list[Room] = []
    dropped: list[Room] = []
    postponed: set[TargetLife] = set()
    for room in rooms:
        need = total_need(room.stops)
        # Later rooms on a target may use what the stops of earlier ones release.
        if room.life in postponed or (room.stops and not need.fits_in(budget)):
            postponed.add(room.life)
            dropped.append(room)
        else:
            budget = budget.minus(need)
            kept.append(room)
    return kept, dropped


def _fits_gang(step: UrgentStep, rooms: Sequence[Room], budget: Resources) -> bool:
    """Return whether there is room for all tasks of a gang at once.

    Stops that are ordered for it one after the other may be in vain: other runs that
    could be stopped now may have worked for too long by then.
    """
    stops = [placed for room in rooms for placed in room.stops]
    fits_budget = not stops or total_need(stops).fits_in(budget)
    return len(rooms) == step.count and fits_budget


def _claim_in_time(ledgers: Sequence[TargetLedger], step: UrgentStep) -> list[Room]:
    """Claim room that becomes free by itself, where the most is free now first."""
    rooms: list[Room] = []
    for ledger in ledgers:
        missing = step.count - len(rooms)
        if not missing:
            break
        limit = min(missing, step.limit_on(ledger.target))
        for _ in range(ledger.count_fitting(step.need, step.deadline_ms, limit)):
            room = ledger.room_in_time(step.need, step.deadline_ms)
            ledger.claim(room)
            rooms.append(room)
    return rooms


def _claim_by_stops(
    ledgers: Sequence[TargetLedger],
    step: UrgentStep,
    found: Sequence[Room],
    limit: Resources,
) -> list[Room]:
    """Claim room that stops make for the other tasks, the least loss first."""
    on_target = Counter(room.life for room in found)
    left = [
        step.limit_on(ledger.target) - on_target[ledger.target.life]
        for ledger in ledgers
    ]
    heap: list[tuple[float, int, Room]] = []

    def next_room(number: int) -> list[tuple[float, int, Room]]:
        """Return the entry of the next room on a target, none without one."""
        if left[number] <= 0:
            return []
        room = ledgers[number].room_by_stops(step.need, step.deadline_ms, limit)
        if room is None:
            return []
        return [(sum(placed.loss for placed in room.stops), number, room)]

    for number in range(len(ledgers)):
        heap += next_room(number)
    heapify(heap)
    rooms: list[Room] = []
    while heap and len(found) + len(rooms) < step.count:
        _, number, room = heappop(heap)
        ledgers[number].claim(room)
        rooms.append(room)
        left[number] -= 1
        for entry in next_room(number):
            heappush(heap, entry)
    return rooms
