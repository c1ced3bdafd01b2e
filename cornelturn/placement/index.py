"""Targets in the order of their free room, so that few are looked at for a task."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import NamedTuple

from sortedcontainers import SortedList

from cornelturn.jobs.model import Resources, Step
from cornelturn.targets.model import TargetLife

ANY_LABEL = ""


class Preference(Enum):
    """Whether a target may get a task, apart from its room."""

    PREFERRED = auto()
    AVOIDED = auto()
    EXCLUDED = auto()


class RoomKey(NamedTuple):
    """Place of a target in the order: the fullest first, then by name."""

    free_cpu: int
    name: str
    born_ms: int


@dataclass(frozen=True, slots=True)
class Room:
    """Free capacity of a target.

    Parameters
    ----------
    labels : frozenset of str
        What steps may require, the rack among them.
    """

    life: TargetLife
    labels: frozenset[str]
    free: Resources

    def key(self) -> RoomKey:
        """Return the place in the order."""
        return RoomKey(self.free.cpu, self.life.name, self.life.born_ms)


Prefer = Callable[[TargetLife], Preference]


@dataclass(slots=True)
class RoomIndex:
    """Targets that take new tasks, in the order of their free processor.

    A change and a choice take the logarithm of the number of targets; a choice also
    looks at targets that have the processor but lack something else.

    Parameters
    ----------
    rooms : dict
        Room of each target, by its place in the order.
    keys : dict
        Place of each target.
    by_label : dict
        Places of the targets with a label; kept from the first use of the label on.
    """

    rooms: dict[RoomKey, Room] = field(default_factory=dict)
    keys: dict[TargetLife, RoomKey] = field(default_factory=dict)
    by_label: dict[str, SortedList] = field(
        default_factory=lambda: {ANY_LABEL: SortedList()}
    )

    def put(self, room: Room) -> None:
        """Add a target, or note its new room."""
        key = room.key()
        known = self.rooms.get(key)
        if known is not None and known.labels == room.labels:
            self.rooms[key] = room
            return
        self.discard(room.life)
        self.rooms[key] = room
        self.keys[room.life] = key
        for label, ordered in self.by_label.items():
            if label == ANY_LABEL or label in room.labels:
                ordered.add(key)

    def discard(self, life: TargetLife) -> None:
        """Leave a target out."""
        key = self.keys.pop(life, None)
        if key is None:
            return
        room = self.rooms.pop(key)
        for label, ordered in self.by_label.items():
            if label == ANY_LABEL or label in room.labels:
                ordered.remove(key)

    def largest_free_cpu(self) -> int | None:
        """Return the most free processor of a target, None without targets."""
        ordered = self.by_label[ANY_LABEL]
        return ordered[-1].free_cpu if ordered else None

    def emptiest(self) -> Iterable[Room]:
        """Return the targets, those with the most free processor first."""
        return (self.rooms[key] for key in reversed(self.by_label[ANY_LABEL]))

    def choose_fullest(self, step: Step, prefer: Prefer) -> TargetLife | None:
        """Return the best target for a batch task, None if none has room.

        The same choice as that of `choose_target` among all candidates.
        """
        avoided: TargetLife | None = None
        for label in self._labels(step):
            for room in self._fitting(step, label):
                match prefer(room.life):
                    case Preference.PREFERRED:
                        return room.life
                    case Preference.AVOIDED:
                        avoided = avoided or room.life
                    case Preference.EXCLUDED:
                        continue
        return avoided

    def _labels(self, step: Step) -> tuple[str, ...]:
        """Return the labels whose targets are tried, the nearest first."""
        if step.near_rack:
            return step.near_rack, step.required_label
        return (step.required_label,)

    def _fitting(self, step: Step, label: str) -> Iterable[Room]:
        need = step.counted_need()
        required = step.required_label
        for key in self._ordered(label).irange(minimum=(need.cpu,)):
            room = self.rooms[key]
            if required and required not in room.labels:
                continue
            if need.fits_in(room.free):
                yield room

    def _ordered(self, label: str) -> SortedList:
        ordered = self.by_label.get(label)
        if ordered is None:
            rooms = self.rooms.items()
            ordered = SortedList(key for key, room in rooms if label in room.labels)
            self.by_label[label] = ordered
        return ordered
