"""Rows of duties, their keys, and what they state about holders.

A duty is the scheduling of one pool, the upkeep of the fleet, or the quota of the
organisations across pools.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec
from result import Result

from cornelturn.fleet.lease import LeaseRow
from cornelturn.model.decoding import DocumentError, Int64, try_decode
from cornelturn.model.routes import RoutingTable
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


def required_duties(table: RoutingTable) -> frozenset[str]:
    """Return the duties that some entry should hold by a configuration."""
    duties = frozenset(pool.name for pool in table.pools) | {FLEET_DUTY}
    return duties | {QUOTA_DUTY} if table.has_caps() else duties


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
