"""Decisions about who holds a duty; a duty is a pool, or the fleet's upkeep."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from cornelturn.fleet.lease import LeaseRow
from cornelturn.routing.rendezvous import rendezvous_owner
from cornelturn.targets.model import TargetLife

MEMBERS_TABLE = "members"
ENTRY_NAME = "entry"
DUTY_NAME = "duty"
START_NAME = "start"
FLEET_DUTY = "fleet-upkeep"

FIRST_GENERATION = 1
"""Generation of the first holder of a duty, which has none before it."""

HISTORY_LAG_MS = 1_500
"""Time for which the store's history may not show a change yet."""

HAND_OVER_RATIO = 1.5
"""How many times as much a duty must burden its holder as it would burden another
entry to be handed over; a hand-over stops the starts of a pool for a moment."""


@dataclass(frozen=True, slots=True)
class HeldTarget:
    """A life of a target that the holder of a duty may have given leases."""

    life: TargetLife
    address: str


@dataclass(frozen=True, slots=True)
class Holder:
    """An entry that has taken a duty, and its fencing token."""

    entry: str
    incarnation: int
    generation: int


@dataclass(frozen=True, slots=True)
class DutyRow:
    """Row of a duty.

    Parameters
    ----------
    holder : str
        Entry that has it, empty if it was given back.
    incarnation : int
        Incarnation of that entry.
    generation : int
        Number of holders so far; the fencing token of the holder.
    targets : tuple of HeldTarget
        Targets that this holder or one before may have given leases.
    is_settled : bool
        Whether no holder before this one can act any more, nor its leases stand.
    earlier : tuple of Holder or None
        Holders before this one that may still act, None if they are not known.
    released_by : Holder or None
        Holder that has handed the duty over and can tell what goes on without it.
    """

    holder: str
    incarnation: int
    generation: int
    targets: tuple[HeldTarget, ...] = ()
    is_settled: bool = False
    earlier: tuple[Holder, ...] | None = None
    released_by: Holder | None = None


@dataclass(frozen=True, slots=True)
class SeenDuty:
    """A duty as last read, with the version of its row."""

    row: DutyRow
    version: int


@dataclass(frozen=True, slots=True)
class Entries:
    """Entries that may hold duties.

    Parameters
    ----------
    incarnations : dict
        Incarnation of each entry whose lease stands.
    reachable : frozenset of str
        Those that this entry hears; they are preferred for free duties.
    processors : dict
        Cores of each entry; one that is missing counts as one core.
    """

    incarnations: dict[str, int]
    reachable: frozenset[str]
    processors: dict[str, float] = field(default_factory=dict)

    def holds(self, row: DutyRow) -> bool:
        """Return whether the holder of a duty is alive."""
        return self.incarnations.get(row.holder) == row.incarnation

    def burden(self, entry: str, duties: int) -> float:
        """Return how many duties an entry would have for each of its cores."""
        return duties / self.processors.get(entry, 1.0)


def free_duties(
    duties: Iterable[str], seen: dict[str, SeenDuty], entries: Entries
) -> list[str]:
    """Return the duties that nobody alive holds."""
    return sorted(
        duty for duty in duties if duty not in seen or not entries.holds(seen[duty].row)
    )


def duties_to_take(
    own: str, duties: Iterable[str], seen: dict[str, SeenDuty], entries: Entries
) -> list[str]:
    """Return the free duties that fall to an entry.

    Each goes to the reachable entry that has the fewest duties for its processor
    then; equal ones are told apart by rendezvous hashing, so that all entries come to
    the same result.
    """
    loads = count_duties(own, seen, entries)
    taken: list[str] = []
    for duty in free_duties(duties, seen, entries):
        burdens = {
            entry: entries.burden(entry, load + 1) for entry, load in loads.items()
        }
        least = min(burdens.values())
        chosen = rendezvous_owner(
            duty, [entry for entry, burden in burdens.items() if burden == least]
        )
        loads[chosen] += 1
        if chosen == own:
            taken.append(duty)
    return taken


def duty_to_hand_over(
    own: str, held: Iterable[str], seen: dict[str, SeenDuty], entries: Entries
) -> str | None:
    """Return a duty that another entry carries better, None if there is none.

    Parameters
    ----------
    held : iterable of str
        Duties of this entry that may change hands while it lives.
    """
    loads = count_duties(own, seen, entries)
    others = [
        entries.burden(entry, load + 1) for entry, load in loads.items() if entry != own
    ]
    if not others:
        return None
    if entries.burden(own, loads[own]) < min(others) * HAND_OVER_RATIO:
        return None
    return min(held, default=None)


def count_duties(
    own: str, seen: dict[str, SeenDuty], entries: Entries
) -> dict[str, int]:
    """Return how many duties each reachable entry holds."""
    loads = dict.fromkeys(entries.reachable | {own}, 0)
    for one in seen.values():
        if entries.holds(one.row) and one.row.holder in loads:
            loads[one.row.holder] += 1
    return loads


def may_still_act(
    duty: str, row: DutyRow, leases: dict[str, LeaseRow]
) -> tuple[Holder, ...] | None:
    """Return the holders up to that of a row that may still act.

    Parameters
    ----------
    leases : dict
        Lease of each entry that has one.

    Returns
    -------
    tuple of Holder or None
        None if the holders before that of the row are not known.
    """
    earlier = row.earlier
    if row.is_settled or row.generation <= FIRST_GENERATION:
        earlier = ()
    if earlier is None:
        return None
    if row.holder:
        earlier = (*earlier, Holder(row.holder, row.incarnation, row.generation))
    return tuple(
        one
        for one in earlier
        if one.entry not in leases or not has_given_up(duty, one, leases[one.entry])
    )


def has_given_up(duty: str, holder: Holder, lease: LeaseRow) -> bool:
    """Return whether the lease of a duty's holder says that it acts no more."""
    if lease.peer.incarnation != holder.incarnation:
        return lease.peer.incarnation > holder.incarnation
    return lease.given_up.get(duty, 0) >= holder.generation


def duty_key(duty: str) -> str:
    """Return the key of a duty's row; each row has a part of its own."""
    return f"{MEMBERS_TABLE}/{DUTY_NAME}.{duty}/{DUTY_NAME}"


def entry_key(entry: str) -> str:
    """Return the key of the lease of an entry."""
    return f"{MEMBERS_TABLE}/{ENTRY_NAME}.{entry}/{ENTRY_NAME}"


def start_key(entry: str) -> str:
    """Return the key of the row that an entry writes when it starts."""
    return f"{MEMBERS_TABLE}/{ENTRY_NAME}.{entry}/{START_NAME}"


def duty_of(key: str) -> str | None:
    """Return the duty whose row has a key, None if it is another row."""
    _, part, name = key.split("/", 2)
    return part.removeprefix(f"{DUTY_NAME}.") if name == DUTY_NAME else None


def is_entry_key(key: str) -> bool:
    """Return whether a key is that of the lease of an entry."""
    return key.endswith(f"/{ENTRY_NAME}")


def encode_duty(row: DutyRow) -> str:
    """Return the JSON text of a duty's row."""
    return msgspec.json.encode(row).decode()


def decode_duty(text: str) -> DutyRow:
    """Return the row of a JSON text."""
    return msgspec.json.decode(text, type=DutyRow)
