"""Slots of the targets of one pool."""

from __future__ import annotations

import math
import random
from collections import Counter
from dataclasses import dataclass, field

from cornelturn.model.fleet import Instance, InstanceState
from cornelturn.model.work import Size
from cornelturn.routing.health import HealthState, TargetHealth

AVOID_TRIES = 4


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
    """A target as its dispatcher sees it."""

    instance: Instance
    health: TargetHealth = field(default_factory=TargetHealth)
    used: int = 0
    is_leaving: bool = False
    is_held: bool = False

    def open_slots(self) -> int:
        """Return how many slots new work may take now."""
        return 0 if self.is_held else self.free_slots()

    def free_slots(self) -> int:
        """Return how many slots are free, held for a wide ticket or not."""
        if not self.takes_work():
            return 0
        return max(self.instance.slots - self.used, 0)

    def takes_work(self) -> bool:
        """Return whether the target is in service, whatever runs on it."""
        is_open = self.instance.state is InstanceState.IN_SERVICE
        is_healthy = self.health.state is HealthState.SERVING
        return is_open and is_healthy and not self.is_leaving

    def awaits_trial(self) -> bool:
        """Return whether one idempotent request may try the target now."""
        is_open = self.instance.state is InstanceState.IN_SERVICE
        is_trial = self.health.state is HealthState.TRIAL
        return is_trial and is_open and self.used == 0 and not self.is_leaving


@dataclass(slots=True)
class SlotBucket:
    """Names of the targets with one count of open slots, with O(1) changes."""

    names: list[str] = field(default_factory=list)
    places: dict[str, int] = field(default_factory=dict)

    def add(self, name: str) -> None:
        """Add a name."""
        self.places[name] = len(self.names)
        self.names.append(name)

    def remove(self, name: str) -> None:
        """Remove a name by moving the last one to its place."""
        place = self.places.pop(name)
        last = self.names.pop()
        if last != name:
            self.names[place] = last
            self.places[last] = place


@dataclass(slots=True)
class TargetTable:
    """Targets of a pool, indexed by open slots.

    Choosing a target costs the number of slots of one target, not the number of
    targets. Among the targets with the most open slots the choice is random.
    """

    rng: random.Random
    targets: dict[str, Target] = field(default_factory=dict)
    buckets: list[SlotBucket] = field(default_factory=list)
    open_of: dict[str, int] = field(default_factory=dict)
    total_open: int = 0
    total_slots: int = 0
    slots_of: dict[str, int] = field(default_factory=dict)
    shapes: Counter[Shape] = field(default_factory=Counter)
    trials: set[str] = field(default_factory=set)

    def put(self, instance: Instance) -> None:
        """Add an instance or replace what is known of it."""
        target = self.targets.get(instance.name)
        if target is None:
            self.targets[instance.name] = Target(instance)
        else:
            self._forget_shape(target.instance)
            target.instance = instance
        self.shapes[shape_of(instance)] += 1
        self.refresh(instance.name)

    def drop(self, name: str) -> None:
        """Forget an instance that belongs to the pool no longer."""
        if name in self.targets:
            self._set_open(name, 0)
            self._forget_shape(self.targets[name].instance)
            self.total_slots -= self.slots_of.pop(name, 0)
            self.buckets[0].remove(name)
            del self.open_of[name]
            del self.targets[name]
            self.trials.discard(name)

    def refresh(self, name: str) -> None:
        """Bring the index up to date after a change of a target."""
        target = self.targets[name]
        open_slots = target.open_slots()
        serving = target.instance.slots if open_slots or target.used else 0
        if target.is_leaving or target.health.state is not HealthState.SERVING:
            serving = 0
        self.total_slots += serving - self.slots_of.get(name, 0)
        self.slots_of[name] = serving
        self._set_open(name, open_slots)
        if target.awaits_trial():
            self.trials.add(name)
        else:
            self.trials.discard(name)

    def choose_trial(self, avoid: tuple[str, ...]) -> str | None:
        """Return a target that awaits a trial, None if there is none."""
        return next((name for name in self.trials if name not in avoid), None)

    def occupy(self, name: str, width: int) -> None:
        """Take slots of a target."""
        self.targets[name].used += width
        self.refresh(name)

    def vacate(self, name: str, width: int) -> None:
        """Give slots back; unknown targets are ignored."""
        target = self.targets.get(name)
        if target is not None:
            target.used = max(target.used - width, 0)
            self.refresh(name)

    def choose(self, width: int, avoid: tuple[str, ...]) -> str | None:
        """Return a target with `width` open slots, the emptiest first."""
        for count in range(len(self.buckets) - 1, width - 1, -1):
            names = self.buckets[count].names
            if not names:
                continue
            name = self._choose_in(names, avoid)
            if name is not None:
                return name
        return None

    def emptiest(self) -> str | None:
        """Return the target with the most open slots, None if all are full."""
        return self.choose(1, ())

    def width_of(self, size: Size) -> int | None:
        """Return the slots that a size needs, None if it fits no target."""
        best: int | None = None
        for shape in self.shapes:
            if size.cores > shape.cores or size.memory_mb > shape.memory_mb:
                continue
            cores = size.cores * shape.slots / max(shape.cores, 1)
            memory = size.memory_mb * shape.slots / max(shape.memory_mb, 1)
            width = max(1, math.ceil(max(cores, memory)))
            best = width if best is None else min(best, width)
        return best

    def _forget_shape(self, instance: Instance) -> None:
        shape = shape_of(instance)
        self.shapes[shape] -= 1
        if self.shapes[shape] <= 0:
            del self.shapes[shape]

    def _choose_in(self, names: list[str], avoid: tuple[str, ...]) -> str | None:
        for _ in range(AVOID_TRIES):
            name = names[self.rng.randrange(len(names))]
            if name not in avoid:
                return name
        return next((name for name in names if name not in avoid), None)

    def _set_open(self, name: str, open_slots: int) -> None:
        while len(self.buckets) <= open_slots:
            self.buckets.append(SlotBucket())
        before = self.open_of.get(name)
        if before is not None:
            self.buckets[before].remove(name)
            self.total_open -= before
        self.buckets[open_slots].add(name)
        self.total_open += open_slots
        self.open_of[name] = open_slots
