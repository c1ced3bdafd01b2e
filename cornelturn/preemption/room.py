"""Capacity of targets that urgent tasks may claim: free now, in time, or by stops.

Lost work is counted in thousandths of a core times milliseconds.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections.abc import Iterable
from dataclasses import dataclass, field

from cornelturn.jobs.model import Resources, Run, StepId
from cornelturn.targets.model import TargetLife


@dataclass(frozen=True, slots=True)
class PlacedRoom:
    """A run and the capacity that its end releases.

    Parameters
    ----------
    end_ms : float
        When it is expected to end, infinite if that is not known.
    loss : float or None
        Work that a stop loses; None if it must not be stopped.
    """

    run: Run
    need: Resources
    end_ms: float
    loss: float | None


@dataclass(frozen=True, slots=True)
class TargetRoom:
    """A target that may get tasks, and its runs.

    Parameters
    ----------
    reserved_for : StepId or None
        The only step that may use it.
    """

    life: TargetLife
    labels: frozenset[str]
    free: Resources
    runs: tuple[PlacedRoom, ...]
    reserved_for: StepId | None = None


@dataclass(frozen=True, slots=True)
class Room:
    """A place for one task.

    Parameters
    ----------
    need : Resources
        What the task takes.
    stops : tuple of PlacedRoom
        Runs that must be stopped for it.
    is_held : bool
        Whether other work must leave it free until the task starts.
    """

    life: TargetLife
    need: Resources
    stops: tuple[PlacedRoom, ...] = ()
    is_held: bool = False


@dataclass(slots=True)
class TargetLedger:
    """What is left of the capacity of a target after the claims of earlier tasks.

    Parameters
    ----------
    used : Resources
        Capacity that they are to take.
    stopped : set of Run
        Runs that are to be stopped.
    ends_ms, totals : list
        Expected ends of the other runs, sorted, and what is free after each of them;
        the first total is what is free before.
    stoppable : list of PlacedRoom
        Runs that may be stopped, sorted by what they lose for each core.
    """

    target: TargetRoom
    used: Resources = field(default_factory=Resources)
    stopped: set[Run] = field(default_factory=set)
    ends_ms: list[float] = field(default_factory=list)
    totals: list[Resources] = field(default_factory=list)
    stoppable: list[PlacedRoom] = field(init=False)

    def __post_init__(self) -> None:
        self.stoppable = sorted(
            (placed for placed in self.target.runs if placed.loss is not None),
            key=lambda placed: (placed.loss / max(1, placed.need.cpu), placed.run.task),
        )
        self._add_up()

    def _add_up(self) -> None:
        total = self.target.free
        ending: list[PlacedRoom] = []
        for placed in self.target.runs:
            if placed.run in self.stopped:
                total = total.plus(placed.need)
            elif placed.end_ms < math.inf:
                ending.append(placed)
        ending.sort(key=lambda placed: placed.end_ms)
        self.ends_ms = [placed.end_ms for placed in ending]
        self.totals = [total]
        for placed in ending:
            total = total.plus(placed.need)
            self.totals.append(total)

    def available(self, deadline_ms: float) -> Resources:
        """Return what is free by some time and not yet claimed."""
        return self._total(deadline_ms).minus(self.used)

    def _total(self, deadline_ms: float) -> Resources:
        return self.totals[bisect_right(self.ends_ms, deadline_ms)]

    def count_fitting(self, need: Resources, deadline_ms: float, limit: int) -> int:
        """Return how many tasks fit by some time, up to a limit."""
        if self._total(deadline_ms).cpu - self.used.cpu < need.cpu:
            return 0
        available = self.available(deadline_ms)
        if not need.fits_in(available):
            return 0
        return need.count_in(available, limit)

    def room_in_time(self, need: Resources, deadline_ms: float) -> Room:
        """Return the room for a task that fits by some time.

        It is held if it takes more than one end, as other work would else take what
        each of them releases.
        """
        free = self.available(-math.inf)
        is_held = not need.fits_in(free) and not any(
            need.fits_in(free.plus(placed.need))
            for placed in self.target.runs
            if placed.end_ms <= deadline_ms
        )
        return Room(self.target.life, need, is_held=is_held)

    def room_by_stops(
        self, need: Resources, deadline_ms: float, limit: Resources
    ) -> Room | None:
        """Return the room for one more task, None if stops cannot make any.

        Runs are taken by what they lose for each core until the task fits; those that
        turn out not to be needed are left out again, the one that loses most first.

        Parameters
        ----------
        limit : Resources
            Capacity that stops may take.
        """
        room = self.available(deadline_ms)
        chosen: list[PlacedRoom] = []
        for placed in self.stoppable:
            if need.fits_in(room):
                break
            if placed.end_ms > deadline_ms and placed.run not in self.stopped:
                room = room.plus(placed.need)
                chosen.append(placed)
        if not need.fits_in(room):
            return None
        for placed in sorted(chosen, key=lambda placed: -placed.loss):
            if need.fits_in(room.minus(placed.need)):
                room = room.minus(placed.need)
                chosen.remove(placed)
        if not total_need(chosen).fits_in(limit):
            return None
        return Room(self.target.life, need, tuple(chosen), is_held=True)

    def claim(self, room: Room) -> None:
        """Record a task that is to use some room."""
        self.used = self.used.plus(room.need)
        if room.stops:
            self.stopped.update(placed.run for placed in room.stops)
            self._add_up()

    def release(self, room: Room) -> None:
        """Take back a claim."""
        self.used = self.used.minus(room.need)
        if room.stops:
            self.stopped.difference_update(placed.run for placed in room.stops)
            self._add_up()


def total_need(stops: Iterable[PlacedRoom]) -> Resources:
    """Return what the stops of some runs release."""
    total = Resources()
    for placed in stops:
        total = total.plus(placed.need)
    return total
