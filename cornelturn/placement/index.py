"""Index of targets by free capacity, so that placing a task examines only a few."""

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
    """Whether a target may get a task, apart from its free capacity."""

    PREFERRED = auto()
    AVOIDED = auto()
    EXCLUDED = auto()


class FreeCapacityKey(NamedTuple):
    """Sort key of a target: the least free CPU first, then by name."""

    free_cpu: int
    name: str
    born_ms: int


@dataclass(frozen=True, slots=True)
class FreeCapacity:
    """Free capacity of a target.

    Parameters
    ----------
    labels : frozenset of str
        Labels that steps may require; the rack is one of them.
    """

    life: TargetLife
    labels: frozenset[str]
    free: Resources
    rack: str = ""

    def key(self) -> FreeCapacityKey:
        """Return the sort key."""
        return FreeCapacityKey(self.free.cpu, self.life.name, self.life.born_ms)


@dataclass(slots=True)
class RackCapacity:
    """Free capacity of the targets of a rack.

    Parameters
    ----------
    free_cpu : int
        Their free processor capacity, in thousandths of a core.
    """

    rack: str
    free_cpu: int = 0
    targets: dict[TargetLife, FreeCapacity] = field(default_factory=dict)

    def add(self, capacity: FreeCapacity) -> None:
        """Add a target."""
        self.targets[capacity.life] = capacity
        self.free_cpu += capacity.free.cpu

    def remove(self, life: TargetLife) -> None:
        """Remove a target."""
        self.free_cpu -= self.targets.pop(life).free.cpu


PreferenceRule = Callable[[TargetLife], Preference]


@dataclass(slots=True)
class FreeCapacityIndex:
    """Targets that accept new tasks, ordered by free CPU.

    A change and a choice cost O(log n) in the number of targets. A choice also examines
    the targets that have enough free CPU but lack something else.

    Parameters
    ----------
    capacities : dict
        Free capacity of each target, by its sort key.
    keys : dict
        Sort key of each target.
    keys_by_label : dict
        Sort keys of the targets with a label; maintained from the first use of the
        label on.
    by_rack : dict or None
        Free capacity of the targets of each rack; None before its first use.
    change_count : int
        Number of changes, so that decisions can be kept while there is none.
    """

    capacities: dict[FreeCapacityKey, FreeCapacity] = field(default_factory=dict)
    keys: dict[TargetLife, FreeCapacityKey] = field(default_factory=dict)
    keys_by_label: dict[str, SortedList] = field(
        default_factory=lambda: {ANY_LABEL: SortedList()}
    )
    by_rack: dict[str, RackCapacity] | None = None
    change_count: int = 0

    def put(self, capacity: FreeCapacity) -> None:
        """Add a target or update its free capacity."""
        self.change_count += 1
        key = capacity.key()
        existing = self.capacities.get(key)
        if existing is not None and existing.labels == capacity.labels:
            if self.by_rack is not None:
                self.by_rack[existing.rack].remove(existing.life)
                self._add_to_rack(capacity)
            self.capacities[key] = capacity
            return
        self.discard(capacity.life)
        if self.by_rack is not None:
            self._add_to_rack(capacity)
        self.capacities[key] = capacity
        self.keys[capacity.life] = key
        for label, label_keys in self.keys_by_label.items():
            if label == ANY_LABEL or label in capacity.labels:
                label_keys.add(key)

    def discard(self, life: TargetLife) -> None:
        """Remove a target; one that is not in the index is ignored."""
        key = self.keys.pop(life, None)
        if key is None:
            return
        self.change_count += 1
        capacity = self.capacities.pop(key)
        if self.by_rack is not None:
            self.by_rack[capacity.rack].remove(life)
        for label, label_keys in self.keys_by_label.items():
            if label == ANY_LABEL or label in capacity.labels:
                label_keys.remove(key)

    def racks(self) -> Iterable[RackCapacity]:
        """Return the free capacity of each rack."""
        if self.by_rack is None:
            self.by_rack = {}
            for capacity in self.capacities.values():
                self._add_to_rack(capacity)
        return self.by_rack.values()

    def _add_to_rack(self, capacity: FreeCapacity) -> None:
        known = self.by_rack.get(capacity.rack)
        if known is None:
            known = self.by_rack[capacity.rack] = RackCapacity(capacity.rack)
        known.add(capacity)

    def largest_free_cpu(self) -> int | None:
        """Return the largest free CPU of any target, None without targets."""
        label_keys = self.keys_by_label[ANY_LABEL]
        return label_keys[-1].free_cpu if label_keys else None

    def emptiest_first(self) -> Iterable[FreeCapacity]:
        """Return the targets, those with the most free CPU first."""
        return (self.capacities[key] for key in reversed(self.keys_by_label[ANY_LABEL]))

    def has_label(self, label: str) -> bool:
        """Return whether any target has a label."""
        return bool(self._keys_with_label(label))

    def with_label(self, label: str) -> Iterable[FreeCapacity]:
        """Return the targets with a label, those with the least free CPU first."""
        return (self.capacities[key] for key in self._keys_with_label(label))

    def has_fitting(self, step: Step) -> bool:
        """Return whether any target has free capacity for a task of a step."""
        largest_free_cpu = self.largest_free_cpu()
        if largest_free_cpu is None or largest_free_cpu < step.counted_need().cpu:
            return False
        return any(True for _ in self._iter_fitting(step, step.required_label))

    def may_fit_together(self, step: Step) -> bool:
        """Return whether all tasks of a step may fit at once.

        It is found without a look at each task: a gang may have thousands that fit
        nowhere.
        """
        need = step.counted_need()
        limit = min(step.count, step.max_per_target or step.count)
        missing = step.count
        for capacity in self.emptiest_first():
            missing -= need.count_in(capacity.free, limit)
            if missing <= 0:
                return True
        return False

    def choose_fullest(
        self,
        step: Step,
        preference_of: PreferenceRule,
        labels: Iterable[str] | None = None,
    ) -> TargetLife | None:
        """Return the best target for a batch task, None if it fits on none.

        The result is the same as that of `choose_target` for all candidates.

        Parameters
        ----------
        labels : iterable of str or None
            Labels whose targets are tried one after another; the next one is taken
            only if no target with the last is preferred. None to try the preferred rack
            and then all targets.
        """
        avoided: TargetLife | None = None
        if labels is None:
            labels = self._labels_by_distance(step)
        for label in labels:
            for capacity in self._iter_fitting(step, label):
                match preference_of(capacity.life):
                    case Preference.PREFERRED:
                        return capacity.life
                    case Preference.AVOIDED:
                        avoided = avoided or capacity.life
                    case Preference.EXCLUDED:
                        continue
        return avoided

    def _labels_by_distance(self, step: Step) -> tuple[str, ...]:
        """Return the labels whose targets are tried, the preferred rack first."""
        if step.near_rack:
            return step.near_rack, step.required_label
        return (step.required_label,)

    def _iter_fitting(self, step: Step, label: str) -> Iterable[FreeCapacity]:
        need = step.counted_need()
        required = step.required_label
        for key in self._keys_with_label(label).irange(minimum=(need.cpu,)):
            capacity = self.capacities[key]
            if required and required not in capacity.labels:
                continue
            if need.fits_in(capacity.free):
                yield capacity

    def _keys_with_label(self, label: str) -> SortedList:
        label_keys = self.keys_by_label.get(label)
        if label_keys is None:
            capacities = self.capacities.items()
            label_keys = SortedList(
                key for key, capacity in capacities if label in capacity.labels
            )
            self.keys_by_label[label] = label_keys
        return label_keys
