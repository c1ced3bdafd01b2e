"""The choice of free duties for this entry, and the writes that take them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from result import Err, Ok

from cornelturn.clock import Clock
from cornelturn.events.log import log_event
from cornelturn.ownership.duties import DutyRow
from cornelturn.ownership.duty_choice import duties_to_take
from cornelturn.ownership.duty_rows import DutyRows
from cornelturn.ownership.held_duties import HeldDuties
from cornelturn.ownership.member_leases import MemberLeases
from cornelturn.ownership.predecessors import Predecessors
from cornelturn.peering.messages import PeerAddress
from cornelturn.store.rows import ABSENT, TableConflict

TAKE_PAUSE_MS = 2_000
"""Pause in taking duties after a write without an answer, so that the next such write
does not delay the renewal of the lease and the reads of the rows."""


@dataclass(slots=True)
class DutyTaking:
    """Takes the free duties that are assigned to this entry.

    Parameters
    ----------
    required_duties : callable
        Returns the duties that some entry should hold.
    take_after_ms : int
        When duties may be taken again after a write without an answer.
    unanswered_duties : set of str
        Duties of which the last attempt to take them had no answer.
    """

    own: PeerAddress
    clock: Clock
    required_duties: Callable[[], frozenset[str]]
    members: MemberLeases
    duty_rows: DutyRows
    predecessors: Predecessors
    held: HeldDuties
    take_after_ms: int = 0
    unanswered_duties: set[str] = field(default_factory=set)

    async def take_free(self, now_ms: int) -> None:
        """Take the free duties that are assigned to this entry.

        The choice is made anew after each duty, since others take theirs meanwhile. A
        write without an answer ends the loop for a while, since the lease is due for
        renewal; that duty comes after the others the next time.
        """
        if now_ms < self.take_after_ms:
            return
        entries = self.members.candidates_to_take(now_ms)
        tried_duties: set[str] = set()
        while True:
            duties = self.required_duties() - tried_duties
            own_duties = duties_to_take(
                self.own.name, duties, self.duty_rows.known, entries
            )
            if not own_duties:
                return
            preferred = (
                duty for duty in own_duties if duty not in self.unanswered_duties
            )
            duty = next(preferred, own_duties[0])
            tried_duties.add(duty)
            if not await self._take(duty):
                self.unanswered_duties.add(duty)
                self.take_after_ms = self.clock.now_ms() + TAKE_PAUSE_MS
                return
            self.unanswered_duties.discard(duty)

    async def _take(self, duty: str) -> bool:
        """Take a duty unless another entry has; return whether the store answered."""
        known = self.duty_rows.known.get(duty)
        previous = known.row if known is not None else DutyRow("", 0, 0)
        version = known.version if known is not None else ABSENT
        now_ms = self.clock.now_ms()
        self.predecessors.begin(duty, previous, now_ms)
        row = DutyRow(
            self.own.name,
            self.own.incarnation,
            previous.generation + 1,
            previous.targets,
            earlier=self.predecessors.by_duty[duty],
            sizes=previous.sizes,
        )
        match await self.duty_rows.commit(duty, row, version):
            case Ok(_):
                self.held.record_taken(duty, self.duty_rows.known[duty])
                return True
            case Err(TableConflict(rows=rows)):
                self.duty_rows.apply(rows)
                holder = self.duty_rows.holder(duty)
                log_event("duty_not_taken", duty=duty, detail=f"held by {holder}")
                return True
            case Err(error):
                log_event("duty_not_taken", duty=duty, detail=str(error))
                return not error.is_in_doubt
