"""Order of waiting steps among organisations, decided at each pick.

The shares change with each start, so no static sort key gives this order. Each
requirement keeps its steps by tier and claim, and the first steps of the claims of a
tier in a heap by their rank. A start that changes the rank of an organisation's claims
adds their first steps to these heaps anew, so that the cost of a pick does not grow
with the number of waiting steps.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterator
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from typing import Any, NamedTuple

from sortedcontainers import SortedKeyList, SortedList

from cornelturn.fairness.groups import (
    Claim,
    Entry,
    Place,
    Rank,
    RankedHead,
    StepGroup,
    TierQueue,
    Turn,
    WorkClass,
)
from cornelturn.fairness.shares import FairShares, JobPhase
from cornelturn.fairness.starvation import StarvationCheck
from cornelturn.jobs.model import Resources

TASKS_PER_TURN = 32
"""Tasks of a step that start before another organisation may have its turn; more than
most steps have, so that these start as a whole."""

MAX_HEAP_FACTOR = 2
MIN_HEAP_SIZE = 16
"""A heap of first steps is made anew when about half of it are former ones."""


def _cpu_of(group: StepGroup) -> int:
    return group.cpu


@dataclass(slots=True)
class FairOrder:
    """Waiting steps in the order of fair shares.

    Parameters
    ----------
    cpu_of : callable
        Returns the CPU that a task with a requirement needs.
    all_steps : StepGroup
        All waiting steps.
    groups : dict
        Waiting steps with each requirement.
    groups_by_cpu : SortedKeyList
        These groups, sorted by the CPU that a task needs.
    entries : dict
        All waiting steps, by their keys.
    queues : dict
        Queues in which each claim has steps.
    advanced : list
        Keys that passes have removed after their steps were tried.
    skipped : dict
        Steps that the current pass leaves out. They stay among all steps.
    capacity_number : int
        Number of the change of the pool's capacity by which the ranks were computed.
    starvation : StarvationCheck
        Starved organisations since the steps were put in this order.
    """

    shares: FairShares
    cpu_of: Callable[[Any], int]
    tasks_per_turn: int = TASKS_PER_TURN
    all_steps: StepGroup = field(default_factory=StepGroup)
    groups: dict[Hashable, StepGroup] = field(default_factory=dict)
    groups_by_cpu: SortedKeyList = field(
        default_factory=lambda: SortedKeyList(key=_cpu_of)
    )
    entries: dict[Any, Entry] = field(default_factory=dict)
    queues: dict[Claim, set[TierQueue]] = field(default_factory=dict)
    advanced: list[Any] = field(default_factory=list)
    skipped: dict[Any, Entry] = field(default_factory=dict)
    capacity_number: int = -1
    starvation: StarvationCheck = field(default_factory=StarvationCheck)

    def add(self, key: Any, entry: Entry) -> None:
        """Add a waiting step."""
        self.entries[key] = entry
        self._add_to_group(entry, key)
        self._add_to(self.all_steps, entry.place, key)

    def _add_to_group(self, entry: Entry, key: Any) -> None:
        group = self.groups.get(entry.requirement)
        if group is None:
            group = StepGroup(self.cpu_of(entry.requirement))
            self.groups[entry.requirement] = group
            self.groups_by_cpu.add(group)
        self._add_to(group, entry.place, key)

    def _add_to(self, group: StepGroup, place: Place, key: Any) -> None:
        group.head = None
        queue = group.tiers.get(place.tier)
        if queue is None:
            queue = group.tiers[place.tier] = TierQueue(group)
        steps = queue.steps.get(place.claim)
        if steps is None:
            steps = queue.steps[place.claim] = SortedList()
            self.queues.setdefault(place.claim, set()).add(queue)
        steps.add(key)
        if steps[0] == key:
            self._push_head(queue, place.claim)

    def _push_head(self, queue: TierQueue, claim: Claim) -> None:
        """Add the first step of a claim to the heap of a queue."""
        key = queue.steps[claim][0]
        head = RankedHead(self._rank(claim, key), key, claim)
        queue.heads[claim] = head
        heappush(queue.heap, head)
        if len(queue.heap) > MAX_HEAP_FACTOR * len(queue.steps) + MIN_HEAP_SIZE:
            queue.heap = list(queue.heads.values())
            heapify(queue.heap)

    def _rank(
        self, claim: Claim, key: Any, counted: dict[str, Resources] | None = None
    ) -> Rank:
        """Return the rank of a claim with a step.

        Parameters
        ----------
        counted : dict or None
            What counts as held in addition, by organisation.
        """
        step_need = self.entries[key].step_need
        held = counted.get(claim.organisation) if counted is not None else None
        return self.shares.rank(*claim, step_need, held)

    def discard(self, key: Any) -> None:
        """Remove a waiting step; one that is not in the order is ignored."""
        entry = self.entries.pop(key, None)
        if entry is None:
            return
        if key in self.skipped:
            del self.skipped[key]
        else:
            group = self.groups[entry.requirement]
            self._remove_from(group, entry.place, key)
            if not group.tiers:
                del self.groups[entry.requirement]
                self.groups_by_cpu.remove(group)
        self._remove_from(self.all_steps, entry.place, key)
        if not self.queues[entry.place.claim]:
            del self.queues[entry.place.claim]

    def skip(self, key: Any) -> None:
        """Leave out a step that did not fit until the pass ends."""
        entry = self.entries[key]
        self.skipped[key] = entry
        self._remove_from(self.groups[entry.requirement], entry.place, key)

    def take_in_skipped(self) -> None:
        """Take in the steps that the pass has left out."""
        skipped, self.skipped = self.skipped, {}
        for key, entry in skipped.items():
            self._add_to_group(entry, key)

    def _remove_from(self, group: StepGroup, place: Place, key: Any) -> None:
        group.head = None
        queue = group.tiers[place.tier]
        steps = queue.steps[place.claim]
        was_first = steps[0] == key
        steps.remove(key)
        if steps:
            if was_first:
                self._push_head(queue, place.claim)
            return
        del queue.steps[place.claim]
        del queue.heads[place.claim]
        self.queues[place.claim].discard(queue)
        if not queue.steps:
            del group.tiers[place.tier]

    def update_ranks(self) -> None:
        """Take up the changes of what the organisations hold."""
        changed = self.shares.usage.changed
        if self.capacity_number != self.shares.capacity.number:
            self.capacity_number = self.shares.capacity.number
            self.update_all_ranks()
        elif changed:
            for organisation in changed:
                for phase in JobPhase:
                    self._update_rank(Claim(organisation, phase))
        changed.clear()

    def update_all_ranks(self) -> None:
        """Take up changed weights, or a changed capacity of the pool."""
        for claim in self.queues:
            self._update_rank(claim)

    def _update_rank(self, claim: Claim) -> None:
        for queue in self.queues.get(claim, ()):
            previous = queue.heads[claim]
            if self._rank(claim, previous.key) == previous.rank:
                continue
            self._push_head(queue, claim)
            head = queue.group.head
            if head is not None and (
                head.claim == claim or queue.heads[claim] < head.ranked_head()
            ):
                queue.group.head = None

    def first(self, group: StepGroup) -> Turn | None:
        """Return the first step of a group in the order, None if there is none."""
        if group.head is not None:
            return group.head
        for tier, queue in group.tiers.items():
            heap = queue.heap
            while heap:
                if queue.heads.get(heap[0].claim) is heap[0]:
                    group.head = Turn(tier, *heap[0])
                    return group.head
                heappop(heap)
        return None

    def in_order(self) -> Iterator[Any]:
        """Return the keys of all steps in the order that they have before any start.

        A step counts as held by its organisation for the order of those after it. The
        steps must not change meanwhile.
        """
        self.update_ranks()
        counted: dict[str, Resources] = {}
        for queue in self.all_steps.tiers.values():
            yield from self._queue_in_order(queue, counted)

    def _queue_in_order(
        self, queue: TierQueue, counted: dict[str, Resources]
    ) -> Iterator[Any]:
        """Return the keys of one tier; `counted` has what earlier ones need.

        A rank only rises with what counts as held, so it is compared when its step
        comes to the front. The first few keys cost little.
        """
        following = self._valid_heads(queue)
        first = next(following, None)
        later: list[tuple[RankedHead, int]] = []
        while later or first is not None:
            if first is not None and (not later or first < later[0][0]):
                head, index = first, 0
                first = next(following, None)
            else:
                head, index = heappop(later)
            claim = head.claim
            if claim.organisation in counted:
                rank = self._rank(claim, head.key, counted)
                if rank != head.rank:
                    heappush(later, (head._replace(rank=rank), index))
                    continue
            yield head.key
            need = counted.get(claim.organisation, Resources())
            counted[claim.organisation] = need.plus(self.entries[head.key].need)
            steps = queue.steps[claim]
            if index + 1 < len(steps):
                key = steps[index + 1]
                rank = self._rank(claim, key, counted)
                heappush(later, (RankedHead(rank, key, claim), index + 1))

    def _valid_heads(self, queue: TierQueue) -> Iterator[RankedHead]:
        """Return the first steps of the claims of a queue, in order."""
        heap = queue.heap.copy()
        while heap:
            head = heappop(heap)
            if queue.heads.get(head.claim) is head:
                yield head

    def first_late(self, organisation: str, on_time: int) -> Any | None:
        """Return the first step within the rate whose outlook is worse than on time."""
        for tier, queue in self.all_steps.tiers.items():
            is_late = (
                tier.work_class is WorkClass.WITHIN_RATE and tier.outlook > on_time
            )
            if not is_late:
                continue
            claims = [Claim(organisation, phase) for phase in JobPhase]
            keys = [queue.steps[claim][0] for claim in claims if claim in queue.steps]
            if keys:
                return min(keys)
        return None

    def take_advanced(self) -> list[Any]:
        """Return the keys that passes have removed since the last call."""
        advanced, self.advanced = self.advanced, []
        return advanced

    def begin_pass(self, largest_free_cpu: int) -> FairPass:
        """Return a pass through the steps whose tasks may fit."""
        self.update_ranks()
        heads = [
            (self.first(group), group)
            for group in self.groups_by_cpu.irange_key(max_key=largest_free_cpu)
        ]
        heapify(heads)
        return FairPass(self, heads)


class FairHead(NamedTuple):
    """The next step to try, and those with the same requirement."""

    key: Any
    group: StepGroup


@dataclass(slots=True)
class FairPass:
    """One pass through the waiting steps, in order, while their requirements fit.

    A head that is neither advanced nor put back ends its requirement for this pass, as
    capacity only decreases during a pass. The steps must not be changed otherwise.

    Parameters
    ----------
    heads : list
        Heap of the first step with each requirement, as of when it was pushed. Shares
        only increase during a pass, so that no later step is pushed before it.
    """

    order: FairOrder
    heads: list[tuple[Turn, StepGroup]]

    @property
    def tasks_per_turn(self) -> int:
        """Return how many tasks of a step may start in one turn."""
        return self.order.tasks_per_turn

    def next_head(self) -> FairHead | None:
        """Return the next step to try, None at the end."""
        self.order.update_ranks()
        while self.heads:
            pushed, group = heappop(self.heads)
            current = self.order.first(group)
            if current is None:
                continue
            if current is not pushed and current > pushed:
                heappush(self.heads, (current, group))
                continue
            return FairHead(current.key, group)
        return None

    def advance(self, head: FairHead) -> None:
        """Remove a tried step, and continue with the next ones of its requirement.

        Its job is updated before the next pass, which adds what still waits.
        """
        self.order.discard(head.key)
        self.order.advanced.append(head.key)
        self.put_back(head)

    def skip(self, head: FairHead) -> None:
        """Continue with the next ones of the requirement after one that did not fit."""
        self.order.skip(head.key)
        self.put_back(head)

    def finish(self) -> None:
        """Take in the steps that did not fit, for the next pass."""
        self.order.take_in_skipped()

    def add(self, added: Any, tried: FairHead) -> None:
        """Add a step that was added to the order after the one that was tried last.

        Parameters
        ----------
        added : Any
            The step with its requirement.
        """
        group = self.order.groups[added.requirement]
        if group is not tried.group:
            heappush(self.heads, (self.order.first(group), group))

    def put_back(self, head: FairHead) -> None:
        """Continue with a step when its organisation has the next turn."""
        self.order.update_ranks()
        current = self.order.first(head.group)
        if current is not None:
            heappush(self.heads, (current, head.group))
