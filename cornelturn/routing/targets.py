"""Slots of the targets of one pool, indexed for a fast choice of a target."""

from __future__ import annotations

import math
import random
from collections import Counter
from dataclasses import dataclass, field

from cornelturn.model.fleet import Instance, InstanceState
from cornelturn.model.work import Size
from cornelturn.routing.health import HealthState, TargetHealth

MAX_RANDOM_PICKS = 4


@dataclass(frozen=True, slots=True)
class Shape:
    """Capacity of a target: slots, processor cores, memory in megabytes."""

    slots: int
    cores: float
    memory_mb: int


def shape_of(instance: Instance) -> Shape:
    """Return the capacity of an instance."""
    return Shape(instance.slots, instance.cores, instance.memory_mb)


@dataclass(slots=True)
class Target:
    """State of a target at the dispatcher of its pool."""

    instance: Instance
    health: TargetHealth = field(default_factory=TargetHealth)
    used_slots: int = 0
    is_leaving: bool = False
    is_reserved: bool = False

    def open_slots(self) -> int:
        """Return how many slots are available to new work."""
        return 0 if self.is_reserved else self.free_slots()

    def free_slots(self) -> int:
        """Return how many slots are free, whether the target is reserved or not."""
        if not self.is_accepting_work():
            return 0
        return max(self.instance.slots - self.used_slots, 0)

    def is_accepting_work(self) -> bool:
        """Return whether the target is in service, healthy and not leaving.

        It may be full.
        """
        is_open = self.instance.state is InstanceState.IN_SERVICE
        is_healthy = self.health.state is HealthState.SERVING
        return is_open and is_healthy and not self.is_leaving

    def is_awaiting_trial(self) -> bool:
        """Return whether a trial with one idempotent request may start now."""
        is_open = self.instance.state is InstanceState.IN_SERVICE
        is_trial = self.health.state is HealthState.TRIAL
        return is_trial and is_open and self.used_slots == 0 and not self.is_leaving


@dataclass(slots=True)
class SlotBucket:
    """Names of the targets with the same number of open slots; changes are O(1)."""

    names: list[str] = field(default_factory=list)
    positions: dict[str, int] = field(default_factory=dict)

    def add(self, name: str) -> None:
        """Add a name."""
        self.positions[name] = len(self.names)
        self.names.append(name)

    def remove(self, name: str) -> None:
        """Remove a name by moving the last name to its position."""
        position = self.positions.pop(name)
        last = self.names.pop()
        if last != name:
            self.names[position] = last
            self.positions[last] = position


@dataclass(slots=True)
class TargetTable:
    """Targets of a pool, indexed by open slots.

    The time to choose a target grows with the slots of one target, not with the
    number of targets. Among the targets with the most open slots the choice is
    random.
    """

    rng: random.Random
    by_name: dict[str, Target] = field(default_factory=dict)
    buckets: list[SlotBucket] = field(default_factory=list)
    open_slots_by_target: dict[str, int] = field(default_factory=dict)
    total_open_slots: int = 0
    total_slots: int = 0
    slots_by_target: dict[str, int] = field(default_factory=dict)
    shape_counts: Counter[Shape] = field(default_factory=Counter)
    trial_targets: set[str] = field(default_factory=set)

    def put(self, instance: Instance) -> None:
        """Add an instance or replace its description."""
        target = self.by_name.get(instance.name)
        if target is None:
            self.by_name[instance.name] = Target(instance)
        else:
            self._discard_shape(target.instance)
            target.instance = instance
        self.shape_counts[shape_of(instance)] += 1
        self.refresh(instance.name)

    def remove(self, name: str) -> None:
        """Remove an instance that no longer belongs to the pool."""
        if name in self.by_name:
            self._set_open(name, 0)
            self._discard_shape(self.by_name[name].instance)
            self.total_slots -= self.slots_by_target.pop(name, 0)
            self.buckets[0].remove(name)
            del self.open_slots_by_target[name]
            del self.by_name[name]
            self.trial_targets.discard(name)

    def refresh(self, name: str) -> None:
        """Update the index after a change of a target."""
        target = self.by_name[name]
        open_slots = target.open_slots()
        serving = target.instance.slots if open_slots or target.used_slots else 0
        if target.is_leaving or target.health.state is not HealthState.SERVING:
            serving = 0
        self.total_slots += serving - self.slots_by_target.get(name, 0)
        self.slots_by_target[name] = serving
        self._set_open(name, open_slots)
        if target.is_awaiting_trial():
            self.trial_targets.add(name)
        else:
            self.trial_targets.discard(name)

    def choose_trial(self, avoid: tuple[str, ...]) -> str | None:
        """Return a target that is ready for a trial, None if there is none."""
        return next((name for name in self.trial_targets if name not in avoid), None)

    def occupy(self, name: str, width: int) -> None:
        """Count slots of a target as used."""
        self.by_name[name].used_slots += width
        self.refresh(name)

    def vacate(self, name: str, width: int) -> None:
        """Free slots of a target; unknown targets are ignored."""
        target = self.by_name.get(name)
        if target is not None:
            target.used_slots = max(target.used_slots - width, 0)
            self.refresh(name)

    def choose(self, width: int, avoid: tuple[str, ...]) -> str | None:
        """Return a target with at least `width` open slots, None if there is none.

        Targets with more open slots are preferred.
        """
        for count in range(len(self.buckets) - 1, width - 1, -1):
            names = self.buckets[count].names
            if not names:
                continue
            name = self._choose_from(names, avoid)
            if name is not None:
                return name
        return None

    def emptiest(self) -> str | None:
        """Return the target with the most open slots, None if all are full."""
        return self.choose(1, ())

    def width_of(self, size: Size) -> int | None:
        """Return the slots that a request of a size needs, None if it fits no target.

        That is the smallest number over all shapes of targets.
        """
        min_width: int | None = None
        for shape in self.shape_counts:
            if size.cores > shape.cores or size.memory_mb > shape.memory_mb:
                continue
            cores = size.cores * shape.slots / max(shape.cores, 1)
            memory = size.memory_mb * shape.slots / max(shape.memory_mb, 1)
            width = max(1, math.ceil(max(cores, memory)))
            min_width = width if min_width is None else min(min_width, width)
        return min_width

    def _discard_shape(self, instance: Instance) -> None:
        shape = shape_of(instance)
        self.shape_counts[shape] -= 1
        if self.shape_counts[shape] <= 0:
            del self.shape_counts[shape]

    def _choose_from(self, names: list[str], avoid: tuple[str, ...]) -> str | None:
        for _ in range(MAX_RANDOM_PICKS):
            name = names[self.rng.randrange(len(names))]
            if name not in avoid:
                return name
        return next((name for name in names if name not in avoid), None)

    def _set_open(self, name: str, open_slots: int) -> None:
        while len(self.buckets) <= open_slots:
            self.buckets.append(SlotBucket())
        previous = self.open_slots_by_target.get(name)
        if previous is not None:
            self.buckets[previous].remove(name)
            self.total_open_slots -= previous
        self.buckets[open_slots].add(name)
        self.total_open_slots += open_slots
        self.open_slots_by_target[name] = open_slots
