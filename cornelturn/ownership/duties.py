"""Rows of duties, and decisions about which entry holds which duty.

A duty is the scheduling of one pool, the upkeep of the fleet, or the quota of the
organisations across pools.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf

import msgspec
from result import Result

from cornelturn.fleet.lease import LeaseRow
from cornelturn.model.decoding import DocumentError, Int64, try_decode
from cornelturn.model.routes import RoutingTable
from cornelturn.routing.rendezvous import rendezvous_owner
from cornelturn.targets.model import TargetLife

MEMBERS_TABLE = "members"
ENTRY_NAME = "entry"
DUTY_NAME = "duty"
START_NAME = "start"
FLEET_DUTY = "fleet-upkeep"
QUOTA_DUTY = "organisation-quota"
FLEET_WIDE_DUTIES = frozenset({FLEET_DUTY, QUOTA_DUTY})
"""Duties that are not the scheduling of a pool; their holders keep them."""

FIRST_GENERATION = 1
"""Generation of the first holder of a duty, which has no predecessor."""

HISTORY_LAG_MS = 1_500
"""Longest delay until the change history of the store shows a change."""

HAND_OVER_RATIO = 1.4
"""A duty is handed over if the load per core of its holder is at least this many times
what the receiver would have with it. A hand-over briefly stops the starts of a pool."""

SIMILAR_LOAD_RATIO = 1.15
"""Hand-overs that leave up to this many times the lowest possible load rank equally."""

BASE_DUTY_WEIGHT = 4
"""Weight of a duty without machines, as a number of machines."""


@dataclass(frozen=True, slots=True)
class HeldTarget:
    """A target, in one life, to which the holder of a duty may have granted leases.

    Parameters
    ----------
    has_inherited_lease : bool
        Whether orders for an earlier life may have given it the longest lease that a
        target grants.
    """

    life: TargetLife
    address: str
    has_inherited_lease: bool = False


@dataclass(frozen=True, slots=True)
class Holder:
    """An entry that has taken a duty; the generation is its fencing token."""

    entry: str
    incarnation: Int64
    generation: Int64


@dataclass(frozen=True, slots=True)
class DutyRow:
    """Row of a duty.

    Parameters
    ----------
    holder : str
        Entry that holds it, empty if it was released.
    incarnation : int
        Incarnation of that entry.
    generation : int
        Number of holders so far; the fencing token of the holder.
    targets : tuple of HeldTarget
        Targets to which this holder or a predecessor may have granted leases.
    is_settled : bool
        Whether no predecessor can act any more and the leases they granted have lapsed.
    earlier : tuple of Holder or None
        Predecessors that may still act, None if they are not known.
    released_by : Holder or None
        Holder that has handed the duty over and knows which runs it left behind.
    sizes : dict
        Machines of each pool before any move, in the row of the fleet's upkeep.
    """

    holder: str
    incarnation: Int64
    generation: Int64
    targets: tuple[HeldTarget, ...] = ()
    is_settled: bool = False
    earlier: tuple[Holder, ...] | None = None
    released_by: Holder | None = None
    sizes: dict[str, Int64] = field(default_factory=dict)


DUTY_DECODER = msgspec.json.Decoder(DutyRow)


def target_names(row: DutyRow) -> frozenset[str]:
    """Return the names of the targets in the row of a duty."""
    return frozenset(held.life.name for held in row.targets)


@dataclass(frozen=True, slots=True)
class VersionedDuty:
    """A duty as last read, with the version of its row."""

    row: DutyRow
    version: int


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


def required_duties(table: RoutingTable) -> frozenset[str]:
    """Return the duties that some entry should hold by a configuration."""
    duties = frozenset(pool.name for pool in table.pools) | {FLEET_DUTY}
    return duties | {QUOTA_DUTY} if table.has_caps() else duties


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
    max_receiver_load = entries.load_per_core(own, own_load) / HAND_OVER_RATIO
    if (
        _least_load_per_core_with(min(weights.values()), loads, entries)
        > max_receiver_load
    ):
        return None
    own_weights = sorted(_held_weights(own, known, entries), reverse=True)
    highest_loads: dict[int, float] = {}
    for weight in set(weights.values()):
        receiver_load = _least_load_per_core_with(weight, loads, entries)
        if receiver_load <= max_receiver_load:
            remaining_load = entries.load_per_core(
                own, _load_without(weight, own_weights)
            )
            highest_loads[weight] = max(remaining_load, receiver_load)
    load_limit = min(highest_loads.values()) * SIMILAR_LOAD_RATIO
    candidates = [
        duty for duty in weights if highest_loads.get(weights[duty], inf) <= load_limit
    ]
    return min(candidates, key=lambda duty: (_target_count(known[duty]), duty))


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
    return min(
        entries.load_per_core(entry, load, weight) for entry, load in loads.items()
    )


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


def possibly_active_holders(
    duty: str, row: DutyRow, leases: dict[str, LeaseRow]
) -> tuple[Holder, ...] | None:
    """Return the holder of a row and its predecessors, as far as they may still act.

    Parameters
    ----------
    leases : dict
        Lease of each entry that has one.

    Returns
    -------
    tuple of Holder or None
        None if the predecessors of the holder are not known.
    """
    holders = row.earlier
    if row.is_settled or row.generation <= FIRST_GENERATION:
        holders = ()
    if holders is None:
        return None
    if row.holder:
        holders = (*holders, Holder(row.holder, row.incarnation, row.generation))
    return tuple(
        holder
        for holder in holders
        if holder.entry not in leases
        or not has_given_up(duty, holder, leases[holder.entry])
    )


def has_given_up(duty: str, holder: Holder, lease: LeaseRow) -> bool:
    """Return whether a lease shows that a holder no longer acts on a duty."""
    if lease.peer.incarnation != holder.incarnation:
        return lease.peer.incarnation > holder.incarnation
    return lease.is_over or lease.given_up.get(duty, 0) >= holder.generation


def duty_key(duty: str) -> str:
    """Return the key of a duty's row; each row is in a part of its own."""
    return f"{MEMBERS_TABLE}/{DUTY_NAME}.{duty}/{DUTY_NAME}"


def entry_key(entry: str) -> str:
    """Return the key of the lease of an entry."""
    return f"{MEMBERS_TABLE}/{ENTRY_NAME}.{entry}/{ENTRY_NAME}"


def start_key(entry: str) -> str:
    """Return the key of the row that an entry writes when it starts."""
    return f"{MEMBERS_TABLE}/{ENTRY_NAME}.{entry}/{START_NAME}"


def duty_from_key(key: str) -> str | None:
    """Return the duty whose row has a key, None for any other row."""
    _, part, name = key.split("/", 2)
    return part.removeprefix(f"{DUTY_NAME}.") if name == DUTY_NAME else None


def is_entry_key(key: str) -> bool:
    """Return whether a key is that of the lease of an entry."""
    return key.endswith(f"/{ENTRY_NAME}")


def encode_duty(row: DutyRow) -> str:
    """Return the JSON text of a duty's row."""
    return msgspec.json.encode(row).decode()


def decode_duty(text: str) -> Result[DutyRow, DocumentError]:
    """Return the row that a JSON text encodes."""
    return try_decode(DUTY_DECODER.decode, text)
