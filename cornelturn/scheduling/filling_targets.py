"""Chooses targets for filling tasks in a pool that also serves users."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from typing import NamedTuple

from cornelturn.jobs.model import Step
from cornelturn.placement.index import Preference, PreferenceRule
from cornelturn.scheduling.state import PoolState
from cornelturn.targets.model import TargetLife

ORDER_VALIDITY_MS = 100
"""Time for which the order of the targets is used; figures of a target change with its
reports, some times less often."""


class Suitability(NamedTuple):
    """Sort key of a target: the most suitable first, then the fullest."""

    is_far: bool
    cost: float
    free_cpu: int
    life: TargetLife


class TaskKind(NamedTuple):
    """What the order of the targets depends on."""

    image: str
    cpu: int
    near_rack: str


@dataclass(slots=True)
class SuitableTargets:
    """Targets as a heap. A cost may have risen since; it is checked on the way out."""

    made_ms: int
    heap: list[Suitability]


@dataclass(slots=True)
class FillingTargets:
    """Orders targets by their suitability for each kind of filling task.

    Parameters
    ----------
    cost : callable
        Returns how unsuitable a target is for a task of a step, 0 if it has idle cores
        and no serving runs.
    """

    state: PoolState
    cost: Callable[[TargetLife, Step], float]
    orders: dict[TaskKind, SuitableTargets] = field(default_factory=dict)

    def choose(
        self, step: Step, prefer: PreferenceRule, now_ms: int
    ) -> TargetLife | None:
        """Return the most suitable target for a task, None if it fits on none."""
        heap = self._order(step, now_ms).heap
        examined: list[Suitability] = []
        chosen: TargetLife | None = None
        avoided: TargetLife | None = None
        while heap and chosen is None:
            entry = heappop(heap)
            if entry.life not in self.state.free_capacity.keys:
                continue
            current = self._suitability(step, entry.life)
            if current > entry:
                heappush(heap, current)
                continue
            examined.append(entry)
            if not self._fits(step, entry.life):
                continue
            match prefer(entry.life):
                case Preference.PREFERRED:
                    chosen = entry.life
                case Preference.AVOIDED:
                    avoided = avoided or entry.life
                case Preference.EXCLUDED:
                    continue
        for entry in examined:
            heappush(heap, entry)
        return chosen or avoided

    def _order(self, step: Step, now_ms: int) -> SuitableTargets:
        kind = TaskKind(step.image, step.need.cpu, step.near_rack)
        order = self.orders.get(kind)
        if order is None or now_ms - order.made_ms >= ORDER_VALIDITY_MS:
            self.orders = {
                other: known
                for other, known in self.orders.items()
                if now_ms - known.made_ms < ORDER_VALIDITY_MS
            }
            lives = self.state.free_capacity.keys
            heap = [self._suitability(step, life) for life in lives]
            heapify(heap)
            order = self.orders[kind] = SuitableTargets(now_ms, heap)
        return order

    def _suitability(self, step: Step, life: TargetLife) -> Suitability:
        view = self.state.targets[life]
        is_far = bool(step.near_rack) and step.near_rack not in view.listed.labels
        return Suitability(is_far, self.cost(life, step), view.free().cpu, life)

    def _fits(self, step: Step, life: TargetLife) -> bool:
        view = self.state.targets[life]
        if step.required_label and step.required_label not in view.listed.labels:
            return False
        return step.counted_need().fits_in(view.free())
