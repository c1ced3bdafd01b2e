"""Predecessors of this entry in its duties: which of them may still act, until when."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace

from cornelturn.fleet.lease import LeaseWatch, decode_lease
from cornelturn.ownership.authority import MAX_READ_AGE_MS
from cornelturn.ownership.duties import (
    HISTORY_LAG_MS,
    DutyRow,
    Holder,
    entry_key,
    possibly_active_holders,
)
from cornelturn.ownership.duty_rows import DutyRows
from cornelturn.ownership.evidence import HolderEvidence
from cornelturn.ownership.messages import PredecessorQueryDue
from cornelturn.peering.messages import PoolGivenUp


@dataclass(frozen=True, slots=True)
class InactivePredecessors:
    """A duty whose predecessors have all become inactive.

    Parameters
    ----------
    since_ms : int
        Latest time at which one of them may have acted.
    """

    duty: str
    since_ms: int


@dataclass(slots=True)
class Predecessors:
    """Tracks the predecessors in the duties that this entry holds.

    Parameters
    ----------
    evidence : HolderEvidence
        What the leases prove about predecessors.
    by_duty : dict
        Predecessors that may still act, by duty; None if they are not known.
    holders_to_query : dict
        Predecessor that knows all runs that may have been left behind, by duty.
    replacement_seen_ms : dict
        When this entry first read that a holder of a duty had been replaced.
    inactive_since_ms : dict
        Latest time at which predecessors that are now inactive may have acted, by duty.
    """

    duty_rows: DutyRows
    lease_watch: LeaseWatch
    evidence: HolderEvidence
    by_duty: dict[str, tuple[Holder, ...] | None] = field(default_factory=dict)
    holders_to_query: dict[str, Holder] = field(default_factory=dict)
    replacement_seen_ms: dict[tuple[str, Holder], int] = field(default_factory=dict)
    inactive_since_ms: dict[str, int] = field(default_factory=dict)

    def begin(self, duty: str, previous: DutyRow, now_ms: int) -> None:
        """Track the predecessors in a duty that this entry is about to take.

        Parameters
        ----------
        previous : DutyRow
            Row that this entry replaces.
        """
        active_holders = self._possibly_active(duty, previous, now_ms)
        self.forget(duty)
        self.by_duty[duty] = active_holders
        is_given_up = active_holders != possibly_active_holders(duty, previous, {})
        if not previous.holder or is_given_up:
            # A holder may have acted until it released the duty, or gave it up in a
            # lease read only now.
            self.inactive_since_ms[duty] = now_ms
        # A holder that has waited for all its predecessors knows all runs left behind.
        if previous.is_settled and previous.released_by is not None:
            self.holders_to_query[duty] = previous.released_by
        elif active_holders and previous.is_settled:
            self.holders_to_query[duty] = active_holders[-1]

    def forget(self, duty: str) -> None:
        """Stop tracking the predecessors in a duty."""
        self.by_duty.pop(duty, None)
        self.holders_to_query.pop(duty, None)
        self.inactive_since_ms.pop(duty, None)

    def record_answer(self, given_up: PoolGivenUp) -> bool:
        """Record the answer of a predecessor; return whether it was asked for."""
        queried = self.holders_to_query.get(given_up.pool)
        if queried is None or queried.generation != given_up.generation:
            return False
        del self.holders_to_query[given_up.pool]
        self.by_duty[given_up.pool] = ()
        return True

    def due_queries(self, held: dict[str, int]) -> Iterator[PredecessorQueryDue]:
        """Yield the queries to predecessors, until they answer or a duty is settled.

        Parameters
        ----------
        held : dict
            Generation of each duty that this entry holds.
        """
        for duty, holder in self.holders_to_query.items():
            if duty in held and not self.duty_rows.known[duty].row.is_settled:
                yield PredecessorQueryDue(duty, holder.entry, held[duty])

    def record_replaced_holders(self, now_ms: int) -> None:
        """Record when the rows first listed each replaced holder that may still act."""
        self.replacement_seen_ms = {
            (duty, holder): self.replacement_seen_ms.get((duty, holder), now_ms)
            for duty, known in self.duty_rows.known.items()
            for holder in known.row.earlier or ()
        }

    def take_inactive(
        self, held: Iterable[str], now_ms: int
    ) -> Iterator[InactivePredecessors]:
        """Yield the held duties whose predecessors have all become inactive."""
        for duty in held:
            predecessors = self.by_duty.get(duty)
            if not predecessors:
                continue
            row = replace(self.duty_rows.known[duty].row, holder="", is_settled=False)
            active = self._possibly_active(duty, row, now_ms)
            self.by_duty[duty] = active
            for holder in set(predecessors) - set(active or ()):
                inactive_ms = self._last_possible_act_ms(duty, holder) or now_ms
                self.inactive_since_ms[duty] = max(
                    inactive_ms, self.inactive_since_ms.get(duty, 0)
                )
            if active == ():
                self.holders_to_query.pop(duty, None)
                since_ms = self.inactive_since_ms.pop(duty, now_ms)
                yield InactivePredecessors(duty, since_ms)

    def _possibly_active(
        self, duty: str, row: DutyRow, now_ms: int
    ) -> tuple[Holder, ...] | None:
        """Return the holder of a row and its predecessors, as far as they may act."""
        names = {row.holder, *(holder.entry for holder in row.earlier or ())}
        leases = {
            lease.peer.name: decode_lease(lease.row.value).unwrap()
            for lease in self.lease_watch.leases.values()
            if lease.peer.name in names
        }
        holders = possibly_active_holders(duty, row, leases)
        if holders is None:
            return None
        # A replaced holder may have read its row late, and this entry must have read
        # the rows up to the last change on which that holder acted.
        oldest_replacement_ms = now_ms - MAX_READ_AGE_MS - 2 * HISTORY_LAG_MS
        return tuple(
            holder
            for holder in holders
            if self.replacement_seen_ms.get((duty, holder), now_ms)
            > oldest_replacement_ms
            and self._last_possible_act_ms(duty, holder) is None
        )

    def _last_possible_act_ms(self, duty: str, holder: Holder) -> int | None:
        """Return until when a replaced holder may have acted, None if unknown."""
        known = self.duty_rows.known[duty]
        is_replaced = known.row.generation > holder.generation
        if not is_replaced or known.version > self.duty_rows.member_rows.revision:
            return None
        return self.evidence.last_possible_act_ms(
            entry_key(holder.entry), self.lease_watch.leases
        )
