"""Expected free capacity of a rack: what its runs release, and what others claim."""

from __future__ import annotations

import math
from bisect import insort
from collections.abc import Collection
from dataclasses import dataclass, field
from operator import attrgetter
from typing import NamedTuple

from cornelturn.jobs.model import Resources
from cornelturn.racks.choice import StepNeed
from cornelturn.targets.model import TargetLife


class Release(NamedTuple):
    """Capacity that is expected to become free."""

    at_ms: int
    need: Resources


_BY_TIME = attrgetter("at_ms")


@dataclass(slots=True)
class TargetRoom:
    """Expected free capacity of a target.

    Parameters
    ----------
    free_now : Resources
        Capacity that is free at present.
    free : Resources
        Capacity that no earlier work has claimed, from `from_ms` on.
    releases : list of Release
        Later releases, in order of time; runs whose end is not known are left out.
    """

    free_now: Resources
    free: Resources
    from_ms: int
    releases: list[Release] = field(default_factory=list)

    def fits_ms(self, need: Resources) -> float:
        """Return when a task is expected to fit, infinity if that is not known."""
        if need.fits_in(self.free):
            return self.from_ms
        free = self.free
        for release in self.releases:
            free = free.plus(release.need)
            if need.fits_in(free):
                return max(self.from_ms, release.at_ms)
        return math.inf

    def claim(self, need: Resources, run_ms: int) -> None:
        """Claim capacity for a task that waits; it must fit at some time."""
        taken = 0
        while not need.fits_in(self.free):
            release = self.releases[taken]
            self.free = self.free.plus(release.need)
            self.from_ms = max(self.from_ms, release.at_ms)
            taken += 1
        del self.releases[:taken]
        self.take(need, self.from_ms + run_ms)

    def take(self, need: Resources, until_ms: int) -> None:
        """Take capacity until a time."""
        self.free = self.free.minus(need)
        insort(self.releases, Release(until_ms, need), key=_BY_TIME)


@dataclass(slots=True)
class RackRoom:
    """Expected free capacity of the targets of a rack that accept work.

    Parameters
    ----------
    now_ms : int
        Time for which it was computed.
    found_need : Resources or None
        Need that was last searched for, as the tasks of a step need the same.
    found_ms : dict
        When it fits on each target.
    """

    now_ms: int
    targets: dict[TargetLife, TargetRoom] = field(default_factory=dict)
    found_need: Resources | None = None
    found_ms: dict[TargetLife, float] = field(default_factory=dict)

    def find(
        self, need: Resources, usable: Collection[TargetLife]
    ) -> tuple[float, TargetLife | None]:
        """Return the expected wait of a task, and the target on which it fits then.

        The wait is infinite if no release is known that suffices. A target with room
        at present does not count: the task was kept from it for another reason, whose
        end is not known.

        Parameters
        ----------
        usable : collection of TargetLife
            Targets that the task may use once they have room.
        """
        if need != self.found_need:
            self.found_need = need
            self.found_ms.clear()
        earliest_ms: float = math.inf
        earliest: TargetLife | None = None
        for life in usable:
            at_ms = self.found_ms.get(life)
            if at_ms is None:
                room = self.targets[life]
                has_room = need.fits_in(room.free_now)
                at_ms = math.inf if has_room else room.fits_ms(need)
                self.found_ms[life] = at_ms
            if at_ms < earliest_ms:
                earliest_ms, earliest = at_ms, life
        return earliest_ms - self.now_ms, earliest

    def claim(self, life: TargetLife, need: Resources, run_ms: int) -> None:
        """Claim capacity for a task that waits, on a target where it was found."""
        self.targets[life].claim(need, run_ms)
        self.found_ms.pop(life, None)

    def claim_gang(
        self, need: StepNeed, run_ms: int, usable: Collection[TargetLife]
    ) -> None:
        """Claim capacity for the tasks of a gang that waits and was found to fit."""
        self.found_need = None
        left = dict.fromkeys(usable, need.limit())
        for _ in range(need.count):
            life = min(left, key=lambda life: self.targets[life].fits_ms(need.task))
            if self.targets[life].fits_ms(need.task) == math.inf:
                return
            self.targets[life].claim(need.task, run_ms)
            left[life] -= 1
            if not left[life]:
                del left[life]

    def gang_wait_ms(self, need: StepNeed, usable: Collection[TargetLife]) -> float:
        """Return the expected wait until all tasks of a gang fit at the same time.

        A gang with room at present was kept from it for another reason, as above.
        """
        rooms = [self.targets[life] for life in usable]
        limit = need.limit()
        fitting = [need.task.count_in(room.free, limit) for room in rooms]
        missing = need.count - sum(fitting)
        at_ms = max((room.from_ms for room in rooms), default=self.now_ms)
        if missing <= 0:
            return at_ms - self.now_ms if at_ms > self.now_ms else math.inf
        events = [
            (release.at_ms, index, release.need)
            for index, room in enumerate(rooms)
            for release in room.releases
        ]
        free = [room.free for room in rooms]
        for release_ms, index, released in sorted(events, key=_event_time):
            free[index] = free[index].plus(released)
            fits = need.task.count_in(free[index], limit)
            missing -= fits - fitting[index]
            fitting[index] = fits
            if missing <= 0:
                return max(at_ms, release_ms) - self.now_ms
        return math.inf

    def note_start(self, life: TargetLife, need: Resources, run_ms: int) -> None:
        """Take the capacity of a task that has just started, if it is on the rack."""
        room = self.targets.get(life)
        if room is not None:
            self.found_ms.pop(life, None)
            room.free_now = room.free_now.minus(need)
            room.take(need, self.now_ms + run_ms)


def _event_time(event: tuple[int, int, Resources]) -> int:
    return event[0]
