"""The choice of the duties that an entry takes and hands over, by the load of each."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf

from cornelturn.ownership.duties import FLEET_DUTY, DutyRow, VersionedDuty
from cornelturn.routing.rendezvous import rendezvous_owner

HAND_OVER_RATIO = 1.4
"""A duty is handed over if the load per core of its holder is at least this many times
what the receiver would have with it. A hand-over briefly stops the starts of a pool."""

SIMILAR_LOAD_RATIO = 1.15
"""Hand-overs that leave up to this many times the lowest possible load rank equally."""

BASE_DUTY_WEIGHT = 4
"""Weight of a duty without machines, as a number of machines."""


@dataclass(frozen=True, slots=True)
class CandidateEntries:
    """Entries that may hold duties.

    Parameters
    ----------
    incarnations : dict
        Incarnation of each entry whose lease has not lapsed.
    reachable : frozenset of str
        Those whose heartbeats arrive here; free duties go to them.
    processors : dict
        Cores of each entry; one that is missing counts as one core.
    """

    incarnations: dict[str, int]
    reachable: frozenset[str]
    processors: dict[str, float] = field(default_factory=dict)

    def has_live_holder(self, row: DutyRow) -> bool:
        """Return whether the holder of a duty is alive."""
        return self.incarnations.get(row.holder) == row.incarnation

    def load_per_core(self, entry: str, load: DutyLoad, weight: int = 0) -> float:
        """Return the weight of the duties of an entry, per core.

        Pools are busy in turn, so the heaviest one counts in full and the others by
        half.

        Parameters
        ----------
        weight : int
            Weight of a further duty, added to the load.
        """
        heaviest = load.heaviest if load.heaviest > weight else weight
        total = load.total + weight
        return (heaviest + total) / 2 / self.processors.get(entry, 1.0)


@dataclass(slots=True)
class DutyLoad:
    """Weight of the duties of an entry.

    Parameters
    ----------
    heaviest : int
        Weight of the heaviest duty.
    total : int
        Sum of all weights.
    """

    heaviest: int = 0
    total: int = 0

    def add(self, weight: int) -> None:
        """Add the weight of a duty."""
        self.heaviest = max(self.heaviest, weight)
        self.total += weight


def duty_weights(
    duties: Iterable[str], known: dict[str, VersionedDuty]
) -> dict[str, int]:
    """Return the weight of each duty, in machines.

    The recorded sizes are those before any move, so that a weight does not change as
    machines change pools. A pool without one counts the targets that its row lists.
    """
    fleet = known.get(FLEET_DUTY)
    sizes = fleet.row.sizes if fleet is not None else {}
    return {
        duty: BASE_DUTY_WEIGHT + sizes.get(duty, _target_count(known.get(duty)))
        for duty in duties
    }


def _target_count(duty: VersionedDuty | None) -> int:
    return len(duty.row.targets) if duty is not None else 0


def free_duties(
    duties: Iterable[str], known: dict[str, VersionedDuty], entries: CandidateEntries
) -> list[str]:
    """Return the duties that no live entry holds."""
    return sorted(
        duty
        for duty in duties
        if duty not in known or not entries.has_live_holder(known[duty].row)
    )


def duties_to_take(
    own: str,
    duties: Iterable[str],
    known: dict[str, VersionedDuty],
    entries: CandidateEntries,
) -> list[str]:
    """Return the free duties that an entry is to take, the heaviest first.

    Each goes to the reachable entry that would have the lowest load per core with it.
    Rendezvous hashing breaks ties, so that all entries come to the same result.
    """
    free = free_duties(duties, known, entries)
    if not free:
        return []
    weights = duty_weights(free, known)
    loads = loads_by_entry(own, known, entries)
    taken: list[str] = []
    for duty in sorted(free, key=lambda duty: (-weights[duty], duty)):
        weight = weights[duty]
        loads_per_core = _loads_per_core_with(weight, loads, entries)
        least_load = min(loads_per_core.values())
        chosen = rendezvous_owner(
            duty,
            [entry for entry, load in loads_per_core.items() if load == least_load],
        )
        loads[chosen].add(weight)
        if chosen == own:
            taken.append(duty)
    return taken


def duty_to_hand_over(
    own: str,
    held: Iterable[str],
    known: dict[str, VersionedDuty],
    entries: CandidateEntries,
) -> str | None:
    """Return the duty to move to an entry with a lower load, None if there is none.

    The choice minimises the load per core of the busier of the two entries. Among
    duties with similar results it is the one with the fewest targets, since its next
    holder needs a report of each target before it knows what runs there.

    Parameters
    ----------
    held : iterable of str
        Duties of this entry that may be handed over while it lives.
    """
    loads = loads_by_entry(own, known, entries)
    own_load = loads.pop(own)
    weights = duty_weights(held, known)
    if not loads or not weights:
        return None
    receiver_loads = _receiver_loads(
        set(weights.values()),
        loads,
        entries,
        max_load=entries.load_per_core(own, own_load) / HAND_OVER_RATIO,
    )
    if not receiver_loads:
        return None
    own_weights = sorted(_held_weights(own, known, entries), reverse=True)
    highest_loads = {
        weight: max(
            entries.load_per_core(own, _load_without(weight, own_weights)),
            receiver_load,
        )
        for weight, receiver_load in receiver_loads.items()
    }
    load_limit = min(highest_loads.values()) * SIMILAR_LOAD_RATIO
    candidates = [
        duty for duty in weights if highest_loads.get(weights[duty], inf) <= load_limit
    ]
    return min(candidates, key=lambda duty: (_target_count(known[duty]), duty))


def _receiver_loads(
    weights: set[int],
    loads: dict[str, DutyLoad],
    entries: CandidateEntries,
    max_load: float,
) -> dict[int, float]:
    """Return the least load per core with each weight, as far as it is in a limit."""
    receiver_loads: dict[int, float] = {}
    for weight in sorted(weights):
        receiver_load = _least_load_per_core_with(weight, loads, entries)
        if receiver_load > max_load:
            # A heavier duty makes no receiver's load lower.
            break
        receiver_loads[weight] = receiver_load
    return receiver_loads


def _load_without(weight: int, weights: list[int]) -> DutyLoad:
    """Return the load of weights, in descending order, without one of them."""
    heaviest = weights[0] if weights[0] != weight else sum(weights[1:2])
    return DutyLoad(heaviest, sum(weights) - weight)


def _held_weights(
    entry: str, known: dict[str, VersionedDuty], entries: CandidateEntries
) -> list[int]:
    held = [
        duty for duty, known_duty in known.items() if known_duty.row.holder == entry
    ]
    weights = duty_weights(held, known)
    return [weights[duty] for duty in held if entries.has_live_holder(known[duty].row)]


def _loads_per_core_with(
    weight: int, loads: dict[str, DutyLoad], entries: CandidateEntries
) -> dict[str, float]:
    """Return the load per core of each entry with a further duty."""
    return {
        entry: entries.load_per_core(entry, load, weight)
        for entry, load in loads.items()
    }


def _least_load_per_core_with(
    weight: int, loads: dict[str, DutyLoad], entries: CandidateEntries
) -> float:
    return min(_loads_per_core_with(weight, loads, entries).values())


def loads_by_entry(
    own: str, known: dict[str, VersionedDuty], entries: CandidateEntries
) -> dict[str, DutyLoad]:
    """Return the load of this entry and of each reachable one."""
    loads = {entry: DutyLoad() for entry in entries.reachable | {own}}
    for duty, weight in duty_weights(known, known).items():
        row = known[duty].row
        if row.holder in loads and entries.has_live_holder(row):
            loads[row.holder].add(weight)
    return loads
